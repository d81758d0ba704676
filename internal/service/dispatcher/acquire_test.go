package dispatcher

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/simulation/simnet"
)

// scriptedStore is a store with replies that the test defines.
type scriptedStore struct {
	acquire  func(protocol.Acquire) protocol.AcquireReply
	findEnds func(protocol.FindEnds) protocol.FindEndsReply
	append   func(protocol.Append) protocol.AppendReply
	query    func(protocol.Query) protocol.QueryReply
	ends     func(protocol.EndBatch) protocol.EndBatchReply
	// endsOrError, if it is set, replies in place of ends.
	endsOrError func(protocol.EndBatch) (protocol.EndBatchReply, error)
	delay       time.Duration // before each reply

	mutex          sync.Mutex
	released       int
	releasedQueues []string
	release        func(protocol.Release)
	kept           map[string][]protocol.Attempt // by queue
	renew          func(protocol.Renew) protocol.RenewReply
}

// grantAll grants every queue, with the given heads.
func grantAll(heads ...protocol.Head) func(protocol.Acquire) protocol.AcquireReply {
	return func(request protocol.Acquire) protocol.AcquireReply {
		reply := protocol.AcquireReply{StoreID: "disk"}
		for _, name := range request.Queues {
			grant := protocol.Grant{Queue: name, Granted: true, Promised: request.Epoch}
			for _, head := range heads {
				head.Queue = name
				grant.Heads = append(grant.Heads, head)
			}
			reply.Grants = append(reply.Grants, grant)
		}
		return reply
	}
}

func (s *scriptedStore) serve(c *qt.C, network *simnet.Network, ip string) (kill func()) {
	machine := network.Process(ip)
	server := transport.NewServer(protocol.Identity{Node: ip, Role: "store"}, logr.Discard())
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Acquire) (protocol.AcquireReply, error) {
		time.Sleep(s.delay)
		reply := s.acquire(request)
		s.mutex.Lock()
		defer s.mutex.Unlock()
		for i := range reply.Grants {
			reply.Grants[i].Attempts = append(reply.Grants[i].Attempts, s.kept[reply.Grants[i].Queue]...)
		}
		return reply, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.KeepAttempts) (protocol.KeepAttemptsReply, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if s.kept == nil {
			s.kept = map[string][]protocol.Attempt{}
		}
		s.kept[request.Queue] = append(s.kept[request.Queue], request.Attempts...)
		return protocol.KeepAttemptsReply{StoreID: "disk"}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.ReadAttempts) (protocol.ReadAttemptsReply, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		return protocol.ReadAttemptsReply{StoreID: "disk", Attempts: s.kept[request.Queue]}, nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.FindEnds) (protocol.FindEndsReply, error) {
		return s.findEnds(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Append) (protocol.AppendReply, error) {
		time.Sleep(s.delay)
		return s.append(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Query) (protocol.QueryReply, error) {
		time.Sleep(s.delay)
		return s.query(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.EndBatch) (protocol.EndBatchReply, error) {
		time.Sleep(s.delay)
		if s.endsOrError != nil {
			return s.endsOrError(request)
		}
		return s.ends(request), nil
	})
	transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Release) (protocol.ReleaseReply, error) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		s.released++
		s.releasedQueues = append(s.releasedQueues, request.Queues...)
		if s.release != nil {
			s.release(request)
		}
		return protocol.ReleaseReply{}, nil
	})
	if s.renew != nil {
		transport.Handle(server, func(_ context.Context, _ *transport.Peer, request protocol.Renew) (protocol.RenewReply, error) {
			return s.renew(request), nil
		})
	}
	listener, err := machine.Listen(ip + ":7783")
	c.Assert(err, qt.IsNil)
	go func() { _ = server.Serve(listener) }()
	return machine.Kill
}

// withScriptedStores returns a dispatcher with a session at each store. It tolerates the loss of one store.
func withScriptedStores(c *qt.C, stores []*scriptedStore) (d *Dispatcher, end func()) {
	return withScriptedStoresOn(c, simnet.New(func(_, _ string) time.Duration { return time.Millisecond }), stores)
}

