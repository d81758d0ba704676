// Package journal keeps the latest events of a stream in memory, numbered from
// 1, and folds events into views.
package journal

import "github.com/benbjohnson/immutable"

// Journal holds the latest events up to its capacity. It is not safe for
// concurrent use.
type Journal[Event any] struct {
	capacity int
	last     uint64
	events   *immutable.List[Event]
}

// New returns an empty journal.
func New[Event any](capacity int) *Journal[Event] {
	return &Journal[Event]{capacity: max(1, capacity), events: immutable.NewList[Event]()}
}

// Append adds an event and returns its number. It discards the oldest event if the
// journal is full.
func (j *Journal[Event]) Append(event Event) uint64 {
	j.last++
	j.events = j.events.Append(event)
	if j.events.Len() > j.capacity {
		j.events = j.events.Slice(j.events.Len()-j.capacity, j.events.Len())
	}
	return j.last
}

// Last returns the number of the newest event, 0 before the first.
func (j *Journal[Event]) Last() uint64 { return j.last }

// Len returns the number of events held.
func (j *Journal[Event]) Len() int { return j.events.Len() }

// Since returns the events after a number. It reports false if some of them have
// been discarded or the number is greater than Last.
func (j *Journal[Event]) Since(number uint64) ([]Event, bool) {
	first := j.last - uint64(j.events.Len())
	if number < first || number > j.last {
		return nil, false
	}
	events := make([]Event, 0, j.last-number)
	for i := int(number - first); i < j.events.Len(); i++ {
		events = append(events, j.events.Get(i))
	}
	return events, true
}

// Find returns the newest event for which the function reports true.
func (j *Journal[Event]) Find(matches func(Event) bool) (Event, bool) {
	for i := j.events.Len() - 1; i >= 0; i-- {
		if event := j.events.Get(i); matches(event) {
			return event, true
		}
	}
	var none Event
	return none, false
}

// View is a state folded from events.
type View[State, Event any] struct {
	state State
	fold  func(State, Event) State
}

// NewView returns a view that holds the initial state.
func NewView[State, Event any](initial State, fold func(State, Event) State) *View[State, Event] {
	return &View[State, Event]{state: initial, fold: fold}
}

// Apply folds events into the state in order.
func (v *View[State, Event]) Apply(events ...Event) {
	for _, event := range events {
		v.state = v.fold(v.state, event)
	}
}

// State returns the current state.
func (v *View[State, Event]) State() State { return v.state }
