package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

const (
	repairTimeout      = 2 * time.Second
	repairPause        = 50 * time.Millisecond // a failed repair is retried after ten times this
	maxParallelRepairs = 8
)

// repairCopiesOf queues the open messages of an unreachable store for repair at other
// stores. Messages that are done are left alone: its disk still has them. The mutex is held.
func (d *Dispatcher) repairCopiesOf(link *storeLink) {
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if entry.Phase == queue.Done || !slices.Contains(entry.Holders, link.node) {
				return
			}
			entry.Holders = without(entry.Holders, link.node)
			addNode(&entry.PossibleHolders, link.node)
			d.queueRepair(owned, entry)
		})
	}
}

// handleLostCopiesOf treats all that a store held as lost: open messages are queued for repair,
// and ends that too few stores still have are recorded again. The mutex is held.
func (d *Dispatcher) handleLostCopiesOf(link *storeLink) {
	d.repairCopiesOf(link)
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if !slices.Contains(entry.EndRecordedAt, link.node) {
				return
			}
			entry.EndRecordedAt = without(entry.EndRecordedAt, link.node)
			if !d.endIsSafe(entry) {
				entry.Holders, entry.PossibleHolders = without(entry.Holders, link.node), without(entry.PossibleHolders, link.node)
				d.recordEnd(owned, entry)
			}
		})
	}
}

// without returns a copy of the list without one node.
func without(nodes []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(nodes), func(node string) bool { return node == excluded })
}

// repairItem is a message that has too few copies.
type repairItem struct {
	owned *ownedQueue
	entry *queue.Entry
}

// queueRepair queues a message for repair if it has too few copies. The mutex is held.
func (d *Dispatcher) queueRepair(owned *ownedQueue, entry *queue.Entry) {
	if entry.Phase == queue.Done || d.enoughCopies(entry) {
		return
	}
	d.repairs = append(d.repairs, repairItem{owned, entry})
	signal(d.repairWake)
}

// runRepairs writes missing copies until the context ends.
func (d *Dispatcher) runRepairs(ctx context.Context) {
	slots := make(chan struct{}, maxParallelRepairs)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.repairWake:
		}
		for {
			item, ok := d.nextRepair()
			if !ok {
				break
			}
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				if !d.repair(ctx, item) {
					time.AfterFunc(repairPause*10, func() {
						d.mutex.Lock()
						defer d.mutex.Unlock()
						d.queueRepair(item.owned, item.entry)
					})
				}
			}()
		}
	}
}

func (d *Dispatcher) nextRepair() (repairItem, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.repairs) == 0 {
		return repairItem{}, false
	}
	item := d.repairs[0]
	d.repairs = d.repairs[1:]
	return item, true
}

// repair writes one more copy of a message; it reports whether enough exist.
func (d *Dispatcher) repair(ctx context.Context, item repairItem) bool {
	d.mutex.Lock()
	entry := item.entry
	if item.owned.dropped || entry.Phase == queue.Done || d.enoughCopies(entry) {
		d.mutex.Unlock()
		return true
	}
	message := protocol.Message{Head: entry.HeadAt(d.now()), Body: entry.Body, Lease: item.owned.Epoch}
	target := d.repairTarget(entry)
	holders := slices.Clone(entry.Holders)
	end := endOf(item.owned, entry)
	d.mutex.Unlock()
	if target == nil {
		return false
	}
	disk, copied := d.copyTo(ctx, target, message, end, holders)
	if !copied {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !d.hasDisk(target.node, disk) {
		return false
	}
	addNode(&entry.Holders, target.node)
	if entry.Phase >= queue.AwaitingCallback {
		d.recordEnd(item.owned, entry)
	}
	return d.enoughCopies(entry)
}

// hasDisk reports whether a store still has the disk that acknowledged a copy. The
// mutex is held.
func (d *Dispatcher) hasDisk(node, storeID string) bool {
	link := d.stores[node]
	return link != nil && link.storeID == storeID
}

// copyTo writes one more copy of a message, whose body may have to be read from a holder
// first. It returns the identity of the disk that has the copy.
func (d *Dispatcher) copyTo(ctx context.Context, target *storeLink, message protocol.Message, end protocol.End, holders []string) (string, bool) {
	if end.State == protocol.Completed {
		return d.copyWithCallbackDue(ctx, target, message, end)
	}
	if message.Body == nil && message.Head.BodySize > 0 {
		fetched, found := d.fetchBody(ctx, message.Head.ID, holders)
		if !found {
			return "", false
		}
		message.Body = fetched.Body
	}
	answers := make(chan copyOutcome, 1)
	d.writeCopy(target, message, answers)
	answer := <-answers
	return answer.storeID, answer.status == protocol.Stored
}

// repairTarget returns the best store without a copy of the message, preferring one in
// another zone if all copies are in the same zone.
func (d *Dispatcher) repairTarget(entry *queue.Entry) *storeLink {
	zones := map[string]bool{}
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			zones[link.zone] = true
		}
	}
	var best *storeLink
	for _, link := range d.copyCandidates() {
		switch {
		case slices.Contains(entry.Holders, link.node):
		case len(zones) > 1 || !zones[link.zone]:
			return link
		case best == nil:
			best = link
		}
	}
	return best
}

// fetchBody reads a message with its body from the first store that has it. If no
// store has the body, it returns a reply that reports the message's end, if there is
// one: a store drops the body of a message that has completed.
func (d *Dispatcher) fetchBody(ctx context.Context, id string, holders []string) (protocol.QueryReply, bool) {
	var ended protocol.QueryReply
	for _, node := range holders {
		d.mutex.Lock()
		link := d.stores[node]
		d.mutex.Unlock()
		if link == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, repairTimeout)
		reply, err := transport.Call[protocol.QueryReply](callCtx, link.client, protocol.Query{ID: id, WithBody: true})
		cancel()
		switch {
		case err != nil || !reply.Held:
		case len(reply.Body) == reply.Head.BodySize && reply.Head.Target != "":
			return reply, true
		case reply.Head.State.Ended():
			ended = reply
		}
	}
	return ended, false
}
