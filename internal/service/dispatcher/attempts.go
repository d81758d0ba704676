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
	reportTimeout    = 600 * time.Millisecond
	reportRetryPause = 50 * time.Millisecond // the new owner may not have acquired the queue yet
	maxReportWait    = 10 * time.Second      // without progress
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
	return attempts
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
	if !outcome.End.State.Ended() {
		return
	}
	if err := outcome.End.Check(); err != nil { // from an earlier build, which does not bound seals
		d.log.Info("outcome cannot be recorded, message is sent again", "message", entry.Head.ID, "cause", err.Error())
		return
	}
	d.endEntry(owned, entry, outcome.End.State, outcome.End.Stamp)
}

// outcomeReport holds the outcomes of a queue's attempts that its new owner has not confirmed. Outcomes are numbered from
// 0 on in the order in which they were added.
type outcomeReport struct {
	outcomes  []protocol.Outcome
	confirmed int // number of outcomes that the new owner has confirmed; they are no longer in the list
	kept      int // number of outcomes of which enough stores keep each, for the next owners to read
}

// unkept returns the first of the outcomes that are neither confirmed nor kept.
func (r *outcomeReport) unkept() []protocol.Outcome {
	return firstOutcomes(r.outcomes[max(0, r.kept-r.confirmed):])
}

// firstUnkept returns the number of the first outcome that is neither confirmed nor kept.
func (r *outcomeReport) firstUnkept() int { return max(r.kept, r.confirmed) }

// confirm removes the first outcomes, which the new owner has confirmed.
func (r *outcomeReport) confirm(count int) {
	r.outcomes = r.outcomes[count:]
	r.confirmed += count
}

// reportOutcome reports the outcome of a message's attempts to the new owner of its queue, as soon as
// there is one. The mutex is held.
func (d *Dispatcher) reportOutcome(name string, outcome protocol.Outcome) {
	report := d.unreportedOutcomes[name]
	if report == nil {
		report = &outcomeReport{}
		d.unreportedOutcomes[name] = report
		go d.reportOutcomes(name, report)
	}
	report.outcomes = append(report.outcomes, outcome)
}

// reportOutcomes reports outcomes to the new owner of a queue until it has confirmed all of them, or until there was no
// progress for maxReportWait. Stores keep those that the owner does not confirm, because this process may end before.
func (d *Dispatcher) reportOutcomes(name string, report *outcomeReport) {
	for deadline := d.now() + maxReportWait; d.now() < deadline; {
		d.mutex.Lock()
		batch := firstOutcomes(report.outcomes)
		d.mutex.Unlock()
		switch {
		case d.reportToOwner(protocol.ReportOutcomes{Queue: name, Outcomes: batch}):
			if d.outcomesConfirmed(name, report, len(batch)) {
				return
			}
			deadline = d.now() + maxReportWait
		case d.keepOutcomes(name, report):
			deadline = d.now() + maxReportWait
		default:
			time.Sleep(reportRetryPause)
		}
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.log.Info("gave up reporting attempts to the new owner", "queue", name, "messages", len(report.outcomes), "notKept", len(report.unkept()))
	delete(d.unreportedOutcomes, name)
}

// outcomesConfirmed removes outcomes that the new owner has confirmed, and reports whether these were the last.
func (d *Dispatcher) outcomesConfirmed(name string, report *outcomeReport, count int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	report.confirm(count)
	if len(report.outcomes) == 0 {
		delete(d.unreportedOutcomes, name)
		return true
	}
	return false
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

// abandonAttempts closes the connections on which senders still have messages, so that no further answer is read. The
// new owners hold these messages as long as the attempts may last.
func (d *Dispatcher) abandonAttempts() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.abandoning = true
	d.cancelAttempts()
}

// awaitOutcomesKnown waits until all attempts have ended here and each outcome that was read is known to the new owner
// of its queue or kept by enough stores. Until then this process is the only one that knows it.
func (d *Dispatcher) awaitOutcomesKnown(ctx context.Context) {
	for {
		unkept := d.unkeptReports()
		if unkept == nil {
			return
		}
		for name, report := range unkept {
			d.keepOutcomes(name, report)
		}
		if ctx.Err() != nil {
			d.log.Info("leaving with outcomes that no other process knows", "queues", len(unkept))
			return
		}
		pause(ctx, handOverPollInterval)
	}
}

// unkeptReports returns the reports with outcomes that only this process knows. It returns nil if there are none and
// no attempt is under way any more.
func (d *Dispatcher) unkeptReports() map[string]*outcomeReport {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	unkept := map[string]*outcomeReport{}
	for name, report := range d.unreportedOutcomes {
		if len(report.unkept()) > 0 {
			unkept[name] = report
		}
	}
	if len(unkept) == 0 && d.attemptsUnderWay == 0 {
		return nil
	}
	return unkept
}
