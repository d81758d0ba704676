// Package dispatch owns the messages of a dispatcher and the Balancer that
// decides on them. It carries the Balancer's decisions out through two
// interfaces, the south side and the client's front, and knows the protocol of
// neither: another front goes through the same decisions and rules.
package dispatch

import (
	"fmt"
	"time"

	"yardwharf"
	"yardwharf/internal/carry/loop"
)

// South carries relays to south side hosts. None of its methods calls back
// before it returns.
type South interface {
	// Start begins a relay; its course is told by the relay's methods.
	Start(r *Relay)
	// Cancel gives a relay up; it ends as Cancelled unless it has ended already.
	Cancel(r *Relay)
	// Probe asks a host for its load report; Dispatcher.Probed is told of the end.
	Probe(host yardwharf.WorkerID)
}

// Watcher subscribes to the inventory's changes. Each call of Watch brings one
// call of Dispatcher.Members, not before it returns.
type Watcher interface{ Watch() }

// Router says, for each message, which pool of hosts may run it, or that it is to
// be turned away at once.
type Router interface {
	Route(class int) (pool int, drop bool)
}

// Teller sends a message to every other dispatcher; it may be lost.
type Teller interface{ Broadcast(message []byte) }

// Dispatcher drives one Balancer.
type Dispatcher struct {
	loop     *loop.Loop
	balancer *yardwharf.Balancer
	south    South
	watcher  Watcher
	teller   Teller // nil: dispatchers tell each other nothing
	router   Router // nil: every message may go to any host
	after    time.Duration
	dial     time.Duration // what a silent connection counts at least
	messages map[yardwharf.RequestID]*Message
	last     yardwharf.RequestID
	ran      time.Duration
	counter  counter
	endBy    time.Duration // messages taken now end by then; 0 while there is no end
	alarm    alarm         // for the Balancer
	spare    []*Message    // forgotten ones, to be used again
}

// New returns a Dispatcher. What it relays through and learns hosts from is set by Connect.
func New(l *loop.Loop, s yardwharf.Settings, seed uint64) (*Dispatcher, error) {
	d := &Dispatcher{loop: l, messages: map[yardwharf.RequestID]*Message{}, after: s.MaxRetryAfter, dial: s.DialTimeout,
		counter: counter{s.Classes, make([]Counts, len(s.Classes))}}
	d.alarm.d, d.alarm.Task = d, &d.alarm
	var err error
	if d.balancer, err = yardwharf.New(s, seed, actions{d}); err != nil {
		return nil, fmt.Errorf("dispatch: %w", err)
	}
	return d, nil
}

// Connect sets what the dispatcher acts through; it comes before the first event.
func (d *Dispatcher) Connect(south South, watcher Watcher) { d.south, d.watcher = south, watcher }

// SetRouter sets what routes messages that are taken from now on.
func (d *Dispatcher) SetRouter(r Router) { d.router = r }

// Adjust takes over what of other settings may change while messages are in hand, and returns
// those that count then.
func (d *Dispatcher) Adjust(s yardwharf.Settings) (yardwharf.Settings, error) {
	if err := d.balancer.Adjust(s); err != nil {
		return yardwharf.Settings{}, fmt.Errorf("dispatch: %w", err)
	}
	s = d.balancer.Settings()
	d.after, d.dial, d.counter.classes = s.MaxRetryAfter, s.DialTimeout, s.Classes
	return s, nil
}

// SetTeller sets what carries messages to other dispatchers.
func (d *Dispatcher) SetTeller(t Teller) { d.teller = t }

// Peer tells of a message from another dispatcher.
func (d *Dispatcher) Peer(from int, message []byte) {
	d.balancer.PeerMessage(d.loop.Now(), from, message)
}

// TakeZoneSeen returns what was seen of each zone since the last call.
func (d *Dispatcher) TakeZoneSeen(into []yardwharf.ZoneCounts) []yardwharf.ZoneCounts {
	return d.balancer.TakeZoneCounts(into)
}

// SetZonePart says which part of the draws that would go to a zone may.
func (d *Dispatcher) SetZonePart(zone int, part float64) { d.balancer.SetZoneFraction(zone, part) }

// Look probes a few hosts of a zone.
func (d *Dispatcher) Look(zone int) { d.balancer.ProbeZone(d.loop.Now(), zone) }

// Open is the number of messages that are not yet forgotten.
func (d *Dispatcher) Open() int { return len(d.messages) }

// Ran is how long the messages that have been served ran at their hosts, added up
// since the start; where a host has not told of a start, since they were sent.
func (d *Dispatcher) Ran() time.Duration { return d.ran }

// EndBy cuts the deadlines of the messages that are taken from now on.
func (d *Dispatcher) EndBy(at time.Duration) { d.endBy = at }

// Take takes a message on: the client is owed one answer by the deadline. The
// request's ID is set here.
func (d *Dispatcher) Take(p Payload, in yardwharf.Request, c Client) *Message {
	d.last++
	in.ID = d.last
	if d.endBy > 0 {
		in.Deadline = min(in.Deadline, d.endBy)
	}
	var m *Message
	if n := len(d.spare); n > 0 {
		m, d.spare = d.spare[n-1], d.spare[:n-1]
	} else {
		m = &Message{}
	}
	*m = Message{Payload: p, Deadline: in.Deadline, d: d, id: in.ID, client: c, class: in.Class, came: d.loop.Now(),
		relays: m.relays[:0], spare: append(m.spare, m.relays...)}
	d.messages[m.id] = m
	d.counter.of(m.class).Taken++
	if d.router != nil {
		var drop bool
		if in.Pool, drop = d.router.Route(in.Class); drop {
			actions{d}.Refuse(m.id, d.after)
			return m
		}
	}
	d.balancer.Request(d.loop.Now(), in)
	return m
}

