package app

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"yardwharf"
	"yardwharf/internal/carry/loop"
	"yardwharf/internal/carry/peers"
	"yardwharf/internal/decide/membership"
	"yardwharf/internal/decide/zones"
	"yardwharf/internal/doors/admin"
	"yardwharf/internal/run/handover"
	"yardwharf/internal/run/operator"
)

const zonesTurn = 100 * time.Millisecond

// fleetZones is the fleet's decisions on zones, as this process takes part in them.
type fleetZones struct {
	fleet *zones.Coordinator
	timer loop.Timer
	seen  []yardwharf.ZoneCounts
	told  []zones.Seen
	ill   bool
	since map[yardwharf.WorkerID]time.Duration // when hosts last started, as listed
}

// startZones begins to decide on zones with the other dispatchers.
func (p *program) startZones(o *operator.Zones) error {
	s := &p.config.Settings
	fleet, err := zones.New(zones.Config{Me: s.Me, Dispatchers: s.Balancers, Zone: s.Zone, Zones: len(s.Zones),
		Ramp: s.WarmUp, InitialShare: o.Start, MaxMessageBytes: peers.Room, Seed: p.config.Seed})
	if err != nil {
		return fmt.Errorf("operator's file: %w", err)
	}
	p.zones = &fleetZones{fleet: fleet, since: map[yardwharf.WorkerID]time.Duration{}}
	p.zones.timer.Task = loop.Func(p.turnZones)
	p.loop.Set(&p.zones.timer, p.loop.Now()+zonesTurn)
	return nil
}

// turnZones tells the decisions what was seen and does what they ask for.
func (p *program) turnZones() {
	z, now := p.zones, p.loop.Now()
	z.seen = p.dispatcher.TakeZoneSeen(z.seen)
	z.told = z.told[:0]
	for _, s := range z.seen {
		z.told = append(z.told, zones.Seen(s))
	}
	t := z.fleet.Tick(now, z.told)
	p.keepOrders()
	for _, peer := range t.Peers {
		p.peers.TellOne(peer, peers.Zones, t.Message)
	}
	for zone := range p.config.Settings.Zones {
		p.dispatcher.SetZonePart(zone, z.fleet.Share(now, zone))
	}
	for _, zone := range t.Probe {
		p.dispatcher.Look(zone)
	}
	for _, c := range t.Changes {
		p.log.Warn().Str("zone", p.config.Settings.Zones[c.Zone]).Stringer("phase", c.Phase).Int("dark", c.Unreachable).Int("fine", c.Reachable).Msg("zone changed")
	}
	if t.Isolated != z.ill {
		z.ill = t.Isolated
		p.log.Warn().Bool("ill", t.Isolated).Msg("sees no zone")
	}
	p.loop.Set(&z.timer, now+zonesTurn)
}

// obey has the decisions do what was asked of zones by hand, here or in the other process.
func (p *program) obey(asked map[string]handover.Zone) {
	for name, o := range asked {
		if zone := slices.Index(p.config.Settings.Zones, name); zone >= 0 {
			p.zones.fleet.ApplyOrder(zone, zones.Order(o))
		}
	}
}

// keepOrders writes down what was asked of zones elsewhere, so that it outlives this process.
func (p *program) keepOrders() {
	kept := p.operations.state.Zones
	news := map[string]handover.Zone{}
	for zone, name := range p.config.Settings.Zones {
		if o := p.zones.fleet.Order(zone); o.Supersedes(zones.Order(kept[name])) {
			news[name] = handover.Zone(o)
			p.log.Warn().Str("zone", name).Bool("away", o.Away).Uint16("order", o.Gen).Msg("zone by hand")
		}
	}
	if len(news) == 0 || p.loop.Now() < p.operations.rest {
		return
	}
	wish := func(s *handover.State) { maps.Copy(s.Zones, news) }
	if p.operations.store == nil {
		wish(&p.operations.state)
		return
	}
	err := p.operations.store.Change(wish)
	if p.write(err); err == nil {
		p.operations.state = *p.operations.store.State()
	}
}

// Zone implements admin.Calls.
func (c calls) Zone(name string, away bool) error {
	if c.p.zones == nil {
		return errNoZones
	}
	zone := slices.Index(c.p.config.Settings.Zones, name)
	if zone < 0 {
		return fmt.Errorf("%w: zone %q; there are %s", admin.ErrNot, name, strings.Join(c.p.config.Settings.Zones, ", "))
	}
	o, err := c.p.zones.fleet.NewOrder(c.p.loop.Now(), zone, away)
	if err != nil {
		return fmt.Errorf("%w: %w", admin.ErrConflict, err)
	}
	if err := c.p.change(func(s *handover.State) { s.Zones[name] = handover.Zone(o) }); err != nil {
		return err
	}
	c.p.log.Warn().Str("zone", name).Bool("away", away).Uint16("order", o.Gen).Msg("zone by hand")
	return nil
}

// Zones implements admin.Calls.
func (c calls) Zones() (string, error) {
	if c.p.zones == nil {
		return "", errNoZones
	}
	var list []operator.ZoneStatus
	for zone, name := range c.p.config.Settings.Zones {
		s := c.p.zones.fleet.Status(c.p.loop.Now(), zone)
		list = append(list, operator.ZoneStatus{Zone: name, Phase: s.Phase.String(), Part: s.Share, ByHand: s.Order.Away, Step: s.Gen, Falls: s.Failures, Dark: s.Unreachable, Fine: s.Reachable})
	}
	text, err := json.Marshal(list)
	return string(text), err
}

var errNoZones = fmt.Errorf("%w: zones() is not in the operator's file", admin.ErrNot)

// restarted tells the decisions which zones have hosts that have started anew.
func (z *fleetZones) restarted(hosts []membership.Host) {
	for i := range hosts {
		h := &hosts[i]
		if since, known := z.since[h.ID]; known && since != h.Started || !known && h.Started > 0 {
			z.fleet.Restarted(h.Zone)
		}
		z.since[h.ID] = h.Started
	}
}
