package transport

import (
	"sync/atomic"
	"time"
)

// LinkState describes what a client's connection is doing, to explain why calls are not answered.
type LinkState struct {
	Connected  bool          // the connection is open
	Connecting time.Duration // how long the connection attempt under way has taken; 0 if there is none
	Queued     int           // requests that wait to be written
	Pending    int           // requests without a reply
	Writing    time.Duration // how long the write under way has taken; 0 if there is none
	Silent     time.Duration // since the last frame arrived, or since the connection was opened
}

// State returns the current state of the client's connection.
func (c *Client) State() LinkState {
	c.mutex.Lock()
	conn := c.conn
	var state LinkState
	if c.dialing != nil {
		state.Connecting = time.Since(c.dialingSince)
	}
	c.mutex.Unlock()
	if conn == nil {
		return state
	}
	state.Connected = true
	state.Queued = len(conn.requests)
	state.Writing = conn.writing.elapsed()
	state.Silent = time.Since(conn.started) - time.Duration(conn.received.Load())
	conn.mutex.Lock()
	state.Pending = len(conn.pending)
	conn.mutex.Unlock()
	return state
}

// stopwatch measures an operation that another goroutine may observe while it is under way.
type stopwatch struct{ startedAt atomic.Pointer[time.Time] }

// start begins a measurement.
func (s *stopwatch) start() {
	now := time.Now()
	s.startedAt.Store(&now)
}

// stop ends the measurement.
func (s *stopwatch) stop() { s.startedAt.Store(nil) }

// elapsed returns how long the operation under way has taken, or 0 if there is none.
func (s *stopwatch) elapsed() time.Duration {
	startedAt := s.startedAt.Load()
	if startedAt == nil {
		return 0
	}
	return time.Since(*startedAt)
}