// Withdraw says that the client has gone away. Its relays are given up.
func (d *Dispatcher) Withdraw(m *Message) {
	if m.settled {
		return
	}
	m.settled = true
	d.counter.of(m.class).Left++
	d.balancer.Withdrawn(d.loop.Now(), m.id)
	for _, r := range m.relays {
		if !r.ended {
			d.south.Cancel(r)
		}
	}
	d.forget(m)
}

// Members tells of the inventory.
func (d *Dispatcher) Members(kind yardwharf.ListKind, list []yardwharf.Member) {
	d.balancer.Members(d.loop.Now(), kind, list)
}

// Silent says that the watch has fallen silent; what it misses counts as told in so long.
func (d *Dispatcher) Silent(left time.Duration) { d.balancer.WatchSilent(d.loop.Now(), left) }

// Moved says that the list is asked for elsewhere; what is heard there counts in so long.
func (d *Dispatcher) Moved(left time.Duration) { d.balancer.WatchMoved(d.loop.Now(), left) }

// Learned is what the decisions have learned up to now.
func (d *Dispatcher) Learned() yardwharf.Learned { return d.balancer.Learned(d.loop.Now()) }

// Resume begins with what another process has learned.
func (d *Dispatcher) Resume(l yardwharf.Learned) { d.balancer.Resume(d.loop.Now(), l) }

// SetParts says how many processes the dispatcher has.
func (d *Dispatcher) SetParts(n int) { d.balancer.SetProcesses(n) }

// Probed tells how a probe ended.
func (d *Dispatcher) Probed(host yardwharf.WorkerID, st yardwharf.Status, took time.Duration, load []float32) {
	d.balancer.Probed(d.loop.Now(), host, st, took, load)
}

// forget lets go of a message that is settled and has no relay out. It is put
// off, as the answer may be one that the Balancer is just giving.
func (d *Dispatcher) forget(m *Message) {
	if m.settled && m.out == 0 && d.messages[m.id] != nil {
		delete(d.messages, m.id)
		d.loop.Defer(m)
	}
}

// Run implements loop.Task: it ends the message, which is then used for another.
func (m *Message) Run() {
	m.client.Released()
	m.d.spare = append(m.d.spare, m)
}

// relay returns a relay for a message's next attempt.
func (m *Message) relay() *Relay {
	var r *Relay
	if n := len(m.spare); n > 0 {
		r, m.spare = m.spare[n-1], m.spare[:n-1]
	} else {
		r = &Relay{}
	}
	m.out++
	m.relays = append(m.relays, r)
	return r
}

// alarm is the timer of the Balancer.
type alarm struct {
	loop.Timer
	d *Dispatcher
}

// Run implements loop.Task.
func (a *alarm) Run() {
	a.d.balancer.Timer(a.d.loop.Now())
}

// actions carries out what the Balancer decides.
type actions struct{ d *Dispatcher }

var _ yardwharf.Actions = actions{}

// Send implements yardwharf.Actions.
func (a actions) Send(id yardwharf.RequestID, host yardwharf.WorkerID, timeout time.Duration) {
	m := a.d.messages[id]
	if m == nil {
		return
	}
	now := a.d.loop.Now()
	r := m.relay()
	*r = Relay{Message: m, Host: host, Until: m.Deadline, n: len(m.relays) - 1, sent: now}
	if timeout != 0 {
		r.Until = min(r.Until, now+timeout)
	}
	if m.settled || r.Until <= now { // never to be sent, which the Balancer hears of
		a.d.loop.Defer(loop.Func(func() { r.End(yardwharf.NotRun, nil, nil) }))
		return
	}
	k := a.d.counter.of(m.class)
	if k.Relays++; a.d.balancer.CrossesZone(host) {
		k.Crossed++
	}
	a.d.south.Start(r)
}

// settle books the final answer to a message; it says whether there is none yet.
func (a actions) settle(id yardwharf.RequestID) *Message {
	m := a.d.messages[id]
	if m == nil || m.settled {
		return nil
	}
	m.settled = true
	a.d.forget(m)
	return m
}

// Refuse implements yardwharf.Actions.
func (a actions) Refuse(id yardwharf.RequestID, after time.Duration) {
	if m := a.settle(id); m != nil {
		a.d.counter.of(m.class).Refused++
		m.client.Refused(after)
	}
}

// Fail implements yardwharf.Actions.
func (a actions) Fail(id yardwharf.RequestID) {
	if m := a.settle(id); m != nil {
		a.d.counter.of(m.class).Failed++
		m.client.Failed()
	}
}

// Cancel implements yardwharf.Actions.
func (a actions) Cancel(id yardwharf.RequestID, n int) {
	if m := a.d.messages[id]; m != nil && n >= 0 && n < len(m.relays) && !m.relays[n].ended {
		a.d.south.Cancel(m.relays[n])
	}
}

// SetTimer implements yardwharf.Actions.
func (a actions) SetTimer(after time.Duration) {
	a.d.loop.Set(&a.d.alarm.Timer, a.d.loop.Now()+after)
}

// Probe implements yardwharf.Actions.
func (a actions) Probe(host yardwharf.WorkerID) { a.d.south.Probe(host) }

// Broadcast implements yardwharf.Actions.
func (a actions) Broadcast(message []byte) {
	if a.d.teller != nil {
		a.d.teller.Broadcast(message)
	}
}

// Watch implements yardwharf.Actions.
func (a actions) Watch() { a.d.watcher.Watch() }
