package lease

import (
	"slices"

	"yardwharf/internal/service/protocol"
)

// endedMost is how many ended sessions are remembered for those who ask for changes.
const endedMost = 1024

// endedSession is a session that has ended, and the version of that change.
type endedSession struct {
	id      SessionID
	version uint64
}

// Changes are what has changed in the sessions and leases since some version.
type Changes struct {
	Sessions []protocol.Session     // opened or changed
	Ended    []protocol.SessionName // that are no more
	Queues   []string               // whose lease has changed
}

// ChangesSince returns what has changed for processes of one role since a version of this grantor. It
// reports false where that is not known: the version is another grantor's, or too old.
func (g *Grantor) ChangesSince(version uint64, role string) (Changes, bool) {
	if version < g.wholeFrom || version > g.version {
		return Changes{}, false
	}
	var changes Changes
	for _, s := range g.sessions {
		if s.changed > version && s.identity.Role == role {
			changes.Sessions = append(changes.Sessions, protocol.Session{Identity: s.identity, Ready: s.ready})
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

// noteEnded remembers that a session has ended.
func (g *Grantor) noteEnded(id SessionID, version uint64) {
	g.ended = append(g.ended, endedSession{id, version})
	if len(g.ended) > endedMost {
		g.wholeFrom = g.ended[0].version
		g.ended = slices.Delete(g.ended, 0, 1)
	}
}
