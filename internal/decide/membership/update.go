package membership

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
)

// ErrOutdated means that an update looks older than the accepted one and was deferred.
var ErrOutdated = errors.New("older than what is held")

// ErrUnknownBase means that an update is a delta from endpoints other than the accepted
// ones; the source must send the complete list.
var ErrUnknownBase = errors.New("delta from endpoints other than the accepted ones")

// ApplyUpdate applies an update of clusters or endpoints completely or not at all. The
// error is the reason for refusal; with ErrOutdated the update is deferred and may be
// accepted later, see Change.Accepted. Repeating an accepted resource is allowed.
func (f *Fleet) ApplyUpdate(now time.Duration, u *Update) error {
	if u.OfClusters {
		return f.applyClusters(now, u, false)
	}
	return f.applyAssignments(now, u, false)
}

func (f *Fleet) guard(key string) *versionGuard {
	g := f.guards[key]
	if g == nil {
		g = &versionGuard{key: key}
		f.guards[key] = g
	}
	return g
}

// Keys of the guards. A complete list of clusters has one version for all of them.
const allClustersKey = "clusters"

func clusterKey(name string) string   { return "cluster " + name }
func endpointsKey(name string) string { return "endpoints " + name }

// checksum covers a complete list of clusters and does not depend on their order.
func (u *Update) checksum() (s uint64) {
	for i := range u.Clusters {
		s += u.Clusters[i].Sum
	}
	return s
}

// deferUpdate keeps an update that looks old. Hosts that it declares draining or unfit
// get no new work from now on: in doubt, the stricter state applies.
func (f *Fleet) deferUpdate(now time.Duration, g *versionGuard, u Update, name, version string) {
	f.release(g, now)
	g.deferred = &deferredUpdate{update: u, until: now + f.config.StaleHold}
	f.deferred[g.key] = g
	lists := u.Assignments
	for i := range u.Clusters {
		if u.Clusters[i].Inline != nil {
			lists = append(lists, *u.Clusters[i].Inline)
		}
	}
	for i := range lists {
		for j := range lists[i].Endpoints {
			e := &lists[i].Endpoints[j]
			if n := f.hosts.byName[e.Name]; n != nil && len(n.entries) > 0 && !e.Health.takesWork() {
				g.deferred.excluded = append(g.deferred.excluded, n)
				f.restrict(n, 1, now)
			}
		}
	}
	f.updateDegraded(now)
	f.addNote(true, "update deferred", name, "version %s looks older than the accepted %s; it is accepted if nothing newer arrives within %v",
		printable(version), printable(g.version), f.config.StaleHold)
}

func printable(version string) string {
	if version == "" {
		return "(none)"
	}
	return fmt.Sprintf("%.60q", version)
}

// release discards a guard's deferred update and its restrictions on hosts.
func (f *Fleet) release(g *versionGuard, now time.Duration) {
	if g.deferred == nil {
		return
	}
	for _, n := range g.deferred.excluded {
		f.restrict(n, -1, now)
	}
	g.deferred = nil
	delete(f.deferred, g.key)
	f.updateDegraded(now)
}

func (f *Fleet) restrict(n *host, sign int, now time.Duration) {
	addToLevels(n, -1)
	n.exclusions += sign
	f.refresh(n, now)
}

