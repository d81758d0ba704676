package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// A queue may be released while attempts at its messages are unsettled: some messages are at
// senders, and the ends of others are not recorded at enough stores yet. The release lists all
// of these attempts, and the stores pass the list on with the lease. The new owner applies the
// ends, and holds each message that a sender has, along with later messages of the same ordering
// key, until the previous owner has reported how the attempt ended or the attempt has timed out.
// If a queue is lost without a release, only the previous owner can report to the new one.

const (
	reportTimeout         = 600 * time.Millisecond
	reportRetryPause      = 50 * time.Millisecond // the new owner may not have acquired the queue yet
	maxReportWait         = 10 * time.Second      // without progress
	maxOutcomesPerReport  = 256
	maxAttemptsPerRelease = 1000 // per queue
)

// dropQueue drops a queue. It returns the attempts that are not settled, and starts reporting
// those that are over to the new owner. The mutex is held.
func (d *Dispatcher) dropQueue(owned *ownedQueue) []protocol.Attempt {
	owned.dropped = true
	delete(d.queues, owned.Name)
	d.leases.Drop(owned.Name)
	attempts := d.unsettledAttempts(owned)
	for _, attempt := range attempts {
		if attempt.End.State.Ended() {
			d.lateEnds.add(d.now(), attempt.End)
			d.reportOutcome(owned.Name, attempt.Outcome)
		}
	}
	return attempts[:min(len(attempts), maxAttemptsPerRelease)]
}

// unsettledAttempts returns the unsettled attempts of a queue, those at senders first. Held messages
// and recorded failures are included. The mutex is held.
func (d *Dispatcher) unsettledAttempts(owned *ownedQueue) []protocol.Attempt {
	var attempts []protocol.Attempt
	for _, state := range d.deliveries {
		if state.owned == owned && state.entry.Phase == queue.Running {
			attempts = append(attempts, d.attemptUnderWay(state))
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
			attempts = append(attempts, protocol.Attempt{
				ID: entry.Head.ID, Left: left, Owner: owned.heldFor[entry.Head.ID], Outcome: outcomeOf(owned, entry),
			})
		}
	})
	return attempts
}

// attemptUnderWay describes an attempt that has not ended. Its time may be over although its result, which may
// be a success, has not been applied yet. The mutex is held.
func (d *Dispatcher) attemptUnderWay(state *deliveryState) protocol.Attempt {
	left := max(state.deadline-d.now(), handOverSlack)
	return protocol.Attempt{ID: state.key, Left: left, Outcome: outcomeOf(state.owned, state.entry)}
}

// outcomeOf returns the state of a message and its failures so far.
func outcomeOf(owned *ownedQueue, entry *queue.Entry) protocol.Outcome {
	return protocol.Outcome{End: endOf(owned, entry), Failures: entry.Head.Failures}
}

// applyAttempts applies the attempts that previous owners had not settled. All messages are held before any
// outcome is applied, because applying one may start deliveries. The mutex is held.
func (d *Dispatcher) applyAttempts(owned *ownedQueue, attempts []protocol.Attempt) {
	d.holdForReportedAttempts(owned, attempts)
	for _, attempt := range attempts {
		d.applyOutcome(owned, attempt.Outcome)
	}
}

// applyOutcome applies the outcome of an attempt of the previous owner. An end is recorded under
// this owner's epoch: the message is open here, so no other end was ever reported. The mutex
// is held.
func (d *Dispatcher) applyOutcome(owned *ownedQueue, outcome protocol.Outcome) {
	entry := owned.Get(outcome.End.ID)
	if entry == nil || entry.Head.State.Ended() {
		return
	}
	entry.Head.Failures = max(entry.Head.Failures, outcome.Failures)
	if outcome.End.State.Ended() {
		d.endEntry(owned, entry, outcome.End.State, outcome.End.Stamp)
	}
}

// reportOutcome reports the outcome of a message's attempts to the new owner of its queue, as soon as
// there is one. The mutex is held.
func (d *Dispatcher) reportOutcome(name string, outcome protocol.Outcome) {
	d.unreportedOutcomes[name] = append(d.unreportedOutcomes[name], outcome)
	if len(d.unreportedOutcomes[name]) == 1 {
		go d.reportOutcomes(name)
	}
}

// reportOutcomes reports outcomes to the new owner of a queue until it has confirmed all of them, or
// until nothing was confirmed for maxReportWait.
func (d *Dispatcher) reportOutcomes(name string) {
	deadline := d.now() + maxReportWait
	for d.now() < deadline {
		d.mutex.Lock()
		outcomes := d.unreportedOutcomes[name]
		d.mutex.Unlock()
		batch := outcomes[:min(len(outcomes), maxOutcomesPerReport)]
		if !d.reportToOwner(protocol.ReportOutcomes{Queue: name, Outcomes: batch}) {
			time.Sleep(reportRetryPause)
			continue
		}
		d.mutex.Lock()
		rest := d.unreportedOutcomes[name][len(batch):]
		d.unreportedOutcomes[name] = rest
		if len(rest) == 0 {
			delete(d.unreportedOutcomes, name)
		}
		d.mutex.Unlock()
		if len(rest) == 0 {
			return
		}
		deadline = d.now() + maxReportWait
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.log.Info("gave up reporting attempts to the new owner", "queue", name, "messages", len(d.unreportedOutcomes[name]))
	delete(d.unreportedOutcomes, name)
}

// reportToOwner makes one report to the owner of a queue. It returns true if the owner has confirmed it, or
// if this dispatcher has ended.
func (d *Dispatcher) reportToOwner(report protocol.ReportOutcomes) bool {
	d.mutex.Lock()
	holder := d.table.holders[report.Queue].Holder
	address := d.table.sessions[holder].Identity.Address
	ended := d.ended
	d.mutex.Unlock()
	switch {
	case ended:
		return true
	case holder == d.identity.Node:
		return d.handleAttemptsOver(report).Owner
	case address == "":
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.ReportOutcomesReply](ctx, d.peer(address), report)
	return err == nil && reply.Owner
}

// handleAttemptsOver applies the outcomes of the previous owner's attempts. Without a valid lease
// the reply does not confirm them, since the stores may refuse what this dispatcher records.
func (d *Dispatcher) handleAttemptsOver(report protocol.ReportOutcomes) protocol.ReportOutcomesReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := d.queues[report.Queue]
	if owned == nil {
		return protocol.ReportOutcomesReply{}
	}
	for _, outcome := range report.Outcomes {
		d.applyOutcome(owned, outcome)
		if entry := owned.Get(outcome.End.ID); entry != nil && !outcome.End.State.Ended() {
			d.unhold(owned, entry)
		}
	}
	d.pump(owned)
	return protocol.ReportOutcomesReply{Owner: d.leaseValid(owned)}
}

// awaitAttempts waits until no sender has a message of this dispatcher and all outcomes have been
// reported to the new owners.
func (d *Dispatcher) awaitAttempts(ctx context.Context) {
	for ctx.Err() == nil {
		d.mutex.Lock()
		settled := len(d.unreportedOutcomes) == 0
		for _, state := range d.deliveries {
			settled = settled && state.deadline <= d.now()
		}
		d.mutex.Unlock()
		if settled {
			return
		}
		pause(ctx, handOverPollInterval)
	}
}
