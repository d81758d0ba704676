package register

// DiskRef names a store together with one of its disks.
type DiskRef struct {
	Node    string
	StoreID string
}

// ReconciliationProof is the proof that a reconciliation has completed: the disks that it
// read completely, and the number of copies that it ensured for each message. It is
// valid for a value in which all these disks are still full, that is, known to hold
// all that they must.
type ReconciliationProof struct {
	Read      []DiskRef // full disks, each read completely
	Copies    int       // full disks that hold each message, the target's included
	Tolerated int       // machines that may fail at once
}

// CountLackingStores counts the stores whose disk is not known to be full, except for
// the excluded one.
func (v *Value) CountLackingStores(excluded string) int {
	count := 0
	for _, store := range v.Stores {
		if store.Node != excluded && !store.Full() {
			count++
		}
	}
	return count
}

// RequiredCopies returns how many full disks must hold each message: one more than
// may fail, less the lacking stores. The excluded store is treated as if it were
// removed, or its disk full.
func (v *Value) RequiredCopies(tolerated int, excluded string) int {
	return tolerated + 1 - v.CountLackingStores(excluded)
}

// RequiredReads returns how many full disks a reconciliation has to read to find every
// message: each retained message is on tolerated + 1 disks, less the lacking ones.
func (v *Value) RequiredReads(tolerated int) int { return len(v.Stores) - tolerated }

// validFor reports whether the proof is still valid for a value in which a store is
// to be removed, or its disk to be marked full.
func (r *ReconciliationProof) validFor(value *Value, node string) bool {
	for _, read := range r.Read {
		store, known := value.Store(read.Node)
		if !known || !store.Full() || store.StoreID != read.StoreID {
			return false
		}
	}
	return len(r.Read) >= value.RequiredReads(r.Tolerated) && r.Copies >= value.RequiredCopies(r.Tolerated, node)
}

// allowsRemoval reports whether the proof allows a store to be removed.
func (r *ReconciliationProof) allowsRemoval(value *Value, node string) bool {
	remaining := len(value.Stores) - 1
	return r.validFor(value, node) && remaining >= 2*r.Tolerated+1
}

// MarkFull marks the disk of a store as full. The proof is that of a reconciliation
// in which this store copied what it lacked.
func MarkFull(target DiskRef, proof ReconciliationProof) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(target.Node)
		switch {
		case !known, store.StoreID != target.StoreID, store.Full(), !proof.validFor(current, target.Node):
			return nil, Settled
		}
		store.FullStoreID = target.StoreID
		next := *current
		next.Stores = append([]StoreMember{}, current.Stores...)
		for i := range next.Stores {
			if next.Stores[i].Node == target.Node {
				next.Stores[i] = store
			}
		}
		return &next, Taken
	}
}
