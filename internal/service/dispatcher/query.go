package dispatcher

import (
	"context"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const queryTimeout = 1200 * time.Millisecond

// messageState is the body of the answer to a question about a message.
type messageState struct {
	State string `json:"state"`
	Stamp string `json:"stamp,omitempty"`
}

// serveState answers what became of a message.
func (d *Dispatcher) serveState(w http.ResponseWriter, r *http.Request, id string) {
	head, _, status := d.lookUp(r.Context(), id, false)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(messageState{State: head.State.String(), Stamp: head.Stamp})
}

// serveBody answers with the bytes of a message that is queued or dead.
func (d *Dispatcher) serveBody(w http.ResponseWriter, r *http.Request, id string) {
	head, body, status := d.lookUp(r.Context(), id, true)
	if status == http.StatusOK {
		status = bodyStatus(head, body)
	}
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	if head.ContentType != "" {
		w.Header().Set("Content-Type", head.ContentType)
	} else {
		w.Header().Set("Content-Type", "application/octet-stream")
	}
	_, _ = w.Write(body)
}

// bodyStatus returns the status of an answer with a message's bytes. A record
// without a target tells of a message's end only: its store has no bytes.
func bodyStatus(head protocol.Head, body []byte) int {
	switch {
	case head.State == protocol.Completed:
		return http.StatusNotFound
	case head.Target == "" || head.BodySize != len(body):
		return http.StatusServiceUnavailable
	default:
		return http.StatusOK
	}
}

// lookUp finds a message here or in the stores. What it tells is never taken back:
// an open message is told by an owner whose lease is valid, or where every store
// that may know more has answered; an end once enough stores have recorded it; not
// found where every store that may have the message has said so.
func (d *Dispatcher) lookUp(ctx context.Context, id string, withBody bool) (protocol.Head, []byte, int) {
	head, body, sure := d.lookUpHere(id)
	if sure && (!withBody || len(body) == head.BodySize) {
		return head, body, http.StatusOK
	}
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	found := d.queryStores(callCtx, protocol.Query{ID: id, WithBody: withBody})
	state := found.best.Head.State
	switch {
	case !found.best.Held && found.complete:
		return protocol.Head{}, nil, http.StatusNotFound
	case state.Ended() && d.endStands(callCtx, found),
		state == protocol.Queued && found.complete && d.enough(found.kept):
		return found.best.Head, found.best.Body, http.StatusOK
	default:
		return protocol.Head{}, nil, http.StatusServiceUnavailable
	}
}

// endOfHead returns the record of the end that a head tells.
func endOfHead(head *protocol.Head) protocol.End {
	return protocol.End{
		ID: head.ID, Queue: head.Queue, State: head.State, Stamp: head.Stamp, CallbackDue: head.CallbackDue,
		Retention: head.Retention, Epoch: head.EndEpoch,
	}
}

// lookUpHere finds a message in the queues that this dispatcher owns. It reports
// whether it can be told: a queue's owner may have been replaced unless its lease
// is valid, and what too few stores have may be lost with them.
func (d *Dispatcher) lookUpHere(id string) (protocol.Head, []byte, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, owned := range d.queues {
		entry := owned.Get(id)
		switch {
		case entry == nil:
		case entry.Head.State.Ended():
			return entry.Head, entry.Body, d.endIsSafe(entry)
		default:
			return entry.Head, entry.Body, d.leaseValid(owned) && d.enoughCopies(entry)
		}
	}
	return protocol.Head{}, nil, false
}

// foundMessage is what the stores together tell of a message.
type foundMessage struct {
	best     protocol.QueryReply
	kept     []string // stores that tell the state of the best reply, under its epoch
	complete bool     // so many stores that count have answered that none can know more
	promised uint64   // epoch of the queue's newest owner that a store knows of
	holders  []string // nodes that have its lease at some store
}

// queryStores asks all stores for a message, or for the owner of a queue.
func (d *Dispatcher) queryStores(ctx context.Context, query protocol.Query) foundMessage {
	d.mutex.Lock()
	links := slices.Collect(maps.Values(d.stores))
	wanted := d.grantsWanted()
	d.mutex.Unlock()
	answers := make(chan storeReply, len(links))
	for _, link := range links {
		go func() {
			reply, err := transport.Call[protocol.QueryReply](ctx, link.client, query)
			answers <- storeReply{link, reply, err}
		}()
	}
	replies := make([]storeReply, 0, len(links))
	counted := 0
	var grace <-chan time.Time
	for waiting := len(links); waiting > 0; waiting-- {
		select {
		case answer := <-answers:
			replies = append(replies, answer)
			if d.answerCounts(answer) {
				counted++
			}
		case <-grace:
			waiting = 1
		}
		if counted >= wanted && grace == nil {
			grace = time.After(queryGrace)
		}
	}
	return joinReplies(replies, counted >= wanted)
}

// storeReply is what one store answered.
type storeReply struct {
	link  *storeLink
	reply protocol.QueryReply
	err   error
}

// answerCounts reports whether the store that answered has all that it must.
func (d *Dispatcher) answerCounts(answer storeReply) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return answer.err == nil && answer.link.counts(answer.reply.StoreID) && !d.listIsOld(answer.reply.StoresKnown)
}

// joinReplies joins what the stores tell.
func joinReplies(replies []storeReply, complete bool) foundMessage {
	found := foundMessage{complete: complete}
	for _, answer := range replies {
		if answer.err == nil {
			found.best = betterReply(found.best, answer.reply)
			found.promised = max(found.promised, answer.reply.Promised)
			if answer.reply.Holder != "" {
				addNode(&found.holders, answer.reply.Holder)
			}
		}
	}
	for _, answer := range replies {
		if answer.err == nil && answer.reply.Held && sameEnd(&answer.reply.Head, &found.best.Head) &&
			answer.reply.Head.EndEpoch == found.best.Head.EndEpoch {
			found.kept = append(found.kept, answer.link.node)
		}
	}
	return found
}

// queryGrace is how long a question waits for the last stores.
const queryGrace = 100 * time.Millisecond

// betterReply joins two replies: an end counts over an open message, and the
// bytes come from a store that has them.
func betterReply(a, b protocol.QueryReply) protocol.QueryReply {
	switch {
	case !b.Held:
		return a
	case !a.Held:
		return b
	case a.Head.Target == "" && b.Head.Target != "":
		a, b = b, a
	}
	if endSupersedes(&b.Head, &a.Head) {
		a.Head.State, a.Head.Stamp, a.Head.CallbackDue = b.Head.State, b.Head.Stamp, b.Head.CallbackDue
		a.Head.EndEpoch, a.Head.SinceEnd = b.Head.EndEpoch, b.Head.SinceEnd
	}
	if len(a.Body) < len(b.Body) && b.Head.Target != "" {
		a.Body, a.Head.BodySize = b.Body, b.Head.BodySize
	}
	return a
}

// endSupersedes reports whether what is told of a message comes after something else
// that is: an end after none, that of a newer owner, or what the same owner told later.
func endSupersedes(head, known *protocol.Head) bool {
	if head.State.Ended() != known.State.Ended() {
		return head.State.Ended()
	}
	if head.EndEpoch != known.EndEpoch {
		return head.EndEpoch > known.EndEpoch
	}
	rank := func(h *protocol.Head) protocol.EntryRank {
		return protocol.RankOf(h.State, h.CallbackDue, false).Progress()
	}
	return rank(head) > rank(known)
}

// sameEnd reports whether two stores tell the same of a message, but for its call-back.
func sameEnd(a, b *protocol.Head) bool { return a.State == b.State && a.Stamp == b.Stamp }
