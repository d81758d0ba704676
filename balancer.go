// The decisions of a Balancer: the request's life (attempts, repeats, the send gate and
// the answer gate) in balancer.go; shares and their steps in split.go; who may be drawn
// now in fitness.go; what waits and how much is taken on in admission.go.

package yardwharf

import (
	"cmp"
	"slices"
	"time"
)

const (
	paceNew    = 0.2                    // weight of one run in a worker's pace
	errorsMany = 1.5                    // errors a second that are not this dispatcher's alone
	redraws    = 12                     // draws before a worker without room is taken, or none
	utilNew    = 0.05                   // weight of one report in how busy workers are
	utilLeast  = 0.25                   // least that they are taken for
	copyLeast  = 20 * time.Millisecond  // a copy is sent this long after a send without a start
	copyAfter  = 0.1                    // or after this part of the class's slack
	copyBurst  = 20                     // copies that may be saved up
	ttlMargin  = 100 * time.Millisecond // kept of a key's window for the way to the worker
	patience   = 0.5                    // a request is held for this many aims at most
	valueNew   = 0.02                   // weight of one request in what they are worth
)

// Request takes on a request.
func (b *Balancer) Request(now time.Duration, in Request) {
	b.now = now
	defer b.arm()
	if b.requests[in.ID] != nil {
		return
	}
	var r *request
	if n := len(b.free); n > 0 {
		r, b.free = b.free[n-1], b.free[:n-1]
		*r = request{attempts: r.attempts[:0]}
	} else {
		r = &request{}
	}
	r.Request = in
	b.requests[in.ID] = r
	if in.Class < 0 || in.Class >= len(b.s.Classes) {
		r.class = &Class{}
		b.answer(r)
		return
	}
	r.class, r.split = &b.s.Classes[in.Class], b.splitFor(in.Class, in.Pool)
	b.after(in.Deadline-now, in.ID, timerDeadline)
	r.came = now
	r.patience = min(in.Deadline, now+time.Duration(patience*float64(b.slack(in.Class))))
	r.share = b.share(r)
	b.meanWorth += (r.class.Worth - b.meanWorth) * valueNew
	r.value = b.value(r)
	if v := b.worth(r); b.usualValue == 0 {
		b.usualValue = v
	} else {
		b.usualValue += (v - b.usualValue) * valueNew
	}
	b.copies = min(b.copies+b.copyRate, copyBurst)
	if b.sheds(r) {
		b.answer(r)
		return
	}
	if b.guesses() {
		b.after(b.slack(in.Class), in.ID, timerLate)
	}
	b.next(r)
}

// tryOn draws a worker and sends; it says whether it did. Draws that meet a
// worker unfit now are repeated by the same shares; if all meet workers without
// room, the one with the most room for its share is taken.
func (b *Balancer) tryOn(r *request) bool {
	if b.s.Window.Enabled {
		return b.tryWithinWindows(r)
	}
	var least *member
	best := b.returned(r)
	if best == nil && b.goesAway(r) {
		best = b.drawAmong(r, r.split.far, true)
	}
	if best == nil {
		best = b.drawAmong(r, r.split.home, true)
	}
	if best == nil && len(r.split.near) > len(r.split.home) {
		best = b.drawAmong(r, r.split.near, true)
	}
	if best == nil && b.s.TellsStart && b.mayCross(r) {
		best = b.drawAmong(r, r.split.m, true)
	}
	for n := 0; best == nil && n < redraws && !b.known() && r.out == 0; n++ {
		m := r.split.draw(b.rng)
		if m == nil {
			break
		}
		if !b.bears(r, m.w) || !b.fit(m.w) || r.tried(m.w) || !r.mayRepeatOn(m.w, b.now) ||
			n < redraws/2 && !r.trusts(m.w, b.now) {
			continue
		}
		if b.hasRoom(m) {
			best = m
		} else if least == nil ||
			(m.w.used()+1)*least.x < (least.w.used()+1)*m.x {
			least = m
		}
	}
	best = cmp.Or(best, least)
	if best == nil && r.class.Effect == Keyed && r.class.Group != AllWorkers && !r.neverRan() {
		best = b.drawAmong(r, r.split.m, false)
	}
	return best != nil && b.send(r, best)
}

