// Package order plays messages and waiting jobs against the decision module in
// virtual time, to see what the order in which they go does: how long jobs wait, and
// what the worthier messages lose. One seed replays a run to the bit.
package order

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwharf"
	"yardwharf/internal/decide/waiting"
	"yardwharf/internal/tools/lab/sim"
	"yardwharf/internal/tools/lab/yard"
)

// Config is one run. The fleet is Hosts of Slots each, whose queues hold twice as
// many; jobs take as long as the account of the site says (BRIEF, request classes).
type Config struct {
	Seed     uint64
	Hosts    int
	Slots    int
	Load     float64 // of the worthy messages: work offered, as a part of what the fleet can do
	JobLoad  float64 // of the waiting jobs: the same
	Length   time.Duration
	Ageing   waiting.Ageing
	StopJobs time.Duration // no job is submitted after this
	Burst    int           // jobs that are due at one moment, 10 s after the start
	Cold     bool          // all hosts have just started
}

// Result is what came of a run.
type Result struct {
	Messages, InTime int // worthy messages, and those served within their aim
	Jobs, Served     int
	Longest          time.Duration // a job was ready for, until the release that served it, or until now
	P50, P99         time.Duration
	Unserved         int     // jobs that are ready and have not been served at the end
	Pressure         float64 // the most work that a cold host was sent in 2 s, as a part of what makes it fall over
}

// Service is the part of the worthy messages that were in time.
func (r Result) Service() float64 { return float64(r.InTime) / float64(max(1, r.Messages)) }

const (
	worthy, lowly = 0, 1
	meanWorthy    = 130 * time.Millisecond // status-check runs 87 to 170 ms
	meanLowly     = 500 * time.Millisecond // campaign-batch 350 to 670 ms
	aimWorthy     = 60 * time.Millisecond
	stretch       = 2.5
)

// run is one run.
type run struct {
	c        Config
	account  *yard.Account
	rng      *rand.Rand
	now      time.Duration
	began    time.Duration
	clock    *sim.Clock
	b        *yardwharf.Balancer
	k        *waiting.Core
	hosts    []*host
	messages map[yardwharf.RequestID]*message
	last     yardwharf.RequestID
	result   Result
	waits    []time.Duration
	tick     time.Duration // when the runner looks again
}

type host struct {
	id      yardwharf.WorkerID
	running int
	queue   []*relay
	sent    []dose // work, while it is cold
}

// dose is work that a host was sent at a time.
type dose struct {
	at   time.Duration
	work time.Duration
}

// press books work that a cold host is sent.
func (y *run) press(h *host, work time.Duration) {
	age := y.now - y.began
	if !y.c.Cold || age >= y.account.WarmUp {
		return
	}
	h.sent = append(h.sent, dose{y.now, work})
	for h.sent[0].at <= y.now-y.account.OverloadFor {
		h.sent = h.sent[1:]
	}
	sum := time.Duration(0)
	for _, d := range h.sent {
		sum += d.work
	}
	warmth := y.account.StartCapacity + (1-y.account.StartCapacity)*float64(age)/float64(y.account.WarmUp)
	bears := y.account.OverloadFactor * warmth * float64(y.c.Slots) * y.account.OverloadFor.Seconds()
	y.result.Pressure = max(y.result.Pressure, sum.Seconds()/bears)
}

type relay struct {
	m    *message
	n    int
	host *host
	sent time.Duration
	done bool
}

type message struct {
	id     yardwharf.RequestID
	class  int
	work   time.Duration
	came   time.Duration
	job    waiting.ID // 0: a message of the platform's
	relays []*relay
	closed bool
}

func (y *run) at(t time.Duration, do func()) {
	y.clock.At(t, func() {
		y.now = y.clock.Now()
		do()
	})
}

func (y *run) after(d time.Duration, do func()) { y.at(y.now+d, do) }

