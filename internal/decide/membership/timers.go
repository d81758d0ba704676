package membership

import "time"

// Next returns the time at which Tick must be called next; ok is false if nothing is pending.
func (f *Fleet) Next() (at time.Duration, ok bool) {
	soonest := func(t time.Duration) {
		if t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, c := range f.timed {
		soonest(c.warmDeadline)
		soonest(c.staleAt)
	}
	for _, g := range f.deferred {
		soonest(g.deferred.until)
	}
	return at, ok
}

// Tick processes expired timers: it stops waiting for clusters without endpoints,
// marks endpoints as stale and accepts deferred updates.
func (f *Fleet) Tick(now time.Duration) {
	for _, name := range sortedNames(f.timed) {
		c := f.timed[name]
		if c.warmDeadline > 0 && now >= c.warmDeadline {
			c.warmDeadline = 0
			f.addNote(true, "cluster endpoints overdue", c.name, "no endpoints received within %v", f.config.InitialFetch)
		}
		if c.staleAt > 0 && now >= c.staleAt {
			c.staleAt, c.stale = 0, true
			f.addNote(true, "endpoints stale", c.name, "no update for %v; its hosts get no new work", c.assignment.StaleAfter)
			f.refreshEndpoints(c, now, func(*Endpoint) bool { return true })
			f.updateDegraded(now)
		}
		if c.warmDeadline == 0 && c.staleAt == 0 {
			delete(f.timed, name)
		}
	}
	for _, key := range sortedNames(f.deferred) {
		if g := f.deferred[key]; g != nil && now >= g.deferred.until {
			f.acceptDeferred(now, g)
		}
	}
	f.dropReplaced(now)
}

// acceptDeferred applies a deferred update after its hold time has passed without a
// newer one. This handles a source that restarts its version count or rolls back on
// purpose.
func (f *Fleet) acceptDeferred(now time.Duration, g *versionGuard) {
	u := g.deferred.update
	f.release(g, now)
	g.reset()
	apply := f.applyAssignments
	if u.OfClusters {
		apply = f.applyClusters
	}
	name, version := u.resource()
	if err := apply(now, &u, true); err != nil {
		f.addNote(true, "update refused", name, "%v", err)
		return
	}
	f.addNote(true, "deferred update accepted", name, "version %s was not superseded within %v", printable(version), f.config.StaleHold)
	f.accepted = append(f.accepted, Mark{OfClusters: u.OfClusters, Name: name, Version: version})
}

// resource returns the name and version of the resource in a deferred update.
func (u *Update) resource() (name, version string) {
	switch {
	case u.Whole:
		return "", u.Version
	case u.OfClusters:
		return u.Clusters[0].Name, u.Clusters[0].Version
	}
	return u.Assignments[0].Name, u.Assignments[0].Version
}

// StreamEnded handles the end of the source's stream. Deferred updates are discarded,
// because the next stream sends the current state; everything else stays in force.
func (f *Fleet) StreamEnded(now time.Duration) {
	for _, key := range sortedNames(f.deferred) {
		f.release(f.deferred[key], now)
	}
}
