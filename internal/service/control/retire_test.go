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

// newRetirement returns a retirement without live stores.
func newRetirement(r *replica) *retirement {
	return &retirement{replica: r, stores: func() []view.NodeState { return nil }, tolerated: 1}
}

func storeMember(name string) register.StoreMember {
	return register.StoreMember{Node: name, Zone: "z", Address: name + ":1", StoreID: "disk-" + name}
}

// scriptedStore is a store whose replies are set by a test.
type scriptedStore struct {
	unaware  int
	done     bool
	missing  int
	refused  int
	requests []protocol.Reconcile
	member   register.StoreMember
}

func (s *scriptedStore) handle(request any) any {
	switch message := request.(type) {
	case protocol.Retire:
		return protocol.RetireReply{StoreID: s.member.StoreID, Unaware: s.unaware}
	case protocol.Reconcile:
		s.requests = append(s.requests, message)
		reply := protocol.ReconcileReply{StoreID: s.member.StoreID, Done: s.done, Missing: s.missing, Refused: s.refused}
		for _, source := range message.Sources {
			reply.Read = append(reply.Read, source.Node)
		}
		return reply
	default:
		return nil
	}
}

// fixture holds the core members and live stores of a test.
type fixture struct {
	retirements  []*retirement // by index of the core member; index 0 is unused
	maintenances []*maintenance
	scripts      map[string]*scriptedStore
	states       []view.NodeState
}

// setReconciled sets whether all stores report their reconciliation as done.
func (g *fixture) setReconciled(done bool) {
	for _, script := range g.scripts {
		script.done = done
	}
}

// state returns the state of a store.
func (g *fixture) state(name string) *view.NodeState {
	for i := range g.states {
		if g.states[i].Identity.Node == name {
			return &g.states[i]
		}
	}
	return nil
}

func newFixture(c *qt.C, n *network, core []*replica, names ...string) *fixture {
	g := &fixture{retirements: []*retirement{nil}, maintenances: []*maintenance{nil}, scripts: map[string]*scriptedStore{}}
	var members []register.StoreMember
	for _, name := range names {
		member := storeMember(name)
		members = append(members, member)
		g.states = append(g.states, view.NodeState{
			Identity: protocol.Identity{Node: name, Role: "store", Zone: "z", Address: member.Address}, StoreID: member.StoreID, Alive: true,
		})
		script := &scriptedStore{member: member}
		g.scripts[name] = script
		n.stores[member.Address] = script.handle
	}
	for _, r := range core[1:] {
		retirement := newRetirement(r)
		retirement.stores = func() []view.NodeState { return g.states }
		g.retirements = append(g.retirements, retirement)
		g.maintenances = append(g.maintenances, newMaintenance(r, retirement, retirement.stores, noMonitors, 1))
	}
	c.Assert(core[1].proposeWithTimeout(c.Context(), register.SetStores(members)).Outcome, qt.Equals, register.Taken)
	return g
}

// call sends a request to the operator's API of one member and returns status and body.
func (g *fixture) call(member int, method, path string) (int, string) {
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

func TestRetirementSurvivesLossOfTheActingMember(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d")
		status, _ := g.call(1, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200)
		status, _ = g.call(2, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200, qt.Commentf("repeated request"))
		_, body := g.call(3, "GET", "/Retire.Read/a")
		c.Assert(body, qt.Equals, `{"state":"running"}`)

		g.maintenances[1].tick(context.Background())
		n.stop(1)
		time.Sleep(silenceLimit + time.Second)
		for _, blocked := range []func(on bool){
			func(on bool) { g.scripts["a"].unaware = map[bool]int{true: 1}[on] },
			func(on bool) { g.setReconciled(!on) },
			func(on bool) {
				for _, script := range g.scripts {
					script.missing = map[bool]int{true: 1}[on]
				}
			},
		} {
			blocked(true)
			g.maintenances[2].tick(context.Background())
			_, body = g.call(3, "GET", "/Retire.Read/a")
			c.Assert(body, qt.Equals, `{"state":"running"}`)
			blocked(false)
		}
		g.maintenances[2].tick(context.Background())
		_, body = g.call(3, "GET", "/Retire.Read/a")
		c.Assert(body, qt.Equals, `{"state":"completed"}`)
		g.maintenances[2].tick(context.Background())
		value, _ := core[2].readNewest(context.Background())
		c.Assert(value.Stores, qt.HasLen, 3, qt.Commentf("a retired store that still sends heartbeats is not added again"))
		status, _ = g.call(2, "POST", "/Retire.Begin/a")
		c.Assert(status, qt.Equals, 200)
	})
}

