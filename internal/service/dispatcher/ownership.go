package dispatcher

import (
	"cmp"
	"context"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/placement"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

const (
	orderedPartitions = 32
	orderedPrefix     = "ordered/"
	ratedPrefix       = "rated/"
	localPrefix       = "local/"
	acquireTimeout    = 600 * time.Millisecond
	acquirePause      = 150 * time.Millisecond
	acquireBatch      = 64
	handOverAfter     = 2 * time.Second // a better owner must have been live for so long
	handOverWait      = 3 * time.Second // for deliveries under way
	handOverParallel  = 4
)

// ownedQueue is a queue that this dispatcher owns.
type ownedQueue struct {
	*queue.Queue
	granted   map[string]time.Duration // when the grants of stores were asked for
	asked     map[string]bool          // stores that a claim is under way at
	outbid    map[string]bool          // stores that have promised a higher epoch
	accepting map[string]chan struct{} // messages that are being accepted
	leaving   bool                     // it is handed over
	raising   bool                     // a higher epoch is asked for
	dropped   bool                     // another dispatcher owns it
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
	name := localPrefix + identity.Node + "/" + strconv.FormatUint(identity.Incarnation, 36)
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
func isLocal(name string) bool { return strings.HasPrefix(name, localPrefix) }

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
		if open[name] && (state.Holder == "" || d.holdsUnknowingly(name, state.Holder)) {
			table.orphans = append(table.orphans, name)
		}
	}
	changed := !slices.Equal(d.table.nodes, table.nodes)
	d.table = table
	if changed {
		d.refreshFleet()
	}
	signal(d.ownershipWake)
}

// holdsUnknowingly reports whether stores take this dispatcher for the owner of
// the messages of a process that has ended, although it does not own them: its
// request was granted after it had given up waiting. Nobody else can ask for the
// queue then. The mutex is held.
func (d *Dispatcher) holdsUnknowingly(name, holder string) bool {
	return isLocal(name) && holder == d.identity.Node && d.queues[name] == nil
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
		return true // the messages are this process's own; ends are what decides
	}
	_, valid := d.leases.ValidUntil(owned.Name, d.now(), d.knownStores(), d.knownStores()-d.grantsWanted())
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
		for batch := range slices.Chunk(wanted, acquireBatch) {
			d.acquire(ctx, batch)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(acquirePause):
		}
	}
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
		first := placement.First(name, d.table.nodes) == d.identity.Node
		if first || d.holdsUnknowingly(name, d.table.holders[name].Holder) {
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

// storeGrant is one store's answer to a request for leases.
type storeGrant struct {
	link  *storeLink
	reply protocol.AcquireReply
	ok    bool
}

// acquire asks all stores for queues that have no owner and takes in those that
// enough stores granted.
func (d *Dispatcher) acquire(ctx context.Context, names []string) {
	names, epoch, links := d.beginAcquire(names)
	defer d.acquired(names)
	if len(names) == 0 || links == nil {
		return
	}
	sent := d.now()
	answers := d.askStores(ctx, links, protocol.Acquire{Queues: names, Epoch: epoch})
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		d.takeGrants(ctx, name, epoch, sent, answers)
	}
	d.pumpAll()
}

// beginAcquire marks the queues that are neither owned nor asked for, chooses
// an epoch above all known ones, and returns the stores to ask; nil where too few
// are up. Two requests for one queue at once would give each other's grants back.
func (d *Dispatcher) beginAcquire(names []string) (wanted []string, epoch uint64, links []*storeLink) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		if d.queues[name] == nil && !d.acquiring[name] {
			d.acquiring[name] = true
			wanted = append(wanted, name)
			epoch = max(epoch, d.epochs[name], d.table.holders[name].Epoch)
		}
	}
	if links = d.upStores(); len(links) < d.grantsWanted() {
		links = nil
	}
	return wanted, epoch + 1, links
}

// acquired notes that a request for queues has ended.
func (d *Dispatcher) acquired(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		delete(d.acquiring, name)
	}
}

// askStores sends one request for leases to several stores at once.
func (d *Dispatcher) askStores(ctx context.Context, links []*storeLink, request protocol.Acquire) []storeGrant {
	answers := make([]storeGrant, len(links))
	var calls sync.WaitGroup
	for i, link := range links {
		calls.Add(1)
		go func() {
			defer calls.Done()
			callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
			defer cancel()
			reply, err := transport.Call[protocol.AcquireReply](callCtx, link.client, request)
			answers[i] = storeGrant{link, reply, err == nil}
		}()
	}
	calls.Wait()
	return answers
}

