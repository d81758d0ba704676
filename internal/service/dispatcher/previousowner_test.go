package dispatcher

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// A dispatcher that is asked to relinquish a queue gives it up for a newer epoch only, and tells all that the stores
// may not know, also if it had lost the queue before.
func TestRelinquish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := withStores("a", "b", "c")
		owned := d.own("ordered/1")
		add := func(id string) *queue.Entry {
			return owned.Add(d.now(), protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour}, nil, nil)
		}
		ended, overdue := add("ended"), add("overdue")
		owned.Advance(d.now())
		add("open")
		d.endEntry(owned, ended, protocol.Completed, "seal")
		request := protocol.Relinquish{Queue: owned.Name, Epoch: owned.Epoch + 1, Incarnation: d.identity.Incarnation}

		replaced := request
		replaced.Incarnation--
		reply, err := d.handleRelinquish(replaced)
		c.Assert(err, qt.IsNil)
		c.Check(reply, qt.DeepEquals, protocol.RelinquishReply{Replaced: true})
		older := request
		older.Epoch = owned.Epoch
		_, err = d.handleRelinquish(older)
		c.Check(err, qt.ErrorIs, errOwnsNewerEpoch)
		c.Assert(owned.dropped, qt.IsFalse)
		for _, more := range []bool{false, true} {
			reply, err = d.handleRelinquish(request)
			c.Assert(err, qt.IsNil)
			c.Assert(owned.dropped, qt.IsTrue)
			told := map[string]protocol.Attempt{}
			for _, attempt := range reply.Attempts {
				told[attempt.ID] = attempt
			}
			c.Check(told["ended"].End.Stamp, qt.Equals, "seal")
			c.Check(told["late"].End.State.Ended(), qt.Equals, more)
			c.Check(told["failed"].Failures == 2, qt.Equals, more)
			c.Check(told["overdue"].Left == handOverSlack, qt.Equals, more)
			c.Check(told["open"], qt.DeepEquals, protocol.Attempt{})
			d.lateEnds.add(d.now(), protocol.End{ID: "late", Queue: owned.Name, State: protocol.Completed})
			d.unreportedOutcomes[owned.Name] = &outcomeReport{outcomes: []protocol.Outcome{{End: protocol.End{ID: "failed", Queue: owned.Name}, Failures: 2}}}
			d.deliveries["overdue"] = &deliveryState{key: "overdue", owned: owned, entry: overdue, deadline: -time.Second}
		}
		d.stop()
		time.Sleep(time.Second)
	})
}

// The answer of a previous owner ends the hold of all messages but those that it, or another owner before it, has at senders.
func TestAnswerOfPreviousOwnerEndsHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := withStores("a", "b", "c")
		owned := d.own("ordered/1")
		held := map[string]*queue.Entry{}
		wait := d.newPreviousOwnerWait(owned, protocol.Identity{Node: "edge-2"})
		for _, id := range []string{"open", "sent", "earlier"} {
			held[id] = owned.Add(d.now(), protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour}, nil, nil)
			wait.hold(held[id], time.Minute)
		}
		owned.heldFor["earlier"] = protocol.Identity{Node: "edge-3"}
		time.Sleep(time.Second)
		d.applyRelinquished(wait, protocol.RelinquishReply{Attempts: []protocol.Attempt{{ID: "sent", Left: 500 * time.Millisecond}}})
		c.Check(held["open"].HeldUntil(), qt.Equals, time.Duration(0))
		c.Check(held["sent"].HeldUntil(), qt.Equals, 1500*time.Millisecond)
		c.Check(held["earlier"].HeldUntil(), qt.Equals, time.Minute)
		c.Check(owned.heldFor["sent"], qt.Equals, wait.previous)
	})
}

// Messages are held for another process that most stores report as silent, and for no other.
func TestSilentOwnerIsReportedByMostStores(t *testing.T) {
	other := protocol.Identity{Node: "edge-2", Incarnation: 7, Address: "10.1.0.9:7784"}
	for name, tc := range map[string]struct {
		reports func(d *Dispatcher, store int) protocol.Identity
		held    bool
	}{
		"all":    {func(*Dispatcher, int) protocol.Identity { return other }, true},
		"most":   {func(_ *Dispatcher, store int) protocol.Identity { return []protocol.Identity{other, other, {}}[store] }, true},
		"one":    {func(_ *Dispatcher, store int) protocol.Identity { return []protocol.Identity{{}, other, {}}[store] }, false},
		"itself": {func(d *Dispatcher, _ int) protocol.Identity { return d.identity }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(3)
				d, end := withScriptedStoresOn(c, millisecondNetwork(), stores)
				defer end()
				for i, store := range stores {
					head := protocol.Head{ID: "m", Host: "a.example", Target: "/a/", Retention: time.Minute, State: protocol.Queued}
					delayed := head
					delayed.ID, delayed.Delay = "delayed", 30*time.Second
					grant := grantAll(head, delayed)
					store.acquire = func(request protocol.Acquire) protocol.AcquireReply {
						reply := grant(request)
						reply.Grants[0].SilentOwner = tc.reports(d, i)
						return reply
					}
				}
				d.acquire(t.Context(), []string{"ordered/1"})
				d.mutex.Lock()
				c.Check(d.queues["ordered/1"].Get("m").HeldUntil() > 0, qt.Equals, tc.held)
				c.Check(d.queues["ordered/1"].Get("delayed").HeldUntil(), qt.Equals, time.Duration(0))
				d.mutex.Unlock()
			})
		})
	}
}

// A process that acquires a queue again does not wait for its own earlier attempts any longer than they may take.
func TestOwnEarlierAttemptIsNotAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newQueueHandover(t, c, func(int, string) int { return http.StatusOK })
		defer r.end()
		r.old.mutex.Lock()
		owned := r.old.queues["ordered/1"]
		owned.Add(r.old.now(), protocol.Head{ID: "earlier", Method: "POST", Host: "a.example", Target: "/a/", Retention: time.Minute}, nil, nil)
		r.old.applyAttempts(owned, []protocol.Attempt{{ID: "earlier", Left: time.Second, Owner: r.old.identity}})
		r.old.pump(owned)
		r.old.mutex.Unlock()
		time.Sleep(1500 * time.Millisecond)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		c.Check(r.arrivalsOf("earlier"), qt.HasLen, 1)
	})
}

// A previous owner tells of all its attempts, in pages, however many they are.
func TestRelinquishedAttemptsAreReadInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newQueueHandover(t, c, func(int, string) int { return http.StatusOK })
		defer r.end()
		time.Sleep(freezeDelay)
		r.old.mutex.Lock()
		for i := range maxLateEnds - 1 {
			end := protocol.End{ID: fmt.Sprintf("%0200d", i), Queue: "ordered/1", State: protocol.Completed, Stamp: strings.Repeat("s", 600)}
			r.old.lateEnds.add(r.old.now(), end)
		}
		told := len(r.old.attemptsOfDropped("ordered/1"))
		r.old.mutex.Unlock()
		owned := &ownedQueue{Queue: queue.New("ordered/1", 9)}
		reply, err := r.new.askToRelinquish(r.new.newPreviousOwnerWait(owned, r.old.identity))
		c.Assert(err, qt.IsNil)
		c.Check(len(reply.Attempts) >= told, qt.IsTrue, qt.Commentf("%d of %d", len(reply.Attempts), told))
	})
}
