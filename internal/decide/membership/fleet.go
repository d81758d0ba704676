package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"yardwharf"
)

// Config sets up a Fleet. Zero values are the defaults that are named.
type Config struct {
	Zones, Kinds []string      // the site's; hosts are told by their places in them
	AllowEmpty   bool          // a delivery may take the last host by leaving it out
	InitialFetch time.Duration // how long a cluster is waited for; 15 s
	StaleHold    time.Duration // how long an update that looks old is put aside; 0: it is taken at once
	MostHosts    int           // 100,000
}

const (
	defaultInitialFetch = 15 * time.Second
	defaultMostHosts    = 100_000
)

// Note is something that people should read.
type Note struct {
	Warn    bool
	What    string // the message, always worded the same
	Cluster string // or the resource; may be empty
	Why     string
}

// Change is what has changed since the last one, all of it together.
type Change struct {
	Full      bool // Hosts is the whole list of a source; else what has changed
	Hosts     []Host
	Forgotten []yardwharf.WorkerID // hosts that were told as gone long ago
	Views     []View               // clusters that are seen differently, by name
	Open      bool                 // hosts of before the first list serve still, outside of clusters
	Notes     []Note
	Accepted  []Mark // updates put aside before that count now
}

// Mark names a version of a resource.
type Mark struct {
	OfClusters bool   `json:"of_clusters,omitempty"`
	Name       string `json:"name,omitempty"` // "" where it is a whole list of clusters
	Version    string `json:"version,omitempty"`
	Sum        uint64 `json:"sum,omitempty"` // of its content, where that matters
}

// Fleet is the fleet as far as it is known. Its zero time is the Unix epoch.
type Fleet struct {
	c        Config
	hosts    hosts
	base     *cluster // the roster, or what was known before the first list
	clusters map[string]*cluster
	sources  map[string][]*cluster  // by the EDS resource that they take their endpoints from
	assigned map[string]*Assignment // accepted, by EDS resource
	guards   map[string]*guard
	waiting  map[string]*cluster // those with a time at which something is due
	asides   map[string]*guard   // those with an update put aside
	retired  int                 // clusters that are
	word     uint64              // counts deliveries
	lastPool int

	listed   bool // the source's first list counts: base has been dropped
	clusterd bool // clusters have come from the source
	full     bool // the next Change is a whole list
	changed  []*host
	touched  []*cluster
	views    map[string]View
	notes    []Note
	accepted []Mark
}

func (c Config) withDefaults() Config {
	if c.InitialFetch <= 0 {
		c.InitialFetch = defaultInitialFetch
	}
	if c.MostHosts <= 0 {
		c.MostHosts = defaultMostHosts
	}
	return c
}

// New returns a Fleet without hosts.
func New(c Config) *Fleet {
	return &Fleet{c: c.withDefaults(), hosts: newHosts(c.Zones, c.Kinds), base: &cluster{roster: true}, clusters: map[string]*cluster{},
		sources: map[string][]*cluster{}, assigned: map[string]*Assignment{}, guards: map[string]*guard{},
		waiting: map[string]*cluster{}, asides: map[string]*guard{}, views: map[string]View{}}
}

// Usable is how many hosts may be sent to.
func (f *Fleet) Usable() int { return f.hosts.usable }

// Fit is how many hosts may be sent to by what the source says, also if they are
// out by hand.
func (f *Fleet) Fit() int { return f.hosts.fit }

// Listed says whether the source's first whole list counts.
func (f *Fleet) Listed() bool { return f.listed }

// Held is the endpoints last accepted under a name; nil where there are none. It
// must not be changed.
func (f *Fleet) Held(source string) *Assignment { return f.assigned[source] }

