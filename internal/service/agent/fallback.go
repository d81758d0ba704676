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
	minOwnReadInterval = 1500 * time.Millisecond // minimum time between own reads
	agentsRateShare    = 0.5                     // share of the platform's rate limit that all agents may use together
	estimatedPageSize  = 50                      // senders per page, assumed until the first own read
	maxCheckInterval   = time.Second             // between checks while the agent reads the list itself
	minCheckInterval   = 50 * time.Millisecond
)

// readWhenStale reads the platform's list while the control members' list is
// stale. Otherwise it wakes only when that list would become stale.
func (a *Agent) readWhenStale(ctx context.Context) {
	address := a.settings.Load().CloudAPI.Address
	on := a.settings.Load().Net()
	source := discovery.NewSourceOn(on, address)
	schedule := discovery.NewSparseSchedule(minOwnReadInterval)
	var nextRead time.Time // zero: the control members' list was fresh at the last check
	pages := 0
	for ctx.Err() == nil {
		now := time.Now()
		staleAt := a.staleAt(now)
		if now.Before(staleAt) {
			a.resumeControlList(now, &nextRead)
			sleep(ctx, max(minCheckInterval, staleAt.Sub(now)))
			continue
		}
		interval := a.fleetReadInterval(pages)
		if nextRead.IsZero() {
			a.log.Info("the control members' list of senders is stale", "readIn", interval.String()+" at most")
			nextRead = now.Add(time.Duration(rand.Float64() * float64(interval)))
		}
		if wait := nextRead.Sub(now); wait > 0 {
			sleep(ctx, min(wait, maxCheckInterval))
			continue
		}
		if current := a.settings.Load().CloudAPI.Address; current != address {
			address, source = current, discovery.NewSourceOn(on, current)
		}
		list, err := source.Read(ctx)
		pages = max(list.Pages, 1)
		nextRead = now.Add(max(interval, schedule.NextDelay(list.Pages, err, rand.Float64())))
		a.publishOwnRead(list, err, nextRead)
	}
}

// staleAt returns when the control members' list becomes stale.
func (a *Agent) staleAt(now time.Time) time.Time {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.refreshControl(now)
	return a.overlay.staleAt()
}

// resumeControlList switches back to the control members' list after own reads.
func (a *Agent) resumeControlList(now time.Time, nextRead *time.Time) {
	if !nextRead.IsZero() {
		a.log.Info("the control members' list of senders is fresh again")
		*nextRead = time.Time{}
		a.publishSenders(now)
	}
}

// publishOwnRead records the result of an own read and publishes the best list.
func (a *Agent) publishOwnRead(list discovery.List, err error, nextRead time.Time) {
	if err != nil {
		a.log.V(1).Info("the platform's list cannot be read", "cause", err.Error())
		return
	}
	a.mutex.Lock()
	a.overlay.updateOwn(sendersSnapshot{
		senders: view.Senders{List: list.Senders}, madeAt: list.StartedAt, currentAt: list.StartedAt, dueAt: nextRead,
	})
	a.mutex.Unlock()
	a.publishSenders(time.Now())
}

// fleetReadInterval returns the time that all agents together need to read the
// list once each within their share of the platform's rate limit.
func (a *Agent) fleetReadInterval(pages int) time.Duration {
	rate := agentsRateShare * a.settings.Load().CloudAPI.RatePerS
	if rate <= 0 {
		return minOwnReadInterval
	}
	if pages == 0 {
		pages = 1
		senders, _, _ := distribution.Payload[view.Senders](a.upstream, view.TopicSenders)
		pages += len(senders.List) / estimatedPageSize
	}
	return time.Duration(float64(a.agentCount()*pages) / rate * float64(time.Second))
}

// agentCount returns the number of known live agents, at least 1.
func (a *Agent) agentCount() int {
	count := 0
	for _, state := range mergedMembers(a.upstream) {
		if state.Identity.Role == Role && state.Alive {
			count++
		}
	}
	return max(1, count)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
