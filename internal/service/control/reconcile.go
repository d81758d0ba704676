package control

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// reconcileTimeout bounds one question to a store that reconciles.
const reconcileTimeout = 500 * time.Millisecond

// reconciliation has stores copy what stands at too few disks, and records in
// the register what that proves: that the new disk of a store holds all that it
// must, or that a store may be removed. Each step can be repeated by another
// member: what is under way is known to the stores, what is proved to the register.
type reconciliation struct {
	replica    *replica
	retirement *retirement
	stores     func() []view.NodeState
	tolerated  int               // machines that may be lost at once
	turns      map[string]int    // which store copies what a store has that goes, by its node
	causes     map[string]string // why a store cannot end its reconciliation, as logged last
}

// pending reports whether a value has stores that are to be seen to.
func (r *reconciliation) pending(value *register.Value) bool {
	return len(value.Leaving)+len(value.Missing) > 0 || value.LackingStores("") > 0
}

// advance goes on with all that a value has to be done.
func (r *reconciliation) advance(ctx context.Context, value *register.Value) {
	if !r.pending(value) {
		r.turns, r.causes = nil, nil
		return
	}
	live := answeringStores(r.stores())
	for _, store := range value.Stores {
		if !store.Full() && live[store.Node].StoreID == store.StoreID {
			r.fill(ctx, value, store)
		}
	}
	for _, node := range slices.Concat(value.Leaving, value.Missing) {
		if store, known := value.Store(node); known {
			r.empty(ctx, value, store, live)
		}
	}
}

// fill has a store copy what its new disk lacks, and makes that disk a full one.
func (r *reconciliation) fill(ctx context.Context, value *register.Value, store register.StoreMember) {
	order := r.orderFor(value, store.Node)
	reply, whole := r.ask(ctx, store, order)
	if !whole || !reply.Done || reply.StoreID != store.StoreID {
		r.noteCause(store.Node, reply)
		return
	}
	target := register.DiskRef{Node: store.Node, StoreID: store.StoreID}
	outcome := r.replica.order(ctx, register.MarkFull(target, r.proof(order, reply))).Outcome
	r.replica.log.Info("store holds all that it must", "node", store.Node, "copied", reply.Copied, "outcome", outcome.String())
}

// empty has the other stores copy what stands at too few without one that goes,
// and removes it.
func (r *reconciliation) empty(ctx context.Context, value *register.Value, store register.StoreMember, live map[string]register.StoreMember) {
	_, lives := live[store.Node]
	leaving := value.IsLeaving(store.Node)
	if leaving && lives && !r.retirement.acknowledged(ctx, store) {
		return
	}
	targets := slices.DeleteFunc(value.RemainingStores(store.Node), func(s register.StoreMember) bool {
		return !s.Full() || live[s.Node].StoreID != s.StoreID
	})
	if len(targets) == 0 {
		return
	}
	target := targets[r.turns[store.Node]%len(targets)]
	order := r.orderFor(value, store.Node)
	reply, whole := r.ask(ctx, target, order)
	switch {
	case !whole, reply.Done && reply.Missing > 0:
		r.nextTurn(store.Node)
	case !reply.Done:
		r.noteCause(target.Node, reply)
	case !leaving:
		outcome := r.replica.order(ctx, register.RemoveStore(store.Node, r.proof(order, reply))).Outcome
		r.replica.log.Info("store is removed", "node", store.Node, "outcome", outcome.String())
	default:
		r.retirement.complete(ctx, value, store, r.proof(order, reply))
	}
}

// nextTurn has another store copy next.
func (r *reconciliation) nextTurn(node string) {
	if r.turns == nil {
		r.turns = map[string]int{}
	}
	r.turns[node]++
}

// noteCause logs why a store cannot end its reconciliation, once for each cause.
func (r *reconciliation) noteCause(node string, reply protocol.ReconcileReply) {
	if reply.Cause == "" || reply.Cause == r.causes[node] {
		return
	}
	if r.causes == nil {
		r.causes = map[string]string{}
	}
	r.causes[node] = reply.Cause
	r.replica.log.Info("reconciliation waits", "node", node, "cause", reply.Cause)
}

// ask gives an order to a store, or asks how far it is.
func (r *reconciliation) ask(ctx context.Context, store register.StoreMember, order protocol.Reconcile) (protocol.ReconcileReply, bool) {
	callCtx, cancel := context.WithTimeout(ctx, reconcileTimeout)
	defer cancel()
	answer, err := r.replica.peers.call(callCtx, store.Address, order)
	reply, whole := answer.(protocol.ReconcileReply)
	return reply, err == nil && whole
}

// orderFor returns the order that proves a value in which one store is removed,
// or has a full disk.
func (r *reconciliation) orderFor(value *register.Value, without string) protocol.Reconcile {
	order := protocol.Reconcile{
		Sequence: value.StoresChanged,
		Copies:   value.CopiesWanted(r.tolerated, without),
		Reads:    value.ReadsWanted(r.tolerated),
	}
	for _, store := range value.Stores {
		if store.Full() {
			order.Sources = append(order.Sources, protocol.ReconcileSource{
				Node: store.Node, Address: store.Address, StoreID: store.StoreID,
				Counts: store.Node != without && !value.IsLeaving(store.Node) && !value.IsMissing(store.Node),
			})
		}
	}
	return order
}

// proof returns what a reply proves.
func (r *reconciliation) proof(order protocol.Reconcile, reply protocol.ReconcileReply) register.Reconciled {
	proof := register.Reconciled{Copies: order.Copies, Tolerated: r.tolerated}
	for _, source := range order.Sources {
		if slices.Contains(reply.Read, source.Node) {
			proof.Read = append(proof.Read, register.DiskRef{Node: source.Node, StoreID: source.StoreID})
		}
	}
	return proof
}
