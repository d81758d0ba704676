package distribution

import (
	"slices"
	"time"
)

const (
	minRetryBackoff = 20 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
	noSourcePause   = time.Second // longest pause before a slot without a source tries again
)

// rotation decides which source each long poll uses. It reads no clock: time and
// randomness are arguments.
type rotation struct {
	assigned map[int]string
	sources  map[string]*sourceState
}

type sourceState struct {
	failures int
	retryAt  time.Time
	contact  time.Time // time of the last reply
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

// assign returns the source for a slot, or "" and a pause if no source is available
// now. A slot keeps its source until that fails. Otherwise it gets the available
// source with the fewest failures, the first in the order of addresses among equals.
func (r *rotation) assign(slot int, addresses []string, now time.Time) (string, time.Duration) {
	if kept := r.assigned[slot]; kept != "" && slices.Contains(addresses, kept) && r.source(kept).failures == 0 {
		return kept, 0
	}
	delete(r.assigned, slot)
	best, pause := "", noSourcePause
	for _, address := range addresses {
		if r.isAssigned(address) {
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
		return "", max(pause, minRetryBackoff)
	}
	r.assigned[slot] = best
	return best, 0
}

func (r *rotation) isAssigned(address string) bool {
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

// failed records a failure of a source and sets its backoff; random is in [0, 1).
func (r *rotation) failed(slot int, address string, now time.Time, random float64) {
	if r.assigned[slot] == address {
		delete(r.assigned, slot)
	}
	state := r.source(address)
	state.failures++
	pause := maxRetryBackoff
	if state.failures < 6 {
		pause = min(maxRetryBackoff, minRetryBackoff<<state.failures)
	}
	state.retryAt = now.Add(time.Duration((0.5 + random/2) * float64(pause)))
}

// removeUnlisted removes the state of sources that are no longer listed or assigned.
func (r *rotation) removeUnlisted(addresses []string) {
	for address := range r.sources {
		if !slices.Contains(addresses, address) && !r.isAssigned(address) {
			delete(r.sources, address)
		}
	}
}
