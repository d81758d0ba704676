package yardwharf

import (
	"math"
	"time"
)

// Learned is what a Balancer has learned that one which takes over its work can use:
// how fast work is done, how much of it fits, how long it takes, and of each worker
// what it bears. All of it is a start only, and moves on by what is seen.
type Learned struct {
	Rate   float64 // completions a second
	Limit  float64 // of own attempts; 0 where there is none yet
	Good   float64
	Util   float64
	Usual  float64 // worth a second of work
	Copies float64
	Class  []LearnedClass
	Worker map[WorkerID]LearnedWorker
}

// LearnedClass is what was learned of a class, in seconds.
type LearnedClass struct {
	Service, Mean, Base float64
	Seen                int
}

// LearnedWorker is what was learned of a worker.
type LearnedWorker struct{ Room, Pace float64 }

// Learned returns what was learned up to now.
func (b *Balancer) Learned(now time.Duration) Learned {
	l := Learned{Rate: b.rate * math.Exp(-(now-b.counted).Seconds()/rateSpan.Seconds()), Good: b.good, Util: b.util, Usual: b.usualValue,
		Copies: b.copyRate, Worker: map[WorkerID]LearnedWorker{}}
	if !math.IsInf(b.limit, 1) {
		l.Limit = b.limit
	}
	for _, c := range b.classes {
		l.Class = append(l.Class, LearnedClass{c.service, c.mean, c.base, c.seen})
	}
	for _, w := range b.workers {
		if w.state == Ready {
			l.Worker[w.id] = LearnedWorker{w.room, b.pace(w)}
		}
	}
	return l
}

// Resume begins with what another Balancer of the same site has learned. What makes
// no sense here is left out.
func (b *Balancer) Resume(now time.Duration, l Learned) {
	sane := func(v *float64, from float64) {
		if from > 0 && !math.IsInf(from, 0) {
			*v = from
		}
	}
	sane(&b.rate, l.Rate)
	sane(&b.limit, l.Limit)
	sane(&b.good, l.Good)
	sane(&b.usualValue, l.Usual)
	sane(&b.copyRate, min(l.Copies, copyMost))
	sane(&b.util, min(l.Util, 1))
	b.now, b.counted, b.round = now, now, now
	if len(l.Class) == len(b.classes) {
		for i, c := range l.Class {
			sane(&b.classes[i].service, c.Service)
			sane(&b.classes[i].mean, c.Mean)
			sane(&b.classes[i].base, c.Base)
			b.classes[i].seen = max(0, c.Seen)
		}
	}
	for id, lw := range l.Worker { // each on its own, so in any order
		if w := b.byID[id]; w != nil {
			sane(&w.room, lw.Room)
			if sane(&w.pace, lw.Pace); w.pace != 1 {
				w.paced = now
			}
		}
	}
}

// SetParts says how many processes this dispatcher has now, this one counted: what
// all dispatchers together may send to a cold worker is shared out to each.
func (b *Balancer) SetParts(n int) { b.parts = float64(max(1, n)) }
