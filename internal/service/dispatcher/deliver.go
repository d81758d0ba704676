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
)

const (
	idleWake           = 5 * time.Second
	configurationPause = 50 * time.Millisecond // of a message whose configuration has not come yet
)

// deliveryState is a message that waits for a sender or is with one.
type deliveryState struct {
	key     string // id of the message, by which the decision module knows it
	owned   *ownedQueue
	entry   *queue.Entry
	service *serviceState
	route   *configuration.Route // of the configuration in force
	aim     time.Duration        // until then its run should begin
	sent    bool                 // handed to the decision module

	deadline time.Duration // until then the attempt under way has ended
	paid     bool          // the rate's next arrival is this message's

	withdrawn bool // taken out before it was handed over
}

// pumpAll does what is due in all queues. The mutex is held.
func (d *Dispatcher) pumpAll() {
	for _, owned := range d.queues {
		d.pump(owned)
	}
	for _, service := range d.services {
		d.pumpService(service)
	}
}

// pump does what is due in one queue. The mutex is held.
func (d *Dispatcher) pump(owned *ownedQueue) {
	if !d.mayAct(owned) {
		return
	}
	for _, step := range owned.Advance(d.now()) {
		switch step.Kind {
		case queue.Deliver:
			d.startDelivery(owned, step.Entry)
		case queue.Expire:
			d.endEntry(owned, step.Entry, protocol.DeadLetter, "")
		case queue.CallBack:
			d.callBack(owned, step.Entry)
		case queue.DropCallback:
			d.callbackDone(owned, step.Entry)
		}
	}
	if at, some := owned.Wake(); some {
		d.wakeAt(at)
	}
}

// wakeAt makes the timer fire at a moment, or earlier. The mutex is held.
func (d *Dispatcher) wakeAt(at time.Duration) {
	if d.nextWake != 0 && d.nextWake <= at {
		return
	}
	d.nextWake = max(at, 1)
	signal(d.pumpWake)
}

// runPump does what is due when its time has come.
func (d *Dispatcher) runPump(ctx context.Context) {
	timer := time.NewTimer(idleWake)
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
		span := idleWake
		if d.nextWake != 0 {
			span = max(0, d.nextWake-d.now())
		}
		d.mutex.Unlock()
		timer.Reset(span)
	}
}

// startDelivery hands a message to its service's decision module.
func (d *Dispatcher) startDelivery(owned *ownedQueue, entry *queue.Entry) {
	current := d.configuration.Load()
	if current.Revision() < entry.Head.Revision {
		d.awaitConfiguration(owned, entry)
		return
	}
	route, configured, found := current.Match(entry.Head.Host, entry.Head.Target)
	if !found {
		d.endEntry(owned, entry, protocol.DeadLetter, "") // its route was dropped
		return
	}
	if underWay := d.deliveries[entry.Head.ID]; underWay != nil {
		// A sender has it since an earlier lease on the queue: that attempt's end counts.
		underWay.owned, underWay.entry = owned, entry
		return
	}
	service := d.services[configured.Name]
	if service == nil {
		owned.Retry(d.now(), entry, false, -1)
		return
	}
	state := &deliveryState{
		key: entry.Head.ID, owned: owned, entry: entry, service: service, route: route,
		aim: entry.Accepted() + entry.Head.Delay + route.ScheduleTarget(),
	}
	d.deliveries[state.key] = state
	service.waiting.add(state)
	d.pumpService(service)
}

// awaitConfiguration puts a message back that was accepted under a later configuration
// than the one in force here, which may not know its route yet. The mutex is held.
func (d *Dispatcher) awaitConfiguration(owned *ownedQueue, entry *queue.Entry) {
	if entry.Head.Revision > d.awaited {
		d.awaited = entry.Head.Revision
		d.log.Info("configuration is awaited", "revision", d.awaited, "inForce", d.configuration.Load().Revision(), "message", entry.Head.ID)
	}
	owned.Retry(d.now(), entry, false, configurationPause)
}

// withdrawAll takes back the messages of a queue that no sender has. The mutex
// is held.
func (d *Dispatcher) withdrawAll(owned *ownedQueue) {
	for _, state := range d.deliveries {
		if state.owned == owned && state.entry.Phase == queue.Running {
			d.takeBack(state)
		}
	}
}

// takeBack puts a message back into its queue, to be delivered anew, unless a sender
// has it: then no other one gets it, and the end of the attempt decides. The mutex is
// held.
func (d *Dispatcher) takeBack(state *deliveryState) {
	if d.withdraw(state) {
		state.owned.Retry(d.now(), state.entry, false, 0)
	}
}

// withdraw takes a message back from the decision module. It reports whether no sender
// has it. The mutex is held.
func (d *Dispatcher) withdraw(state *deliveryState) bool {
	if state.sent && !state.service.driver.Withdraw(d.now(), state.key) {
		return false
	}
	delete(d.deliveries, state.key)
	state.service.waiting.withdraw(state)
	return true
}

// deliver carries one attempt out. It runs in a goroutine of its own.
func (d *Dispatcher) deliver(key string, service *serviceState, attempt balance.Attempt) {
	state, request := d.beginAttempt(key, service, attempt)
	if request == nil {
		return
	}
	result := d.client.Deliver(context.Background(), *request)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.attemptEnded(state, attempt, result)
}

