package yardwharf

import (
	"math"
	"time"
)

// This file is for a dispatcher of a large fleet, which gets few requests: it sends to each
// worker too rarely to know it, and a round of ends takes it seconds. What it can learn is how
// often its jobs start at once at home and elsewhere, as each send shows that, and how often a
// request starts while it can still be in time. Three things follow from that: requests leave a
// congested home while other zones are not congested; if all are, some requests are turned away;
// and the rate that the home completes for its warmth shows what its cold workers can take.

const (
	rateTimeConstant     = 2 * time.Second        // time constant of the completion rates
	atOnceSlackFraction  = 0.1                    // fraction of the slack: a job that waits no longer counts as started at once
	warmthMaxAge         = 100 * time.Millisecond // age up to which the sums of warmth are used
	startAlpha           = 0.15                   // EWMA weight of one start in how often starts are late
	startDecaySeconds    = 10.0                   // time constant, in seconds, with which that decays where nothing is sent
	leaveHomeGain        = 2.0                    // fraction of requests that leave home, per excess of its late starts
	shedThreshold        = 0.25                   // fraction of late starts, at home and elsewhere, above which requests are turned away
	shedGain             = 1.6                    // fraction turned away, per excess over that threshold
	fullShedLateFraction = 0.2                    // fraction of requests that start too late at which shedding has its full strength
	maxShedProbability   = 0.85                   // never all: those that are accepted show when the congestion is over
	shedValueExponent    = 0.4                    // power of a request's value, relative to the mean, in shedding
)

// decayingFraction is how often something has recently been true; it decays to 0.
type decayingFraction struct {
	value float64
	at    time.Duration
}

func (p *decayingFraction) valueAt(now time.Duration) float64 {
	return p.value * math.Exp(-(now-p.at).Seconds()/startDecaySeconds)
}

func (p *decayingFraction) add(now time.Duration, hit bool) {
	p.value, p.at = (1-startAlpha)*p.valueAt(now), now
	if hit {
		p.value += startAlpha
	}
}

// sideStats is what is known of the workers of the own zone, or of all others.
type sideStats struct {
	lateStarts  decayingFraction // starts that were not at once
	warmth      float64          // sum over its ready workers
	rate        float64          // own completions per second, as of the last one
	rateUpdated time.Duration
}

// side is the side that a worker belongs to.
func (b *Balancer) side(w *worker) *sideStats {
	if w.zone == b.s.Zone {
		return &b.sides[0]
	}
	return &b.sides[1]
}

// countCompletion counts an own completion at a worker.
func (b *Balancer) countCompletion(w *worker) {
	add := func(rate *float64, updated *time.Duration) {
		*rate = *rate*math.Exp(-(b.now-*updated).Seconds()/rateTimeConstant.Seconds()) + 1/rateTimeConstant.Seconds()
		*updated = b.now
	}
	add(&b.rate, &b.rateUpdated)
	add(&b.side(w).rate, &b.side(w).rateUpdated)
}

// lowTraffic reports whether this dispatcher gets too few ends to learn a limit in time and does
// not know where slots are free, so that it relies on starts.
func (b *Balancer) lowTraffic() bool {
	return b.learnsFromStarts() && b.rate*rateTimeConstant.Seconds() < minRoundEnds
}

// learnsFromStarts reports whether only starts show where slots are free.
func (b *Balancer) learnsFromStarts() bool { return b.s.TellsStart && !b.slotsKnown() }

// recordStart handles the start of an attempt.
func (b *Balancer) recordStart(r *request, a *attempt) {
	atOnce := b.now-a.sent <= max(minCopyDelay, time.Duration(atOnceSlackFraction*float64(b.slack(r.Class))))
	a.w.adjustSlotLimit(atOnce)
	b.countStart(a, !atOnce)
	b.countFirstStart(r, b.now-r.arrived > b.slack(r.Class))
}

// countStart counts whether an attempt has started at once, as soon as that is known.
func (b *Balancer) countStart(a *attempt, late bool) {
	if !a.startCounted && b.learnsFromStarts() {
		a.startCounted = true
		b.side(a.w).lateStarts.add(b.now, late)
	}
}

// countUnstarted counts the attempts of a request that have not started at once.
func (b *Balancer) countUnstarted(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done && !a.hasStarted && b.now >= a.sent+minCopyDelay {
			b.countStart(a, true)
		}
	}
}

