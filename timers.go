package yardwharf

import (
	"maps"
	"math"
	"slices"
	"time"
)

type timerKind uint8

const (
	timerDeadline timerKind = iota
	timerAsk
	timerHeld
	timerTell
	timerCopy
	timerLook
	timerReport
	timerGhost
	timerLate
)

// ofRequest says whether a timer is of no use without its request.
func (k timerKind) ofRequest() bool {
	return k == timerDeadline || k == timerCopy || k == timerLate
}

// timer is something to do at a time; the host holds one timer for the earliest.
type timer struct {
	at   time.Duration
	id   RequestID
	kind timerKind
}

// timers is a heap, the earliest first.
type timers []timer

// push puts a timer in.
func (q *timers) push(t timer) {
	*q = append(*q, t)
	h := *q
	for i := len(h) - 1; i > 0 && h[i].at < h[(i-1)/2].at; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

// pop takes the earliest timer out.
func (q *timers) pop() timer {
	h := *q
	top, n := h[0], len(h)-1
	h[0] = h[n]
	*q = h[:n]
	for i := 0; ; {
		c := 2*i + 1
		if c+1 < n && h[c+1].at < h[c].at {
			c++
		}
		if c >= n || h[i].at <= h[c].at {
			return top
		}
		h[i], h[c] = h[c], h[i]
		i = c
	}
}

// Timer takes the end of a timer.
func (b *Balancer) Timer(now time.Duration) {
	b.now = now
	if now >= b.armed-time.Millisecond { // early by rounding is no reason to lose the timer
		b.armed = math.MaxInt64
	}
	defer b.arm()
	for len(b.timers) > 0 && b.timers[0].at <= now {
		t := b.timers.pop()
		switch t.kind {
		case timerAsk:
			b.ask()
		case timerLook:
			for _, zone := range slices.Sorted(maps.Keys(b.looked)) { // the settings may not name all
				if b.lost[zone] >= zoneLost {
					b.lookAround(zone)
				}
			}
		case timerHeld:
			b.holding = false
			b.release()
		case timerTell:
			b.tell()
		case timerGhost:
			b.letGo(t.id)
		case timerReport:
			b.askNext()
		case timerCopy:
			if r := b.requests[t.id]; r != nil {
				b.copy(r)
			}
		case timerLate:
			b.sawFirst(b.requests[t.id], true)
		case timerDeadline:
			if r := b.requests[t.id]; r != nil && !r.answered && !r.stream {
				b.answer(r)
			}
		}
	}
}
