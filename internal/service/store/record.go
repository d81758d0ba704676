package store

import (
	"encoding/binary"
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
)

// The kinds of records.
const (
	formatRecord byte = 1 + iota
	clockRecord
	promiseRecord
	messageRecord
	endRecord
	failuresRecord
	storesRecord // newest list of stores that a dispatcher has reported
)

// endState is the content of an end record: all that is kept of a message whose body is
// no longer needed.
type endState struct {
	id, queue   string
	state       protocol.State
	stamp       string
	callbackURL string
	callbackDue bool
	epoch       uint64
	sequence    uint64
	bodySize    int
	bornAt      time.Duration
	endedAt     time.Duration
	retention   time.Duration // of the message; 0 if unknown
	endEpoch    uint64        // epoch of the owner that ended it
}

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendDuration(b []byte, d time.Duration) []byte { return binary.AppendVarint(b, int64(d)) }

func appendBool(b []byte, value bool) []byte {
	if value {
		return append(b, 1)
	}
	return append(b, 0)
}

// decoder reads the fields of a record; after an error it returns zero values.
type decoder struct {
	rest    []byte
	invalid bool
}

func (d *decoder) uint() uint64 {
	value, n := binary.Uvarint(d.rest)
	return value & d.take(n)
}

func (d *decoder) duration() time.Duration {
	value, n := binary.Varint(d.rest)
	return time.Duration(value & int64(d.take(n)))
}

