package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrOld says that an update looks older than what is held and was put aside.
var ErrOld = errors.New("older than what is held")

// ErrBase says that an update tells differences from endpoints that are not held:
// they are wanted whole.
var ErrBase = errors.New("tells differences from endpoints that are not held")

// Update takes a delivery of clusters or endpoints, whole or not at all. The error
// says why it is refused; with ErrOld it is put aside and may count later, see
// Change.Accepted. Resources that have been accepted before may come again.
func (f *Fleet) Update(now time.Duration, u *Update) error {
	if u.OfClusters {
		return f.takeClusters(now, u, false)
	}
	return f.takeAssignments(now, u, false)
}

func (f *Fleet) guard(key string) *guard {
	g := f.guards[key]
	if g == nil {
		g = &guard{key: key}
		f.guards[key] = g
	}
	return g
}

// The guards' keys. A whole list of clusters has one version for all of them.
const wholeList = "clusters"

func clusterKey(name string) string { return "cluster " + name }
func assignKey(name string) string  { return "endpoints " + name }

// sum is that of a whole list of clusters, in whichever order they come.
func (u *Update) sum() (s uint64) {
	for i := range u.Clusters {
		s += u.Clusters[i].Sum
	}
	return s
}

// putAside keeps an update that looks old. What it says of hosts that drain or are
// unfit counts at once: in doubt, the stricter word.
func (f *Fleet) putAside(now time.Duration, g *guard, u Update, name, version string) {
	f.release(g, now)
	g.aside = &aside{update: u, until: now + f.c.StaleHold}
	f.asides[g.key] = g
	lists := u.Assignments
	for i := range u.Clusters {
		if u.Clusters[i].Inline != nil {
			lists = append(lists, *u.Clusters[i].Inline)
		}
	}
	for i := range lists {
		for j := range lists[i].Endpoints {
			e := &lists[i].Endpoints[j]
			if n := f.hosts.byName[e.Name]; n != nil && len(n.refs) > 0 && !e.Health.takesWork() {
				g.aside.strict = append(g.aside.strict, n)
				f.restrict(n, 1, now)
			}
		}
	}
	f.settleDegraded(now)
	f.note(true, "update put aside", name, "version %s looks superseded (the last one was %s); it counts if nothing newer comes within %v",
		printable(version), printable(g.version), f.c.StaleHold)
}

func printable(version string) string {
	if version == "" {
		return "(none)"
	}
	return fmt.Sprintf("%.60q", version)
}

// release ends what an update put aside has said.
func (f *Fleet) release(g *guard, now time.Duration) {
	if g.aside == nil {
		return
	}
	for _, n := range g.aside.strict {
		f.restrict(n, -1, now)
	}
	g.aside = nil
	delete(f.asides, g.key)
	f.settleDegraded(now)
}

func (f *Fleet) restrict(n *host, by int, now time.Duration) {
	count(n, -1)
	n.strict += by
	f.remerge(n, now)
}

