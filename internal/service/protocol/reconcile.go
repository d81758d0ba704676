package protocol

// ReconcileSource is a store that a reconciliation reads.
type ReconcileSource struct {
	Node    string
	Address string
	StoreID string // of its full disk, the one known to hold all that it must
	Counts  bool   // its copies count; those of a store that is leaving or given up do not
}

// Reconcile tells a store to compare the contents of the full disks, and to copy
// the messages that too few of them hold. Repeating the request returns the progress.
type Reconcile struct {
	Sequence uint64 // of the register's value that the request is based on
	Copies   int    // disks that must hold each message, this store's included
	Reads    int    // sources that must be read completely
	Sources  []ReconcileSource
}

// ReconcileReply answers Reconcile.
type ReconcileReply struct {
	StoreID string   // of the disk that copied
	Done    bool     // with this request
	Read    []string // nodes that were read completely
	Missing int      // messages still on too few disks: another store has to copy them
	Copied  int
	Cause   string // why it is not done yet
	Refused int    // messages that this store cannot copy; another one may
}

// ListEntries asks a store for all messages whose ids hash into one slice.
type ListEntries struct {
	Sequence uint64 // sessions that use an older value of the register are counted as unaware
	Slice    int
	Slices   int // 0: only the totals
}

// ListEntriesReply answers ListEntries. IDs and Ranks are parallel slices.
type ListEntriesReply struct {
	StoreID string
	Entries int // total in the store
	Unaware int // open sessions of dispatchers that use an older value of the register
	IDs     []string
	Ranks   []EntryRank
}

// EntryRank encodes the progress of a message at one store, and whether the store has its body.
type EntryRank uint8

// bodyBit is set in the rank of a message whose body the store has.
const bodyBit EntryRank = 1

// RankOf returns the rank of a message in a state. Of two ranks without their body
// bits, the greater one supersedes the other.
func RankOf(state State, callbackDue, hasBody bool) EntryRank {
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
	if hasBody {
		rank |= bodyBit
	}
	return rank
}

// Progress is the rank without the body bit.
func (r EntryRank) Progress() EntryRank { return r >> 1 }

// HasBody reports whether the store has the body.
func (r EntryRank) HasBody() bool { return r&bodyBit != 0 }

// State returns the state encoded in the rank.
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

// CallbackDue reports whether a call-back is due.
func (r EntryRank) CallbackDue() bool { return r.State().Ended() && r.Progress()&1 == 0 }
