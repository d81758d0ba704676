package yardwharf

// This file estimates delays where workers do not tell when a job starts: the mean
// service time 1/mu of a worker is taken to be its shortest send-to-finish time of
// the step, and D is its mean send-to-finish time.

const shortestMostF = 2 // f is clipped to the mean plus this

// floorShare is what a newcomer gets beside the shares that are there, so that it has
// q_min once all are scaled: taken from the others pro rata.
func (sp *split) floorShare() float64 {
	total := 0.0
	for _, m := range sp.m {
		total += m.x
	}
	least := sp.floor / float64(len(sp.m)+1)
	return total * least / (1 - least)
}

// sampleShortest books the end of an attempt. One that was lost counts at its time-out.
func (b *Balancer) sampleShortest(r *request, a *attempt, m *member, completed bool) {
	delay := max(0, (b.now - a.sent).Seconds())
	if completed {
		if m.done == 0 || delay < m.least {
			m.least = delay
		}
	} else {
		delay = max(delay, r.class.Deadline.Seconds())
	}
	sp := r.split
	sp.sample(m, delay, 0, completed)
	if sp.lacking <= 0 || b.now-sp.stepped >= sp.stepWait {
		sp.stepped = b.now
		sp.stepByShortest(b)
	}
}

// stepByShortest moves the shares by equation (3). Each f is divided by the mean of
// the service times of all workers. Workers without a completion in this step keep
// their shares.
func (sp *split) stepByShortest(b *Balancer) {
	mean, moved := 0.0, make([]*member, 0, len(sp.m))
	for _, m := range sp.m {
		if m.done > 0 && m.least > 0 {
			mean += m.least
			moved = append(moved, m)
		}
	}
	if len(moved) > 1 {
		mean /= float64(len(moved))
		for _, m := range moved {
			m.f = marginal(max(m.delay/float64(m.n), m.least), m.least) / mean
			if m.w.zone != b.s.Zone {
				m.f += crossF * b.s.CrossZonePrice
			}
		}
		sp.move(moved, 1/float64(len(sp.m)), shortestMostF)
		sp.scale()
	}
	sp.nextStep()
}

// Share is a worker's part of the draws; 0 where it gets none.
func (b *Balancer) Share(id WorkerID) float64 {
	sp := b.splits[0]
	w := b.byID[id]
	if w == nil {
		return 0
	}
	m := w.at(sp)
	if m == nil {
		return 0
	}
	sp.addUp()
	return m.x / sp.total
}
