// The decisions of a Balancer: the life of a request (attempts, retries, the checks before
// a send and before the final answer) in balancer.go; the shares of the workers and how they
// move in split.go; which workers are eligible in eligibility.go; admission in admission.go.

package yardwharf

import (
	"cmp"
	"slices"
	"time"
)

const (
	paceAlpha         = 0.2                    // EWMA weight of one run in a worker's pace
	highErrorRate     = 1.5                    // errors/s at a worker that can't all be this dispatcher's
	maxRedraws        = 12                     // draws that may fail before the fallback is taken
	utilAlpha         = 0.05                   // EWMA weight of one report in the mean utilization
	minUtil           = 0.25                   // lower bound on the mean utilization
	minCopyDelay      = 20 * time.Millisecond  // least time from a send without a start to its copy
	copySlackFraction = 0.1                    // the same as a fraction of the class's slack
	copyBurst         = 20                     // most copy tokens that may be saved up
	keyTTLMargin      = 100 * time.Millisecond // part of the key TTL reserved for the way to the worker
	maxHoldFraction   = 0.5                    // a request is held for this fraction of its slack at most
	valueAlpha        = 0.02                   // EWMA weight of one request in mean worth and value
)

// Request accepts a request.
func (b *Balancer) Request(now time.Duration, in Request) {
	b.now = now
	defer b.arm()
	if b.requests[in.ID] != nil {
		return
	}
	var r *request
	if n := len(b.freeRequests); n > 0 {
		r, b.freeRequests = b.freeRequests[n-1], b.freeRequests[:n-1]
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
	b.startTimer(in.Deadline-now, in.ID, timerDeadline)
	r.arrived = now
	r.holdUntil = min(in.Deadline, now+time.Duration(maxHoldFraction*float64(b.slack(in.Class))))
	r.tenantFactor = b.tenantFactor(r)
	b.meanWorth += (r.class.Worth - b.meanWorth) * valueAlpha
	r.value = b.value(r)
	if v := b.worth(r); b.meanValue == 0 {
		b.meanValue = v
	} else {
		b.meanValue += (v - b.meanValue) * valueAlpha
	}
	b.copyTokens = min(b.copyTokens+b.copyRate, copyBurst)
	if b.shouldShed(r) {
		b.answer(r)
		return
	}
	if b.learnsFromStarts() {
		b.startTimer(b.slack(in.Class), in.ID, timerLateStart)
	}
	b.proceed(r)
}

// trySend draws a worker, sends the request to it and reports whether it was sent. Draws that
// hit an ineligible worker are repeated with the same shares. If every draw hits a worker that
// is above its share, the one with the least work for its share is taken.
func (b *Balancer) trySend(r *request) bool {
	if b.s.Window.Enabled {
		return b.trySendWithinWindows(r)
	}
	var leastLoaded *member
	best := b.reinstatedMember(r)
	if best == nil && b.leavesHome(r) {
		best = b.drawFrom(r, r.split.far, true)
	}
	if best == nil {
		best = b.drawFrom(r, r.split.home, true)
	}
	if best == nil && len(r.split.near) > len(r.split.home) {
		best = b.drawFrom(r, r.split.near, true)
	}
	if best == nil && b.s.TellsStart && b.mayCross(r) {
		best = b.drawFrom(r, r.split.members, true)
	}
	for n := 0; best == nil && n < maxRedraws && !b.slotsKnown() && r.out == 0; n++ {
		m := r.split.draw(b.rng)
		if m == nil {
			break
		}
		if !b.fitsColdBudget(r, m.w) || !b.eligible(m.w) || r.tried(m.w) || !r.mayRepeatOn(m.w, b.now) ||
			n < maxRedraws/2 && !r.mayUseDoubtful(m.w, b.now) {
			continue
		}
		if b.belowShare(m) {
			best = m
		} else if leastLoaded == nil ||
			(m.w.usedSlots()+1)*leastLoaded.share < (leastLoaded.w.usedSlots()+1)*m.share {
			leastLoaded = m
		}
	}
	best = cmp.Or(best, leastLoaded)
	if best == nil && r.class.Effect == Keyed && r.class.Group != AllWorkers && !r.neverRan() {
		best = b.drawFrom(r, r.split.members, false)
	}
	return best != nil && b.send(r, best)
}

// mayUseDoubtful reports whether a request may be sent to a worker that has failed recently.
// A request that may be retried elsewhere loses nothing by it. The doubt expires by itself:
// where no request may be retried, none would ever clear it.
func (r *request) mayUseDoubtful(w *worker, now time.Duration) bool {
	return r.class.Effect == Safe || now >= w.doubtfulUntil || w.strikes == 0 && w.errorFraction < errorAlpha
}

// drawFrom draws by shares from a list: the workers that a keyed request which may have run
// can still go to, or, with needFreeSlots, those that have free slots.
func (b *Balancer) drawFrom(r *request, list []*member, needFreeSlots bool) (best *member) {
	total := 0.0
	for _, m := range list {
		full := !b.hasFreeSlots(m.w, r.slots()) || r.class.Effect != Safe && m.w.waiting > 0
		if needFreeSlots && (full || !r.mayUseDoubtful(m.w, b.now) || r.out > 0 && !b.mayCopyTo(r, m.w)) {
			continue
		}
		if r.mayRepeatOn(m.w, b.now) && !r.tried(m.w) && b.fitsColdBudget(r, m.w) && b.eligible(m.w) {
			weight := m.share
			if needFreeSlots {
				weight *= max(1, b.usableSlots(m.w)-m.w.usedSlots()) * b.affinityWeight(r.Class, m.w)
			}
			if total += weight; b.rng.Float64()*total < weight {
				best = m
			}
		}
	}
	return best
}

// proceed continues a request that has no attempt out: with another attempt, a short wait for
// free slots, or the final answer.
func (b *Balancer) proceed(r *request) {
	if r.out > 0 || r.held {
		return
	}
	spent := len(r.attempts) >= b.s.MaxAttempts || r.class.Effect == Unsafe && !r.neverRan()
	if spent || b.now >= r.holdUntil {
		// Too late to be held, but another attempt may still be in time, for example after
		// workers with a full queue, or be worth something though late.
		late := len(r.attempts) == 0 || b.now >= r.arrived+b.slack(r.Class)
		if spent || late && r.class.LateWorth <= 0 || !b.admit(r) || !b.trySend(r) {
			b.answer(r)
		}
		return
	}
	if !b.admit(r) || !b.trySend(r) {
		b.hold(r)
	}
}

// send is the only function that sends; it enforces the rules on attempts.
func (b *Balancer) send(r *request, m *member) bool {
	w := m.w
	switch {
	case r.answered, r.streaming, b.now >= r.Deadline: // rule 1: nothing is sent after the answer
		return false
	case len(r.attempts) >= b.s.MaxAttempts, r.out > 0 && !b.s.ParallelTries:
		return false
	case w.state != Ready: // rule 3: nothing is sent to a draining or gone worker
		return false
	case !r.mayRepeatOn(w, b.now): // rule 2
		return false
	}
	r.attempts = append(r.attempts, attempt{m: m, w: w, sent: b.now})
	r.out++
	w.load += r.slots()
	if w.out++; w.waiting == 0 {
		w.lastProgress = b.now
	}
	w.waiting++
	w.lastSent = b.now
	b.load += r.slots()
	b.recount(r)
	w.coldTokens--
	b.do.Send(r.ID, w.id, 0)
	if b.learnsFromStarts() || b.s.TellsStart && b.s.ParallelTries && r.class.Effect == Safe {
		b.startTimer(max(minCopyDelay, time.Duration(copySlackFraction*float64(b.slack(r.Class)))),
			r.ID, timerCopy)
	}
	return true
}

// sendCopy sends a second copy of a request of which no attempt has started in time to a worker
// with free slots. Guards against waiting behind a busy or hung worker that looked idle.
func (b *Balancer) sendCopy(r *request) {
	b.countUnstarted(r)
	if !b.s.ParallelTries || r.class.Effect != Safe || r.answered || r.out == 0 ||
		b.now < r.attempts[len(r.attempts)-1].sent+minCopyDelay ||
		slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done && a.hasStarted }) {
		return
	}
	if b.copyTokens >= 1 && b.admit(r) && b.trySend(r) {
		b.copyTokens--
	} else if wait := b.guessedCopyTime(r) - b.now; wait > 0 {
		b.startTimer(wait, r.ID, timerCopy)
	}
}

