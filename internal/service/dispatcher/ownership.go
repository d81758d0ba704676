package dispatcher

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

const (
	orderedPartitions    = 32
	orderedPrefix        = "ordered/"
	ratedPrefix          = "rated/"
	acquirePause         = 150 * time.Millisecond
	successorMinLive     = 2 * time.Second        // time that a preferred owner must have been live before it gets a queue
	minHandOverWait      = 3 * time.Second        // minimum wait for deliveries under way
	handOverSlack        = 500 * time.Millisecond // added to the route's timeout, for the connection and for recording the end
	acceptingWait        = 500 * time.Millisecond // for messages that are being accepted
	handOverPollInterval = 10 * time.Millisecond  // poll interval
	maxParallelHandOvers = 4
)

// ownedQueue is a queue that this dispatcher owns.
type ownedQueue struct {
	*queue.Queue
	grantRequestedAt map[string]time.Duration // when each store's grant was requested
	claiming         map[string]bool          // stores with a claim under way
	outbid           map[string]bool          // stores that have promised the same or a higher epoch to another dispatcher
	accepting        map[string]chan struct{} // messages that are being accepted; the channel is closed afterwards
	leaving          bool                     // it is being handed over: no delivery starts
	closed           bool                     // it is about to be released: no message is accepted
	raisingEpoch     bool                     // a request for a higher epoch is under way
	dropped          bool                     // it is no longer owned here: released, or lost to another dispatcher

	heldFor    map[string]protocol.Identity // previous owners, by ID of the messages that they may have at senders
	unsafeEnds map[string]*queue.Entry      // messages whose ends are not yet recorded by enough stores
}

// sessionTable is the merged view that the stores have of dispatchers and queues.
type sessionTable struct {
	sessions   map[string]protocol.Session // of ready dispatchers, by node
	nodes      []string                    // keys of sessions, sorted
	readySince map[string]time.Duration    // when each node was first seen ready
	holders    map[string]protocol.QueueState
	orphans    []string // queues with open messages and no owner
}

// queueFor returns the queue that a message to a route belongs to.
func (d *Dispatcher) queueFor(route *configuration.Route, service *configuration.Service, orderingKey string) string {
	switch {
	case route.Ordered && orderingKey != "":
		return orderedPrefix + strconv.Itoa(partitionOf(orderingKey))
	case service.RateLimited():
		return ratedQueue(service.Name)
	default:
		return d.currentLocalQueue()
	}
}

// ratedQueue returns the name of the queue for the messages of a rate-limited service. The name of a service may be longer
// than that of a queue: then its digest stands for it.
func ratedQueue(service string) string {
	if name := ratedPrefix + service; len(name) <= protocol.MaxNameBytes {
		return name
	}
	digest := sha256.Sum256([]byte(service))
	return ratedPrefix + "sha256/" + hex.EncodeToString(digest[:])
}

// localQueueName returns the name of the queue for a process's own messages. The
// number distinguishes it from queues that the same process has lost.
func localQueueName(identity protocol.Identity, number int) string {
	name := protocol.LocalQueuePrefix + identity.Node + "/" + strconv.FormatUint(identity.Incarnation, 36)
	if number > 0 {
		name += "/" + strconv.Itoa(number)
	}
	return name
}

// currentLocalQueue returns the name of the queue for this dispatcher's own messages.
func (d *Dispatcher) currentLocalQueue() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.localQueue
}

// replaceLocalQueue switches to a new queue for this dispatcher's own messages,
// after another dispatcher has taken over the old one and may keep it for long. The
// mutex is held.
func (d *Dispatcher) replaceLocalQueue() {
	d.lostLocalQueues++
	d.localQueue = localQueueName(d.identity, d.lostLocalQueues)
	d.wakeOwnership()
}

// isLocal reports whether a queue is for the messages of a single process.
func isLocal(name string) bool { return strings.HasPrefix(name, protocol.LocalQueuePrefix) }

func partitionOf(orderingKey string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(orderingKey))
	return int(hash.Sum32() % orderedPartitions)
}

// sharedQueues lists the shared queues that the configuration requires.
func sharedQueues(current *configuration.Configuration) []string {
	if current == nil {
		return nil
	}
	var names []string
	ordered := false
	for _, route := range current.Routes() {
		ordered = ordered || route.Ordered
	}
	for _, service := range current.Services() {
		if service.RateLimited() {
			names = append(names, ratedQueue(service.Name))
		}
	}
	for partition := 0; ordered && partition < orderedPartitions; partition++ {
		names = append(names, orderedPrefix+strconv.Itoa(partition))
	}
	return names
}

// mergeTables merges the tables of all stores that are up. The mutex is held.
func (d *Dispatcher) mergeTables() {
	d.tableMergePending, d.tableMergedAt = false, d.now()
	table := sessionTable{
		sessions: map[string]protocol.Session{}, readySince: map[string]time.Duration{},
		holders: map[string]protocol.QueueState{},
	}
	open := map[string]bool{}
	for _, link := range d.stores {
		if !link.up {
			continue
		}
		for _, session := range link.sessions {
			known, some := table.sessions[session.Identity.Node]
			if session.Ready && (!some || session.Identity.Incarnation > known.Identity.Incarnation) {
				table.sessions[session.Identity.Node] = session
			}
		}
		for name, state := range link.holders {
			known, some := table.holders[name]
			if !some || state.Epoch > known.Epoch || state.Epoch == known.Epoch && known.Holder == "" {
				table.holders[name] = state
			}
			open[name] = open[name] || state.Open > 0
		}
	}
	for node := range table.sessions {
		table.nodes = append(table.nodes, node)
		table.readySince[node] = cmp.Or(d.table.readySince[node], d.now())
	}
	slices.Sort(table.nodes)
	for name, state := range table.holders {
		if open[name] && state.Holder == "" {
			table.orphans = append(table.orphans, name)
		}
	}
	d.table = table
	d.refreshFleet()
	signal(d.ownershipWake)
}

