// Package queue decides when the messages of a queue may be delivered, in which
// order, and when they have ended. It does no I/O. Time is an argument: the reading
// of a monotonic clock with an arbitrary start.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
)

// Phase is what a message waits for or is doing.
type Phase uint8

// The phases of a message.
const (
	Waiting          Phase = iota // for its delay, for a retry, or for messages before it
	Ready                         // for a sender
	Running                       // a delivery is under way
	AwaitingCallback              // ended; its callback has not been accepted by the receiver
	Done                          // ended; nothing is left to do
)

// Limits on retries, callbacks and retention. Delays between attempts double from the
// first to the longest.
const (
	FirstRetryDelay     = 25 * time.Millisecond
	MaxRetryDelay       = 2 * time.Second
	FirstCallbackDelay  = 100 * time.Millisecond
	MaxCallbackDelay    = 2 * time.Second
	RetentionSlack      = 300 * time.Millisecond // margin on the retention, so that it has certainly passed
	maxDoublings        = 10
	endedRetention      = 120 * time.Second
	maxCallbackAttempts = 200
)

// Entry is a message in a queue.
type Entry struct {
	Head            protocol.Head
	Body            []byte   // nil if it is only on the stores' disks
	Holders         []string // stores that hold a copy
	PossibleHolders []string // further stores that may hold one
	EndRecordedAt   []string // stores that have recorded its end
	Phase           Phase
	accepted        time.Duration
	due             time.Duration // earliest time of the next delivery
	wake            time.Duration // when its timer fires, while it is in the heap
	expires         time.Duration
	heldUntil       time.Duration // another owner's attempt may be under way until then
	retries         int           // unsuccessful attempts that the backoff counts: deliveries, or callbacks once it ended
	timerIndex      int           // index in the heap of timers, or -1
	arrival         uint64
}

// Accepted returns when the message was accepted.
func (e *Entry) Accepted() time.Duration { return e.accepted }

// HeadAt returns the head with its age at the given time.
func (e *Entry) HeadAt(now time.Duration) protocol.Head {
	head := e.Head
	head.Age = max(0, now-e.accepted)
	return head
}

// HeldUntil returns until when the message is held because of another owner's attempt.
func (e *Entry) HeldUntil() time.Duration { return e.heldUntil }

// Expires returns when the message's retention ends, with RetentionSlack added.
func (e *Entry) Expires() time.Duration { return e.expires }

// Queue holds the messages of one queue at the dispatcher that owns it.
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

// New returns an empty queue with the given name and epoch.
func New(name string, epoch uint64) *Queue {
	return &Queue{Name: name, Epoch: epoch, entries: map[string]*Entry{}, keys: map[string][]*Entry{}}
}

// NextSequence returns the sequence number of the next message to be accepted.
func (q *Queue) NextSequence() uint64 {
	q.sequence++
	return q.sequence
}

// Open returns the number of messages that have not ended or still owe a callback.
func (q *Queue) Open() int { return q.open }

// Running returns the number of deliveries under way.
func (q *Queue) Running() int { return q.running }

// Get returns a message that is open or ended recently, or nil.
func (q *Queue) Get(id string) *Entry { return q.entries[id] }

// Each calls a function for each message that is open or ended recently.
func (q *Queue) Each(call func(*Entry)) {
	for _, entry := range q.entries {
		call(entry)
	}
}

