package dispatcher

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/service/protocol"
)

func TestRecordOfAnEndHasNoBytes(t *testing.T) {
	c := qt.New(t)
	tombstone := protocol.Head{ID: "m", State: protocol.DeadLetter}
	c.Assert(bodyStatus(tombstone, nil), qt.Equals, http.StatusServiceUnavailable)
	kept := protocol.Head{ID: "m", State: protocol.DeadLetter, Target: "/x"}
	c.Assert(bodyStatus(kept, nil), qt.Equals, http.StatusOK)
	kept.State = protocol.Completed
	c.Assert(bodyStatus(kept, nil), qt.Equals, http.StatusNotFound)
}

func TestRepliesAreJoined(t *testing.T) {
	c := qt.New(t)
	body := []byte("bytes")
	open := protocol.QueryReply{Held: true, Body: body, Head: protocol.Head{ID: "m", Target: "/x", State: protocol.Queued, BodySize: len(body)}}
	ended := protocol.QueryReply{Held: true, Head: protocol.Head{ID: "m", State: protocol.DeadLetter}}
	for _, joined := range []protocol.QueryReply{betterReply(open, ended), betterReply(ended, open)} {
		c.Assert(joined.Head.State, qt.Equals, protocol.DeadLetter)
		c.Assert(joined.Body, qt.DeepEquals, body)
		c.Assert(bodyStatus(joined.Head, joined.Body), qt.Equals, http.StatusOK)
	}
	c.Assert(betterReply(protocol.QueryReply{}, open).Held, qt.IsTrue)
	c.Assert(betterReply(open, protocol.QueryReply{}).Held, qt.IsTrue)
}
