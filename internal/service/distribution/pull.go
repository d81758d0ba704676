package distribution

import (
	"context"
	"time"
)

// Pull answers a request, at once where something is newer than the vector,
// else when something becomes newer or the wait is over.
func (h *Hub) Pull(ctx context.Context, request Pull) (PullReply, error) {
	began := h.now()
	w := h.wait(request.Topics)
	defer h.stopWaiting(w)
	h.observe(request.Vector)
	reply := h.reply(request)
	if reply.news() || request.Wait <= 0 {
		return reply, nil
	}
	timer := time.NewTimer(min(request.Wait, waitMost))
	defer timer.Stop()
	for over := false; !over && !reply.news(); {
		select {
		case <-w.changed:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			return PullReply{}, ctx.Err()
		}
		reply = h.reply(request)
	}
	reply.Held = h.now().Sub(began)
	return reply, nil
}

// news reports whether a reply tells of something newer than the vector.
func (r *PullReply) news() bool { return len(r.Updates)+len(r.Newer) > 0 }

// observe learns from a vector which versions exist. Where one is newer than
// what this hub's own publisher has made, as after its restart, the payload is
// published again under a newer one. Two publishers that do not reach each
// other do this in turn, hence the pause.
func (h *Hub) observe(vector map[string]Version) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, version := range vector {
		if h.topics[name] == nil && len(h.topics) >= topicsMost {
			continue
		}
		t := h.topic(name)
		t.see(version)
		outdated := t.publisher != "" && t.seen.Newer(t.current.version)
		if !outdated || !t.reasserted.IsZero() && h.now().Sub(t.reasserted) < reassertEvery {
			continue
		}
		t.reasserted = h.now()
		h.replace(name, t, retained{nextEpoch(t.seen, t.publisher), t.current.payload, t.current.at})
	}
}

// reply collects what is newer than the vector of a request.
func (h *Hub) reply(request Pull) PullReply {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	var reply PullReply
	for _, name := range h.names(request.Topics) {
		t := h.topics[name]
		switch held := request.Vector[name]; {
		case !t.current.version.Newer(held):
		case request.Brief:
			if reply.Newer == nil {
				reply.Newer = map[string]Version{}
			}
			reply.Newer[name] = t.current.version
		default:
			reply.Updates = append(reply.Updates, t.since(name, held, now))
		}
		if !t.confirmed.At.IsZero() {
			if reply.Confirmations == nil {
				reply.Confirmations = map[string]Confirmation{}
			}
			reply.Confirmations[name] = Confirmation{t.current.version, now.Sub(t.confirmed.At), t.confirmed.Every}
		}
	}
	return reply
}

// since returns the update for a caller that holds a version: a difference
// where that version is in the history, else the whole payload.
func (t *topic) since(name string, held Version, now time.Time) Update {
	update := t.whole(name, now)
	incremental, ok := t.current.payload.(Incremental)
	if !ok || held == (Version{}) {
		return update
	}
	if difference, ok := t.cached[held]; ok {
		update.Base, update.Payload = held, difference
		return update
	}
	base, ok := t.history.Find(func(r retained) bool { return r.version == held })
	if !ok {
		return update
	}
	difference, ok := incremental.Difference(base.payload, t.current.at.Sub(base.at))
	if !ok {
		return update
	}
	if t.cached == nil {
		t.cached = map[Version]any{}
	}
	t.cached[held] = difference
	update.Base, update.Payload = held, difference
	return update
}

func (t *topic) whole(name string, now time.Time) Update {
	return Update{Topic: name, Version: t.current.version, Age: now.Sub(t.current.at), Payload: t.current.payload}
}
