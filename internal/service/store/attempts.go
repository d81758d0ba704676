package store

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	maxReleasedAttempts = 100_000         // of all queues; further ones are refused
	outcomeRetention    = 2 * time.Minute // longer than a queue with messages stays without an owner
	attemptPageBytes    = 1 << 20         // of the attempts in one reply
)

// errTooManyAttempts means that a store keeps no further attempts.
var errTooManyAttempts = Class.New("the store keeps %d attempts already", maxReleasedAttempts)

// releasedAttempt is an attempt that a previous owner of the queue has left unsettled.
type releasedAttempt struct {
	number    uint64 // order in which the attempts were reported
	attempt   protocol.Attempt
	expiresAt time.Time // from then on no sender holds the message
	keepUntil time.Time // included in grants until then
}

// releasedAttempts holds the attempts that were not settled when their owner released the queue, and
// the outcomes that it reported afterwards. They are kept in memory only: a store that restarts has
// seen no release, and grants no lease for as long as a session may last.
type releasedAttempts struct {
	byQueue    map[string]map[string]releasedAttempt // by queue and ID of the message
	lastNumber uint64
	count      int
}

// add adds attempts of a queue's messages. The latest report on a message counts, but an end is never replaced by an
// attempt that has not ended. It fails if there is no room for all of them.
func (a *releasedAttempts) add(now time.Time, queue string, attempts []protocol.Attempt) error {
	a.prune(now)
	kept := a.byQueue[queue]
	for _, attempt := range attempts {
		if protocol.CheckName("id", attempt.ID) != nil {
			continue
		}
		if attempt.End.Stamp != "" && attempt.End.Check() != nil { // of an earlier build; no owner could record it
			attempt.End = protocol.End{ID: attempt.ID}
		}
		known, exists := kept[attempt.ID]
		if exists && known.attempt.End.State.Ended() && !attempt.End.State.Ended() {
			continue
		}
		if !exists && a.count >= maxReleasedAttempts {
			return errTooManyAttempts
		}
		if kept == nil {
			kept = map[string]releasedAttempt{}
			if a.byQueue == nil {
				a.byQueue = map[string]map[string]releasedAttempt{}
			}
			a.byQueue[queue] = kept
		}
		if !exists {
			a.count++
		}
		attempt.Failures = max(attempt.Failures, known.attempt.Failures)
		kept[attempt.ID] = a.newReleased(now, attempt)
	}
	return nil
}

func (a *releasedAttempts) newReleased(now time.Time, attempt protocol.Attempt) releasedAttempt {
	a.lastNumber++
	expiresAt := now.Add(attempt.Left)
	keepUntil := expiresAt
	if attempt.End.State.Ended() || attempt.Failures > 0 {
		keepUntil = now.Add(max(attempt.Left, outcomeRetention))
	}
	return releasedAttempt{a.lastNumber, attempt, expiresAt, keepUntil}
}

// prune drops the attempts that no later grant needs.
func (a *releasedAttempts) prune(now time.Time) {
	a.count = 0
	for queue, kept := range a.byQueue {
		maps.DeleteFunc(kept, func(_ string, attempt releasedAttempt) bool { return !attempt.keepUntil.After(now) })
		if len(kept) == 0 {
			delete(a.byQueue, queue)
		}
		a.count += len(kept)
	}
}

// attemptPage is a part of the attempts of a queue.
type attemptPage struct {
	attempts []protocol.Attempt
	next     uint64 // number of the last of them
	more     bool   // there are attempts after these
	size     int    // in bytes, by its upper bound
}

// read returns the attempts of a queue after a number, as many as fit into the given number of bytes, but at least one.
func (a *releasedAttempts) read(now time.Time, queue string, after uint64, room int) attemptPage {
	page := attemptPage{next: after}
	released := slices.SortedFunc(maps.Values(a.byQueue[queue]), func(first, second releasedAttempt) int {
		return cmp.Compare(first.number, second.number)
	})
	for _, next := range released {
		if next.number <= after || !next.keepUntil.After(now) {
			continue
		}
		size := next.attempt.MaxEncodedBytes()
		if page.size+size > room && len(page.attempts) > 0 {
			page.more = true
			break
		}
		next.attempt.Left = max(0, next.expiresAt.Sub(now))
		page.attempts = append(page.attempts, next.attempt)
		page.next = next.number
		page.size += size
	}
	return page
}

// keepAttempts keeps attempts of a queue for the owners that follow.
func (s *store) keepAttempts(identity protocol.Identity, request protocol.KeepAttempts) (protocol.KeepAttemptsReply, error) {
	if err := protocol.CheckName("queue", request.Queue); err != nil {
		return protocol.KeepAttemptsReply{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reply := protocol.KeepAttemptsReply{StoreID: s.log.StoreID()}
	return reply, s.attempts.add(time.Now(), request.Queue, protocol.WithOwner(request.Attempts, identity))
}

// readAttempts returns attempts that previous owners of a queue have left unsettled.
func (s *store) readAttempts(request protocol.ReadAttempts) protocol.ReadAttemptsReply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page := s.attempts.read(time.Now(), request.Queue, request.After, attemptPageBytes)
	return protocol.ReadAttemptsReply{StoreID: s.log.StoreID(), Attempts: page.attempts, More: page.more, Next: page.next}
}
