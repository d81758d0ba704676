package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// An owner may lose a queue because its sessions expired while its connections were open. It may be stalled, and may
// have read successes that no store has recorded. The new owner holds each message that it may have at a sender for
// the duration of an attempt, and asks it to relinquish the queue. As long as its process exists and does not answer,
// the hold is extended. An owner whose machine is off or cut off is not waited for any longer.

const (
	maxSilentOwnerWait   = 10 * time.Second // after that a process that exists and does not answer counts as gone
	relinquishTimeout    = time.Second
	relinquishRetryPause = 50 * time.Millisecond
	holdExtension        = 2 * time.Second // longer than one probe and one request
)

var errOwnsNewerEpoch = Class.New("this process owns the queue under a newer epoch")

// silentOwnerWait is a queue whose previous owner fell silent and is asked to relinquish it.
type silentOwnerWait struct {
	owned    *ownedQueue
	previous protocol.Identity
	held     []*queue.Entry
	released []protocol.Attempt // of owners before, as reported by the stores at the time began
	began    time.Duration
}

// holdForSilentOwner holds the messages that a silent previous owner may have at senders, and asks that owner for
// their outcomes. The mutex is held.
func (d *Dispatcher) holdForSilentOwner(owned *ownedQueue, previous protocol.Identity, released []protocol.Attempt) {
	wait := &silentOwnerWait{owned: owned, previous: previous, released: released, began: d.now()}
	current := d.configuration.Load()
	owned.Each(func(entry *queue.Entry) {
		if entry.Phase != queue.Ready || d.deliveries[entry.Head.ID] != nil {
			return
		}
		if route, _, found := current.Match(entry.Head.Host, entry.Head.Target); found {
			owned.Hold(entry, d.now()+route.Timeout()+handOverSlack)
			wait.held = append(wait.held, entry)
		}
	})
	if len(wait.held) == 0 {
		return
	}
	d.log.Info("holding messages of a silent previous owner", "queue", owned.Name, "owner", previous.Node, "messages", len(wait.held))
	go d.settleWithSilentOwner(wait)
}

// settleWithSilentOwner extends the holds as long as the previous owner's process exists, until it has answered or
// was waited for long enough.
func (d *Dispatcher) settleWithSilentOwner(wait *silentOwnerWait) {
	request := protocol.Relinquish{Queue: wait.owned.Name, Epoch: wait.owned.Epoch, Incarnation: wait.previous.Incarnation}
	reachability := transport.Unreachable
	for d.stillHolding(wait) {
		reachability = transport.Probe(context.Background(), d.settings.Net(), wait.previous.Address)
		if reachability == transport.Refused {
			break
		}
		if reachability == transport.Listening {
			d.extendHolds(wait)
		}
		if reply, err := d.askToRelinquish(wait.previous.Address, request); err == nil {
			d.applyRelinquished(wait, reply)
			return
		}
		time.Sleep(relinquishRetryPause)
	}
	d.log.Info("silent previous owner did not answer", "queue", wait.owned.Name, "owner", wait.previous.Node,
		"after", d.now()-wait.began, "listening", reachability == transport.Listening, "ended", reachability == transport.Refused)
}

func (d *Dispatcher) askToRelinquish(address string, request protocol.Relinquish) (protocol.RelinquishReply, error) {
	ctx, cancel := context.WithTimeout(context.Background(), relinquishTimeout)
	defer cancel()
	return transport.Call[protocol.RelinquishReply](ctx, d.peer(address), request)
}

// stillHolding reports whether any message is still held for the previous owner.
func (d *Dispatcher) stillHolding(wait *silentOwnerWait) bool {
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
func (d *Dispatcher) extendHolds(wait *silentOwnerWait) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	until := min(d.now()+holdExtension, wait.began+maxSilentOwnerWait)
	for _, entry := range wait.held {
		if entry.HeldUntil() > d.now() {
			wait.owned.Hold(entry, until)
		}
	}
}

// applyRelinquished applies the attempts that the previous owner has reported, and ends the hold of all other messages.
func (d *Dispatcher) applyRelinquished(wait *silentOwnerWait, reply protocol.RelinquishReply) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	owned, waited := wait.owned, d.now()-wait.began
	d.log.Info("silent previous owner answered", "queue", owned.Name, "owner", wait.previous.Node, "after", waited,
		"replaced", reply.Replaced, "unsettled", len(reply.Attempts))
	if owned.dropped {
		return
	}
	for _, entry := range wait.held {
		if entry.HeldUntil() > d.now() {
			owned.Unhold(d.now(), entry)
		}
	}
	for _, attempt := range wait.released {
		attempt.Left -= waited
		reply.Attempts = append(reply.Attempts, attempt)
	}
	d.applyAttempts(owned, reply.Attempts)
	d.pump(owned)
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
	return protocol.RelinquishReply{Attempts: d.attemptsOfDropped(request.Queue)}, nil
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
	for _, outcome := range d.unreportedOutcomes[name] {
		attempts = append(attempts, protocol.Attempt{ID: outcome.End.ID, Outcome: outcome})
	}
	return attempts
}
