package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/delivery"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/verdict"
)

const (
	maxPumpInterval         = 5 * time.Second
	configurationRetryDelay = 50 * time.Millisecond // until a message is retried whose configuration has not arrived
	leavingRetryDelay       = time.Second           // until a message is retried that a leaving dispatcher does not start
)

// deliveryState is the state of a message that waits for a sender or is at one.
type deliveryState struct {
	key         string // message ID, which identifies it to the decision module
	owned       *ownedQueue
	entry       *queue.Entry
	service     *serviceState
	route       *configuration.Route // of the configuration in force
	startTarget time.Duration        // time by which the delivery should start
	submitted   bool                 // submitted to the decision module

	deadline    time.Duration // by which the current attempt has ended
	viaRelay    bool          // another dispatcher makes the current attempt
	startWithin time.Duration // with viaRelay: time in which it may begin

	rateTaken bool // rate was taken for this message and not yet used by an attempt

	withdrawn bool // withdrawn before it was submitted

	relayed *relayedAttempt // for another dispatcher, which owns the message; nil otherwise
}

// pumpAll runs everything that is due in all queues and services. The mutex is held.
func (d *Dispatcher) pumpAll() {
	for _, owned := range d.queues {
		d.pump(owned)
	}
	for _, service := range d.services {
		d.pumpService(service)
	}
}

// pump runs everything that is due in one queue. The mutex is held.
func (d *Dispatcher) pump(owned *ownedQueue) {
	if !d.mayDeliver(owned) {
		return
	}
	for _, step := range owned.Advance(d.now()) {
		switch step.Kind {
		case queue.Deliver:
			d.startDelivery(owned, step.Entry)
		case queue.Expire:
			d.endEntry(owned, step.Entry, protocol.DeadLetter, "")
		case queue.MakeCallback:
			d.queueCallback(owned, step.Entry)
		case queue.DropCallback:
			d.callbackDone(owned, step.Entry)
		}
	}
	if at, ok := owned.NextWake(); ok {
		d.wakeAt(at)
	}
}

// wakeAt makes the pump run at the given time or earlier. The mutex is held.
func (d *Dispatcher) wakeAt(at time.Duration) {
	if d.nextWake != 0 && d.nextWake <= at {
		return
	}
	d.nextWake = max(at, 1)
	signal(d.pumpWake)
}

// runPump pumps all queues whenever the next wake-up time is reached.
func (d *Dispatcher) runPump(ctx context.Context) {
	timer := time.NewTimer(maxPumpInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.pumpWake:
		case <-timer.C:
			d.mutex.Lock()
			d.nextWake = 0
			d.pumpAll()
			d.mutex.Unlock()
		}
		d.mutex.Lock()
		delay := maxPumpInterval
		if d.nextWake != 0 {
			delay = max(0, d.nextWake-d.now())
		}
		d.mutex.Unlock()
		timer.Reset(delay)
	}
}

// startDelivery queues a message for submission to its service's decision module.
// The mutex is held.
func (d *Dispatcher) startDelivery(owned *ownedQueue, entry *queue.Entry) {
	current := d.configuration.Load()
	if current.Revision() < entry.Head.Revision {
		d.awaitConfiguration(owned, entry)
		return
	}
	route, configured, found := current.Match(entry.Head.Host, entry.Head.Target)
	if !found {
		d.endEntry(owned, entry, protocol.DeadLetter, "") // the configuration no longer has a route for it
		return
	}
	if existing := d.deliveries[entry.Head.ID]; existing != nil {
		// A sender has had it since an earlier lease on the queue: the result of that attempt counts.
		existing.owned, existing.entry = owned, entry
		return
	}
	if !d.mayFinish(route.Timeout()) {
		owned.Retry(d.now(), entry, false, leavingRetryDelay)
		return
	}
	service := d.services[configured.Name]
	if service == nil {
		owned.Retry(d.now(), entry, false, -1)
		return
	}
	state := &deliveryState{
		key: entry.Head.ID, owned: owned, entry: entry, service: service, route: route,
		startTarget: entry.Accepted() + entry.Head.Delay + route.ScheduleTarget(),
	}
	d.deliveries[state.key] = state
	service.waiting.add(state)
	d.pumpService(service)
}

// awaitConfiguration postpones a message that was accepted under a newer configuration
// than the one in force here, which may not have its route yet. The mutex is held.
func (d *Dispatcher) awaitConfiguration(owned *ownedQueue, entry *queue.Entry) {
	if entry.Head.Revision > d.awaitedRevision {
		d.awaitedRevision = entry.Head.Revision
		d.log.Info("waiting for newer configuration", "revision", d.awaitedRevision, "inForce", d.configuration.Load().Revision(), "message", entry.Head.ID)
	}
	owned.Retry(d.now(), entry, false, configurationRetryDelay)
}

// withdrawAll requeues the messages of a queue that no sender has. The mutex is
// held.
func (d *Dispatcher) withdrawAll(owned *ownedQueue) {
	for _, state := range d.deliveries {
		if state.owned == owned && state.entry.Phase == queue.Running {
			d.requeueUnlessSent(state)
		}
	}
}

