package register

// DiskRef names a store with the disk that it had.
type DiskRef struct {
	Node    string
	StoreID string
}

// Reconciled is the proof that a reconciliation has ended: the disks that it
// read whole, and for how many copies of each message it has seen. It holds for
// a value in which all these disks are full ones still.
type Reconciled struct {
	Read      []DiskRef // full disks, each read whole
	Copies    int       // at so many full disks, the target's among them, each message stands
	Tolerated int       // machines that may be lost at once
}

// LackingStores counts the stores whose disk is not known to be full. With one
// left out, that one is not counted.
func (v *Value) LackingStores(without string) int {
	count := 0
	for _, store := range v.Stores {
		if store.Node != without && !store.Full() {
			count++
		}
	}
	return count
}

// CopiesWanted returns at how many full disks each message must stand in a value:
// one more than may be lost, less those that are lacking already. With one store
// left out, it is that of the value without it, or with its disk made full.
func (v *Value) CopiesWanted(tolerated int, without string) int {
	return tolerated + 1 - v.LackingStores(without)
}

// ReadsWanted returns how many full disks a reconciliation has to read, so that
// it has met every message: a message that is kept stands at tolerated + 1 disks
// less those that are lacking.
func (v *Value) ReadsWanted(tolerated int) int { return len(v.Stores) - tolerated }

// holds reports whether the proof still holds in a value from which a store is
// to be taken, or whose disk is to become a full one.
func (r *Reconciled) holds(value *Value, node string) bool {
	for _, read := range r.Read {
		store, known := value.Store(read.Node)
		if !known || !store.Full() || store.StoreID != read.StoreID {
			return false
		}
	}
	return len(r.Read) >= value.ReadsWanted(r.Tolerated) && r.Copies >= value.CopiesWanted(r.Tolerated, node)
}

// removes reports whether the proof lets a store be removed.
func (r *Reconciled) removes(value *Value, node string) bool {
	remaining := len(value.Stores) - 1
	return r.holds(value, node) && remaining >= 2*r.Tolerated+1
}

// MarkFull makes the disk of a store a full one, by the proof of a reconciliation
// that had this store copy what it lacked.
func MarkFull(target DiskRef, proof Reconciled) Change {
	return func(current *Value) (*Value, Outcome) {
		store, known := current.Store(target.Node)
		switch {
		case !known, store.StoreID != target.StoreID, store.Full(), !proof.holds(current, target.Node):
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
