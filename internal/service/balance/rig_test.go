package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const ms = time.Millisecond

// rig plays one service: dispatchers with a Driver each, and scripted senders with
// slots and a queue, on a fake clock.
type rig struct {
	c           *qt.C
	now         time.Duration
	dispatchers []*dispatcher
	senders     map[string]*scripted
	list        []Sender
	events      agenda
	order       int
	random      *rand.Rand
	messages    int
	arrived     map[string]time.Duration // when a message came
	began       map[string]time.Duration // when its run began
	runs        map[string]int
	sentTo      map[string]int // deliveries by sender
	givenBack   []time.Duration
	again       bool // messages that are given back or fail are submitted again
}

// agenda is a heap of events, the earliest first.
type agenda []event

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

func (a *agenda) Pop() any {
	last := len(*a) - 1
	e := (*a)[last]
	*a = (*a)[:last]
	return e
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

// scripted is a sender.
type scripted struct {
	id        string
	slots     int
	queue     int
	work      time.Duration
	slow      float64
	down      bool // refuses connections
	silent    bool // takes messages and answers none
	running   int
	done      int
	waiting   []func()
	most      int // most that ran and waited at once
	coldUntil time.Duration
}

type dispatcher struct {
	rig    *rig
	driver *Driver
	sent   []Attempt
	// manual keeps deliveries for the test to end.
	manual bool
}

func newRig(t *testing.T, dispatchers, senders, slots int, options Options) *rig {
	r := &rig{
		c: qt.New(t), now: time.Second, random: rand.New(rand.NewPCG(1, 2)),
		senders: map[string]*scripted{}, arrived: map[string]time.Duration{}, began: map[string]time.Duration{},
		runs: map[string]int{}, sentTo: map[string]int{}, again: true,
	}
	options.Dispatchers = dispatchers
	if options.Timeout == 0 {
		options.Timeout = 1200 * ms
	}
	for i := range dispatchers {
		d := &dispatcher{rig: r}
		options.Me, options.Seed = i, uint64(i+1)
		driver, err := New(options, d)
		r.c.Assert(err, qt.IsNil)
		d.driver = driver
		r.dispatchers = append(r.dispatchers, d)
	}
	for i := range senders {
		r.add(fmt.Sprintf("s%03d", i), slots)
	}
	r.tell()
	return r
}

func (r *rig) add(id string, slots int) *scripted {
	s := &scripted{id: id, slots: slots, queue: 4 * slots, work: 100 * ms, slow: 1}
	r.senders[id] = s
	r.list = append(r.list, Sender{ID: id, Address: "address-" + id, Slots: slots})
	return s
}

// tell gives the list of senders to all dispatchers.
func (r *rig) tell() {
	for _, d := range r.dispatchers {
		d.driver.SetSenders(r.now, r.list)
	}
}

func (r *rig) after(wait time.Duration, do func()) {
	r.order++
	heap.Push(&r.events, event{r.now + wait, r.order, do})
}

// play lets time pass.
func (r *rig) play(span time.Duration) {
	end := r.now + span
	for len(r.events) > 0 && r.events[0].at <= end {
		e := heap.Pop(&r.events).(event)
		r.now = max(r.now, e.at)
		e.do()
	}
	r.now = end
}

// submit has a message arrive at a dispatcher.
func (r *rig) submit(d *dispatcher) string {
	r.messages++
	message := fmt.Sprintf("m%d", r.messages)
	r.arrived[message] = r.now
	d.driver.Submit(r.now, message, r.now+90*time.Second)
	return message
}

// traffic has messages arrive at random for a while, at each dispatcher in turn.
func (r *rig) traffic(span, every time.Duration) {
	for at := time.Duration(0); at < span; at += time.Duration(r.random.ExpFloat64() * float64(every)) {
		d := r.dispatchers[r.random.IntN(len(r.dispatchers))]
		r.after(at, func() { r.submit(d) })
	}
}

func (d *dispatcher) GiveBack(message string, wait time.Duration) {
	r := d.rig
	r.givenBack = append(r.givenBack, wait)
	if r.again {
		r.after(wait, func() { d.driver.Submit(r.now, message, r.now+90*time.Second) })
	}
}

func (d *dispatcher) SetTimer(after time.Duration) {
	d.rig.after(after, func() { d.driver.Timer(d.rig.now) })
}

// Send delivers to a scripted sender.
func (d *dispatcher) Send(message string, attempt Attempt) {
	r := d.rig
	d.sent = append(d.sent, attempt)
	r.sentTo[attempt.Instance]++
	if d.manual {
		return
	}
	sent := r.now
	s := r.senders[attempt.Instance]
	end := func(status Status, load *Load) {
		if !d.driver.Ended(r.now, attempt.ID, Outcome{Status: status, Latency: r.now - sent, Load: load}) &&
			status != Succeeded && r.again {
			d.driver.Submit(r.now, message, r.now+90*time.Second)
		}
	}
	timeout := d.driver.options.Timeout
	switch {
	case s.down:
		r.after(ms, func() { end(ConnectFailed, nil) })
	case s.silent:
		r.after(timeout, func() { end(TimedOut, nil) })
	case s.running >= s.slots && len(s.waiting) >= s.queue:
		r.after(ms, func() { end(Full, s.load()) })
	default:
		s.take(r, message, func() { end(Succeeded, s.load()) })
	}
}

func (s *scripted) load() *Load {
	return &Load{Running: s.running, Waiting: len(s.waiting), Slots: s.slots}
}

// take runs a message now or when a slot is free.
func (s *scripted) take(r *rig, message string, done func()) {
	run := func() {
		s.running++
		r.runs[message]++
		if _, have := r.began[message]; !have {
			r.began[message] = r.now
		}
		work := float64(s.work) * s.slow * (0.5 + r.random.Float64())
		if r.now < s.coldUntil {
			work *= 1.6
		}
		r.after(time.Duration(work), func() {
			s.running--
			s.done++
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
			done()
		})
	}
	if s.running < s.slots {
		run()
	} else {
		s.waiting = append(s.waiting, run)
	}
	s.most = max(s.most, s.running+len(s.waiting))
}

// late counts the messages that arrived in a span and did not begin within so long.
func (r *rig) late(from, until, within time.Duration) (late, all int) {
	for message, at := range r.arrived {
		if at < from || at >= until {
			continue
		}
		all++
		if began, have := r.began[message]; !have || began-at > within {
			late++
		}
	}
	return late, all
}
