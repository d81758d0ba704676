package store

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment/segmenttest"
)

// A grant lists open messages, messages with a due callback and messages that ended recently.
// Sending the heads of all others over a slow link would take longer than the request's timeout;
// FindEnds returns those.
func TestGrantListsOnlyRecentEnds(t *testing.T) {
	c := qt.New(t)
	s, err := openOnDisk(segmenttest.NewDisk())
	c.Assert(err, qt.IsNil)
	owner := dispatcher("edge-1")
	acquire := func(epoch uint64) []string {
		reply, commit, err := s.acquire(owner, protocol.Acquire{Queues: []string{testQueue}, Epoch: epoch, Held: true})
		c.Assert(awaitCommit(commit, err), qt.IsNil)
		c.Assert(reply.Grants[0].Granted, qt.IsTrue)
		var ids []string
		for _, head := range reply.Grants[0].Heads {
			ids = append(ids, head.ID)
		}
		return ids
	}
	acquire(1)
	for _, id := range []string{"old", "owed", "recent", "open"} {
		m := message(id, testQueue, 1)
		_, commit, err := s.append(owner, &m)
		c.Assert(awaitCommit(commit, err), qt.IsNil)
	}
	end := func(id string, owed bool) {
		ended := protocol.End{ID: id, Queue: testQueue, State: protocol.Completed, Stamp: "seal", CallbackDue: owed}
		c.Assert(settleEnds(s.endBatch(owner, &protocol.EndBatch{Ends: []protocol.End{ended}})), qt.IsNil)
	}
	end("old", false)
	end("owed", true)
	s.clock.base += endedHeadsWindow + clockRecordInterval
	end("recent", false)
	c.Assert(acquire(2), qt.ContentEquals, []string{"open", "owed", "recent"})
	found, err := s.findEnds(protocol.FindEnds{IDs: []string{"open", "old", "unknown"}})
	c.Assert(err, qt.IsNil)
	c.Assert(found.Heads, qt.HasLen, 1)
	c.Assert(found.Heads[0].ID, qt.Equals, "old")
	c.Assert(found.Heads[0].Stamp, qt.Equals, "seal")
}

// The record of an end is kept longer than any open copy of its message. Otherwise a store that
// was down when the message ended, and returns much later, would cause it to run again.
func TestEndOutlivesOpenCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		var now time.Duration
		s, err := openStore(options{
			files: segmenttest.NewDisk(), storeID: "disk", segmentSize: 1 << 20, maxSegments: 4, maxIndexBytes: 1 << 20,
			clocks: clockSource{steady: func() time.Duration { return now }}, statusTime: 120 * time.Second, bootstrap: true, log: logr.Discard(),
		})
		c.Assert(err, qt.IsNil)
		defer func() { c.Assert(s.close(), qt.IsNil) }()
		owner := dispatcher("edge-1")
		s.connected(owner)
		s.renew(owner, protocol.Renew{Ready: true})
		ended, open := message("ended", "q", 1), message("open", "q", 1)
		for _, m := range []*protocol.Message{&ended, &open} {
			_, commit, err := s.append(owner, m)
			c.Assert(awaitCommit(commit, err), qt.IsNil)
		}
		refused, commit, err := s.endBatch(owner, &protocol.EndBatch{Ends: []protocol.End{
			{ID: "ended", Queue: "q", State: protocol.Completed}, {ID: "with retention", Queue: "q", State: protocol.Completed, Retention: 90 * time.Second},
			{ID: "without retention", Queue: "q", State: protocol.Completed},
		}})
		c.Assert(settleEnds(refused, commit, err), qt.IsNil)
		held := func() (ids []string) {
			s.tick(true)
			for _, id := range []string{"ended", "with retention", "without retention", "open"} {
				if reply, _, _ := s.lookUp(id, ""); reply.Held {
					ids = append(ids, id)
				}
			}
			return ids
		}
		time.Sleep(119 * time.Second)
		c.Check(held(), qt.DeepEquals, []string{"ended", "with retention", "without retention", "open"})
		time.Sleep(89 * time.Second)
		c.Check(held(), qt.DeepEquals, []string{"ended", "with retention", "open"})
		time.Sleep(5 * time.Second)
		listed, _, _ := s.heads(s.index.queue("q"), protocol.HeadCursor{}, headPageBytes)
		c.Check(listed, qt.HasLen, 0)
		c.Check(held(), qt.DeepEquals, []string{"ended", "with retention"})
		time.Sleep(10 * time.Second)
		c.Check(held(), qt.HasLen, 0)
	})
}

