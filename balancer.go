// All of yardwharf's decisions. The types, events and actions are in api.go.
//
// The file has four parts: the split (shares and their steps), fitness (who may
// be drawn now), the request's life (attempts, retries, the send gate and the
// answer gate) and admission (what is turned away at once).

package yardwharf

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	stepSize     = 0.1              // the paper's a, in mean shares: f too high by 1 costs this part of one
	firstSamples = 10               // L(0): completions of every worker before the first step
	moreSamples  = 10               // L(n) - L(n-1)
	floor        = 0.15             // least share, in mean shares: keeps every worker sampled
	mostSamples  = 40               // L grows no further, so that the split keeps tracking load
	stepWait     = 2 * time.Second  // a step is taken after this even if samples lack
	prior        = 8                // samples that the kind's mean counts for in a thin estimate
	mostSample   = 4                // mean delays a sample counts at most: shares outlast a cut link
	mostF        = 1                // f is clipped to the mean plus this: one loss empties no share
	crossF       = 4                // what a crossing's price adds to f, in mean service times
	kindSamples  = 30               // samples of a kind's mean delay that may be its shortest of late
	homeParts    = 3                // even parts of the workers in a home
	zoneLost     = 0.7              // a zone with this share of silent ends is taken for cut off
	zoneNew      = 0.2              // weight of one end in that share
	zoneProbed   = 0.4              // the same of a probe
	lookEvery    = time.Second      // probes into a zone are this far apart
	lookMost     = 3                // and so many
	zoneTrickle  = 0.05             // part of the draws that it still gets
	waitFew      = 0.1              // of the slack: a job that waits no longer counts as started at once
	paceNew      = 0.2              // weight of one run in a worker's pace
	paceSpan     = 10 * time.Second // in which a pace fades without runs
	paceSlow     = 2                // usual runs that a slow worker takes for one
	paceThin     = 2                // its draws fall with this power of its pace
	errorNew     = 0.3              // weight of one end in a worker's part of errors
	errorMost    = 0.5              // over this, two errors at once, it is shunned
	errorsMany   = 1.5              // errors a second that are not this dispatcher's alone
	doubtFor     = 20 * time.Second // after a failure, unsafe requests keep off for so long
	redraws      = 12               // draws before a worker without room is taken, or none

	coldPart     = 0.5                    // of the cold budget that is spent; the rest is for skew and chance
	coldLeast    = 1                      // jobs in an overload's time: least budget, over all dispatchers
	utilNew      = 0.05                   // weight of one report in how busy workers are
	utilLeast    = 0.25                   // least that they are taken for
	warmEvery    = 100 * time.Millisecond // how old the sum of all warmth may be
	fullPause    = 50 * time.Millisecond  // how long a full worker is not drawn; doubles
	fullMost     = 5                      // times at most
	strikePause  = time.Second            // the same after a silent end; doubles
	strikeMost   = 8 * time.Second        // and ends here
	copyLeast    = 20 * time.Millisecond  // a copy is sent this long after a send without a start
	copyAfter    = 0.1                    // or after this part of the class's slack
	copyBurst    = 20                     // copies that may be saved up
	copyFew      = 0.05                   // copies a request, at least
	copyMost     = 2                      // and at most
	copyBad      = 0.2                    // with more bad ends than this copies get fewer, with half more
	copyCut      = 0.7                    // by this, each round
	silenceLeast = 250 * time.Millisecond // a worker that starts nothing for this long may hang
	silenceAims  = 1                      // or for this many times the shortest aim
	ttlMargin    = 100 * time.Millisecond // kept of a key's window for the way to the worker
	meanMemory   = 200                    // completions that a class's mean delay remembers
	baseSamples  = 100                    // completions in a mean that may be the shortest of late
	baseDrift    = 1.08                   // growth of the shortest mean with each new one: it forgets
	holdStep     = 10 * time.Millisecond  // how often held requests look for room
	patience     = 0.5                    // a request is held for this many aims at most
	rateSpan     = 2 * time.Second        // memory of the rate of completions
	waitAims     = 0.5                    // the limit lets requests wait for this part of the aim
	worthMore    = 1.5                    // what is worth so many times the usual has twice the limit
	valueNew     = 0.02                   // weight of one request in what they are worth
	limitCut     = 0.9                    // a cut leaves this much where starts are not told
	goodNew      = 0.1                    // weight of a good round in what workers bear well
	limitGrow    = 1.1                    // what a round with few bad ends makes of it
	badMost      = 0.4                    // more bad ends than this: cut
	badFew       = 0.4                    // fewer: grow
	limitLeast   = 2                      // requests a worker that the limit leaves, over all dispatchers
	roundLeast   = 200 * time.Millisecond // a round lasts this long
	roundEnds    = 10                     // and has so many ends
)

