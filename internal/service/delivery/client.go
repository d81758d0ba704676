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
	answerSlack    = 25 * time.Millisecond // that an answer may take beyond the sender's own deadline
	leastDeadline  = time.Millisecond
	defaultTimeout = 10 * time.Second
	sweepEvery     = 500 * time.Millisecond
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Client delivers messages. It is safe for use by several goroutines.
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

// NewClientOn returns a client that dials on a network.
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

// Close closes all idle connections. Deliveries under way end by themselves.
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

// Deliver sends a message to a sender and waits for its answer.
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
	until := started.Add(request.Timeout)
	for {
		conn, err := c.acquire(ctx, request, until)
		if err != nil {
			return Result{Verdict: verdict.NotRun, RetryAfter: NoRetryAfter, Err: err}
		}
		result, untouched := c.exchange(ctx, conn, request, until)
		if untouched && conn.reused && c.now().Before(until) {
			continue // an idle connection that was closed: not a byte was written
		}
		return result
	}
}

// acquire takes an idle connection, or opens one.
func (c *Client) acquire(ctx context.Context, request *Request, until time.Time) (*connection, error) {
	for {
		conn, err := c.takeIdle(request)
		if err != nil {
			return nil, err
		}
		if conn == nil {
			break
		}
		if conn.quiet() {
			return conn, nil
		}
		c.discard(conn)
	}
	ctx, cancel := context.WithTimeout(ctx, min(dialTimeout, until.Sub(c.now())))
	defer cancel()
	raw, err := c.dial(ctx, request.Address)
	if err != nil {
		c.release(request.Address)
		return nil, Class.Wrap(&dialError{err})
	}
	return newConnection(raw, request.Address), nil
}

// exchange writes the request and reads the answer. It reports whether not a byte
// was written.
func (c *Client) exchange(ctx context.Context, conn *connection, request *Request, until time.Time) (result Result, untouched bool) {
	reusable := false
	defer func() {
		if reusable {
			c.put(conn)
		} else {
			c.discard(conn)
		}
	}()
	result = Result{RetryAfter: NoRetryAfter, Connected: true, Reused: conn.reused}
	if stop := context.AfterFunc(ctx, func() { _ = conn.raw.Close() }); ctx.Done() != nil {
		defer stop()
	}
	left := max(leastDeadline, until.Sub(c.now()))
	_ = conn.raw.SetDeadline(time.Now().Add(left + answerSlack))
	conn.noteCarried(request.Head.ID)
	conn.received = false
	written, writeErr := conn.write(request, left)
	if written == 0 && writeErr != nil {
		result.Verdict, result.Err = verdict.NotRun, Class.Wrap(writeErr)
		return result, true
	}
	// After a broken write the answer may be there all the same.
	answer, err := conn.read(request)
	result.Answered = conn.received
	if err != nil {
		result.TimedOut = errors.Is(err, os.ErrDeadlineExceeded)
		result.Err = Class.Wrap(errors.Join(writeErr, err))
		return result, false
	}
	reusable = answer.reusable && writeErr == nil
	conn.idleFor = answer.idleFor
	answer.judge(&result)
	return result, false
}

// dialError says that no connection could be opened.
type dialError struct{ err error }

func (e *dialError) Error() string { return "dial: " + e.err.Error() }

func (e *dialError) Unwrap() error { return e.err }

// dialed reports whether the delivery ended because no connection could be opened.
func (r *Result) dialed() bool {
	var failed *dialError
	return errors.As(r.Err, &failed)
}
