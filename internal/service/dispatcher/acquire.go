package dispatcher

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
)

const (
	firstBatch         = 64 // queues in one request; a quarter after each round that too few stores answer
	acquireTimeout     = 600 * time.Millisecond
	acquireTimeoutMost = 5 * time.Second       // doubles after each round that too few stores answer
	acquireGrace       = 60 * time.Millisecond // for the other stores once enough have answered
	slowRoundsMost     = 3
	releaseTimeout     = 600 * time.Millisecond
	claimTimeout       = 3 * time.Second
	findEndsTimeout    = 2 * time.Second
	findEndsMost       = 10_000 // ids in one question
	findAllMost        = 1000   // open messages up to which all are asked about
)

// acquirePace bounds what is asked for at once, and how long answers are awaited. Heads of long queues
// take their time on a slow link: to ask for all of them again and again would never end.
type acquirePace struct{ slowRounds int }

func (p *acquirePace) batch() int { return max(1, firstBatch>>(2*p.slowRounds)) }

func (p *acquirePace) timeout() time.Duration {
	return min(acquireTimeoutMost, acquireTimeout<<p.slowRounds)
}

// ended notes whether enough stores answered a round in time.
func (p *acquirePace) ended(enough bool) {
	if enough {
		p.slowRounds = 0
		return
	}
	p.slowRounds = min(p.slowRounds+1, slowRoundsMost)
}

// acquireBatch returns how many queues are asked for at once.
func (d *Dispatcher) acquireBatch() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.pace.batch()
}

// storeGrant is one store's answer to a request for leases.
type storeGrant struct {
	link  *storeLink
	reply protocol.AcquireReply
	ok    bool // it answered in time
}

// acquisition is one request for leases.
type acquisition struct {
	names   []string
	epoch   uint64
	links   []*storeLink // that are asked; nil where too few are up
	timeout time.Duration
}

// acquire asks all stores for queues that have no owner and takes in those that
// enough stores granted. It reports whether any was asked.
func (d *Dispatcher) acquire(ctx context.Context, names []string) bool {
	a := d.beginAcquire(names)
	defer d.acquired(a.names)
	if len(a.names) == 0 || a.links == nil {
		return false
	}
	sent := d.now()
	answers := d.askStores(ctx, a.links, protocol.Acquire{Queues: a.names, Epoch: a.epoch}, a.timeout)
	answered := countAnswers(answers)
	d.addOldEnds(ctx, answers)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.pace.ended(answered >= d.grantsWanted())
	for _, name := range a.names {
		d.takeGrants(ctx, name, a.epoch, sent, answers)
	}
	d.pumpAll()
	return true
}

// beginAcquire marks the queues that are neither owned nor asked for, and chooses
// an epoch above all known ones. Two requests for one queue at once would give each
// other's grants back.
func (d *Dispatcher) beginAcquire(names []string) acquisition {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	a := acquisition{timeout: d.pace.timeout()}
	for _, name := range names {
		if d.queues[name] == nil && !d.acquiring[name] {
			d.acquiring[name] = true
			a.names = append(a.names, name)
			a.epoch = max(a.epoch, d.epochs[name], d.table.holders[name].Epoch)
		}
	}
	a.epoch++
	if links := d.upStores(); wholeStores(links) >= d.grantsWanted() {
		a.links = links
	}
	return a
}

// wholeStores counts the stores that can make up a lease. A round that must fail would leave promises that
// keep stores from granting for a while after their start.
func wholeStores(links []*storeLink) int {
	count := 0
	for _, link := range links {
		if link.countsNow() {
			count++
		}
	}
	return count
}

// acquired notes that a request for queues has ended.
func (d *Dispatcher) acquired(names []string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, name := range names {
		delete(d.acquiring, name)
	}
}

