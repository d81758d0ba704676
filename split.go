package yardwharf

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file holds the split: a share for each worker, moved by equation (3) of the paper.

const (
	defaultStepSize     = 0.1             // the paper's a, in mean shares per unit of f
	defaultFirstSamples = 10              // L(0): samples of every worker before the first step
	defaultMoreSamples  = 10              // L(n) - L(n-1)
	defaultFloor        = 0.15            // least share, in mean shares: keeps every worker sampled
	defaultMostSamples  = 40              // upper bound of L, so that the split keeps tracking the load
	defaultStepWait     = 2 * time.Second // a step is taken after this time even if samples are missing
	priorSamples        = 8               // samples that the kind's mean counts for in an estimate
	maxSampleDelay      = 4               // cap of a sample, in mean delays: shares survive a cut link
	maxFAboveMean       = 1               // f is capped at the mean plus this: one loss empties no share
	crossZoneF          = 4               // what the cross-zone price adds to f, in mean service times
	minKindSamples      = 30              // samples of a kind before its mean delay counts as a baseline
	meanSamples         = 200             // completions that a class's mean delay covers
	baseDrift           = 1.08            // growth of the baseline with each new mean, so that old ones fade
)

// join adds a worker. Workers of the first list get shares by their size, if it is known; a
// later one gets the mean share for its size, as its draws are limited while it is cold.
func (sp *split) join(w *worker, first bool) {
	i, found := slices.BinarySearchFunc(sp.members, w.id, func(m *member, id WorkerID) int {
		return cmp.Compare(m.w.id, id)
	})
	if found {
		return
	}
	x := w.size
	if !first && sp.newcomersAtFloor && len(sp.members) > 0 {
		x = sp.floorShare()
	} else if !first && len(sp.members) > 0 {
		sizes := 0.0
		for _, m := range sp.members {
			sizes += m.w.size
		}
		x = w.size / sizes
	}
	m := &member{w: w, split: sp, share: x}
	sp.members = slices.Insert(sp.members, i, m)
	w.memberships = append(w.memberships, m)
	sp.undersampled++
	sp.cumulativeStale, sp.membersChanged = true, true
}

// leave removes a worker; its share is spread pro rata.
func (sp *split) leave(w *worker) {
	m := w.memberIn(sp)
	if m == nil {
		return
	}
	w.memberships = slices.DeleteFunc(w.memberships, func(o *member) bool { return o == m })
	if i := slices.Index(sp.members, m); i >= 0 {
		sp.members = slices.Delete(sp.members, i, i+1)
	}
	if m.samples < sp.samplesNeeded {
		sp.undersampled--
	}
	sp.membersChanged = true
	sp.scale()
}

// draw picks a member by the shares, or returns nil if there is none.
func (sp *split) draw(rng *rand.Rand) *member {
	if len(sp.members) == 0 {
		return nil
	}
	sp.sumShares()
	i, _ := slices.BinarySearch(sp.cumulative, rng.Float64()*sp.total)
	return sp.members[min(i, len(sp.members)-1)]
}

// marginalDelay is the marginal delay of one more job at a worker: equation (4) with c = 1 and
// beta = 1, without the square that is a misprint there.
func marginalDelay(delay, service float64) float64 {
	wait := delay - service
	return service + wait*wait/service + 2*wait
}

