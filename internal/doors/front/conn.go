package front

import (
	"errors"
	"strconv"
	"time"

	"golang.org/x/sys/unix"

	"yardwharf"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/http1"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/lru"
	"yardwharf/internal/carry/sock"
)

const (
	bufferSize = 4 << 10
	maxBody    = 64 << 10
	maxTaken   = http1.MaxHead + 2*maxBody // of one request, chunked as it may be
	lingerTime = time.Second               // for the client to read the last answer and to end its side
	lingerEnd  = 200 * time.Millisecond    // the same while the program ends
	// wholeTime is how long a request may take from its first byte to its last, and
	// the first one of a connection from when that was accepted.
	wholeTime = 2500 * time.Millisecond
	stallTime = 5 * time.Second        // for the rest of an answer
	readsTurn = 4                      // reads of a connection in one turn of the loop
	restTime  = 100 * time.Millisecond // no request is read for so long after a bad one
)

// stage says what a connection is at.
type stage uint8

const (
	waiting stage = iota // for a request, or reading one
	owing                // a message is taken and not answered
	writing              // an answer is not all written
	leaving              // the own sending has ended; what still comes is thrown away
)

// conn is a client's connection. It carries one message at a time.
type conn struct {
	f       *Front
	fd      int
	closed  bool
	spot    lru.Spot[conn]
	stage   stage
	wants   uint32
	last    bool       // the connection ends after this answer
	gone    bool       // the client has ended its side; what it sent before may not be read yet
	yielded bool       // the dispatcher has been let finish with the message
	timer   loop.Timer // for a client that stalls
	born    time.Duration
	proven  bool // a message has been taken from it
	bad     bool // the request was answered as the client's error
	resting bool // nothing is read now
	rest    loop.Timer
	left    time.Duration // when it began to leave
	thrown  int           // bytes thrown away since
	lent    int           // bytes taken from the budget

	in   []byte // what has come: the current request, then what is behind it
	have int
	size int // bytes of the request, once it is whole
	head http1.Head

	parsed bool // the head is
	body   http1.Body
	taken  int // bytes of the request that are gone through
	end    int // end of the body's content; chunks are moved together in place

	message *dispatch.Message
	ticket  *ticket
	scratch []byte
	pieces  [4][]byte
	unsent  [][]byte
}

// ticket is what a message knows of its client. It outlives the connection.
type ticket struct {
	c    *conn
	lent bool // the message refers to the connection's buffer
	hash uint64
	id   []byte
}

// more is a connection as a Task: it goes on with the bytes that it has.
type more conn

// Run implements loop.Task.
func (m *more) Run() {
	c := (*conn)(m)
	if c.closed || c.stage != waiting {
		return
	}
	if c.resting {
		c.resting = false
		c.want(listened)
	}
	if !c.closed && c.have > 0 {
		c.parse()
	}
}

// listened is what is wanted of a connection that is read. That the client has ended its side
// is told beside what can be read before that end.
const listened = loop.In | loop.Hangup

// Ready implements loop.Handler.
func (c *conn) Ready(events uint32) {
	c.gone = c.gone || events&^(loop.In|loop.Out) != 0
	if events&loop.Out != 0 && c.stage == writing {
		c.flush()
	}
	switch {
	case c.closed || events&^loop.Out == 0:
	case c.resting: // only a hang-up is told now
		c.close()
	case c.stage == leaving:
		c.drop()
	default:
		c.read()
	}
}

func (c *conn) want(events uint32) {
	if c.closed || c.wants == events {
		return
	}
	c.wants = events
	if err := c.f.loop.Want(c.fd, events); err != nil {
		c.close()
	}
}

// stallAfter closes the connection unless the timer is taken back before. Guards
// against clients that hold connections and neither send nor read on.
func (c *conn) stallAfter(d time.Duration) { c.closeAt(c.f.loop.Now() + d) }

func (c *conn) closeAt(at time.Duration) {
	if c.timer.Task == nil {
		c.timer.Task = loop.Func(c.close)
	}
	c.f.loop.Set(&c.timer, at)
}

