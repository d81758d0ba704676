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
	submitTimeout       = 2 * time.Second       // a message without a sender for this long is given back
	maxSubmittedWaiting = 4                     // messages waiting in the decision module; the others wait here, most urgent first
	lateStartMargin     = 20 * time.Millisecond // a delivery that would start this close to its target time counts as late
)

// serviceState is the state of deliveries to one service.
type serviceState struct {
	name       string
	configured *configuration.Service
	driver     *balance.Driver
	timer      *time.Timer // of the driver
	rate       rateState
	waiting    waitingMessages // messages not yet submitted to the driver
	addresses  map[string]bool // of the senders in use
	relays     map[string]bool // addresses of the dispatchers that relay its messages, as this one may not connect to a sender
}

// serviceActions implements the actions of one service's decision module. Its
// methods are called with the mutex held.
type serviceActions struct {
	dispatcher *Dispatcher
	service    *serviceState
}

// Send starts an attempt.
func (a *serviceActions) Send(message string, attempt balance.Attempt) {
	go a.dispatcher.deliver(message, a.service, attempt)
}

// GiveBack requeues a message for which no sender was available.
func (a *serviceActions) GiveBack(message string, wait time.Duration) {
	a.dispatcher.requeueWithoutSender(message, wait)
}

// SetTimer schedules a call of the decision module's timer function.
func (a *serviceActions) SetTimer(after time.Duration) {
	if a.service.timer == nil {
		a.service.timer = time.AfterFunc(after, func() { a.dispatcher.serviceTimerFired(a.service) })
		return
	}
	a.service.timer.Reset(after)
}

// serviceTimerFired runs when a service's timer fires.
func (d *Dispatcher) serviceTimerFired(service *serviceState) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.ended {
		return
	}
	service.driver.Timer(d.now())
	d.pumpService(service)
}

// newService creates the state and decision module of a service. It returns nil on an error.
func (d *Dispatcher) newService(current *configuration.Configuration, configured *configuration.Service) *serviceState {
	service := &serviceState{name: configured.Name, configured: configured}
	zones := slices.Sorted(maps.Keys(d.settings.Zones))
	driver, err := balance.New(balance.Options{
		Zone: d.settings.Zone, Zones: zones, Regions: d.settings.Zones, Dispatchers: len(d.deliverers(configured)),
		Me: d.dispatcherIndex(), Seed: seedFromText(d.identity.Node + "/" + configured.Name),
		MaxConnections: configured.MaxConns, Timeout: longestTimeout(current, configured.Name),
	}, &serviceActions{d, service})
	if err != nil {
		d.log.Error(err, "cannot create decision module of service", "service", configured.Name)
		return nil
	}
	service.driver = driver
	return service
}

// dispatcherIndex returns this dispatcher's index among the live ones.
func (d *Dispatcher) dispatcherIndex() int {
	return max(0, slices.Index(d.table.nodes, d.identity.Node))
}

// seedFromText derives a deterministic seed from a text.
func seedFromText(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}

// longestTimeout returns the longest timeout of the routes to a service.
func longestTimeout(current *configuration.Configuration, service string) time.Duration {
	var longest time.Duration
	for _, route := range current.Routes() {
		if route.Service == service {
			longest = max(longest, route.Timeout())
		}
	}
	return longest
}

// pumpService submits waiting messages to the decision module, up to maxSubmittedWaiting
// and as the rate allows. The mutex is held.
func (d *Dispatcher) pumpService(service *serviceState) {
	rated := service.configured.RateLimited()
	for !service.waiting.empty() && service.driver.Waiting() < maxSubmittedWaiting {
		if rated && !d.takeRate(service) {
			return
		}
		state := service.waiting.next(d.now() + lateStartMargin)
		if state == nil {
			return
		}
		state.rateTaken = rated
		d.submit(service, state)
	}
}

// submit submits a message to the decision module, which picks a sender.
func (d *Dispatcher) submit(service *serviceState, state *deliveryState) {
	state.submitted = true
	deadline := min(d.now()+submitTimeout, state.entry.Expires())
	if state.relayed != nil {
		deadline = min(deadline, state.relayed.startBefore)
	}
	service.driver.Submit(d.now(), state.key, deadline)
}
