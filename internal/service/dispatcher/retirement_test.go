package dispatcher

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/settings"
)

// withStores returns a dispatcher that does no I/O, with the named stores up.
func withStores(names ...string) *Dispatcher {
	s := &settings.Settings{Node: "edge-1", Zone: "a", IP: "127.0.9.43", InternalPorts: []int{29880, 29895}}
	s.FaultTolerance.Machines = 1
	d := newDispatcher(s, logr.Discard())
	for _, name := range names {
		d.stores[name] = &storeLink{
			node: name, zone: name, up: true, renewNow: make(chan struct{}, 1), sendEndsNow: make(chan struct{}, 1),
			pendingEnds: map[string]protocol.End{}, pendingFailures: map[string]int{}, lostDisks: map[string]bool{},
			storeID: "disk-" + name, completeDisk: "disk-" + name, stop: func() {},
		}
	}
	return d
}

func (d *Dispatcher) own(name string) *ownedQueue {
	owned := &ownedQueue{Queue: queue.New(name, 1), accepting: map[string]chan struct{}{}, heldFor: map[string]protocol.Identity{}}
	d.queues[name] = owned
	return owned
}

func TestCopiesOfALeavingStoreAreWrittenElsewhere(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c", "d")
	owned := d.own("ordered/1")
	head := protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}
	entry := owned.Add(0, head, nil, []string{"a", "b"})
	a := d.stores["a"]
	d.noteLeaving(a, true)
	c.Assert(d.repairs, qt.HasLen, 1)
	for _, link := range d.candidates() {
		c.Assert(link.node, qt.Not(qt.Equals), "a")
	}
	c.Assert(d.enoughCopies(entry), qt.IsFalse, qt.Commentf("one copy elsewhere is not enough"))
	entry.Holders = append(entry.Holders, "c")
	c.Assert(d.enoughCopies(entry), qt.IsTrue)
	c.Assert(a.leaving, qt.IsTrue)
}

func TestCopiesAfterSecondRetirementAndDiskLoss(t *testing.T) {
	c := qt.New(t)
	d := withStores("a", "b", "c", "d", "e")
	owned := d.own("ordered/1")
	head := protocol.Head{ID: "m", Queue: owned.Name, State: protocol.Queued}
	entry := owned.Add(0, head, nil, []string{"a", "b", "c"})
	d.noteLeaving(d.stores["a"], true)
	c.Assert(d.enoughCopies(entry), qt.IsTrue)
	d.noteLeaving(d.stores["b"], true)
	c.Assert(d.enoughCopies(entry), qt.IsFalse)
	entry.Holders = append(entry.Holders, "d")
	c.Assert(d.enoughCopies(entry), qt.IsTrue)
	d.handleLostCopiesOf(d.stores["c"])
	c.Assert(d.enoughCopies(entry), qt.IsFalse)
	c.Assert(d.repairs, qt.Not(qt.HasLen), 0)
}
