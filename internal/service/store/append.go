package store

import (
	"errors"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// append stores a copy of a message. The reply is valid once the commit has ended.
func (s *store) append(identity protocol.Identity, m *protocol.Message) (protocol.AppendStatus, *segment.Commit, error) {
	if err := m.Head.Check(); err != nil {
		return 0, nil, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if err := s.checkQueues(m.Head.Queue); err != nil {
		return 0, nil, err
	}
	decision := s.grantor.Write(identity, m.Head.Queue, m.LeaseEpoch())
	if !decision.Allowed || !s.grantor.HasSession(time.Now(), identity) {
		return protocol.Fenced, nil, nil
	}
	if _, err := s.persistPromise(m.Head.Queue, decision.Promise); err != nil {
		return 0, nil, err
	}
	e := s.index.entries[m.Head.ID]
	switch {
	case e == nil:
		return s.appendNew(m)
	case e.message.Generation == 0 && e.wantsBody():
		return s.appendBody(e, m)
	case e.callbackDue && e.callbackURL == "" && m.Head.CallbackURL != "":
		end := e.toEndState()
		end.callbackURL = m.Head.CallbackURL
		commit, err := s.writeEnd(e, end, segment.Vital)
		return protocol.Stored, commit, err
	default:
		return protocol.Stored, s.log.Barrier(), nil
	}
}

// checkQueues refuses a new queue once the table is full.
func (s *store) checkQueues(name string) error {
	if len(s.index.queues) >= maxQueues && s.index.queues[name] == nil {
		return Class.New("queue %q is one too many", name)
	}
	return nil
}

// appendNew stores a message that the index does not contain.
func (s *store) appendNew(m *protocol.Message) (protocol.AppendStatus, *segment.Commit, error) {
	if !s.takesCopies() {
		s.copiesRefused++
		return protocol.StoreFull, nil, nil
	}
	position, commit, status, err := s.writeMessage(m, nil)
	if status != protocol.Stored {
		s.copiesRefused++
		return status, nil, err
	}
	m.Head.BodySize = len(m.Body)
	e := s.index.addOpen(&m.Head, s.bornAt(m))
	e.head.State, e.head.Stamp, e.head.CallbackDue = protocol.Queued, "", false
	e.message = position
	if e.queue.open.count == 1 {
		s.touchUnownedQueue(e.queue.name)
	}
	return protocol.Stored, commit, nil
}

// takesCopies reports whether the store accepts new messages. The mutex is held.
func (s *store) takesCopies() bool {
	return !s.retirement.leaving && s.index.memory <= s.options.maxIndexBytes && s.log.HasRoom()
}

// touchUnownedQueue lists a queue without an owner as changed, so that dispatchers learn of its messages.
func (s *store) touchUnownedQueue(name string) {
	if holder, _ := s.grantor.Lease(name); holder == "" {
		s.grantor.MarkChanged(name)
	}
}

// appendBody stores the body of a message of which only the end is known.
func (s *store) appendBody(e *entry, m *protocol.Message) (protocol.AppendStatus, *segment.Commit, error) {
	e.bornAt, e.bodySize = s.bornAt(m), len(m.Body)
	e.epoch, e.sequence = m.Head.Epoch, m.Head.Sequence
	if e.callbackDue {
		e.callbackURL = m.Head.CallbackURL
	}
	position, commit, status, err := s.writeMessage(m, e)
	if status != protocol.Stored {
		return status, nil, err
	}
	s.replace(&e.message, position)
	return protocol.Stored, commit, nil
}

func (s *store) bornAt(m *protocol.Message) time.Duration { return s.clock.now() - m.Head.Age }

func (s *store) writeMessage(m *protocol.Message, e *entry) (segment.Position, *segment.Commit, protocol.AppendStatus, error) {
	if err := s.persistClock(); err != nil && !errors.Is(err, segment.ErrFull) {
		return segment.Position{}, nil, 0, err
	}
	position, commit, err := s.writeMessageRecord(m, s.bornAt(m), e, segment.Ordinary)
	switch {
	case errors.Is(err, segment.ErrFull):
		return position, nil, protocol.StoreFull, nil
	case err != nil:
		return position, nil, 0, err
	default:
		return position, commit, protocol.Stored, nil
	}
}
