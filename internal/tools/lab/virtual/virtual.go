// Package virtual runs the laboratory's model in virtual time with the decision
// modules linked in: many times faster than real time, and one seed replays a run.
package virtual

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"yardwharf"
	"yardwharf/internal/tools/lab/rules"
	"yardwharf/internal/tools/lab/sim"
	"yardwharf/internal/tools/lab/yard"
)

// Site is a place with hosts and dispatchers.
type Site struct {
	Name        string
	Hosts       int
	Dispatchers int
}

// Failure is something that goes wrong for a while.
type Failure struct {
	Kind string // one of Kinds
	At   time.Duration
	For  time.Duration
	Part float64 // of the hosts or dispatchers
	Size float64 // times slower
	Site string  // only there; empty: everywhere
}

// Kinds are the kinds of failures, with what they mean.
func Kinds() map[string]string {
	return map[string]string{
		"slow":           "hosts are size times slower",
		"hang":           "hosts take jobs and answer none",
		"shared_slow":    "all hosts are size times slower",
		"drain":          "hosts drain, are gone, and come back cold",
		"crash":          "dispatchers die, and come back with their last list",
		"site_dark":      "no host of the site can be reached",
		"discovery_down": "discovery answers nothing",
	}
}

// Config is one run.
type Config struct {
	Seed     uint64
	Account  *yard.Account // nil: Ferreira's
	Sites    []Site
	Rate     float64 // requests a second, all sites together
	Surge    []Surge
	Length   time.Duration
	Retry    string // "none", "at_once" or "later": what clients do after a refusal or failure
	Failures []Failure
	Lag      time.Duration // of discovery
	Calls    Discovery

	mutant string // a fault in what dispatchers do, for tests of the checkers
}

// Discovery is how calls to it are served; the zero Discovery serves all at once.
type Discovery struct {
	Serve    time.Duration // a call takes, one after the other
	Most     int           // calls that wait; others fail at once
	Patience time.Duration // a dispatcher gives a call up, which is worked off all the same
}

// Second is what all dispatchers did together in one.
type Second struct {
	Calls   int // to discovery, begun
	Failed  int // of those that ended
	Sends   int // of relays
	ToCold  int // of these to hosts that are cold
	NewCold int // dispatchers that sent a cold host its first
	Retries int // of clients
}

// Surge multiplies the rate for a while.
type Surge struct {
	At, For time.Duration
	Times   float64
}

// Result is what came of a run.
type Result struct {
	Asked, Worth float64 // worth asked for, and answered within the wanted time
	WorstWindow  float64 // service in the worst 10 s
	ByClass      []ClassResult
	Requests     int
	Tries        int // with the clients' retries
	Served       int // requests with a result, in the wanted time or after it
	Refused      int
	Failed       int
	Attempts     int
	Crossings    int
	Fallen       int
	Broken       []rules.Broken
	Margin       time.Duration // of the grace, the least
	Pressure     float64       // on a cold host, the most, as a part of what pushes it over
	Events       uint64
	Open         int // messages that are still held at the end
	Seconds      []Second
}

// ClassResult is one class's part.
type ClassResult struct {
	Name         string
	Asked, Worth float64
	Late         int // served after the wanted time
}

// Service is the worth answered in time over the worth asked for.
func (r *Result) Service() float64 { return r.Worth / max(r.Asked, 1e-9) }

const windowLength = 10 * time.Second

// world is the run.
type world struct {
	c       Config
	clock   *sim.Clock
	rng     *rand.Rand
	began   time.Duration
	account *yard.Account
	classes []yard.Class
	mean    []time.Duration
	hosts   []*host
	disp    []*dispatcher
	cross   time.Duration
	check   *rules.Checker
	down    bool // discovery
	last    uint64
	windows [][2]float64  // asked, worth
	busy    time.Duration // discovery is busy until then
	waiting int           // calls that it has
	result  Result
}

type host struct {
	*yard.Host
	index, site int
	id          yardwharf.WorkerID
	state       yardwharf.WorkerState
	dark        bool
	met         map[int]time.Duration // by dispatcher: of which start it was sent something
	report      []float32             // as it was at reported
	reported    time.Duration
}

