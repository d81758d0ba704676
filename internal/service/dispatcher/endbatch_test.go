package dispatcher

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// endRefusals records ends, except for those with a seal over the bound.
type endRefusals struct {
	*recordedEnds
	whole bool // refuse the whole batch, as earlier builds do
	calls int
}

func (r *endRefusals) serve(batch protocol.EndBatch) (protocol.EndBatchReply, error) {
	r.calls++
	reply := protocol.EndBatchReply{StoreID: "disk"}
	var kept []protocol.End
	for _, end := range batch.Ends {
		if err := end.Check(); err != nil {
			if r.whole {
				return reply, errors.New("store: " + err.Error())
			}
			reply.Refused = append(reply.Refused, protocol.RefusedEnd{ID: end.ID, Queue: end.Queue, Cause: err.Error()})
			continue
		}
		kept = append(kept, end)
	}
	r.record(protocol.EndBatch{Ends: kept})
	return reply, nil
}

// LOST: an end that stores refuse must not keep the ends beside it from being recorded, neither at stores that refuse the
// whole batch because of it (earlier builds) nor at those that name it.
func TestRefusedEndKeepsNoOtherEndFromBeingRecorded(t *testing.T) {
	for _, whole := range []bool{true, false} {
		t.Run(fmt.Sprint("whole ", whole), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testRefusedEnd(t, qt.New(t), whole) })
		})
	}
}

func testRefusedEnd(t *testing.T, c *qt.C, whole bool) {
	const others = 600
	stores := acquireStores(3)
	refusals := make([]*endRefusals, len(stores))
	for i, store := range stores {
		refusals[i] = &endRefusals{recordedEnds: newRecordedEnds(), whole: whole}
		store.endsOrError = refusals[i].serve
	}
	d, end := withScriptedStores(c, stores)
	ctx, stop := context.WithCancel(t.Context())
	for _, link := range d.stores {
		go d.sendEnds(ctx, link)
	}
	d.mutex.Lock()
	owned := addOwnedQueue(d, "ordered/1", 1)
	finish := func(id, seal string) *queue.Entry {
		head := protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour, CallbackURL: "http://10.9.0.1/done"}
		entry := owned.Add(d.now(), head, nil, []string{"storage-1", "storage-2"})
		d.endEntry(owned, entry, protocol.Completed, seal)
		return entry
	}
	refused := finish("refused", strings.Repeat("5", protocol.MaxFieldBytes+1))
	var entries []*queue.Entry
	for i := range others {
		entries = append(entries, finish(fmt.Sprint("m-", i), "seal"))
	}
	d.mutex.Unlock()
	const renewals = 15
	for range renewals { // which wake the goroutines that send ends
		time.Sleep(renewInterval)
		d.mutex.Lock()
		d.checkUnsafeEnds()
		for _, link := range d.stores {
			signal(link.sendEndsNow)
		}
		d.mutex.Unlock()
	}
	d.mutex.Lock()
	safe := 0
	for _, entry := range entries {
		if d.endIsSafe(entry) {
			safe++
		}
	}
	c.Check(safe, qt.Equals, others)
	c.Check(d.endIsSafe(refused), qt.IsFalse)
	c.Check(d.allEndsRecorded(), qt.IsTrue, qt.Commentf("a refused end holds up no dispatcher that leaves"))
	c.Check(d.queueEndsRecorded(owned.Name), qt.IsTrue)
	d.mutex.Unlock()
	for _, r := range refusals[:2] {
		c.Check(r.get("refused").ID, qt.Equals, "")
		c.Check(r.get("m-0").Stamp, qt.Equals, "seal")
		c.Check(r.calls < 8*renewals, qt.IsTrue, qt.Commentf("%d batches", r.calls))
	}
	stop()
	end()
}

