package dispatcher

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/view"
	"yardwharf/internal/simulation/simnet"
)

const routeTimeout = time.Second

// arrival is a request that reached the sender.
type arrival struct {
	id string
	at time.Duration
}

// queueHandover is a queue that one dispatcher releases while a sender has messages of it, and
// that another dispatcher acquires.
type queueHandover struct {
	network  *simnet.Network
	old, new *Dispatcher
	killOld  func()
	oldPeer  *simnet.Process // that answers calls to the old dispatcher
	end      func()

	mutex       sync.Mutex
	recordDelay time.Duration // how long stores take to record an end
	promised    bool          // the epoch of the new owner: stores refuse ends of the old one
	silent      bool          // the session of the old owner ended while its connections stayed open
	released    []protocol.Attempt
	releasedAt  time.Time
	arrivals    []arrival
	ends        map[string]protocol.End // recorded by the stores
}

// newQueueHandover has the old dispatcher acquire the queue, with two messages of one key and one
// of another. The sender responds with the status that answer returns.
func newQueueHandover(t *testing.T, c *qt.C, answer func(run int, id string) int) *queueHandover {
	r := &queueHandover{ends: map[string]protocol.End{}}
	network := millisecondNetwork()
	r.network = network
	began := time.Now()
	sender := network.Process("10.5.0.1")
	serve(c, sender, "10.5.0.1:80", http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		id := request.Header.Get(headerRequestID)
		r.mutex.Lock()
		r.arrivals = append(r.arrivals, arrival{id, time.Since(began)})
		run := len(r.arrivalsOf(id))
		r.mutex.Unlock()
		status := answer(run, id)
		w.Header().Set(headerRequestID, id)
		w.Header().Set("X-Server-Seal", "seal")
		w.WriteHeader(status)
	}))
	head := func(id, key string, sequence uint64) protocol.Head {
		return protocol.Head{ID: id, OrderingKey: key, Sequence: sequence, State: protocol.Queued, Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute}
	}
	stores := acquireStores(3)
	for _, store := range stores {
		grant := grantAll(head("first", "k", 1), head("behind", "k", 2), head("quick", "other", 3))
		store.acquire = func(request protocol.Acquire) protocol.AcquireReply {
			reply := grant(request)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.promised = request.Epoch > 1
			if r.silent {
				reply.Grants[0].Abandoned, reply.Grants[0].SilentOwner = true, r.old.identity
			}
			for i := range reply.Grants[0].Heads {
				if end, some := r.ends[reply.Grants[0].Heads[i].ID]; some {
					reply.Grants[0].Heads[i].State, reply.Grants[0].Heads[i].Stamp = end.State, end.Stamp
				}
			}
			if !r.releasedAt.IsZero() {
				reply.Grants[0].Heads = append(reply.Grants[0].Heads, head("meanwhile", "third", 4))
			}
			for _, attempt := range r.released {
				attempt.Left -= time.Since(r.releasedAt)
				reply.Grants[0].Attempts = append(reply.Grants[0].Attempts, attempt)
			}
			return reply
		}
		store.ends = func(batch protocol.EndBatch) protocol.EndBatchReply {
			r.mutex.Lock()
			record := r.recordDelay
			r.mutex.Unlock()
			time.Sleep(record)
			r.mutex.Lock()
			defer r.mutex.Unlock()
			reply := protocol.EndBatchReply{StoreID: "disk"}
			for _, end := range batch.Ends {
				if r.promised && end.Epoch == 1 {
					reply.Refused = append(reply.Refused, protocol.RefusedEnd{ID: end.ID, Queue: end.Queue, Promised: 2})
					continue
				}
				r.ends[end.ID] = end
			}
			return reply
		}
		store.release = func(request protocol.Release) {
			r.mutex.Lock()
			defer r.mutex.Unlock()
			r.released, r.releasedAt = protocol.WithOwner(request.Attempts, r.old.identity), time.Now()
		}
	}
	var endOld, endNew func()
	r.old, endOld = withScriptedStoresOn(c, network, stores)
	r.new, endNew = newSimulatedDispatcherAs(network, "edge-2", "10.1.0.2")
	connectStores(r.new, len(stores))
	configuration := configurationRoutingTo(2, "old", int(routeTimeout.Milliseconds()), 3, "/a/")
	ctx, stop := context.WithCancel(context.Background())
	for _, d := range []*Dispatcher{r.old, r.new} {
		d.applyConfiguration(configuration)
		d.applySenders(view.Senders{List: []view.Sender{{ID: "i", Service: "old", Address: "10.5.0.1:80", Zone: "z", Slots: 4}}})
		go d.runPump(ctx)
		go r.keepLeases(ctx, d)
		for _, link := range d.stores {
			go d.sendEnds(ctx, link)
		}
	}
	newPeer := serveInternally(c, network, r.new)
	r.oldPeer = serveInternally(c, network, r.old)
	r.killOld = func() { network.Power(edgeIP, false) }
	r.end = func() {
		stop()
		sender.Kill()
		r.oldPeer.Kill()
		newPeer.Kill()
		endNew()
		endOld()
	}
	r.old.acquire(t.Context(), []string{"ordered/1"})
	return r
}

