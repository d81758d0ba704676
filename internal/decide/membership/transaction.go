package membership

import (
	"slices"
	"strings"
	"time"
)

// transaction computes the effect of one update on the hosts. Nothing changes before
// commit, so that an update can still be refused.
type transaction struct {
	f       *Fleet
	names   []string // of affected hosts, in the order in which they were first affected
	entries map[string][]clusterEntry
	lists   map[*cluster][]Endpoint
	order   []*cluster // keys of lists, in order of first use
}

func (f *Fleet) begin() *transaction {
	f.updateNumber++
	return &transaction{f: f, entries: map[string][]clusterEntry{}, lists: map[*cluster][]Endpoint{}}
}

// replace sets the endpoints of a cluster; both lists are sorted by name.
func (t *transaction) replace(c *cluster, next []Endpoint) {
	if _, seen := t.lists[c]; !seen {
		t.order = append(t.order, c)
	}
	have := c.endpoints
	if earlier, seen := t.lists[c]; seen {
		have = earlier
	}
	t.lists[c] = next
	for len(have) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(have) > 0 && have[0].Name < next[0].Name:
			t.drop(c, have[0].Name)
			have = have[1:]
		case len(have) == 0 || next[0].Name < have[0].Name:
			t.put(c, next[0])
			next = next[1:]
		default:
			if have[0] != next[0] {
				t.put(c, next[0])
			}
			have, next = have[1:], next[1:]
		}
	}
}

// pending returns a host's entries as changed so far.
func (t *transaction) pending(name string) []clusterEntry {
	if entries, known := t.entries[name]; known {
		return entries
	}
	t.names = append(t.names, name)
	if n := t.f.hosts.byName[name]; n != nil {
		return slices.Clone(n.entries)
	}
	return nil
}

func (t *transaction) drop(c *cluster, name string) {
	t.entries[name] = slices.DeleteFunc(t.pending(name), func(r clusterEntry) bool { return r.cluster == c })
}

func (t *transaction) put(c *cluster, e Endpoint) {
	entries := t.pending(e.Name)
	i := slices.IndexFunc(entries, func(r clusterEntry) bool { return r.cluster == c })
	if i < 0 {
		i = len(entries)
		entries = append(entries, clusterEntry{})
	}
	entries[i] = clusterEntry{c, e, t.f.updateNumber}
	t.entries[e.Name] = entries
}

// patch changes or adds some endpoints of a cluster and removes others.
func (t *transaction) patch(c *cluster, changed []Endpoint, removed []string) {
	list := slices.Clone(c.endpoints)
	find := func(name string) (int, bool) {
		return slices.BinarySearchFunc(list, name, func(e Endpoint, name string) int { return strings.Compare(e.Name, name) })
	}
	for _, e := range changed {
		i, known := find(e.Name)
		switch {
		case !known:
			list = slices.Insert(list, i, e)
		case list[i] == e:
			continue
		default:
			list[i] = e
		}
		t.put(c, e)
	}
	for _, name := range removed {
		if i, known := find(name); known {
			list = slices.Delete(list, i, i+1)
			t.drop(c, name)
		}
	}
	t.lists[c] = list
	t.order = append(t.order, c)
}

// usable returns how many hosts would be fit for work after commit. emptied is set if
// none would be, and at least one was omitted rather than declared unfit. Deferred
// updates are ignored: a host that only they exclude still counts.
func (t *transaction) usable() (n int, emptied bool) {
	n = t.f.hosts.fitCount
	omitted := 0
	for _, name := range t.names {
		h := t.f.hosts.byName[name]
		was := h != nil && h.fit
		entries := t.entries[name]
		is := allowsWork(entries)
		if was && !is {
			n--
			if len(entries) == 0 {
				omitted++
			}
		} else if is && !was {
			n++
		}
	}
	return n, n == 0 && omitted > 0
}

// size returns how many hosts there would be after commit.
func (t *transaction) size() int {
	n := len(t.f.hosts.byName) - t.f.hosts.goneCount
	for _, name := range t.names {
		h := t.f.hosts.byName[name]
		was, is := h != nil && len(h.entries) > 0, len(t.entries[name]) > 0
		switch {
		case is && !was:
			n++
		case was && !is:
			n--
		}
	}
	return n
}

// commit applies the changes.
func (t *transaction) commit(now time.Duration) {
	f := t.f
	for _, c := range t.order {
		c.endpoints = t.lists[c]
		f.markDirty(c)
		for _, e := range c.endpoints {
			f.assignPool(c, e.Priority)
		}
	}
	for _, name := range t.names {
		n := f.hosts.getOrCreate(name)
		addToLevels(n, -1)
		n.entries = t.entries[name]
		f.refresh(n, now)
	}
	f.updateDegraded(now)
}
