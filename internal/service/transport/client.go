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
	dialTimeout   = 250 * time.Millisecond // short, because a starting host drops the first packet and the next attempt succeeds
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = 500 * time.Millisecond
	maxSilence    = 2 * time.Second // a call that times out after this long without a received frame closes the connection
	callQueueSize = 256
)

var errNotConnected = Class.New("not connected")

// RemoteError is an error returned by the remote process.
type RemoteError struct{ Text string }

// Error returns the text as received.
func (e *RemoteError) Error() string { return e.Text }

// Client calls one process. It connects on first use and reconnects after a
// failure with exponential backoff. It is safe for concurrent use.
type Client struct {
	network  network.Network
	identity protocol.Identity
	address  string
	onClose  func()

	mutex        sync.Mutex
	conn         *clientConn
	dialing      chan struct{} // closed when the current connection attempt ends; nil if there is none
	dialingSince time.Time
	backoff      time.Duration
	retryAt      time.Time
	closed       bool
}

// NewClient returns a client over TCP. It does not connect yet.
func NewClient(identity protocol.Identity, address string) *Client {
	return NewClientOn(network.TCP, identity, address)
}

// NewClientOn returns a client over the given network. It does not connect yet.
func NewClientOn(nw network.Network, identity protocol.Identity, address string) *Client {
	return &Client{network: nw, identity: identity, address: address, onClose: func() {}}
}

// OnClose registers a function that is called whenever a connection has ended.
// It must be called before the client is first used.
func (c *Client) OnClose(callback func()) { c.onClose = callback }

// Address returns the address that the client connects to.
func (c *Client) Address() string { return c.address }

// Connected reports whether the client has an open connection.
func (c *Client) Connected() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.conn != nil
}

// Close closes the connection. Calls in progress fail.
func (c *Client) Close() {
	c.mutex.Lock()
	c.closed = true
	current := c.conn
	c.conn = nil
	c.mutex.Unlock()
	if current != nil {
		current.fail()
	}
}