// Batches that a store refuses whole are halved until an end is alone, which then waits; the others go on in whole batches.
func TestEndAtFaultIsIsolated(t *testing.T) {
	c := qt.New(t)
	pending, failures := map[string]protocol.End{"bad": {ID: "bad"}}, map[string]int{"f": 1}
	for i := range 2 * maxEndsPerBatch {
		id := fmt.Sprint(i)
		pending[id] = protocol.End{ID: id}
	}
	var batches endBatches
	calls, now := 0, time.Second
	for ; len(pending)+len(failures) > 1; calls++ {
		batch := batches.next(now, pending, failures)
		c.Assert(len(batch.Ends)+len(batch.Failures) > 0, qt.IsTrue)
		contains := false
		for _, end := range batch.Ends {
			contains = contains || end.ID == "bad"
		}
		if contains {
			c.Check(batches.batchRefused(now, batch), qt.Equals, len(batch.Ends) == 1 && len(batch.Failures) == 0)
			continue
		}
		batches.accepted()
		for _, end := range batch.Ends {
			batches.recorded(end.ID)
			delete(pending, end.ID)
		}
		for _, failed := range batch.Failures {
			delete(failures, failed.ID)
		}
	}
	if !batches.waits("bad") { // it may be the last one left
		c.Check(batches.batchRefused(now, batches.next(now, pending, failures)), qt.IsTrue)
	}
	c.Check(batches.next(now, pending, failures), qt.DeepEquals, protocol.EndBatch{})
	now += refusedEndRetry
	again := batches.next(now, pending, failures)
	c.Check(again.Ends, qt.DeepEquals, []protocol.End{{ID: "bad"}}, qt.Commentf("it is sent again, alone"))
	c.Check(batches.batchRefused(now, again), qt.IsFalse)
	pending["good"] = protocol.End{ID: "good"}
	c.Check(batches.next(now, pending, failures).Ends, qt.DeepEquals, []protocol.End{{ID: "good"}})
	batches.recorded("bad")
	c.Check(batches.next(now, pending, failures).Ends, qt.HasLen, 2)
}

// An end that no store keeps does not count when a process of an earlier build reports it: the message stays open.
func TestReportedEndOverTheBoundIsNotTaken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := newSimulatedDispatcher(millisecondNetwork())
		d.mutex.Lock()
		owned := addOwnedQueue(d, "ordered/1", 1)
		for id, seal := range map[string]int{"long": protocol.MaxFieldBytes, "too-long": protocol.MaxFieldBytes + 1} {
			owned.Add(d.now(), protocol.Head{ID: id, Queue: owned.Name, Retention: time.Hour, Delay: time.Minute}, nil, nil)
			reported := protocol.End{ID: id, Queue: owned.Name, State: protocol.Completed, Stamp: strings.Repeat("5", seal)}
			d.applyOutcome(owned, protocol.Outcome{End: reported, Failures: 2})
		}
		c.Check(owned.Get("long").Head.State, qt.Equals, protocol.Completed)
		c.Check(owned.Get("too-long").Head.State, qt.Equals, protocol.Queued)
		c.Check(owned.Get("too-long").Head.Failures, qt.Equals, 2)
		d.mutex.Unlock()
		end()
	})
}

// Ends with long seals go in batches that a slow link carries within the time-out.
func TestEndBatchesAreBoundedInBytes(t *testing.T) {
	c := qt.New(t)
	pending := map[string]protocol.End{}
	for i := range maxEndsPerBatch {
		id := fmt.Sprint(i)
		pending[id] = protocol.End{ID: id, Stamp: strings.Repeat("5", protocol.MaxFieldBytes)}
	}
	var batches endBatches
	batch := batches.next(time.Second, pending, nil)
	c.Check(len(batch.Ends)*protocol.MaxFieldBytes <= attemptBatchBytes+protocol.MaxFieldBytes, qt.IsTrue)
}

// However many ends a store refuses, they hold up no end that it takes.
func TestManyRefusedEndsHoldUpNoOther(t *testing.T) {
	c := qt.New(t)
	pending := map[string]protocol.End{}
	var batches endBatches
	reported := 0
	for i := range 10 * maxRefusedPerWakeUp {
		id := fmt.Sprint("bad-", i)
		pending[id] = protocol.End{ID: id}
		if batches.batchRefused(0, protocol.EndBatch{Ends: []protocol.End{pending[id]}}) {
			reported++
		}
	}
	c.Check(reported, qt.Equals, maxReportedAside)
	pending["good"] = protocol.End{ID: "good"}
	batch := batches.next(2*refusedEndRetry, pending, nil)
	c.Check(batch.Ends, qt.DeepEquals, []protocol.End{{ID: "good"}})
	delete(pending, "good")
	c.Check(batches.next(2*refusedEndRetry, pending, nil).Ends, qt.HasLen, 1)
}
