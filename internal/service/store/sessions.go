package store

import (
	"errors"
	"slices"
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/segment"
	"yardwharf/internal/service/transport"
)

// connected records a new connection of a process.
func (s *store) connected(identity protocol.Identity) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.connections[lease.SessionOf(identity)]++
	s.grantor.Connected(time.Now(), identity)
}

// disconnected records the end of a connection.
func (s *store) disconnected(identity protocol.Identity) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := lease.SessionOf(identity)
	if s.connections[id]--; s.connections[id] <= 0 {
		delete(s.connections, id)
	}
	s.grantor.Closed(time.Now(), identity)
}

// addPeer remembers an open connection of a process.
func (s *store) addPeer(peer *transport.Peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := lease.SessionOf(peer.Identity)
	s.peers[id] = append(s.peers[id], peer)
}

// removePeer forgets a connection that has ended.
func (s *store) removePeer(peer *transport.Peer) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := lease.SessionOf(peer.Identity)
	s.peers[id] = slices.DeleteFunc(s.peers[id], func(known *transport.Peer) bool { return known == peer })
	if len(s.peers[id]) == 0 {
		delete(s.peers, id)
	}
}

// logSilence logs that a process with open connections has not renewed its session, and how long ago
// anything of it was read: a process that sends other requests is not stalled. The mutex is held.
func (s *store) logSilence(holder protocol.Identity, queues int) {
	peers := s.peers[lease.SessionOf(holder)]
	var silent time.Duration
	for i, peer := range peers {
		if silence := peer.Silence(); i == 0 || silence < silent {
			silent = silence
		}
	}
	s.options.log.Info("session expired while connected", "node", holder.Node, "queues", queues, "connections", len(peers), "nothingReadFor", silent)
}

// renew renews a session and returns the table, or its changes, if the caller's version is old.
func (s *store) renew(identity protocol.Identity, request protocol.Renew) (protocol.RenewReply, *segment.Commit, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.grantor.Renew(time.Now(), identity, request.Ready, s.connections[lease.SessionOf(identity)])
	s.grantor.SetRelays(identity, request.Relays)
	s.addClockEstimate(lease.SessionOf(identity), request.StoreTime)
	reply := protocol.RenewReply{
		StoreID: s.log.StoreID(), Told: request.StoresKnown, Version: s.grantor.Version(), Time: s.clock.now(),
	}
	reply.KeepsAttempts = true
	s.noteKnowledge(identity, request)
	reply.Full = !s.takesCopies()
	commit, err := s.persistStoresKnown(request.StoresKnown)
	if errors.Is(err, segment.ErrFull) {
		reply.Told, err = 0, nil // the session continues; the dispatcher reports the list again
	}
	if reply.Version != request.KnownVersion {
		s.addTableChanges(&reply, request.KnownVersion)
	}
	return reply, commit, err
}

// persistStoresKnown writes the sequence of the newest list of stores that a dispatcher uses.
// Replies carry it, so that a caller with an older list concludes nothing from what it
// does not find here. The mutex is held.
func (s *store) persistStoresKnown(known uint64) (*segment.Commit, error) {
	if known <= s.storesKnown {
		return s.log.PendingCommit(s.storesPosition)
	}
	position, commit, err := s.write(storesRecord, segment.Vital, func(b []byte) []byte { return encodeStores(b, known) })
	if err != nil {
		return nil, err
	}
	s.replace(&s.storesPosition, position)
	s.storesKnown = known
	return commit, nil
}

// addTableChanges adds the changes of the table since the version that the caller knows, or the whole table.
func (s *store) addTableChanges(reply *protocol.RenewReply, known uint64) {
	reply.Changed = true
	changes, partial := s.grantor.ChangesSince(known, s.options.role)
	if !partial {
		reply.Sessions = s.grantor.Sessions(s.options.role)
		reply.Queues = s.queueStates()
		return
	}
	reply.Partial = true
	reply.Sessions, reply.Ended = changes.Sessions, changes.Ended
	for _, name := range changes.Queues {
		reply.Queues = append(reply.Queues, s.queueState(name))
	}
}

// queueStates lists the queues that have a holder, open messages, or due call-backs.
func (s *store) queueStates() []protocol.QueueState {
	var states []protocol.QueueState
	for name := range s.index.queues {
		if state := s.queueState(name); state.InUse() {
			states = append(states, state)
		}
	}
	return states
}

