package control

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/register"
)

// tick runs rounds of maintenance on the first member and returns its newest value.
func (g *fixture) tick(rounds int) *register.Value {
	for range rounds {
		g.maintenances[1].tick(context.Background())
		time.Sleep(storeCheckInterval)
	}
	return g.maintenances[1].replica.known().Value
}

// A new disk is marked full only after a reconciliation, however long that takes,
// and not if the disk is lost again in the meantime.
func TestNewDiskIsFullOnlyAfterReconciliation(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c")
		g.tick(1)
		g.state("a").StoreID, g.scripts["a"].member.StoreID = "second", "second"
		g.tick(3)
		time.Sleep(time.Minute)
		value := g.tick(3)
		c.Assert(value.Stores[0].StoreID, qt.Equals, "second")
		c.Assert(value.Stores[0].Full(), qt.IsFalse)
		requests := g.scripts["a"].requests
		c.Assert(requests, qt.Not(qt.HasLen), 0)
		request := requests[len(requests)-1]
		c.Assert(request.Sequence, qt.Equals, value.StoresChanged)
		c.Assert([]int{request.Copies, request.Reads, len(request.Sources)}, qt.DeepEquals, []int{2, 2, 2})

		g.scripts["a"].done = true
		g.scripts["a"].member.StoreID = "third" // lost again, but the register does not know it yet
		c.Assert(g.tick(1).Stores[0].Full(), qt.IsFalse)
		g.state("a").StoreID = "third"
		c.Assert(g.tick(2).Stores[0].Full(), qt.IsTrue)
	})
}

// A proof is valid only while the disks that were read exist: if one of them is lost
// before the proof is recorded, it has no effect.
func TestProofIsVoidAfterLossOfAReadDisk(t *testing.T) {
	c := qt.New(t)
	value := &register.Value{}
	for _, name := range []string{"a", "b", "c"} {
		store := storeMember(name)
		store.FullStoreID = store.StoreID
		value.Stores = append(value.Stores, store)
	}
	value.Stores[0].StoreID = "second"
	target := register.DiskRef{Node: "a", StoreID: "second"}
	read := []register.DiskRef{{Node: "b", StoreID: "disk-b"}, {Node: "c", StoreID: "disk-c"}}
	proof := register.ReconciliationProof{Read: read, Copies: 2, Tolerated: 1}
	outcome := func(proof register.ReconciliationProof) register.Outcome {
		_, outcome := register.MarkFull(target, proof)(value)
		return outcome
	}
	c.Assert(outcome(proof), qt.Equals, register.Taken)
	c.Assert(outcome(register.ReconciliationProof{Read: read[:1], Copies: 2, Tolerated: 1}), qt.Equals, register.Settled)
	c.Assert(outcome(register.ReconciliationProof{Read: read, Copies: 1, Tolerated: 1}), qt.Equals, register.Settled)
	value.Stores[1].StoreID = "lost"
	c.Assert(outcome(proof), qt.Equals, register.Settled)
	value.Stores[1].StoreID = "disk-b"
	next, _ := register.MarkFull(target, proof)(value)
	c.Assert(next.Stores[0].Full(), qt.IsTrue)
	c.Assert(value.Stores[0].Full(), qt.IsFalse, qt.Commentf("a value is never changed"))
}

// A store that does not answer is first marked missing, so that dispatchers do not rely
// on its copies, and removed only once the others have replicated its entries, however
// long that takes. A store that answers again in time is unmarked, and a replacement store
// does not cause a removal by itself.
func TestLostStoreIsRemovedOnlyAfterReconciliation(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d")
		g.tick(1)
		g.state("a").Alive = false
		c.Assert(g.tick(2).Missing, qt.HasLen, 0)
		time.Sleep(missingAfter)
		c.Assert(g.tick(1).Missing, qt.DeepEquals, []string{"a"})
		g.state("a").Alive = true
		c.Assert(g.tick(1).Missing, qt.HasLen, 0)

		g.state("a").Alive = false
		g.tick(1)
		value := g.tick(300) // a minute: without a reconciliation, time does not remove the store
		c.Assert(value.Missing, qt.DeepEquals, []string{"a"})
		c.Assert(value.Stores, qt.HasLen, 4)
		g.setReconciled(true)
		g.scripts["b"].missing = 2 // it cannot get the entries that only the lost store had
		value = g.tick(1)
		c.Assert(value.Stores, qt.HasLen, 4)
		value = g.tick(1)
		c.Assert(value.Stores, qt.HasLen, 3)
		c.Assert(value.Missing, qt.HasLen, 0)
		c.Assert(g.scripts["c"].requests, qt.Not(qt.HasLen), 0, qt.Commentf("another store copies next"))
	})
}

// Of three stores none is marked missing: too few would remain.
func TestNoStoreIsMarkedMissingIfTooFewAreLive(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c")
		g.setReconciled(true)
		g.tick(1)
		g.state("a").Alive = false
		value := g.tick(300)
		c.Assert(value.Missing, qt.HasLen, 0)
		c.Assert(value.Stores, qt.HasLen, 3)
	})
}

// The acting member stops after it noticed a loss: the next member marks the store
// missing and removes it.
func TestNextMemberRemovesALostStore(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d")
		g.state("a").Alive = false
		g.tick(1)
		n.stop(1)
		g.setReconciled(true)
		for range 40 {
			g.maintenances[2].tick(context.Background())
			time.Sleep(storeCheckInterval)
		}
		value := core[2].known().Value
		c.Assert(value.Stores, qt.HasLen, 3)
		c.Assert(value.Missing, qt.HasLen, 0)
		_, known := value.Store("a")
		c.Assert(known, qt.IsFalse)
	})
}

// A store may be removed while it is only suspected and not yet known to be dead. It must
// not be added again until monitors hear from it.
func TestSuspectedStoreStaysRemoved(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d")
		g.setReconciled(true)
		g.tick(1)
		g.state("a").Suspect = true
		g.tick(1)
		time.Sleep(missingAfter)
		removed := g.tick(2)
		c.Assert(removed.Stores, qt.HasLen, 3)
		c.Assert(g.tick(5).StoresChanged, qt.Equals, removed.StoresChanged)
		g.state("a").Suspect = false
		c.Assert(g.tick(2).Stores, qt.HasLen, 4, qt.Commentf("reachable again after a partition"))
	})
}

// A store that cannot copy a message keeps the departing store only until another one, which can, has been asked.
func TestAnotherStoreCopiesWhatOneCannot(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d")
		g.tick(1)
		g.state("a").Alive = false
		g.tick(2)
		time.Sleep(missingAfter)
		g.tick(1)
		g.setReconciled(true)
		g.scripts["b"].done, g.scripts["b"].refused = false, 1 // the first one that is asked
		c.Assert(g.tick(2).Stores, qt.HasLen, 3)
		c.Assert(g.scripts["b"].requests, qt.Not(qt.HasLen), 0)
	})
}
