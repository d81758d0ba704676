package membership

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/view"
)

const period = time.Second

// scenario is a monitor on a clock that tests move.
type scenario struct {
	c       *qt.C
	now     time.Time
	monitor *Monitor
}

func newScenario(c *qt.C) *scenario {
	return &scenario{c: c, now: time.Unix(1000, 0), monitor: NewMonitor("core-1", "10.0.0.1:7004", period)}
}

func beatOf(incarnation, refutation uint64) Heartbeat {
	return Heartbeat{
		Identity: protocol.Identity{Node: "store-1", Role: "store", Incarnation: incarnation},
		Details:  Details{Class: "storage", StoreID: "disk-1"}, Refutation: refutation,
	}
}

// pass lets time go by with regular ticks.
func (b *scenario) pass(duration time.Duration) (changed bool) {
	for end := b.now.Add(duration); b.now.Before(end); {
		b.now = b.now.Add(period / 4)
		changed = b.monitor.Tick(b.now) || changed
	}
	return changed
}

func (b *scenario) beat(beat Heartbeat) HeartbeatReply {
	reply, _ := b.monitor.Beat(b.now, beat)
	return reply
}

func (b *scenario) state() view.NodeState {
	nodes := b.monitor.View().Nodes
	b.c.Assert(nodes, qt.HasLen, 1)
	return nodes[0]
}

func TestMissedHeartbeatsMakeSuspectThenDead(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	b.beat(beatOf(1, 0))
	c.Assert(b.state().StoreID, qt.Equals, "disk-1")
	c.Assert(b.pass(2500*time.Millisecond), qt.IsFalse)
	c.Assert(b.state().Suspect, qt.IsFalse)
	c.Assert(b.pass(period/4), qt.IsTrue)
	c.Assert(b.state().Suspect && b.state().Alive, qt.IsTrue)
	c.Assert(b.pass(1250*time.Millisecond), qt.IsFalse)
	c.Assert(b.pass(period/4), qt.IsTrue)
	c.Assert(b.state().Alive, qt.IsFalse)
	b.beat(beatOf(1, 0))
	c.Assert(b.state().Alive, qt.IsTrue)
}

func TestOnlyChangesAreReported(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	_, changed := b.monitor.Beat(b.now, beatOf(1, 0))
	c.Assert(changed, qt.IsTrue)
	_, changed = b.monitor.Beat(b.now, beatOf(1, 0))
	c.Assert(changed, qt.IsFalse)
	other := beatOf(1, 0)
	other.Details.StoreID = "disk-2"
	_, changed = b.monitor.Beat(b.now, other)
	c.Assert(changed, qt.IsTrue)
}

func TestAnEarlierIncarnationIsToldOfTheLater(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	b.beat(beatOf(9, 0))
	early := beatOf(5, 0)
	reply := b.beat(early)
	c.Assert(reply.Suspected, qt.IsTrue)
	c.Assert(b.state().Identity.Incarnation, qt.Equals, uint64(9))
	// The time of day was set back before the process began again.
	next := early.answered(reply)
	c.Assert(next.Identity.Incarnation, qt.Equals, uint64(10))
	c.Assert(b.beat(next).Suspected, qt.IsFalse)
	c.Assert(b.state().Identity.Incarnation, qt.Equals, uint64(10))
}

func TestASuspicionOfAnotherMonitorIsRefuted(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	beat := beatOf(3, 2)
	b.beat(beat)
	dead := view.NodeState{Identity: beat.Identity, Refutation: 4}
	b.monitor.SetOthers([]view.NodeState{dead})
	reply := b.beat(beat)
	c.Assert(reply.Suspected, qt.IsTrue)
	next := beat.answered(reply)
	c.Assert(next.Refutation, qt.Equals, uint64(5))
	c.Assert(b.beat(next).Suspected, qt.IsFalse)
	c.Assert(Supersedes(b.state(), dead), qt.IsTrue)
	c.Assert(next.answered(HeartbeatReply{}), qt.Equals, next)
}

func TestALeaveIsFinalForItsIncarnation(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	b.beat(beatOf(1, 0))
	leave := beatOf(1, 0)
	leave.Leaving = true
	b.beat(leave)
	c.Assert(b.state().Left && !b.state().Alive, qt.IsTrue)
	b.beat(beatOf(1, 0)) // sent before the leave, arrived after it
	c.Assert(b.state().Left, qt.IsTrue)
	b.beat(beatOf(2, 0))
	c.Assert(b.state().Alive && !b.state().Left, qt.IsTrue)
}

func TestAMonitorThatStoodStillBlamesNobody(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	b.beat(beatOf(1, 0))
	b.pass(period)
	b.now = b.now.Add(time.Minute)
	c.Assert(b.monitor.Tick(b.now), qt.IsFalse)
	c.Assert(b.pass(period), qt.IsFalse)
	b.pass(2 * period)
	c.Assert(b.state().Suspect, qt.IsTrue)
}

func TestTheDeadAreForgotten(t *testing.T) {
	c := qt.New(t)
	b := newScenario(c)
	b.beat(beatOf(1, 0))
	b.pass(10 * period)
	c.Assert(b.monitor.View().Nodes, qt.HasLen, 1)
	c.Assert(b.pass(forgetAfter), qt.IsTrue)
	c.Assert(b.monitor.View().Nodes, qt.HasLen, 0)
}
