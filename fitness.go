package yardwharf

import (
	"math"
	"time"
)

// This file says which workers are fit to be drawn now.

const (
	zoneLost     = 0.7                    // a zone with this share of silent ends is taken for cut off
	zoneNew      = 0.2                    // weight of one end in that share
	zoneProbed   = 0.4                    // the same of a probe
	lookEvery    = time.Second            // probes into a zone are this far apart
	lookMost     = 3                      // and so many
	zoneTrickle  = 0.05                   // part of the draws that it still gets
	paceSpan     = 10 * time.Second       // in which a pace fades without runs
	paceSlow     = 2                      // usual runs that a slow worker takes for one
	paceThin     = 2                      // its draws fall with this power of its pace
	errorNew     = 0.3                    // weight of one end in a worker's part of errors
	errorMost    = 0.5                    // over this, two errors at once, it is shunned
	doubtFor     = 20 * time.Second       // after a failure, unsafe requests keep off for so long
	coldPart     = 0.5                    // of the cold budget that is spent; the rest is for skew and chance
	coldLeast    = 1                      // jobs in an overload's time: least budget, over all dispatchers
	fullPause    = 50 * time.Millisecond  // how long a full worker is not drawn; doubles
	fullMost     = 5                      // times at most
	strikePause  = time.Second            // the same after a silent end; doubles
	strikeMost   = 8 * time.Second        // and ends here
	silenceLeast = 250 * time.Millisecond // a worker that starts nothing for this long may hang
	silenceAims  = 1                      // or for this many times the shortest aim
)

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
		w.shunned = max(w.shunned, b.now+b.jitter(b.fullPause(w)))
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
	if b.s.Window.Enabled {
		b.pauseWithWindow(w)
		return
	}
	w.shunned = max(w.shunned, b.now+b.jitter(min(strikePause<<min(w.strikes-1, 10), strikeMost)))
}
