// Package front is the platform's HTTP front: it takes messages from clients'
// connections, hands them to the dispatcher and writes the answers back.
package front

import (
	"bytes"
	"cmp"
	"fmt"
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"yardwharf"
	"yardwharf/internal/carry/budget"
	"yardwharf/internal/carry/dispatch"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/lru"
	"yardwharf/internal/carry/sock"
)

const (
	acceptPause = 50 * time.Millisecond // after a lack of descriptors
	acceptTurn  = 64                    // connections accepted in one turn of the loop

	leftLeast = 100 * time.Millisecond // a last answer has been read by then, most likely

	awayTime   = 1200 * time.Millisecond // over which idle connections are closed when clients are sent away
	awayStep   = 20 * time.Millisecond
	awaySilent = 500 * time.Millisecond // a new connection then has so long to send
)

// Claims says which messages are in hand anywhere, beside this front.
type Claims interface {
	// Claim books an id as in hand here, unless it is in hand elsewhere.
	Claim(id []byte) bool
	Release(id []byte)
}

// Front listens for clients.
type Front struct {
	loop       *loop.Loop
	log        zerolog.Logger
	dispatcher *dispatch.Dispatcher
	classes    []yardwharf.Class
	tenants    []yardwharf.Tenant
	most       int // clients' connections at once
	maxOpen    int // messages at once
	ready      bool
	closing    bool
	fd         int  // -1 while it does not listen
	shared     bool // other processes hold the listening socket, too
	held       bool // connections are left to those
	away       bool // clients are sent away
	awayBy     time.Duration
	awayTimer  loop.Timer
	resting    bool
	short      bool // of connections or descriptors, as logged
	rest       loop.Timer
	conns      map[*conn]struct{}
	idle       lru.List[conn] // those that messages have come from, between two
	silent     lru.List[conn] // those that none has come from yet
	leaving    lru.List[conn] // those whose own sending has ended
	linger     time.Duration  // how long these may stay
	waste      [4 << 10]byte  // for what these send
	budget     *budget.Budget
	whole      time.Duration // wholeTime
	restFor    time.Duration // restTime
	seed       maphash.Seed
	open       map[uint64]*ticket // messages in hand, by the hash of their ID
	claims     Claims             // nil: this front is the only one
}

// Source is where clients' connections come from: an address, or a listening
// socket that other processes may hold as well.
type Source struct {
	Address   netip.AddrPort
	Inherited int // its descriptor; negative: the address counts
}

func (s Source) open() (int, error) {
	if s.Inherited < 0 {
		return sock.Listen(s.Address)
	}
	if err := sock.Inherited(s.Inherited); err != nil {
		return -1, fmt.Errorf("PROXY_FD: %w", err)
	}
	return s.Inherited, nil
}

// New returns a Front that listens, but is not ready yet.
func New(l *loop.Loop, log zerolog.Logger, source Source, most int, bytes *budget.Budget,
	s *yardwharf.Settings, d *dispatch.Dispatcher) (*Front, error) {
	f := &Front{loop: l, log: log, shared: source.Inherited >= 0, dispatcher: d, most: most,
		conns: map[*conn]struct{}{}, budget: bytes, whole: wholeTime, restFor: restTime, linger: lingerTime, seed: maphash.MakeSeed(), open: map[uint64]*ticket{}}
	f.Adjust(s)
	f.rest.Task = loop.Func(f.resume)
	f.awayTimer.Task = loop.Func(f.sendAway)
	var err error
	if f.fd, err = source.open(); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if err := l.Add(f.fd, loop.In, f); err != nil {
		unix.Close(f.fd)
		return nil, fmt.Errorf("front: %w", err)
	}
	return f, nil
}

// Adjust takes over settings that have changed, for the messages that come from now on.
func (f *Front) Adjust(s *yardwharf.Settings) {
	f.classes, f.tenants, f.maxOpen = s.Classes, s.Tenants, s.MaxOpen
}

