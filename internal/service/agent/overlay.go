package agent

import (
	"time"

	"yardwharf/internal/service/view"
)

const (
	staleDelay       = 1500 * time.Millisecond // after a missed confirmation the agent reads the platform's list itself
	firstListTimeout = 2 * time.Second         // after the start, if no list has arrived, it does so too
	startupHoldback  = 3 * time.Second         // after the start no stale list is published for this long
)

// sendersSnapshot is a list of senders and the time at which it was known to be
// current.
type sendersSnapshot struct {
	senders   view.Senders
	madeAt    time.Time // warm-up times are relative to this
	currentAt time.Time // zero: there is no list
	dueAt     time.Time // when the next confirmation is due
}

// overlay selects the list that the dispatcher gets: the one distributed by the
// control members, or one that the agent has read itself. The list known to be
// current most recently wins, regardless of versions. The overlay does not read
// the clock: callers pass the time.
type overlay struct {
	started time.Time
	control sendersSnapshot
	own     sendersSnapshot
}

// updateControl records a list from the control members unless it is older.
func (o *overlay) updateControl(next sendersSnapshot) {
	if !next.currentAt.Before(o.control.currentAt) {
		o.control = next
	}
}

// updateOwn records a list that the agent has read if it is newer.
func (o *overlay) updateOwn(next sendersSnapshot) {
	if next.currentAt.After(o.own.currentAt) {
		o.own = next
	}
}

// current returns the list to publish. It returns false if there is no list yet,
// or only a stale one during the startup holdback, when the dispatcher may still
// hold a better list from before the agent's restart.
func (o *overlay) current(now time.Time) (sendersSnapshot, bool) {
	best := o.control
	if o.own.currentAt.After(best.currentAt) {
		best = o.own
	}
	if best.currentAt.IsZero() {
		return best, false
	}
	fresh := now.Before(best.dueAt.Add(staleDelay))
	return best, fresh || now.Sub(o.started) >= startupHoldback
}

// staleAt returns when the list of the control members becomes stale.
func (o *overlay) staleAt() time.Time {
	if o.control.currentAt.IsZero() {
		return o.started.Add(firstListTimeout)
	}
	return o.control.dueAt.Add(staleDelay)
}
