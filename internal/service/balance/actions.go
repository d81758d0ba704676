package balance

import (
	"time"

	"yardwharf"
)

// actions carries out the actions of the decision module.
type actions struct{ *Driver }

var _ yardwharf.Actions = (*actions)(nil)

// Send starts a delivery to the chosen sender.
func (a *actions) Send(id yardwharf.RequestID, worker yardwharf.WorkerID, _ time.Duration) {
	r, sender := a.requests[id], a.senders[worker]
	number := r.attempts
	r.attempts++
	r.inFlight, r.worker = true, worker
	a.waiting--
	a.handler.Send(r.message, Attempt{
		ID: AttemptID{Request: uint64(id), Number: number}, Address: sender.Address,
		Instance: sender.ID, MaxConnections: a.connections(),
	})
}

// Refuse returns a message to the caller.
func (a *actions) Refuse(id yardwharf.RequestID, _ time.Duration) { a.abandon(id) }

// Fail returns a message to the caller, unless a delivery is in flight: its outcome
// decides then.
func (a *actions) Fail(id yardwharf.RequestID) { a.abandon(id) }

func (a *actions) abandon(id yardwharf.RequestID) {
	r := a.requests[id]
	switch {
	case r == nil:
	case r.inFlight:
		r.abandoned = true
	default:
		a.giveBack(id, r)
	}
}

// SetTimer passes the timer to the dispatcher.
func (a *actions) SetTimer(after time.Duration) { a.handler.SetTimer(after) }

// Cancel is never called: the settings allow no cancellation.
func (a *actions) Cancel(yardwharf.RequestID, int) {}

// Probe is never called: the settings allow no probes.
func (a *actions) Probe(yardwharf.WorkerID) {}

// Broadcast is never called: the settings have no peers.
func (a *actions) Broadcast([]byte) {}

// Watch is never called: the list of senders comes from the agent.
func (a *actions) Watch() {}
