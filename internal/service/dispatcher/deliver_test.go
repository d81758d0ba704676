package dispatcher

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

// An attempt whose connection comes up after the lease has ended is not sent.
func TestAttemptIsNotSentAfterTheLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newQueueHandover(t, c, func(int, string) int { return http.StatusOK })
		defer r.end()
		time.Sleep(5 * time.Second) // idle connections are closed
		const senderIP = "10.5.0.1"
		send := func(id string, leaseEnds bool) {
			r.network.Cut(edgeIP, senderIP, true)
			r.old.mutex.Lock()
			owned := r.old.queues["ordered/1"]
			owned.Add(r.old.now(), protocol.Head{ID: id, Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute}, nil, nil)
			r.old.pump(owned)
			r.old.mutex.Unlock()
			time.Sleep(50 * time.Millisecond)
			r.old.mutex.Lock()
			if leaseEnds {
				for node := range r.old.stores {
					r.old.leases.Lost(node)
				}
			}
			r.old.mutex.Unlock()
			r.network.Cut(edgeIP, senderIP, false)
			time.Sleep(5 * time.Second)
		}
		send("under a lease", false)
		send("without a lease", true)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		c.Check(r.arrivalsOf("under a lease"), qt.HasLen, 1)
		c.Check(r.arrivalsOf("without a lease"), qt.HasLen, 0)
	})
}
