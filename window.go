package yardwharf

import (
	"cmp"
	"time"
)

// This file bounds the load that a dispatcher has out at each worker where every answer
// reports the worker's load (WindowSettings). A window grows while the worker reports
// free slots and shrinks while jobs wait there, so that dispatchers that know nothing of
// each other share a worker's slots. What finds no free slots waits at the dispatcher,
// which can still send it anywhere.

const (
	initialWindowParts = 2.0    // initial window, in even parts of a worker's slots
	minWindow          = 1.0    // an idle worker always gets one job
	windowIncrease     = 0.5    // growth with a report of free slots while the window is full
	windowDecrease     = 0.5    // decrease with a report that too many jobs wait
	windowCutFactor    = 0.5    // factor of a window with a full queue
	maxWaitingFraction = 0.25   // fraction of its slots that may wait at a worker
	maxWindowSlots     = 4096.0 // reports of more slots are ignored

	minReturnDelay = 20 * time.Millisecond // least time between attempts of a request at one worker
)

// initialWindow is a worker's window before anything is known of it.
func (b *Balancer) initialWindow(m *Member) float64 {
	if !b.s.Window.Enabled {
		return b.initialSlotLimit(m.Kind)
	}
	if m.CapacityHint <= 0 {
		return max(minWindow, b.s.Window.First)
	}
	return max(minWindow, min(1, initialWindowParts/float64(b.s.Balancers))*min(m.CapacityHint, maxWindowSlots))
}

// updateWindow adjusts a worker's window after an attempt, by the load reported with its end.
func (b *Balancer) updateWindow(w *worker, o *Outcome) {
	if !b.s.Window.Enabled {
		return
	}
	if o.Status == Full {
		w.slotLimit = max(minWindow, w.slotLimit*windowCutFactor)
	}
	running, hasRunning := b.reportValue(o.Load, FieldInflight)
	waiting, hasWaiting := b.reportValue(o.Load, FieldWaiting)
	slots, hasSlots := b.reportValue(o.Load, FieldSlots)
	if !hasRunning || !hasWaiting || !hasSlots || slots < 1 || slots > maxWindowSlots {
		return
	}
	if w.reportedSlots == 0 && b.s.Balancers == 1 && w.strikes == 0 && o.Status == OK {
		w.slotLimit = slots // there is no other dispatcher
	}
	w.reportedSlots = slots
	switch {
	case waiting > maxWaitingFraction*slots:
		w.slotLimit = max(minWindow, w.slotLimit-windowDecrease)
	case running+waiting < slots && w.usedSlots()+2 > b.window(w): // with this job, the window had no space for one more
		w.slotLimit += windowIncrease
	}
	w.slotLimit = min(w.slotLimit, slots)
}

// window is how many slots this dispatcher's jobs may use at a worker now.
func (b *Balancer) window(w *worker) float64 {
	if most := b.s.Window.Most; most > 0 {
		return max(minWindow, min(w.slotLimit, most))
	}
	return w.slotLimit
}

// windowOpen reports whether a job of so many slots may go to a worker now.
func (b *Balancer) windowOpen(w *worker, slots float64) bool {
	return w.state == Ready && b.now >= w.excludedUntil && !b.hung(w) &&
		(w.usedSlots() == 0 || w.usedSlots()+slots <= b.window(w))
}

// trySendWithinWindows draws a worker by the shares among those whose windows are open, sends and
// reports whether it sent. Workers that have turned this request away come last.
func (b *Balancer) trySendWithinWindows(r *request) bool {
	if m := b.drawWithinWindows(r); m != nil {
		return b.send(r, m)
	}
	best := b.drawWhere(r, func(w *worker) bool { return b.windowOpen(w, r.slots()) && !r.tried(w) })
	if best == nil {
		best = b.drawWhere(r, func(w *worker) bool { return b.windowOpen(w, r.slots()) && r.mayReturnTo(w, b.now) })
	}
	if best == nil && b.allPaused(r.split) {
		best = b.drawWhere(r, b.mayTryPaused)
	}
	return best != nil && b.send(r, best)
}

// drawWithinWindows draws by the shares until it hits a worker of the own zone with an open window. If it
// hits none, it returns the nearest of the others that it has hit: the more often, the smaller the shares
// nearby. Without distances it returns the first one. Guards against traffic between zones that gains nothing.
func (b *Balancer) drawWithinWindows(r *request) (nearest *member) {
	for range maxRedraws {
		m := r.split.draw(b.rng)
		if m == nil {
			return nil
		}
		if !b.windowOpen(m.w, r.slots()) || r.tried(m.w) {
			continue
		}
		if nearest == nil || b.distance(m.w) < b.distance(nearest.w) {
			nearest = m
		}
		if b.distance(nearest.w) == 0 {
			return nearest
		}
	}
	return nearest
}

// distance is the distance to a worker's zone, or 0 if the settings don't name it.
func (b *Balancer) distance(w *worker) int {
	if w.zone < 0 || w.zone >= len(b.s.Window.Distances) {
		return 0
	}
	return b.s.Window.Distances[w.zone]
}

// mayReturnTo reports whether a request may go back to a worker that did not run it.
// Guards against retries in a tight loop where there is only one worker.
func (r *request) mayReturnTo(w *worker, now time.Duration) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.w == w && now-a.sent < minReturnDelay {
			return false
		}
	}
	return true
}

// drawWhere draws by the shares among the workers that meet a condition.
func (b *Balancer) drawWhere(r *request, condition func(*worker) bool) (best *member) {
	total := 0.0
	for _, m := range r.split.members {
		if condition(m.w) {
			if total += m.share; b.rng.Float64()*total < m.share {
				best = m
			}
		}
	}
	return best
}

// allPaused reports whether every worker of a split is excluded after failures.
func (b *Balancer) allPaused(sp *split) bool {
	for _, m := range sp.members {
		if b.now >= m.w.excludedUntil && !b.hung(m.w) {
			return false
		}
	}
	return true
}

// mayTryPaused reports whether a worker that is paused after failures may be sent one job before
// its pause ends. Guards against a service that is back while all dispatchers still wait.
func (b *Balancer) mayTryPaused(w *worker) bool {
	every := cmp.Or(b.s.Window.ProbeEvery, minStrikePause)
	return w.strikes > 0 && w.usedSlots() == 0 && b.now-max(w.lastStrike, w.lastSent) >= every
}

// pauseWithWindow excludes a worker that has failed for a pause that doubles, and resets its
// window to the minimum. Guards a cold worker that comes back against all requests that wait.
func (b *Balancer) pauseWithWindow(w *worker) {
	most := cmp.Or(b.s.Window.StrikeMost, maxStrikePause)
	pause := cmp.Or(b.s.Window.StrikePause, minStrikePause) << min(w.strikes-1, 10)
	w.slotLimit = minWindow
	w.excludedUntil = max(w.excludedUntil, b.now+b.jitter(min(pause, most)))
}

// fullPause is how long a worker with a full queue is excluded.
func (b *Balancer) fullPause(w *worker) time.Duration {
	pause := minFullPause << min(w.fullsInRow, maxFullDoublings)
	if b.s.Window.Enabled {
		return min(pause, cmp.Or(b.s.Window.StrikePause, minStrikePause))
	}
	return pause
}

// SetFleet sets how many dispatchers share the workers now, and the most slots that this
// one's jobs may use at a worker; 0 is no bound.
func (b *Balancer) SetFleet(balancers int, windowMost float64) {
	b.s.Balancers = max(1, balancers)
	b.s.Window.Most = windowMost
}