// Add adds a message, or returns the existing entry unchanged if its ID is known.
// Messages with the same ordering key must be added in the order of acceptance.
func (q *Queue) Add(now time.Duration, head protocol.Head, body []byte, holders []string) *Entry {
	if known := q.entries[head.ID]; known != nil {
		return known
	}
	q.arrivals++
	entry := &Entry{Head: head, Body: body, Holders: holders, timerIndex: -1, arrival: q.arrivals}
	entry.accepted = now - head.Age
	entry.expires = entry.accepted + head.Retention + RetentionSlack
	entry.due = entry.accepted + head.Delay
	q.entries[head.ID] = entry
	q.open++
	if head.State.Ended() {
		q.finishOrCallBack(now, entry)
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
	q.scheduleDelivery(now, entry)
	return entry
}

// finishOrCallBack schedules the callback of a message that ended before it was added,
// or finishes the message if it owes none.
func (q *Queue) finishOrCallBack(now time.Duration, entry *Entry) {
	if entry.Head.CallbackDue {
		entry.Phase = AwaitingCallback
		q.schedule(entry, now)
		return
	}
	q.finish(now, entry)
}

// scheduleDelivery makes a message ready, or schedules it for when it is due.
func (q *Queue) scheduleDelivery(now time.Duration, entry *Entry) {
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

// NextWake returns when Advance next has something to do; false if nothing is scheduled.
func (q *Queue) NextWake() (time.Duration, bool) {
	if len(q.ready) > 0 {
		return 0, true
	}
	if len(q.timers) == 0 {
		return 0, false
	}
	return q.timers[0].wake, true
}

// Step is an action that the caller must take for a message.
type Step struct {
	Entry *Entry
	Kind  StepKind
}

// StepKind is the action of a step.
type StepKind uint8

// The kinds of steps.
const (
	Deliver      StepKind = 1 + iota // begin a delivery
	Expire                           // the retention has passed: record the end
	MakeCallback                     // begin a callback
	DropCallback                     // give up the callback and record that
)

// Advance returns the steps that are due. Entries returned with Deliver are
// Running until Retry or End is called. For entries returned with MakeCallback,
// RetryCallback, PostponeCallback or FinishCallback must be called.
func (q *Queue) Advance(now time.Duration) []Step {
	var steps []Step
	for len(q.timers) > 0 && q.timers[0].wake <= now {
		entry := q.timers[0]
		q.unschedule(entry)
		switch {
		case entry.Phase == AwaitingCallback && entry.retries >= maxCallbackAttempts:
			steps = append(steps, Step{entry, DropCallback})
		case entry.Phase == AwaitingCallback:
			steps = append(steps, Step{entry, MakeCallback})
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
	q.pruneEnded(now)
	return steps
}

// blocked reports whether a message must wait for an earlier one with its ordering key.
func (q *Queue) blocked(entry *Entry) bool {
	key := entry.Head.OrderingKey
	return key != "" && q.keys[key][0] != entry
}

// Retry puts a message back after a delivery that did not end it. If counted, the
// attempt counts as a failure of the message. A negative wait means the usual backoff.
func (q *Queue) Retry(now time.Duration, entry *Entry, counted bool, wait time.Duration) {
	if entry.Phase != Running {
		return
	}
	q.running--
	if counted {
		entry.Head.Failures++
	}
	if wait < 0 {
		wait = Backoff(FirstRetryDelay, MaxRetryDelay, entry.retries)
		entry.retries++
	}
	entry.due = now + wait
	q.scheduleDelivery(now, entry)
}

// Backoff returns the delay after a number of attempts: it doubles from first to longest.
func Backoff(first, longest time.Duration, attempts int) time.Duration {
	return min(longest, first<<min(attempts, maxDoublings))
}

// Hold delays a message that waits for delivery until the given time, or until Unhold
// is called.
func (q *Queue) Hold(entry *Entry, until time.Duration) {
	if entry.Phase != Waiting && entry.Phase != Ready {
		return
	}
	entry.Phase = Waiting
	entry.heldUntil = max(entry.heldUntil, until)
	entry.due = max(entry.due, until)
	q.schedule(entry, min(entry.due, entry.expires))
}

// Unhold ends a hold, so that the message may be delivered after its original delay.
func (q *Queue) Unhold(now time.Duration, entry *Entry) {
	if entry.Phase != Waiting {
		return
	}
	entry.heldUntil = 0
	entry.due = min(entry.due, max(now, entry.accepted+entry.Head.Delay))
	if !q.blocked(entry) {
		q.scheduleDelivery(now, entry)
	}
}

// End records the end of a message, after which no delivery may begin. It reports
// whether a callback is owed, which is then due at once.
func (q *Queue) End(now time.Duration, entry *Entry, state protocol.State, stamp string) bool {
	if entry.Phase == AwaitingCallback || entry.Phase == Done {
		return false
	}
	if entry.Phase == Running {
		q.running--
	}
	entry.Head.State = state
	entry.Head.Stamp = stamp
	entry.Body = nil
	entry.retries = 0
	q.unschedule(entry)
	q.releaseKey(now, entry)
	if entry.Head.CallbackURL == "" || state == protocol.Discarded {
		q.finish(now, entry)
		return false
	}
	entry.Head.CallbackDue = true
	entry.Phase = AwaitingCallback
	q.schedule(entry, now)
	return true
}

// releaseKey removes an ended message from those with its ordering key and schedules the
// next one, if the removed one was first.
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
		q.scheduleDelivery(now, next)
	}
}

// RetryCallback reschedules a callback that its receiver did not accept, with backoff.
func (q *Queue) RetryCallback(now time.Duration, entry *Entry) {
	if entry.Phase != AwaitingCallback {
		return
	}
	wait := Backoff(FirstCallbackDelay, MaxCallbackDelay, entry.retries)
	entry.retries++
	q.schedule(entry, now+wait)
}

// PostponeCallback delays a callback that may not be made yet. It does not count as an
// attempt.
func (q *Queue) PostponeCallback(now time.Duration, entry *Entry, wait time.Duration) {
	if entry.Phase == AwaitingCallback {
		q.schedule(entry, now+wait)
	}
}

// FinishCallback records that the callback is settled, so that no further one is due.
func (q *Queue) FinishCallback(now time.Duration, entry *Entry) {
	if entry.Phase == AwaitingCallback {
		q.finish(now, entry)
	}
}

// finish marks a message as done. Its head stays available to queries for endedRetention.
func (q *Queue) finish(now time.Duration, entry *Entry) {
	q.unschedule(entry)
	entry.Head.CallbackDue = false
	entry.Phase = Done
	entry.Body = nil
	q.open--
	q.ended = append(q.ended, endedRecord{entry.Head.ID, now})
}

// pruneEnded drops messages that were finished at least endedRetention ago.
func (q *Queue) pruneEnded(now time.Duration) {
	for len(q.ended) > 0 && q.ended[0].at+endedRetention <= now {
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
	if entry.timerIndex >= 0 {
		heap.Remove(&q.timers, entry.timerIndex)
	}
}
