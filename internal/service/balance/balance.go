// Package balance chooses the sender of each delivery to one service. A Driver
// feeds the decision module, package yardwharf, with senders, messages and
// outcomes, and hands its decisions to the dispatcher as typed actions.
//
// A Driver does no input or output, keeps no clock and starts no goroutine.
// Its methods must not run at the same time, and Actions must not call back
// into it. Moments are given as time since the start of the process.
package balance

import (
	"time"

	"yardwharf/internal/service/distance"
)

// AttemptID names one delivery of a message.
type AttemptID struct {
	Request uint64
	Number  int
}

// Attempt is a delivery that is to be made now.
type Attempt struct {
	ID             AttemptID
	Address        string
	Instance       string // id of the sender; empty where it is not known
	MaxConnections int    // to this sender; 0 is no bound
}

// Actions carries out the decisions of a Driver.
type Actions interface {
	// Send starts a delivery. Exactly one Ended must follow.
	Send(message string, attempt Attempt)
	// GiveBack says that no sender could be had in time. The Driver has forgotten
	// the message; it has not run, and is to be submitted again after the wait.
	GiveBack(message string, wait time.Duration)
	// SetTimer asks for a call of Timer after so long, in place of the one asked for before.
	SetTimer(after time.Duration)
}

// Sender is an entry of the list of senders.
type Sender struct {
	ID         string // empty for an endpoint at a fixed address
	Address    string
	Zone       string
	Slots      int // 0 where not known
	Draining   bool
	WarmupLeft time.Duration // how much longer it is slow after its start
}

// Load is the load that a sender reports in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// Status says how a delivery ended.
type Status uint8

// The statuses.
const (
	Lost          Status = iota // it may have run: reset, closed, or no valid answer
	Succeeded                   // with a seal
	Failed                      // the sender answered that this attempt failed
	Refused                     // the message can never be done
	TimedOut                    // it may have run; nothing came back in time
	Full                        // not run: the sender has no room
	ConnectFailed               // not run: no byte was written
	NotRun                      // not run, for a reason that tells nothing of the sender
)

// provesNotRun reports whether the message has not run and will not, so that the
// decision module may choose another sender by itself.
func (s Status) provesNotRun() bool {
	return s == Full || s == ConnectFailed || s == NotRun
}

// Outcome is the end of a delivery.
type Outcome struct {
	Status  Status
	Latency time.Duration
	Load    *Load // nil where the answer told none
}

// Options are what a Driver is told when it begins. Zero values stand for defaults.
type Options struct {
	Zone           string
	Zones          []string
	Regions        distance.Map // of the zones
	Dispatchers    int          // how many share the senders; 1 for a service with a rate
	Me             int          // this dispatcher's place among them
	Seed           uint64
	MaxConnections int           // that a sender takes from all dispatchers together; 0: not known
	Timeout        time.Duration // of one delivery
	HoldFor        time.Duration // how long a message waits here for a sender
	HoldMost       int           // how many messages wait here
	CrossZonePrice float64       // price of a delivery into another zone, as worth of a message
}
