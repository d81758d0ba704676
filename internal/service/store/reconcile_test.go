package store

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/simulation/simnet"
)

// storesRig runs stores on a simulated network, and a dispatcher's client for each.
type storesRig struct {
	c           *qt.C
	network     *simnet.Network
	stores      map[string]*store
	reconcilers map[string]*reconciler
	clients     map[string]*transport.Client
	cleanups    []func()
}

func rigAddress(name string) string { return "10.2.0." + name + ":7783" }

func rigIdentity(name string) protocol.Identity {
	return protocol.Identity{Node: "storage-" + name, Role: Role, Address: rigAddress(name), Incarnation: 1}
}

func newStoresRig(c *qt.C, names ...string) *storesRig {
	g := &storesRig{
		c: c, network: simnet.New(func(_, _ string) time.Duration { return time.Millisecond }),
		stores: map[string]*store{}, reconcilers: map[string]*reconciler{}, clients: map[string]*transport.Client{},
	}
	for _, name := range names {
		g.start(name)
	}
	return g
}

// start starts a store with an empty disk.
func (g *storesRig) start(name string) {
	disk := settings.Settings{DataDir: g.c.TempDir()}
	s, err := openStore(options{
		files: disk.Files(disk.DataDir), storeID: newStoreID(), segmentSize: minSegmentBytes, maxSegments: 16,
		maxIndexBytes: 1 << 24, statusTime: time.Hour, bootstrap: true, role: DispatcherRole, log: logr.Discard(),
	})
	g.c.Assert(err, qt.IsNil)
	machine := g.network.Process("10.2.0." + name)
	listener, err := machine.Listen(rigAddress(name))
	g.c.Assert(err, qt.IsNil)
	g.stores[name] = s
	g.reconcilers[name] = newReconciler(s, machine, rigIdentity(name), logr.Discard())
	server := newServer(s, g.reconcilers[name], rigIdentity(name), logr.Discard())
	go func() { _ = server.Serve(listener) }()
	edge := g.network.Process("10.1.0.1")
	g.clients[name] = transport.NewClientOn(edge, dispatcher("edge-1"), rigAddress(name))
	g.renew(name, 1)
	rec := g.reconcilers[name]
	g.cleanups = append(g.cleanups, func() {
		rec.close()
		server.Close()
		machine.Kill()
		_ = s.close()
	})
}

// renew renews the dispatcher's session, with the sequence of the stores that it knows.
func (g *storesRig) renew(name string, storesKnown uint64) {
	callOn[protocol.RenewReply](g.c, g.clients[name], protocol.Renew{Ready: true, StoresKnown: storesKnown})
}

func callOn[Reply any](c *qt.C, client *transport.Client, request any) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply, err := transport.Call[Reply](ctx, client, request)
	c.Assert(err, qt.IsNil)
	return reply
}

func (g *storesRig) append(name, id string) {
	reply := callOn[protocol.AppendReply](g.c, g.clients[name], protocol.Append{Message: message(id, "ordered/1", 1)})
	g.c.Assert(reply.Status, qt.Equals, protocol.Stored)
}

func (g *storesRig) end(name, id string, state protocol.State) {
	end := protocol.End{ID: id, Queue: "ordered/1", State: state, Stamp: "seal", Epoch: 1}
	callOn[protocol.EndBatchReply](g.c, g.clients[name], protocol.EndBatch{Ends: []protocol.End{end}})
}

func (g *storesRig) query(name, id string) protocol.QueryReply {
	reply, err := g.stores[name].query(protocol.Query{ID: id, WithBody: true})
	g.c.Assert(err, qt.IsNil)
	return reply
}

// request builds a request to reconcile with the given stores as sources. Copies at
// stores after a "-" do not count.
func (g *storesRig) request(copies, reads int, sources ...string) protocol.Reconcile {
	request := protocol.Reconcile{Sequence: 1, Copies: copies, Reads: reads}
	counts := true
	for _, name := range sources {
		if name == "-" {
			counts = false
			continue
		}
		request.Sources = append(request.Sources, protocol.ReconcileSource{
			Node: "storage-" + name, Address: rigAddress(name), StoreID: g.stores[name].log.StoreID(), Counts: counts,
		})
	}
	return request
}

// reconcile repeats the request until it is done or a second has passed, and returns the last
// reply.
func (g *storesRig) reconcile(name string, request protocol.Reconcile) protocol.ReconcileReply {
	var reply protocol.ReconcileReply
	for began := time.Now(); time.Since(began) < time.Second; {
		var err error
		reply, err = g.reconcilers[name].handle(context.Background(), request)
		g.c.Assert(err, qt.IsNil)
		if reply.Done {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return reply
}

func (g *storesRig) stop() {
	for _, client := range g.clients {
		client.Close()
	}
	for _, end := range g.cleanups {
		end()
	}
	time.Sleep(10 * time.Second)
}

// withStoresRig runs a test on stores in virtual time.
func withStoresRig(t *testing.T, names []string, test func(c *qt.C, g *storesRig)) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		g := newStoresRig(c, names...)
		defer g.stop()
		test(c, g)
	})
}

