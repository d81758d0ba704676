// Package queue decides when the messages of a queue may be delivered, in which
// order, and when they have ended. It does no I/O; time is an argument, counted
// from an arbitrary moment on a steady clock.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
)

// Phase is what a message waits for.
type Phase uint8

// The phases of a message.
const (
	Waiting  Phase = iota // for its delay, for a retry, or for messages before it
	Ready                 // for a sender
	Running               // a delivery is under way
	Callback              // ended; its call-back has not been taken
	Done                  // nothing is left to do
)

// Waits between attempts: they double from the first to the last.
const (
	FirstRetry       = 25 * time.Millisecond
	LastRetry        = 2 * time.Second
	FirstCallback    = 100 * time.Millisecond
	LastCallback     = 2 * time.Second
	RetentionSlack   = 300 * time.Millisecond // added to the retention, so that it has surely passed
	mostDoublings    = 10
	endedKept        = 120 * time.Second
	callbackAttempts = 200
)

// Entry is a message in a queue.
type Entry struct {
	Head     protocol.Head
	Body     []byte   // nil where it is on disk only
	Holders  []string // stores that have a copy
	Touched  []string // further stores that may have one
	EndKept  []string // stores that have recorded its end
	Phase    Phase
	accepted time.Duration
	due      time.Duration // earliest moment of the next delivery
	wake     time.Duration // when its timer fires, where it is in the heap
	expires  time.Duration
	held     time.Duration // until then another owner's attempt may be under way
	tries    int           // attempts that ended without an answer that counts
	place    int           // index in the heap of timers, or -1
	order    uint64
}

// Accepted returns when the message was accepted.
func (e *Entry) Accepted() time.Duration { return e.accepted }

// HeadAt returns the head with its age brought up to date.
func (e *Entry) HeadAt(now time.Duration) protocol.Head {
	head := e.Head
	head.Age = max(0, now-e.accepted)
	return head
}

// HeldUntil returns until when the message is kept back for an attempt of another owner.
func (e *Entry) HeldUntil() time.Duration { return e.held }

// Expires returns when the message's retention has passed.
func (e *Entry) Expires() time.Duration { return e.expires }

// Queue holds the messages of one queue at its owner.
type Queue struct {
	Name     string
	Epoch    uint64
	sequence uint64
	arrivals uint64
	entries  map[string]*Entry
	keys     map[string][]*Entry // open messages with an ordering key, in order
	timers   timerHeap
	ready    []*Entry
	ended    []endedRecord
	open     int
	running  int
}

type endedRecord struct {
	id string
	at time.Duration
}

// New returns an empty queue under an epoch.
func New(name string, epoch uint64) *Queue {
	return &Queue{Name: name, Epoch: epoch, entries: map[string]*Entry{}, keys: map[string][]*Entry{}}
}

// NextSequence returns the sequence number of the next message to be accepted.
func (q *Queue) NextSequence() uint64 {
	q.sequence++
	return q.sequence
}

// Open returns how many messages have not ended or owe a call-back.
func (q *Queue) Open() int { return q.open }

// Running returns how many deliveries are under way.
func (q *Queue) Running() int { return q.running }

// Get returns a message that is open or ended of late.
func (q *Queue) Get(id string) *Entry { return q.entries[id] }

// Each calls a function for each message that is open or ended of late.
func (q *Queue) Each(call func(*Entry)) {
	for _, entry := range q.entries {
		call(entry)
	}
}