// trusts says whether a request may find out how a worker is that has failed of
// late: one that may be repeated elsewhere loses nothing by it. The doubt ends by
// itself: where no request may be repeated, none would ever end it.
func (r *request) trusts(w *worker, now time.Duration) bool {
	return r.class.Effect == Safe || now >= w.doubted || w.strikes == 0 && w.errors < errorNew
}

// drawAmong draws by shares among few: the workers that a keyed request which may
// have run can still go to, or those of the home that have room.
func (b *Balancer) drawAmong(r *request, list []*member, home bool) (best *member) {
	total := 0.0
	for _, m := range list {
		full := !b.takes(m.w, r.slots()) || r.class.Effect != Safe && m.w.waiting > 0
		if home && (full || !r.trusts(m.w, b.now) || r.out > 0 && !b.copyTo(r, m.w)) {
			continue
		}
		if r.mayRepeatOn(m.w, b.now) && !r.tried(m.w) && b.bears(r, m.w) && b.fit(m.w) {
			x := m.x
			if home {
				x *= max(1, b.holds(m.w)-m.w.used()) * b.suited(r.Class, m.w)
			}
			if total += x; b.rng.Float64()*total < x {
				best = m
			}
		}
	}
	return best
}

// next goes on with a request that has no attempt out: another attempt, a short
// wait for room, or the final answer.
func (b *Balancer) next(r *request) {
	if r.out > 0 || r.held {
		return
	}
	spent := len(r.attempts) >= b.s.MaxAttempts || r.class.Effect == Unsafe && !r.neverRan()
	if spent || b.now >= r.patience {
		// Too late for holding; but another attempt may still be in time, as after
		// workers that were full, or earn something late.
		late := len(r.attempts) == 0 || b.now >= r.came+b.slack(r.Class)
		if spent || late && r.class.LateWorth <= 0 || !b.admit(r) || !b.tryOn(r) {
			b.answer(r)
		}
		return
	}
	if !b.admit(r) || !b.tryOn(r) {
		b.hold(r)
	}
}

// send is the only place that sends; it keeps the rules on attempts.
func (b *Balancer) send(r *request, m *member) bool {
	w := m.w
	switch {
	case r.answered, r.stream, b.now >= r.Deadline: // rule 1: nothing after the answer
		return false
	case len(r.attempts) >= b.s.MaxAttempts, r.out > 0 && !b.s.ParallelTries:
		return false
	case w.state != Ready: // rule 3: never to a draining or gone worker
		return false
	case !r.mayRepeatOn(w, b.now): // rule 2
		return false
	}
	r.attempts = append(r.attempts, attempt{m: m, w: w, sent: b.now})
	r.out++
	w.load += r.slots()
	if w.out++; w.waiting == 0 {
		w.sign = b.now
	}
	w.waiting++
	w.lastSent = b.now
	b.load += r.slots()
	b.recount(r)
	w.tokens--
	b.do.Send(r.ID, w.id, 0)
	if b.guesses() || b.s.TellsStart && b.s.ParallelTries && r.class.Effect == Safe {
		b.after(max(copyLeast, time.Duration(copyAfter*float64(b.slack(r.Class)))), r.ID, timerCopy)
	}
	return true
}

// copy sends a second copy of a request of which no attempt has started in time, to where room
// is. Guards against waiting behind a busy or hung worker that looked idle from here.
func (b *Balancer) copy(r *request) {
	b.sawWaiting(r)
	if !b.s.ParallelTries || r.class.Effect != Safe || r.answered || r.out == 0 ||
		b.now < r.attempts[len(r.attempts)-1].sent+copyLeast ||
		slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done && a.hasStarted }) {
		return
	}
	if b.copies >= 1 && b.admit(r) && b.tryOn(r) {
		b.copies--
	} else if wait := b.copySure(r) - b.now; wait > 0 {
		b.after(wait, r.ID, timerCopy)
	}
}

// settle calls off the attempts that the one at n has made needless: all others
// after an answer, those still waiting after a start.
func (b *Balancer) settle(r *request, n int, all bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if i != n && !a.done && !a.off && b.s.Cancel && (all || b.s.TellsStart && !a.hasStarted) {
			a.off = true
			b.do.Cancel(r.ID, i)
		}
	}
}

