package waiting

import (
	"slices"
	"time"
)

// Ageing configures how a job's age is weighed against its worth. A zero field takes the
// default given beside it.
type Ageing struct {
	Disabled bool          // order by worth alone; a stream of worthier messages may starve a job
	MaxWait  time.Duration // target for the longest wait of a ready job; 30 s
	Reserve  float64       // share of the fleet's work that overdue jobs may take; 0.1
}

func (a Ageing) withDefaults() Ageing {
	if a.MaxWait <= 0 {
		a.MaxWait = 30 * time.Second
	}
	if a.Reserve <= 0 {
		a.Reserve = 0.1
	}
	return a
}

// overdueAfter returns how long a ready job of a class may be passed over for worthier work:
// half of the target wait for the class of least worth, proportionally less for worthier
// ones. The other half leaves time to work off jobs that become overdue together.
func (a Ageing) overdueAfter(worth []float64, class int) time.Duration {
	minWorth := slices.Min(worth)
	if worth[class] <= 0 || minWorth <= 0 {
		return a.MaxWait / 2
	}
	return time.Duration(float64(a.MaxWait/2) * minWorth / worth[class])
}

// pacer limits how fast jobs are released. Jobs that are not overdue use the fleet's spare
// capacity: a window that grows with each served job and is halved, with a pause, by a
// back-off answer. Overdue jobs go ahead of all other messages, as far as the reserve
// allows. So a thousand jobs that become ready at once reach the fleet, and above all its
// cold hosts, gradually.
type pacer struct {
	hostsAvailable  bool // there is a host to release jobs to
	window          float64
	runningInWindow int           // running jobs that were not released as overdue
	pausedUntil     time.Duration // end of the pause after a back-off answer
	tokens          float64       // seconds of work that overdue jobs may still take
	lastRefill      time.Duration
	reserve         float64
	cost            []float64 // by class: moving average of its jobs' run times, in seconds
}

const (
	maxWindow        = 1000
	maxSavedJobs     = 20  // caps tokens at this many jobs of the costliest class
	minJobsPerSecond = 0.5 // refill rate even while the fleet completes nothing
	minPause         = 100 * time.Millisecond
	initialCost      = 0.5 // seconds; assumed until jobs have completed
	costSampleWeight = 0.1 // weight of one job in the moving average of its class
)

func newPacer(a Ageing, classes int) pacer {
	p := pacer{window: 1, reserve: a.Reserve, cost: make([]float64, classes)}
	for i := range p.cost {
		p.cost[i] = initialCost
	}
	return p
}

// SetHostsAvailable sets whether there is a host that jobs may be released to.
func (k *Core) SetHostsAvailable(available bool) { k.pacer.hostsAvailable = available }

// AddCompletedWork reports the total run time of all messages, jobs or not, that the fleet has
// completed since the previous call.
func (k *Core) AddCompletedWork(runTime time.Duration) {
	k.pacer.addTokens(runTime.Seconds() * k.pacer.reserve)
}

func (p *pacer) addTokens(seconds float64) {
	p.tokens = min(maxSavedJobs*slices.Max(p.cost), p.tokens+seconds)
}

// Release returns the job to release now, or nil. ahead reports that it is overdue and must
// be sent before all other waiting messages.
func (k *Core) Release(now time.Duration) (j *Job, ahead bool) {
	k.now = max(k.now, now)
	p := &k.pacer
	if j = k.ready.top(); j == nil || !p.hostsAvailable {
		return nil, false
	}
	cost := p.cost[j.Spec.Class]
	p.addTokens(minJobsPerSecond * cost * max(0, k.now-p.lastRefill).Seconds())
	p.lastRefill = k.now
	switch {
	case !k.config.Ageing.Disabled && j.virtualDeadline <= k.now && p.tokens >= cost:
		p.tokens -= cost
		ahead = true
	case k.now >= p.pausedUntil && float64(p.runningInWindow) < p.window:
		p.runningInWindow++
	default:
		return nil, false
	}
	k.ready.remove(j)
	k.expiring.remove(j)
	j.Tries++
	j.Released = k.now
	j.releasedOverdue = ahead
	k.setState(j, Running)
	return j, ahead
}

// NextRelease returns how long until Release may return a job even if nothing else happens;
// ok is false if it will not.
func (k *Core) NextRelease() (after time.Duration, ok bool) {
	j, p := k.ready.top(), &k.pacer
	if j == nil || !p.hostsAvailable {
		return 0, false
	}
	consider := func(at time.Duration) {
		if d := max(0, at-k.now); !ok || d < after {
			after, ok = d, true
		}
	}
	if float64(p.runningInWindow) < p.window {
		consider(p.pausedUntil)
	}
	if !k.config.Ageing.Disabled {
		token := k.now
		if cost := p.cost[j.Spec.Class]; p.tokens < cost {
			token += time.Duration((1 - p.tokens/cost) / minJobsPerSecond * float64(time.Second))
		}
		consider(max(j.virtualDeadline, token))
	}
	return after, ok
}

// Outcome is the result of a released job.
type Outcome uint8

// The outcomes.
const (
	Served     Outcome = iota
	Lost               // it failed and may have run
	TurnedAway         // a back-off answer: it has not run, or is safe to repeat
)

// ReportOutcome reports the outcome of a released job; it is called once for each release. runTime is
// how long a served job ran at its host; retryAfter is the delay that a back-off answer
// asks for; jitter is a random number in [0, 1) that spreads the retries.
func (k *Core) ReportOutcome(now time.Duration, id ID, outcome Outcome, result []byte, runTime, retryAfter time.Duration, jitter float64) {
	k.now = max(k.now, now)
	j := k.jobs[id]
	if j == nil {
		return
	}
	p := &k.pacer
	if !j.releasedOverdue {
		p.runningInWindow = max(0, p.runningInWindow-1)
	}
	if j.State != Running { // it was cancelled while it ran
		return
	}
	switch outcome {
	case Served:
		if !j.releasedOverdue {
			p.window = min(maxWindow, p.window+1/p.window)
		}
		if c := &k.pacer.cost[j.Spec.Class]; runTime > 0 {
			*c += (runTime.Seconds() - *c) * costSampleWeight
		}
		j.Result = result
		k.finish(j, Done, "", 0)
	case Lost:
		k.finish(j, Failed, "it failed, and may have run", 0)
	case TurnedAway:
		if !j.releasedOverdue && k.now >= p.pausedUntil {
			pause := max(retryAfter, minPause)
			p.pausedUntil = k.now + pause/2 + time.Duration(jitter*float64(pause/2))
			p.window = max(1, p.window/2)
		}
		if j.Tries > k.config.Limits.MaxRereleases {
			k.finish(j, Refused, "turned away more often than it may be", 0)
			return
		}
		j.Reason = "turned away by the fleet, waits again"
		if j.Spec.NotAfter > 0 {
			k.expiring.push(j)
		}
		if j.Spec.Held {
			k.setState(j, Waiting)
			return
		}
		k.ready.push(j) // keeps its virtual deadline
		k.setState(j, Ready)
	}
}
