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

// standbyPause is the time between two looks of a member that does not read.
const standbyPause = 50 * time.Millisecond

// RunReader reads the platform's list into a hub whenever isLeader reports
// true, until the context ends. The publisher's name must be another one in
// each life of the process.
func RunReader(
	ctx context.Context, s *settings.Settings, hub *distribution.Hub, publisher string, isLeader func() bool, log logr.Logger,
) {
	r := &reader{
		hub: hub, publisher: publisher, log: log,
		schedule: NewSchedule(ReadEvery, readerShare*s.CloudAPI.RatePerS),
	}
	source := NewSourceOn(s.Net(), s.CloudAPI.Address)
	for ctx.Err() == nil {
		if !isLeader() {
			pause(ctx, standbyPause)
			continue
		}
		list, err := source.Read(ctx)
		next := r.take(list, err)
		pause(ctx, next-time.Since(list.Began))
	}
}

// reader publishes the lists that a control member has read.
type reader struct {
	hub       *distribution.Hub
	publisher string
	log       logr.Logger
	schedule  *Schedule
	omissions omissions
	failing   bool
}

// take publishes a list where it differs from what is held, and returns the
// time from the begin of this read to the begin of the next.
func (r *reader) take(list List, err error) time.Duration {
	r.report(err)
	next := r.schedule.After(list.Pages, err, rand.Float64())
	if err == nil {
		r.publish(list, next)
	}
	return next
}

// publish makes a list known, of which the next version is due after a time.
func (r *reader) publish(list List, next time.Duration) {
	known, held, _ := distribution.Payload[view.Senders](r.hub, view.TopicSenders)
	known = known.After(held.Age)
	senders := r.omissions.complete(list, known.List)
	owned := r.hub.Owned(view.TopicSenders, r.publisher)
	confirmed := distribution.Confirmed{At: list.Began, Every: next}
	if owned && view.DifferenceOf(known.List, senders, 0).Empty() {
		r.hub.Confirm(view.TopicSenders, r.publisher, confirmed)
		return
	}
	r.hub.AdvanceConfirmed(view.TopicSenders, r.publisher, view.Senders{List: senders}, confirmed)
}

// report logs when reads begin to fail and when they succeed again.
func (r *reader) report(err error) {
	switch {
	case err != nil && !r.failing:
		r.log.Info("the platform's list cannot be read", "cause", err.Error())
	case err == nil && r.failing:
		r.log.Info("the platform's list can be read again")
	}
	r.failing = err != nil
}

// pause waits for a time or the context's end.
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
