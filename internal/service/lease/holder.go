package lease

import (
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
)

// grant is one store's word that this process has a queue's lease.
type grant struct {
	epoch  uint64
	sentAt time.Time // when the request for it was sent
}

// storeSession is the holder's view of its session with one store.
type storeSession struct {
	openedAt  time.Time // a request sent since then has found the session open
	renewedAt time.Time // when the newest renewal that was answered was sent
	grants    map[string]grant
}

// Holder knows until when the leases of one dispatcher are valid. It is not
// safe for concurrent use.
type Holder struct {
	stores map[string]*storeSession
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder { return &Holder{stores: map[string]*storeSession{}} }

// Renewed notes that a store has answered a renewal that was sent and answered
// at these times. When the session may have run out at the store between this
// renewal and the one before, its grants count no longer: the caller asks for
// them again with Held.
func (h *Holder) Renewed(store string, sentAt, answeredAt time.Time) {
	s := h.stores[store]
	if s == nil {
		s = &storeSession{grants: map[string]grant{}}
		h.stores[store] = s
	}
	if s.renewedAt.IsZero() || !answeredAt.Before(s.renewedAt.Add(LeaseDuration)) {
		s.openedAt = sentAt
		clear(s.grants)
	}
	if sentAt.After(s.renewedAt) {
		s.renewedAt = sentAt
	}
}

// Granted notes that a store has granted a queue; sentAt is when the request
// was sent. It reports false when the grant cannot count, because the session
// was not open since the request; the caller then asks again with Held.
func (h *Holder) Granted(store, queue string, epoch uint64, sentAt time.Time) bool {
	s := h.stores[store]
	if s == nil || sentAt.Before(s.openedAt) {
		return false
	}
	if known, ok := s.grants[queue]; ok && known.epoch > epoch {
		return false
	}
	s.grants[queue] = grant{epoch: epoch, sentAt: sentAt}
	return true
}

// Listed compares the grants of a store with the holders that it lists in the
// answer to a renewal sent at sentAt. Grants that were asked for later are not
// judged by it.
func (h *Holder) Listed(store, node string, sentAt time.Time, queues []protocol.QueueState) {
	s := h.stores[store]
	if s == nil {
		return
	}
	listed := make(map[string]uint64, len(s.grants))
	for _, state := range queues {
		if state.Holder == node {
			listed[state.Queue] = state.Epoch
		}
	}
	for queue, g := range s.grants {
		if epoch, ok := listed[queue]; (!ok || epoch != g.epoch) && g.sentAt.Before(sentAt) {
			delete(s.grants, queue)
		}
	}
}

// Lost notes that the connection to a store was lost: its grants count no longer.
func (h *Holder) Lost(store string) { delete(h.stores, store) }

// Drop forgets a queue's lease, before it is released.
func (h *Holder) Drop(queue string) {
	for _, s := range h.stores {
		delete(s.grants, queue)
	}
}

// Epoch returns the highest epoch under which a store has granted the queue.
func (h *Holder) Epoch(queue string) uint64 {
	var epoch uint64
	for _, s := range h.stores {
		epoch = max(epoch, s.grants[queue].epoch)
	}
	return epoch
}

// Missing returns those of the stores whose grant of a queue does not count.
func (h *Holder) Missing(queue string, stores []string) []string {
	epoch := h.Epoch(queue)
	var missing []string
	for _, store := range stores {
		s := h.stores[store]
		if s == nil || epoch == 0 || s.grants[queue].epoch != epoch {
			missing = append(missing, store)
		}
	}
	return missing
}

// ValidUntil returns until when the lease on a queue is valid, if all known
// stores but the tolerated number must have granted it under one epoch. It is
// the zero time where too few have, or where the time is over.
func (h *Holder) ValidUntil(queue string, now time.Time, storeCount, tolerated int) time.Time {
	needed := storeCount - tolerated
	epoch := h.Epoch(queue)
	if needed <= 0 || epoch == 0 {
		return time.Time{}
	}
	var buffer [16]time.Time
	renewals := buffer[:0]
	for _, s := range h.stores {
		if s.grants[queue].epoch == epoch {
			renewals = append(renewals, s.renewedAt)
		}
	}
	if len(renewals) < needed {
		return time.Time{}
	}
	slices.SortFunc(renewals, func(a, b time.Time) int { return b.Compare(a) })
	end := renewals[needed-1].Add(LeaseDuration - Margin)
	if !now.Before(end) {
		return time.Time{}
	}
	return end
}
