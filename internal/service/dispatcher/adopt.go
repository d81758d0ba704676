package dispatcher

import (
	"cmp"
	"context"
	"slices"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// adopt merges the heads that the stores hold of a queue and adds them to it in the
// order of acceptance. The mutex is held.
func (d *Dispatcher) adopt(owned *ownedQueue, byStore map[string][]protocol.Head) {
	merged := map[string]*mergedHead{}
	for node, heads := range byStore {
		for _, head := range heads {
			mergeHead(merged, node, head)
		}
	}
	ordered := make([]*mergedHead, 0, len(merged))
	for _, next := range merged {
		ordered = append(ordered, next)
	}
	slices.SortFunc(ordered, func(a, b *mergedHead) int {
		return cmp.Or(cmp.Compare(a.head.Epoch, b.head.Epoch), cmp.Compare(a.head.Sequence, b.head.Sequence),
			cmp.Compare(a.head.ID, b.head.ID))
	})
	for _, next := range ordered {
		d.lateEnds.applyTo(&next.head)
		entry := owned.Add(d.now(), next.head, nil, next.holders)
		if next.head.State.Ended() {
			d.recordEnd(owned, entry) // with this owner's epoch, which supersedes older records
		}
		if entry.Phase != queue.Done {
			d.queueRepair(owned, entry)
		}
	}
}

// mergedHead is the merged head of a message and the stores that hold it.
type mergedHead struct {
	head    protocol.Head
	holders []string
}

// acceptedBefore reports whether a was accepted before b.
func acceptedBefore(a, b protocol.Head) bool {
	return a.Epoch < b.Epoch || a.Epoch == b.Epoch && a.Sequence < b.Sequence
}

// mergeHead merges a head held by a store into the merged heads: the end that takes precedence, the earliest
// acceptance, the highest revision and failure count, and the lowest age.
func mergeHead(merged map[string]*mergedHead, node string, head protocol.Head) {
	known := merged[head.ID]
	if known == nil {
		merged[head.ID] = &mergedHead{head: head, holders: []string{node}}
		return
	}
	known.holders = append(known.holders, node)
	if endSupersedes(&head, &known.head) {
		known.head.State, known.head.Stamp, known.head.CallbackDue = head.State, head.Stamp, head.CallbackDue
		known.head.EndEpoch = head.EndEpoch
	}
	known.head.CallbackURL = cmp.Or(known.head.CallbackURL, head.CallbackURL)
	if acceptedBefore(head, known.head) {
		known.head.Epoch, known.head.Sequence = head.Epoch, head.Sequence
	}
	known.head.Revision = max(known.head.Revision, head.Revision)
	known.head.Failures = max(known.head.Failures, head.Failures)
	known.head.Age = min(known.head.Age, head.Age)
}

// mergeLateHead reconciles a head from a late store with the known state of its message.
func (d *Dispatcher) mergeLateHead(owned *ownedQueue, link *storeLink, head protocol.Head) {
	entry := owned.Get(head.ID)
	if entry == nil {
		if !head.State.Ended() && owned.accepting[head.ID] == nil {
			go d.resolveUnknown(owned, link, head)
		}
		return
	}
	addNode(&entry.Holders, link.node)
	if entry.Head.State.Ended() && sameEnd(&entry.Head, &head) && head.EndEpoch >= owned.Epoch {
		addNode(&entry.EndRecordedAt, link.node)
	}
	switch {
	case entry.Phase >= queue.AwaitingCallback && entry.Head.CallbackDue == head.CallbackDue && sameEnd(&entry.Head, &head):
	case entry.Phase >= queue.AwaitingCallback:
		d.recordEnd(owned, entry)
	case head.State.Ended():
		d.endEntry(owned, entry, head.State, head.Stamp)
		addNode(&entry.EndRecordedAt, link.node)
	}
}

// resolveUnknown determines the state of a message that only a store that was away
// lists as open: it has ended elsewhere, or it was never accepted.
func (d *Dispatcher) resolveUnknown(owned *ownedQueue, link *storeLink, head protocol.Head) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	answer := d.queryStores(ctx, protocol.Query{ID: head.ID})
	found := answer.best.Head
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owned.dropped || owned.Get(head.ID) != nil {
		return
	}
	if found.State.Ended() {
		link.pendingEnds[head.ID] = endOfHead(&found)
		signal(link.sendEndsNow)
		return
	}
	if answer.complete {
		d.lateEnds.applyTo(&head)
		entry := owned.Add(d.now(), head, nil, []string{link.node})
		if head.State.Ended() {
			d.recordEnd(owned, entry)
		}
		d.queueRepair(owned, entry)
		d.pump(owned)
	}
}