// takeGrants takes a queue in if enough stores granted it, and gives the grants
// back otherwise. The mutex is held.
func (d *Dispatcher) takeGrants(ctx context.Context, name string, epoch uint64, sent time.Duration, answers []storeGrant) {
	var granted []storeGrant
	counted := 0
	heads := map[string][]protocol.Head{}
	for _, answer := range answers {
		grant := findGrant(answer, name)
		d.epochs[name] = max(d.epochs[name], grant.Promised)
		if !grant.Granted {
			continue
		}
		granted = append(granted, answer)
		heads[answer.link.node] = grant.Heads
		if !answer.link.mayLack(answer.reply.StoreID, answer.reply.Recovering) {
			counted++
		}
	}
	if counted < d.grantsWanted() || d.queues[name] != nil {
		d.giveBack(ctx, name, epoch, granted)
		return
	}
	owned := &ownedQueue{
		Queue: queue.New(name, epoch), asked: map[string]bool{}, granted: map[string]time.Duration{},
		accepting: map[string]chan struct{}{}, outbid: map[string]bool{},
	}
	d.queues[name] = owned
	for _, answer := range granted {
		d.noteGrant(owned, answer.link, sent)
	}
	d.adopt(owned, heads)
	if name != d.localQueue {
		d.log.V(1).Info("queue acquired", "queue", name, "epoch", epoch, "messages", owned.Open())
	}
}

// noteGrant notes that a store has granted a queue under its epoch. The mutex is
// held.
func (d *Dispatcher) noteGrant(owned *ownedQueue, link *storeLink, sent time.Duration) {
	if d.leases.Granted(link.node, owned.Name, owned.Epoch, sent) {
		owned.granted[link.node] = sent
	}
}

// revokeUnlisted forgets grants that a store no longer lists in its answer to a
// renewal sent at some moment. Grants asked for later are not judged by it.
func (d *Dispatcher) revokeUnlisted(link *storeLink, sent time.Duration) {
	for name, owned := range d.queues {
		asked, some := owned.granted[link.node]
		if some && asked < sent && link.holders[name].Holder != d.identity.Node {
			delete(owned.granted, link.node)
			d.leases.Revoked(link.node, name)
		}
	}
}

func findGrant(answer storeGrant, name string) protocol.Grant {
	if answer.ok {
		for _, grant := range answer.reply.Grants {
			if grant.Queue == name {
				return grant
			}
		}
	}
	return protocol.Grant{}
}

// giveBack releases grants that were too few.
func (d *Dispatcher) giveBack(ctx context.Context, name string, epoch uint64, granted []storeGrant) {
	for _, answer := range granted {
		go d.release(ctx, answer.link, name, epoch)
	}
}

func (d *Dispatcher) release(ctx context.Context, link *storeLink, name string, epoch uint64) {
	callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	_, _ = transport.Call[protocol.ReleaseReply](callCtx, link.client, protocol.Release{Queues: []string{name}, Epoch: epoch})
}

// adopt merges what the stores hold of a queue and takes it in, in the order of
// acceptance. The mutex is held.
func (d *Dispatcher) adopt(owned *ownedQueue, byStore map[string][]protocol.Head) {
	merged := map[string]*adoptedHead{}
	for node, heads := range byStore {
		for _, head := range heads {
			mergeHead(merged, node, head)
		}
	}
	ordered := make([]*adoptedHead, 0, len(merged))
	for _, one := range merged {
		ordered = append(ordered, one)
	}
	slices.SortFunc(ordered, func(a, b *adoptedHead) int {
		return cmp.Or(cmp.Compare(a.head.Epoch, b.head.Epoch), cmp.Compare(a.head.Sequence, b.head.Sequence),
			cmp.Compare(a.head.ID, b.head.ID))
	})
	for _, one := range ordered {
		entry := owned.Add(d.now(), one.head, nil, one.holders)
		if one.head.State.Ended() && one.differ {
			d.recordEnd(owned, entry)
		}
		if entry.Phase != queue.Done {
			d.needsRepair(owned, entry)
		}
	}
}

// adoptedHead is what several stores together tell of a message.
type adoptedHead struct {
	head    protocol.Head
	holders []string
	differ  bool // one store has not learned its end
}

// acceptedBefore reports whether a record tells of an earlier acceptance.
func acceptedBefore(a, b protocol.Head) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Sequence < b.Sequence
}

