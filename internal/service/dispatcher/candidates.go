package dispatcher

import (
	"cmp"
	"slices"
	"time"

	"yardwharf/internal/service/distance"
)

const (
	distancePenalty      = 50 * time.Millisecond // per step of distance, added to the measured latency
	missedRenewalPenalty = time.Second           // for a store that has missed a lease renewal
)

// candidates returns the stores that are up and not leaving, whose disk is known, and which later
// readers will find in the list of stores, best first: ordered by distance and latency, with zones
// spread by spreadZones. The mutex is held.
func (d *Dispatcher) candidates() []*storeLink {
	return d.candidatesAmong(func(*storeLink) bool { return true })
}

// copyCandidates returns the candidates that accept further copies. Full stores still record
// ends. The mutex is held.
func (d *Dispatcher) copyCandidates() []*storeLink {
	return d.candidatesAmong(func(link *storeLink) bool { return !link.diskFull })
}

func (d *Dispatcher) candidatesAmong(allowed func(*storeLink) bool) []*storeLink {
	var links []*storeLink
	for _, link := range d.stores {
		if link.up && link.storeID != "" && !link.leaving && allowed(link) && !link.silent(d.now()) && d.knownToQuorum(link) {
			links = append(links, link)
		}
	}
	slices.SortFunc(links, func(a, b *storeLink) int {
		return cmp.Or(cmp.Compare(d.costOf(a), d.costOf(b)), cmp.Compare(a.node, b.node))
	})
	return spreadZones(links, d.requiredCopies(), d.distanceTo)
}

// setFull records whether a store is full. A full store accepts no further copies, but the
// copies that it holds still count and need no repair. The mutex is held.
func (d *Dispatcher) setFull(link *storeLink, full bool) {
	if full != link.diskFull {
		link.diskFull = full
		d.log.Info("store takes copies", "store", link.node, "takes", !full)
	}
}

// costOf returns the cost of a copy at a store, expressed as a duration. The mutex is held.
func (d *Dispatcher) costOf(link *storeLink) time.Duration {
	cost := link.latency + time.Duration(d.distanceTo(link))*distancePenalty
	if d.now()-link.lastReplyAt > 2*renewInterval {
		cost += missedRenewalPenalty
	}
	return cost
}

// distanceTo returns the distance from this dispatcher to a store.
func (d *Dispatcher) distanceTo(link *storeLink) distance.Distance {
	return distance.Map(d.settings.Zones).Between(d.settings.Zone, link.zone)
}

// spreadZones moves the best store outside the first one's zone to the second place, so that two or
// more copies are never all in one zone. Further copies stay in the first store's zone, as traffic
// between zones is expensive. The remaining stores are ordered by region, the own region first, and
// within a region each zone's first store precedes the second ones.
func spreadZones(links []*storeLink, copies int, distanceTo func(*storeLink) distance.Distance) []*storeLink {
	if len(links) == 0 {
		return links
	}
	bestZone := links[0].zone
	other := slices.IndexFunc(links, func(link *storeLink) bool { return link.zone != bestZone })
	if other < 0 {
		return links
	}
	spread := []*storeLink{links[0], links[other]}
	rest := slices.Delete(slices.Clone(links), other, other+1)[1:]
	for len(spread) < copies && len(rest) > 0 {
		next := max(0, slices.IndexFunc(rest, func(link *storeLink) bool { return link.zone == bestZone }))
		spread = append(spread, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	rest = firstOfEachZone(rest)
	slices.SortStableFunc(rest, func(a, b *storeLink) int { return cmp.Compare(regionRank(distanceTo(a)), regionRank(distanceTo(b))) })
	return append(spread, rest...)
}

// regionRank returns 0 for a distance within the own region, otherwise 1.
func regionRank(d distance.Distance) int {
	if d == distance.OtherRegion {
		return 1
	}
	return 0
}

// firstOfEachZone moves the first store of each zone to the front, and otherwise keeps the order.
func firstOfEachZone(links []*storeLink) []*storeLink {
	seen := map[string]bool{}
	var first, rest []*storeLink
	for _, link := range links {
		if seen[link.zone] {
			rest = append(rest, link)
			continue
		}
		seen[link.zone] = true
		first = append(first, link)
	}
	return append(first, rest...)
}
