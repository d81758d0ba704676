package dispatcher

import (
	"context"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/ratelimit"
	"yardwharf/internal/service/transport"
)

const (
	permitLifetime       = 300 * time.Millisecond // validity of a permit from the time of its request
	maxPermitsPerRequest = 4
	permitRetryPause     = 50 * time.Millisecond
	maxPermitWait        = time.Second
)

// rateState is the state needed to limit the rate of one service. The owner of the
// service's rated queue has the limiter; dispatchers that have messages for the
// service in other queues request permits from it.
type rateState struct {
	limiter     *ratelimit.Bucket // nil until this dispatcher may use the rate
	epoch       uint64            // of the lease under which the limiter was created
	permits     []time.Duration   // expiry times of permits granted by the owner
	requesting  bool
	nextRequest time.Duration // earliest time of the next request
}

// takeRate takes the right to one delivery to a rated service. If none is available,
// it schedules the next try. The mutex is held.
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
	d.requestPermits(service)
	return false
}

// takeRateForAttempt takes the right to one attempt at a message: the first attempt uses what
// was taken on submission, each further one takes anew. The mutex is held.
func (d *Dispatcher) takeRateForAttempt(state *deliveryState) bool {
	if !state.service.configured.RateLimited() {
		return true
	}
	if state.rateTaken {
		state.rateTaken = false
		return true
	}
	return d.takeRate(state.service)
}

// refreshLimiter creates a new, empty limiter for each lease on a service's rated
// queue. It reports whether this dispatcher may use the rate.
func (d *Dispatcher) refreshLimiter(service *serviceState) bool {
	owned := d.queues[ratedQueue(service.name)]
	if owned == nil || !d.mayDeliver(owned) {
		return false
	}
	if service.rate.limiter == nil || service.rate.epoch != owned.Epoch {
		service.rate.limiter = ratelimit.New(d.now(), service.configured.RatePerS)
		service.rate.epoch = owned.Epoch
	}
	return true
}

// takePermit uses up one permit and drops expired ones.
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

// requestPermits requests permits from the owner of a service's rate.
func (d *Dispatcher) requestPermits(service *serviceState) {
	owner := d.ownerAddress(ratedQueue(service.name))
	if service.rate.requesting {
		return
	}
	if owner == "" || owner == d.identity.Address || d.now() < service.rate.nextRequest {
		d.wakeAt(max(service.rate.nextRequest, d.now()+permitRetryPause))
		return
	}
	service.rate.requesting = true
	request := protocol.AcquirePermits{Service: service.name, Count: max(1, min(service.waiting.count, maxPermitsPerRequest))}
	go d.fetchPermits(service, owner, request)
}

// fetchPermits makes one request for permits.
func (d *Dispatcher) fetchPermits(service *serviceState, owner string, request protocol.AcquirePermits) {
	ctx, cancel := context.WithTimeout(context.Background(), forwardTimeout)
	defer cancel()
	sent := d.now()
	reply, err := transport.Call[protocol.AcquirePermitsReply](ctx, d.peer(owner), request)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	service.rate.requesting = false
	if err != nil {
		service.rate.nextRequest = d.now() + permitRetryPause
	} else {
		service.rate.nextRequest = d.now() + min(reply.Wait, maxPermitWait)
	}
	for range reply.Granted {
		service.rate.permits = append(service.rate.permits, sent+permitLifetime)
	}
	d.pumpService(service)
}

// grantPermits grants another dispatcher permits out of the rate of a service.
func (d *Dispatcher) grantPermits(request protocol.AcquirePermits) protocol.AcquirePermitsReply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	reply := protocol.AcquirePermitsReply{Wait: permitRetryPause}
	service := d.services[request.Service]
	if service == nil || !service.configured.RateLimited() || !d.refreshLimiter(service) {
		return reply
	}
	for reply.Granted < min(request.Count, maxPermitsPerRequest) {
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
