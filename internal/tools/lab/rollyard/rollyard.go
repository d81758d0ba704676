// Package rollyard plays rolling changes (internal/decide/rollout) in virtual time: a fleet with
// traffic and the troubles of a yard, stewards that upgrade, and builds that are bad on purpose.
package rollyard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"yardwharf/internal/decide/figures"
	"yardwharf/internal/decide/rollout"
)

// Build is what the new version does differently.
type Build struct {
	Name    string
	Loses   float64 // part of what would be in time
	Class   string  // of this class only; empty: all
	Refuses float64 // part of the messages
	Slow    float64 // part by which served messages take longer
	LeakMB  float64 // a minute
	Crashes time.Duration
	Fails   string // its upgrade fails
	Burst   bool   // what it loses it loses in 5 s of each minute
}

// Builds are those that the laboratory knows; the first is the same as the old one.
var Builds = []Build{
	{Name: "same"}, {Name: "worse-5", Loses: 0.05}, {Name: "refuses", Refuses: 0.1}, {Name: "slow", Slow: 0.1}, {Name: "leaks", LeakMB: 60},
	{Name: "crashes", Crashes: 3 * time.Second}, {Name: "never-ready", Fails: "not ready in time"}, {Name: "bursts", Loses: 0.4, Burst: true},
	{Name: "one-class", Loses: 0.1, Class: "book"},
}

// Options say what is played.
type Options struct {
	Dispatchers, Zones int
	Rate               float64 // messages a second of a dispatcher
	Quiet              bool    // no troubles
	Build              Build
	Stages             []rollout.Stage
	Seed               uint64
}

// Result is what came of a change.
type Result struct {
	State    rollout.State
	Held     string
	Stage    int           // in which it ended, from 1
	Took     time.Duration // from its begin
	Messages float64       // that new ones had taken
	Lost     float64       // worth that the new build lost
	AtOnce   float64       // what it would have lost in an hour with all of the fleet
	ByTime   float64       // in an hour with the same stages, each of its least time
	Why      string
}

type class struct {
	name  string
	worth float64
	share float64
	delay float64 // s
}

var classes = []class{{"look", 2, 0.6, 0.2}, {"book", 8, 0.3, 0.4}, {"move", 4, 0.1, 0.3}}

const (
	step       = time.Second
	hour       = time.Hour
	upgradeFor = 3 * time.Second
	served     = 0.97
	restartFor = 2 * time.Second
	baseMB     = 30
	troubled   = 90 * time.Second // mean time between two troubles of a zone
)

// machine is a dispatcher's machine with its steward.
type machine struct {
	zone    int
	isNew   bool
	process int
	counts  map[string]figures.Counts
	cpu     float64
	memory  float64
	born    time.Duration
	down    time.Duration // until then it does not serve
	act     int
	doing   bool
	until   time.Duration
	fault   string
	toNew   bool
	crashes int
	expose  float64 // how much of a zone's trouble it sees
}

// yard is a change under way.
type yard struct {
	o        Options
	rng      *rand.Rand
	now      time.Duration
	machines []machine
	trouble  []struct {
		until, next time.Duration
		part        float64
	}
	worth map[string]float64
	r     Result
}

