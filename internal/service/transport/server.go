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
	helloTimeout = 3 * time.Second
	replyQueue   = 256
)

// Peer is the process at the other end of an accepted connection.
type Peer struct {
	Identity protocol.Identity
	done     chan struct{}
}

// Done is closed when the connection has ended.
func (p *Peer) Done() <-chan struct{} { return p.done }

type handler func(ctx context.Context, peer *Peer, request any) (any, error)

// Server accepts connections and answers calls.
type Server struct {
	identity  protocol.Identity
	log       logr.Logger
	handlers  map[reflect.Type]handler
	connected func(*Peer)
	closed    func(*Peer)
	unread    atomic.Uint64

	mutex       sync.Mutex
	listener    net.Listener
	connections map[net.Conn]struct{}
	stopped     bool
	refusal     string // host and cause of the last connection that was refused
}

// NewServer returns a server without handlers.
func NewServer(identity protocol.Identity, log logr.Logger) *Server {
	return &Server{
		identity: identity, log: log,
		handlers:    map[reflect.Type]handler{},
		connections: map[net.Conn]struct{}{},
		connected:   func(*Peer) {}, closed: func(*Peer) {},
	}
}

// Handle registers the function that answers requests of one type. It must be
// called before Serve. The function may be called by many goroutines at once.
func Handle[Request, Reply any](s *Server, handle func(ctx context.Context, peer *Peer, request Request) (Reply, error)) {
	var prototype Request
	s.handlers[reflect.TypeOf(prototype)] = func(ctx context.Context, peer *Peer, request any) (any, error) {
		return handle(ctx, peer, request.(Request))
	}
}

// OnConnect registers a function that is called for each new connection.
func (s *Server) OnConnect(call func(*Peer)) { s.connected = call }

// OnClose registers a function that is called when a connection has ended.
func (s *Server) OnClose(call func(*Peer)) { s.closed = call }

// Identity returns who the server introduces itself as.
func (s *Server) Identity() protocol.Identity { return s.identity }

// Unreadable returns how many connections were ended because of bytes that
// could not be read as frames.
func (s *Server) Unreadable() uint64 { return s.unread.Load() }

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

// Close ends the listener and all connections.
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

// track notes an open connection; it reports false when the server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped {
		return false
	}
	s.connections[conn] = struct{}{}
	return true
}

func (s *Server) forget(conn net.Conn) {
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
	defer s.forget(conn)
	tune(conn)
	reader, writer := newFrameReader(conn), newFrameWriter(conn)
	peer, err := s.greet(conn, reader, writer)
	if err != nil {
		s.unread.Add(1)
		s.logRefused(conn.RemoteAddr(), err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	replies := make(chan envelope, replyQueue)
	go writeAll(ctx, conn, writer, replies)
	s.connected(peer)
	for {
		var request envelope
		if err := reader.read(&request); err != nil {
			if Class.Has(err) {
				s.unread.Add(1)
			}
			break
		}
		go s.answer(ctx, peer, request, replies)
	}
	cancel()
	close(peer.done)
	s.closed(peer)
}

// logRefused logs a connection that was refused: at level 0 only where the host
// or the cause differs from the last one, as a refused peer tries again and again.
func (s *Server) logRefused(from net.Addr, cause error) {
	host, _, err := net.SplitHostPort(from.String())
	if err != nil {
		host = from.String()
	}
	refusal := host + ": " + cause.Error()
	s.mutex.Lock()
	repeated := s.refusal == refusal
	s.refusal = refusal
	s.mutex.Unlock()
	log := s.log
	if repeated {
		log = log.V(1)
	}
	log.Info("connection refused", "from", host, "cause", cause.Error())
}

// greet exchanges hello frames.
func (s *Server) greet(conn net.Conn, reader *frameReader, writer *frameWriter) (*Peer, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	var first hello
	if err := reader.read(&first); err != nil {
		return nil, err
	}
	if err := writer.write(hello{Version: protocol.Version, Identity: s.identity}); err != nil {
		return nil, err
	}
	if err := writer.flush(); err != nil {
		return nil, err
	}
	if first.Version != protocol.Version {
		return nil, fmt.Errorf("%s speaks version %d, not %d", first.Identity.Node, first.Version, protocol.Version)
	}
	if compresses(s.identity, first.Identity) {
		reader.compress()
		writer.compress()
	}
	return &Peer{Identity: first.Identity, done: make(chan struct{})}, conn.SetDeadline(time.Time{})
}

func (s *Server) answer(ctx context.Context, peer *Peer, request envelope, replies chan<- envelope) {
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

// writeAll sends envelopes and flushes when none waits. It closes the
// connection on an error, which ends the reader as well.
func writeAll(ctx context.Context, conn net.Conn, writer *frameWriter, queue <-chan envelope) {
	defer conn.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case next := <-queue:
			if writer.write(next) != nil {
				return
			}
		}
		for more := true; more; {
			select {
			case next := <-queue:
				if writer.write(next) != nil {
					return
				}
			default:
				more = false
			}
		}
		if writer.flush() != nil {
			return
		}
	}
}