// await sets the time by which a request must have come that has begun to, or that
// is the first. No byte renews it. Guards against clients that are silent, send
// half a request, or one byte at a time.
func (c *conn) await() {
	if c.proven {
		c.stallAfter(c.f.whole)
	} else {
		c.closeAt(c.born + c.f.whole)
	}
}

// close ends the connection; a message that is still owed is withdrawn.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.f.idle.Remove(&c.spot)
	c.f.loop.Clear(&c.timer)
	c.f.loop.Clear(&c.rest)
	c.f.budget.Give(c.lent)
	c.lent = 0
	c.f.loop.CloseFD(c.fd)
	delete(c.f.conns, c)
	if c.stage == owing {
		c.f.dispatcher.Withdraw(c.message)
	}
}

// idle says whether nothing of a request has come and nothing is owed.
func (c *conn) idle() bool { return c.stage == waiting && c.have == 0 }

// read takes in what has come. While an answer is owed it reads on, to learn that
// the client has gone, as far as there is room.
func (c *conn) read() {
	for range readsTurn { // the loop tells again of what is left
		if c.have == len(c.in) {
			if c.stage == owing || c.stage == writing || len(c.in) >= maxTaken {
				c.hangUpOnly()
				return
			}
			if !c.grow() {
				c.reject(503)
				return
			}
		}
		n, err := sock.Read(c.fd, c.in[c.have:])
		if errors.Is(err, sock.ErrWait) {
			return
		}
		if err != nil || n == 0 {
			c.close()
			return
		}
		c.have += n
		if c.stage == waiting {
			if c.proven {
				c.f.idle.Remove(&c.spot)
				if c.have == n { // the request has begun
					c.await()
				}
			}
			c.parse()
		}
		if c.closed || c.have < len(c.in) {
			return
		}
	}
}

// drop throws away what still comes after the own sending has ended: it is no request any
// more, as its answer could not be written. Guards the last answer, which a close over bytes
// that were not read would reset. Past a bound the rest is left unread: guards against an
// endless body.
func (c *conn) drop() {
	for range readsTurn {
		n, err := sock.Read(c.fd, c.f.waste[:])
		if errors.Is(err, sock.ErrWait) {
			return
		}
		if err != nil || n == 0 {
			c.close()
			return
		}
		if c.thrown += n; c.thrown > maxTaken {
			c.hangUpOnly()
			return
		}
	}
}

// hangUpOnly reads no more for now; of a hang-up, which may have come, it wants to
// be told still.
func (c *conn) hangUpOnly() {
	switch {
	case c.gone:
		c.close()
	case len(c.unsent) > 0:
		c.want(loop.Hangup | loop.Out)
	default:
		c.want(loop.Hangup)
	}
}

// grow makes room for more of a request; a request's own bound is kept by parse.
func (c *conn) grow() bool {
	n := min(max(bufferSize, len(c.in)), maxTaken-len(c.in))
	if !c.f.room(c, n) {
		return false
	}
	c.in = append(c.in, make([]byte, n)...)
	return true
}

// parse goes on with the request that is being read.
func (c *conn) parse() {
	if !c.parsed {
		switch err := c.head.ParseRequest(c.in[:c.have]); {
		case err == nil:
		case errors.Is(err, http1.ErrShort):
			return
		case errors.Is(err, http1.ErrTooLarge):
			c.reject(431)
			return
		default:
			c.reject(400)
			return
		}
		if c.head.Length > maxBody {
			c.reject(413)
			return
		}
		c.body.Request(&c.head)
		c.parsed, c.taken, c.end = true, c.head.Size, c.head.Size
	}
	for {
		data, n, err := c.body.Next(c.in[c.taken:c.have])
		if err != nil {
			c.reject(400)
			return
		}
		c.taken += n
		c.end += copy(c.in[c.end:], data)
		if c.end-c.head.Size > maxBody || c.taken > maxTaken {
			c.reject(413)
			return
		}
		if c.body.Done() {
			break
		}
		if n == 0 {
			return
		}
	}
	if c.proven {
		c.f.loop.Clear(&c.timer)
	}
	c.size = c.taken
	c.last = c.head.Close || c.f.closing || c.f.away
	c.request()
}

