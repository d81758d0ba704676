package yardwharf

import (
	"math"
	"time"
)

// This file is for a dispatcher of a large fleet, which sees few messages: one host it
// meets too seldom to know it, and a round of ends takes it seconds. What it can know is
// how often its jobs start at once at home and elsewhere, as each send tells of that, and
// how often a message starts while it can still be in time. Three things follow: messages
// leave a home that is jammed while others are not; where all are, some are turned away;
// and what the home carries for its warmth says what its cold hosts bear.

const (
	rateSpan  = 2 * time.Second        // memory of the rate of completions
	waitFew   = 0.1                    // of the slack: a job that waits no longer counts as started at once
	warmEvery = 100 * time.Millisecond // how old the sum of all warmth may be
	startNew  = 0.15                   // weight of one start in how often they are late
	startSpan = 10.0                   // seconds in which that fades where nothing is sent
	awayKeen  = 2.0                    // part of the draws that leaves home, by how much more often it is late
	jamFrom   = 0.25                   // part of late starts at home as elsewhere from which messages are turned away
	jamKeen   = 1.6                    // how many, by how much it is over that
	jamSure   = 0.2                    // part of messages that start too late from which all of that counts
	jamMost   = 0.85                   // never more: those that are taken tell when the jam is over
	jamValue  = 0.4                    // power of a message's worth a second of work, against the usual one
)

// part is how often something was so of late; it fades to never.
type part struct {
	of float64
	at time.Duration
}

func (p *part) now(now time.Duration) float64 {
	return p.of * math.Exp(-(now-p.at).Seconds()/startSpan)
}

func (p *part) saw(now time.Duration, so bool) {
	p.of, p.at = (1-startNew)*p.now(now), now
	if so {
		p.of += startNew
	}
}

// side is what a dispatcher has at home, or elsewhere.
type side struct {
	late    part    // starts that were not at once
	warm    float64 // warmth of its ready workers, added up
	rate    float64 // own completions a second, as of counted
	counted time.Duration
}

// side is the one that a worker is on.
func (b *Balancer) side(w *worker) *side {
	if w.zone == b.s.Zone {
		return &b.sides[0]
	}
	return &b.sides[1]
}

// countEnd books an own completion at a worker.
func (b *Balancer) countEnd(w *worker) {
	add := func(rate *float64, counted *time.Duration) {
		*rate = *rate*math.Exp(-(b.now-*counted).Seconds()/rateSpan.Seconds()) + 1/rateSpan.Seconds()
		*counted = b.now
	}
	add(&b.rate, &b.counted)
	add(&b.side(w).rate, &b.side(w).counted)
}

// quiet says whether this dispatcher has too few ends to learn a limit in time, and no word
// of where room is, so that it goes by starts.
func (b *Balancer) quiet() bool {
	return b.guesses() && b.rate*rateSpan.Seconds() < roundEnds
}

// guesses says whether starts are all that tells of room.
func (b *Balancer) guesses() bool { return b.s.TellsStart && !b.known() }

// begun books a start.
func (b *Balancer) begun(r *request, a *attempt) {
	atOnce := b.now-a.sent <= max(copyLeast, time.Duration(waitFew*float64(b.slack(r.Class))))
	a.w.learnRoom(atOnce)
	b.sawStart(a, !atOnce)
	b.sawFirst(r, b.now-r.came > b.slack(r.Class))
}

// sawStart books whether an attempt has started at once, as soon as that is known.
func (b *Balancer) sawStart(a *attempt, late bool) {
	if !a.judged && b.guesses() {
		a.judged = true
		b.side(a.w).late.saw(b.now, late)
	}
}

// sawWaiting books the attempts of a request that have not started at once.
func (b *Balancer) sawWaiting(r *request) {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done && !a.hasStarted && b.now >= a.sent+copyLeast {
			b.sawStart(a, true)
		}
	}
}

// sawFirst books whether the first start of a request came while it could be in time.
func (b *Balancer) sawFirst(r *request, late bool) {
	if r != nil && !r.judged && !r.answered && b.guesses() {
		r.judged = true
		b.tooLate.saw(b.now, late)
	}
}

// goesAway says whether a request leaves home at once, as jobs there start late more often
// than elsewhere, by more than a crossing costs. Guards against a home in which hundreds
// wait beside zones that are idle: to a quiet dispatcher each single host has room.
func (b *Balancer) goesAway(r *request) bool {
	if !b.quiet() || r.class.Worth <= 0 {
		return false
	}
	gain := b.sides[0].late.now(b.now) - b.sides[1].late.now(b.now) -
		b.s.CrossZonePrice*b.meanWorth/(r.class.Worth*max(r.share, 0.01))
	return gain > 0 && b.rng.Float64() < awayKeen*gain
}

// coldPart is the part of what a worker of some warmth bears, in requests a second, that this
// dispatcher sends it.
func (b *Balancer) coldPart(w *worker, warmth float64) float64 {
	return coldPart * b.s.OverloadFactor * warmth * b.carried(w) / b.util
}

// bears says whether a worker bears a request by itself: one that is cold falls under a single one
// whose work, by its class and slots, is more than all dispatchers may send it in an overload's time.
func (b *Balancer) bears(r *request, w *worker) bool {
	warmth := b.warmth(w)
	if r.slots() <= 1 || warmth >= 1 || b.work <= 0 {
		return true
	}
	most := b.coldPart(w, warmth) * b.s.OverloadFor.Seconds() * float64(b.s.Balancers)
	return b.classes[r.Class].service*r.slots() <= max(1, most)*b.work
}

// learnWork follows what work a request is on the mean, from the first whose class is known.
func (b *Balancer) learnWork(r *request) {
	if work := b.classes[r.Class].service * r.slots(); b.work == 0 {
		b.work = work
	} else if work > 0 {
		b.work += (work - b.work) * valueNew
	}
}

// sheds says whether a request is turned away at once, as jobs start late everywhere and
// messages too late; the more so the less it is worth for its work.
// Guards against queues of seconds in which all that is taken is late.
func (b *Balancer) sheds(r *request) bool {
	if c := &b.classes[r.Class]; c.service > 0 {
		b.usualWork += (c.service*r.slots() - b.usualWork) * valueNew
	}
	b.learnWork(r)
	if !b.quiet() || b.usualWork <= 0 || r.value <= 0 {
		return false
	}
	jam := min(b.sides[0].late.now(b.now), b.sides[1].late.now(b.now)) - jamFrom
	jam *= jamKeen * min(1, b.tooLate.now(b.now)/jamSure)
	return jam > 0 && b.rng.Float64() < min(jamMost, jam*math.Pow(b.meanWorth/b.usualWork/r.value, jamValue))
}

// carried is what this dispatcher's part of a worker's work is, for each part of warmth: of
// what is done at its home, or elsewhere, as far as that is more than its part of all.
// Guards against a budget of cold workers that is split among all dispatchers where those
// of one zone alone turn to them.
func (b *Balancer) carried(w *worker) float64 {
	if b.now-b.warmed >= warmEvery || b.warmed == 0 {
		b.warmed, b.sides[0].warm, b.sides[1].warm = b.now, 0, 0
		for _, m := range b.splits[0].m {
			b.side(m.w).warm += b.warmth(m.w)
		}
	}
	s, all := b.side(w), b.rate/max(1, b.sides[0].warm+b.sides[1].warm)
	own := s.rate / max(1, s.warm)
	switch {
	case b.known():
		return all
	case s == &b.sides[0]:
		return max(own, all)
	}
	return own
}
