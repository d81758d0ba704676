package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/ratelimit"
	"yardwharf/internal/service/transport"
)

const (
	permitLife     = 300 * time.Millisecond // a permit counts for so long after it was asked for
	permitsMost    = 4                      // asked for at once
	permitPause    = 50 * time.Millisecond
	permitWaitMost = time.Second
)

// rateState is what is needed to keep the rate of one service. The owner of the
// service's queue has the limiter; other dispatchers, which hold messages for
// the service in other queues, ask the owner for permits.
type rateState struct {
	limiter *ratelimit.Bucket // nil until this dispatcher may spend the rate
	epoch   uint64            // of the lease that the limiter was made under
	permits []time.Duration   // until when each permit of the owner counts
	asking  bool
	askAt   time.Duration // not before
}

// takeRate takes the right to one arrival at a rated service. Where there is none
// it has the service pumped again when there may be one. The mutex is held.
func (d *Dispatcher) takeRate(service *serviceState) bool {
	if d.refreshLimiter(service) {
		wait, ok := service.rate.limiter.Take(d.now())
		if !ok {
			d.wakeAt(d.now() + wait)
		}
		return ok
	}
	if service.rate.takePermit(d.now()) {
		return true
	}
	d.askPermits(service)
	return false
}

// takeRateAgain takes the right to a further arrival for a message whose first
// attempt did not reach the sender. The mutex is held.
func (d *Dispatcher) takeRateAgain(state *deliveryState) bool {
	if !state.service.configured.Rated() {
		return true
	}
	if state.paid {
		state.paid = false
		return true
	}
	return d.takeRate(state.service)
}

// refreshLimiter makes a new, empty limiter for each lease on a service's rate.
// It reports whether this dispatcher may spend the rate.
func (d *Dispatcher) refreshLimiter(service *serviceState) bool {
	owned := d.queues[ratedPrefix+service.name]
	if owned == nil || !d.mayAct(owned) {
		return false
	}
	if service.rate.limiter == nil || service.rate.epoch != owned.Epoch {
		service.rate.limiter = ratelimit.New(d.now(), service.configured.RatePerS)
		service.rate.epoch = owned.Epoch
	}
	return true
}

func (r *rateState) takePermit(now time.Duration) bool {
	for len(r.permits) > 0 {
		until := r.permits[0]
		r.permits = r.permits[1:]
		if now < until {
			return true
		}
	}
	return false
}

// askPermits asks the owner of a service's rate for permits.
func (d *Dispatcher) askPermits(service *serviceState) {
	owner := d.ownerAddress(ratedPrefix + service.name)
	if service.rate.asking {
		return
	}
	if owner == "" || owner == d.identity.Address || d.now() < service.rate.askAt {
		d.wakeAt(max(service.rate.askAt, d.now()+permitPause))
		return
	}
	service.rate.asking = true
	request := protocol.TakeRate{Service: service.name, Count: max(1, min(service.waiting.count, permitsMost))}
	go d.fetchPermits(service, owner, request)
}

// fetchPermits carries one request for permits out.
func (d *Dispatcher) fetchPermits(service *serviceState, owner string, request protocol.TakeRate) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	sent := d.now()
	reply, err := transport.Call[protocol.TakeRateReply](ctx, d.peer(owner), request)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service.rate.asking = false
	if err != nil {
		service.rate.askAt = d.now() + permitPause
	} else {
		service.rate.askAt = d.now() + min(reply.Wait, permitWaitMost)
	}
	for range reply.Granted {
		service.rate.permits = append(service.rate.permits, sent+permitLife)
	}
	d.pumpService(service)
}

// grantPermits spends the rate of a service for another dispatcher.
func (d *Dispatcher) grantPermits(request protocol.TakeRate) protocol.TakeRateReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reply := protocol.TakeRateReply{Wait: permitPause}
	service := d.services[request.Service]
	if service == nil || !service.configured.Rated() || !d.refreshLimiter(service) {
		return reply
	}
	for reply.Granted < min(request.Count, permitsMost) {
		wait, ok := service.rate.limiter.Take(d.now())
		if !ok {
			reply.Wait = wait
			return reply
		}
		reply.Granted++
	}
	reply.Wait = 0
	return reply
}