// Add takes in a message. One that is known already is returned as it is.
// Messages with the same ordering key must be added in the order of acceptance.
func (q *Queue) Add(now time.Duration, head protocol.Head, body []byte, holders []string) *Entry {
	if known := q.entries[head.ID]; known != nil {
		return known
	}
	q.arrivals++
	entry := &Entry{Head: head, Body: body, Holders: holders, place: -1, order: q.arrivals}
	entry.accepted = now - head.Age
	entry.expires = entry.accepted + head.Retention + RetentionSlack
	entry.due = entry.accepted + head.Delay
	q.entries[head.ID] = entry
	q.open++
	if head.State.Ended() {
		q.addEnded(now, entry)
		return entry
	}
	entry.Head.State = protocol.Queued
	if head.OrderingKey != "" {
		q.keys[head.OrderingKey] = append(q.keys[head.OrderingKey], entry)
		if q.keys[head.OrderingKey][0] != entry {
			q.schedule(entry, entry.expires)
			return entry
		}
	}
	q.wait(now, entry)
	return entry
}

// addEnded takes in a message that has ended elsewhere.
func (q *Queue) addEnded(now time.Duration, entry *Entry) {
	if entry.Head.CallbackDue {
		entry.Phase = Callback
		q.schedule(entry, now)
		return
	}
	q.finish(now, entry)
}

// wait lets a message run when it is due.
func (q *Queue) wait(now time.Duration, entry *Entry) {
	entry.Phase = Waiting
	if entry.due <= now {
		q.makeReady(entry)
		return
	}
	q.schedule(entry, min(entry.due, entry.expires))
}

func (q *Queue) makeReady(entry *Entry) {
	entry.Phase = Ready
	q.unschedule(entry)
	q.ready = append(q.ready, entry)
}

// Wake returns when Advance has something to do next; false where nothing waits.
func (q *Queue) Wake() (time.Duration, bool) {
	if len(q.ready) > 0 {
		return 0, true
	}
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].wake, true
}

// Step is what is to be done for a message.
type Step struct {
	Entry *Entry
	Kind  StepKind
}

// StepKind says what a step asks for.
type StepKind uint8

// The kinds of steps.
const (
	Deliver      StepKind = 1 + iota // begin a delivery
	Expire                           // the retention has passed: record the end
	CallBack                         // begin a call-back
	DropCallback                     // give the call-back up: record it
)

// Advance returns the steps that are due. Entries returned with Deliver are
// Running until Retry or End is called, those with CallBack until RetryCallback
// or CallbackTaken is.
func (q *Queue) Advance(now time.Duration) []Step {
	var steps []Step
	for len(q.timers) > 0 && q.timers[0].wake <= now {
		entry := q.timers[0]
		q.unschedule(entry)
		switch {
		case entry.Phase == Callback && entry.tries >= callbackAttempts:
			steps = append(steps, Step{entry, DropCallback})
		case entry.Phase == Callback:
			steps = append(steps, Step{entry, CallBack})
		case entry.expires <= now:
			steps = append(steps, Step{entry, Expire})
		case q.blocked(entry):
			q.schedule(entry, entry.expires)
		default:
			q.makeReady(entry)
		}
	}
	for _, entry := range q.ready {
		switch {
		case entry.Phase != Ready:
		case entry.expires <= now:
			steps = append(steps, Step{entry, Expire})
		default:
			entry.Phase = Running
			q.running++
			steps = append(steps, Step{entry, Deliver})
		}
	}
	q.ready = q.ready[:0]
	q.forget(now)
	return steps
}

// blocked reports whether a message must wait for another with its key.
func (q *Queue) blocked(entry *Entry) bool {
	key := entry.Head.OrderingKey
	return key != "" && q.keys[key][0] != entry
}

// Retry puts a message back after a delivery that did not end it. With counted,
// its attempt has failed by an answer. A wait below zero means the usual pause.
func (q *Queue) Retry(now time.Duration, entry *Entry, counted bool, wait time.Duration) {
	if entry.Phase != Running {
		return
	}
	q.running--
	if counted {
		entry.Head.Failures++
	}
	if wait < 0 {
		wait = Backoff(FirstRetry, LastRetry, entry.tries)
		entry.tries++
	}
	entry.due = now + wait
	q.wait(now, entry)
}

// Backoff returns the wait after so many attempts: it doubles from first to last.
func Backoff(first, last time.Duration, attempts int) time.Duration {
	return min(last, first<<min(attempts, mostDoublings))
}

