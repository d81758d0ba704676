package yardwharf

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file applies the worker list: which workers exist, and which splits each belongs
// to. A split holds the workers of one kind in one pool. Pool 0 contains all workers;
// the list names the other pools of each worker, and only pools that requests have
// asked for get splits.

const (
	homeFactor                 = 3                      // a home has this many times the workers per dispatcher
	minDiscoveryTurn           = 50 * time.Millisecond  // least length of a turn of discovery calls
	discoveryTurnPerDispatcher = 80 * time.Millisecond  // length of a turn per dispatcher
	discoveryCallTime          = 2 * time.Second        // time that one call may take
	minDiscoveryBackoff        = 500 * time.Millisecond // wait after the first failed call; doubles
	// updateDeadline is the time within which a change must reach a dispatcher once discovery has
	// it and can be reached, whatever became of calls and watches before (the operators'
	// acceptance criterion).
	updateDeadline = 6 * time.Second
)

// Members applies a worker list or changes to it.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Member) {
	b.now = now
	defer b.arm()
	if kind == ListFailed {
		if b.watching { // all dispatchers may have lost theirs at the same time
			b.askStarted = b.now
		}
		b.watching, b.asking = false, !b.s.AskDiscovery
		b.failures++
		b.startTimer(b.discoveryRetryDelay(), 0, timerDiscovery)
		return
	}
	if kind != ListCached && kind != ListLocal { // a list also comes without a call, when the host moves the watch
		b.watching, b.asking, b.failures, b.newsDue = true, false, 0, 0
	}
	first := len(b.workers) == 0
	b.applyList(kind, list, first)
	if first && b.s.Peers && b.s.Balancers > 1 {
		b.lastHeard = make([]time.Duration, 2*b.s.Balancers)
		b.startTimer(b.jitter(minPeerInterval), 0, timerPeers)
	}
	if first && b.s.probesForSlots() {
		b.probeAll()
	}
	if kind == ListCached && b.s.AskDiscovery {
		offset := (float64(b.s.Me%b.s.Balancers) + b.rng.Float64()) / float64(b.s.Balancers)
		b.startTimer(seconds(offset*b.discoveryTurn().Seconds()), 0, timerDiscovery)
	}
}

// WatchSilent reports that the watch went silent and counts as lost, and that the changes it misses
// are due within timeLeft. The silence may concern this dispatcher alone or all of them at once, so
// the next discovery call is placed at random within the turn that is left.
func (b *Balancer) WatchSilent(now, timeLeft time.Duration) {
	b.now = now
	defer b.arm()
	b.watching, b.asking, b.newsDue = false, !b.s.AskDiscovery, now+timeLeft
	b.startTimer(time.Duration(b.rng.Float64()*float64(b.discoveryTurn())), 0, timerDiscovery)
}

// WatchMoved reports that the host requests the list from another source, and that the changes
// known there are due within timeLeft. Failed calls are repeated within that time.
func (b *Balancer) WatchMoved(now, timeLeft time.Duration) {
	b.now = now
	b.newsDue, b.askStarted = now+timeLeft, now
}

// discoveryRetryDelay returns the wait after a failed call or an ended watch. From the start of
// one call to the start of the next it is at most one turn of all dispatchers, so that each turn
// in which discovery can be reached has a call, and the call may use the time that is left until
// changes are due. Every dispatcher must call once within that time, so with n of them any rule
// needs at least n calls; this one spreads them at random over the turn and makes 1.5 times as
// many if all fail. Time that a call spent waiting at discovery counts towards the delay.
func (b *Balancer) discoveryRetryDelay() time.Duration {
	turn := b.discoveryTurn()
	maxWait := max(turn, min(b.s.AskWithin, updateDeadline)-discoveryCallTime)
	if b.now < b.newsDue {
		maxWait = max(turn, minDiscoveryBackoff)
	}
	wait := b.jitter(min(max(minDiscoveryBackoff, turn)<<min(b.failures-1, 10), maxWait))
	return max(wait-(b.now-b.askStarted), b.jitter(minDiscoveryBackoff))
}

// discoveryTurn returns the time in which each dispatcher calls discovery once, in the order of
// their numbers if all start at the same time. It is bounded by the time until changes are due,
// less the time that one call may take: AskWithin after the start, less after a failed call, an
// ended watch, or when the host set a deadline. Discovery serves one call at a time, including
// calls that were given up. Guards against calls and retries of all dispatchers that keep it
// overloaded, so that it serves none, and against a turn that takes a dispatcher longer than it
// may be without updates.
func (b *Balancer) discoveryTurn() time.Duration {
	left := b.s.AskWithin
	if b.failures > 0 {
		left = min(left, updateDeadline)
	}
	if b.now < b.newsDue {
		left = b.newsDue - b.now
	}
	return max(minDiscoveryTurn, min(discoveryTurnPerDispatcher*time.Duration(b.s.Balancers), left-discoveryCallTime))
}

