package store

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr/testr"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/segment/segmenttest"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/simulation/simnet"
)

const (
	testPort    = 29780
	callTimeout = 5 * time.Second
	edgeIP      = "10.1.0.1"
)

// roleRig holds the settings of a store that runs as a process role on a simulated network and
// disk, in virtual time.
type roleRig struct {
	*settings.Settings
	network *simnet.Network
}

// withRoleRig runs a test with a store's settings in virtual time.
func withRoleRig(t *testing.T, test func(t *testing.T, c *qt.C, s *roleRig)) {
	synctest.Test(t, func(t *testing.T) {
		network, disk := simnet.New(func(_, _ string) time.Duration { return time.Millisecond }), segmenttest.NewDisk()
		machine := network.Process("10.2.0.1")
		defer machine.Kill()
		test(t, qt.New(t), &roleRig{network: network, Settings: &settings.Settings{
			Node: "storage-1", Zone: "a", IP: "10.2.0.1", InternalPorts: []int{testPort, testPort + 15}, Bootstrap: true, DataDir: "/data",
			Limits: settings.Limits{MemoryMb: 256, DiskMb: 256}, Bounds: settings.Bounds{StatusS: 120, CatchUpS: 4.5},
			Network: machine, OpenFolder: func(string) segment.Files { return disk },
		}})
	})
}

// startStore runs a store until the returned function is called.
func startStore(t *testing.T, rig *roleRig) (stop func()) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- Run(ctx, rig.Settings, testr.New(t)) }()
	return func() {
		cancel()
		c.Assert(<-ended, qt.IsNil)
	}
}

func dispatcher(node string) protocol.Identity {
	return protocol.Identity{Node: node, Role: DispatcherRole, Zone: "a", Incarnation: 1}
}

func newClient(t *testing.T, rig *roleRig, node string) *transport.Client {
	c := transport.NewClientOn(rig.network.Process(edgeIP), dispatcher(node), rig.Internal(protocol.StorePort))
	t.Cleanup(c.Close)
	return c
}

