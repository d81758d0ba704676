package dispatcher

import (
	"context"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// safeCopies counts the copies of a message that every later reader finds. The
// mutex is held.
func (d *Dispatcher) safeCopies(entry *queue.Entry) int {
	return d.countCopies(entry.Holders)
}

// enoughCopies reports whether enough stores that are not leaving hold a copy of a
// message. The mutex is held.
func (d *Dispatcher) enoughCopies(entry *queue.Entry) bool {
	return d.safeCopies(entry) >= d.requiredCopies()
}

// noteLeaving records whether a store is being retired. If it is, its copies are
// written to other stores. The mutex is held.
func (d *Dispatcher) noteLeaving(link *storeLink, leaving bool) {
	if leaving == link.leaving {
		return
	}
	link.leaving = leaving
	d.log.Info("store retirement changed", "store", link.node, "leaving", leaving)
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) { d.queueRepair(owned, entry) })
	}
	d.markUnsafeEnds(link)
	signal(link.renewNow)
}

// copyWithCallbackDue copies a succeeded message whose callback is still due to another store.
// It writes the end first, so that the copy never counts as open.
func (d *Dispatcher) copyWithCallbackDue(ctx context.Context, target *storeLink, message protocol.Message, end protocol.End) (string, bool) {
	callCtx, cancel := context.WithTimeout(ctx, repairTimeout)
	defer cancel()
	batch := protocol.EndBatch{Ends: []protocol.End{end}}
	if _, err := transport.Call[protocol.EndBatchReply](callCtx, target.client, batch); err != nil {
		return "", false
	}
	message.Body, message.Head.BodySize = nil, 0
	answers := make(chan copyOutcome, 1)
	d.writeCopy(target, message, answers)
	answer := <-answers
	return answer.storeID, answer.status == protocol.Stored
}
