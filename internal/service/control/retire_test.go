package control

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/register"
	"yardwharf/internal/service/view"
)

// newRetirement returns a retirement that sees no store live.
func newRetirement(r *replica) *retirement {
	return &retirement{replica: r, stores: func() []view.NodeState { return nil }, tolerated: 1}
}

func storeMember(name string) register.StoreMember {
	return register.StoreMember{Node: name, Zone: "z", Address: name + ":1", StoreID: "disk-" + name}
}

// rig is a core with stores that live.
type rig struct {
	retirements []*retirement // by core member; the first is empty
	upkeeps     []*upkeep
	replies     map[string]*protocol.RetireReply
}

func newRig(c *qt.C, n *network, core []*replica, names ...string) *rig {
	g := &rig{retirements: []*retirement{nil}, upkeeps: []*upkeep{nil}, replies: map[string]*protocol.RetireReply{}}
	var states []view.NodeState
	var members []register.StoreMember
	for _, name := range names {
		member := storeMember(name)
		members = append(members, member)
		states = append(states, view.NodeState{
			Identity: protocol.Identity{Node: name, Role: "store", Zone: "z", Address: member.Address}, StoreID: member.StoreID, Alive: true,
		})
		reply := &protocol.RetireReply{StoreID: member.StoreID, Unmoved: 1}
		g.replies[name] = reply
		n.stores[member.Address] = func(any) any { return *reply }
	}
	for _, r := range core[1:] {
		retirement := newRetirement(r)
		retirement.stores = func() []view.NodeState { return states }
		u := newUpkeep(r)
		u.retirement, u.stores = retirement, retirement.stores
		g.retirements, g.upkeeps = append(g.retirements, retirement), append(g.upkeeps, u)
	}
	c.Assert(core[1].order(c.Context(), register.SetStores(members)).Outcome, qt.Equals, register.Taken)
	return g
}

// call calls the operator's API of one member and returns status and body.
func (g *rig) call(member int, method, path string) (int, string) {
	body := ""
	if method == "POST" {
		body = `{"deadlineS":10}`
	}
	r := g.retirements[member]
	recorder := httptest.NewRecorder()
	handler := newAPIServer(r.replica, r, r.replica.log).Handler
	handler.ServeHTTP(recorder, httptest.NewRequest(method, path, strings.NewReader(body)))
	return recorder.Code, strings.TrimSpace(recorder.Body.String())
}

func TestRetirementSurvivesItsDirector(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c", "d")
		status, _ := g.call(1, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200)
		status, _ = g.call(2, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200, qt.Commentf("the same order again"))
		_, body := g.call(3, "GET", "/Retire.Read/a")
		c.Assert(body, qt.Equals, `{"state":"running"}`)

		g.upkeeps[1].tick(context.Background())
		n.stop(1)
		time.Sleep(replaceAfter + time.Second)
		g.replies["a"].Unmoved = 0
		for _, blocked := range []func(*protocol.RetireReply, bool){
			func(r *protocol.RetireReply, on bool) { r.Unaware = map[bool]int{true: 1}[on] },
			func(r *protocol.RetireReply, on bool) { r.Recovering = on },
			func(r *protocol.RetireReply, on bool) { r.Unmoved = map[bool]int{true: 1}[on] },
		} {
			blocked(g.replies["a"], true)
			g.upkeeps[2].tick(context.Background())
			_, body = g.call(3, "GET", "/Retire.Read/a")
			c.Assert(body, qt.Equals, `{"state":"running"}`)
			blocked(g.replies["a"], false)
		}
		g.upkeeps[2].tick(context.Background())
		_, body = g.call(3, "GET", "/Retire.Read/a")
		c.Assert(body, qt.Equals, `{"state":"completed"}`)
		g.upkeeps[2].tick(context.Background())
		value, _ := core[2].newest(context.Background())
		c.Assert(value.Stores, qt.HasLen, 3, qt.Commentf("a store that still beats is not added again"))
		status, _ = g.call(2, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200)
	})
}