func (s *store) queueState(name string) protocol.QueueState {
	holder, epoch := s.grantor.Lease(name)
	state := protocol.QueueState{Queue: name, Epoch: epoch, Holder: holder}
	if q := s.index.queues[name]; q != nil {
		state.Open = q.open.count + q.callbacksDue
	}
	return state
}

// acquire requests leases. The reply is valid once the commit has ended. A queue that the store cannot have is not
// granted; the others of the request are.
func (s *store) acquire(identity protocol.Identity, request protocol.Acquire) (protocol.AcquireReply, *segment.Commit, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := protocol.AcquireReply{StoreID: s.log.StoreID(), StoresKnown: s.storesKnown}
	now, size := time.Now(), grantsSize{room: replyRoom(request.Paged)}
	for _, name := range request.Queues {
		if err := errors.Join(protocol.CheckName("queue", name), s.checkQueues(name)); err != nil {
			s.options.log.V(1).Info("queue cannot be granted", "queue", name[:min(len(name), protocol.MaxNameBytes)], "node", identity.Node, "cause", err.Error())
			reply.Grants = append(reply.Grants, protocol.Grant{Queue: name})
			continue
		}
		if !request.Paged && len(reply.Grants) > 0 && !s.grantFits(now, name, size) {
			_, promised := s.grantor.Lease(name)
			reply.Grants = append(reply.Grants, protocol.Grant{Queue: name, Promised: promised})
			continue
		}
		grant, err := s.acquireQueue(now, identity, request, name)
		if err != nil {
			return reply, nil, err
		}
		if grant.Granted {
			s.fillGrant(now, &grant, &size)
			if (grant.More || grant.MoreAttempts) && !request.Paged {
				return reply, nil, errNeedsPages
			}
		}
		reply.Grants = append(reply.Grants, grant)
	}
	return reply, s.log.Barrier(), nil
}

// grantsSize is the size of the grants in a reply, by its upper bound.
type grantsSize struct {
	room  int // bytes of heads and attempts that the reply may hold
	bytes int
}

func (g *grantsSize) left() int { return max(0, g.room-g.bytes) }

// grantFits reports whether the whole grant of one more queue fits into the reply. The mutex is held.
func (s *store) grantFits(now time.Time, name string, size grantsSize) bool {
	grant := protocol.Grant{Queue: name}
	s.fillGrant(now, &grant, &size)
	return !grant.More && !grant.MoreAttempts
}

// fillGrant adds the attempts and heads that the reply has room for. The mutex is held.
func (s *store) fillGrant(now time.Time, grant *protocol.Grant, size *grantsSize) {
	if size.left() == 0 {
		grant.More, grant.MoreAttempts = true, true
		return
	}
	attempts := s.attempts.read(now, grant.Queue, 0, size.left())
	grant.Attempts, grant.NextAttempt, grant.MoreAttempts = attempts.attempts, attempts.next, attempts.more
	size.bytes += attempts.size
	if size.left() == 0 {
		grant.More = true
		return
	}
	grant.Heads, grant.Next, grant.More = s.heads(s.index.queue(grant.Queue), protocol.HeadCursor{}, size.left())
	for i := range grant.Heads {
		size.bytes += grant.Heads[i].MaxEncodedBytes()
	}
}

func (s *store) acquireQueue(now time.Time, identity protocol.Identity, request protocol.Acquire, name string) (protocol.Grant, error) {
	connections := s.connections[lease.SessionOf(identity)]
	decision := s.grantor.Acquire(now, identity, connections, name, request.Epoch, request.Held)
	if decision.Allowed {
		if _, err := s.persistPromise(name, decision.Promise); err != nil {
			return protocol.Grant{}, err
		}
	}
	return protocol.Grant{
		Queue: name, Granted: decision.Allowed, Promised: decision.Promise.Epoch, Contested: decision.Contested(identity),
		Abandoned: decision.Abandoned, SilentOwner: decision.SilentHolder,
	}, nil
}

// release returns leases. The attempts that it reports are included in the next grants.
func (s *store) release(identity protocol.Identity, request protocol.Release) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	now := time.Now()
	for _, name := range request.Queues {
		if s.grantor.Release(now, identity, name, request.Epoch) {
			if err := s.attempts.add(now, name, protocol.WithOwner(request.Attempts, identity)); err != nil {
				s.options.log.Error(err, "attempts of a release not kept", "queue", name, "node", identity.Node)
			}
		}
	}
}
