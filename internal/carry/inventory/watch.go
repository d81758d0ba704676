// Package inventory speaks with the platform's discovery: it watches it over one
// connection, reads the lists and changes that come, and tells of each.
package inventory

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"yardwharf/internal/carry/http1"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/sock"
)

const (
	dialTime   = time.Second
	answerTime = 4 * time.Second // for the first line: calls wait in turn
	// longestGap is how long a watch may say nothing: discovery sends a line each 2 s.
	longestGap = 2500 * time.Millisecond
	// toldAfter is when what a silent watch misses counts as told, from its last line on
	// (the platform's page on the standing test).
	toldAfter  = 6 * time.Second
	agentTime  = 200 * time.Millisecond // for an agent on this machine to answer: it does so at once
	agentAgain = 100 * time.Millisecond // until it is called again
	maxList    = 8 << 20                // bytes of a list
	readBuffer = 16 << 10
)

// Listener is told of what discovery says. Where lists are pushed only Listed is called.
type Listener interface {
	// Listed is called for each list and each change.
	Listed(l List)
	// Failed is called once the call for a watch has failed or the watch has
	// broken off.
	Failed()
	// Silent is called once a watch that stood has fallen silent, or a call has had no word in
	// answer; what it misses counts as told in so long. Not for one such call after the other:
	// these have failed.
	Silent(left time.Duration)
}

// Watcher watches discovery. There is one watch at a time. Where lists are pushed, the
// address is that of an agent on this machine: what it has counts as told, so that it is
// called again by itself, at once and for as long as it takes.
type Watcher struct {
	loop     *loop.Loop
	log      zerolog.Logger
	address  netip.AddrPort
	listener Listener
	index    uint64
	watch    *watch // nil while there is none
	broken   bool   // the last one has failed
	mute     bool   // and never said anything
	pushed   bool
	again    loop.Timer    // pushed: the next call
	silence  time.Duration // longestGap, and shorter in tests
	answer   time.Duration // answerTime or agentTime, likewise
}

// NewWatcher returns a Watcher that starts from what was known. Pushed says that an agent
// on this machine answers, and not one discovery that all dispatchers share.
func NewWatcher(l *loop.Loop, log zerolog.Logger, address netip.AddrPort, known List, pushed bool) *Watcher {
	w := &Watcher{loop: l, log: log, address: address, index: known.Index, pushed: pushed, silence: longestGap, answer: answerTime}
	if pushed {
		w.answer = agentTime
	}
	w.again.Task = loop.Func(w.Watch)
	return w
}

// Listen sets who is told; it comes before the first Watch.
func (w *Watcher) Listen(l Listener) { w.listener = l }

// Watch begins a watch, in place of one that may stand. The listener hears of its
// first list or of its failure, not before Watch has returned.
func (w *Watcher) Watch() {
	w.loop.Clear(&w.again)
	if w.watch != nil {
		w.watch.close()
	}
	c := &watch{w: w, fd: -1, began: w.loop.Now(), alive: w.loop.Now()}
	w.watch = c
	c.timer.Task = loop.Func(func() { c.fail(errSilence) })
	if err := c.dial(); err != nil {
		w.loop.Defer(loop.Func(func() { c.fail(err) }))
	}
}

// Move begins a watch at another discovery, in place of one that may stand. It
// asks for the whole list: the other need not count versions as the old one did.
func (w *Watcher) Move(address netip.AddrPort) {
	w.address, w.index = address, 0
	w.Watch()
}

// Close ends the watch without a word to the listener.
func (w *Watcher) Close() {
	w.loop.Clear(&w.again)
	if w.watch != nil {
		w.watch.close()
		w.watch = nil
	}
}

// take tells the listener of a list. Changes that are older than what is held are passed over:
// guards against a list that takes back a drain.
func (w *Watcher) take(l List) {
	if !l.Snapshot && l.Index < w.index {
		return
	}
	w.index = l.Index
	w.listener.Listed(l)
}

// watch is one connection to discovery.
type watch struct {
	w      *Watcher
	fd     int // -1 where there is none
	up     bool
	closed bool
	timer  loop.Timer
	unsent [][]byte
	in     []byte
	have   int
	head   http1.Head
	inBody bool
	body   http1.Body
	text   object
	listed bool // the first list has come
	began  time.Duration
	alive  time.Duration // when its last line came, or it began
}

func (c *watch) dial() error {
	fd, _, err := sock.Dial(c.w.address)
	if err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	if err := c.w.loop.Add(fd, loop.In|loop.Out, c); err != nil {
		return fmt.Errorf("inventory: %w", err)
	}
	c.fd = fd
	request := "GET /v1/endpoints?watch=1&from=" + strconv.FormatUint(c.w.index, 10) +
		" HTTP/1.1\r\nHost: " + c.w.address.String() + "\r\n\r\n"
	c.unsent = [][]byte{[]byte(request)}
	c.w.loop.Set(&c.timer, c.w.loop.Now()+min(dialTime, c.w.answer))
	return nil
}

func (c *watch) close() {
	if !c.closed {
		c.closed = true
		c.w.loop.Clear(&c.timer)
		if c.fd >= 0 {
			c.w.loop.CloseFD(c.fd)
		}
	}
}

