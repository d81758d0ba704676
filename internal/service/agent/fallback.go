package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"yardwharf/internal/service/discovery"
	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/view"
)

const (
	ownReadEvery = 1500 * time.Millisecond // at most so often
	agentsShare  = 0.5                     // of the platform's rate that all agents together may use
	pageEstimate = 50                      // senders a page, before the first own read
	lookMost     = time.Second             // between two looks while the agent reads itself
	lookLeast    = 50 * time.Millisecond
)

// readWhenStale reads the platform's list while that of the control members is
// stale. At rest it wakes only when the list would become stale.
func (a *Agent) readWhenStale(ctx context.Context) {
	address := a.settings.Load().CloudAPI.Address
	on := a.settings.Load().Net()
	source := discovery.NewSourceOn(on, address)
	schedule := discovery.NewSparseSchedule(ownReadEvery)
	var nextRead time.Time // zero: the control's list was fresh at the last look
	pages := 0
	for ctx.Err() == nil {
		now := time.Now()
		staleAt := a.staleAt(now)
		if now.Before(staleAt) {
			a.settle(now, &nextRead)
			pause(ctx, max(lookLeast, staleAt.Sub(now)))
			continue
		}
		spread := a.spread(pages)
		if nextRead.IsZero() {
			a.log.Info("the control members' list of senders is stale", "readIn", spread.String()+" at most")
			nextRead = now.Add(time.Duration(rand.Float64() * float64(spread)))
		}
		if wait := nextRead.Sub(now); wait > 0 {
			pause(ctx, min(wait, lookMost))
			continue
		}
		if current := a.settings.Load().CloudAPI.Address; current != address {
			address, source = current, discovery.NewSourceOn(on, current)
		}
		list, err := source.Read(ctx)
		pages = max(list.Pages, 1)
		nextRead = now.Add(max(spread, schedule.After(list.Pages, err, rand.Float64())))
		a.takeOwn(list, err, nextRead)
	}
}

// staleAt returns when the control members' list becomes stale.
func (a *Agent) staleAt(now time.Time) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refreshControl(now)
	return a.overlay.staleAt()
}

// settle returns to the control members' list after own reads.
func (a *Agent) settle(now time.Time, nextRead *time.Time) {
	if !nextRead.IsZero() {
		a.log.Info("the control members' list of senders is fresh again")
		*nextRead = time.Time{}
		a.publishSenders(now)
	}
}

func (a *Agent) takeOwn(list discovery.List, err error, nextRead time.Time) {
	if err != nil {
		a.log.V(1).Info("the platform's list cannot be read", "cause", err.Error())
		return
	}
	a.mutex.Lock()
	a.overlay.takeOwn(reading{
		senders: view.Senders{List: list.Senders}, madeAt: list.Began, currentAt: list.Began, dueAt: nextRead,
	})
	a.mutex.Unlock()
	a.publishSenders(time.Now())
}

// spread returns the time in which all agents can read the list once within
// their share of the platform's rate.
func (a *Agent) spread(pages int) time.Duration {
	rate := agentsShare * a.settings.Load().CloudAPI.RatePerS
	if rate <= 0 {
		return ownReadEvery
	}
	if pages == 0 {
		pages = 1
		senders, _, _ := distribution.Payload[view.Senders](a.upstream, view.TopicSenders)
		pages += len(senders.List) / pageEstimate
	}
	return time.Duration(float64(a.agents()*pages) / rate * float64(time.Second))
}

// agents returns how many agents there are, as far as is known.
func (a *Agent) agents() int {
	count := 0
	for _, state := range mergedMembers(a.upstream) {
		if state.Identity.Role == Role && state.Alive {
			count++
		}
	}
	return max(1, count)
}

// pause waits for a time or the context's end.
func pause(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
