package control

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/register"
)

// tick lets the first member work for some rounds.
func (g *rig) tick(rounds int) *register.Value {
	for range rounds {
		g.upkeeps[1].tick(context.Background())
		time.Sleep(storesEvery)
	}
	return g.upkeeps[1].replica.known().Value
}

// A disk that was empty counts once a reconciliation is done, and not before,
// however long that takes; and not if it is lost again meanwhile.
func TestNewDiskIsFullByEvidenceOnly(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c")
		g.tick(1)
		g.state("a").StoreID, g.scripts["a"].member.StoreID = "second", "second"
		g.tick(3)
		time.Sleep(time.Minute)
		value := g.tick(3)
		c.Assert(value.Stores[0].StoreID, qt.Equals, "second")
		c.Assert(value.Stores[0].Full(), qt.IsFalse)
		orders := g.scripts["a"].orders
		c.Assert(orders, qt.Not(qt.HasLen), 0)
		order := orders[len(orders)-1]
		c.Assert(order.Sequence, qt.Equals, value.StoresChanged)
		c.Assert([]int{order.Copies, order.Reads, len(order.Sources)}, qt.DeepEquals, []int{2, 2, 2})

		g.scripts["a"].done = true
		g.scripts["a"].member.StoreID = "third" // it is lost again, which the register does not know yet
		c.Assert(g.tick(1).Stores[0].Full(), qt.IsFalse)
		g.state("a").StoreID = "third"
		c.Assert(g.tick(2).Stores[0].Full(), qt.IsTrue)
	})
}

// The proof rests on the disks that were read: if one of them is lost before it
// is recorded, it counts for nothing.
func TestProofOfDisksThatAreLost(t *testing.T) {
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
	proof := register.Reconciled{Read: read, Copies: 2, Tolerated: 1}
	outcome := func(proof register.Reconciled) register.Outcome {
		_, outcome := register.MarkFull(target, proof)(value)
		return outcome
	}
	c.Assert(outcome(proof), qt.Equals, register.Taken)
	c.Assert(outcome(register.Reconciled{Read: read[:1], Copies: 2, Tolerated: 1}), qt.Equals, register.Settled)
	c.Assert(outcome(register.Reconciled{Read: read, Copies: 1, Tolerated: 1}), qt.Equals, register.Settled)
	value.Stores[1].StoreID = "lost"
	c.Assert(outcome(proof), qt.Equals, register.Settled)
	value.Stores[1].StoreID = "disk-b"
	next, _ := register.MarkFull(target, proof)(value)
	c.Assert(next.Stores[0].Full(), qt.IsTrue)
	c.Assert(value.Stores[0].Full(), qt.IsFalse, qt.Commentf("a value is never changed"))
}

// A store that is gone is given up first, so that dispatchers count on no copy
// there, and removed once the others have what it had. One that is back in time
// stays, and a store that takes its place makes nothing of it by itself.
func TestLostStoreIsRemovedByEvidenceOnly(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c", "d")
		g.tick(1)
		g.state("a").Alive = false
		c.Assert(g.tick(2).Missing, qt.HasLen, 0)
		time.Sleep(giveUpAfter)
		c.Assert(g.tick(1).Missing, qt.DeepEquals, []string{"a"})
		g.state("a").Alive = true
		c.Assert(g.tick(1).Missing, qt.HasLen, 0)

		g.state("a").Alive = false
		g.tick(1)
		value := g.tick(300) // a minute: that the others lack something is no matter of time
		c.Assert(value.Missing, qt.DeepEquals, []string{"a"})
		c.Assert(value.Stores, qt.HasLen, 4)
		g.reconciled(true)
		g.scripts["b"].missing = 2 // it cannot make up what it holds alone
		value = g.tick(1)
		c.Assert(value.Stores, qt.HasLen, 4)
		value = g.tick(1)
		c.Assert(value.Stores, qt.HasLen, 3)
		c.Assert(value.Missing, qt.HasLen, 0)
		c.Assert(g.scripts["c"].orders, qt.Not(qt.HasLen), 0, qt.Commentf("the next one's turn"))
	})
}

// With three stores none is given up: too few would remain.
func TestNoStoreIsGivenUpWhereTooFewLive(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c")
		g.reconciled(true)
		g.tick(1)
		g.state("a").Alive = false
		value := g.tick(300)
		c.Assert(value.Missing, qt.HasLen, 0)
		c.Assert(value.Stores, qt.HasLen, 3)
	})
}

// The member that noted a loss ends: the next one gives the store up and removes it.
func TestNewDirectorRemovesALostStore(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c", "d")
		g.state("a").Alive = false
		g.tick(1)
		n.stop(1)
		g.reconciled(true)
		for range 40 {
			g.upkeeps[2].tick(context.Background())
			time.Sleep(storesEvery)
		}
		value := core[2].known().Value
		c.Assert(value.Stores, qt.HasLen, 3)
		c.Assert(value.Missing, qt.HasLen, 0)
		_, known := value.Store("a")
		c.Assert(known, qt.IsFalse)
	})
}

// A store that is gone may only be suspected still when the others have been
// reconciled without it. Once removed, it is not entered again until it is heard.
func TestSuspectedStoreStaysRemoved(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c", "d")
		g.reconciled(true)
		g.tick(1)
		g.state("a").Suspect = true
		g.tick(1)
		time.Sleep(giveUpAfter)
		removed := g.tick(2)
		c.Assert(removed.Stores, qt.HasLen, 3)
		c.Assert(g.tick(5).StoresChanged, qt.Equals, removed.StoresChanged)
		g.state("a").Suspect = false
		c.Assert(g.tick(2).Stores, qt.HasLen, 4, qt.Commentf("it was cut off, and is back"))
	})
}
