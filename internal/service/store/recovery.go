package store

import (
	"errors"
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// replayState is what recovery collects besides the index.
type replayState struct {
	promises   map[string]lease.Promise
	lastClock  clockReading
	newestTime time.Duration // newest store time in any record
	bootstrap  bool
}

// Replay applies one record during recovery.
func (s *store) Replay(kind byte, payload []byte, position segment.Position) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch kind {
	case formatRecord:
		d := decoder{rest: payload}
		s.replayed.bootstrap = d.bool()
		s.replace(&s.formatPosition, position)
		return d.err("format")
	case clockRecord:
		return s.replayClock(payload, position)
	case promiseRecord:
		return s.replayPromise(payload, position)
	case messageRecord:
		return s.replayMessage(payload, position)
	case endRecord:
		return s.replayEnd(payload, position)
	case failuresRecord:
		return s.replayFailures(payload, position)
	case storesRecord:
		known, err := decodeStores(payload)
		s.storesKnown = max(s.storesKnown, known)
		s.replace(&s.storesPosition, position)
		return err
	default:
		return Class.New("unknown record kind %d", kind)
	}
}

func (s *store) replayClock(payload []byte, position segment.Position) error {
	r, err := decodeClock(payload)
	if err != nil {
		return err
	}
	s.replayed.lastClock = r
	s.replayed.newestTime = r.storeTime // may go back: the clock may have been corrected
	s.replace(&s.clockPosition, position)
	return nil
}

func (s *store) replayPromise(payload []byte, position segment.Position) error {
	name, promise, err := decodePromise(payload)
	if err != nil {
		return err
	}
	if promise.Epoch < s.replayed.promises[name].Epoch {
		s.log.Drop(position)
		return nil
	}
	s.replayed.promises[name] = promise
	q := s.index.queue(name)
	s.replace(&q.promise, position)
	q.promisedEpoch = promise.Epoch
	return nil
}

func (s *store) replayMessage(payload []byte, position segment.Position) error {
	content, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	head := &content.message.Head
	s.replayed.newestTime = max(s.replayed.newestTime, content.bornAt)
	e := s.index.entries[head.ID]
	switch {
	case e != nil && !e.wantsBody():
		s.log.Drop(position)
		return nil
	case e == nil && content.end != nil:
		e = s.index.addEnded(content.end)
	case e == nil:
		e = s.index.addOpen(head, content.bornAt)
	case content.end != nil:
		s.index.applyEnd(e, content.end)
	}
	e.failures = max(e.failures, head.Failures)
	s.replace(&e.message, position)
	return nil
}

func (s *store) replayEnd(payload []byte, position segment.Position) error {
	end, err := decodeEnd(payload)
	if err != nil {
		return err
	}
	if !end.state.Ended() {
		return Class.New("end record with state %d, which is not an ended state", end.state)
	}
	s.replayed.newestTime = max(s.replayed.newestTime, end.endedAt)
	e := s.index.entries[end.id]
	if e == nil {
		e = s.index.addEnded(&end)
	} else {
		s.index.applyEnd(e, &end)
	}
	s.replace(&e.end, position)
	s.dropObsoleteRecords(e)
	return nil
}

func (s *store) replayFailures(payload []byte, position segment.Position) error {
	id, count, err := decodeFailures(payload)
	if err != nil {
		return err
	}
	e := s.index.entries[id]
	if e == nil || e.state.Ended() || count < e.failures {
		s.log.Drop(position)
		return nil
	}
	e.failures = count
	s.replace(&e.failuresRecord, position)
	return nil
}

// finishRecovery formats an empty disk, or restores the clock, and creates the grantor from
// the promises.
func (s *store) finishRecovery() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	formatted := s.formatPosition.Generation == 0
	if formatted {
		if err := s.formatDisk(); err != nil {
			return err
		}
	} else {
		s.bootstrap = s.replayed.bootstrap
		s.clock.resume(s.replayed.lastClock, s.replayed.newestTime)
	}
	s.grantor = lease.NewGrantor(time.Now(), s.options.version, s.replayed.promises)
	s.grantor.OnSilence(s.logSilence)
	if !formatted || s.bootstrap {
		s.grantor.SetPromisesComplete()
	}
	s.replayed = nil
	s.clockCorrection.firstRecord = s.log.End()
	if !formatted {
		s.clockCorrection.until = s.clock.started.Add(clockCorrectionPeriod)
	}
	if err := s.persistClock(); !errors.Is(err, segment.ErrFull) {
		return err
	}
	return nil // the last reading is still valid
}

// formatDisk writes the first record of an empty disk.
func (s *store) formatDisk() error {
	s.bootstrap = s.options.bootstrap
	position, _, err := s.write(formatRecord, segment.First, func(b []byte) []byte { return encodeFormat(b, s.bootstrap) })
	s.replace(&s.formatPosition, position)
	return err
}

// Reclaim moves a record to the end of the log if it is still live.
func (s *store) Reclaim(kind byte, payload []byte, position segment.Position) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	place, e := s.positionOf(kind, payload)
	switch {
	case place == nil || *place != position:
		return nil
	case kind == messageRecord && (e.end.Generation != 0 || e.failuresRecord.Generation != 0):
		return s.moveMessage(e, payload)
	}
	moved, _, err := s.log.Append(kind, payload, segment.Moved)
	if err != nil {
		return err
	}
	s.replace(place, moved)
	return nil
}

// moveMessage writes a message together with its end and its failures, and drops their separate records.
func (s *store) moveMessage(e *entry, payload []byte) error {
	content, err := decodeMessage(payload)
	if err != nil {
		return err
	}
	content.message.Head.Failures = e.failures
	moved, _, err := s.writeMessageRecord(&content.message, e.bornAt, e, segment.Moved)
	if err != nil {
		return err
	}
	s.replace(&e.message, moved)
	s.replace(&e.failuresRecord, segment.Position{})
	return nil
}

// writeMessageRecord writes a message record. If the entry has ended, the record includes the end, and the separate
// record of the end is dropped, unless both together are larger than a file: then that one stays.
func (s *store) writeMessageRecord(m *protocol.Message, bornAt time.Duration, e *entry, priority segment.Priority) (segment.Position, *segment.Commit, error) {
	write := func(end *endState) (segment.Position, *segment.Commit, error) {
		return s.write(messageRecord, priority, func(b []byte) []byte { return encodeMessage(b, m, bornAt, end) })
	}
	if e == nil || !e.state.Ended() {
		return write(nil)
	}
	position, commit, err := write(e.toEndState())
	if errors.Is(err, segment.ErrTooBig) && e.end.Generation != 0 {
		return write(nil)
	}
	if err == nil {
		s.replace(&e.end, segment.Position{})
	}
	return position, commit, err
}

// positionOf returns the variable that holds the position of a record, and its entry.
func (s *store) positionOf(kind byte, payload []byte) (*segment.Position, *entry) {
	switch kind {
	case formatRecord:
		return &s.formatPosition, nil
	case clockRecord:
		return &s.clockPosition, nil
	case storesRecord:
		return &s.storesPosition, nil
	case promiseRecord:
		if q := s.index.queues[string(recordID(payload))]; q != nil {
			return &q.promise, nil
		}
		return nil, nil
	}
	e := s.index.entries[string(recordID(payload))]
	if e == nil {
		return nil, nil
	}
	switch kind {
	case messageRecord:
		return &e.message, e
	case endRecord:
		return &e.end, e
	case failuresRecord:
		return &e.failuresRecord, e
	default:
		return nil, nil
	}
}
