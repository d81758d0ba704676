package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/storeclient"
	"yardwharf/internal/service/transport"
)

const (
	maxAcquireBatch     = 64                     // queues in one request; quartered after each round that too few stores answer
	acquireTimeout      = 600 * time.Millisecond // for one page of heads
	maxAcquireTimeout   = 5 * time.Second        // doubles after each round that too few stores answer
	acquireGrace        = 60 * time.Millisecond  // for the remaining stores once enough have answered
	maxSlowRounds       = 3
	releaseTimeout      = 600 * time.Millisecond
	claimTimeout        = 3 * time.Second // for one page of heads
	findEndsTimeout     = 2 * time.Second // for one page
	maxOpenForFullQuery = 1000            // number of open messages up to which the stores are asked about all of them
)

// acquireBackoff reduces the batch size and extends the timeout after slow rounds. Heads of long queues take
// long on a slow link: repeating the request for all of them would never succeed.
type acquireBackoff struct{ slowRounds int }

func (b *acquireBackoff) batch() int { return max(1, maxAcquireBatch>>(2*b.slowRounds)) }

func (b *acquireBackoff) timeout() time.Duration {
	return min(maxAcquireTimeout, acquireTimeout<<b.slowRounds)
}

// roundEnded records whether enough stores answered a round in time.
func (b *acquireBackoff) roundEnded(enough bool) {
	if enough {
		b.slowRounds = 0
		return
	}
	b.slowRounds = min(b.slowRounds+1, maxSlowRounds)
}

// acquireBatch returns how many queues one request may include.
func (d *Dispatcher) acquireBatch() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.acquireBackoff.batch()
}

// storeGrant is one store's answer to a request for leases.
type storeGrant struct {
	link  *storeLink
	reply protocol.AcquireReply
	ok    bool // it answered in time
}

// acquisition is a request for leases on several queues.
type acquisition struct {
	names   []string
	epoch   uint64
	links   []*storeLink // stores to ask; nil if too few are up
	timeout time.Duration
}

// acquire requests leases on queues without an owner from all stores and takes over
// the queues that enough stores granted. It reports whether a request was sent.
func (d *Dispatcher) acquire(ctx context.Context, names []string) bool {
	a := d.beginAcquire(names)
	defer d.endAcquire(a.names)
	if len(a.names) == 0 || a.links == nil {
		return false
	}
	sent := d.now()
	answers := d.askStores(ctx, a.links, protocol.Acquire{Queues: a.names, Epoch: a.epoch}, a.timeout)
	answered := countAnswers(answers)
	d.addMissingEnds(ctx, answers)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.acquireBackoff.roundEnded(answered >= d.grantsNeeded())
	for _, name := range a.names {
		d.applyGrants(ctx, name, a.epoch, sent, answers)
	}
	d.pumpAll()
	return true
}

// beginAcquire selects the queues that are neither owned nor being requested, and
// chooses an epoch above all known ones. Two concurrent requests for one queue would
// release each other's grants.
func (d *Dispatcher) beginAcquire(names []string) acquisition {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := acquisition{timeout: d.acquireBackoff.timeout()}
	for _, name := range names {
		if d.queues[name] == nil && !d.acquiring[name] {
			d.acquiring[name] = true
			a.names = append(a.names, name)
			a.epoch = max(a.epoch, d.highestEpochs[name], d.table.holders[name].Epoch)
		}
	}
	a.epoch++
	if links := d.upStores(); countCompleteStores(links) >= d.grantsNeeded() {
		a.links = links
	}
	return a
}

// countCompleteStores counts the stores whose grants count toward a lease. A round that is bound to fail would
// leave promises that keep stores from granting for a while after their start.
func countCompleteStores(links []*storeLink) int {
	count := 0
	for _, link := range links {
		if link.complete() {
			count++
		}
	}
	return count
}

// endAcquire removes the queues of a finished request from those being acquired.
func (d *Dispatcher) endAcquire(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		delete(d.acquiring, name)
	}
}

