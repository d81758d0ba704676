package yardwharf

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// This file books what the worker list says: which workers there are, and which
// split each is in. A split holds the workers of one kind in one pool. Pool 0 is
// all workers; the others are told with each worker, and only those that requests
// have asked for get splits.

const (
	homeParts = 3                      // even parts of the workers in a home
	askSpread = 50 * time.Millisecond  // least spread of discovery calls
	askEach   = 80 * time.Millisecond  // of it for each dispatcher
	askTakes  = 2 * time.Second        // that a call itself may take
	askFirst  = 500 * time.Millisecond // wait after the first failed call; doubles
	// toldWithin is when a change counts as told after discovery had it and could be reached,
	// whatever has become of calls and watches (the operators' final acceptance).
	toldWithin = 6 * time.Second
)

// Members takes a worker list or changes to it.
func (b *Balancer) Members(now time.Duration, kind ListKind, list []Member) {
	b.now = now
	defer b.arm()
	if kind == ListFailed {
		if b.watching { // all may have lost theirs in one moment
			b.asked = b.now
		}
		b.watching, b.asking = false, !b.s.AskDiscovery
		b.failures++
		b.after(b.askAgain(), 0, timerAsk)
		return
	}
	if kind != ListCached && kind != ListOwn { // a list also comes unasked, where the host moves the watch
		b.watching, b.asking, b.failures, b.due = true, false, 0, 0
	}
	first := len(b.workers) == 0
	b.learn(kind, list, first)
	if first && b.s.Peers && b.s.Balancers > 1 {
		b.heard = make([]time.Duration, 2*b.s.Balancers)
		b.after(b.jitter(tellLeast), 0, timerTell)
	}
	if first && b.s.asks() {
		b.askAll()
	}
	if kind == ListCached && b.s.AskDiscovery {
		at := (float64(b.s.Me%b.s.Balancers) + b.rng.Float64()) / float64(b.s.Balancers)
		b.after(seconds(at*b.askTurn().Seconds()), 0, timerAsk)
	}
}

// Silent says that the watch has fallen silent, so that it is none, and that what it
// misses counts as told when so much time is over. It may be this one's alone or that of
// all dispatchers in one moment: discovery is asked anywhere in the turn that is left.
func (b *Balancer) Silent(now, left time.Duration) {
	b.now = now
	defer b.arm()
	b.watching, b.asking, b.due = false, !b.s.AskDiscovery, now+left
	b.after(time.Duration(b.rng.Float64()*float64(b.askTurn())), 0, timerAsk)
}

// Moved says that the host asks for the list elsewhere, and that what is to be heard
// there counts as told when so much time is over. Calls that fail are repeated in it.
func (b *Balancer) Moved(now, left time.Duration) {
	b.now = now
	b.due, b.asked = now+left, now
}

// askAgain is how long to wait after a call that has failed, or a watch that was ended. From the
// start of one call to that of the next it is a turn of all dispatchers at the most, so that a
// call begins in each turn in which discovery can be reached, and takes what is left of the time
// until news counts as told. Each has to call once in that time: with n of them no rule has fewer
// calls than n in it, and this one has them spread over the turn by chance, 1.5 times as many
// where all fail. A call that discovery has let wait is not waited for again.
func (b *Balancer) askAgain() time.Duration {
	turn := b.askTurn()
	most := max(turn, min(b.s.AskWithin, toldWithin)-askTakes)
	if b.now < b.due {
		most = max(turn, askFirst)
	}
	wait := b.jitter(min(max(askFirst, turn)<<min(b.failures-1, 10), most))
	return max(wait-(b.now-b.asked), b.jitter(askFirst))
}

// askTurn is the time in which each dispatcher calls discovery once, in the order
// of their numbers where all start at once. It is what is left until news counts as told,
// heard or not, but for what a call itself may take: that is the longest time between calls
// after the start, less where a call has failed or discovery has ended the watch, or where the
// host has said so. Discovery works off a call at a time, also one that has been given up: guards against
// calls and repeats of all dispatchers that keep it overbooked for good, so that it serves
// none, and against one that takes its turn among all for longer than it may be without news.
func (b *Balancer) askTurn() time.Duration {
	left := b.s.AskWithin
	if b.failures > 0 {
		left = min(left, toldWithin)
	}
	if b.now < b.due {
		left = b.due - b.now
	}
	return max(askSpread, min(askEach*time.Duration(b.s.Balancers), left-askTakes))
}

func (b *Balancer) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(b.rng.Float64()*float64(d/2))
}

// ask subscribes to the list, if no call is out and no watch stands.
func (b *Balancer) ask() {
	if !b.watching && !b.asking {
		b.asking, b.asked = true, b.now
		b.do.Watch()
	}
}

func (b *Balancer) member(m *Member, first bool) {
	w, known := b.byID[m.ID]
	if !known {
		w = &worker{id: m.ID, room: b.firstWindow(m), pace: 1}
		b.byID[m.ID] = w
		b.workers = append(b.workers, w)
		b.gone++
	}
	w.seen = true
	b.place(w, m)
	if m.Started != w.started {
		if known { // its zone answers discovery again, too
			w.renew(b.firstRoom(w.kind))
			b.lost[w.zone] = 0
		}
		w.started, w.coldSince = m.Started, m.Started
		w.refilled, w.tokens = b.now, b.rng.Float64()
	}
	b.setState(w, m.State, m.Pools, first)
	if m.PutBack > w.putBack {
		w.putBack = m.PutBack
		b.owed = append(b.owed, w)
	}
}

