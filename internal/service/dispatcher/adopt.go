package dispatcher

import (
	"cmp"
	"context"
	"slices"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

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
		d.lateEnds.complete(&one.head)
		entry := owned.Add(d.now(), one.head, nil, one.holders)
		if one.head.State.Ended() {
			d.recordEnd(owned, entry) // under this owner's epoch, over which no older one's counts
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
	if endSupersedes(&head, &one.head) {
		one.head.State, one.head.Stamp, one.head.CallbackDue = head.State, head.Stamp, head.CallbackDue
		one.head.EndEpoch = head.EndEpoch
	}
	one.head.CallbackURL = cmp.Or(one.head.CallbackURL, head.CallbackURL)
	if acceptedBefore(head, one.head) {
		one.head.Epoch, one.head.Sequence = head.Epoch, head.Sequence
	}
	one.head.Revision = max(one.head.Revision, head.Revision)
	one.head.Failures = max(one.head.Failures, head.Failures)
	one.head.Age = min(one.head.Age, head.Age)
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
	addNode(&entry.Holders, link.node)
	if entry.Head.State.Ended() && sameEnd(&entry.Head, &head) && head.EndEpoch >= owned.Epoch {
		addNode(&entry.EndKept, link.node)
	}
	switch {
	case entry.Phase >= queue.Callback && entry.Head.CallbackDue == head.CallbackDue && sameEnd(&entry.Head, &head):
	case entry.Phase >= queue.Callback:
		d.recordEnd(owned, entry)
	case head.State.Ended():
		d.endEntry(owned, entry, head.State, head.Stamp)
		addNode(&entry.EndKept, link.node)
	}
}

// settleUnknown finds out about a message that only a store that was away holds
// as open: it has ended elsewhere, or it was never accepted.
func (d *Dispatcher) settleUnknown(owned *ownedQueue, link *storeLink, head protocol.Head) {
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
		link.ends[head.ID] = endOfHead(&found)
		signal(link.flush)
		return
	}
	if answer.complete {
		d.lateEnds.complete(&head)
		entry := owned.Add(d.now(), head, nil, []string{link.node})
		if head.State.Ended() {
			d.recordEnd(owned, entry)
		}
		d.needsRepair(owned, entry)
		d.pump(owned)
	}
}
