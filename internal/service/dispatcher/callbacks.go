package dispatcher

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"time"

	"yardwharf/internal/service/queue"
)

const (
	callbackTimeout       = 3 * time.Second
	maxWorkersPerReceiver = 2                      // concurrent calls to one receiver
	secondWorkerBacklog   = 4                      // waiting call-backs at which a second worker starts
	maxKeepAliveFleet     = 16                     // largest fleet, in dispatchers, that keeps connections to receivers open
	callbackBatchDelay    = time.Second            // well under the time within which a call-back is expected
	receiverBackoff       = 200 * time.Millisecond // after a call without an answer; doubles
	maxReceiverBackoff    = 1600 * time.Millisecond
)

// pendingCallback is a message whose receiver has yet to be notified of its end.
type pendingCallback struct {
	owned *ownedQueue
	entry *queue.Entry
}

// receiver is a receiver of call-backs. A receiver accepts few connections from all dispatchers together, so
// calls to it share one or two; dispatchers of a large fleet batch calls and close the connection after each batch.
type receiver struct {
	waiting  []pendingCallback
	workers  int
	starting bool // a worker starts when its timer fires
	failures int  // consecutive calls without an answer
}

// queueCallback queues a call-back for its receiver's workers, or postpones it until the
// end of the message can no longer be lost. The mutex is held.
func (d *Dispatcher) queueCallback(owned *ownedQueue, entry *queue.Entry) {
	if address := entry.Head.CallbackURL; address != "" && !callable(address) { // taken by an earlier build
		d.log.Info("call-back cannot be made", "message", entry.Head.ID)
		d.callbackDone(owned, entry)
		return
	}
	if !d.endIsSafe(entry) {
		d.recordEnd(owned, entry)
		owned.PostponeCallback(d.now(), entry, callbackEndWait)
		return
	}
	host := receiverHost(entry.Head.CallbackURL)
	r := d.receivers[host]
	if r == nil {
		r = &receiver{}
		d.receivers[host] = r
	}
	r.waiting = append(r.waiting, pendingCallback{owned, entry})
	d.startReceiverWorker(host, r)
}

// callable reports whether a call-back can be made to an address.
func callable(address string) bool {
	parsed, err := url.Parse(address)
	return err == nil && (parsed.Scheme == "http" || parsed.Scheme == "https") && parsed.Host != ""
}

// receiverHost returns the host and port of a URL.
func receiverHost(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return address
	}
	return parsed.Host
}

// startReceiverWorker starts a worker if one is needed. The mutex is held.
func (d *Dispatcher) startReceiverWorker(host string, r *receiver) {
	if d.ended || len(r.waiting) == 0 || r.starting || r.workers >= d.maxReceiverWorkers() ||
		r.workers > 0 && len(r.waiting) < secondWorkerBacklog {
		return
	}
	wait := d.workerDelay(r)
	if wait == 0 {
		r.workers++
		go d.runReceiverWorker(host, r)
		return
	}
	r.starting = true
	time.AfterFunc(wait, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()
		r.starting = false
		if d.ended {
			return
		}
		r.workers++
		go d.runReceiverWorker(host, r)
	})
}

// largeFleet reports whether the fleet is too large for each dispatcher to keep connections to a receiver
// open. The mutex is held.
func (d *Dispatcher) largeFleet() bool { return len(d.table.nodes) > maxKeepAliveFleet }

// maxReceiverWorkers returns the maximum number of concurrent calls to one receiver. The mutex is held.
func (d *Dispatcher) maxReceiverWorkers() int {
	if d.largeFleet() {
		return 1
	}
	return maxWorkersPerReceiver
}

// workerDelay returns the delay before the next worker starts. The mutex is held.
func (d *Dispatcher) workerDelay(r *receiver) time.Duration {
	switch {
	case r.failures > 0:
		backoff := queue.Backoff(receiverBackoff, maxReceiverBackoff, r.failures-1)
		return backoff/2 + time.Duration(rand.Int64N(int64(backoff)))
	case d.largeFleet():
		return callbackBatchDelay
	default:
		return 0
	}
}

// runReceiverWorker makes the waiting calls to one receiver until none is left or one gets no answer.
func (d *Dispatcher) runReceiverWorker(host string, r *receiver) {
	for {
		d.mutex.Lock()
		if len(r.waiting) == 0 {
			r.workers--
			if r.workers == 0 && !r.starting {
				delete(d.receivers, host)
			}
			d.mutex.Unlock()
			return
		}
		next := r.waiting[0]
		r.waiting = r.waiting[1:]
		closeConnection := d.largeFleet() && len(r.waiting) == 0
		answered := true
		if next.entry.Phase == queue.AwaitingCallback && !next.owned.dropped {
			head := next.entry.Head
			d.mutex.Unlock()
			status, err := d.sendCallback(head.CallbackURL, head.ID, head.State.String(), head.Stamp, closeConnection)
			d.mutex.Lock()
			answered = err == nil
			d.callbackEnded(next, status, err)
		}
		if answered {
			r.failures = 0
			d.mutex.Unlock()
			continue
		}
		r.failures++
		r.workers--
		d.startReceiverWorker(host, r)
		d.mutex.Unlock()
		return
	}
}

// sendCallback makes one call-back. If closeConnection is set, the connection is closed afterwards.
func (d *Dispatcher) sendCallback(address, id, state, stamp string, closeConnection bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callbackTimeout)
	defer cancel()
	return d.client.Callback(ctx, address, id, state, stamp, closeConnection)
}

// callbackEnded records the result of a call. A receiver that answers 400 is not called again. The
// mutex is held.
func (d *Dispatcher) callbackEnded(call pendingCallback, status int, err error) {
	accepted := err == nil && (status/100 == 2 || status == http.StatusBadRequest)
	if accepted {
		d.counters.callbacks.Add(1)
		d.callbackDone(call.owned, call.entry)
		return
	}
	call.owned.RetryCallback(d.now(), call.entry)
	if at, ok := call.owned.NextWake(); ok {
		d.wakeAt(at)
	}
}

// callbackDone records that no call-back is due any more. The mutex is held.
func (d *Dispatcher) callbackDone(owned *ownedQueue, entry *queue.Entry) {
	owned.FinishCallback(d.now(), entry)
	d.recordEnd(owned, entry)
}