// Call sends a request and waits for its reply. Its errors carry a
// verdict on whether the request may have run.
func Call[Reply any](ctx context.Context, c *Client, request any) (Reply, error) {
	var zero Reply
	body, err := c.call(ctx, request)
	if err != nil {
		return zero, err
	}
	reply, ok := body.(Reply)
	if !ok {
		return zero, verdict.New(verdict.MayHaveRun, Class.New("reply of type %T", body))
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

// connection returns the open connection, or connects and waits. During the
// backoff after a failed attempt it returns errNotConnected.
func (c *Client) connection(ctx context.Context) (*clientConn, error) {
	for {
		c.mutex.Lock()
		switch {
		case c.closed:
			c.mutex.Unlock()
			return nil, errNotConnected
		case c.conn != nil:
			conn := c.conn
			c.mutex.Unlock()
			return conn, nil
		case c.dialing == nil && time.Now().Before(c.retryAt):
			c.mutex.Unlock()
			return nil, errNotConnected
		case c.dialing == nil:
			c.dialing = make(chan struct{})
			c.dialingSince = time.Now()
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
		c.backoff = min(max(2*c.backoff, minBackoff), maxBackoff)
		c.retryAt = time.Now().Add(c.backoff)
	case c.closed:
		conn.fail()
	default:
		c.backoff = 0
		c.conn = conn
		go c.watch(conn)
	}
}

// watch drops a connection once it has failed and calls onClose.
func (c *Client) watch(conn *clientConn) {
	<-conn.ctx.Done()
	c.mutex.Lock()
	if c.conn == conn {
		c.conn = nil
	}
	c.mutex.Unlock()
	c.onClose()
}

// clientConn is one connection and its pending calls.
type clientConn struct {
	conn     net.Conn
	ctx      context.Context
	cancel   context.CancelFunc
	requests chan envelope
	received atomic.Int64 // when the last frame arrived, in nanoseconds since started
	started  time.Time
	writing  stopwatch

	mutex   sync.Mutex
	lastID  uint64 // ID of the last call
	pending map[uint64]chan envelope
}

func dialConn(nw network.Network, identity protocol.Identity, address string) (*clientConn, error) {
	dialCtx, cancelDial := context.WithTimeout(context.Background(), dialTimeout)
	defer cancelDial()
	conn, err := nw.Dial(dialCtx, address)
	if err != nil {
		return nil, Class.Wrap(err)
	}
	setTCPTimeouts(conn)
	reader, writer := newFrameReader(conn), newFrameWriter(conn)
	if err := clientHandshake(conn, identity, reader, writer); err != nil {
		_ = conn.Close()
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c := &clientConn{
		conn: conn, ctx: ctx, cancel: cancel, started: time.Now(),
		requests: make(chan envelope, callQueueSize), pending: map[uint64]chan envelope{},
	}
	loop := &writeLoop{conn: conn, writer: writer, queue: c.requests, writing: &c.writing, tooLarge: c.reject}
	go loop.run(ctx)
	go c.readLoop(reader)
	return c, nil
}

func clientHandshake(conn net.Conn, identity protocol.Identity, reader *frameReader, writer *frameWriter) error {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout))
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
	if shouldCompress(identity, reply.Identity) {
		reader.enableCompression()
		writer.enableCompression()
	}
	return Class.Wrap(conn.SetDeadline(time.Time{}))
}

func (c *clientConn) call(ctx context.Context, request any) (any, error) {
	reply := make(chan envelope, 1)
	c.mutex.Lock()
	c.lastID++
	id := c.lastID
	c.pending[id] = reply
	c.mutex.Unlock()
	defer c.removePending(id)

	select {
	case c.requests <- envelope{Call: id, Body: request}:
	case <-ctx.Done():
		return nil, verdict.New(verdict.NotRun, ctx.Err())
	case <-c.ctx.Done():
		return nil, verdict.New(verdict.NotRun, errNotConnected)
	}
	select {
	case answer := <-reply:
		if answer.unsent != nil {
			return nil, verdict.New(verdict.NotRun, answer.unsent)
		}
		if answer.Error != "" {
			return nil, verdict.New(verdict.MayHaveRun, &RemoteError{answer.Error})
		}
		return answer.Body, nil
	case <-ctx.Done():
		c.closeIfSilent()
		return nil, verdict.New(verdict.MayHaveRun, ctx.Err())
	case <-c.ctx.Done():
		return nil, verdict.New(verdict.MayHaveRun, errors.New("connection lost"))
	}
}

// closeIfSilent closes the connection if no frame has arrived for maxSilence.
func (c *clientConn) closeIfSilent() {
	if time.Since(c.started)-time.Duration(c.received.Load()) > maxSilence {
		c.fail()
	}
}

func (c *clientConn) removePending(id uint64) {
	c.mutex.Lock()
	delete(c.pending, id)
	c.mutex.Unlock()
}

func (c *clientConn) readLoop(reader *frameReader) {
	defer c.fail()
	for {
		var answer envelope
		if err := reader.read(&answer); err != nil {
			return
		}
		c.received.Store(int64(time.Since(c.started)))
		c.deliver(answer)
	}
}

// deliver passes an answer to the call that waits for it.
func (c *clientConn) deliver(answer envelope) {
	c.mutex.Lock()
	reply := c.pending[answer.Call]
	delete(c.pending, answer.Call)
	c.mutex.Unlock()
	if reply != nil {
		reply <- answer
	}
}

// reject fails the call of a request that was not sent.
func (c *clientConn) reject(request envelope, cause error) error {
	c.deliver(envelope{Call: request.Call, Reply: true, unsent: Class.Wrap(cause)})
	return nil
}

// fail closes the connection, which fails all calls on it.
func (c *clientConn) fail() {
	c.cancel()
	_ = c.conn.Close()
}