// request acts on a whole request.
func (c *conn) request() {
	if string(c.head.Method) == "GET" && string(c.head.Target) == "/ready" {
		if c.f.ready {
			c.answer(200, nil, 0)
		} else {
			c.answer(503, nil, 0)
		}
		return
	}
	p, in, status := c.f.message(&c.head, c.in[c.head.Size:c.end])
	if status != 0 {
		c.answer(status, nil, 0)
		return
	}
	if c.f.maxOpen > 0 && c.f.dispatcher.Open() >= c.f.maxOpen {
		c.answer(503, nil, 0)
		return
	}
	if c.gone { // before anything of it was begun
		c.close()
		return
	}
	if !c.f.register(c.ticket, p.ID) {
		c.answer(400, nil, 0)
		return
	}
	c.stage, c.proven = owing, true
	c.f.idle.Remove(&c.spot)
	c.f.silent.Remove(&c.spot)
	c.f.loop.Clear(&c.timer)
	c.ticket.lent = true
	// The answer may be given before Take returns.
	c.message = c.f.dispatcher.Take(p, in, c.ticket)
}

// Served implements dispatch.Client.
func (t *ticket) Served(result []byte) { t.c.answer(200, result, 0) }

// Refused implements dispatch.Client.
func (t *ticket) Refused(after time.Duration) { t.c.answer(503, nil, after) }

// Failed implements dispatch.Client.
func (t *ticket) Failed() { t.c.answer(502, nil, 0) }

// Gone implements dispatch.Client. The end of the client's side may wait in the loop behind
// what begins an attempt, so the socket is asked.
func (t *ticket) Gone() bool {
	if c := t.c; !c.closed && c.ticket == t && sock.HungUp(c.fd) {
		c.close()
	}
	return t.c.closed
}

// Released implements dispatch.Client.
func (t *ticket) Released() {
	t.lent = false
	t.c.f.forget(t)
}

// reject answers what cannot be read, and closes.
func (c *conn) reject(status int) {
	c.last, c.size = true, c.have
	c.answer(status, nil, 0)
}

// answer writes an answer. What comes behind it is put off, as the caller may be
// the Balancer.
func (c *conn) answer(status int, body []byte, after time.Duration) {
	if c.closed {
		return
	}
	c.stage, c.bad = writing, status/100 == 4
	c.last = c.last || c.f.closing || c.f.away
	b := append(c.scratch[:0], "HTTP/1.1 "...)
	b = append(b, statusLine(status)...)
	if after > 0 {
		b = append(b, "\r\nRetry-After: "...)
		b = strconv.AppendFloat(b, after.Seconds(), 'f', -1, 64)
	}
	if c.last {
		b = append(b, "\r\nConnection: close"...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(body)), 10)
	b = append(b, "\r\n\r\n"...)
	c.scratch = b
	rest, err := sock.Write(c.fd, append(c.pieces[:0], b, body))
	switch {
	case err == nil:
	case errors.Is(err, sock.ErrWait): // the result is the caller's: keep what is left
		var left []byte
		for _, p := range rest {
			left = append(left, p...)
		}
		if !c.f.budget.Take(len(left)) { // a client that does not read
			c.close()
			return
		}
		c.lent += len(left)
		c.unsent = [][]byte{left}
		c.want(listened | loop.Out)
		c.stallAfter(stallTime)
		return
	default:
		c.unsent = nil
		c.last = true
	}
	c.f.loop.Defer(c)
}

// flush writes on.
func (c *conn) flush() {
	if len(c.unsent) == 0 {
		return
	}
	rest, err := sock.Write(c.fd, c.unsent)
	c.unsent = rest
	switch {
	case err == nil:
		c.f.loop.Defer(c)
	case errors.Is(err, sock.ErrWait):
	default:
		c.close()
	}
}

// Run implements loop.Task: the answer is written, and the next request may come.
func (c *conn) Run() {
	if c.closed {
		return
	}
	if c.ticket.lent && !c.yielded { // most often it is Released within this round
		c.yielded = true
		c.f.loop.Defer(c)
		return
	}
	if c.proven {
		c.f.loop.Clear(&c.timer)
	}
	if c.last {
		c.leave()
	} else {
		c.advance()
	}
}

