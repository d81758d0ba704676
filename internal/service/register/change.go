package register

import (
	"crypto/sha256"
	"slices"
)

// Outcome is the result of a change.
type Outcome uint8

// The outcomes of a change.
const (
	Undecided Outcome = iota // the change may or may not be taken later
	Taken                    // the change is in the register, or was at some time
	Stale                    // the change does not apply to the current revision or members
	Invalid                  // the change is not valid on the current value
	Settled                  // there was nothing to change; the current value is decided
	Unknown                  // the change names a store that the register has never had
	Forgotten                // the change is older than the history, so it is not known whether it was taken
)

// Change derives the next value from a decided one. It returns a nil value and the
// outcome to report if nothing is to be written. It must not modify its argument.
type Change func(current *Value) (*Value, Outcome)

// Digest returns the SHA-256 hash that identifies the bytes of a configuration.
func Digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return string(sum[:])
}

// ConfirmDecided is a no-op change: proposing it completes any undecided value.
func ConfirmDecided(*Value) (*Value, Outcome) { return nil, Settled }

// Replace is the operator's change of the configuration. A change that was taken
// before is never refused: if it is older than the history, the outcome is Forgotten.
func Replace(base, revision int64, raw []byte) Change {
	digest := Digest(raw)
	return func(current *Value) (*Value, Outcome) {
		switch {
		case current.HistoryContains(revision, digest):
			return nil, Taken
		case current.mayHaveLeftHistory(revision):
			return nil, Forgotten
		case base != current.Revision:
			return nil, Stale
		case revision <= current.Revision:
			return nil, Invalid
		}
		next := *current
		next.Configuration, next.Revision = raw, revision
		entry := Entry{Revision: revision, Base: base, Digest: digest}
		next.Chain, next.ChainSince = current.extendedChain(entry)
		next.History = append(slices.Clone(current.History), entry)
		if excess := len(next.History) - HistoryLimit; excess > 0 {
			next.HistoryChain = next.HistoryChain.extendAfter(next.ChainSince, next.History[:excess])
			next.History = next.History[excess:]
		}
		return &next, Taken
	}
}

// AddMember makes a member a voter. It replaces an earlier incarnation with the same
// address, else the member with the replaced address; else it is added while there
// are fewer than maxMembers.
func AddMember(member Member, replaced string, maxMembers int) Change {
	return func(current *Value) (*Value, Outcome) {
		if current.rejectsMember(member.Node) {
			return nil, Stale
		}
		if slices.Contains(current.Members, member) {
			return nil, Settled
		}
		next := *current
		next.Members = slices.Clone(current.Members)
		index := slices.IndexFunc(next.Members, func(m Member) bool { return m.Address == member.Address })
		if index < 0 {
			index = slices.IndexFunc(next.Members, func(m Member) bool { return m.Address == replaced })
		}
		switch {
		case index >= 0:
			next.Members[index] = member
		case len(next.Members) < maxMembers:
			next.Members = append(next.Members, member)
		default:
			return nil, Stale
		}
		return &next, Taken
	}
}

// MayRemoveMember reports whether a member may be removed: an even number of members
// tolerates no more failures than the odd number below it.
func MayRemoveMember(value *Value) bool { return len(value.Members) >= 4 && len(value.Members)%2 == 0 }

// RemoveMember removes a member if MayRemoveMember allows it.
func RemoveMember(address string) Change {
	return func(current *Value) (*Value, Outcome) {
		matches := func(m Member) bool { return m.Address == address }
		if !MayRemoveMember(current) || !slices.ContainsFunc(current.Members, matches) {
			return nil, Settled
		}
		next := *current
		next.Members = slices.DeleteFunc(slices.Clone(current.Members), matches)
		return &next, Taken
	}
}

// RemoveMembersOn removes the member on a machine that is leaving, unless it is the only
// member.
func RemoveMembersOn(node string) Change {
	return func(current *Value) (*Value, Outcome) {
		if !current.HasMember(node) || len(current.Members) < 2 {
			return nil, Settled
		}
		next := *current
		next.Members = slices.DeleteFunc(slices.Clone(current.Members), current.runsOn(node))
		return &next, Taken
	}
}

// NameMembers fills in the nodes and zones of members by their addresses.
func NameMembers(names map[string]Member) Change {
	return func(current *Value) (*Value, Outcome) {
		next := *current
		next.Members = slices.Clone(current.Members)
		for i, member := range next.Members {
			if name, known := names[member.Address]; known {
				next.Members[i].Node, next.Members[i].Zone = name.Node, name.Zone
			}
		}
		if slices.Equal(next.Members, current.Members) {
			return nil, Settled
		}
		return &next, Taken
	}
}

// ClearPrevious writes the value again if the last change was a membership change, so that
// votes of the previous members are no longer needed.
func ClearPrevious(current *Value) (*Value, Outcome) {
	if len(current.Previous) == 0 {
		return nil, Settled
	}
	next := *current
	return &next, Taken
}

// completeNext fills in the derived fields of the next value: its sequence, the
// previous members if it changes them, and when the stores last changed.
func completeNext(current, next *Value) *Value {
	next.Sequence = current.Sequence + 1
	next.Previous = nil
	if !sameVoters(current.Members, next.Members) {
		next.Previous = current.Members
	}
	if !sameStores(current, next) {
		next.StoresChanged = next.Sequence
	}
	return next
}

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Taken:
		return "taken"
	case Stale:
		return "stale"
	case Invalid:
		return "invalid"
	case Settled:
		return "settled"
	case Unknown:
		return "unknown"
	case Forgotten:
		return "forgotten"
	default:
		return "undecided"
	}
}
