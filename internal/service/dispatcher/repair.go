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
	repairTimeout  = 2 * time.Second
	repairPause    = 50 * time.Millisecond
	repairParallel = 8
)

// copiesLost takes the copies of a store for lost and has them written again
// elsewhere. The mutex is held.
func (d *Dispatcher) copiesLost(link *storeLink) {
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if entry.Phase == queue.Done || !slices.Contains(entry.Holders, link.node) {
				return
			}
			entry.Holders = slices.DeleteFunc(slices.Clone(entry.Holders), func(node string) bool { return node == link.node })
			if !slices.Contains(entry.Touched, link.node) {
				entry.Touched = append(entry.Touched, link.node)
			}
			d.needsRepair(owned, entry)
		})
	}
}

// repairItem is a message that has too few copies.
type repairItem struct {
	owned *ownedQueue
	entry *queue.Entry
}

// needsRepair notes a message with too few copies. The mutex is held.
func (d *Dispatcher) needsRepair(owned *ownedQueue, entry *queue.Entry) {
	if entry.Phase == queue.Done || d.enoughCopies(entry) {
		return
	}
	d.repairs = append(d.repairs, repairItem{owned, entry})
	signal(d.repairWake)
}

// runRepairs writes missing copies until the context ends.
func (d *Dispatcher) runRepairs(ctx context.Context) {
	slots := make(chan struct{}, repairParallel)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.repairWake:
		}
		for {
			item, some := d.nextRepair()
			if !some {
				break
			}
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				if !d.repair(ctx, item) {
					time.AfterFunc(repairPause*10, func() {
						d.mutex.Lock()
						defer d.mutex.Unlock()
						d.needsRepair(item.owned, item.entry)
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
	if !d.copyTo(ctx, target, message, end, holders) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !slices.Contains(entry.Holders, target.node) {
		entry.Holders = append(entry.Holders, target.node)
	}
	if entry.Phase >= queue.Callback {
		d.recordEnd(item.owned, entry)
	}
	return d.enoughCopies(entry)
}

// copyTo writes one more copy of a message, whose body may have to be read first.
func (d *Dispatcher) copyTo(ctx context.Context, target *storeLink, message protocol.Message, end protocol.End, holders []string) bool {
	if end.State == protocol.Completed {
		return d.copyOwed(ctx, target, message, end)
	}
	if message.Body == nil && message.Head.BodySize > 0 {
		fetched, found := d.fetchBody(ctx, message.Head.ID, holders)
		if !found {
			return false
		}
		message.Body = fetched.Body
	}
	answers := make(chan copyAnswer, 1)
	d.writeCopy(target, message, answers)
	return (<-answers).status == protocol.Stored
}

// repairTarget returns the best store that has no copy of a message; one of another zone where all copies
// are in one.
func (d *Dispatcher) repairTarget(entry *queue.Entry) *storeLink {
	zones := map[string]bool{}
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			zones[link.zone] = true
		}
	}
	var best *storeLink
	for _, link := range d.candidates() {
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

// fetchBody reads a message with its body from the first store that has it. Where
// no store has the body, it returns what one tells of the message's end, if any
// does: a store keeps no body of a message that has completed.
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
