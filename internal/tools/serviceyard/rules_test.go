package serviceyard

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"yardwharf/internal/tools/standin/worker"
)

var start = time.Unix(1000, 0)

func second(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func always(time.Time, time.Time) bool { return true }

// A run is at a service to which a revision leads that counted, or may have.
func TestServiceFaults(t *testing.T) {
	c := qt.New(t)
	c.Assert(plainServiceOf(movesEvery-1), qt.Equals, plainService)
	c.Assert(plainServiceOf(movesEvery), qt.Equals, otherService)
	orders := []order{
		{revision: movesEvery, sent: second(10), acknowledged: second(11)},
		{revision: 2 * movesEvery, sent: second(20)}, // nobody knows whether it is in force
	}
	faults := func(service string, began float64) int {
		return len(ServiceFaults([]worker.Run{{ID: "m", Service: service, Began: second(began)}}, orders, always))
	}
	c.Assert(faults(plainService, 9), qt.Equals, 0)
	c.Assert(faults(otherService, 9), qt.Equals, 1)
	c.Assert(faults(otherService, 10.5), qt.Equals, 0)
	c.Assert(faults(plainService, 13.9), qt.Equals, 0)
	c.Assert(faults(plainService, 14.1), qt.Equals, 1)
	c.Assert(faults(otherService, 14.1), qt.Equals, 0)
	c.Assert(faults(plainService, 20.1), qt.Equals, 0)
	c.Assert(faults(otherService, 60), qt.Equals, 0)
	c.Assert(faults(orderedService, 60), qt.Equals, 0)
	never := func(time.Time, time.Time) bool { return false }
	c.Assert(ServiceFaults([]worker.Run{{Service: otherService, Began: second(9)}}, orders, never), qt.HasLen, 0)
}

// A message that is sent again after its success is a fault in a calm time.
func TestRepeatFaults(t *testing.T) {
	c := qt.New(t)
	runs := []worker.Run{{ID: "m", Began: second(1), Ended: second(2), Seal: "seal"}}
	repeats := []worker.Repeat{{ID: "m", At: second(2.1)}}
	c.Assert(RepeatFaults(runs, repeats, always), qt.DeepEquals, []string{"TWICE: m was sent again 100ms after its success"})
	var asked [2]time.Time
	c.Assert(RepeatFaults(runs, repeats, func(from, until time.Time) bool {
		asked = [2]time.Time{from, until}
		return false
	}), qt.HasLen, 0)
	c.Assert(asked, qt.Equals, [2]time.Time{second(1), second(2.1)})
}
