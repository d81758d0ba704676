package transport

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

const (
	dialTimeout  = 250 * time.Millisecond // a host that is starting drops the first packet; the next try finds it
	backoffLeast = 20 * time.Millisecond
	backoffMost  = 500 * time.Millisecond
	silenceMost  = 2 * time.Second // a connection with calls open and nothing received for so long is given up
	callQueue    = 256
)

var errNotConnected = Class.New("not connected")

// RemoteError is an error that the other process answered with.
type RemoteError struct{ Text string }

// Error returns the text as received.
func (e *RemoteError) Error() string { return e.Text }

// Client calls one process. It connects when it is first used and again after
// a failure, with growing pauses. Its methods may be called by many goroutines.
type Client struct {
	network  network.Network
	identity protocol.Identity
	address  string
	onClose  func()

	mutex   sync.Mutex
	current *clientConn
	dialing chan struct{} // closed when the running attempt to connect has ended
	pause   time.Duration
	retryAt time.Time
	closed  bool
}

// NewClient returns a client over TCP that has not connected yet.
func NewClient(identity protocol.Identity, address string) *Client {
	return NewClientOn(network.TCP, identity, address)
}

// NewClientOn returns a client over a network that has not connected yet.
func NewClientOn(on network.Network, identity protocol.Identity, address string) *Client {
	return &Client{network: on, identity: identity, address: address, onClose: func() {}}
}

// OnClose registers a function that is called when a connection has ended. It
// must be called before the client is first used.
func (c *Client) OnClose(call func()) { c.onClose = call }

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Connected reports whether a connection is up.
func (c *Client) Connected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.current != nil
}

// Close ends the connection; calls in progress fail.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	current := c.current
	c.current = nil
	c.mutex.Unlock()
	if current != nil {
		current.fail()
	}
}

// Call sends a request and waits for its reply. Its errors carry a verdict.
func Call[Reply any](ctx context.Context, c *Client, request any) (Reply, error) {
	var none Reply
	body, err := c.call(ctx, request)
	if err != nil {
		return none, err
	}
	reply, ok := body.(Reply)
	if !ok {
		return none, verdict.New(verdict.MayHaveRun, Class.New("reply of type %T", body))
	}
	return reply, nil
}

func (c *Client) call(ctx context.Context, request any) (any, error) {
	conn, err := c.connection(ctx)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, err)
	}
	return conn.call(ctx, request)
}

// connection returns the open connection, or waits for one.
func (c *Client) connection(ctx context.Context) (*clientConn, error) {
	for {
		c.mutex.Lock()
		switch {
		case c.closed:
			c.mutex.Unlock()
			return nil, errNotConnected
		case c.current != nil:
			conn := c.current
			c.mutex.Unlock()
			return conn, nil
		case c.dialing == nil && time.Now().Before(c.retryAt):
			c.mutex.Unlock()
			return nil, errNotConnected
		case c.dialing == nil:
			c.dialing = make(chan struct{})
			go c.dial()
		}
		dialing := c.dialing
		c.mutex.Unlock()
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, Class.Wrap(ctx.Err())
		}
	}
}

func (c *Client) dial() {
	conn, err := dialConn(c.network, c.identity, c.address)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	close(c.dialing)
	c.dialing = nil
	switch {
	case err != nil:
		c.pause = min(max(2*c.pause, backoffLeast), backoffMost)
		c.retryAt = time.Now().Add(c.pause)
	case c.closed:
		conn.fail()
	default:
		c.pause = 0
		c.current = conn
		go c.watch(conn)
	}
}

// watch forgets a connection when it has failed.
func (c *Client) watch(conn *clientConn) {
	<-conn.ctx.Done()
	c.mutex.Lock()
	if c.current == conn {
		c.current = nil
	}
	c.mutex.Unlock()
	c.onClose()
}

// clientConn is one connection with its calls in progress.
type clientConn struct {
	conn     net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan envelope
	received atomic.Int64 // time of the last frame, in nanoseconds since started
	started  time.Time

	mutex   sync.Mutex
	last    uint64
	pending map[uint64]chan envelope
}

func dialConn(on network.Network, identity protocol.Identity, address string) (*clientConn, error) {
	limited, stop := context.WithTimeout(context.Background(), dialTimeout)
	defer stop()
	conn, err := on.Dial(limited, address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	tune(conn)
	reader, writer := newFrameReader(conn), newFrameWriter(conn)
	if err := greetServer(conn, identity, reader, writer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clientConn{
		conn: conn, ctx: ctx, cancel: cancel, started: time.Now(),
		requests: make(chan envelope, callQueue), pending: map[uint64]chan envelope{},
	}
	go writeAll(ctx, conn, writer, c.requests)
	go c.readAll(reader)
	return c, nil
}

func greetServer(conn net.Conn, identity protocol.Identity, reader *frameReader, writer *frameWriter) error {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if err := writer.write(hello{Version: protocol.Version, Identity: identity}); err != nil {
		return err
	}
	if err := writer.flush(); err != nil {
		return err
	}
	var reply hello
	if err := reader.read(&reply); err != nil {
		return Class.Wrap(err)
	}
	if reply.Version != protocol.Version {
		return Class.New("%s speaks version %d, not %d", reply.Identity.Node, reply.Version, protocol.Version)
	}
	if compresses(identity, reply.Identity) {
		reader.compress()
		writer.compress()
	}
	return Class.Wrap(conn.SetDeadline(time.Time{}))
}

func (c *clientConn) call(ctx context.Context, request any) (any, error) {
	reply := make(chan envelope, 1)
	c.mutex.Lock()
	c.last++
	id := c.last
	c.pending[id] = reply
	c.mutex.Unlock()
	defer c.forget(id)

	select {
	case c.requests <- envelope{Call: id, Body: request}:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, ctx.Err())
	case <-c.ctx.Done():
		return nil, verdict.New(verdict.NotRun, errNotConnected)
	}
	select {
	case answer := <-reply:
		if answer.Error != "" {
			return nil, verdict.New(verdict.MayHaveRun, &RemoteError{answer.Error})
		}
		return answer.Body, nil
	case <-ctx.Done():
		c.giveUpIfSilent()
		return nil, verdict.New(verdict.MayHaveRun, ctx.Err())
	case <-c.ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, errors.New("connection lost"))
	}
}

// giveUpIfSilent ends a connection on which nothing has come for long.
func (c *clientConn) giveUpIfSilent() {
	if time.Since(c.started)-time.Duration(c.received.Load()) > silenceMost {
		c.fail()
	}
}

func (c *clientConn) forget(id uint64) {
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
}

func (c *clientConn) readAll(reader *frameReader) {
	defer c.fail()
	for {
		var answer envelope
		if err := reader.read(&answer); err != nil {
			return
		}
		c.received.Store(int64(time.Since(c.started)))
		c.mutex.Lock()
		reply := c.pending[answer.Call]
		delete(c.pending, answer.Call)
		c.mutex.Unlock()
		if reply != nil {
			reply <- answer
		}
	}
}

// fail ends the connection and all calls on it.
func (c *clientConn) fail() {
	c.cancel()
	_ = c.conn.Close()
}
