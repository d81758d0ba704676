package dispatcher

import (
	"cmp"
	"slices"

	"yardwharf/internal/service/configuration"
)

// reconfigure applies the configuration in force to services and to deliveries that were
// started under an earlier one. The mutex is held.
func (d *Dispatcher) reconfigure(current *configuration.Configuration) {
	d.reconfigureServices(current)
	d.reconsiderDeliveries(current)
	d.dropServices(current)
}

// reconfigureServices adds and updates the services of a configuration. The mutex is
// held.
func (d *Dispatcher) reconfigureServices(current *configuration.Configuration) {
	for name, configured := range current.Services() {
		service := d.services[name]
		if service == nil {
			service = d.newService(current, configured)
			if service == nil {
				continue
			}
			d.services[name] = service
		}
		service.configured = configured
		if service.rate.limiter != nil {
			service.rate.limiter.SetRate(d.now(), configured.RatePerS)
		}
		service.driver.SetTimeout(longestTimeout(current, name))
		d.updateSenders(service)
	}
}

// dropServices removes the services that a configuration no longer has. Attempts in
// flight there end as usual. The mutex is held.
func (d *Dispatcher) dropServices(current *configuration.Configuration) {
	for name, service := range d.services {
		if _, known := current.Service(name); !known {
			service.driver.SetSenders(d.now(), nil)
			delete(d.services, name)
		}
	}
}

// reconsiderDeliveries requeues the messages that wait for a sender and whose route now
// leads to another service, or whose schedule target has changed. They are delivered again
// in the order of acceptance; those without a route end. A message at a sender stays there
// and goes to no other one. The mutex is held.
func (d *Dispatcher) reconsiderDeliveries(current *configuration.Configuration) {
	var changed []*deliveryState
	for _, state := range d.deliveries {
		route, configured, found := current.Match(state.entry.Head.Host, state.entry.Head.Target)
		if !found || configured.Name != state.service.name || route.ScheduleTarget() != state.route.ScheduleTarget() {
			changed = append(changed, state)
		}
		if found {
			state.route = route
		}
	}
	slices.SortFunc(changed, func(a, b *deliveryState) int {
		return cmp.Compare(a.entry.Accepted(), b.entry.Accepted())
	})
	for _, state := range changed {
		if d.deliveries[state.key] == state { // otherwise it has been given back in the meantime
			d.requeueUnlessSent(state)
		}
	}
}
