// Package register is the compare-and-swap register that holds the
// configuration and the members of the control plane. Acceptors and proposers
// are state machines without clocks, sockets or disks: they consume and produce
// messages. docs/REGISTER.md describes the protocol and its invariants.
package register

import (
	"bytes"
	"cmp"
	"slices"
)

// HistoryLimit is how many of the latest operator changes a value retains.
const HistoryLimit = 512

// InitialDisk is the disk identity of the members at the very first start. Every
// later empty disk gets an identity of its own, so that a member that lost its
// disk is not mistaken for the member that made the promises lost with it.
const InitialDisk = "first"

// Ballot orders proposals. No two proposals share a ballot: the counter of a
// process only grows, and each process has a number of its own.
type Ballot struct {
	Counter uint64
	Member  string
	Process uint64
}

// Compare orders ballots.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(
		cmp.Compare(b.Counter, other.Counter),
		cmp.Compare(b.Member, other.Member),
		cmp.Compare(b.Process, other.Process),
	)
}

// Less reports whether b orders before other.
func (b Ballot) Less(other Ballot) bool { return b.Compare(other) < 0 }

// Entry records one operator change that was taken.
type Entry struct {
	Revision int64
	Base     int64
	Digest   string
}

// Member is a voter. Its address identifies it, and its disk the incarnation. The
// node and its zone are empty until the member has reported them.
type Member struct {
	Node    string
	Zone    string
	Address string
	Disk    string
}

// StoreMember is a known store.
type StoreMember struct {
	Node    string
	Zone    string
	Address string
	StoreID string // changes when its disk is replaced

	// FullStoreID is the identity of the disk that is known to hold all that
	// it must. A store with another disk counts neither in a lease nor in
	// "not found" until MarkFull has marked that disk as full.
	FullStoreID string

	Since uint64 // sequence of the value that added the store
}

// Full reports whether the store has the disk that holds all that it must.
func (s *StoreMember) Full() bool { return s.StoreID != "" && s.StoreID == s.FullStoreID }

// RetiredStore is a store that was emptied and removed.
type RetiredStore struct {
	Node    string
	StoreID string
}

// Value is the content of the register. It is immutable once proposed.
type Value struct {
	Sequence      uint64 // grows by one with every change
	Configuration []byte
	Revision      int64
	History       []Entry // newest last
	Members       []Member
	Previous      []Member // the members before this change, if it changes them
	Stores        []StoreMember
	Leaving       []string       // nodes of the stores that are being emptied on the operator's request
	Missing       []string       // nodes of the stores given up after a long silence
	Retired       []RetiredStore // stores that were emptied, newest last
	StoresChanged uint64         // sequence of the last change of Stores, Leaving or Missing
	Chain         Chain          // over all configuration changes
	ChainSince    int64          // revision after which the chain begins
	HistoryChain  Chain          // over the changes dropped from the history
}

// InitialValue returns the value that the members have at the first start.
func InitialValue(addresses []string) *Value {
	value := &Value{}
	for _, address := range addresses {
		value.Members = append(value.Members, Member{Address: address, Disk: InitialDisk})
	}
	slices.SortFunc(value.Members, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	value.Members = slices.Compact(value.Members)
	return value
}

// AllowsVote reports whether the member with this address and disk may vote on the value.
func (v *Value) AllowsVote(address, disk string) bool {
	matches := func(m Member) bool { return m.Address == address && m.Disk == disk }
	return slices.ContainsFunc(v.Members, matches) || slices.ContainsFunc(v.Previous, matches)
}

// Voters returns the addresses of all members whose votes the value may need.
func (v *Value) Voters() []string {
	var addresses []string
	for _, member := range slices.Concat(v.Members, v.Previous) {
		if !slices.Contains(addresses, member.Address) {
			addresses = append(addresses, member.Address)
		}
	}
	return addresses
}

// HistoryContains reports whether the history has a change with this revision and digest.
func (v *Value) HistoryContains(revision int64, digest string) bool {
	return slices.ContainsFunc(v.History, func(e Entry) bool {
		return e.Revision == revision && e.Digest == digest
	})
}

// RetainedHistory returns the revision after which the retained changes of the chain begin, the
// chain up to there, and these changes.
func (v *Value) RetainedHistory() (since int64, chain Chain, entries []Entry) {
	if v.HistoryChain == "" {
		return v.ChainSince, "", v.EntriesAfter(v.ChainSince)
	}
	return v.History[0].Base, v.HistoryChain, v.History
}

// EntriesAfter returns the retained changes after a revision.
func (v *Value) EntriesAfter(revision int64) []Entry {
	index := slices.IndexFunc(v.History, func(e Entry) bool { return e.Revision > revision })
	if index < 0 {
		return nil
	}
	return v.History[index:]
}

// mayHaveLeftHistory reports whether a change with this revision may have been taken and
// then dropped from the history. Revisions only grow.
func (v *Value) mayHaveLeftHistory(revision int64) bool {
	return len(v.History) >= HistoryLimit && revision < v.History[0].Revision
}

// sameVoters reports whether two lists have the same voters.
func sameVoters(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool { return x.Address == y.Address && x.Disk == y.Disk })
}

// Equal reports whether two values have the same content.
func (v *Value) Equal(other *Value) bool {
	return v.Sequence == other.Sequence && v.Revision == other.Revision &&
		bytes.Equal(v.Configuration, other.Configuration) &&
		slices.Equal(v.Members, other.Members) && slices.Equal(v.Previous, other.Previous) &&
		slices.Equal(v.Stores, other.Stores) && slices.Equal(v.Leaving, other.Leaving) &&
		slices.Equal(v.Missing, other.Missing) && v.StoresChanged == other.StoresChanged &&
		v.Chain == other.Chain && v.ChainSince == other.ChainSince && v.HistoryChain == other.HistoryChain &&
		slices.Equal(v.Retired, other.Retired) && slices.Equal(v.History, other.History)
}

// Versioned is a value with the ballot under which it was last accepted.
type Versioned struct {
	Ballot Ballot
	Value  *Value
}

// votes holds the disks of the members that have voted, by address.
type votes map[string]string

// hasMajorityOf reports whether more than half of the members have voted, each
// with the disk that the list names.
func (v votes) hasMajorityOf(members []Member) bool {
	count := 0
	for _, member := range members {
		if disk, voted := v[member.Address]; voted && disk == member.Disk {
			count++
		}
	}
	return 2*count > len(members)
}

// suffice reports whether the votes are a quorum for a value: a majority of its
// members and, if it changes them, a majority of the previous members.
func (v votes) suffice(value *Value) bool {
	return v.hasMajorityOf(value.Members) && (len(value.Previous) == 0 || v.hasMajorityOf(value.Previous))
}

// canBeDecided reports whether the value could still be decided if every member
// that is not in lost voted.
func canBeDecided(value *Value, lost map[string]bool) bool {
	remaining := votes{}
	for _, member := range slices.Concat(value.Previous, value.Members) {
		if !lost[member.Address] {
			remaining[member.Address] = member.Disk
		}
	}
	hasMajority := func(members []Member) bool {
		count := 0
		for _, member := range members {
			if _, left := remaining[member.Address]; left {
				count++
			}
		}
		return 2*count > len(members)
	}
	return hasMajority(value.Members) && (len(value.Previous) == 0 || hasMajority(value.Previous))
}
