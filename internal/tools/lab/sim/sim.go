// Package sim is virtual time: things that happen at times, one after the other, in
// an order that the times and the order of setting alone decide.
package sim

import (
	"container/heap"
	"time"
)

// Clock is a run's time. It belongs to one goroutine.
type Clock struct {
	now    time.Duration
	seq    uint64
	events events
	done   uint64
}

// event is something that happens at a time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	old[len(old)-1] = event{}
	*e = old[:len(old)-1]
	return x
}

// New returns a clock that begins at a time.
func New(at time.Duration) *Clock { return &Clock{now: at} }

// Now is the time.
func (c *Clock) Now() time.Duration { return c.now }

// Events is how many things have happened.
func (c *Clock) Events() uint64 { return c.done }

// At has something happen at a time; at once where that has passed.
func (c *Clock) At(at time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, event{max(at, c.now), c.seq, do})
}

// After has something happen after a while.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.now+d, do) }

// Run lets things happen up to a time.
func (c *Clock) Run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= until {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		c.done++
		e.do()
	}
	c.now = max(c.now, until)
}
