// Package store implements the role that keeps copies of messages on disk and grants
// leases on queues. docs/STORE.md describes it.
package store

import (
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/zeebo/errs"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/transport"
)

// Class is the error class of this package.
var Class = errs.Class("store")

const (
	maxNameBytes          = 256 // bytes of an id or of a queue's name
	maxFieldBytes         = 16 << 10
	maxQueues             = 1 << 16
	clockRecordInterval   = time.Second
	tombstoneMemoryFactor = 2 // times the memory limit, for ends of unknown messages
	maxPooledBufferBytes  = 512 << 10
)

// options are the parameters of a store.
type options struct {
	files         segment.Files
	clocks        clockSource
	storeID       string
	segmentSize   int
	maxSegments   int
	maxIndexBytes int // estimated bytes of the index
	statusTime    time.Duration
	bootstrap     bool
	role          string // of the processes that are listed as sessions
	version       uint64 // initial version of the session table
	log           logr.Logger
}

// store keeps messages, ends and promises. It is safe for concurrent use, except for
// methods that need the mutex to be held.
type store struct {
	options options
	log     *segment.Log
	buffers sync.Pool

	mutex          sync.Mutex
	clock          *clock
	index          *index
	grantor        *lease.Grantor
	connections    map[lease.SessionID]int
	peers          map[lease.SessionID][]*transport.Peer
	bootstrap      bool // the disk was formatted at the first start of the whole system
	formatPosition segment.Position
	storesPosition segment.Position
	storesKnown    uint64 // sequence of the newest list of stores that a dispatcher has reported; on disk
	clockPosition  segment.Position
	retirement     retirement
	knowledge      map[lease.SessionID]knowledge // what connected dispatchers have reported

	attempts        releasedAttempts
	copiesRefused   uint64        // for lack of room or while leaving
	lastClockRecord time.Duration // store time of the last clock record
	clockCorrection clockCorrection

	replayed *replayState // during recovery
}

// openStore recovers the store from its files.
func openStore(o options) (*store, error) {
	s := &store{
		options: o, clock: newClock(o.clocks), index: newIndex(),
		connections: map[lease.SessionID]int{}, peers: map[lease.SessionID][]*transport.Peer{}, knowledge: map[lease.SessionID]knowledge{},
		replayed: &replayState{promises: map[string]lease.Promise{}},
	}
	s.buffers.New = func() any { return new([]byte) }
	log, err := segment.New(segment.Options{
		Files: o.files, StoreID: o.storeID, SegmentSize: o.segmentSize,
		MaxSegments: o.maxSegments, Log: o.log,
	}, s)
	if err != nil {
		return nil, err
	}
	s.log = log
	if err := log.Start(); err != nil {
		return nil, err
	}
	if err := s.finishRecovery(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	return s, nil
}

// messages returns how many messages the index holds.
func (s *store) messages() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.index.entries)
}

func (s *store) close() error { return s.log.Close() }

// write appends a record made by encode. The mutex is held.
func (s *store) write(kind byte, priority segment.Priority, encode func([]byte) []byte) (segment.Position, *segment.Commit, error) {
	buffer := s.buffers.Get().(*[]byte)
	*buffer = encode((*buffer)[:0])
	position, commit, err := s.log.Append(kind, *buffer, priority)
	if cap(*buffer) <= maxPooledBufferBytes {
		s.buffers.Put(buffer)
	}
	return position, commit, err
}

