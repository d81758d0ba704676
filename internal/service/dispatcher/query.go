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

// messageState is the response body of a message state query.
type messageState struct {
	State string `json:"state"`
	Stamp string `json:"stamp,omitempty"`
}

// serveState serves the state of a message.
func (d *Dispatcher) serveState(w http.ResponseWriter, r *http.Request, id string) {
	head, _, status := d.lookUp(r.Context(), id, false)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(messageState{State: head.State.String(), Stamp: head.Stamp})
}

// serveBody serves the body of a message that is queued or a dead letter.
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

// bodyStatus returns the HTTP status of a request for a message's body. A head
// without a target is only the record of an end, whose store does not have the body.
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

// lookUp finds a message here or in the stores. Its answers are final. A message is
// reported open only by an owner with a valid lease, or if every store that may know
// more has answered; ended only once enough stores have recorded the end; and not
// found only if every store that may have the message has said that it does not.
func (d *Dispatcher) lookUp(ctx context.Context, id string, withBody bool) (protocol.Head, []byte, int) {
	head, body, sure := d.lookUpLocally(id)
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
	case state.Ended() && d.confirmEnd(callCtx, found),
		state == protocol.Queued && found.complete && d.enoughCopiesAt(found.agreeing):
		return found.best.Head, found.best.Body, http.StatusOK
	default:
		return protocol.Head{}, nil, http.StatusServiceUnavailable
	}
}

// endOfHead returns the end that a head contains, as a record for stores.
func endOfHead(head *protocol.Head) protocol.End {
	return protocol.End{
		ID: head.ID, Queue: head.Queue, State: head.State, Stamp: head.Stamp, CallbackDue: head.CallbackDue,
		Retention: head.Retention, Epoch: head.EndEpoch,
	}
}

// lookUpLocally finds a message in the queues that this dispatcher owns. The result
// is true only if the state is certain: without a valid lease this owner may have
// been replaced, and what too few stores have may be lost with them.
func (d *Dispatcher) lookUpLocally(id string) (protocol.Head, []byte, bool) {
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

// foundMessage is the merged reply of the stores to a query for a message.
type foundMessage struct {
	best     protocol.QueryReply
	agreeing []string // stores that report the same end and end epoch as best
	complete bool     // enough eligible stores answered that no other store can know more
	promised uint64   // highest epoch of an owner of the queue that a store has promised
	holders  []string // nodes that hold the queue's lease at some store
}

// queryStores asks all stores for a message, or for the owner of a queue. Once enough
// have answered, it waits only queryGrace for the others.
func (d *Dispatcher) queryStores(ctx context.Context, query protocol.Query) foundMessage {
	d.mutex.Lock()
	links := slices.Collect(maps.Values(d.stores))
	wanted := d.grantsNeeded()
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
			if d.countsTowardsComplete(answer) {
				counted++
			}
		case <-grace:
			waiting = 1
		}
		if counted >= wanted && grace == nil {
			grace = time.After(queryGrace)
		}
	}
	return mergeReplies(replies, counted >= wanted)
}

// storeReply is the reply of one store.
type storeReply struct {
	link  *storeLink
	reply protocol.QueryReply
	err   error
}

// countsTowardsComplete reports whether a reply counts towards completeness: the store must have
// all its records, and the local list of stores must not be older than the store's.
func (d *Dispatcher) countsTowardsComplete(answer storeReply) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return answer.err == nil && answer.link.diskComplete(answer.reply.StoreID) && !d.storeListOutdated(answer.reply.StoresKnown)
}

// mergeReplies merges the replies of all stores.
func mergeReplies(replies []storeReply, complete bool) foundMessage {
	found := foundMessage{complete: complete}
	for _, answer := range replies {
		if answer.err == nil {
			found.best = mergeReply(found.best, answer.reply)
			found.promised = max(found.promised, answer.reply.Promised)
			if answer.reply.Holder != "" {
				addNode(&found.holders, answer.reply.Holder)
			}
		}
	}
	for _, answer := range replies {
		if answer.err == nil && answer.reply.Held && sameEnd(&answer.reply.Head, &found.best.Head) &&
			answer.reply.Head.EndEpoch == found.best.Head.EndEpoch {
			found.agreeing = append(found.agreeing, answer.link.node)
		}
	}
	return found
}

// queryGrace is how long a query waits for further stores once enough have answered.
const queryGrace = 100 * time.Millisecond

// mergeReply merges two replies: an end takes precedence over an open message,
// and the body comes from a store that has it.
func mergeReply(a, b protocol.QueryReply) protocol.QueryReply {
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

// endSupersedes reports whether the end in head is newer than that in known: an end is newer
// than none, and the higher epoch wins, or for the same epoch the more advanced rank.
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

// sameEnd reports whether two heads have the same state and stamp. Call-backs are ignored.
func sameEnd(a, b *protocol.Head) bool { return a.State == b.State && a.Stamp == b.Stamp }
