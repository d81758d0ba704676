package yardwharf

import (
	"math"
	"slices"
	"time"
)

// This file tracks slots: how many jobs a worker can start at once, and how many of its slots
// are taken. Reports of free slots show how many slots a kind of worker has; starts and waits
// show where fewer of them are usable, for example because dispatchers that report nothing send
// jobs there, too. Where reports come with probes only, workers are probed in turn.

const (
	slotLimitIncrease        = 0.25                   // growth of the slot limit with a job that starts at once while all of it is in use
	slotLimitDecrease        = 0.25                   // its decrease with a job that waits
	initialSlotParts         = 2                      // initial slot limit without peers, in even parts of a worker's slots
	freeReportMaxAge         = 3 * time.Second        // age up to which a report of free slots counts: they come every 0.3 to 1.6 s
	guessedCopySlackFraction = 0.15                   // fraction of the slack after which a copy goes to slots that are only estimated to be free
	emptyRetryInterval       = 8 * time.Second        // interval at which an idle worker without usable slots gets a job
	maxSlots                 = 1024                   // reports of more slots are ignored
	fastProbeReports         = 24                     // number of reports up to which workers are probed as fast as possible
	minSlotSightings         = 3                      // sightings after which a number of slots is believed
	crossWaitFactor          = 2.0                    // wait for a home worker before a cross-zone send, relative to the price of crossing
	maxCrossWaitFraction     = 0.9                    // upper bound of that wait, as a fraction of the time that a request may be held
	maxProbeCost             = 0.003                  // fraction of a request's worth that probes may cost
	maxProbesPerRequest      = 2.0                    // upper bound of probes per request, whatever the price
	minProbeInterval         = 100 * time.Millisecond // least time between two probes of a dispatcher
	maxProbeInterval         = 2 * time.Second        // longest time between them
)

// adjustSlotLimit updates a worker's slot limit after a job has started there, at once or late.
func (w *worker) adjustSlotLimit(atOnce bool) {
	if !atOnce {
		w.slotLimit = max(0, w.slotLimit-slotLimitDecrease)
	} else if w.usedSlots()+1 > w.slotLimit {
		w.slotLimit += slotLimitIncrease
	}
}

// kindSlots is the number of slots of a kind of worker, as far as known.
type kindSlots struct {
	max       float64
	sightings map[float64]int // how often each larger number was seen
}

// recordSighting notes that a worker was seen to have n slots.
func (b *Balancer) recordSighting(kind int, n float64) {
	k := &b.slotsByKind[kind]
	if n <= k.max || n > maxSlots {
		return
	}
	if k.sightings == nil {
		k.sightings = map[float64]int{}
	}
	if k.sightings[n]++; k.sightings[n] >= minSlotSightings {
		b.raiseKindSlots(kind, n)
	}
}

// raiseKindSlots sets the number of slots of a kind of worker to n if it was lower.
func (b *Balancer) raiseKindSlots(kind int, n float64) {
	if k := &b.slotsByKind[kind]; n > k.max {
		*k = kindSlots{max: n}
		b.minSlots = n
		for _, o := range b.slotsByKind {
			b.minSlots = min(b.minSlots, max(1, o.max))
		}
		for _, o := range b.workers {
			if o.kind == kind {
				o.slotLimit = max(o.slotLimit, b.initialSlotLimit(kind))
			}
		}
	}
}

// usedSlots is how many slots at a worker own jobs use, and those that peers have told of.
func (w *worker) usedSlots() float64 { return w.load + float64(w.peerLoad) }

// remainingRun estimates how much longer a cancelled job holds its slots. Guards against slots
// that look free as soon as a client has gone away where that stops no work. Where it does, they
// count as free a little later than they are.
func (b *Balancer) remainingRun(r *request, a *attempt, st Status) time.Duration {
	if st != Cancelled || !b.slotsKnown() {
		return 0
	}
	run := seconds(b.classes[r.Class].service)
	if a.hasStarted {
		return run - (b.now - a.started)
	}
	return 0
}

// abandonedJob is a cancelled job that is assumed to run on.
type abandonedJob struct {
	w     *worker
	slots float64
}

// keepSlots counts slots as in use for a while longer.
func (b *Balancer) keepSlots(d time.Duration, w *worker, slots float64) {
	b.lastAbandoned++
	b.abandoned[b.lastAbandoned] = abandonedJob{w, slots}
	b.startTimer(d, b.lastAbandoned, timerAbandonedJob)
}

// releaseAbandoned frees slots that keepSlots has kept.
func (b *Balancer) releaseAbandoned(id RequestID) {
	if g, kept := b.abandoned[id]; kept {
		g.w.load -= g.slots
		b.load -= g.slots
		delete(b.abandoned, id)
	}
}

// mayCross reports whether a request may leave the zone yet. While a worker at home could serve
// it, it waits for a part of the time that it may be held: the longer, the more of its worth a
// crossing costs. Guards against crossings for requests that would have found free slots in a
// moment. Where the load of others is not known, a full home is an estimate, and waiting for it
// costs more than it saves.
func (b *Balancer) mayCross(r *request) bool {
	if !b.knowsAllLoad() || r.class.Worth <= 0 || b.s.CrossZonePrice <= 0 ||
		b.silentFraction[b.s.Zone] >= zoneLostThreshold || !b.zoneEligible(b.s.Zone) {
		return true
	}
	part := min(maxCrossWaitFraction, crossWaitFactor*b.s.CrossZonePrice*b.meanWorth/(r.class.Worth*max(r.tenantFactor, 0.01)))
	return float64(b.now-r.arrived) >= part*float64(r.holdUntil-r.arrived) ||
		!slices.ContainsFunc(r.split.near, func(m *member) bool { return b.now >= m.w.excludedUntil && !b.hung(m.w) })
}

