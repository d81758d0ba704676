package simnet

import (
	"io"
	"net"
	"os"
	"syscall"
	"time"
)

// windowSize bounds the bytes that wait for a reader.
const windowSize = 256 << 10

// segment is a piece of a stream on its way.
type segment struct {
	data    []byte
	arrives time.Time
}

// stream is one direction of a connection. The network's mutex guards it.
type stream struct {
	segments []segment
	waiting  int   // bytes in segments
	ended    bool  // the writer closed it
	failure  error // the connection broke
}

// connection is one end of a simulated connection.
type connection struct {
	network       *Network
	owner         *Process // nil for the machine's kernel after the process has gone
	local, remote string   // machines
	localAddress  address
	remoteAddress address
	peer          *connection
	incoming      *stream
	outgoing      *stream
	closed        bool
	readUntil     time.Time
	writeUntil    time.Time
}

// address is a simulated TCP address.
type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

func (c *connection) LocalAddr() net.Addr  { return c.localAddress }
func (c *connection) RemoteAddr() net.Addr { return c.remoteAddress }

// Read returns bytes that have arrived.
func (c *connection) Read(p []byte) (int, error) {
	n := c.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		until := c.readUntil
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case expired(until):
			return 0, os.ErrDeadlineExceeded
		case n.frozen[c.local]: // wait
		case c.incoming.failure != nil:
			return 0, c.incoming.failure
		case len(c.incoming.segments) > 0:
			first := &c.incoming.segments[0]
			if n.blocked(c.remote, c.local) {
				break
			}
			if wait := time.Until(first.arrives); wait > 0 {
				until = earliest(until, first.arrives)
				break
			}
			count := copy(p, first.data)
			first.data = first.data[count:]
			c.incoming.waiting -= count
			if len(first.data) == 0 {
				c.incoming.segments = c.incoming.segments[1:]
			}
			if c.incoming.waiting+count >= windowSize {
				n.broadcast()
			}
			return count, nil
		case c.incoming.ended && !n.blocked(c.remote, c.local):
			return 0, io.EOF
		}
		n.wait(c, until)
	}
}

// Write sends bytes; it waits while the peer does not read.
func (c *connection) Write(p []byte) (int, error) {
	n := c.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for {
		switch {
		case c.closed:
			return 0, net.ErrClosed
		case expired(c.writeUntil):
			return 0, os.ErrDeadlineExceeded
		case n.frozen[c.local]: // wait
		case c.incoming.failure != nil:
			return 0, c.incoming.failure
		case c.outgoing.waiting < windowSize:
			c.send(p)
			return len(p), nil
		}
		n.wait(c, c.writeUntil)
	}
}

// send puts bytes on their way. The mutex is held.
func (c *connection) send(p []byte) {
	n := c.network
	if c.peer.closed {
		// The bytes meet a closed socket, which resets the connection.
		n.after(n.latency(c.local, c.remote)*2, func() { n.breakEnd(c, syscall.ECONNRESET) })
		return
	}
	arrives := time.Now().Add(n.latency(c.local, c.remote))
	c.outgoing.segments = append(c.outgoing.segments, segment{append([]byte(nil), p...), arrives})
	c.outgoing.waiting += len(p)
	if n.blocked(c.local, c.remote) || n.blocked(c.remote, c.local) {
		n.watchSilence(c)
	}
	n.wake(c.peer)
}

// Close ends both directions; what was written still arrives.
func (c *connection) Close() error {
	n := c.network
	n.mutex.Lock()
	defer n.mutex.Unlock()
	c.closeLocked()
	return nil
}

func (c *connection) closeLocked() {
	if c.closed {
		return
	}
	c.closed = true
	n := c.network
	delete(n.connections, c)
	n.wake(c)
	if n.silent[c.local] {
		return // a machine without power says nothing
	}
	peer := c.peer
	failure := error(nil)
	if len(c.incoming.segments) > 0 {
		failure = syscall.ECONNRESET // bytes that nobody read
	}
	n.after(n.latency(c.local, c.remote), func() { n.deliverEnd(c, peer, failure) })
}

// SetDeadline sets both deadlines.
func (c *connection) SetDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readUntil, c.writeUntil = t, t })
}

// SetReadDeadline sets the deadline of reads.
func (c *connection) SetReadDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.readUntil = t })
}

// SetWriteDeadline sets the deadline of writes.
func (c *connection) SetWriteDeadline(t time.Time) error {
	return c.setDeadlines(func() { c.writeUntil = t })
}

func (c *connection) setDeadlines(set func()) error {
	c.network.mutex.Lock()
	defer c.network.mutex.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	set()
	c.network.wake(c)
	return nil
}

func expired(until time.Time) bool { return !until.IsZero() && !time.Now().Before(until) }

// earliest returns the earlier of two moments; zero is never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
