package lease

import (
	"slices"

	"yardwharf/internal/service/protocol"
)

// maxEndedSessions is the number of ended sessions kept for ChangesSince.
const maxEndedSessions = 1024

// endedSession is a session that has ended, and the version at which it ended.
type endedSession struct {
	id      SessionID
	version uint64
}

// Changes holds the sessions and leases that have changed since a version.
type Changes struct {
	Sessions []protocol.Session     // opened or changed
	Ended    []protocol.SessionName // no longer open
	Queues   []string               // with a changed lease
}

// ChangesSince returns the changes since a version of this grantor, with the sessions of one role only. It
// reports false if the changes are not known: the version is another grantor's, or too old.
func (g *Grantor) ChangesSince(version uint64, role string) (Changes, bool) {
	if version < g.changesFrom || version > g.version {
		return Changes{}, false
	}
	var changes Changes
	for _, s := range g.sessions {
		if s.changed > version && s.identity.Role == role {
			changes.Sessions = append(changes.Sessions, s.described())
		}
	}
	for _, ended := range slices.Backward(g.ended) {
		if ended.version <= version {
			break
		}
		changes.Ended = append(changes.Ended, protocol.SessionName{Node: ended.id.Node, Incarnation: ended.id.Incarnation})
	}
	for name, q := range g.queues {
		if q.changed > version {
			changes.Queues = append(changes.Queues, name)
		}
	}
	return changes, true
}

// noteEnded records that a session has ended.
func (g *Grantor) noteEnded(id SessionID, version uint64) {
	g.ended = append(g.ended, endedSession{id, version})
	if len(g.ended) > maxEndedSessions {
		g.changesFrom = g.ended[0].version
		g.ended = slices.Delete(g.ended, 0, 1)
	}
}
