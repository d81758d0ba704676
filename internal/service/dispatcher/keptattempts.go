package dispatcher

import (
	"context"
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/storeclient"
	"yardwharf/internal/service/transport"
)

// Stores keep attempts of a queue for the owners that follow: those that a release has no room for, and outcomes that
// the previous owner learned after it had released or lost the queue. A process that ends may be the only one that
// knows an outcome. It has enough stores keep it, and the new owner reads what so many stores keep that each kept
// outcome is among it.

const keepAttemptsTimeout = 300 * time.Millisecond

// keepOutcomes has stores keep the first outcomes of a report that they do not keep yet. It reports whether enough of
// them do now.
func (d *Dispatcher) keepOutcomes(name string, report *outcomeReport) bool {
	d.mutex.Lock()
	outcomes := slices.Clone(report.unkept())
	first := report.firstUnkept()
	d.mutex.Unlock()
	attempts := make([]protocol.Attempt, len(outcomes))
	for i, outcome := range outcomes {
		attempts[i] = protocol.Attempt{ID: outcome.End.ID, Outcome: outcome}
	}
	if len(outcomes) == 0 || !d.keepAttempts(context.Background(), name, attempts) {
		return false
	}
	d.mutex.Lock()
	defer d.mutex.Unlock()
	report.kept = max(report.kept, first+len(outcomes))
	return true
}

// keepAttempts has all stores that are up keep attempts of a queue. It returns as soon as enough of them do, and
// reports whether that is so.
func (d *Dispatcher) keepAttempts(ctx context.Context, queue string, attempts []protocol.Attempt) bool {
	d.mutex.Lock()
	links, needed := d.upStores(), d.requiredCopies()
	links = slices.DeleteFunc(links, func(link *storeLink) bool { return !link.keepsAttempts || !link.complete() })
	d.mutex.Unlock()
	results := make(chan bool, len(links))
	for _, link := range links {
		go func() {
			callCtx, cancel := context.WithTimeout(ctx, keepAttemptsTimeout)
			defer cancel()
			request := protocol.KeepAttempts{Queue: queue, Attempts: attempts}
			_, err := transport.Call[protocol.KeepAttemptsReply](callCtx, link.client, request)
			results <- err == nil
		}()
	}
	kept := 0
	for waiting := len(links); waiting > 0 && kept < needed; waiting-- {
		if <-results {
			kept++
		}
	}
	return kept >= needed
}

// readKeptAttempts reads the attempts of a queue that stores keep. It reports false if so few stores have answered that
// an attempt which enough of them keep may be missing.
func (d *Dispatcher) readKeptAttempts(queue string) ([]protocol.Attempt, bool) {
	type answer struct {
		attempts []protocol.Attempt
		ok       bool
	}
	d.mutex.Lock()
	links, needed := d.upStores(), d.grantsNeeded()
	links = slices.DeleteFunc(links, func(link *storeLink) bool { return !link.complete() })
	answers := make(chan answer, len(links))
	for _, link := range links {
		if !link.keepsAttempts {
			answers <- answer{ok: true}
			continue
		}
		storeID := link.storeID
		go func() {
			attempts, err := storeclient.ReadAttempts(context.Background(), link.client, queue, storeID, keepAttemptsTimeout)
			answers <- answer{attempts, err == nil}
		}()
	}
	d.mutex.Unlock()
	var attempts []protocol.Attempt
	answered := 0
	for waiting := len(links); waiting > 0 && answered < needed; waiting-- {
		next := <-answers
		attempts = append(attempts, next.attempts...)
		if next.ok {
			answered++
		}
	}
	return attempts, answered >= needed
}

// applyKeptOutcomes applies the outcomes that stores keep for a queue. It reports whether all of them were read.
func (d *Dispatcher) applyKeptOutcomes(owned *ownedQueue) bool {
	attempts, complete := d.readKeptAttempts(owned.Name)
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if owned.dropped {
		return complete
	}
	for _, attempt := range attempts {
		d.applyOutcome(owned, attempt.Outcome)
	}
	d.pump(owned)
	return complete
}
