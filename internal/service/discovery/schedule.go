package discovery

import (
	"errors"
	"time"
)

const (
	// ReadEvery is the time between two reads of the reader.
	ReadEvery = 500 * time.Millisecond

	readerShare  = 0.5 // of the platform's rate that the reader may use
	throttleMost = 4 * time.Second
	failureMost  = time.Second
	sparseMost   = 5 * time.Second // between reads of an agent that fail
)

// Schedule decides when to read next. It is pure.
type Schedule struct {
	every     time.Duration
	callsPerS float64 // pages a second at most; 0: no limit
	failMost  time.Duration
	throttled int
	failed    int
}

// NewSchedule returns a schedule of reads that come every so often, with no
// more than callsPerS pages a second.
func NewSchedule(every time.Duration, callsPerS float64) *Schedule {
	return &Schedule{every: every, callsPerS: callsPerS, failMost: failureMost}
}

// NewSparseSchedule returns the schedule of an agent, which bounds its rate
// itself and waits longer after failures.
func NewSparseSchedule(every time.Duration) *Schedule {
	return &Schedule{every: every, failMost: sparseMost}
}

// After returns the time from the begin of a read, which made so many calls
// and ended with err, to the begin of the next. Random is in [0, 1).
func (s *Schedule) After(calls int, err error, random float64) time.Duration {
	pause := s.every
	switch {
	case err == nil:
		s.throttled, s.failed = 0, 0
	case errors.Is(err, ErrThrottled):
		s.throttled++
		pause = doubled(s.every, s.throttled, throttleMost)
		pause += time.Duration(random * float64(pause) / 2)
	default:
		s.failed++
		pause = doubled(s.every/2, s.failed, max(s.failMost, s.every))
	}
	if s.callsPerS > 0 {
		pause = max(pause, time.Duration(float64(calls)/s.callsPerS*float64(time.Second)))
	}
	return pause
}

// doubled returns a duration doubled for each failure after the first, up to a limit.
func doubled(base time.Duration, failures int, most time.Duration) time.Duration {
	return min(most, base<<min(failures, 8))
}