// jitter returns a random time between half of d and d.
func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d/2))
}

// subscribe calls Watch unless a call is in progress or a watch is active.
func (b *Balancer) subscribe() {
	if !b.watching && !b.asking {
		b.asking, b.askStarted = true, b.now
		b.do.Watch()
	}
}

// applyMember applies one entry of a worker list.
func (b *Balancer) applyMember(m *Member, first bool) {
	w, known := b.byID[m.ID]
	if !known {
		w = &worker{id: m.ID, slotLimit: b.initialWindow(m), pace: 1}
		b.byID[m.ID] = w
		b.workers = append(b.workers, w)
		b.goneCount++
	}
	w.listed = true
	b.updateAttributes(w, m)
	if m.Started != w.started {
		if known { // its zone can reach discovery again, too
			w.resetAfterRestart(b.initialSlotLimit(w.kind))
			b.silentFraction[w.zone] = 0
		}
		w.started, w.coldSince = m.Started, m.Started
		w.coldRefilled, w.coldTokens = b.now, b.rng.Float64()
	}
	b.setState(w, m.State, m.Pools, first)
	if m.ReinstatedAt > w.putBack {
		w.putBack = m.ReinstatedAt
		b.awaitingFirstSend = append(b.awaitingFirstSend, w)
	}
}

// reinstatedMember returns the member of a worker that operators have returned to service and that has
// been sent nothing since, if the request may be repeated elsewhere; nil if there is none. Guards
// against a worker in another zone that gets no message until all others are full.
func (b *Balancer) reinstatedMember(r *request) *member {
	if len(b.awaitingFirstSend) == 0 || r.class.Effect != Safe {
		return nil
	}
	b.awaitingFirstSend = slices.DeleteFunc(b.awaitingFirstSend, func(w *worker) bool { return w.state == Gone })
	for i, w := range b.awaitingFirstSend {
		if m := w.memberIn(r.split); m != nil && b.eligible(w) && !r.tried(w) {
			b.awaitingFirstSend = slices.Delete(b.awaitingFirstSend, i, i+1)
			return m
		}
	}
	return nil
}

func newSplit(kind, pool int, s *SplitSettings) *split {
	return &split{kind: kind, pool: pool, samplesNeeded: cmp.Or(s.FirstSamples, defaultFirstSamples), base: map[int]float64{},
		stepSize: cmp.Or(s.Step, defaultStepSize), floor: cmp.Or(s.Floor, defaultFloor), stepWait: cmp.Or(s.StepWait, defaultStepWait),
		sampleIncrement: cmp.Or(s.MoreSamples, defaultMoreSamples), maxSamples: cmp.Or(s.MostSamples, defaultMostSamples), newcomersAtFloor: s.NewcomersAtFloor}
}

// applyList applies a list, or changes to one. A change costs time in proportion to its entries.
func (b *Balancer) applyList(kind ListKind, list []Member, first bool) {
	complete := kind != ListDelta && kind != ListLocal
	for _, w := range b.workers {
		if !complete {
			break
		}
		w.listed = false
	}
	for i := range list {
		b.applyMember(&list[i], first)
	}
	for _, w := range b.workers {
		if !complete {
			break
		}
		if !w.listed && w.state != Gone {
			b.setState(w, Gone, nil, false)
		}
	}
	for _, sp := range b.splits {
		sp.refresh(&b.s)
	}
	for pool, splits := range b.pools { // independent of the order
		empty := true
		for _, sp := range splits {
			sp.refresh(&b.s)
			empty = empty && len(sp.members) == 0
		}
		if empty { // its number may never be used again
			delete(b.pools, pool)
		}
	}
	if b.s.Peers {
		b.listFingerprint = fingerprint(b.splits[0].members)
	}
	b.forgetGone()
}

// refresh updates the shares and the home of a split after changes of its members.
func (sp *split) refresh(s *Settings) {
	if !sp.membersChanged {
		return
	}
	sp.membersChanged = false
	if sp.cumulativeStale && len(sp.members) > 0 {
		sp.scale()
	}
	sp.findHome(s)
}