// A store with an empty disk copies what only one of the two other stores has: open messages and
// dead letters with their bodies, ends with their stamps. It copies nothing that both have.
func TestEmptyStoreCopiesUnderReplicatedMessages(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		for _, id := range []string{"open", "done", "dead", "both"} {
			g.append("2", id)
		}
		g.append("3", "both")
		g.append("3", "late") // open here, ended at the other store
		g.append("2", "late")
		g.end("2", "late", protocol.Completed)
		g.end("2", "done", protocol.Completed)
		g.end("2", "dead", protocol.DeadLetter)
		reply := g.reconcile("1", g.request(2, 2, "2", "3"))
		c.Assert(reply.Done, qt.IsTrue, qt.Commentf("%+v", reply))
		c.Assert(reply.Read, qt.DeepEquals, []string{"storage-2", "storage-3"})
		c.Assert(reply.Missing, qt.Equals, 0)
		want := map[string]protocol.State{
			"open": protocol.Queued, "done": protocol.Completed, "dead": protocol.DeadLetter, "late": protocol.Completed,
		}
		for id, state := range want {
			got := g.query("1", id)
			c.Check(got.Held, qt.IsTrue, qt.Commentf(id))
			c.Check(got.Head.State, qt.Equals, state, qt.Commentf(id))
			if state.Ended() && state != protocol.DeadLetter {
				c.Check(got.Head.Stamp, qt.Equals, "seal")
			} else {
				c.Check(string(got.Body), qt.Equals, "body of "+id)
			}
		}
		c.Check(g.query("1", "both").Held, qt.IsFalse, qt.Commentf("two stores have it already"))
	})
}

// Before a store leaves, two of the others must have each message. If only one remaining store
// has a copy, that store cannot add the second one: the next store does, and then no message
// is missing.
func TestStoresCopyMessagesOfLeavingStore(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3", "4"}, func(c *qt.C, g *storesRig) {
		g.append("1", "only")
		g.append("1", "second")
		g.append("2", "second")
		g.append("1", "ended")
		g.append("2", "ended")
		g.end("1", "ended", protocol.Completed) // the end did not reach store 2
		request := g.request(2, 3, "2", "3", "4", "-", "1")
		reply := g.reconcile("2", request)
		c.Assert(reply.Done, qt.IsTrue, qt.Commentf("%+v", reply))
		c.Assert(reply.Missing, qt.Equals, 3)
		reply = g.reconcile("3", request)
		c.Assert(reply.Missing, qt.Equals, 0, qt.Commentf("%+v", reply))
		reply = g.reconcile("4", request)
		c.Assert(reply.Missing, qt.Equals, 0)
		c.Assert(reply.Copied, qt.Equals, 0)
		for _, name := range []string{"2", "3"} {
			c.Check(string(g.query(name, "only").Body), qt.Equals, "body of only")
			c.Check(string(g.query(name, "second").Body), qt.Equals, "body of second")
			c.Check(g.query(name, "ended").Head.State, qt.Equals, protocol.Completed)
		}
	})
}

// A reconciliation is not done while a dispatcher with a session at a source knows only an older
// list of stores, while too few sources can be read, or while a source has another disk.
func TestReconciliationWaitsForValidSources(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		g.append("2", "m")
		request := g.request(2, 2, "2", "3")
		request.Sequence = 7
		checkWaits := func(cause string) {
			reply := g.reconcile("1", request)
			c.Assert(reply.Done, qt.IsFalse, qt.Commentf("want cause %s", cause))
			c.Assert(reply.Cause, qt.Matches, cause)
		}
		checkWaits(".*go by older stores.*")
		g.renew("2", 7)
		g.renew("3", 6)
		checkWaits(".*go by older stores.*")
		g.renew("2", 7)
		g.renew("3", 7)
		c.Assert(g.reconcile("1", request).Done, qt.IsTrue)

		other := g.request(2, 2, "2", "3")
		other.Sources[0].StoreID = "lost"
		request = other
		checkWaits(".*another disk.*")
		g.network.Power("10.2.0.3", false)
		request = g.request(2, 2, "2", "3")
		checkWaits(".*1 of 2 sources.*")
	})
}

// More messages than fit in one slice are compared slice by slice.
func TestReconciliationOfManyMessages(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		const count = 3*targetSliceEntries + 17
		for from := 0; from < count; from += endFetchBatch {
			var batch protocol.EndBatch
			for i := from; i < min(from+endFetchBatch, count); i++ {
				batch.Ends = append(batch.Ends, protocol.End{ID: fmt.Sprint("m", i), Queue: "q", State: protocol.Completed, Stamp: "seal"})
			}
			callOn[protocol.EndBatchReply](c, g.clients["2"], batch)
		}
		reply := g.reconcile("1", g.request(2, 2, "2", "3"))
		c.Assert(reply.Done, qt.IsTrue, qt.Commentf("%+v", reply))
		c.Assert(reply.Copied, qt.Equals, count)
		c.Assert(g.stores["1"].messages(), qt.Equals, count)
	})
}

