package hollow

import (
	"container/heap"
	"time"
)

// event is something that happens at a moment of virtual time.
type event struct {
	at    time.Time
	order uint64 // of events of the same moment
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(next any) {
	*h = append(*h, next.(event))
}

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	next := (*h)[last]
	(*h)[last] = event{}
	*h = (*h)[:last]
	return next
}

// schedule runs events in the order of virtual time.
type schedule struct {
	now    time.Time
	events eventHeap
	order  uint64
}

// at has a function run at a moment.
func (s *schedule) at(moment time.Time, run func()) {
	s.order++
	heap.Push(&s.events, event{moment, s.order, run})
}

// after has a function run when a time has passed.
func (s *schedule) after(wait time.Duration, run func()) { s.at(s.now.Add(wait), run) }

// runUntil runs all events before a moment.
func (s *schedule) runUntil(end time.Time) {
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}
