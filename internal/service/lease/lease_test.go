package lease

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

const (
	simulatedQueue    = "ordered/1"
	maxNoticeDelay    = 200 * time.Millisecond // until each end of a connection notices that it has closed
	simulatedDuration = 60 * time.Second
)

// event is a function to run at a moment of the simulated time.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// mutant is a protocol bug to simulate, to show that the checker finds it.
type mutant int

const (
	noMutant mutant = iota
	grantsImmediatelyAfterRestart
	acceptsStaleEpochs
	forgetsPromises
	countsFromReply
	keepsGrantsAfterLoss
	keepsGrantsAfterGaps
	needsOneGrantFewer
)

// simulation runs stores and dispatchers on one simulated clock.
type simulation struct {
	random     *rand.Rand
	events     eventHeap
	now        time.Duration
	lastNumber int
	mutant     mutant
	stores     []*simulatedStore
	nodes      []*simulatedNode
	faults     bool
	violation  error
	owner      string // the dispatcher that last had a valid lease, and its epoch
	epoch      uint64
	valid      int // checks at which some dispatcher had a valid lease
	checked    int // checks in total
}

type simulatedStore struct {
	name        string
	grantor     *Grantor
	generation  int
	connections map[SessionID]int
}

// connection is one connection between a dispatcher and a store.
type connection struct {
	storeGeneration int
	open            bool
	closed          bool // the store has noticed the end
}

type simulatedNode struct {
	identity    protocol.Identity
	holder      *Holder
	connections []*connection
	epoch       uint64
	versions    []uint64
	frozenUntil time.Duration
	inbox       []func()
	generation  int
}

var epochStart = time.Unix(0, 0)

func (w *simulation) clock() time.Time { return epochStart.Add(w.now) }

func (w *simulation) after(delay time.Duration, run func()) {
	w.lastNumber++
	heap.Push(&w.events, event{w.now + delay, w.lastNumber, run})
}

func (w *simulation) between(least, most time.Duration) time.Duration {
	return least + time.Duration(w.random.Int64N(int64(most-least)+1))
}

// delay returns the delay of one message; some are very long.
func (w *simulation) delay() time.Duration {
	if w.faults && w.random.IntN(12) == 0 {
		return w.between(0, 3*time.Second)
	}
	return w.between(100*time.Microsecond, 20*time.Millisecond)
}

func newSimulation(seed uint64, stores, nodes int, m mutant) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 7)), mutant: m, faults: true}
	for i := range stores {
		s := &simulatedStore{name: fmt.Sprint("store-", i)}
		w.startStore(s)
		w.stores = append(w.stores, s)
	}
	for i := range nodes {
		n := &simulatedNode{
			identity:    protocol.Identity{Node: fmt.Sprint("edge-", i), Role: "dispatcher", Incarnation: 1},
			holder:      NewHolder(),
			connections: make([]*connection, stores),
			versions:    make([]uint64, stores),
		}
		w.nodes = append(w.nodes, n)
		w.after(w.between(0, RenewInterval), func() { w.tickNode(n, n.generation) })
	}
	w.after(time.Second, w.injectFault)
	return w
}

func (w *simulation) startStore(s *simulatedStore) {
	s.generation++
	s.connections = map[SessionID]int{}
	promises := map[string]Promise{}
	if s.grantor != nil && w.mutant != forgetsPromises {
		for name, q := range s.grantor.queues {
			promises[name] = q.promise
		}
	}
	s.grantor = NewGrantor(w.clock(), uint64(w.now)<<8+1, promises)
	s.grantor.SetPromisesComplete()
	if w.mutant == grantsImmediatelyAfterRestart {
		s.grantor.grantsFrom = w.clock()
	}
}

// onNode runs a step of a dispatcher, or queues it while the dispatcher is frozen.
func (w *simulation) onNode(n *simulatedNode, run func()) {
	if w.now < n.frozenUntil {
		n.inbox = append(n.inbox, run)
		return
	}
	run()
}

