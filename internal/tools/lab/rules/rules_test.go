package rules

import (
	"testing"
	"time"
)

const s = time.Second

// Each rule, broken on purpose, is caught; kept to the edge, it is not.
func TestEachRule(t *testing.T) {
	for _, c := range []struct {
		what string
		rule int // that is broken; 0 for none
		do   func(*Checker)
	}{
		{"one answer in time", 0, func(c *Checker) { c.Taken(1, Message{Deadline: s}); c.Answered(s+10, 1, false) }},
		{"late", 1, func(c *Checker) { c.Taken(1, Message{Deadline: s}); c.Answered(2*s, 1, false) }},
		{"two answers", 1, func(c *Checker) {
			c.Taken(1, Message{Deadline: s})
			c.Answered(0, 1, false)
			c.Answered(0, 1, false)
		}},
		{"no answer", 1, func(c *Checker) { c.Taken(1, Message{Deadline: s}) }},
		{"died with it", 0, func(c *Checker) { c.Taken(1, Message{Deadline: s}); c.Void(1) }},
		{"sent after its answer", 1, func(c *Checker) {
			c.Taken(1, Message{Deadline: s})
			c.Answered(0, 1, false)
			c.Sent(1, 1, 0, 0, 0, 0)
		}},
		{"run twice", 2, func(c *Checker) {
			c.Taken(1, Message{Deadline: s, Once: true})
			c.Sent(0, 1, 0, 0, 0, 0)
			c.Sent(1, 1, 1, 0, 1, 0)
			c.Answered(2, 1, false)
		}},
		{"again after proof", 0, func(c *Checker) {
			c.Taken(1, Message{Deadline: s, Once: true})
			c.Sent(0, 1, 0, 0, 0, 0)
			c.NeverRan(1, 0)
			c.Sent(1, 1, 1, 0, 1, 0)
			c.Answered(2, 1, false)
		}},
		{"refused though it may have run", 2, func(c *Checker) {
			c.Taken(1, Message{Deadline: s, Once: true})
			c.Sent(0, 1, 0, 0, 0, 0)
			c.Answered(2, 1, true)
		}},
		{"key, same group", 0, func(c *Checker) {
			c.Taken(1, Message{Deadline: s, Keyed: true, KeyTime: s})
			c.Sent(0, 1, 0, 0, 0, 4)
			c.Sent(s, 1, 1, 0, 1, 4)
			c.Answered(s, 1, false)
		}},
		{"key, other group", 2, func(c *Checker) {
			c.Taken(1, Message{Deadline: s, Keyed: true, KeyTime: s})
			c.Sent(0, 1, 0, 0, 0, 4)
			c.Sent(1, 1, 1, 0, 1, 5)
			c.Answered(s, 1, false)
		}},
		{"key, too late", 2, func(c *Checker) {
			c.Taken(1, Message{Deadline: 9 * s, Keyed: true, KeyTime: s})
			c.Sent(0, 1, 0, 0, 0, 4)
			c.Sent(s+1, 1, 1, 0, 1, 4)
			c.Answered(s, 1, false)
		}},
		{"drained, within the grace", 0, func(c *Checker) { c.Told(0, 0, 3, false); c.Sent(s/2, 9, 0, 0, 3, 0) }},
		{"drained", 3, func(c *Checker) {
			c.Told(0, 0, 3, false)
			c.Told(s/4, 0, 3, false) // told again: the first time counts
			c.Sent(s/2+1, 9, 0, 0, 3, 0)
		}},
		{"drained and back", 0, func(c *Checker) {
			c.Told(0, 0, 3, false)
			c.Told(1, 0, 3, true)
			c.Sent(s, 9, 0, 0, 3, 0)
		}},
		{"told to another dispatcher", 0, func(c *Checker) { c.Told(0, 1, 3, false); c.Sent(s, 9, 0, 0, 3, 0) }},
		{"a dispatcher that started anew", 0, func(c *Checker) { c.Told(0, 0, 3, false); c.Forget(0); c.Sent(s, 9, 0, 0, 3, 0) }},
		{"pushed over", 4, func(c *Checker) { c.Fell(0, 3) }},
		{"too many attempts", 5, func(c *Checker) {
			c.Taken(1, Message{Deadline: s})
			for n := range 6 {
				c.Sent(0, 1, n, 0, 0, 0)
			}
			c.Answered(0, 1, false)
		}},
	} {
		k := New(Limits{Slack: 16 * time.Millisecond, Grace: s / 2, Attempts: 5})
		c.do(k)
		k.End(10 * s)
		got := 0
		if b := k.Broken(); len(b) > 0 {
			got = b[0].Rule
		}
		if got != c.rule || c.rule == 0 && len(k.Broken()) > 0 {
			t.Errorf("%s: %v, want rule %d", c.what, k.Broken(), c.rule)
		}
	}
}
