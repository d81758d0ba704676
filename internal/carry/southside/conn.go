package southside

import (
	"errors"
	"net/netip"
	"strconv"
	"time"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/http1"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/lru"
	"yardwharf/internal/carry/sock"
)

const (
	bufferSize = 4 << 10
	maxLine    = 128 << 10 // a result of 64 KiB, escaped, with what stands around it

	leastLeft      = time.Millisecond // X-Remaining tells no less; an attempt with less left is not sent
	remainingPiece = 8                // where X-Remaining's value stands among a request's pieces
)

// conn is a connection to a host. It carries one relay or probe at a time.
type conn struct {
	p       *Pool
	h       *host
	address netip.AddrPort // it was dialled to
	fd      int
	timer   loop.Timer

	begun  time.Duration // when it was dialled
	upBy   time.Duration // given up if it is not up by then
	up     bool
	closed bool
	parked bool          // among the idle ones
	since  time.Duration // when it was parked
	spot   lru.Spot[conn]

	kept  bool            // it was parked before what is on it now, of which no word has come
	relay *dispatch.Relay // nil for a probe, and once the relay has ended
	probe bool
	sent  time.Duration // of a probe

	until     time.Duration
	wants     uint32
	length    []byte // Content-Length as written
	remaining []byte // X-Remaining as written
	pieces    [16][]byte
	unsent    [][]byte // what is left of the pieces
	touched   bool     // a byte has gone out

	in     []byte
	have   int // bytes in it
	head   http1.Head
	inBody bool
	body   http1.Body
	answer answer
	line   []byte // the answer's line, or a probe's body, as far as it has come
	lent   int    // bytes of both taken from the budget
}

// fresh says whether an idle connection may be used. Guards against a hidden
// repeat: one that is about to be closed by the host, has been, or holds bytes
// that nobody asked for would end the relay as a reset, which may have run.
func (c *conn) fresh() bool {
	return c.p.loop.Now() < c.expiry() && sock.Quiet(c.fd)
}

func (c *conn) expiry() time.Duration {
	return c.since + time.Duration(idlePart*float64(c.p.idle))
}

// park puts a connection among the idle ones.
func (c *conn) park() {
	if c.h.away || c.address != c.h.address { // guards an address that a host has left
		c.close()
		return
	}
	c.parked, c.since = true, c.p.loop.Now()
	c.h.idle = append(c.h.idle, c)
	c.p.spare.Add(&c.spot, c)
	c.p.loop.Set(&c.timer, c.expiry())
	if cap(c.in) > bufferSize {
		c.in = nil
	}
	if cap(c.line) > bufferSize {
		c.line = nil
	}
	c.hold()
}

// hold books the size of the buffers with the budget that all connections share;
// it says whether they are within it.
func (c *conn) hold() bool {
	size := len(c.in) + cap(c.line)
	if size > c.lent && !c.p.budget.Take(size-c.lent) {
		return false
	}
	c.p.budget.Give(max(0, c.lent-size))
	c.lent = size
	return true
}

// unpark takes it out again.
func (c *conn) unpark() {
	for i, other := range c.h.idle {
		if other == c {
			c.h.idle = append(c.h.idle[:i], c.h.idle[i+1:]...)
			break
		}
	}
	c.p.spare.Remove(&c.spot)
	c.parked = false
}

// close ends the connection, with or without a relay on it.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	if c.parked {
		c.unpark()
	}
	c.p.loop.Clear(&c.timer)
	c.p.loop.CloseFD(c.fd)
	c.p.open--
	c.unsent = nil
	clear(c.pieces[:])
	c.p.budget.Give(c.lent)
	c.lent = 0
}

// writeRelay lays out a relay's request, all but the time that is left.
func (c *conn) writeRelay(r *dispatch.Relay) {
	m := &r.Message.Payload
	c.length = strconv.AppendInt(c.length[:0], int64(len(m.Body)), 10)
	out := append(c.pieces[:0], m.Method, []byte(" "), m.Target,
		[]byte(" HTTP/1.1\r\nHost: "), c.h.name, []byte("\r\nX-Txn: "), m.ID,
		[]byte("\r\nX-Remaining: "), nil) // the last one is remainingPiece
	if len(m.Key) > 0 {
		out = append(out, []byte("\r\nIdempotency-Key: "), m.Key)
	}
	c.unsent = append(out, []byte("\r\nContent-Length: "), c.length, []byte("\r\n\r\n"), m.Body)
}

