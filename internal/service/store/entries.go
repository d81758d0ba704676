package store

import (
	"hash/fnv"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// sliceOf returns the slice that a message's id falls into.
func sliceOf(id string, slices int) int {
	if slices <= 1 {
		return 0
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % uint32(slices))
}

// rank tells how far a message is here.
func (e *entry) rank() protocol.EntryRank {
	return protocol.RankOf(e.state, e.callbackDue, e.hasBody())
}

// hasBody reports whether the bytes of a message that may be asked for are here.
func (e *entry) hasBody() bool { return e.wantsBody() && e.message.Generation != 0 }

// listEntries returns the messages of one slice, for a store that reconciles.
// What a dispatcher that is counted as unaware writes may rest on copies that
// are lost.
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

// adopt keeps what another store told of a message. It passes by the fence of
// the queues: what is told was written under a lease there. A body is kept only
// where one is wanted. It reports false where there is no room.
func (s *store) adopt(told protocol.QueryReply) (bool, error) {
	message := protocol.Message{Head: told.Head, Body: told.Body}
	if err := checkMessage(&message); err != nil {
		return false, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkQueues(told.Head.Queue); err != nil {
		return false, err
	}
	if err := s.keepClock(); err != nil {
		return false, err
	}
	if withBytes(told) {
		if stored, err := s.adoptBody(&message); err != nil || !stored {
			return false, err
		}
	}
	if told.Head.State.Ended() {
		return true, s.adoptEnd(&told.Head)
	}
	return s.index.entries[told.Head.ID] != nil, nil
}

// withBytes reports whether a reply has the bytes of a message that may be asked for.
func withBytes(told protocol.QueryReply) bool {
	wanted := told.Head.State == protocol.Queued || told.Head.State == protocol.DeadLetter
	return wanted && told.Head.Target != "" && told.Head.BodySize == len(told.Body)
}

// adoptBody keeps the message itself, unless it is here. The mutex is held.
func (s *store) adoptBody(m *protocol.Message) (bool, error) {
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

// adoptEnd records an end as another store told it. The mutex is held.
func (s *store) adoptEnd(head *protocol.Head) error {
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
	told := protocol.End{ID: head.ID, State: head.State, CallbackDue: head.CallbackDue, Epoch: head.EndEpoch}
	switch {
	case e == nil:
	case supersedes(&told, e):
		end = e.merged(end)
	case e.callbackDue && e.callbackURL == "" && head.CallbackURL != "":
		end = e.endOf()
		end.callbackURL = head.CallbackURL
	default:
		return nil
	}
	_, err := s.writeEnd(e, end, segment.Vital)
	return err
}