// serveInternally answers the calls of other dispatchers.
func serveInternally(c *qt.C, network *simnet.Network, d *Dispatcher) *simnet.Process {
	process := network.Process(d.settings.IP)
	listener, err := process.Listen(d.identity.Address)
	c.Assert(err, qt.IsNil)
	go func() { _ = d.internalServer().Serve(listener) }()
	return process
}

// keepLeases renews a dispatcher's leases until the context ends, or its session has ended.
func (r *queueHandover) keepLeases(ctx context.Context, d *Dispatcher) {
	for ctx.Err() == nil {
		r.mutex.Lock()
		ended := r.silent && d == r.old
		r.mutex.Unlock()
		if ended {
			return
		}
		d.mutex.Lock()
		for node := range d.stores {
			d.leases.Renewed(node, d.now(), d.now())
		}
		d.mutex.Unlock()
		pause(ctx, renewInterval)
	}
}

// serve answers HTTP requests at an address.
func serve(c *qt.C, process *simnet.Process, address string, handler http.Handler) {
	listener, err := process.Listen(address)
	c.Assert(err, qt.IsNil)
	go func() { _ = http.Serve(listener, handler) }()
}

// arrivalsOf returns the times at which a message reached the sender. The mutex is held.
func (r *queueHandover) arrivalsOf(id string) (at []time.Duration) {
	for _, arrival := range r.arrivals {
		if arrival.id == id {
			at = append(at, arrival.at)
		}
	}
	return at
}

// release releases the queue and has the new dispatcher acquire it.
func (r *queueHandover) release(t *testing.T) {
	over, cancel := context.WithCancel(t.Context())
	cancel()
	r.old.handOverAll(over, func(name string) bool { return name == "ordered/1" })
	r.takeOver(t)
}

// takeOver has the new dispatcher acquire the queue.
func (r *queueHandover) takeOver(t *testing.T) {
	r.old.mutex.Lock()
	r.old.table.holders = map[string]protocol.QueueState{"ordered/1": {Queue: "ordered/1", Holder: "edge-2", Epoch: 2}}
	r.old.table.sessions = map[string]protocol.Session{"edge-2": {Identity: r.new.identity, Ready: true}}
	r.old.mutex.Unlock()
	r.new.mutex.Lock()
	r.new.highestEpochs["ordered/1"] = 1
	r.new.mutex.Unlock()
	r.new.acquire(t.Context(), []string{"ordered/1"})
}

// freezeFor freezes the network of the old dispatcher for a while.
func (r *queueHandover) freezeFor(span time.Duration) {
	r.network.Freeze(edgeIP, true)
	time.AfterFunc(span, func() { r.network.Freeze(edgeIP, false) })
}

const freezeDelay = 20 * time.Millisecond // until the attempts have begun

// freezeOld freezes the network of the old dispatcher for a while; the new one acquires the queue in the
// meantime.
func (r *queueHandover) freezeOld(t *testing.T, span time.Duration) {
	time.Sleep(freezeDelay)
	r.freezeFor(span)
	r.mutex.Lock()
	r.silent = true
	r.mutex.Unlock()
	r.takeOver(t)
}

// loseOld loses the old dispatcher without a release; the new one acquires the queue.
func (r *queueHandover) loseOld(t *testing.T, lose func(*queueHandover)) {
	time.Sleep(freezeDelay)
	lose(r)
	r.mutex.Lock()
	r.silent = true
	r.mutex.Unlock()
	r.takeOver(t)
}

// powerOffOld takes the power from the old dispatcher's machine.
func powerOffOld(r *queueHandover) { r.killOld() }

