package transport

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

// serve starts a server on loopback and returns its address.
func serve(c *qt.C, server *Server) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	c.Cleanup(server.Close)
	return listener.Addr().String()
}

func newServer() *Server {
	return NewServer(protocol.Identity{Node: "server", Role: "store"}, logr.Discard())
}

func TestCallReachesItsHandler(t *testing.T) {
	c := qt.New(t)
	server := newServer()
	Handle(server, func(_ context.Context, peer *Peer, request protocol.Query) (protocol.QueryReply, error) {
		return protocol.QueryReply{Held: true, Head: protocol.Head{ID: request.ID, Host: peer.Identity.Node}}, nil
	})
	client := NewClient(protocol.Identity{Node: "caller"}, serve(c, server))
	defer client.Close()
	for range 3 {
		reply, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{ID: "m"})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Head.ID, qt.Equals, "m")
		c.Assert(reply.Head.Host, qt.Equals, "caller")
	}
}

func TestUnknownRequestReturnsAnError(t *testing.T) {
	c := qt.New(t)
	client := NewClient(protocol.Identity{}, serve(c, newServer()))
	defer client.Close()
	_, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{})
	c.Assert(err, qt.ErrorMatches, ".*answers no protocol.Query.*")
}

func TestFailedDialMeansNotRun(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := listener.Addr().String()
	c.Assert(listener.Close(), qt.IsNil)
	client := NewClient(protocol.Identity{}, address)
	_, err = Call[protocol.QueryReply](context.Background(), client, protocol.Query{})
	c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
}

func TestLostConnectionMeansMayHaveRun(t *testing.T) {
	c := qt.New(t)
	server := newServer()
	started := make(chan struct{})
	Handle(server, func(ctx context.Context, _ *Peer, _ protocol.Query) (protocol.QueryReply, error) {
		close(started)
		<-ctx.Done()
		return protocol.QueryReply{}, ctx.Err()
	})
	client := NewClient(protocol.Identity{}, serve(c, server))
	failed := make(chan error, 1)
	go func() {
		_, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{})
		failed <- err
	}()
	<-started
	server.Close()
	c.Assert(verdict.Of(<-failed), qt.Equals, verdict.MayHaveRun)
}

func TestPeerOfAnotherVersionIsRefused(t *testing.T) {
	c := qt.New(t)
	address := serve(c, newServer())
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	writer, reader := newFrameWriter(conn), newFrameReader(conn)
	c.Assert(writer.write(hello{Version: protocol.Version + 1}), qt.IsNil)
	c.Assert(writer.flush(), qt.IsNil)
	var reply hello
	c.Assert(reader.read(&reply), qt.IsNil)
	c.Assert(reader.read(&reply), qt.Equals, io.EOF)
}

func TestUnreadableFramesEndTheConnection(t *testing.T) {
	c := qt.New(t)
	server := newServer()
	closed := make(chan struct{})
	server.OnClose(func(*Peer) { close(closed) })
	address := serve(c, server)
	conn, err := net.Dial("tcp4", address)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	writer, reader := newFrameWriter(conn), newFrameReader(conn)
	c.Assert(clientHandshake(conn, protocol.Identity{}, reader, writer), qt.IsNil)
	_, err = conn.Write(binary.BigEndian.AppendUint32(nil, MaxFrame+1))
	c.Assert(err, qt.IsNil)
	<-closed
	c.Assert(server.Unreadable(), qt.Equals, uint64(1))
}

func TestValueMustFitItsFrame(t *testing.T) {
	c := qt.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	go func() {
		frame := binary.BigEndian.AppendUint32(nil, 2)
		_, _ = near.Write(append(frame, 100, 1, 2, 3, 4, 5))
	}()
	var reply hello
	c.Assert(newFrameReader(far).read(&reply), qt.IsNotNil)
}

func BenchmarkCall(b *testing.B) {
	c := qt.New(b)
	server := newServer()
	Handle(server, func(_ context.Context, _ *Peer, _ protocol.Append) (protocol.AppendReply, error) {
		return protocol.AppendReply{Status: protocol.Stored}, nil
	})
	client := NewClient(protocol.Identity{}, serve(c, server))
	defer client.Close()
	request := protocol.Append{Message: protocol.Message{Body: make([]byte, 5000)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Call[protocol.AppendReply](context.Background(), client, request); err != nil {
			b.Fatal(err)
		}
	}
}

func TestClientCallsOnCloseWhenItsConnectionEnds(t *testing.T) {
	c := qt.New(t)
	server := newServer()
	Handle(server, func(_ context.Context, _ *Peer, _ protocol.Query) (protocol.QueryReply, error) {
		return protocol.QueryReply{}, nil
	})
	client := NewClient(protocol.Identity{}, serve(c, server))
	defer client.Close()
	ended := make(chan struct{})
	client.OnClose(func() { close(ended) })
	_, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{})
	c.Assert(err, qt.IsNil)
	server.Close()
	<-ended
}

// LOST: what does not fit into a frame fails its own call only; the other calls of the connection go on.
func TestOversizeFrameFailsOnlyItsCall(t *testing.T) {
	c := qt.New(t)
	server := newServer()
	connections := 0
	server.OnConnect(func(*Peer) { connections++ })
	Handle(server, func(_ context.Context, _ *Peer, request protocol.Query) (protocol.QueryReply, error) {
		if request.WithBody {
			return protocol.QueryReply{Body: make([]byte, MaxFrame)}, nil
		}
		return protocol.QueryReply{Head: protocol.Head{ID: request.ID}}, nil
	})
	client := NewClient(protocol.Identity{Node: "caller"}, serve(c, server))
	defer client.Close()
	for range 2 {
		_, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{WithBody: true})
		c.Check(err, qt.ErrorMatches, ".*over the limit.*")
		_, err = Call[protocol.AppendReply](context.Background(), client, protocol.Append{Message: protocol.Message{Body: make([]byte, MaxFrame)}})
		c.Check(err, qt.ErrorMatches, ".*over the limit.*")
		c.Check(verdict.Of(err), qt.Equals, verdict.NotRun)
		reply, err := Call[protocol.QueryReply](context.Background(), client, protocol.Query{ID: "m"})
		c.Check(err, qt.IsNil)
		c.Check(reply.Head.ID, qt.Equals, "m")
	}
	c.Check(connections, qt.Equals, 1)
}
