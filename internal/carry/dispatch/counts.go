package dispatch

import (
	"time"

	"yardwharf"
)

// Counts are what has become of the messages of one class.
type Counts struct {
	Taken, InTime, Late, Refused, Failed, Left uint64
	Relays, Crossed                            uint64        // attempts, and those into another zone
	Delay                                      time.Duration // of those served, from when they were taken
}

// counter counts messages by class.
type counter struct {
	classes []yardwharf.Class
	counts  []Counts
}

func (c *counter) of(class int) *Counts {
	if class < 0 || class >= len(c.counts) {
		return &Counts{} // one that the settings have not
	}
	return &c.counts[class]
}

// served books an answer. It is in time where the wait was within the class's aim, besides as
// much of its own run as the class bears.
func (c *counter) served(class int, took, ran time.Duration) {
	k := c.of(class)
	k.Delay += took
	if class >= 0 && class < len(c.classes) {
		if s := &c.classes[class]; took > s.Aim+time.Duration(max(1, s.Stretch)*float64(ran)) {
			k.Late++
			return
		}
	}
	k.InTime++
}

// Counts are those of all classes, in the settings' order; they are the Dispatcher's.
func (d *Dispatcher) Counts() []Counts { return d.counter.counts }
