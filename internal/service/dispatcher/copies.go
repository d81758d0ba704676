package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/queue"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/verdict"
)

const (
	hedgeLeast     = 15 * time.Millisecond
	hedgeMost      = 60 * time.Millisecond
	hedgeFactor    = 4 // a further copy is asked for after so many usual latencies
	appendTimeout  = 3 * time.Second
	repairTimeout  = 2 * time.Second
	repairPause    = 50 * time.Millisecond
	repairParallel = 8
	silentAfter    = 150 * time.Millisecond // a store that acknowledges nothing for so long gets nothing more
)

// copyResult is what came of writing the copies of a message.
type copyResult struct {
	status  protocol.AcceptStatus
	fenced  bool
	holders []string // stores that acknowledged their copy
	touched []string // stores that may have one
}

// copyAnswer is what came of one copy.
type copyAnswer struct {
	link    *storeLink
	status  protocol.AppendStatus
	verdict verdict.Verdict
	took    time.Duration
}

// copiesWanted returns how many stores must hold each message.
func (d *Dispatcher) copiesWanted() int { return d.settings.FaultTolerance.Machines + 1 }

// candidates returns the stores that are up and stay, the best first: one of the own zone, one of another,
// then as spreadZones says, each time those that answer soonest.
func (d *Dispatcher) candidates() []*storeLink {
	var links []*storeLink
	for _, link := range d.stores {
		if link.up && !link.leaving && !link.silent(d.now()) {
			links = append(links, link)
		}
	}
	rank := func(link *storeLink) float64 {
		score := link.latency.Seconds()
		if link.zone != d.settings.Zone {
			score += 0.05
		}
		if d.now()-link.heard > 2*renewInterval {
			score += 1
		}
		return score
	}
	slices.SortFunc(links, func(a, b *storeLink) int {
		if rank(a) < rank(b) {
			return -1
		}
		return 1
	})
	return spreadZones(links, d.copiesWanted())
}

// spreadZones moves the first store of another zone than the best one's to the second place, so that
// two copies or more are never in one zone alone. Further copies stay near, as bytes between zones are
// dear, and after them each zone's first store comes before the second ones.
func spreadZones(links []*storeLink, copies int) []*storeLink {
	if len(links) == 0 {
		return links
	}
	near := links[0].zone
	other := slices.IndexFunc(links, func(link *storeLink) bool { return link.zone != near })
	if other < 0 {
		return links
	}
	spread := []*storeLink{links[0], links[other]}
	rest := slices.Delete(slices.Clone(links), other, other+1)[1:]
	for len(spread) < copies && len(rest) > 0 {
		next := max(0, slices.IndexFunc(rest, func(link *storeLink) bool { return link.zone == near }))
		spread = append(spread, rest[next])
		rest = slices.Delete(rest, next, next+1)
	}
	return append(spread, firstOfEachZone(rest)...)
}

// firstOfEachZone moves the second and later stores of a zone behind the first of every other one.
func firstOfEachZone(links []*storeLink) []*storeLink {
	seen := map[string]bool{}
	var first, rest []*storeLink
	for _, link := range links {
		if seen[link.zone] {
			rest = append(rest, link)
			continue
		}
		seen[link.zone] = true
		first = append(first, link)
	}
	return append(first, rest...)
}

// writeCopies has a message kept by enough stores. When one is slow, a further
// one is asked.
func (d *Dispatcher) writeCopies(ctx context.Context, message protocol.Message) copyResult {
	d.mutex.Lock()
	links := d.candidates()
	wanted := d.copiesWanted()
	hedge := hedgeLeast
	if len(links) >= wanted {
		hedge = min(max(hedgeLeast, hedgeFactor*links[wanted-1].latency), hedgeMost)
	}
	d.mutex.Unlock()
	if len(links) < wanted {
		return copyResult{status: protocol.Refused}
	}
	answers := make(chan copyAnswer, len(links))
	result := copyResult{}
	open := 0
	launch := func() {
		link := links[0]
		links = links[1:]
		result.touched = append(result.touched, link.node)
		open++
		go d.writeCopy(link, message, answers)
	}
	for range wanted {
		launch()
	}
	timer := time.NewTimer(hedge)
	defer timer.Stop()
	for {
		select {
		case answer := <-answers:
			open--
			d.takeCopyAnswer(answer, &result)
			if len(result.holders) >= wanted {
				result.status = protocol.Accepted
				return result
			}
			if answer.status != protocol.Stored && len(links) > 0 {
				launch()
			}
			if open == 0 {
				result.status = failedCopies(result)
				return result
			}
		case <-timer.C:
			if len(links) > 0 {
				launch()
			} else if d.allSilent(result) {
				result.status = protocol.Undecided
				return result
			}
			timer.Reset(hedge)
		case <-ctx.Done():
			result.status = protocol.Undecided
			return result
		}
	}
}

