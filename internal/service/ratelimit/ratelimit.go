// Package ratelimit holds back deliveries to a service that bears a given number
// of arrivals a second from all dispatchers together. The dispatcher that owns the
// service's queue is the only one that spends its rate.
package ratelimit

import "time"

const (
	// share of the rate that is spent; the rest is for arrivals that bunch up on the way.
	share = 0.98
	// burst is how many arrivals may be saved up. Earlier owners have spent at most
	// as much beyond their rate, so that one change of owners stays within five.
	burst = 2.0
)

// Bucket is a token bucket. It is empty when it is made, because an earlier owner
// may have spent the rate up to that moment.
type Bucket struct {
	rate   float64 // tokens a second
	tokens float64
	at     time.Duration // when tokens were last added
}

// New returns an empty bucket for a rate in arrivals a second.
func New(now time.Duration, rate float64) *Bucket {
	b := &Bucket{at: now}
	b.SetRate(now, rate)
	return b
}

// SetRate changes the rate from now on. What is saved up stays.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	b.refill(now)
	b.rate = max(0, rate) * share
}

// Take takes the right to one arrival. Where there is none it returns how long to
// wait until there may be one.
func (b *Bucket) Take(now time.Duration) (wait time.Duration, ok bool) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return time.Second, false
	}
	missing := (1 - b.tokens) / b.rate
	return time.Duration(missing*float64(time.Second)) + time.Microsecond, false
}

// Return gives back a right that was not used.
func (b *Bucket) Return() { b.tokens = min(burst, b.tokens+1) }

// refill adds what has come since the last call. A moment before it adds nothing.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.at {
		return
	}
	b.tokens = min(burst, b.tokens+b.rate*(now-b.at).Seconds())
	b.at = now
}
