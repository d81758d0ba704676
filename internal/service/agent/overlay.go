package agent

import (
	"time"

	"yardwharf/internal/service/view"
)

const (
	staleAfter = 1500 * time.Millisecond // after a confirmation was due the agent reads the platform itself
	startAfter = 2 * time.Second         // after its start it does so where no list has come
	holdBack   = 3 * time.Second         // after its start an agent publishes no stale list for so long
)

// reading is a list of senders and when it was known to be current.
type reading struct {
	senders   view.Senders
	madeAt    time.Time // warm-ups count from here
	currentAt time.Time // zero: there is no list
	dueAt     time.Time // when the next confirmation is due
}

// overlay decides which list the dispatcher gets: the one that the control
// members distribute, or one that the agent has read itself. The list that was
// current last wins, whatever their versions. It is pure: time is an argument.
type overlay struct {
	started time.Time
	control reading
	own     reading
}

// takeControl notes the list of the control members.
func (o *overlay) takeControl(next reading) {
	if !next.currentAt.Before(o.control.currentAt) {
		o.control = next
	}
}

// takeOwn notes a list that the agent has read.
func (o *overlay) takeOwn(next reading) {
	if next.currentAt.After(o.own.currentAt) {
		o.own = next
	}
}

// current returns the list to publish; false where there is none yet, or only
// a stale one shortly after the start, when the dispatcher may still hold a
// better one from before.
func (o *overlay) current(now time.Time) (reading, bool) {
	best := o.control
	if o.own.currentAt.After(best.currentAt) {
		best = o.own
	}
	if best.currentAt.IsZero() {
		return best, false
	}
	fresh := now.Before(best.dueAt.Add(staleAfter))
	return best, fresh || now.Sub(o.started) >= holdBack
}

// staleAt returns when the list of the control members becomes stale.
func (o *overlay) staleAt() time.Time {
	if o.control.currentAt.IsZero() {
		return o.started.Add(startAfter)
	}
	return o.control.dueAt.Add(staleAfter)
}