// applyClusters applies an update of clusters. A cluster that is new or has another
// source of endpoints is warming until these arrive; its old endpoints keep serving.
func (f *Fleet) applyClusters(now time.Duration, u *Update, force bool) error {
	if !force && f.config.StaleHold > 0 {
		if u.Whole {
			if g := f.guard(allClustersKey); g.isOld(u.Version, u.checksum()) {
				f.deferUpdate(now, g, *u, "", u.Version)
				return fmt.Errorf("clusters, version %s: %w", printable(u.Version), ErrOutdated)
			}
		} else if updated, err := f.deferOldClusters(now, u); err != nil {
			if len(updated.Clusters)+len(updated.Removed) > 0 {
				if applyErr := f.applyClusters(now, updated, true); applyErr != nil {
					return applyErr
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
	var removed []*cluster
	for _, name := range sortedNames(f.clusters) {
		c := f.clusters[name]
		if next[name] == nil && !c.retired && (u.Whole || slices.Contains(u.Removed, name)) {
			removed = append(removed, c)
			t.replace(c, nil)
		}
	}
	var updated []*cluster // the clusters of the update, new or existing
	warming := false       // some cluster that remains waits for its endpoints
	for _, c := range f.timed {
		warming = warming || c.warmDeadline > 0 && !slices.Contains(removed, c)
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
		updated = append(updated, c)
	}
	if n := t.size(); n > f.config.MaxHosts {
		return fmt.Errorf("clusters: %d hosts, more than the %d that are taken", n, f.config.MaxHosts)
	}
	_, emptied := t.usable()
	if emptied && !f.config.AllowEmpty {
		if !warming {
			return errors.New("clusters: no host would be left that may be sent to, and the operator's file does not allow it")
		}
		// The endpoints of the replacement are still to come.
		for _, c := range removed {
			t.replace(c, c.endpoints)
			f.setRetired(c, true)
			f.addNote(true, "last hosts kept", c.name, "the cluster was removed before its replacement had endpoints")
		}
		removed = nil
	}
	for _, c := range updated {
		f.applySpec(now, c, next[c.name])
	}
	t.commit(now)
	for _, c := range removed {
		f.remove(now, c)
	}
	f.recordVersions(now, u)
	f.clustersReceived = true
	f.dropReplaced(now)
	return nil
}

// deferOldClusters defers the clusters of an update that look old and returns the
// rest.
func (f *Fleet) deferOldClusters(now time.Duration, u *Update) (fresh *Update, err error) {
	fresh = &Update{OfClusters: true, Removed: u.Removed}
	for _, c := range u.Clusters {
		if g := f.guard(clusterKey(c.Name)); g.isOld(c.Version, c.Sum) {
			f.deferUpdate(now, g, Update{OfClusters: true, Clusters: []Cluster{c}}, c.Name, c.Version)
			err = errors.Join(err, fmt.Errorf("cluster %q, version %s: %w", c.Name, printable(c.Version), ErrOutdated))
		} else {
			fresh.Clusters = append(fresh.Clusters, c)
		}
	}
	return fresh, err
}

// recordVersions updates the guards after an update of clusters was accepted.
func (f *Fleet) recordVersions(now time.Duration, u *Update) {
	if u.Whole {
		g := f.guard(allClustersKey)
		f.release(g, now)
		g.accept(u.Version, u.checksum())
		return
	}
	for i := range u.Clusters {
		g := f.guard(clusterKey(u.Clusters[i].Name))
		f.release(g, now)
		g.accept(u.Clusters[i].Version, u.Clusters[i].Sum)
	}
	for _, name := range u.Removed {
		g := f.guard(clusterKey(name))
		f.release(g, now)
		g.remove()
	}
}

// endpointsOf returns a cluster's endpoints, if they have arrived.
func (f *Fleet) endpointsOf(spec *Cluster) (*Assignment, bool) {
	if spec.Inline != nil {
		return spec.Inline, true
	}
	a := f.assignments[spec.Source]
	return a, a != nil
}

// applySpec sets up a cluster according to its resource.
func (f *Fleet) applySpec(now time.Duration, c *cluster, spec *Cluster) {
	f.setRetired(c, false)
	a, there := f.endpointsOf(spec)
	if !there && (f.clusters[c.name] == nil || c.spec.Source != spec.Source || c.spec.Inline != nil) {
		c.warmDeadline = now + f.config.InitialFetch
		f.timed[c.name] = c
	}
	if c.spec.Source != spec.Source || f.clusters[c.name] == nil {
		f.detachSource(now, c)
		if spec.Source != "" {
			f.bySource[spec.Source] = append(f.bySource[spec.Source], c)
		}
	}
	c.spec = *spec
	f.clusters[c.name] = c
	f.markDirty(c)
	if there {
		f.endpointsArrived(now, c, a)
	}
}

// endpointsArrived records a cluster's new endpoints and resets its timers.
func (f *Fleet) endpointsArrived(now time.Duration, c *cluster, a *Assignment) {
	c.assignment, c.warmDeadline, c.staleAt = a, 0, 0
	if a.StaleAfter > 0 {
		c.staleAt = now + a.StaleAfter
		f.timed[c.name] = c
	} else {
		delete(f.timed, c.name)
	}
	if c.stale {
		c.stale = false
		f.refreshEndpoints(c, now, func(*Endpoint) bool { return true })
	}
	f.markDirty(c)
}

// remove drops a cluster that has no endpoints left.
func (f *Fleet) remove(now time.Duration, c *cluster) {
	f.setRetired(c, false)
	delete(f.clusters, c.name)
	delete(f.timed, c.name)
	f.detachSource(now, c)
	f.markDirty(c)
}

// detachSource disconnects a cluster from its EDS resource. A resource without
// clusters is forgotten: its endpoints would be outdated when it is used again.
func (f *Fleet) detachSource(now time.Duration, c *cluster) {
	source := c.spec.Source
	if source == "" {
		return
	}
	left := slices.DeleteFunc(f.bySource[source], func(o *cluster) bool { return o == c })
	if f.bySource[source] = left; len(left) > 0 {
		return
	}
	delete(f.bySource, source)
	delete(f.assignments, source)
	if g := f.guards[endpointsKey(source)]; g != nil {
		f.release(g, now)
	}
}

// setRetired marks a cluster as removed but serving until other hosts can.
func (f *Fleet) setRetired(c *cluster, retired bool) {
	if c.retired != retired {
		if c.retired = retired; retired {
			f.retiredCount++
		} else {
			f.retiredCount--
		}
	}
}

// applyAssignments applies an update of endpoints. A removed resource counts as one
// without endpoints; one that no cluster refers to is ignored.
func (f *Fleet) applyAssignments(now time.Duration, u *Update, force bool) error {
	var deferredErr error
	var accepted []*Assignment
	t := f.begin()
	for i := range u.Assignments {
		a := &u.Assignments[i]
		if a.Base != nil {
			if err := f.expandDelta(a); err != nil {
				return err
			}
		}
		users := f.users(a.Name)
		if len(users) == 0 {
			f.addNote(false, "endpoints ignored", a.Name, "no cluster refers to them")
			continue
		}
		if g := f.guard(endpointsKey(a.Name)); !force && f.config.StaleHold > 0 && g.isOld(a.Version, a.Sum) {
			f.deferUpdate(now, g, Update{Assignments: []Assignment{*a}}, a.Name, a.Version)
			deferredErr = errors.Join(deferredErr, fmt.Errorf("endpoints of %q, version %s: %w", a.Name, printable(a.Version), ErrOutdated))
			continue
		}
		accepted = append(accepted, a)
		for _, c := range users {
			t.replace(c, a.Endpoints)
		}
	}
	var removed []string
	for _, name := range u.Removed {
		if users := f.users(name); len(users) > 0 && f.assignments[name] != nil {
			removed = append(removed, name)
			for _, c := range users {
				t.replace(c, nil)
			}
		}
	}
	if n := t.size(); n > f.config.MaxHosts {
		return fmt.Errorf("endpoints: %d hosts, more than the %d that are taken", n, f.config.MaxHosts)
	}
	if _, emptied := t.usable(); emptied && !f.config.AllowEmpty {
		return fmt.Errorf("endpoints of %s: no host would be left that may be sent to, and the operator's file does not allow it",
			strings.Join(append(quotedNames(accepted), removed...), ", "))
	}
	for _, a := range accepted {
		f.assignments[a.Name] = a
		g := f.guard(endpointsKey(a.Name))
		f.release(g, now)
		g.accept(a.Version, a.Sum)
	}
	t.commit(now)
	for _, a := range accepted {
		for _, c := range f.users(a.Name) {
			f.endpointsArrived(now, c, a)
		}
	}
	for _, name := range removed {
		g := f.guard(endpointsKey(name))
		f.release(g, now)
		g.remove()
		f.assignments[name] = &Assignment{Name: name}
	}
	f.dropReplaced(now)
	return deferredErr
}

// expandDelta turns a delta into the complete list of endpoints.
func (f *Fleet) expandDelta(a *Assignment) error {
	base := f.assignments[a.Name]
	if base == nil || base.Version != a.Base.Version || base.Sum != a.Base.Sum {
		return fmt.Errorf("endpoints of %q: %w", a.Name, ErrUnknownBase)
	}
	whole := make([]Endpoint, 0, len(base.Endpoints)+len(a.Endpoints))
	changed, gone := a.Endpoints, a.Removed
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
	a.Endpoints, a.Base, a.Removed = append(whole, changed...), nil, nil
	return nil
}

// DeltaFrom returns an assignment as a delta from base, or unchanged if a delta would not
// be much shorter. Both must be complete. expandDelta is the inverse.
func (a *Assignment) DeltaFrom(base *Assignment) Assignment {
	out := *a
	out.Base, out.Endpoints = &Mark{Version: base.Version, Sum: base.Sum}, nil
	have, next := base.Endpoints, a.Endpoints
	for len(have) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || len(have) > 0 && have[0].Name < next[0].Name:
			out.Removed, have = append(out.Removed, have[0].Name), have[1:]
		case len(have) == 0 || next[0].Name < have[0].Name:
			out.Endpoints, next = append(out.Endpoints, next[0]), next[1:]
		default:
			if have[0] != next[0] {
				out.Endpoints = append(out.Endpoints, next[0])
			}
			have, next = have[1:], next[1:]
		}
		if len(out.Removed)+len(out.Endpoints) > len(a.Endpoints)/2 {
			return *a
		}
	}
	return out
}

func quotedNames(list []*Assignment) (names []string) {
	for _, a := range list {
		names = append(names, fmt.Sprintf("%q", a.Name))
	}
	return names
}

// users returns the clusters whose endpoints come from an EDS resource.
func (f *Fleet) users(source string) []*cluster {
	return f.bySource[source]
}

// warming reports whether any cluster waits for its endpoints.
func (f *Fleet) warming() bool {
	for _, c := range f.timed {
		if c.warmDeadline > 0 {
			return true
		}
	}
	return false
}

// dropReplaced drops what only served until others could: the hosts from before the
// source's first list, and clusters removed before their replacements had endpoints.
func (f *Fleet) dropReplaced(now time.Duration) {
	if f.listed && f.retiredCount == 0 || !f.listed && (!f.clustersReceived || f.warming()) {
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
	n, emptied := t.usable()
	if emptied && !f.config.AllowEmpty {
		return
	}
	if !f.listed && n == 0 && len(f.base.endpoints) > 0 && !f.config.AllowEmpty {
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
