package membership

import (
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"yardwharf"
)

// Host is a south side host as reported to the rest of the program.
type Host struct {
	Name     string
	Address  netip.AddrPort
	Reason   string // why it is not Ready, for logs; empty if it is
	Changed  bool   // its state changed since the last report
	TakenOut bool   // taken out by operators: no request may start at it from now on
	yardwharf.Member
}

// privateIndexBase is where the indexes of zones and cells that a host has to itself begin, downwards.
const privateIndexBase = -1 << 20

// host is a Host with the cluster entries that it is computed from.
type host struct {
	Host
	number        int // sequence number of the host; makes its private zone and cell unique
	entries       []clusterEntry
	fit           bool                  // accepted updates allow it new work
	exclusions    int                   // number of deferred updates that exclude it from new work
	goneAt        time.Duration         // when it became Gone
	changePending bool                  // it is in Fleet.changed
	reportedState yardwharf.WorkerState // state at the last TakeChanges
	lastTakenOut  time.Duration         // when it was taken out by operators before it was last put back
	putBackAt     time.Duration         // when it was last put back
}

// clusterEntry is the endpoint of one cluster for a host.
type clusterEntry struct {
	cluster      *cluster
	endpoint     Endpoint
	updateNumber uint64 // number of the update; the newest entry determines the address
}

// hostTable holds all hosts by name and by id.
type hostTable struct {
	byName      map[string]*host
	byID        map[yardwharf.WorkerID]*host
	takenOut    map[string]time.Duration // hosts taken out by operators, listed or not, and since when
	zones       map[string]int
	kinds       []string
	lastNumber  int
	usableCount int // hosts that are Ready
	fitCount    int // hosts that accepted updates allow new work
	goneCount   int // hosts without entries
}

func newHostTable(zones, kinds []string) hostTable {
	h := hostTable{byName: map[string]*host{}, byID: map[yardwharf.WorkerID]*host{}, takenOut: map[string]time.Duration{}, zones: map[string]int{}, kinds: kinds}
	for i, z := range zones {
		h.zones[z] = i
	}
	return h
}

// getOrCreate returns the host of a name and creates it if it is new. Its id is derived
// from the name alone, so that dispatchers that sort by id agree on the order by
// which each chooses its home, its preferred part of the hosts.
func (h *hostTable) getOrCreate(name string) *host {
	if known := h.byName[name]; known != nil {
		return known
	}
	sum := fnv.New64a()
	sum.Write([]byte(name))
	id := yardwharf.WorkerID(sum.Sum64())
	for h.byID[id] != nil { // taken by another name: use the next free id
		id++
	}
	h.lastNumber++
	h.goneCount++
	n := &host{Host: Host{Name: name, Member: yardwharf.Member{ID: id}}, number: h.lastNumber}
	h.byName[name], h.byID[id] = n, n
	return n
}

// zoneIndex returns the index of a zone among the site's zones. An unknown zone gets
// an index of its own, and so does each host without a zone: hosts of unknown location
// must not count as neighbours, which share the keys they have seen.
func (h *hostTable) zoneIndex(name string, owner *host) int {
	if name == "" {
		return privateIndexBase - owner.number
	}
	index, known := h.zones[name]
	if !known {
		index = -2 - len(h.zones)
		h.zones[name] = index
	}
	return index
}

// merge recomputes a host from its cluster entries and reports whether anything that
// callers see has changed. firstList is set until a source's first list is in force:
// its hosts are assumed to have been running for long.
func (h *hostTable) merge(n *host, now time.Duration, firstList bool) bool {
	before, fit := n.Host, n.fit
	n.fit = allowsWork(n.entries)
	switch {
	case n.fit && !fit:
		h.fitCount++
	case fit && !n.fit:
		h.fitCount--
	}
	if len(n.entries) == 0 {
		n.State, n.Reason, n.Pools = yardwharf.Gone, "gone", nil
	} else {
		h.describe(n, now, firstList, before.State == yardwharf.Gone)
	}
	if n.State != before.State {
		switch {
		case n.State == yardwharf.Ready:
			h.usableCount++
		case before.State == yardwharf.Ready:
			h.usableCount--
		}
		switch {
		case n.State == yardwharf.Gone:
			h.goneCount++
			n.goneAt = now
		case before.State == yardwharf.Gone:
			h.goneCount--
		}
	}
	return n.State != before.State || n.TakenOut != before.TakenOut || n.Address != before.Address || n.Reason != before.Reason || !sameMember(n.Member, before.Member)
}

