// Package lease decides which dispatcher may act for a queue. A Grantor grants
// the leases of one store; a Holder tracks until when the leases of one
// dispatcher are valid. Neither reads a clock: all times are arguments, taken
// from the monotonic clock of the calling process.
package lease

import (
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	// Duration is how long a session and its leases last without a renewal.
	Duration = 1500 * time.Millisecond
	// ClosedSessionGrace is how long the leases of a session last after its
	// last connection has closed.
	ClosedSessionGrace = 300 * time.Millisecond
	// Margin is subtracted from the end of a lease by its holder.
	Margin = 200 * time.Millisecond
	// SilenceRetention is how long a Decision reports a silent holder. It is reported more than once, because the
	// first process that asks may not get the lease from enough stores.
	SilenceRetention = 12 * time.Second
	// RenewInterval is how often a holder renews its sessions.
	RenewInterval = 400 * time.Millisecond
)

// SessionID identifies the session of one dispatcher process; a restarted process has a new incarnation.
type SessionID struct {
	Node        string
	Incarnation uint64
}

// SessionOf returns the ID of a process's session.
func SessionOf(identity protocol.Identity) SessionID {
	return SessionID{Node: identity.Node, Incarnation: identity.Incarnation}
}

// Promise is the highest epoch of a queue that a store has accepted, and the process that asked for it.
type Promise struct {
	Epoch uint64
	By    SessionID
}

// Decision is the reply to an attempt to acquire a lease or to write.
type Decision struct {
	Allowed bool
	Promise Promise
	Raised  bool // the promise is new and must be stored before the reply is sent

	Abandoned bool // the last holder has not released the lease

	// SilentHolder is a holder whose session expired while connected, at most SilenceRetention ago: it may resume
	// after a pause. It is zero if there is none.
	SilentHolder protocol.Identity
}

// Contested reports whether a process was refused because the highest epoch was
// promised to another one.
func (d Decision) Contested(identity protocol.Identity) bool {
	return !d.Allowed && d.Promise.By != SessionOf(identity)
}

// session is an open session of a dispatcher.
type session struct {
	identity    protocol.Identity
	ready       bool
	relays      bool // it makes attempts for other dispatchers
	connections int
	expiresAt   time.Time
	queues      map[string]*queue
	changed     uint64 // version of its last change
}

// described returns the session as it is reported to dispatchers.
func (s *session) described() protocol.Session {
	return protocol.Session{Identity: s.identity, Ready: s.ready, Relays: s.relays}
}

// queue is the state of one queue.
type queue struct {
	promise Promise
	holder  *session // nil if no process has the lease
	epoch   uint64   // of the lease
	changed uint64   // version of the last change of its lease

	abandoned    bool              // the last holder's session ended before it released the lease
	silentHolder protocol.Identity // whose session expired while connected
	silentUntil  time.Time         // until then it is reported
}

// Grantor grants the leases of one store. It is not safe for concurrent use.
type Grantor struct {
	grantsFrom       time.Time // until then only leases that certainly no other process holds are granted
	promisesComplete bool      // the stored promises are all that were ever made
	sessions         map[SessionID]*session
	queues           map[string]*queue
	version          uint64
	ended            []endedSession // the last maxEndedSessions, newest last
	changesFrom      uint64         // oldest version since which all changes are known
	nextExpiry       time.Time      // no session expires before it
	onSilence        func(holder protocol.Identity, queues int)
}

// OnSilence registers a function that is called when a session with leases on some queues expires while
// its connections are open.
func (g *Grantor) OnSilence(callback func(holder protocol.Identity, queues int)) {
	g.onSilence = callback
}

// NewGrantor returns the grantor of a store that starts now, with its stored
// promises. The first version must differ from those of earlier starts.
func NewGrantor(now time.Time, version uint64, promises map[string]Promise) *Grantor {
	g := &Grantor{
		grantsFrom:  now.Add(Duration),
		sessions:    map[SessionID]*session{},
		queues:      make(map[string]*queue, len(promises)),
		version:     version,
		changesFrom: version,
		onSilence:   func(protocol.Identity, int) {},
	}
	for name, promise := range promises {
		g.queues[name] = &queue{promise: promise}
	}
	return g
}

