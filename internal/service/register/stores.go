package register

import (
	"slices"
	"strings"
)

// RetiredLimit is how many emptied stores a value remembers.
const RetiredLimit = 64

// Store returns a known store by its node.
func (v *Value) Store(node string) (StoreMember, bool) {
	index := slices.IndexFunc(v.Stores, func(s StoreMember) bool { return s.Node == node })
	if index < 0 {
		return StoreMember{}, false
	}
	return v.Stores[index], true
}

// IsLeaving reports whether a store is being emptied.
func (v *Value) IsLeaving(node string) bool { return slices.Contains(v.Leaving, node) }

// IsMissing reports whether a store is given up.
func (v *Value) IsMissing(node string) bool { return slices.Contains(v.Missing, node) }

// sameStores reports whether two values have the same stores, of which the same stay.
func sameStores(a, b *Value) bool {
	return slices.Equal(a.Stores, b.Stores) && slices.Equal(a.Leaving, b.Leaving) && slices.Equal(a.Missing, b.Missing)
}

// WasRetired reports whether a store was emptied and taken out.
func (v *Value) WasRetired(node string) bool {
	return slices.ContainsFunc(v.Retired, func(r RetiredStore) bool { return r.Node == node })
}

// HasMember reports whether a member runs on a machine.
func (v *Value) HasMember(node string) bool {
	return slices.ContainsFunc(v.Members, v.runsOn(node))
}

// runsOn matches the members on a machine: by its name, or by the host of its
// store where a member has not told its name yet.
func (v *Value) runsOn(node string) func(Member) bool {
	store, known := v.Store(node)
	host, _, _ := strings.Cut(store.Address, ":")
	return func(m Member) bool {
		memberHost, _, _ := strings.Cut(m.Address, ":")
		return m.Node == node || known && memberHost == host
	}
}

// refuses reports whether a machine may not become a member, because it is
// being emptied or was.
func (v *Value) refuses(node string) bool {
	_, known := v.Store(node)
	return v.IsLeaving(node) || v.WasRetired(node) && !known
}

// RemainingStores returns the stores that stay when one of them leaves, beside
// those that are leaving already.
func (v *Value) RemainingStores(without string) []StoreMember {
	return slices.DeleteFunc(slices.Clone(v.Stores), func(s StoreMember) bool {
		return s.Node == without || v.IsLeaving(s.Node) || v.IsMissing(s.Node)
	})
}

// SetStores adds stores, and replaces what is known of those that it has. An
// emptied store is not added again with the disk that it had.
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

// setStore adds a store or replaces what is known of it.
func (v *Value) setStore(store StoreMember) {
	index := slices.IndexFunc(v.Stores, func(s StoreMember) bool { return s.Node == store.Node })
	if index < 0 {
		store.FullStoreID = store.StoreID // nothing was ever entrusted to it
		store.Since = v.Sequence + 1
		v.Stores = append(v.Stores, store)
		return
	}
	store.FullStoreID, store.Since = v.Stores[index].FullStoreID, v.Stores[index].Since
	v.Stores[index] = store
}

// RemoveStore removes a store by its node. One that was leaving counts as
// emptied: its messages are elsewhere. The proof is that of a reconciliation
// which did not count this store.
func RemoveStore(node string, proof Reconciled) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(node)
		if !known || !proof.removes(current, node) {
			return nil, Settled
		}
		next := *current
		next.Stores = slices.DeleteFunc(slices.Clone(current.Stores), func(s StoreMember) bool { return s.Node == node })
		if current.IsLeaving(node) {
			next.noteRetired(store)
		}
		next.Missing = slices.DeleteFunc(slices.Clone(current.Missing), func(missing string) bool { return missing == node })
		return &next, Taken
	}
}

// noteRetired moves a store from the leaving ones to the emptied ones.
func (v *Value) noteRetired(store StoreMember) {
	v.Leaving = slices.DeleteFunc(slices.Clone(v.Leaving), func(node string) bool { return node == store.Node })
	v.Retired = append(slices.Clone(v.Retired), RetiredStore{Node: store.Node, StoreID: store.StoreID})
	if excess := len(v.Retired) - RetiredLimit; excess > 0 {
		v.Retired = v.Retired[excess:]
	}
}

// SetMissing gives up stores that have been silent for long, or takes back that
// they are. Dispatchers then count on no copies there, which comes before their
// messages are seen to and they are removed.
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
// that the register has never had, and Invalid where the others are not enough.
func BeginRetirement(node string, enough func(*Value) bool) Change {
	return func(current *Value) (*Value, Outcome) {
		_, known := current.Store(node)
		switch {
		case current.IsLeaving(node), !known && current.WasRetired(node):
			return nil, Taken
		case !known:
			return nil, Unknown
		case !enough(current):
			return nil, Invalid
		}
		next := *current
		next.Leaving = append(slices.Clone(current.Leaving), node)
		next.Missing = slices.DeleteFunc(slices.Clone(current.Missing), func(missing string) bool { return missing == node })
		return &next, Taken
	}
}

// CompleteRetirement takes a store that has been emptied out of the known ones,
// unless its disk has been replaced since.
func CompleteRetirement(node, storeID string, proof Reconciled) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(node)
		if !known || !current.IsLeaving(node) || store.StoreID != storeID {
			return nil, Settled
		}
		return RemoveStore(node, proof)(current)
	}
}
