package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// A queue may have to go before all that is under way of its messages is settled: senders
// have some, and how others ended is not at enough stores yet. The release tells of all of
// it, and the stores hand that on with the lease. The new owner takes the ends, and holds each
// message that a sender has, and with it those behind it of its key, until the old owner has
// told how the attempt ended or its time is over. Where a queue is lost without a release,
// the owner before tells the new one alone.

const (
	tellTimeout  = 600 * time.Millisecond
	tellPause    = 50 * time.Millisecond // the new owner may not have the queue yet
	tellMost     = 10 * time.Second
	tellBatch    = 256
	attemptsMost = 1000 // of one queue, that a release tells of
)

// letGo forgets a queue, and keeps the account of what is under way there: it returns the
// attempts that are not settled, and has the new owner told of those that are over. The mutex
// is held.
func (d *Dispatcher) letGo(owned *ownedQueue) []protocol.Attempt {
	owned.dropped = true
	delete(d.queues, owned.Name)
	d.leases.Drop(owned.Name)
	attempts := d.unsettled(owned)
	for _, attempt := range attempts {
		if attempt.End.State.Ended() {
			d.lateEnds.note(d.now(), attempt.End)
			d.tell(owned.Name, attempt.Outcome)
		}
	}
	return attempts[:min(len(attempts), attemptsMost)]
}

// unsettled returns what is under way of a queue's messages, those that senders have first.
// The mutex is held.
func (d *Dispatcher) unsettled(owned *ownedQueue) []protocol.Attempt {
	var attempts []protocol.Attempt
	for _, state := range d.deliveries {
		if left := state.deadline - d.now(); state.owned == owned && state.entry.Phase == queue.Running && left > 0 {
			attempts = append(attempts, protocol.Attempt{ID: state.key, Left: left, Outcome: outcomeOf(owned, state.entry)})
		}
	}
	if !d.endsSafe(owned) {
		for id, entry := range owned.unsafeEnds {
			attempts = append(attempts, protocol.Attempt{ID: id, Outcome: outcomeOf(owned, entry)})
		}
	}
	owned.Each(func(entry *queue.Entry) {
		left := max(0, entry.HeldUntil()-d.now())
		if entry.Phase < queue.Running && (left > 0 || entry.Head.Failures > 0) {
			attempts = append(attempts, protocol.Attempt{ID: entry.Head.ID, Left: left, Outcome: outcomeOf(owned, entry)})
		}
	})
	return attempts
}

// outcomeOf returns what came of a message so far.
func outcomeOf(owned *ownedQueue, entry *queue.Entry) protocol.Outcome {
	return protocol.Outcome{End: endOf(owned, entry), Failures: entry.Head.Failures}
}

// takeAttempts takes in what the owner before had not settled, as the stores tell it. Messages
// are held before any other may begin. The mutex is held.
func (d *Dispatcher) takeAttempts(owned *ownedQueue, attempts []protocol.Attempt) {
	for _, attempt := range attempts {
		if entry := owned.Get(attempt.ID); entry != nil && attempt.Left > 0 && d.deliveries[attempt.ID] == nil {
			owned.Hold(entry, d.now()+attempt.Left)
		}
	}
	for _, attempt := range attempts {
		d.takeOutcome(owned, attempt.Outcome)
	}
}

// holdAll holds each message that the owner before may have at a sender, or may have had there: nobody has told of
// any, and that one may only have stood still. It tells what came of them once it learns that the queue is gone.
// The mutex is held.
func (d *Dispatcher) holdAll(owned *ownedQueue) {
	current, held := d.configuration.Load(), 0
	owned.Each(func(entry *queue.Entry) {
		if entry.Phase != queue.Ready || d.deliveries[entry.Head.ID] != nil {
			return
		}
		if route, _, found := current.Match(entry.Head.Host, entry.Head.Target); found {
			owned.Hold(entry, d.now()+route.Timeout()+handOverSlack)
			held++
		}
	})
	if held > 0 {
		d.log.Info("messages of a silent owner are held", "queue", owned.Name, "messages", held)
	}
}

