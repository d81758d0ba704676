package store

import (
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
)

const (
	unmovedHeadsMost = 512                    // heads in one ListUnmovedReply
	recountInterval  = 200 * time.Millisecond // between two counts of all messages
)

// retirement is what a store knows of its own leaving. It is kept in memory
// only: after a restart the store is told again, and told again what has moved.
type retirement struct {
	leaving   bool
	aware     map[lease.SessionID]bool // dispatchers that know of it
	count     int                      // messages that have not moved, when last counted
	countedAt time.Time
}

// retire notes that the store is leaving and tells how far it is.
func (s *store) retire(catchUp time.Duration) protocol.RetireReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retirement.leaving = true
	s.retirement.countedAt = time.Time{}
	now := time.Now()
	return protocol.RetireReply{
		StoreID: s.log.StoreID(), Recovering: s.recovering(catchUp),
		Unmoved: s.unmoved(now), Unaware: s.unaware(now),
	}
}

// noteAware notes whether a dispatcher knows that the store is leaving. The
// mutex is held.
func (s *store) noteAware(identity protocol.Identity, aware bool) {
	if !aware {
		delete(s.retirement.aware, lease.SessionOf(identity))
		return
	}
	s.retirement.leaving = true
	s.retirement.aware[lease.SessionOf(identity)] = true
}

// unaware counts the dispatchers in touch that do not know that the store is
// leaving: they may count on leases and copies here. The mutex is held.
func (s *store) unaware(now time.Time) int {
	s.grantor.Expire(now)
	count := 0
	for _, session := range s.grantor.Sessions(s.options.role) {
		if !s.retirement.aware[lease.SessionOf(session.Identity)] {
			count++
		}
	}
	return count
}

// unmoved counts the messages that are not known to be kept elsewhere. The mutex
// is held.
func (s *store) unmoved(now time.Time) int {
	if now.Sub(s.retirement.countedAt) < recountInterval {
		return s.retirement.count
	}
	count := 0
	for _, q := range s.index.queues {
		q.eachUnmoved(func(*entry) bool {
			count++
			return true
		})
	}
	s.retirement.count, s.retirement.countedAt = count, now
	return count
}

// eachUnmoved calls a function for each message that is open or owes a
// call-back and is not known to be kept elsewhere, until it reports false.
func (q *queueIndex) eachUnmoved(call func(*entry) bool) {
	for e := q.open.first; e != nil; e = e.next {
		if !e.moved && !call(e) {
			return
		}
	}
	for e := q.ended.first; e != nil && q.owed > 0; e = e.next {
		if e.callbackDue && !e.moved && !call(e) {
			return
		}
	}
}

// listUnmoved returns messages that are not known to be kept elsewhere.
func (s *store) listUnmoved(request protocol.ListUnmoved) protocol.ListUnmovedReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var reply protocol.ListUnmovedReply
	now := s.clock.now()
	for _, name := range request.Queues {
		q := s.index.queues[name]
		if q == nil {
			continue
		}
		q.eachUnmoved(func(e *entry) bool {
			reply.Heads = append(reply.Heads, e.headAt(now))
			return len(reply.Heads) < unmovedHeadsMost
		})
		if len(reply.Heads) >= unmovedHeadsMost {
			break
		}
	}
	return reply
}

// noteMoved notes that enough other stores keep these messages. The mutex is
// held.
func (s *store) noteMoved(ids []string) {
	for _, id := range ids {
		if e := s.index.entries[id]; e != nil {
			e.moved = true
		}
	}
}
