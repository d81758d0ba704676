package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// clockTolerance is how much the steady clock and the time of day may differ over a
// restart; a greater difference means that the steady clock belongs to another boot.
const clockTolerance = 15 * time.Second

// clockSource provides the clocks that a store reads.
type clockSource struct {
	steady func() time.Duration // nil: CLOCK_MONOTONIC
	wall   func() time.Time     // nil: the time of day
}

// clockReading is the same moment on three clocks. Store time starts at 0 when the disk
// is formatted and continues while the process is down.
type clockReading struct {
	storeTime time.Duration
	steady    time.Duration // CLOCK_MONOTONIC
	wall      time.Duration // since the Unix epoch
}

// clock computes the store time.
type clock struct {
	source  clockSource
	started time.Time
	steady  time.Duration // at started
	base    time.Duration // store time at started
}

// newClock returns a clock whose store time is 0 now.
func newClock(source clockSource) *clock {
	if source.steady == nil {
		source.steady = steadyClock
	}
	if source.wall == nil {
		source.wall = time.Now
	}
	return &clock{source: source, started: time.Now(), steady: source.steady()}
}

func steadyClock() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &now); err != nil {
		return 0
	}
	return time.Duration(now.Nano())
}

// resume continues the store time from the last reading before the restart, but
// never below minimum.
func (c *clock) resume(last clockReading, minimum time.Duration) {
	now := clockReading{steady: c.steady, wall: time.Duration(c.source.wall().UnixNano())}
	c.base = max(last.storeTime+elapsed(last, now), minimum)
}

// elapsed returns the time between two readings. It uses the steady clock unless that went
// back or differs too much from the time of day. If the time of day was set meanwhile, the
// error is corrected later from the estimates of the dispatchers.
func elapsed(last, now clockReading) time.Duration {
	steady, wall := now.steady-last.steady, now.wall-last.wall
	if difference := (steady - wall).Abs(); steady >= 0 && difference <= clockTolerance {
		return steady
	}
	return max(wall, 0)
}

// correct adds an offset to the store time.
func (c *clock) correct(offset time.Duration) { c.base += offset }

// now returns the store time.
func (c *clock) now() time.Duration { return c.base + time.Since(c.started) }

// read reads all clocks.
func (c *clock) read() clockReading {
	now := time.Now()
	passed := now.Sub(c.started)
	return clockReading{
		storeTime: c.base + passed,
		steady:    c.steady + passed,
		wall:      time.Duration(c.source.wall().UnixNano()),
	}
}
