package dispatcher

import (
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// unsafeEndsCheckInterval is the interval between checks of the ends that are not safe yet.
const unsafeEndsCheckInterval = 200 * time.Millisecond

// addUnsafeEnd adds a message whose end is not safe yet.
func (q *ownedQueue) addUnsafeEnd(entry *queue.Entry) {
	if q.unsafeEnds == nil {
		q.unsafeEnds = map[string]*queue.Entry{}
	}
	q.unsafeEnds[entry.Head.ID] = entry
}

// endIsSafe reports whether enough stores have recorded the end of a message that
// every later owner reads it. The end is not reported to anyone before. The mutex is held.
func (d *Dispatcher) endIsSafe(entry *queue.Entry) bool {
	return d.countCopies(entry.EndRecordedAt) >= d.requiredCopies()
}

// endsSafe reports whether the ends of all messages of a queue are safe, and removes those that
// are from the unsafe ones. The mutex is held.
func (d *Dispatcher) endsSafe(owned *ownedQueue) bool {
	for id, entry := range owned.unsafeEnds {
		if d.endIsSafe(entry) || owned.Get(id) != entry { // the queue drops ended messages after a while
			delete(owned.unsafeEnds, id)
		}
	}
	return len(owned.unsafeEnds) == 0
}

// markEndRecorded marks an end as recorded by a store, unless the store refused it. The
// mutex is held.
func (d *Dispatcher) markEndRecorded(link *storeLink, end protocol.End, refused []protocol.RefusedEnd) {
	owned := d.queues[end.Queue]
	if owned == nil || slices.ContainsFunc(refused, func(r protocol.RefusedEnd) bool { return r.ID == end.ID }) {
		return
	}
	if entry := owned.Get(end.ID); entry != nil && entry.Head.State == end.State && entry.Head.Stamp == end.Stamp {
		addNode(&entry.EndRecordedAt, link.node)
		if d.endIsSafe(entry) {
			delete(owned.unsafeEnds, end.ID)
		}
	}
}

// checkUnsafeEnds asks further stores to record the ends that are not safe, in place of stores that no
// longer count, refused the end or do not answer. The mutex is held.
func (d *Dispatcher) checkUnsafeEnds() {
	if d.now()-d.unsafeEndsCheckedAt < unsafeEndsCheckInterval {
		return
	}
	d.unsafeEndsCheckedAt = d.now()
	for _, owned := range d.queues {
		if d.endsSafe(owned) {
			continue
		}
		for _, entry := range owned.unsafeEnds {
			for missing := d.requiredCopies() - d.countEndTargets(entry); missing > 0 && d.addEndTarget(owned, entry, nil); {
				missing--
			}
		}
	}
}

// countEndTargets counts the stores that have recorded an end, or have been asked to and are
// expected to answer soon. The mutex is held.
func (d *Dispatcher) countEndTargets(entry *queue.Entry) int {
	count := d.countCopies(entry.EndRecordedAt)
	for _, link := range d.stores {
		if link.awaitsEnd(entry.Head.ID) && !slices.Contains(entry.EndRecordedAt, link.node) && link.expectedToRecordEnds(d.now()) && d.knownToQuorum(link) {
			count++
		}
	}
	return count
}

// expectedToRecordEnds reports whether a store can be expected to record ends soon. The mutex is held.
func (l *storeLink) expectedToRecordEnds(now time.Duration) bool {
	late := l.endsSentAt != 0 && now-l.endsSentAt > silentAfter
	return l.up && !l.leaving && !late && !l.silent(now)
}

// markUnsafeEnds marks the ends that are no longer safe because a store's record of them no longer
// counts. The mutex is held.
func (d *Dispatcher) markUnsafeEnds(link *storeLink) {
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if slices.Contains(entry.EndRecordedAt, link.node) && !d.endIsSafe(entry) {
				owned.addUnsafeEnd(entry)
			}
		})
	}
}

// recordEndsElsewhere asks one further store for each end that was sent to a store and not recorded
// there: that store may stay unreachable for long. The mutex is held.
func (d *Dispatcher) recordEndsElsewhere(away *storeLink, ends []protocol.End) {
	for _, end := range ends {
		owned := d.queues[end.Queue]
		if owned == nil {
			continue
		}
		if entry := owned.Get(end.ID); entry != nil && entry.Head.State.Ended() && !d.endIsSafe(entry) {
			d.addEndTarget(owned, entry, away)
		}
	}
}

// addEndTarget asks one more store to record an end. It reports whether there is such a store.
// The mutex is held.
func (d *Dispatcher) addEndTarget(owned *ownedQueue, entry *queue.Entry, excluded *storeLink) bool {
	for _, link := range d.candidates() {
		_, alreadyAsked := link.pendingEnds[entry.Head.ID]
		if link == excluded || alreadyAsked || owned.outbid[link.node] || slices.Contains(entry.EndRecordedAt, link.node) || !link.expectedToRecordEnds(d.now()) {
			continue
		}
		addNode(&entry.PossibleHolders, link.node)
		link.pendingEnds[entry.Head.ID] = endOf(owned, entry)
		signal(link.sendEndsNow)
		return true
	}
	return false
}

// logUnsafeEnds logs the deliveries and ends that a queue about to be released still waits for, and
// the stores that have ends pending. The mutex is held.
func (d *Dispatcher) logUnsafeEnds(owned *ownedQueue, waited time.Duration) {
	if owned.dropped || d.queueEndsRecorded(owned.Name) && d.endsSafe(owned) {
		return
	}
	asked := 0
	for _, entry := range owned.unsafeEnds {
		if d.countEndTargets(entry) >= d.requiredCopies() {
			asked++
		}
	}
	d.log.Info("releasing queue before its ends are safe", "queue", owned.Name, "waited", waited, "running", owned.Running(),
		"unsafe", len(owned.unsafeEnds), "asked", asked, "notAsked", len(owned.unsafeEnds)-asked)
	for _, link := range d.stores {
		if len(link.pendingEnds) == 0 {
			continue
		}
		var sinceSent time.Duration
		if link.endsSentAt != 0 {
			sinceSent = d.now() - link.endsSentAt
		}
		d.log.Info("ends pending at store", "store", link.node, "ends", len(link.pendingEnds), "up", link.up, "leaving", link.leaving, "sent", sinceSent)
	}
}
