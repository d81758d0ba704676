package view

import "time"

// warmupTolerance is how far a warm-up may stray from what its earlier value
// foretold before it counts as a change.
const warmupTolerance = 300 * time.Millisecond

var sendersByID = keyed[Sender]{key: func(s Sender) string { return s.ID }, match: Sender.matches}

// SendersDifference leads from one list of senders to a later one.
type SendersDifference struct {
	Changed []Sender // new ones and those that differ
	Removed []string // ids
}

// Empty reports whether the difference changes nothing.
func (d SendersDifference) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// DifferenceOf compares two lists of which the second was made elapsed after
// the first.
func DifferenceOf(earlier, later []Sender, elapsed time.Duration) SendersDifference {
	changed, removed := sendersByID.difference(after(earlier, elapsed), later)
	return SendersDifference{changed, removed}
}

// Difference returns what leads from an earlier list to this one, which was
// made elapsed after it. It reports false where the earlier payload is no list.
func (s Senders) Difference(earlier any, elapsed time.Duration) (any, bool) {
	base, ok := earlier.(Senders)
	if !ok {
		return nil, false
	}
	return DifferenceOf(base.List, s.List, elapsed), true
}

// Apply returns the list that follows from an earlier one.
func (d SendersDifference) Apply(earlier any, elapsed time.Duration) (any, bool) {
	base, ok := earlier.(Senders)
	if !ok {
		return nil, false
	}
	return Senders{List: sendersByID.apply(after(base.List, elapsed), d.Changed, d.Removed)}, true
}

// After returns the list as it stands elapsed later: warm-ups have gone on.
func (s Senders) After(elapsed time.Duration) Senders {
	s.List = after(s.List, elapsed)
	return s
}

// SortSenders puts a list in the order of its ids.
func SortSenders(list []Sender) { sendersByID.sort(list) }

func after(list []Sender, elapsed time.Duration) []Sender {
	later := make([]Sender, len(list))
	for i, sender := range list {
		sender.WarmupLeft = max(0, sender.WarmupLeft-max(0, elapsed))
		later[i] = sender
	}
	return later
}

// matches reports whether two entries say the same, but for small deviations
// of the warm-up.
func (s Sender) matches(other Sender) bool {
	deviation := (s.WarmupLeft - other.WarmupLeft).Abs()
	s.WarmupLeft, other.WarmupLeft = 0, 0
	return s == other && deviation <= warmupTolerance
}
