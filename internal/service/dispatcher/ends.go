package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// endPause is how long a call-back waits for stores to record the end.
const endPause = 50 * time.Millisecond

// endOf returns the record of a message's end.
func endOf(owned *ownedQueue, entry *queue.Entry) protocol.End {
	return protocol.End{
		ID: entry.Head.ID, Queue: owned.Name, State: entry.Head.State,
		Stamp: entry.Head.Stamp, CallbackDue: entry.Head.CallbackDue, Retention: entry.Head.Retention, Epoch: owned.Epoch,
	}
}

// recordEnd has the stores of a message record its end, and others where too few
// of them can now. The mutex is held.
func (d *Dispatcher) recordEnd(owned *ownedQueue, entry *queue.Entry) {
	if !d.endIsSafe(entry) {
		owned.noteUnsafe(entry)
	}
	end := endOf(owned, entry)
	for _, link := range d.endTargets(entry) {
		link.ends[end.ID] = end
		delete(link.failures, end.ID)
		signal(link.flush)
	}
}

// endTargets returns the stores that are to record a message's end: all that may
// have it, and as many others as are wanting because of those that are away.
func (d *Dispatcher) endTargets(entry *queue.Entry) []*storeLink {
	var targets []*storeLink
	reachable := 0
	add := func(link *storeLink) {
		targets = append(targets, link)
		if link.up && !link.leaving && !link.silent(d.now()) {
			reachable++
		}
	}
	for _, nodes := range [][]string{entry.Holders, entry.Touched} {
		for _, node := range nodes {
			if link := d.stores[node]; link != nil && !slices.Contains(targets, link) {
				add(link)
			}
		}
	}
	if reachable >= d.copiesWanted() {
		return targets
	}
	for _, link := range d.candidates() {
		if reachable < d.copiesWanted() && !slices.Contains(targets, link) {
			entry.Touched = append(entry.Touched, link.node)
			add(link)
		}
	}
	return targets
}

// recordElsewhere has ends recorded at one store more each, which a store was told of and
// has not recorded: it may be away for long. The mutex is held.
func (d *Dispatcher) recordElsewhere(away *storeLink, ends []protocol.End) {
	for _, end := range ends {
		owned := d.queues[end.Queue]
		if owned == nil {
			continue
		}
		if entry := owned.Get(end.ID); entry != nil && entry.Head.State.Ended() && !d.endIsSafe(entry) {
			d.addEndTarget(owned, entry, away)
		}
	}
}

// addEndTarget has one more store record an end. The mutex is held.
func (d *Dispatcher) addEndTarget(owned *ownedQueue, entry *queue.Entry, away *storeLink) {
	for _, link := range d.candidates() {
		_, told := link.ends[entry.Head.ID]
		if link == away || told || slices.Contains(entry.EndKept, link.node) {
			continue
		}
		addNode(&entry.Touched, link.node)
		link.ends[entry.Head.ID] = endOf(owned, entry)
		signal(link.flush)
		return
	}
}

// endsSafe reports whether the ends of all messages of a queue are safe. The mutex is
// held.
func (d *Dispatcher) endsSafe(owned *ownedQueue) bool {
	for id, entry := range owned.unsafeEnds {
		if d.endIsSafe(entry) || owned.Get(id) != entry { // the queue forgets it after a while
			delete(owned.unsafeEnds, id)
		}
	}
	return len(owned.unsafeEnds) == 0
}

// noteEndKept notes that a store has recorded an end, unless it has refused it. The
// mutex is held.
func (d *Dispatcher) noteEndKept(link *storeLink, end protocol.End, refused []protocol.RefusedEnd) {
	owned := d.queues[end.Queue]
	if owned == nil || slices.ContainsFunc(refused, func(r protocol.RefusedEnd) bool { return r.ID == end.ID }) {
		return
	}
	if entry := owned.Get(end.ID); entry != nil && entry.Head.State == end.State && entry.Head.Stamp == end.Stamp {
		addNode(&entry.EndKept, link.node)
		if d.endIsSafe(entry) {
			delete(owned.unsafeEnds, end.ID)
		}
	}
}

// endsRefused takes in that a store has promised queues to newer owners than this
// one. The mutex is held.
func (d *Dispatcher) endsRefused(link *storeLink, refused []protocol.RefusedEnd) {
	for _, end := range refused {
		d.epochs[end.Queue] = max(d.epochs[end.Queue], end.Promised)
		if owned := d.queues[end.Queue]; owned != nil && end.Promised > owned.Epoch {
			d.wasOutbid(owned, link)
		}
	}
}

