package membership

import (
	"slices"
	"strings"
	"time"
)

// transaction is what one delivery would make of the hosts. Nothing is changed
// before commit, so that a delivery can be refused after it was worked out.
type transaction struct {
	f     *Fleet
	names []string // in the order in which they were touched
	refs  map[string][]ref
	lists map[*cluster][]Endpoint
	order []*cluster // of lists
}

func (f *Fleet) begin() *transaction {
	f.word++
	return &transaction{f: f, refs: map[string][]ref{}, lists: map[*cluster][]Endpoint{}}
}

// replace gives a cluster other endpoints; both lists are sorted by name.
func (t *transaction) replace(c *cluster, next []Endpoint) {
	if _, again := t.lists[c]; !again {
		t.order = append(t.order, c)
	}
	have := c.endpoints
	if earlier, again := t.lists[c]; again {
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

// touch returns a host's refs as they would be.
func (t *transaction) touch(name string) []ref {
	if refs, known := t.refs[name]; known {
		return refs
	}
	t.names = append(t.names, name)
	if n := t.f.hosts.byName[name]; n != nil {
		return slices.Clone(n.refs)
	}
	return nil
}

func (t *transaction) drop(c *cluster, name string) {
	t.refs[name] = slices.DeleteFunc(t.touch(name), func(r ref) bool { return r.c == c })
}

func (t *transaction) put(c *cluster, e Endpoint) {
	refs := t.touch(e.Name)
	i := slices.IndexFunc(refs, func(r ref) bool { return r.c == c })
	if i < 0 {
		i = len(refs)
		refs = append(refs, ref{})
	}
	refs[i] = ref{c, e, t.f.word}
	t.refs[e.Name] = refs
}

// patch changes single endpoints of a cluster and removes others.
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

// usable is how many hosts could be sent to after it, and empties says that none
// could because they were left out, not because they were told as unfit. Updates
// put aside are passed over here: a host that waits for one to be settled is still
// the last one.
func (t *transaction) usable() (n int, empties bool) {
	n = t.f.hosts.fit
	lost := 0
	for _, name := range t.names {
		h := t.f.hosts.byName[name]
		was := h != nil && h.fit
		refs := t.refs[name]
		is := fits(refs)
		if was && !is {
			n--
			if len(refs) == 0 {
				lost++
			}
		} else if is && !was {
			n++
		}
	}
	return n, n == 0 && lost > 0
}

// size is how many hosts there would be.
func (t *transaction) size() int {
	n := len(t.f.hosts.byName) - t.f.hosts.gone
	for _, name := range t.names {
		h := t.f.hosts.byName[name]
		was, is := h != nil && len(h.refs) > 0, len(t.refs[name]) > 0
		switch {
		case is && !was:
			n++
		case was && !is:
			n--
		}
	}
	return n
}

// commit makes it so.
func (t *transaction) commit(now time.Duration) {
	f := t.f
	for _, c := range t.order {
		c.endpoints = t.lists[c]
		f.touch(c)
		for _, e := range c.endpoints {
			f.openPool(c, e.Priority)
		}
	}
	for _, name := range t.names {
		n := f.hosts.get(name)
		count(n, -1)
		n.refs = t.refs[name]
		f.remerge(n, now)
	}
	f.settleDegraded(now)
}
