package store

import (
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
)

// retirement records whether this store is being emptied. It is kept in memory only:
// after a restart dispatchers or a Retire request report it again.
type retirement struct {
	leaving bool
	since   uint64 // sequence of the register's value that said so; 0 if unknown
}

// knowledge describes the configuration that a connected dispatcher reported in its last renewal.
type knowledge struct {
	leaving bool   // it knows that this store is being emptied
	stores  uint64 // sequence of the register's value that its list of stores comes from
}

// retire marks the store as leaving and returns how many dispatchers do not know it yet.
func (s *store) retire() protocol.RetireReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.retirement.leaving = true
	unaware := s.countSessions(func(k knowledge) bool { return !k.leaving })
	return protocol.RetireReply{StoreID: s.log.StoreID(), Unaware: unaware}
}

// noteKnowledge records the configuration that a dispatcher uses. A later value of the
// register in which this store stays cancels its leaving: a store that was silent for long
// is given up, but kept if it is back in time. The mutex is held.
func (s *store) noteKnowledge(identity protocol.Identity, request protocol.Renew) {
	s.knowledge[lease.SessionOf(identity)] = knowledge{leaving: request.Leaving, stores: request.StoresKnown}
	switch {
	case request.Leaving:
		s.retirement.leaving = true
		s.retirement.since = max(s.retirement.since, request.StoresKnown)
	case s.retirement.leaving && s.retirement.since > 0 && request.StoresKnown > s.retirement.since:
		s.retirement = retirement{}
	}
}

// countSessions counts the connected dispatchers whose knowledge matches, and drops the
// knowledge of those without a session. The mutex is held.
func (s *store) countSessions(matches func(knowledge) bool) int {
	s.grantor.Expire(time.Now())
	open := make(map[lease.SessionID]knowledge, len(s.knowledge))
	count := 0
	for _, session := range s.grantor.Sessions(s.options.role) {
		id := lease.SessionOf(session.Identity)
		open[id] = s.knowledge[id]
		if matches(open[id]) {
			count++
		}
	}
	s.knowledge = open
	return count
}
