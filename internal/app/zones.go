package app

import (
	"fmt"
	"time"

	"yardwharf"
	"yardwharf/internal/loop"
	"yardwharf/internal/membership"
	"yardwharf/internal/operator"
	"yardwharf/internal/peers"
	"yardwharf/internal/zones"
)

const zonesTurn = 100 * time.Millisecond

// fleetZones is the fleet's decisions on zones, as this process takes part in them.
type fleetZones struct {
	fleet *zones.Fleet
	timer loop.Timer
	seen  []yardwharf.ZoneSeen
	told  []zones.Seen
	ill   bool
	since map[yardwharf.WorkerID]time.Duration // when hosts last started, as listed
}

// startZones begins to decide on zones with the other dispatchers.
func (p *program) startZones(o *operator.Zones) error {
	s := &p.config.Settings
	fleet, err := zones.New(zones.Config{Me: s.Me, Dispatchers: s.Balancers, Zone: s.Zone, Zones: len(s.Zones),
		Ramp: s.WarmUp, Start: o.Start, Room: peers.Room, Seed: p.config.Seed})
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
	t := z.fleet.Turn(now, z.told)
	for _, peer := range t.Tell {
		p.peers.TellOne(peer, peers.Zones, t.Message)
	}
	for zone := range p.config.Settings.Zones {
		p.dispatcher.SetZonePart(zone, z.fleet.Part(now, zone))
	}
	for _, zone := range t.Look {
		p.dispatcher.Look(zone)
	}
	for _, c := range t.Changes {
		p.log.Warn().Str("zone", p.config.Settings.Zones[c.Zone]).Stringer("phase", c.Phase).Int("dark", c.Dark).Int("fine", c.Fine).Msg("zone changed")
	}
	if t.Ill != z.ill {
		z.ill = t.Ill
		p.log.Warn().Bool("ill", t.Ill).Msg("sees no zone")
	}
	p.loop.Set(&z.timer, now+zonesTurn)
}

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
