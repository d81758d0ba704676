package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/membership"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/view"
)

// testMember returns a control member of which nothing runs. It was started
// long ago.
func testMember() (*Coordination, *distribution.Hub) {
	hub := distribution.NewHub(logr.Discard())
	identity := protocol.Identity{Node: "core-1", Role: "control", Address: "10.0.0.1:7004", Incarnation: 1}
	members := func() []string { return []string{"10.0.0.1:7004", "10.0.0.2:7004"} }
	c := newCoordination(&settings.Settings{HeartbeatMs: 1000}, identity, hub, members, logr.Discard())
	c.election.started = time.Now().Add(-time.Hour)
	return c, hub
}

// foreignList is a list that another member has read.
var foreignList = distribution.Update{
	Topic: view.TopicSenders, Version: distribution.Version{Epoch: 1 << 40, Counter: 1}, Payload: view.Senders{},
}

func TestAFreshListWithoutAConfirmationIsNoCauseToTakeOver(t *testing.T) {
	c := qt.New(t)
	member, hub := testMember()
	c.Assert(member.reads(), qt.IsTrue)
	hub.Take(foreignList, time.Now())
	c.Assert(member.reads(), qt.IsFalse)
}

func TestAListOfWhichTheConfirmationIsOverdueIs(t *testing.T) {
	c := qt.New(t)
	member, hub := testMember()
	hub.Take(foreignList, time.Now().Add(-time.Minute))
	c.Assert(member.reads(), qt.IsTrue)
	confirmed := distribution.Confirmed{At: time.Now().Add(-time.Minute), Every: time.Hour}
	hub.TakeConfirmation(view.TopicSenders, foreignList.Version, confirmed)
	c.Assert(member.reads(), qt.IsFalse, qt.Commentf("its reader reads seldom"))
}

func TestStoresAreThoseThatAnyMonitorHears(t *testing.T) {
	c := qt.New(t)
	member, hub := testMember()
	beat := membership.Heartbeat{
		Identity: protocol.Identity{Node: "storage-1", Role: "store", Incarnation: 4},
		Details:  membership.Details{StoreID: "disk-1"},
	}
	reply := member.beat(time.Now(), beat)
	c.Assert(reply.Members, qt.HasLen, 2)
	c.Assert(member.changed, qt.HasLen, 1)
	beat.MembersDigest = membership.Digest(reply.Members)
	c.Assert(member.beat(time.Now(), beat).Members, qt.HasLen, 0)

	hub.Advance(view.MembersTopic("core-1"), "core-1@1", member.monitor.View())
	other := view.NodeState{Identity: protocol.Identity{Node: "storage-2", Role: "store"}, Alive: true}
	edge := view.NodeState{Identity: protocol.Identity{Node: "edge-1", Role: "agent"}, Alive: true}
	hub.Advance(view.MembersTopic("core-2"), "core-2@1", view.Members{Monitor: "core-2", Nodes: []view.NodeState{edge, other}})
	member.merge()
	stores := member.Stores()
	c.Assert(stores, qt.HasLen, 2)
	c.Assert(stores[0].StoreID, qt.Equals, "disk-1")
	c.Assert(member.Members(), qt.HasLen, 3)
	c.Assert(member.HeardBy("storage-2"), qt.DeepEquals, []string{"core-2"})
	c.Assert(member.HeardBy("storage-3"), qt.HasLen, 0)
}

func TestASuspicionOfAnotherMonitorIsPassedOn(t *testing.T) {
	c := qt.New(t)
	member, hub := testMember()
	beat := membership.Heartbeat{Identity: protocol.Identity{Node: "storage-1", Role: "store", Incarnation: 4}}
	dead := view.NodeState{Identity: beat.Identity, Refutation: 1}
	hub.Advance(view.MembersTopic("core-2"), "core-2@1", view.Members{Monitor: "core-2", Nodes: []view.NodeState{dead}})
	member.merge()
	reply := member.beat(time.Now(), beat)
	c.Assert(reply.Suspected, qt.IsTrue)
	c.Assert(reply.Refutation, qt.Equals, uint64(1))
}

func TestPullsOfOtherMembersAreTheirHeartbeats(t *testing.T) {
	c := qt.New(t)
	member, _ := testMember()
	member.observePeer(protocol.Identity{Node: "edge-1", Role: "agent"})
	member.observePeer(member.identity)
	c.Assert(member.monitor.View().Nodes, qt.HasLen, 0)
	member.observePeer(protocol.Identity{Node: "core-2", Role: "control"})
	c.Assert(member.monitor.View().Nodes, qt.HasLen, 1)
}

// A machine was lost and is no member any more. Who noted its death has restarted since:
// the last word of its monitor is then all that anybody has of it.
func TestAMonitorThatIsNoMemberVouchesForNothing(t *testing.T) {
	c := qt.New(t)
	member, hub := testMember()
	lost := protocol.Identity{Node: "core-9", Role: "store", Address: "10.0.0.9:7003", Incarnation: 1}
	hub.Advance(view.MembersTopic("core-9"), "core-9@1", view.Members{
		Monitor: "core-9", Nodes: []view.NodeState{{Identity: lost, Alive: true}},
	})
	member.merge()
	for _, store := range member.Stores() {
		c.Check(store.Alive, qt.IsFalse, qt.Commentf("%s", store.Identity.Node))
	}
}