// takeClusters takes a delivery of clusters. A cluster that is new, or has another
// source of endpoints, is warming until these come; what it had serves on.
func (f *Fleet) takeClusters(now time.Duration, u *Update, force bool) error {
	if !force && f.c.StaleHold > 0 {
		if u.Whole {
			if g := f.guard(wholeList); g.old(u.Version, u.sum()) {
				f.putAside(now, g, *u, "", u.Version)
				return fmt.Errorf("clusters, version %s: %w", printable(u.Version), ErrOld)
			}
		} else if fresh, err := f.freshClusters(now, u); err != nil {
			if len(fresh.Clusters)+len(fresh.Removed) > 0 {
				if also := f.takeClusters(now, fresh, true); also != nil {
					return also
				}
			}
			return err
		}
	}
	next := map[string]*Cluster{}
	for i := range u.Clusters {
		next[u.Clusters[i].Name] = &u.Clusters[i]
	}
	t := f.begin()
	var gone []*cluster
	for _, name := range sortedNames(f.clusters) {
		c := f.clusters[name]
		if next[name] == nil && !c.retired && (u.Whole || slices.Contains(u.Removed, name)) {
			gone = append(gone, c)
			t.replace(c, nil)
		}
	}
	var fresh []*cluster // clusters that are new, or changed: as they will be
	warming := false     // what goes with this very update is not waited for
	for _, c := range f.waiting {
		warming = warming || c.warmBy > 0 && !slices.Contains(gone, c)
	}
	for _, name := range sortedNames(next) {
		c := f.clusters[name]
		if c == nil {
			c = &cluster{name: name}
		}
		if list, ok := f.endpointsOf(next[name]); ok {
			t.replace(c, list.Endpoints)
		} else {
			warming = true
		}
		fresh = append(fresh, c)
	}
	if n := t.size(); n > f.c.MostHosts {
		return fmt.Errorf("clusters: %d hosts, more than the %d that are taken", n, f.c.MostHosts)
	}
	_, empties := t.usable()
	if empties && !f.c.AllowEmpty {
		if !warming {
			return errors.New("clusters: no host would be left that may be sent to, and the operator's file does not allow it")
		}
		// Half an update: what replaces them is still to come.
		for _, c := range gone {
			t.replace(c, c.endpoints)
			f.retire(c, true)
			f.note(true, "last hosts kept", c.name, "the cluster was removed, and what replaces it has not come")
		}
		gone = nil
	}
	for _, c := range fresh {
		f.adopt(now, c, next[c.name])
	}
	t.commit(now)
	for _, c := range gone {
		f.remove(now, c)
	}
	f.bookClusters(now, u)
	f.clusterd = true
	f.settle(now)
	return nil
}

// freshClusters puts aside the clusters of a delivery that look old and returns
// the rest.
func (f *Fleet) freshClusters(now time.Duration, u *Update) (fresh *Update, err error) {
	fresh = &Update{OfClusters: true, Removed: u.Removed}
	for _, c := range u.Clusters {
		if g := f.guard(clusterKey(c.Name)); g.old(c.Version, c.Sum) {
			f.putAside(now, g, Update{OfClusters: true, Clusters: []Cluster{c}}, c.Name, c.Version)
			err = errors.Join(err, fmt.Errorf("cluster %q, version %s: %w", c.Name, printable(c.Version), ErrOld))
		} else {
			fresh.Clusters = append(fresh.Clusters, c)
		}
	}
	return fresh, err
}

// bookClusters moves the guards to what has been accepted.
func (f *Fleet) bookClusters(now time.Duration, u *Update) {
	if u.Whole {
		g := f.guard(wholeList)
		f.release(g, now)
		g.take(u.Version, u.sum())
		return
	}
	for i := range u.Clusters {
		g := f.guard(clusterKey(u.Clusters[i].Name))
		f.release(g, now)
		g.take(u.Clusters[i].Version, u.Clusters[i].Sum)
	}
	for _, name := range u.Removed {
		g := f.guard(clusterKey(name))
		f.release(g, now)
		g.remove()
	}
}

// endpointsOf is what a cluster's endpoints are as far as they have come.
func (f *Fleet) endpointsOf(spec *Cluster) (*Assignment, bool) {
	if spec.Inline != nil {
		return spec.Inline, true
	}
	a := f.assigned[spec.Source]
	return a, a != nil
}

// adopt makes a cluster what its resource says.
func (f *Fleet) adopt(now time.Duration, c *cluster, spec *Cluster) {
	f.retire(c, false)
	a, there := f.endpointsOf(spec)
	if !there && (f.clusters[c.name] == nil || c.spec.Source != spec.Source || c.spec.Inline != nil) {
		c.warmBy = now + f.c.InitialFetch
		f.waiting[c.name] = c
	}
	if c.spec.Source != spec.Source || f.clusters[c.name] == nil {
		f.leaveSource(now, c)
		if spec.Source != "" {
			f.sources[spec.Source] = append(f.sources[spec.Source], c)
		}
	}
	c.spec = *spec
	f.clusters[c.name] = c
	f.touch(c)
	if there {
		f.deliver(now, c, a)
	}
}