// ---- The split: a share x for each worker, moved by equation (3) of the paper.

// join brings a worker in, the first list by its size where that is told; a
// newcomer with the mean share for its size, as its draws are thinned while cold.
func (sp *split) join(w *worker, first bool) {
	i, found := slices.BinarySearchFunc(sp.m, w.id, func(m *member, id WorkerID) int {
		return cmp.Compare(m.w.id, id)
	})
	if found {
		return
	}
	x := w.size
	if !first && len(sp.m) > 0 {
		sizes := 0.0
		for _, m := range sp.m {
			sizes += m.w.size
		}
		x = w.size / sizes
	}
	m := &member{w: w, sp: sp, x: x}
	sp.m = slices.Insert(sp.m, i, m)
	w.in = append(w.in, m)
	sp.lacking++
	sp.stale, sp.changed = true, true
}

// leave takes a worker out; its share is spread pro rata.
func (sp *split) leave(w *worker) {
	m := w.at(sp)
	if m == nil {
		return
	}
	w.in = slices.DeleteFunc(w.in, func(o *member) bool { return o == m })
	if i := slices.Index(sp.m, m); i >= 0 {
		sp.m = slices.Delete(sp.m, i, i+1)
	}
	if m.n < sp.need {
		sp.lacking--
	}
	sp.changed = true
	sp.scale()
}

// draw picks a member by the shares; nil where there is none.
func (sp *split) draw(rng *rand.Rand) *member {
	if len(sp.m) == 0 {
		return nil
	}
	sp.addUp()
	i, _ := slices.BinarySearch(sp.sum, rng.Float64()*sp.total)
	return sp.m[min(i, len(sp.m)-1)]
}

// marginal is equation (4) with c = 1, beta = 1 and the misprinted square
// dropped: the marginal delay of one more job at a worker.
func marginal(delay, service float64) float64 {
	wait := delay - service
	return service + wait*wait/service + 2*wait
}

// step moves the shares by equation (3) and starts the next, longer wait. A
// worker's times are taken with prior samples of its kind's mean, so that a
// quiet dispatcher steps on what it has.
func (sp *split) step(b *Balancer) {
	var all, kinds = &member{}, map[int]*member{}
	for _, m := range sp.m {
		k := kinds[m.w.kind]
		if k == nil {
			k = &member{}
			kinds[m.w.kind] = k
		}
		k.add(m)
		all.add(m)
	}
	if all.done >= firstSamples && all.service > 0 {
		mean, in := all.service/float64(all.done), make([]*member, 0, len(sp.m))
		for kind, k := range kinds { // each on its own, so in any order
			if base := k.delay / float64(max(1, k.n)); k.n >= kindSamples {
				if sp.base[kind] *= baseDrift; sp.base[kind] == 0 || base < sp.base[kind] {
					sp.base[kind] = base
				}
			}
		}
		for _, m := range sp.m {
			k := kinds[m.w.kind]
			if k.done == 0 {
				k = all
			}
			d := (m.delay + prior*k.delay/float64(k.n)) / float64(m.n+prior)
			t := (m.service + prior*k.service/float64(k.done)) / float64(m.done+prior)
			if base := sp.base[m.w.kind]; !b.s.TellsStart && base > 0 {
				t = base
			}
			m.f = marginal(max(d, t), t) / mean
			if m.w.zone != b.s.Zone {
				m.f += crossF * b.s.CrossZonePrice
			}
			if b.now >= m.w.shunned { // a cut link must not move shares between its sides
				in = append(in, m)
			}
		}
		move(in, 1/float64(len(sp.m)))
		sp.scale()
	}
	sp.need = min(sp.need+moreSamples, mostSamples)
	sp.lacking = len(sp.m)
	for _, m := range sp.m {
		*m = member{w: m.w, sp: sp, x: m.x}
	}
}

