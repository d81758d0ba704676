package store

import (
	"yardwharf/internal/service/protocol"
)

// comparedMessage is what the sources of a reconciliation tell of one message.
type comparedMessage struct {
	id     string
	best   protocol.EntryRank // the most advanced, without regard to bodies
	bestAt int                // the source that tells it
	copies int                // counted sources that are as far
	whole  int                // of those, with the body
	body   int                // a source with the body, or -1
	here   bool               // this store has the message
	own    protocol.EntryRank
}

// comparison holds the messages of one slice.
type comparison struct {
	messages map[string]*comparedMessage
	missing  []string // messages that stand at too few, whatever this store copies
}

func newComparison(sources []*source, replies []protocol.ListEntriesReply) *comparison {
	c := &comparison{messages: map[string]*comparedMessage{}}
	for i, reply := range replies {
		remote := sources[i].client != nil
		for k, id := range reply.IDs {
			c.add(i, id, reply.Ranks[k], sources[i].Counts, remote)
		}
	}
	return c
}

// add notes what one source tells. This store's own copies are counted apart, so
// that it is no source to copy from.
func (c *comparison) add(at int, id string, rank protocol.EntryRank, counts, remote bool) {
	message := c.messages[id]
	if message == nil {
		message = &comparedMessage{id: id, body: -1, bestAt: -1}
		c.messages[id] = message
	}
	if !remote {
		return
	}
	if message.bestAt < 0 || rank.Progress() > message.best.Progress() {
		message.best, message.bestAt, message.copies, message.whole = rank, at, 0, 0
	}
	if rank.HasBody() {
		message.body = at
	}
	if rank.Progress() != message.best.Progress() || !counts {
		return
	}
	message.copies++
	if rank.HasBody() {
		message.whole++
	}
}

// addOwn notes how far this store has the messages.
func (s *store) addOwn(c *comparison) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, message := range c.messages {
		if e := s.index.entries[id]; e != nil {
			message.here, message.own = true, e.rank()
		}
	}
}

// standing returns at how many disks the most advanced state stands, this store's
// among them, with the body where one is wanted and any source has it.
func (m *comparedMessage) standing() (copies int, here bool) {
	best := m.best.Progress()
	if m.here && (m.bestAt < 0 || m.own.Progress() > best) {
		return 1, true // no other is as far
	}
	wantsBody := m.best.State() == protocol.Queued || m.best.State() == protocol.DeadLetter
	wantsBody = wantsBody && (m.body >= 0 || m.own.HasBody())
	copies = m.copies
	if wantsBody {
		copies = m.whole
	}
	here = m.here && m.own.Progress() == best && (!wantsBody || m.own.HasBody())
	if here {
		copies++
	}
	return copies, here
}

// wanted returns the messages that this store has to copy, and counts those that
// others have to. Where its disk is to become a full one, it is enough that it has
// what stands at too few of the others: a message stood at one disk more before.
func (c *comparison) wanted(copies int, promoted bool) []*comparedMessage {
	var wanted []*comparedMessage
	for _, message := range c.messages {
		standing, here := message.standing()
		switch {
		case standing >= copies:
		case !here:
			wanted = append(wanted, message)
			if standing+1 < copies && !promoted {
				c.missing = append(c.missing, message.id)
			}
		case !promoted:
			c.missing = append(c.missing, message.id)
		}
	}
	return wanted
}