// askStores sends a lease request to several stores in parallel. It waits for all of them, but only for
// acquireGrace longer once enough complete stores have answered. The answers are in the order of the links.
func (d *Dispatcher) askStores(ctx context.Context, links []*storeLink, request protocol.Acquire, timeout time.Duration) []storeGrant {
	type indexedGrant struct {
		number int
		grant  storeGrant
	}
	results := make(chan indexedGrant, len(links))
	answers := make([]storeGrant, len(links))
	for i, link := range links {
		answers[i].link = link
		go func() {
			reply, err := storeclient.Acquire(ctx, link.client, request, timeout)
			results <- indexedGrant{i, storeGrant{link, reply, err == nil}}
		}()
	}
	d.mutex.Lock()
	needed := d.grantsNeeded()
	d.mutex.Unlock()
	var grace <-chan time.Time
	for waiting, answered := len(links), 0; waiting > 0; waiting-- {
		select {
		case result := <-results:
			answers[result.number] = result.grant
			if d.grantValidForLease(result.grant) {
				answered++
			}
		case <-grace:
			return answers
		}
		if answered >= needed && grace == nil {
			timer := time.NewTimer(acquireGrace)
			defer timer.Stop()
			grace = timer.C
		}
	}
	return answers
}

// grantValidForLease reports whether an answer counts toward a lease. That of a store whose disk may lack messages does not.
func (d *Dispatcher) grantValidForLease(answer storeGrant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return answer.ok && answer.link.diskComplete(answer.reply.StoreID) && !d.storeListOutdated(answer.reply.StoresKnown)
}

func countAnswers(answers []storeGrant) int {
	count := 0
	for _, answer := range answers {
		if answer.ok {
			count++
		}
	}
	return count
}

// addMissingEnds completes the heads of grants, which include only recently ended messages: a store that was
// away when a message ended may list it as open. Each store is asked about the open messages that it does not
// list, even if another store lists the end, because that store's answer may be discarded. A store that fails
// to answer counts as not having granted.
func (d *Dispatcher) addMissingEnds(ctx context.Context, answers []storeGrant) {
	open, listed := openMessagesOf(answers)
	if len(open) > maxOpenForFullQuery {
		// Only stores that were away list an ended message as open, and they are fewer than the copies of an accepted one.
		maps.DeleteFunc(open, func(_ string, message openMessage) bool { return message.stores >= d.requiredCopies() })
	}
	var calls sync.WaitGroup
	for i := range answers {
		asked := maps.Clone(open)
		maps.DeleteFunc(asked, func(id string, _ openMessage) bool { return listed[i][id] })
		if !answers[i].ok || len(asked) == 0 {
			continue
		}
		calls.Add(1)
		go func() {
			defer calls.Done()
			answers[i].ok = d.addMissingEndsFrom(ctx, &answers[i], asked)
		}()
	}
	calls.Wait()
}

// openMessage is a message that some store lists as open.
type openMessage struct {
	// queues in which it is open. A store may have it in another queue, or its end without a queue, because a client
	// may submit a message to several dispatchers.
	queues []string
	stores int // number of stores that list it as open
}

// openMessages holds the messages that some store lists as open, by ID.
type openMessages map[string]openMessage

// add records that a store lists a message as open in a queue.
func (m openMessages) add(id, queue string) {
	message := m[id]
	message.stores++
	if !slices.Contains(message.queues, queue) {
		message.queues = append(message.queues, queue)
	}
	m[id] = message
}

// openMessagesOf returns the messages that are open at some store, and for each answer the IDs that it lists.
func openMessagesOf(answers []storeGrant) (open openMessages, listed []map[string]bool) {
	open = openMessages{}
	for _, answer := range answers {
		known := map[string]bool{}
		for _, grant := range answer.reply.Grants {
			for _, head := range grant.Heads {
				known[head.ID] = true
				if !head.State.Ended() {
					open.add(head.ID, grant.Queue)
				}
			}
		}
		listed = append(listed, known)
	}
	return open, listed
}

// addMissingEndsFrom asks a store which of the messages have ended and adds these to its grants of the queues
// in which they are open. It reports whether the store answered.
func (d *Dispatcher) addMissingEndsFrom(ctx context.Context, answer *storeGrant, open openMessages) bool {
	heads, err := storeclient.FindEnds(ctx, answer.link.client, slices.Collect(maps.Keys(open)), findEndsTimeout)
	for _, head := range heads {
		addHead(answer.reply.Grants, open[head.ID].queues, head)
	}
	return err == nil
}