// allSilent reports whether every store that may still acknowledge a copy has
// been silent for so long that waiting on is of no use.
func (d *Dispatcher) allSilent(result copyResult) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, node := range result.touched {
		link := d.stores[node]
		if link != nil && !slices.Contains(result.holders, node) && !link.silent(d.now()) {
			return false
		}
	}
	return true
}

// silent reports whether the store owes acknowledgements and has sent none for
// long. The dispatcher's mutex is held.
func (l *storeLink) silent(now time.Duration) bool {
	return l.unanswered > 0 && now-max(l.unansweredSince, l.acknowledged) > silentAfter
}

// failedCopies tells whether a message of which too few copies could be written
// may have left some.
func failedCopies(result copyResult) protocol.AcceptStatus {
	switch {
	case len(result.touched) > 0:
		return protocol.Undecided
	case result.fenced:
		return protocol.NotOwner
	default:
		return protocol.Refused
	}
}

// takeCopyAnswer books one answer.
func (d *Dispatcher) takeCopyAnswer(answer copyAnswer, result *copyResult) {
	node := answer.link.node
	if answer.status == protocol.Stored {
		result.holders = append(result.holders, node)
		return
	}
	if answer.status == protocol.Fenced {
		result.fenced = true
	}
	if answer.verdict == verdict.NotRun {
		result.touched = slices.DeleteFunc(result.touched, func(have string) bool { return have == node })
	}
}

// writeCopy asks one store to keep a copy.
func (d *Dispatcher) writeCopy(link *storeLink, message protocol.Message, answers chan<- copyAnswer) {
	begun := d.now()
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	d.mutex.Lock()
	if link.unanswered++; link.unanswered == 1 {
		link.unansweredSince = begun
	}
	d.mutex.Unlock()
	reply, err := transport.Call[protocol.AppendReply](ctx, link.client, protocol.Append{Message: message})
	answer := copyAnswer{link: link, status: reply.Status, took: d.now() - begun}
	switch {
	case err != nil:
		answer.verdict = verdict.Of(err)
	case reply.Status != protocol.Stored:
		answer.verdict = verdict.NotRun
	}
	d.mutex.Lock()
	link.unanswered--
	if err == nil {
		link.acknowledged = d.now()
	}
	link.latency += time.Duration(latencyWeight * float64(answer.took-link.latency))
	d.mutex.Unlock()
	answers <- answer
}

// copiesLost takes the copies of a store for lost and has them written again
// elsewhere. The mutex is held.
func (d *Dispatcher) copiesLost(link *storeLink) {
	for _, owned := range d.queues {
		owned.Each(func(entry *queue.Entry) {
			if entry.Phase == queue.Done || !slices.Contains(entry.Holders, link.node) {
				return
			}
			entry.Holders = slices.DeleteFunc(slices.Clone(entry.Holders), func(node string) bool { return node == link.node })
			if !slices.Contains(entry.Touched, link.node) {
				entry.Touched = append(entry.Touched, link.node)
			}
			d.needsRepair(owned, entry)
		})
	}
}

// repairItem is a message that has too few copies.
type repairItem struct {
	owned *ownedQueue
	entry *queue.Entry
}