// requeueUnlessSent returns a message to its queue for another delivery, unless a sender has
// it: then no other sender gets it until that attempt has ended. The mutex is held.
func (d *Dispatcher) requeueUnlessSent(state *deliveryState) {
	if !d.withdraw(state) {
		return
	}
	if state.relayed != nil {
		state.relayed.finish(relayFull(delivery.NoRetryAfter))
		return
	}
	state.owned.Retry(d.now(), state.entry, false, 0)
}

// withdraw takes a message back from the decision module. It reports false if a sender has
// the message; no other sender is picked for it then. The mutex is held.
func (d *Dispatcher) withdraw(state *deliveryState) bool {
	if state.submitted && !state.service.driver.Withdraw(d.now(), state.key) {
		return false
	}
	delete(d.deliveries, state.key)
	state.service.waiting.withdraw(state)
	return true
}

// deliver runs one attempt. It has its own goroutine.
func (d *Dispatcher) deliver(key string, service *serviceState, attempt balance.Attempt) {
	state, request := d.beginAttempt(key, service, attempt)
	if request == nil {
		return
	}
	result := d.execute(state, request)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.attemptsUnderWay--
	if d.abandoning && result.Verdict == verdict.MayHaveRun && state.relayed == nil {
		return
	}
	d.attemptEnded(state, attempt, result)
}

// execute makes an attempt: over a connection to the sender, or by another dispatcher that has one.
func (d *Dispatcher) execute(state *deliveryState, request *delivery.Request) delivery.Result {
	switch {
	case state.viaRelay:
		return d.relayTo(request.Address, state, request)
	case state.relayed != nil:
		return d.client.Deliver(state.relayed.ctx, *request)
	default:
		return d.client.Deliver(d.attemptsContext, *request)
	}
}

// beginAttempt prepares an attempt under the configuration and sender list in force. The
// request is nil if the attempt may not start; beginAttempt has then recorded that it did not run.
func (d *Dispatcher) beginAttempt(key string, service *serviceState, attempt balance.Attempt) (*deliveryState, *delivery.Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.deliveries[key]
	if state == nil || state.service != service {
		service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun})
		return nil, nil
	}
	if !d.mayStart(state, attempt) {
		d.attemptNotStarted(state, attempt)
		return state, nil
	}
	body := state.entry.Body
	if body == nil && state.entry.Head.BodySize > 0 {
		fetched, found := d.fetchBodyUnlocked(state.entry)
		if fetched.Head.State.Ended() {
			d.endRecordedElsewhere(state, attempt, fetched.Head)
			return state, nil
		}
		if !found || !d.mayStart(state, attempt) { // the mutex was released
			d.attemptNotStarted(state, attempt)
			return state, nil
		}
		body = fetched.Body
	}
	if !d.takeRateForAttempt(state) {
		d.attemptNotStarted(state, attempt)
		return state, nil
	}
	state.deadline = d.now() + state.route.Timeout() + handOverSlack
	if state.viaRelay = service.relays[attempt.Address]; state.viaRelay {
		state.startWithin = d.leaseLeft(state.owned)
		if service.configured.RateLimited() {
			state.startWithin = min(state.startWithin, permitLifetime) // attempts that begin much later would add up to more than the rate
		}
		if d.attemptsEnd != 0 {
			state.startWithin = min(state.startWithin, d.attemptsEnd-d.now()-state.route.Timeout())
		}
		state.deadline += state.startWithin
	}
	d.attemptsUnderWay++
	return state, &delivery.Request{
		Address: attempt.Address, Instance: attempt.Instance, Head: state.entry.HeadAt(d.now()), Body: body,
		Timeout: state.route.Timeout(), MaxConnections: attempt.MaxConnections,
		MayBegin: func() bool { return d.mayBegin(state, attempt) },
	}
}

// mayBegin reports whether an attempt may still be sent, now that it has a connection: the lease may have ended while
// this process was stalled.
func (d *Dispatcher) mayBegin(state *deliveryState, attempt balance.Attempt) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.mayStart(state, attempt)
}

// fetchBodyUnlocked reads the body of a message from a store. The mutex is held on entry
// and on return, but released during the call to the store.
func (d *Dispatcher) fetchBodyUnlocked(entry *queue.Entry) (protocol.QueryReply, bool) {
	id, holders := entry.Head.ID, slices.Clone(entry.Holders)
	d.mutex.Unlock()
	defer d.mutex.Lock()
	return d.fetchBody(context.Background(), id, holders)
}

// mayStart reports whether an attempt that was decided on may start now: this dispatcher
// still owns the queue, the sender is still usable, and the message was not withdrawn
// because it ended or because a new configuration routes it elsewhere. The mutex is held.
func (d *Dispatcher) mayStart(state *deliveryState, attempt balance.Attempt) bool {
	if !state.service.driver.MayStart(attempt.ID) || !d.mayFinish(state.route.Timeout()) {
		return false
	}
	if state.relayed != nil {
		return state.relayed.mayStart(d.now())
	}
	return d.mayDeliver(state.owned)
}

