// Package rules holds what dispatchers do against the rules, from what is seen
// outside of them alone: it shares no code with them.
//
//  1. Each message taken has one final answer, no later than its deadline and a slack.
//  2. What must not run twice is sent again only if no earlier attempt can have run;
//     what carries a key, once an attempt may have run, only to hosts of the same
//     group and within the key's time.
//  3. Nothing is sent to a host later than the grace after the dispatcher was told
//     that it drains or is gone.
//  4. No cold host is pushed over.
//  5. No message has more attempts than are allowed.
package rules

import (
	"fmt"
	"time"
)

// Limits are the figures of the rules.
type Limits struct {
	Slack    time.Duration // after the deadline
	Grace    time.Duration // after a drain was told
	Attempts int
}

// Message is what the checker is told of a message when it is taken.
type Message struct {
	Deadline time.Duration
	Once     bool          // it must never run twice
	Keyed    bool          // hosts of one group drop repeats
	KeyTime  time.Duration // for so long
}

// Broken is a rule that was broken.
type Broken struct {
	Rule int
	At   time.Duration
	What string
}

// String is one line for people.
func (b Broken) String() string { return fmt.Sprintf("rule %d at %v: %s", b.Rule, b.At, b.What) }

// Checker watches one run.
type Checker struct {
	l        Limits
	messages map[uint64]*message
	told     map[[2]int]time.Duration // by dispatcher and host
	broken   []Broken
	Margin   time.Duration // the least time that was left of the grace when something was sent
	seen     bool
}

type message struct {
	Message
	answered bool
	attempts []attempt
}

type attempt struct {
	at    time.Duration
	group int
	never bool // it is proven that it did not run
}

// New returns a Checker.
func New(l Limits) *Checker {
	return &Checker{l: l, messages: map[uint64]*message{}, told: map[[2]int]time.Duration{}}
}

func (c *Checker) broke(rule int, at time.Duration, format string, args ...any) {
	c.broken = append(c.broken, Broken{rule, at, fmt.Sprintf(format, args...)})
}

// Broken is what was broken so far.
func (c *Checker) Broken() []Broken { return c.broken }

// Taken says that a dispatcher has taken a message.
func (c *Checker) Taken(id uint64, m Message) { c.messages[id] = &message{Message: m} }

// Void says that a message's dispatcher has died: nothing is owed for it, and what
// its attempts do is nobody's.
func (c *Checker) Void(id uint64) { delete(c.messages, id) }

// Sent says that an attempt has been sent to a host of a group; n counts from 0.
func (c *Checker) Sent(at time.Duration, id uint64, n, dispatcher, host, group int) {
	if told, yes := c.told[[2]int{dispatcher, host}]; yes {
		if left := told + c.l.Grace - at; left < 0 {
			c.broke(3, at, "message %d was sent to host %d %v after the grace", id, host, -left)
		} else if !c.seen || left < c.Margin {
			c.Margin, c.seen = left, true
		}
	}
	m := c.messages[id]
	if m == nil {
		return
	}
	if m.answered {
		c.broke(1, at, "message %d was sent after its answer", id)
	}
	if n >= c.l.Attempts {
		c.broke(5, at, "message %d has attempt %d", id, n+1)
	}
	for i, a := range m.attempts {
		switch {
		case a.never:
		case m.Once:
			c.broke(2, at, "message %d, which must not run twice, goes again while attempt %d may have run", id, i+1)
		case m.Keyed && (a.group != group || at-a.at > m.KeyTime):
			c.broke(2, at, "message %d goes out of its key's group or time while attempt %d may have run", id, i+1)
		}
	}
	m.attempts = append(m.attempts, attempt{at: at, group: group})
}

// NeverRan says that an attempt is proven not to have run.
func (c *Checker) NeverRan(id uint64, n int) {
	if m := c.messages[id]; m != nil && n < len(m.attempts) {
		m.attempts[n].never = true
	}
}

// Answered says that a message has had its final answer; harmless that it says that
// trying again is.
func (c *Checker) Answered(at time.Duration, id uint64, harmless bool) {
	m := c.messages[id]
	if m == nil {
		return
	}
	if m.answered {
		c.broke(1, at, "message %d is answered twice", id)
	}
	m.answered = true
	if at > m.Deadline+c.l.Slack {
		c.broke(1, at, "message %d is answered %v late", id, at-m.Deadline)
	}
	if harmless && m.Once {
		for i, a := range m.attempts {
			if !a.never {
				c.broke(2, at, "message %d, which must not run twice, is refused as harmless though attempt %d may have run", id, i+1)
			}
		}
	}
}

// Told says that a dispatcher was told whether a host takes new work.
func (c *Checker) Told(at time.Duration, dispatcher, host int, serves bool) {
	key := [2]int{dispatcher, host}
	if serves {
		delete(c.told, key)
	} else if _, already := c.told[key]; !already {
		c.told[key] = at
	}
}

// Forget says that a dispatcher has started anew and knows what it is told next.
func (c *Checker) Forget(dispatcher int) {
	for key := range c.told {
		if key[0] == dispatcher {
			delete(c.told, key)
		}
	}
}

// Fell says that a cold host was pushed over.
func (c *Checker) Fell(at time.Duration, host int) { c.broke(4, at, "host %d was pushed over", host) }

// End closes the run: what is past its deadline and has no answer is lost.
func (c *Checker) End(at time.Duration) {
	lost := 0
	for _, m := range c.messages {
		if !m.answered && at > m.Deadline+c.l.Slack {
			lost++
		}
	}
	if lost > 0 {
		c.broke(1, at, "%d messages have no answer", lost)
	}
}
