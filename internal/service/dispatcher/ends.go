package dispatcher

import (
	"context"
	"slices"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// endPause is how long a call-back waits for stores to record the end.
const endPause = 50 * time.Millisecond

// endOf returns the record of a message's end.
func endOf(owned *ownedQueue, entry *queue.Entry) protocol.End {
	return protocol.End{
		ID: entry.Head.ID, Queue: owned.Name, State: entry.Head.State,
		Stamp: entry.Head.Stamp, CallbackDue: entry.Head.CallbackDue, Retention: entry.Head.Retention,
	}
}

// recordEnd has the stores of a message record its end, and others where too few
// of them can now. The mutex is held.
func (d *Dispatcher) recordEnd(owned *ownedQueue, entry *queue.Entry) {
	end := endOf(owned, entry)
	for _, link := range d.endTargets(entry) {
		link.ends[end.ID] = end
		delete(link.failures, end.ID)
		signal(link.flush)
	}
}

// endTargets returns the stores that are to record a message's end: all that may
// have it, and as many others as are wanting because of those that are away.
func (d *Dispatcher) endTargets(entry *queue.Entry) []*storeLink {
	var targets []*storeLink
	reachable := 0
	add := func(link *storeLink) {
		targets = append(targets, link)
		if link.up && !link.leaving && !link.silent(d.now()) {
			reachable++
		}
	}
	for _, nodes := range [][]string{entry.Holders, entry.Touched} {
		for _, node := range nodes {
			if link := d.stores[node]; link != nil && !slices.Contains(targets, link) {
				add(link)
			}
		}
	}
	if reachable >= d.copiesWanted() {
		return targets
	}
	for _, link := range d.candidates() {
		if reachable < d.copiesWanted() && !slices.Contains(targets, link) {
			entry.Touched = append(entry.Touched, link.node)
			add(link)
		}
	}
	return targets
}

// noteEndKept notes that a store has recorded an end. The mutex is held.
func (d *Dispatcher) noteEndKept(link *storeLink, end protocol.End) {
	owned := d.queues[end.Queue]
	if owned == nil {
		return
	}
	if entry := owned.Get(end.ID); entry != nil && entry.Head.State == end.State {
		addNode(&entry.EndKept, link.node)
	}
}

// addNode adds a node to a list unless it is there.
func addNode(nodes *[]string, node string) {
	if !slices.Contains(*nodes, node) {
		*nodes = append(*nodes, node)
	}
}

// endIsSafe reports whether so many stores have recorded the end of a message that
// every later owner reads it. Nobody is told of the end before. The mutex is held.
func (d *Dispatcher) endIsSafe(entry *queue.Entry) bool {
	return len(entry.EndKept) >= d.copiesWanted()
}

// keepEnd has an end recorded at stores beside those that have it, until enough
// have. It reports whether that is so.
func (d *Dispatcher) keepEnd(ctx context.Context, end protocol.End, have []string) bool {
	d.mutex.Lock()
	wanted := d.copiesWanted() - len(have)
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
			_, err := transport.Call[protocol.EndBatchReply](ctx, link.client, protocol.EndBatch{Ends: []protocol.End{end}})
			kept <- err == nil
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

// recordFailures has the stores of a message record its failed attempts.
func (d *Dispatcher) recordFailures(entry *queue.Entry) {
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			link.failures[entry.Head.ID] = entry.Head.Failures
			signal(link.flush)
		}
	}
}
