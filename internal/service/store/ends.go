package store

import (
	"errors"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// errNoEndMemory means that a store has no memory for the ends of messages that it does not hold.
var errNoEndMemory = Class.New("no memory for the end of an unknown message")

// endBatch records ends and failures. The reply is valid once the commit has ended. Ends that cannot be recorded are
// refused one by one, because the others of the batch may come from messages that have nothing to do with them.
func (s *store) endBatch(identity protocol.Identity, batch *protocol.EndBatch) ([]protocol.RefusedEnd, *segment.Commit, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.persistClock(); err != nil {
		return nil, nil, err
	}
	var refused []protocol.RefusedEnd
	for i := range batch.Ends {
		refusal, err := s.recordOrRefuse(identity, &batch.Ends[i])
		if err != nil {
			return nil, nil, err
		}
		if refusal != nil {
			refused = append(refused, *refusal)
		}
	}
	for _, failures := range batch.Failures {
		if err := s.recordFailures(failures); err != nil {
			return nil, nil, err
		}
	}
	return refused, s.log.Barrier(), nil
}

// recordOrRefuse records an end, or says why it is refused. An error concerns the store's disk, and so all ends.
// An owner of a queue that has a newer one is refused: if both could record ends, two different outcomes could be
// reported for one message.
func (s *store) recordOrRefuse(identity protocol.Identity, end *protocol.End) (*protocol.RefusedEnd, error) {
	refusal := &protocol.RefusedEnd{ID: end.ID, Queue: end.Queue}
	if err := end.Check(); err != nil {
		refusal.Cause = err.Error()
		return refusal, nil
	}
	if promised, newer := s.grantor.PromisedLater(identity, end.Queue, end.Epoch); newer {
		refusal.Promised = promised
		return refusal, nil
	}
	if e := s.index.entries[end.ID]; e != nil && e.endedByNewerOwner(end) {
		refusal.Promised = e.endEpoch
		return refusal, nil
	}
	err := s.recordEnd(end)
	if errors.Is(err, errNoEndMemory) || errors.Is(err, segment.ErrTooBig) {
		refusal.Cause = err.Error()
		return refusal, nil
	}
	return nil, err
}

// recordEnd records that a message has ended.
func (s *store) recordEnd(end *protocol.End) error {
	e := s.index.entries[end.ID]
	state := &endState{
		id: end.ID, queue: end.Queue, state: end.State, stamp: end.Stamp,
		callbackDue: end.CallbackDue, bornAt: s.clock.now(), endedAt: s.clock.now(), retention: end.Retention,
		endEpoch: end.Epoch,
	}
	switch {
	case e == nil && s.index.memory > tombstoneMemoryFactor*s.options.maxIndexBytes:
		return errNoEndMemory
	case e != nil && !supersedes(end, e):
		return nil
	case e != nil:
		state = e.mergeEnd(state)
	}
	_, err := s.writeEnd(e, state, segment.Vital)
	return err
}

// endRank orders the ended states, so that all stores end up with the same state in
// whatever order ends arrive.
func endRank(state protocol.State) int {
	switch state {
	case protocol.Completed:
		return 3
	case protocol.DeadLetter:
		return 2
	case protocol.Discarded:
		return 1
	default:
		return 0
	}
}

// supersedes reports whether an end replaces the known state: it comes from a newer
// owner, which has read everything that was reported before, or has a state of a higher
// rank, or says that the call-back has been delivered.
func supersedes(end *protocol.End, e *entry) bool {
	if e.state.Ended() && end.Epoch != e.endEpoch {
		return end.Epoch > e.endEpoch
	}
	if rank, known := endRank(end.State), endRank(e.state); rank != known {
		return rank > known
	}
	return e.callbackDue && !end.CallbackDue
}

// endedByNewerOwner reports whether a newer owner than the end's has ended the message with
// another outcome.
func (e *entry) endedByNewerOwner(end *protocol.End) bool {
	return e.state.Ended() && e.endEpoch > end.Epoch && (e.state != end.State || e.stamp != end.Stamp)
}

// writeEnd writes an end, applies it to its entry, which it creates if e is nil, and
// drops the records that are obsolete then.
func (s *store) writeEnd(e *entry, end *endState, priority segment.Priority) (*segment.Commit, error) {
	position, commit, err := s.write(endRecord, priority, func(b []byte) []byte { return encodeEndRecord(b, end) })
	if err != nil {
		return nil, err
	}
	if e == nil {
		e = s.index.addEnded(end)
	} else {
		s.index.applyEnd(e, end)
	}
	s.replace(&e.end, position)
	s.dropObsoleteRecords(e)
	return commit, nil
}

// dropObsoleteRecords drops the records of an ended entry that are no longer needed.
func (s *store) dropObsoleteRecords(e *entry) {
	s.replace(&e.failuresRecord, segment.Position{})
	if !e.wantsBody() {
		s.replace(&e.message, segment.Position{})
	}
}

// recordFailures records the failed attempts of an open message.
func (s *store) recordFailures(failures protocol.Failures) error {
	e := s.index.entries[failures.ID]
	if e == nil || e.state.Ended() || failures.Count <= e.failures {
		return nil
	}
	return s.writeFailures(e, failures.Count, segment.Vital)
}

func (s *store) writeFailures(e *entry, count int, priority segment.Priority) error {
	position, _, err := s.write(failuresRecord, priority, func(b []byte) []byte { return encodeFailures(b, e.id, count) })
	if err != nil {
		return err
	}
	e.failures = count
	s.replace(&e.failuresRecord, position)
	return nil
}
