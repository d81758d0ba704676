package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/verdict"
)

const (
	forwardTimeout     = 250 * time.Millisecond
	acceptRetryPause   = 15 * time.Millisecond
	retryTimeFraction  = 0.45 // fraction of the client's timeout after which nothing is retried
	bodyMemoryFraction = 0.25 // fraction of the memory limit available to message bodies
)

// accept has the owner of the queue accept a message. The result is Refused only
// if no copy of the message can exist anywhere. Retries stop well before the
// client's timeout, so that the client can try another dispatcher.
func (d *Dispatcher) accept(ctx context.Context, message protocol.Message, timeout time.Duration) protocol.AcceptStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	retryDeadline := d.now() + fraction(timeout, retryTimeFraction)
	mayExist := false
	for {
		status := d.acceptOnce(ctx, message)
		if status == protocol.Accepted {
			return status
		}
		mayExist = mayExist || status == protocol.Undecided
		if status == protocol.Refused || ctx.Err() != nil || d.now() >= retryDeadline {
			break
		}
		message.Head.Age += acceptRetryPause
		pause(ctx, acceptRetryPause)
	}
	if mayExist {
		return protocol.Undecided
	}
	return protocol.Refused
}

// acceptOnce makes one attempt: locally if this dispatcher owns the queue, otherwise
// at the owner that it knows of.
func (d *Dispatcher) acceptOnce(ctx context.Context, message protocol.Message) protocol.AcceptStatus {
	d.mutex.Lock()
	owned := d.queues[message.Head.Queue] != nil
	address := d.ownerAddress(message.Head.Queue)
	d.mutex.Unlock()
	switch {
	case owned:
		return d.acceptLocally(ctx, message).Status
	case address == "" || address == d.identity.Address:
		return protocol.NotOwner
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.AcceptReply](callCtx, d.peer(address), protocol.Accept{Message: message})
	switch {
	case err == nil && reply.Status == protocol.Refused:
		return protocol.NotOwner // too few stores available there; another owner may reach more
	case err == nil:
		return reply.Status
	case verdict.Of(err) == verdict.NotRun:
		return protocol.NotOwner
	default:
		return protocol.Undecided
	}
}

// acceptLocally accepts a message into a queue that this dispatcher owns. The same
// message may arrive more than once; duplicates wait for the first one to finish.
func (d *Dispatcher) acceptLocally(ctx context.Context, message protocol.Message) protocol.AcceptReply {
	id := message.Head.ID
	for {
		d.mutex.Lock()
		owned := d.queues[message.Head.Queue]
		if owned == nil || owned.closed {
			d.mutex.Unlock()
			return protocol.AcceptReply{Status: protocol.NotOwner}
		}
		if entry := owned.Get(id); entry != nil {
			status := d.statusOfExisting(entry)
			d.mutex.Unlock()
			return protocol.AcceptReply{Status: status}
		}
		pending := owned.accepting[id]
		if pending == nil {
			return protocol.AcceptReply{Status: d.acceptInto(ctx, owned, message)}
		}
		d.mutex.Unlock()
		select {
		case <-pending:
		case <-ctx.Done():
			return protocol.AcceptReply{Status: protocol.Undecided}
		}
	}
}

// statusOfExisting returns the status of a message that is already in the queue. A
// message found at a single store is not accepted until it has all its copies,
// because another owner may not read that store. The mutex is held.
func (d *Dispatcher) statusOfExisting(entry *queue.Entry) protocol.AcceptStatus {
	switch state := entry.Head.State; {
	case state == protocol.Discarded:
		return protocol.Undecided
	case state.Ended() || d.enoughCopies(entry):
		return protocol.Accepted
	default:
		return protocol.Undecided
	}
}

// acceptInto writes the copies and adds the message to the queue. The mutex is
// held on entry and released on return. Copies of a message that was not accepted
// are left in place: a retry may still get the message accepted, and a marker that
// forbids its delivery would remain afterwards.
func (d *Dispatcher) acceptInto(ctx context.Context, owned *ownedQueue, message protocol.Message) protocol.AcceptStatus {
	id := message.Head.ID
	done := make(chan struct{})
	owned.accepting[id] = done
	message.Head.Epoch = owned.Epoch
	message.Head.Sequence = owned.NextSequence()
	message.Head.State = protocol.Queued
	message.Head.BodySize = len(message.Body)
	started := d.now()
	d.mutex.Unlock()

	result := d.writeCopies(ctx, message)

	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(owned.accepting, id)
	close(done)
	message.Head.Age += d.now() - started
	if result.status != protocol.Accepted {
		return result.status
	}
	holders := d.currentHolders(result)
	if owned.dropped || d.countCopies(holders) < d.requiredCopies() {
		return protocol.Undecided
	}
	entry := owned.Add(d.now(), message.Head, message.Body, holders)
	entry.PossibleHolders = result.possibleHolders
	d.queueRepair(owned, entry)
	d.cacheBody(entry)
	d.pump(owned)
	return protocol.Accepted
}

// currentHolders returns the stores that hold a message just written, without those
// that have lost the disk in the meantime. The mutex is held.
func (d *Dispatcher) currentHolders(result copyResult) []string {
	return slices.DeleteFunc(slices.Clone(result.holders), func(node string) bool {
		return !d.hasDisk(node, result.disks[node])
	})
}

// cacheBody keeps the body in memory if the budget for bodies allows it. Other
// bodies are read from a store before delivery.
func (d *Dispatcher) cacheBody(entry *queue.Entry) {
	budget := int(bodyMemoryFraction * float64(d.memoryMb) * (1 << 20))
	if d.bodyBytes+len(entry.Body) > budget {
		entry.Body = nil
		return
	}
	d.bodyBytes += len(entry.Body)
}

// freeBody drops a message's body from memory.
func (d *Dispatcher) freeBody(entry *queue.Entry) {
	d.bodyBytes -= len(entry.Body)
	entry.Body = nil
}
