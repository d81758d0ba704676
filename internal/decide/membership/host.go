package membership

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"yardwharf"
)

// Host is a south side host as it is told to the rest of the program.
type Host struct {
	Name    string
	Address netip.AddrPort
	Why     string // why it is not Ready, for logs; empty where it is
	Changed bool   // of state, with this telling
	Out     bool   // operators have taken it out: nothing more may begin at it, at once
	yardwharf.Member
}

// noPlace is where zones and cells begin that hosts have each to themselves.
const noPlace = -1 << 20

// host is a Host with what the clusters say of it.
type host struct {
	Host
	number int // of the host among all there ever were; tells apart what is not told
	refs   []ref
	fit    bool                  // it gets work by what is accepted
	strict int                   // deliveries put aside that say it gets no new work
	gone   time.Duration         // when it went
	mark   bool                  // among those that have changed since the last Take
	told   yardwharf.WorkerState // as of the last Take
	wasOut time.Duration         // it went out by hand then, the last time that it was put back
	back   time.Duration         // and that was then
}

// ref is what one cluster says of a host.
type ref struct {
	c  *cluster
	e  Endpoint
	at uint64 // rises with each delivery: the newest word on an address counts
}

// hosts is all hosts by name and by id.
type hosts struct {
	byName map[string]*host
	byID   map[yardwharf.WorkerID]*host
	out    map[string]time.Duration // hosts out by hand, listed or not, and since when
	zones  map[string]int
	kinds  []string
	number int
	usable int // that are Ready
	fit    int // that would be but for deliveries put aside
	gone   int // that have no refs
}

func newHosts(zones, kinds []string) hosts {
	h := hosts{byName: map[string]*host{}, byID: map[yardwharf.WorkerID]*host{}, out: map[string]time.Duration{}, zones: map[string]int{}, kinds: kinds}
	for i, z := range zones {
		h.zones[z] = i
	}
	return h
}

// get returns the host of a name, a new one where there is none. Its id comes
// from the name alone: dispatchers that sort by it agree on the order, which
// their homes are chosen by.
func (h *hosts) get(name string) *host {
	if known := h.byName[name]; known != nil {
		return known
	}
	sum := fnv.New64a()
	sum.Write([]byte(name))
	id := yardwharf.WorkerID(sum.Sum64())
	for h.byID[id] != nil { // another name's: take the next that is free
		id++
	}
	h.number++
	h.gone++
	n := &host{Host: Host{Name: name, Member: yardwharf.Member{ID: id}}, number: h.number}
	h.byName[name], h.byID[id] = n, n
	return n
}

// zone is a zone's place among the site's. One that the site does not have gets a
// number of its own, and a host without a zone is alone in its: two hosts must not
// pass for neighbours, which share the keys they have seen, because neither's
// place is known.
func (h *hosts) zone(name string, of *host) int {
	if name == "" {
		return noPlace - of.number
	}
	place, known := h.zones[name]
	if !known {
		place = -2 - len(h.zones)
		h.zones[name] = place
	}
	return place
}

// merge works a host out anew from what the clusters say of it. It says whether
// anything that is told outside has changed. first is set while the first list of
// a source comes: its hosts have run for long as far as anyone knows.
func (h *hosts) merge(n *host, now time.Duration, first bool) bool {
	before, fit := n.Host, n.fit
	n.fit = fits(n.refs)
	switch {
	case n.fit && !fit:
		h.fit++
	case fit && !n.fit:
		h.fit--
	}
	if len(n.refs) == 0 {
		n.State, n.Why, n.Pools = yardwharf.Gone, "gone", nil
	} else {
		h.describe(n, now, first, before.State == yardwharf.Gone)
	}
	if n.State != before.State {
		switch {
		case n.State == yardwharf.Ready:
			h.usable++
		case before.State == yardwharf.Ready:
			h.usable--
		}
		switch {
		case n.State == yardwharf.Gone:
			h.gone++
			n.gone = now
		case before.State == yardwharf.Gone:
			h.gone--
		}
	}
	return n.State != before.State || n.Out != before.Out || n.Address != before.Address || n.Why != before.Why || !same(n.Member, before.Member)
}

func same(a, b yardwharf.Member) bool {
	return a.Zone == b.Zone && a.Started == b.Started && a.Kind == b.Kind && a.Cell == b.Cell &&
		a.CapacityHint == b.CapacityHint && slices.Equal(a.Pools, b.Pools)
}

// describe sets what is told of a host that is there. The newest word counts on
// what it is, the strictest on whether it gets work.
func (h *hosts) describe(n *host, now time.Duration, first, back bool) {
	newest, weight := n.refs[0], 0.0
	n.State, n.Why, n.Pools = yardwharf.Ready, "", nil
	for _, r := range n.refs {
		if r.at > newest.at {
			newest = r
		}
		weight = max(weight, r.e.Weight)
		if health := r.health(); !health.takesWork() {
			n.State, n.Why = yardwharf.Draining, health.String()
		}
	}
	if n.strict > 0 && n.State == yardwharf.Ready {
		n.State, n.Why = yardwharf.Draining, "unfit in an update put aside"
	}
	e := newest.e
	fresh := back || n.Address != e.Address
	n.Address, n.CapacityHint = e.Address, max(weight, 0)
	if n.CapacityHint == 0 {
		n.CapacityHint = 1
	}
	n.Zone, n.Kind = h.zone(e.Zone, n), slices.Index(h.kinds, e.Type)
	if n.Cell = e.Group; !e.HasGroup {
		n.Cell = noPlace - n.number
	}
	switch {
	case e.Since > 0, newest.c.roster: // the roster's 0 says that it was long ago
		n.Started = e.Since
	case fresh && !first: // a process that has just been listed is taken for cold
		n.Started = now
	case fresh:
		n.Started = 0
	}
	h.byHand(n)
	if n.State == yardwharf.Ready {
		for _, r := range n.refs {
			if pool := r.pool(); pool > 0 && !slices.Contains(n.Pools, pool) {
				n.Pools = append(n.Pools, pool)
			}
		}
		slices.Sort(n.Pools)
	}
}

// fits says whether clusters that say this let a host have new work.
func fits(refs []ref) bool {
	for i := range refs {
		if !refs[i].health().takesWork() {
			return false
		}
	}
	return len(refs) > 0
}

// health is what a cluster says of a host, as of now.
func (r *ref) health() Health {
	if r.c.stale && r.e.Health.takesWork() {
		return Timeout
	}
	return r.e.Health
}

// pool is the pool that a host is in by this ref; 0 for none.
func (r *ref) pool() int {
	if r.c.roster || r.e.Health == Degraded && !r.c.degraded {
		return 0
	}
	return r.c.pool(r.e.Priority)
}

// forgetAfter is how long a host that is gone is remembered, with its start.
const forgetAfter = 10 * time.Minute

// forget drops hosts that are long gone once they are many, and returns their
// ids. Guards against names that never come again, as where each start of a
// process has a new one.
func (h *hosts) forget(now time.Duration) (ids []yardwharf.WorkerID) {
	if h.gone <= 64+len(h.byName)/2 {
		return nil
	}
	for name, n := range h.byName { // each on its own; the ids are sorted below
		if n.State == yardwharf.Gone && len(n.refs) == 0 && n.gone > 0 && now-n.gone >= forgetAfter {
			delete(h.byName, name)
			delete(h.byID, n.ID)
			h.gone--
			ids = append(ids, n.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