// connect returns the connection to a store, or opens one.
func (w *simulation) connect(n *simulatedNode, i int) *connection {
	s := w.stores[i]
	if c := n.connections[i]; c != nil && c.open && c.storeGeneration == s.generation {
		return c
	}
	if w.mutant != keepsGrantsAfterLoss {
		n.holder.Lost(s.name)
		n.versions[i] = 0
	}
	c := &connection{storeGeneration: s.generation, open: true}
	n.connections[i] = c
	id := SessionOf(n.identity)
	s.connections[id]++
	s.grantor.Connected(w.clock(), n.identity)
	return c
}

// disconnect ends a connection; both ends notice it after a delay.
func (w *simulation) disconnect(n *simulatedNode, i int) {
	c, s := n.connections[i], w.stores[i]
	if c == nil || !c.open {
		return
	}
	c.open = false
	identity := n.identity
	w.after(w.between(0, maxNoticeDelay), func() { w.noticeClosed(s, c, identity) })
	w.after(w.between(0, maxNoticeDelay), func() {
		w.onNode(n, func() {
			if n.connections[i] == c && w.mutant != keepsGrantsAfterLoss {
				n.holder.Lost(s.name)
			}
		})
	})
}

func (w *simulation) noticeClosed(s *simulatedStore, c *connection, identity protocol.Identity) {
	if c.closed || c.storeGeneration != s.generation {
		return
	}
	c.closed = true
	s.connections[SessionOf(identity)]--
	s.grantor.Closed(w.clock(), identity)
}

// call delivers a request to a store and its reply to the dispatcher.
func (w *simulation) call(n *simulatedNode, i int, handle func(s *simulatedStore) func()) {
	c, s, generation := w.connect(n, i), w.stores[i], n.generation
	w.after(w.delay(), func() {
		if !c.open || c.storeGeneration != s.generation {
			return
		}
		reply := handle(s)
		w.after(w.delay(), func() {
			if !c.open || c.storeGeneration != s.generation {
				return
			}
			w.onNode(n, func() {
				if n.generation == generation && n.connections[i] == c && c.open {
					reply()
				}
			})
		})
	})
}

func (w *simulation) tickNode(n *simulatedNode, generation int) {
	w.onNode(n, func() {
		if n.generation != generation {
			return
		}
		for i := range w.stores {
			w.renew(n, i)
		}
		if end, ok := n.holder.ValidUntil(simulatedQueue, w.now, len(w.stores)-1, countAll); !ok {
			if w.random.IntN(3) == 0 {
				w.acquireAll(n)
			}
		} else if w.random.IntN(40) == 0 {
			w.releaseAll(n)
		} else if end > 0 && w.random.IntN(3) == 0 {
			w.claimMissing(n)
		}
		w.after(RenewInterval, func() { w.tickNode(n, generation) })
	})
}

func (w *simulation) renew(n *simulatedNode, i int) {
	sent := w.now
	w.call(n, i, func(s *simulatedStore) func() {
		s.grantor.Renew(w.clock(), n.identity, true, s.connections[SessionOf(n.identity)])
		version := s.grantor.Version()
		holder, epoch := s.grantor.Lease(simulatedQueue)
		return func() {
			if version != n.versions[i] && w.mutant != keepsGrantsAfterGaps {
				n.versions[i] = version
				if holder != n.identity.Node || epoch != n.holder.Epoch(simulatedQueue) {
					n.holder.Revoked(s.name, simulatedQueue)
				}
			}
			switch w.mutant {
			case countsFromReply:
				n.holder.Renewed(s.name, w.now, w.now)
			case keepsGrantsAfterGaps:
				n.holder.Renewed(s.name, sent, sent)
			default:
				n.holder.Renewed(s.name, sent, w.now)
			}
		}
	})
}

func (w *simulation) acquireAll(n *simulatedNode) {
	n.holder.Drop(simulatedQueue)
	n.epoch++
	for i := range w.stores {
		w.acquire(n, i, n.epoch, false)
	}
}

