package hollow

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// Load is what one process has used.
type Load struct {
	Processor time.Duration
	Received  int64 // bytes
	Sent      int64 // bytes
	Calls     int64 // requests sent or answered
}

// Plus returns the sum of two loads.
func (l Load) Plus(other Load) Load {
	return Load{
		Processor: l.Processor + other.Processor, Received: l.Received + other.Received,
		Sent: l.Sent + other.Sent, Calls: l.Calls + other.Calls,
	}
}

// Minus returns what was used since an earlier reading.
func (l Load) Minus(earlier Load) Load {
	return Load{
		Processor: l.Processor - earlier.Processor, Received: l.Received - earlier.Received,
		Sent: l.Sent - earlier.Sent, Calls: l.Calls - earlier.Calls,
	}
}

// Bytes returns the bytes of both directions.
func (l Load) Bytes() int64 { return l.Received + l.Sent }

// work runs a function and charges the processor time that this thread spent
// in it. It returns that time.
func (l *Load) work(call func()) time.Duration {
	began := threadTime()
	call()
	spent := threadTime() - began
	l.Processor += spent
	return spent
}

// threadTime returns the processor time of the calling thread. The goroutine
// must be locked to its thread.
func threadTime() time.Duration {
	var reading unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &reading) != nil {
		return 0
	}
	return time.Duration(reading.Nano())
}

// processTime returns the processor time of this process.
func processTime() time.Duration {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes that are in use after a collection.
func liveHeap() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// peakMemory returns the most memory that this process has had, in bytes.
func peakMemory() int64 {
	var usage unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return usage.Maxrss << 10
}
