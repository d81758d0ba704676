package discovery

import (
	"errors"
	"time"
)

const (
	// ReadInterval is the time between two reads of the elected reader.
	ReadInterval = 500 * time.Millisecond

	readerRateShare         = 0.5 // fraction of the platform's rate limit that the reader may use
	maxThrottleBackoff      = 4 * time.Second
	maxFailureBackoff       = time.Second
	maxSparseFailureBackoff = 5 * time.Second // between failing reads of an agent
)

// Schedule decides when to read next. It reads no clock: outcomes and randomness
// are arguments.
type Schedule struct {
	interval          time.Duration
	maxCallsPerS      float64 // pages per second; 0: no limit
	maxFailureBackoff time.Duration
	throttled         int
	failed            int
}

// NewSchedule returns a schedule with a regular interval between reads and at most
// maxCallsPerS pages per second.
func NewSchedule(interval time.Duration, maxCallsPerS float64) *Schedule {
	return &Schedule{interval: interval, maxCallsPerS: maxCallsPerS, maxFailureBackoff: maxFailureBackoff}
}

// NewSparseSchedule returns the schedule of an agent, which limits its rate
// itself and backs off longer after failures.
func NewSparseSchedule(interval time.Duration) *Schedule {
	return &Schedule{interval: interval, maxFailureBackoff: maxSparseFailureBackoff}
}

// NextDelay returns the time from the start of a read to the start of the next. Calls
// is the number of pages requested, err the outcome of the read; random, in [0, 1),
// spreads retries after throttling.
func (s *Schedule) NextDelay(calls int, err error, random float64) time.Duration {
	pause := s.interval
	switch {
	case err == nil:
		s.throttled, s.failed = 0, 0
	case errors.Is(err, ErrRateLimited):
		s.throttled++
		pause = exponentialBackoff(s.interval, s.throttled, maxThrottleBackoff)
		pause += time.Duration(random * float64(pause) / 2)
	default:
		s.failed++
		pause = exponentialBackoff(s.interval/2, s.failed, max(s.maxFailureBackoff, s.interval))
	}
	if s.maxCallsPerS > 0 {
		pause = max(pause, time.Duration(float64(calls)/s.maxCallsPerS*float64(time.Second)))
	}
	return pause
}

// exponentialBackoff returns base doubled for each failure, up to a limit.
func exponentialBackoff(base time.Duration, failures int, limit time.Duration) time.Duration {
	return min(limit, base<<min(failures, 8))
}
