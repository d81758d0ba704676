package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/view"
)

// A disk counts when the register says that it holds all that it must, not when
// it is old enough.
func TestDisksCountByEvidence(t *testing.T) {
	c := qt.New(t)
	link := &storeLink{fullDisk: "first"}
	c.Assert(link.counts("first"), qt.IsTrue)
	c.Assert(link.counts("second"), qt.IsFalse)
	c.Assert((&storeLink{}).counts(""), qt.IsFalse, qt.Commentf("nothing is known of it"))
}

// Grants of a store whose disk may lack messages make up no lease beside one that
// was behind, however long they last.
func TestNoLeaseFromADiskThatMayLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d, end := withScriptedStores(c, acquireStores(3))
		d.mutex.Lock()
		d.stores["storage-1"].storeID = "new disk"
		d.stores["storage-2"].up = false
		d.mutex.Unlock()
		for range 20 {
			d.acquire(t.Context(), []string{"ordered/1"})
			time.Sleep(time.Second)
		}
		d.mutex.Lock()
		c.Check(d.queues["ordered/1"], qt.IsNil)
		owned := own(d, "ordered/1", 3)
		for _, node := range []string{"storage-1", "storage-3"} {
			d.leases.Renewed(node, d.now(), d.now())
			d.noteGrant(owned, d.stores[node], d.now())
		}
		c.Check(d.mayAct(owned), qt.IsFalse)
		d.stores["storage-1"].fullDisk = "new disk"
		c.Check(d.mayAct(owned), qt.IsTrue)
		d.mutex.Unlock()
		end()
	})
}

// A store loses its disk after it has acknowledged a copy, and before the other
// store acknowledges its own: what is left is one copy, which is no 202.
func TestCopyOnADiskThatIsLostMeanwhile(t *testing.T) {
	for _, how := range []string{"told by the store", "told by the register", "the store leaves"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				stores := acquireStores(2)
				stores[1].append = func(protocol.Append) protocol.AppendReply {
					time.Sleep(100 * time.Millisecond)
					return protocol.AppendReply{Status: protocol.Stored, StoreID: "disk"}
				}
				d, end := withScriptedStores(c, stores)
				d.mutex.Lock()
				owned := own(d, "ordered/1", 1)
				d.mutex.Unlock()
				time.AfterFunc(50*time.Millisecond, func() {
					d.mutex.Lock()
					defer d.mutex.Unlock()
					link := d.stores["storage-1"]
					switch how {
					case "told by the store":
						d.noteDisk(link, "new disk")
					case "told by the register":
						d.noteListed(link, "new disk", "disk")
					default:
						d.noteLeaving(link, true)
					}
				})
				head := protocol.Head{ID: "m", Queue: "ordered/1", Retention: time.Minute}
				d.mutex.Lock()
				status := d.acceptInto(t.Context(), owned, protocol.Message{Head: head})
				c.Check(status, qt.Equals, protocol.Undecided)
				end()
			})
		})
	}
}

// What the register says of disks may be older than what a store tells itself.
func TestOlderWordOfADiskChangesNothing(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b")
	link := d.stores["a"]
	d.noteDisk(link, "second")
	d.noteListed(link, "disk-a", "disk-a")
	c.Assert(link.storeID, qt.Equals, "second")
	c.Assert(link.countsNow(), qt.IsFalse)
	d.noteListed(link, "second", "second")
	c.Assert(link.countsNow(), qt.IsTrue)
	d.noteListed(link, "third", "second")
	c.Assert(link.storeID, qt.Equals, "", qt.Commentf("the store has not told its disk yet"))
	c.Assert(link.countsNow(), qt.IsFalse)
}

// An older view of the stores does not come back.
func TestOlderViewOfStoresIsPassedOver(t *testing.T) {
	c := qt.New(t)
	d := withStores()
	stores := func(sequence uint64, full string) view.Configuration {
		node := view.Node{Name: "a", Address: "10.2.0.1:7783", StoreID: full, FullStoreID: full}
		return view.Configuration{Sequence: 9, StoresChanged: sequence, Stores: []view.Node{node}}
	}
	d.takeConfiguration(stores(5, "second"))
	d.takeConfiguration(stores(4, "first"))
	defer d.end()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	c.Assert(d.stores["a"].fullDisk, qt.Equals, "second")
	c.Assert(d.storesKnown, qt.Equals, uint64(5))
}

// Ends of which a store had one of two records are recorded again when its disk
// is lost, and are not when it is only away.
func TestEndsAreRecordedAgainAfterALostDisk(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c")
	owned := d.own("ordered/1")
	entry := owned.Add(0, protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}, nil, []string{"a", "b"})
	owned.Advance(0)
	d.endEntry(owned, entry, protocol.Completed, "seal")
	for _, node := range []string{"a", "b"} {
		d.noteEndKept(d.stores[node], d.stores[node].ends["m"], nil)
		clear(d.stores[node].ends)
	}
	c.Assert(entry.Phase, qt.Equals, queue.Done)
	c.Assert(d.endIsSafe(entry), qt.IsTrue)
	d.copiesAway(d.stores["a"])
	c.Assert(d.stores["c"].ends, qt.HasLen, 0)
	d.noteDisk(d.stores["a"], "second")
	c.Assert(d.endIsSafe(entry), qt.IsFalse)
	c.Assert(d.stores["c"].ends["m"].Stamp, qt.Equals, "seal")
}