// endOldProcess ends the old dispatcher's process. Its machine refuses connections from then on.
func (r *queueHandover) endOldProcess() {
	r.oldPeer.Kill()
	r.old.stop()
	r.network.Freeze(edgeIP, true)
}

// TestAttemptOutlastsQueueRelease releases a queue while a sender has one of its messages. The new
// owner delivers no message of the same key before that attempt has ended or timed out, and
// applies the outcome that the old owner reports.
func TestAttemptOutlastsQueueRelease(t *testing.T) {
	const work = 300 * time.Millisecond
	slow := func(status int) func(int, string) int {
		return func(run int, id string) int {
			if run == 1 && id == "first" {
				time.Sleep(work)
				return status
			}
			time.Sleep(time.Millisecond)
			return http.StatusOK
		}
	}
	for name, tc := range map[string]struct {
		answer    func(int, string) int
		moveAfter time.Duration
		record    time.Duration        // how long stores take to record an end
		gone      bool                 // the old dispatcher is killed right after the release
		still     time.Duration        // how long the old dispatcher is frozen; it releases nothing
		lost      func(*queueHandover) // how the old dispatcher is lost; it releases nothing, and stores report it as silent
		runs      int                  // of the first message
		again     time.Duration        // earliest time of the last run
		behind    time.Duration        // earliest time of the next message of its key
		failures  int
	}{
		"success after the release":                {answer: slow(200), moveAfter: 20 * time.Millisecond, runs: 1, behind: work},
		"success before the release":               {answer: slow(200), moveAfter: work + 100*time.Millisecond, runs: 1, behind: work},
		"success during the release":               {answer: slow(200), moveAfter: work, runs: 1, behind: work},
		"success recorded after the release":       {answer: slow(200), moveAfter: work + 200*time.Millisecond, record: 800 * time.Millisecond, runs: 1, behind: work},
		"the same, the old owner killed":           {answer: slow(200), moveAfter: work + 200*time.Millisecond, record: 800 * time.Millisecond, gone: true, runs: 1, behind: work},
		"success while the old owner stands still": {answer: slow(200), still: time.Second, runs: 1, behind: time.Second},
		"the old owner stands still for long":      {answer: slow(200), still: time.Minute, runs: 2, again: maxPreviousOwnerWait, behind: maxPreviousOwnerWait},
		"the old owner's machine is off":           {answer: slow(200), lost: powerOffOld, runs: 2, again: routeTimeout, behind: routeTimeout},
		"the old owner's process has ended":        {answer: slow(200), lost: (*queueHandover).endOldProcess, runs: 2, again: routeTimeout, behind: routeTimeout},
		"refused for good":                         {answer: slow(422), moveAfter: 20 * time.Millisecond, runs: 1, behind: work},
		"failure after the release":                {answer: slow(500), moveAfter: 20 * time.Millisecond, runs: 2, again: work, behind: work, failures: 1},
		"no answer in time": {answer: func(run int, id string) int {
			time.Sleep(time.Duration(2-min(run, 2)) * 3 * routeTimeout)
			return 200
		}, moveAfter: 20 * time.Millisecond, runs: 2, again: routeTimeout, behind: routeTimeout},
		"the old owner does not report": {answer: slow(200), moveAfter: 20 * time.Millisecond, gone: true, runs: 2, again: routeTimeout, behind: routeTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newQueueHandover(t, c, tc.answer)
				defer r.end()
				r.mutex.Lock()
				r.recordDelay = tc.record
				r.mutex.Unlock()
				time.Sleep(tc.moveAfter)
				switch {
				case tc.still > 0:
					r.freezeOld(t, tc.still)
				case tc.lost != nil:
					r.loseOld(t, tc.lost)
				default:
					r.release(t)
				}
				if tc.gone {
					r.killOld()
				}
				time.Sleep(max(5*time.Second, tc.again+2*time.Second))
				r.mutex.Lock()
				first, behind := r.arrivalsOf("first"), r.arrivalsOf("behind")
				r.mutex.Unlock()
				c.Assert(first, qt.HasLen, tc.runs, qt.Commentf("%v", r.arrivals))
				c.Check(first[len(first)-1] >= tc.again, qt.IsTrue, qt.Commentf("%v", first))
				c.Check(behind[0] >= tc.behind, qt.IsTrue, qt.Commentf("%v", behind))
				c.Check(behind[0] < tc.behind+time.Second, qt.IsTrue, qt.Commentf("%v", behind))
				r.new.mutex.Lock()
				entry := r.new.queues["ordered/1"].Get("first")
				c.Check(entry.Head.State.Ended(), qt.IsTrue)
				c.Check(entry.Head.Failures, qt.Equals, tc.failures)
				r.new.mutex.Unlock()
			})
		})
	}
}