// move builds the set A and takes the step, scaled to the mean share. The page
// lets members into A in ascending f, against the mean of those below them, by
// which one at the floor can never rise again, however idle. So A starts as all,
// and loses those that the step with the mean over A would take below the floor,
// until none is lost. They go to the floor: left as they are, as the page has it,
// they would keep the share that they are too slow for.
func move(in []*member, share float64) {
	mean, total := 0.0, 0.0
	for _, m := range in {
		total += m.f
	}
	for _, m := range in {
		m.f = min(m.f, total/float64(len(in))+mostF)
	}
	for n := -1; n != len(in); {
		n, total = len(in), 0
		for _, m := range in {
			total += m.f
		}
		mean = total / float64(max(1, n))
		in = slices.DeleteFunc(in, func(m *member) bool {
			out := m.x-stepSize*share*(m.f-mean) < floor*share
			if out {
				m.x = floor * share
			}
			return out
		})
	}
	for _, m := range in {
		m.x -= stepSize * share * (m.f - mean)
	}
}

// ---- Fitness: who may be drawn now.

// renew forgets what was learned of a worker's process, as another runs now.
// Guards against strikes of before its restart that keep it out while it serves.
func (w *worker) renew(room float64) {
	w.shunned, w.fulls, w.strikes, w.errors, w.room, w.pace = 0, 0, 0, 0, room, 1
}

// fit says whether a worker may be drawn now. A zone in which nearly all ends were
// silent of late gets probes, or a trickle of draws where there are none. Guards
// against a cut link, which would otherwise have to be found worker by worker.
func (b *Balancer) fit(w *worker) bool {
	return w.state == Ready && b.now >= w.shunned && b.zoneFit(w.zone) && !b.hung(w) &&
		b.coldFit(w) && b.paceFit(w) &&
		(b.lost[w.zone] < zoneLost || !b.s.Probes && b.rng.Float64() < zoneTrickle)
}

// silence is how long a worker may start and end nothing while own jobs wait.
func silence(s *Settings, c Class) time.Duration {
	if s.TellsStart {
		return max(silenceLeast, silenceAims*c.Aim)
	}
	return c.Deadline / 2
}

// hung says whether a worker has left jobs waiting without any sign for long.
// Guards against workers that take work and answer none.
func (b *Balancer) hung(w *worker) bool {
	return w.waiting > 0 && b.now-w.sign > b.silence
}

// paceFit thins the draws of a slow worker.
func (b *Balancer) paceFit(w *worker) bool {
	p := b.pace(w)
	return p <= paceSlow || b.rng.Float64() < math.Pow(paceSlow/p, paceThin)
}

// pace is how much longer than usual jobs run at a worker of late, those counted
// that have not ended. Guards against a worker that has turned slow: its shares
// move only by steps, and its jobs tell of it before they end.
func (b *Balancer) pace(w *worker) float64 {
	p := 1 + (w.pace-1)*math.Exp(-(b.now-w.paced).Seconds()/paceSpan.Seconds())
	if w.running > 0 && w.usual > 0 {
		p = max(p, (float64(w.running)*b.now.Seconds()-w.starts)/w.usual)
	}
	return p
}

// hasRoom says whether a worker has less than its share of this dispatcher's
// own work out. Guards against a blind draw that queues on busy workers.
func (b *Balancer) hasRoom(m *member) bool {
	return m.w.used() < m.x*(b.total()+1)
}

