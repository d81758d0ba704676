// Package balance chooses the sender of each delivery to one service. A Driver
// passes senders, messages and outcomes to the decision module, package yardwharf,
// and its decisions to the dispatcher through Actions.
//
// A Driver does no I/O, reads no clock and starts no goroutine. Its methods must
// not be called concurrently, and Actions must not call back into it. Times are
// durations since the start of the process.
package balance

import (
	"time"

	"yardwharf/internal/service/distance"
)

// AttemptID identifies one delivery of a message.
type AttemptID struct {
	Request uint64
	Number  int
}

// Attempt describes a delivery to start now.
type Attempt struct {
	ID             AttemptID
	Address        string
	Instance       string // ID of the sender; empty if unknown
	MaxConnections int    // to this sender; 0 means no limit
}

// Actions carries out the decisions of a Driver.
type Actions interface {
	// Send starts a delivery. Exactly one Ended must follow.
	Send(message string, attempt Attempt)
	// GiveBack returns a message for which no sender was available in time. The Driver
	// no longer has it; it has not run, and should be submitted again after the wait.
	GiveBack(message string, wait time.Duration)
	// SetTimer requests a call of Driver.Timer after this delay and replaces any earlier request.
	SetTimer(after time.Duration)
}

// Sender is an entry in the list of senders.
type Sender struct {
	ID         string // empty for an endpoint at a fixed address
	Address    string
	Zone       string
	Slots      int // 0 if unknown
	Draining   bool
	WarmupLeft time.Duration // remaining time for which it is slow after its start
}

// Load is the load that a sender reports in a response.
type Load struct {
	Running, Waiting, Slots int
}

// Status is the result of a delivery.
type Status uint8

// The statuses.
const (
	Lost          Status = iota // it may have run: connection reset or closed, or no valid response
	Succeeded                   // with a sealed response
	Failed                      // the sender reported that this attempt failed
	Refused                     // the message can never succeed
	TimedOut                    // it may have run; no response in time
	Full                        // not run: the sender is at capacity
	ConnectFailed               // not run: no byte was written
	NotRun                      // not run, for a reason unrelated to the sender
)

// provesNotRun reports whether this delivery certainly has not run and will not, so
// that the decision module may choose another sender itself.
func (s Status) provesNotRun() bool {
	return s == Full || s == ConnectFailed || s == NotRun
}

// Outcome describes how a delivery ended.
type Outcome struct {
	Status  Status
	Latency time.Duration
	Load    *Load // nil if the response had none
}

// Options configures a Driver. Zero values select defaults.
type Options struct {
	Zone           string
	Zones          []string
	Regions        distance.Map // of the zones
	Dispatchers    int          // number that share the senders; 1 for a rate-limited service
	Me             int          // index of this dispatcher among them
	Seed           uint64
	MaxConnections int           // that a sender accepts from all dispatchers together; 0 if unknown
	Timeout        time.Duration // of one delivery
	MaxWait        time.Duration // maximum time a message waits here for a sender
	MaxWaiting     int           // maximum number of messages that wait here
	CrossZonePrice float64       // cost of a delivery to another zone, in units of a message's worth
}