func (w *simulation) claimMissing(n *simulatedNode) {
	for i, s := range w.stores {
		if len(n.holder.Missing(simulatedQueue, []string{s.name})) > 0 {
			w.acquire(n, i, n.holder.Epoch(simulatedQueue), true)
		}
	}
}

func (w *simulation) acquire(n *simulatedNode, i int, epoch uint64, held bool) {
	sent := w.now
	w.call(n, i, func(s *simulatedStore) func() {
		if w.mutant == acceptsStaleEpochs {
			q := s.grantor.queue(simulatedQueue)
			q.promise.Epoch = min(q.promise.Epoch, epoch-1)
			if q.holder != nil && q.epoch > epoch {
				q.holder = nil
			}
		}
		decision := s.grantor.Acquire(w.clock(), n.identity, s.connections[SessionOf(n.identity)], simulatedQueue, epoch, held)
		return func() {
			n.epoch = max(n.epoch, decision.Promise.Epoch)
			if decision.Allowed {
				n.holder.Granted(s.name, simulatedQueue, epoch, sent)
			}
		}
	})
}

func (w *simulation) releaseAll(n *simulatedNode) {
	epoch := n.holder.Epoch(simulatedQueue)
	n.holder.Drop(simulatedQueue)
	for i := range w.stores {
		w.call(n, i, func(s *simulatedStore) func() {
			s.grantor.Release(w.clock(), n.identity, simulatedQueue, epoch)
			return func() {}
		})
	}
}

// injectFault restarts a store or a dispatcher, freezes a dispatcher or closes a
// connection. At most one store is down at a time: restarts are instant.
func (w *simulation) injectFault() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	i := w.random.IntN(len(w.stores))
	switch w.random.IntN(4) {
	case 0:
		w.restartStore(i)
	case 1:
		n.frozenUntil = w.now + w.between(0, 4*time.Second)
		w.after(n.frozenUntil-w.now, func() { w.unfreeze(n) })
	case 2:
		w.disconnect(n, i)
	case 3:
		w.restartNode(n)
	}
	w.after(w.between(50*time.Millisecond, 3*time.Second), w.injectFault)
}

func (w *simulation) restartStore(i int) {
	for _, n := range w.nodes {
		w.disconnect(n, i)
	}
	w.startStore(w.stores[i])
}

func (w *simulation) unfreeze(n *simulatedNode) {
	if w.now < n.frozenUntil {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		run()
	}
}

func (w *simulation) restartNode(n *simulatedNode) {
	for i := range w.stores {
		w.disconnect(n, i)
	}
	n.generation++
	n.identity.Incarnation++
	n.holder, n.inbox, n.frozenUntil, n.epoch = NewHolder(), nil, 0, 0
	n.connections = make([]*connection, len(w.stores))
	n.versions = make([]uint64, len(w.stores))
	generation := n.generation
	w.after(w.between(0, time.Second), func() { w.tickNode(n, generation) })
}

// check fails the run if two dispatchers have a valid lease at this moment.
func (w *simulation) check() {
	tolerated := 1
	if w.mutant == needsOneGrantFewer {
		tolerated = 2
	}
	valid := 0
	for _, n := range w.nodes {
		if w.now < n.frozenUntil {
			continue // it acts only after it has processed its inbox
		}
		if _, ok := n.holder.ValidUntil(simulatedQueue, w.now, len(w.stores)-tolerated, countAll); ok {
			valid++
			w.checkEpoch(n)
		}
	}
	w.checked++
	if valid > 0 {
		w.valid++
	}
	if valid > 1 {
		w.violation = fmt.Errorf("%d dispatchers have a valid lease at %v", valid, w.now)
	}
}

