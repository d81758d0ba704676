package yardwharf

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// This file is the split: a share x for each worker, moved by equation (3) of the paper.

const (
	stepSize     = 0.1             // the paper's a, in mean shares: f too high by 1 costs this part of one
	firstSamples = 10              // L(0): completions of every worker before the first step
	moreSamples  = 10              // L(n) - L(n-1)
	floor        = 0.15            // least share, in mean shares: keeps every worker sampled
	mostSamples  = 40              // L grows no further, so that the split keeps tracking load
	stepWait     = 2 * time.Second // a step is taken after this even if samples lack
	prior        = 8               // samples that the kind's mean counts for in a thin estimate
	mostSample   = 4               // mean delays a sample counts at most: shares outlast a cut link
	mostF        = 1               // f is clipped to the mean plus this: one loss empties no share
	crossF       = 4               // what a crossing's price adds to f, in mean service times
	kindSamples  = 30              // samples of a kind's mean delay that may be its shortest of late
	meanMemory   = 200             // completions that a class's mean delay remembers
	baseDrift    = 1.08            // growth of the shortest mean with each new one: it forgets
)

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
	if !first && sp.atFloor && len(sp.m) > 0 {
		x = sp.floorShare()
	} else if !first && len(sp.m) > 0 {
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
		sp.move(in, 1/float64(len(sp.m)), mostF)
		sp.scale()
	}
	sp.nextStep()
}

// nextStep starts the next, longer wait for samples.
func (sp *split) nextStep() {
	sp.need = min(sp.need+sp.moreNeed, sp.mostNeed)
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
func (sp *split) move(in []*member, share, mostF float64) {
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
			out := m.x-sp.stepSize*share*(m.f-mean) < sp.floor*share
			if out {
				m.x = sp.floor * share
			}
			return out
		})
	}
	for _, m := range in {
		m.x -= sp.stepSize * share * (m.f - mean)
	}
}

// sample books an attempt into the split, in units of its class's mean delay, so
// that a mix of short and long jobs does not pass for slow and fast workers.
func (b *Balancer) sample(r *request, a *attempt, m *member, completed bool) {
	if b.s.Split.ShortestService {
		b.sampleShortest(r, a, m, completed)
		return
	}
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
	if r.split.lacking <= 0 || b.now-r.split.stepped >= r.split.stepWait {
		b.suit()
		r.split.stepped = b.now
		r.split.step(b)
	}
}
