package dispatcher

import (
	"context"
	"slices"
	"strings"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// A previous owner of a queue may know of successes that no store has recorded: it fell silent, because it stalled,
// and lost the queue, or it released the queue while senders had messages of it. The new owner holds these messages
// for the duration of an attempt. Before that time is over it asks the previous owner for the outcomes, and as long
// as that process exists and does not answer, it extends the hold. A process that has ended, and one whose machine is
// off or cut off, is not waited for any longer.

const (
	maxPreviousOwnerWait = 10 * time.Second // beyond the end of its attempts, for a process that exists and does not answer
	relinquishTimeout    = time.Second
	relinquishRetryPause = 50 * time.Millisecond
	holdExtension        = 2 * time.Second // longer than one probe and one request
	askBeforeHoldEnds    = 400 * time.Millisecond

	keptOutcomesPollInterval = 400 * time.Millisecond
)

var errOwnsNewerEpoch = Class.New("this process owns the queue under a newer epoch")

// previousOwnerWait is a wait for what a previous owner of a queue knows of messages that it may have at senders.
type previousOwnerWait struct {
	owned    *ownedQueue
	previous protocol.Identity
	held     []*queue.Entry
	began    time.Duration
	askFrom  time.Duration
	limit    time.Duration
}

// holdForSilentOwner holds the messages that a silent previous owner may have at senders. The mutex is held.
func (d *Dispatcher) holdForSilentOwner(owned *ownedQueue, previous protocol.Identity) {
	wait := d.newPreviousOwnerWait(owned, previous)
	current := d.configuration.Load()
	owned.Each(func(entry *queue.Entry) {
		if entry.Phase != queue.Ready || d.deliveries[entry.Head.ID] != nil {
			return
		}
		if route, _, found := current.Match(entry.Head.Host, entry.Head.Target); found {
			wait.hold(entry, d.now()+route.Timeout()+handOverSlack)
		}
	})
	if len(wait.held) == 0 {
		return
	}
	wait.askFrom, wait.limit = wait.began, wait.began+maxPreviousOwnerWait
	d.log.Info("holding messages of a silent previous owner", "queue", owned.Name, "owner", previous.Node, "messages", len(wait.held))
	go d.settleWithPreviousOwner(wait)
}

// holdForReportedAttempts holds the messages that previous owners have reported to be at senders. The mutex is held.
func (d *Dispatcher) holdForReportedAttempts(owned *ownedQueue, attempts []protocol.Attempt) {
	waits := map[protocol.Identity]*previousOwnerWait{}
	for _, attempt := range attempts {
		entry := owned.Get(attempt.ID)
		if entry == nil || attempt.Left <= 0 || d.deliveries[attempt.ID] != nil {
			continue
		}
		wait := waits[attempt.Owner]
		if wait == nil {
			wait = d.newPreviousOwnerWait(owned, attempt.Owner)
			waits[attempt.Owner] = wait
		}
		until := d.now() + attempt.Left
		wait.hold(entry, until)
		if ask := until - askBeforeHoldEnds; wait.askFrom == 0 || ask < wait.askFrom {
			wait.askFrom = max(ask, wait.began)
		}
		wait.limit = max(wait.limit, until+maxPreviousOwnerWait)
	}
	for previous, wait := range waits {
		if previous.Address != "" && previous.Session() != d.identity.Session() {
			go d.settleWithPreviousOwner(wait)
		}
	}
}

func (d *Dispatcher) newPreviousOwnerWait(owned *ownedQueue, previous protocol.Identity) *previousOwnerWait {
	return &previousOwnerWait{owned: owned, previous: previous, began: d.now()}
}

// hold holds a message for the previous owner.
func (w *previousOwnerWait) hold(entry *queue.Entry, until time.Duration) {
	w.owned.Hold(entry, until)
	w.owned.heldFor[entry.Head.ID] = w.previous
	w.held = append(w.held, entry)
}

// settleWithPreviousOwner asks the previous owner for the outcomes of its attempts, and extends the holds as long as
// its process exists and does not answer. What a process that has ended knew is read from the stores.
func (d *Dispatcher) settleWithPreviousOwner(wait *previousOwnerWait) {
	d.pollKeptOutcomes(wait)
	reachability := transport.Unreachable
	for asked := false; d.stillHolding(wait); asked = true {
		if asked {
			time.Sleep(relinquishRetryPause)
		}
		reachability = transport.Probe(context.Background(), d.settings.Net(), wait.previous.Address)
		ended := reachability == transport.Refused
		if reachability == transport.Listening {
			d.extendHolds(wait)
			reply, err := d.askToRelinquish(wait)
			if err == nil && !reply.Replaced {
				d.applyRelinquished(wait, reply)
				return
			}
			if err != nil {
				continue
			}
			ended = true
		}
		known := d.applyKeptOutcomes(wait.owned)
		switch {
		case ended && !known:
			d.extendHolds(wait)
		case ended && reachability == transport.Listening:
			d.applyRelinquished(wait, protocol.RelinquishReply{Replaced: true})
			return
		case ended:
			d.log.Info("previous owner did not answer", "queue", wait.owned.Name, "owner", wait.previous.Node, "after", d.now()-wait.began, "ended", true)
			return
		}
	}
	if d.now() >= wait.limit {
		d.log.Info("previous owner did not answer", "queue", wait.owned.Name, "owner", wait.previous.Node, "after", d.now()-wait.began, "ended", false)
	}
}

// pollKeptOutcomes applies outcomes that stores keep until it is time to ask the previous owner, which may end before.
// Stores keep them in memory only, and may be restarted in turn meanwhile.
func (d *Dispatcher) pollKeptOutcomes(wait *previousOwnerWait) {
	for d.stillHolding(wait) {
		left := wait.askFrom - d.now()
		time.Sleep(min(left, keptOutcomesPollInterval))
		if left <= keptOutcomesPollInterval {
			return
		}
		d.applyKeptOutcomes(wait.owned)
	}
}

// askToRelinquish asks the previous owner to give up the queue, and reads all attempts that it tells of.
func (d *Dispatcher) askToRelinquish(wait *previousOwnerWait) (protocol.RelinquishReply, error) {
	request := protocol.Relinquish{Queue: wait.owned.Name, Epoch: wait.owned.Epoch, Incarnation: wait.previous.Incarnation, Paged: true}
	var whole protocol.RelinquishReply
	for {
		ctx, cancel := context.WithTimeout(context.Background(), relinquishTimeout)
		page, err := transport.Call[protocol.RelinquishReply](ctx, d.peer(wait.previous.Address), request)
		cancel()
		if err != nil || page.Replaced {
			return page, err
		}
		whole.Attempts = append(whole.Attempts, page.Attempts...)
		if !page.More || len(page.Attempts) == 0 {
			return whole, nil
		}
		request.After = page.Attempts[len(page.Attempts)-1].ID
	}
}

// stillHolding reports whether any message is still held for the previous owner.
func (d *Dispatcher) stillHolding(wait *previousOwnerWait) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ended || wait.owned.dropped {
		return false
	}
	for _, entry := range wait.held {
		if entry.HeldUntil() > d.now() {
			return true
		}
	}
	return false
}

