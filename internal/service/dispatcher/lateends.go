package dispatcher

import (
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	lateEndsKept = 2 * time.Minute // longer than heads are on their way, or a queue is at another owner for a moment
	lateEndsMost = 10_000
)

// lateEnds remembers how deliveries ended whose queue was let go before. The stores take
// no end from an owner before the newest, and this dispatcher may be that one, with heads
// that it read before the message ended.
type lateEnds struct {
	byID  map[string]protocol.End
	order []lateEnd // the oldest first
}

// lateEnd is the moment at which an end was noted.
type lateEnd struct {
	id string
	at time.Duration
}

// note remembers an end.
func (l *lateEnds) note(now time.Duration, end protocol.End) {
	l.forget(now)
	if l.byID == nil {
		l.byID = map[string]protocol.End{}
	}
	if _, known := l.byID[end.ID]; !known {
		l.order = append(l.order, lateEnd{end.ID, now})
	}
	l.byID[end.ID] = end
}

// forget drops the ends that were noted long ago, and the oldest of too many.
func (l *lateEnds) forget(now time.Duration) {
	for len(l.order) > 0 && (l.order[0].at+lateEndsKept <= now || len(l.order) >= lateEndsMost) {
		delete(l.byID, l.order[0].id)
		l.order = l.order[1:]
	}
}

// complete adds the end that is remembered to the head of a message that stores tell as
// open.
func (l *lateEnds) complete(head *protocol.Head) {
	end, known := l.byID[head.ID]
	if !known || head.State.Ended() {
		return
	}
	head.State, head.Stamp = end.State, end.Stamp
	head.CallbackDue = head.CallbackURL != ""
}
