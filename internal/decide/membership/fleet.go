package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardwharf"
)

// Config configures a Fleet. A zero value means the default given at the field.
type Config struct {
	Zones, Kinds []string      // of the site; hosts refer to them by index
	AllowEmpty   bool          // an update may remove the last host by omitting it
	InitialFetch time.Duration // how long a cluster waits for its endpoints; default 15 s
	StaleHold    time.Duration // how long an update that looks old is deferred; 0: it is accepted at once
	MaxHosts     int           // limit of hosts; default 100,000
}

const (
	defaultInitialFetch = 15 * time.Second
	defaultMaxHosts     = 100_000
)

// Note is an event for the log.
type Note struct {
	Warn    bool
	Message string // fixed log message
	Cluster string // cluster or EDS resource; may be empty
	Reason  string
}

// Change holds everything that changed since the previous Change.
type Change struct {
	Full           bool // Hosts is a complete list; otherwise only the changed hosts
	Hosts          []Host
	Forgotten      []yardwharf.WorkerID // hosts that have been gone for long and are dropped
	Views          []View               // clusters whose view changed, sorted by name
	ServesUnlisted bool                 // hosts from before the first list still serve, outside of any cluster
	Notes          []Note
	Accepted       []Mark // deferred updates that have now been accepted
}

// Mark names a version of a resource.
type Mark struct {
	OfClusters bool   `json:"of_clusters,omitempty"`
	Name       string `json:"name,omitempty"` // "" for a complete list of clusters
	Version    string `json:"version,omitempty"`
	Sum        uint64 `json:"sum,omitempty"` // content checksum, if it has one
}

// Fleet tracks the known hosts and clusters. Its times are relative to the Unix epoch.
type Fleet struct {
	config       Config
	hosts        hostTable
	base         *cluster // hosts of the roster, or those known before the first list
	clusters     map[string]*cluster
	bySource     map[string][]*cluster  // by the EDS resource that supplies their endpoints
	assignments  map[string]*Assignment // accepted endpoints, by EDS resource
	guards       map[string]*versionGuard
	timed        map[string]*cluster      // clusters with a pending timer
	deferred     map[string]*versionGuard // guards that hold a deferred update, by key
	retiredCount int                      // number of retired clusters
	updateNumber uint64                   // number of the latest update
	lastPool     int

	listed           bool // the source's first list is in force and base has been dropped
	clustersReceived bool // the source has sent clusters
	full             bool // the next Change is a complete list
	changed          []*host
	dirtyClusters    []*cluster
	reportedViews    map[string]View
	notes            []Note
	accepted         []Mark
}

func (c Config) withDefaults() Config {
	if c.InitialFetch <= 0 {
		c.InitialFetch = defaultInitialFetch
	}
	if c.MaxHosts <= 0 {
		c.MaxHosts = defaultMaxHosts
	}
	return c
}

// New returns a Fleet without hosts.
func New(c Config) *Fleet {
	return &Fleet{config: c.withDefaults(), hosts: newHostTable(c.Zones, c.Kinds), base: &cluster{roster: true}, clusters: map[string]*cluster{},
		bySource: map[string][]*cluster{}, assignments: map[string]*Assignment{}, guards: map[string]*versionGuard{},
		timed: map[string]*cluster{}, deferred: map[string]*versionGuard{}, reportedViews: map[string]View{}}
}

// UsableCount returns the number of hosts that get work.
func (f *Fleet) UsableCount() int { return f.hosts.usableCount }

// FitCount returns the number of hosts that get work according to the source, including
// those that operators have taken out.
func (f *Fleet) FitCount() int { return f.hosts.fitCount }

// Listed reports whether the source's first complete list is in force.
func (f *Fleet) Listed() bool { return f.listed }

// Assignment returns the endpoints last accepted for an EDS resource, or nil. The caller
// must not change them.
func (f *Fleet) Assignment(source string) *Assignment { return f.assignments[source] }