// SetReady says whether GET /ready is answered with 200.
func (f *Front) SetReady(ready bool) {
	if f.ready != ready {
		f.ready = ready
		f.log.Info().Bool("ready", ready).Msg("readiness changed")
	}
}

// SetClaims sets what other processes are asked through for what they have in hand.
func (f *Front) SetClaims(c Claims) { f.claims = c }

// Hold leaves the connections that wait to the other processes that hold the
// listening socket, or takes them again.
func (f *Front) Hold(on bool) {
	if f.held == on || f.fd < 0 {
		return
	}
	f.held = on
	f.listen()
}

// listen wants connections that wait, or not, as things are.
func (f *Front) listen() {
	events := uint32(loop.In)
	if f.held || f.resting {
		events = 0
	}
	if err := f.loop.Want(f.fd, events); err != nil {
		f.log.Error().Err(err).Msg("listener lost")
	}
}

// SetMost changes how many clients' connections there may be at once; those that
// are idle give way.
func (f *Front) SetMost(most int) {
	f.most = most
	for len(f.conns) > f.most {
		if before := len(f.conns); !f.evict() || len(f.conns) == before {
			return
		}
	}
}

// SetAway sends clients away, or takes them in again. Away means that each answer
// is the last one on its connection, and that connections on which nothing is owed
// are closed, spread over a while: guards the other dispatchers against all
// clients at once.
func (f *Front) SetAway(on bool) {
	if f.away == on {
		return
	}
	f.away = on
	f.log.Info().Bool("on", on).Int("clients", len(f.conns)).Msg("sending clients away")
	if !on {
		f.loop.Clear(&f.awayTimer)
		return
	}
	f.awayBy = f.loop.Now() + awayTime
	f.sendAway()
}

// sendAway closes the next few idle connections, those that have idled for longest
// first, and the silent ones.
func (f *Front) sendAway() {
	now := f.loop.Now()
	idle := 0
	for c := range f.conns { // each on its own, so in any order
		switch {
		case !c.idle():
		case c.proven:
			idle++
		case now-c.born >= awaySilent:
			f.dismiss(c)
		}
	}
	steps := 1 + max(0, f.awayBy-now)/awayStep
	for n := (idle + int(steps) - 1) / int(steps); n > 0; n-- {
		if c := f.idle.Oldest(); c != nil {
			f.dismiss(c)
		}
	}
	f.loop.Set(&f.awayTimer, now+awayStep)
}

// dismiss ends an idle connection, unless a request has come on it.
func (f *Front) dismiss(c *conn) {
	if c.idle() && !c.resting {
		c.read()
	}
	if c.idle() && !c.closed {
		c.leave()
	}
}

// Ready implements loop.Handler: connections wait to be accepted.
func (f *Front) Ready(uint32) {
	if f.shared && f.fd >= 0 {
		// Guards against another holder of the socket that has made it blocking: the
		// loop would wait in each accept that finds nothing.
		if err := sock.Nonblocking(f.fd); err != nil {
			f.log.Error().Err(err).Msg("listener lost")
		}
	}
	for n := 0; f.fd >= 0 && !f.resting && !f.held && (n < acceptTurn || f.closing); n++ {
		full := len(f.conns) >= f.most
		if full && f.silent.Oldest() == nil && f.idle.Oldest() == nil && f.leaving.Oldest() == nil {
			// The rest wait, so that relays keep their descriptors.
			f.pause("all client connections are in use")
			return
		}
		fd, err := sock.Accept(f.fd)
		if err == unix.EAGAIN {
			if f.closing {
				f.stopListening()
			}
			return
		}
		if err != nil {
			f.pause(err.Error())
			return
		}
		if full {
			f.evict()
		}
		if f.short {
			f.short = false
			f.log.Info().Msg("accepting again")
		}
		c := &conn{f: f, fd: fd, born: f.loop.Now()}
		c.ticket, c.wants = &ticket{c: c}, listened
		if err := f.loop.Add(fd, listened, c); err != nil {
			unix.Close(fd)
			f.pause(err.Error())
			return
		}
		f.conns[c] = struct{}{}
		f.silent.Add(&c.spot, c)
		c.await()
	}
}

