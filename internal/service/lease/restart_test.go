package lease

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

func process(node string, incarnation uint64) protocol.Identity {
	return protocol.Identity{Node: node, Role: "dispatcher", Incarnation: incarnation}
}

func TestRestartedStoreGrantsWhatNobodyCanHold(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	promises := map[string]Promise{"taken": {Epoch: 4, By: SessionID{Node: "a", Incarnation: 1}}}
	g := NewGrantor(now, 1, promises)
	other := process("b", 1)
	c.Assert(g.Acquire(now, other, 1, "new", 1, false).Allowed, qt.IsFalse)
	g.PromisesComplete()
	c.Assert(g.Acquire(now, other, 1, "taken", 5, false).Allowed, qt.IsFalse)
	c.Assert(g.Acquire(now, other, 1, "new", 1, false).Allowed, qt.IsTrue)

	g.Renew(now, process("a", 2), true, 1) // the process that had the lease has ended
	c.Assert(g.Acquire(now, other, 1, "taken", 5, false).Allowed, qt.IsTrue)
}

func TestLaterProcessEndsTheLeasesOfTheEarlier(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	g := NewGrantor(now.Add(-time.Hour), 1, nil)
	c.Assert(g.Acquire(now, process("a", 1), 1, "q", 1, false).Allowed, qt.IsTrue)
	c.Assert(g.Acquire(now, process("b", 1), 1, "q", 2, false).Allowed, qt.IsFalse)
	g.Renew(now, process("a", 2), true, 1)
	c.Assert(g.Acquire(now, process("b", 1), 1, "q", 2, false).Allowed, qt.IsTrue)
}

func TestEarlierProcessDoesNotEndTheLater(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	g := NewGrantor(now.Add(-time.Hour), 1, nil)
	c.Assert(g.Acquire(now, process("a", 2), 1, "q", 1, false).Allowed, qt.IsTrue)
	g.Renew(now, process("a", 1), true, 1)
	c.Assert(g.Acquire(now, process("b", 1), 1, "q", 2, false).Allowed, qt.IsFalse)
}
