package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
)

const (
	renewInterval     = 400 * time.Millisecond
	reconnectInterval = 40 * time.Millisecond
	renewTimeout      = 700 * time.Millisecond
	endFlushDelay     = 20 * time.Millisecond
	endBatchMost      = 256
	endBatchTimeout   = 2 * time.Second
	absentAfter       = 2500 * time.Millisecond // a store unheard for so long no longer counts as holding copies
	latencyWeight     = 0.1
	tableGapPerStore  = 2 * time.Millisecond // between two folds of all tables
)

// storeLink is the link to one store. The fields below the client are guarded
// by the dispatcher's mutex.
type storeLink struct {
	node, zone string
	client     *transport.Client
	stop       context.CancelFunc
	kick       chan struct{} // asks for a renewal at once
	flush      chan struct{} // asks for pending ends to be sent

	up       bool
	heard    time.Duration // when its last reply came
	absent   bool          // its copies have been taken for lost
	storeID  string        // of the disk that it told last
	version  uint64
	sessions []protocol.Session
	holders  map[string]protocol.QueueState
	latency  time.Duration // of acknowledgements, of late

	unanswered      int           // appends under way
	unansweredSince time.Duration // when the first of them was sent
	acknowledged    time.Duration // when the last append was answered

	ends     map[string]protocol.End
	endsSent time.Duration // when the batch under way was sent; 0 where there is none
	failures map[string]int

	clock       storeClock
	full        bool            // it takes no further copies
	leaving     bool            // it is being emptied, or given up
	since       uint64          // sequence of the register's value with which it became known
	told        uint64          // the list of stores that it has been told, and has on disk
	formerDisks map[string]bool // store identities of disks that it has lost
	fullDisk    string          // store identity of the disk that holds all that it must, as the register says
}

// run renews the session and sends ends until the context ends.
func (d *Dispatcher) runStore(ctx context.Context, link *storeLink) {
	var workers sync.WaitGroup
	workers.Add(1)
	go func() {
		defer workers.Done()
		d.sendEnds(ctx, link)
	}()
	for ctx.Err() == nil {
		wait := renewInterval
		if !d.renew(ctx, link) {
			wait = reconnectInterval
		}
		select {
		case <-ctx.Done():
		case <-link.kick:
		case <-time.After(wait):
		}
	}
	workers.Wait()
	link.client.Close()
}

// renew renews the session once and takes in what the store tells. It reports
// whether the store is up.
func (d *Dispatcher) renew(ctx context.Context, link *storeLink) bool {
	d.mutex.Lock()
	request := protocol.Renew{
		Ready: d.takesQueues(), KnownVersion: link.version, Leaving: link.leaving, StoresKnown: d.storesKnown,
		StoreTime: link.clock.reckoned(d.now()),
	}
	d.mutex.Unlock()
	sent := d.now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	reply, err := transport.Call[protocol.RenewReply](callCtx, link.client, request)
	cancel()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.renewFailed(link)
		return link.up
	}
	d.renewed(link, reply, sent)
	return true
}

// connectionLost forgets the grants of a store whose connection has ended: the
// store frees them soon after. They are claimed again with the next renewal.
func (d *Dispatcher) connectionLost(link *storeLink) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leases.Lost(link.node)
	link.version = 0
	for _, owned := range d.queues {
		delete(owned.granted, link.node)
	}
	signal(link.kick)
}

func (d *Dispatcher) renewFailed(link *storeLink) {
	if !link.client.Connected() && link.up {
		link.up = false
		link.version = 0
		d.leases.Lost(link.node)
		d.recordElsewhere(link, slices.Collect(maps.Values(link.ends)))
		d.log.Info("store lost", "store", link.node)
	}
	d.watchLeases()
	d.watchEnds()
	if !link.absent && link.storeID != "" && d.now()-link.heard > absentAfter {
		link.absent = true
		d.copiesAway(link)
	}
}

func (d *Dispatcher) renewed(link *storeLink, reply protocol.RenewReply, sent time.Duration) {
	if !link.up {
		d.log.Info("store found", "store", link.node)
	}
	link.up = true
	link.heard = d.now()
	d.noteDisk(link, reply.StoreID)
	link.told = reply.Told
	d.noteFull(link, reply.Full)
	link.clock.note(d.now(), reply.StoreID, reply.Time)
	link.absent = false
	d.leases.Renewed(link.node, sent, d.now())
	if reply.Changed {
		d.takeTable(link, reply)
		d.revokeUnlisted(link, sent)
	}
	d.claimMissing(link)
	d.releaseUnowned(link)
	d.watchLeases()
	d.watchEnds()
	d.considerQueues()
	if len(link.ends)+len(link.failures) > 0 {
		signal(link.flush)
	}
	d.pumpAll()
}

