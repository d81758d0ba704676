// Package subset assigns each dispatcher the senders of a service that it may connect to. If there are too
// many dispatchers for each to connect to every sender, each one gets a subset of the senders, so that no
// sender exceeds its connection limit.
//
// The result depends only on the sets of dispatchers and senders, so all processes that know the same sets
// agree on it. Few pairs change when a dispatcher or sender is added or removed.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/service/distance"
)

// Endpoint is a dispatcher or a sender, with its zone.
type Endpoint struct {
	Name, Zone string
}

// pair is a candidate connection between a dispatcher and a sender.
type pair struct {
	dispatcher, sender int
	distance           distance.Distance
	weight             uint64
}

// Division holds the senders that each dispatcher may connect to.
type Division struct {
	senders map[string][]string // sender names by dispatcher name
}

// Assign assigns an equal number of senders to each dispatcher as far as the senders' limit permits: a sender
// is assigned to at most the given number of dispatchers. Pairs at a smaller distance go first, then those with
// a higher rendezvous weight.
func Assign(zones distance.Map, dispatchers, senders []Endpoint, maxDispatchers int) Division {
	division := Division{senders: make(map[string][]string, len(dispatchers))}
	if len(dispatchers) == 0 || len(senders) == 0 || maxDispatchers <= 0 {
		return division
	}
	perDispatcher := max(1, len(senders)*maxDispatchers/len(dispatchers))
	quota := slices.Repeat([]int{min(perDispatcher, len(senders))}, len(dispatchers))
	capacity := slices.Repeat([]int{maxDispatchers}, len(senders))
	for _, p := range rankedPairs(zones, dispatchers, senders) {
		if quota[p.dispatcher] == 0 || capacity[p.sender] == 0 {
			continue
		}
		quota[p.dispatcher]--
		capacity[p.sender]--
		name := dispatchers[p.dispatcher].Name
		division.senders[name] = append(division.senders[name], senders[p.sender].Name)
	}
	return division
}

// Nearest returns the places that rank first for a dispatcher, at most the given number.
func Nearest(zones distance.Map, dispatcher Endpoint, places []Endpoint, count int) []Endpoint {
	var nearest []Endpoint
	for _, p := range rankedPairs(zones, []Endpoint{dispatcher}, places) {
		if len(nearest) == count {
			break
		}
		nearest = append(nearest, places[p.sender])
	}
	return nearest
}

// Assigned returns those of the dispatchers that may connect to a sender.
func (d Division) Assigned(dispatchers []Endpoint) []Endpoint {
	var assigned []Endpoint
	for _, dispatcher := range dispatchers {
		if len(d.senders[dispatcher.Name]) > 0 {
			assigned = append(assigned, dispatcher)
		}
	}
	return assigned
}

// Of returns the senders that a dispatcher may connect to.
func (d Division) Of(dispatcher string) []string { return d.senders[dispatcher] }

// rankedPairs returns all pairs by ascending distance, then by descending rendezvous weight.
func rankedPairs(zones distance.Map, dispatchers, senders []Endpoint) []pair {
	pairs := make([]pair, 0, len(dispatchers)*len(senders))
	for i, dispatcher := range dispatchers {
		for j, sender := range senders {
			pairs = append(pairs, pair{
				dispatcher: i, sender: j,
				distance: zones.Between(dispatcher.Zone, sender.Zone),
				weight:   weight(dispatcher.Name, sender.Name),
			})
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(
			cmp.Compare(a.distance, b.distance),
			cmp.Compare(b.weight, a.weight),
			cmp.Compare(dispatchers[a.dispatcher].Name, dispatchers[b.dispatcher].Name),
			cmp.Compare(senders[a.sender].Name, senders[b.sender].Name),
		)
	})
	return pairs
}

func weight(dispatcher, sender string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(dispatcher)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(sender)
	return digest.Sum64()
}
