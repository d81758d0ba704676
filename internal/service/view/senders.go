package view

import (
	"slices"
	"strings"
	"time"
)

// warmupTolerance is how far a warm-up may stray from what its earlier value
// foretold before it counts as a change.
const warmupTolerance = 300 * time.Millisecond

// SendersDifference leads from one list of senders to a later one.
type SendersDifference struct {
	Changed []Sender // new ones and those that differ
	Removed []string // ids
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

// Empty reports whether the difference changes nothing.
func (d SendersDifference) Empty() bool { return len(d.Changed) == 0 && len(d.Removed) == 0 }

// DifferenceOf compares two lists of which the second was made elapsed after
// the first.
func DifferenceOf(earlier, later []Sender, elapsed time.Duration) SendersDifference {
	known := make(map[string]Sender, len(earlier))
	for _, sender := range earlier {
		known[sender.ID] = sender.after(elapsed)
	}
	var difference SendersDifference
	for _, sender := range later {
		if old, ok := known[sender.ID]; !ok || !old.matches(sender) {
			difference.Changed = append(difference.Changed, sender)
		}
		delete(known, sender.ID)
	}
	for id := range known {
		difference.Removed = append(difference.Removed, id)
	}
	slices.Sort(difference.Removed)
	return difference
}

// Apply returns the list that follows from an earlier one.
func (d SendersDifference) Apply(earlier any, elapsed time.Duration) (any, bool) {
	base, ok := earlier.(Senders)
	if !ok {
		return nil, false
	}
	merged := make(map[string]Sender, len(base.List)+len(d.Changed))
	for _, sender := range base.List {
		merged[sender.ID] = sender.after(elapsed)
	}
	for _, id := range d.Removed {
		delete(merged, id)
	}
	for _, sender := range d.Changed {
		merged[sender.ID] = sender
	}
	list := make([]Sender, 0, len(merged))
	for _, sender := range merged {
		list = append(list, sender)
	}
	SortSenders(list)
	return Senders{List: list}, true
}

// After returns the list as it stands elapsed later: warm-ups have gone on.
func (s Senders) After(elapsed time.Duration) Senders {
	list := make([]Sender, len(s.List))
	for i, sender := range s.List {
		list[i] = sender.after(elapsed)
	}
	s.List = list
	return s
}

// SortSenders puts a list in the order of its ids.
func SortSenders(list []Sender) {
	slices.SortFunc(list, func(a, b Sender) int { return strings.Compare(a.ID, b.ID) })
}

func (s Sender) after(elapsed time.Duration) Sender {
	s.WarmupLeft = max(0, s.WarmupLeft-max(0, elapsed))
	return s
}

// matches reports whether two entries say the same, but for small deviations
// of the warm-up.
func (s Sender) matches(other Sender) bool {
	deviation := (s.WarmupLeft - other.WarmupLeft).Abs()
	s.WarmupLeft, other.WarmupLeft = 0, 0
	return s == other && deviation <= warmupTolerance
}
