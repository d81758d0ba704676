package distribution

import (
	"context"
	"time"

	"yardwharf/internal/service/transport"
)

// Pull replies to a request: at once if something is newer than the vector, else
// when something becomes newer or the wait is over.
func (h *Hub) Pull(ctx context.Context, request Pull) (PullReply, error) {
	began := h.now()
	w := h.addWaiter(request.Topics)
	defer h.removeWaiter(w)
	h.observeVector(request.Vector)
	reply := h.reply(request)
	if reply.hasUpdates() || request.Wait <= 0 {
		return reply, nil
	}
	timer := time.NewTimer(min(request.Wait, maxWait))
	defer timer.Stop()
	for over := false; !over && !reply.hasUpdates(); {
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

// hasUpdates reports whether a reply contains anything newer than the vector.
func (r *PullReply) hasUpdates() bool { return len(r.Updates)+len(r.Newer) > 0 }

// observeVector records the versions that a vector shows to exist. If one is newer than
// the version of this hub's own publisher, for example after its restart, the payload is
// published again under a newer version. Two publishers that cannot reach each other
// outbid one another in this way, so it happens at most once per minReassertInterval.
func (h *Hub) observeVector(vector map[string]Version) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for name, version := range vector {
		if h.topics[name] == nil && len(h.topics) >= maxTopics {
			continue
		}
		t := h.topic(name)
		t.noteVersion(version)
		outdated := t.publisher != "" && t.newestSeen.Newer(t.current.version)
		if !outdated || !t.lastReasserted.IsZero() && h.now().Sub(t.lastReasserted) < minReassertInterval {
			continue
		}
		t.lastReasserted = h.now()
		h.replace(name, t, versionedPayload{nextEpoch(t.newestSeen, t.publisher), t.current.payload, t.current.at})
	}
}

// maxReplyBytes bounds the payloads in one reply, so that large ones do not exceed a frame together. The next pull brings
// the rest.
const maxReplyBytes = transport.MaxFrame / 2

// reply returns the updates, or with Brief the versions, that are newer than the vector
// of a request, as many as one reply may hold, and all confirmations.
func (h *Hub) reply(request Pull) PullReply {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	now := h.now()
	var reply PullReply
	size := 0
	for _, name := range h.topicNames(request.Topics) {
		t := h.topics[name]
		switch held := request.Vector[name]; {
		case !t.current.version.Newer(held):
		case request.Brief:
			if reply.Newer == nil {
				reply.Newer = map[string]Version{}
			}
			reply.Newer[name] = t.current.version
		default:
			update := t.updateSince(name, held, now)
			size += update.payloadBytes()
			if size <= maxReplyBytes || len(reply.Updates) == 0 {
				reply.Updates = append(reply.Updates, update)
			}
		}
		if !t.confirmed.At.IsZero() {
			if reply.Confirmations == nil {
				reply.Confirmations = map[string]Confirmation{}
			}
			reply.Confirmations[name] = Confirmation{t.current.version, now.Sub(t.confirmed.At), t.confirmed.Interval}
		}
	}
	return reply
}

// updateSince returns the update for a caller that holds the given version: a
// difference if that version is in the history, else the full payload.
func (t *topic) updateSince(name string, held Version, now time.Time) Update {
	update := t.fullUpdate(name, now)
	incremental, ok := t.current.payload.(Incremental)
	if !ok || held == (Version{}) {
		return update
	}
	if difference, ok := t.cachedDifferences[held]; ok {
		update.Base, update.Payload = held, difference
		return update
	}
	base, ok := t.history.Find(func(r versionedPayload) bool { return r.version == held })
	if !ok {
		return update
	}
	difference, ok := incremental.Difference(base.payload, t.current.at.Sub(base.at))
	if !ok {
		return update
	}
	if t.cachedDifferences == nil {
		t.cachedDifferences = map[Version]any{}
	}
	t.cachedDifferences[held] = difference
	update.Base, update.Payload = held, difference
	return update
}

// payloadBytes returns an upper bound of the payload's size, or 0 if it counts as small.
func (u *Update) payloadBytes() int {
	if sized, ok := u.Payload.(Sized); ok {
		return sized.MaxEncodedBytes()
	}
	return 0
}

func (t *topic) fullUpdate(name string, now time.Time) Update {
	return Update{Topic: name, Version: t.current.version, Age: now.Sub(t.current.at), Payload: t.current.payload}
}
