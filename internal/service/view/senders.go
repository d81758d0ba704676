package view

import "time"

// warmupTolerance is the deviation from the expected remaining warm-up beyond
// which an entry counts as changed.
const warmupTolerance = 300 * time.Millisecond

var sendersByID = keyedList[Sender]{key: func(s Sender) string { return s.ID }, match: Sender.matches}

// SendersDifference is the difference between two lists of senders.
type SendersDifference struct {
	Changed []Sender // new or different entries
	Removed []string // IDs
}

// Empty reports whether the difference changes nothing.
func (d SendersDifference) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// MaxEncodedBytes returns an upper bound of the difference's size in a frame.
func (d SendersDifference) MaxEncodedBytes() int {
	size := sendersBytes(d.Changed)
	for _, id := range d.Removed {
		size += len(id) + maxSenderFixedBytes
	}
	return size
}

// DifferenceOf compares two lists; later was created the elapsed time after
// earlier.
func DifferenceOf(earlier, later []Sender, elapsed time.Duration) SendersDifference {
	changed, removed := sendersByID.difference(advanceWarmups(earlier, elapsed), later)
	return SendersDifference{changed, removed}
}

// Difference returns the difference from an earlier list to this one, which was
// created the elapsed time after it. It reports false if the earlier payload is
// not Senders.
func (s Senders) Difference(earlier any, elapsed time.Duration) (any, bool) {
	base, ok := earlier.(Senders)
	if !ok {
		return nil, false
	}
	return DifferenceOf(base.List, s.List, elapsed), true
}

// Apply returns the result of applying the difference to an earlier list, which was
// created the elapsed time before.
func (d SendersDifference) Apply(earlier any, elapsed time.Duration) (any, bool) {
	base, ok := earlier.(Senders)
	if !ok {
		return nil, false
	}
	return Senders{List: sendersByID.apply(advanceWarmups(base.List, elapsed), d.Changed, d.Removed)}, true
}

// After returns the list after the elapsed time, which shortens remaining warm-ups.
func (s Senders) After(elapsed time.Duration) Senders {
	s.List = advanceWarmups(s.List, elapsed)
	return s
}

// SortSenders sorts a list by ID.
func SortSenders(list []Sender) { sendersByID.sort(list) }

func advanceWarmups(list []Sender, elapsed time.Duration) []Sender {
	later := make([]Sender, len(list))
	for i, sender := range list {
		sender.WarmupLeft = max(0, sender.WarmupLeft-max(0, elapsed))
		later[i] = sender
	}
	return later
}

// matches reports whether two entries are equal except for a deviation of the
// warm-up within warmupTolerance.
func (s Sender) matches(other Sender) bool {
	deviation := (s.WarmupLeft - other.WarmupLeft).Abs()
	s.WarmupLeft, other.WarmupLeft = 0, 0
	return s == other && deviation <= warmupTolerance
}
