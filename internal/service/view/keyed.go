package view

import "slices"

// keyedList defines how the entries of a list are identified and compared.
type keyedList[Entry any] struct {
	key   func(Entry) string
	match func(earlier, later Entry) bool
}

// difference returns the entries of later that are new or differ from those in
// earlier, and the keys that later lacks, sorted.
func (k keyedList[Entry]) difference(earlier, later []Entry) (changed []Entry, removed []string) {
	known := make(map[string]Entry, len(earlier))
	for _, entry := range earlier {
		known[k.key(entry)] = entry
	}
	for _, entry := range later {
		if old, ok := known[k.key(entry)]; !ok || !k.match(old, entry) {
			changed = append(changed, entry)
		}
		delete(known, k.key(entry))
	}
	for key := range known {
		removed = append(removed, key)
	}
	slices.Sort(removed)
	return changed, removed
}

// apply returns the result of applying a difference to a list, sorted by key.
func (k keyedList[Entry]) apply(earlier, changed []Entry, removed []string) []Entry {
	merged := make(map[string]Entry, len(earlier)+len(changed))
	for _, entry := range earlier {
		merged[k.key(entry)] = entry
	}
	for _, key := range removed {
		delete(merged, key)
	}
	for _, entry := range changed {
		merged[k.key(entry)] = entry
	}
	list := make([]Entry, 0, len(merged))
	for _, entry := range merged {
		list = append(list, entry)
	}
	k.sort(list)
	return list
}

func (k keyedList[Entry]) sort(list []Entry) {
	slices.SortFunc(list, func(a, b Entry) int {
		switch {
		case k.key(a) < k.key(b):
			return -1
		case k.key(a) > k.key(b):
			return 1
		default:
			return 0
		}
	})
}
