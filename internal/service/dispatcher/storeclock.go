package dispatcher

import "time"

const (
	clockJumpThreshold = 2 * time.Second  // a reply may take so long to arrive
	clockSettleTime    = 20 * time.Second // after a jump; the store corrects its clock in the first half, or not at all
)

// storeClock tracks the offset of a store's clock from this dispatcher's monotonic clock.
// After a power loss, a store uses the time of day, which may have been changed meanwhile.
type storeClock struct {
	storeID  string
	offset   time.Duration // of the store's clock from the local monotonic clock
	jumpedAt time.Duration // when the store's clock was first seen to have jumped; 0: it has not
}

// expected returns the time that the store's clock should show, or 0 if that is unknown.
func (c *storeClock) expected(now time.Duration) time.Duration {
	if c.storeID == "" {
		return 0
	}
	return now + c.offset
}

// observe records the time that a store's clock shows. A jump is accepted only after the
// store has not corrected it within clockSettleTime.
func (c *storeClock) observe(now time.Duration, storeID string, shown time.Duration) {
	offset := shown - now
	switch {
	case c.storeID != storeID, (offset - c.offset).Abs() <= clockJumpThreshold:
		*c = storeClock{storeID: storeID, offset: offset}
	case c.jumpedAt == 0:
		c.jumpedAt = now
	case now-c.jumpedAt > clockSettleTime:
		*c = storeClock{storeID: storeID, offset: offset}
	}
}