// SetPromisesComplete notes that the promises given to NewGrantor are all that the
// store ever made, as its disk was not lost. A queue without a promise then
// certainly has no holder.
func (g *Grantor) SetPromisesComplete() { g.promisesComplete = true }

// Version returns a number that grows with each change of sessions or leases.
func (g *Grantor) Version() uint64 { return g.version }

// nextVersion increments the version and returns it.
func (g *Grantor) nextVersion() uint64 {
	g.version++
	return g.version
}

// MarkChanged marks a queue as changed because of a change outside of the grantor.
func (g *Grantor) MarkChanged(name string) { g.queue(name).changed = g.nextVersion() }

// Connected notes a new connection of a session.
func (g *Grantor) Connected(now time.Time, identity protocol.Identity) {
	g.Expire(now)
	if s := g.sessions[SessionOf(identity)]; s != nil {
		s.connections++
		g.extend(s, now.Add(Duration))
	}
}

// Closed notes the end of a connection. The session ends ClosedSessionGrace after its last one.
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

// Renew renews a session, or opens one; connections is the number of open
// connections of that process.
func (g *Grantor) Renew(now time.Time, identity protocol.Identity, ready bool, connections int) {
	g.Expire(now)
	s := g.openSession(now, identity, connections)
	if s.ready != ready {
		s.ready = ready
		s.changed = g.nextVersion()
	}
}

// SetRelays notes whether a process with a session makes attempts for others.
func (g *Grantor) SetRelays(identity protocol.Identity, relays bool) {
	if s := g.sessions[SessionOf(identity)]; s != nil && s.relays != relays {
		s.relays = relays
		s.changed = g.nextVersion()
	}
}

// openSession renews the session of a process, or opens one.
func (g *Grantor) openSession(now time.Time, identity protocol.Identity, connections int) *session {
	id := SessionOf(identity)
	s := g.sessions[id]
	opened := s == nil
	if opened {
		s = &session{identity: identity, queues: map[string]*queue{}, changed: g.nextVersion()}
		g.sessions[id] = s
	}
	s.connections = connections
	if connections > 0 {
		g.extend(s, now.Add(Duration))
	} else if s.expiresAt.IsZero() {
		g.extend(s, now.Add(ClosedSessionGrace))
	}
	if opened { // not before expiresAt is set: Expire would end the new session as well
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

// Expire ends the sessions that have expired and frees their leases.
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
		version := g.nextVersion()
		for _, q := range s.queues {
			q.holder, q.changed = nil, version
			q.abandoned = true
			if s.connections > 0 {
				q.silentHolder, q.silentUntil = s.identity, now.Add(SilenceRetention)
			}
		}
		delete(g.sessions, id)
		g.noteEnded(id, version)
		if s.connections > 0 && len(s.queues) > 0 {
			g.onSilence(s.identity, len(s.queues))
		}
	}
}

// Acquire requests the lease on a queue under an epoch. held says whether the
// caller still holds the lease under this epoch.
func (g *Grantor) Acquire(now time.Time, identity protocol.Identity, connections int, name string, epoch uint64, held bool) Decision {
	g.Expire(now)
	q := g.queue(name)
	if !g.mayAcquire(now, SessionOf(identity), q, epoch, held) {
		return Decision{Promise: q.promise}
	}
	s := g.openSession(now, identity, connections)
	raised := q.raise(epoch, SessionOf(identity))
	if q.holder != s || q.epoch != epoch {
		q.changed = g.nextVersion()
	}
	decision := Decision{Allowed: true, Promise: q.promise, Raised: raised, Abandoned: q.abandoned, SilentHolder: g.silentHolderOf(now, q)}
	q.holder, q.epoch, q.abandoned = s, epoch, false
	s.queues[name] = q
	return decision
}

