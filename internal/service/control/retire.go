package control

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// retireTimeout bounds one call to a leaving store.
const retireTimeout = 500 * time.Millisecond

// RetireState is the state of a storage machine's retirement.
type RetireState string

// The states of a retirement.
const (
	RetireRunning   RetireState = "running"
	RetireCompleted RetireState = "completed"
)

// retirement retires storage machines. The set of leaving stores is part of the
// register's value, so a retirement outlives the process that started it.
type retirement struct {
	replica   *replica
	stores    func() []view.NodeState
	tolerated int // number of machines whose simultaneous loss is tolerated
}

// begin marks a store as leaving.
func (r *retirement) begin(ctx context.Context, node string) register.Outcome {
	live := liveStores(r.stores())
	enough := func(value *register.Value) bool { return r.canRemove(value, node, live) }
	return r.replica.proposeWithTimeout(context.WithoutCancel(ctx), register.BeginRetirement(node, enough)).Outcome
}

// canRemove reports whether a store can be removed: the remaining stores must
// tolerate the configured number of losses, enough of them must be live now for
// copies and leases, and the register must keep its own fault tolerance.
func (r *retirement) canRemove(value *register.Value, node string, live map[string]register.StoreMember) bool {
	remaining := value.RemainingStores(node)
	liveCount := 0
	for _, store := range remaining {
		if _, isLive := live[store.Node]; isLive {
			liveCount++
		}
	}
	if len(remaining) < 2*r.tolerated+1 || liveCount < max(len(remaining)-r.tolerated, r.tolerated+1) {
		return false
	}
	return !value.HasMember(node) || len(value.Members) > 2*r.tolerated+1
}

// complete removes a leaving store whose content is fully replicated elsewhere. If
// its machine is a member of the register, it removes that member first.
func (r *retirement) complete(ctx context.Context, value *register.Value, store register.StoreMember, evidence register.ReconciliationProof) {
	if value.HasMember(store.Node) {
		r.replica.proposeWithTimeout(ctx, register.RemoveMembersOn(store.Node))
		return
	}
	if len(value.Previous) > 0 {
		return // the removed member's vote may be needed until the change is sealed
	}
	outcome := r.replica.proposeWithTimeout(ctx, register.CompleteRetirement(store.Node, store.StoreID, evidence)).Outcome
	r.replica.log.Info("completed retirement of store", "node", store.Node, "outcome", outcome.String())
}

// acknowledgedByAll tells a store that it is leaving, and reports whether all dispatchers
// connected to it know that: they then no longer rely on copies there.
func (r *retirement) acknowledgedByAll(ctx context.Context, store register.StoreMember) bool {
	callCtx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	response, err := r.replica.peers.call(callCtx, store.Address, protocol.Retire{})
	reply, ok := response.(protocol.RetireReply)
	return err == nil && ok && reply.StoreID == store.StoreID && reply.Unaware == 0
}

// retireRequest is the body of POST /Retire.Begin/NODE.
type retireRequest struct {
	DeadlineS float64 `json:"deadlineS"`
}

type stateReply struct {
	State RetireState `json:"state"`
}

// beginRetirement handles POST /Retire.Begin/NODE.
func (a *api) beginRetirement(w http.ResponseWriter, request *http.Request) {
	body, ok := readBody(w, request)
	if !ok {
		return
	}
	var parameters retireRequest
	if err := json.Unmarshal(body, &parameters); err != nil {
		writeJSON(w, http.StatusBadRequest, errorReply{"body: " + err.Error()})
		return
	}
	node := request.PathValue("node")
	outcome := a.retirement.begin(request.Context(), node)
	a.log.Info("retirement of store requested", "node", node, "outcome", outcome.String())
	switch outcome {
	case register.Taken:
		writeJSON(w, http.StatusOK, stateReply{RetireRunning})
	case register.Unknown:
		writeJSON(w, http.StatusNotFound, errorReply{"there is no such storage machine"})
	case register.Invalid:
		writeJSON(w, http.StatusConflict, errorReply{"too few machines would be left"})
	default:
		writeUnavailable(w, "no majority has decided")
	}
}

// readRetirement handles GET /Retire.Read/NODE.
func (a *api) readRetirement(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), proposeTimeout)
	defer cancel()
	value, decided := a.replica.readNewest(ctx)
	node := request.PathValue("node")
	switch {
	case !decided:
		writeUnavailable(w, "no majority answers")
	case value.IsLeaving(node):
		writeJSON(w, http.StatusOK, stateReply{RetireRunning})
	case value.WasRetired(node):
		writeJSON(w, http.StatusOK, stateReply{RetireCompleted})
	default:
		writeJSON(w, http.StatusNotFound, errorReply{"the machine is not being emptied"})
	}
}
