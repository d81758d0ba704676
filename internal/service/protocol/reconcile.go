package protocol

// ReconcileSource is a store that a reconciliation reads.
type ReconcileSource struct {
	Node    string
	Address string
	StoreID string // of its full disk
	Counts  bool   // its copies count; those of a store that leaves do not
}

// Reconcile tells a store to compare what the full disks hold, and to copy
// what stands at too few of them. The same order again asks how far it is.
type Reconcile struct {
	Sequence uint64 // of the register's value that the order rests on
	Copies   int    // disks at which each message must stand, this store's among them
	Reads    int    // sources that must be read whole
	Sources  []ReconcileSource
}

// ReconcileReply answers Reconcile.
type ReconcileReply struct {
	StoreID string   // of the disk that copied
	Done    bool     // for this order
	Read    []string // nodes that were read whole
	Missing int      // messages that still stand at too few disks: another store has to copy them
	Copied  int
	Cause   string // why it is not done yet
}

// ListEntries asks a store for all messages whose ids fall into one slice.
type ListEntries struct {
	Sequence uint64 // sessions that go by an older value of the register are counted as unaware
	Slice    int
	Slices   int // 0: only the totals
}

// ListEntriesReply answers ListEntries. IDs and Ranks belong together.
type ListEntriesReply struct {
	StoreID string
	Entries int // that the store holds
	Unaware int // open sessions of dispatchers that go by an older value of the register
	IDs     []string
	Ranks   []EntryRank
}

// EntryRank tells how far a message is at one store, and whether its body is there.
type EntryRank uint8

// bodyBit is set in the rank of a message whose body the store has.
const bodyBit EntryRank = 1

// RankOf returns the rank of a message in some state. Of two ranks without their
// body bits the greater one supersedes the other.
func RankOf(state State, callbackDue, body bool) EntryRank {
	rank := EntryRank(0)
	switch state {
	case Discarded:
		rank = 1
	case DeadLetter:
		rank = 2
	case Completed:
		rank = 3
	}
	rank <<= 1
	if rank > 0 && !callbackDue {
		rank++
	}
	rank <<= 1
	if body {
		rank |= bodyBit
	}
	return rank
}

// Progress is the rank without the body bit.
func (r EntryRank) Progress() EntryRank { return r >> 1 }

// HasBody reports whether the body is there.
func (r EntryRank) HasBody() bool { return r&bodyBit != 0 }

// State returns the state that the rank tells of.
func (r EntryRank) State() State {
	switch r >> 2 {
	case 1:
		return Discarded
	case 2:
		return DeadLetter
	case 3:
		return Completed
	default:
		return Queued
	}
}

// CallbackDue reports whether a call-back is owed.
func (r EntryRank) CallbackDue() bool { return r.State().Ended() && r.Progress()&1 == 0 }
