package simulation

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	contact     = 4 * time.Second
	answerSlack = 50 * time.Millisecond // a success counts for TWICE if it came so long before the time-out
	applyTime   = 3 * time.Second
	skewTime    = 12 * time.Second
	rollback    = 250 * time.Millisecond
	drainTime   = 3 * time.Second
	window      = 5 * time.Second
	overshoot   = 1.1
	windowExtra = 5
	heldUpMost  = 100 * time.Millisecond
	earlyMost   = 100 * time.Millisecond
	breaksMost  = 40
)

// checker judges a journal.
type checker struct {
	journal *journal
	report  *Report
}

// check judges the run; final is the configuration that was read at its end.
func (w *world) check(final string) Report {
	j := w.journal
	j.mutex.Lock()
	defer j.mutex.Unlock()
	report := Report{Seed: w.options.Seed, Breaks: slices.Clone(j.breaks)}
	c := &checker{j, &report}
	c.count()
	for _, m := range j.list {
		c.checkMessage(m)
	}
	c.checkOrder()
	c.checkCeiling()
	c.checkConfiguration(final)
	c.checkRegress()
	c.checkReads()
	c.checkHistories()
	c.checkRecovery(startTime + w.options.load())
	if len(report.Breaks) > breaksMost {
		report.Breaks = append(report.Breaks[:breaksMost], fmt.Sprintf("and %d more", len(report.Breaks)-breaksMost))
	}
	return report
}

func (c *checker) broken(rule, format string, values ...any) {
	c.report.Breaks = append(c.report.Breaks, rule+" "+fmt.Sprintf(format, values...))
}

func (c *checker) count() {
	for _, m := range c.journal.list {
		c.report.Sent++
		c.report.Runs += len(m.attempts)
		if m.refused {
			c.report.Refused++
		}
		if m.accepted > 0 {
			c.report.Accepted++
			if _, ended := m.endedAt(); ended {
				c.report.Ended++
			}
		}
	}
	for _, o := range c.journal.orders {
		if o.acknowledged > 0 {
			c.report.Orders++
		}
	}
	for _, t := range c.journal.troubles {
		c.report.Faults = append(c.report.Faults, fmt.Sprintf("%s %s %v-%v", t.kind, t.machine, t.from, t.until))
	}
}

// endedAt returns when a message ended: success, 422, or the last failure allowed.
func (m *message) endedAt() (time.Duration, bool) {
	failures := 0
	first := time.Duration(1 << 62)
	for _, a := range m.attempts {
		switch {
		case a.ended == 0:
			continue
		case a.status == http.StatusInternalServerError:
			if failures++; failures < maxRetries {
				continue
			}
		}
		first = min(first, a.ended)
	}
	return first, first != 1<<62
}

// succeeded reports whether a seal is that of a successful run.
func (m *message) succeeded(seal string) bool {
	return seal != "" && slices.ContainsFunc(m.attempts, func(a attempt) bool { return a.seal == seal })
}

func (c *checker) checkMessage(m *message) {
	if m.refused && len(m.attempts) > 0 {
		c.broken("REFUSED", "%s ran at %v", m.id, m.attempts[0].begun)
	}
	if len(m.attempts) > 0 && m.attempts[0].begun < m.sent+m.delay-earlyMost {
		c.broken("EARLY", "%s, sent at %v for %v later, ran at %v", m.id, m.sent, m.delay, m.attempts[0].begun)
	}
	c.checkTwice(m)
	for _, a := range m.attempts {
		c.checkDrain(m, a)
	}
	_, ended := m.endedAt()
	for _, back := range m.callbacks {
		c.checkTold(m, back, "call-back")
	}
	if m.accepted == 0 {
		return
	}
	if m.callback && ended && len(m.callbacks) == 0 {
		c.broken("CALLBACK", "%s has ended and none came", m.id)
	}
	c.checkFinal(m, ended)
}

func (c *checker) checkTold(m *message, end told, by string) {
	_, ended := m.endedAt()
	switch {
	case end.State == "completed" && !m.succeeded(end.Stamp):
		c.broken("MIXED", "%s: %s reports %q with stamp %q", m.id, by, end.State, end.Stamp)
	case end.State == "dead_letter" && !ended:
		c.broken("MIXED", "%s: %s reports a dead letter, it has not ended", m.id, by)
	}
}

