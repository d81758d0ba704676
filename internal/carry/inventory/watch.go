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
	longestGap = 3 * time.Second
	maxList    = 8 << 20 // bytes of a line
	readBuffer = 16 << 10
)

// Listener is told of what discovery says.
type Listener interface {
	// Listed is called for each list and each change.
	Listed(l List)
	// Failed is called once the call for a watch has failed or the watch has
	// broken off.
	Failed()
}

// Watcher watches discovery. There is one watch at a time.
type Watcher struct {
	loop     *loop.Loop
	log      zerolog.Logger
	address  netip.AddrPort
	listener Listener
	index    uint64
	watch    *watch // nil while there is none
	broken   bool   // the last one has failed
	silence  time.Duration
}

// NewWatcher returns a Watcher that starts from what was known.
func NewWatcher(l *loop.Loop, log zerolog.Logger, address netip.AddrPort, known List) *Watcher {
	return &Watcher{loop: l, log: log, address: address, index: known.Index, silence: longestGap}
}

// Listen sets who is told; it comes before the first Watch.
func (w *Watcher) Listen(l Listener) { w.listener = l }

// Watch begins a watch, in place of one that may stand. The listener hears of its
// first list or of its failure, not before Watch has returned.
func (w *Watcher) Watch() {
	if w.watch != nil {
		w.watch.close()
	}
	c := &watch{w: w, fd: -1}
	w.watch = c
	c.timer.Task = loop.Func(func() { c.fail(errors.New("silence")) })
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
	if w.watch != nil {
		w.watch.close()
		w.watch = nil
	}
}

// take tells the listener of a list.
func (w *Watcher) take(l List) {
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
	line   []byte
	listed bool // the first list has come
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
	c.w.loop.Set(&c.timer, c.w.loop.Now()+dialTime)
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
	c.w.watch = nil
	if !c.w.broken {
		c.w.broken = true
		c.w.log.Warn().Err(err).Uint64("index", c.w.index).Msg("discovery watch lost")
	}
	c.w.listener.Failed()
}

// Ready implements loop.Handler.
func (c *watch) Ready(events uint32) {
	if !c.up {
		if err := sock.Dialled(c.fd); err != nil {
			c.fail(err)
			return
		}
		c.up = true
		c.w.loop.Set(&c.timer, c.w.loop.Now()+answerTime)
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

// content takes a piece of the body; whole lines are read as lists.
func (c *watch) content(data []byte) error {
	for len(data) > 0 && !c.closed {
		piece, rest, whole := bytes.Cut(data, []byte("\n"))
		c.line = append(c.line, piece...)
		if data = rest; !whole {
			if len(c.line) > maxList {
				return errors.New("list too large")
			}
			return nil
		}
		if line := bytes.TrimSpace(c.line); len(line) > 0 {
			l, err := ParseList(line)
			if err != nil {
				return err
			}
			if !c.listed {
				c.listed, c.w.broken = true, false
				c.w.log.Info().Uint64("index", l.Index).Int("entries", len(l.Endpoints)).
					Bool("snapshot", l.Snapshot).Msg("discovery watch stands")
			}
			c.w.take(l)
		}
		c.line = c.line[:0]
		if !c.closed {
			c.w.loop.Set(&c.timer, c.w.loop.Now()+c.patience())
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
	return answerTime
}
