package waiting

import (
	"slices"
	"time"
)

// Ageing says how age counts against worth. Zero values are the defaults named.
type Ageing struct {
	Off     bool          // worth alone counts: a stream of worthier messages may starve a job
	Bound   time.Duration // the wait that it aims at; 30 s
	Reserve float64       // part of the fleet's work that overdue jobs may take; 0.1
}

func (a Ageing) withDefaults() Ageing {
	if a.Bound <= 0 {
		a.Bound = 30 * time.Second
	}
	if a.Reserve <= 0 {
		a.Reserve = 0.1
	}
	return a
}

// span is how long a ready job of a class may stand back for worthier work: half of
// the bound for the class of least worth, less in proportion for worthier ones. The
// other half is for those that are overdue together.
func (a Ageing) span(worth []float64, class int) time.Duration {
	least := slices.Min(worth)
	if worth[class] <= 0 || least <= 0 {
		return a.Bound / 2
	}
	return time.Duration(float64(a.Bound/2) * least / worth[class])
}

// pace is how fast jobs are released. Jobs that are not overdue get what the fleet
// has to spare: a window that grows with each served one and is halved by a back-off
// answer, with a pause. Overdue ones go ahead of all else, as far as the reserve
// lets them. Guards a thousand jobs that are due at once: the fleet, its cold hosts
// above all, sees them one after the other.
type pace struct {
	open    bool // the fleet has hosts
	window  float64
	running int           // released and not overdue
	until   time.Duration // the end of the pause
	tokens  float64       // seconds of work that overdue jobs may take
	filled  time.Duration
	reserve float64
	cost    []float64 // of each class: seconds that its jobs run for of late
}

const (
	windowMost  = 1000
	tokensMost  = 20  // jobs' worth that may be saved up
	tokensLeast = 0.5 // jobs a second, also while nothing is completed
	pauseFirst  = 100 * time.Millisecond
	costFirst   = 0.5 // seconds, until jobs have told
	costNew     = 0.1 // weight of one job in the cost of its class
)

func newPace(a Ageing, classes int) pace {
	p := pace{window: 1, reserve: a.Reserve, cost: make([]float64, classes)}
	for i := range p.cost {
		p.cost[i] = costFirst
	}
	return p
}

// SetOpen says whether there is a host that jobs may go to.
func (k *Core) SetOpen(yes bool) { k.pace.open = yes }

// Completed says how long the messages have run that the fleet has completed since,
// jobs or not, all together.
func (k *Core) Completed(ran time.Duration) { k.pace.fill(ran.Seconds() * k.pace.reserve) }

func (p *pace) fill(seconds float64) {
	p.tokens = min(tokensMost*slices.Max(p.cost), p.tokens+seconds)
}

// Release takes the job that is to be released now; nil where none is. ahead says
// that it is overdue and goes before all other messages that wait.
func (k *Core) Release(now time.Duration) (j *Job, ahead bool) {
	k.now = max(k.now, now)
	p := &k.pace
	if j = k.ready.top(); j == nil || !p.open {
		return nil, false
	}
	cost := p.cost[j.Spec.Class]
	p.fill(tokensLeast * cost * max(0, k.now-p.filled).Seconds())
	p.filled = k.now
	switch {
	case !k.c.Ageing.Off && j.due <= k.now && p.tokens >= cost:
		p.tokens -= cost
		ahead = true
	case k.now >= p.until && float64(p.running) < p.window:
		p.running++
	default:
		return nil, false
	}
	k.ready.remove(j)
	k.ends.remove(j)
	j.Tries++
	j.Released = k.now
	j.ahead = ahead
	k.enter(j, Running)
	return j, ahead
}

// NextRelease is when Release may have something to do though nothing else happens;
// ok is false where it will not.
func (k *Core) NextRelease() (after time.Duration, ok bool) {
	j, p := k.ready.top(), &k.pace
	if j == nil || !p.open {
		return 0, false
	}
	soonest := func(at time.Duration) {
		if d := max(0, at-k.now); !ok || d < after {
			after, ok = d, true
		}
	}
	if float64(p.running) < p.window {
		soonest(p.until)
	}
	if !k.c.Ageing.Off {
		token := k.now
		if cost := p.cost[j.Spec.Class]; p.tokens < cost {
			token += time.Duration((1 - p.tokens/cost) / tokensLeast * float64(time.Second))
		}
		soonest(max(j.due, token))
	}
	return after, ok
}

// Outcome is how a released job came out.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Lost               // it failed, and may have run
	TurnedAway         // a back-off answer: it has not run, or may run again
)

// End says how a released job came out, once for each release. ran is how long it ran
// at its host, if it was served; after is when a back-off answer says to come back;
// draw is a random number from 0 up to 1 that spreads those who do.
func (k *Core) End(now time.Duration, id ID, o Outcome, result []byte, ran, after time.Duration, draw float64) {
	k.now = max(k.now, now)
	j := k.jobs[id]
	if j == nil {
		return
	}
	p := &k.pace
	if !j.ahead {
		p.running = max(0, p.running-1)
	}
	if j.State != Running { // cancelled meanwhile
		return
	}
	switch o {
	case Served:
		if !j.ahead {
			p.window = min(windowMost, p.window+1/p.window)
		}
		if c := &k.pace.cost[j.Spec.Class]; ran > 0 {
			*c += (ran.Seconds() - *c) * costNew
		}
		j.Result = result
		k.end(j, Done, "", 0)
	case Lost:
		k.end(j, Failed, "it failed, and may have run", 0)
	case TurnedAway:
		if !j.ahead && k.now >= p.until {
			pause := max(after, pauseFirst)
			p.until = k.now + pause/2 + time.Duration(draw*float64(pause/2))
			p.window = max(1, p.window/2)
		}
		if j.Tries > k.c.Limits.Repeats {
			k.end(j, Refused, "turned away more often than it may be", 0)
			return
		}
		j.Why = "turned away by the fleet, waits again"
		if j.Spec.NotAfter > 0 {
			k.ends.push(j)
		}
		if j.Spec.Held {
			k.enter(j, Waiting)
			return
		}
		k.ready.push(j) // with the age that it had
		k.enter(j, Ready)
	}
}
