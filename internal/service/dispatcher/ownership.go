package dispatcher

import (
	"cmp"
	"context"
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
	orderedPartitions = 32
	orderedPrefix     = "ordered/"
	ratedPrefix       = "rated/"
	acquirePause      = 150 * time.Millisecond
	handOverAfter     = 2 * time.Second        // a better owner must have been live for so long
	handOverWait      = 3 * time.Second        // for deliveries under way, at least
	handOverSlack     = 500 * time.Millisecond // for a connection and the record of the end, beside the route's time-out
	closeWait         = 500 * time.Millisecond // for messages that are being accepted
	handOverPause     = 10 * time.Millisecond  // between two looks
	handOverParallel  = 4
)

// ownedQueue is a queue that this dispatcher owns.
type ownedQueue struct {
	*queue.Queue
	granted   map[string]time.Duration // when the grants of stores were asked for
	asked     map[string]bool          // stores that a claim is under way at
	outbid    map[string]bool          // stores that have promised a higher epoch
	accepting map[string]chan struct{} // messages that are being accepted
	leaving   bool                     // it is handed over: no delivery begins
	closed    bool                     // it is about to be released: nothing is accepted any more
	raising   bool                     // a higher epoch is asked for
	dropped   bool                     // another dispatcher owns it

	unsafeEnds map[string]*queue.Entry // messages whose ends too few stores had recorded at the last look
}

// sessionTable is what the stores together tell about dispatchers and queues.
type sessionTable struct {
	sessions map[string]protocol.Session // ready ones, by node
	nodes    []string                    // of those, sorted
	since    map[string]time.Duration    // when each was first seen ready
	holders  map[string]protocol.QueueState
	orphans  []string // queues with open messages and no owner
}

// queueFor returns the queue that a message to a route belongs to.
func (d *Dispatcher) queueFor(route *configuration.Route, service *configuration.Service, orderingKey string) string {
	switch {
	case route.Ordered && orderingKey != "":
		return orderedPrefix + strconv.Itoa(partitionOf(orderingKey))
	case service.Rated():
		return ratedPrefix + service.Name
	default:
		return d.currentLocalQueue()
	}
}

// localQueueName returns the name of the queue of a process's own messages. The
// number tells it from those that the same process has lost.
func localQueueName(identity protocol.Identity, number int) string {
	name := protocol.LocalQueuePrefix + identity.Node + "/" + strconv.FormatUint(identity.Incarnation, 36)
	if number > 0 {
		name += "/" + strconv.Itoa(number)
	}
	return name
}

// currentLocalQueue returns the queue for this dispatcher's own messages.
func (d *Dispatcher) currentLocalQueue() string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.localQueue
}

// renameLocalQueue takes a new queue for this dispatcher's own messages, after
// another dispatcher has taken over the old one: it may hold that for long. The
// mutex is held.
func (d *Dispatcher) renameLocalQueue() {
	d.localQueues++
	d.localQueue = localQueueName(d.identity, d.localQueues)
	d.considerQueues()
}

// isLocal reports whether a queue holds the messages of one process alone.
func isLocal(name string) bool { return strings.HasPrefix(name, protocol.LocalQueuePrefix) }

func partitionOf(orderingKey string) int {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(orderingKey))
	return int(hash.Sum32() % orderedPartitions)
}

// sharedQueues lists the queues that the configuration calls for.
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
		if service.Rated() {
			names = append(names, ratedPrefix+service.Name)
		}
	}
	for partition := 0; ordered && partition < orderedPartitions; partition++ {
		names = append(names, orderedPrefix+strconv.Itoa(partition))
	}
	return names
}

// refreshTable folds what all stores tell into one table. The mutex is held.
func (d *Dispatcher) refreshTable() {
	d.tableStale, d.tableFolded = false, d.now()
	table := sessionTable{
		sessions: map[string]protocol.Session{}, since: map[string]time.Duration{},
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
		table.since[node] = cmp.Or(d.table.since[node], d.now())
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

// ownerAddress returns the internal address of a queue's owner. Empty means
// that none is known.
func (d *Dispatcher) ownerAddress(name string) string {
	state, some := d.table.holders[name]
	if !some || state.Holder == "" {
		return ""
	}
	return d.table.sessions[state.Holder].Identity.Address
}

// mayAct reports whether deliveries from a queue may begin now.
func (d *Dispatcher) mayAct(owned *ownedQueue) bool {
	if owned.dropped || owned.leaving {
		return false
	}
	if owned.Name == d.localQueue {
		return d.leaseHeld(owned)
	}
	return d.leaseValid(owned)
}

// leaseHeld reports whether so many stores that count have granted a queue that nobody else can have it now: too few
// are left for another lease. The mutex is held.
func (d *Dispatcher) leaseHeld(owned *ownedQueue) bool {
	_, held := d.leases.ValidUntil(owned.Name, d.now(), d.copiesWanted(), d.grantsCount)
	return held
}

// leaseValid reports whether stores that count have granted a queue, so many that
// nobody else can have it now. The mutex is held.
func (d *Dispatcher) leaseValid(owned *ownedQueue) bool {
	_, valid := d.leases.ValidUntil(owned.Name, d.now(), d.grantsWanted(), d.grantsCount)
	return valid
}

// knownStores returns how many stores the system has.
func (d *Dispatcher) knownStores() int { return max(len(d.stores), d.copiesWanted()) }

// grantsWanted returns how many stores must grant a lease.
func (d *Dispatcher) grantsWanted() int {
	return max(d.knownStores()-d.settings.FaultTolerance.Machines, d.copiesWanted())
}

// considerQueues decides which queues to ask for and which to hand over.
func (d *Dispatcher) considerQueues() { signal(d.ownershipWake) }

// runOwnership asks for queues and hands queues over until the context ends.
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
		if asked || d.ownsLocalQueue() { // without its own queue it waits for nothing but stores
			pause(ctx, acquirePause)
		}
	}
}

// ownsLocalQueue reports whether this dispatcher can accept messages of its own.
func (d *Dispatcher) ownsLocalQueue() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.queues[d.localQueue] != nil
}

// queueMove is a queue that another dispatcher should own.
type queueMove struct{ name, successor string }

// planQueues returns the queues to ask for and those to hand over.
func (d *Dispatcher) planQueues() (wanted []string, surplus []queueMove) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.queues[d.localQueue] == nil && !d.closing {
		wanted = append(wanted, d.localQueue)
	}
	if !d.takesQueues() {
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

// surplusQueues lists queues whose first owner in order is another dispatcher
// that has been live for a while.
func (d *Dispatcher) surplusQueues() []queueMove {
	var moves []queueMove
	leaving := 0
	for _, owned := range d.queues {
		if owned.leaving {
			leaving++
		}
	}
	for name, owned := range d.queues {
		if leaving >= handOverParallel {
			break
		}
		if owned.leaving || isLocal(name) {
			continue
		}
		first := placement.First(name, d.table.nodes)
		if first == "" || first == d.identity.Node {
			continue
		}
		if d.now()-d.table.since[first] > handOverAfter {
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

// pause waits, or less if the context ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
