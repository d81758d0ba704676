package lease

import (
	"slices"
	"time"
)

// grant is one store's grant of a queue's lease to this process.
type grant struct {
	epoch  uint64
	sentAt time.Duration // when the request for it was sent
}

// storeSession is the holder's view of its session with one store.
type storeSession struct {
	openedAt  time.Duration // requests sent at or after this time were handled within this session
	renewedAt time.Duration // send time of the latest answered renewal
	grants    map[string]grant
}

// Holder tracks until when the leases of one dispatcher are valid. Its times are
// readings of the dispatcher's monotonic clock. It is not safe for concurrent use.
type Holder struct {
	stores map[string]*storeSession
}

// NewHolder returns a holder without leases.
func NewHolder() *Holder { return &Holder{stores: map[string]*storeSession{}} }

// Renewed notes that a store has answered a renewal, with the times of the
// request and of the reply. If the session may have expired at the store between
// the previous renewal and this one, its grants are dropped: the caller asks for
// them again with Held set.
func (h *Holder) Renewed(store string, sentAt, answeredAt time.Duration) {
	s := h.stores[store]
	if s == nil || answeredAt >= s.renewedAt+Duration {
		h.stores[store] = &storeSession{openedAt: sentAt, renewedAt: sentAt, grants: map[string]grant{}}
		return
	}
	s.renewedAt = max(s.renewedAt, sentAt)
}

// Granted notes that a store has granted a queue; sentAt is when the request
// was sent. It reports false if the grant does not count, because the session
// may not have been open since the request or a later epoch was granted; the
// caller then asks again with Held set.
func (h *Holder) Granted(store, queue string, epoch uint64, sentAt time.Duration) bool {
	s := h.stores[store]
	if s == nil || sentAt < s.openedAt {
		return false
	}
	if known, ok := s.grants[queue]; ok && known.epoch > epoch {
		return false
	}
	s.grants[queue] = grant{epoch: epoch, sentAt: sentAt}
	return true
}

// Revoked notes that a store no longer lists this process as the holder of a
// queue.
func (h *Holder) Revoked(store, queue string) {
	if s := h.stores[store]; s != nil {
		delete(s.grants, queue)
	}
}

// Lost notes that the connection to a store was lost, and drops its grants.
func (h *Holder) Lost(store string) { delete(h.stores, store) }

// Drop deletes all grants of a queue; it is called before the lease is released.
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

// Missing returns those of the stores that have not granted a queue under its highest epoch.
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

// ValidUntil returns until when the lease on a queue is valid. needed is how many
// of the stores for which counts returns true must have granted it under the
// highest epoch. It reports false if too few have, or if the lease has expired.
func (h *Holder) ValidUntil(queue string, now time.Duration, needed int, counts func(store string) bool) (time.Duration, bool) {
	epoch := h.Epoch(queue)
	if needed <= 0 || epoch == 0 {
		return 0, false
	}
	var buffer [16]time.Duration
	renewals := buffer[:0]
	for name, s := range h.stores {
		if s.grants[queue].epoch == epoch && counts(name) {
			renewals = append(renewals, s.renewedAt)
		}
	}
	if len(renewals) < needed {
		return 0, false
	}
	slices.Sort(renewals)
	end := renewals[len(renewals)-needed] + Duration - Margin
	return end, now < end
}