// askStores sends one request for leases to several stores at once. It waits for all of them, but only
// shortly for the others once enough of those that count have answered. The answers are in the order of the links.
func (d *Dispatcher) askStores(ctx context.Context, links []*storeLink, request protocol.Acquire, timeout time.Duration) []storeGrant {
	type numbered struct {
		number int
		grant  storeGrant
	}
	results := make(chan numbered, len(links))
	answers := make([]storeGrant, len(links))
	for i, link := range links {
		answers[i].link = link
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			reply, err := transport.Call[protocol.AcquireReply](callCtx, link.client, request)
			results <- numbered{i, storeGrant{link, reply, err == nil}}
		}()
	}
	d.mutex.Lock()
	needed := d.grantsWanted()
	d.mutex.Unlock()
	var grace <-chan time.Time
	for waiting, answered := len(links), 0; waiting > 0; waiting-- {
		select {
		case result := <-results:
			answers[result.number] = result.grant
			if d.counts(result.grant) {
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

// counts reports whether an answer can make up a lease: that of a store whose disk may lack messages cannot.
func (d *Dispatcher) counts(answer storeGrant) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return answer.ok && answer.link.counts(answer.reply.StoreID) && !d.listIsOld(answer.reply.StoresKnown)
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

// addOldEnds completes the heads of grants, which tell only of messages that ended of late: a store may
// have been away when a message ended, and list it as open. The others are asked about open messages that
// they do not list, also where one lists the end: its answer may not count in the end. A store that does not
// answer counts as not having granted.
func (d *Dispatcher) addOldEnds(ctx context.Context, answers []storeGrant) {
	open, listed := openMessagesOf(answers)
	if len(open) > findAllMost {
		// One that was away listed a message beside fewer stores than hold an accepted one.
		maps.DeleteFunc(open, func(_ string, message openMessage) bool { return message.stores >= d.copiesWanted() })
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
			answers[i].ok = d.addOldEndsOf(ctx, &answers[i], asked)
		}()
	}
	calls.Wait()
}

// openMessage is a message that some store lists as open.
type openMessage struct {
	// queues in which it is open. A store may have it in another queue, or its end without any: a client may try a
	// message at several dispatchers.
	queues []string
	stores int // that list it as open
}

// openMessages are messages that some store lists as open, by their ids.
type openMessages map[string]openMessage

// add notes that a store lists a message as open in a queue.
func (m openMessages) add(id, queue string) {
	message := m[id]
	message.stores++
	if !slices.Contains(message.queues, queue) {
		message.queues = append(message.queues, queue)
	}
	m[id] = message
}

// openMessagesOf returns the messages that are open at some store, and for each answer all that it lists.
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

// addOldEndsOf asks one store which of the messages have ended and adds them to its grants of the queues in
// which they are open. It reports whether the store answered.
func (d *Dispatcher) addOldEndsOf(ctx context.Context, answer *storeGrant, open openMessages) bool {
	ctx, cancel := context.WithTimeout(ctx, findEndsTimeout)
	defer cancel()
	ids := slices.Collect(maps.Keys(open))
	for len(ids) > 0 {
		part := ids[:min(findEndsMost, len(ids))]
		ids = ids[len(part):]
		reply, err := transport.Call[protocol.FindEndsReply](ctx, answer.link.client, protocol.FindEnds{IDs: part})
		if err != nil {
			return false
		}
		for _, head := range reply.Heads {
			addHead(answer.reply.Grants, open[head.ID].queues, head)
		}
	}
	return true
}

// addHead adds a head to the grants of some queues.
func addHead(grants []protocol.Grant, queues []string, head protocol.Head) {
	for i := range grants {
		if grants[i].Granted && slices.Contains(queues, grants[i].Queue) {
			head.Queue = grants[i].Queue
			grants[i].Heads = append(grants[i].Heads, head)
		}
	}
}

// takeGrants takes a queue in if enough stores granted it, and gives the grants
// back otherwise. The mutex is held.
func (d *Dispatcher) takeGrants(ctx context.Context, name string, epoch uint64, sent time.Duration, answers []storeGrant) {
	var granted, unanswered []*storeLink
	var attempts []protocol.Attempt
	counted, silent, abandoned := 0, 0, false
	heads := map[string][]protocol.Head{}
	for _, answer := range answers {
		if !answer.ok || answer.reply.StoreID != answer.link.storeID {
			unanswered = append(unanswered, answer.link) // it has lost the disk that answered
			continue
		}
		grant := findGrant(answer, name)
		d.epochs[name] = max(d.epochs[name], grant.Promised)
		if !grant.Granted {
			continue
		}
		granted = append(granted, answer.link)
		heads[answer.link.node] = grant.Heads
		attempts = append(attempts, grant.Attempts...)
		abandoned = abandoned || grant.Abandoned
		if grant.Silent {
			silent++
		}
		if answer.link.countsNow() && !d.listIsOld(answer.reply.StoresKnown) {
			counted++
		}
	}
	if counted < d.grantsWanted() || d.queues[name] != nil || !d.mayTake(name) {
		// A store that did not answer may have granted it all the same.
		d.giveBack(ctx, name, epoch, append(granted, unanswered...))
		return
	}
	owned := &ownedQueue{
		Queue: queue.New(name, epoch), asked: map[string]bool{}, granted: map[string]time.Duration{},
		accepting: map[string]chan struct{}{}, outbid: map[string]bool{},
	}
	d.queues[name] = owned
	for _, link := range granted {
		d.noteGrant(owned, link, sent)
	}
	d.adopt(owned, heads)
	if 2*silent > len(granted) {
		d.holdAll(owned)
	}
	d.takeAttempts(owned, attempts)
	if abandoned && owned.Open() > 0 {
		d.counters.takeovers.Add(1)
	}
	if name != d.localQueue {
		d.log.V(1).Info("queue acquired", "queue", name, "epoch", epoch, "messages", owned.Open())
	}
}

// mayTake reports whether a queue that stores have granted may be taken in. A dispatcher that leaves has
// chosen what it hands over. The mutex is held.
func (d *Dispatcher) mayTake(name string) bool {
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

// giveBack releases grants that were too few.
func (d *Dispatcher) giveBack(ctx context.Context, name string, epoch uint64, links []*storeLink) {
	for _, link := range links {
		go d.release(ctx, link, name, epoch, nil)
	}
}

func (d *Dispatcher) release(ctx context.Context, link *storeLink, name string, epoch uint64, attempts []protocol.Attempt) {
	callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, _ = transport.Call[protocol.ReleaseReply](callCtx, link.client, protocol.Release{Queues: []string{name}, Epoch: epoch, Attempts: attempts})
}
