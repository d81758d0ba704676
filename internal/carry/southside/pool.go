// Package southside keeps the connections to south side hosts and carries relays
// and probes over them. It maps how each ended to the module's statuses, by what
// was proven: a relay whose last byte was not written has never run, any other
// that breaks may have.
package southside

import (
	"fmt"
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
	"yardwharf/internal/decide/membership"
)

const (
	idlePart     = 0.8                    // of the time after which hosts close idle connections
	probeTime    = 300 * time.Millisecond // how long a probe may take
	defaultDial  = time.Second
	defaultIdle  = 15 * time.Second
	drainReserve = 50 * time.Millisecond // of the grace in which a first byte may still go out
	dialTimes    = 8                     // a connection not up in so many times the slowest of late ...
	dialLeast    = 50 * time.Millisecond // ... and this is given up
	dialFade     = 0.98                  // what each new connection leaves of the slowest
	staleNew     = 0.05                  // weight of one reuse in the part of kept connections that prove broken
	staleMost    = 0.01                  // over this, what must not break gets a new connection
	restLeast    = 25 * time.Millisecond // a kept connection is not used for what may not simply be repeated before
	tailTime     = time.Second           // for the rest of an answer that has told how the attempt ended
)

// Probed is told how probes end.
type Probed interface {
	Probed(host yardwharf.WorkerID, st yardwharf.Status, took time.Duration, load []float32)
}

// Pool holds the hosts and the connections to them. It implements dispatch.South.
type Pool struct {
	loop   *loop.Loop
	log    zerolog.Logger
	probed Probed
	hosts  map[yardwharf.WorkerID]*host
	names  []string // of a load report's values
	dial   time.Duration
	slow   time.Duration // the slowest connection of late took this to come up; 0 before the first
	idle   time.Duration
	rest   time.Duration // restLeast, and shorter in tests
	tail   time.Duration // tailTime, likewise
	grace  time.Duration
	most   int // connections
	budget *budget.Budget
	open   int
	stale  float64        // part of the kept connections of late that broke when used again
	spare  lru.List[conn] // idle connections of all hosts
}

// host is a south side host as this package knows it.
type host struct {
	id      yardwharf.WorkerID
	address netip.AddrPort
	label   string // its name in the inventory
	name    []byte // the address as written in requests
	lost    bool   // the last connection begun did not come up
	idle    []*conn
	away    bool          // it drains, is gone, or is out by hand
	until   time.Duration // then no relay may put out its first byte
	moved   time.Duration // the same for connections to an earlier address
}

// NewPool returns a Pool that holds most connections at the most, and their
// buffers within a budget.
func NewPool(l *loop.Loop, log zerolog.Logger, s *yardwharf.Settings, most int, bytes *budget.Budget,
	probed Probed) *Pool {
	p := &Pool{loop: l, log: log, probed: probed, hosts: map[yardwharf.WorkerID]*host{}, rest: restLeast, tail: tailTime, most: most, budget: bytes}
	p.Adjust(s)
	return p
}

// Adjust takes over settings that have changed. What is under way goes on as it began, a drain
// with the grace that it was told under.
func (p *Pool) Adjust(s *yardwharf.Settings) {
	p.names, p.dial, p.idle, p.grace = s.ReportNames, s.DialTimeout, s.ConnIdle, s.DrainGrace
	if p.dial <= 0 {
		p.dial = defaultDial
	}
	if p.idle <= 0 {
		p.idle = defaultIdle
	}
}

// SetMost changes how many connections there may be; idle ones give way.
func (p *Pool) SetMost(most int) {
	p.most = most
	for p.open > p.most && p.spare.Oldest() != nil {
		p.spare.Oldest().close()
	}
}

// Update takes changes of the inventory. Idle connections to a host that is away
// or has moved are closed.
func (p *Pool) Update(told []membership.Host) {
	for _, t := range told {
		h := p.hosts[t.ID]
		if h == nil {
			h = &host{id: t.ID}
			p.hosts[t.ID] = h
		}
		away := t.State != yardwharf.Ready
		if away && !h.away {
			h.until = p.loop.Now() + max(0, p.grace-drainReserve)
		}
		if t.TakenOut { // one that must have no more work is given no grace
			h.until = min(h.until, p.loop.Now())
		}
		if h.away = away; away || h.address != t.Address {
			p.closeIdle(h)
		}
		if h.address != t.Address {
			h.moved = p.loop.Now() + max(0, p.grace-drainReserve)
		}
		h.label = t.Name
		h.address, h.name = t.Address, []byte(t.Address.String())
	}
}

// Forget drops hosts that are gone for good. What is still under way to one ends
// by itself.
func (p *Pool) Forget(ids []yardwharf.WorkerID) {
	for _, id := range ids {
		if h := p.hosts[id]; h != nil && h.away {
			p.closeIdle(h)
			delete(p.hosts, id)
		}
	}
}

