package app

import (
	"errors"
	"slices"

	"yardwharf"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/xdslink"
	"yardwharf/internal/decide/membership"
	"yardwharf/internal/decide/route"
)

const routeSeed = 0x7264735f72657475 // tells the draws of routes apart from the module's

// xdsSource is the inventory over xDS, as far as the dispatcher is concerned.
type xdsSource struct {
	p      *program
	link   *xdslink.Source
	up     bool // a stream stands
	owed   bool // the decisions have asked for the list
	broken bool // as logged
}

// watchXDS makes the operator's management servers the source of hosts. What there
// is serves on until their first list counts.
func (p *program) watchXDS() {
	c := p.operator.Inventory.XDS
	if p.config.Settings.AskWithin > 0 {
		// A dispatcher that has not asked for so long is taken as told.
		c.BackoffMost = min(c.BackoffMost, p.config.Settings.AskWithin/2)
	}
	command, err := p.options.helper()
	if err != nil { // it was there when the file was read
		p.log.Error().Err(err).Msg("xds helper lost")
		return
	}
	p.fleet.SwitchSource(p.loop.Now(), membership.Config{AllowEmpty: c.AllowEmpty, InitialFetch: c.InitialFetch, StaleHold: c.StaleHold,
		MaxHosts: c.MaxHosts})
	p.xds = &xdsSource{p: p, owed: true}
	p.xds.link = xdslink.Start(p.loop, command, c, p.xds)
	p.tell(yardwharf.ListDelta)
}

// switchSource moves the inventory to where the operator's file now says that it
// comes from.
func (p *program) switchSource() {
	if p.xds != nil {
		p.xds.link.Close()
		p.xds = nil
	}
	p.watcher.Close()
	if p.operator.Inventory != nil {
		p.watchXDS()
		return
	}
	p.fleet.SwitchSource(p.loop.Now(), membership.Config{})
	p.tell(yardwharf.ListDelta)
	p.watcher.Move(p.config.Discovery)
}

// Watch implements dispatch.Watcher.
func (p *program) Watch() {
	if p.xds == nil {
		p.watcher.Watch()
		return
	}
	x := p.xds
	x.owed = true
	if x.up {
		p.loop.Defer(loop.Func(x.pay))
	} else {
		x.link.Send(xdslink.ToHelper{Kick: true})
	}
}

// pay answers what the decisions have asked for: all that is known they have been
// told as it came.
func (x *xdsSource) pay() {
	if x.owed && x.up && x.p.xds == x {
		x.owed = false
		x.p.dispatcher.Members(yardwharf.ListDelta, nil)
	}
}

// Said implements xdslink.Handler.
func (x *xdsSource) Said(m *xdslink.FromHelper) {
	p := x.p
	switch {
	case m.Update != nil:
		err := p.fleet.ApplyUpdate(p.loop.Now(), m.Update)
		v := xdslink.Verdict{N: m.N, Again: errors.Is(err, membership.ErrUnknownBase)}
		if err != nil && !v.Again {
			v.Reason, v.Old = err.Error(), errors.Is(err, membership.ErrOutdated)
			if !v.Old {
				p.log.Warn().Err(err).Msg("xds update refused")
			}
		}
		p.tell(yardwharf.ListDelta)
		x.link.Send(xdslink.ToHelper{Verdict: &v})
	case m.Refused != "":
		p.log.Warn().Str("error", m.Refused).Msg("xds update refused")
	case m.Up != "":
		p.log.Info().Str("server", m.Up).Msg("xds stream stands")
		x.up, x.owed, x.broken = true, true, false
		x.pay()
	case m.Down != "":
		x.down(errors.New(m.Down))
	}
}

// Died implements xdslink.Handler.
func (x *xdsSource) Died(err error) {
	if err == nil {
		err = errors.New("the helper has ended")
	}
	x.down(err)
}

// down says that no stream stands. The list holds; the decisions ask again.
func (x *xdsSource) down(err error) {
	p := x.p
	if !x.broken {
		x.broken = true
		p.log.Warn().Err(err).Msg("xds stream lost")
	}
	if x.up {
		p.fleet.StreamEnded(p.loop.Now())
		p.tell(yardwharf.ListDelta)
	}
	if x.up || x.owed {
		x.up, x.owed = false, false
		p.dispatcher.Members(yardwharf.ListFailed, nil)
	}
}

// tick does what the fleet has to do at a time.
func (p *program) tick() {
	p.fleet.Tick(p.loop.Now())
	p.tell(yardwharf.ListDelta)
}

// setRoutes takes the routes of the operator's file.
func (p *program) setRoutes() {
	var rules []route.Rule
	for _, r := range p.operator.Routes {
		rule := route.Rule{Class: r.Class}
		for _, c := range r.Clusters {
			rule.Clusters = append(rule.Clusters, route.WeightedCluster{Cluster: c.Name, Weight: c.Weight})
		}
		rules = append(rules, rule)
	}
	p.routes.SetRules(rules)
	p.checkRoutes()
	if p.operator.Inventory != nil {
		p.dispatcher.SetRouter(p)
	} else {
		p.dispatcher.SetRouter(nil)
	}
}

// Route implements dispatch.Router.
func (p *program) Route(class int) (pool int, drop bool) {
	c := p.routes.Pick(class, p.rng.Float64)
	return c.Pool, c.Drop != ""
}

// checkRoutes logs it when routes name clusters that are not there, or no longer do.
func (p *program) checkRoutes() {
	missing := []string(nil)
	if p.fleet.Listed() {
		missing = p.routes.MissingClusters()
	}
	if slices.Equal(missing, p.missing) {
		return
	}
	if p.missing = missing; len(missing) > 0 {
		p.log.Warn().Strs("clusters", missing).Msg("routes name clusters that are not there")
	} else {
		p.log.Info().Msg("all clusters of the routes are there")
	}
}
