package store

import (
	"cmp"
	"errors"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

const maxReadAttempts = 3

// query returns what this store knows of a message.
func (s *store) query(q protocol.Query) (protocol.QueryReply, error) {
	for try := 0; ; try++ {
		reply, position, end := s.lookUp(q.ID, q.Queue)
		if err := s.log.WaitDurable(position, end); err != nil {
			return protocol.QueryReply{}, err // a reply must not contain what a power loss could undo
		}
		if !q.WithBody || position.Generation == 0 {
			return reply, nil
		}
		payload, err := s.log.Read(position)
		if err != nil {
			failure := s.log.Failed()
			if try+1 < maxReadAttempts && failure == nil {
				continue // the record has been moved meanwhile
			}
			return protocol.QueryReply{}, errors.Join(failure, err) // a log that has failed explains what is read
		}
		return withBody(reply, payload)
	}
}

// lookUp returns what this store knows of a message, and the positions of its records.
func (s *store) lookUp(id, queue string) (reply protocol.QueryReply, message, end segment.Position) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply = protocol.QueryReply{StoreID: s.log.StoreID(), StoresKnown: s.storesKnown}
	if e := s.index.entries[id]; e != nil {
		reply.Head, reply.Held, message, end = e.headAt(s.clock.now()), true, e.message, e.end
		queue = cmp.Or(queue, e.queue.name)
	}
	reply.Promised, reply.Holder = s.grantor.PromisedEpoch(time.Now(), queue)
	return reply, message, end
}

// withBody adds the body, and the fields of the head that are only on disk.
func withBody(reply protocol.QueryReply, payload []byte) (protocol.QueryReply, error) {
	content, err := decodeMessage(payload)
	if err != nil {
		return protocol.QueryReply{}, err
	}
	head := content.message.Head
	known := reply.Head
	head.Queue, head.Age, head.Failures = known.Queue, known.Age, known.Failures
	head.State, head.Stamp, head.CallbackDue = known.State, known.Stamp, known.CallbackDue
	head.SinceEnd, head.EndEpoch = known.SinceEnd, known.EndEpoch
	reply.Head, reply.Body = head, content.message.Body
	return reply, nil
}
