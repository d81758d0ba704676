package dispatcher

import (
	"maps"
	"slices"
	"strings"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/configuration"
	"yardwharf/internal/service/subset"
	"yardwharf/internal/service/view"
)

// fleet is the dispatchers that deliver messages, as the stores tell of them.
type fleet struct {
	all     []subset.Place // sorted by name
	ordered []subset.Place // of those, the owners of ordered messages
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
		place := subset.Place{Name: node, Zone: table.sessions[node].Identity.Zone}
		f.all = append(f.all, place)
		if owners[node] {
			f.ordered = append(f.ordered, place)
		}
	}
	return f
}

// with returns the places and one more, if it is not among them.
func with(places []subset.Place, one subset.Place) []subset.Place {
	at, found := slices.BinarySearchFunc(places, one, func(a, b subset.Place) int { return strings.Compare(a.Name, b.Name) })
	if found {
		return places
	}
	return slices.Insert(slices.Clone(places), at, one)
}

func (d *Dispatcher) myPlace() subset.Place {
	return subset.Place{Name: d.identity.Node, Zone: d.settings.Zone}
}

// deliverers returns the dispatchers that deliver to a service, this one always among them. Messages of
// ordered routes are delivered by the owners of their queues alone.
func (d *Dispatcher) deliverers(configured *configuration.Service) []subset.Place {
	me := d.myPlace()
	if onlyOrdered(d.configuration.Load(), configured.Name) {
		return with(d.fleet.ordered, me)
	}
	if configured.Rated() {
		return []subset.Place{me}
	}
	return with(d.fleet.all, me)
}

// onlyOrdered reports whether all routes to a service are ordered.
func onlyOrdered(current *configuration.Configuration, service string) bool {
	if current == nil {
		return false
	}
	routed := false
	for _, route := range current.Routes() {
		if route.Service != service {
			continue
		}
		if !route.Ordered {
			return false
		}
		routed = true
	}
	return routed
}

// refreshFleet tells the decision modules of the dispatchers that there are. The mutex is held.
func (d *Dispatcher) refreshFleet() {
	next := fleetOf(&d.table)
	if slices.Equal(next.all, d.fleet.all) && slices.Equal(next.ordered, d.fleet.ordered) {
		return
	}
	d.fleet = next
	for _, service := range d.services {
		d.updateSenders(service)
	}
}

// updateSenders hands the senders that this dispatcher may use to a service's decision module, and gives
// the connections to the others back. The mutex is held.
func (d *Dispatcher) updateSenders(service *serviceState) {
	deliverers := d.deliverers(service.configured)
	service.driver.SetFleet(len(deliverers), service.configured.MaxConns)
	if service.configured.Static() {
		service.driver.SetSenders(d.now(), []balance.Sender{{Address: service.configured.StaticEndpoint, Zone: d.settings.Zone}})
		return
	}
	listed := d.usable(service, deliverers)
	senders := make([]balance.Sender, 0, len(listed))
	addresses := make(map[string]bool, len(listed))
	for _, sender := range listed {
		addresses[sender.Address] = true
		senders = append(senders, balance.Sender{
			ID: sender.ID, Address: sender.Address, Zone: sender.Zone,
			Slots: sender.Slots, Draining: sender.Draining, WarmupLeft: sender.WarmupLeft,
		})
	}
	service.driver.SetSenders(d.now(), senders)
	maps.DeleteFunc(service.addresses, func(address string, _ bool) bool { return addresses[address] })
	d.client.Abandon(slices.Collect(maps.Keys(service.addresses)))
	service.addresses = addresses
}

// usable returns the senders of a service that this dispatcher may connect to: all, unless there are more
// dispatchers than a sender takes connections. The mutex is held.
func (d *Dispatcher) usable(service *serviceState, deliverers []subset.Place) []view.Sender {
	listed := d.senders[service.name]
	most := balance.UsableConnections(service.configured.MaxConns)
	if most <= 0 || len(deliverers) <= most {
		return listed
	}
	var places []subset.Place
	for _, sender := range listed {
		if !sender.Draining {
			places = append(places, subset.Place{Name: sender.ID, Zone: sender.Zone})
		}
	}
	mine := subset.Divide(d.settings.Zones, deliverers, places, most).Of(d.identity.Node)
	if len(mine) == 0 { // there are not enough connections for all; without any, its messages would stay
		mine = []string{subset.Nearest(d.settings.Zones, d.myPlace(), places)}
	}
	return slices.DeleteFunc(slices.Clone(listed), func(sender view.Sender) bool {
		return !sender.Draining && !slices.Contains(mine, sender.ID)
	})
}