// findHome picks the workers of the own zone that this dispatcher turns to first:
// its even part, spread over the zone without dispatchers agreeing on anything.
// Guards against many dispatchers that all send to all and each see too little.
func (sp *split) findHome(s *Settings) {
	sp.home, sp.far = sp.home[:0], sp.far[:0]
	for _, m := range sp.m {
		if s.TellsStart && m.w.zone == s.Zone { // room is learned from starts
			sp.home = append(sp.home, m)
		} else {
			sp.far = append(sp.far, m)
		}
	}
	sp.near = append(sp.near[:0], sp.home...)
	n := len(sp.home)
	_, at := math.Modf(float64(s.Me) * math.Phi)
	size := min(n, (homeParts*len(sp.m)+s.Balancers-1)/s.Balancers)
	sp.home = append(sp.home, sp.home...)[int(at*float64(n)):][:size]
}

// warmth is the part of its capacity that a worker has at least, by its age.
func (b *Balancer) warmth(w *worker) float64 {
	if w.coldSince <= 0 || b.now-w.coldSince >= b.s.WarmUp {
		return 1
	}
	age := max(0, float64(b.now-w.coldSince)/float64(b.s.WarmUp))
	return b.s.StartCapacity + (1-b.s.StartCapacity)*age
}

// coldFit holds this dispatcher to its part of what a cold worker can take now,
// whatever else is unfit: a multiple of what the workers could carry for the warmth
// that they have, by what they carry and how busy they say they are.
// Guards against all dispatchers together pushing a cold worker over.
func (b *Balancer) coldFit(w *worker) bool {
	c := b.warmth(w)
	if c >= 1 {
		return true
	}
	part := max(b.coldPart(w, c), coldLeast/b.s.OverloadFor.Seconds()/float64(b.s.Balancers)) / b.parts
	depth := max(1, part*b.s.OverloadFor.Seconds())
	w.tokens = min(depth, w.tokens+part*(b.now-w.refilled).Seconds())
	w.refilled = b.now
	return w.tokens >= 1
}

// shun keeps a worker out of the draw after a sign that it cannot serve: for a
// short span after a full queue, for a doubling one after silence or errors.
func (b *Balancer) shun(w *worker, st Status, sent, took time.Duration) {
	switch st {
	case Full:
		b.sawZone(w.zone, false)
		w.fulls++
		w.shunned = max(w.shunned, b.now+b.jitter(fullPause<<min(w.fulls, fullMost)))
	case ConnectFailed, Timeout:
		if st == Timeout && w.sign > sent { // only this job is slow
			return
		}
		b.strike(w)
		if st == ConnectFailed && took < b.s.DialTimeout*4/5 { // refused: its machine is there
			return
		}
		b.lost[w.zone] += zoneNew * (1 - b.lost[w.zone])
		b.sawZone(w.zone, true)
		b.lookAround(w.zone)
	case Error, Reset: // one may be the job's or the connection's own fault
		w.doubted = b.now + doubtFor
		if w.errors += errorNew * (1 - w.errors); w.errors > errorMost {
			b.strike(w)
		}
	case OK:
		b.sawZone(w.zone, false)
		if sent < w.struck { // what it did before tells nothing of it now
			return
		}
		if w.strikes > 1 && w.errors < errorMost { // back from silence: cold before the list says so
			w.coldSince, w.refilled, w.tokens = b.now, b.now, b.rng.Float64()
		}
		w.strikes, w.fulls, w.shunned = 0, 0, 0
		w.errors -= errorNew * w.errors
		b.lost[w.zone] -= zoneNew * b.lost[w.zone]
	}
}

// lookAround probes a few workers of a zone in which one was silent, and one in each
// span of a zone that is taken for cut off, to learn of its return. Guards against a
// cut link that each dispatcher finds worker by worker, with the jobs it loses there.
func (b *Balancer) lookAround(zone int) {
	at, before := b.looked[zone]
	if !b.s.Probes || before && b.now < at+lookEvery {
		return
	}
	b.looked[zone] = b.now
	b.after(b.jitter(2*lookEvery), 0, timerLook)
	n, seen := lookMost, 0.0
	if b.lost[zone] >= zoneLost {
		n = 1
	}
	var among []*worker
	for _, m := range b.splits[0].m { // each as likely as any other
		if w := m.w; w.zone == zone && (b.lost[zone] >= zoneLost || b.now >= w.shunned) {
			if seen++; len(among) < n {
				among = append(among, w)
			} else if i := int(b.rng.Float64() * seen); i < n {
				among[i] = w
			}
		}
	}
	for _, w := range among {
		b.do.Probe(w.id)
	}
}

