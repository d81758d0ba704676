package dispatcher

import "sync/atomic"

// counters tell what this process has done since its start.
type counters struct {
	accepted  atomic.Uint64
	refused   atomic.Uint64
	undecided atomic.Uint64
	completed atomic.Uint64
}