// ApplyRoster applies the platform's roster: a complete list, or changed entries and the
// names of removed ones. It is applied unchecked, because the platform's protocol
// tracks versions itself and announces each removal.
func (f *Fleet) ApplyRoster(now time.Duration, complete bool, entries []Endpoint, removed []string) {
	t := f.begin()
	if complete {
		sorted := slices.Clone(entries)
		slices.SortStableFunc(sorted, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
		sorted = slices.CompactFunc(sorted, func(a, b Endpoint) bool { return a.Name == b.Name })
		t.replace(f.base, sorted)
		f.full = true
	} else {
		t.patch(f.base, entries, removed)
	}
	t.commit(now)
}

// SwitchSource switches to another source of clusters: the present hosts keep serving
// until its first list is in force, and the old source's versions are forgotten.
func (f *Fleet) SwitchSource(now time.Duration, c Config) {
	c.Zones, c.Kinds = f.config.Zones, f.config.Kinds
	f.config = c.withDefaults()
	f.listed, f.clustersReceived = false, false
	f.StreamEnded(now)
	f.guards, f.assignments = map[string]*versionGuard{}, map[string]*Assignment{}
	all := map[string]Endpoint{}
	for _, name := range sortedNames(f.clusters) {
		for _, e := range f.clusters[name].endpoints {
			if have, seen := all[e.Name]; !seen || have.Health.takesWork() {
				all[e.Name] = e
			}
		}
	}
	for _, e := range f.base.endpoints {
		all[e.Name] = e
	}
	t := f.begin()
	for _, name := range sortedNames(f.clusters) {
		t.replace(f.clusters[name], nil)
	}
	var list []Endpoint
	for _, name := range sortedNames(all) {
		e := all[name]
		if n := f.hosts.byName[name]; n != nil && n.Started > 0 {
			e.Started = n.Started
		}
		e.Priority = 0
		list = append(list, e)
	}
	t.replace(f.base, list)
	t.commit(now)
	for _, name := range sortedNames(f.clusters) {
		f.remove(now, f.clusters[name])
	}
}

func sortedNames[T any](m map[string]T) []string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// markDirty records that a cluster's view may have changed.
func (f *Fleet) markDirty(c *cluster) {
	if !c.roster && !c.dirty {
		c.dirty = true
		f.dirtyClusters = append(f.dirtyClusters, c)
	}
}

// assignPool gives a priority of a cluster its pool. Pool numbers are never reused, so
// that a message routed to a removed cluster cannot reach another cluster's hosts.
func (f *Fleet) assignPool(c *cluster, priority uint32) {
	for len(c.levels) <= int(priority) {
		c.levels = append(c.levels, priorityLevel{})
	}
	if l := &c.levels[priority]; l.pool == 0 && !c.roster {
		f.lastPool++
		l.pool = f.lastPool
	}
}

// refresh recomputes a host and adds it to its clusters' counts; the caller has
// subtracted its old state.
func (f *Fleet) refresh(n *host, now time.Duration) {
	if f.hosts.merge(n, now, !f.listed) {
		f.markChanged(n)
	}
	addToLevels(n, 1)
	for i := range n.entries {
		f.markDirty(n.entries[i].cluster)
	}
}

func (f *Fleet) markChanged(n *host) {
	if !n.changePending {
		n.changePending = true
		f.changed = append(f.changed, n)
	}
}

// refreshEndpoints recomputes the hosts of a cluster's endpoints that match a filter.
func (f *Fleet) refreshEndpoints(c *cluster, now time.Duration, matches func(*Endpoint) bool) {
	for i := range c.endpoints {
		if n := f.hosts.byName[c.endpoints[i].Name]; n != nil && matches(&c.endpoints[i]) {
			addToLevels(n, -1)
			f.refresh(n, now)
		}
	}
}

// updateDegraded starts or stops the use of degraded hosts in each cluster, depending
// on whether it has healthy ones.
func (f *Fleet) updateDegraded(now time.Duration) {
	for i := 0; i < len(f.dirtyClusters); i++ {
		if c := f.dirtyClusters[i]; c.needsDegraded() != c.degraded {
			c.degraded = !c.degraded
			f.refreshEndpoints(c, now, func(e *Endpoint) bool { return e.Health == Degraded })
		}
	}
}

// TakeChanges returns the changes since its last call and whether there are any.
func (f *Fleet) TakeChanges(now time.Duration) (Change, bool) {
	ch := Change{Full: f.full, Notes: f.notes, Accepted: f.accepted, ServesUnlisted: !f.listed && len(f.base.endpoints) > 0}
	if f.full {
		for _, e := range f.base.endpoints {
			f.markChanged(f.hosts.byName[e.Name])
		}
		for _, name := range sortedNames(f.clusters) {
			for i := range f.clusters[name].endpoints {
				f.markChanged(f.hosts.byName[f.clusters[name].endpoints[i].Name])
			}
		}
	}
	for _, n := range f.changed {
		n.changePending, n.Changed = false, n.State != n.reportedState
		n.reportedState = n.State
		ch.Hosts = append(ch.Hosts, n.Host)
	}
	slices.SortFunc(f.dirtyClusters, func(a, b *cluster) int { return strings.Compare(a.name, b.name) })
	for _, c := range f.dirtyClusters {
		c.dirty = false
		v := c.view()
		if now := f.clusters[c.name]; now == nil {
			v = View{Name: c.name, Gone: true}
		} else if now != c { // replaced by another cluster of that name
			continue
		}
		before, known := f.reportedViews[c.name]
		if v.Gone && !known || known && v.equal(before) {
			continue
		}
		if f.reportedViews[c.name] = v; v.Gone {
			delete(f.reportedViews, c.name)
		}
		ch.Views = append(ch.Views, v)
	}
	ch.Forgotten = f.hosts.forget(now)
	f.full, f.changed, f.dirtyClusters, f.notes, f.accepted = false, nil, f.dirtyClusters[:0], nil, nil
	return ch, ch.Full || len(ch.Hosts)+len(ch.Forgotten)+len(ch.Views)+len(ch.Notes)+len(ch.Accepted) > 0
}

func (f *Fleet) addNote(warn bool, message, cluster, reason string, args ...any) {
	f.notes = append(f.notes, Note{warn, message, cluster, fmt.Sprintf(reason, args...)})
}
