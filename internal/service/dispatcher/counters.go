package dispatcher

import (
	"sync/atomic"

	"yardwharf/internal/service/delivery"
	"yardwharf/internal/service/status"
	"yardwharf/internal/service/verdict"
)

// counters count events since the process started.
type counters struct {
	accepted   atomic.Uint64
	refused    atomic.Uint64
	undecided  atomic.Uint64
	completed  atomic.Uint64
	callbacks  atomic.Uint64 // accepted by their receivers
	takeovers  atomic.Uint64 // non-empty queues acquired without a release by the previous owner
	deliveries deliveryCounters
}

// deliveryCounters count delivery attempts by result.
type deliveryCounters struct {
	succeeded  atomic.Uint64
	failed     atomic.Uint64 // processed without success
	impossible atomic.Uint64 // permanently rejected
	notRun     atomic.Uint64
	uncertain  atomic.Uint64 // may have been processed
}

// note counts the result of one attempt.
func (c *deliveryCounters) note(result *delivery.Result) {
	switch {
	case result.Succeeded():
		c.succeeded.Add(1)
	case result.Failed():
		c.failed.Add(1)
	case result.Impossible():
		c.impossible.Add(1)
	case result.Verdict == verdict.NotRun:
		c.notRun.Add(1)
	default:
		c.uncertain.Add(1)
	}
}

// list returns all counters for a report.
func (c *counters) list() []status.Counter {
	const deliveries = "deliveries"
	return []status.Counter{
		{Name: "accepted", Value: c.accepted.Load()},
		{Name: "refused", Value: c.refused.Load()},
		{Name: "undecided", Value: c.undecided.Load()},
		{Name: "completed", Value: c.completed.Load()},
		{Name: "callbacks_taken", Value: c.callbacks.Load()},
		{Name: "unreleased_takeovers", Value: c.takeovers.Load()},
		{Name: deliveries, End: "succeeded", Value: c.deliveries.succeeded.Load()},
		{Name: deliveries, End: "failed", Value: c.deliveries.failed.Load()},
		{Name: deliveries, End: "impossible", Value: c.deliveries.impossible.Load()},
		{Name: deliveries, End: "not_run", Value: c.deliveries.notRun.Load()},
		{Name: deliveries, End: "may_have_run", Value: c.deliveries.uncertain.Load()},
	}
}