// request is one job of a client, over its tries.
type request struct {
	class int
	site  int
	slots float64
	owner int           // its tenant
	work  time.Duration // at speed 1
	came  time.Duration
	tries int
	done  bool
}

// message is one try, at a dispatcher.
type message struct {
	id       uint64
	req      *request
	d        *dispatcher
	deadline time.Duration
	relays   []*relay
	answered bool
}

type relay struct {
	m     *message
	n     int
	h     *host
	sent  time.Duration
	task  *yard.Task
	ended bool
}

// Run plays one run.
func Run(c Config) (*Result, error) {
	a := c.Account
	if a == nil {
		a = yard.Ferreira()
	}
	w := &world{c: c, clock: sim.New(time.Hour), rng: rand.New(rand.NewPCG(c.Seed, 0x79617264)), account: a, classes: a.Classes,
		check: rules.New(rules.Limits{Slack: 16 * time.Millisecond, Grace: a.DrainGrace, Attempts: a.MostAttempts})}
	w.began = w.clock.Now()
	w.cross = a.CrossLeast + time.Duration(w.rng.Float64()*float64(a.CrossMost-a.CrossLeast))
	for _, k := range w.classes {
		w.mean = append(w.mean, k.Least+time.Duration(w.rng.Float64()*float64(k.Most-k.Least)))
		w.result.ByClass = append(w.result.ByClass, ClassResult{Name: k.Name})
	}
	w.result.Seconds = make([]Second, c.Length/time.Second+1)
	w.windows = make([][2]float64, c.Length/windowLength+1)
	w.fleet()
	if err := w.dispatchers(); err != nil {
		return nil, err
	}
	for _, f := range c.Failures {
		if _, known := Kinds()[f.Kind]; !known {
			return nil, fmt.Errorf("virtual: unknown failure %q", f.Kind)
		}
		w.clock.At(w.began+f.At, func() { w.fail(f) })
	}
	w.arrivals()
	longest := time.Duration(0)
	for _, k := range w.classes {
		longest = max(longest, k.Patience)
	}
	w.clock.Run(w.began + c.Length + longest + 2*time.Second) // what is open then has its answer by then
	w.check.End(w.clock.Now())
	w.finish()
	return &w.result, nil
}

// fleet draws the hosts from the account's models.
func (w *world) fleet() {
	kinds := w.account.Kinds
	for site, s := range w.c.Sites {
		for range s.Hosts {
			kind := 0
			if w.rng.Float64() > kinds[0].Share {
				kind = 1
			}
			k := kinds[kind]
			h := &host{index: len(w.hosts), site: site, id: yardwharf.WorkerID(len(w.hosts) + 1), state: yardwharf.Ready, met: map[int]time.Duration{}}
			h.Host = yard.NewHost(w.clock, yard.HostSpec{Name: fmt.Sprintf("%s-%d", s.Name, len(w.hosts)), Site: site, Kind: kind, Cores: k.Cores,
				Slots: k.Cores, Speed: k.SpeedLo + w.rng.Float64()*(k.Speed-k.SpeedLo), Queue: int(w.account.Queue * k.Cores), Account: w.account})
			w.hosts = append(w.hosts, h)
		}
	}
}

// second is the count of this one.
func (w *world) second() *Second {
	n := int((w.clock.Now() - w.began) / time.Second)
	return &w.result.Seconds[min(n, len(w.result.Seconds)-1)]
}

// delay is one way between two sites.
func (w *world) delay(a, b int) time.Duration {
	if a == b {
		return w.account.HomeDelay
	}
	return w.cross
}

