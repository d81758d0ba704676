// Package lease decides who may act for a queue. Grantor is the part of a
// store, which gives leases out; Holder is the part of a dispatcher, which
// knows until when its leases are valid. Neither reads a clock: all times are
// arguments, taken from the steady clock of the process that calls.
package lease

import (
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	// LeaseDuration is how long a session lasts without a renewal.
	LeaseDuration = 1500 * time.Millisecond
	// ClosedSessionGrace is how long the leases of a session last after its
	// last connection has closed.
	ClosedSessionGrace = 300 * time.Millisecond
	// Margin is taken off a lease by its holder.
	Margin = 200 * time.Millisecond
	// SilenceKept is how long later holders are told that one fell silent: the first to ask may not get the
	// lease of enough stores.
	SilenceKept = 5 * time.Second
	// RenewInterval is how often a holder renews its sessions.
	RenewInterval = 400 * time.Millisecond
)

// SessionID names one life of a dispatcher.
type SessionID struct {
	Node        string
	Incarnation uint64
}

// SessionOf returns the name of a process's session.
func SessionOf(identity protocol.Identity) SessionID {
	return SessionID{Node: identity.Node, Incarnation: identity.Incarnation}
}

// Promise is the highest epoch of a queue and who brought it.
type Promise struct {
	Epoch uint64
	By    SessionID
}

// Decision is the answer to an attempt to get a lease or to write.
type Decision struct {
	Allowed bool
	Promise Promise
	Raised  bool // the promise is new and must be kept before the answer is sent

	Abandoned bool // the last holder has not released the lease
	Silent    bool // of late a holder's session ended with its connections open: it may have stood still, and go on
}

// Contested reports whether a process was refused because the highest epoch was
// promised to another one.
func (d Decision) Contested(identity protocol.Identity) bool {
	return !d.Allowed && d.Promise.By != SessionOf(identity)
}

// session is a dispatcher in touch.
type session struct {
	identity    protocol.Identity
	ready       bool
	connections int
	expiresAt   time.Time
	queues      map[string]*queue
	changed     uint64 // version of its last change
}

// queue is what is known of one queue.
type queue struct {
	promise Promise
	holder  *session // nil where nobody has the lease
	epoch   uint64   // of the lease
	changed uint64   // version of the last change of its lease

	abandoned   bool      // the last holder's session ended with the lease
	silentUntil time.Time // a holder's session has ended before while its connections were open
}

// Grantor gives out the leases of one store. It is not safe for concurrent use.
type Grantor struct {
	grantsFrom time.Time // before it only leases are granted that surely nobody else holds
	complete   bool      // the kept promises are all that were ever given
	sessions   map[SessionID]*session
	queues     map[string]*queue
	version    uint64
	ended      []endedSession // of late, the newest last
	wholeFrom  uint64         // changes since this version are known
	nextExpiry time.Time      // no session expires before it
}

// NewGrantor returns the grantor of a store that started now, with the
// promises that it kept. The first version must differ from those of earlier
// starts.
func NewGrantor(now time.Time, version uint64, promises map[string]Promise) *Grantor {
	g := &Grantor{
		grantsFrom: now.Add(LeaseDuration),
		sessions:   map[SessionID]*session{},
		queues:     make(map[string]*queue, len(promises)),
		version:    version,
		wholeFrom:  version,
	}
	for name, promise := range promises {
		g.queues[name] = &queue{promise: promise}
	}
	return g
}

// PromisesComplete notes that the promises which the grantor was made with are
// all that its store ever gave: its disk was not lost. A queue without a promise
// then surely has no holder.
func (g *Grantor) PromisesComplete() { g.complete = true }

// Version grows with each change of the sessions and holders.
func (g *Grantor) Version() uint64 { return g.version }

// next makes a new version and returns it.
func (g *Grantor) next() uint64 {
	g.version++
	return g.version
}

// Touch makes a new version for a change of a queue that the grantor does not see.
func (g *Grantor) Touch(name string) { g.queue(name).changed = g.next() }

// Connected notes a new connection of a session.
func (g *Grantor) Connected(now time.Time, identity protocol.Identity) {
	g.Expire(now)
	if s := g.sessions[SessionOf(identity)]; s != nil {
		s.connections++
		g.extend(s, now.Add(LeaseDuration))
	}
}