func withScriptedStoresOn(c *qt.C, network *simnet.Network, stores []*scriptedStore) (d *Dispatcher, end func()) {
	d, endDispatcher := newSimulatedDispatcher(network)
	var kills []func()
	for i, store := range stores {
		kills = append(kills, store.serve(c, network, storeIP(i)))
	}
	connectStores(d, len(stores))
	return d, func() {
		for _, kill := range kills {
			kill()
		}
		endDispatcher()
	}
}

func storeIP(i int) string { return fmt.Sprintf("10.2.0.%d", i+1) }

// connectStores gives a dispatcher a session at each of the scripted stores.
func connectStores(d *Dispatcher, count int) {
	d.settings.FaultTolerance.Machines = 1
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for i := range count {
		ip, name := storeIP(i), fmt.Sprintf("storage-%d", i+1)
		if known := d.stores[name]; known != nil {
			known.stop()
		}
		link := &storeLink{
			node: name, zone: name, up: true, storeID: "disk", completeDisk: "disk", renewNow: make(chan struct{}, 1), sendEndsNow: make(chan struct{}, 1),
			client: transport.NewClientOn(d.settings.Net(), d.identity, ip+":7783"), stop: func() {},
			pendingEnds: map[string]protocol.End{}, pendingFailures: map[string]int{}, lostDisks: map[string]bool{}, holders: map[string]protocol.QueueState{},
		}
		d.stores[name] = link
		d.leases.Renewed(name, d.now(), d.now())
	}
}

func acquireStores(n int, heads ...protocol.Head) []*scriptedStore {
	stores := make([]*scriptedStore, n)
	for i := range stores {
		stores[i] = &scriptedStore{
			acquire:  grantAll(heads...),
			findEnds: func(protocol.FindEnds) protocol.FindEndsReply { return protocol.FindEndsReply{} },
			query:    func(protocol.Query) protocol.QueryReply { return protocol.QueryReply{StoreID: "disk"} },
			ends:     func(protocol.EndBatch) protocol.EndBatchReply { return protocol.EndBatchReply{StoreID: "disk"} },
			append: func(protocol.Append) protocol.AppendReply {
				return protocol.AppendReply{Status: protocol.Stored, StoreID: "disk"}
			},
		}
	}
	return stores
}

// A store that was away when a message ended lists it as open, and the message must not run again. The other
// stores are therefore asked for its end, which their grants may be too late to include, or which they may have
// in another queue because the client submitted the message to another dispatcher before.
func TestAcquireQueriesOldEnds(t *testing.T) {
	for _, queue := range []string{"ordered/1", "local/edge-9/1"} {
		t.Run(queue, func(t *testing.T) { testAcquireQueriesOldEnds(t, queue) })
	}
}

func testAcquireQueriesOldEnds(t *testing.T, queueName string) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		open := protocol.Head{ID: "m", Epoch: 1, Sequence: 1, State: protocol.Queued, Host: "a.example", Target: "/a/x", Retention: time.Minute}
		stores := acquireStores(3)
		stores[0].acquire = grantAll(open)
		stores[1].findEnds = func(request protocol.FindEnds) protocol.FindEndsReply {
			c.Check(request.IDs, qt.DeepEquals, []string{"m"})
			ended := protocol.Head{ID: "m", Queue: queueName, State: protocol.Completed, Stamp: "seal"}
			return protocol.FindEndsReply{Heads: []protocol.Head{ended}}
		}
		d, end := withScriptedStores(c, stores)
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		owned := d.queues["ordered/1"]
		c.Assert(owned, qt.IsNotNil)
		c.Check(owned.Open(), qt.Equals, 0)
		c.Check(d.stores["storage-1"].pendingEnds["m"].Stamp, qt.Equals, "seal")
		d.mutex.Unlock()
		end()
	})
}

