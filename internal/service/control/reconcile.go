package control

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// reconcileTimeout bounds one call to a reconciling store.
const reconcileTimeout = 500 * time.Millisecond

// reconciliation makes stores copy entries that have too few replicas, and records
// the result in the register: that the new disk of a store is complete, or that a
// store may be removed. Any member can continue or repeat each step: the stores
// know the progress, and the register holds the results.
type reconciliation struct {
	replica      *replica
	retirement   *retirement
	stores       func() []view.NodeState
	tolerated    int               // number of machines whose simultaneous loss is tolerated
	targetIndex  map[string]int    // index of the store that copies a departing store's entries, by the latter's node
	loggedCauses map[string]string // last logged reason why a store cannot finish reconciling, by node
}

// hasWork reports whether any store of a value needs reconciliation.
func (r *reconciliation) hasWork(value *register.Value) bool {
	return len(value.Leaving)+len(value.Missing) > 0 || value.CountLackingStores("") > 0
}

// step runs one step for each store of a value that needs reconciliation.
func (r *reconciliation) step(ctx context.Context, value *register.Value) {
	if !r.hasWork(value) {
		r.targetIndex, r.loggedCauses = nil, nil
		return
	}
	live := answeringStores(r.stores())
	for _, store := range value.Stores {
		if !store.Full() && live[store.Node].StoreID == store.StoreID {
			r.fillStore(ctx, value, store)
		}
	}
	for _, node := range slices.Concat(value.Leaving, value.Missing) {
		if store, known := value.Store(node); known {
			r.evacuateStore(ctx, value, store, live)
		}
	}
}

// fillStore makes a store copy the entries that its new disk lacks, and then marks the disk full.
func (r *reconciliation) fillStore(ctx context.Context, value *register.Value, store register.StoreMember) {
	request := r.requestFor(value, store.Node)
	reply, ok := r.sendRequest(ctx, store, request)
	if !ok || !reply.Done || reply.StoreID != store.StoreID {
		r.logCause(store.Node, reply)
		return
	}
	target := register.DiskRef{Node: store.Node, StoreID: store.StoreID}
	outcome := r.replica.proposeWithTimeout(ctx, register.MarkFull(target, r.evidence(request, reply))).Outcome
	r.replica.log.Info("store reconciled", "node", store.Node, "copied", reply.Copied, "outcome", outcome.String())
}

// evacuateStore makes other stores copy the entries that would have too few replicas without
// a departing store, and then removes that store.
func (r *reconciliation) evacuateStore(ctx context.Context, value *register.Value, store register.StoreMember, live map[string]register.StoreMember) {
	_, isLive := live[store.Node]
	leaving := value.IsLeaving(store.Node)
	if leaving && isLive && !r.retirement.acknowledgedByAll(ctx, store) {
		return
	}
	targets := slices.DeleteFunc(value.RemainingStores(store.Node), func(s register.StoreMember) bool {
		return !s.Full() || live[s.Node].StoreID != s.StoreID
	})
	if len(targets) == 0 {
		return
	}
	target := targets[r.targetIndex[store.Node]%len(targets)]
	request := r.requestFor(value, store.Node)
	reply, ok := r.sendRequest(ctx, target, request)
	switch {
	case !ok, reply.Done && reply.Missing > 0:
		r.selectNextTarget(store.Node)
	case !reply.Done:
		r.logCause(target.Node, reply)
		if reply.Refused > 0 {
			r.selectNextTarget(store.Node)
		}
	case !leaving:
		outcome := r.replica.proposeWithTimeout(ctx, register.RemoveStore(store.Node, r.evidence(request, reply))).Outcome
		r.replica.log.Info("removed missing store", "node", store.Node, "outcome", outcome.String())
	default:
		r.retirement.complete(ctx, value, store, r.evidence(request, reply))
	}
}

// selectNextTarget selects the next store to copy a departing store's entries.
func (r *reconciliation) selectNextTarget(node string) {
	if r.targetIndex == nil {
		r.targetIndex = map[string]int{}
	}
	r.targetIndex[node]++
}

// logCause logs why a store cannot finish reconciling, unless that cause was logged last.
func (r *reconciliation) logCause(node string, reply protocol.ReconcileReply) {
	if reply.Cause == "" || reply.Cause == r.loggedCauses[node] {
		return
	}
	if r.loggedCauses == nil {
		r.loggedCauses = map[string]string{}
	}
	r.loggedCauses[node] = reply.Cause
	r.replica.log.Info("reconciliation blocked", "node", node, "cause", reply.Cause)
}

// sendRequest sends a request to a store, which starts its reconciliation or reports the progress.
func (r *reconciliation) sendRequest(ctx context.Context, store register.StoreMember, request protocol.Reconcile) (protocol.ReconcileReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	response, err := r.replica.peers.call(callCtx, store.Address, request)
	reply, ok := response.(protocol.ReconcileReply)
	return reply, err == nil && ok
}

// requestFor returns the reconcile request whose completion allows a store to be
// removed or its disk to be marked full.
func (r *reconciliation) requestFor(value *register.Value, without string) protocol.Reconcile {
	request := protocol.Reconcile{
		Sequence: value.StoresChanged,
		Copies:   value.RequiredCopies(r.tolerated, without),
		Reads:    value.RequiredReads(r.tolerated),
	}
	for _, store := range value.Stores {
		if store.Full() {
			request.Sources = append(request.Sources, protocol.ReconcileSource{
				Node: store.Node, Address: store.Address, StoreID: store.StoreID,
				Counts: store.Node != without && !value.IsLeaving(store.Node) && !value.IsMissing(store.Node),
			})
		}
	}
	return request
}

// evidence returns the evidence that a reply gives, for the change in the register.
func (r *reconciliation) evidence(request protocol.Reconcile, reply protocol.ReconcileReply) register.ReconciliationProof {
	evidence := register.ReconciliationProof{Copies: request.Copies, Tolerated: r.tolerated}
	for _, source := range request.Sources {
		if slices.Contains(reply.Read, source.Node) {
			evidence.Read = append(evidence.Read, register.DiskRef{Node: source.Node, StoreID: source.StoreID})
		}
	}
	return evidence
}
