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
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/transport"
)

// Class is the error class of this package.
var Class = errs.Class("store")

const (
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
