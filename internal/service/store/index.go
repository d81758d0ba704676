package store

import (
	"cmp"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// Estimated memory of an entry, a head and a queue, without their strings.
const (
	entryBytes = 240 // including its slot in the map
	headBytes  = 260
	queueBytes = 240
)

// defaultRetention is used for messages without a retention.
const defaultRetention = time.Hour

// entry holds the state of one message and the positions of its records.
type entry struct {
	id          string
	queue       *queueIndex
	head        *protocol.Head // nil once the message has ended
	state       protocol.State
	callbackDue bool
	stamp       string
	callbackURL string
	epoch       uint64
	sequence    uint64
	bodySize    int
	failures    int
	bornAt      time.Duration // store time
	endedAt     time.Duration // store time
	retention   time.Duration // 0 if unknown
	endEpoch    uint64        // epoch of the owner that ended it

	message        segment.Position
	end            segment.Position
	failuresRecord segment.Position
	list           *entryList
	number         uint64 // position in the list: higher than those of all earlier entries
	previous, next *entry
	accountedBytes int
}

// entryList is a doubly linked list of entries.
type entryList struct {
	first, last *entry
	count       int
	lastNumber  uint64
}

func (l *entryList) add(e *entry) {
	l.lastNumber++
	e.list, e.number, e.previous, e.next = l, l.lastNumber, l.last, nil
	if l.last != nil {
		l.last.next = e
	} else {
		l.first = e
	}
	l.last = e
	l.count++
}

func (e *entry) unlink() {
	l := e.list
	if l == nil {
		return
	}
	if e.previous != nil {
		e.previous.next = e.next
	} else {
		l.first = e.next
	}
	if e.next != nil {
		e.next.previous = e.previous
	} else {
		l.last = e.previous
	}
	l.count--
	e.list, e.previous, e.next = nil, nil, nil
}

// queueIndex holds the entries of one queue.
type queueIndex struct {
	name         string
	open         entryList
	ended        entryList // in the order in which they ended
	callbacksDue int       // ended messages whose call-back is due
	promise      segment.Position

	promisedEpoch uint64 // epoch in the promise record

	idle      bool          // it was empty at the last check
	idleSince time.Duration // store time
}

// updateCallbacksDue updates the count for one message whose call-back was due before or is due now.
func (q *queueIndex) updateCallbacksDue(before, now bool) {
	if before {
		q.callbacksDue--
	}
	if now {
		q.callbacksDue++
	}
}

// index holds all entries. It is not safe for concurrent use.
type index struct {
	entries       map[string]*entry
	queues        map[string]*queueIndex
	sharedStrings map[string]string // interned strings that many heads repeat
	memory        int               // estimated bytes
}

func newIndex() *index {
	return &index{entries: map[string]*entry{}, queues: map[string]*queueIndex{}, sharedStrings: map[string]string{}}
}

// maxSharedStrings bounds the number of interned strings.
const maxSharedStrings = 4096

// intern returns the interned copy of a string that many heads repeat.
func (x *index) intern(s string) string {
	if known, ok := x.sharedStrings[s]; ok {
		return known
	}
	if len(x.sharedStrings) < maxSharedStrings {
		x.sharedStrings[s] = s
	}
	return s
}

func (x *index) queue(name string) *queueIndex {
	q := x.queues[name]
	if q == nil {
		q = &queueIndex{name: name}
		x.queues[name] = q
		x.memory += queueBytes + len(name)
	}
	return q
}

// addOpen adds a message that the index does not know.
func (x *index) addOpen(head *protocol.Head, bornAt time.Duration) *entry {
	e := &entry{id: head.ID, queue: x.queue(head.Queue), state: protocol.Queued}
	x.entries[e.id] = e
	x.setHead(e, head, bornAt)
	e.queue.open.add(e)
	x.updateMemory(e)
	return e
}

// setHead sets the fields of an entry from a message's head.
func (x *index) setHead(e *entry, head *protocol.Head, bornAt time.Duration) {
	kept := *head
	kept.Queue = e.queue.name
	kept.Method, kept.Host, kept.ContentType = x.intern(kept.Method), x.intern(kept.Host), x.intern(kept.ContentType)
	e.head = &kept
	e.bornAt = bornAt
	e.epoch, e.sequence, e.bodySize = kept.Epoch, kept.Sequence, kept.BodySize
	e.retention = max(e.retention, kept.Retention)
	e.callbackURL = kept.CallbackURL
	e.failures = max(e.failures, kept.Failures)
}

// addEnded adds a message of which only the end is known.
func (x *index) addEnded(end *endState) *entry {
	e := &entry{id: end.id, queue: x.queue(end.queue), bornAt: end.bornAt}
	x.entries[e.id] = e
	x.applyEnd(e, end)
	return e
}

// applyEnd moves an entry to an ended state. The time of the first end is kept.
func (x *index) applyEnd(e *entry, end *endState) {
	if !e.state.Ended() {
		e.endedAt = end.endedAt
		e.unlink()
		e.queue.ended.add(e)
	}
	e.queue.updateCallbacksDue(e.callbackDue, end.callbackDue)
	e.state, e.stamp, e.callbackDue, e.callbackURL = end.state, end.stamp, end.callbackDue, end.callbackURL
	e.epoch, e.sequence, e.bodySize = end.epoch, end.sequence, end.bodySize
	e.retention, e.endEpoch = max(e.retention, end.retention), max(e.endEpoch, end.endEpoch)
	e.head = nil
	x.updateMemory(e)
}

// mergeEnd returns an end completed with the fields of the entry.
func (e *entry) mergeEnd(end *endState) *endState {
	merged := e.toEndState()
	merged.state, merged.stamp, merged.callbackDue = end.state, end.stamp, end.callbackDue
	if !e.state.Ended() {
		merged.endedAt = end.endedAt
	}
	merged.retention, merged.endEpoch = max(merged.retention, end.retention), end.endEpoch
	merged.callbackURL = cmp.Or(merged.callbackURL, end.callbackURL)
	if !merged.callbackDue {
		merged.callbackURL = ""
	}
	return merged
}

// remove removes an entry from the index.
func (x *index) remove(e *entry) {
	e.unlink()
	e.queue.updateCallbacksDue(e.callbackDue, false)
	delete(x.entries, e.id)
	x.memory -= e.accountedBytes
}

// updateMemory updates the memory estimate after a change to an entry.
func (x *index) updateMemory(e *entry) {
	size := entryBytes + len(e.id) + len(e.stamp) + len(e.callbackURL)
	if h := e.head; h != nil {
		size += headBytes + len(h.Target) + len(h.OrderingKey)
	}
	x.memory += size - e.accountedBytes
	e.accountedBytes = size
}

// toEndState returns the content of an ended entry's end record.
func (e *entry) toEndState() *endState {
	return &endState{
		id: e.id, queue: e.queue.name, state: e.state, stamp: e.stamp,
		callbackURL: e.callbackURL, callbackDue: e.callbackDue,
		epoch: e.epoch, sequence: e.sequence, bodySize: e.bodySize,
		bornAt: e.bornAt, endedAt: e.endedAt, retention: e.retention, endEpoch: e.endEpoch,
	}
}

// headAt returns the head at the given store time.
func (e *entry) headAt(now time.Duration) protocol.Head {
	var head protocol.Head
	if e.head != nil {
		head = *e.head
	}
	e.refreshHead(&head, now)
	return head
}

// refreshHead sets the fields of a head that change over time.
func (e *entry) refreshHead(head *protocol.Head, now time.Duration) {
	head.ID, head.Queue = e.id, e.queue.name
	head.Epoch, head.Sequence, head.BodySize = e.epoch, e.sequence, e.bodySize
	head.Age = max(now-e.bornAt, 0)
	head.Failures = e.failures
	head.State, head.Stamp, head.CallbackDue = e.state, e.stamp, e.callbackDue
	if e.state.Ended() {
		head.SinceEnd, head.Retention, head.EndEpoch = max(now-e.endedAt, 0), e.retention, e.endEpoch
	}
	if head.CallbackURL == "" {
		head.CallbackURL = e.callbackURL
	}
}

// wantsBody reports whether the message's body may still be requested.
func (e *entry) wantsBody() bool {
	return e.state == protocol.Queued || e.state == protocol.DeadLetter
}

// expired reports whether an open message is past its retention and the status time.
func (e *entry) expired(now, statusTime time.Duration) bool {
	return now-e.bornAt > cmp.Or(e.retention, defaultRetention)+statusTime
}

// endRetentionMargin is how much longer an end is kept than an open copy in another store,
// whose age may be too low by the time that the copy took to arrive there.
const endRetentionMargin = 10 * time.Second

// removable reports whether an ended message may be dropped: its status can no longer
// be requested, and a store that was away when it ended has dropped its open copy too.
// Without the end, that copy would count as a message that still has to be delivered.
func (e *entry) removable(now, statusTime time.Duration) bool {
	return now-e.endedAt > statusTime && (e.retention == 0 || now-e.bornAt > e.retention+statusTime+endRetentionMargin)
}
