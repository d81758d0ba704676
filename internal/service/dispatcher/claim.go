package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

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
	ctx, cancel := context.WithTimeout(context.Background(), claimTimeout)
	defer cancel()
	sent := d.now()
	request := protocol.Acquire{Queues: names, Epoch: epoch, Held: true}
	reply, err := transport.Call[protocol.AcquireReply](ctx, link.client, request)
	if open := d.openUnlisted(names, reply); err == nil && len(open) > 0 {
		if !d.addOldEndsOf(ctx, &storeGrant{link: link, reply: reply, ok: true}, open) {
			err = errEndsUnknown
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		owned := d.queues[name]
		if owned == nil {
			// It was handed over meanwhile. The store may have granted it all the same.
			d.giveBack(context.Background(), name, epoch, []*storeLink{link})
			continue
		}
		delete(owned.asked, link.node)
		if owned.Epoch != epoch || err != nil || reply.StoreID != link.storeID {
			continue
		}
		d.takeClaim(owned, link, sent, findGrant(storeGrant{link, reply, true}, name))
	}
	d.pumpAll()
}

// releaseUnowned gives back the queues of which a store takes this dispatcher for the
// owner, although it neither owns nor asks for them: a release was lost, the store granted
// the queue after this dispatcher had given up waiting, or the queue was lost to another.
// Nobody else can have the store's grant until then. The mutex is held.
func (d *Dispatcher) releaseUnowned(link *storeLink) {
	for name, state := range link.holders {
		if state.Holder == d.identity.Node && d.queues[name] == nil && !d.acquiring[name] {
			d.giveBack(context.Background(), name, state.Epoch, []*storeLink{link})
		}
	}
}

// errEndsUnknown says that a store which granted a claim did not tell which messages have ended.
var errEndsUnknown = Class.New("the store did not tell of ends")

// openUnlisted returns the messages that are open in queues and that a store's answer does not list: it may
// know the end of one, from an owner before.
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
			if entry.Phase < queue.Callback && !listed[entry.Head.ID] {
				open.add(entry.Head.ID, name)
			}
		})
	}
	return open
}

// takeClaim takes in a store's answer for a queue that is owned already.
func (d *Dispatcher) takeClaim(owned *ownedQueue, link *storeLink, sent time.Duration, grant protocol.Grant) {
	if !grant.Granted {
		d.epochs[owned.Name] = max(d.epochs[owned.Name], grant.Promised)
		if grant.Promised > owned.Epoch || grant.Contested && grant.Promised == owned.Epoch {
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

// wasOutbid notes that a store has promised a higher epoch, or the same one, to another
// dispatcher. Where so many have
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
	answers := d.askStores(context.Background(), links, protocol.Acquire{Queues: []string{owned.Name}, Epoch: epoch}, acquireTimeoutMost)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned.raising = false
	var granted []storeGrant
	counted := 0
	for _, answer := range answers {
		if !findGrant(answer, owned.Name).Granted || answer.reply.StoreID != answer.link.storeID {
			continue
		}
		granted = append(granted, answer)
		if answer.link.countsNow() && !d.listIsOld(answer.reply.StoresKnown) {
			counted++
		}
	}
	if owned.dropped || counted < d.grantsWanted() {
		return
	}
	owned.Epoch = epoch
	clear(owned.outbid)
	d.recordUnsafeEnds(owned)
	for _, answer := range granted {
		d.noteGrant(owned, answer.link, sent)
		for _, head := range findGrant(answer, owned.Name).Heads {
			d.takeLateHead(owned, answer.link, head)
		}
	}
}