// writeRemaining puts the time that is left into a request of which no byte has gone out.
// It is rounded down: the host is never told more than there is.
func (c *conn) writeRemaining(left time.Duration) {
	c.remaining = strconv.AppendFloat(c.remaining[:0], left.Truncate(time.Millisecond).Seconds(), 'f', 3, 64)
	c.unsent[remainingPiece] = c.remaining
}

// writeProbe lays out a probe.
func (c *conn) writeProbe() {
	c.unsent = append(c.pieces[:0], []byte("GET /status/load HTTP/1.1\r\nHost: "), c.h.name, []byte("\r\n\r\n"))
}

// begin starts what has been laid out.
func (c *conn) begin(until time.Duration) {
	c.until, c.touched, c.inBody, c.have, c.line = until, false, false, 0, c.line[:0]
	c.answer, c.kept = answer{}, c.since > 0
	if !c.up {
		c.upBy = c.p.loop.Now() + c.p.patience(c.h)
		until = min(until, c.upBy)
	}
	c.p.loop.Set(&c.timer, until)
	if c.up {
		c.p.loop.Defer(c.task())
	}
}

// task writes once the caller has returned: what fails must not be told before.
func (c *conn) task() loop.Task { return (*writer)(c) }

type writer conn

// Run implements loop.Task.
func (w *writer) Run() {
	if c := (*conn)(w); !c.closed {
		c.write()
	}
}

// Run implements loop.Task: the connection's time is up.
func (c *conn) Run() {
	switch {
	case c.parked:
		c.close()
	case !c.up:
		c.p.reached(c.h, errors.New("not up in time"))
		if c.relay != nil { // cut short by its own deadline, it tells nothing
			c.relay.Silent = c.p.loop.Now() >= c.upBy
		}
		c.end(yardwharf.ConnectFailed)
	default:
		c.end(yardwharf.Timeout)
	}
}

// Ready implements loop.Handler.
func (c *conn) Ready(events uint32) {
	if !c.up {
		err := sock.Dialled(c.fd)
		if c.p.reached(c.h, err); err != nil {
			c.end(yardwharf.ConnectFailed)
			return
		}
		c.up = true
		c.p.cameUp(c.p.loop.Now() - c.begun)
		c.p.loop.Set(&c.timer, c.until)
	}
	if events&loop.Out != 0 && len(c.unsent) > 0 {
		if c.write(); c.closed {
			return
		}
	}
	if events&^loop.Out != 0 {
		c.read()
	}
	if !c.closed && len(c.unsent) == 0 {
		c.want(loop.In)
	}
}

func (c *conn) want(events uint32) {
	if c.wants != events {
		c.wants = events
		if err := c.p.loop.Want(c.fd, events); err != nil {
			c.end(yardwharf.Reset)
		}
	}
}

// mayBegin says whether the first byte may go out, and how what is on the connection ends where it
// may not. Guards the drain: one that has waited for its connection must not begin at a host that
// has been away, or has left this address, for the grace; nor where nobody waits for it any more.
// One whose time is over as its connection comes up tells nothing of the host.
func (c *conn) mayBegin(now time.Duration) (yardwharf.Status, bool) {
	switch {
	case c.h.away && now >= c.h.until, c.address != c.h.address && now >= c.h.moved:
		return yardwharf.ConnectFailed, false
	case c.relay == nil: // a probe
		return yardwharf.OK, true
	case c.relay.Until-now < leastLeft:
		return yardwharf.NotRun, false
	case !c.relay.MayBegin():
		return yardwharf.ConnectFailed, false // unless a client that has gone has called it off by now
	}
	return yardwharf.OK, true
}

// write puts out what it can, and is the one place where an attempt begins. Only now is it known
// how long that took, so the time that is left is worked out here: guards the host against work
// for a client that will not wait for it.
func (c *conn) write() {
	if !c.touched {
		now := c.p.loop.Now()
		if st, may := c.mayBegin(now); !may {
			c.end(st)
			return
		}
		if c.relay != nil {
			c.writeRemaining(c.relay.Until - now)
		}
	}
	before := pending(c.unsent)
	rest, err := sock.Write(c.fd, c.unsent)
	c.unsent = rest
	c.touched = c.touched || pending(rest) < before
	switch {
	case err == nil:
		c.unsent = nil
		clear(c.pieces[:])
	case errors.Is(err, sock.ErrWait):
		c.want(loop.In | loop.Out)
	default:
		c.end(yardwharf.ConnectFailed)
	}
}