func sameMember(a, b yardwharf.Member) bool {
	return a.Zone == b.Zone && a.Started == b.Started && a.Kind == b.Kind && a.Cell == b.Cell &&
		a.CapacityHint == b.CapacityHint && slices.Equal(a.Pools, b.Pools)
}

// describe sets the reported attributes of a host that has entries. The newest entry
// determines its attributes, the strictest one whether it gets work.
func (h *hostTable) describe(n *host, now time.Duration, firstList, wasGone bool) {
	newest, weight := n.entries[0], 0.0
	n.State, n.Reason, n.Pools = yardwharf.Ready, "", nil
	for _, r := range n.entries {
		if r.updateNumber > newest.updateNumber {
			newest = r
		}
		weight = max(weight, r.endpoint.Weight)
		if health := r.health(); !health.takesWork() {
			n.State, n.Reason = yardwharf.Draining, health.String()
		}
	}
	if n.exclusions > 0 && n.State == yardwharf.Ready {
		n.State, n.Reason = yardwharf.Draining, "unfit in a deferred update"
	}
	e := newest.endpoint
	newProcess := wasGone || n.Address != e.Address
	n.Address, n.CapacityHint = e.Address, max(weight, 0)
	if n.CapacityHint == 0 {
		n.CapacityHint = 1
	}
	n.Zone, n.Kind = h.zoneIndex(e.Zone, n), slices.Index(h.kinds, e.Type)
	if n.Cell = e.Group; !e.HasGroup {
		n.Cell = privateIndexBase - n.number
	}
	switch {
	case e.Started > 0, newest.cluster.roster: // in the roster 0 means started long ago
		n.Started = e.Started
	case newProcess && !firstList: // a newly listed process is assumed to be cold
		n.Started = now
	case newProcess:
		n.Started = 0
	}
	h.applyManual(n)
	if n.State == yardwharf.Ready {
		for _, r := range n.entries {
			if pool := r.pool(); pool > 0 && !slices.Contains(n.Pools, pool) {
				n.Pools = append(n.Pools, pool)
			}
		}
		slices.Sort(n.Pools)
	}
}

// allowsWork reports whether all of a host's entries allow it new work.
func allowsWork(entries []clusterEntry) bool {
	for i := range entries {
		if !entries[i].health().takesWork() {
			return false
		}
	}
	return len(entries) > 0
}

// health returns the effective health of an entry: a stale one counts as timed out.
func (r *clusterEntry) health() Health {
	if r.cluster.stale && r.endpoint.Health.takesWork() {
		return Timeout
	}
	return r.endpoint.Health
}

// pool returns the pool that the entry puts its host into, or 0 for none.
func (r *clusterEntry) pool() int {
	if r.cluster.roster || r.endpoint.Health == Degraded && !r.cluster.degraded {
		return 0
	}
	return r.cluster.pool(r.endpoint.Priority)
}

// forgetAfter is how long a host that is gone is remembered with its start time.
const forgetAfter = 10 * time.Minute

// forget drops hosts that have been gone for long, once there are many, and returns
// their ids. It bounds memory where each start of a process gets a new name.
func (h *hostTable) forget(now time.Duration) (ids []yardwharf.WorkerID) {
	if h.goneCount <= 64+len(h.byName)/2 {
		return nil
	}
	for name, n := range h.byName { // the order does not matter: the ids are sorted below
		if n.State == yardwharf.Gone && len(n.entries) == 0 && n.goneAt > 0 && now-n.goneAt >= forgetAfter {
			delete(h.byName, name)
			delete(h.byID, n.ID)
			h.goneCount--
			ids = append(ids, n.ID)
		}
	}
	slices.Sort(ids)
	return ids
}
