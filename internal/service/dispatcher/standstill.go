package dispatcher

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	standstillLook  = 250 * time.Millisecond
	standstillLeast = 500 * time.Millisecond // a third of what a session lasts
	lockLook        = 20 * time.Millisecond
	stacksMost      = 32 << 10 // bytes
)

// watchStandstill logs when this process stood still, or its mutex was held, for so long that leases
// come near their end, until the context ends.
func (d *Dispatcher) watchStandstill(ctx context.Context) {
	for ctx.Err() == nil {
		begun, used := d.now(), processorTime()
		pause(ctx, standstillLook)
		asleep := d.now() - begun - standstillLook
		locked := d.awaitMutex()
		if asleep+locked >= standstillLeast {
			d.log.Info("stood still", "asleep", asleep, "locked", locked, "processorTime", processorTime()-used)
		}
	}
}

// awaitMutex returns after how long the mutex could be had. It logs what all goroutines do when
// that takes long.
func (d *Dispatcher) awaitMutex() time.Duration {
	begun, logged := d.now(), false
	for !d.mutex.TryLock() {
		time.Sleep(lockLook)
		if d.now()-begun >= standstillLeast && !logged {
			logged = true
			stacks := make([]byte, stacksMost)
			stacks = stacks[:runtime.Stack(stacks, true)]
			d.log.Info("mutex is held for long", "stacks", string(stacks))
		}
	}
	d.mutex.Unlock()
	return d.now() - begun
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
