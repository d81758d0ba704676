package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

// TWICE: a dispatcher that leaves reads a success after it has released the queue, and does not know the new owner yet. It
// must not end before another process knows the success: the message does not run again.
func TestSuccessReadWhileLeavingIsNotRunAgain(t *testing.T) {
	const (
		grace    = time.Second
		answered = 750 * time.Millisecond // after the release, at 0.6 of the grace period, and before the end at 0.85
	)
	for name, tc := range map[string]struct {
		takeOverAfter, work time.Duration
		runs                int
		again               time.Duration // earliest time of the last run
	}{
		"acquired before the success": {650 * time.Millisecond, answered, 1, 0},
		"acquired after the success":  {800 * time.Millisecond, answered, 1, 0},
		"acquired after the end":      {time.Second, answered, 1, 0},
		"no answer before the end":    {650 * time.Millisecond, 950 * time.Millisecond, 2, routeTimeout}, // held as long as a sender may have it
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newQueueHandover(t, c, func(run int, id string) int {
					if run == 1 {
						time.Sleep(tc.work)
					}
					return http.StatusOK
				})
				defer r.end()
				for _, d := range []*Dispatcher{r.old, r.new} {
					d.mutex.Lock()
					for _, link := range d.stores {
						link.keepsAttempts = true
					}
					d.mutex.Unlock()
				}
				r.old.settings.Bounds.GraceS = grace.Seconds()
				listener, err := r.network.Process("10.1.0.3").Listen("10.1.0.3:80")
				c.Assert(err, qt.IsNil)
				time.Sleep(freezeDelay)
				front := r.old.serveFront(context.Background(), listener)
				time.AfterFunc(tc.takeOverAfter, func() {
					r.new.mutex.Lock()
					r.new.highestEpochs["ordered/1"] = 1
					r.new.mutex.Unlock()
					r.new.acquire(t.Context(), []string{"ordered/1"})
				})
				began := time.Now()
				r.old.leave(front)
				c.Check(time.Since(began) < grace, qt.IsTrue)
				r.endOldProcess()
				time.Sleep(5 * time.Second)
				r.mutex.Lock()
				defer r.mutex.Unlock()
				for _, id := range []string{"first", "quick"} {
					arrivals := r.arrivalsOf(id)
					c.Assert(arrivals, qt.HasLen, tc.runs, qt.Commentf("%v", r.arrivals))
					c.Check(arrivals[len(arrivals)-1] >= tc.again, qt.IsTrue, qt.Commentf("%v", r.arrivals))
				}
				c.Check(r.arrivalsOf("behind"), qt.HasLen, 1, qt.Commentf("%v", r.arrivals))
				c.Check(r.ends["first"].Epoch, qt.Equals, uint64(2))
			})
		})
	}
}

// TWICE: a dispatcher that leaves begins no attempt that may outlast it, so that no message has to run again.
func TestLeavingDispatcherBeginsOnlyWhatItCanFinish(t *testing.T) {
	for name, tc := range map[string]struct {
		left time.Duration // until it stops reading answers
		runs int
	}{
		"time for an attempt": {routeTimeout + 10*time.Millisecond, 1},
		"too little time":     {routeTimeout - 10*time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				r := newQueueHandover(t, c, func(int, string) int { return http.StatusOK })
				defer r.end()
				time.Sleep(freezeDelay)
				r.old.mutex.Lock()
				r.old.attemptsEnd = r.old.now() + tc.left
				owned := r.old.queues["ordered/1"]
				owned.Add(r.old.now(), protocol.Head{ID: "late", State: protocol.Queued, Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute}, nil, nil)
				r.old.pump(owned)
				r.old.mutex.Unlock()
				time.Sleep(3 * time.Second)
				r.mutex.Lock()
				defer r.mutex.Unlock()
				c.Check(r.arrivalsOf("late"), qt.HasLen, tc.runs)
			})
		})
	}
}

// TWICE: all messages that senders have when their queue is released are held by the next owner, however many they are.
func TestReleaseWithMoreAttemptsThanOneRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const running = 2*maxAttemptsPerRelease + 10
		stores := acquireStores(3)
		released := 0
		for _, store := range stores {
			store.release = func(request protocol.Release) { released = len(request.Attempts) }
		}
		d, end := withScriptedStores(c, stores)
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		owned := d.queues["ordered/1"]
		for i := range running {
			id := fmt.Sprintf("m-%d", i)
			entry := owned.Add(d.now(), protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour}, nil, nil)
			entry.Phase = queue.Running
			d.deliveries[id] = &deliveryState{key: id, owned: owned, entry: entry, service: d.services["s"], submitted: true, deadline: time.Hour}
		}
		for _, link := range d.stores {
			link.keepsAttempts = true
		}
		d.mutex.Unlock()
		over, cancel := context.WithCancel(t.Context())
		cancel()
		d.handOver(over, owned, "")
		c.Check(released, qt.Equals, maxAttemptsPerRelease)
		stores[0].mutex.Lock()
		c.Check(stores[0].kept["ordered/1"], qt.HasLen, running-maxAttemptsPerRelease)
		stores[0].mutex.Unlock()
		end()
	})
}

// LOST: a queue whose unsettled attempts have long seals is released all the same, and the next owner learns of each of them.
func TestReleaseWithLongSealsFitsIntoFrames(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const ended = transport.MaxFrame/protocol.MaxFieldBytes + 100
		stores := acquireStores(3)
		told := map[string]bool{}
		for i, store := range stores {
			store.endsOrError = func(protocol.EndBatch) (protocol.EndBatchReply, error) {
				return protocol.EndBatchReply{}, errors.New("no")
			}
			store.release = func(request protocol.Release) {
				for _, attempt := range request.Attempts {
					told[attempt.ID] = told[attempt.ID] || i == 0
				}
			}
		}
		d, end := withScriptedStores(c, stores)
		d.acquire(t.Context(), []string{"ordered/1"})
		d.mutex.Lock()
		for _, link := range d.stores {
			link.keepsAttempts = true
		}
		owned := d.queues["ordered/1"]
		seal := strings.Repeat("5", protocol.MaxFieldBytes)
		for i := range ended {
			entry := owned.Add(d.now(), protocol.Head{ID: fmt.Sprintf("m-%d", i), Queue: owned.Name, Retention: time.Hour}, nil, nil)
			d.endEntry(owned, entry, protocol.Completed, seal)
		}
		d.mutex.Unlock()
		over, cancel := context.WithCancel(t.Context())
		cancel()
		d.handOver(over, owned, "")
		stores[0].mutex.Lock()
		c.Check(stores[0].released, qt.Equals, 1)
		for _, attempt := range stores[0].kept["ordered/1"] {
			told[attempt.ID] = true
		}
		c.Check(told, qt.HasLen, ended)
		stores[0].mutex.Unlock()
		end()
	})
}
