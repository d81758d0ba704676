package store

import (
	"slices"
	"time"

	"yardwharf/internal/service/lease"
	"yardwharf/internal/service/segment"
)

const (
	clockCorrectionPeriod    = 10 * time.Second // after the start
	clockCorrectionTolerance = 2 * time.Second  // a renewal may take this long to arrive
)

// clockCorrection holds what dispatchers report about the store's clock after a start. After a
// power loss a store has only the time of day, which may have been set meanwhile;
// dispatchers that were connected before know from their steady clocks what the store time
// should be.
type clockCorrection struct {
	offsets     map[lease.SessionID]time.Duration // how far the clock is behind, by dispatcher
	firstRecord segment.Position                  // where the first record since the start goes
	until       time.Time                         // until then the clock may be corrected and no message is dropped
}

// clockCorrectable reports whether the store started so recently that its clock may still be
// corrected. The mutex is held.
func (s *store) clockCorrectable() bool { return time.Now().Before(s.clockCorrection.until) }

// addClockEstimate adds a dispatcher's estimate of the store time, and corrects the clock by the
// median of all estimates. The mutex is held.
func (s *store) addClockEstimate(id lease.SessionID, estimate time.Duration) {
	if estimate == 0 || !s.clockCorrectable() {
		return
	}
	if s.clockCorrection.offsets == nil {
		s.clockCorrection.offsets = map[lease.SessionID]time.Duration{}
	}
	s.clockCorrection.offsets[id] = estimate - s.clock.now()
	offsets := make([]time.Duration, 0, len(s.clockCorrection.offsets))
	for _, offset := range s.clockCorrection.offsets {
		offsets = append(offsets, offset)
	}
	slices.Sort(offsets)
	if median := offsets[len(offsets)/2]; median.Abs() > clockCorrectionTolerance {
		s.correctClock(median)
	}
}

// correctClock adds an offset to the clock, and to the times that were taken from it since
// the start. The mutex is held.
func (s *store) correctClock(offset time.Duration) {
	s.options.log.Info("clock corrected", "by", offset, "dispatchers", len(s.clockCorrection.offsets))
	s.clock.correct(offset)
	s.lastClockRecord = 0 // makes the next write record a reading
	for id := range s.clockCorrection.offsets {
		s.clockCorrection.offsets[id] -= offset
	}
	for _, e := range s.index.entries {
		if !e.message.Before(s.clockCorrection.firstRecord) {
			e.bornAt += offset
		}
		if !e.end.Before(s.clockCorrection.firstRecord) {
			e.endedAt += offset
		}
	}
}
