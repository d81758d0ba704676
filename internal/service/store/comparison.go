package store

import (
	"yardwharf/internal/service/protocol"
)

// comparedMessage summarizes the copies of one message in the sources of a reconciliation.
type comparedMessage struct {
	id             string
	bestRank       protocol.EntryRank // the most advanced, regardless of bodies
	bestSource     int                // index of a source with that rank, or -1
	copies         int                // counted sources that are as advanced
	copiesWithBody int                // those of them that have the body
	bodySource     int                // index of a source with the body, or -1
	held           bool               // this store has the message
	ownRank        protocol.EntryRank
}

// comparison holds the messages of one slice.
type comparison struct {
	messages map[string]*comparedMessage
	missing  []string // messages with too few copies, whatever this store copies
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

// add adds the copy of one source. This store's own copies are added by addLocal, so that
// it is not chosen as a source to copy from.
func (c *comparison) add(sourceIndex int, id string, rank protocol.EntryRank, counts, remote bool) {
	message := c.messages[id]
	if message == nil {
		message = &comparedMessage{id: id, bodySource: -1, bestSource: -1}
		c.messages[id] = message
	}
	if !remote {
		return
	}
	if message.bestSource < 0 || rank.Progress() > message.bestRank.Progress() {
		message.bestRank, message.bestSource, message.copies, message.copiesWithBody = rank, sourceIndex, 0, 0
	}
	if rank.HasBody() {
		message.bodySource = sourceIndex
	}
	if rank.Progress() != message.bestRank.Progress() || !counts {
		return
	}
	message.copies++
	if rank.HasBody() {
		message.copiesWithBody++
	}
}

// addLocal adds the ranks of this store's own copies.
func (s *store) addLocal(c *comparison) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for id, message := range c.messages {
		if e := s.index.entries[id]; e != nil {
			message.held, message.ownRank = true, e.rank()
		}
	}
}

// countCopies returns how many disks hold the most advanced state, this store's included,
// and whether this store does. Where a body is wanted and available, only copies with
// the body count.
func (m *comparedMessage) countCopies() (copies int, held bool) {
	best := m.bestRank.Progress()
	if m.held && (m.bestSource < 0 || m.ownRank.Progress() > best) {
		return 1, true // no other copy is as advanced
	}
	wantsBody := m.bestRank.State() == protocol.Queued || m.bestRank.State() == protocol.DeadLetter
	wantsBody = wantsBody && (m.bodySource >= 0 || m.ownRank.HasBody())
	copies = m.copies
	if wantsBody {
		copies = m.copiesWithBody
	}
	held = m.held && m.ownRank.Progress() == best && (!wantsBody || m.ownRank.HasBody())
	if held {
		copies++
	}
	return copies, held
}

// messagesToCopy returns the messages that this store has to copy, and adds to missing those
// that other stores have to copy. A store whose disk is being promoted to a full one only
// needs to hold what too few of the others have: these messages had one more copy before.
func (c *comparison) messagesToCopy(copies int, promoted bool) []*comparedMessage {
	var wanted []*comparedMessage
	for _, message := range c.messages {
		copyCount, held := message.countCopies()
		switch {
		case copyCount >= copies:
		case !held:
			wanted = append(wanted, message)
			if copyCount+1 < copies && !promoted {
				c.missing = append(c.missing, message.id)
			}
		case !promoted:
			c.missing = append(c.missing, message.id)
		}
	}
	return wanted
}