// take skips n bytes and returns a mask: all ones, or zero if n reports an error.
func (d *decoder) take(n int) uint64 {
	if n <= 0 {
		d.invalid, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return ^uint64(0)
}

func (d *decoder) bytes() []byte {
	size := d.uint()
	if size > uint64(len(d.rest)) {
		d.invalid, d.rest = true, nil
		return nil
	}
	value := d.rest[:size]
	d.rest = d.rest[size:]
	return value
}

func (d *decoder) string() string { return string(d.bytes()) }

func (d *decoder) bool() bool { return d.uint() == 1 }

func (d *decoder) err(kind string) error {
	if d.invalid {
		return Class.New("%s record is short", kind)
	}
	return nil
}

func encodeFormat(b []byte, bootstrap bool) []byte { return appendBool(b, bootstrap) }

func encodeClock(b []byte, r clockReading) []byte {
	b = appendDuration(b, r.storeTime)
	b = appendDuration(b, r.steady)
	return appendDuration(b, r.wall)
}

func decodeClock(payload []byte) (clockReading, error) {
	d := decoder{rest: payload}
	r := clockReading{storeTime: d.duration(), steady: d.duration(), wall: d.duration()}
	return r, d.err("clock")
}

func encodePromise(b []byte, queue string, promise lease.Promise) []byte {
	b = appendString(b, queue)
	b = binary.AppendUvarint(b, promise.Epoch)
	b = appendString(b, promise.By.Node)
	return binary.AppendUvarint(b, promise.By.Incarnation)
}

func decodePromise(payload []byte) (queue string, promise lease.Promise, err error) {
	d := decoder{rest: payload}
	queue = d.string()
	promise.Epoch = d.uint()
	promise.By.Node = d.string()
	promise.By.Incarnation = d.uint()
	return queue, promise, d.err("promise")
}

// encodeMessage writes the head, with the time of acceptance instead of the age, the
// end if the message has ended, and the body. Thus a message and its end never depend
// on the order of two records.
func encodeMessage(b []byte, m *protocol.Message, bornAt time.Duration, end *endState) []byte {
	h := &m.Head
	b = appendString(b, h.ID)
	b = appendString(b, h.Queue)
	b = appendDuration(b, bornAt)
	b = binary.AppendUvarint(b, h.Epoch)
	b = binary.AppendUvarint(b, h.Sequence)
	b = appendString(b, h.Method)
	b = appendString(b, h.Host)
	b = appendString(b, h.Target)
	b = appendString(b, h.ContentType)
	b = appendString(b, h.OrderingKey)
	b = appendString(b, h.CallbackURL)
	b = appendDuration(b, h.Delay)
	b = appendDuration(b, h.Retention)
	b = binary.AppendUvarint(b, uint64(max(h.Failures, 0)))
	b = appendBool(b, end != nil)
	if end != nil {
		b = encodeEnd(b, end)
	}
	b = binary.AppendUvarint(b, uint64(len(m.Body)))
	b = append(b, m.Body...)
	if end != nil {
		b = binary.AppendUvarint(b, end.endEpoch)
	}
	return binary.AppendUvarint(b, uint64(max(h.Revision, 0)))
}

// messageContent is the content of a message record.
type messageContent struct {
	message protocol.Message
	bornAt  time.Duration
	end     *endState // nil unless the message had ended
}

// decodeMessage decodes a message record; the body shares the payload's memory.
func decodeMessage(payload []byte) (content messageContent, err error) {
	d := decoder{rest: payload}
	head := &content.message.Head
	head.ID = d.string()
	head.Queue = d.string()
	content.bornAt = d.duration()
	head.Epoch = d.uint()
	head.Sequence = d.uint()
	head.Method = d.string()
	head.Host = d.string()
	head.Target = d.string()
	head.ContentType = d.string()
	head.OrderingKey = d.string()
	head.CallbackURL = d.string()
	head.Delay = d.duration()
	head.Retention = d.duration()
	head.Failures = int(d.uint())
	if d.bool() {
		end := d.end()
		end.retention = head.Retention
		content.end = &end
	}
	content.message.Body = d.bytes()
	if content.end != nil && len(d.rest) > 0 { // records of earlier builds stop here
		content.end.endEpoch = d.uint()
	}
	if len(d.rest) > 0 { // so do those of earlier builds for open messages
		head.Revision = int64(d.uint())
	}
	head.BodySize = len(content.message.Body)
	head.State = protocol.Queued
	return content, d.err("message")
}

func encodeEnd(b []byte, e *endState) []byte {
	b = appendString(b, e.id)
	b = appendString(b, e.queue)
	b = append(b, byte(e.state))
	b = appendString(b, e.stamp)
	b = appendString(b, e.callbackURL)
	b = appendBool(b, e.callbackDue)
	b = binary.AppendUvarint(b, e.epoch)
	b = binary.AppendUvarint(b, e.sequence)
	b = binary.AppendUvarint(b, uint64(e.bodySize))
	b = appendDuration(b, e.bornAt)
	return appendDuration(b, e.endedAt)
}

// encodeEndRecord writes an end record. The end within a message record omits the
// retention, which the message has; its epoch follows the body.
func encodeEndRecord(b []byte, e *endState) []byte {
	b = appendDuration(encodeEnd(b, e), e.retention)
	return binary.AppendUvarint(b, e.endEpoch)
}

func decodeEnd(payload []byte) (endState, error) {
	d := decoder{rest: payload}
	e := d.end()
	if len(d.rest) > 0 { // records of earlier builds stop here
		e.retention = d.duration()
	}
	if len(d.rest) > 0 {
		e.endEpoch = d.uint()
	}
	return e, d.err("end")
}

func (d *decoder) end() endState {
	return endState{
		id: d.string(), queue: d.string(), state: protocol.State(d.uint()), stamp: d.string(),
		callbackURL: d.string(), callbackDue: d.bool(), epoch: d.uint(), sequence: d.uint(),
		bodySize: int(d.uint()), bornAt: d.duration(), endedAt: d.duration(),
	}
}

func encodeStores(b []byte, known uint64) []byte { return binary.AppendUvarint(b, known) }

func decodeStores(payload []byte) (uint64, error) {
	d := decoder{rest: payload}
	known := d.uint()
	return known, d.err("stores")
}

func encodeFailures(b []byte, id string, count int) []byte {
	b = appendString(b, id)
	return binary.AppendUvarint(b, uint64(count))
}

func decodeFailures(payload []byte) (id string, count int, err error) {
	d := decoder{rest: payload}
	id, count = d.string(), int(d.uint())
	return id, count, d.err("failures")
}

// recordID returns the first field of a record: the id in message, end and failures
// records, the queue in promise records. It shares the payload's memory.
func recordID(payload []byte) []byte {
	d := decoder{rest: payload}
	return d.bytes()
}