// LOST: a queue with more heads than one reply may hold is listed in pages. Only the holder of its lease may read them, and
// a caller that does not read pages gets an error in place of a part.
func TestHeadsAreListedInPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) { testHeadsAreListedInPages(qt.New(t)) })
}

func testHeadsAreListedInPages(c *qt.C) {
	s, err := openStore(options{
		files: segmenttest.NewDisk(), storeID: "disk", segmentSize: 1 << 20, maxSegments: 32, maxIndexBytes: 32 << 20,
		statusTime: testStatusTime, bootstrap: true, role: DispatcherRole, version: 1, log: logr.Discard(),
	})
	c.Assert(err, qt.IsNil)
	defer func() { c.Assert(s.close(), qt.IsNil) }()
	owner, other := dispatcher("edge-1"), dispatcher("edge-2")
	acquire := func(request protocol.Acquire) (protocol.AcquireReply, error) {
		request.Queues, request.Held = []string{"q", "r"}, true
		reply, commit, err := s.acquire(owner, request)
		return reply, awaitCommit(commit, err)
	}
	_, err = acquire(protocol.Acquire{Epoch: 1})
	c.Assert(err, qt.IsNil)
	var ids []string
	for i := range (maxReplyBytes + headPageBytes) / protocol.MaxFieldBytes / 2 {
		m := message(fmt.Sprintf("m-%d", i), "q", 1)
		m.Head.Target = strings.Repeat("t", protocol.MaxFieldBytes)
		m.Head.CallbackURL = strings.Repeat("u", protocol.MaxFieldBytes)
		status, commit, err := s.append(owner, &m)
		c.Assert(awaitCommit(commit, err), qt.IsNil)
		c.Assert(status, qt.Equals, protocol.Stored)
		ids = append(ids, m.Head.ID)
	}
	_, err = acquire(protocol.Acquire{Epoch: 2})
	c.Check(err, qt.ErrorIs, errNeedsPages)

	reply, err := acquire(protocol.Acquire{Epoch: 3, Paged: true})
	c.Assert(err, qt.IsNil)
	c.Check(reply.Grants[1].Granted, qt.IsTrue, qt.Commentf("the heads of another queue do not defer it"))
	grant := reply.Grants[0]
	listed := headIDs(grant.Heads)
	request := protocol.ReadHeads{Queue: "q", Epoch: 3, From: grant.Next}
	_, err = s.readHeads(other, request)
	c.Check(err, qt.ErrorIs, errLeaseNotHeld)
	_, err = s.readHeads(owner, protocol.ReadHeads{Queue: "q", Epoch: 2, From: grant.Next})
	c.Check(err, qt.ErrorIs, errLeaseNotHeld)
	for more := grant.More; more; {
		page, err := s.readHeads(owner, request)
		c.Assert(err, qt.IsNil)
		listed = append(listed, headIDs(page.Heads)...)
		request.From, more = page.Next, page.More
	}
	c.Check(listed, qt.DeepEquals, ids)

	ends := make([]protocol.End, len(ids))
	for i, id := range ids {
		ends[i] = protocol.End{ID: id, Queue: "q", State: protocol.Completed, Stamp: strings.Repeat("s", protocol.MaxFieldBytes), CallbackDue: true, Epoch: 3}
	}
	c.Assert(settleEnds(s.endBatch(owner, &protocol.EndBatch{Ends: ends})), qt.IsNil)
	page, err := s.readHeads(owner, protocol.ReadHeads{Queue: "q", Epoch: 3, From: grant.Next})
	c.Assert(err, qt.IsNil)
	c.Check(page.Heads[0].ID, qt.Equals, "m-0", qt.Commentf("what ends between two pages is listed again, as ended"))
	_, err = s.findEnds(protocol.FindEnds{IDs: ids})
	c.Check(err, qt.ErrorIs, errNeedsPages)
	found, err := s.findEnds(protocol.FindEnds{IDs: ids, Paged: true})
	c.Assert(err, qt.IsNil)
	c.Check(found.Covered, qt.Equals, len(found.Heads))
	c.Check(found.Covered < len(ids), qt.IsTrue)
}

func headIDs(heads []protocol.Head) (ids []string) {
	for _, head := range heads {
		ids = append(ids, head.ID)
	}
	return ids
}