// The time of an end is copied with it, so that the copy is kept no longer than the original.
func TestCopiedEndKeepsItsTime(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		g.append("2", "m")
		g.end("2", "m", protocol.Completed)
		time.Sleep(50 * time.Second)
		for _, name := range []string{"2", "3"} {
			g.renew(name, 1)
		}
		c.Assert(g.reconcile("1", g.request(2, 2, "2", "3")).Done, qt.IsTrue)
		c.Assert(g.query("1", "m").Head.SinceEnd >= 50*time.Second, qt.IsTrue)
	})
}

// The reply to a reconciliation request waits up to maxReconcileReplyWait for the result.
func TestReplyWaitsForReconciliation(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		g.append("2", "open")
		asked := time.Now()
		reply, err := g.reconcilers["1"].handle(context.Background(), g.request(2, 2, "2", "3"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Done, qt.IsTrue)
		c.Assert(time.Since(asked) < maxReconcileReplyWait, qt.IsTrue)

		asked = time.Now()
		reply, err = g.reconcilers["1"].handle(context.Background(), g.request(2, 3, "2", "3"))
		c.Assert(err, qt.IsNil)
		c.Assert(reply.Done, qt.IsFalse, qt.Commentf("three sources are required"))
		c.Assert(time.Since(asked), qt.Equals, maxReconcileReplyWait)
	})
}

// A message that is being accepted is at one store only for a moment, and a message may arrive
// during the comparison. Neither may delay the removal of a store.
func TestInFlightMessagesAreNotMissing(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		g.append("1", "on its way")
		g.append("1", "left alone")
		go func() {
			time.Sleep(recheckDelay / 2)
			g.append("2", "on its way")
			g.append("1", "arrived later")
		}()
		reply := g.reconcile("1", g.request(2, 3, "1", "2", "3"))
		c.Assert(reply.Done, qt.IsTrue, qt.Commentf("%+v", reply))
		c.Assert(reply.Missing, qt.Equals, 1, qt.Commentf("only \"left alone\" is at a single store"))
	})
}

// A message that cannot be copied keeps no other message from being copied, whatever their order; the order does not count
// as done, and is when that message is gone.
func TestMessageThatCannotBeCopied(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		const others = 100
		for i := range others {
			g.append("2", fmt.Sprint("m-", i))
		}
		long := message("long", "ordered/1", 1)
		long.Head.Target = strings.Repeat("t", protocol.MaxFieldBytes+1)
		source := g.stores["2"]
		source.mutex.Lock()
		_, _, err := source.appendNew(&long)
		source.mutex.Unlock()
		c.Assert(err, qt.IsNil)
		request := g.request(2, 2, "2", "3")
		reply := g.reconcile("1", request)
		c.Assert(reply.Done, qt.IsFalse)
		c.Assert(reply.Refused, qt.Equals, 1)
		c.Assert(reply.Cause, qt.Contains, "1 messages cannot be copied: protocol: message long")
		for i := range others {
			c.Assert(g.query("1", fmt.Sprint("m-", i)).Held, qt.IsTrue, qt.Commentf("%d", i))
		}
		source.mutex.Lock()
		source.removeEntry(source.index.entries["long"])
		source.mutex.Unlock()
		time.Sleep(2 * maxRefusedRetryDelay)
		c.Assert(g.reconcile("1", request).Done, qt.IsTrue)
	})
}

// A store takes from another one whatever that one takes from dispatchers: an end may name no queue.
func TestEndWithoutAQueueIsCopied(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		end := protocol.End{ID: "m", State: protocol.Completed, Stamp: "seal"}
		callOn[protocol.EndBatchReply](c, g.clients["2"], protocol.EndBatch{Ends: []protocol.End{end}})
		reply := g.reconcile("1", g.request(2, 2, "2", "3"))
		c.Assert(reply.Done, qt.IsTrue, qt.Commentf("%+v", reply))
		c.Assert(g.query("1", "m").Head.Stamp, qt.Equals, "seal")
	})
}

// A store without room for a body reads no further ones, but still copies ends.
func TestFullStoreCopiesEnds(t *testing.T) {
	withStoresRig(t, []string{"1", "2", "3"}, func(c *qt.C, g *storesRig) {
		for i := range 10 * maxParallelFetches {
			g.append("2", fmt.Sprint("m-", i))
		}
		g.append("2", "done")
		g.end("2", "done", protocol.Completed)
		g.stores["1"].options.maxIndexBytes = 0
		reply := g.reconcile("1", g.request(2, 2, "2", "3"))
		c.Assert(reply.Done, qt.IsFalse)
		c.Assert(reply.Cause, qt.Contains, "no room")
		c.Assert(g.query("1", "done").Head.Stamp, qt.Equals, "seal")
		g.stores["1"].mutex.Lock()
		defer g.stores["1"].mutex.Unlock()
		c.Assert(g.stores["1"].copiesRefused <= 4*maxParallelFetches, qt.IsTrue, qt.Commentf("a part of each of the attempts of a second"))
	})
}