// needsRepair notes a message with too few copies. The mutex is held.
func (d *Dispatcher) needsRepair(owned *ownedQueue, entry *queue.Entry) {
	if entry.Phase == queue.Done || d.enoughCopies(entry) {
		return
	}
	d.repairs = append(d.repairs, repairItem{owned, entry})
	signal(d.repairWake)
}

// runRepairs writes missing copies until the context ends.
func (d *Dispatcher) runRepairs(ctx context.Context) {
	slots := make(chan struct{}, repairParallel)
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.repairWake:
		}
		for {
			item, some := d.nextRepair()
			if !some {
				break
			}
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				if !d.repair(ctx, item) {
					time.AfterFunc(repairPause*10, func() {
						d.mutex.Lock()
						defer d.mutex.Unlock()
						d.needsRepair(item.owned, item.entry)
					})
				}
			}()
		}
	}
}

func (d *Dispatcher) nextRepair() (repairItem, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if len(d.repairs) == 0 {
		return repairItem{}, false
	}
	item := d.repairs[0]
	d.repairs = d.repairs[1:]
	return item, true
}

// repair writes one more copy of a message; it reports whether enough exist.
func (d *Dispatcher) repair(ctx context.Context, item repairItem) bool {
	d.mutex.Lock()
	entry := item.entry
	if item.owned.dropped || entry.Phase == queue.Done || d.enoughCopies(entry) {
		d.mutex.Unlock()
		return true
	}
	message := protocol.Message{Head: entry.HeadAt(d.now()), Body: entry.Body, Lease: item.owned.Epoch}
	target := d.repairTarget(entry)
	holders := slices.Clone(entry.Holders)
	end := endOf(item.owned, entry)
	d.mutex.Unlock()
	if target == nil {
		return false
	}
	if !d.copyTo(ctx, target, message, end, holders) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if !slices.Contains(entry.Holders, target.node) {
		entry.Holders = append(entry.Holders, target.node)
	}
	if entry.Phase >= queue.Callback {
		d.recordEnd(item.owned, entry)
	}
	return d.enoughCopies(entry)
}

// copyTo writes one more copy of a message, whose body may have to be read first.
func (d *Dispatcher) copyTo(ctx context.Context, target *storeLink, message protocol.Message, end protocol.End, holders []string) bool {
	if end.State == protocol.Completed {
		return d.copyOwed(ctx, target, message, end)
	}
	if message.Body == nil && message.Head.BodySize > 0 {
		fetched, found := d.fetchBody(ctx, message.Head.ID, holders)
		if !found {
			return false
		}
		message.Body = fetched.Body
	}
	answers := make(chan copyAnswer, 1)
	d.writeCopy(target, message, answers)
	return (<-answers).status == protocol.Stored
}

// repairTarget returns the best store that has no copy of a message; one of another zone where all copies
// are in one.
func (d *Dispatcher) repairTarget(entry *queue.Entry) *storeLink {
	zones := map[string]bool{}
	for _, node := range entry.Holders {
		if link := d.stores[node]; link != nil {
			zones[link.zone] = true
		}
	}
	var best *storeLink
	for _, link := range d.candidates() {
		switch {
		case slices.Contains(entry.Holders, link.node):
		case len(zones) > 1 || !zones[link.zone]:
			return link
		case best == nil:
			best = link
		}
	}
	return best
}

// fetchBody reads a message with its body from the first store that has it. Where
// no store has the body, it returns what one tells of the message's end, if any
// does: a store keeps no body of a message that has completed.
func (d *Dispatcher) fetchBody(ctx context.Context, id string, holders []string) (protocol.QueryReply, bool) {
	var ended protocol.QueryReply
	for _, node := range holders {
		d.mutex.Lock()
		link := d.stores[node]
		d.mutex.Unlock()
		if link == nil {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, repairTimeout)
		reply, err := transport.Call[protocol.QueryReply](callCtx, link.client, protocol.Query{ID: id, WithBody: true})
		cancel()
		switch {
		case err != nil || !reply.Held:
		case len(reply.Body) == reply.Head.BodySize && reply.Head.Target != "":
			return reply, true
		case reply.Head.State.Ended():
			ended = reply
		}
	}
	return ended, false
}
