package store

import (
	"cmp"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
)

// Estimates of the memory that entries take beside their strings.
const (
	entryBytes = 240 // with its place in the map
	headBytes  = 260
	queueBytes = 240
)

// defaultRetention is used for messages that come without one.
const defaultRetention = time.Hour

// entry is what is known of one message.
type entry struct {
	id          string
	queue       *queueIndex
	head        *protocol.Head // nil once nothing but the fields here is needed
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
	retention   time.Duration // 0 where it is not known
	endEpoch    uint64        // of the owner that ended it

	message         segment.Position
	end             segment.Position
	failuresRecord  segment.Position
	list            *entryList
	previous, next  *entry
	countedAsMemory int
}

// entryList is a doubly linked list of entries.
type entryList struct {
	first, last *entry
	count       int
}

func (l *entryList) add(e *entry) {
	e.list, e.previous, e.next = l, l.last, nil
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
	name    string
	open    entryList
	ended   entryList // in the order of their ends
	owed    int       // call-backs that ended messages owe
	promise segment.Position

	promisedEpoch uint64 // in the promise record

	idle      bool          // it had nothing at the last look
	idleSince time.Duration // store time
}

// countOwed notes that one message owes a call-back, or no longer does.
func (q *queueIndex) countOwed(before, now bool) {
	if before {
		q.owed--
	}
	if now {
		q.owed++
	}
}

// index holds all entries. It is not safe for concurrent use.
type index struct {
	entries map[string]*entry
	queues  map[string]*queueIndex
	names   map[string]string // shared copies of strings that many heads repeat
	memory  int               // estimate
}

func newIndex() *index {
	return &index{entries: map[string]*entry{}, queues: map[string]*queueIndex{}, names: map[string]string{}}
}

// namesMost bounds the shared strings.
const namesMost = 4096

// shared returns one copy of a string that many heads repeat.
func (x *index) shared(s string) string {
	if known, ok := x.names[s]; ok {
		return known
	}
	if len(x.names) < namesMost {
		x.names[s] = s
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
	x.takeHead(e, head, bornAt)
	e.queue.open.add(e)
	x.account(e)
	return e
}

// takeHead fills an entry from a message's head.
func (x *index) takeHead(e *entry, head *protocol.Head, bornAt time.Duration) {
	kept := *head
	kept.Queue = e.queue.name
	kept.Method, kept.Host, kept.ContentType = x.shared(kept.Method), x.shared(kept.Host), x.shared(kept.ContentType)
	e.head = &kept
	e.bornAt = bornAt
	e.epoch, e.sequence, e.bodySize = kept.Epoch, kept.Sequence, kept.BodySize
	e.retention = max(e.retention, kept.Retention)
	e.callbackURL = kept.CallbackURL
	e.failures = max(e.failures, kept.Failures)
}

// addEnded adds a message that is known by its end only.
func (x *index) addEnded(end *endState) *entry {
	e := &entry{id: end.id, queue: x.queue(end.queue), bornAt: end.bornAt}
	x.entries[e.id] = e
	x.applyEnd(e, end)
	return e
}

// applyEnd brings an entry to an ended state. The first end's time counts.
func (x *index) applyEnd(e *entry, end *endState) {
	if !e.state.Ended() {
		e.endedAt = end.endedAt
		e.unlink()
		e.queue.ended.add(e)
	}
	e.queue.countOwed(e.callbackDue, end.callbackDue)
	e.state, e.stamp, e.callbackDue, e.callbackURL = end.state, end.stamp, end.callbackDue, end.callbackURL
	e.epoch, e.sequence, e.bodySize = end.epoch, end.sequence, end.bodySize
	e.retention, e.endEpoch = max(e.retention, end.retention), max(e.endEpoch, end.endEpoch)
	e.head = nil
	x.account(e)
}

// merged completes an end by what the entry knows.
func (e *entry) merged(end *endState) *endState {
	whole := e.endOf()
	whole.state, whole.stamp, whole.callbackDue = end.state, end.stamp, end.callbackDue
	if !e.state.Ended() {
		whole.endedAt = end.endedAt
	}
	whole.retention, whole.endEpoch = max(whole.retention, end.retention), end.endEpoch
	whole.callbackURL = cmp.Or(whole.callbackURL, end.callbackURL)
	if !whole.callbackDue {
		whole.callbackURL = ""
	}
	return whole
}

// remove forgets an entry.
func (x *index) remove(e *entry) {
	e.unlink()
	e.queue.countOwed(e.callbackDue, false)
	delete(x.entries, e.id)
	x.memory -= e.countedAsMemory
}

// account brings the estimate of the memory up to date.
func (x *index) account(e *entry) {
	size := entryBytes + len(e.id) + len(e.stamp) + len(e.callbackURL)
	if h := e.head; h != nil {
		size += headBytes + len(h.Target) + len(h.OrderingKey)
	}
	x.memory += size - e.countedAsMemory
	e.countedAsMemory = size
}

// endOf returns the content of an ended entry's end record.
func (e *entry) endOf() *endState {
	return &endState{
		id: e.id, queue: e.queue.name, state: e.state, stamp: e.stamp,
		callbackURL: e.callbackURL, callbackDue: e.callbackDue,
		epoch: e.epoch, sequence: e.sequence, bodySize: e.bodySize,
		bornAt: e.bornAt, endedAt: e.endedAt, retention: e.retention, endEpoch: e.endEpoch,
	}
}

// headAt returns the head as it is at a moment of store time.
func (e *entry) headAt(now time.Duration) protocol.Head {
	var head protocol.Head
	if e.head != nil {
		head = *e.head
	}
	e.bringUpToDate(&head, now)
	return head
}

// bringUpToDate sets the fields of a head that change.
func (e *entry) bringUpToDate(head *protocol.Head, now time.Duration) {
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

// wantsBody reports whether the message's body may still be asked for.
func (e *entry) wantsBody() bool {
	return e.state == protocol.Queued || e.state == protocol.DeadLetter
}

// over reports whether an open message is past all that may be asked of it.
func (e *entry) over(now, statusTime time.Duration) bool {
	return now-e.bornAt > cmp.Or(e.retention, defaultRetention)+statusTime
}

// endKeptLonger is how much longer an end is kept than an open copy elsewhere,
// whose age may be less by the time that it took to get there.
const endKeptLonger = 10 * time.Second

// forgettable reports whether an ended message may be forgotten: nobody may ask
// for it, and a store that was away when it ended has dropped its open copy too.
// That one would else be taken for a message that still has to run.
func (e *entry) forgettable(now, statusTime time.Duration) bool {
	return now-e.endedAt > statusTime && (e.retention == 0 || now-e.bornAt > e.retention+statusTime+endKeptLonger)
}
