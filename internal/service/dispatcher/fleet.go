package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/subset"
)

// maxRelays bounds how many dispatchers relay the messages of one that has no connection.
const maxRelays = 8

// fleet lists the dispatchers that deliver messages, as reported by the stores.
type fleet struct {
	all           []subset.Endpoint // sorted by name
	orderedOwners []subset.Endpoint // those that own queues of ordered messages
	relays        []subset.Endpoint // those that make attempts for others
}

// fleetOf returns the dispatchers in a table.
func fleetOf(table *sessionTable) fleet {
	owners := map[string]bool{}
	for name, state := range table.holders {
		if strings.HasPrefix(name, orderedPrefix) {
			owners[state.Holder] = true
		}
	}
	var f fleet
	for _, node := range table.nodes {
		place := subset.Endpoint{Name: node, Zone: table.sessions[node].Identity.Zone}
		f.all = append(f.all, place)
		if owners[node] {
			f.orderedOwners = append(f.orderedOwners, place)
		}
		if table.sessions[node].Relays {
			f.relays = append(f.relays, place)
		}
	}
	return f
}

func (f *fleet) equal(other *fleet) bool {
	return slices.Equal(f.all, other.all) && slices.Equal(f.orderedOwners, other.orderedOwners) && slices.Equal(f.relays, other.relays)
}

// insertPlace returns the places with one more inserted in order, unless it is among them already.
func insertPlace(places []subset.Endpoint, place subset.Endpoint) []subset.Endpoint {
	index, found := slices.BinarySearchFunc(places, place, func(a, b subset.Endpoint) int { return strings.Compare(a.Name, b.Name) })
	if found {
		return places
	}
	return slices.Insert(slices.Clone(places), index, place)
}

func (d *Dispatcher) ownPlace() subset.Endpoint {
	return subset.Endpoint{Name: d.identity.Node, Zone: d.settings.Zone}
}

// deliverers returns the dispatchers that deliver to a service, always including this one. Messages of
// ordered routes are delivered by the owners of their queues, others of a rate-limited service by the owner of its queue.
func (d *Dispatcher) deliverers(configured *configuration.Service) []subset.Endpoint {
	me := d.ownPlace()
	ordered, unordered := routeOrder(d.configuration.Load(), configured.Name)
	switch {
	case ordered && !unordered:
		return insertPlace(d.fleet.orderedOwners, me)
	case !configured.RateLimited():
		return insertPlace(d.fleet.all, me)
	case !ordered:
		return []subset.Endpoint{me}
	}
	deliverers := insertPlace(d.fleet.orderedOwners, me)
	for _, place := range d.fleet.all {
		if place.Name == d.table.holders[ratedQueue(configured.Name)].Holder {
			deliverers = insertPlace(deliverers, place)
		}
	}
	return deliverers
}

// routeOrder reports whether a service has routes that are ordered, and whether it has others.
func routeOrder(current *configuration.Configuration, service string) (ordered, unordered bool) {
	if current == nil {
		return false, false
	}
	for _, route := range current.Routes() {
		if route.Service == service {
			ordered = ordered || route.Ordered
			unordered = unordered || !route.Ordered
		}
	}
	return ordered, unordered
}

// refreshFleet informs the decision modules when the set of dispatchers has changed. The mutex is held.
func (d *Dispatcher) refreshFleet() {
	next := fleetOf(&d.table)
	if next.equal(&d.fleet) {
		return
	}
	d.fleet = next
	for _, service := range d.services {
		d.updateSenders(service)
	}
}

