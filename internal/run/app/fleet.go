package app

import (
	"time"

	"yardwharf"
	"yardwharf/internal/carry/inventory"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
	"yardwharf/internal/run/handover"
)

const (
	movedWithin = 4 * time.Second // after SIGHUP what discovery has to tell counts as told
	agentWait   = time.Second     // an agent that has not answered by then is silent, as discovery is down
)

// hearAgent calls the agent on this machine that has the list. What it has counts as told
// from the first moment, so that clients wait for its answer: guards against messages that
// go to hosts of an old list which it says drain.
func (p *program) hearAgent() {
	p.unheard = true
	p.first.Task = loop.Func(func() { p.heard("no answer") })
	p.loop.Set(&p.first, p.loop.Now()+agentWait)
	p.hold()
	p.settle()
	p.watcher.Watch()
}

// heard ends the wait for the agent's first answer.
func (p *program) heard(why string) {
	if !p.unheard {
		return
	}
	if why != "" {
		p.log.Warn().Str("reason", why).Msg("starts with the list last known")
	}
	p.unheard = false
	p.loop.Clear(&p.first)
	p.hold()
	p.settle()
}

// hold leaves new clients to other processes, or to wait for this one.
func (p *program) hold() {
	p.front.Hold(p.unheard || p.operations.phase == handover.Starting || p.leaving && p.succeeded)
}

// known takes the hosts that the configuration knows from before.
func (p *program) known(list inventory.List) {
	hosts, gone := list.Split()
	p.fleet.ApplyRoster(p.loop.Now(), true, hosts, gone)
	p.tell(yardwharf.ListCached)
}

// Listed implements inventory.Listener.
func (p *program) Listed(list inventory.List) {
	p.told = true
	hosts, gone := list.Split()
	p.fleet.ApplyRoster(p.loop.Now(), list.Snapshot, hosts, gone)
	p.tell(yardwharf.ListDelta)
	p.heard("")
}

// Silent implements inventory.Listener.
func (p *program) Silent(left time.Duration) { p.dispatcher.Silent(left) }

// Failed implements inventory.Listener.
func (p *program) Failed() { p.dispatcher.Members(yardwharf.ListFailed, nil) }

// tell tells of what has changed in the fleet, as a list of this kind or, where it
// is whole, as a full one. The routes learn of clusters and the south side of hosts
// before the decisions do, which may send to them at once.
func (p *program) tell(kind yardwharf.ListKind) {
	change, any := p.fleet.TakeChanges(p.loop.Now())
	if kind == yardwharf.ListDelta && change.Full {
		kind = yardwharf.ListFull
	}
	if kind != yardwharf.ListCached { // what was known before is no change
		p.report(&change)
	}
	p.routes.SetAnyHostFallback(change.ServesUnlisted)
	p.routes.Update(change.Views)
	p.pool.Update(change.Hosts)
	if p.zones != nil {
		p.zones.restarted(change.Hosts)
	}
	p.settle()
	if p.jobs != nil {
		p.jobs.SetOpen(p.fleet.UsableCount() > 0)
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
			state := h.Reason
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
		line.Str("cluster", n.Cluster).Str("reason", n.Reason).Msg(n.Message)
	}
}