// leave ends the sending and waits for a bounded time for the client to end its own: the way
// in which each connection ends that the client has not left. Guards the last answer: closing
// over bytes that were not read, which may come in the very moment, resets the connection and
// takes with it what is on its way.
func (c *conn) leave() {
	c.stage, c.resting = leaving, false
	c.f.loop.Clear(&c.rest)
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.close()
		return
	}
	c.f.idle.Remove(&c.spot) // or of the silent ones
	c.f.leaving.Add(&c.spot, c)
	c.left = c.f.loop.Now()
	c.stallAfter(c.f.linger)
	c.want(listened)
}

// advance begins the next request with what is there of it.
func (c *conn) advance() {
	behind := c.in[c.size:c.have]
	if c.ticket.lent {
		// Relays still refer to the request: it stays where it is. Guards against
		// a copy on its way to a host that would carry the next message's bytes.
		c.in = append(make([]byte, 0, max(bufferSize, len(behind))), behind...)
		c.in = c.in[:cap(c.in)]
		c.have = len(behind)
		c.ticket = &ticket{c: c}
	} else {
		c.have = copy(c.in, behind)
		if len(c.in) > bufferSize && c.have == 0 {
			c.in = nil
		}
	}
	c.f.budget.Give(c.lent - len(c.in))
	c.lent = len(c.in)
	c.message, c.parsed, c.yielded, c.size = nil, false, false, 0
	c.stage = waiting
	if c.have > 0 || !c.proven {
		c.await()
	} else {
		c.f.idle.Add(&c.spot, c)
	}
	switch {
	case c.bad:
		// Guards against clients that ask again at once, at full speed.
		c.resting, c.rest.Task = true, (*more)(c)
		c.f.loop.Set(&c.rest, c.f.loop.Now()+c.f.restFor)
		c.want(loop.Hangup)
	case c.have > 0: // one request a turn
		c.f.loop.Yield((*more)(c))
		fallthrough
	default:
		c.want(listened)
	}
}

func statusLine(status int) string {
	switch status {
	case 200:
		return "200 OK"
	case 400:
		return "400 Bad Request"
	case 404:
		return "404 Not Found"
	case 405:
		return "405 Method Not Allowed"
	case 413:
		return "413 Content Too Large"
	case 431:
		return "431 Request Header Fields Too Large"
	case 502:
		return "502 Bad Gateway"
	}
	return "503 Service Unavailable"
}

var _ dispatch.Client = (*ticket)(nil)

// message reads what a request's head says of the message; a status other than 0
// is the answer to one that says too little.
func (f *Front) message(h *http1.Head, body []byte) (dispatch.Payload, yardwharf.Request, int) {
	p := dispatch.Payload{ID: h.Get("X-Txn"), Key: h.Get("Idempotency-Key"),
		Method: h.Method, Target: h.Target, Body: body}
	class := f.class(h.Target)
	p.Once = class >= 0 && f.classes[class].Effect == yardwharf.Unsafe
	switch {
	case class < 0:
		return p, yardwharf.Request{}, 404
	case string(h.Method) != "POST":
		return p, yardwharf.Request{}, 405
	case !http1.IsVisible(p.ID), p.Key != nil && !http1.IsVisible(p.Key),
		f.classes[class].Effect == yardwharf.Keyed && p.Key == nil:
		return p, yardwharf.Request{}, 400
	}
	patience := f.classes[class].Deadline
	if v := h.Get("X-Remaining"); v != nil {
		s, err := strconv.ParseFloat(string(v), 64)
		if err != nil || !(s >= 0 && s < maxPatience.Seconds()) {
			return p, yardwharf.Request{}, 400
		}
		patience = time.Duration(s * float64(time.Second))
	}
	in := yardwharf.Request{Class: class, Deadline: f.loop.Now() + patience,
		Tenant: f.tenant(h.Get("X-Org")), Slots: 1, Retry: string(h.Get("X-Resent")) == "1"}
	labels(h.Get("X-Labels"), &in)
	return p, in, 0
}
