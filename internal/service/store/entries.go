package store

import (
	"hash/fnv"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// sliceOf returns the slice that a message's id hashes to.
func sliceOf(id string, slices int) int {
	if slices <= 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % uint32(slices))
}

// rank returns the rank of this store's copy of a message.
func (e *entry) rank() protocol.EntryRank {
	return protocol.RankOf(e.state, e.callbackDue, e.hasBody())
}

// hasBody reports whether this store has the body, if it may still be requested.
func (e *entry) hasBody() bool { return e.wantsBody() && e.message.Generation != 0 }

// listEntries returns the messages of one slice, for a store that reconciles. It also
// counts the dispatchers that use an older list of stores than the request's: what they
// write may depend on copies that are lost.
func (s *store) listEntries(request protocol.ListEntries) protocol.ListEntriesReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := protocol.ListEntriesReply{
		StoreID: s.log.StoreID(), Entries: len(s.index.entries),
		Unaware: s.countSessions(func(k knowledge) bool { return k.stores < request.Sequence }),
	}
	if request.Slices <= 0 {
		return reply
	}
	for id, e := range s.index.entries {
		if sliceOf(id, request.Slices) == request.Slice {
			reply.IDs = append(reply.IDs, id)
			reply.Ranks = append(reply.Ranks, e.rank())
		}
	}
	return reply
}

// importMessage stores another store's copy of a message. It skips the epoch check of the queue,
// because the other store wrote its copy under a lease. A body is kept only where one is
// wanted. It returns false if there is no room.
func (s *store) importMessage(reply protocol.QueryReply) (bool, error) {
	message := protocol.Message{Head: reply.Head, Body: reply.Body}
	if err := checkImport(&reply); err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkQueues(reply.Head.Queue); err != nil {
		return false, err
	}
	if err := s.persistClock(); err != nil {
		return false, err
	}
	if carriesBody(reply) {
		if stored, err := s.importBody(&message); err != nil || !stored {
			return false, err
		}
	}
	if reply.Head.State.Ended() {
		return true, s.importEnd(&reply.Head)
	}
	return s.index.entries[reply.Head.ID] != nil, nil
}

// checkImport returns an error unless the other store may have taken what it sent: a message, or an end alone.
func checkImport(reply *protocol.QueryReply) error {
	if carriesBody(*reply) || !reply.Head.State.Ended() {
		return reply.Head.Check()
	}
	end := protocol.End{ID: reply.Head.ID, Queue: reply.Head.Queue, State: reply.Head.State, Stamp: reply.Head.Stamp}
	return end.Check()
}

// carriesBody reports whether a reply carries the body, if it may still be requested.
func carriesBody(reply protocol.QueryReply) bool {
	wanted := reply.Head.State == protocol.Queued || reply.Head.State == protocol.DeadLetter
	return wanted && reply.Head.Target != "" && reply.Head.BodySize == len(reply.Body)
}

// importBody stores the message with its body, unless this store has it. The mutex is held.
func (s *store) importBody(m *protocol.Message) (bool, error) {
	e := s.index.entries[m.Head.ID]
	var status protocol.AppendStatus
	var err error
	switch {
	case e == nil:
		status, _, err = s.appendNew(m)
	case e.message.Generation == 0 && e.wantsBody():
		status, _, err = s.appendBody(e, m)
	default:
		return true, nil
	}
	return status == protocol.Stored, err
}

// importEnd records the end that another store has for a message. The mutex is held.
func (s *store) importEnd(head *protocol.Head) error {
	now := s.clock.now()
	end := &endState{
		id: head.ID, queue: head.Queue, state: head.State, stamp: head.Stamp, callbackDue: head.CallbackDue,
		epoch: head.Epoch, sequence: head.Sequence, bodySize: head.BodySize,
		bornAt: now - head.Age, endedAt: now - head.SinceEnd, retention: head.Retention,
		endEpoch: head.EndEpoch,
	}
	if head.CallbackDue {
		end.callbackURL = head.CallbackURL
	}
	e := s.index.entries[head.ID]
	reported := protocol.End{ID: head.ID, State: head.State, CallbackDue: head.CallbackDue, Epoch: head.EndEpoch}
	switch {
	case e == nil:
	case supersedes(&reported, e):
		end = e.mergeEnd(end)
	case e.callbackDue && e.callbackURL == "" && head.CallbackURL != "":
		end = e.toEndState()
		end.callbackURL = head.CallbackURL
	default:
		return nil
	}
	_, err := s.writeEnd(e, end, segment.Vital)
	return err
}
