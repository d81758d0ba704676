package dispatcher

import (
	"context"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

// drop gives up a queue that another dispatcher owns. The mutex is held.
func (d *Dispatcher) drop(owned *ownedQueue, reason string) {
	if owned.dropped {
		return
	}
	d.withdrawAll(owned)
	attempts := d.dropQueue(owned)
	d.log.Info("queue lost", "queue", owned.Name, "cause", reason, "unsettled", len(attempts))
	if owned.Name == d.localQueue {
		d.replaceLocalQueue()
	}
}

// startHandOver stops work on a queue and hands it over to a successor in the background.
func (d *Dispatcher) startHandOver(ctx context.Context, name, successor string) {
	if owned := d.beginLeaving(name); owned != nil {
		go d.handOver(ctx, owned, successor)
	}
}

// beginLeaving stops work on a queue. It returns nil if the queue is not owned or already leaving.
func (d *Dispatcher) beginLeaving(name string) *ownedQueue {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[name]
	if owned == nil || owned.leaving {
		return nil
	}
	owned.leaving = true
	d.withdrawAll(owned)
	return owned
}

// handOver waits until deliveries under way have finished and their ends are safe, while messages are still
// accepted. Then it closes the queue, releases its leases and notifies the successor, which reads from the
// stores what was accepted meanwhile.
func (d *Dispatcher) handOver(ctx context.Context, owned *ownedQueue, successor string) {
	start := d.now()
	d.awaitQueue(ctx, owned, d.maxHandOverWait(), func() bool {
		return owned.Running() == 0 && d.queueEndsRecorded(owned.Name) && d.endsSafe(owned)
	})
	d.mutex.Lock()
	d.logUnsafeEnds(owned, d.now()-start)
	owned.closed = true
	d.mutex.Unlock()
	d.awaitQueue(ctx, owned, acceptingWait, func() bool { return len(owned.accepting) == 0 })
	d.mutex.Lock()
	if owned.dropped {
		d.mutex.Unlock()
		return
	}
	attempts := d.dropQueue(owned)
	links := d.upStores()
	address := d.table.sessions[successor].Identity.Address
	d.mutex.Unlock()
	if len(attempts) > 0 {
		d.log.Info("queue released with unsettled attempts", "queue", owned.Name, "messages", len(attempts))
	}
	released := firstAttempts(attempts)
	for further := attempts[len(released):]; len(further) > 0; {
		batch := firstAttempts(further)
		d.keepAttempts(context.WithoutCancel(ctx), owned.Name, batch)
		further = further[len(batch):]
	}
	var calls sync.WaitGroup
	for _, link := range links {
		calls.Add(1)
		go func() {
			defer calls.Done()
			d.release(context.WithoutCancel(ctx), link, owned.Name, owned.Epoch, released)
		}()
	}
	calls.Wait()
	if address != "" {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		_, _ = transport.Call[protocol.OfferReply](callCtx, d.peer(address), protocol.Offer{Queues: []string{owned.Name}})
	}
	d.log.V(1).Info("queue handed over", "queue", owned.Name, "to", successor)
}

// maxHandOverWait returns how long to wait for deliveries under way: the longest time that one may take,
// because a successor that gets the queue sooner may run the message again.
func (d *Dispatcher) maxHandOverWait() time.Duration {
	longest := minHandOverWait
	current := d.configuration.Load()
	if current == nil {
		return longest
	}
	for _, route := range current.Routes() {
		longest = max(longest, route.Timeout()+handOverSlack)
	}
	return longest
}

// awaitQueue waits until the condition holds, the queue is dropped, or the time is over.
func (d *Dispatcher) awaitQueue(ctx context.Context, owned *ownedQueue, timeout time.Duration, reached func() bool) {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		d.mutex.Lock()
		done := owned.dropped || reached()
		d.mutex.Unlock()
		if done {
			return
		}
		pause(ctx, handOverPollInterval)
	}
}

// acquireOffered acquires queues that another dispatcher has just released.
func (d *Dispatcher) acquireOffered(ctx context.Context, names []string) {
	d.mutex.Lock()
	var wanted []string
	for _, name := range names {
		if d.queues[name] == nil && d.takesSharedQueues() {
			wanted = append(wanted, name)
		}
	}
	d.mutex.Unlock()
	if len(wanted) > 0 {
		d.acquire(ctx, wanted)
	}
}