// attemptNotStarted records that an attempt was not started, and requeues the message unless the
// decision module tries another sender. The mutex is held.
func (d *Dispatcher) attemptNotStarted(state *deliveryState, attempt balance.Attempt) {
	if !state.service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun}) {
		delete(d.deliveries, state.key)
		if state.relayed != nil {
			state.relayed.finish(notRelayed)
			return
		}
		state.owned.Retry(d.now(), state.entry, false, -1)
		if state.owned.dropped {
			d.reportOutcome(state.owned.Name, outcomeOf(state.owned, state.entry))
		}
	}
	d.pump(state.owned)
}

// endRecordedElsewhere ends a message whose end a store has already recorded: the
// previous owner recorded it after this dispatcher had read the heads. The mutex
// is held.
func (d *Dispatcher) endRecordedElsewhere(state *deliveryState, attempt balance.Attempt, head protocol.Head) {
	state.service.driver.Withdraw(d.now(), state.key)
	state.service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun})
	delete(d.deliveries, state.key)
	d.endEntry(state.owned, state.entry, head.State, head.Stamp)
	d.pumpService(state.service)
}

// attemptEnded records the result of an attempt, and applies it to the message unless the
// decision module tries another sender. The mutex is held.
func (d *Dispatcher) attemptEnded(state *deliveryState, attempt balance.Attempt, result delivery.Result) {
	d.counters.deliveries.note(&result)
	if result.Inconclusive() {
		d.logInconclusive(state, attempt, &result)
	}
	if !state.service.driver.Ended(d.now(), attempt.ID, result.Outcome()) {
		delete(d.deliveries, state.key)
		if state.relayed != nil {
			state.relayed.finish(result)
		} else {
			d.applyResult(state, result)
		}
	}
	d.pumpService(state.service)
	d.pump(state.owned)
}

// logInconclusive logs a response that does not show whether the message was processed.
// The message is sent again. The mutex is held.
func (d *Dispatcher) logInconclusive(state *deliveryState, attempt balance.Attempt, result *delivery.Result) {
	d.log.Info("sender response is inconclusive, message is sent again", "message", state.key, "sender", attempt.Instance, "address", attempt.Address,
		"cause", result.Err.Error(), "status", result.Status, "after", result.Latency, "reused", result.Reused)
}

// countRerouted counts the pending deliveries that a configuration would send to
// another service, or to none. The mutex is held.
func (d *Dispatcher) countRerouted(current *configuration.Configuration) int {
	count := 0
	for _, state := range d.deliveries {
		_, service, found := current.Match(state.entry.Head.Host, state.entry.Head.Target)
		if !found || service.Name != state.service.name {
			count++
		}
	}
	return count
}

// applyResult ends a message or requeues it, depending on the result of its attempt. The
// mutex is held.
func (d *Dispatcher) applyResult(state *deliveryState, result delivery.Result) {
	owned, entry := state.owned, state.entry
	if owned.dropped {
		d.log.Info("delivery ended after its queue was lost", "message", state.key, "queue", owned.Name, "succeeded", result.Succeeded())
		defer func() { d.reportOutcome(owned.Name, outcomeOf(owned, entry)) }()
	}
	switch {
	case result.Succeeded():
		d.counters.completed.Add(1)
		d.endEntry(owned, entry, protocol.Completed, result.Seal)
	case result.Impossible():
		d.endEntry(owned, entry, protocol.DeadLetter, "")
	case result.Failed():
		if entry.Head.Failures+1 >= state.route.MaxRetries {
			d.endEntry(owned, entry, protocol.DeadLetter, "")
			return
		}
		owned.Retry(d.now(), entry, true, -1)
		d.recordFailures(entry)
	default:
		owned.Retry(d.now(), entry, false, max(result.RetryAfter, -1))
	}
}

// requeueWithoutSender requeues a message for which no sender was available. The mutex is
// held.
func (d *Dispatcher) requeueWithoutSender(key string, wait time.Duration) {
	state := d.deliveries[key]
	if state == nil {
		return
	}
	delete(d.deliveries, key)
	if state.relayed != nil {
		state.relayed.finish(relayFull(wait))
		return
	}
	state.owned.Retry(d.now(), state.entry, false, wait)
	if at, some := state.owned.NextWake(); some {
		d.wakeAt(at)
	}
}

// endEntry ends a message and has its stores record the end. The mutex is held.
func (d *Dispatcher) endEntry(owned *ownedQueue, entry *queue.Entry, state protocol.State, stamp string) {
	if waiting := d.deliveries[entry.Head.ID]; waiting != nil && waiting.entry == entry {
		d.withdraw(waiting) // a store reported the end while the message waited for a sender
	}
	d.freeBody(entry)
	owned.End(d.now(), entry, state, stamp)
	if owned.dropped {
		d.lateEnds.add(d.now(), endOf(owned, entry))
	}
	d.recordEnd(owned, entry)
	d.pump(owned)
}
