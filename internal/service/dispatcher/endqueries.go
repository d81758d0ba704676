package dispatcher

import (
	"context"
	"slices"
	"sync"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

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
