// Package front is the platform's HTTP front: it takes messages from clients'
// connections, hands them to the dispatcher and writes the answers back.
package front

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sys/unix"

	"yardwharf"
	"yardwharf/internal/dispatch"
	"yardwharf/internal/loop"
	"yardwharf/internal/lru"
	"yardwharf/internal/sock"
)

const acceptPause = 50 * time.Millisecond // after a lack of descriptors

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
	idle       lru.List[conn]
}

// New returns a Front that listens, but is not ready yet.
func New(l *loop.Loop, log zerolog.Logger, address netip.AddrPort, most int, s *yardwharf.Settings,
	d *dispatch.Dispatcher) (*Front, error) {
	f := &Front{loop: l, log: log, dispatcher: d, classes: s.Classes, most: most, maxOpen: s.MaxOpen,
		conns: map[*conn]struct{}{}}
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
	for f.fd >= 0 && !f.resting {
		full, oldest := len(f.conns) >= f.most, f.idle.Oldest()
		if full && oldest == nil { // the rest wait, so that relays keep their descriptors
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
		if full { // room is made by one that does not need its own now
			oldest.close()
		}
		if f.short {
			f.short = false
			f.log.Info().Msg("accepting again")
		}
		c := &conn{f: f, fd: fd}
		c.ticket = &ticket{c: c}
		if err := f.loop.Add(fd, loop.In, c); err != nil {
			unix.Close(fd)
			f.pause(err.Error())
			return
		}
		f.conns[c] = struct{}{}
		f.idle.Add(&c.spot, c)
	}
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
