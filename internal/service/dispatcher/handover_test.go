package dispatcher

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/view"
	"yardwharf/internal/simulation/simnet"
)

// ownRunning has a dispatcher acquire a queue and begin the delivery of a message there.
func ownRunning(t *testing.T, c *qt.C, d *Dispatcher) (*ownedQueue, *queue.Entry) {
	d.acquire(t.Context(), []string{"ordered/1"})
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues["ordered/1"]
	c.Assert(owned, qt.IsNotNil)
	running := owned.Add(d.now(), protocol.Head{ID: "running", Queue: owned.Name, Retention: time.Minute}, nil, nil)
	owned.Advance(d.now())
	return owned, running
}

// checkReleased checks that each store has got one release.
func checkReleased(c *qt.C, stores []*scriptedStore) {
	c.Helper()
	for _, store := range stores {
		store.mutex.Lock()
		c.Check(store.released, qt.Equals, 1)
		store.mutex.Unlock()
	}
}

// A queue that is handed over takes messages while a delivery of it is under way, begins no other, and is
// released once that has ended.
func TestQueueTakesMessagesWhileItIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		d, end := withScriptedStores(c, stores)
		owned, running := ownRunning(t, c, d)
		d.startHandOver(t.Context(), owned.Name, "edge-2")

		time.Sleep(500 * time.Millisecond)
		accept := func(id string) protocol.AcceptStatus {
			head := protocol.Head{ID: id, Queue: owned.Name, Retention: time.Minute}
			return d.acceptHere(t.Context(), protocol.Message{Head: head}).Status
		}
		c.Check(accept("meanwhile"), qt.Equals, protocol.Accepted)
		d.mutex.Lock()
		c.Check(owned.Running(), qt.Equals, 1)
		c.Check(owned.dropped, qt.IsFalse)
		owned.End(d.now(), running, protocol.Completed, "seal")
		d.mutex.Unlock()

		time.Sleep(100 * time.Millisecond)
		c.Check(accept("after"), qt.Equals, protocol.NotOwner)
		checkReleased(c, stores)
		end()
	})
}

// A hand-over waits as long as a delivery may take: whoever gets the queue sooner runs the
// message again, and the stores take no end from the owner before.
func TestHandOverWaitsForTheLongestDelivery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		longer := strings.Replace(strings.Replace(oneRoute, `"revision":1`, `"revision":2`, 1), `"timeoutMs":100`, `"timeoutMs":6000`, 1)
		d.takeConfiguration(view.Configuration{Revision: 2, Raw: []byte(longer)})
		owned, running := ownRunning(t, c, d)
		d.startHandOver(t.Context(), owned.Name, "edge-2")

		time.Sleep(6 * time.Second)
		d.mutex.Lock()
		c.Check(owned.dropped, qt.IsFalse)
		owned.End(d.now(), running, protocol.Completed, "seal")
		d.mutex.Unlock()
		time.Sleep(100 * time.Millisecond)
		d.mutex.Lock()
		c.Check(owned.dropped, qt.IsTrue)
		d.mutex.Unlock()
		end()
	})
}

// A dispatcher that ends before its first configuration has come hands its own queue over.
func TestHandOverWithoutAConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		d.configuration.Store(nil)
		d.acquire(t.Context(), []string{d.localQueue})
		d.handOverAll(t.Context(), isLocal)
		c.Check(d.queues, qt.HasLen, 0)
		end()
	})
}

// A message that is being accepted as its queue closes is awaited; one that takes too long is neither
// accepted nor refused.
func TestMessageThatIsBeingAcceptedIsAwaited(t *testing.T) {
	for name, one := range map[string]struct {
		delay time.Duration
		want  protocol.AcceptStatus
	}{"soon": {100 * time.Millisecond, protocol.Accepted}, "late": {2 * time.Second, protocol.Undecided}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(3)
				d, end := withScriptedStores(c, stores)
				d.acquire(t.Context(), []string{"ordered/1"})
				for _, store := range stores {
					store.delay = one.delay
				}
				status := make(chan protocol.AcceptStatus, 1)
				go func() {
					head := protocol.Head{ID: "m", Queue: "ordered/1", Retention: time.Minute}
					status <- d.acceptHere(context.Background(), protocol.Message{Head: head}).Status
				}()
				time.Sleep(10 * time.Millisecond)
				d.startHandOver(context.Background(), "ordered/1", "edge-2")
				c.Check(<-status, qt.Equals, one.want)
				time.Sleep(10 * time.Second)
				end()
			})
		})
	}
}

