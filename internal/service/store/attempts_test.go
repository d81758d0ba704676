package store

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment/segmenttest"
)

// A release reports attempts at senders. The grant of the next lease contains those still
// running and the outcomes of finished ones. After a lease that ended with its session instead
// of a release, the grant says that the queue was abandoned.
func TestReleasedAttemptsReachNextLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, err := openOnDisk(segmenttest.NewDisk())
		c.Assert(err, qt.IsNil)
		acquire := func(node string, epoch uint64) protocol.Grant {
			s.connected(dispatcher(node))
			reply, commit, err := s.acquire(dispatcher(node), protocol.Acquire{Queues: []string{testQueue}, Epoch: epoch})
			c.Assert(awaitCommit(commit, err), qt.IsNil)
			c.Assert(reply.Grants[0].Granted, qt.IsTrue)
			return reply.Grants[0]
		}
		release := func(node string, epoch uint64, attempts ...protocol.Attempt) {
			s.release(dispatcher(node), protocol.Release{Queues: []string{testQueue}, Epoch: epoch, Attempts: attempts})
		}
		time.Sleep(2 * time.Second) // a store that has just started grants no queue with an earlier promise
		acquire("edge-1", 1)
		release("edge-1", 2, protocol.Attempt{ID: "of another epoch", Left: time.Minute})
		release("edge-1", 1, protocol.Attempt{ID: "short", Left: 100 * time.Millisecond}, protocol.Attempt{ID: "long", Left: time.Second, Owner: dispatcher("edge-9")})
		time.Sleep(200 * time.Millisecond)
		grant := acquire("edge-2", 2)
		c.Check(grant.Attempts, qt.DeepEquals, []protocol.Attempt{{ID: "long", Left: 800 * time.Millisecond, Owner: dispatcher("edge-9")}})
		c.Check(grant.Abandoned, qt.IsFalse)
		ended := protocol.Attempt{ID: "ended", Outcome: protocol.Outcome{End: protocol.End{ID: "ended", State: protocol.Completed}}}
		failed := protocol.Attempt{ID: "failed", Left: 100 * time.Millisecond, Outcome: protocol.Outcome{Failures: 2}}
		release("edge-2", 2, ended, failed)
		c.Check(acquire("edge-1", 3).Attempts, qt.HasLen, 3) // whichever node acquires the queue
		time.Sleep(time.Second)
		release("edge-1", 3)
		failed.Left, failed.Owner = 0, dispatcher("edge-2")
		c.Check(acquire("edge-2", 4).Attempts, qt.DeepEquals, []protocol.Attempt{ended, failed}) // outcomes are passed on after their attempts are over
		time.Sleep(outcomeRetention)
		acquire("edge-1", 5)
		s.disconnected(dispatcher("edge-1"))
		time.Sleep(2 * time.Second)
		grant = acquire("edge-2", 6)
		c.Check(grant.Attempts, qt.HasLen, 0)
		c.Check(grant.Abandoned, qt.IsTrue)
		c.Check(grant.SilentOwner, qt.Equals, dispatcher("edge-1")) // other connections of edge-1 are open
		c.Check(s.close(), qt.IsNil)
	})
}

// Outcomes that a previous owner reports after the release reach the next owners, in pages. An end is not replaced by
// an older account of its message.
func TestKeptAttemptsAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, err := openOnDisk(segmenttest.NewDisk())
		c.Assert(err, qt.IsNil)
		keep := func(node string, attempts ...protocol.Attempt) {
			_, err := s.keepAttempts(dispatcher(node), protocol.KeepAttempts{Queue: testQueue, Attempts: attempts})
			c.Assert(err, qt.IsNil)
		}
		ended := protocol.Attempt{ID: "m", Outcome: protocol.Outcome{End: protocol.End{ID: "m", State: protocol.Completed}}}
		keep("edge-1", protocol.Attempt{ID: "m", Left: time.Second})
		keep("edge-1", ended)
		keep("edge-2", protocol.Attempt{ID: "m", Left: time.Second})
		c.Check(s.readAttempts(protocol.ReadAttempts{Queue: testQueue}).Attempts, qt.DeepEquals, []protocol.Attempt{ended})
		const further = 3 * attemptPageBytes / protocol.MaxFieldBytes
		for i := range further {
			end := protocol.End{ID: fmt.Sprint(i), State: protocol.Completed, Stamp: strings.Repeat("s", protocol.MaxFieldBytes)}
			keep("edge-1", protocol.Attempt{ID: end.ID, Outcome: protocol.Outcome{End: end}})
		}
		read, pages := 0, 0
		for page := (protocol.ReadAttemptsReply{More: true}); page.More; pages++ {
			page = s.readAttempts(protocol.ReadAttempts{Queue: testQueue, After: page.Next})
			read += len(page.Attempts)
		}
		c.Check(read, qt.Equals, 1+further)
		c.Check(pages > 2, qt.IsTrue)
		grant := protocol.Grant{Queue: testQueue}
		s.fillGrant(time.Now(), &grant, &grantsSize{room: headPageBytes})
		c.Check(grant.MoreAttempts, qt.IsTrue)
		time.Sleep(outcomeRetention)
		c.Check(s.readAttempts(protocol.ReadAttempts{Queue: testQueue}).Attempts, qt.HasLen, 0)
		c.Check(s.close(), qt.IsNil)
	})
}

// An attempt with an end that no owner could record is handed on as one whose end is not known; it makes no page too large.
func TestKeptAttemptsAreBounded(t *testing.T) {
	c := qt.New(t)
	var attempts releasedAttempts
	end := func(id string, sealBytes int) protocol.Attempt {
		ended := protocol.End{ID: id, Queue: "q", State: protocol.Completed, Stamp: strings.Repeat("5", sealBytes)}
		return protocol.Attempt{ID: id, Left: time.Second, Outcome: protocol.Outcome{End: ended, Failures: 2}}
	}
	now := time.Now()
	c.Assert(attempts.add(now, "q", []protocol.Attempt{
		end("long", protocol.MaxFieldBytes), end("too-long", protocol.MaxFieldBytes+1), end(strings.Repeat("n", protocol.MaxNameBytes+1), 1),
	}), qt.IsNil)
	page := attempts.read(now, "q", 0, attemptPageBytes)
	c.Assert(page.attempts, qt.HasLen, 2)
	c.Check(page.attempts[0].End.State, qt.Equals, protocol.Completed)
	c.Check(page.attempts[1].ID, qt.Equals, "too-long")
	c.Check(page.attempts[1].End, qt.Equals, protocol.End{ID: "too-long"})
	c.Check(page.attempts[1].Failures, qt.Equals, 2)
}
