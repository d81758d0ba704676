package coordination

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	order   = []string{"a", "b", "c"}
	started = time.Unix(1000, 0)
)

func everyone(string) bool { return true }
func nobody(string) bool   { return false }

func TestAtTheStartTheFirstReads(t *testing.T) {
	c := qt.New(t)
	first, second := election{self: "a", started: started}, election{self: "b", started: started}
	c.Assert(first.reads(started, order, everyone, listState{}), qt.IsFalse)
	c.Assert(first.reads(started.Add(startupPause), order, nobody, listState{}), qt.IsTrue)
	c.Assert(second.reads(started.Add(time.Second), order, everyone, listState{}), qt.IsFalse)
	c.Assert(second.reads(started.Add(startupPause), order, nobody, listState{}), qt.IsTrue)
	c.Assert(second.reads(started.Add(takeoverAfter+takeoverStep), order, everyone, listState{}), qt.IsTrue,
		qt.Commentf("the first answers but does not read"))
}

func TestAMemberThatIsNotListedComesLast(t *testing.T) {
	c := qt.New(t)
	stranger := election{self: "x", started: started}
	c.Assert(stranger.reads(started.Add(takeoverAfter+2*takeoverStep), order, everyone, listState{}), qt.IsFalse)
	c.Assert(stranger.reads(started.Add(takeoverAfter+3*takeoverStep), order, everyone, listState{}), qt.IsTrue)
}

func TestTheReaderGoesOn(t *testing.T) {
	c := qt.New(t)
	last := election{self: "c", started: started}
	list := listState{held: true, mine: true, due: started}
	c.Assert(last.reads(started.Add(time.Hour), order, everyone, list), qt.IsTrue)
}

func TestAnotherTakesOverWhenNoConfirmationComes(t *testing.T) {
	c := qt.New(t)
	due := started.Add(time.Minute)
	list := listState{held: true, due: due}
	alive := func(member string) bool { return member != "a" }
	second, third := election{self: "b", started: started}, election{self: "c", started: started}
	c.Assert(second.reads(due, order, alive, list), qt.IsFalse)
	c.Assert(second.reads(due.Add(takeoverAfter-time.Millisecond), order, alive, list), qt.IsFalse)
	c.Assert(second.reads(due.Add(takeoverAfter), order, alive, list), qt.IsTrue)
	c.Assert(third.reads(due.Add(takeoverAfter), order, alive, list), qt.IsFalse)
	list.due = due.Add(time.Second)
	c.Assert(second.reads(due.Add(takeoverAfter), order, alive, list), qt.IsFalse, qt.Commentf("confirmed again"))
}

func TestARestartedMemberWaitsForTheConfirmationOfAnothersList(t *testing.T) {
	c := qt.New(t)
	restarted := election{self: "a", started: started}
	list := listState{held: true, due: started.Add(-time.Hour)}
	c.Assert(restarted.reads(started.Add(startupPause), order, everyone, list), qt.IsFalse)
	c.Assert(restarted.reads(started.Add(takeoverAfter), order, everyone, list), qt.IsTrue)
}
