package yardwharf

// This file estimates delays where workers do not report when a job starts: the mean
// service time 1/mu of a worker is taken to be its shortest send-to-finish time of
// the step, and D is its mean send-to-finish time.

const shortestMaxFAboveMean = 2 // f is capped at the mean plus this

// floorShare is the share with which a newcomer is added to the existing ones, so that it has
// q_min once all shares are scaled; the others give it up pro rata.
func (sp *split) floorShare() float64 {
	total := 0.0
	for _, m := range sp.members {
		total += m.share
	}
	least := sp.floor / float64(len(sp.members)+1)
	return total * least / (1 - least)
}

// recordShortestSample adds an attempt that has ended. A lost one counts with its class's
// deadline at least.
func (b *Balancer) recordShortestSample(r *request, a *attempt, m *member, completed bool) {
	delay := max(0, (b.now - a.sent).Seconds())
	if completed {
		if m.completed == 0 || delay < m.minDelay {
			m.minDelay = delay
		}
	} else {
		delay = max(delay, r.class.Deadline.Seconds())
	}
	sp := r.split
	sp.sample(m, delay, 0, completed)
	if sp.undersampled <= 0 || b.now-sp.lastStep >= sp.stepWait {
		sp.lastStep = b.now
		sp.stepByShortest(b)
	}
}

// stepByShortest moves the shares by equation (3). Each f is divided by the mean of
// the service times of all workers. Workers without a completion in this step keep
// their shares.
func (sp *split) stepByShortest(b *Balancer) {
	mean, moved := 0.0, make([]*member, 0, len(sp.members))
	for _, m := range sp.members {
		if m.completed > 0 && m.minDelay > 0 {
			mean += m.minDelay
			moved = append(moved, m)
		}
	}
	if len(moved) > 1 {
		mean /= float64(len(moved))
		for _, m := range moved {
			m.f = marginalDelay(max(m.delay/float64(m.samples), m.minDelay), m.minDelay) / mean
			if m.w.zone != b.s.Zone {
				m.f += crossZoneF * b.s.CrossZonePrice
			}
		}
		sp.moveShares(moved, 1/float64(len(sp.members)), shortestMaxFAboveMean)
		sp.scale()
	}
	sp.nextStep()
}

// Share is a worker's fraction of the draws; 0 if it gets none.
func (b *Balancer) Share(id WorkerID) float64 {
	sp := b.splits[0]
	w := b.byID[id]
	if w == nil {
		return 0
	}
	m := w.memberIn(sp)
	if m == nil {
		return 0
	}
	sp.sumShares()
	return m.share / sp.total
}
