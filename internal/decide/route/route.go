// Package route chooses the cluster that serves a message by the weights of the
// message's class, and one of that cluster's priority levels. The balancer then
// chooses the host. The package does no I/O; callers supply the random numbers.
package route

import (
	"slices"
	"sort"
	"strings"

	"yardwharf/internal/decide/membership"
)

// Rule lists the clusters that may serve a class.
type Rule struct {
	Class    string
	Clusters []WeightedCluster
}

// WeightedCluster is a cluster's weight in a rule, relative to the sum of the rule's weights.
type WeightedCluster struct {
	Cluster string
	Weight  uint32
}

// NoHosts is a pool without hosts. A message routed to it waits for hosts as long
// as its class allows and is then refused.
const NoHosts = -1

// Choice is the routing decision for one message.
type Choice struct {
	Pool    int    // 0: any host
	Cluster string // empty if Pool is 0 or NoHosts
	Drop    string // if not empty, the message is refused under this drop category
}

// Table holds the routing rules and the current view of each cluster.
type Table struct {
	classes         []string
	rules           map[string]Rule
	views           map[string]membership.View // by cluster
	anyHostFallback bool                       // hosts outside of all clusters serve as a fallback
	byClass         []classTable               // indexed like classes
	dirty           bool                       // byClass must be rebuilt
}

// classTable holds the clusters that may serve a class and have hosts.
type classTable struct {
	cumulative []float64 // cumulative weights, in the order of views
	views      []membership.View
	drops      bool // some cluster drops part of its messages
}

// New returns a Table for a site's classes. Until clusters are known, every message
// may go to any host, unless SetAnyHostFallback has turned that off.
func New(classes []string) *Table {
	return &Table{classes: classes, rules: map[string]Rule{}, views: map[string]membership.View{}, anyHostFallback: true, dirty: true}
}

// SetRules replaces all rules. A class without a rule is served by all clusters, in
// proportion to the summed weights of their hosts.
func (t *Table) SetRules(rules []Rule) {
	t.rules, t.dirty = map[string]Rule{}, true
	for _, r := range rules {
		t.rules[r.Class] = r
	}
}

// SetAnyHostFallback sets whether hosts outside of all clusters still serve, such as those known
// before the first list of clusters. If so, a class none of whose clusters has a host
// is served by any host.
func (t *Table) SetAnyHostFallback(open bool) {
	t.dirty, t.anyHostFallback = t.dirty || t.anyHostFallback != open, open
}

// Update applies changed views of clusters and removes those marked as gone.
func (t *Table) Update(views []membership.View) {
	for _, v := range views {
		t.dirty = true
		if v.Gone {
			delete(t.views, v.Name)
		} else {
			t.views[v.Name] = v
		}
	}
}

// MissingClusters returns the clusters that rules name but that are not known, sorted.
func (t *Table) MissingClusters() (names []string) {
	for _, r := range t.rules {
		for _, w := range r.Clusters {
			if _, known := t.views[w.Cluster]; !known && !slices.Contains(names, w.Cluster) {
				names = append(names, w.Cluster)
			}
		}
	}
	slices.Sort(names)
	return names
}

// build rebuilds byClass. It skips clusters without hosts; their share
// goes to the other clusters of the rule in proportion to their weights.
func (t *Table) build() {
	t.dirty = false
	t.byClass = make([]classTable, len(t.classes))
	var withHosts []membership.View
	for _, v := range t.views {
		if len(v.Loads) > 0 {
			withHosts = append(withHosts, v)
		}
	}
	slices.SortFunc(withHosts, func(a, b membership.View) int { return strings.Compare(a.Name, b.Name) })
	for i, class := range t.classes {
		rule, hasRule := t.rules[class]
		current, sum := &t.byClass[i], 0.0
		add := func(v membership.View, weight float64) {
			sum += weight
			current.cumulative, current.views = append(current.cumulative, sum), append(current.views, v)
			current.drops = current.drops || len(v.Drops) > 0
		}
		if !hasRule {
			for _, v := range withHosts {
				add(v, v.Weight)
			}
		}
		for _, w := range rule.Clusters {
			if v, known := t.views[w.Cluster]; known && w.Weight > 0 && len(v.Loads) > 0 {
				add(v, float64(w.Weight))
			}
		}
	}
}

// Pick routes a message of a class. draw returns random numbers in [0, 1); it is
// called once for each random decision: cluster, each drop category, priority.
func (t *Table) Pick(class int, draw func() float64) Choice {
	if t.dirty {
		t.build()
	}
	if class < 0 || class >= len(t.byClass) {
		return Choice{}
	}
	candidates := &t.byClass[class]
	if len(candidates.views) == 0 {
		if t.anyHostFallback {
			return Choice{}
		}
		return Choice{Pool: NoHosts}
	}
	cluster := &candidates.views[0]
	if len(candidates.views) > 1 {
		x := draw() * candidates.cumulative[len(candidates.cumulative)-1]
		cluster = &candidates.views[min(sort.Search(len(candidates.cumulative), func(i int) bool { return candidates.cumulative[i] > x }), len(candidates.views)-1)]
	}
	choice := Choice{Cluster: cluster.Name}
	for _, d := range cluster.Drops { // one independent draw per category, as in Envoy
		if draw() < d.Share {
			choice.Drop = d.Category
			return choice
		}
	}
	choice.Pool = cluster.Loads[0].Pool
	if len(cluster.Loads) > 1 {
		x := draw()
		for _, l := range cluster.Loads {
			choice.Pool = l.Pool
			if x -= l.Share; x < 0 {
				break
			}
		}
	}
	return choice
}