// totalLoad is the load that this dispatcher knows of, over all workers.
func (b *Balancer) totalLoad() float64 {
	if b.lastHeard != nil && b.now != b.othersSummed {
		b.others, b.othersSummed = 0, b.now
		for _, m := range b.splits[0].members {
			b.others += m.w.peerLoad
		}
	}
	return b.load + float64(b.others)
}

// slotsKnown reports whether it is known where jobs start at once: reports have told how many
// slots workers have, and other dispatchers either tell what they use or leave this one a slot
// of each worker. Then nothing is sent where no slots are free: requests wait here instead, those
// of the highest value first. Without it, a dispatcher of a large fleet would rely on starts, of
// which it sees too few.
func (b *Balancer) slotsKnown() bool {
	return b.reportCount > 0 && (b.s.Peers || b.minSlots >= float64(b.s.Balancers))
}

// knowsAllLoad reports whether a dispatcher knows all jobs that are sent, so that free slots alone limit it.
func (b *Balancer) knowsAllLoad() bool { return b.slotsKnown() && (b.s.Peers || b.s.Balancers == 1) }

// usableSlots is how many of a worker's slots the jobs that this dispatcher knows of can use.
func (b *Balancer) usableSlots(w *worker) float64 {
	if b.slotsKnown() && w.kind >= 0 && w.kind < len(b.slotsByKind) && b.slotsByKind[w.kind].max > 0 {
		return min(b.slotsByKind[w.kind].max, w.slotLimit)
	}
	return w.slotLimit
}

// hasFreeSlots reports whether a job of so many slots would start at once at a worker. A worker
// on which no job is known gets one now and then in any case, as a job may need more slots than
// were ever seen free.
func (b *Balancer) hasFreeSlots(w *worker, slots float64) bool {
	return w.usedSlots()+slots <= b.usableSlots(w) || b.slotsKnown() && w.usedSlots() == 0 && b.now-w.lastSent >= emptyRetryInterval
}

// recordReport takes the free slots that a worker has reported. All workers of a kind have as many.
func (b *Balancer) recordReport(w *worker, load []float32) {
	free, told := b.reportValue(load, FieldFreeSlots)
	if told {
		w.freeReported, w.freeSlots = b.now, math.Round(free)
	}
	if free = math.Round(free); !told || free < 1 || free > maxSlots || w.kind < 0 || w.kind > math.MaxUint8 {
		return
	}
	b.reportCount++
	for len(b.slotsByKind) <= w.kind {
		b.slotsByKind = append(b.slotsByKind, kindSlots{})
	}
	b.raiseKindSlots(w.kind, free)
	if held, told := b.reportValue(load, FieldInflight); told {
		b.recordSighting(w.kind, math.Round(free+held))
	}
}

// guessedCopyTime is when a copy of a request may go to a worker whose free slots are only
// estimated: at once if workers never report them.
func (b *Balancer) guessedCopyTime(r *request) time.Duration {
	last := r.attempts[len(r.attempts)-1].sent
	if !slices.Contains(b.s.ReportFields, FieldFreeSlots) {
		return last
	}
	return last + max(2*minCopyDelay, time.Duration(guessedCopySlackFraction*float64(b.slack(r.Class))))
}

// mayCopyTo reports whether a copy may go to a worker yet: at once if it has reported a free slot
// and was sent nothing since, later also if it only seems to have one. Guards, where a cancel
// stops no work, against copies that wait as well: each is run in full for nobody.
func (b *Balancer) mayCopyTo(r *request, w *worker) bool {
	knownFree := w.freeReported > 0 && b.now-w.freeReported < freeReportMaxAge && w.freeSlots >= 1 && w.lastSent <= w.freeReported
	return knownFree || b.now >= b.guessedCopyTime(r)
}

// initialSlotLimit is a worker's slot limit before any job has started there.
func (b *Balancer) initialSlotLimit(kind int) float64 {
	if kind < 0 || kind >= len(b.slotsByKind) {
		return 1
	}
	if b.s.Peers {
		return max(1, b.slotsByKind[kind].max)
	}
	return max(1, min(1, initialSlotParts/float64(b.s.Balancers))*b.slotsByKind[kind].max)
}

// probesForSlots reports whether workers report free slots, and do so only when probed.
func (s *Settings) probesForSlots() bool {
	return s.TellsStart && s.Probes && !s.ReportsInReply && slices.Contains(s.ReportFields, FieldFreeSlots)
}

// probesPerRequest is how many probes are sent per request.
func (b *Balancer) probesPerRequest() float64 {
	if b.s.ProbePrice <= 0 {
		return maxProbesPerRequest
	}
	return min(maxProbesPerRequest, maxProbeCost/b.s.ProbePrice)
}

// probeAll probes each worker of the first list; from then on they are probed in turn.
func (b *Balancer) probeAll() {
	for _, w := range b.workers {
		if w.state == Ready {
			b.do.Probe(w.id)
		}
	}
	b.startTimer(b.jitter(minProbeInterval), 0, timerReportProbe)
}

// probeNext probes the next worker in turn.
func (b *Balancer) probeNext() {
	if list := b.splits[0].members; len(list) > 0 {
		b.probeTurn = (b.probeTurn + 1) % len(list)
		if w := list[b.probeTurn].w; b.now >= w.excludedUntil && !b.hung(w) {
			b.do.Probe(w.id)
		}
	}
	gap := minProbeInterval
	if b.reportCount >= fastProbeReports {
		gap = max(gap, min(maxProbeInterval, seconds(1/(b.probesPerRequest()*max(b.rate, 0.1)))))
	}
	b.startTimer(b.jitter(2*gap), 0, timerReportProbe)
}