// Probed takes the result of a probe: whether a worker's machine can be reached.
func (b *Balancer) Probed(now time.Duration, id WorkerID, st Status, took time.Duration, load []float32) {
	b.now = now
	defer b.arm()
	w := b.byID[id]
	if w != nil && st == OK {
		b.reported(w, load)
	}
	switch {
	case w == nil, st == Timeout, st == Cancelled, st == Moot: // it may be busy, or was not asked
	case now-took < w.started: // another process was
	case st == ConnectFailed && took >= b.s.DialTimeout*4/5:
		b.strike(w)
		b.lost[w.zone] += zoneProbed * (1 - b.lost[w.zone])
		b.sawZone(w.zone, true)
	default:
		b.lost[w.zone] -= zoneProbed * b.lost[w.zone]
		b.sawZone(w.zone, false)
	}
}

// strike shuns a worker for a span that doubles each time. Guards against workers
// that fail at once: they look idle and would draw ever more jobs.
func (b *Balancer) strike(w *worker) {
	w.strikes++
	w.struck, w.doubted = b.now, b.now+doubtFor
	w.shunned = max(w.shunned, b.now+b.jitter(min(strikePause<<min(w.strikes-1, 10), strikeMost)))
}

// ---- The request's life.

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

// ---- Admission: what is turned away at once.

// sample books an attempt into the split, in units of its class's mean delay, so
// that a mix of short and long jobs does not pass for slow and fast workers.
func (b *Balancer) sample(r *request, a *attempt, m *member, completed bool) {
	c := &b.classes[r.Class]
	delay := max(0, (b.now - a.sent).Seconds())
	if completed {
		c.seen++
		c.mean += (delay - c.mean) / float64(min(c.seen, meanMemory))
	}
	unit := max(c.mean, 1e-6)
	if !b.s.TellsStart && c.base > 0 {
		unit = c.base
	}
	service := unit
	if a.hasStarted {
		service = max(0, (b.now - a.started).Seconds())
		if completed {
			c.service += (service - c.service) / float64(min(c.seen, meanMemory))
		}
	}
	if !completed && !a.hasStarted {
		delay += unit // it waited this long and would have had to run yet
	}
	warm := b.warmth(a.w) // so that one that warms does not pass for slow
	r.split.sample(m, min(warm*delay/unit, mostSample), warm*service/unit, completed)
	if r.split.lacking <= 0 || b.now-r.split.stepped >= stepWait {
		b.suit()
		r.split.stepped = b.now
		r.split.step(b)
	}
}

// slack is how long a job of a class may wait and still be in time, its own run
// at its usual length taken off. Guards against waits that are dear to avoid, by
// copies or crossings, and harm nothing.
func (b *Balancer) slack(class int) time.Duration {
	c := &b.s.Classes[class]
	return c.Aim + seconds(max(0, c.Stretch-1)*b.classes[class].service)
}

// value is the order of admission.
func (b *Balancer) value(r *request) float64 {
	if r.Ahead { // it has waited elsewhere: worth alone would starve it
		return math.Inf(1)
	}
	return b.worth(r) * r.share
}

// worth is what a request is worth a second of work.
func (b *Balancer) worth(r *request) float64 {
	c := &b.classes[r.Class]
	work := c.base
	if b.s.TellsStart { // a quiet dispatcher knows it long before the base
		work = c.service
	}
	if b.s.WorthByWork || work <= 0 {
		return r.class.Worth
	}
	return r.class.Worth / (work * r.slots())
}

