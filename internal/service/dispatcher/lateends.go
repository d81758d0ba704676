package dispatcher

import (
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	lateEndRetention = 2 * time.Minute // longer than heads are in transit or a queue is briefly at another owner
	maxLateEnds      = 10_000
)

// lateEnds remembers the ends of messages whose queue was dropped before stores had recorded
// their ends. Stores accept an end only from the queue's newest owner. This dispatcher may have
// become that owner again, with heads that it read before the message ended.
type lateEnds struct {
	byID  map[string]protocol.End
	order []lateEnd // oldest first
}

// lateEnd records when an end was added.
type lateEnd struct {
	id string
	at time.Duration
}

// add remembers an end.
func (l *lateEnds) add(now time.Duration, end protocol.End) {
	l.prune(now)
	if l.byID == nil {
		l.byID = map[string]protocol.End{}
	}
	if _, known := l.byID[end.ID]; !known {
		l.order = append(l.order, lateEnd{end.ID, now})
	}
	l.byID[end.ID] = end
}

// prune drops the ends that were added at least lateEndRetention ago, and the oldest
// ones when there are too many.
func (l *lateEnds) prune(now time.Duration) {
	for len(l.order) > 0 && (l.order[0].at+lateEndRetention <= now || len(l.order) >= maxLateEnds) {
		delete(l.byID, l.order[0].id)
		l.order = l.order[1:]
	}
}

// applyTo applies a remembered end to the head of a message that stores report as open.
func (l *lateEnds) applyTo(head *protocol.Head) {
	end, known := l.byID[head.ID]
	if !known || head.State.Ended() {
		return
	}
	head.State, head.Stamp = end.State, end.Stamp
	head.CallbackDue = head.CallbackURL != ""
}