// Play plays a change until it ends, is held or an hour is over.
func Play(o Options) (Result, error) {
	y := &yard{o: o, rng: rand.New(rand.NewPCG(o.Seed, 0x726f)), worth: map[string]float64{}}
	plan := &rollout.Plan{Change: "c", Stages: o.Stages, Margin: 0.02, FalseAlarm: 0.05, MaxOutOfService: 1}
	for i := range o.Dispatchers {
		y.machines = append(y.machines, machine{zone: i % o.Zones, counts: map[string]figures.Counts{}, memory: baseMB, expose: 0.8 + 0.4*y.rng.Float64()})
		plan.Dispatchers = append(plan.Dispatchers, rollout.Dispatcher{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i%o.Zones), Steward: fmt.Sprint("127.0.0.1:", 1000+i)})
	}
	for _, c := range classes {
		y.worth[c.name] = c.worth
	}
	y.trouble = make([]struct {
		until, next time.Duration
		part        float64
	}, o.Zones)
	for z := range y.trouble {
		y.trouble[z].next = y.gap()
	}
	m := rollout.New(plan)
	for ; y.now < hour; y.now += step {
		y.pass()
		for {
			r, due := m.Step(y.now, y.seen())
			if !due {
				break
			}
			if err := m.Apply(r); err != nil {
				return y.r, err
			}
			if r.Kind == rollout.RollBack || r.Kind == rollout.Hold {
				y.r.Why = r.Why
			}
		}
		for _, a := range m.Acts() {
			y.do(a)
		}
		if s := m.Status(); m.Ended() || s.Held != "" {
			y.r.State, y.r.Held, y.r.Stage, y.r.Took = s.State, s.Held, s.Stage, y.now
			break
		}
	}
	y.baselines(plan)
	return y.r, nil
}

func (y *yard) gap() time.Duration {
	if y.o.Quiet {
		return 2 * hour
	}
	return y.now + time.Duration(y.rng.ExpFloat64()*float64(troubled))
}

// pass lets a second pass.
func (y *yard) pass() {
	for z := range y.trouble {
		if t := &y.trouble[z]; y.now >= t.next {
			t.until = y.now + time.Duration((3+17*y.rng.Float64())*float64(time.Second))
			t.next, t.part = max(y.gap(), t.until), 0.1+0.8*y.rng.Float64()
		}
	}
	burst := y.now%time.Minute < 5*time.Second
	for i := range y.machines {
		k := &y.machines[i]
		if k.doing && y.now >= k.until {
			k.doing = false
			if k.fault == "" {
				k.isNew = k.toNew
				k.restart(y.now)
				k.crashes = 0
			}
		}
		if y.now < k.down {
			continue
		}
		b := &y.o.Build
		if k.isNew && b.Crashes > 0 && y.now-k.born >= b.Crashes {
			k.restart(y.now)
			k.crashes++
			k.down = y.now + restartFor
			continue
		}
		if k.isNew {
			k.memory += b.LeakMB / 60
		}
		good := served
		if t := &y.trouble[k.zone]; y.now < t.until {
			good *= 1 - min(1, t.part*k.expose)
		}
		for _, c := range classes {
			n := distuv.Poisson{Lambda: y.o.Rate * c.share, Src: y.rng}.Rand()
			count := k.counts[c.name]
			p, late := good, 0.5*(1-good)
			if k.isNew && (b.Class == "" || b.Class == c.name) && (!b.Burst || burst) {
				p *= 1 - b.Loses
			}
			delay := c.delay
			refused := 0.0
			if k.isNew {
				delay *= 1 + b.Slow
				refused = b.Refuses
			}
			inTime := 0.0
			if n > 0 {
				inTime = distuv.Binomial{N: n, P: p * (1 - refused), Src: y.rng}.Rand()
			}
			rest := n - inTime
			count.Taken += n
			count.InTime += inTime
			lateN := math.Floor(rest * late / max(1e-9, 1-p))
			count.Late += min(rest, lateN)
			count.Refused += rest - min(rest, lateN)
			count.Relays += n * 1.05
			count.DelaySum += (inTime + min(rest, lateN)) * delay * (0.9 + 0.2*y.rng.Float64())
			k.counts[c.name] = count
			if k.isNew {
				y.r.Messages += n
				y.r.Lost += n * c.worth * (good - p*(1-refused))
			}
		}
		k.cpu += y.o.Rate * 1e-4 * (0.9 + 0.2*y.rng.Float64())
	}
}

