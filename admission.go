package yardwharf

import (
	"math"
	"slices"
	"time"
)

// This file is admission: how many requests are in work at once, and which ones wait.

const (
	minCopyRate        = 0.05                   // least copies per request
	maxCopyRate        = 2                      // most copies per request
	copyCutThreshold   = 0.2                    // bad fraction that cuts the rate; below half, it grows
	copyCutFactor      = 0.7                    // the factor of such a cut, per round
	baseSamples        = 100                    // completions in a mean that may become the baseline
	heldRetryInterval  = 10 * time.Millisecond  // interval at which held requests are tried again
	targetWaitFraction = 0.5                    // fraction of the aim that the limit lets requests wait
	highValueFactor    = 1.5                    // from this many mean values on the limit is doubled
	limitCutFactor     = 0.9                    // least factor of a cut where starts are not reported
	goodAlpha          = 0.1                    // EWMA weight of one round in what workers handle well
	limitGrowFactor    = 1.1                    // growth of the limit and the copy rate in a good round
	limitCutThreshold  = 0.4                    // the limit is cut above this fraction of bad ends
	limitGrowThreshold = 0.4                    // and grows below this one
	minLimitPerWorker  = 2                      // least limit per worker, over all dispatchers
	minRoundDuration   = 200 * time.Millisecond // least length of a round
	minRoundEnds       = 10                     // least number of ends in a round
)

// slack is how long a job of a class may wait and still be in time if it runs as long as usual.
// Guards against copies and cross-zone sends that cost something and avoid waits that are
// harmless.
func (b *Balancer) slack(class int) time.Duration {
	c := &b.s.Classes[class]
	return c.Aim + seconds(max(0, c.Stretch-1)*b.classes[class].service)
}

// value is a request's priority in admission.
func (b *Balancer) value(r *request) float64 {
	if r.FrontOfQueue { // it has waited elsewhere: by worth alone it would starve
		return math.Inf(1)
	}
	return b.worth(r) * r.tenantFactor
}

// worth is the worth of a request per second of work.
func (b *Balancer) worth(r *request) float64 {
	c := &b.classes[r.Class]
	work := c.base
	if b.s.TellsStart { // with few requests it is known long before the baseline
		work = c.service
	}
	if b.s.WorthByWork || work <= 0 {
		return r.class.Worth
	}
	return r.class.Worth / (work * r.slots())
}

// recordCompletion learns from a completion how long jobs of its class take.
func (b *Balancer) recordCompletion(r *request, a *attempt) {
	c := &b.classes[r.Class]
	delay := (b.now - a.sent).Seconds()
	c.baseSum += delay
	if c.baseCount++; c.baseCount >= baseSamples {
		mean := c.baseSum / float64(c.baseCount)
		if c.base *= baseDrift; c.base == 0 || mean < c.base {
			c.base = mean
		}
		c.baseSum, c.baseCount = 0, 0
	}
	aim := r.class.Aim.Seconds()
	service, bad := c.base, 0.0
	if a.hasStarted {
		service = (b.now - a.started).Seconds()
		if (a.started - r.arrived).Seconds() > aim {
			bad = 1
		}
	} else if c.base > 0 { // half bad if the delay is just what the aim allows
		bad = min(1, delay/(c.base+aim)/2)
	}
	b.targetSum += service + targetWaitFraction*aim
	b.delaySum += (b.now - r.arrived).Seconds()
	b.completed++
	b.countCompletion(a.w)
	b.adjustLimit(bad)
}

// adjustLimit sets the limit on own requests in work once per round. If most ends were bad (late
// starts, full queues), the limit is what the observed rate completes within the mean service
// time and half an aim; if few were, it grows. Guards against overload with full queues, in
// which everything is late.
func (b *Balancer) adjustLimit(bad float64) {
	b.ends++
	b.badSum += bad
	if b.ends < minRoundEnds || b.now-b.roundStart < minRoundDuration ||
		!b.s.TellsStart && b.completed > 0 && b.now-b.roundStart < seconds(b.delaySum/float64(b.completed)) {
		return
	}
	available := 1.0
	for _, m := range b.splits[0].members {
		if b.now >= m.w.excludedUntil && !b.hung(m.w) {
			available++
		}
	}
	// Where a cancel does not remove waiting work, copies add to the congestion they avoid.
	if share := b.badSum / float64(b.ends); share > copyCutThreshold {
		b.copyRate = max(minCopyRate, b.copyRate*copyCutFactor)
	} else if share < copyCutThreshold/2 {
		b.copyRate = min(maxCopyRate, b.copyRate*limitGrowFactor)
	}
	if share := b.badSum / float64(b.ends); share > limitCutThreshold && b.delaySum > b.targetSum {
		least := max(1, minLimitPerWorker*available/float64(b.s.Balancers))
		if !b.s.TellsStart { // waits are estimated: cut with care
			least = max(least, b.goodPerWorker*available, limitCutFactor*min(b.limit, float64(b.active+1)))
		}
		b.limit = min(b.limit, max(least, b.rate*b.targetSum/float64(b.completed)))
	} else if share < limitGrowThreshold {
		// What a worker handled while few ends were bad it can handle when it is slow, too.
		b.goodPerWorker += (float64(b.active)/available - b.goodPerWorker) * goodAlpha
		if float64(b.peakActive) > 0.7*b.limit {
			b.limit = max(b.limit*limitGrowFactor, b.limit+1)
		}
	}
	b.badSum, b.ends, b.completed, b.targetSum, b.delaySum, b.roundStart, b.peakActive =
		0, 0, 0, 0, 0, b.now, b.active
}

// admit reports whether a request may be sent now.
func (b *Balancer) admit(r *request) bool {
	limit := b.limit
	if b.knowsAllLoad() || b.s.Window.Enabled {
		return true
	}
	if r.value >= highValueFactor*b.meanValue { // few of these should be turned away
		limit *= 2
	}
	return float64(b.active) < limit || r.isActive
}

// hold keeps a request until there are free slots or it may be held no longer.
func (b *Balancer) hold(r *request) {
	r.held = true
	i, _ := slices.BinarySearchFunc(b.held, r, func(have, r *request) int {
		if have.value >= r.value {
			return -1
		}
		return 1
	})
	b.held = slices.Insert(b.held, i, r)
	b.armHeldTimer()
}

func (b *Balancer) armHeldTimer() {
	if !b.heldTimerSet && len(b.held) > 0 {
		b.heldTimerSet = true
		b.startTimer(heldRetryInterval, 0, timerHeld)
	}
}

// releaseHeld sends held requests while there are free slots, and answers those that have been
// held too long.
func (b *Balancer) releaseHeld() {
	if len(b.held) == 0 {
		return
	}
	keep := b.held[:0]
	canSend := true
	for _, r := range b.held {
		r.held = false
		switch {
		case r.answered:
			b.drop(r)
		case b.now >= r.holdUntil:
			b.proceed(r)
		case canSend && b.admit(r) && b.trySend(r):
		default:
			canSend = canSend && (b.slotsKnown() || b.admit(r) && len(r.attempts) > 0)
			r.held = true
			keep = append(keep, r)
		}
	}
	clear(b.held[len(keep):])
	b.held = keep
	b.armHeldTimer()
}