func TestRetirementIsRefusedWhereTooFewRemain(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		g := newRig(c, n, core, "a", "b", "c", "d", "e")
		for _, order := range []struct {
			node   string
			status int
		}{{"nowhere", 404}, {"a", 200}, {"b", 200}, {"c", 409}, {"b", 200}} {
			status, body := g.call(1, "POST", "/Retire.Begin/"+order.node)
			c.Assert(status, qt.Equals, order.status, qt.Commentf("%s: %s", order.node, body))
		}
		g.replies["a"].Unmoved, g.replies["b"].Unmoved = 0, 0
		g.upkeeps[1].tick(context.Background())
		for _, node := range []string{"a", "b"} {
			_, body := g.call(2, "GET", "/Retire.Read/"+node)
			c.Assert(body, qt.Equals, `{"state":"completed"}`)
		}
		status, _ := g.call(1, "POST", "/Retire.Begin/c")
		c.Assert(status, qt.Equals, 409)
	})
}

// TestRetiredMemberDoesNotCountInTheRegister empties a machine that runs a
// member, takes it away, and has another lose its disk in the same moment.
func TestRetiredMemberDoesNotCountInTheRegister(t *testing.T) {
	inBubble(t, func(c *qt.C, n *network, core []*replica) {
		core = append(core, n.start(c, 4, true))
		newUpkeep(core[4]).tick(context.Background())
		c.Assert(core[4].isMember(), qt.IsTrue)
		g := newRig(c, n, core, "core-1", "core-2", "core-3", "core-4")
		for range 2 {
			g.upkeeps[1].tick(context.Background())
		}
		status, body := g.call(2, "POST", "/Retire.Begin/core-4")
		c.Assert(status, qt.Equals, 200, qt.Commentf(body))
		g.replies["core-4"].Unmoved = 0
		ticks := 0
		for _, body = g.call(2, "GET", "/Retire.Read/core-4"); body != `{"state":"completed"}` && ticks < 10; ticks++ {
			g.upkeeps[1].tick(context.Background())
			newUpkeep(core[4]).tick(context.Background())
			_, body = g.call(2, "GET", "/Retire.Read/core-4")
		}
		c.Assert(body, qt.Equals, `{"state":"completed"}`)
		c.Logf("completed after %d rounds of upkeep", ticks)
		n.wipe(4)
		n.wipe(3)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		third := n.start(c, 3, false)
		newUpkeep(third).tick(context.Background())
		c.Assert(third.isMember(), qt.IsTrue)
		value, _ := third.newest(context.Background())
		c.Assert(value.HasMember("core-4"), qt.IsFalse)
	})
}

func TestRetirementNeedsLivingStoresAndMembers(t *testing.T) {
	c := qt.New(t)
	r := &retirement{tolerated: 1}
	value := &register.Value{}
	live := map[string]register.StoreMember{}
	for _, name := range []string{"a", "b", "c", "d"} {
		value.Stores = append(value.Stores, storeMember(name))
		live[name] = storeMember(name)
	}
	c.Assert(r.enough(value, "a", live), qt.IsTrue)
	delete(live, "b")
	c.Assert(r.enough(value, "a", live), qt.IsTrue)
	delete(live, "c")
	c.Assert(r.enough(value, "a", live), qt.IsFalse)
	live["b"], live["c"] = storeMember("b"), storeMember("c")
	value.Members = []register.Member{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	c.Assert(r.enough(value, "a", live), qt.IsFalse, qt.Commentf("the register would lose a member"))
	c.Assert(r.enough(value, "d", live), qt.IsTrue)
}

func TestLostStoreIsRemovedOnceItsSuccessorIsWhole(t *testing.T) {
	c := qt.New(t)
	u := &upkeep{tolerated: 1, catchUp: 4500 * time.Millisecond}
	value := &register.Value{}
	live := map[string]register.StoreMember{}
	for _, name := range []string{"a", "b", "c"} {
		value.Stores = append(value.Stores, storeMember(name))
		live[name] = storeMember(name)
	}
	start := time.Unix(0, 0)
	at := func(seconds float64) string {
		node, _ := u.replacedStore(value, live, start.Add(time.Duration(seconds*float64(time.Second))))
		return node
	}
	c.Assert(at(0), qt.Equals, "")
	delete(live, "a")
	c.Assert(at(10), qt.Equals, "")
	value.Stores = append(value.Stores, storeMember("d"))
	live["d"] = storeMember("d")
	c.Assert(at(13), qt.Equals, "")
	c.Assert(at(17), qt.Equals, "", qt.Commentf("the successor is not whole yet"))
	c.Assert(at(17.6), qt.Equals, "a")
	value.Leaving = []string{"b"}
	c.Assert(at(18), qt.Equals, "", qt.Commentf("a leaving store is none that stays"))
}