// deliver says that a cluster's endpoints have come.
func (f *Fleet) deliver(now time.Duration, c *cluster, a *Assignment) {
	c.from, c.warmBy, c.staleAt = a, 0, 0
	if a.StaleAfter > 0 {
		c.staleAt = now + a.StaleAfter
		f.waiting[c.name] = c
	} else {
		delete(f.waiting, c.name)
	}
	if c.stale {
		c.stale = false
		f.again(c, now, func(*Endpoint) bool { return true })
	}
	f.touch(c)
}

// remove forgets a cluster that has no endpoints any more.
func (f *Fleet) remove(now time.Duration, c *cluster) {
	f.retire(c, false)
	delete(f.clusters, c.name)
	delete(f.waiting, c.name)
	f.leaveSource(now, c)
	f.touch(c)
}

// leaveSource says that a cluster takes its endpoints from its resource no longer.
// What the last one has left is forgotten: it would come back as it was then.
func (f *Fleet) leaveSource(now time.Duration, c *cluster) {
	source := c.spec.Source
	if source == "" {
		return
	}
	left := slices.DeleteFunc(f.sources[source], func(o *cluster) bool { return o == c })
	if f.sources[source] = left; len(left) > 0 {
		return
	}
	delete(f.sources, source)
	delete(f.assigned, source)
	if g := f.guards[assignKey(source)]; g != nil {
		f.release(g, now)
	}
}

// retire says whether a cluster is removed and only serves on until others can.
func (f *Fleet) retire(c *cluster, yes bool) {
	if c.retired != yes {
		if c.retired = yes; yes {
			f.retired++
		} else {
			f.retired--
		}
	}
}

// takeAssignments takes a delivery of endpoints. A resource that is removed is one
// without endpoints; one that no cluster names is passed over.
func (f *Fleet) takeAssignments(now time.Duration, u *Update, force bool) error {
	var aside error
	var news []*Assignment
	t := f.begin()
	for i := range u.Assignments {
		a := &u.Assignments[i]
		if a.Base != nil {
			if err := f.expand(a); err != nil {
				return err
			}
		}
		users := f.users(a.Name)
		if len(users) == 0 {
			f.note(false, "endpoints passed over", a.Name, "no cluster names them")
			continue
		}
		if g := f.guard(assignKey(a.Name)); !force && f.c.StaleHold > 0 && g.old(a.Version, a.Sum) {
			f.putAside(now, g, Update{Assignments: []Assignment{*a}}, a.Name, a.Version)
			aside = errors.Join(aside, fmt.Errorf("endpoints of %q, version %s: %w", a.Name, printable(a.Version), ErrOld))
			continue
		}
		news = append(news, a)
		for _, c := range users {
			t.replace(c, a.Endpoints)
		}
	}
	var removed []string
	for _, name := range u.Removed {
		if users := f.users(name); len(users) > 0 && f.assigned[name] != nil {
			removed = append(removed, name)
			for _, c := range users {
				t.replace(c, nil)
			}
		}
	}
	if n := t.size(); n > f.c.MostHosts {
		return fmt.Errorf("endpoints: %d hosts, more than the %d that are taken", n, f.c.MostHosts)
	}
	if _, empties := t.usable(); empties && !f.c.AllowEmpty {
		return fmt.Errorf("endpoints of %s: no host would be left that may be sent to, and the operator's file does not allow it",
			strings.Join(append(namesOf(news), removed...), ", "))
	}
	for _, a := range news {
		f.assigned[a.Name] = a
		g := f.guard(assignKey(a.Name))
		f.release(g, now)
		g.take(a.Version, a.Sum)
	}
	t.commit(now)
	for _, a := range news {
		for _, c := range f.users(a.Name) {
			f.deliver(now, c, a)
		}
	}
	for _, name := range removed {
		g := f.guard(assignKey(name))
		f.release(g, now)
		g.remove()
		f.assigned[name] = &Assignment{Name: name}
	}
	f.settle(now)
	return aside
}

