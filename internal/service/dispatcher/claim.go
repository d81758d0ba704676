package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/storeclient"
)

// noteGrant records that a store has granted a queue under its current epoch. The
// mutex is held.
func (d *Dispatcher) noteGrant(owned *ownedQueue, link *storeLink, sent time.Duration) {
	if d.leases.Granted(link.node, owned.Name, owned.Epoch, sent) {
		owned.grantRequestedAt[link.node] = sent
	}
}

// revokeUnlisted forgets grants that a store no longer lists in its reply to a
// renewal sent at the given time. Grants that were requested later are kept.
func (d *Dispatcher) revokeUnlisted(link *storeLink, sent time.Duration) {
	for name, owned := range d.queues {
		asked, found := owned.grantRequestedAt[link.node]
		if found && asked < sent && link.holders[name].Holder != d.identity.Node {
			delete(owned.grantRequestedAt, link.node)
			d.leases.Revoked(link.node, name)
		}
	}
}

// claimMissing asks a store to confirm the owned queues that it has not granted yet,
// because it was away, has restarted or is new. The mutex is held.
func (d *Dispatcher) claimMissing(link *storeLink) {
	byEpoch := map[uint64][]string{}
	for name, owned := range d.queues {
		if owned.claiming[link.node] || owned.leaving || len(d.leases.Missing(name, []string{link.node})) == 0 {
			continue
		}
		owned.claiming[link.node] = true
		byEpoch[owned.Epoch] = append(byEpoch[owned.Epoch], name)
	}
	for epoch, names := range byEpoch {
		go d.claim(link, epoch, names)
	}
}

// claim requests a store's grants of queues that this dispatcher already owns.
func (d *Dispatcher) claim(link *storeLink, epoch uint64, names []string) {
	ctx, sent := context.Background(), d.now()
	request := protocol.Acquire{Queues: names, Epoch: epoch, Held: true}
	reply, err := storeclient.Acquire(ctx, link.client, request, claimTimeout)
	if open := d.openUnlisted(names, reply); err == nil && len(open) > 0 {
		if !d.addMissingEndsFrom(ctx, &storeGrant{link: link, reply: reply, ok: true}, open) {
			err = errEndsUnknown
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		owned := d.queues[name]
		if owned == nil {
			// It was handed over meanwhile. The store may still have granted it.
			d.releaseGrants(context.Background(), name, epoch, []*storeLink{link})
			continue
		}
		delete(owned.claiming, link.node)
		if owned.Epoch != epoch || err != nil || reply.StoreID != link.storeID {
			continue
		}
		d.applyClaim(owned, link, sent, findGrant(storeGrant{link, reply, true}, name))
	}
	d.pumpAll()
}

// releaseUnowned releases the queues that a store attributes to this dispatcher although
// it neither owns nor requests them: a release was lost, the store granted the queue after
// the request had timed out, or the queue was lost to another dispatcher. Until the release,
// the store grants the queue to nobody else. The mutex is held.
func (d *Dispatcher) releaseUnowned(link *storeLink) {
	for name, state := range link.holders {
		if state.Holder == d.identity.Node && d.queues[name] == nil && !d.acquiring[name] {
			d.releaseGrants(context.Background(), name, state.Epoch, []*storeLink{link})
		}
	}
}

// errEndsUnknown means that a store which granted a claim did not report which messages have ended.
var errEndsUnknown = Class.New("store did not report ended messages")

// openUnlisted returns the messages that are open in the given queues and that a store's reply does not list:
// the store may know their end from an earlier owner.
func (d *Dispatcher) openUnlisted(names []string, reply protocol.AcquireReply) openMessages {
	listed := map[string]bool{}
	for _, grant := range reply.Grants {
		for _, head := range grant.Heads {
			listed[head.ID] = true
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	open := openMessages{}
	for _, name := range names {
		owned := d.queues[name]
		if owned == nil {
			continue
		}
		owned.Each(func(entry *queue.Entry) {
			if entry.Phase < queue.AwaitingCallback && !listed[entry.Head.ID] {
				open.add(entry.Head.ID, name)
			}
		})
	}
	return open
}

// applyClaim applies a store's grant or refusal of a queue that is already owned.
func (d *Dispatcher) applyClaim(owned *ownedQueue, link *storeLink, sent time.Duration, grant protocol.Grant) {
	if !grant.Granted {
		d.highestEpochs[owned.Name] = max(d.highestEpochs[owned.Name], grant.Promised)
		if grant.Promised > owned.Epoch || grant.Contested && grant.Promised == owned.Epoch {
			d.handleOutbid(owned, link)
		}
		return
	}
	delete(owned.outbid, link.node)
	d.noteGrant(owned, link, sent)
	for _, head := range grant.Heads {
		d.mergeLateHead(owned, link, head)
	}
}

// handleOutbid records that a store has promised the same or a higher epoch to another
// dispatcher. If so many stores have that no lease can be valid, the other dispatcher owns
// the queue. Otherwise its request failed, and this dispatcher raises its own epoch.
func (d *Dispatcher) handleOutbid(owned *ownedQueue, link *storeLink) {
	owned.outbid[link.node] = true
	if len(owned.outbid) > d.knownStores()-d.grantsNeeded() {
		d.drop(owned, "another dispatcher owns it")
		return
	}
	if !owned.raisingEpoch {
		owned.raisingEpoch = true
		go d.raiseEpoch(owned, d.highestEpochs[owned.Name]+1)
	}
}

// raiseEpoch requests the leases on an owned queue again under a higher epoch.
func (d *Dispatcher) raiseEpoch(owned *ownedQueue, epoch uint64) {
	d.mutex.Lock()
	links := d.upStores()
	d.mutex.Unlock()
	sent := d.now()
	answers := d.askStores(context.Background(), links, protocol.Acquire{Queues: []string{owned.Name}, Epoch: epoch}, maxAcquireTimeout)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned.raisingEpoch = false
	var granted []storeGrant
	counted := 0
	for _, answer := range answers {
		if !findGrant(answer, owned.Name).Granted || answer.reply.StoreID != answer.link.storeID {
			continue
		}
		granted = append(granted, answer)
		if answer.link.complete() && !d.storeListOutdated(answer.reply.StoresKnown) {
			counted++
		}
	}
	if owned.dropped || counted < d.grantsNeeded() {
		return
	}
	owned.Epoch = epoch
	clear(owned.outbid)
	d.recordUnsafeEnds(owned)
	for _, answer := range granted {
		d.noteGrant(owned, answer.link, sent)
		for _, head := range findGrant(answer, owned.Name).Heads {
			d.mergeLateHead(owned, answer.link, head)
		}
	}
}