func pending(pieces [][]byte) (n int) {
	for _, p := range pieces {
		n += len(p)
	}
	return n
}

// end closes the connection and ends what was on it. A request of which a byte is
// left unwritten has never run, however it ended; any other may have.
func (c *conn) end(st yardwharf.Status) {
	if c.closed {
		return
	}
	if len(c.unsent) > 0 && st != yardwharf.NotRun {
		st = yardwharf.ConnectFailed
	}
	if c.kept && st == yardwharf.Reset {
		c.kept = false
		if c.p.reused(true); c.relay != nil {
			c.relay.Stale = true
		}
	}
	c.close()
	c.finish(st, nil, nil)
}

// finish tells how the relay or probe ended; the connection may go on.
func (c *conn) finish(st yardwharf.Status, result []byte, load []float32) {
	if len(c.unsent) > 0 { // what is left of the payload is not ours any longer
		c.close()
	}
	if c.probe {
		// The callee may start a relay on this very connection, which has not ended.
		c.probe = false
		took := c.p.loop.Now() - c.sent
		if !c.up && c.p.loop.Now() >= c.upBy {
			took = max(took, c.p.dial)
		}
		c.p.probed.Probed(c.h.id, st, took, load)
		return
	}
	if r := c.relay; r != nil {
		c.relay = nil
		r.End(st, result, load)
	}
}

// read takes in what has come.
func (c *conn) read() {
	for !c.closed {
		if c.have == len(c.in) {
			if len(c.in) >= http1.MaxHead+bufferSize {
				c.end(yardwharf.Reset)
				return
			}
			if c.in = append(c.in, make([]byte, max(bufferSize, len(c.in)))...); !c.hold() {
				c.end(yardwharf.Reset)
				return
			}
		}
		n, err := sock.Read(c.fd, c.in[c.have:])
		if errors.Is(err, sock.ErrWait) {
			return
		}
		if err != nil || n == 0 {
			c.hangUp()
			return
		}
		full := c.have+n == len(c.in)
		c.have += n
		c.parse()
		if !full {
			return
		}
	}
}

// hangUp is the end of the stream from the host's side.
func (c *conn) hangUp() {
	if c.inBody && c.body.ToClose() {
		c.close()
		c.finish(c.answer.status, nil, c.lastLoad())
		return
	}
	c.end(yardwharf.Reset)
}

// parse goes through the bytes that are there. Guards against answers that nobody
// asked for: a connection with bytes beyond its answer is not used again.
func (c *conn) parse() {
	used := 0
	for !c.closed {
		if !c.inBody {
			if c.relay == nil && !c.probe {
				c.end(yardwharf.Reset)
				return
			}
			err := c.head.ParseResponse(c.in[used:c.have])
			if errors.Is(err, http1.ErrShort) {
				break
			}
			if err != nil {
				c.end(yardwharf.Reset)
				return
			}
			used += c.head.Size
			if c.kept {
				c.kept = false
				c.p.reused(false)
			}
			if c.head.Status < 200 { // interim
				continue
			}
			c.body.Response(&c.head)
			c.inBody = true
			if c.headCame(); c.closed {
				return
			}
		}
		data, n, err := c.body.Next(c.in[used:c.have])
		used += n
		if err != nil {
			c.end(yardwharf.Reset)
			return
		}
		if len(data) > 0 {
			c.content(data)
		}
		if c.closed {
			return
		}
		if c.body.Done() {
			c.inBody = false
			c.bodyCame(used == c.have)
			return
		}
		if n == 0 {
			break
		}
	}
	if !c.closed {
		c.have = copy(c.in, c.in[used:c.have])
	}
}

// bodyCame is the end of an answer.
func (c *conn) bodyCame(clean bool) {
	st, load := c.answer.status, c.lastLoad()
	// A connection whose request is not all out, or with bytes behind its answer,
	// cannot carry another.
	if reusable := clean && !c.answer.close && len(c.unsent) == 0; !reusable {
		c.close()
	} else {
		c.have = 0
		c.p.loop.Clear(&c.timer)
		c.park()
	}
	c.finish(st, nil, load)
}