// checkFinal judges what the system says of an accepted message at the end.
func (c *checker) checkFinal(m *message, ended bool) {
	c.checkTold(m, m.finalState, "state")
	if !ended {
		switch {
		case m.finalState.State != "queued":
			c.broken("LOST", "%s (%s, accepted %v, %d attempts) has not ended and is reported as %q (status %d)",
				m.id, m.route, m.accepted, len(m.attempts), m.finalState.State, m.finalStatus)
		case m.bodyStatus != http.StatusOK || m.finalBody != m.body:
			c.broken("LOST", "%s: its body came back with status %d, %d of %d bytes", m.id, m.bodyStatus, len(m.finalBody), len(m.body))
		default:
			c.broken("UNENDED", "%s (%s %s, accepted %v, %d attempts) has not ended", m.id, m.route, m.key, m.accepted, len(m.attempts))
		}
		return
	}
	if m.finalState.State == "" {
		c.broken("STATE", "%s has ended, its state is not told (status %d)", m.id, m.finalStatus)
	}
}

// quiet reports whether no trouble touched a span. Planned work counts as none.
func (c *checker) quiet(from, until time.Duration) bool {
	return !slices.ContainsFunc(c.journal.troubles, func(t *trouble) bool {
		return !isPlanned(t.kind) && t.from <= until && t.until >= from-contact
	})
}

// inTouch reports whether a machine and the core had no trouble for a time.
func (c *checker) inTouch(machine string, from, until time.Duration) bool {
	return !slices.ContainsFunc(c.journal.troubles, func(t *trouble) bool {
		own := t.machine == machine
		core := strings.HasPrefix(t.machine, "10.2.") || strings.HasPrefix(t.machine, "10.3.")
		return (own || core) && t.from <= until && t.until >= from
	})
}

func (c *checker) checkTwice(m *message) {
	for i, a := range m.attempts {
		if a.status != http.StatusOK || a.ended-a.begun > routeTimeoutMs*time.Millisecond-answerSlack {
			continue
		}
		for _, b := range m.attempts[i+1:] {
			if b.begun > a.ended && c.quiet(a.begun, b.begun) {
				c.broken("TWICE", "%s ran at %v and again at %v", m.id, a.begun, b.begun)
			}
		}
	}
}

func (c *checker) checkDrain(m *message, a attempt) {
	shown, drained := c.journal.drained[a.sender]
	if drained && a.begun > shown+drainTime && c.inTouch(a.dispatcher, a.begun-contact-skewTime, a.begun) {
		c.broken("DRAIN", "%s reached %s at %v, which the list showed as leaving at %v", m.id, a.sender, a.begun, shown)
	}
}

// checkOrder judges the order of the messages of each key.
func (c *checker) checkOrder() {
	byKey := map[string][]*message{}
	for _, m := range c.journal.list {
		if m.key != "" {
			byKey[m.key] = append(byKey[m.key], m)
		}
	}
	for key, list := range byKey {
		for _, later := range list {
			for _, earlier := range list {
				c.checkPair(key, earlier, later)
			}
		}
	}
}

func (c *checker) checkPair(key string, earlier, later *message) {
	if earlier.accepted == 0 || earlier.accepted >= later.sent || len(later.attempts) == 0 {
		return
	}
	if ended, ok := earlier.endedAt(); !ok || ended > later.attempts[0].begun {
		c.broken("ORDER", "%s: %s (sent %v) began at %v before the end of %s (accepted %v, ended %v %v)",
			key, later.id, later.sent, later.attempts[0].begun, earlier.id, earlier.accepted, ok, ended)
	}
}

func (c *checker) checkCeiling() {
	arrivals := slices.DeleteFunc(slices.Sorted(slices.Values(c.journal.arrivals["rated"])), c.heldUp)
	most := int(rate*window.Seconds()*overshoot) + windowExtra
	for i := range arrivals {
		count := 0
		for _, at := range arrivals[i:] {
			if at-arrivals[i] > window {
				break
			}
			count++
		}
		if count > most {
			c.broken("CEILING", "%d arrivals within %v from %v, %d are allowed", count, window, arrivals[i], most)
			return
		}
	}
}

// heldUp reports whether an arrival came while senders, or the way to them, were
// held up, or just afterwards.
func (c *checker) heldUp(at time.Duration) bool {
	return slices.ContainsFunc(c.journal.troubles, func(t *trouble) bool {
		held := strings.HasPrefix(t.kind, "dark") || strings.HasPrefix(t.kind, "freeze")
		return held && t.from <= at && at <= t.until+heldUpMost
	})
}