// memberIn returns the worker's member in a split; nil if the worker is not in it.
func (w *worker) memberIn(sp *split) *member {
	for _, m := range w.memberships {
		if m.split == sp {
			return m
		}
	}
	return nil
}

// updateAttributes sets the zone, cell, kind and hinted size of a worker. A new size scales its
// shares in proportion; later steps start from there.
func (b *Balancer) updateAttributes(w *worker, m *Member) {
	size := 1.0
	if b.s.Hint == HintSize && m.CapacityHint > 0 && m.CapacityHint < 1e10 {
		size = m.CapacityHint
	}
	for _, share := range w.memberships {
		if share.split.membersChanged = share.split.membersChanged || size != w.size || m.Zone != w.zone; size != w.size {
			share.share *= size / w.size
			share.split.cumulativeStale = true
		}
	}
	w.zone, w.cell, w.kind, w.size = m.Zone, m.Cell, m.Kind, size
}

// setState sets a listed state: ready workers are in their splits, others in none.
func (b *Balancer) setState(w *worker, s WorkerState, pools []int, first bool) {
	switch isGone, wasGone := s == Gone, w.state == Gone; {
	case isGone && !wasGone:
		b.goneCount++
	case wasGone && !isGone:
		b.goneCount--
	}
	w.state, w.pools = s, pools
	for i := len(w.memberships) - 1; i >= 0; i-- {
		if sp := w.memberships[i].split; s != Ready || !w.belongsTo(sp) {
			sp.leave(w)
		}
	}
	if s != Ready {
		return
	}
	for _, sp := range b.splits {
		if w.belongsTo(sp) {
			sp.join(w, first)
		}
	}
	for _, pool := range pools {
		for _, sp := range b.pools[pool] {
			if w.belongsTo(sp) {
				sp.join(w, first)
			}
		}
	}
}

// belongsTo reports whether a worker's kind and pools match a split.
func (w *worker) belongsTo(sp *split) bool {
	return (sp.kind < 0 || sp.kind == w.kind) && (sp.pool == 0 || slices.Contains(w.pools, sp.pool))
}

// splitFor returns the split for a class's requests in a pool, and creates it if needed.
func (b *Balancer) splitFor(class, pool int) *split {
	if pool == 0 {
		return b.splitByClass[class]
	}
	kind := b.s.Classes[class].Kind
	for _, sp := range b.pools[pool] {
		if sp.kind == kind {
			return sp
		}
	}
	sp := newSplit(kind, pool, &b.s.Split)
	for _, w := range b.workers {
		if w.state == Ready && w.belongsTo(sp) {
			sp.join(w, true)
		}
	}
	sp.refresh(&b.s)
	b.pools[pool] = append(b.pools[pool], sp)
	return sp
}

// maxGoneWorkers is the number of gone workers that are kept; half of the number of all
// workers is added to it.
const maxGoneWorkers = 64

// forgetGone removes gone workers once there are too many. Guards against unbounded growth
// by ids that are never used again.
func (b *Balancer) forgetGone() {
	if b.goneCount <= maxGoneWorkers+len(b.workers)/2 {
		return
	}
	b.workers = slices.DeleteFunc(b.workers, func(w *worker) bool {
		if w.state != Gone || w.out > 0 {
			return false
		}
		delete(b.byID, w.id)
		b.goneCount--
		return true
	})
}

// resetAfterRestart discards what was learned about a worker's previous process. Guards against
// failures before the restart that keep the worker out while it serves again.
func (w *worker) resetAfterRestart(room float64) {
	w.excludedUntil, w.fullsInRow, w.strikes, w.errorFraction, w.slotLimit, w.pace = 0, 0, 0, 0, room, 1
}

// findHome picks the home: the workers of the own zone that this dispatcher prefers. Homes are of
// even size and spread over the zone without coordination between dispatchers. Guards against many
// dispatchers that all send to all workers and each see too few results per worker.
func (sp *split) findHome(s *Settings) {
	sp.home, sp.far = sp.home[:0], sp.far[:0]
	for _, m := range sp.members {
		if s.TellsStart && m.w.zone == s.Zone { // its slot limit is learned from reported starts
			sp.home = append(sp.home, m)
		} else {
			sp.far = append(sp.far, m)
		}
	}
	sp.near = append(sp.near[:0], sp.home...)
	n := len(sp.home)
	_, offset := math.Modf(float64(s.Me) * math.Phi)
	size := min(n, (homeFactor*len(sp.members)+s.Balancers-1)/s.Balancers)
	sp.home = append(sp.home, sp.home...)[int(offset*float64(n)):][:size]
}