// evict closes a connection that does not need to be open now: one that has been leaving for
// long enough for its answer to be read, the one that has gone for longest without a message,
// the one that has idled for longest, or any that leaves.
// Guards usual clients against silent and half-sent connections by the hundreds;
// what has come on one is read before it goes.
// It says whether there was any.
func (f *Front) evict() bool {
	for before := len(f.conns); len(f.conns) >= before; {
		c := f.leaving.Oldest()
		if c == nil || f.loop.Now()-c.left < leftLeast {
			c = cmp.Or(f.silent.Oldest(), f.idle.Oldest(), c)
		}
		if c == nil { // all that could go have brought a message
			return false
		}
		if c.stage == waiting && !c.resting {
			c.read()
		}
		if c.spot.In() {
			c.close()
		}
	}
	return true
}

// room takes bytes for a connection's buffer from the budget, at the cost of
// connections that no message has come from.
func (f *Front) room(c *conn, n int) bool {
	for !f.budget.Take(n) {
		other := f.silent.Oldest()
		if other == nil || other == c {
			return false
		}
		other.close()
	}
	c.lent += n
	return true
}

// register books a message's ID as in hand, unless it is already. Guards against a
// second copy: a host would take one that another client words as the same job.
func (f *Front) register(t *ticket, id []byte) bool {
	h := maphash.Bytes(f.seed, id)
	if other := f.open[h]; other != nil {
		return !bytes.Equal(other.id, id)
	}
	if f.claims != nil && !f.claims.Claim(id) {
		return false
	}
	t.hash, t.id = h, id
	f.open[h] = t
	return true
}

// forget says that a message is no longer in hand.
func (f *Front) forget(t *ticket) {
	if f.open[t.hash] == t {
		delete(f.open, t.hash)
		if f.claims != nil {
			f.claims.Release(t.id)
		}
	}
	t.id = nil
}

// pause leaves connections waiting for a moment. Guards against a loop that spins
// on a listener it cannot accept from.
func (f *Front) pause(why string) {
	if !f.short {
		f.short = true
		f.log.Warn().Str("reason", why).Int("clients", len(f.conns)).Msg("accepting paused")
	}
	f.resting = true
	f.listen()
	f.loop.Set(&f.rest, f.loop.Now()+acceptPause)
}

func (f *Front) resume() {
	if f.fd < 0 {
		return
	}
	f.resting = false
	f.listen()
}

// Close stops listening and ends each connection once nothing is owed on it.
// Guards requests that the machine has taken and the program has not seen yet:
// connections that wait are accepted, unless they are left to other processes, and
// what has come on idle ones is read. While there is no room to accept those, the
// listener stays: closing it would reset them.
func (f *Front) Close() {
	f.closing, f.linger = true, lingerEnd
	f.loop.Clear(&f.rest)
	f.loop.Clear(&f.awayTimer)
	if f.fd >= 0 {
		if f.resting = false; f.held {
			f.stopListening()
		} else {
			f.Ready(loop.In)
		}
	}
	for c := range f.conns { // each on its own, so in any order
		if c.stage == leaving {
			c.stallAfter(f.linger)
		} else {
			f.dismiss(c)
		}
	}
}

func (f *Front) stopListening() {
	f.loop.Clear(&f.rest)
	if f.shared {
		f.loop.Release(f.fd)
	} else {
		f.loop.CloseFD(f.fd)
	}
	f.fd = -1
}

// Answered says whether, after Close, nothing is owed or under way any more: there is no listener,
// and the own side of each connection that is left has ended.
func (f *Front) Answered() bool {
	for c := range f.conns {
		if c.stage != leaving {
			return false
		}
	}
	return f.fd < 0
}

// Closed says whether nothing is left to be done after Close.
func (f *Front) Closed() bool { return f.fd < 0 && len(f.conns) == 0 }

// Clients is the number of open connections.
func (f *Front) Clients() int { return len(f.conns) }