// expand makes differences whole.
func (f *Fleet) expand(a *Assignment) error {
	base := f.assigned[a.Name]
	if base == nil || base.Version != a.Base.Version || base.Sum != a.Base.Sum {
		return fmt.Errorf("endpoints of %q: %w", a.Name, ErrBase)
	}
	whole := make([]Endpoint, 0, len(base.Endpoints)+len(a.Endpoints))
	changed, gone := a.Endpoints, a.Gone
	for _, e := range base.Endpoints {
		for len(changed) > 0 && changed[0].Name < e.Name {
			whole, changed = append(whole, changed[0]), changed[1:]
		}
		for len(gone) > 0 && gone[0] < e.Name {
			gone = gone[1:]
		}
		switch {
		case len(changed) > 0 && changed[0].Name == e.Name:
			whole, changed = append(whole, changed[0]), changed[1:]
		case len(gone) > 0 && gone[0] == e.Name:
			gone = gone[1:]
		default:
			whole = append(whole, e)
		}
	}
	a.Endpoints, a.Base, a.Gone = append(whole, changed...), nil, nil
	return nil
}

// Since gives an assignment as its differences from another one, where that is
// shorter; both are whole. It is what expand takes back.
func (a *Assignment) Since(base *Assignment) Assignment {
	out := *a
	out.Base, out.Endpoints = &Mark{Version: base.Version, Sum: base.Sum}, nil
	have, next := base.Endpoints, a.Endpoints
	for len(have) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(have) > 0 && have[0].Name < next[0].Name:
			out.Gone, have = append(out.Gone, have[0].Name), have[1:]
		case len(have) == 0 || next[0].Name < have[0].Name:
			out.Endpoints, next = append(out.Endpoints, next[0]), next[1:]
		default:
			if have[0] != next[0] {
				out.Endpoints = append(out.Endpoints, next[0])
			}
			have, next = have[1:], next[1:]
		}
		if len(out.Gone)+len(out.Endpoints) > len(a.Endpoints)/2 {
			return *a
		}
	}
	return out
}

func namesOf(list []*Assignment) (names []string) {
	for _, a := range list {
		names = append(names, fmt.Sprintf("%q", a.Name))
	}
	return names
}

// users are the clusters that take their endpoints from an EDS resource.
func (f *Fleet) users(source string) []*cluster {
	return f.sources[source]
}

// warming says whether a cluster waits for its endpoints.
func (f *Fleet) warming() bool {
	for _, c := range f.waiting {
		if c.warmBy > 0 {
			return true
		}
	}
	return false
}

// settle drops what only served on until others could: the hosts of before the
// source's first list, and clusters that were removed before their successors came.
func (f *Fleet) settle(now time.Duration) {
	if f.listed && f.retired == 0 || !f.listed && (!f.clusterd || f.warming()) {
		return
	}
	t := f.begin()
	for _, name := range sortedNames(f.clusters) {
		if c := f.clusters[name]; c.retired {
			t.replace(c, nil)
		}
	}
	if !f.listed {
		t.replace(f.base, nil)
	}
	n, empties := t.usable()
	if empties && !f.c.AllowEmpty {
		return
	}
	if !f.listed && n == 0 && len(f.base.endpoints) > 0 && !f.c.AllowEmpty {
		return
	}
	t.commit(now)
	for _, name := range sortedNames(f.clusters) {
		if c := f.clusters[name]; c.retired {
			f.remove(now, c)
		}
	}
	if !f.listed {
		f.listed, f.full = true, true
	}
}
