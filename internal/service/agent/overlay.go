package agent

import (
	"time"

	"yardwharf/internal/service/view"
)

const (
	staleAfter = 2 * time.Second // without a confirmation the agent reads the platform itself
	gapUsual   = 500 * time.Millisecond
	gapMost    = 3 * time.Second
	holdBack   = 3 * time.Second // after its start an agent publishes no stale list for so long
)

// reading is a list of senders and when it was known to be current.
type reading struct {
	senders   view.Senders
	madeAt    time.Time // warm-ups count from here
	currentAt time.Time // zero: there is no list
}

// overlay decides which list the dispatcher gets: the one that the control
// members distribute, or one that the agent has read itself. The list that was
// current last wins, whatever their versions. It is pure: time is an argument.
type overlay struct {
	started time.Time
	control reading
	own     reading
	gap     time.Duration // between the last two confirmations of the control's list
}

// takeControl notes the list of the control members.
func (o *overlay) takeControl(next reading) {
	if step := next.currentAt.Sub(o.control.currentAt); step > 0 && !o.control.currentAt.IsZero() {
		o.gap = min(step, gapMost)
	}
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
	fresh := now.Sub(best.currentAt) < o.bound()
	return best, fresh || now.Sub(o.started) >= holdBack
}

// staleAt returns when the list of the control members becomes stale.
func (o *overlay) staleAt() time.Time {
	if o.control.currentAt.IsZero() {
		return o.started.Add(staleAfter)
	}
	return o.control.currentAt.Add(o.bound())
}

// bound is longer where the reader reads seldom because the list is long.
func (o *overlay) bound() time.Duration { return staleAfter + max(0, o.gap-gapUsual) }