// Hold keeps a message back that waits for a delivery until some moment, unless it is let
// go sooner.
func (q *Queue) Hold(entry *Entry, until time.Duration) {
	if entry.Phase != Waiting && entry.Phase != Ready {
		return
	}
	entry.Phase = Waiting
	entry.held = max(entry.held, until)
	entry.due = max(entry.due, until)
	q.schedule(entry, min(entry.due, entry.expires))
}

// Unhold lets a message go that is kept back.
func (q *Queue) Unhold(now time.Duration, entry *Entry) {
	if entry.Phase != Waiting {
		return
	}
	entry.held = 0
	entry.due = min(entry.due, max(now, entry.accepted+entry.Head.Delay))
	if !q.blocked(entry) {
		q.wait(now, entry)
	}
}

// End records that no further run may begin. It reports whether a call-back is
// owed, which then is due at once.
func (q *Queue) End(now time.Duration, entry *Entry, state protocol.State, stamp string) bool {
	if entry.Phase == Callback || entry.Phase == Done {
		return false
	}
	if entry.Phase == Running {
		q.running--
	}
	entry.Head.State = state
	entry.Head.Stamp = stamp
	entry.Body = nil
	entry.tries = 0
	q.unschedule(entry)
	q.releaseKey(now, entry)
	if entry.Head.CallbackURL == "" || state == protocol.Discarded {
		q.finish(now, entry)
		return false
	}
	entry.Head.CallbackDue = true
	entry.Phase = Callback
	q.schedule(entry, now)
	return true
}

// releaseKey lets the next message with the same ordering key run.
func (q *Queue) releaseKey(now time.Duration, entry *Entry) {
	key := entry.Head.OrderingKey
	if key == "" {
		return
	}
	waiting := q.keys[key]
	index := slices.Index(waiting, entry)
	if index < 0 {
		return
	}
	waiting = slices.Delete(waiting, index, index+1)
	if len(waiting) == 0 {
		delete(q.keys, key)
		return
	}
	q.keys[key] = waiting
	if next := waiting[0]; index == 0 && next.Phase == Waiting {
		q.wait(now, next)
	}
}

// RetryCallback puts off a call-back that was not taken.
func (q *Queue) RetryCallback(now time.Duration, entry *Entry) {
	if entry.Phase != Callback {
		return
	}
	wait := Backoff(FirstCallback, LastCallback, entry.tries)
	entry.tries++
	q.schedule(entry, now+wait)
}

// PostponeCallback puts off a call-back that may not be made yet.
func (q *Queue) PostponeCallback(now time.Duration, entry *Entry, wait time.Duration) {
	if entry.Phase == Callback {
		q.schedule(entry, now+wait)
	}
}

// CallbackTaken records that the call-back has been taken.
func (q *Queue) CallbackTaken(now time.Duration, entry *Entry) {
	if entry.Phase == Callback {
		q.finish(now, entry)
	}
}

// finish keeps what is left of a message for those who ask.
func (q *Queue) finish(now time.Duration, entry *Entry) {
	q.unschedule(entry)
	entry.Head.CallbackDue = false
	entry.Phase = Done
	entry.Body = nil
	q.open--
	q.ended = append(q.ended, endedRecord{entry.Head.ID, now})
}

// forget drops messages that ended long ago.
func (q *Queue) forget(now time.Duration) {
	for len(q.ended) > 0 && q.ended[0].at+endedKept <= now {
		delete(q.entries, q.ended[0].id)
		q.ended = q.ended[1:]
	}
}

func (q *Queue) schedule(entry *Entry, at time.Duration) {
	q.unschedule(entry)
	entry.wake = at
	heap.Push(&q.timers, entry)
}

func (q *Queue) unschedule(entry *Entry) {
	if entry.place >= 0 {
		heap.Remove(&q.timers, entry.place)
	}
}