// One store lists a message as open and another its end, but the answer of the second is discarded: the third
// must still be asked for the end.
func TestAcquireQueriesEndListedOnlyByDiscardedAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := protocol.Head{ID: "m", State: protocol.Queued, Host: "a.example", Target: "/a/x", Retention: time.Minute}
		ended := head
		ended.State, ended.Stamp = protocol.Completed, "seal"
		stores := acquireStores(3)
		stores[0].acquire = grantAll(head)
		stores[1].findEnds = func(protocol.FindEnds) protocol.FindEndsReply {
			return protocol.FindEndsReply{Heads: []protocol.Head{ended}}
		}
		stores[2].acquire = grantAll(ended)
		d, end := withScriptedStores(c, stores)
		d.mutex.Lock()
		d.stores["storage-3"].storeID = "another disk"
		d.mutex.Unlock()
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		owned := d.queues["ordered/1"]
		c.Check(owned != nil && owned.Get("m").Head.Stamp == "seal", qt.IsTrue)
		d.mutex.Unlock()
		end()
	})
}

// A store that fails to report ends does not count as having granted, so the queue is not taken over.
func TestStoreThatFailsFindEndsDoesNotCountAsGranting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(2)
		stores[0].acquire = grantAll(protocol.Head{ID: "m", State: protocol.Queued, Retention: time.Minute})
		stores[1].findEnds = func(protocol.FindEnds) protocol.FindEndsReply {
			time.Sleep(time.Minute)
			return protocol.FindEndsReply{}
		}
		d, end := withScriptedStores(c, stores)
		d.acquire(t.Context(), []string{"ordered/1"})
		time.Sleep(time.Second)
		d.mutex.Lock()
		c.Check(d.queues["ordered/1"], qt.IsNil)
		checkReleased(c, stores)
		d.mutex.Unlock()
		time.Sleep(time.Minute)
		end()
	})
}

// One silent store must not delay a takeover.
func TestAcquireDoesNotWaitForSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		stores[2].delay = time.Minute
		d, end := withScriptedStores(c, stores)
		began := time.Now()
		d.acquire(t.Context(), []string{"ordered/1"})
		c.Check(time.Since(began) < 2*acquireGrace, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
		d.mutex.Lock()
		c.Check(d.queues["ordered/1"], qt.IsNotNil)
		d.mutex.Unlock()
		time.Sleep(time.Minute)
		end()
	})
}

// A store whose disk may lack messages does not count, so the dispatcher waits for a slower one.
func TestIncompleteStoreDoesNotEndTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		granted := stores[0].acquire
		stores[0].acquire = func(request protocol.Acquire) protocol.AcquireReply {
			reply := granted(request)
			reply.StoreID = "new disk"
			return reply
		}
		stores[2].delay = 3 * acquireGrace
		d, end := withScriptedStores(c, stores)
		d.mutex.Lock()
		d.stores["storage-1"].storeID = "new disk"
		d.mutex.Unlock()
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		c.Check(d.queues["ordered/1"], qt.IsNotNil)
		d.mutex.Unlock()
		end()
	})
}

// Stores may be slow to send the heads of long queues: after each failed round, fewer queues are requested at
// once and the timeout grows, until a round succeeds.
func TestSlowRoundsShrinkBatchAndExtendTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		for _, store := range stores {
			store.delay = 2 * time.Second
		}
		d, end := withScriptedStores(c, stores)
		for round := 0; d.queues["ordered/1"] == nil && round < maxSlowRounds; round++ {
			d.acquire(t.Context(), []string{"ordered/1"})
		}
		d.mutex.Lock()
		c.Check(d.queues["ordered/1"], qt.IsNotNil)
		c.Check(d.acquireBackoff.slowRounds, qt.Equals, 0)
		d.mutex.Unlock()
		end()
		var backoff acquireBackoff
		c.Check(backoff.batch(), qt.Equals, maxAcquireBatch)
		for range 10 {
			backoff.roundEnded(false)
		}
		c.Check(backoff.batch(), qt.Equals, 1)
		c.Check(backoff.timeout() <= maxAcquireTimeout && backoff.timeout() > acquireTimeout, qt.IsTrue)
	})
}

// A message of which one store has acknowledged a copy and another may have one is neither accepted nor
// refused: a 202 requires all copies, and a 503 promises that there is none.
func TestTooFewCopiesAreUndecided(t *testing.T) {
	for name, second := range map[string]time.Duration{"silent": time.Minute, "slow": 10 * time.Second} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(2)
				stores[1].delay = second
				d, end := withScriptedStores(c, stores)
				ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
				result := d.writeCopies(ctx, protocol.Message{Head: protocol.Head{ID: "m", Queue: "q", Epoch: 1}})
				cancel()
				c.Check(result.status, qt.Equals, protocol.Undecided)
				time.Sleep(2 * time.Minute)
				end()
			})
		})
	}
}