// mayRepeatOn keeps rule 2: an unsafe request goes out again only if no earlier
// attempt can have run, a keyed one only inside the group and the window.
func (r *request) mayRepeatOn(w *worker, now time.Duration) bool {
	if r.class.Effect == Safe {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done && a.never {
			continue
		}
		switch {
		case r.class.Effect == Unsafe,
			r.class.Group == SameZone && a.w.zone != w.zone,
			r.class.Group == SameCell && a.w.cell != w.cell,
			now-a.sent >= r.class.KeyTTL-ttlMargin:
			return false
		}
	}
	return true
}

// mayRefuse keeps rule 2 for the client's next try: a refusal says that trying
// again is harmless.
func (r *request) mayRefuse() bool {
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == AllWorkers {
		return true
	}
	return r.neverRan()
}

// neverRan says whether no attempt can have run.
func (r *request) neverRan() bool {
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done || !a.never })
}

// answer is the only place that gives the final answer: once per request.
func (b *Balancer) answer(r *request) {
	if !r.answered {
		r.answered = true
		if r.mayRefuse() {
			b.do.Refuse(r.ID, b.s.MaxRetryAfter)
		} else {
			b.do.Fail(r.ID)
		}
	}
	b.drop(r)
}

// drop forgets a request that has its answer and no attempt out.
func (b *Balancer) drop(r *request) {
	b.recount(r)
	if r.answered && r.out == 0 && !r.held {
		delete(b.requests, r.ID)
		b.free = append(b.free, r)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	b.now = now
	defer b.arm()
	r := b.requests[o.Request]
	if r == nil {
		return
	}
	if o.Closed {
		r.answered = true
	}
	if o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		b.drop(r)
		return
	}
	a := &r.attempts[o.Attempt]
	a.done = true
	a.never = o.Status == Full || o.Status == ConnectFailed || o.Status == Moot
	r.out--
	a.w.out--
	if left := b.goesOn(r, a, o.Status); left > 0 {
		b.keepFor(left, a.w, r.slots())
	} else {
		a.w.load -= r.slots()
		b.load -= r.slots()
	}
	if a.hasStarted {
		a.w.run(a, -1)
		if ran := (now - a.started).Seconds(); o.Status == OK && a.usual > 0 {
			a.w.pace += (ran*b.warmth(a.w)/a.usual - a.w.pace) * paceNew
			a.w.paced = now
			b.classes[r.Class].suits.learn(a.w.kind, ran*b.warmth(a.w))
		}
	} else {
		a.w.waiting--
	}
	if o.Status != Timeout && o.Status != Cancelled && o.Status != ConnectFailed && o.Status != Full {
		a.w.sign = now
	}
	if util, told := b.told(o.Load, FieldUtil); told {
		b.util = max(utilLeast, b.util+(min(1, util)-b.util)*utilNew)
	}
	b.reported(a.w, o.Load)
	b.learnWindow(a.w, &o)
	if a.stale = o.Stale; !o.Stale && a.sent >= a.w.started { // else it was another process
		if eps, _ := b.told(o.Load, FieldErrors); o.Status == Error && eps >= errorsMany {
			a.w.errors = 1 // others have met with errors there, too
		}
		b.shun(a.w, o.Status, a.sent, o.Latency)
	}
	if m := a.w.at(r.split); m != nil {
		switch o.Status {
		case OK, Timeout, Reset, Cancelled:
			b.sample(r, a, m, o.Status == OK)
		}
	}
	switch o.Status {
	case OK:
		b.observe(r, a)
	case Full: // harmless where another worker starts the job in time, which is seen there
		if !b.s.TellsStart || len(r.attempts) >= b.s.MaxAttempts {
			b.judge(1)
		}
	}
	// What one worker cannot read none can: to go on would only spread it, and a
	// refusal would ask for it again.
	if o.Status == Rejected && !r.answered {
		b.do.Fail(r.ID)
	}
	if o.Status == OK || o.Status == Rejected {
		r.answered = true
		b.settle(r, o.Attempt, true)
	}
	if b.recount(r); r.answered {
		b.drop(r)
	} else {
		b.next(r)
	}
	b.release()
}

// Note takes news of a running attempt.
func (b *Balancer) Note(now time.Duration, id RequestID, n int, kind NoteKind, value float64) {
	b.now = now
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && kind == Started {
		if a := &r.attempts[n]; !a.done && !a.hasStarted {
			a.hasStarted, a.started = true, now
			a.w.waiting--
			a.w.sign = now
			a.usual = b.classes[r.Class].service
			a.w.run(a, 1)
			b.begun(r, a)
			b.settle(r, n, false)
		}
	}
}