// countFirstStart counts whether the first start of a request came while it could be in time.
func (b *Balancer) countFirstStart(r *request, tooLate bool) {
	if r != nil && !r.startCounted && !r.answered && b.learnsFromStarts() {
		r.startCounted = true
		b.lateRequests.add(b.now, tooLate)
	}
}

// leavesHome reports whether a request leaves home right away, because jobs there start late more
// often than elsewhere by more than a crossing costs. Guards against a home in which hundreds of
// jobs wait beside idle zones: to a dispatcher with few requests each single worker looks free.
func (b *Balancer) leavesHome(r *request) bool {
	if !b.lowTraffic() || r.class.Worth <= 0 {
		return false
	}
	gain := b.sides[0].lateStarts.valueAt(b.now) - b.sides[1].lateStarts.valueAt(b.now) -
		b.s.CrossZonePrice*b.meanWorth/(r.class.Worth*max(r.tenantFactor, 0.01))
	return gain > 0 && b.rng.Float64() < leaveHomeGain*gain
}

// coldBudget is this dispatcher's part of what a worker of some warmth can take, in requests per
// second.
func (b *Balancer) coldBudget(w *worker, warmth float64) float64 {
	return coldBudgetFraction * b.s.OverloadFactor * warmth * b.ratePerWarmth(w) / b.util
}

// fitsColdBudget reports whether a worker can take a request at all. A cold worker is overloaded by a single
// request whose work, by its class and slots, is more than all dispatchers may send it within OverloadFor.
func (b *Balancer) fitsColdBudget(r *request, w *worker) bool {
	warmth := b.warmth(w)
	if r.slots() <= 1 || warmth >= 1 || b.meanWork <= 0 {
		return true
	}
	most := b.coldBudget(w, warmth) * b.s.OverloadFor.Seconds() * float64(b.s.Balancers)
	return b.classes[r.Class].service*r.slots() <= max(1, most)*b.meanWork
}

// updateMeanWork updates the mean work of a request, from the first one whose class is known.
func (b *Balancer) updateMeanWork(r *request) {
	if work := b.classes[r.Class].service * r.slots(); b.meanWork == 0 {
		b.meanWork = work
	} else if work > 0 {
		b.meanWork += (work - b.meanWork) * valueAlpha
	}
}

// shouldShed reports whether a request is turned away at once, because jobs start late everywhere
// and requests too late to be in time: the more likely, the lower its value. Guards against queues
// of seconds in which everything that is accepted is late.
func (b *Balancer) shouldShed(r *request) bool {
	if c := &b.classes[r.Class]; c.service > 0 {
		b.usualWork += (c.service*r.slots() - b.usualWork) * valueAlpha
	}
	b.updateMeanWork(r)
	if !b.lowTraffic() || b.usualWork <= 0 || r.value <= 0 {
		return false
	}
	congestion := min(b.sides[0].lateStarts.valueAt(b.now), b.sides[1].lateStarts.valueAt(b.now)) - shedThreshold
	congestion *= shedGain * min(1, b.lateRequests.valueAt(b.now)/fullShedLateFraction)
	return congestion > 0 && b.rng.Float64() <
		min(maxShedProbability, congestion*math.Pow(b.meanWorth/b.usualWork/r.value, shedValueExponent))
}

// ratePerWarmth is this dispatcher's completion rate per unit of warmth: of all workers if free slots
// are known, else of the worker's side and, at home, not less than of all. Guards against dividing the
// budget of cold workers among all dispatchers where only those of one zone send to them.
func (b *Balancer) ratePerWarmth(w *worker) float64 {
	if b.now-b.warmthSummed >= warmthMaxAge || b.warmthSummed == 0 {
		b.warmthSummed, b.sides[0].warmth, b.sides[1].warmth = b.now, 0, 0
		for _, m := range b.splits[0].members {
			b.side(m.w).warmth += b.warmth(m.w)
		}
	}
	s, all := b.side(w), b.rate/max(1, b.sides[0].warmth+b.sides[1].warmth)
	own := s.rate / max(1, s.warmth)
	switch {
	case b.slotsKnown():
		return all
	case s == &b.sides[0]:
		return max(own, all)
	}
	return own
}
