package dispatch

import (
	"time"

	"yardwharf"
)

// Payload is what a message carries, in the words of no protocol. Its slices
// belong to the front that took the message; they stay as they are until Released.
type Payload struct {
	ID     []byte // the client's name for the message
	Key    []byte // tells a repeat of the message; empty where it has none
	Method []byte
	Target []byte // what the message is about, as the client wrote it
	Body   []byte
	Once   bool // it must never run twice
}

// Client is the front's side of a message: it gives the final answer, once. None
// of its methods calls back before it returns.
type Client interface {
	// Served answers with the result that a south side host gave. The bytes are
	// the callee's only for the time of the call.
	Served(result []byte)
	// Refused is the back-off answer: trying again is harmless, after a while.
	Refused(after time.Duration)
	// Failed answers that the message failed, and promises nothing.
	Failed()
	// Gone says whether the client has gone; the message is withdrawn then, by itself.
	// It is asked as an attempt begins, and alone may call Withdraw.
	Gone() bool
	// Released says that nothing refers to the payload any more. It comes once,
	// after the answer or Withdraw, when the last relay has ended.
	Released()
}

// Message is a request that has been taken and is not yet forgotten.
type Message struct {
	Payload  Payload
	Deadline time.Duration
	Ran      time.Duration // how long it ran at the host that served it

	d       *Dispatcher
	id      yardwharf.RequestID
	class   int
	came    time.Duration
	client  Client
	relays  []*Relay // by number
	spare   []*Relay // of messages that used this one before
	out     int      // relays that have not ended
	settled bool     // answered or withdrawn
}

// Relay is one attempt at a message on one south side host. The south side tells
// of its course by Started, Progress and, exactly once, End.
type Relay struct {
	Message *Message
	Host    yardwharf.WorkerID
	Until   time.Duration // it is given up then
	Conn    any           // the south side's own
	Stale   bool          // set before a Reset that is the connection's fault, not the host's
	Silent  bool          // set before a ConnectFailed where nothing at all came back

	n       int
	sent    time.Duration
	started time.Duration // 0 while it has not told
	ended   bool
}

// MayBegin is asked as the first byte of an attempt is about to go out, and is the one place
// that says whether anybody still waits for it. Guards against what happened between the
// decision and the connection that stands, or stands in the loop behind it: the client has
// gone, the answer was given, the time is over.
func (r *Relay) MayBegin() bool {
	m := r.Message
	return !m.settled && m.d.loop.Now() < r.Until && !m.client.Gone()
}

// Repeat says whether the message has been relayed before.
func (r *Relay) Repeat() bool { return r.n > 0 }

// Started tells that the job has begun to run.
func (r *Relay) Started() {
	r.started = r.Message.d.loop.Now()
	r.note(yardwharf.Started, 0)
}

// Progress tells which share of the job is done.
func (r *Relay) Progress(share float64) { r.note(yardwharf.Progress, share) }

func (r *Relay) note(kind yardwharf.NoteKind, v float64) {
	d := r.Message.d
	d.balancer.Note(d.loop.Now(), r.Message.id, r.n, kind, v)
}

// End tells how the relay ended; the result counts for status OK only. It must
// not be called while one of the South's methods runs.
func (r *Relay) End(st yardwharf.Status, result []byte, load []float32) {
	if r.ended {
		return
	}
	r.ended = true
	m := r.Message
	m.out--
	if st == yardwharf.OK && !m.settled {
		m.settled = true
		m.Ran = m.d.loop.Now() - max(r.sent, r.started)
		m.d.ran += m.Ran
		m.d.counter.served(m.class, m.d.loop.Now()-m.came, m.Ran)
		m.client.Served(result)
	}
	d := m.d
	now := d.loop.Now()
	took := now - r.sent
	if r.Silent {
		took = max(took, d.dial)
	}
	d.balancer.Outcome(now, yardwharf.Outcome{
		Request: m.id, Attempt: r.n, Worker: r.Host, Status: st,
		Latency: took, Closed: m.settled, Stale: r.Stale, Load: load,
	})
	d.forget(m)
}
