// Package admin is the operators' door: a few calls over HTTP/1.1 on a listener of
// its own, one call to a connection. What the calls do is the Calls' matter.
package admin

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"yardwharf/internal/carry/http1"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/lru"
	"yardwharf/internal/carry/sock"
)

// CallersMost is how many connections the door holds at once.
const CallersMost = 16

const (
	headMost    = 4 << 10
	callTime    = 5 * time.Second // from the accept to the end of the answer
	lingerTime  = time.Second     // for the caller to read its answer and close
	acceptTurn  = 64              // connections accepted in one turn of the loop
	acceptPause = 50 * time.Millisecond
)

// ErrUnknown says that an id was never listed, ErrNot that what is named is not there, and
// ErrConflict that things do not stand so that it can be done.
var (
	ErrUnknown  = errors.New("admin: no such host was ever listed")
	ErrNot      = errors.New("admin: no such thing")
	ErrConflict = errors.New("admin: not as things stand")
)

// Calls is what operators can ask for. An error is a no; those above are told apart.
type Calls interface {
	// Serving says whether this process can serve.
	Serving() bool
	// Down takes a host out by hand, Up puts it back.
	Down(host string) error
	Up(host string) error
	// Drain sends clients away, or takes them in again.
	Drain(on bool) error
	// Zone has the fleet leave a zone by hand, or return to it; Zones tells of all, as JSON.
	Zone(name string, away bool) error
	Zones() (string, error)
	// Figures are what the process has done up to now, as JSON.
	Figures() (string, error)
	// Settings are the configuration that counts, but for the list, as JSON.
	Settings() (string, error)
}

// Door listens for operators.
type Door struct {
	loop    *loop.Loop
	log     zerolog.Logger
	calls   Calls
	fd      int // -1 once it is closed
	callers map[*caller]struct{}
	open    lru.List[caller] // those whose call is not whole
	done    lru.List[caller] // those that are answered
	rest    loop.Timer
	patience,
	linger time.Duration
}

// Open returns a Door that listens.
func Open(l *loop.Loop, log zerolog.Logger, address netip.AddrPort, calls Calls) (*Door, error) {
	d := &Door{loop: l, log: log, calls: calls, callers: map[*caller]struct{}{}, patience: callTime, linger: lingerTime}
	d.rest.Task = loop.Func(func() { d.want(loop.In) })
	var err error
	if d.fd, err = sock.Listen(address); err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	if err := l.Add(d.fd, loop.In, d); err != nil {
		unix.Close(d.fd)
		return nil, fmt.Errorf("admin: %w", err)
	}
	return d, nil
}

// Close ends it, with the calls under way.
func (d *Door) Close() {
	if d.fd < 0 {
		return
	}
	d.loop.Clear(&d.rest)
	d.loop.CloseFD(d.fd)
	d.fd = -1
	for c := range d.callers { // each on its own, so in any order
		c.close()
	}
}

func (d *Door) want(events uint32) {
	if d.fd < 0 {
		return
	}
	if err := d.loop.Want(d.fd, events); err != nil {
		d.log.Error().Err(err).Msg("operators' listener lost")
	}
}

// Ready implements loop.Handler: connections wait to be accepted.
func (d *Door) Ready(uint32) {
	for range acceptTurn {
		fd, err := sock.Accept(d.fd)
		if err == unix.EAGAIN {
			return
		}
		if err == nil {
			err = d.admit(fd)
		}
		if err != nil { // guards against a loop that spins on a lack of descriptors
			d.log.Warn().Err(err).Msg("an operator's call waits")
			d.want(0)
			d.loop.Set(&d.rest, d.loop.Now()+acceptPause)
			return
		}
	}
}

// admit takes a caller in. Over the bound one gives way: the one that has been
// answered for longest, else the one that has gone for longest without a whole
// call. What has come on it is read before. Guards real calls against silent ones
// by the hundreds.
func (d *Door) admit(fd int) error {
	for len(d.callers) >= CallersMost {
		c := d.done.Oldest()
		if c == nil {
			c = d.open.Oldest()
			c.read()
		}
		c.close()
	}
	c := &caller{d: d, fd: fd}
	if err := d.loop.Add(fd, loop.In, c); err != nil {
		unix.Close(fd)
		return err
	}
	c.timer.Task = loop.Func(c.close)
	d.loop.Set(&c.timer, d.loop.Now()+d.patience)
	d.callers[c] = struct{}{}
	d.open.Add(&c.spot, c)
	return nil
}

// caller is an operator's connection.
type caller struct {
	d        *Door
	fd       int
	closed   bool
	answered bool
	spot     lru.Spot[caller]
	timer    loop.Timer
	in       []byte
}

func (c *caller) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.d.open.Remove(&c.spot)
	c.d.done.Remove(&c.spot)
	c.d.loop.Clear(&c.timer)
	c.d.loop.CloseFD(c.fd)
	delete(c.d.callers, c)
}