// A success that a dispatcher has read before it stalled, and neither recorded nor reported, ends its message: the
// next owner of the queue waits for that dispatcher, however long the stall is, whether it was lost or released.
func TestSuccessReadBeforeStallIsNotRunAgain(t *testing.T) {
	const work = 300 * time.Millisecond
	for name, tc := range map[string]struct {
		released   bool
		readWithin time.Duration
	}{
		"lost queue":     {released: false, readWithin: 15 * time.Millisecond}, // the end is recorded 20 ms after it was read
		"released queue": {released: true, readWithin: 11 * time.Millisecond},  // the connection for the report takes 2 ms
	} {
		for _, stall := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 8 * time.Second} {
			t.Run(name+" "+stall.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					c := qt.New(t)
					r := newQueueHandover(t, c, func(int, string) int {
						time.Sleep(work)
						return http.StatusOK
					})
					defer r.end()
					time.Sleep(freezeDelay)
					if tc.released {
						r.release(t)
					}
					untilRead := work + tc.readWithin - r.old.now()
					if tc.released {
						time.Sleep(untilRead)
						r.freezeFor(stall)
					} else {
						time.Sleep(untilRead - freezeDelay)
						r.freezeOld(t, stall)
					}
					time.Sleep(stall + 2*time.Second)
					r.mutex.Lock()
					defer r.mutex.Unlock()
					c.Check(r.arrivalsOf("first"), qt.HasLen, 1, qt.Commentf("%v", r.arrivals))
					c.Check(r.arrivalsOf("quick"), qt.HasLen, 1, qt.Commentf("%v", r.arrivals))
					c.Check(r.ends["first"].Epoch, qt.Equals, uint64(2))
					behind := r.arrivalsOf("behind")
					c.Check(behind[len(behind)-1] < stall+time.Second, qt.IsTrue, qt.Commentf("%v", r.arrivals))
				})
			})
		}
	}
}

// TestMessagesOfOtherKeysDoNotWait releases a queue while a sender has a message: the new owner
// delivers messages of other keys at once.
func TestMessagesOfOtherKeysDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newQueueHandover(t, c, func(_ int, id string) int {
			if id == "first" {
				time.Sleep(500 * time.Millisecond)
			}
			return http.StatusOK
		})
		time.Sleep(20 * time.Millisecond)
		r.release(t)
		time.Sleep(100 * time.Millisecond)
		r.mutex.Lock()
		c.Check(r.arrivalsOf("meanwhile"), qt.HasLen, 1)
		c.Check(r.arrivalsOf("behind"), qt.HasLen, 0)
		r.mutex.Unlock()
		r.end()
	})
}

// An owner without a valid lease applies an end that is reported to it, but does not confirm it:
// the stores may refuse the record, so the end has to be reported again, perhaps to another owner.
func TestOwnerWithoutValidLeaseConfirmsNoEnd(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c")
	owned := d.own("ordered/1")
	entry := owned.Add(d.now(), protocol.Head{ID: "m", State: protocol.Queued, Retention: time.Hour}, nil, nil)
	end := protocol.End{ID: "m", Queue: owned.Name, State: protocol.Completed, Stamp: "seal"}
	report := protocol.ReportOutcomes{Queue: owned.Name, Outcomes: []protocol.Outcome{{End: end}}}
	c.Assert(d.handleAttemptsOver(report).Owner, qt.IsFalse)
	c.Assert(entry.Head.Stamp, qt.Equals, "seal")
	owned.grantRequestedAt = map[string]time.Duration{}
	for node, link := range d.stores {
		d.leases.Renewed(node, d.now(), d.now())
		d.noteGrant(owned, link, d.now())
	}
	c.Assert(d.handleAttemptsOver(report).Owner, qt.IsTrue)
}