// observe learns from a completion how long jobs of its class take.
func (b *Balancer) observe(r *request, a *attempt) {
	c := &b.classes[r.Class]
	delay := (b.now - a.sent).Seconds()
	c.sum += delay
	if c.n++; c.n >= baseSamples {
		mean := c.sum / float64(c.n)
		if c.base *= baseDrift; c.base == 0 || mean < c.base {
			c.base = mean
		}
		c.sum, c.n = 0, 0
	}
	aim := r.class.Aim.Seconds()
	service, bad := c.base, 0.0
	if a.hasStarted {
		service = (b.now - a.started).Seconds()
		if (a.started - r.came).Seconds() > aim {
			bad = 1
		}
	} else if c.base > 0 { // half bad where the delay is what the aim leaves room for
		bad = min(1, delay/(c.base+aim)/2)
	}
	b.inTime += service + waitAims*aim
	b.delays += (b.now - r.came).Seconds()
	b.ended++
	b.countEnd(a.w)
	b.judge(bad)
}

// judge sets the limit on own requests in work once a round. Where most ends were
// bad (late starts, full queues), it is what the observed rate finishes within
// the mean service time and half an aim; where few were, it grows.
// Guards against full queues in which everything is late under overload.
func (b *Balancer) judge(bad float64) {
	b.ends++
	b.bad += bad
	if b.ends < roundEnds || b.now-b.round < roundLeast ||
		!b.s.TellsStart && b.ended > 0 && b.now-b.round < seconds(b.delays/float64(b.ended)) {
		return
	}
	up := 1.0
	for _, m := range b.splits[0].m {
		if b.now >= m.w.shunned && !b.hung(m.w) {
			up++
		}
	}
	// Where a cancel drops no waiting work, copies make the jam they flee from.
	if share := b.bad / float64(b.ends); share > copyBad {
		b.copyRate = max(copyFew, b.copyRate*copyCut)
	} else if share < copyBad/2 {
		b.copyRate = min(copyMost, b.copyRate*limitGrow)
	}
	if share := b.bad / float64(b.ends); share > badMost && b.delays > b.inTime {
		least := max(1, limitLeast*up/float64(b.s.Balancers))
		if !b.s.TellsStart { // waits are guessed: go down with care
			least = max(least, b.good*up, limitCut*min(b.limit, float64(b.busy+1)))
		}
		b.limit = min(b.limit, max(least, b.rate*b.inTime/float64(b.ended)))
	} else if share < badFew {
		// What a worker bore while all was well it bears when it is slow, too.
		b.good += (float64(b.busy)/up - b.good) * goodNew
		if float64(b.peak) > 0.7*b.limit {
			b.limit = max(b.limit*limitGrow, b.limit+1)
		}
	}
	b.bad, b.ends, b.ended, b.inTime, b.delays, b.round, b.peak = 0, 0, 0, 0, 0, b.now, b.busy
}

// admit says whether a request may be sent now.
func (b *Balancer) admit(r *request) bool {
	limit := b.limit
	if b.alone() {
		return true
	}
	if r.value >= worthMore*b.usualValue { // little of this should be turned away
		limit *= 2
	}
	return float64(b.busy) < limit || r.counted
}

// hold keeps a request until there is room or its patience ends.
func (b *Balancer) hold(r *request) {
	r.held = true
	i, _ := slices.BinarySearchFunc(b.held, r, func(have, r *request) int {
		if have.value >= r.value {
			return -1
		}
		return 1
	})
	b.held = slices.Insert(b.held, i, r)
	b.wakeHeld()
}

func (b *Balancer) wakeHeld() {
	if !b.holding && len(b.held) > 0 {
		b.holding = true
		b.after(holdStep, 0, timerHeld)
	}
}

// release sends what is held while there is room, and answers what has waited
// too long.
func (b *Balancer) release() {
	if len(b.held) == 0 {
		return
	}
	keep := b.held[:0]
	room := true
	for _, r := range b.held {
		r.held = false
		switch {
		case r.answered:
			b.drop(r)
		case b.now >= r.patience:
			b.next(r)
		case room && b.admit(r) && b.tryOn(r):
		default:
			room = room && (b.known() || b.admit(r) && len(r.attempts) > 0)
			r.held = true
			keep = append(keep, r)
		}
	}
	clear(b.held[len(keep):])
	b.held = keep
	b.wakeHeld()
}
