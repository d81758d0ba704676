package dispatcher

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/configuration"
)

const (
	submitPatience = 2 * time.Second       // a message is given back when no sender was had for so long
	submitAhead    = 4                     // messages that wait at the decision module; the others wait in order of worth
	lateMargin     = 20 * time.Millisecond // a run that begins so close to its aim counts as late
)

// serviceState holds what is needed to deliver to one service.
type serviceState struct {
	name       string
	configured *configuration.Service
	driver     *balance.Driver
	timer      *time.Timer // of the driver
	rate       rateState
	waiting    waitingMessages // messages not yet handed to the driver
	addresses  map[string]bool // of the senders that it may use
}

// serviceActions carries out what the decision module of one service asks for.
// Its methods are called with the mutex held.
type serviceActions struct {
	dispatcher *Dispatcher
	service    *serviceState
}

// Send begins a delivery.
func (a *serviceActions) Send(message string, attempt balance.Attempt) {
	go a.dispatcher.deliver(message, a.service, attempt)
}

// GiveBack puts a message back for which there was no sender.
func (a *serviceActions) GiveBack(message string, wait time.Duration) {
	a.dispatcher.givenBack(message, wait)
}

// SetTimer asks for a call of the decision module's timer.
func (a *serviceActions) SetTimer(after time.Duration) {
	if a.service.timer == nil {
		a.service.timer = time.AfterFunc(after, func() { a.dispatcher.serviceTimer(a.service) })
		return
	}
	a.service.timer.Reset(after)
}

// serviceTimer passes the end of a service's timer on.
func (d *Dispatcher) serviceTimer(service *serviceState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ended {
		return
	}
	service.driver.Timer(d.now())
	d.pumpService(service)
}

// newService makes the decision module of a service.
func (d *Dispatcher) newService(current *configuration.Configuration, configured *configuration.Service) *serviceState {
	service := &serviceState{name: configured.Name, configured: configured}
	zones := slices.Sorted(maps.Keys(d.settings.Zones))
	driver, err := balance.New(balance.Options{
		Zone: d.settings.Zone, Zones: zones, Regions: d.settings.Zones, Dispatchers: len(d.deliverers(configured)),
		Me: d.place(), Seed: seedOf(d.identity.Node + "/" + configured.Name),
		MaxConnections: configured.MaxConns, Timeout: longestTimeout(current, configured.Name),
	}, &serviceActions{d, service})
	if err != nil {
		d.log.Error(err, "service cannot be used", "service", configured.Name)
		return nil
	}
	service.driver = driver
	return service
}

// place returns this dispatcher's position among the live ones.
func (d *Dispatcher) place() int {
	return max(0, slices.Index(d.table.nodes, d.identity.Node))
}

func seedOf(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

// longestTimeout returns the longest time that one delivery to a service takes.
func longestTimeout(current *configuration.Configuration, service string) time.Duration {
	var longest time.Duration
	for _, route := range current.Routes() {
		if route.Service == service {
			longest = max(longest, route.Timeout())
		}
	}
	return longest
}

// pumpService hands waiting messages to the decision module, as far as it has
// use for them and the rate allows. The mutex is held.
func (d *Dispatcher) pumpService(service *serviceState) {
	rated := service.configured.Rated()
	for !service.waiting.empty() && service.driver.Waiting() < submitAhead {
		if rated && !d.takeRate(service) {
			return
		}
		state := service.waiting.next(d.now() + lateMargin)
		if state == nil {
			return
		}
		state.paid = rated
		d.submit(service, state)
	}
}

// submit asks the decision module for a sender.
func (d *Dispatcher) submit(service *serviceState, state *deliveryState) {
	state.sent = true
	service.driver.Submit(d.now(), state.key, min(d.now()+submitPatience, state.entry.Expires()))
}