// updateSenders passes the senders that this dispatcher may use to a service's decision module, closes the connections
// beyond its share, and abandons those to other senders. The mutex is held.
func (d *Dispatcher) updateSenders(service *serviceState) {
	deliverers := d.deliverers(service.configured)
	service.driver.SetFleet(len(deliverers), service.configured.MaxConns)
	senders, relays := d.usableSenders(service, deliverers)
	service.relays = map[string]bool{}
	addresses := make(map[string]bool, len(senders))
	for _, sender := range senders {
		addresses[sender.Address] = true
	}
	for _, relay := range relays {
		service.relays[relay.Address] = true
	}
	service.driver.SetSenders(d.now(), append(senders, relays...))
	maps.DeleteFunc(service.addresses, func(address string, _ bool) bool { return addresses[address] })
	d.client.Abandon(slices.Collect(maps.Keys(service.addresses)))
	d.client.Limit(slices.Collect(maps.Keys(addresses)), balance.Connections(service.configured.MaxConns, len(deliverers)))
	service.addresses = addresses
}

// usableSenders returns the senders of a service that this dispatcher may connect to: all, unless there are more
// dispatchers than connections that a sender accepts. If none is left for this dispatcher, it returns other dispatchers
// that relay its messages. The mutex is held.
func (d *Dispatcher) usableSenders(service *serviceState, deliverers []subset.Endpoint) (senders, relays []balance.Sender) {
	senders = d.sendersOf(service)
	maxConnections := balance.UsableConnections(service.configured.MaxConns)
	if maxConnections <= 0 || len(deliverers) <= maxConnections {
		return senders, nil
	}
	division := subset.Assign(d.settings.Zones, deliverers, placesOf(senders), maxConnections)
	mine := division.Of(d.identity.Node)
	if len(mine) == 0 {
		relays = d.relaysAmong(division.Assigned(deliverers))
	}
	if len(mine) == 0 && len(relays) == 0 { // without any, its messages would get stuck
		for _, place := range subset.Nearest(d.settings.Zones, d.ownPlace(), placesOf(senders), 1) {
			mine = append(mine, place.Name)
		}
	}
	return slices.DeleteFunc(senders, func(sender balance.Sender) bool {
		return !sender.Draining && !slices.Contains(mine, placeName(sender))
	}), relays
}

// sendersOf returns the senders of a service: those that are listed, or its static endpoint.
func (d *Dispatcher) sendersOf(service *serviceState) []balance.Sender {
	if service.configured.Static() {
		return []balance.Sender{{Address: service.configured.StaticEndpoint, Zone: d.settings.Zone}}
	}
	listed := d.senders[service.name]
	senders := make([]balance.Sender, 0, len(listed))
	for _, sender := range listed {
		senders = append(senders, balance.Sender{
			ID: sender.ID, Address: sender.Address, Zone: sender.Zone,
			Slots: sender.Slots, Draining: sender.Draining, WarmupLeft: sender.WarmupLeft,
		})
	}
	return senders
}

// placesOf returns the places of the senders that are not draining. The place of a static endpoint is not known.
func placesOf(senders []balance.Sender) []subset.Endpoint {
	var places []subset.Endpoint
	for _, sender := range senders {
		place := subset.Endpoint{Name: placeName(sender), Zone: sender.Zone}
		if sender.ID == "" {
			place.Zone = ""
		}
		if !sender.Draining {
			places = append(places, place)
		}
	}
	return places
}

// placeName returns the name of a sender in a division: its ID, or the address of a static endpoint.
func placeName(sender balance.Sender) string { return cmp.Or(sender.ID, sender.Address) }

// relaysAmong returns those of the dispatchers that relay messages for this one, the nearest ones.
func (d *Dispatcher) relaysAmong(assigned []subset.Endpoint) []balance.Sender {
	able := slices.DeleteFunc(assigned, func(place subset.Endpoint) bool {
		return !slices.Contains(d.fleet.relays, place) || place.Name == d.identity.Node
	})
	var relays []balance.Sender
	for _, place := range subset.Nearest(d.settings.Zones, d.ownPlace(), able, maxRelays) {
		identity := d.table.sessions[place.Name].Identity
		relays = append(relays, balance.Sender{ID: place.Name, Address: identity.Address, Zone: place.Zone})
	}
	return relays
}
