package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/view"
	"yardwharf/internal/simulation/simnet"
)

const oneRoute = `{"revision":1,"routes":[{"name":"r","hostname":"a.example","pathPrefix":"/a/","timeoutMs":100,` +
	`"service":"s","maxRetries":3,"retentionS":90}],"services":[{"name":"s","maxConns":8}],"limits":{}}`

// TestMessageThatEndedAtTheStores gives a dispatcher a message as open whose
// former owner recorded its success later: the stores have no body any more. The
// dispatcher has to take the end over, not to ask for the body again and again.
func TestMessageThatEndedAtTheStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		network := simnet.New(func(_, _ string) time.Duration { return time.Millisecond })
		storage, edge := network.Process("10.2.0.1"), network.Process("10.1.0.1")
		server := transport.NewServer(protocol.Identity{Node: "storage-1"}, logr.Discard())
		transport.Handle(server, func(_ context.Context, _ *transport.Peer, query protocol.Query) (protocol.QueryReply, error) {
			head := protocol.Head{ID: query.ID, State: protocol.Completed, Stamp: "seal", BodySize: 5}
			return protocol.QueryReply{Held: true, Head: head}, nil
		})
		listener, err := storage.Listen("10.2.0.1:7783")
		c.Assert(err, qt.IsNil)
		go func() { _ = server.Serve(listener) }()

		d := newDispatcher(&settings.Settings{
			Node: "edge-1", IP: "10.1.0.1", Zone: "z", Zones: map[string]string{"z": "r"},
			InternalPorts: []int{7780, 7795}, Network: edge,
		}, logr.Discard())
		d.takeConfiguration(view.Configuration{
			Revision: 1, Raw: []byte(oneRoute), Stores: []view.Node{{Name: "storage-1", Zone: "z", Address: "10.2.0.1:7783"}},
		})
		d.takeSenders(view.Senders{List: []view.Sender{{ID: "i", Service: "s", Address: "10.5.0.1:80", Zone: "z", Slots: 1}}})
		owned := &ownedQueue{Queue: queue.New(d.localQueue, 1), accepting: map[string]chan struct{}{}}
		d.mutex.Lock()
		d.queues[d.localQueue] = owned
		entry := owned.Add(d.now(), protocol.Head{
			ID: "m", Method: "POST", Host: "a.example", Target: "/a/m", BodySize: 5, Retention: time.Minute,
		}, nil, []string{"storage-1"})
		d.pump(owned)
		d.mutex.Unlock()

		time.Sleep(time.Second)
		d.mutex.Lock()
		c.Check(entry.Head.State, qt.Equals, protocol.Completed)
		c.Check(entry.Head.Stamp, qt.Equals, "seal")
		c.Check(owned.Running(), qt.Equals, 0)
		d.mutex.Unlock()
		d.end()
		edge.Kill()
		storage.Kill()
		time.Sleep(10 * time.Second)
	})
}
