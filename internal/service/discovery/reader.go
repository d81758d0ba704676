package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-logr/logr"

	"yardwharf/internal/service/distribution"
	"yardwharf/internal/service/settings"
	"yardwharf/internal/service/view"
)

// standbyPollInterval is the time between two leadership checks of a member that does not read.
const standbyPollInterval = 50 * time.Millisecond

// RunReader reads the platform's list into a hub while isLeader reports true,
// until the context is done. The publisher's name must be different after each
// restart of the process.
func RunReader(
	ctx context.Context, s *settings.Settings, hub *distribution.Hub, publisher string, isLeader func() bool, log logr.Logger,
) {
	r := &reader{
		hub: hub, publisher: publisher, log: log,
		schedule: NewSchedule(ReadInterval, readerRateShare*s.CloudAPI.RatePerS),
	}
	source := NewSourceOn(s.Net(), s.CloudAPI.Address)
	for ctx.Err() == nil {
		if !isLeader() {
			pause(ctx, standbyPollInterval)
			continue
		}
		list, err := source.Read(ctx)
		next := r.handleRead(list, err)
		pause(ctx, next-time.Since(list.StartedAt))
	}
}

// reader publishes the lists that a control member has read.
type reader struct {
	hub       *distribution.Hub
	publisher string
	log       logr.Logger
	schedule  *Schedule
	omissions omissionFilter
	failing   bool
	leftOut   int // entries that the last list left out
}

// handleRead logs and publishes the result of a read, and returns the time from the
// start of this read to the start of the next.
func (r *reader) handleRead(list List, err error) time.Duration {
	r.logTransition(err)
	interval := r.schedule.NextDelay(list.Pages, err, rand.Float64())
	if err == nil {
		r.logLeftOut(list.LeftOut)
		r.publish(list, interval)
	}
	return interval
}

// publish publishes a list if it differs from the held one or the held one is from another
// reader, else it confirms the held one. Interval is the time until the next read.
func (r *reader) publish(list List, interval time.Duration) {
	known, held, _ := distribution.Payload[view.Senders](r.hub, view.TopicSenders)
	known = known.After(held.Age)
	senders := r.omissions.complete(list, known.List)
	owned := r.hub.IsPublisher(view.TopicSenders, r.publisher)
	confirmed := distribution.Confirmed{At: list.StartedAt, Interval: interval}
	if owned && view.DifferenceOf(known.List, senders, 0).Empty() {
		r.hub.Confirm(view.TopicSenders, r.publisher, confirmed)
		return
	}
	r.hub.AdvanceConfirmed(view.TopicSenders, r.publisher, view.Senders{List: senders}, confirmed)
}

// logTransition logs when reads start to fail and when they succeed again.
func (r *reader) logTransition(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Info("the platform's list cannot be read", "cause", err.Error())
	case err == nil && r.failing:
		r.log.Info("the platform's list can be read again")
	}
	r.failing = err != nil
}

// logLeftOut logs when the number of entries that are left out changes.
func (r *reader) logLeftOut(left leftOut) {
	switch {
	case left.count == r.leftOut:
	case left.count == 0:
		r.log.Info("all entries of the platform's list can be used again")
	default:
		r.log.Info("entries of the platform's list cannot be used", "entries", left.count, "cause", left.cause.Error())
	}
	r.leftOut = left.count
}

// pause waits for a duration or until the context is done.
func pause(ctx context.Context, length time.Duration) {
	if length <= 0 {
		return
	}
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
