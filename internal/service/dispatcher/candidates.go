package dispatcher

import "slices"

// candidates returns the stores that are up and stay, whose disk is known, and of which later readers
// hear, the best first: one of the own zone, one of another, then as spreadZones says, each time those
// that answer soonest.
func (d *Dispatcher) candidates() []*storeLink {
	var links []*storeLink
	for _, link := range d.stores {
		if link.up && link.storeID != "" && !link.leaving && !link.silent(d.now()) && d.known(link) {
			links = append(links, link)
		}
	}
	rank := func(link *storeLink) float64 {
		score := link.latency.Seconds()
		if link.zone != d.settings.Zone {
			score += 0.05
		}
		if d.now()-link.heard > 2*renewInterval {
			score += 1
		}
		return score
	}
	slices.SortFunc(links, func(a, b *storeLink) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return spreadZones(links, d.copiesWanted())
}

// spreadZones moves the first store of another zone than the best one's to the second place, so that
// two copies or more are never in one zone alone. Further copies stay near, as bytes between zones are
// dear, and after them each zone's first store comes before the second ones.
func spreadZones(links []*storeLink, copies int) []*storeLink {
	if len(links) == 0 {
		return links
	}
	near := links[0].zone
	other := slices.IndexFunc(links, func(link *storeLink) bool { return link.zone != near })
	if other < 0 {
		return links
	}
	spread := []*storeLink{links[0], links[other]}
	rest := slices.Delete(slices.Clone(links), other, other+1)[1:]
	for len(spread) < copies && len(rest) > 0 {
		next := max(0, slices.IndexFunc(rest, func(link *storeLink) bool { return link.zone == near }))
		spread = append(spread, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	return append(spread, firstOfEachZone(rest)...)
}

// firstOfEachZone moves the second and later stores of a zone behind the first of every other one.
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