// step moves the shares by equation (3) and begins the next, longer sampling period. Each
// worker's times are blended with priorSamples samples of its kind's mean, so that a
// dispatcher with few requests can step on what it has.
func (sp *split) step(b *Balancer) {
	var all, kinds = &member{}, map[int]*member{}
	for _, m := range sp.members {
		k := kinds[m.w.kind]
		if k == nil {
			k = &member{}
			kinds[m.w.kind] = k
		}
		k.add(m)
		all.add(m)
	}
	if all.completed >= defaultFirstSamples && all.service > 0 {
		mean, moved := all.service/float64(all.completed), make([]*member, 0, len(sp.members))
		for kind, k := range kinds { // independent of each other, so in any order
			if base := k.delay / float64(max(1, k.samples)); k.samples >= minKindSamples {
				if sp.base[kind] *= baseDrift; sp.base[kind] == 0 || base < sp.base[kind] {
					sp.base[kind] = base
				}
			}
		}
		for _, m := range sp.members {
			k := kinds[m.w.kind]
			if k.completed == 0 {
				k = all
			}
			d := (m.delay + priorSamples*k.delay/float64(k.samples)) / float64(m.samples+priorSamples)
			t := (m.service + priorSamples*k.service/float64(k.completed)) / float64(m.completed+priorSamples)
			if base := sp.base[m.w.kind]; !b.s.TellsStart && base > 0 {
				t = base
			}
			m.f = marginalDelay(max(d, t), t) / mean
			if m.w.zone != b.s.Zone {
				m.f += crossZoneF * b.s.CrossZonePrice
			}
			if b.now >= m.w.excludedUntil { // a cut link must not move shares between its sides
				moved = append(moved, m)
			}
		}
		sp.moveShares(moved, 1/float64(len(sp.members)), maxFAboveMean)
		sp.scale()
	}
	sp.nextStep()
}

// nextStep begins the next, longer sampling period.
func (sp *split) nextStep() {
	sp.samplesNeeded = min(sp.samplesNeeded+sp.sampleIncrement, sp.maxSamples)
	sp.undersampled = len(sp.members)
	for _, m := range sp.members {
		*m = member{w: m.w, split: sp, share: m.share}
	}
}

// moveShares builds the set A and takes the step, scaled to the mean share. The paper adds members
// to A in ascending f, each against the mean of those below it; with that a member at the
// floor can never rise again, however idle. So A begins with all members and loses those that
// a step with the mean over A would take below the floor, until none is lost. Those get the
// floor: unchanged, as in the paper, they would keep a share that they are too slow for.
func (sp *split) moveShares(moved []*member, share, maxFAboveMean float64) {
	mean, total := 0.0, 0.0
	for _, m := range moved {
		total += m.f
	}
	for _, m := range moved {
		m.f = min(m.f, total/float64(len(moved))+maxFAboveMean)
	}
	for n := -1; n != len(moved); {
		n, total = len(moved), 0
		for _, m := range moved {
			total += m.f
		}
		mean = total / float64(max(1, n))
		moved = slices.DeleteFunc(moved, func(m *member) bool {
			belowFloor := m.share-sp.stepSize*share*(m.f-mean) < sp.floor*share
			if belowFloor {
				m.share = sp.floor * share
			}
			return belowFloor
		})
	}
	for _, m := range moved {
		m.share -= sp.stepSize * share * (m.f - mean)
	}
}

// recordSample adds an attempt to the split's samples, in units of its class's mean delay, so
// that a mix of short and long jobs does not look like slow and fast workers.
func (b *Balancer) recordSample(r *request, a *attempt, m *member, completed bool) {
	if b.s.Split.ShortestService {
		b.recordShortestSample(r, a, m, completed)
		return
	}
	c := &b.classes[r.Class]
	delay := max(0, (b.now - a.sent).Seconds())
	if completed {
		c.completions++
		c.mean += (delay - c.mean) / float64(min(c.completions, meanSamples))
	}
	unit := max(c.mean, 1e-6)
	if !b.s.TellsStart && c.base > 0 {
		unit = c.base
	}
	service := unit
	if a.hasStarted {
		service = max(0, (b.now - a.started).Seconds())
		if completed {
			c.service += (service - c.service) / float64(min(c.completions, meanSamples))
		}
	}
	if !completed && !a.hasStarted {
		delay += unit // it has waited this long and still had to run
	}
	warm := b.warmth(a.w) // so that a warming worker does not look slow
	r.split.sample(m, min(warm*delay/unit, maxSampleDelay), warm*service/unit, completed)
	if r.split.undersampled <= 0 || b.now-r.split.lastStep >= r.split.stepWait {
		b.updateAffinity()
		r.split.lastStep = b.now
		r.split.step(b)
	}
}