// Ready implements loop.Handler.
func (c *caller) Ready(uint32) { c.read() }

// read takes in what has come. Once the answer is out it only waits for the
// caller to close, and throws away what still comes.
func (c *caller) read() {
	for thrown := 0; !c.closed; {
		var b [1 << 10]byte
		n, err := sock.Read(c.fd, b[:])
		if errors.Is(err, sock.ErrWait) {
			return
		}
		if err != nil || n == 0 || thrown > headMost {
			c.close()
			return
		}
		if c.answered {
			thrown += n
			continue
		}
		c.in = append(c.in, b[:n]...)
		var head http1.Head
		err = head.ParseRequest(c.in)
		switch {
		case err == nil:
			c.answer(c.d.call(&head))
		case errors.Is(err, http1.ErrTooLarge), errors.Is(err, http1.ErrShort) && len(c.in) > headMost:
			c.answer(431, "head too large", "")
		case !errors.Is(err, http1.ErrShort):
			c.answer(400, "not a call that can be read", "")
		}
	}
}

// answer writes the answer and ends the sending. Guards the answer against the
// reset that closing over unread bytes brings: the caller closes, or its time ends.
func (c *caller) answer(status int, text, allow string) {
	c.answered, c.in = true, nil
	c.d.open.Remove(&c.spot)
	c.d.done.Add(&c.spot, c)
	if allow != "" {
		allow = "Allow: " + allow + "\r\n"
	}
	text += "\n"
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n",
		status, reasons[status], allow, len(text))
	// It fits any socket buffer; one that takes it not at once has gone.
	if _, err := sock.Write(c.fd, [][]byte{[]byte(head), []byte(text)}); err != nil {
		c.close()
		return
	}
	if err := unix.Shutdown(c.fd, unix.SHUT_WR); err != nil {
		c.close()
		return
	}
	c.d.loop.Set(&c.timer, c.d.loop.Now()+c.d.linger)
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 409: "Conflict",
	413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 503: "Service Unavailable"}

// call does what a whole head asks for.
func (d *Door) call(h *http1.Head) (status int, text, allow string) {
	if h.Length > 0 || h.Chunked {
		return 413, "a call has no body", ""
	}
	path, _, _ := strings.Cut(string(h.Target), "?")
	do, method := d.route(path)
	switch {
	case do == nil:
		return 404, "no such call", ""
	case string(h.Method) != method:
		return 405, "the method is " + method, method
	}
	switch text, err := do(); {
	case err == nil:
		return 200, cmp.Or(text, "yes"), ""
	case errors.Is(err, ErrUnknown), errors.Is(err, ErrNot):
		return 404, err.Error(), ""
	case errors.Is(err, ErrConflict):
		return 409, err.Error(), ""
	case errors.Is(err, errID):
		return 400, err.Error(), ""
	case errors.Is(err, errNotYet):
		return 503, err.Error(), ""
	default:
		d.log.Error().Err(err).Str("call", path).Msg("an operator's call failed")
		return 500, err.Error(), ""
	}
}

var (
	errID     = errors.New("admin: the id is not one part of a path")
	errNotYet = errors.New("admin: this process cannot serve yet")
)

// route finds what a path asks for; nil where there is no such call.
func (d *Door) route(path string) (do func() (string, error), method string) {
	switch path {
	case "/ops/readiness":
		return func() (string, error) {
			if !d.calls.Serving() {
				return "", errNotYet
			}
			return "", nil
		}, "GET"
	case "/ops/figures":
		return d.calls.Figures, "GET"
	case "/ops/settings":
		return d.calls.Settings, "GET"
	case "/ops/zones":
		return d.calls.Zones, "GET"
	case "/ops/drain/start":
		return func() (string, error) { return "", d.calls.Drain(true) }, "POST"
	case "/ops/drain/stop":
		return func() (string, error) { return "", d.calls.Drain(false) }, "POST"
	}
	for _, named := range []struct {
		path string
		act  func(string) error
	}{{"/ops/senders/down/", d.calls.Down}, {"/ops/senders/up/", d.calls.Up},
		{"/ops/zones/leave/", func(zone string) error { return d.calls.Zone(zone, true) }},
		{"/ops/zones/return/", func(zone string) error { return d.calls.Zone(zone, false) }}} {
		id, found := strings.CutPrefix(path, named.path)
		if !found || id == "" || strings.Contains(id, "/") {
			continue
		}
		return func() (string, error) {
			name, err := url.PathUnescape(id) // once: a name may hold a percent sign itself
			if err != nil || strings.ContainsFunc(name, func(r rune) bool { return r == '/' || r < ' ' || r == 0x7f }) {
				return "", errID
			}
			return "", named.act(name)
		}, "POST"
	}
	return nil, ""
}
