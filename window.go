package yardwharf

import (
	"cmp"
	"time"
)

// This file bounds how much a dispatcher has out at each worker where every answer
// tells the worker's load (WindowSettings). A window grows while the worker reports
// free slots and shrinks while work waits there, so that dispatchers that know
// nothing of each other share a worker's slots, and what finds no room waits at the
// dispatcher, which may still send it anywhere.

const (
	windowFirst     = 2.0    // a first window, in even parts of a worker's slots
	windowLeast     = 1.0    // an idle worker always gets one job
	windowUp        = 0.5    // growth with a report of free slots while the window is full
	windowDown      = 0.5    // decrease with a report that too much waits
	windowCut       = 0.5    // what a full queue leaves of a window
	windowWaits     = 0.25   // of its slots may wait at a worker
	windowSlotsMost = 4096.0 // a worker is not believed to have more

	returnAfter = 20 * time.Millisecond // between attempts of a request at one worker
)

// firstWindow is the room that a worker is given before anything is known of it.
func (b *Balancer) firstWindow(m *Member) float64 {
	if !b.s.Window.Enabled {
		return b.firstRoom(m.Kind)
	}
	if m.CapacityHint <= 0 {
		return max(windowLeast, b.s.Window.First)
	}
	return max(windowLeast, min(1, windowFirst/float64(b.s.Balancers))*min(m.CapacityHint, windowSlotsMost))
}

// learnWindow moves a worker's window by the end of an attempt and the load that came with it.
func (b *Balancer) learnWindow(w *worker, o *Outcome) {
	if !b.s.Window.Enabled {
		return
	}
	if o.Status == Full {
		w.room = max(windowLeast, w.room*windowCut)
	}
	running, toldRunning := b.told(o.Load, FieldInflight)
	waiting, toldWaiting := b.told(o.Load, FieldWaiting)
	slots, toldSlots := b.told(o.Load, FieldSlots)
	if !toldRunning || !toldWaiting || !toldSlots || slots < 1 || slots > windowSlotsMost {
		return
	}
	if w.slots == 0 && b.s.Balancers == 1 && w.strikes == 0 && o.Status == OK {
		w.room = slots // all of it is this dispatcher's
	}
	w.slots = slots
	switch {
	case waiting > windowWaits*slots:
		w.room = max(windowLeast, w.room-windowDown)
	case running+waiting < slots && w.used()+2 > b.window(w): // with this job, one more had no room
		w.room += windowUp
	}
	w.room = min(w.room, slots)
}

// window is how many jobs this dispatcher may have out at a worker now.
func (b *Balancer) window(w *worker) float64 {
	if most := b.s.Window.Most; most > 0 {
		return max(windowLeast, min(w.room, most))
	}
	return w.room
}

// open says whether a job may go to a worker now.
func (b *Balancer) open(w *worker, slots float64) bool {
	return w.state == Ready && b.now >= w.shunned && !b.hung(w) &&
		(w.used() == 0 || w.used()+slots <= b.window(w))
}

// tryWithinWindows draws a worker by the shares among those whose windows have room, and sends.
// Workers that have turned this request away come last. It says whether it sent.
func (b *Balancer) tryWithinWindows(r *request) bool {
	if m := b.drawWithinWindows(r); m != nil {
		return b.send(r, m)
	}
	best := b.drawOpen(r, func(w *worker) bool { return b.open(w, r.slots()) && !r.tried(w) })
	if best == nil {
		best = b.drawOpen(r, func(w *worker) bool { return b.open(w, r.slots()) && r.mayReturnTo(w, b.now) })
	}
	if best == nil && b.allPause(r.split) {
		best = b.drawOpen(r, b.mayProbe)
	}
	return best != nil && b.send(r, best)
}

// drawWithinWindows draws by the shares until it meets a worker of the own zone whose window has room, and
// takes the nearest of the others that it has met if it meets none: the less the shares nearby, the more
// often. Where distances do not count the first one is taken. Guards against bytes between zones that buy nothing.
func (b *Balancer) drawWithinWindows(r *request) (nearest *member) {
	for range redraws {
		m := r.split.draw(b.rng)
		if m == nil {
			return nil
		}
		if !b.open(m.w, r.slots()) || r.tried(m.w) {
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

// distance is how far away a worker's zone is, as far as the settings tell.
func (b *Balancer) distance(w *worker) int {
	if w.zone < 0 || w.zone >= len(b.s.Window.Distances) {
		return 0
	}
	return b.s.Window.Distances[w.zone]
}

// mayReturnTo says whether a request may go again to a worker that has not run it.
// Guards against repeats in a tight loop where there is one worker.
func (r *request) mayReturnTo(w *worker, now time.Duration) bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; a.w == w && now-a.sent < returnAfter {
			return false
		}
	}
	return true
}

// drawOpen draws by the shares among the workers that a condition holds for.
func (b *Balancer) drawOpen(r *request, condition func(*worker) bool) (best *member) {
	total := 0.0
	for _, m := range r.split.m {
		if condition(m.w) {
			if total += m.x; b.rng.Float64()*total < m.x {
				best = m
			}
		}
	}
	return best
}

// allPause says whether every worker of a split is kept out for failures.
func (b *Balancer) allPause(sp *split) bool {
	for _, m := range sp.m {
		if b.now >= m.w.shunned && !b.hung(m.w) {
			return false
		}
	}
	return true
}

// mayProbe says whether a worker that pauses after failures may be tried with one job
// before its pause ends. Guards against a service that is back while all dispatchers wait.
func (b *Balancer) mayProbe(w *worker) bool {
	every := cmp.Or(b.s.Window.ProbeEvery, strikePause)
	return w.strikes > 0 && w.used() == 0 && b.now-max(w.struck, w.lastSent) >= every
}

// pauseWithWindow keeps a worker that has failed out for a span that doubles, and begins
// again with the least window. Guards a worker that comes back, cold, from all that waits.
func (b *Balancer) pauseWithWindow(w *worker) {
	most := cmp.Or(b.s.Window.StrikeMost, strikeMost)
	pause := cmp.Or(b.s.Window.StrikePause, strikePause) << min(w.strikes-1, 10)
	w.room = windowLeast
	w.shunned = max(w.shunned, b.now+b.jitter(min(pause, most)))
}

// fullPause is how long a worker that turned a job away for want of room is kept out.
func (b *Balancer) fullPause(w *worker) time.Duration {
	pause := fullPause << min(w.fulls, fullMost)
	if b.s.Window.Enabled {
		return min(pause, cmp.Or(b.s.Window.StrikePause, strikePause))
	}
	return pause
}

// SetFleet says how many dispatchers share the workers now, and how many jobs this one
// may have out at a worker at most; 0 is no bound.
func (b *Balancer) SetFleet(balancers int, windowMost float64) {
	b.s.Balancers = max(1, balancers)
	b.s.Window.Most = windowMost
}
