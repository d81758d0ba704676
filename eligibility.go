package yardwharf

import (
	"math"
	"time"
)

// This file decides which workers are eligible for a draw now.

const (
	zoneLostThreshold  = 0.7                    // silent fraction at which a zone counts as cut off
	zoneAlpha          = 0.2                    // EWMA weight of one attempt in that fraction
	zoneProbeAlpha     = 0.4                    // EWMA weight of one probe in that fraction
	zoneProbeInterval  = time.Second            // interval between rounds of probes into a zone
	maxZoneProbes      = 3                      // probes in such a round
	lostZoneTrickle    = 0.05                   // fraction of its draws that a zone cut off still gets
	paceTimeConstant   = 10 * time.Second       // time constant of a pace's return to 1 without runs
	slowPace           = 2                      // pace from which a worker gets fewer draws
	paceThinExponent   = 2                      // its draws fall with this power of its pace
	errorAlpha         = 0.3                    // EWMA weight of one attempt in a worker's error fraction
	maxErrorFraction   = 0.5                    // above this, as after two errors in a row, it is excluded
	doubtDuration      = 20 * time.Second       // how long unsafe requests avoid a worker that failed
	coldBudgetFraction = 0.5                    // of the cold budget; the rest covers skew and chance
	minColdJobs        = 1                      // least cold budget of all dispatchers, per OverloadFor
	minFullPause       = 50 * time.Millisecond  // pause of a worker with a full queue; doubles each time
	maxFullDoublings   = 5                      // most doublings of that pause
	minStrikePause     = time.Second            // pause of a worker after a silent end; doubles each time
	maxStrikePause     = 8 * time.Second        // upper bound of that pause
	minSilence         = 250 * time.Millisecond // a worker that starts nothing for this long may hang
	silenceAimFactor   = 1                      // or for this multiple of the shortest aim
)

// eligible reports whether a worker may be drawn now. A zone in which nearly all recent attempts
// ended in silence gets probes, or a trickle of draws where there are no probes. Guards against
// a cut link, which would otherwise have to be found worker by worker.
func (b *Balancer) eligible(w *worker) bool {
	return w.state == Ready && b.now >= w.excludedUntil && b.zoneEligible(w.zone) && !b.hung(w) &&
		b.coldEligible(w) && b.paceEligible(w) &&
		(b.silentFraction[w.zone] < zoneLostThreshold || !b.s.Probes && b.rng.Float64() < lostZoneTrickle)
}

// silenceLimit is how long a worker with own jobs waiting may go without a start or an end.
func silenceLimit(s *Settings, c Class) time.Duration {
	if s.TellsStart {
		return max(minSilence, silenceAimFactor*c.Aim)
	}
	return c.Deadline / 2
}

// hung reports whether a worker has shown no sign of life for too long while jobs wait there.
// Guards against workers that accept jobs and answer none.
func (b *Balancer) hung(w *worker) bool {
	return w.waiting > 0 && b.now-w.lastProgress > b.silenceLimit
}

// paceEligible reduces the draws of a slow worker.
func (b *Balancer) paceEligible(w *worker) bool {
	p := b.pace(w)
	return p <= slowPace || b.rng.Float64() < math.Pow(slowPace/p, paceThinExponent)
}

// pace is how much longer than usual jobs have recently run at a worker, including those that
// are still running. Guards against a worker that has become slow: its shares move only by
// steps, and its running jobs show it before they end.
func (b *Balancer) pace(w *worker) float64 {
	p := 1 + (w.pace-1)*math.Exp(-(b.now-w.paceUpdated).Seconds()/paceTimeConstant.Seconds())
	if w.running > 0 && w.usualSum > 0 {
		p = max(p, (float64(w.running)*b.now.Seconds()-w.startSum)/w.usualSum)
	}
	return p
}

// belowShare reports whether a worker has less than its share of the load that this dispatcher
// knows of. Guards against random draws that queue on busy workers.
func (b *Balancer) belowShare(m *member) bool {
	return m.w.usedSlots() < m.share*(b.totalLoad()+1)
}

// warmth is the least fraction of its capacity that a worker has at its age.
func (b *Balancer) warmth(w *worker) float64 {
	if w.coldSince <= 0 || b.now-w.coldSince >= b.s.WarmUp {
		return 1
	}
	age := max(0, float64(b.now-w.coldSince)/float64(b.s.WarmUp))
	return b.s.StartCapacity + (1-b.s.StartCapacity)*age
}

// coldEligible limits this dispatcher to its part of what a cold worker can take now, whatever
// else is ineligible: a multiple of what workers can carry at its warmth, estimated from what
// they carry and how utilized they report to be. Guards against all dispatchers together
// overloading a cold worker.
func (b *Balancer) coldEligible(w *worker) bool {
	c := b.warmth(w)
	if c >= 1 {
		return true
	}
	part := max(b.coldBudget(w, c),
		minColdJobs/b.s.OverloadFor.Seconds()/float64(b.s.Balancers)) / b.processes
	depth := max(1, part*b.s.OverloadFor.Seconds())
	w.coldTokens = min(depth, w.coldTokens+part*(b.now-w.coldRefilled).Seconds())
	w.coldRefilled = b.now
	return w.coldTokens >= 1
}