func mergeHead(merged map[string]*adoptedHead, node string, head protocol.Head) {
	one := merged[head.ID]
	if one == nil {
		merged[head.ID] = &adoptedHead{head: head, holders: []string{node}}
		return
	}
	one.holders = append(one.holders, node)
	if one.head.State != head.State || one.head.CallbackDue != head.CallbackDue {
		one.differ = true
	}
	if head.State.Ended() && (!one.head.State.Ended() || !head.CallbackDue) {
		one.head.State, one.head.Stamp, one.head.CallbackDue = head.State, head.Stamp, head.CallbackDue
	}
	one.head.CallbackURL = cmp.Or(one.head.CallbackURL, head.CallbackURL)
	if acceptedBefore(head, one.head) {
		one.head.Epoch, one.head.Sequence = head.Epoch, head.Sequence
	}
	one.head.Failures = max(one.head.Failures, head.Failures)
	one.head.Age = min(one.head.Age, head.Age)
}

// claimMissing asks a store to confirm the queues that it has not granted yet:
// one that was away, that restarted, or that is new. The mutex is held.
func (d *Dispatcher) claimMissing(link *storeLink) {
	byEpoch := map[uint64][]string{}
	for name, owned := range d.queues {
		if owned.asked[link.node] || owned.leaving || len(d.leases.Missing(name, []string{link.node})) == 0 {
			continue
		}
		owned.asked[link.node] = true
		byEpoch[owned.Epoch] = append(byEpoch[owned.Epoch], name)
	}
	for epoch, names := range byEpoch {
		go d.claim(link, epoch, names)
	}
}

func (d *Dispatcher) claim(link *storeLink, epoch uint64, names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), acquireTimeout)
	defer cancel()
	sent := d.now()
	request := protocol.Acquire{Queues: names, Epoch: epoch, Held: true}
	reply, err := transport.Call[protocol.AcquireReply](ctx, link.client, request)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		owned := d.queues[name]
		if owned == nil || owned.Epoch != epoch {
			continue
		}
		delete(owned.asked, link.node)
		if err != nil {
			continue
		}
		d.takeClaim(owned, link, sent, findGrant(storeGrant{link, reply, true}, name))
	}
	d.pumpAll()
}

// takeClaim takes in a store's answer for a queue that is owned already.
func (d *Dispatcher) takeClaim(owned *ownedQueue, link *storeLink, sent time.Duration, grant protocol.Grant) {
	if !grant.Granted {
		d.epochs[owned.Name] = max(d.epochs[owned.Name], grant.Promised)
		if grant.Promised > owned.Epoch {
			d.wasOutbid(owned, link)
		}
		return
	}
	delete(owned.outbid, link.node)
	d.noteGrant(owned, link, sent)
	for _, head := range grant.Heads {
		d.takeLateHead(owned, link, head)
	}
}

// wasOutbid notes that a store has promised a higher epoch. Where so many have
// that no lease can be valid, the queue is another dispatcher's; otherwise a
// bid for it failed, and this dispatcher raises its own epoch.
func (d *Dispatcher) wasOutbid(owned *ownedQueue, link *storeLink) {
	owned.outbid[link.node] = true
	if len(owned.outbid) > d.knownStores()-d.grantsWanted() {
		d.drop(owned, "another dispatcher owns it")
		return
	}
	if !owned.raising {
		owned.raising = true
		go d.raiseEpoch(owned, d.epochs[owned.Name]+1)
	}
}

// raiseEpoch asks for the leases that this dispatcher has under a higher epoch.
func (d *Dispatcher) raiseEpoch(owned *ownedQueue, epoch uint64) {
	d.mutex.Lock()
	links := d.upStores()
	d.mutex.Unlock()
	sent := d.now()
	answers := d.askStores(context.Background(), links, protocol.Acquire{Queues: []string{owned.Name}, Epoch: epoch})
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned.raising = false
	var granted []storeGrant
	for _, answer := range answers {
		if findGrant(answer, owned.Name).Granted {
			granted = append(granted, answer)
		}
	}
	if owned.dropped || len(granted) < d.grantsWanted() {
		return
	}
	owned.Epoch = epoch
	clear(owned.outbid)
	for _, answer := range granted {
		d.noteGrant(owned, answer.link, sent)
		for _, head := range findGrant(answer, owned.Name).Heads {
			d.takeLateHead(owned, answer.link, head)
		}
	}
}