// takeTable takes in the sessions and the owners that a store knows, or what has changed of them.
func (d *Dispatcher) takeTable(link *storeLink, reply protocol.RenewReply) {
	link.version = reply.Version
	if !reply.Partial {
		link.sessions, link.holders = nil, make(map[string]protocol.QueueState, len(reply.Queues))
	}
	link.takeSessions(reply)
	for _, state := range reply.Queues {
		if state.Wanted() {
			link.holders[state.Queue] = state
		} else {
			delete(link.holders, state.Queue)
		}
	}
	d.considerTable()
}

// considerTable folds the tables of all stores anew, now or, where that was done just before, a little later:
// while processes start, each of many stores tells of each of them. The mutex is held.
func (d *Dispatcher) considerTable() {
	gap := time.Duration(len(d.stores)) * tableGapPerStore
	wait := d.tableFolded + gap - d.now()
	switch {
	case d.tableStale:
	case wait <= 0:
		d.refreshTable()
	default:
		d.tableStale = true
		time.AfterFunc(wait, func() {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			if !d.ended {
				d.refreshTable()
			}
		})
	}
}

// takeSessions replaces the sessions that have changed and drops those that are no more.
func (l *storeLink) takeSessions(reply protocol.RenewReply) {
	replaced := make(map[protocol.SessionName]bool, len(reply.Sessions)+len(reply.Ended))
	for _, session := range reply.Sessions {
		replaced[session.Identity.Session()] = true
	}
	for _, ended := range reply.Ended {
		replaced[ended] = true
	}
	l.sessions = slices.DeleteFunc(l.sessions, func(known protocol.Session) bool { return replaced[known.Identity.Session()] })
	l.sessions = append(l.sessions, reply.Sessions...)
}

// sendEnds sends the records that wait for a store, in batches.
func (d *Dispatcher) sendEnds(ctx context.Context, link *storeLink) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-link.flush:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(endFlushDelay):
		}
		for d.sendEndBatch(ctx, link) {
		}
	}
}

// sendEndBatch sends one batch; it reports whether more waits.
func (d *Dispatcher) sendEndBatch(ctx context.Context, link *storeLink) bool {
	d.mutex.Lock()
	batch := protocol.EndBatch{}
	for _, end := range link.ends {
		if len(batch.Ends) >= endBatchMost {
			break
		}
		batch.Ends = append(batch.Ends, end)
	}
	for id, count := range link.failures {
		if len(batch.Failures) >= endBatchMost {
			break
		}
		batch.Failures = append(batch.Failures, protocol.Failures{ID: id, Count: count})
	}
	up, storeID := link.up, link.storeID
	if !up || len(batch.Ends)+len(batch.Failures) == 0 {
		d.mutex.Unlock()
		return false
	}
	link.endsSent = d.now()
	d.mutex.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, endBatchTimeout)
	defer cancel()
	reply, err := transport.Call[protocol.EndBatchReply](callCtx, link.client, batch)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	link.endsSent = 0
	if err != nil {
		d.recordElsewhere(link, batch.Ends)
		return false
	}
	if link.storeID != storeID || reply.StoreID != storeID {
		return true
	}
	for _, end := range batch.Ends {
		if link.ends[end.ID] == end {
			delete(link.ends, end.ID)
		}
		d.noteEndKept(link, end, reply.Refused)
	}
	d.endsRefused(link, reply.Refused)
	for _, failed := range batch.Failures {
		if link.failures[failed.ID] == failed.Count {
			delete(link.failures, failed.ID)
		}
	}
	return len(link.ends)+len(link.failures) > 0
}

// flushed reports whether the stores that are up have all ends.
func (d *Dispatcher) flushed() bool {
	for _, link := range d.stores {
		if link.up && len(link.ends)+len(link.failures) > 0 {
			return false
		}
	}
	return true
}

// flushedOf reports whether the stores that answer have all ends of one queue. Those of others, which go on,
// must not hold up its release. The mutex is held.
func (d *Dispatcher) flushedOf(name string) bool {
	for _, link := range d.stores {
		if !link.answersEnds(d.now()) {
			continue
		}
		for _, end := range link.ends {
			if end.Queue == name {
				return false
			}
		}
	}
	return true
}

// signal wakes a goroutine that waits for a channel with room for one.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