// Closed notes the end of a connection. The session ends soon after its last.
func (g *Grantor) Closed(now time.Time, identity protocol.Identity) {
	g.Expire(now)
	s := g.sessions[SessionOf(identity)]
	if s == nil {
		return
	}
	if s.connections > 0 {
		s.connections--
	}
	if s.connections > 0 {
		return
	}
	if end := now.Add(ClosedSessionGrace); end.Before(s.expiresAt) {
		s.expiresAt = end
		g.noteExpiry(end)
	}
}

// Renew renews a session, or opens one; connections is how many connections
// of that process are open.
func (g *Grantor) Renew(now time.Time, identity protocol.Identity, ready bool, connections int) {
	g.Expire(now)
	s := g.open(now, identity, connections)
	if s.ready != ready {
		s.ready = ready
		s.changed = g.next()
	}
}

// open returns the renewed session of a process.
func (g *Grantor) open(now time.Time, identity protocol.Identity, connections int) *session {
	id := SessionOf(identity)
	s := g.sessions[id]
	opened := s == nil
	if opened {
		s = &session{identity: identity, queues: map[string]*queue{}, changed: g.next()}
		g.sessions[id] = s
	}
	s.connections = connections
	if connections > 0 {
		g.extend(s, now.Add(LeaseDuration))
	} else if s.expiresAt.IsZero() {
		g.extend(s, now.Add(ClosedSessionGrace))
	}
	if opened { // only now, as a session without an end would be ended as well
		g.endReplaced(now, id)
	}
	return s
}

func (g *Grantor) extend(s *session, end time.Time) {
	s.expiresAt = end
	g.noteExpiry(end)
}

func (g *Grantor) noteExpiry(end time.Time) {
	if g.nextExpiry.IsZero() || end.Before(g.nextExpiry) {
		g.nextExpiry = end
	}
}

// Expire ends the sessions whose time is over and frees their leases.
func (g *Grantor) Expire(now time.Time) {
	if g.nextExpiry.IsZero() || now.Before(g.nextExpiry) {
		return
	}
	g.nextExpiry = time.Time{}
	for id, s := range g.sessions {
		if now.Before(s.expiresAt) {
			g.noteExpiry(s.expiresAt)
			continue
		}
		version := g.next()
		for _, q := range s.queues {
			q.holder, q.changed = nil, version
			q.abandoned = true
			if s.connections > 0 {
				q.silentUntil = now.Add(SilenceKept)
			}
		}
		delete(g.sessions, id)
		g.noteEnded(id, version)
	}
}

// Acquire asks for the lease on a queue under an epoch. The caller says
// whether it still holds the lease under this epoch.
func (g *Grantor) Acquire(now time.Time, identity protocol.Identity, connections int, name string, epoch uint64, held bool) Decision {
	g.Expire(now)
	q := g.queue(name)
	if !g.mayAcquire(now, SessionOf(identity), q, epoch, held) {
		return Decision{Promise: q.promise}
	}
	s := g.open(now, identity, connections)
	raised := q.raise(epoch, SessionOf(identity))
	if q.holder != s || q.epoch != epoch {
		q.changed = g.next()
	}
	decision := Decision{Allowed: true, Promise: q.promise, Raised: raised, Abandoned: q.abandoned, Silent: now.Before(q.silentUntil)}
	q.holder, q.epoch, q.abandoned = s, epoch, false
	s.queues[name] = q
	return decision
}

func (g *Grantor) mayAcquire(now time.Time, id SessionID, q *queue, epoch uint64, held bool) bool {
	own := q.holder != nil && SessionOf(q.holder.identity) == id
	switch {
	case q.holder != nil && !own:
		return false
	case epoch < q.promise.Epoch:
		return false
	case epoch == q.promise.Epoch:
		// The same lease again: its answer was lost, or this store has
		// restarted or lost touch meanwhile.
		return own && q.epoch == epoch || held && q.promise.By == id
	case held, own:
		return true
	default:
		return !now.Before(g.grantsFrom) || g.complete && q.promise.Epoch == 0 || g.replaced(q.promise.By)
	}
}

// replaced reports whether a later process of the same node is in touch, which
// proves that a process has ended and acts under none of its leases.
func (g *Grantor) replaced(id SessionID) bool {
	for other := range g.sessions {
		if other.Node == id.Node && other.Incarnation > id.Incarnation {
			return true
		}
	}
	return false
}