// All outcomes of a lost queue are reported to the new owner, including those that arrive while
// a report is in progress.
func TestOutcomesOfLostQueueAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newQueueHandover(t, c, func(int, string) int { return http.StatusOK })
		defer r.end()
		time.Sleep(routeTimeout)
		r.release(t)
		r.old.mutex.Lock()
		r.new.mutex.Lock()
		owned := r.new.queues["ordered/1"]
		ids := func(from int) (names []string) {
			for i := range maxOutcomesPerReport {
				names = append(names, fmt.Sprintf("m%d", from+i))
			}
			return names
		}
		names := append(ids(0), ids(maxOutcomesPerReport)...)
		for i, id := range names {
			owned.Add(r.new.now(), protocol.Head{ID: id, Delay: time.Hour, Retention: 2 * time.Hour}, nil, nil)
			outcome := protocol.Outcome{End: protocol.End{ID: id, Queue: owned.Name, State: protocol.Completed}}
			if i%2 == 0 {
				outcome = protocol.Outcome{End: protocol.End{ID: id, Queue: owned.Name}, Failures: 2}
			}
			if i < maxOutcomesPerReport+10 {
				r.old.reportOutcome(owned.Name, outcome)
				continue
			}
			time.AfterFunc(3*time.Millisecond, func() {
				r.old.mutex.Lock()
				defer r.old.mutex.Unlock()
				r.old.reportOutcome(owned.Name, outcome)
			})
		}
		r.new.mutex.Unlock()
		r.old.mutex.Unlock()
		time.Sleep(time.Second)
		r.old.mutex.Lock()
		c.Check(r.old.unreportedOutcomes, qt.HasLen, 0)
		r.old.mutex.Unlock()
		r.new.mutex.Lock()
		defer r.new.mutex.Unlock()
		for i, id := range names {
			c.Check(owned.Get(id).Head.State.Ended(), qt.Equals, i%2 == 1)
			c.Check(owned.Get(id).Head.Failures, qt.Equals, 2*((i+1)%2))
		}
	})
}

// A dispatcher that has stalled starts no delivery from its own queue, which another one may have acquired
// in the meantime, before enough stores have confirmed its lease that no other lease is possible.
func TestOwnQueueWaitsForLeaseAfterStandstill(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c")
	owned := d.own(d.localQueue)
	owned.grantRequestedAt = map[string]time.Duration{}
	renew := func(nodes ...string) {
		for _, node := range nodes {
			d.leases.Renewed(node, d.now(), d.now())
			d.noteGrant(owned, d.stores[node], d.now())
		}
	}
	renew("a", "b", "c")
	c.Assert(d.mayDeliver(owned), qt.IsTrue)
	d.leases.Lost("c")
	c.Assert(d.mayDeliver(owned), qt.IsTrue)
	d.started = d.started.Add(-2 * time.Second)
	c.Assert(d.mayDeliver(owned), qt.IsFalse)
	renew("a")
	c.Assert(d.mayDeliver(owned), qt.IsFalse)
	renew("b")
	c.Assert(d.mayDeliver(owned), qt.IsTrue)
}

// A dropped queue reports all attempts whose state later owners may not find in the stores.
func TestDroppedQueueReportsUnsettledAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := withStores("a", "b", "c")
		owned := d.own("ordered/1")
		add := func(id string) *queue.Entry {
			return owned.Add(d.now(), protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour}, nil, []string{"a", "b"})
		}
		ended, failed, sent := add("ended"), add("failed"), add("sent")
		owned.Advance(d.now())
		held := add("held")
		add("open")
		owned.Hold(held, time.Minute)
		earlier := protocol.Identity{Node: "edge-9"}
		owned.heldFor["held"] = earlier
		unheld := add("let go")
		owned.Hold(unheld, time.Minute)
		owned.Unhold(d.now(), unheld)
		d.endEntry(owned, ended, protocol.Completed, "seal")
		owned.Retry(d.now(), failed, true, -1)
		d.deliveries["sent"] = &deliveryState{key: "sent", owned: owned, entry: sent, deadline: time.Second}
		reported := map[string]protocol.Attempt{}
		for _, attempt := range d.dropQueue(owned) {
			reported[attempt.ID] = attempt
		}
		c.Check(reported, qt.HasLen, 4)
		c.Check(reported["ended"].End.Stamp, qt.Equals, "seal")
		c.Check(reported["failed"].Failures, qt.Equals, 1)
		c.Check(reported["sent"].Left, qt.Equals, time.Second)
		c.Check(reported["held"].Left, qt.Equals, time.Minute)
		c.Check(reported["held"].Owner, qt.Equals, earlier)
		d.stop()
		time.Sleep(time.Second)
	})
}
