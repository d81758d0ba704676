// Package ratelimit limits deliveries to a service to a configured number of
// arrivals per second across all dispatchers. Only the dispatcher that owns the
// service's queue takes tokens.
package ratelimit

import "time"

const (
	// utilization is the fraction of the rate that is used. The rest allows for arrivals
	// that bunch up in the network.
	utilization = 0.98
	// capacity is how many tokens a bucket can hold. A previous owner has exceeded its
	// rate by at most as much, so one change of owner stays within five extra arrivals.
	capacity = 2.0
)

// Bucket is a token bucket. It starts empty, because a previous owner may have
// used up the rate until that moment.
type Bucket struct {
	rate       float64 // tokens per second
	tokens     float64
	lastRefill time.Duration // when tokens were last added
}

// New returns an empty bucket for a rate in arrivals per second.
func New(now time.Duration, rate float64) *Bucket {
	b := &Bucket{lastRefill: now}
	b.SetRate(now, rate)
	return b
}

// SetRate changes the rate from now on. Accumulated tokens are kept.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = max(0, rate) * utilization
}

// Take takes one token. If there is none, it returns how long to wait before the
// next attempt.
func (b *Bucket) Take(now time.Duration) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return time.Second, false
	}
	seconds := (1 - b.tokens) / b.rate
	return time.Duration(seconds*float64(time.Second)) + time.Microsecond, false
}

// Return gives back a token that was not used.
func (b *Bucket) Return() { b.tokens = min(capacity, b.tokens+1) }

// refill adds the tokens accrued since the last call. It ignores a time that is
// not after that call.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.lastRefill {
		return
	}
	b.tokens = min(capacity, b.tokens+b.rate*(now-b.lastRefill).Seconds())
	b.lastRefill = now
}
