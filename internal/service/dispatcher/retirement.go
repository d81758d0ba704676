package dispatcher

import (
	"context"
	"slices"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// mayLack reports whether a store may lack messages that it kept before its
// disk was lost. The disk with which it became known has lost nothing.
func (l *storeLink) mayLack(storeID string, recovering bool) bool {
	return recovering && storeID != l.firstDisk
}

// safeCopies counts the copies of a message in stores that stay. The mutex is
// held.
func (d *Dispatcher) safeCopies(entry *queue.Entry) int {
	count := 0
	for _, node := range entry.Holders {
		if link := d.stores[node]; link == nil || !link.leaving {
			count++
		}
	}
	return count
}

// enoughCopies reports whether enough stores that stay keep a message. The
// mutex is held.
func (d *Dispatcher) enoughCopies(entry *queue.Entry) bool {
	return d.safeCopies(entry) >= d.copiesWanted()
}

// noteLeaving takes in whether a store is being emptied: what it keeps is then
// written to others. The mutex is held.
func (d *Dispatcher) noteLeaving(link *storeLink, leaving bool) {
	if leaving == link.leaving {
		return
	}
	link.leaving = leaving
	d.log.Info("store leaves", "store", link.node, "leaving", leaving)
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) { d.needsRepair(owned, entry) })
	}
	signal(link.kick)
}

// considerUnmoved asks a leaving store for the messages of this dispatcher's
// queues that it does not know to be kept elsewhere. The mutex is held.
func (d *Dispatcher) considerUnmoved(link *storeLink, unmoved int) {
	if !link.leaving || unmoved == 0 || link.listing {
		return
	}
	var names []string
	for name := range d.queues {
		names = append(names, name)
	}
	link.listing = true
	go d.settleUnmoved(link, names)
}

// settleUnmoved works through the messages that have not moved.
func (d *Dispatcher) settleUnmoved(link *storeLink, names []string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.ListUnmovedReply](ctx, link.client, protocol.ListUnmoved{Queues: names})
	d.mutex.Lock()
	defer d.mutex.Unlock()
	link.listing = false
	if err != nil {
		return
	}
	for _, head := range reply.Heads {
		if owned := d.queues[head.Queue]; owned != nil && !owned.leaving {
			d.settleOneUnmoved(owned, link, head)
		}
	}
}

// settleOneUnmoved tells a leaving store that a message is kept elsewhere or
// has ended, or sees to it that it will be. The mutex is held.
func (d *Dispatcher) settleOneUnmoved(owned *ownedQueue, link *storeLink, head protocol.Head) {
	entry := owned.Get(head.ID)
	switch {
	case entry == nil, entry.Head.State != head.State || entry.Head.CallbackDue != head.CallbackDue:
		d.takeLateHead(owned, link, head)
	case entry.Phase == queue.Done || d.enoughCopies(entry):
		link.moved[head.ID] = true
		signal(link.flush)
	case !slices.Contains(entry.Holders, link.node):
		entry.Holders = append(entry.Holders, link.node)
		d.needsRepair(owned, entry)
	}
}

// movedBatch returns messages that a leaving store is to be told have moved.
// The mutex is held.
func (l *storeLink) movedBatch() []string {
	var ids []string
	for id := range l.moved {
		if len(ids) >= endBatchMost {
			break
		}
		ids = append(ids, id)
	}
	return ids
}

// copyOwed writes what is kept of a message that has succeeded and owes its
// call-back: its end first, so that the copy never counts as open.
func (d *Dispatcher) copyOwed(ctx context.Context, target *storeLink, message protocol.Message, end protocol.End) bool {
	callCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	batch := protocol.EndBatch{Ends: []protocol.End{end}}
	if _, err := transport.Call[protocol.EndBatchReply](callCtx, target.client, batch); err != nil {
		return false
	}
	message.Body, message.Head.BodySize = nil, 0
	answers := make(chan copyAnswer, 1)
	d.writeCopy(target, message, answers)
	return (<-answers).status == protocol.Stored
}