// checkEpoch fails the run if a new owner's epoch is not above that of the previous owner.
func (w *simulation) checkEpoch(n *simulatedNode) {
	owner, epoch := fmt.Sprint(n.identity.Node, "/", n.generation), n.holder.Epoch(simulatedQueue)
	if epoch < w.epoch || epoch == w.epoch && owner != w.owner {
		w.violation = fmt.Errorf("%s has epoch %d at %v after %s had %d", owner, epoch, w.now, w.owner, w.epoch)
	}
	w.owner, w.epoch = owner, epoch
}

func (w *simulation) run() error {
	for w.violation == nil && len(w.events) > 0 && w.now < simulatedDuration {
		next := heap.Pop(&w.events).(event)
		w.now = next.at
		next.run()
		w.check()
	}
	return w.violation
}

// Under lost and delayed messages, freezes and restarts, no two dispatchers ever have a
// valid lease at once, epochs only grow, and some dispatcher has one at a quarter of the
// checks at least.
func TestOneHolderAtATime(t *testing.T) {
	runs := uint64(400)
	if testing.Short() {
		runs = 60
	}
	for _, stores := range []int{3, 4, 5} {
		valid, checked := 0, 0
		for seed := range runs {
			w := newSimulation(seed, stores, 3, noMutant)
			if err := w.run(); err != nil {
				t.Fatalf("seed %d, %d stores: %v", seed, stores, err)
			}
			valid, checked = valid+w.valid, checked+w.checked
		}
		t.Logf("%d stores: some dispatcher had a valid lease at %.0f%% of the checks", stores, 100*float64(valid)/float64(checked))
		if valid*4 < checked {
			t.Errorf("%d stores: a dispatcher had a valid lease at only %d of %d checks", stores, valid, checked)
		}
	}
}

// The checker finds each of the mutants.
func TestCheckerFindsMutants(t *testing.T) {
	for name, m := range map[string]mutant{
		"grants immediately after a restart": grantsImmediatelyAfterRestart, "accepts stale epochs": acceptsStaleEpochs, "forgets promises": forgetsPromises,
		"counts a renewal from its reply":      countsFromReply,
		"keeps grants after a lost connection": keepsGrantsAfterLoss, "keeps grants after gaps between renewals": keepsGrantsAfterGaps,
		"needs one grant fewer": needsOneGrantFewer,
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3000) {
				if newSimulation(seed, 3, 3, m).run() != nil {
					return
				}
			}
			t.Error("not found in 3000 runs")
		})
	}
}

func identity(node string) protocol.Identity {
	return protocol.Identity{Node: node, Role: "dispatcher", Incarnation: 1}
}

// A sequence of requests to one store and the expected replies.
func TestGrantorRules(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b := identity("a"), identity("b")
	g := NewGrantor(start, 5, map[string]Promise{"kept": {Epoch: 7, By: SessionOf(a)}})
	allowed := func(ms int, who protocol.Identity, queue string, epoch uint64, held bool) bool {
		return g.Acquire(at(ms), who, 1, queue, epoch, held).Allowed
	}

	c.Check(allowed(0, b, "q", 1, false), qt.IsFalse, qt.Commentf("within the wait after the start"))
	c.Check(allowed(1, b, "kept", 7, true), qt.IsFalse, qt.Commentf("held, but the epoch is promised to another process"))
	c.Check(allowed(2, a, "kept", 6, true), qt.IsFalse, qt.Commentf("held, below the promise"))
	c.Check(allowed(3, a, "kept", 7, true), qt.IsTrue)
	c.Check(allowed(1499, b, "q", 1, false), qt.IsFalse)
	c.Check(allowed(1502, b, "kept", 8, false), qt.IsFalse, qt.Commentf("a's session lasts until 1503"))
	c.Check(allowed(1503, b, "kept", 7, false), qt.IsFalse, qt.Commentf("not above the promise"))
	c.Check(allowed(1503, b, "kept", 8, false), qt.IsTrue)
	c.Check(allowed(1504, b, "kept", 8, false), qt.IsTrue, qt.Commentf("repeated after a lost reply"))
	c.Check(allowed(1505, b, "kept", 9, false), qt.IsTrue, qt.Commentf("its own lease with a new epoch"))

	c.Check(g.Write(a, "kept", 8).Allowed, qt.IsFalse)
	c.Check(g.Write(b, "kept", 8).Allowed, qt.IsTrue, qt.Commentf("an older epoch of the process that has the promise"))
	raised := g.Write(a, "kept", 11)
	c.Check(raised, qt.Equals, Decision{Allowed: true, Promise: Promise{11, SessionOf(a)}, Raised: true})
	c.Check(g.Write(b, "kept", 10).Allowed, qt.IsFalse)

	version := g.Version()
	g.Release(at(1600), a, "kept", 9)
	c.Check(g.Version(), qt.Equals, version, qt.Commentf("a has no lease to release"))
	g.Release(at(1600), b, "kept", 8)
	c.Check(g.Version(), qt.Equals, version, qt.Commentf("a late release of an earlier lease"))
	g.Release(at(1600), b, "kept", 9)
	c.Check(g.Version() > version, qt.IsTrue)
	holder, epoch := g.Lease("kept")
	c.Check(holder, qt.Equals, "")
	c.Check(epoch, qt.Equals, uint64(11))
}

