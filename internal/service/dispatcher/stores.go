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
	renewInterval         = 400 * time.Millisecond
	reconnectInterval     = 40 * time.Millisecond
	renewTimeout          = 700 * time.Millisecond
	storeAbsentAfter      = 2500 * time.Millisecond // after so long without a reply, a store no longer counts as holding copies
	latencyWeight         = 0.1                     // of the newest latency in the moving average
	tableMergeGapPerStore = 2 * time.Millisecond    // minimum time between two merges of all tables
)

// storeLink is the link to one store. The fields below the client are guarded
// by the dispatcher's mutex.
type storeLink struct {
	node, zone  string
	client      *transport.Client
	stop        context.CancelFunc
	renewNow    chan struct{} // triggers an immediate renewal
	sendEndsNow chan struct{} // triggers sending of pending ends

	up          bool
	lastReplyAt time.Duration // when its last reply arrived
	absent      bool          // its copies count as lost until it replies again
	storeID     string        // identity of the disk that it last reported
	version     uint64
	sessions    []protocol.Session
	holders     map[string]protocol.QueueState
	latency     time.Duration // moving average of the time that it takes to acknowledge an append

	unanswered      int           // appends under way
	unansweredSince time.Duration // since when there have been any
	acknowledgedAt  time.Duration // when the last append was answered

	pendingEnds     map[string]protocol.End
	endsSentAt      time.Duration // when the batch under way was sent; 0: none is under way
	pendingFailures map[string]int
	endBatches      endBatches

	clock          storeClock
	keepsAttempts  bool            // it keeps attempts of queues for the owners that follow
	diskFull       bool            // it is out of space and takes no further copies
	leaving        bool            // it is being retired, or was given up
	listedSequence uint64          // sequence of the register value that first listed it
	storesKnown    uint64          // sequence of the list of stores that it has on disk
	lostDisks      map[string]bool // store identities of disks that it has lost
	completeDisk   string          // store identity of the disk that, by the register, holds all data that it must
}

// runStore renews the session and sends ends until the context ends.
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
		case <-link.renewNow:
		case <-time.After(wait):
		}
	}
	workers.Wait()
	link.client.Close()
}

// renew renews the session once and applies the reply. It reports whether the
// store is up.
func (d *Dispatcher) renew(ctx context.Context, link *storeLink) bool {
	d.mutex.Lock()
	request := protocol.Renew{
		Ready: d.takesSharedQueues(), Relays: true, KnownVersion: link.version, Leaving: link.leaving, StoresKnown: d.storesKnown,
		StoreTime: link.clock.expected(d.now()),
	}
	d.mutex.Unlock()
	sent := d.now()
	callCtx, cancel := context.WithTimeout(ctx, renewTimeout)
	reply, err := transport.Call[protocol.RenewReply](callCtx, link.client, request)
	cancel()
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if err != nil {
		d.handleRenewFailure(link)
		return link.up
	}
	d.handleRenewReply(link, reply, sent)
	return true
}

// connectionLost forgets the grants of a store whose connection has ended, because
// the store frees them soon afterwards. The next renewal claims them again.
func (d *Dispatcher) connectionLost(link *storeLink) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.leases.Lost(link.node)
	link.version = 0
	for _, owned := range d.queues {
		delete(owned.grantRequestedAt, link.node)
	}
	signal(link.renewNow)
}

// handleRenewFailure marks a store as down if its connection is lost, and its copies as lost if it has been
// silent for too long. The mutex is held.
func (d *Dispatcher) handleRenewFailure(link *storeLink) {
	if !link.client.Connected() && link.up {
		link.up = false
		link.version = 0
		d.leases.Lost(link.node)
		d.recordEndsElsewhere(link, slices.Collect(maps.Values(link.pendingEnds)))
		d.log.Info("store lost", "store", link.node)
	}
	d.checkLeases()
	d.checkUnsafeEnds()
	if !link.absent && link.storeID != "" && d.now()-link.lastReplyAt > storeAbsentAfter {
		link.absent = true
		d.repairCopiesOf(link)
	}
}

// handleRenewReply applies a store's reply to a renewal. The mutex is held.
func (d *Dispatcher) handleRenewReply(link *storeLink, reply protocol.RenewReply, sent time.Duration) {
	if !link.up {
		d.log.Info("store found", "store", link.node)
	}
	link.up = true
	link.lastReplyAt = d.now()
	d.noteDisk(link, reply.StoreID)
	link.storesKnown = reply.Told
	link.keepsAttempts = reply.KeepsAttempts
	d.setFull(link, reply.Full)
	link.clock.observe(d.now(), reply.StoreID, reply.Time)
	link.absent = false
	d.leases.Renewed(link.node, sent, d.now())
	if reply.Changed {
		d.applyTable(link, reply)
		d.revokeUnlisted(link, sent)
	}
	d.claimMissing(link)
	d.releaseUnowned(link)
	d.checkLeases()
	d.checkUnsafeEnds()
	d.wakeOwnership()
	if len(link.pendingEnds)+len(link.pendingFailures) > 0 {
		signal(link.sendEndsNow)
	}
	d.pumpAll()
}

// applyTable applies the sessions and queue owners that a store reports, in full or as changes.
func (d *Dispatcher) applyTable(link *storeLink, reply protocol.RenewReply) {
	link.version = reply.Version
	if !reply.Partial {
		link.sessions, link.holders = nil, make(map[string]protocol.QueueState, len(reply.Queues))
	}
	link.applySessions(reply)
	for _, state := range reply.Queues {
		if state.InUse() {
			link.holders[state.Queue] = state
		} else {
			delete(link.holders, state.Queue)
		}
	}
	d.scheduleTableMerge()
}

// scheduleTableMerge merges the tables of all stores, at once or, if a merge has just been done, after a
// short delay: while processes start, every store reports each of them. The mutex is held.
func (d *Dispatcher) scheduleTableMerge() {
	gap := time.Duration(len(d.stores)) * tableMergeGapPerStore
	wait := d.tableMergedAt + gap - d.now()
	switch {
	case d.tableMergePending:
	case wait <= 0:
		d.mergeTables()
	default:
		d.tableMergePending = true
		time.AfterFunc(wait, func() {
			d.mutex.Lock()
			defer d.mutex.Unlock()
			if !d.ended {
				d.mergeTables()
			}
		})
	}
}

// applySessions replaces the sessions that have changed and removes those that have ended.
func (l *storeLink) applySessions(reply protocol.RenewReply) {
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

// signal wakes a goroutine that waits on a channel with a buffer of one.
func signal(wake chan struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}