// takeLateHead compares what a store holds with what is known of a message.
func (d *Dispatcher) takeLateHead(owned *ownedQueue, link *storeLink, head protocol.Head) {
	entry := owned.Get(head.ID)
	if entry == nil {
		if !head.State.Ended() && owned.accepting[head.ID] == nil {
			go d.settleUnknown(owned, link, head)
		}
		return
	}
	if !slices.Contains(entry.Holders, link.node) {
		entry.Holders = append(entry.Holders, link.node)
	}
	switch {
	case entry.Phase >= queue.Callback && entry.Head.CallbackDue == head.CallbackDue && entry.Head.State == head.State:
	case entry.Phase >= queue.Callback:
		d.recordEnd(owned, entry)
	case head.State.Ended():
		d.endEntry(owned, entry, head.State, head.Stamp)
	}
}

// settleUnknown finds out about a message that only a store that was away holds
// as open: it has ended elsewhere, or it was never accepted.
func (d *Dispatcher) settleUnknown(owned *ownedQueue, link *storeLink, head protocol.Head) {
	found, complete := d.queryStores(context.Background(), head.ID, false)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owned.dropped || owned.Get(head.ID) != nil {
		return
	}
	if found.State.Ended() {
		link.ends[head.ID] = protocol.End{ID: head.ID, Queue: head.Queue, State: found.State, Stamp: found.Stamp, CallbackDue: found.CallbackDue}
		signal(link.flush)
		return
	}
	if complete {
		d.needsRepair(owned, owned.Add(d.now(), head, nil, []string{link.node}))
		d.pump(owned)
	}
}

// drop forgets a queue that another dispatcher owns. The mutex is held.
func (d *Dispatcher) drop(owned *ownedQueue, cause string) {
	if owned.dropped {
		return
	}
	d.withdrawAll(owned)
	owned.dropped = true
	delete(d.queues, owned.Name)
	d.leases.Drop(owned.Name)
	d.log.Info("queue lost", "queue", owned.Name, "cause", cause)
	if owned.Name == d.localQueue {
		d.renameLocalQueue()
	}
}

// startHandOver stops work on a queue and gives it to a successor.
func (d *Dispatcher) startHandOver(ctx context.Context, name, successor string) {
	if owned := d.beginLeaving(name); owned != nil {
		go d.handOver(ctx, owned, successor)
	}
}

// beginLeaving stops work on a queue; it returns nil where there is none to stop.
func (d *Dispatcher) beginLeaving(name string) *ownedQueue {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[name]
	if owned == nil || owned.leaving {
		return nil
	}
	owned.leaving = true
	d.withdrawAll(owned)
	return owned
}

// handOver waits for what is under way, releases the leases and tells the
// successor.
func (d *Dispatcher) handOver(ctx context.Context, owned *ownedQueue, successor string) {
	deadline := time.Now().Add(handOverWait)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d.mutex.Lock()
		idle := owned.dropped || owned.Running() == 0 && len(owned.accepting) == 0 && d.flushed()
		d.mutex.Unlock()
		if idle {
			break
		}
		pause(ctx, 10*time.Millisecond)
	}
	d.mutex.Lock()
	if owned.dropped {
		d.mutex.Unlock()
		return
	}
	owned.dropped = true
	delete(d.queues, owned.Name)
	d.leases.Drop(owned.Name)
	links := d.upStores()
	address := d.table.sessions[successor].Identity.Address
	d.mutex.Unlock()
	var calls sync.WaitGroup
	for _, link := range links {
		calls.Add(1)
		go func() {
			defer calls.Done()
			d.release(ctx, link, owned.Name, owned.Epoch)
		}()
	}
	calls.Wait()
	if address != "" {
		callCtx, cancel := context.WithTimeout(ctx, acquireTimeout)
		defer cancel()
		_, _ = transport.Call[protocol.OfferReply](callCtx, d.peer(address), protocol.Offer{Queues: []string{owned.Name}})
	}
	d.log.V(1).Info("queue handed over", "queue", owned.Name, "to", successor)
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

// offered asks for queues that another dispatcher has just released.
func (d *Dispatcher) offered(ctx context.Context, names []string) {
	d.mutex.Lock()
	var wanted []string
	for _, name := range names {
		if d.queues[name] == nil && d.takesQueues() {
			wanted = append(wanted, name)
		}
	}
	d.mutex.Unlock()
	if len(wanted) > 0 {
		d.acquire(ctx, wanted)
	}
}

// pause waits, or less if the context ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(span):
	}
}
