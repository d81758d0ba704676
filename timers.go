package yardwharf

import (
	"maps"
	"math"
	"slices"
	"time"
)

// timerKind is what is done when a timer fires.
type timerKind uint8

const (
	timerDeadline     timerKind = iota
	timerDiscovery              // call discovery
	timerHeld                   // try to send held requests
	timerPeers                  // send counts to peers
	timerCopy                   // send a second copy of an unstarted request
	timerZoneProbe              // probe unreachable zones
	timerReportProbe            // probe the next worker for its load report
	timerAbandonedJob           // free the slots of a job that nobody waits for
	timerLateStart              // a request is late if it has not started
)

// needsRequest reports whether a timer has no purpose once its request has ended.
func (k timerKind) needsRequest() bool {
	return k == timerDeadline || k == timerCopy || k == timerLateStart
}

// timer is a task due at a time; the host has one timer set, for the earliest.
type timer struct {
	at   time.Duration
	id   RequestID
	kind timerKind
}

// timers is a binary heap with the earliest timer first.
type timers []timer

// push adds a timer.
func (q *timers) push(t timer) {
	*q = append(*q, t)
	h := *q
	for i := len(h) - 1; i > 0 && h[i].at < h[(i-1)/2].at; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
	}
}

// pop removes and returns the earliest timer.
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

// Timer handles the expiry of the timer that was set last.
func (b *Balancer) Timer(now time.Duration) {
	b.now = now
	if now >= b.armed-time.Millisecond { // a host may fire early by rounding; the timer must not be lost
		b.armed = math.MaxInt64
	}
	defer b.arm()
	for len(b.timers) > 0 && b.timers[0].at <= now {
		t := b.timers.pop()
		switch t.kind {
		case timerDiscovery:
			b.subscribe()
		case timerZoneProbe:
			for _, zone := range slices.Sorted(maps.Keys(b.lastZoneProbe)) { // zones that the settings do not name occur, too
				if b.silentFraction[zone] >= zoneLostThreshold {
					b.probeZoneWorkers(zone)
				}
			}
		case timerHeld:
			b.heldTimerSet = false
			b.releaseHeld()
		case timerPeers:
			b.sendPeerCounts()
		case timerAbandonedJob:
			b.releaseAbandoned(t.id)
		case timerReportProbe:
			b.probeNext()
		case timerCopy:
			if r := b.requests[t.id]; r != nil {
				b.sendCopy(r)
			}
		case timerLateStart:
			b.countFirstStart(b.requests[t.id], true)
		case timerDeadline:
			if r := b.requests[t.id]; r != nil && !r.answered && !r.streaming {
				b.answer(r)
			}
		}
	}
}
