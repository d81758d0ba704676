// Package front is the platform's HTTP front: it takes messages from clients'
// connections, hands them to the dispatcher and writes the answers back.
package front

import (
	"bytes"
	"fmt"
	"hash/maphash"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"yardwharf"
	"yardwharf/internal/budget"
	"yardwharf/internal/dispatch"
	"yardwharf/internal/loop"
	"yardwharf/internal/lru"
	"yardwharf/internal/sock"
)

const (
	acceptPause = 50 * time.Millisecond // after a lack of descriptors
	acceptTurn  = 64                    // connections accepted in one turn of the loop
)

// Front listens for clients.
type Front struct {
	loop       *loop.Loop
	log        zerolog.Logger
	dispatcher *dispatch.Dispatcher
	classes    []yardwharf.Class
	most       int // clients' connections at once
	maxOpen    int // messages at once
	ready      bool
	closing    bool
	fd         int // -1 while it does not listen
	resting    bool
	short      bool // of connections or descriptors, as logged
	rest       loop.Timer
	conns      map[*conn]struct{}
	idle       lru.List[conn] // those that messages have come from, between two
	silent     lru.List[conn] // those that none has come from yet
	budget     *budget.Budget
	whole      time.Duration // wholeTime
	restFor    time.Duration // restTime
	seed       maphash.Seed
	open       map[uint64]*ticket // messages in hand, by the hash of their ID
}

// New returns a Front that listens, but is not ready yet.
func New(l *loop.Loop, log zerolog.Logger, address netip.AddrPort, most int, bytes *budget.Budget,
	s *yardwharf.Settings, d *dispatch.Dispatcher) (*Front, error) {
	f := &Front{loop: l, log: log, dispatcher: d, classes: s.Classes, most: most, maxOpen: s.MaxOpen,
		conns: map[*conn]struct{}{}, budget: bytes, whole: wholeTime, restFor: restTime, seed: maphash.MakeSeed(), open: map[uint64]*ticket{}}
	f.rest.Task = loop.Func(f.resume)
	var err error
	if f.fd, err = sock.Listen(address); err != nil {
		return nil, fmt.Errorf("front: %w", err)
	}
	if err := l.Add(f.fd, loop.In, f); err != nil {
		unix.Close(f.fd)
		return nil, fmt.Errorf("front: %w", err)
	}
	return f, nil
}

// SetReady says whether GET /ready is answered with 200.
func (f *Front) SetReady(ready bool) {
	if f.ready != ready {
		f.ready = ready
		f.log.Info().Bool("ready", ready).Msg("readiness changed")
	}
}

// Ready implements loop.Handler: connections wait to be accepted.
func (f *Front) Ready(uint32) {
	for n := 0; f.fd >= 0 && !f.resting && (n < acceptTurn || f.closing); n++ {
		full := len(f.conns) >= f.most
		if full && f.silent.Oldest() == nil && f.idle.Oldest() == nil {
			// The rest wait, so that relays keep their descriptors.
			f.pause("all client connections are in use")
			return
		}
		fd, err := sock.Accept(f.fd)
		if err == unix.EAGAIN {
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
		c.ticket = &ticket{c: c}
		if err := f.loop.Add(fd, loop.In, c); err != nil {
			unix.Close(fd)
			f.pause(err.Error())
			return
		}
		f.conns[c] = struct{}{}
		f.silent.Add(&c.spot, c)
		c.await()
	}
}

// evict closes a connection that does not need to be open now: the one that has
// gone for longest without a message, else the one that has idled for longest.
// Guards usual clients against silent and half-sent connections by the hundreds;
// what has come on one is read before it goes.
func (f *Front) evict() {
	for before := len(f.conns); len(f.conns) >= before; {
		c := f.silent.Oldest()
		if c == nil {
			if c = f.idle.Oldest(); c == nil { // all that could go have brought a message
				return
			}
		}
		if c.stage == waiting && !c.resting {
			c.read(loop.In)
		}
		if c.spot.In() {
			c.close()
		}
	}
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
	t.hash, t.id = h, id
	f.open[h] = t
	return true
}

// forget says that a message is no longer in hand.
func (f *Front) forget(t *ticket) {
	if f.open[t.hash] == t {
		delete(f.open, t.hash)
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
	if err := f.loop.Want(f.fd, 0); err != nil {
		f.log.Error().Err(err).Msg("listener lost")
	}
	f.loop.Set(&f.rest, f.loop.Now()+acceptPause)
}

func (f *Front) resume() {
	if f.fd < 0 {
		return
	}
	f.resting = false
	if err := f.loop.Want(f.fd, loop.In); err != nil {
		f.log.Error().Err(err).Msg("listener lost")
	}
}

// Close stops listening and closes each connection once nothing is owed on it.
// Guards requests that the machine has taken and the program has not seen yet:
// connections that wait are accepted, and what has come on idle ones is read.
func (f *Front) Close() {
	f.closing = true
	f.loop.Clear(&f.rest)
	if f.fd >= 0 {
		f.resting = false
		f.Ready(loop.In)
		f.loop.Clear(&f.rest)
		f.loop.CloseFD(f.fd)
		f.fd = -1
	}
	for c := range f.conns { // each on its own, so in any order
		if c.idle() {
			c.read(loop.In)
		}
		if c.idle() {
			c.close()
		}
	}
}

// Clients is the number of open connections.
func (f *Front) Clients() int { return len(f.conns) }
