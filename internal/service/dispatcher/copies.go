package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/transport"
	"yardwharf/internal/service/verdict"
)

const (
	minHedgeDelay      = 15 * time.Millisecond
	maxHedgeDelay      = 60 * time.Millisecond
	hedgeLatencyFactor = 4 // hedge delay in usual latencies of the slowest preferred store
	appendTimeout      = 3 * time.Second
	silentAfter        = 150 * time.Millisecond // a store that acknowledges no append for this long gets no further ones
)

// copyResult is the outcome of writing the copies of a message.
type copyResult struct {
	status          protocol.AcceptStatus
	fenced          bool
	holders         []string          // stores that acknowledged their copy
	possibleHolders []string          // stores that may have one
	disks           map[string]string // store identities of the holders' disks
}

// copyOutcome is the outcome of writing one copy to a store.
type copyOutcome struct {
	link    *storeLink
	status  protocol.AppendStatus
	storeID string
	verdict verdict.Verdict
	took    time.Duration
}

// requiredCopies returns how many stores must hold each message.
func (d *Dispatcher) requiredCopies() int { return d.settings.FaultTolerance.Machines + 1 }

// writeCopies writes a message to enough stores. When a store is slow, it hedges: a
// further store gets a copy too.
func (d *Dispatcher) writeCopies(ctx context.Context, message protocol.Message) copyResult {
	d.mutex.Lock()
	links := d.copyCandidates()
	wanted := d.requiredCopies()
	hedgeDelay := minHedgeDelay
	if len(links) >= wanted {
		hedgeDelay = min(max(minHedgeDelay, hedgeLatencyFactor*links[wanted-1].latency), maxHedgeDelay)
	}
	d.mutex.Unlock()
	if len(links) < wanted {
		return copyResult{status: protocol.Refused}
	}
	answers := make(chan copyOutcome, len(links))
	result := copyResult{disks: map[string]string{}}
	pending := 0
	startNext := func() {
		link := links[0]
		links = links[1:]
		result.possibleHolders = append(result.possibleHolders, link.node)
		pending++
		go d.writeCopy(link, message, answers)
	}
	for range wanted {
		startNext()
	}
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case answer := <-answers:
			pending--
			d.applyCopyAnswer(answer, &result)
			if len(result.holders) >= wanted {
				result.status = protocol.Accepted
				return result
			}
			if answer.status != protocol.Stored && len(links) > 0 {
				startNext()
			}
			if pending == 0 {
				result.status = failureStatus(result)
				return result
			}
		case <-timer.C:
			if len(links) > 0 {
				startNext()
			} else if d.pendingStoresSilent(result) {
				result.status = protocol.Undecided
				return result
			}
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			result.status = protocol.Undecided
			return result
		}
	}
}

// pendingStoresSilent reports whether every store that may still acknowledge a copy
// has been silent for so long that waiting longer is useless.
func (d *Dispatcher) pendingStoresSilent(result copyResult) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, node := range result.possibleHolders {
		link := d.stores[node]
		if link != nil && !slices.Contains(result.holders, node) && !link.silent(d.now()) {
			return false
		}
	}
	return true
}

// silent reports whether appends to the store are unanswered and it has acknowledged
// none for longer than silentAfter. The dispatcher's mutex is held.
func (l *storeLink) silent(now time.Duration) bool {
	return l.unanswered > 0 && now-max(l.unansweredSince, l.acknowledgedAt) > silentAfter
}

// failureStatus returns the status of a message of which too few copies could be
// written: undecided if a store may hold one of them.
func failureStatus(result copyResult) protocol.AcceptStatus {
	switch {
	case len(result.possibleHolders) > 0:
		return protocol.Undecided
	case result.fenced:
		return protocol.NotOwner
	default:
		return protocol.Refused
	}
}

// applyCopyAnswer adds the outcome of one copy to the result.
func (d *Dispatcher) applyCopyAnswer(answer copyOutcome, result *copyResult) {
	node := answer.link.node
	if answer.status == protocol.Stored {
		result.holders = append(result.holders, node)
		result.disks[node] = answer.storeID
		return
	}
	if answer.status == protocol.Fenced {
		result.fenced = true
	}
	if answer.verdict == verdict.NotRun {
		result.possibleHolders = slices.DeleteFunc(result.possibleHolders, func(touched string) bool { return touched == node })
	}
}

// writeCopy writes a copy to one store and sends the outcome to answers.
func (d *Dispatcher) writeCopy(link *storeLink, message protocol.Message, answers chan<- copyOutcome) {
	started := d.now()
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	d.mutex.Lock()
	if link.unanswered++; link.unanswered == 1 {
		link.unansweredSince = started
	}
	d.mutex.Unlock()
	reply, err := transport.Call[protocol.AppendReply](ctx, link.client, protocol.Append{Message: message})
	answer := copyOutcome{link: link, status: reply.Status, storeID: reply.StoreID, took: d.now() - started}
	switch {
	case err != nil:
		answer.verdict = verdict.Of(err)
	case reply.Status != protocol.Stored:
		answer.verdict = verdict.NotRun
	}
	d.mutex.Lock()
	link.unanswered--
	if err == nil {
		link.acknowledgedAt = d.now()
	}
	if reply.Status == protocol.StoreFull {
		d.setFull(link, true) // until a renewal reports that it has room again
	}
	link.latency += time.Duration(latencyWeight * float64(answer.took-link.latency))
	d.mutex.Unlock()
	answers <- answer
}