// fail ends the watch and tells so. The inventory stays as it is.
func (c *watch) fail(err error) {
	if c.closed {
		return
	}
	c.close()
	mute := c.w.mute
	c.w.watch, c.w.mute = nil, !c.listed
	if !c.w.broken {
		c.w.broken = true
		c.w.log.Warn().Err(err).Uint64("index", c.w.index).Msg("discovery watch lost")
	}
	switch {
	case c.w.pushed:
		c.w.loop.Set(&c.w.again, c.w.loop.Now()+agentAgain)
	case errors.Is(err, errSilence) && (c.listed || !mute):
		c.w.listener.Silent(toldAfter - (c.w.loop.Now() - c.alive))
	default:
		c.w.listener.Failed()
	}
}

// Ready implements loop.Handler.
func (c *watch) Ready(events uint32) {
	if !c.up {
		if err := sock.Dialled(c.fd); err != nil {
			c.fail(err)
			return
		}
		c.up = true
		c.w.loop.Set(&c.timer, c.w.loop.Now()+c.patience())
	}
	if len(c.unsent) > 0 {
		var err error
		if c.unsent, err = sock.Write(c.fd, c.unsent); err != nil && !errors.Is(err, sock.ErrWait) {
			c.fail(err)
			return
		}
		if len(c.unsent) == 0 {
			if err := c.w.loop.Want(c.fd, loop.In); err != nil {
				c.fail(err)
				return
			}
		}
	}
	if events&^loop.Out != 0 {
		c.read()
	}
}

func (c *watch) read() {
	if c.in == nil {
		c.in = make([]byte, max(readBuffer, http1.MaxHead))
	}
	for !c.closed {
		n, err := sock.Read(c.fd, c.in[c.have:])
		if errors.Is(err, sock.ErrWait) {
			return
		}
		if err == nil && n == 0 {
			err = errors.New("closed by discovery")
		}
		if err == nil {
			c.have += n
			err = c.parse()
		}
		if err != nil {
			c.fail(err)
		}
	}
}

// parse goes through the bytes that are there.
func (c *watch) parse() error {
	used := 0
	if !c.inBody {
		err := c.head.ParseResponse(c.in[:c.have])
		if errors.Is(err, http1.ErrShort) {
			return nil
		}
		if err != nil {
			return err
		}
		if c.head.Status != 200 {
			return fmt.Errorf("discovery answered %d", c.head.Status)
		}
		c.body.Response(&c.head)
		c.inBody, used = true, c.head.Size
	}
	for !c.closed {
		data, n, err := c.body.Next(c.in[used:c.have])
		if err != nil {
			return err
		}
		used += n
		if err := c.content(data); err != nil {
			return err
		}
		if n == 0 {
			break
		}
	}
	if c.closed {
		return nil
	}
	if c.body.Done() {
		return errors.New("discovery ended the watch")
	}
	c.have = copy(c.in, c.in[used:c.have])
	return nil
}

// content takes a piece of the body, and reads the lists that are whole by then.
func (c *watch) content(data []byte) error {
	for len(data) > 0 && !c.closed {
		var alive bool
		if data, alive = c.text.take(data); !alive {
			if len(c.text.have) > maxList {
				return errors.New("list too large")
			}
			return nil
		}
		if text := c.text.have; len(text) > 0 {
			l, err := ParseList(text)
			if err != nil {
				return err
			}
			c.text.have = text[:0]
			if !c.listed {
				c.listed, c.w.broken = true, false
				c.w.log.Info().Uint64("index", l.Index).Int("entries", len(l.Endpoints)).
					Bool("snapshot", l.Snapshot).Dur("took", c.w.loop.Now()-c.began).Msg("discovery watch stands")
			}
			c.w.take(l)
		}
		if !c.closed {
			c.alive = c.w.loop.Now()
			c.w.loop.Set(&c.timer, c.alive+c.patience())
		}
	}
	return nil
}

// patience is how long the next line may take. Guards against a watch over a
// connection that stands and says nothing: its changes would be missed.
func (c *watch) patience() time.Duration {
	if c.listed {
		return c.w.silence
	}
	return c.w.answer
}

var errSilence = errors.New("silence")

// object cuts a stream into objects of JSON, whatever lines these are spread over.
type object struct {
	have    []byte // the object up to now, with what stands before it on its line
	depth   int
	quoted  bool
	escaped bool
}

// take takes bytes up to the end of an object or, outside of one, of a line: either is
// a sign of life. It returns what comes after, and whether there was an end.
func (o *object) take(data []byte) (rest []byte, end bool) {
	for i, b := range data {
		switch {
		case o.escaped:
			o.escaped = false
		case o.quoted:
			o.escaped, o.quoted = b == '\\', b != '"'
		case b == '"':
			o.quoted = true
		case b == '{' || b == '[':
			o.depth++
		case b == '}' || b == ']':
			o.depth--
			end = o.depth <= 0
		case b == '\n':
			end = o.depth <= 0
		}
		if end {
			o.depth = 0
			o.have = append(o.have, data[:i+1]...)
			if len(bytes.TrimSpace(o.have)) == 0 {
				o.have = o.have[:0]
			}
			return data[i+1:], true
		}
	}
	o.have = append(o.have, data...)
	return nil, false
}
