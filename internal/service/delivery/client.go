package delivery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"yardwharf/internal/service/network"
	"yardwharf/internal/service/verdict"
)

const (
	dialTimeout    = 300 * time.Millisecond
	responseSlack  = 25 * time.Millisecond // extra time for the response after the sender's own deadline
	minDeadline    = time.Millisecond
	defaultTimeout = 10 * time.Second
	sweepInterval  = 500 * time.Millisecond
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client delivers messages and callbacks. It is safe for concurrent use.
type Client struct {
	dial      DialFunc
	now       func() time.Time
	callbacks *http.Client

	mutex    sync.Mutex
	pools    map[string]*pool // by address
	sweeping bool
	closed   bool
}

// NewClient returns a client that dials over TCP.
func NewClient() *Client { return newClient(dialTCP, time.Now) }

// NewClientOn returns a client that dials on the given network.
func NewClientOn(on network.Network) *Client {
	if on == network.TCP {
		return NewClient()
	}
	client := newClient(on.Dial, time.Now)
	client.callbacks = newCallbackClient(on)
	return client
}

func newClient(dial DialFunc, now func() time.Time) *Client {
	return &Client{dial: dial, now: now, callbacks: newCallbackClient(network.TCP), pools: make(map[string]*pool)}
}

// Close closes all idle connections. Deliveries under way are not interrupted.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closed = true
	for address, p := range c.pools {
		p.closeIdle()
		delete(c.pools, address)
	}
	c.callbacks.CloseIdleConnections()
}

// Deliver sends a message to a sender and waits for the response.
func (c *Client) Deliver(ctx context.Context, request Request) Result {
	started := c.now()
	result := c.deliver(ctx, &request, started)
	result.Latency = c.now().Sub(started)
	return result
}

func (c *Client) deliver(ctx context.Context, request *Request, started time.Time) Result {
	if request.Timeout <= 0 {
		request.Timeout = defaultTimeout
	}
	if !request.writable() {
		return Result{Verdict: verdict.NotRun, RetryAfter: NoRetryAfter, Err: ErrInvalid}
	}
	deadline := started.Add(request.Timeout)
	for {
		conn, err := c.acquire(ctx, request, deadline)
		if err != nil {
			return Result{Verdict: verdict.NotRun, RetryAfter: NoRetryAfter, Err: err}
		}
		result, nothingWritten := c.exchange(ctx, conn, request, deadline)
		if nothingWritten && conn.reused && c.now().Before(deadline) {
			continue // the idle connection had been closed: no byte was written
		}
		return result
	}
}

// acquire takes an idle connection or opens a new one.
func (c *Client) acquire(ctx context.Context, request *Request, deadline time.Time) (*connection, error) {
	for {
		conn, err := c.takeIdleOrReserve(request)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if conn.usable() {
			return conn, nil
		}
		c.discard(conn)
	}
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, deadline.Sub(c.now())))
	defer cancel()
	raw, err := c.dial(ctx, request.Address)
	if err != nil {
		c.releaseSlot(request.Address)
		return nil, Class.Wrap(&dialError{err})
	}
	return newConnection(raw, request.Address), nil
}

// exchange writes the request and reads the response. nothingWritten reports whether
// writing failed before the first byte.
func (c *Client) exchange(ctx context.Context, conn *connection, request *Request, deadline time.Time) (result Result, nothingWritten bool) {
	reusable := false
	defer func() {
		if reusable {
			c.putIdle(conn)
		} else {
			c.discard(conn)
		}
	}()
	result = Result{RetryAfter: NoRetryAfter, Connected: true, Reused: conn.reused}
	if stop := context.AfterFunc(ctx, func() { _ = conn.raw.Close() }); ctx.Done() != nil {
		defer stop()
	}
	remaining := max(minDeadline, deadline.Sub(c.now()))
	_ = conn.raw.SetDeadline(time.Now().Add(remaining + responseSlack))
	if request.MayBegin != nil && !request.MayBegin() {
		reusable = conn.reused
		result.Verdict, result.Err = verdict.NotRun, ErrNotBegun
		return result, false
	}
	conn.recordCarried(request.Head.ID)
	conn.received = false
	written, writeErr := conn.write(request, remaining)
	if written == 0 && writeErr != nil {
		result.Verdict, result.Err = verdict.NotRun, Class.Wrap(writeErr)
		return result, true
	}
	// Even after a failed write the sender may have responded.
	answer, err := conn.read(request)
	result.Answered = conn.received
	if err != nil {
		result.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
		result.Err = Class.Wrap(errors.Join(writeErr, err))
		return result, false
	}
	reusable = answer.reusable && writeErr == nil
	conn.idleFor = answer.idleFor
	answer.classify(&result)
	return result, false
}

// dialError is the reason why no connection could be opened.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// dialFailed reports whether the delivery ended because no connection could be opened.
func (r *Result) dialFailed() bool {
	var dialErr *dialError
	return errors.As(r.Err, &dialErr)
}
