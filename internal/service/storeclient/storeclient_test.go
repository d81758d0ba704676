package storeclient

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const callTimeout = 10 * time.Second

// scriptedStore answers with one head a page.
func scriptedStore(c *qt.C, disks ...string) *transport.Client {
	server := transport.NewServer(protocol.Identity{Node: "store", Role: "store"}, logr.Discard())
	pages := [][]protocol.Head{{{ID: "a", State: protocol.Queued}}, {{ID: "b", State: protocol.Queued}}, {{ID: "a", State: protocol.Completed}}}
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Acquire) (protocol.AcquireReply, error) {
		grant := protocol.Grant{Queue: "q", Granted: true, Heads: pages[0]}
		if request.Paged {
			grant.More, grant.Next = true, protocol.HeadCursor{After: 1}
		}
		return protocol.AcquireReply{StoreID: disks[0], Grants: []protocol.Grant{grant}}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.ReadHeads) (protocol.ReadHeadsReply, error) {
		at := int(request.From.After)
		more := at+1 < len(pages)
		return protocol.ReadHeadsReply{StoreID: disks[min(at, len(disks)-1)], Heads: pages[at], More: more, Next: protocol.HeadCursor{After: uint64(at + 1)}}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.FindEnds) (protocol.FindEndsReply, error) {
		return protocol.FindEndsReply{Heads: []protocol.Head{{ID: request.IDs[0]}}, Covered: 1}, nil
	})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	client := transport.NewClient(protocol.Identity{Node: "edge"}, listener.Addr().String())
	c.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return client
}

// All pages are read; a message that ended between two of them counts as ended.
func TestAllPagesAreRead(t *testing.T) {
	c := qt.New(t)
	client := scriptedStore(c, "disk")
	reply, err := Acquire(context.Background(), client, protocol.Acquire{Queues: []string{"q"}, Epoch: 1}, callTimeout)
	c.Assert(err, qt.IsNil)
	c.Check(reply.Grants[0].Heads, qt.DeepEquals, []protocol.Head{{ID: "b", State: protocol.Queued}, {ID: "a", State: protocol.Completed}})
	ends, err := FindEnds(context.Background(), client, []string{"x", "y"}, callTimeout)
	c.Assert(err, qt.IsNil)
	c.Check(ends, qt.DeepEquals, []protocol.Head{{ID: "x"}, {ID: "y"}})
}

// Pages of two disks do not form one list.
func TestDiskReplacedBetweenPages(t *testing.T) {
	c := qt.New(t)
	client := scriptedStore(c, "disk", "disk", "new disk")
	_, err := Acquire(context.Background(), client, protocol.Acquire{Queues: []string{"q"}, Epoch: 1}, callTimeout)
	c.Check(err, qt.ErrorIs, errDiskReplaced)
}