func TestRetirementIsRefusedIfTooFewStoresRemain(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		g := newFixture(c, n, core, "a", "b", "c", "d", "e")
		for _, request := range []struct {
			node   string
			status int
		}{{"nowhere", 404}, {"a", 200}, {"b", 200}, {"c", 409}, {"b", 200}} {
			status, body := g.call(1, "POST", "/Retire.Begin/"+request.node)
			c.Assert(status, qt.Equals, request.status, qt.Commentf("%s: %s", request.node, body))
		}
		g.setReconciled(true)
		for range 2 {
			g.maintenances[1].tick(context.Background()) // the second proof depends on the removal of the first store
		}
		for _, node := range []string{"a", "b"} {
			_, body := g.call(2, "GET", "/Retire.Read/"+node)
			c.Assert(body, qt.Equals, `{"state":"completed"}`)
		}
		status, _ := g.call(1, "POST", "/Retire.Begin/c")
		c.Assert(status, qt.Equals, 409)
	})
}

// TestRetiredMemberDoesNotCountInTheRegister retires a machine that runs a register
// member, removes it, and wipes the disk of another member at the same time.
func TestRetiredMemberDoesNotCountInTheRegister(t *testing.T) {
	withCluster(t, func(c *qt.C, n *network, core []*replica) {
		core = append(core, n.start(c, 4, true))
		newTestMaintenance(core[4]).tick(context.Background())
		c.Assert(core[4].isMember(), qt.IsTrue)
		g := newFixture(c, n, core, "core-1", "core-2", "core-3", "core-4")
		for range 2 {
			g.maintenances[1].tick(context.Background())
		}
		status, body := g.call(2, "POST", "/Retire.Begin/core-4")
		c.Assert(status, qt.Equals, 200, qt.Commentf(body))
		g.setReconciled(true)
		ticks := 0
		for _, body = g.call(2, "GET", "/Retire.Read/core-4"); body != `{"state":"completed"}` && ticks < 10; ticks++ {
			g.maintenances[1].tick(context.Background())
			newTestMaintenance(core[4]).tick(context.Background())
			_, body = g.call(2, "GET", "/Retire.Read/core-4")
		}
		c.Assert(body, qt.Equals, `{"state":"completed"}`)
		c.Logf("completed after %d rounds of maintenance", ticks)
		n.wipe(4)
		n.wipe(3)
		c.Assert(replace(core[1], 0, 3), qt.Equals, register.Taken)
		third := n.start(c, 3, false)
		newTestMaintenance(third).tick(context.Background())
		c.Assert(third.isMember(), qt.IsTrue)
		value, _ := third.readNewest(context.Background())
		c.Assert(value.HasMember("core-4"), qt.IsFalse)
	})
}

func TestRetirementNeedsLiveStoresAndMembers(t *testing.T) {
	c := qt.New(t)
	r := &retirement{tolerated: 1}
	value := &register.Value{}
	live := map[string]register.StoreMember{}
	for _, name := range []string{"a", "b", "c", "d"} {
		value.Stores = append(value.Stores, storeMember(name))
		live[name] = storeMember(name)
	}
	c.Assert(r.canRemove(value, "a", live), qt.IsTrue)
	delete(live, "b")
	c.Assert(r.canRemove(value, "a", live), qt.IsTrue)
	delete(live, "c")
	c.Assert(r.canRemove(value, "a", live), qt.IsFalse)
	live["b"], live["c"] = storeMember("b"), storeMember("c")
	value.Members = []register.Member{{Node: "a"}, {Node: "b"}, {Node: "c"}}
	c.Assert(r.canRemove(value, "a", live), qt.IsFalse, qt.Commentf("the register would lose a member"))
	c.Assert(r.canRemove(value, "d", live), qt.IsTrue)
}
