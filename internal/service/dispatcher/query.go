package dispatcher

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
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

// lookUp finds a message here or in the stores. Not found is an answer only
// when every store that may have the message has said so.
func (d *Dispatcher) lookUp(ctx context.Context, id string, withBody bool) (protocol.Head, []byte, int) {
	if head, body, found := d.lookUpHere(id); found && (!withBody || len(body) == head.BodySize) {
		return head, body, http.StatusOK
	}
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, complete := d.queryStoresWithBody(callCtx, id, withBody)
	switch {
	case reply.Held && reply.Head.State != protocol.Unknown && reply.Head.State != protocol.Discarded:
		return reply.Head, reply.Body, http.StatusOK
	case complete:
		return protocol.Head{}, nil, http.StatusNotFound
	default:
		return protocol.Head{}, nil, http.StatusServiceUnavailable
	}
}

func (d *Dispatcher) lookUpHere(id string) (protocol.Head, []byte, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, owned := range d.queues {
		if entry := owned.Get(id); entry != nil && entry.Head.State != protocol.Discarded {
			return entry.Head, entry.Body, true
		}
	}
	return protocol.Head{}, nil, false
}

// queryStores asks all stores for a message; complete tells whether all but the
// tolerated number answered.
func (d *Dispatcher) queryStores(ctx context.Context, id string, withBody bool) (protocol.Head, bool) {
	callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	reply, complete := d.queryStoresWithBody(callCtx, id, withBody)
	return reply.Head, complete
}

func (d *Dispatcher) queryStoresWithBody(ctx context.Context, id string, withBody bool) (protocol.QueryReply, bool) {
	d.mutex.Lock()
	links := make([]*storeLink, 0, len(d.stores))
	for _, link := range d.stores {
		links = append(links, link)
	}
	wanted := d.grantsWanted()
	d.mutex.Unlock()
	var mutex sync.Mutex
	var best protocol.QueryReply
	answered := 0
	enough := make(chan struct{})
	var calls sync.WaitGroup
	for _, link := range links {
		calls.Add(1)
		go func() {
			defer calls.Done()
			reply, err := transport.Call[protocol.QueryReply](ctx, link.client, protocol.Query{ID: id, WithBody: withBody})
			if err != nil {
				return
			}
			recovering := d.isRecovering(link)
			mutex.Lock()
			defer mutex.Unlock()
			best = betterReply(best, reply)
			if recovering && !reply.Held {
				return
			}
			answered++
			if answered == wanted {
				close(enough)
			}
		}()
	}
	all := make(chan struct{})
	go func() {
		calls.Wait()
		close(all)
	}()
	select {
	case <-all:
	case <-enough:
		select {
		case <-all:
		case <-time.After(queryGrace):
		}
	}
	mutex.Lock()
	defer mutex.Unlock()
	return best, answered >= wanted
}

// isRecovering reports whether a store may lack messages that it once had.
func (d *Dispatcher) isRecovering(link *storeLink) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return link.recovering
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
	if b.Head.State.Ended() && !a.Head.State.Ended() {
		a.Head.State, a.Head.Stamp = b.Head.State, b.Head.Stamp
	}
	if len(a.Body) < len(b.Body) && b.Head.Target != "" {
		a.Body, a.Head.BodySize = b.Body, b.Head.BodySize
	}
	return a
}