// takeOutcome takes in what came of attempts of the owner before. An end is recorded under
// this owner's epoch: the message is open here, so nobody was told of another one. The mutex
// is held.
func (d *Dispatcher) takeOutcome(owned *ownedQueue, outcome protocol.Outcome) {
	entry := owned.Get(outcome.End.ID)
	if entry == nil || entry.Head.State.Ended() {
		return
	}
	entry.Head.Failures = max(entry.Head.Failures, outcome.Failures)
	if outcome.End.State.Ended() {
		d.endEntry(owned, entry, outcome.End.State, outcome.End.Stamp)
	}
}

// tell has the new owner of a queue told what came of attempts at a message, as soon as there
// is one. The mutex is held.
func (d *Dispatcher) tell(name string, outcome protocol.Outcome) {
	d.untold[name] = append(d.untold[name], outcome)
	if len(d.untold[name]) == 1 {
		go d.runTelling(name)
	}
}

// runTelling tells the new owner of a queue until it knows all, or nobody takes note for long.
func (d *Dispatcher) runTelling(name string) {
	deadline := d.now() + tellMost
	for d.now() < deadline {
		d.mutex.Lock()
		outcomes := d.untold[name]
		d.mutex.Unlock()
		batch := outcomes[:min(len(outcomes), tellBatch)]
		if !d.tellOwner(protocol.AttemptsOver{Queue: name, Outcomes: batch}) {
			time.Sleep(tellPause)
			continue
		}
		d.mutex.Lock()
		rest := d.untold[name][len(batch):]
		d.untold[name] = rest
		if len(rest) == 0 {
			delete(d.untold, name)
		}
		d.mutex.Unlock()
		if len(rest) == 0 {
			return
		}
		deadline = d.now() + tellMost
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.log.Info("nobody was told of attempts", "queue", name, "messages", len(d.untold[name]))
	delete(d.untold, name)
}

// tellOwner tells the owner of a queue once. It reports whether there is nothing left to do.
func (d *Dispatcher) tellOwner(told protocol.AttemptsOver) bool {
	d.mutex.Lock()
	holder := d.table.holders[told.Queue].Holder
	address := d.table.sessions[holder].Identity.Address
	over := d.ended
	d.mutex.Unlock()
	switch {
	case over:
		return true
	case holder == d.identity.Node:
		return d.takeAttemptsOver(told).Owner
	case address == "":
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.AttemptsOverReply](ctx, d.peer(address), told)
	return err == nil && reply.Owner
}

// takeAttemptsOver takes in how attempts of the owner before have ended. An owner whose lease
// is not valid does not answer for the queue: the stores may refuse what it records.
func (d *Dispatcher) takeAttemptsOver(told protocol.AttemptsOver) protocol.AttemptsOverReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[told.Queue]
	if owned == nil {
		return protocol.AttemptsOverReply{}
	}
	for _, outcome := range told.Outcomes {
		d.takeOutcome(owned, outcome)
		if entry := owned.Get(outcome.End.ID); entry != nil && !outcome.End.State.Ended() {
			owned.Unhold(d.now(), entry)
		}
	}
	d.pump(owned)
	return protocol.AttemptsOverReply{Owner: d.leaseValid(owned)}
}

// awaitAttempts waits until no sender has a message of this dispatcher, and its new owners
// have been told.
func (d *Dispatcher) awaitAttempts(ctx context.Context) {
	for ctx.Err() == nil {
		d.mutex.Lock()
		over := len(d.untold) == 0
		for _, state := range d.deliveries {
			over = over && state.deadline <= d.now()
		}
		d.mutex.Unlock()
		if over {
			return
		}
		pause(ctx, handOverPause)
	}
}
