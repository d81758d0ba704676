package yardwharf

import (
	"math"
	"slices"
	"time"
)

// This file is admission: how much is taken on at once, and what waits.

const (
	copyFew     = 0.05                   // copies a request, at least
	copyMost    = 2                      // and at most
	copyBad     = 0.2                    // with more bad ends than this copies get fewer, with half more
	copyCut     = 0.7                    // by this, each round
	baseSamples = 100                    // completions in a mean that may be the shortest of late
	holdStep    = 10 * time.Millisecond  // how often held requests look for room
	waitAims    = 0.5                    // the limit lets requests wait for this part of the aim
	worthMore   = 1.5                    // what is worth so many times the usual has twice the limit
	limitCut    = 0.9                    // a cut leaves this much where starts are not told
	goodNew     = 0.1                    // weight of a good round in what workers bear well
	limitGrow   = 1.1                    // what a round with few bad ends makes of it
	badMost     = 0.4                    // more bad ends than this: cut
	badFew      = 0.4                    // fewer: grow
	limitLeast  = 2                      // requests a worker that the limit leaves, over all dispatchers
	roundLeast  = 200 * time.Millisecond // a round lasts this long
	roundEnds   = 10                     // and has so many ends
)

// slack is how long a job of a class may wait and still be in time, its own run
// at its usual length taken off. Guards against waits that are dear to avoid, by
// copies or crossings, and harm nothing.
func (b *Balancer) slack(class int) time.Duration {
	c := &b.s.Classes[class]
	return c.Aim + seconds(max(0, c.Stretch-1)*b.classes[class].service)
}

// value is the order of admission.
func (b *Balancer) value(r *request) float64 {
	if r.Ahead { // it has waited elsewhere: worth alone would starve it
		return math.Inf(1)
	}
	return b.worth(r) * r.share
}

// worth is what a request is worth a second of work.
func (b *Balancer) worth(r *request) float64 {
	c := &b.classes[r.Class]
	work := c.base
	if b.s.TellsStart { // a quiet dispatcher knows it long before the base
		work = c.service
	}
	if b.s.WorthByWork || work <= 0 {
		return r.class.Worth
	}
	return r.class.Worth / (work * r.slots())
}

// observe learns from a completion how long jobs of its class take.
func (b *Balancer) observe(r *request, a *attempt) {
	c := &b.classes[r.Class]
	delay := (b.now - a.sent).Seconds()
	c.sum += delay
	if c.n++; c.n >= baseSamples {
		mean := c.sum / float64(c.n)
		if c.base *= baseDrift; c.base == 0 || mean < c.base {
			c.base = mean
		}
		c.sum, c.n = 0, 0
	}
	aim := r.class.Aim.Seconds()
	service, bad := c.base, 0.0
	if a.hasStarted {
		service = (b.now - a.started).Seconds()
		if (a.started - r.came).Seconds() > aim {
			bad = 1
		}
	} else if c.base > 0 { // half bad where the delay is what the aim leaves room for
		bad = min(1, delay/(c.base+aim)/2)
	}
	b.inTime += service + waitAims*aim
	b.delays += (b.now - r.came).Seconds()
	b.ended++
	b.countEnd(a.w)
	b.judge(bad)
}

// judge sets the limit on own requests in work once a round. Where most ends were
// bad (late starts, full queues), it is what the observed rate finishes within
// the mean service time and half an aim; where few were, it grows.
// Guards against full queues in which everything is late under overload.
func (b *Balancer) judge(bad float64) {
	b.ends++
	b.bad += bad
	if b.ends < roundEnds || b.now-b.round < roundLeast ||
		!b.s.TellsStart && b.ended > 0 && b.now-b.round < seconds(b.delays/float64(b.ended)) {
		return
	}
	up := 1.0
	for _, m := range b.splits[0].m {
		if b.now >= m.w.shunned && !b.hung(m.w) {
			up++
		}
	}
	// Where a cancel drops no waiting work, copies make the jam they flee from.
	if share := b.bad / float64(b.ends); share > copyBad {
		b.copyRate = max(copyFew, b.copyRate*copyCut)
	} else if share < copyBad/2 {
		b.copyRate = min(copyMost, b.copyRate*limitGrow)
	}
	if share := b.bad / float64(b.ends); share > badMost && b.delays > b.inTime {
		least := max(1, limitLeast*up/float64(b.s.Balancers))
		if !b.s.TellsStart { // waits are guessed: go down with care
			least = max(least, b.good*up, limitCut*min(b.limit, float64(b.busy+1)))
		}
		b.limit = min(b.limit, max(least, b.rate*b.inTime/float64(b.ended)))
	} else if share < badFew {
		// What a worker bore while all was well it bears when it is slow, too.
		b.good += (float64(b.busy)/up - b.good) * goodNew
		if float64(b.peak) > 0.7*b.limit {
			b.limit = max(b.limit*limitGrow, b.limit+1)
		}
	}
	b.bad, b.ends, b.ended, b.inTime, b.delays, b.round, b.peak = 0, 0, 0, 0, 0, b.now, b.busy
}

// admit says whether a request may be sent now.
func (b *Balancer) admit(r *request) bool {
	limit := b.limit
	if b.alone() || b.s.Window.Enabled {
		return true
	}
	if r.value >= worthMore*b.usualValue { // little of this should be turned away
		limit *= 2
	}
	return float64(b.busy) < limit || r.counted
}

// hold keeps a request until there is room or its patience ends.
func (b *Balancer) hold(r *request) {
	r.held = true
	i, _ := slices.BinarySearchFunc(b.held, r, func(have, r *request) int {
		if have.value >= r.value {
			return -1
		}
		return 1
	})
	b.held = slices.Insert(b.held, i, r)
	b.wakeHeld()
}

func (b *Balancer) wakeHeld() {
	if !b.holding && len(b.held) > 0 {
		b.holding = true
		b.after(holdStep, 0, timerHeld)
	}
}

// release sends what is held while there is room, and answers what has waited
// too long.
func (b *Balancer) release() {
	if len(b.held) == 0 {
		return
	}
	keep := b.held[:0]
	room := true
	for _, r := range b.held {
		r.held = false
		switch {
		case r.answered:
			b.drop(r)
		case b.now >= r.patience:
			b.next(r)
		case room && b.admit(r) && b.tryOn(r):
		default:
			room = room && (b.known() || b.admit(r) && len(r.attempts) > 0)
			r.held = true
			keep = append(keep, r)
		}
	}
	clear(b.held[len(keep):])
	b.held = keep
	b.wakeHeld()
}