// checkConfiguration judges acknowledgements, the final read and staleness.
func (c *checker) checkConfiguration(final string) {
	bases := map[int64]*order{}
	var newest *order
	for _, o := range c.journal.orders {
		if o.acknowledged == 0 {
			continue
		}
		if other := bases[o.base]; other != nil && other.content != o.content {
			c.broken("CONFIG", "two changes on %d were acknowledged", o.base)
		}
		bases[o.base] = o
		if newest == nil || o.revision > newest.revision {
			newest = o
		}
	}
	found := slices.IndexFunc(c.journal.orders, func(o *order) bool { return o.content == final && !o.refused })
	switch {
	case newest == nil:
		c.broken("CONFIG", "no order was acknowledged")
	case final == "":
		c.broken("CONFIG", "the configuration cannot be read")
	case found < 0:
		c.broken("CONFIG", "the configuration in force was never sent, or was refused")
	case c.journal.orders[found].revision < newest.revision:
		c.broken("LOST", "revision %d was acknowledged, %d is in force", newest.revision, c.journal.orders[found].revision)
	}
	for _, m := range c.journal.list {
		for _, a := range m.attempts {
			c.checkStale(m, a, newest)
		}
	}
}

// checkStale judges whether a run was allowed by a version that was new enough when it
// began, however long the message had waited.
func (c *checker) checkStale(m *message, a attempt, newest *order) {
	kind, changed := changedKind(a.service)
	if !changed || newest == nil || !c.inTouch(a.dispatcher, a.begun-contact-skewTime, a.begun) {
		return
	}
	least := int64(0)
	for _, o := range c.journal.orders {
		if o.acknowledged > 0 && o.acknowledged+applyTime < a.begun {
			least = max(least, o.revision)
		}
	}
	allowed := slices.ContainsFunc(c.journal.orders, func(o *order) bool {
		return o.revision >= least && o.revision%changedKinds == kind && o.sent < a.begun
	})
	if !allowed {
		c.broken("CONFIG", "%s, sent at %v, ran at %v at %s; revision %d had been acknowledged", m.id, m.sent, a.begun, a.service, least)
	}
}

func changedKind(service string) (int64, bool) {
	text, found := strings.CutPrefix(service, "changed-")
	kind, err := strconv.ParseInt(text, 10, 64)
	return kind, found && err == nil
}

// effect is a run that a version of the configuration led to.
type effect struct {
	message  *message
	at       time.Duration
	kind     int64
	revision int64 // the oldest that can have had the effect
}

// checkRegress judges whether a dispatcher went back to an older version within one
// life. Several versions may have had an effect: the runs are given the oldest ones
// that are no regress, and one for which there is none is a regress for certain.
func (c *checker) checkRegress() {
	byMachine := map[string][]*effect{}
	for _, m := range c.journal.list {
		for _, a := range m.attempts {
			if kind, changed := changedKind(a.service); changed {
				byMachine[a.dispatcher] = append(byMachine[a.dispatcher], &effect{message: m, at: a.begun, kind: kind})
			}
		}
	}
	for machine, effects := range byMachine {
		slices.SortFunc(effects, func(a, b *effect) int { return cmp.Compare(a.at, b.at) })
		for i, e := range effects {
			var floor *effect
			for _, seen := range effects[:i] {
				if seen.at+rollback < e.message.sent && (floor == nil || seen.revision > floor.revision) && c.oneLife(machine, seen.at, e.at) {
					floor = seen
				}
			}
			var found bool
			if e.revision, found = c.oldestOf(e.kind, floor, e.at); !found {
				c.broken("CONFIG", "%s went back from revision %d or later at %v for %s%s", machine, floor.revision, floor.at, e.message.id, c.storyOf(e.message.id))
				return
			}
		}
	}
}

// oldestOf returns the oldest revision of a kind that was sent before a moment, and
// is not older than one whose effect was seen.
func (c *checker) oldestOf(kind int64, floor *effect, at time.Duration) (int64, bool) {
	oldest, found := int64(0), false
	for _, o := range c.journal.orders {
		if o.revision%changedKinds != kind || o.sent >= at || floor != nil && o.revision < floor.revision {
			continue
		}
		if !found || o.revision < oldest {
			oldest, found = o.revision, true
		}
	}
	return oldest, found
}

// oneLife reports whether a machine's processes ran on between two moments.
func (c *checker) oneLife(machine string, from, until time.Duration) bool {
	return !slices.ContainsFunc(c.journal.troubles, func(t *trouble) bool {
		return t.machine == machine && t.from <= until && t.until >= from
	})
}