// extendHolds extends the holds that have not ended.
func (d *Dispatcher) extendHolds(wait *previousOwnerWait) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := min(d.now()+holdExtension, wait.limit)
	for _, entry := range wait.held {
		if entry.HeldUntil() > d.now() {
			wait.owned.Hold(entry, until)
		}
	}
}

// applyRelinquished applies the attempts that the previous owner has reported, and ends the hold of all other messages.
func (d *Dispatcher) applyRelinquished(wait *previousOwnerWait, reply protocol.RelinquishReply) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned := wait.owned
	d.log.Info("previous owner answered", "queue", owned.Name, "owner", wait.previous.Node, "after", d.now()-wait.began,
		"replaced", reply.Replaced, "unsettled", len(reply.Attempts))
	if owned.dropped {
		return
	}
	for _, entry := range wait.held {
		if entry.HeldUntil() > d.now() && owned.heldFor[entry.Head.ID] == wait.previous {
			d.unhold(owned, entry)
		}
	}
	d.applyAttempts(owned, protocol.WithOwner(reply.Attempts, wait.previous))
	d.pump(owned)
}

// unhold ends the hold of a message. The mutex is held.
func (d *Dispatcher) unhold(owned *ownedQueue, entry *queue.Entry) {
	delete(owned.heldFor, entry.Head.ID)
	owned.Unhold(d.now(), entry)
}

// handleRelinquish gives up a queue that another dispatcher has acquired, and returns the attempts that the stores may
// not know of.
func (d *Dispatcher) handleRelinquish(request protocol.Relinquish) (protocol.RelinquishReply, error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if request.Incarnation != d.identity.Incarnation {
		return protocol.RelinquishReply{Replaced: true}, nil
	}
	if owned := d.queues[request.Queue]; owned != nil {
		if owned.Epoch >= request.Epoch {
			return protocol.RelinquishReply{}, errOwnsNewerEpoch
		}
		d.highestEpochs[request.Queue] = max(d.highestEpochs[request.Queue], request.Epoch)
		d.drop(owned, "its new owner asked for it")
	}
	attempts := d.attemptsOfDropped(request.Queue)
	if !request.Paged {
		return protocol.RelinquishReply{Attempts: attempts}, nil
	}
	return relinquishPage(attempts, request.After), nil
}

// relinquishPage returns the attempts after a message's, in the order of their IDs, as many as one reply may hold. All
// attempts of one message are in the same reply.
func relinquishPage(attempts []protocol.Attempt, after string) protocol.RelinquishReply {
	slices.SortStableFunc(attempts, func(a, b protocol.Attempt) int { return strings.Compare(a.ID, b.ID) })
	var page protocol.RelinquishReply
	size := 0
	for i := range attempts {
		if attempts[i].ID <= after {
			continue
		}
		size += attempts[i].MaxEncodedBytes()
		if size > attemptBatchBytes && len(page.Attempts) > 0 && page.Attempts[len(page.Attempts)-1].ID != attempts[i].ID {
			page.More = true
			break
		}
		page.Attempts = append(page.Attempts, attempts[i])
	}
	return page
}

// attemptsOfDropped returns the attempts of a queue that is no longer owned: those under way, and outcomes that the
// stores may not have recorded. The mutex is held.
func (d *Dispatcher) attemptsOfDropped(name string) []protocol.Attempt {
	var attempts []protocol.Attempt
	for _, state := range d.deliveries {
		if state.owned.Name == name && state.entry.Phase == queue.Running {
			attempts = append(attempts, d.attemptUnderWay(state))
		}
	}
	for id, end := range d.lateEnds.byID {
		if end.Queue == name {
			attempts = append(attempts, protocol.Attempt{ID: id, Outcome: protocol.Outcome{End: end}})
		}
	}
	if report := d.unreportedOutcomes[name]; report != nil {
		for _, outcome := range report.outcomes {
			attempts = append(attempts, protocol.Attempt{ID: outcome.End.ID, Outcome: outcome})
		}
	}
	return attempts
}
