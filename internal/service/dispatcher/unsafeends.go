package dispatcher

import (
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
)

// endWatchEvery is the time between two looks at the ends that are not safe.
const endWatchEvery = 200 * time.Millisecond

// noteUnsafe notes that the end of a message is not safe yet.
func (q *ownedQueue) noteUnsafe(entry *queue.Entry) {
	if q.unsafeEnds == nil {
		q.unsafeEnds = map[string]*queue.Entry{}
	}
	q.unsafeEnds[entry.Head.ID] = entry
}

// endIsSafe reports whether so many stores have recorded the end of a message that
// every later owner reads it. Nobody is told of the end before. The mutex is held.
func (d *Dispatcher) endIsSafe(entry *queue.Entry) bool {
	return d.countCopies(entry.EndKept) >= d.copiesWanted()
}

// endsSafe reports whether the ends of all messages of a queue are safe, and forgets those that
// are. The mutex is held.
func (d *Dispatcher) endsSafe(owned *ownedQueue) bool {
	for id, entry := range owned.unsafeEnds {
		if d.endIsSafe(entry) || owned.Get(id) != entry { // the queue forgets it after a while
			delete(owned.unsafeEnds, id)
		}
	}
	return len(owned.unsafeEnds) == 0
}

// noteEndKept notes that a store has recorded an end, unless it has refused it. The
// mutex is held.
func (d *Dispatcher) noteEndKept(link *storeLink, end protocol.End, refused []protocol.RefusedEnd) {
	owned := d.queues[end.Queue]
	if owned == nil || slices.ContainsFunc(refused, func(r protocol.RefusedEnd) bool { return r.ID == end.ID }) {
		return
	}
	if entry := owned.Get(end.ID); entry != nil && entry.Head.State == end.State && entry.Head.Stamp == end.Stamp {
		addNode(&entry.EndKept, link.node)
		if d.endIsSafe(entry) {
			delete(owned.unsafeEnds, end.ID)
		}
	}
}

// watchEnds asks further stores to record the ends that are not safe, where those that were asked
// do not count any more, refuse them or do not answer. The mutex is held.
func (d *Dispatcher) watchEnds() {
	if d.now()-d.endsWatched < endWatchEvery {
		return
	}
	d.endsWatched = d.now()
	for _, owned := range d.queues {
		if d.endsSafe(owned) {
			continue
		}
		for _, entry := range owned.unsafeEnds {
			for wanting := d.copiesWanted() - d.endsAsked(entry); wanting > 0 && d.addEndTarget(owned, entry, nil); {
				wanting--
			}
		}
	}
}

// endsAsked counts the stores that have recorded an end, or are asked to and answer. The mutex is
// held.
func (d *Dispatcher) endsAsked(entry *queue.Entry) int {
	count := d.countCopies(entry.EndKept)
	for _, link := range d.stores {
		_, asked := link.ends[entry.Head.ID]
		if asked && !slices.Contains(entry.EndKept, link.node) && link.answersEnds(d.now()) && d.known(link) {
			count++
		}
	}
	return count
}

// answersEnds reports whether a store may be expected to record ends soon. The mutex is held.
func (l *storeLink) answersEnds(now time.Duration) bool {
	late := l.endsSent != 0 && now-l.endsSent > silentAfter
	return l.up && !l.leaving && !late && !l.silent(now)
}

// noteUnsafeEnds notes the ends of which a store has a record that does not count any more. The
// mutex is held.
func (d *Dispatcher) noteUnsafeEnds(link *storeLink) {
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if slices.Contains(entry.EndKept, link.node) && !d.endIsSafe(entry) {
				owned.noteUnsafe(entry)
			}
		})
	}
}

// recordElsewhere has ends recorded at one store more each, which a store was told of and
// has not recorded: it may be away for long. The mutex is held.
func (d *Dispatcher) recordElsewhere(away *storeLink, ends []protocol.End) {
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

// addEndTarget has one more store record an end. It reports whether there is one. The mutex is
// held.
func (d *Dispatcher) addEndTarget(owned *ownedQueue, entry *queue.Entry, away *storeLink) bool {
	for _, link := range d.candidates() {
		_, told := link.ends[entry.Head.ID]
		if link == away || told || owned.outbid[link.node] || slices.Contains(entry.EndKept, link.node) || !link.answersEnds(d.now()) {
			continue
		}
		addNode(&entry.Touched, link.node)
		link.ends[entry.Head.ID] = endOf(owned, entry)
		signal(link.flush)
		return true
	}
	return false
}

// logUnsafeEnds logs what a queue that is about to be released still waits for. The mutex is held.
func (d *Dispatcher) logUnsafeEnds(owned *ownedQueue, waited time.Duration) {
	if owned.dropped || d.flushedOf(owned.Name) && d.endsSafe(owned) {
		return
	}
	asked := 0
	for _, entry := range owned.unsafeEnds {
		if d.endsAsked(entry) >= d.copiesWanted() {
			asked++
		}
	}
	d.log.Info("queue goes before its ends are safe", "queue", owned.Name, "waited", waited, "running", owned.Running(),
		"unsafe", len(owned.unsafeEnds), "asked", asked, "notAsked", len(owned.unsafeEnds)-asked)
	for _, link := range d.stores {
		if len(link.ends) == 0 {
			continue
		}
		var sent time.Duration
		if link.endsSent != 0 {
			sent = d.now() - link.endsSent
		}
		d.log.Info("ends wait for a store", "store", link.node, "ends", len(link.ends), "up", link.up, "leaving", link.leaving, "sent", sent)
	}
}
