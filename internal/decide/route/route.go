// Package route decides which cluster serves a message, by the class's weights,
// and which of the cluster's priorities; the decision module then chooses the host.
// It does no I/O and draws by the random numbers that it is given.
package route

import (
	"slices"
	"sort"
	"strings"

	"yardwharf/internal/decide/membership"
)

// Rule says which clusters may serve a class.
type Rule struct {
	Class    string
	Clusters []Weight
}

// Weight is a cluster's weight: its part of the sum of weights.
type Weight struct {
	Cluster string
	Weight  uint32
}

// Nowhere is the pool that no host is in. A message that it is given waits for
// hosts as long as its class lets it and is then refused.
const Nowhere = -1

// Choice is what was decided for a message.
type Choice struct {
	Pool    int    // 0: any host
	Cluster string // empty where the pool is 0
	Drop    string // not empty: it is to be turned away, by this category
}

// Table holds the rules and what is known of the clusters.
type Table struct {
	classes []string
	rules   map[string]Rule
	views   map[string]membership.View
	open    bool
	tables  []table // by class
	dirty   bool
}

// table is a class's clusters that have hosts, with running sums of their weights.
type table struct {
	sums  []float64
	views []membership.View
	drops bool
}

// New returns a Table for a site's classes. Until clusters are told, and while Open
// says so, every message may go to any host.
func New(classes []string) *Table {
	return &Table{classes: classes, rules: map[string]Rule{}, views: map[string]membership.View{}, open: true, dirty: true}
}

// SetRules replaces all rules. A class without one is served by all clusters, each
// by the weights of its hosts.
func (t *Table) SetRules(rules []Rule) {
	t.rules, t.dirty = map[string]Rule{}, true
	for _, r := range rules {
		t.rules[r.Class] = r
	}
}

// SetOpen says whether hosts outside of all clusters still serve, as those known
// before the first list of clusters: a class none of whose clusters has a host is
// then served by any host.
func (t *Table) SetOpen(open bool) { t.dirty, t.open = t.dirty || t.open != open, open }

// Update takes what has changed of the clusters.
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

// Missing are the clusters that rules name and that are not there, sorted.
func (t *Table) Missing() (names []string) {
	for _, r := range t.rules {
		for _, w := range r.Clusters {
			if _, there := t.views[w.Cluster]; !there && !slices.Contains(names, w.Cluster) {
				names = append(names, w.Cluster)
			}
		}
	}
	slices.Sort(names)
	return names
}

// build works the tables out anew. A cluster without hosts is passed over: its
// part goes to the others of its rule, in proportion.
func (t *Table) build() {
	t.dirty = false
	t.tables = make([]table, len(t.classes))
	var all []membership.View
	for _, v := range t.views {
		if len(v.Loads) > 0 {
			all = append(all, v)
		}
	}
	slices.SortFunc(all, func(a, b membership.View) int { return strings.Compare(a.Name, b.Name) })
	for i, class := range t.classes {
		rule, ruled := t.rules[class]
		out, sum := &t.tables[i], 0.0
		add := func(v membership.View, weight float64) {
			sum += weight
			out.sums, out.views = append(out.sums, sum), append(out.views, v)
			out.drops = out.drops || len(v.Drops) > 0
		}
		if !ruled {
			for _, v := range all {
				add(v, v.Size)
			}
		}
		for _, w := range rule.Clusters {
			if v, there := t.views[w.Cluster]; there && w.Weight > 0 && len(v.Loads) > 0 {
				add(v, float64(w.Weight))
			}
		}
	}
}

// Pick decides for a message of a class. draw gives random numbers from 0 up to 1;
// as many are drawn as there is to be decided.
func (t *Table) Pick(class int, draw func() float64) Choice {
	if t.dirty {
		t.build()
	}
	if class < 0 || class >= len(t.tables) {
		return Choice{}
	}
	c := &t.tables[class]
	if len(c.views) == 0 {
		if t.open {
			return Choice{}
		}
		return Choice{Pool: Nowhere}
	}
	v := &c.views[0]
	if len(c.views) > 1 {
		x := draw() * c.sums[len(c.sums)-1]
		v = &c.views[min(sort.Search(len(c.sums), func(i int) bool { return c.sums[i] > x }), len(c.views)-1)]
	}
	out := Choice{Cluster: v.Name}
	for _, d := range v.Drops { // each by itself, as Envoy draws them
		if draw() < d.Part {
			out.Drop = d.Category
			return out
		}
	}
	out.Pool = v.Loads[0].Pool
	if len(v.Loads) > 1 {
		x := draw()
		for _, l := range v.Loads {
			out.Pool = l.Pool
			if x -= l.Part; x < 0 {
				break
			}
		}
	}
	return out
}
