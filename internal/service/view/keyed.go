package view

import "slices"

// keyed tells how the entries of a list are compared and ordered.
type keyed[Entry any] struct {
	key   func(Entry) string
	match func(earlier, later Entry) bool
}

// difference returns the entries of later that earlier lacks or has otherwise,
// and the keys that later lacks, in their order.
func (k keyed[Entry]) difference(earlier, later []Entry) (changed []Entry, removed []string) {
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

// apply returns the list that a difference leads to, in the order of its keys.
func (k keyed[Entry]) apply(earlier, changed []Entry, removed []string) []Entry {
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

func (k keyed[Entry]) sort(list []Entry) {
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