// beginAttempt prepares an attempt, as the configuration and the list of senders in force
// want it. The request is nil where it may not begin, or no longer; that is booked then.
func (d *Dispatcher) beginAttempt(key string, service *serviceState, attempt balance.Attempt) (*deliveryState, *delivery.Request) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	state := d.deliveries[key]
	if state == nil || state.service != service {
		service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun})
		return nil, nil
	}
	if !d.mayBegin(state, attempt) {
		d.notSent(state, attempt)
		return state, nil
	}
	body := state.entry.Body
	if body == nil && state.entry.Head.BodySize > 0 {
		fetched, found := d.fetchBodyUnlocked(state.entry)
		if fetched.Head.State.Ended() {
			d.endedElsewhere(state, attempt, fetched.Head)
			return state, nil
		}
		if !found || !d.mayBegin(state, attempt) { // much may have changed meanwhile
			d.notSent(state, attempt)
			return state, nil
		}
		body = fetched.Body
	}
	if !d.takeRateAgain(state) {
		d.notSent(state, attempt)
		return state, nil
	}
	state.deadline = d.now() + state.route.Timeout() + handOverSlack
	return state, &delivery.Request{
		Address: attempt.Address, Instance: attempt.Instance, Head: state.entry.HeadAt(d.now()), Body: body,
		Timeout: state.route.Timeout(), MaxConnections: attempt.MaxConnections,
	}
}

// fetchBodyUnlocked reads the body of a message from a store. The mutex is held, but not
// while the store is asked.
func (d *Dispatcher) fetchBodyUnlocked(entry *queue.Entry) (protocol.QueryReply, bool) {
	id, holders := entry.Head.ID, slices.Clone(entry.Holders)
	d.mutex.Unlock()
	defer d.mutex.Lock()
	return d.fetchBody(context.Background(), id, holders)
}

// mayBegin reports whether an attempt that was decided on may begin now: the queue is
// this dispatcher's, the message was not taken back, as it is when it ends or a
// configuration decides otherwise, and its sender is still there. The mutex is held.
func (d *Dispatcher) mayBegin(state *deliveryState, attempt balance.Attempt) bool {
	return d.mayAct(state.owned) && state.service.driver.Stands(attempt.ID)
}

// notSent books that an attempt was not begun. The mutex is held.
func (d *Dispatcher) notSent(state *deliveryState, attempt balance.Attempt) {
	if !state.service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun}) {
		delete(d.deliveries, state.key)
		state.owned.Retry(d.now(), state.entry, false, -1)
		if state.owned.dropped {
			d.tell(state.owned.Name, outcomeOf(state.owned, state.entry))
		}
	}
	d.pump(state.owned)
}

// endedElsewhere ends a message of which a store knows the end already: its
// earlier owner recorded it after this dispatcher had read the heads. The mutex
// is held.
func (d *Dispatcher) endedElsewhere(state *deliveryState, attempt balance.Attempt, head protocol.Head) {
	state.service.driver.Withdraw(d.now(), state.key)
	state.service.driver.Ended(d.now(), attempt.ID, balance.Outcome{Status: balance.NotRun})
	delete(d.deliveries, state.key)
	d.endEntry(state.owned, state.entry, head.State, head.Stamp)
	d.pumpService(state.service)
}

// attemptEnded books the end of an attempt and decides what follows. The mutex
// is held.
func (d *Dispatcher) attemptEnded(state *deliveryState, attempt balance.Attempt, result delivery.Result) {
	d.counters.deliveries.note(&result)
	if result.Uncounted() {
		d.logUncounted(state, attempt, &result)
	}
	if !state.service.driver.Ended(d.now(), attempt.ID, result.Outcome()) {
		delete(d.deliveries, state.key)
		d.settle(state, result)
	}
	d.pumpService(state.service)
	d.pump(state.owned)
}

// logUncounted logs an answer that came and tells nothing of its message, which is
// sent again. The mutex is held.
func (d *Dispatcher) logUncounted(state *deliveryState, attempt balance.Attempt, result *delivery.Result) {
	d.log.Info("answer does not count", "message", state.key, "sender", attempt.Instance, "address", attempt.Address,
		"cause", result.Err.Error(), "status", result.Status, "after", result.Latency, "reused", result.Reused)
}

// decidedOtherwise counts the deliveries that have not ended and that a configuration
// would send to another service, or not at all. The mutex is held.
func (d *Dispatcher) decidedOtherwise(current *configuration.Configuration) int {
	count := 0
	for _, state := range d.deliveries {
		_, service, found := current.Match(state.entry.Head.Host, state.entry.Head.Target)
		if !found || service.Name != state.service.name {
			count++
		}
	}
	return count
}

// settle ends a message or puts it back into its queue.
func (d *Dispatcher) settle(state *deliveryState, result delivery.Result) {
	owned, entry := state.owned, state.entry
	if owned.dropped {
		d.log.Info("delivery ended after its queue was lost", "message", state.key, "queue", owned.Name, "succeeded", result.Succeeded())
		defer func() { d.tell(owned.Name, outcomeOf(owned, entry)) }()
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

// givenBack puts a message back that no sender could be had for. The mutex is
// held.
func (d *Dispatcher) givenBack(key string, wait time.Duration) {
	state := d.deliveries[key]
	if state == nil {
		return
	}
	delete(d.deliveries, key)
	state.owned.Retry(d.now(), state.entry, false, wait)
	if at, some := state.owned.Wake(); some {
		d.wakeAt(at)
	}
}

// endEntry ends a message and records it at its stores. The mutex is held.
func (d *Dispatcher) endEntry(owned *ownedQueue, entry *queue.Entry, state protocol.State, stamp string) {
	if waiting := d.deliveries[entry.Head.ID]; waiting != nil && waiting.entry == entry {
		d.withdraw(waiting) // a store told of the end while the message waited for a sender
	}
	d.freeBody(entry)
	owned.End(d.now(), entry, state, stamp)
	if owned.dropped {
		d.lateEnds.note(d.now(), endOf(owned, entry))
	}
	d.recordEnd(owned, entry)
	d.pump(owned)
}