// arrivals has requests come.
func (w *world) arrivals() {
	var next func()
	next = func() {
		at := w.clock.Now() - w.began
		if at >= w.c.Length {
			return
		}
		rate := w.c.Rate
		for _, s := range w.c.Surge {
			if at >= s.At && at < s.At+s.For {
				rate *= s.Times
			}
		}
		w.ask()
		w.clock.After(time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.clock.After(0, next)
}

// ask is a client's request.
func (w *world) ask() {
	x, class := w.rng.Float64(), 0
	for x -= w.classes[class].Share; x > 0 && class < len(w.classes)-1; x -= w.classes[class].Share {
		class++
	}
	k := &w.classes[class]
	r := &request{class: class, site: w.rng.IntN(len(w.c.Sites)), came: w.clock.Now(),
		slots: k.Slots[w.rng.IntN(len(k.Slots))], work: time.Duration((0.5 + w.rng.Float64()) * float64(w.mean[class]))}
	if len(w.account.Tenants) > 0 {
		x := w.rng.Float64()
		for x -= w.account.Tenants[r.owner].Share; x > 0 && r.owner < len(w.account.Tenants)-1; x -= w.account.Tenants[r.owner].Share {
			r.owner++
		}
	}
	w.result.Requests++
	w.result.Asked += k.Worth
	w.result.ByClass[class].Asked += k.Worth
	w.windows[w.window(r)][0] += k.Worth
	w.try(r)
}

func (w *world) window(r *request) int { return int((r.came - w.began) / windowLength) }

// try goes through the front to a dispatcher of the site, or of another where it has
// none. The front does not notice a dead one at once.
func (w *world) try(r *request) {
	if r.tries++; r.tries > 1 {
		w.second().Retries++
	}
	w.result.Tries++
	var fit []*dispatcher
	for _, d := range w.disp {
		if d.site == r.site && d.listed(w.clock.Now()) {
			fit = append(fit, d)
		}
	}
	if len(fit) == 0 {
		for _, d := range w.disp {
			if d.listed(w.clock.Now()) {
				fit = append(fit, d)
			}
		}
	}
	if len(fit) == 0 {
		w.again(r)
		return
	}
	d := fit[w.rng.IntN(len(fit))]
	w.clock.After(w.delay(r.site, d.site), func() {
		if d.b == nil {
			w.again(r)
			return
		}
		d.take(r)
	})
}

// again is what a client does after a try that brought nothing.
func (w *world) again(r *request) {
	if r.done || r.tries > w.account.Retries || w.c.Retry == "none" || w.c.Retry == "" {
		return
	}
	wait := 10 * time.Millisecond
	if w.c.Retry == "later" {
		wait = 500*time.Millisecond + time.Duration(w.rng.Float64()*float64(time.Second))
	}
	if w.clock.Now()+wait-r.came < w.classes[r.class].Patience {
		w.clock.After(wait, func() { w.try(r) })
	}
}

// served is a result that has come back to the client.
func (w *world) served(r *request) {
	if r.done {
		return
	}
	r.done = true
	w.result.Served++
	k := &w.classes[r.class]
	aim := k.Aim + time.Duration(k.Stretch*float64(r.work))
	if took := w.clock.Now() - r.came; took <= min(aim, k.Patience) {
		w.result.Worth += k.Worth
		w.result.ByClass[r.class].Worth += k.Worth
		w.windows[w.window(r)][1] += k.Worth
	} else {
		w.result.ByClass[r.class].Late++
	}
}

func (w *world) finish() {
	r := &w.result
	r.WorstWindow = 1
	for _, x := range w.windows {
		if x[0] > 0 {
			r.WorstWindow = min(r.WorstWindow, x[1]/x[0])
		}
	}
	for _, h := range w.hosts {
		r.Pressure = max(r.Pressure, h.Worst)
		if h.Fallen() {
			r.Fallen++
			w.check.Fell(w.clock.Now(), h.index)
		}
	}
	for _, d := range w.disp {
		r.Open += len(d.messages)
	}
	r.Broken, r.Margin, r.Events = w.check.Broken(), w.check.Margin, w.clock.Events()
}

// pick draws a part of a list, at least one.
func pick[T any](rng *rand.Rand, list []T, part float64) []T {
	list = slices.Clone(list)
	rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max(1, int(part*float64(len(list))+0.5)))]
}