// append stores a copy of a message. The reply is valid once the commit has ended.
func (s *store) append(identity protocol.Identity, m *protocol.Message) (protocol.AppendStatus, *segment.Commit, error) {
	if err := checkMessage(m); err != nil {
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

func checkMessage(m *protocol.Message) error {
	h := &m.Head
	if err := checkName("id", h.ID); err != nil {
		return err
	}
	if err := checkName("queue", h.Queue); err != nil {
		return err
	}
	for _, field := range [...]string{h.Method, h.Host, h.Target, h.ContentType, h.OrderingKey, h.CallbackURL} {
		if len(field) > maxFieldBytes {
			return Class.New("message %s: a field has %d bytes", h.ID, len(field))
		}
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return Class.New("%s of %d bytes", field, len(name))
	}
	return nil
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
	s.replace(&e.end, segment.Position{})
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

// persistClock writes a reading of the clocks if the last one is too old.
func (s *store) persistClock() error {
	now := s.clock.now()
	if s.clockPosition.Generation != 0 && now-s.lastClockRecord < clockRecordInterval {
		return nil
	}
	position, _, err := s.write(clockRecord, segment.Vital, func(b []byte) []byte { return encodeClock(b, s.clock.read()) })
	if err != nil {
		return err
	}
	s.replace(&s.clockPosition, position)
	s.lastClockRecord = now
	return nil
}

// replace sets the position of a record and drops the record at the old position.
func (s *store) replace(place *segment.Position, position segment.Position) {
	s.log.Drop(*place)
	*place = position
}

// persistPromise writes the promise of a queue unless its epoch has been written.
func (s *store) persistPromise(queue string, promise lease.Promise) (*segment.Commit, error) {
	q := s.index.queue(queue)
	if promise.Epoch <= q.promisedEpoch {
		return nil, nil
	}
	position, commit, err := s.write(promiseRecord, segment.Vital, func(b []byte) []byte {
		return encodePromise(b, queue, promise)
	})
	if err != nil {
		return nil, err
	}
	s.replace(&q.promise, position)
	q.promisedEpoch = promise.Epoch
	return commit, nil
}

// endBatch records ends and failures. The reply is valid once the commit has ended.
// It refuses ends from an owner of a queue that has a newer one: if both could record
// ends, two different outcomes could be reported for one message.
func (s *store) endBatch(identity protocol.Identity, batch *protocol.EndBatch) ([]protocol.RefusedEnd, *segment.Commit, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i := range batch.Ends {
		if err := checkEnd(&batch.Ends[i]); err != nil {
			return nil, nil, err
		}
	}
	if err := s.persistClock(); err != nil {
		return nil, nil, err
	}
	var refused []protocol.RefusedEnd
	for i := range batch.Ends {
		end := &batch.Ends[i]
		if promised, newer := s.grantor.PromisedLater(identity, end.Queue, end.Epoch); newer {
			refused = append(refused, protocol.RefusedEnd{ID: end.ID, Queue: end.Queue, Promised: promised})
			continue
		}
		if e := s.index.entries[end.ID]; e != nil && e.endedByNewerOwner(end) {
			refused = append(refused, protocol.RefusedEnd{ID: end.ID, Queue: end.Queue, Promised: e.endEpoch})
			continue
		}
		if err := s.recordEnd(end); err != nil {
			return nil, nil, err
		}
	}
	for _, failures := range batch.Failures {
		if err := s.recordFailures(failures); err != nil {
			return nil, nil, err
		}
	}
	return refused, s.log.Barrier(), nil
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
		return Class.New("no memory for the end of unknown message %s", end.ID)
	case e != nil && !supersedes(end, e):
		return nil
	case e != nil:
		state = e.mergeEnd(state)
	}
	_, err := s.writeEnd(e, state, segment.Vital)
	return err
}

func checkEnd(end *protocol.End) error {
	if err := checkName("id", end.ID); err != nil {
		return err
	}
	if len(end.Queue) > maxNameBytes {
		return Class.New("end of message %s: queue of %d bytes", end.ID, len(end.Queue))
	}
	if !end.State.Ended() || len(end.Stamp) > maxFieldBytes {
		return Class.New("end of message %s: state %d, stamp of %d bytes", end.ID, end.State, len(end.Stamp))
	}
	return nil
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

// tick drops the ended messages that can no longer be requested; if full is set, also
// expired open messages and idle queues.
func (s *store) tick(full bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.clockCorrectable() {
		return
	}
	now := s.clock.now()
	for _, q := range s.index.queues {
		for e := q.ended.first; e != nil && now-e.endedAt > s.options.statusTime; {
			next := e.next
			if e.removable(now, s.options.statusTime) {
				s.removeEntry(e)
			}
			e = next
		}
		if full {
			s.removeExpired(q, now)
		}
	}
	if full {
		s.dropIdleQueues(now)
	}
}

// removeExpired drops the open messages that have expired.
func (s *store) removeExpired(q *queueIndex, now time.Duration) {
	for e := q.open.first; e != nil; {
		next := e.next
		if e.expired(now, s.options.statusTime) {
			s.removeEntry(e)
		}
		e = next
	}
}

func (s *store) removeEntry(e *entry) {
	s.log.Drop(e.message)
	s.log.Drop(e.end)
	s.log.Drop(e.failuresRecord)
	s.index.remove(e)
}
