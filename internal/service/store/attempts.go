package store

import (
	"slices"
	"time"

	"yardwharf/internal/service/protocol"
)

const (
	attemptsMost = 1000            // remembered for one queue
	outcomesKept = 2 * time.Minute // longer than a queue with messages has no owner
)

// releasedAttempt is what a release told of a message.
type releasedAttempt struct {
	told  protocol.Attempt
	over  time.Time // no sender has the message any more
	until time.Time // it is handed on
}

// releasedAttempts are what owners had not settled as they released their queues, by queue. They
// are kept in memory only: a store that restarts has seen no release, and grants nothing for as
// long as a session may last.
type releasedAttempts map[string][]releasedAttempt

// note remembers what a release tells. Earlier ones of the queue that are not over stay.
func (a *releasedAttempts) note(now time.Time, queue string, told []protocol.Attempt) {
	if len(told) == 0 {
		return
	}
	if *a == nil {
		*a = releasedAttempts{}
	}
	a.forget(now)
	kept := (*a)[queue]
	for _, one := range told[:min(len(told), attemptsMost)] {
		over := now.Add(one.Left)
		until := over
		if one.End.State.Ended() || one.Failures > 0 {
			until = now.Add(max(one.Left, outcomesKept))
		}
		kept = append(kept, releasedAttempt{one, over, until})
	}
	(*a)[queue] = kept[max(0, len(kept)-attemptsMost):]
}

// forget drops attempts of which nothing is left to tell.
func (a *releasedAttempts) forget(now time.Time) {
	for queue, kept := range *a {
		kept = slices.DeleteFunc(kept, func(one releasedAttempt) bool { return !one.until.After(now) })
		if (*a)[queue] = kept; len(kept) == 0 {
			delete(*a, queue)
		}
	}
}

// of returns what is to be handed on of a queue.
func (a *releasedAttempts) of(now time.Time, queue string) []protocol.Attempt {
	var attempts []protocol.Attempt
	for _, one := range (*a)[queue] {
		if one.until.After(now) {
			one.told.Left = max(0, one.over.Sub(now))
			attempts = append(attempts, one.told)
		}
	}
	return attempts
}
