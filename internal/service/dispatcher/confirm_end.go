package dispatcher

import (
	"context"
	"slices"
	"sync"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

// confirmEnd reports whether an end that stores report can be relied on: enough of them
// have it or record it now, and the queue's newest owner, which may have taken over
// before they had it, does not contradict it.
func (d *Dispatcher) confirmEnd(ctx context.Context, found foundMessage) bool {
	end := endOfHead(&found.best.Head)
	if found.promised <= end.Epoch && d.enoughCopiesAt(found.agreeing) {
		return true
	}
	owner := d.queryStores(ctx, protocol.Query{ID: end.ID, Queue: end.Queue})
	switch {
	case !owner.complete:
		return false
	case owner.promised <= end.Epoch:
		return d.ensureEndRecorded(ctx, end, found.agreeing)
	case !d.ownersConfirmEnd(ctx, owner.holders, end):
		return false
	}
	// An owner whose epoch lies between the two may still record another end, which must not override this one.
	end.Epoch = owner.promised
	return d.ensureEndRecorded(ctx, end, nil)
}

// ownersConfirmEnd asks the owners that stores know of whether they contradict the end of
// a message. If stores know of none, an owner that has lost its lease may still have the
// message running at a sender. The dispatcher then acquires the queue, which fences that
// owner, and answers as the owner the next time the end is queried.
func (d *Dispatcher) ownersConfirmEnd(ctx context.Context, holders []string, end protocol.End) bool {
	if len(holders) == 0 {
		go d.acquire(context.WithoutCancel(ctx), []string{end.Queue})
		return false
	}
	request := protocol.CheckOwner{ID: end.ID, Queue: end.Queue, State: end.State, Stamp: end.Stamp}
	for _, node := range holders {
		if node == d.identity.Node {
			if reply := d.handleAskOwner(request); !reply.Owner || reply.Differs {
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
		reply, err := transport.Call[protocol.CheckOwnerReply](ctx, d.peer(address), request)
		if err != nil || !reply.Owner || reply.Differs {
			return false
		}
	}
	return true
}

// handleAskOwner answers whether this dispatcher owns the queue, and if so, whether the message
// is still open there or has ended in another way than the stores report: their records may
// be out of date.
func (d *Dispatcher) handleAskOwner(request protocol.CheckOwner) protocol.CheckOwnerReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[request.Queue]
	if owned == nil || !d.leaseValid(owned) {
		return protocol.CheckOwnerReply{}
	}
	entry := owned.Get(request.ID)
	differs := entry != nil && (entry.Head.State != request.State || entry.Head.Stamp != request.Stamp)
	return protocol.CheckOwnerReply{Owner: true, Differs: differs}
}

// ensureEndRecorded records an end at further stores, besides those that have it, until
// enough have it. It reports whether enough do.
func (d *Dispatcher) ensureEndRecorded(ctx context.Context, end protocol.End, recordedAt []string) bool {
	d.mutex.Lock()
	missing := d.requiredCopies() - d.countCopies(recordedAt)
	links := slices.DeleteFunc(d.candidates(), func(link *storeLink) bool { return slices.Contains(recordedAt, link.node) })
	d.mutex.Unlock()
	if missing <= 0 {
		return true
	}
	if len(links) < missing {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	recorded := make(chan bool, len(links))
	var calls sync.WaitGroup
	for _, link := range links {
		calls.Go(func() {
			reply, err := transport.Call[protocol.EndBatchReply](ctx, link.client, protocol.EndBatch{Ends: []protocol.End{end}})
			recorded <- err == nil && len(reply.Refused) == 0
		})
	}
	for range links {
		if <-recorded {
			missing--
		}
		if missing == 0 {
			return true
		}
	}
	return false
}
