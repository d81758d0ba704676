package transport

import (
	"context"
	"fmt"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
)

const (
	handshakeTimeout = 3 * time.Second
	replyQueueSize   = 256
)

// Peer is the process at the other end of an accepted connection.
type Peer struct {
	Identity protocol.Identity
	done     chan struct{}
	lastRead atomic.Pointer[time.Time]
}

// Silence returns how long ago the last request of this connection was read.
func (p *Peer) Silence() time.Duration { return time.Since(*p.lastRead.Load()) }

// noteRead records that a request, or the handshake, was read now.
func (p *Peer) noteRead() {
	now := time.Now()
	p.lastRead.Store(&now)
}

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.done }

type handler func(ctx context.Context, peer *Peer, request any) (any, error)

// Server accepts connections and answers calls.
type Server struct {
	identity   protocol.Identity
	log        logr.Logger
	handlers   map[reflect.Type]handler
	onConnect  func(*Peer)
	onClose    func(*Peer)
	unreadable atomic.Uint64

	mutex       sync.Mutex
	listener    net.Listener
	connections map[net.Conn]struct{}
	stopped     bool
	lastRefusal string // host and cause of the last refused connection
}

// NewServer returns a server without handlers.
func NewServer(identity protocol.Identity, log logr.Logger) *Server {
	return &Server{
		identity: identity, log: log,
		handlers:    map[reflect.Type]handler{},
		connections: map[net.Conn]struct{}{},
		onConnect:   func(*Peer) {}, onClose: func(*Peer) {},
	}
}

// Handle registers the handler for requests of one type. It must be called
// before Serve. The handler may be called concurrently.
func Handle[Request, Reply any](s *Server, handle func(ctx context.Context, peer *Peer, request Request) (Reply, error)) {
	var prototype Request
	s.handlers[reflect.TypeOf(prototype)] = func(ctx context.Context, peer *Peer, request any) (any, error) {
		return handle(ctx, peer, request.(Request))
	}
}

// OnConnect registers a function that is called after the handshake of each connection.
func (s *Server) OnConnect(callback func(*Peer)) { s.onConnect = callback }

// OnClose registers a function that is called when a connection has ended.
func (s *Server) OnClose(callback func(*Peer)) { s.onClose = callback }

// Identity returns the identity that the server sends in its handshake.
func (s *Server) Identity() protocol.Identity { return s.identity }

// Unreadable returns the number of connections that were closed because of a
// failed handshake or an invalid frame.
func (s *Server) Unreadable() uint64 { return s.unreadable.Load() }

// Serve answers calls on a listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	s.mutex.Lock()
	s.listener = listener
	stopped := s.stopped
	s.mutex.Unlock()
	if stopped {
		return listener.Close()
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			s.mutex.Lock()
			stopped = s.stopped
			s.mutex.Unlock()
			if stopped {
				return nil
			}
			if temporary, ok := err.(net.Error); ok && temporary.Timeout() {
				continue
			}
			return Class.Wrap(err)
		}
		go s.serve(conn)
	}
}

// Close closes the listener and all connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.connections {
		_ = conn.Close()
	}
}

// track records an open connection. It returns false if the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mutex.Lock()
	delete(s.connections, conn)
	s.mutex.Unlock()
	_ = conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	if !s.track(conn) {
		_ = conn.Close()
		return
	}
	defer s.untrack(conn)
	setTCPTimeouts(conn)
	reader, writer := newFrameReader(conn), newFrameWriter(conn)
	peer, err := s.handshake(conn, reader, writer)
	if err != nil {
		s.unreadable.Add(1)
		s.logRefused(conn.RemoteAddr(), err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	replies := make(chan envelope, replyQueueSize)
	loop := &writeLoop{conn: conn, writer: writer, queue: replies, writing: &stopwatch{}}
	loop.tooLarge = func(reply envelope, err error) error {
		s.log.Info("reply too large", "to", peer.Identity.Node, "reply", fmt.Sprintf("%T", reply.Body), "cause", err.Error())
		return writer.write(envelope{Call: reply.Call, Reply: true, Error: err.Error()})
	}
	go loop.run(ctx)
	s.onConnect(peer)
	for {
		var request envelope
		if err := reader.read(&request); err != nil {
			if Class.Has(err) {
				s.unreadable.Add(1)
			}
			break
		}
		peer.noteRead()
		go s.handleRequest(ctx, peer, request, replies)
	}
	cancel()
	close(peer.done)
	s.onClose(peer)
}

// logRefused logs a refused connection. It uses level 0 only if the host or the
// cause differs from the previous one, because a refused peer keeps retrying.
func (s *Server) logRefused(from net.Addr, cause error) {
	host, _, err := net.SplitHostPort(from.String())
	if err != nil {
		host = from.String()
	}
	refusal := host + ": " + cause.Error()
	s.mutex.Lock()
	repeated := s.lastRefusal == refusal
	s.lastRefusal = refusal
	s.mutex.Unlock()
	log := s.log
	if repeated {
		log = log.V(1)
	}
	log.Info("connection refused", "from", host, "cause", cause.Error())
}

// handshake exchanges hello frames with a client and checks its version.
func (s *Server) handshake(conn net.Conn, reader *frameReader, writer *frameWriter) (*Peer, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
	var peerHello hello
	if err := reader.read(&peerHello); err != nil {
		return nil, err
	}
	if err := writer.write(hello{Version: protocol.Version, Identity: s.identity}); err != nil {
		return nil, err
	}
	if err := writer.flush(); err != nil {
		return nil, err
	}
	if peerHello.Version != protocol.Version {
		return nil, fmt.Errorf("%s speaks version %d, not %d", peerHello.Identity.Node, peerHello.Version, protocol.Version)
	}
	if shouldCompress(s.identity, peerHello.Identity) {
		reader.enableCompression()
		writer.enableCompression()
	}
	peer := &Peer{Identity: peerHello.Identity, done: make(chan struct{})}
	peer.noteRead()
	return peer, conn.SetDeadline(time.Time{})
}

func (s *Server) handleRequest(ctx context.Context, peer *Peer, request envelope, replies chan<- envelope) {
	reply := envelope{Call: request.Call, Reply: true}
	handle := s.handlers[reflect.TypeOf(request.Body)]
	if handle == nil {
		reply.Error = fmt.Sprintf("%s answers no %T", s.identity.Role, request.Body)
	} else if body, err := handle(ctx, peer, request.Body); err != nil {
		reply.Error = err.Error()
	} else {
		reply.Body = body
	}
	select {
	case replies <- reply:
	case <-ctx.Done():
	}
}