// cancelOthers cancels the attempts that attempt n has made redundant: all others after an
// answer, those that have not started after a start.
func (b *Balancer) cancelOthers(r *request, n int, includeStarted bool) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if i != n && !a.done && !a.cancelled && b.s.Cancel &&
			(includeStarted || b.s.TellsStart && !a.hasStarted) {
			a.cancelled = true
			b.do.Cancel(r.ID, i)
		}
	}
}

// mayRepeatOn enforces rule 2: an unsafe request is sent again only if no earlier attempt
// can have run, a keyed one only to its group and within the key TTL.
func (r *request) mayRepeatOn(w *worker, now time.Duration) bool {
	if r.class.Effect == Safe {
		return true
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done && a.neverRan {
			continue
		}
		switch {
		case r.class.Effect == Unsafe,
			r.class.Group == SameZone && a.w.zone != w.zone,
			r.class.Group == SameCell && a.w.cell != w.cell,
			now-a.sent >= r.class.KeyTTL-keyTTLMargin:
			return false
		}
	}
	return true
}

// mayRefuse enforces rule 2 for the client's retry: a refusal tells the client that a retry
// is harmless.
func (r *request) mayRefuse() bool {
	if r.class.Effect == Safe || r.class.Effect == Keyed && r.class.Group == AllWorkers {
		return true
	}
	return r.neverRan()
}