// call repeats a call until it succeeds, for up to callTimeout.
func call[Reply any](t testing.TB, c *transport.Client, request any) Reply {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for {
		reply, err := transport.Call[Reply](ctx, c, request)
		if err == nil {
			return reply
		}
		if ctx.Err() != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func message(id, queue string, epoch uint64) protocol.Message {
	return protocol.Message{
		Head: protocol.Head{
			ID: id, Queue: queue, Epoch: epoch, Sequence: 1, Method: "POST", Host: "host.example",
			Target: "/path/of/message?x=1", ContentType: "application/json", OrderingKey: "key",
			CallbackURL: "http://10.0.0.4:8080/done", Delay: time.Second, Retention: 90 * time.Second, Revision: 82,
			Age: 100 * time.Millisecond,
		},
		Body: []byte("body of " + id),
	}
}

// A message with all its fields, and its end, must survive a restart.
func TestRoleKeepsMessagesAcrossRestarts(t *testing.T) {
	withRoleRig(t, roleKeepsMessagesAcrossRestarts)
}

func roleKeepsMessagesAcrossRestarts(t *testing.T, c *qt.C, rig *roleRig) {
	stop := startStore(t, rig)
	owner := newClient(t, rig, "edge-1")
	renewed := call[protocol.RenewReply](t, owner, protocol.Renew{Ready: true})
	for i := range 20 {
		m := message(fmt.Sprint("m", i), "ordered/1", 3)
		c.Assert(call[protocol.AppendReply](t, owner, protocol.Append{Message: m}).Status, qt.Equals, protocol.Stored)
	}
	call[protocol.EndBatchReply](t, owner, protocol.EndBatch{
		Ends:     []protocol.End{{ID: "m1", Queue: "ordered/1", State: protocol.Completed, Stamp: "seal", CallbackDue: true}},
		Failures: []protocol.Failures{{ID: "m2", Count: 2}},
	})
	stop()

	rig.Bootstrap = false
	stop = startStore(t, rig)
	defer stop()
	again := call[protocol.RenewReply](t, owner, protocol.Renew{Ready: true, KnownVersion: renewed.Version})
	c.Assert(again.StoreID, qt.Equals, renewed.StoreID)
	c.Assert(again.Changed, qt.IsTrue)
	c.Assert(again.Queues, qt.DeepEquals, []protocol.QueueState{{Queue: "ordered/1", Epoch: 3, Open: 20}}, qt.Commentf("19 open messages and a due callback"))

	reply := call[protocol.QueryReply](t, owner, protocol.Query{ID: "m2", WithBody: true})
	want := message("m2", "ordered/1", 3)
	c.Assert(string(reply.Body), qt.Equals, string(want.Body))
	c.Assert(reply.Head.Age > 100*time.Millisecond && reply.Head.Age < 10*time.Second, qt.IsTrue)
	want.Head.Age, want.Head.Failures, want.Head.State, want.Head.BodySize = reply.Head.Age, 2, protocol.Queued, len(want.Body)
	c.Assert(reply.Head, qt.DeepEquals, want.Head)

	ended := call[protocol.QueryReply](t, owner, protocol.Query{ID: "m1"})
	c.Assert(ended.Held, qt.IsTrue)
	c.Assert(ended.Head.State, qt.Equals, protocol.Completed)
	c.Assert(ended.Head.Stamp, qt.Equals, "seal")
	c.Assert(ended.Head.CallbackDue, qt.IsTrue)
	c.Assert(ended.Head.CallbackURL, qt.Equals, want.Head.CallbackURL)
	c.Assert(call[protocol.QueryReply](t, owner, protocol.Query{ID: "unknown"}).Held, qt.IsFalse)
}

// The holder of a lease may append, and a second dispatcher may not until the lease ends. Time is
// virtual, so that sessions do not expire early on a busy machine.
func TestRoleGrantsLeases(t *testing.T) {
	withStoresRig(t, []string{"1"}, func(c *qt.C, g *storesRig) {
		edge := func(node string) *transport.Client {
			client := transport.NewClientOn(g.network.Process("10.1.0.2"), dispatcher(node), rigAddress("1"))
			g.clients[node] = client
			return client
		}
		first, second := edge("edge-2"), edge("edge-3")
		acquire := func(who *transport.Client, epoch uint64, held bool) protocol.Grant {
			return callOn[protocol.AcquireReply](c, who, protocol.Acquire{Queues: []string{"rated/x"}, Epoch: epoch, Held: held}).Grants[0]
		}
		status := func(who *transport.Client, id string, epoch uint64) protocol.AppendStatus {
			return callOn[protocol.AppendReply](c, who, protocol.Append{Message: message(id, "rated/x", epoch)}).Status
		}
		g.stores["1"].grantor = lease.NewGrantor(time.Now(), 1, nil) // as after a start that could not read all promises

		renewed := callOn[protocol.RenewReply](c, first, protocol.Renew{Ready: true})
		callOn[protocol.RenewReply](c, second, protocol.Renew{Ready: true})
		c.Assert(acquire(first, 4, false).Granted, qt.IsFalse, qt.Commentf("right after the start"))
		c.Assert(acquire(first, 4, true).Granted, qt.IsTrue, qt.Commentf("the dispatcher still holds the queue"))
		c.Assert(status(first, "m1", 4), qt.Equals, protocol.Stored)
		c.Assert(status(second, "m2", 3), qt.Equals, protocol.Fenced)
		c.Assert(acquire(second, 5, false), qt.DeepEquals, protocol.Grant{Queue: "rated/x", Promised: 4, Contested: true})

		table := callOn[protocol.RenewReply](c, second, protocol.Renew{KnownVersion: renewed.Version})
		c.Assert(table.Changed, qt.IsTrue)
		c.Assert(table.Queues, qt.DeepEquals, []protocol.QueueState{{Queue: "rated/x", Epoch: 4, Holder: "edge-2", Open: 1}})
		c.Assert(callOn[protocol.RenewReply](c, second, protocol.Renew{KnownVersion: table.Version}).Changed, qt.IsFalse)

		closedAt := time.Now()
		first.Close()
		granted := acquire(second, 5, false)
		for ; !granted.Granted; granted = acquire(second, 5, false) {
			c.Assert(time.Since(closedAt) <= lease.Duration, qt.IsTrue, qt.Commentf("the pause in granting after the start is over"))
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(time.Since(closedAt) >= lease.ClosedSessionGrace, qt.IsTrue)
		c.Assert(granted.Heads, qt.HasLen, 1)
		c.Assert(granted.Heads[0].ID, qt.Equals, "m1")
		c.Assert(granted.Heads[0].Age > 100*time.Millisecond, qt.IsTrue)
		callOn[protocol.ReleaseReply](c, second, protocol.Release{Queues: []string{"rated/x"}, Epoch: 5})
		time.Sleep(lease.Duration)
		c.Assert(acquire(edge("edge-4"), 6, false).Granted, qt.IsTrue)
	})
}

// Ends that arrive before the message, twice or in another order lead to the same state, and
// invalid requests change nothing.
func TestRoleAcceptsEndsInAnyOrder(t *testing.T) { withRoleRig(t, roleAcceptsEndsInAnyOrder) }

func roleAcceptsEndsInAnyOrder(t *testing.T, c *qt.C, rig *roleRig) {
	defer startStore(t, rig)()
	owner := newClient(t, rig, "edge-1")
	call[protocol.RenewReply](t, owner, protocol.Renew{Ready: true})
	end := func(id string, state protocol.State, callbackDue bool) {
		call[protocol.EndBatchReply](t, owner, protocol.EndBatch{Ends: []protocol.End{
			{ID: id, Queue: "local/edge-1", State: state, Stamp: "seal", CallbackDue: callbackDue},
		}})
	}
	query := func(id string) protocol.QueryReply {
		return call[protocol.QueryReply](t, owner, protocol.Query{ID: id, WithBody: true})
	}
	appendMessage := func(id string) {
		reply := call[protocol.AppendReply](t, owner, protocol.Append{Message: message(id, "local/edge-1", 1)})
		c.Assert(reply.Status, qt.Equals, protocol.Stored)
	}

	end("early", protocol.Completed, false)
	appendMessage("early")
	c.Assert(query("early").Head.State, qt.Equals, protocol.Completed)

	end("dead", protocol.DeadLetter, false)
	appendMessage("dead")
	dead := query("dead")
	c.Assert(dead.Head.State, qt.Equals, protocol.DeadLetter)
	c.Assert(string(dead.Body), qt.Equals, "body of dead")

	appendMessage("owed")
	end("owed", protocol.Completed, true)
	end("owed", protocol.DeadLetter, true)
	c.Assert(query("owed").Head.State, qt.Equals, protocol.Completed)
	c.Assert(query("owed").Head.CallbackDue, qt.IsTrue)
	end("owed", protocol.Completed, false)
	end("owed", protocol.Completed, true)
	appendMessage("owed")
	c.Assert(query("owed").Head.CallbackDue, qt.IsFalse, qt.Commentf("a delivered callback is not due again"))

	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	for id, bad := range map[string]protocol.End{"beside-open": {ID: "y", State: protocol.Queued}, "beside-nameless": {ID: "", State: protocol.Completed}} {
		c.Assert(query(id).Held, qt.IsFalse)
		reply := call[protocol.EndBatchReply](t, owner, protocol.EndBatch{Ends: []protocol.End{{ID: id, State: protocol.Completed}, bad}})
		c.Assert(reply.Refused, qt.HasLen, 1)
		c.Assert(reply.Refused[0].ID, qt.Equals, bad.ID)
		c.Assert(reply.Refused[0].Cause, qt.Not(qt.Equals), "")
		c.Assert(query(id).Head.State, qt.Equals, protocol.Completed, qt.Commentf("an invalid end does not concern the others of its batch"))
	}
	c.Assert(query("y").Held, qt.IsFalse)
	withoutID := message("", "local/edge-1", 1)
	_, err := transport.Call[protocol.AppendReply](ctx, owner, protocol.Append{Message: withoutID})
	c.Assert(err, qt.ErrorMatches, "request: protocol: id of 0 bytes.*")
}