// recordUnsafeEnds has the ends recorded again that too few stores have. The mutex
// is held.
func (d *Dispatcher) recordUnsafeEnds(owned *ownedQueue) {
	owned.Each(func(entry *queue.Entry) {
		if entry.Head.State.Ended() && !d.endIsSafe(entry) {
			d.recordEnd(owned, entry)
		}
	})
}

// addNode adds a node to a list unless it is there.
func addNode(nodes *[]string, node string) {
	if !slices.Contains(*nodes, node) {
		*nodes = append(*nodes, node)
	}
}

// endIsSafe reports whether so many stores have recorded the end of a message that
// every later owner reads it. Nobody is told of the end before. The mutex is held.
func (d *Dispatcher) endIsSafe(entry *queue.Entry) bool {
	return d.countCopies(entry.EndKept) >= d.copiesWanted()
}

// endStands reports whether an end that stores tell of can be told on: enough of them
// have it, or record it now, and the queue's newest owner, who may have taken over
// before they had, does not know better.
func (d *Dispatcher) endStands(ctx context.Context, found foundMessage) bool {
	end := endOfHead(&found.best.Head)
	if found.promised <= end.Epoch && d.enough(found.kept) {
		return true
	}
	owner := d.queryStores(ctx, protocol.Query{ID: end.ID, Queue: end.Queue})
	switch {
	case !owner.complete:
		return false
	case owner.promised <= end.Epoch:
		return d.keepEnd(ctx, end, found.kept)
	case !d.ownersAgree(ctx, owner.holders, end):
		return false
	}
	// An owner between the two may still record another end, which must not count over this one.
	end.Epoch = owner.promised
	return d.keepEnd(ctx, end, nil)
}

// ownersAgree asks the owners that stores know of whether they know better how a message
// ended. Without any, one that has lost its lease may still have the message at a
// sender: this dispatcher takes the queue then, which fences that one, and is asked
// with the next question.
func (d *Dispatcher) ownersAgree(ctx context.Context, holders []string, end protocol.End) bool {
	if len(holders) == 0 {
		go d.acquire(context.WithoutCancel(ctx), []string{end.Queue})
		return false
	}
	ask := protocol.AskOwner{ID: end.ID, Queue: end.Queue, State: end.State, Stamp: end.Stamp}
	for _, node := range holders {
		if node == d.identity.Node {
			if reply := d.answerOwner(ask); !reply.Owner || reply.Differs {
				return false
			}
			continue
		}
		d.mutex.Lock()
		address := d.table.sessions[node].Identity.Address
		d.mutex.Unlock()
		if address == "" {
			return false
		}
		reply, err := transport.Call[protocol.AskOwnerReply](ctx, d.peer(address), ask)
		if err != nil || !reply.Owner || reply.Differs {
			return false
		}
	}
	return true
}

// answerOwner tells whether a message is open in a queue that this dispatcher owns, or
// has ended there in another way than the stores tell, which may not know it yet.
func (d *Dispatcher) answerOwner(ask protocol.AskOwner) protocol.AskOwnerReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[ask.Queue]
	if owned == nil || !d.leaseValid(owned) {
		return protocol.AskOwnerReply{}
	}
	entry := owned.Get(ask.ID)
	differs := entry != nil && (entry.Head.State != ask.State || entry.Head.Stamp != ask.Stamp)
	return protocol.AskOwnerReply{Owner: true, Differs: differs}
}

// keepEnd has an end recorded at stores beside those that have it, until enough
// have. It reports whether that is so.
func (d *Dispatcher) keepEnd(ctx context.Context, end protocol.End, have []string) bool {
	d.mutex.Lock()
	wanted := d.copiesWanted() - d.countCopies(have)
	links := slices.DeleteFunc(d.candidates(), func(link *storeLink) bool { return slices.Contains(have, link.node) })
	d.mutex.Unlock()
	if wanted <= 0 {
		return true
	}
	if len(links) < wanted {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	kept := make(chan bool, len(links))
	var calls sync.WaitGroup
	for _, link := range links {
		calls.Go(func() {
			reply, err := transport.Call[protocol.EndBatchReply](ctx, link.client, protocol.EndBatch{Ends: []protocol.End{end}})
			kept <- err == nil && len(reply.Refused) == 0
		})
	}
	for range links {
		if <-kept {
			wanted--
		}
		if wanted == 0 {
			return true
		}
	}
	return false
}

// recordFailures has the stores of a message record its failed attempts.
func (d *Dispatcher) recordFailures(entry *queue.Entry) {
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			link.failures[entry.Head.ID] = entry.Head.Failures
			signal(link.flush)
		}
	}
}
