package yardwharf

import "time"

// This file connects the fleet's decisions on zones with this dispatcher: it hands out what was
// observed in each zone, and takes the fraction of draws that may go to a zone.

// ZoneCounts counts how many attempts and probes in a zone ended in silence, and how many did not.
type ZoneCounts struct{ Silent, Heard int }

// TakeZoneCounts returns what was observed in each of the settings' zones since the last call.
func (b *Balancer) TakeZoneCounts(into []ZoneCounts) []ZoneCounts {
	into = append(into[:0], b.zoneCounts...)
	clear(b.zoneCounts)
	return into
}

// SetZoneFraction sets the fraction of the draws of a zone's workers that may be used; 1 is all.
func (b *Balancer) SetZoneFraction(zone int, fraction float64) {
	if zone >= 0 && zone < len(b.zoneFraction) {
		b.zoneFraction[zone] = fraction
	}
}

// ProbeZone probes a few workers of a zone at once, however recently it was probed.
func (b *Balancer) ProbeZone(now time.Duration, zone int) {
	b.now = now
	defer b.arm()
	delete(b.lastZoneProbe, zone)
	b.probeZoneWorkers(zone)
}

// CrossesZone reports whether a worker is in another zone than this dispatcher.
func (b *Balancer) CrossesZone(id WorkerID) bool {
	w := b.byID[id]
	return w != nil && w.zone != b.s.Zone
}

// zoneEligible reduces the draws in a zone to the fraction that is set.
func (b *Balancer) zoneEligible(zone int) bool {
	if zone < 0 || zone >= len(b.zoneFraction) {
		return true
	}
	fraction := b.zoneFraction[zone]
	return fraction >= 1 || fraction > 0 && b.rng.Float64() < fraction
}

// countZoneEnd counts how an attempt or probe ended in a zone.
func (b *Balancer) countZoneEnd(zone int, silent bool) {
	switch {
	case zone < 0 || zone >= len(b.zoneCounts):
	case silent:
		b.zoneCounts[zone].Silent++
	default:
		b.zoneCounts[zone].Heard++
	}
}
