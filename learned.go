package yardwharf

import (
	"math"
	"time"
)

// Learned is the learned state that a Balancer hands to the one that takes over from it:
// completion rate, limits, service times, and the capacity of each worker. The successor
// starts from these values and updates them by its own observations.
type Learned struct {
	Rate   float64 // completions per second
	Limit  float64 // on own requests in progress; 0: none yet
	Good   float64 // most requests in progress per worker while few results were bad
	Util   float64 // mean utilization that workers reported
	Usual  float64 // mean worth of a request per second of work
	Copies float64 // copies allowed per request
	Class  []LearnedClass
	Worker map[WorkerID]LearnedWorker
}

// LearnedClass is the learned state of a class; times in seconds.
type LearnedClass struct {
	Service, Mean, Base float64 // mean service time, mean delay, shortest mean delay
	Seen                int     // completions
}

// LearnedWorker is the learned state of a worker: the jobs that it starts at once, and its run
// times as a multiple of the usual ones.
type LearnedWorker struct{ Room, Pace float64 }

// Learned returns the current learned state.
func (b *Balancer) Learned(now time.Duration) Learned {
	l := Learned{Rate: b.rate * math.Exp(-(now-b.rateUpdated).Seconds()/rateTimeConstant.Seconds()), Good: b.goodPerWorker, Util: b.util, Usual: b.meanValue,
		Copies: b.copyRate, Worker: map[WorkerID]LearnedWorker{}}
	if !math.IsInf(b.limit, 1) {
		l.Limit = b.limit
	}
	for _, c := range b.classes {
		l.Class = append(l.Class, LearnedClass{c.service, c.mean, c.base, c.completions})
	}
	for _, w := range b.workers {
		if w.state == Ready {
			l.Worker[w.id] = LearnedWorker{w.slotLimit, b.pace(w)}
		}
	}
	return l
}

// Resume starts from the learned state of another Balancer of the same site. Values that are
// invalid or do not fit are ignored.
func (b *Balancer) Resume(now time.Duration, l Learned) {
	setIfValid := func(v *float64, from float64) {
		if from > 0 && !math.IsInf(from, 0) {
			*v = from
		}
	}
	setIfValid(&b.rate, l.Rate)
	setIfValid(&b.limit, l.Limit)
	setIfValid(&b.goodPerWorker, l.Good)
	setIfValid(&b.meanValue, l.Usual)
	setIfValid(&b.copyRate, min(l.Copies, maxCopyRate))
	setIfValid(&b.util, min(l.Util, 1))
	b.now, b.rateUpdated, b.roundStart = now, now, now
	if len(l.Class) == len(b.classes) {
		for i, c := range l.Class {
			setIfValid(&b.classes[i].service, c.Service)
			setIfValid(&b.classes[i].mean, c.Mean)
			setIfValid(&b.classes[i].base, c.Base)
			b.classes[i].completions = max(0, c.Seen)
		}
	}
	for id, lw := range l.Worker { // independent of the order
		if w := b.byID[id]; w != nil {
			setIfValid(&w.slotLimit, lw.Room)
			if setIfValid(&w.pace, lw.Pace); w.pace != 1 {
				w.paceUpdated = now
			}
		}
	}
}

// SetProcesses sets the number of processes that this dispatcher has, including this one. They
// divide the dispatcher's budget for cold workers among themselves.
func (b *Balancer) SetProcesses(n int) { b.processes = float64(max(1, n)) }