// List takes the platform's roster: a whole list, or changed entries and the names
// of removed ones. It is taken as it comes: the platform's protocol counts versions
// itself, and says of each host that it goes.
func (f *Fleet) List(now time.Duration, whole bool, entries []Endpoint, removed []string) {
	t := f.begin()
	if whole {
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

// Restart says that another source of clusters takes over: the hosts that there
// are serve on until its first list counts, and nothing of the old source's
// versions holds.
func (f *Fleet) Restart(now time.Duration, c Config) {
	c.Zones, c.Kinds = f.c.Zones, f.c.Kinds
	f.c = c.withDefaults()
	f.listed, f.clusterd = false, false
	f.Lost(now)
	f.guards, f.assigned = map[string]*guard{}, map[string]*Assignment{}
	all := map[string]Endpoint{}
	for _, name := range sortedNames(f.clusters) {
		for _, e := range f.clusters[name].endpoints {
			if have, twice := all[e.Name]; !twice || have.Health.takesWork() {
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
			e.Since = n.Started
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

// touch marks a cluster as one whose view may have changed.
func (f *Fleet) touch(c *cluster) {
	if !c.roster && !c.touched {
		c.touched = true
		f.touched = append(f.touched, c)
	}
}

// openPool gives a priority of a cluster its pool. Numbers are never used again:
// a message that was routed to a cluster that is gone must not meet another's hosts.
func (f *Fleet) openPool(c *cluster, priority uint32) {
	for len(c.levels) <= int(priority) {
		c.levels = append(c.levels, level{})
	}
	if l := &c.levels[priority]; l.pool == 0 && !c.roster {
		f.lastPool++
		l.pool = f.lastPool
	}
}

// remerge works a host out anew; its old place in the clusters' counts has been
// taken back.
func (f *Fleet) remerge(n *host, now time.Duration) {
	if f.hosts.merge(n, now, !f.listed) {
		f.change(n)
	}
	count(n, 1)
	for i := range n.refs {
		f.touch(n.refs[i].c)
	}
}

func (f *Fleet) change(n *host) {
	if !n.mark {
		n.mark = true
		f.changed = append(f.changed, n)
	}
}

// again works hosts out anew that a cluster's state bears on.
func (f *Fleet) again(c *cluster, now time.Duration, which func(*Endpoint) bool) {
	for i := range c.endpoints {
		if n := f.hosts.byName[c.endpoints[i].Name]; n != nil && which(&c.endpoints[i]) {
			count(n, -1)
			f.remerge(n, now)
		}
	}
}

// settleDegraded brings degraded hosts in where a cluster has nothing better left,
// and takes them out where it has.
func (f *Fleet) settleDegraded(now time.Duration) {
	for i := 0; i < len(f.touched); i++ {
		if c := f.touched[i]; c.needsDegraded() != c.degraded {
			c.degraded = !c.degraded
			f.again(c, now, func(e *Endpoint) bool { return e.Health == Degraded })
		}
	}
}

// Take returns what has changed since it was last called, and whether anything has.
func (f *Fleet) Take(now time.Duration) (Change, bool) {
	ch := Change{Full: f.full, Notes: f.notes, Accepted: f.accepted, Open: !f.listed && len(f.base.endpoints) > 0}
	if f.full {
		for _, e := range f.base.endpoints {
			f.change(f.hosts.byName[e.Name])
		}
		for _, name := range sortedNames(f.clusters) {
			for i := range f.clusters[name].endpoints {
				f.change(f.hosts.byName[f.clusters[name].endpoints[i].Name])
			}
		}
	}
	for _, n := range f.changed {
		n.mark, n.Changed = false, n.State != n.told
		n.told = n.State
		ch.Hosts = append(ch.Hosts, n.Host)
	}
	slices.SortFunc(f.touched, func(a, b *cluster) int { return strings.Compare(a.name, b.name) })
	for _, c := range f.touched {
		c.touched = false
		v := c.view()
		if now := f.clusters[c.name]; now == nil {
			v = View{Name: c.name, Gone: true}
		} else if now != c { // another of that name has come
			continue
		}
		before, known := f.views[c.name]
		if v.Gone && !known || known && v.same(before) {
			continue
		}
		if f.views[c.name] = v; v.Gone {
			delete(f.views, c.name)
		}
		ch.Views = append(ch.Views, v)
	}
	ch.Forgotten = f.hosts.forget(now)
	f.full, f.changed, f.touched, f.notes, f.accepted = false, nil, f.touched[:0], nil, nil
	return ch, ch.Full || len(ch.Hosts)+len(ch.Forgotten)+len(ch.Views)+len(ch.Notes)+len(ch.Accepted) > 0
}

func (f *Fleet) note(warn bool, what, cluster, why string, args ...any) {
	f.notes = append(f.notes, Note{warn, what, cluster, fmt.Sprintf(why, args...)})
}
