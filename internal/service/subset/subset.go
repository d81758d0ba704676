// Package subset divides the connections that the senders of a service take among the dispatchers. Where
// there are too many dispatchers for each to connect to every sender, each one gets a few senders, so that
// no sender is connected to by more dispatchers than it takes connections.
//
// All who know the same dispatchers and senders get the same division. When one comes or goes, few pairs
// change.
package subset

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"yardwharf/internal/service/distance"
)

// Place is a dispatcher or a sender, and the zone that it is in.
type Place struct {
	Name, Zone string
}

// pair is one dispatcher that may connect to one sender.
type pair struct {
	dispatcher, sender int
	distance           distance.Distance
	weight             uint64
}

// Division tells which dispatchers may connect to which senders.
type Division struct {
	senders map[string][]string // names, by dispatcher
}

// Divide lets each dispatcher connect to as many senders as there is room for, where a sender takes so many
// dispatchers at the most. Near senders come first, then those with the higher rendezvous weight.
func Divide(zones distance.Map, dispatchers, senders []Place, most int) Division {
	division := Division{senders: make(map[string][]string, len(dispatchers))}
	if len(dispatchers) == 0 || len(senders) == 0 || most <= 0 {
		return division
	}
	each := max(1, len(senders)*most/len(dispatchers))
	wanted := slices.Repeat([]int{min(each, len(senders))}, len(dispatchers))
	room := slices.Repeat([]int{most}, len(senders))
	for _, p := range ordered(zones, dispatchers, senders) {
		if wanted[p.dispatcher] == 0 || room[p.sender] == 0 {
			continue
		}
		wanted[p.dispatcher]--
		room[p.sender]--
		name := dispatchers[p.dispatcher].Name
		division.senders[name] = append(division.senders[name], senders[p.sender].Name)
	}
	return division
}

// Nearest returns the sender that comes first for a dispatcher for which there is no room anywhere.
func Nearest(zones distance.Map, dispatcher Place, senders []Place) string {
	pairs := ordered(zones, []Place{dispatcher}, senders)
	if len(pairs) == 0 {
		return ""
	}
	return senders[pairs[0].sender].Name
}

// Of returns the senders that a dispatcher may connect to.
func (d Division) Of(dispatcher string) []string { return d.senders[dispatcher] }

// ordered returns all pairs, the nearest first, those of the same distance by their rendezvous weight.
func ordered(zones distance.Map, dispatchers, senders []Place) []pair {
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