// neverRan reports whether it is certain that no attempt has run.
func (r *request) neverRan() bool {
	return !slices.ContainsFunc(r.attempts, func(a attempt) bool { return !a.done || !a.neverRan })
}

// answer is the only function that gives the final answer, once per request.
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

// drop forgets a request that is answered and has no attempt out.
func (b *Balancer) drop(r *request) {
	b.recount(r)
	if r.answered && r.out == 0 && !r.held {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}

// Outcome handles the end of an attempt.
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
	a.neverRan = o.Status == Full || o.Status == ConnectFailed || o.Status == NotRun
	r.out--
	a.w.out--
	if left := b.remainingRun(r, a, o.Status); left > 0 {
		b.keepSlots(left, a.w, r.slots())
	} else {
		a.w.load -= r.slots()
		b.load -= r.slots()
	}
	if a.hasStarted {
		a.w.countRunning(a, -1)
		if ran := (now - a.started).Seconds(); o.Status == OK && a.usual > 0 {
			a.w.pace += (ran*b.warmth(a.w)/a.usual - a.w.pace) * paceAlpha
			a.w.paceUpdated = now
			b.classes[r.Class].affinity.learn(a.w.kind, ran*b.warmth(a.w))
		}
	} else {
		a.w.waiting--
	}
	if o.Status != Timeout && o.Status != Cancelled && o.Status != ConnectFailed && o.Status != Full {
		a.w.lastProgress = now
	}
	if util, told := b.reportValue(o.Load, FieldUtil); told {
		b.util = max(minUtil, b.util+(min(1, util)-b.util)*utilAlpha)
	}
	b.recordReport(a.w, o.Load)
	b.updateWindow(a.w, &o)
	if a.staleConn = o.Stale; !o.Stale && a.sent >= a.w.started { // else it was an earlier process
		if eps, _ := b.reportValue(o.Load, FieldErrors); o.Status == Error && eps >= highErrorRate {
			a.w.errorFraction = 1 // other dispatchers have seen errors there, too
		}
		b.updateHealth(a.w, o.Status, a.sent, o.Latency)
	}
	if m := a.w.memberIn(r.split); m != nil {
		switch o.Status {
		case OK, Timeout, Reset, Cancelled:
			b.recordSample(r, a, m, o.Status == OK)
		}
	}
	switch o.Status {
	case OK:
		b.recordCompletion(r, a)
	case Full: // harmless if another worker starts the job in time, which its start then shows
		if !b.s.TellsStart || len(r.attempts) >= b.s.MaxAttempts {
			b.adjustLimit(1)
		}
	}
	// No worker can process what one has rejected: another attempt would only spread it, and
	// a refusal would invite a retry.
	if o.Status == Rejected && !r.answered {
		b.do.Fail(r.ID)
	}
	if o.Status == OK || o.Status == Rejected {
		r.answered = true
		b.cancelOthers(r, o.Attempt, true)
	}
	if b.recount(r); r.answered {
		b.drop(r)
	} else {
		b.proceed(r)
	}
	b.releaseHeld()
}

// Note handles a notice about a running attempt.
func (b *Balancer) Note(now time.Duration, id RequestID, n int, kind NoteKind, value float64) {
	b.now = now
	if r := b.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && kind == Started {
		if a := &r.attempts[n]; !a.done && !a.hasStarted {
			a.hasStarted, a.started = true, now
			a.w.waiting--
			a.w.lastProgress = now
			a.usual = b.classes[r.Class].service
			a.w.countRunning(a, 1)
			b.recordStart(r, a)
			b.cancelOthers(r, n, false)
		}
	}
}
