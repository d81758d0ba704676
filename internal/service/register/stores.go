package register

import (
	"slices"
	"strings"
)

// RetiredLimit is how many retired stores a value retains.
const RetiredLimit = 64

// Store returns the store on a node.
func (v *Value) Store(node string) (StoreMember, bool) {
	index := slices.IndexFunc(v.Stores, func(s StoreMember) bool { return s.Node == node })
	if index < 0 {
		return StoreMember{}, false
	}
	return v.Stores[index], true
}

// IsLeaving reports whether a store is being emptied.
func (v *Value) IsLeaving(node string) bool { return slices.Contains(v.Leaving, node) }

// IsMissing reports whether a store has been given up after a long silence.
func (v *Value) IsMissing(node string) bool { return slices.Contains(v.Missing, node) }

// sameStores reports whether two values have the same stores, leaving stores and missing
// stores.
func sameStores(a, b *Value) bool {
	return slices.Equal(a.Stores, b.Stores) && slices.Equal(a.Leaving, b.Leaving) && slices.Equal(a.Missing, b.Missing)
}

// WasRetired reports whether a store was emptied and removed.
func (v *Value) WasRetired(node string) bool {
	return slices.ContainsFunc(v.Retired, func(r RetiredStore) bool { return r.Node == node })
}

// HasMember reports whether a member runs on a machine.
func (v *Value) HasMember(node string) bool {
	return slices.ContainsFunc(v.Members, v.runsOn(node))
}

// runsOn matches the members on a machine: by its name, or by the host of its
// store if a member has not reported its name yet.
func (v *Value) runsOn(node string) func(Member) bool {
	store, known := v.Store(node)
	host, _, _ := strings.Cut(store.Address, ":")
	return func(m Member) bool {
		memberHost, _, _ := strings.Cut(m.Address, ":")
		return m.Node == node || known && memberHost == host
	}
}

// rejectsMember reports whether a machine may not become a member because its store
// is being emptied or was retired.
func (v *Value) rejectsMember(node string) bool {
	_, known := v.Store(node)
	return v.IsLeaving(node) || v.WasRetired(node) && !known
}

// RemainingStores returns the stores that remain without the excluded one and without
// those that are leaving or missing.
func (v *Value) RemainingStores(excluded string) []StoreMember {
	return slices.DeleteFunc(slices.Clone(v.Stores), func(s StoreMember) bool {
		return s.Node == excluded || v.IsLeaving(s.Node) || v.IsMissing(s.Node)
	})
}

// SetStores adds stores and updates those that the value has. A retired store is not
// added again with its old disk.
func SetStores(stores []StoreMember) Change {
	return func(current *Value) (*Value, Outcome) {
		next := *current
		next.Stores = slices.Clone(current.Stores)
		for _, store := range stores {
			if slices.Contains(current.Retired, RetiredStore{Node: store.Node, StoreID: store.StoreID}) {
				continue
			}
			next.setStore(store)
		}
		if slices.Equal(next.Stores, current.Stores) {
			return nil, Settled
		}
		return &next, Taken
	}
}

// setStore adds or updates a store.
func (v *Value) setStore(store StoreMember) {
	index := slices.IndexFunc(v.Stores, func(s StoreMember) bool { return s.Node == store.Node })
	if index < 0 {
		store.FullStoreID = store.StoreID // a new store has no messages to lack
		store.Since = v.Sequence + 1
		v.Stores = append(v.Stores, store)
		return
	}
	store.FullStoreID, store.Since = v.Stores[index].FullStoreID, v.Stores[index].Since
	v.Stores[index] = store
}

// RemoveStore removes the store on a node. One that was leaving becomes a retired
// store: its messages are on other stores. The proof is that of a reconciliation
// that did not count this store's copies.
func RemoveStore(node string, proof ReconciliationProof) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(node)
		if !known || !proof.allowsRemoval(current, node) {
			return nil, Settled
		}
		next := *current
		next.Stores = slices.DeleteFunc(slices.Clone(current.Stores), func(s StoreMember) bool { return s.Node == node })
		if current.IsLeaving(node) {
			next.recordRetired(store)
		}
		next.Missing = slices.DeleteFunc(slices.Clone(current.Missing), func(missing string) bool { return missing == node })
		return &next, Taken
	}
}

// recordRetired moves a store from the leaving to the retired ones.
func (v *Value) recordRetired(store StoreMember) {
	v.Leaving = slices.DeleteFunc(slices.Clone(v.Leaving), func(node string) bool { return node == store.Node })
	v.Retired = append(slices.Clone(v.Retired), RetiredStore{Node: store.Node, StoreID: store.StoreID})
	if excess := len(v.Retired) - RetiredLimit; excess > 0 {
		v.Retired = v.Retired[excess:]
	}
}

// SetMissing sets which stores are given up because they have been silent for long.
// Dispatchers no longer rely on copies there; reconciling the messages of these
// stores and removing the stores comes later.
func SetMissing(nodes []string) Change {
	return func(current *Value) (*Value, Outcome) {
		next := *current
		next.Missing = nil
		for _, store := range current.Stores {
			if slices.Contains(nodes, store.Node) && !current.IsLeaving(store.Node) {
				next.Missing = append(next.Missing, store.Node)
			}
		}
		if slices.Equal(next.Missing, current.Missing) {
			return nil, Settled
		}
		return &next, Taken
	}
}

// BeginRetirement marks a store as leaving. The outcome is Unknown for a node
// that the register has never had, and Invalid if too few stores would remain.
func BeginRetirement(node string, enoughStores func(*Value) bool) Change {
	return func(current *Value) (*Value, Outcome) {
		_, known := current.Store(node)
		switch {
		case current.IsLeaving(node), !known && current.WasRetired(node):
			return nil, Taken
		case !known:
			return nil, Unknown
		case !enoughStores(current):
			return nil, Invalid
		}
		next := *current
		next.Leaving = append(slices.Clone(current.Leaving), node)
		next.Missing = slices.DeleteFunc(slices.Clone(current.Missing), func(missing string) bool { return missing == node })
		return &next, Taken
	}
}

// CompleteRetirement removes a store that has been emptied, unless its disk has
// been replaced since.
func CompleteRetirement(node, storeID string, proof ReconciliationProof) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(node)
		if !known || !current.IsLeaving(node) || store.StoreID != storeID {
			return nil, Settled
		}
		return RemoveStore(node, proof)(current)
	}
}