// Run plays one run.
func Run(c Config) (Result, error) {
	y := &run{c: c, account: yard.Ferreira(), rng: rand.New(rand.NewPCG(c.Seed, 1)), now: time.Hour, clock: sim.New(time.Hour), messages: map[yardwharf.RequestID]*message{}}
	s := yardwharf.Settings{Balancers: 1, MaxAttempts: 5, Cancel: true, ParallelTries: true, TellsStart: true, StartCapacity: 0.13,
		WarmUp: 24 * time.Second, OverloadFactor: 4, OverloadFor: 2 * time.Second, MaxRetryAfter: 2 * time.Second, DrainGrace: 500 * time.Millisecond,
		Zones: []string{"here"}, Classes: []yardwharf.Class{
			{Name: "status-check", Aim: aimWorthy, Stretch: stretch, Deadline: 5 * time.Second, Worth: 5, Kind: -1},
			{Name: "campaign-batch", Aim: 250 * time.Millisecond, Stretch: 2, Deadline: 6 * time.Second, Worth: 3, Kind: -1}}}
	var err error
	if y.b, err = yardwharf.New(s, c.Seed, y); err != nil {
		return Result{}, fmt.Errorf("order: %w", err)
	}
	y.k = waiting.New(waiting.Config{Worth: []float64{5, 3}, Ageing: c.Ageing, Limits: waiting.Limits{MaxRereleases: 1 << 30, Retention: time.Hour * 24}})
	y.k.Advance(y.now, y.now, 1)
	y.k.SetHostsAvailable(true)
	var list []yardwharf.Member
	for i := range c.Hosts {
		h := &host{id: yardwharf.WorkerID(i + 1)}
		y.hosts = append(y.hosts, h)
		m := yardwharf.Member{ID: h.id, State: yardwharf.Ready, CapacityHint: 1}
		if c.Cold {
			m.Started = y.now
		}
		list = append(list, m)
	}
	y.b.Members(y.now, yardwharf.ListFull, list)
	end := y.now + c.Length
	slots := float64(c.Hosts * c.Slots)
	y.began = y.now
	if c.Burst > 0 {
		y.result.Jobs += c.Burst
		due := y.now + 10*time.Second
		if _, _, err := y.k.Submit(y.now, y.now, slices.Repeat([]waiting.Spec{{Class: lowly, NotBefore: due}}, c.Burst)); err != nil {
			return Result{}, fmt.Errorf("order: %w", err)
		}
		y.at(due, y.look)
	}
	y.arrivals(slots*c.Load/meanWorthy.Seconds(), end, func() { y.arrive(worthy, 0) })
	if c.JobLoad > 0 {
		until := end
		if c.StopJobs > 0 {
			until = y.now + c.StopJobs
		}
		y.arrivals(slots*c.JobLoad/meanLowly.Seconds(), until, y.submit)
	}
	y.clock.Run(end)
	y.now = end
	return y.finish(), nil
}

// arrivals has something come at random times of a mean rate.
func (y *run) arrivals(rate float64, until time.Duration, do func()) {
	var next func()
	next = func() {
		do()
		if d := time.Duration(y.rng.ExpFloat64() / rate * float64(time.Second)); y.now+d < until {
			y.after(d, next)
		}
	}
	y.after(0, next)
}

// arrive takes a message, or a job that has been released.
func (y *run) arrive(class int, job waiting.ID) { y.take(class, job, false) }

func (y *run) take(class int, job waiting.ID, ahead bool) {
	y.last++
	mean := meanWorthy
	if class == lowly {
		mean = meanLowly
	}
	m := &message{id: y.last, class: class, work: time.Duration((0.6 + 0.8*y.rng.Float64()) * float64(mean)), came: y.now, job: job}
	y.messages[m.id] = m
	if job == 0 {
		y.result.Messages++
	}
	deadline := []time.Duration{5 * time.Second, 6 * time.Second}[class]
	y.b.Request(y.now, yardwharf.Request{ID: m.id, Class: class, Deadline: y.now + deadline, Slots: 1, FrontOfQueue: ahead})
	y.at(y.now+deadline, func() { // overdue relays are given up
		for _, r := range m.relays {
			y.end(r, yardwharf.Timeout)
		}
	})
}

// submit hands in a waiting job, which is ready at once.
func (y *run) submit() {
	y.result.Jobs++
	if _, _, err := y.k.Submit(y.now, y.now, []waiting.Spec{{Class: lowly}}); err != nil {
		y.result.Jobs--
	}
	y.look()
}

// look does what the runner of the program does.
func (y *run) look() {
	y.k.Advance(y.now, y.now, 1000)
	y.k.TakeEvents()
	for {
		j, ahead := y.k.Release(y.now)
		if j == nil {
			break
		}
		y.take(lowly, j.ID, ahead)
	}
	if y.tick <= y.now {
		y.tick = y.now + 50*time.Millisecond
		y.at(y.tick, y.look)
	}
}

