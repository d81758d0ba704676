package dispatcher

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	stallCheckInterval = 250 * time.Millisecond
	minLoggedStall     = 500 * time.Millisecond // a third of lease.Duration
	mutexPollInterval  = 20 * time.Millisecond
	maxStackBytes      = 32 << 10
)

// watchStalls logs when this process was suspended, or its mutex held, long enough to
// endanger leases, until the context ends.
func (d *Dispatcher) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		start, cpuBefore := d.now(), processorTime()
		pause(ctx, stallCheckInterval)
		asleep := d.now() - start - stallCheckInterval
		locked := d.awaitMutex()
		if asleep+locked >= minLoggedStall {
			d.log.Info("process stalled", "asleep", asleep, "locked", locked, "processorTime", processorTime()-cpuBefore)
		}
		d.checkRenewals()
	}
}

// awaitMutex returns how long it took to acquire the mutex. If that takes too long, it logs
// the stacks of all goroutines.
func (d *Dispatcher) awaitMutex() time.Duration {
	start, logged := d.now(), false
	for !d.mutex.TryLock() {
		time.Sleep(mutexPollInterval)
		if d.now()-start >= minLoggedStall && !logged {
			logged = true
			stacks := make([]byte, maxStackBytes)
			stacks = stacks[:runtime.Stack(stacks, true)]
			d.log.Info("mutex held too long", "stacks", string(stacks))
		}
	}
	d.mutex.Unlock()
	return d.now() - start
}

// processorTime returns the CPU time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