// ownerAddress returns the internal address of a queue's owner, or "" if none is
// known.
func (d *Dispatcher) ownerAddress(name string) string {
	state, found := d.table.holders[name]
	if !found || state.Holder == "" {
		return ""
	}
	return d.table.sessions[state.Holder].Identity.Address
}

// mayDeliver reports whether deliveries from a queue may start now.
func (d *Dispatcher) mayDeliver(owned *ownedQueue) bool {
	if owned.dropped || owned.leaving {
		return false
	}
	if owned.Name == d.localQueue {
		return d.leaseHeld(owned)
	}
	return d.leaseValid(owned)
}

// leaseHeld reports whether enough complete stores have granted a queue that too few are left to grant it to
// another dispatcher. The mutex is held.
func (d *Dispatcher) leaseHeld(owned *ownedQueue) bool {
	_, held := d.leases.ValidUntil(owned.Name, d.now(), d.requiredCopies(), d.grantCounts)
	return held
}

// leaseLeft returns how long deliveries from a queue may still start. The mutex is held.
func (d *Dispatcher) leaseLeft(owned *ownedQueue) time.Duration {
	needed := d.grantsNeeded()
	if owned.Name == d.localQueue {
		needed = d.requiredCopies()
	}
	until, valid := d.leases.ValidUntil(owned.Name, d.now(), needed, d.grantCounts)
	if !valid {
		return 0
	}
	return until - d.now()
}

// leaseValid reports whether enough complete stores have granted a queue for a valid
// lease. The mutex is held.
func (d *Dispatcher) leaseValid(owned *ownedQueue) bool {
	_, valid := d.leases.ValidUntil(owned.Name, d.now(), d.grantsNeeded(), d.grantCounts)
	return valid
}

// knownStores returns the number of stores in the system.
func (d *Dispatcher) knownStores() int { return max(len(d.stores), d.requiredCopies()) }

// grantsNeeded returns how many stores must grant a lease.
func (d *Dispatcher) grantsNeeded() int {
	return max(d.knownStores()-d.settings.FaultTolerance.Machines, d.requiredCopies())
}

// wakeOwnership wakes the loop that acquires queues and hands them over.
func (d *Dispatcher) wakeOwnership() { signal(d.ownershipWake) }

// runOwnership acquires queues and hands queues over until the context ends.
func (d *Dispatcher) runOwnership(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.ownershipWake:
		}
		wanted, surplus := d.planQueues()
		for _, move := range surplus {
			d.startHandOver(ctx, move.name, move.successor)
		}
		asked := len(surplus) > 0
		for batch := range slices.Chunk(wanted, d.acquireBatch()) {
			asked = d.acquire(ctx, batch) || asked
		}
		if asked || d.ownsLocalQueue() { // without its local queue it retries as soon as stores come up
			pause(ctx, acquirePause)
		}
	}
}

// ownsLocalQueue reports whether this dispatcher can accept messages into its local queue.
func (d *Dispatcher) ownsLocalQueue() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queues[d.localQueue] != nil
}

// queueMove is a queue that another dispatcher should own.
type queueMove struct{ name, successor string }

// planQueues returns the queues to acquire and those to hand over.
func (d *Dispatcher) planQueues() (wanted []string, surplus []queueMove) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.queues[d.localQueue] == nil && !d.closing {
		wanted = append(wanted, d.localQueue)
	}
	if !d.takesSharedQueues() {
		return wanted, nil
	}
	names := append(sharedQueues(d.configuration.Load()), d.table.orphans...)
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		if d.queues[name] != nil || name == d.localQueue {
			continue
		}
		if holder := d.table.holders[name].Holder; holder != "" && holder != d.identity.Node {
			continue
		}
		if placement.First(name, d.table.nodes) == d.identity.Node {
			wanted = append(wanted, name)
		}
	}
	return wanted, d.surplusQueues()
}

// surplusQueues lists queues whose preferred owner is another dispatcher that has
// been live for a while.
func (d *Dispatcher) surplusQueues() []queueMove {
	var moves []queueMove
	leaving := 0
	for _, owned := range d.queues {
		if owned.leaving {
			leaving++
		}
	}
	for name, owned := range d.queues {
		if leaving >= maxParallelHandOvers {
			break
		}
		if owned.leaving || isLocal(name) {
			continue
		}
		first := placement.First(name, d.table.nodes)
		if first == "" || first == d.identity.Node {
			continue
		}
		if d.now()-d.table.readySince[first] > successorMinLive {
			moves = append(moves, queueMove{name, first})
			leaving++
		}
	}
	return moves
}

func (d *Dispatcher) upStores() []*storeLink {
	var links []*storeLink
	for _, link := range d.stores {
		if link.up {
			links = append(links, link)
		}
	}
	return links
}

// pause waits for a duration, or until the context ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