// returned is the place of a worker that operators have put back and that has had
// nothing since, for a message that may be repeated elsewhere. Guards against one
// of another zone that waits for its first message until no other has room.
func (b *Balancer) returned(r *request) *member {
	if len(b.owed) == 0 || r.class.Effect != Safe {
		return nil
	}
	b.owed = slices.DeleteFunc(b.owed, func(w *worker) bool { return w.state == Gone })
	for i, w := range b.owed {
		if m := w.at(r.split); m != nil && b.fit(w) && !r.tried(w) {
			b.owed = slices.Delete(b.owed, i, i+1)
			return m
		}
	}
	return nil
}

func newSplit(kind, pool int, s *SplitSettings) *split {
	return &split{kind: kind, pool: pool, need: cmp.Or(s.FirstSamples, firstSamples), base: map[int]float64{},
		stepSize: cmp.Or(s.Step, stepSize), floor: cmp.Or(s.Floor, floor), stepWait: cmp.Or(s.StepWait, stepWait),
		moreNeed: cmp.Or(s.MoreSamples, moreSamples), mostNeed: cmp.Or(s.MostSamples, mostSamples), atFloor: s.NewcomersAtFloor}
}

// learn takes a list, or changes to one; these cost what they change.
func (b *Balancer) learn(kind ListKind, list []Member, first bool) {
	whole := kind != ListDelta && kind != ListOwn
	for _, w := range b.workers {
		if !whole {
			break
		}
		w.seen = false
	}
	for i := range list {
		b.member(&list[i], first)
	}
	for _, w := range b.workers {
		if !whole {
			break
		}
		if !w.seen && w.state != Gone {
			b.setState(w, Gone, nil, false)
		}
	}
	for _, sp := range b.splits {
		sp.settle(&b.s)
	}
	for pool, splits := range b.pools { // each on its own, so in any order
		empty := true
		for _, sp := range splits {
			sp.settle(&b.s)
			empty = empty && len(sp.m) == 0
		}
		if empty { // its number may never come again
			delete(b.pools, pool)
		}
	}
	if b.s.Peers {
		b.print = fingerprint(b.splits[0].m)
	}
	b.forgetGone()
}

// settle brings a split up to date with its members.
func (sp *split) settle(s *Settings) {
	if !sp.changed {
		return
	}
	sp.changed = false
	if sp.stale && len(sp.m) > 0 {
		sp.scale()
	}
	sp.findHome(s)
}

// at is a worker's place in a split; nil where it has none.
func (w *worker) at(sp *split) *member {
	for _, m := range w.in {
		if m.sp == sp {
			return m
		}
	}
	return nil
}

// place books where a worker stands and how large it is said to be. A new size
// moves its shares in proportion; the steps go on from there.
func (b *Balancer) place(w *worker, m *Member) {
	size := 1.0
	if b.s.Hint == HintSize && m.CapacityHint > 0 && m.CapacityHint < 1e10 {
		size = m.CapacityHint
	}
	for _, in := range w.in {
		if in.sp.changed = in.sp.changed || size != w.size || m.Zone != w.zone; size != w.size {
			in.x *= size / w.size
			in.sp.stale = true
		}
	}
	w.zone, w.cell, w.kind, w.size = m.Zone, m.Cell, m.Kind, size
}

// setState books a listed state: ready workers are in their splits, others in none.
func (b *Balancer) setState(w *worker, s WorkerState, pools []int, first bool) {
	switch is, was := s == Gone, w.state == Gone; {
	case is && !was:
		b.gone++
	case was && !is:
		b.gone--
	}
	w.state, w.pools = s, pools
	for i := len(w.in) - 1; i >= 0; i-- {
		if sp := w.in[i].sp; s != Ready || !w.belongs(sp) {
			sp.leave(w)
		}
	}
	if s != Ready {
		return
	}
	for _, sp := range b.splits {
		if w.belongs(sp) {
			sp.join(w, first)
		}
	}
	for _, pool := range pools {
		for _, sp := range b.pools[pool] {
			if w.belongs(sp) {
				sp.join(w, first)
			}
		}
	}
}

// belongs says whether a worker is one of a split's.
func (w *worker) belongs(sp *split) bool {
	return (sp.kind < 0 || sp.kind == w.kind) && (sp.pool == 0 || slices.Contains(w.pools, sp.pool))
}

// splitFor is the split that a class's requests in a pool are drawn from.
func (b *Balancer) splitFor(class, pool int) *split {
	if pool == 0 {
		return b.splitOf[class]
	}
	kind := b.s.Classes[class].Kind
	for _, sp := range b.pools[pool] {
		if sp.kind == kind {
			return sp
		}
	}
	sp := newSplit(kind, pool, &b.s.Split)
	for _, w := range b.workers {
		if w.state == Ready && w.belongs(sp) {
			sp.join(w, true)
		}
	}
	sp.settle(&b.s)
	b.pools[pool] = append(b.pools[pool], sp)
	return sp
}

// goneMost is how many workers that are gone are remembered beside those that
// are not.
const goneMost = 64

// forgetGone forgets workers that are gone once they are many. Guards against
// names that never come again.
func (b *Balancer) forgetGone() {
	if b.gone <= goneMost+len(b.workers)/2 {
		return
	}
	b.workers = slices.DeleteFunc(b.workers, func(w *worker) bool {
		if w.state != Gone || w.out > 0 {
			return false
		}
		delete(b.byID, w.id)
		b.gone--
		return true
	})
}

// renew forgets what was learned of a worker's process, as another runs now.
// Guards against strikes of before its restart that keep it out while it serves.
func (w *worker) renew(room float64) {
	w.shunned, w.fulls, w.strikes, w.errors, w.room, w.pace = 0, 0, 0, 0, room, 1
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
