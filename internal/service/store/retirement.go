package store

import (
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
)

// retirement is what a store knows of its own leaving. It is kept in memory
// only: after a restart the store is told again.
type retirement struct {
	leaving bool
	since   uint64 // sequence of the register's value that told so; 0: not known
}

// knowledge is what a dispatcher in touch has said that it goes by.
type knowledge struct {
	leaving bool   // this store is leaving
	stores  uint64 // sequence of the register's value that told it of the stores
}

// retire notes that the store is leaving and tells how far it is.
func (s *store) retire() protocol.RetireReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retirement.leaving = true
	unaware := s.countSessions(func(k knowledge) bool { return !k.leaving })
	return protocol.RetireReply{StoreID: s.log.StoreID(), Unaware: unaware}
}

// noteKnowledge notes what a dispatcher goes by. One that knows a later value of
// the register, in which this store stays, ends its leaving: a store that was
// silent for long is given up, and kept when it is back in time. The mutex is held.
func (s *store) noteKnowledge(identity protocol.Identity, request protocol.Renew) {
	s.known[lease.SessionOf(identity)] = knowledge{leaving: request.Leaving, stores: request.StoresKnown}
	switch {
	case request.Leaving:
		s.retirement.leaving = true
		s.retirement.since = max(s.retirement.since, request.StoresKnown)
	case s.retirement.leaving && s.retirement.since > 0 && request.StoresKnown > s.retirement.since:
		s.retirement = retirement{}
	}
}

// countSessions counts the dispatchers in touch of whose knowledge a function
// reports true, and forgets that of those which are not. The mutex is held.
func (s *store) countSessions(matches func(knowledge) bool) int {
	s.grantor.Expire(time.Now())
	open := make(map[lease.SessionID]knowledge, len(s.known))
	count := 0
	for _, session := range s.grantor.Sessions(s.options.role) {
		id := lease.SessionOf(session.Identity)
		open[id] = s.known[id]
		if matches(open[id]) {
			count++
		}
	}
	s.known = open
	return count
}