// Leases end ClosedSessionGrace after the last connection of their session has closed.
func TestClosedSession(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a, b := identity("a"), identity("b")
	g := NewGrantor(start.Add(-Duration), 1, nil)
	g.Renew(at(0), a, true, 2)
	c.Assert(g.Acquire(at(0), a, 2, "q", 1, false).Allowed, qt.IsTrue)
	g.Closed(at(100), a)
	c.Check(g.Acquire(at(500), b, 1, "q", 2, false).Allowed, qt.IsFalse, qt.Commentf("one of two connections is left"))
	g.Closed(at(600), a)
	c.Check(g.Acquire(at(899), b, 1, "q", 2, false).Allowed, qt.IsFalse)
	c.Check(g.Acquire(at(900), b, 1, "q", 2, false).Allowed, qt.IsTrue)

	g.Closed(at(1000), b)
	g.Connected(at(1200), b)
	c.Check(g.Acquire(at(1400), a, 1, "q", 3, false).Allowed, qt.IsFalse, qt.Commentf("it reconnected in time"))
	c.Check(len(g.Sessions("dispatcher")), qt.Equals, 1)
	c.Check(len(g.Sessions("agent")), qt.Equals, 0)
	g.Expire(at(1200 + 1500))
	c.Check(len(g.Sessions("dispatcher")), qt.Equals, 0)
}

// A holder whose session expires while its connections are open may be paused: this is reported to later holders
// for SilenceRetention.
func TestSilentHolderIsReported(t *testing.T) {
	for name, one := range map[string]struct {
		end     func(g *Grantor, now time.Time, holder protocol.Identity)
		asked   time.Duration
		expired int // queues of a session that has expired while connected
		want    bool
	}{
		"no renewal":           {func(*Grantor, time.Time, protocol.Identity) {}, Duration, 1, true},
		"asked late":           {func(*Grantor, time.Time, protocol.Identity) {}, Duration + SilenceRetention, 1, false},
		"its connection ended": {func(g *Grantor, now time.Time, holder protocol.Identity) { g.Closed(now, holder) }, Duration, 0, false},
		"it was replaced": {func(g *Grantor, now time.Time, holder protocol.Identity) {
			holder.Incarnation++
			g.Renew(now, holder, true, 1)
		}, Duration, 0, false},
		"it was replaced afterwards": {func(g *Grantor, now time.Time, holder protocol.Identity) {
			g.Expire(now.Add(Duration))
			holder.Incarnation++
			g.Renew(now.Add(Duration), holder, true, 1)
		}, Duration, 1, false},
	} {
		c := qt.New(t)
		now := time.Unix(100, 0)
		g := NewGrantor(now.Add(-Duration), 1, nil)
		a, b := identity("a"), identity("b")
		g.Renew(now, a, true, 1)
		c.Assert(g.Acquire(now, a, 1, "q", 1, false).SilentHolder, qt.Equals, protocol.Identity{})
		expired := 0
		g.OnSilence(func(holder protocol.Identity, queues int) {
			c.Check(holder, qt.Equals, a)
			expired += queues
		})
		one.end(g, now, a)
		g.Expire(now.Add(Duration))
		now = now.Add(one.asked)
		var want protocol.Identity
		if one.want {
			want = a
		}
		c.Check(g.Acquire(now, b, 1, "q", 2, false).SilentHolder, qt.Equals, want, qt.Commentf(name))
		c.Check(expired, qt.Equals, one.expired, qt.Commentf(name))
		g.Release(now, b, "q", 2) // as if too few stores had granted it
		c.Check(g.Acquire(now, identity("c"), 1, "q", 3, false).SilentHolder, qt.Equals, want, qt.Commentf(name))
	}
}

