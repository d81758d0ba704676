package register

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// An order that was taken is taken again however many changes came after it, as
// long as the history has it; beyond that it is not refused, as nobody knows.
func TestOrderOlderThanTheHistory(t *testing.T) {
	c := qt.New(t)
	value := InitialValue([]string{"a"})
	raw := func(revision int64) []byte { return []byte{byte(revision), byte(revision >> 8)} }
	const changes = 2000
	for revision := int64(1); revision <= changes; revision++ {
		next, outcome := Replace(revision-1, revision, raw(revision))(value)
		c.Assert(outcome, qt.Equals, Taken)
		value = follow(value, next)
	}
	c.Assert(value.History, qt.HasLen, HistoryLimit)
	outcome := func(base, revision int64, content []byte) Outcome {
		_, outcome := Replace(base, revision, content)(value)
		return outcome
	}
	for revision := int64(1); revision <= changes; revision++ {
		got := outcome(revision-1, revision, raw(revision))
		if revision > changes-HistoryLimit {
			c.Assert(got, qt.Equals, Taken)
		} else {
			c.Assert(got, qt.Equals, Forgotten)
		}
	}
	c.Assert(outcome(changes-2, changes, []byte("another")), qt.Equals, Stale)
	c.Assert(outcome(changes-2, changes+1, []byte("another")), qt.Equals, Stale)
	c.Assert(outcome(changes, changes, []byte("another")), qt.Equals, Invalid)
	c.Assert(outcome(changes, changes+1, []byte("next")), qt.Equals, Taken)
}