func (k *machine) restart(now time.Duration) {
	k.process++
	k.counts, k.cpu, k.memory, k.born = map[string]figures.Counts{}, 0, baseMB, now
}

// do is a steward that hears of an act.
func (y *yard) do(a rollout.Act) {
	k := &y.machines[a.Dispatcher]
	if k.act == a.Seq {
		return
	}
	k.act, k.fault, k.toNew = a.Seq, "", a.New
	if k.isNew == a.New {
		return
	}
	k.doing, k.until = true, y.now+upgradeFor
	if a.New {
		k.fault = y.o.Build.Fails
	}
}

func (y *yard) seen() []rollout.Report {
	list := make([]rollout.Report, len(y.machines))
	for i := range y.machines {
		k := &y.machines[i]
		f := figures.Figures{Process: fmt.Sprint(k.process), Classes: map[string]figures.Counts{}, Worth: y.worth, CPU: k.cpu, Memory: k.memory}
		for name, c := range k.counts {
			f.Classes[name] = c
		}
		list[i] = rollout.Report{Reached: true, Act: k.act, InProgress: k.doing, Fault: k.fault, Crashes: k.crashes, InService: y.now >= k.down, Figures: f}
	}
	return list
}

// baselines are what the same build would have cost in an hour without a verdict: by all at
// once, and in the same stages, each of which ends after its least time.
func (y *yard) baselines(p *rollout.Plan) {
	b := &y.o.Build
	perSecond := 0.0 // of a dispatcher that is new
	for _, c := range classes {
		loss := 0.0
		if b.Class == "" || b.Class == c.name {
			loss = b.Loses
			if b.Burst {
				loss *= 5.0 / 60
			}
		}
		perSecond += y.o.Rate * c.share * c.worth * served * (1 - (1-loss)*(1-b.Refuses))
	}
	n := float64(y.o.Dispatchers)
	y.r.AtOnce = perSecond * n * hour.Seconds()
	left := hour
	for i, s := range p.Stages {
		d := min(s.MinWatch, left)
		if i == len(p.Stages)-1 {
			d = left
		}
		y.r.ByTime += perSecond * n * s.Fraction * d.Seconds()
		left -= d
	}
}

// Sum is what many changes came to.
type Sum struct {
	Build                string
	Runs                 int
	Done, Stopped, Held  int
	First                int // stopped in the first stage
	Took                 []time.Duration
	Messages             []float64
	Lost, AtOnce, ByTime float64
	Whys                 map[string]int
}

// Add books a result.
func (s *Sum) Add(r Result) {
	s.Runs++
	switch {
	case r.State == rollout.Done:
		s.Done++
	case r.State == rollout.Stopped:
		s.Stopped++
		if r.Stage == 1 {
			s.First++
		}
	default:
		s.Held++
	}
	s.Took, s.Messages = append(s.Took, r.Took), append(s.Messages, r.Messages)
	s.Lost, s.AtOnce, s.ByTime = s.Lost+r.Lost, s.AtOnce+r.AtOnce, s.ByTime+r.ByTime
	if s.Whys == nil {
		s.Whys = map[string]int{}
	}
	if r.Why != "" {
		s.Whys[r.Why]++
	}
}

// Head names the figures of String.
const Head = "build          runs   done stopped  first   held   median time   messages   lost of at once   lost of by time"

// String is a line of a table.
func (s *Sum) String() string {
	slices.Sort(s.Took)
	slices.Sort(s.Messages)
	part := func(all float64) string {
		if all <= 0 {
			return "-"
		}
		return fmt.Sprintf("%.3f%%", 100*s.Lost/all)
	}
	return fmt.Sprintf("%-13s %5d %6d %7d %6d %6d %13v %10.0f %17s %17s", s.Build, s.Runs, s.Done, s.Stopped, s.First, s.Held,
		s.Took[len(s.Took)/2], s.Messages[len(s.Messages)/2], part(s.AtOnce), part(s.ByTime))
}