// addHead adds a head to the grants of the given queues.
func addHead(grants []protocol.Grant, queues []string, head protocol.Head) {
	for i := range grants {
		if grants[i].Granted && slices.Contains(queues, grants[i].Queue) {
			head.Queue = grants[i].Queue
			grants[i].Heads = append(grants[i].Heads, head)
		}
	}
}

// applyGrants takes over a queue if enough stores granted it, and releases the grants
// otherwise. The mutex is held.
func (d *Dispatcher) applyGrants(ctx context.Context, name string, epoch uint64, sent time.Duration, answers []storeGrant) {
	var granted, unanswered []*storeLink
	var attempts []protocol.Attempt
	counted, abandoned := 0, false
	silentOwners := map[protocol.Identity]int{} // and how many stores report them
	heads := map[string][]protocol.Head{}
	for _, answer := range answers {
		if !answer.ok || answer.reply.StoreID != answer.link.storeID {
			unanswered = append(unanswered, answer.link) // the answering disk has been lost since
			continue
		}
		grant := findGrant(answer, name)
		d.highestEpochs[name] = max(d.highestEpochs[name], grant.Promised)
		if !grant.Granted {
			continue
		}
		granted = append(granted, answer.link)
		heads[answer.link.node] = grant.Heads
		attempts = append(attempts, grant.Attempts...)
		abandoned = abandoned || grant.Abandoned
		silentOwners[grant.SilentOwner]++
		if answer.link.complete() && !d.storeListOutdated(answer.reply.StoresKnown) {
			counted++
		}
	}
	if counted < d.grantsNeeded() || d.queues[name] != nil || !d.mayOwn(name) {
		// A store that did not answer may still have granted it.
		d.releaseGrants(ctx, name, epoch, append(granted, unanswered...))
		return
	}
	owned := &ownedQueue{
		Queue: queue.New(name, epoch), claiming: map[string]bool{}, grantRequestedAt: map[string]time.Duration{},
		accepting: map[string]chan struct{}{}, outbid: map[string]bool{}, heldFor: map[string]protocol.Identity{},
	}
	d.queues[name] = owned
	for _, link := range granted {
		d.noteGrant(owned, link, sent)
	}
	d.adopt(owned, heads)
	silentOwner := majorityOf(silentOwners, len(granted))
	if silentOwner.Node != "" && silentOwner.Session() != d.identity.Session() {
		d.holdForSilentOwner(owned, silentOwner)
	}
	d.applyAttempts(owned, attempts)
	if abandoned && owned.Open() > 0 {
		d.counters.takeovers.Add(1)
		d.log.Info("queue acquired without a release", "queue", name, "epoch", epoch, "messages", owned.Open(), "silentOwner", silentOwner.Node)
	}
	if name != d.localQueue {
		d.log.V(1).Info("queue acquired", "queue", name, "epoch", epoch, "messages", owned.Open())
	}
}

// majorityOf returns the identity that more than half of the given number of stores report, or the zero identity.
func majorityOf(reported map[protocol.Identity]int, stores int) protocol.Identity {
	for identity, count := range reported {
		if 2*count > stores {
			return identity
		}
	}
	return protocol.Identity{}
}

// mayOwn reports whether a granted queue may be taken over. A dispatcher that is leaving has already
// determined the queues that it hands over. The mutex is held.
func (d *Dispatcher) mayOwn(name string) bool {
	return !d.closing && (name == d.localQueue || !d.draining.Load())
}

func findGrant(answer storeGrant, name string) protocol.Grant {
	if answer.ok {
		for _, grant := range answer.reply.Grants {
			if grant.Queue == name {
				return grant
			}
		}
	}
	return protocol.Grant{}
}

// releaseGrants releases grants that are not enough for a lease, or of a queue that is not owned.
func (d *Dispatcher) releaseGrants(ctx context.Context, name string, epoch uint64, links []*storeLink) {
	for _, link := range links {
		go d.release(ctx, link, name, epoch, nil)
	}
}

// release tells a store that a queue is no longer owned, and which of its attempts are unsettled.
func (d *Dispatcher) release(ctx context.Context, link *storeLink, name string, epoch uint64, attempts []protocol.Attempt) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, _ = transport.Call[protocol.ReleaseReply](callCtx, link.client, protocol.Release{Queues: []string{name}, Epoch: epoch, Attempts: attempts})
}