// silentHolderOf returns the holder of a queue that fell silent and whose process may still exist.
func (g *Grantor) silentHolderOf(now time.Time, q *queue) protocol.Identity {
	if !now.Before(q.silentUntil) || g.isReplaced(SessionOf(q.silentHolder)) {
		return protocol.Identity{}
	}
	return q.silentHolder
}

func (g *Grantor) mayAcquire(now time.Time, id SessionID, q *queue, epoch uint64, held bool) bool {
	isHolder := q.holder != nil && SessionOf(q.holder.identity) == id
	switch {
	case q.holder != nil && !isHolder:
		return false
	case epoch < q.promise.Epoch:
		return false
	case epoch == q.promise.Epoch:
		// The same lease again: the reply was lost, or since then this
		// store has restarted or the session has ended.
		return isHolder && q.epoch == epoch || held && q.promise.By == id
	case held, isHolder:
		return true
	default:
		return !now.Before(g.grantsFrom) || g.promisesComplete && q.promise.Epoch == 0 || g.isReplaced(q.promise.By)
	}
}

// isReplaced reports whether a later process of the same node has an open session,
// which proves that the earlier one has ended and uses none of its leases.
func (g *Grantor) isReplaced(id SessionID) bool {
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

// Write decides whether a process may write to a queue under an epoch.
func (g *Grantor) Write(identity protocol.Identity, name string, epoch uint64) Decision {
	q := g.queue(name)
	id := SessionOf(identity)
	if epoch < q.promise.Epoch {
		return Decision{Allowed: q.promise.By == id, Promise: q.promise}
	}
	raised := q.raise(epoch, id)
	return Decision{Allowed: true, Promise: q.promise, Raised: raised}
}

// PromisedLater returns the promised epoch of a queue, and whether it is later than the given one and
// promised to another process.
func (g *Grantor) PromisedLater(identity protocol.Identity, name string, epoch uint64) (promised uint64, newer bool) {
	q := g.queues[name]
	if q == nil {
		return 0, false
	}
	return q.promise.Epoch, q.promise.Epoch > epoch && q.promise.By != SessionOf(identity)
}

// PromisedEpoch returns the highest epoch of a queue that this store has promised, and the
// node that holds its lease, if any.
func (g *Grantor) PromisedEpoch(now time.Time, name string) (promised uint64, holder string) {
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

// Forget deletes a queue with its promise. It reports false if a process holds its lease.
// The caller must know that no process will use an epoch of the queue any more.
func (g *Grantor) Forget(now time.Time, name string) bool {
	g.Expire(now)
	q := g.queues[name]
	if q != nil && q.holder != nil {
		return false
	}
	delete(g.queues, name)
	return true
}

// HasSession reports whether a process has an open session.
func (g *Grantor) HasSession(now time.Time, identity protocol.Identity) bool {
	g.Expire(now)
	return g.sessions[SessionOf(identity)] != nil
}

// Release ends a lease that was granted under an epoch, and reports whether it was held. A
// release that arrives after the same process has acquired the queue under a new epoch has no
// effect.
func (g *Grantor) Release(now time.Time, identity protocol.Identity, name string, epoch uint64) bool {
	if !g.Holds(now, identity, name, epoch) {
		return false
	}
	q := g.queues[name]
	delete(q.holder.queues, name)
	q.holder, q.changed = nil, g.nextVersion()
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

// raise promises an epoch if it is higher than the promised one, and reports whether it was.
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

// Holds reports whether a process holds the lease on a queue under an epoch.
func (g *Grantor) Holds(now time.Time, identity protocol.Identity, name string, epoch uint64) bool {
	g.Expire(now)
	q := g.queues[name]
	return q != nil && q.holder != nil && SessionOf(q.holder.identity) == SessionOf(identity) && q.epoch == epoch
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
			sessions = append(sessions, s.described())
		}
	}
	return sessions
}
