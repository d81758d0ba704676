package dispatcher

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/delivery"
	"yardwharf/internal/service/distance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/verdict"
)

const testConfiguration = `{"revision":1,"routes":[
{"name":"plain","hostname":"h.example","pathPrefix":"/plain/","routeType":"async","timeoutMs":1000,"targetLatencyMs":80,"priority":1,"service":"free","maxRetries":3,"ordered":false,"retentionS":90,"callback":false,"scheduleTargetMs":800},
{"name":"rated","hostname":"h.example","pathPrefix":"/rated/","routeType":"async","timeoutMs":1000,"targetLatencyMs":80,"priority":1,"service":"outside","maxRetries":3,"ordered":false,"retentionS":90,"callback":false,"scheduleTargetMs":800},
{"name":"keys","hostname":"h.example","pathPrefix":"/keys/","routeType":"async","timeoutMs":1000,"targetLatencyMs":80,"priority":1,"service":"outside","maxRetries":2,"ordered":true,"retentionS":90,"callback":false,"scheduleTargetMs":800}],
"services":[
{"name":"free","healthCheck":"/health","maxConns":10,"protocol":"h1","tls":false,"ratePerS":0,"dedup":false,"pull":false,"staticEndpoint":null},
{"name":"outside","healthCheck":"/health","maxConns":10,"protocol":"h1","tls":false,"ratePerS":10,"dedup":false,"pull":false,"staticEndpoint":"127.0.0.1:1"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// newTestDispatcher returns a dispatcher without listeners or stores.
func newTestDispatcher(c *qt.C) *Dispatcher {
	d := newDispatcher(&settings.Settings{
		Node: "edge-a-1", IP: "127.0.0.1", Zone: "a", Zones: map[string]string{"a": "r", "b": "r"},
		InternalPorts: []int{7780, 7795}, Limits: settings.Limits{MemoryMb: 100},
		FaultTolerance: settings.FaultTolerance{Machines: 1},
	}, logr.Discard())
	parsed, err := configuration.Parse([]byte(testConfiguration))
	c.Assert(err, qt.IsNil)
	d.configuration.Store(parsed)
	d.reconfigureServices(parsed)
	return d
}

// addOwnedQueue makes the dispatcher the owner of a queue without asking any store.
func addOwnedQueue(d *Dispatcher, name string, epoch uint64) *ownedQueue {
	owned := &ownedQueue{
		Queue: queue.New(name, epoch), grantRequestedAt: map[string]time.Duration{}, claiming: map[string]bool{},
		accepting: map[string]chan struct{}{}, outbid: map[string]bool{},
	}
	d.queues[name] = owned
	return owned
}

// grantPermanentLease grants a dispatcher a lease on a queue from all its stores that does not expire.
func grantPermanentLease(d *Dispatcher, owned *ownedQueue) {
	const far = 1000 * time.Hour
	for node := range d.stores {
		d.leases.Renewed(node, far, far)
		d.leases.Granted(node, owned.Name, owned.Epoch, far)
	}
}

func TestQueueOfAMessage(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	current := d.configuration.Load()
	queueOf := func(path, key string) string {
		route, service, found := current.Match("h.example", path)
		c.Assert(found, qt.IsTrue)
		return d.queueFor(route, service, key)
	}
	c.Assert(queueOf("/plain/x", "k"), qt.Equals, d.localQueue)
	c.Assert(queueOf("/rated/x", ""), qt.Equals, "rated/outside")
	c.Assert(queueOf("/keys/x", "k"), qt.Equals, queueOf("/keys/y", "k"))
	c.Assert(queueOf("/keys/x", "k"), qt.Matches, "ordered/.*")
	c.Assert(queueOf("/keys/x", ""), qt.Equals, "rated/outside")
}

// Stores refuse names of queues over the bound; the name of a service has none.
func TestQueueOfAServiceWithALongName(t *testing.T) {
	c := qt.New(t)
	longest := strings.Repeat("n", protocol.MaxNameBytes-len(ratedPrefix))
	c.Assert(ratedQueue(longest), qt.Equals, ratedPrefix+longest, qt.Commentf("as in earlier builds"))
	for _, service := range []string{longest + "n", strings.Repeat("n", protocol.MaxFieldBytes)} {
		c.Assert(protocol.CheckName("queue", ratedQueue(service)), qt.IsNil)
		c.Assert(ratedQueue(service), qt.Not(qt.Equals), ratedQueue(service+"n"))
	}
}

func TestUrgentMessagesComeBeforeLateOnes(t *testing.T) {
	c := qt.New(t)
	var waiting waitingMessages
	states := map[string]*deliveryState{}
	for _, one := range []struct {
		key string
		aim time.Duration
	}{{"late-1", 1}, {"soon", 20}, {"late-2", 2}, {"later", 30}, {"gone", 15}} {
		states[one.key] = &deliveryState{key: one.key, startTarget: one.aim}
		waiting.add(states[one.key])
	}
	waiting.withdraw(states["gone"])
	waiting.withdraw(states["gone"])
	var order []string
	for !waiting.empty() {
		order = append(order, waiting.next(10).key)
	}
	c.Assert(order, qt.DeepEquals, []string{"soon", "later", "late-1", "late-2"})
	c.Assert(waiting.next(10), qt.IsNil)
}

func TestHeadsOfStoresAreMerged(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	d.stores["s2"] = &storeLink{node: "s2", pendingEnds: map[string]protocol.End{}, pendingFailures: map[string]int{}, sendEndsNow: make(chan struct{}, 1)}
	owned := addOwnedQueue(d, "ordered/1", 5)
	head := func(id string, epoch, sequence uint64, state protocol.State) protocol.Head {
		return protocol.Head{ID: id, OrderingKey: "k", Epoch: epoch, Sequence: sequence, State: state, Retention: time.Minute}
	}
	d.adopt(owned, map[string][]protocol.Head{
		"s1": {head("second", 4, 1, protocol.Queued), head("done", 3, 1, protocol.Completed)},
		"s2": {head("first", 3, 2, protocol.Queued), head("done", 3, 1, protocol.Queued)},
	})
	steps := owned.Advance(d.now())
	c.Assert(steps, qt.HasLen, 1)
	c.Assert(steps[0].Entry.Head.ID, qt.Equals, "first")
	c.Assert(owned.Open(), qt.Equals, 2)
	c.Assert(d.stores["s2"].pendingEnds["done"].State, qt.Equals, protocol.Completed)
	c.Assert(d.repairs, qt.HasLen, 2)
}

// sameRegion places every store in the dispatcher's region.
func sameRegion(*storeLink) distance.Distance { return distance.SameRegion }

func TestZonesAreSpread(t *testing.T) {
	c := qt.New(t)
	a1, a2, a3 := &storeLink{node: "a1", zone: "a"}, &storeLink{node: "a2", zone: "a"}, &storeLink{node: "a3", zone: "a"}
	b1, b2, c1 := &storeLink{node: "b1", zone: "b"}, &storeLink{node: "b2", zone: "b"}, &storeLink{node: "c1", zone: "c"}
	order := func(copies int, links ...*storeLink) string {
		var names []string
		for _, link := range spreadZones(links, copies, sameRegion) {
			names = append(names, link.node)
		}
		return strings.Join(names, " ")
	}
	c.Assert(order(2, a1, a2, b1), qt.Equals, "a1 b1 a2")
	c.Assert(order(2, a1, a2, b1, b2, c1), qt.Equals, "a1 b1 a2 b2 c1")
	c.Assert(order(3, a1, a2, a3, b1, b2, c1), qt.Equals, "a1 b1 a2 a3 b2 c1")
	c.Assert(order(3, a1, b1, b2, c1), qt.Equals, "a1 b1 b2 c1")
	c.Assert(order(3, a1, a2, a3), qt.Equals, "a1 a2 a3")
	c.Assert(order(2, b1), qt.Equals, "b1")
	c.Assert(order(2), qt.Equals, "")
}

// Stores in another region come last, whatever their zones, unless those in the dispatcher's
// region are far slower.
func TestCopiesStayInTheRegion(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	d.settings.Zones = map[string]string{"a": "r", "b": "r", "x": "far", "y": "far"}
	for _, store := range [][2]string{{"0x", "x"}, {"0y", "y"}, {"a1", "a"}, {"b1", "b"}, {"b2", "b"}, {"a2", "a"}} {
		d.stores[store[0]] = &storeLink{node: store[0], zone: store[1], up: true, storeID: store[0], completeDisk: store[0], latency: 5 * time.Millisecond}
	}
	var order []string
	for _, link := range d.candidates() {
		order = append(order, link.node)
	}
	c.Assert(order, qt.DeepEquals, []string{"a1", "b1", "a2", "b2", "0x", "0y"})
	for _, store := range []string{"a1", "a2", "b1", "b2"} {
		d.stores[store].latency = time.Second
	}
	c.Assert(d.candidates()[0].node, qt.Equals, "0x")
}

// A message whose copies are all in one zone gets its next copy in another zone.
func TestRepairPrefersAnotherZone(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c", "d")
	d.stores["b"].zone = "a"
	owned := d.own("ordered/1")
	entry := owned.Add(0, protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}, nil, []string{"a"})
	d.stores["b"].latency = 0
	d.stores["c"].latency, d.stores["d"].latency = time.Second, 2*time.Second
	c.Assert(d.repairTarget(entry).node, qt.Equals, "c")
	entry.Holders = []string{"a", "c"}
	c.Assert(d.repairTarget(entry).node, qt.Equals, "b")
}

func TestPermitsExpire(t *testing.T) {
	c := qt.New(t)
	rate := rateState{permits: []time.Duration{5, 10, 20}}
	c.Assert(rate.takePermit(7), qt.IsTrue)
	c.Assert(rate.takePermit(19), qt.IsTrue)
	c.Assert(rate.takePermit(19), qt.IsFalse)
}

func TestOnlyTheOwnerGrantsPermits(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	reply := d.grantPermits(protocol.AcquirePermits{Service: "outside", Count: 3})
	c.Assert(reply.Granted, qt.Equals, 0)
	reply = d.grantPermits(protocol.AcquirePermits{Service: "unknown", Count: 3})
	c.Assert(reply.Granted, qt.Equals, 0)
}

func TestFailedAttemptsEndAMessage(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	owned := addOwnedQueue(d, "ordered/1", 1)
	entry := owned.Add(d.now(), protocol.Head{ID: "m", Retention: time.Minute}, nil, nil)
	state := &deliveryState{key: "m@1", owned: owned, entry: entry, service: d.services["outside"], route: &configuration.Route{MaxRetries: 2}}
	failed := delivery.Result{Verdict: verdict.Ran, Status: 500}
	owned.Advance(d.now())
	d.applyResult(state, delivery.Result{Verdict: verdict.MayHaveRun, RetryAfter: delivery.NoRetryAfter})
	c.Assert(entry.Head.Failures, qt.Equals, 0)
	owned.Advance(time.Minute / 2)
	d.applyResult(state, failed)
	c.Assert(entry.Head.State, qt.Equals, protocol.Queued)
	c.Assert(entry.Head.Failures, qt.Equals, 1)
	owned.Advance(time.Minute / 2)
	d.applyResult(state, failed)
	c.Assert(entry.Head.State, qt.Equals, protocol.DeadLetter)
}

func TestUnknownAttemptIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	d.deliver("unknown", d.services["free"], balance.Attempt{})
	c.Assert(d.services["free"].driver.Waiting(), qt.Equals, 0)
}

func TestQueueIsAskedForOnceAtATime(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	addOwnedQueue(d, "owned", 1)
	wanted := d.beginAcquire([]string{"owned", "free"}).names
	c.Assert(wanted, qt.DeepEquals, []string{"free"})
	again := d.beginAcquire([]string{"free"}).names
	c.Assert(again, qt.HasLen, 0)
	d.endAcquire(wanted)
	again = d.beginAcquire([]string{"free"}).names
	c.Assert(again, qt.DeepEquals, []string{"free"})
}

func TestLostConnectionEndsTheGrantsOfItsStore(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	owned := addOwnedQueue(d, "ordered/1", 1)
	for _, node := range []string{"s1", "s2", "s3"} {
		d.stores[node] = &storeLink{node: node, up: true, storeID: "disk", completeDisk: "disk", renewNow: make(chan struct{}, 1)}
		d.leases.Renewed(node, d.now(), d.now())
		d.noteGrant(owned, d.stores[node], d.now())
	}
	c.Assert(d.mayDeliver(owned), qt.IsTrue)
	d.connectionLost(d.stores["s1"])
	c.Assert(d.mayDeliver(owned), qt.IsTrue)
	d.connectionLost(d.stores["s2"])
	c.Assert(d.mayDeliver(owned), qt.IsFalse)
}

func TestLostLocalQueueIsReplaced(t *testing.T) {
	c := qt.New(t)
	d := newTestDispatcher(c)
	before := d.currentLocalQueue()
	d.drop(addOwnedQueue(d, before, 1), "another dispatcher owns it")
	after := d.currentLocalQueue()
	c.Assert(after, qt.Not(qt.Equals), before)
	c.Assert(isLocal(after), qt.IsTrue)
	wanted, _ := d.planQueues()
	c.Assert(wanted, qt.DeepEquals, []string{after})
}

// A message keeps its place in the order of acceptance after a later owner has
// replaced one of its copies under its own epoch.
func TestReplacedCopyKeepsItsPlace(t *testing.T) {
	c := qt.New(t)
	head := func(id string, epoch, sequence uint64) protocol.Head {
		return protocol.Head{ID: id, OrderingKey: "k", Epoch: epoch, Sequence: sequence, State: protocol.Queued, Retention: time.Minute}
	}
	for range 10 { // the order in which the stores are visited is random
		d := newTestDispatcher(c)
		owned := addOwnedQueue(d, "ordered/1", 9)
		d.adopt(owned, map[string][]protocol.Head{
			"s1": {head("first", 7, 5), head("second", 2, 6)},
			"s2": {head("first", 2, 5), head("second", 2, 6)},
		})
		steps := owned.Advance(d.now())
		c.Assert(steps, qt.HasLen, 1)
		c.Assert(steps[0].Entry.Head.ID, qt.Equals, "first")
	}
}

func TestCopyIsFencedByTheLeaseOfItsWriter(t *testing.T) {
	c := qt.New(t)
	message := protocol.Message{Head: protocol.Head{Epoch: 2}, Lease: 7}
	c.Assert(message.LeaseEpoch(), qt.Equals, uint64(7))
	c.Assert((&protocol.Message{Head: protocol.Head{Epoch: 2}}).LeaseEpoch(), qt.Equals, uint64(2))
}
