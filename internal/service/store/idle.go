package store

import (
	"strings"
	"time"

	"yardwharf/internal/service/protocol"
)

// idleQueueStatusPeriods is the time after which an idle queue is dropped, as a multiple of the
// status time.
const idleQueueStatusPeriods = 2

// dropIdleQueues drops the local queues that have had neither messages nor an owner for
// long. Each start of a dispatcher creates one, with a promise on disk: without this they
// would fill the store's table, and every start would read them. The promise only keeps
// earlier owners out, and those have nothing left to write: all messages of the queue have
// ended, and nobody asks for them any more. The mutex is held.
func (s *store) dropIdleQueues(now time.Duration) {
	for name, q := range s.index.queues {
		idle := strings.HasPrefix(name, protocol.LocalQueuePrefix) && q.open.count == 0 && q.ended.count == 0 && q.callbacksDue == 0
		switch {
		case !idle:
			q.idle = false
		case !q.idle:
			q.idle, q.idleSince = true, now
		case now-q.idleSince <= idleQueueStatusPeriods*s.options.statusTime:
		case s.grantor.Forget(time.Now(), name):
			s.log.Drop(q.promise)
			s.index.dropQueue(q)
		default:
			q.idle = false // it has an owner
		}
	}
}

// dropQueue drops a queue without entries.
func (x *index) dropQueue(q *queueIndex) {
	delete(x.queues, q.name)
	x.memory -= queueBytes + len(q.name)
}