// A store that rejects a copy because it is full holds none, so the message may be refused if all stores do.
// Once any store has written a copy, it may not be refused.
func TestRefusedOnlyWithoutAnyCopy(t *testing.T) {
	full := func(protocol.Append) protocol.AppendReply { return protocol.AppendReply{Status: protocol.StoreFull} }
	for _, one := range []struct {
		name string
		full int
		want protocol.AcceptStatus
	}{{"all full", 3, protocol.Refused}, {"one has written", 2, protocol.Undecided}, {"enough have written", 1, protocol.Accepted}} {
		t.Run(one.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(3)
				for _, store := range stores[:one.full] {
					store.append = full
				}
				d, end := withScriptedStores(c, stores)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				result := d.writeCopies(ctx, protocol.Message{Head: protocol.Head{ID: "m", Queue: "q", Epoch: 1}})
				c.Check(result.status, qt.Equals, one.want)
				c.Check(len(result.holders), qt.Equals, 3-one.full)
				end()
			})
		})
	}
}

// A dispatcher whose stores come up one after the other acquires its queue as soon as enough are up: a check
// that finds too few causes no pause.
func TestQueueIsAcquiredOnceStoresAreUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		setUp := func(up bool) {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			for _, link := range d.stores {
				link.up = up
			}
			d.wakeOwnership()
		}
		setUp(false)
		ctx, stop := context.WithCancel(t.Context())
		go d.runOwnership(ctx)
		time.Sleep(10 * time.Millisecond)
		setUp(true)
		time.Sleep(acquirePause / 5)
		d.mutex.Lock()
		c.Check(d.queues[d.localQueue], qt.IsNotNil)
		d.mutex.Unlock()
		stop()
		time.Sleep(time.Second)
		end()
	})
}

// While too few stores are up that count toward a lease, no request is sent: the promises left by a failed
// round would keep a store that has just started from granting.
func TestNoAcquireRoundWithTooFewStores(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		d.mutex.Lock()
		d.stores["storage-1"].storeID = "new disk"
		d.stores["storage-3"].up = false
		d.mutex.Unlock()
		c.Check(d.acquire(t.Context(), []string{"ordered/1"}), qt.IsFalse)
		d.mutex.Lock()
		d.stores["storage-3"].up = true
		d.mutex.Unlock()
		c.Check(d.acquire(t.Context(), []string{"ordered/1"}), qt.IsTrue)
		c.Check(d.queues["ordered/1"], qt.IsNotNil)
		end()
	})
}

// A returning store knows that a message ended long ago, while its owner holds it as open: the store is asked,
// and the message does not run again.
func TestClaimQueriesOldEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		stores[2].findEnds = func(request protocol.FindEnds) protocol.FindEndsReply {
			c.Check(request.IDs, qt.DeepEquals, []string{"m"})
			ended := protocol.Head{ID: "m", Queue: "ordered/1", State: protocol.Completed, Stamp: "seal"}
			return protocol.FindEndsReply{Heads: []protocol.Head{ended}}
		}
		d, end := withScriptedStores(c, stores)
		d.mutex.Lock()
		d.stores["storage-3"].up = false
		d.mutex.Unlock()
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		owned := d.queues["ordered/1"]
		c.Assert(owned, qt.IsNotNil)
		head := protocol.Head{ID: "m", Queue: owned.Name, Retention: time.Minute, Delay: time.Minute}
		entry := owned.Add(d.now(), head, nil, []string{"storage-1", "storage-2"})
		link := d.stores["storage-3"]
		link.up = true
		d.mutex.Unlock()
		d.claim(link, owned.Epoch, []string{"ordered/1"})
		d.mutex.Lock()
		c.Check(entry.Head.State, qt.Equals, protocol.Completed)
		c.Check(entry.Head.Stamp, qt.Equals, "seal")
		d.mutex.Unlock()
		end()
	})
}
