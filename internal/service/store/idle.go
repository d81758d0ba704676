package store

import (
	"strings"
	"time"

	"yardwharf/internal/service/protocol"
)

// idleStatusTimes is after how many times the status time a queue without messages is
// dropped.
const idleStatusTimes = 2

// dropIdleQueues drops the queues of single processes that have had neither messages nor
// an owner for long. Each life of a dispatcher brings one, with a promise on disk: kept
// for ever they would fill the store's table, and every start would read them. The
// promise only keeps earlier owners out, and those have nothing left to write: all
// that was in the queue has ended, and is not even asked for any more. The mutex is held.
func (s *store) dropIdleQueues(now time.Duration) {
	for name, q := range s.index.queues {
		idle := strings.HasPrefix(name, protocol.LocalQueuePrefix) && q.open.count == 0 && q.ended.count == 0 && q.owed == 0
		switch {
		case !idle:
			q.idle = false
		case !q.idle:
			q.idle, q.idleSince = true, now
		case now-q.idleSince <= idleStatusTimes*s.options.statusTime:
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
