package simulation

import "time"

const (
	restMost   = 12 * time.Second // service may rest for so long after a loss of all
	restLook   = 3 * time.Second
	servedPart = 4  // one of so many messages is the least
	restLeast  = 40 // messages in a span that is judged
)

// checkRecovery looks for spans in which hardly any message was accepted: at most one
// machine that counts is lost at a time, or all are back at once.
func (c *checker) checkRecovery(until time.Duration) {
	for from := startTime; from+restMost <= until; from += restLook {
		sent, accepted := 0, 0
		for _, m := range c.journal.list {
			if m.sent < from || m.sent >= from+restMost {
				continue
			}
			sent++
			if m.accepted > 0 {
				accepted++
			}
		}
		if sent >= restLeast && accepted*servedPart < sent {
			c.broken("RECOVER", "of %d messages sent from %v to %v, %d were accepted", sent, from, from+restMost, accepted)
			return
		}
	}
}
