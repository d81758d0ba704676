package store

import (
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	maxEndedHeads    = 2000            // that are listed for a new owner, besides those whose call-back is due
	endedHeadsWindow = 5 * time.Second // since the end; FindEnds returns older ones
	headPageBytes    = 1 << 20         // of the heads in one reply
	maxReplyBytes    = 6 << 20         // of all grants in one reply; of the heads, if the caller does not read pages
)

var (
	errLeaseNotHeld = Class.New("the caller does not hold the lease under this epoch")
	errNeedsPages   = Class.New("the heads do not fit into one reply, and the caller does not read pages")
)

// headPage collects heads until their encoded size reaches a limit. The first head always fits.
type headPage struct {
	heads []protocol.Head
	room  int // bytes left
}

// add adds a head, or reports false if the page is full.
func (p *headPage) add(head protocol.Head) bool {
	size := head.MaxEncodedBytes()
	if size > p.room && len(p.heads) > 0 {
		return false
	}
	p.room -= size
	p.heads = append(p.heads, head)
	return true
}

// heads returns the heads that a new owner of a queue needs, from a position on and as many as fit into the given
// number of bytes: open messages, ended ones whose call-back is due, and a bounded number of others that ended
// recently. Further heads begin at the cursor next if there are more. The mutex is held.
func (s *store) heads(q *queueIndex, from protocol.HeadCursor, room int) (heads []protocol.Head, next protocol.HeadCursor, more bool) {
	page, now := &headPage{room: room}, s.clock.now()
	next = from
	if !next.InEnded {
		for e := q.open.firstAfter(next.After); e != nil; e = e.next {
			if !e.expired(now, s.options.statusTime) && !page.add(e.headAt(now)) {
				return page.heads, next, true
			}
			next.After = e.number
		}
		next = protocol.HeadCursor{InEnded: true}
	}
	firstRecent := q.ended.firstRecent(now)
	for e := q.ended.firstAfter(next.After); e != nil; e = e.next {
		listed := e.callbackDue || e.number >= firstRecent && e.endedRecently(now)
		if listed && !page.add(e.headAt(now)) {
			return page.heads, next, true
		}
		next.After = e.number
	}
	return page.heads, next, false
}

// firstAfter returns the first entry with a higher number.
func (l *entryList) firstAfter(number uint64) *entry {
	e := l.first
	for e != nil && e.number <= number {
		e = e.next
	}
	return e
}

// endedRecently reports whether a message ended so recently that it is listed for a new owner.
func (e *entry) endedRecently(now time.Duration) bool { return now-e.endedAt <= endedHeadsWindow }

// firstRecent returns the number from which on messages that ended recently are listed for a new owner although
// their call-back is not due.
func (l *entryList) firstRecent(now time.Duration) uint64 {
	first, count := l.lastNumber+1, 0
	for e := l.last; e != nil && count < maxEndedHeads; e = e.previous {
		if !e.callbackDue && e.endedRecently(now) {
			first = e.number
			count++
		}
	}
	return first
}

// readHeads returns further heads of a queue to the holder of its lease.
func (s *store) readHeads(identity protocol.Identity, request protocol.ReadHeads) (protocol.ReadHeadsReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.grantor.Holds(time.Now(), identity, request.Queue, request.Epoch) {
		return protocol.ReadHeadsReply{}, errLeaseNotHeld
	}
	reply := protocol.ReadHeadsReply{StoreID: s.log.StoreID()}
	reply.Heads, reply.Next, reply.More = s.heads(s.index.queue(request.Queue), request.From, headPageBytes)
	return reply, nil
}

// findEnds returns the heads of the requested messages that have ended.
func (s *store) findEnds(request protocol.FindEnds) (protocol.FindEndsReply, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	page, now := headPage{room: replyRoom(request.Paged)}, s.clock.now()
	for i, id := range request.IDs {
		e := s.index.entries[id]
		if e == nil || !e.state.Ended() || page.add(e.headAt(now)) {
			continue
		}
		if !request.Paged {
			return protocol.FindEndsReply{}, errNeedsPages
		}
		return protocol.FindEndsReply{Heads: page.heads, Covered: i}, nil
	}
	return protocol.FindEndsReply{Heads: page.heads, Covered: len(request.IDs)}, nil
}

// replyRoom returns how many bytes of heads a reply may hold.
func replyRoom(paged bool) int {
	if paged {
		return headPageBytes
	}
	return maxReplyBytes
}
