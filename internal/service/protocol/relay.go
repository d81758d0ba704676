package protocol

import "time"

// Relay asks a dispatcher that may connect to a sender of a service to make one attempt for the caller, which may not:
// there are more dispatchers than connections. It is only sent to dispatchers whose sessions say that they answer it.
type Relay struct {
	Service     string
	Head        Head
	Body        []byte
	StartWithin time.Duration // no attempt begins later than this after the request was received: the caller's lease may have ended
}

// RelayReply answers Relay with the result of the attempt.
type RelayReply struct {
	Verdict    uint8 // of package verdict
	Status     int   // of the response; 0 if none was received whole
	Seal       string
	RetryAfter time.Duration // negative if the response has none
	Answered   bool
	TimedOut   bool
	Cause      string // why there was no valid response; empty if there was one
}

// CancelRelay asks a dispatcher to end an attempt that it makes for the caller. The attempt's own reply tells its result.
type CancelRelay struct{ ID string }

// CancelRelayReply answers CancelRelay.
type CancelRelayReply struct{}
