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

// retireTimeout bounds one question to a leaving store.
const retireTimeout = 500 * time.Millisecond

// RetireState is the state of a machine that is being emptied.
type RetireState string

// The states of a machine that is being emptied.
const (
	RetireRunning   RetireState = "running"
	RetireCompleted RetireState = "completed"
)

// retirement empties storage machines. What was ordered is part of the
// register's value, so it outlives each process that works on it.
type retirement struct {
	replica   *replica
	stores    func() []view.NodeState
	tolerated int // machines that may be lost at once
}

// begin marks a store as leaving.
func (r *retirement) begin(ctx context.Context, node string) register.Outcome {
	live := liveStores(r.stores())
	enough := func(value *register.Value) bool { return r.enough(value, node, live) }
	return r.replica.order(context.WithoutCancel(ctx), register.BeginRetirement(node, enough)).Outcome
}

// enough reports whether a store can be spared: those that remain must be able
// to lose the tolerated number, enough of them must live now for copies and
// leases, and the register must not lose what it tolerates.
func (r *retirement) enough(value *register.Value, node string, live map[string]register.StoreMember) bool {
	remaining := value.RemainingStores(node)
	living := 0
	for _, store := range remaining {
		if _, lives := live[store.Node]; lives {
			living++
		}
	}
	if len(remaining) < 2*r.tolerated+1 || living < max(len(remaining)-r.tolerated, r.tolerated+1) {
		return false
	}
	return !value.HasMember(node) || len(value.Members) > 2*r.tolerated+1
}

// complete takes a leaving store of which all is kept elsewhere out of the known
// ones, and before that its machine out of the register's members.
func (r *retirement) complete(ctx context.Context, value *register.Value, store register.StoreMember, proof register.Reconciled) {
	if value.HasMember(store.Node) {
		r.replica.order(ctx, register.RemoveNode(store.Node))
		return
	}
	if len(value.Previous) > 0 {
		return // until the next round its vote may still be needed
	}
	outcome := r.replica.order(ctx, register.CompleteRetirement(store.Node, store.StoreID, proof)).Outcome
	r.replica.log.Info("store has been emptied", "node", store.Node, "outcome", outcome.String())
}

// acknowledged tells a leaving store that it leaves, and asks whether all
// dispatchers in touch with it know: they count on no copy there any more.
func (r *retirement) acknowledged(ctx context.Context, store register.StoreMember) bool {
	callCtx, cancel := context.WithTimeout(ctx, retireTimeout)
	defer cancel()
	answer, err := r.replica.peers.call(callCtx, store.Address, protocol.Retire{})
	reply, whole := answer.(protocol.RetireReply)
	return err == nil && whole && reply.StoreID == store.StoreID && reply.Unaware == 0
}

// retireOrder is the body of POST /Retire.Begin/NODE.
type retireOrder struct {
	DeadlineS float64 `json:"deadlineS"`
}

type stateAnswer struct {
	State RetireState `json:"state"`
}

// beginRetirement handles POST /Retire.Begin/NODE.
func (a *api) beginRetirement(w http.ResponseWriter, request *http.Request) {
	body, whole := readBody(w, request)
	if !whole {
		return
	}
	var order retireOrder
	if err := json.Unmarshal(body, &order); err != nil {
		answer(w, http.StatusBadRequest, problem{"body: " + err.Error()})
		return
	}
	node := request.PathValue("node")
	outcome := a.retirement.begin(request.Context(), node)
	a.log.Info("store is to be emptied", "node", node, "outcome", outcome.String())
	switch outcome {
	case register.Taken:
		answer(w, http.StatusOK, stateAnswer{RetireRunning})
	case register.Unknown:
		answer(w, http.StatusNotFound, problem{"there is no such storage machine"})
	case register.Invalid:
		answer(w, http.StatusConflict, problem{"too few machines would be left"})
	default:
		unavailable(w, "no majority has decided")
	}
}

// readRetirement handles GET /Retire.Read/NODE.
func (a *api) readRetirement(w http.ResponseWriter, request *http.Request) {
	ctx, cancel := context.WithTimeout(request.Context(), orderTimeout)
	defer cancel()
	value, decided := a.replica.newest(ctx)
	node := request.PathValue("node")
	switch {
	case !decided:
		unavailable(w, "no majority answers")
	case value.IsLeaving(node):
		answer(w, http.StatusOK, stateAnswer{RetireRunning})
	case value.WasRetired(node):
		answer(w, http.StatusOK, stateAnswer{RetireCompleted})
	default:
		answer(w, http.StatusNotFound, problem{"the machine is not being emptied"})
	}
}