func (p *Pool) closeIdle(h *host) {
	for len(h.idle) > 0 {
		h.idle[len(h.idle)-1].close()
	}
}

// Start implements dispatch.South.
func (p *Pool) Start(r *dispatch.Relay) {
	h := p.hosts[r.Host]
	rested := time.Duration(0)
	if m := &r.Message.Payload; m.Once || len(m.Key) > 0 {
		rested = p.rest
	}
	c, err := p.connect(h, p.stale <= staleMost || !r.Message.Payload.Once && !r.Repeat(), rested)
	if err != nil { // nothing was written anywhere
		p.loop.Defer(loop.Func(func() { r.End(yardwharf.ConnectFailed, nil, nil) }))
		return
	}
	c.relay, r.Conn = r, c
	c.writeRelay(r)
	c.begin(r.Until)
}

// Cancel implements dispatch.South. The connection is closed: that is how a host
// learns of it.
func (p *Pool) Cancel(r *dispatch.Relay) {
	if c, ok := r.Conn.(*conn); ok && c.relay == r {
		c.relay = nil
		c.close()
		p.loop.Defer(loop.Func(func() { r.End(yardwharf.Cancelled, nil, nil) }))
	}
}

// Probe implements dispatch.South. It takes a new connection: on a kept one a machine
// that is cut off and one that is busy look alike. Where none can be had here, the
// probe is moot and tells nothing of the host.
func (p *Pool) Probe(id yardwharf.WorkerID) {
	h := p.hosts[id]
	c, err := p.connect(h, false, 0)
	if err != nil {
		p.loop.Defer(loop.Func(func() { p.probed.Probed(id, yardwharf.NotRun, 0, nil) }))
		return
	}
	c.probe, c.sent = true, p.loop.Now()
	c.writeProbe()
	c.begin(c.sent + probeTime)
}

// connect returns the connection to a host that was used last, or a new one where
// there is none or a kept one will not do. Guards messages that must not run twice:
// on a kept connection that the host has dropped without a word they end as a
// reset, and that is their end. One that has not rested for so long is passed over: guards
// what may not simply be repeated against a second answer to the message before, which may
// come some milliseconds late and say that this one has never run.
func (p *Pool) connect(h *host, kept bool, rested time.Duration) (*conn, error) {
	if h == nil || !h.address.IsValid() {
		return nil, fmt.Errorf("southside: host is not in the inventory")
	}
	for i := len(h.idle) - 1; kept && i >= 0; i-- { // the one parked last stands last
		c := h.idle[i]
		if p.loop.Now()-c.since < rested {
			continue
		}
		if c.fresh() {
			c.unpark()
			return c, nil
		}
		c.close()
	}
	if p.open >= p.most {
		oldest := p.spare.Oldest()
		if oldest == nil {
			return nil, fmt.Errorf("southside: all %d connections are in use", p.most)
		}
		oldest.close()
	}
	fd, up, err := sock.Dial(h.address)
	if err != nil {
		p.reached(h, err)
		return nil, fmt.Errorf("southside: %w", err)
	}
	c := &conn{p: p, h: h, begun: p.loop.Now(), address: h.address, fd: fd, up: up}
	c.timer.Task = c
	if err := p.loop.Add(fd, loop.In|loop.Out, c); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("southside: %w", err)
	}
	p.open++
	return c, nil
}

// patience is how long a connection may take to come up. Guards against the whole
// dial time lost to each host of a zone that is cut off, where hosts that can be
// reached answer in a fraction of it. A host that was not reached in the shorter
// time has all of it the next time: it may just be far.
func (p *Pool) patience(h *host) time.Duration {
	if p.slow == 0 || h.lost {
		return p.dial
	}
	return min(p.dial, max(dialLeast, dialTimes*p.slow))
}

// cameUp books how long a connection took to come up.
func (p *Pool) cameUp(took time.Duration) {
	p.slow = max(took, time.Duration(dialFade*float64(p.slow)), 1)
}

// reused takes note of whether a kept connection could be used again.
func (p *Pool) reused(broken bool) {
	if p.stale -= staleNew * p.stale; broken {
		p.stale += staleNew
	}
}

// reached takes note of how a connection to a host came out, and logs changes.
func (p *Pool) reached(h *host, err error) {
	if lost := err != nil; lost != h.lost {
		h.lost = lost
		if lost {
			p.log.Warn().Str("host", h.label).Stringer("address", h.address).Err(err).Msg("host out of reach")
		} else {
			p.log.Info().Str("host", h.label).Stringer("address", h.address).Msg("host in reach")
		}
	}
}
