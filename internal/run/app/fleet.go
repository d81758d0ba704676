package app

import (
	"yardwharf"
	"yardwharf/internal/carry/inventory"
	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
)

// known takes the hosts that the configuration knows from before.
func (p *program) known(list inventory.List) {
	hosts, gone := list.Split()
	p.fleet.List(p.loop.Now(), true, hosts, gone)
	p.tell(yardwharf.ListCached)
}

// Listed implements inventory.Listener.
func (p *program) Listed(list inventory.List) {
	p.told = true
	hosts, gone := list.Split()
	p.fleet.List(p.loop.Now(), list.Snapshot, hosts, gone)
	p.tell(yardwharf.ListDelta)
}

// Failed implements inventory.Listener.
func (p *program) Failed() { p.dispatcher.Members(yardwharf.ListFailed, nil) }

// tell tells of what has changed in the fleet, as a list of this kind or, where it
// is whole, as a full one. The routes learn of clusters and the south side of hosts
// before the decisions do, which may send to them at once.
func (p *program) tell(kind yardwharf.ListKind) {
	change, any := p.fleet.Take(p.loop.Now())
	if kind == yardwharf.ListDelta && change.Full {
		kind = yardwharf.ListFull
	}
	if kind != yardwharf.ListCached { // what was known before is no change
		p.report(&change)
	}
	p.routes.SetOpen(change.Open)
	p.routes.Update(change.Views)
	p.pool.Update(change.Hosts)
	if p.zones != nil {
		p.zones.restarted(change.Hosts)
	}
	p.settle()
	if p.jobs != nil {
		p.jobs.SetOpen(p.fleet.Usable() > 0)
	}
	if any || p.xds == nil { // the platform's answers are told, whatever is in them
		members := make([]yardwharf.Member, len(change.Hosts))
		for i := range change.Hosts {
			members[i] = change.Hosts[i].Member
		}
		p.dispatcher.Members(kind, members)
	}
	p.pool.Forget(change.Forgotten)
	for _, m := range change.Accepted {
		if p.xds != nil {
			p.xds.link.Send(xdslink.ToHelper{Accepted: &m})
		}
	}
	p.checkRoutes()
	if at, ok := p.fleet.Next(); ok {
		p.loop.Set(&p.due, at)
	} else {
		p.loop.Clear(&p.due)
	}
}

// report logs what has changed. The list of before the start is no change.
func (p *program) report(change *membership.Change) {
	for i := range change.Hosts {
		if h := &change.Hosts[i]; h.Changed {
			state := h.Why
			if h.State == yardwharf.Ready {
				state = "serving"
			}
			p.log.Info().Str("host", h.Name).Str("state", state).Msg("host changed")
		}
	}
	for _, n := range change.Notes {
		line := p.log.Info()
		if n.Warn {
			line = p.log.Warn()
		}
		line.Str("cluster", n.Cluster).Str("reason", n.Why).Msg(n.What)
	}
}
