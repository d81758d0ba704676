package yardwharf

import "time"

// This file is where a fleet's decisions on zones meet this dispatcher's: what was seen of
// each zone goes out, and which part of the draws may go there comes in.

// ZoneSeen is how many ends of attempts and probes in a zone were silent, and how many not.
type ZoneSeen struct{ Silent, Heard int }

// TakeZoneSeen returns what was seen of each of the settings' zones since the last call.
func (b *Balancer) TakeZoneSeen(into []ZoneSeen) []ZoneSeen {
	into = append(into[:0], b.zoneSeen...)
	clear(b.zoneSeen)
	return into
}

// SetZonePart says which part of the draws that would go to a zone may; 1 is all.
func (b *Balancer) SetZonePart(zone int, part float64) {
	if zone >= 0 && zone < len(b.zonePart) {
		b.zonePart[zone] = part
	}
}

// Look probes a few workers of a zone, whether it was left or not.
func (b *Balancer) Look(now time.Duration, zone int) {
	b.now = now
	defer b.arm()
	delete(b.looked, zone)
	b.lookAround(zone)
}

// Crosses says whether a worker is in another zone than this dispatcher.
func (b *Balancer) Crosses(id WorkerID) bool {
	w := b.byID[id]
	return w != nil && w.zone != b.s.Zone
}

// zoneFit thins the draws in a zone to the part that is set.
func (b *Balancer) zoneFit(zone int) bool {
	if zone < 0 || zone >= len(b.zonePart) {
		return true
	}
	part := b.zonePart[zone]
	return part >= 1 || part > 0 && b.rng.Float64() < part
}

// sawZone books how something ended in a zone.
func (b *Balancer) sawZone(zone int, silent bool) {
	switch {
	case zone < 0 || zone >= len(b.zoneSeen):
	case silent:
		b.zoneSeen[zone].Silent++
	default:
		b.zoneSeen[zone].Heard++
	}
}