// final gives a message its answer.
func (y *run) final(m *message, o waiting.Outcome, after time.Duration) {
	if m == nil || m.closed {
		return
	}
	m.closed = true
	delete(y.messages, m.id)
	if o == waiting.Served {
		y.k.AddCompletedWork(m.work)
		if m.job == 0 && y.now-m.came <= aimWorthy+time.Duration(stretch*float64(m.work)) {
			y.result.InTime++
		}
	}
	if m.job > 0 {
		y.at(y.now, func() {
			if j, _ := y.k.Get(m.job); o == waiting.Served && j != nil {
				y.waits = append(y.waits, j.Released-j.ReadyAt)
			}
			y.k.ReportOutcome(y.now, m.job, o, nil, m.work, after, y.rng.Float64())
			y.look()
		})
	}
}

// Send implements yardwharf.Actions, as the rest.
func (y *run) Send(id yardwharf.RequestID, w yardwharf.WorkerID, _ time.Duration) {
	m := y.messages[id]
	if m == nil {
		return
	}
	r := &relay{m: m, n: len(m.relays), host: y.hosts[w-1], sent: y.now}
	m.relays = append(m.relays, r)
	y.press(r.host, m.work)
	y.after(2*time.Millisecond, func() {
		h := r.host
		switch {
		case r.done:
		case h.running < y.c.Slots:
			y.start(r)
		case len(h.queue) < 2*y.c.Slots:
			h.queue = append(h.queue, r)
		default:
			y.end(r, yardwharf.Full)
		}
	})
}

func (y *run) start(r *relay) {
	r.host.running++
	y.b.Note(y.now, r.m.id, r.n, yardwharf.Started, 0)
	y.after(r.m.work, func() {
		r.host.running--
		y.end(r, yardwharf.OK)
		for len(r.host.queue) > 0 && r.host.running < y.c.Slots {
			next := r.host.queue[0]
			r.host.queue = r.host.queue[1:]
			if !next.done {
				y.start(next)
			}
		}
	})
}

// end tells the module how a relay ended.
func (y *run) end(r *relay, st yardwharf.Status) {
	if r.done {
		return
	}
	r.done = true
	if st == yardwharf.OK {
		y.final(r.m, waiting.Served, 0)
	}
	y.b.Outcome(y.now, yardwharf.Outcome{Request: r.m.id, Attempt: r.n, Worker: r.host.id, Status: st, Latency: y.now - r.sent, Closed: r.m.closed})
}

// Refuse is a back-off answer.
func (y *run) Refuse(id yardwharf.RequestID, after time.Duration) {
	y.final(y.messages[id], waiting.TurnedAway, after)
}

// Fail is the end of a message.
func (y *run) Fail(id yardwharf.RequestID) { y.final(y.messages[id], waiting.Lost, 0) }

// Cancel gives a relay up; one that runs goes on, as its host does not look up.
func (y *run) Cancel(id yardwharf.RequestID, n int) {
	if m := y.messages[id]; m != nil && n < len(m.relays) {
		r := m.relays[n]
		y.after(0, func() { y.end(r, yardwharf.Cancelled) })
	}
}

// SetTimer sets one.
func (y *run) SetTimer(after time.Duration) { y.after(after, func() { y.b.Timer(y.now) }) }

// Probe, Broadcast and Watch have nothing to do here.
func (y *run) Probe(yardwharf.WorkerID) {}
func (y *run) Broadcast([]byte)         {}
func (y *run) Watch()                   {}

func (y *run) finish() Result {
	y.result.Served = len(y.waits)
	open := func(j *waiting.Job) bool { return j.State == waiting.Ready || j.State == waiting.Running }
	for after, more := waiting.ID(0), true; more; more = after > 0 { // a page at a time
		var jobs []*waiting.Job
		jobs, after = y.k.List(after, 1000, open)
		for _, j := range jobs {
			y.result.Unserved++
			y.result.Longest = max(y.result.Longest, y.now-j.ReadyAt)
		}
	}
	slices.Sort(y.waits)
	if n := len(y.waits); n > 0 {
		y.result.P50, y.result.P99 = y.waits[n/2], y.waits[n*99/100]
		y.result.Longest = max(y.result.Longest, y.waits[n-1])
	}
	return y.result
}