// updateHealth excludes a worker after a sign that it cannot serve: briefly after a full queue,
// for a doubling pause after silence or errors.
func (b *Balancer) updateHealth(w *worker, st Status, sent, elapsed time.Duration) {
	switch st {
	case Full:
		b.countZoneEnd(w.zone, false)
		w.fullsInRow++
		w.excludedUntil = max(w.excludedUntil, b.now+b.jitter(b.fullPause(w)))
	case ConnectFailed, Timeout:
		if st == Timeout && w.lastProgress > sent { // other jobs have made progress: only this one is slow
			return
		}
		b.strike(w)
		if st == ConnectFailed && elapsed < b.s.DialTimeout*4/5 { // refused, so its machine is up
			return
		}
		b.silentFraction[w.zone] += zoneAlpha * (1 - b.silentFraction[w.zone])
		b.countZoneEnd(w.zone, true)
		b.probeZoneWorkers(w.zone)
	case Error, Reset: // a single one may be the fault of the job or the connection
		w.doubtfulUntil = b.now + doubtDuration
		if w.errorFraction += errorAlpha * (1 - w.errorFraction); w.errorFraction > maxErrorFraction {
			b.strike(w)
		}
	case OK:
		b.countZoneEnd(w.zone, false)
		if sent < w.lastStrike { // sent before the last strike: says nothing about now
			return
		}
		// A worker back from silence is cold, also before the worker list says so.
		if w.strikes > 1 && w.errorFraction < maxErrorFraction {
			w.coldSince, w.coldRefilled, w.coldTokens = b.now, b.now, b.rng.Float64()
		}
		w.strikes, w.fullsInRow, w.excludedUntil = 0, 0, 0
		w.errorFraction -= errorAlpha * w.errorFraction
		b.silentFraction[w.zone] -= zoneAlpha * b.silentFraction[w.zone]
	}
}

// probeZoneWorkers probes a few workers of a zone in which one was silent, and one per interval in a
// zone that counts as cut off, to notice its return. Guards against a cut link that each
// dispatcher finds worker by worker, with the jobs it loses there.
func (b *Balancer) probeZoneWorkers(zone int) {
	last, probed := b.lastZoneProbe[zone]
	if !b.s.Probes || probed && b.now < last+zoneProbeInterval {
		return
	}
	b.lastZoneProbe[zone] = b.now
	b.startTimer(b.jitter(2*zoneProbeInterval), 0, timerZoneProbe)
	n, count := maxZoneProbes, 0.0
	if b.silentFraction[zone] >= zoneLostThreshold {
		n = 1
	}
	var sample []*worker
	for _, m := range b.splits[0].members { // reservoir sampling: each is as likely as any other
		if w := m.w; w.zone == zone &&
			(b.silentFraction[zone] >= zoneLostThreshold || b.now >= w.excludedUntil) {
			if count++; len(sample) < n {
				sample = append(sample, w)
			} else if i := int(b.rng.Float64() * count); i < n {
				sample[i] = w
			}
		}
	}
	for _, w := range sample {
		b.do.Probe(w.id)
	}
}

// Probed handles the result of a probe, which shows whether a worker's machine can be reached.
func (b *Balancer) Probed(now time.Duration, id WorkerID, st Status, elapsed time.Duration, load []float32) {
	b.now = now
	defer b.arm()
	w := b.byID[id]
	if w != nil && st == OK {
		b.recordReport(w, load)
	}
	switch {
	case w == nil, st == Timeout, st == Cancelled, st == NotRun: // it may be busy, or was not probed
	case now-elapsed < w.started: // it was an earlier process
	case st == ConnectFailed && elapsed >= b.s.DialTimeout*4/5:
		b.strike(w)
		b.silentFraction[w.zone] += zoneProbeAlpha * (1 - b.silentFraction[w.zone])
		b.countZoneEnd(w.zone, true)
	default:
		b.silentFraction[w.zone] -= zoneProbeAlpha * b.silentFraction[w.zone]
		b.countZoneEnd(w.zone, false)
	}
}

// strike excludes a worker for a pause that doubles each time. Guards against workers that
// fail at once: they look idle and would draw ever more jobs.
func (b *Balancer) strike(w *worker) {
	w.strikes++
	w.lastStrike, w.doubtfulUntil = b.now, b.now+doubtDuration
	if b.s.Window.Enabled {
		b.pauseWithWindow(w)
		return
	}
	w.excludedUntil = max(w.excludedUntil,
		b.now+b.jitter(min(minStrikePause<<min(w.strikes-1, 10), maxStrikePause)))
}