// Clients are told to come back at once while another dispatcher may do better, and later when stores have
// been missing for long.
func TestRefusalsTellWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		refusal := func() string {
			answer := httptest.NewRecorder()
			d.refuse(answer)
			return answer.Header().Get(headerRetryAfter)
		}
		time.Sleep(10 * time.Second)
		d.ready()
		c.Check(refusal(), qt.Equals, retryAtOnce)
		d.mutex.Lock()
		for _, link := range d.stores {
			link.up = false
		}
		d.mutex.Unlock()
		time.Sleep(shortageMost / 2)
		c.Check(refusal(), qt.Equals, retryAtOnce)
		time.Sleep(shortageMost)
		c.Check(refusal(), qt.Equals, retryLater)
		end()
	})
}

// A queue is released once its own ends are at the stores, whatever other queues still have to tell.
func TestReleaseWaitsForTheEndsOfItsQueueOnly(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c")
	d.stores["a"].ends["m"] = protocol.End{ID: "m", Queue: "ordered/1"}
	d.stores["b"].ends["n"] = protocol.End{ID: "n", Queue: "local/edge-1/1"}
	c.Assert(d.flushedOf("ordered/1"), qt.IsFalse)
	c.Assert(d.flushedOf("ordered/2"), qt.IsTrue)
	d.stores["a"].up = false
	c.Assert(d.flushedOf("ordered/1"), qt.IsTrue)
	d.stores["a"].up, d.stores["a"].endsSent = true, d.now()-time.Second
	c.Assert(d.flushedOf("ordered/1"), qt.IsTrue, qt.Commentf("it does not answer"))
}

// A dispatcher that is told to end while stores grant it queues, or is offered some, gives
// them back: it would have to let them go at once.
func TestQueuesGrantedWhileLeaving(t *testing.T) {
	for name, ask := range map[string]func(*Dispatcher, context.Context){
		"asked for": func(d *Dispatcher, ctx context.Context) { d.acquire(ctx, []string{"ordered/1"}) },
		"offered":   func(d *Dispatcher, ctx context.Context) { d.offered(ctx, []string{"ordered/1"}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(3)
				for _, store := range stores {
					store.delay = 200 * time.Millisecond
				}
				d, end := withScriptedStores(c, stores)
				time.AfterFunc(100*time.Millisecond, func() { d.draining.Store(true) })
				ask(d, t.Context())
				time.Sleep(time.Second)
				d.mutex.Lock()
				c.Check(d.queues, qt.HasLen, 0)
				d.mutex.Unlock()
				checkReleased(c, stores)
				end()
			})
		})
	}
}

// A queue whose time to be handed over has run out is released all the same: else nobody
// can have it until its session ends.
func TestReleaseAfterTheTimeIsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		d, end := withScriptedStores(c, stores)
		d.acquire(t.Context(), []string{"ordered/1"})
		over, cancel := context.WithCancel(t.Context())
		cancel()
		d.handOverAll(over, func(string) bool { return true })
		checkReleased(c, stores)
		end()
	})
}

// A store goes away before it has recorded an end. The queue is not released until another
// one has: the next owner may read all stores but the single one that knows of it.
func TestReleaseWaitsUntilItsEndsAreSafe(t *testing.T) {
	for name, away := range map[string]func(*Dispatcher, *simnet.Network){
		"restarts": func(_ *Dispatcher, network *simnet.Network) { network.Reset("10.2.0.1", edgeIP) },
		"is dark":  func(_ *Dispatcher, network *simnet.Network) { network.Power("10.2.0.1", false) },
		"is known to be away": func(d *Dispatcher, network *simnet.Network) {
			network.Power("10.2.0.1", false)
			d.mutex.Lock()
			d.stores["storage-1"].up = false
			d.mutex.Unlock()
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				network := millisecondNetwork()
				stores := acquireStores(3)
				safe, releasedBefore := false, 0
				stores[0].ends = func(protocol.EndBatch) protocol.EndBatchReply {
					time.Sleep(time.Minute)
					return protocol.EndBatchReply{}
				}
				stores[2].ends = func(protocol.EndBatch) protocol.EndBatchReply {
					for _, store := range stores {
						store.mutex.Lock()
						releasedBefore += store.released
						store.mutex.Unlock()
					}
					safe = true
					return protocol.EndBatchReply{StoreID: "disk"}
				}
				d, end := owningAt(t, c, network, stores)
				sending, stop := context.WithCancel(t.Context())
				for _, link := range d.stores {
					go d.sendEnds(sending, link)
				}
				d.mutex.Lock()
				owned := d.queues["ordered/1"]
				entry := owned.Add(d.now(), protocol.Head{ID: "m", Queue: owned.Name, Retention: time.Minute}, nil, []string{"storage-1", "storage-2"})
				owned.Advance(d.now())
				d.endEntry(owned, entry, protocol.Completed, "seal")
				d.mutex.Unlock()
				time.Sleep(endFlushDelay + 5*time.Millisecond) // the record is on its way
				away(d, network)
				d.handOverAll(t.Context(), func(string) bool { return true })
				c.Check(safe, qt.IsTrue)
				c.Check(releasedBefore, qt.Equals, 0)
				stop()
				time.Sleep(2 * time.Minute)
				end()
			})
		})
	}
}