// A lease is valid as long as enough of the sessions with the stores that granted it. A session counts from the
// send time of its latest answered renewal.
func TestHolderCountsRenewals(t *testing.T) {
	c := qt.New(t)
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	h := NewHolder()
	c.Check(h.Granted("s1", "q", 1, ms(0)), qt.IsFalse, qt.Commentf("no session"))
	for i, store := range []string{"s1", "s2", "s3"} {
		h.Renewed(store, ms(100*i), ms(100*i+5))
		c.Check(h.Granted(store, "q", 4, ms(300)), qt.IsTrue)
	}
	until := func(now, stores, tolerated int) time.Duration {
		end, ok := h.ValidUntil("q", ms(now), stores-tolerated, countAll)
		if !ok {
			return 0
		}
		return end
	}
	c.Check(until(400, 3, 1), qt.Equals, ms(100+1300))
	c.Check(until(400, 3, 0), qt.Equals, ms(0+1300))
	c.Check(until(400, 4, 1), qt.Equals, ms(0+1300))
	c.Check(until(400, 5, 1), qt.Equals, time.Duration(0))
	c.Check(until(1400, 3, 1), qt.Equals, time.Duration(0))
	h.Lost("s3")
	c.Check(until(400, 3, 1), qt.Equals, ms(0+1300))
	h.Renewed("s3", ms(500), ms(510))
	c.Check(until(600, 3, 1), qt.Equals, ms(0+1300), qt.Commentf("s3 has not granted again"))
	c.Check(h.Granted("s3", "q", 4, ms(499)), qt.IsFalse)
	c.Check(h.Granted("s3", "q", 4, ms(520)), qt.IsTrue)
	h.Renewed("s2", ms(600), ms(1599))
	c.Check(until(1600, 3, 1), qt.Equals, ms(500+1300))
	h.Renewed("s1", ms(700), ms(1500))
	c.Check(h.Missing("q", []string{"s1", "s2", "s3"}), qt.DeepEquals, []string{"s1"}, qt.Commentf("s1 may have ended the session"))
	h.Revoked("s2", "q")
	c.Check(until(1600, 3, 1), qt.Equals, time.Duration(0))
	c.Check(h.Granted("s2", "q", 3, ms(1600)), qt.IsTrue)
	c.Check(until(1600, 3, 1), qt.Equals, time.Duration(0), qt.Commentf("another epoch"))
	h.Drop("q")
	c.Check(h.Epoch("q"), qt.Equals, uint64(0))
}

// countAll makes every store count.
func countAll(string) bool { return true }

// Grants of stores that do not count are not counted towards the needed number.
func TestGrantsOfUncountedStores(t *testing.T) {
	c := qt.New(t)
	h := NewHolder()
	for _, store := range []string{"empty", "full"} {
		h.Renewed(store, 0, 1)
		h.Granted(store, "q", 3, 1)
	}
	_, valid := h.ValidUntil("q", 2, 2, countAll)
	c.Assert(valid, qt.IsTrue)
	_, valid = h.ValidUntil("q", 2, 2, func(store string) bool { return store == "full" })
	c.Assert(valid, qt.IsFalse)
}
