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
	forwardTimeout = 250 * time.Millisecond
	forwardPause   = 15 * time.Millisecond
	giveUpPart     = 0.45 // of the client's time, after which nothing is tried again
	bodyBudget     = 0.25 // part of the memory limit that bodies may take
)

// accept has a message accepted by the owner of its queue. The result is
// Refused only if no copy of the message can exist anywhere. It is given up well
// before the client does, so that the client can turn to another dispatcher.
func (d *Dispatcher) accept(ctx context.Context, message protocol.Message, patience time.Duration) protocol.AcceptStatus {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	giveUp := d.now() + part(patience, giveUpPart)
	mayExist := false
	for {
		status := d.acceptOnce(ctx, message)
		if status == protocol.Accepted {
			return status
		}
		mayExist = mayExist || status == protocol.Undecided
		if status == protocol.Refused || ctx.Err() != nil || d.now() >= giveUp {
			break
		}
		message.Head.Age += forwardPause
		pause(ctx, forwardPause)
	}
	if mayExist {
		return protocol.Undecided
	}
	return protocol.Refused
}

func (d *Dispatcher) acceptOnce(ctx context.Context, message protocol.Message) protocol.AcceptStatus {
	d.mutex.Lock()
	mine := d.queues[message.Head.Queue] != nil
	address := d.ownerAddress(message.Head.Queue)
	d.mutex.Unlock()
	switch {
	case mine:
		return d.acceptHere(ctx, message).Status
	case address == "" || address == d.identity.Address:
		return protocol.NotOwner
	}
	callCtx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.AcceptReply](callCtx, d.peer(address), protocol.Accept{Message: message})
	switch {
	case err == nil && reply.Status == protocol.Refused:
		return protocol.NotOwner // it has too few stores; another owner may have more
	case err == nil:
		return reply.Status
	case verdict.Of(err) == verdict.NotRun:
		return protocol.NotOwner
	default:
		return protocol.Undecided
	}
}

// acceptHere accepts a message into a queue that this dispatcher owns. The same
// message may come more than once.
func (d *Dispatcher) acceptHere(ctx context.Context, message protocol.Message) protocol.AcceptReply {
	id := message.Head.ID
	for {
		d.mutex.Lock()
		owned := d.queues[message.Head.Queue]
		if owned == nil || owned.closed {
			d.mutex.Unlock()
			return protocol.AcceptReply{Status: protocol.NotOwner}
		}
		if entry := owned.Get(id); entry != nil {
			status := d.statusOfKnown(entry)
			d.mutex.Unlock()
			return protocol.AcceptReply{Status: status}
		}
		first := owned.accepting[id]
		if first == nil {
			return protocol.AcceptReply{Status: d.acceptInto(ctx, owned, message)}
		}
		d.mutex.Unlock()
		select {
		case <-first:
		case <-ctx.Done():
			return protocol.AcceptReply{Status: protocol.Undecided}
		}
	}
}

// statusOfKnown returns whether a message that is in the queue already counts as
// accepted. One that was found at a single store does not, until it has all its
// copies: another owner may not have read that store. The mutex is held.
func (d *Dispatcher) statusOfKnown(entry *queue.Entry) protocol.AcceptStatus {
	switch state := entry.Head.State; {
	case state == protocol.Discarded:
		return protocol.Undecided
	case state.Ended() || d.enoughCopies(entry):
		return protocol.Accepted
	default:
		return protocol.Undecided
	}
}

// acceptInto writes the copies and takes the message into the queue. The mutex
// is held when it is called and free when it returns. Copies of a message that
// was not accepted stay where they are: the same message may be accepted yet,
// and a mark that forbids it to run would outlast that.
func (d *Dispatcher) acceptInto(ctx context.Context, owned *ownedQueue, message protocol.Message) protocol.AcceptStatus {
	id := message.Head.ID
	done := make(chan struct{})
	owned.accepting[id] = done
	message.Head.Epoch = owned.Epoch
	message.Head.Sequence = owned.NextSequence()
	message.Head.State = protocol.Queued
	message.Head.BodySize = len(message.Body)
	begun := d.now()
	d.mutex.Unlock()

	result := d.writeCopies(ctx, message)

	d.mutex.Lock()
	defer d.mutex.Unlock()
	delete(owned.accepting, id)
	close(done)
	message.Head.Age += d.now() - begun
	if result.status != protocol.Accepted {
		return result.status
	}
	holders := d.holdersLeft(result)
	if owned.dropped || d.countCopies(holders) < d.copiesWanted() {
		return protocol.Undecided
	}
	entry := owned.Add(d.now(), message.Head, message.Body, holders)
	entry.Touched = result.touched
	d.needsRepair(owned, entry)
	d.keepBody(entry)
	d.pump(owned)
	return protocol.Accepted
}

// holdersLeft returns the holders of a message that has just been written: without
// those that have lost that disk meanwhile. The mutex is held.
func (d *Dispatcher) holdersLeft(result copyResult) []string {
	return slices.DeleteFunc(slices.Clone(result.holders), func(node string) bool {
		return !d.stillHas(node, result.disks[node])
	})
}

// keepBody keeps the body in memory while there is room for it.
func (d *Dispatcher) keepBody(entry *queue.Entry) {
	budget := int(bodyBudget * float64(d.memoryMb) * (1 << 20))
	if d.bodyBytes+len(entry.Body) > budget {
		entry.Body = nil
		return
	}
	d.bodyBytes += len(entry.Body)
}

// freeBody gives a message's memory back.
func (d *Dispatcher) freeBody(entry *queue.Entry) {
	d.bodyBytes -= len(entry.Body)
	entry.Body = nil
}
