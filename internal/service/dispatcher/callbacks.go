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
	callbackTimeout   = 3 * time.Second
	callbackWorkers   = 2                      // calls at once to one receiver
	callbackBacklog   = 4                      // call-backs that wait for a worker before another is started
	keepAliveFleet    = 16                     // dispatchers up to which connections to receivers are kept
	callbackGather    = time.Second            // well under the time in which a call-back is wanted
	receiverPause     = 200 * time.Millisecond // after a call without an answer; doubles
	receiverPauseMost = 1600 * time.Millisecond
)

// callback is a message whose receiver is to be told of its end.
type callback struct {
	owned *ownedQueue
	entry *queue.Entry
}

// receiver is a receiver of call-backs. Receivers take few connections from all dispatchers together, so
// calls to one share a connection or two; a large fleet gathers calls and keeps no connection between.
type receiver struct {
	waiting  []callback
	workers  int
	starting bool // a worker starts when its timer fires
	failures int  // calls in a row without an answer
}

// callBack hands a call-back to its receiver's workers, once the end can no longer
// be lost. The mutex is held.
func (d *Dispatcher) callBack(owned *ownedQueue, entry *queue.Entry) {
	if !d.endIsSafe(entry) {
		d.recordEnd(owned, entry)
		owned.PostponeCallback(d.now(), entry, endPause)
		return
	}
	host := receiverOf(entry.Head.CallbackURL)
	r := d.receivers[host]
	if r == nil {
		r = &receiver{}
		d.receivers[host] = r
	}
	r.waiting = append(r.waiting, callback{owned, entry})
	d.startReceiver(host, r)
}

// receiverOf returns the address that a URL names.
func receiverOf(address string) string {
	parsed, err := url.Parse(address)
	if err != nil {
		return address
	}
	return parsed.Host
}

// startReceiver starts a worker where there is use for one. The mutex is held.
func (d *Dispatcher) startReceiver(host string, r *receiver) {
	if d.ended || len(r.waiting) == 0 || r.starting || r.workers >= d.receiverWorkers() ||
		r.workers > 0 && len(r.waiting) < callbackBacklog {
		return
	}
	wait := d.receiverWait(r)
	if wait == 0 {
		r.workers++
		go d.runReceiver(host, r)
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
		go d.runReceiver(host, r)
	})
}

// crowded reports whether the connections of all dispatchers may be more than a receiver takes. The mutex
// is held.
func (d *Dispatcher) crowded() bool { return len(d.table.nodes) > keepAliveFleet }

// receiverWorkers returns how many calls may be under way to one receiver. The mutex is held.
func (d *Dispatcher) receiverWorkers() int {
	if d.crowded() {
		return 1
	}
	return callbackWorkers
}

// receiverWait returns how long the next worker waits before it starts. The mutex is held.
func (d *Dispatcher) receiverWait(r *receiver) time.Duration {
	switch {
	case r.failures > 0:
		pause := queue.Backoff(receiverPause, receiverPauseMost, r.failures-1)
		return pause/2 + time.Duration(rand.Int64N(int64(pause)))
	case d.crowded():
		return callbackGather
	default:
		return 0
	}
}

// runReceiver makes calls to one receiver until none waits or one fails.
func (d *Dispatcher) runReceiver(host string, r *receiver) {
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
		last := d.crowded() && len(r.waiting) == 0
		answered := true
		if next.entry.Phase == queue.Callback && !next.owned.dropped {
			head := next.entry.Head
			d.mutex.Unlock()
			status, err := d.call(head.CallbackURL, head.ID, head.State.String(), head.Stamp, last)
			d.mutex.Lock()
			answered = err == nil
			d.calledBack(next, status, err)
		}
		if answered {
			r.failures = 0
			d.mutex.Unlock()
			continue
		}
		r.failures++
		r.workers--
		d.startReceiver(host, r)
		d.mutex.Unlock()
		return
	}
}

// call makes one call.
func (d *Dispatcher) call(address, id, state, stamp string, last bool) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callbackTimeout)
	defer cancel()
	return d.client.Callback(ctx, address, id, state, stamp, last)
}

// calledBack books the end of a call. The mutex is held.
func (d *Dispatcher) calledBack(done callback, status int, err error) {
	taken := err == nil && (status/100 == 2 || status == http.StatusBadRequest)
	if taken {
		d.counters.callbacks.Add(1)
		d.callbackDone(done.owned, done.entry)
		return
	}
	done.owned.RetryCallback(d.now(), done.entry)
	if at, some := done.owned.Wake(); some {
		d.wakeAt(at)
	}
}

// callbackDone records that nothing is owed any more. The mutex is held.
func (d *Dispatcher) callbackDone(owned *ownedQueue, entry *queue.Entry) {
	owned.CallbackTaken(d.now(), entry)
	d.recordEnd(owned, entry)
}
