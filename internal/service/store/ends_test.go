package store

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment/segmenttest"
)

// LOST: a batch is not refused because of one end in it. The store names that end and records all others.
func TestEndsAreRefusedOneByOne(t *testing.T) {
	c := qt.New(t)
	s, err := openOnDisk(segmenttest.NewDisk())
	c.Assert(err, qt.IsNil)
	owner := dispatcher("edge-1")
	_, commit, err := s.acquire(owner, protocol.Acquire{Queues: []string{testQueue}, Epoch: 1})
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	for _, id := range []string{"first", "over-a-file", "last"} {
		m := message(id, testQueue, 1)
		_, commit, err := s.append(owner, &m)
		c.Assert(awaitCommit(commit, err), qt.IsNil)
	}
	s.options.maxIndexBytes = 0 // no memory for ends of unknown messages
	end := func(id string, state protocol.State, sealBytes int) protocol.End {
		return protocol.End{ID: id, Queue: testQueue, State: state, Stamp: strings.Repeat("s", sealBytes), Epoch: 1}
	}
	refused, commit, err := s.endBatch(owner, &protocol.EndBatch{
		Ends: []protocol.End{
			end("first", protocol.Completed, 30), end("long", protocol.Completed, protocol.MaxFieldBytes+1),
			end("over-a-file", protocol.Completed, protocol.MaxFieldBytes), // the files of this disk are small
			end("open", protocol.Queued, 0), end(strings.Repeat("n", protocol.MaxNameBytes+1), protocol.Completed, 1),
			end("unknown", protocol.Completed, 1), end("last", protocol.DeadLetter, 0),
		},
		Failures: []protocol.Failures{{ID: "unknown", Count: 1}},
	})
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	c.Assert(refused, qt.HasLen, 5)
	for _, refusal := range refused {
		c.Check(refusal.Cause, qt.Not(qt.Equals), "")
		c.Check(refusal.Promised, qt.Equals, uint64(0), qt.Commentf("which earlier builds take for the epoch of no owner"))
	}
	c.Check(s.index.entries["first"].state, qt.Equals, protocol.Completed)
	c.Check(s.index.entries["last"].state, qt.Equals, protocol.DeadLetter)
	c.Check(s.index.entries["long"], qt.IsNil)
	c.Check(s.index.entries["unknown"], qt.IsNil)
}

// A queue that a store cannot have must not keep the other queues of the request from being granted.
func TestQueuesAreRefusedOneByOne(t *testing.T) {
	c := qt.New(t)
	s, err := openOnDisk(segmenttest.NewDisk())
	c.Assert(err, qt.IsNil)
	names := []string{"first", "", strings.Repeat("n", protocol.MaxNameBytes+1), "last"}
	reply, commit, err := s.acquire(dispatcher("edge-1"), protocol.Acquire{Queues: names, Epoch: 1, Paged: true})
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	var granted []string
	for i, grant := range reply.Grants {
		c.Check(grant.Queue, qt.Equals, names[i])
		if grant.Granted {
			granted = append(granted, grant.Queue)
		}
	}
	c.Assert(granted, qt.DeepEquals, []string{"first", "last"})
}

// A message that fits into a file, but not together with its end, must neither end the store when its records are moved,
// nor be refused where only the end is known.
func TestMessageAndEndThatShareNoFile(t *testing.T) {
	c := qt.New(t)
	disk := segmenttest.NewDisk()
	s, err := openOnDisk(disk)
	c.Assert(err, qt.IsNil)
	owner := dispatcher("edge-1")
	_, commit, err := s.acquire(owner, protocol.Acquire{Queues: []string{testQueue}, Epoch: 1})
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	largest := message("m", testQueue, 1)
	overhead := len(encodeMessage(nil, &largest, 0, nil)) - len(largest.Body)
	largest.Body = make([]byte, testSegmentSize-overhead-600) // beside the header of a file and of two records
	status, commit, err := s.append(owner, &largest)
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	c.Assert(status, qt.Equals, protocol.Stored)
	end := func(id string) protocol.EndBatch {
		return protocol.EndBatch{Ends: []protocol.End{{ID: id, Queue: testQueue, State: protocol.DeadLetter, Stamp: strings.Repeat("s", 600), Epoch: 1}}}
	}
	first, second := end("m"), end("n")
	c.Assert(settleEnds(s.endBatch(owner, &first)), qt.IsNil)
	e := s.index.entries["m"]
	payload, err := s.log.Read(e.message)
	c.Assert(err, qt.IsNil)
	before := e.message
	c.Assert(s.Reclaim(messageRecord, payload, before), qt.IsNil)
	c.Assert(e.message, qt.Not(qt.Equals), before)

	c.Assert(settleEnds(s.endBatch(owner, &second)), qt.IsNil)
	largest.Head.ID = "n"
	status, commit, err = s.append(owner, &largest)
	c.Assert(awaitCommit(commit, err), qt.IsNil)
	c.Assert(status, qt.Equals, protocol.Stored)

	c.Assert(s.close(), qt.IsNil)
	s, err = openOnDisk(disk)
	c.Assert(err, qt.IsNil)
	for _, id := range []string{"m", "n"} {
		reply, err := s.query(protocol.Query{ID: id, WithBody: true})
		c.Assert(err, qt.IsNil)
		c.Check(reply.Head.State, qt.Equals, protocol.DeadLetter)
		c.Check(reply.Body, qt.HasLen, len(largest.Body))
	}
}
