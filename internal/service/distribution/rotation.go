package distribution

import (
	"slices"
	"time"
)

const (
	retryLeast = 20 * time.Millisecond
	retryMost  = 2 * time.Second
	idlePause  = time.Second // between looks for a source where there is none
)

// rotation decides which source each long poll uses. It is pure: time and
// randomness are arguments.
type rotation struct {
	assigned map[int]string
	sources  map[string]*sourceState
}

type sourceState struct {
	failures int
	retryAt  time.Time
	contact  time.Time // of its last answer
}

func newRotation() *rotation {
	return &rotation{assigned: map[int]string{}, sources: map[string]*sourceState{}}
}

func (r *rotation) source(address string) *sourceState {
	state := r.sources[address]
	if state == nil {
		state = &sourceState{}
		r.sources[address] = state
	}
	return state
}

// assign returns the source for a slot, or "" and a pause where none may be
// asked now. A slot keeps its source until that fails; else it gets the first
// in the order of the addresses among those that have failed the fewest times.
func (r *rotation) assign(slot int, addresses []string, now time.Time) (string, time.Duration) {
	if kept := r.assigned[slot]; kept != "" && slices.Contains(addresses, kept) && r.source(kept).failures == 0 {
		return kept, 0
	}
	delete(r.assigned, slot)
	best, pause := "", idlePause
	for _, address := range addresses {
		if r.taken(address) {
			continue
		}
		state := r.source(address)
		if wait := state.retryAt.Sub(now); wait > 0 {
			pause = min(pause, wait)
			continue
		}
		if best == "" || state.failures < r.source(best).failures {
			best = address
		}
	}
	if best == "" {
		return "", max(pause, retryLeast)
	}
	r.assigned[slot] = best
	return best, 0
}

func (r *rotation) taken(address string) bool {
	for _, other := range r.assigned {
		if other == address {
			return true
		}
	}
	return false
}

func (r *rotation) succeeded(address string, now time.Time) {
	state := r.source(address)
	state.failures, state.retryAt, state.contact = 0, time.Time{}, now
}

// failed makes a source wait; random is in [0, 1).
func (r *rotation) failed(slot int, address string, now time.Time, random float64) {
	if r.assigned[slot] == address {
		delete(r.assigned, slot)
	}
	state := r.source(address)
	state.failures++
	pause := retryMost
	if state.failures < 6 {
		pause = min(retryMost, retryLeast<<state.failures)
	}
	state.retryAt = now.Add(time.Duration((0.5 + random/2) * float64(pause)))
}

// forget drops what is known of sources that are no longer listed.
func (r *rotation) forget(addresses []string) {
	for address := range r.sources {
		if !slices.Contains(addresses, address) && !r.taken(address) {
			delete(r.sources, address)
		}
	}
}