// endReplaced ends the sessions of earlier processes of a node.
func (g *Grantor) endReplaced(now time.Time, id SessionID) {
	for other, s := range g.sessions {
		if other.Node == id.Node && other.Incarnation < id.Incarnation {
			s.connections = 0
			g.extend(s, now)
		}
	}
	g.Expire(now)
}

// Write asks whether an owner may write to a queue under an epoch.
func (g *Grantor) Write(identity protocol.Identity, name string, epoch uint64) Decision {
	q := g.queue(name)
	id := SessionOf(identity)
	if epoch < q.promise.Epoch {
		return Decision{Allowed: q.promise.By == id, Promise: q.promise}
	}
	raised := q.raise(epoch, id)
	return Decision{Allowed: true, Promise: q.promise, Raised: raised}
}

// Outbids reports whether a queue is promised under a later epoch to another
// process, and that epoch.
func (g *Grantor) Outbids(identity protocol.Identity, name string, epoch uint64) (promised uint64, newer bool) {
	q := g.queues[name]
	if q == nil {
		return 0, false
	}
	return q.promise.Epoch, q.promise.Epoch > epoch && q.promise.By != SessionOf(identity)
}

// Newest returns the highest epoch of a queue that this store has promised, and the
// node that has its lease.
func (g *Grantor) Newest(now time.Time, name string) (promised uint64, holder string) {
	g.Expire(now)
	q := g.queues[name]
	switch {
	case q == nil:
		return 0, ""
	case q.holder == nil:
		return q.promise.Epoch, ""
	default:
		return q.promise.Epoch, q.holder.identity.Node
	}
}

// Forget drops a queue with its promise. It reports false where somebody has its lease.
// The caller knows that no process will act under an epoch of it any more.
func (g *Grantor) Forget(now time.Time, name string) bool {
	g.Expire(now)
	q := g.queues[name]
	if q != nil && q.holder != nil {
		return false
	}
	delete(g.queues, name)
	return true
}

// InTouch reports whether a process has an open session.
func (g *Grantor) InTouch(now time.Time, identity protocol.Identity) bool {
	g.Expire(now)
	return g.sessions[SessionOf(identity)] != nil
}

// Release gives a lease back that was granted under an epoch, and reports whether it was
// held. A release that comes after the same process has acquired the queue again changes
// nothing.
func (g *Grantor) Release(now time.Time, identity protocol.Identity, name string, epoch uint64) bool {
	g.Expire(now)
	q := g.queues[name]
	if q == nil || q.holder == nil || SessionOf(q.holder.identity) != SessionOf(identity) || q.epoch != epoch {
		return false
	}
	delete(q.holder.queues, name)
	q.holder, q.changed = nil, g.next()
	return true
}

func (g *Grantor) queue(name string) *queue {
	q := g.queues[name]
	if q == nil {
		q = &queue{}
		g.queues[name] = q
	}
	return q
}

// raise takes a higher epoch and reports whether the promise is new.
func (q *queue) raise(epoch uint64, by SessionID) bool {
	if epoch <= q.promise.Epoch {
		return false
	}
	q.promise = Promise{Epoch: epoch, By: by}
	return true
}

// Lease returns the holder's node and the epoch of a queue's lease; without a
// lease the node is empty and the epoch is the promised one.
func (g *Grantor) Lease(name string) (holder string, epoch uint64) {
	q := g.queues[name]
	switch {
	case q == nil:
		return "", 0
	case q.holder == nil:
		return "", q.promise.Epoch
	default:
		return q.holder.identity.Node, q.epoch
	}
}

// EachLease calls a function for each queue that has a holder.
func (g *Grantor) EachLease(call func(name, holder string, epoch uint64)) {
	for _, s := range g.sessions {
		for name, q := range s.queues {
			call(name, s.identity.Node, q.epoch)
		}
	}
}

// Sessions returns the open sessions of one role.
func (g *Grantor) Sessions(role string) []protocol.Session {
	sessions := make([]protocol.Session, 0, len(g.sessions))
	for _, s := range g.sessions {
		if s.identity.Role == role {
			sessions = append(sessions, protocol.Session{Identity: s.identity, Ready: s.ready})
		}
	}
	return sessions
}
