package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"yardwharf/internal/service/delivery"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/verdict"
)

// Where there are more dispatchers than connections that the senders of a service accept, some dispatchers may connect to
// none. They have others make the attempts at their messages. To the decision module of the service these relays are
// senders. The queue stays with its owner: the relay makes one attempt, in turn with its own messages, and returns the result.
//
// A relayed attempt ends with its caller. If the caller leaves, it cancels the attempt and waits for the result, so that
// no success is read that nobody knows of; if it is lost, its connection ends and the relay closes that to the sender.

const (
	relaySlack         = 200 * time.Millisecond // added to the time that a relayed attempt may take, for the calls
	cancelRelayTimeout = 200 * time.Millisecond
	cancelRelayPause   = 20 * time.Millisecond
	relayDrainTime     = 20 * time.Millisecond // lets the last replies be sent before the connections are closed
)

var errRelay = Class.New("the relay made no attempt")

// notRelayed is the result of a relayed message of which no attempt was made, for a reason that says nothing about senders.
var notRelayed = delivery.Result{Verdict: verdict.NotRun, RetryAfter: delivery.NoRetryAfter, Err: errRelay}

// relayFull is the result of a relayed message for which no sender was available.
func relayFull(wait time.Duration) delivery.Result {
	return delivery.Result{Verdict: verdict.NotRun, Status: http.StatusServiceUnavailable, RetryAfter: wait, Err: errRelay}
}

// relayedAttempt is an attempt for another dispatcher. The mutex of the dispatcher is held in calls of its methods.
type relayedAttempt struct {
	ctx         context.Context // ended when the caller is lost or cancels the attempt, or this process leaves
	cancel      context.CancelFunc
	startBefore time.Duration
	result      chan delivery.Result // with room for one
}

// mayStart reports whether the attempt may still begin.
func (r *relayedAttempt) mayStart(now time.Duration) bool {
	return r.ctx.Err() == nil && now < r.startBefore
}

// finish returns the result to the caller. Only the first one counts.
func (r *relayedAttempt) finish(result delivery.Result) {
	select {
	case r.result <- result:
	default:
	}
}

// relayKey identifies a relayed message among the deliveries.
func relayKey(caller protocol.Identity, id string) string { return "relay/" + caller.Node + "/" + id }

// handleRelay makes an attempt for another dispatcher.
func (d *Dispatcher) handleRelay(ctx context.Context, caller protocol.Identity, request protocol.Relay) protocol.RelayReply {
	relayed := &relayedAttempt{result: make(chan delivery.Result, 1)}
	relayed.ctx, relayed.cancel = context.WithCancel(ctx)
	defer relayed.cancel()
	defer context.AfterFunc(d.attemptsContext, relayed.cancel)()
	state := d.beginRelayed(relayed, caller, request)
	if state == nil {
		return relayReply(notRelayed)
	}
	tooLate := time.NewTimer(request.StartWithin)
	defer tooLate.Stop()
	select {
	case result := <-relayed.result:
		return relayReply(result)
	case <-tooLate.C:
	case <-relayed.ctx.Done():
	}
	d.mutex.Lock()
	if d.deliveries[state.key] == state {
		d.requeueUnlessSent(state)
	}
	d.mutex.Unlock()
	return relayReply(<-relayed.result) // of the sender that has the message, or else none
}

// beginRelayed queues a relayed message among this dispatcher's own messages. It returns nil if this dispatcher does not
// relay it: it is leaving, has no connection itself, or its configuration decides otherwise.
func (d *Dispatcher) beginRelayed(relayed *relayedAttempt, caller protocol.Identity, request protocol.Relay) *deliveryState {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service, current := d.services[request.Service], d.configuration.Load()
	if service == nil || d.draining.Load() || len(service.relays) > 0 {
		return nil
	}
	route, configured, found := current.Match(request.Head.Host, request.Head.Target)
	key := relayKey(caller, request.Head.ID)
	if !found || configured.Name != service.name || d.deliveries[key] != nil {
		return nil
	}
	relayed.startBefore = d.now() + request.StartWithin
	owned := &ownedQueue{Queue: queue.New("", 0)}
	entry := owned.Add(d.now(), request.Head, request.Body, nil)
	state := &deliveryState{
		key: key, owned: owned, entry: entry, service: service, route: route, relayed: relayed,
		startTarget: entry.Accepted() + entry.Head.Delay + route.ScheduleTarget(),
	}
	d.deliveries[key] = state
	if service.configured.RateLimited() {
		state.rateTaken = true // by the caller, for the first attempt
		d.submit(service, state)
		return state
	}
	service.waiting.add(state)
	d.pumpService(service)
	return state
}

// handleCancelRelay ends an attempt for another dispatcher.
func (d *Dispatcher) handleCancelRelay(caller protocol.Identity, request protocol.CancelRelay) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if state := d.deliveries[relayKey(caller, request.ID)]; state != nil && state.relayed != nil {
		state.relayed.cancel()
	}
}

// relayTo has another dispatcher make an attempt.
func (d *Dispatcher) relayTo(address string, state *deliveryState, request *delivery.Request) delivery.Result {
	if !request.MayBegin() {
		return notRelayed
	}
	began := d.now()
	ctx, cancel := context.WithTimeout(context.Background(), state.startWithin+request.Timeout+relaySlack)
	defer cancel()
	relay := d.peer(address)
	defer context.AfterFunc(d.attemptsContext, func() { cancelRelayed(ctx, relay, request.Head.ID) })()
	reply, err := transport.Call[protocol.RelayReply](ctx, relay, protocol.Relay{
		Service: state.service.name, Head: request.Head, Body: request.Body, StartWithin: state.startWithin,
	})
	result := relayedResult(reply)
	if err != nil {
		result = delivery.Result{Verdict: verdict.Of(err), RetryAfter: delivery.NoRetryAfter, TimedOut: ctx.Err() != nil, Err: err}
	}
	result.Latency = d.now() - began
	return result
}

// relayedResult converts the reply of a relay.
func relayedResult(reply protocol.RelayReply) delivery.Result {
	result := delivery.Result{
		Verdict: verdict.Verdict(reply.Verdict), Status: reply.Status, Seal: reply.Seal, RetryAfter: reply.RetryAfter,
		Connected: true, Answered: reply.Answered, TimedOut: reply.TimedOut,
	}
	if reply.Cause != "" {
		result.Err = errors.New(reply.Cause)
	}
	if len(reply.Seal) > protocol.MaxFieldBytes { // of an earlier build, which does not bound seals
		result.Verdict, result.Seal, result.Err = verdict.MayHaveRun, "", delivery.ErrSealTooLong
	}
	return result
}

// cancelRelayed asks a relay to end an attempt, again and again until the attempt's own call is over: the relay may
// receive the first of these requests before that call.
func cancelRelayed(call context.Context, relay *transport.Client, id string) {
	for call.Err() == nil {
		ctx, cancel := context.WithTimeout(call, cancelRelayTimeout)
		_, _ = transport.Call[protocol.CancelRelayReply](ctx, relay, protocol.CancelRelay{ID: id})
		cancel()
		pause(call, cancelRelayPause)
	}
}

// relayReply converts the result of an attempt.
func relayReply(result delivery.Result) protocol.RelayReply {
	reply := protocol.RelayReply{
		Verdict: uint8(result.Verdict), Status: result.Status, Seal: result.Seal, RetryAfter: result.RetryAfter,
		Answered: result.Answered, TimedOut: result.TimedOut,
	}
	if result.Err != nil {
		reply.Cause = result.Err.Error()
	}
	return reply
}