// An end that a store was asked to record, or has recorded, is recorded at another one when that store does
// not count any more.
func TestEndIsRecordedElsewhereOnceAStoreIsOut(t *testing.T) {
	for name, out := range map[string]func(*Dispatcher, *storeLink){
		"its disk is lost":        func(d *Dispatcher, link *storeLink) { d.noteDisk(link, "second") },
		"it is removed":           func(d *Dispatcher, link *storeLink) { d.forgetStore(link) },
		"it leaves":               func(d *Dispatcher, link *storeLink) { d.noteLeaving(link, true) },
		"it refuses, as outbid":   refuseEnds,
		"it acknowledges nothing": func(d *Dispatcher, link *storeLink) { link.unanswered, link.unansweredSince = 1, d.now()-time.Second },
		"it records no ends":      func(d *Dispatcher, link *storeLink) { link.endsSent = d.now() - time.Second },
	} {
		for _, recorded := range []bool{false, true} {
			d := withStores("a", "b", "c")
			d.started = d.started.Add(-time.Minute)
			owned := d.own("ordered/1")
			entry := owned.Add(d.now(), protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued, Retention: time.Hour}, nil, []string{"a", "b"})
			owned.Advance(d.now())
			d.endEntry(owned, entry, protocol.Completed, "seal")
			keepEnds(d, "a")
			if recorded {
				keepEnds(d, "b")
			}
			out(d, d.stores["b"])
			d.watchEnds()
			answering := []string{"c"}
			if link := d.stores["b"]; link != nil && link.storeID == "second" {
				answering = append(answering, "b")
			}
			if keepEnds(d, answering...); !d.endIsSafe(entry) {
				t.Errorf("%s, recorded %v: kept by %v", name, recorded, entry.EndKept)
			}
		}
	}
}

// A store that does not answer the batch with an end is passed over within a part of the batch's time-out.
func TestEndIsRecordedElsewhereWhileABatchIsUnanswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		stores := acquireStores(3)
		stores[1].ends = func(protocol.EndBatch) protocol.EndBatchReply {
			time.Sleep(time.Minute)
			return protocol.EndBatchReply{}
		}
		d, end := withScriptedStores(c, stores)
		ctx, stop := context.WithCancel(t.Context())
		for _, link := range d.stores {
			go d.sendEnds(ctx, link)
		}
		d.mutex.Lock()
		owned := own(d, "ordered/1", 1)
		entry := owned.Add(d.now(), protocol.Head{ID: "m", Queue: owned.Name, Retention: time.Hour}, nil, []string{"storage-1", "storage-2"})
		d.endEntry(owned, entry, protocol.Completed, "seal")
		d.mutex.Unlock()
		for range 4 {
			time.Sleep(endWatchEvery)
			d.mutex.Lock()
			d.watchEnds()
			d.mutex.Unlock()
		}
		d.mutex.Lock()
		c.Check(d.endIsSafe(entry), qt.IsTrue)
		d.mutex.Unlock()
		stop()
		time.Sleep(2 * time.Minute)
		end()
	})
}

// keepEnds has stores record the ends that wait for them.
func keepEnds(d *Dispatcher, nodes ...string) {
	for _, node := range nodes {
		if link := d.stores[node]; link != nil {
			for id, end := range link.ends {
				delete(link.ends, id)
				d.noteEndKept(link, end, nil)
			}
		}
	}
}

// refuseEnds has a store refuse the ends that wait for it, as it has promised their queue to another.
func refuseEnds(d *Dispatcher, link *storeLink) {
	for id, end := range link.ends {
		delete(link.ends, id)
		d.noteEndKept(link, end, []protocol.RefusedEnd{{ID: id, Queue: end.Queue, Promised: end.Epoch + 1}})
		d.queues[end.Queue].outbid = map[string]bool{link.node: true}
	}
}

// An end goes to another store where one of the message's is away.
func TestEndIsRecordedElsewhereWhileAStoreIsAway(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c")
	owned := d.own("ordered/1")
	entry := owned.Add(0, protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}, nil, []string{"a", "b"})
	owned.Advance(0)
	d.stores["b"].up = false
	d.endEntry(owned, entry, protocol.Completed, "seal")
	c.Assert(d.stores["a"].ends["m"].Stamp, qt.Equals, "seal")
	c.Assert(d.stores["b"].ends["m"].Stamp, qt.Equals, "seal", qt.Commentf("it is told when it is back"))
	c.Assert(d.stores["c"].ends["m"].Stamp, qt.Equals, "seal")
}

// A store that lists a message as open which has ended, a leaving one as well, is told
// of the end; so is one that tells an older owner's word of it.
func TestStoreThatWasAwayLearnsOfEnds(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c", "d")
	owned := d.own("ordered/1")
	head := protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}
	entry := owned.Add(0, head, nil, []string{"b", "c"})
	d.noteLeaving(d.stores["a"], true)
	owned.End(0, entry, protocol.Completed, "seal")
	d.takeLateHead(owned, d.stores["a"], head)
	c.Assert(d.stores["a"].ends["m"].Stamp, qt.Equals, "seal")
	c.Assert(d.stores["a"].ends["m"].Epoch, qt.Equals, owned.Epoch)
	c.Assert(entry.EndKept, qt.HasLen, 0)
	older := head
	older.State, older.Stamp = protocol.Completed, "other"
	d.takeLateHead(owned, d.stores["d"], older)
	c.Assert(d.stores["d"].ends["m"].Stamp, qt.Equals, "seal")
	c.Assert(entry.Head.Stamp, qt.Equals, "seal")
}
