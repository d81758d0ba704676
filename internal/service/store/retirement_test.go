package store

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

func TestLeavingStoreIsEmptyOnceAllHasMoved(t *testing.T) {
	c := qt.New(t)
	s := testSettings(t, "127.0.9.41")
	defer start(t, s)()
	peer, director := client(t, s, "edge-1"), client(t, s, "core-1")
	call[protocol.RenewReply](t, peer, protocol.Renew{Ready: true})
	for _, id := range []string{"open", "owed", "done"} {
		reply := call[protocol.AppendReply](t, peer, protocol.Append{Message: message(id, "local/edge-9", 1)})
		c.Assert(reply.Status, qt.Equals, protocol.Stored)
	}
	call[protocol.EndBatchReply](t, peer, protocol.EndBatch{Ends: []protocol.End{
		{ID: "owed", Queue: "local/edge-9", State: protocol.Completed, Stamp: "s", CallbackDue: true},
		{ID: "done", Queue: "local/edge-9", State: protocol.Completed, Stamp: "s"},
	}})

	state := call[protocol.RetireReply](t, director, protocol.Retire{})
	c.Assert([]int{state.Unmoved, state.Unaware}, qt.DeepEquals, []int{2, 1})
	refused := call[protocol.AppendReply](t, peer, protocol.Append{Message: message("new", "local/edge-9", 1)})
	c.Assert(refused.Status, qt.Equals, protocol.Full)

	renewed := call[protocol.RenewReply](t, peer, protocol.Renew{Ready: true, Leaving: true})
	c.Assert(renewed.Unmoved, qt.Equals, 2)
	c.Assert(renewed.Queues, qt.HasLen, 1)
	c.Assert(renewed.Queues[0].Open, qt.Equals, 2, qt.Commentf("a queue that only owes a call-back wants an owner, too"))
	listed := call[protocol.ListUnmovedReply](t, peer, protocol.ListUnmoved{Queues: []string{"local/edge-9", "nowhere"}})
	c.Assert(listed.Heads, qt.HasLen, 2)

	call[protocol.EndBatchReply](t, peer, protocol.EndBatch{Moved: []string{"open", "unknown"}})
	state = call[protocol.RetireReply](t, director, protocol.Retire{})
	c.Assert([]int{state.Unmoved, state.Unaware}, qt.DeepEquals, []int{1, 0})
	call[protocol.EndBatchReply](t, peer, protocol.EndBatch{Ends: []protocol.End{
		{ID: "owed", Queue: "local/edge-9", State: protocol.Completed, Stamp: "s"},
	}})
	state = call[protocol.RetireReply](t, director, protocol.Retire{})
	c.Assert(state.Unmoved, qt.Equals, 0)
	c.Assert(state.Recovering, qt.IsFalse)
}

// TestOwedCallBackIsCopiedToAStoreWithoutTheMessage shows the two steps by which
// an owner copies it: the end, then the head with the address.
func TestOwedCallBackIsCopiedToAStoreWithoutTheMessage(t *testing.T) {
	c := qt.New(t)
	s := testSettings(t, "127.0.9.42")
	defer start(t, s)()
	peer := client(t, s, "edge-1")
	end := protocol.End{ID: "m", Queue: "local/edge-9", State: protocol.Completed, Stamp: "s", CallbackDue: true}
	call[protocol.EndBatchReply](t, peer, protocol.EndBatch{Ends: []protocol.End{end}})
	copied := message("m", "local/edge-9", 1)
	copied.Body = nil
	call[protocol.AppendReply](t, peer, protocol.Append{Message: copied})
	granted := call[protocol.AcquireReply](t, peer, protocol.Acquire{Queues: []string{"local/edge-9"}, Epoch: 2, Held: true})
	c.Assert(granted.Grants[0].Heads, qt.HasLen, 1)
	head := granted.Grants[0].Heads[0]
	c.Assert(head.State, qt.Equals, protocol.Completed)
	c.Assert(head.CallbackDue, qt.IsTrue)
	c.Assert(head.CallbackURL, qt.Equals, copied.Head.CallbackURL)
}
