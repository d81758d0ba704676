package dispatcher

import (
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// callbackEndWait is how long a callback is postponed while stores record the end.
const callbackEndWait = 50 * time.Millisecond

// endOf returns the record of a message's end.
func endOf(owned *ownedQueue, entry *queue.Entry) protocol.End {
	return protocol.End{
		ID: entry.Head.ID, Queue: owned.Name, State: entry.Head.State,
		Stamp: entry.Head.Stamp, CallbackDue: entry.Head.CallbackDue, Retention: entry.Head.Retention, Epoch: owned.Epoch,
	}
}

// recordEnd queues a message's end for the stores that hold the message, and for others
// if too few of those are reachable. The mutex is held.
func (d *Dispatcher) recordEnd(owned *ownedQueue, entry *queue.Entry) {
	if !d.endIsSafe(entry) {
		owned.addUnsafeEnd(entry)
	}
	end := endOf(owned, entry)
	for _, link := range d.endTargets(entry) {
		link.pendingEnds[end.ID] = end
		delete(link.pendingFailures, end.ID)
		signal(link.sendEndsNow)
	}
}

// endTargets returns the stores that are to record a message's end: all that may hold
// the message, and others in place of those that are unreachable.
func (d *Dispatcher) endTargets(entry *queue.Entry) []*storeLink {
	var targets []*storeLink
	reachable := 0
	add := func(link *storeLink) {
		targets = append(targets, link)
		if link.up && !link.leaving && !link.silent(d.now()) {
			reachable++
		}
	}
	for _, nodes := range [][]string{entry.Holders, entry.PossibleHolders} {
		for _, node := range nodes {
			if link := d.stores[node]; link != nil && !slices.Contains(targets, link) {
				add(link)
			}
		}
	}
	if reachable >= d.requiredCopies() {
		return targets
	}
	for _, link := range d.candidates() {
		if reachable < d.requiredCopies() && !slices.Contains(targets, link) {
			entry.PossibleHolders = append(entry.PossibleHolders, link.node)
			add(link)
		}
	}
	return targets
}

// handleRefusedEnds handles ends that a store refused because it has promised their queues to
// newer owners than this one. The mutex is held.
func (d *Dispatcher) handleRefusedEnds(link *storeLink, refused []protocol.RefusedEnd) {
	for _, end := range refused {
		d.highestEpochs[end.Queue] = max(d.highestEpochs[end.Queue], end.Promised)
		if owned := d.queues[end.Queue]; owned != nil && end.Promised > owned.Epoch {
			d.handleOutbid(owned, link)
		}
	}
}

// recordUnsafeEnds queues every end that too few stores have recorded, once more. The mutex
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

// recordFailures queues the number of a message's failed attempts for the stores that
// hold the message. The mutex is held.
func (d *Dispatcher) recordFailures(entry *queue.Entry) {
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			link.pendingFailures[entry.Head.ID] = entry.Head.Failures
			signal(link.sendEndsNow)
		}
	}
}
