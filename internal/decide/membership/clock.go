package membership

import "time"

// Next is when Tick has something to do; ok is false where nothing is due ever.
func (f *Fleet) Next() (at time.Duration, ok bool) {
	soonest := func(t time.Duration) {
		if t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, c := range f.waiting {
		soonest(c.warmBy)
		soonest(c.staleAt)
	}
	for _, g := range f.asides {
		soonest(g.aside.until)
	}
	return at, ok
}

// Tick does what is due: clusters are waited for no longer, endpoints go stale,
// updates put aside count after all.
func (f *Fleet) Tick(now time.Duration) {
	for _, name := range sortedNames(f.waiting) {
		c := f.waiting[name]
		if c.warmBy > 0 && now >= c.warmBy {
			c.warmBy = 0
			f.note(true, "cluster not delivered", c.name, "its endpoints have not come in %v", f.c.InitialFetch)
		}
		if c.staleAt > 0 && now >= c.staleAt {
			c.staleAt, c.stale = 0, true
			f.note(true, "endpoints stale", c.name, "no update for %v; its hosts get no new work", c.from.StaleAfter)
			f.again(c, now, func(*Endpoint) bool { return true })
			f.settleDegraded(now)
		}
		if c.warmBy == 0 && c.staleAt == 0 {
			delete(f.waiting, name)
		}
	}
	for _, key := range sortedNames(f.asides) {
		if g := f.asides[key]; g != nil && now >= g.aside.until {
			f.insist(now, g)
		}
	}
	f.settle(now)
}

// insist takes an update that was put aside: the source has had time to say
// something newer and has not. Guards against a source that counts its versions
// anew after a restart, or goes back on purpose.
func (f *Fleet) insist(now time.Duration, g *guard) {
	u := g.aside.update
	f.release(g, now)
	g.reset()
	take := f.takeAssignments
	if u.OfClusters {
		take = f.takeClusters
	}
	name, version := u.name()
	if err := take(now, &u, true); err != nil {
		f.note(true, "update refused", name, "%v", err)
		return
	}
	f.note(true, "update counts after all", name, "version %s has stood for %v", printable(version), f.c.StaleHold)
	f.accepted = append(f.accepted, Mark{OfClusters: u.OfClusters, Name: name, Version: version})
}

// name is the resource of an update that was put aside, and its version.
func (u *Update) name() (name, version string) {
	switch {
	case u.Whole:
		return "", u.Version
	case u.OfClusters:
		return u.Clusters[0].Name, u.Clusters[0].Version
	}
	return u.Assignments[0].Name, u.Assignments[0].Version
}

// Lost says that the stream that delivered has ended. Updates put aside go with
// it: the next stream will say what counts. All else holds.
func (f *Fleet) Lost(now time.Duration) {
	for _, key := range sortedNames(f.asides) {
		f.release(f.asides[key], now)
	}
}
