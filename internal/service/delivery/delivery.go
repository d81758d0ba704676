// Package delivery delivers messages to senders, and callbacks about their ends to
// receivers, over HTTP/1.1.
//
// Deliveries manage their own connections and use only the parser of net/http. The
// Transport of net/http retries a request by itself when it considers that safe. Here
// one call of Deliver never sends a request again once a byte of it has been written.
package delivery

import (
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

// Class is the class of errors that this package creates.
var Class = errs.Class("delivery")

// Reasons why a delivery has no valid response.
var (
	ErrNoConnection       = Class.New("all connections to the sender are in use")
	ErrForeign            = Class.New("the response belongs to another request")
	ErrUnexpectedResponse = Class.New("too many informational responses, or a protocol switch that was not requested")
	ErrUnknownLength      = Class.New("the response does not say where its body ends")
	ErrNoSeal             = Class.New("the success response has no seal")
	ErrSealTooLong        = Class.New("the seal of the success response has over %d bytes", protocol.MaxFieldBytes)
	ErrHeadTooLarge       = Class.New("the response head has over %d bytes", maxResponseHeadBytes)
	ErrInvalid            = Class.New("the message cannot be written as an HTTP request")
	ErrNotBegun           = Class.New("the delivery was called off before its first byte")
)

// Headers of the protocol between dispatchers and senders.
const (
	headerRequestID      = "X-Request-Id"
	headerOrderingKey    = "X-Ordering-Key"
	headerDeadline       = "X-Deadline-Ms"
	headerTargetInstance = "X-Target-Instance"
	headerSeal           = "X-Server-Seal"
	headerNotExecuted    = "X-Not-Executed"
	headerLoad           = "X-Server-Load"
	headerRetryAfter     = "Retry-After"
	headerKeepAlive      = "Keep-Alive"
)

// NoRetryAfter is the RetryAfter of a response without a valid Retry-After header.
const NoRetryAfter = -1

// Request describes one delivery of a message.
type Request struct {
	Address        string
	Instance       string // id of the intended sender; empty if unknown
	Head           protocol.Head
	Body           []byte
	Timeout        time.Duration
	MaxConnections int // to this address; 0 means no limit

	MayBegin func() bool // asked right before the first byte is written; nil: it always may
}

// Result is the outcome of a delivery.
type Result struct {
	Verdict    verdict.Verdict
	Status     int    // of the response; 0 if no valid one was received whole
	Seal       string // X-Server-Seal of a success
	RetryAfter time.Duration
	Load       *balance.Load // from the response; nil if it reports none
	Connected  bool          // there was a connection
	Reused     bool          // the connection had carried a request before
	TimedOut   bool
	Answered   bool // at least part of a response was received
	Latency    time.Duration
	Err        error // nil if a valid response was received whole
}

// Succeeded reports whether the sender completed the message and sealed the response.
func (r *Result) Succeeded() bool {
	return r.Verdict == verdict.Ran && r.Status/100 == 2 && r.Seal != ""
}

// Failed reports whether the attempt failed at the sender, which counts against the
// message.
func (r *Result) Failed() bool { return r.Verdict == verdict.Ran && r.Status == statusFailed }

// Impossible reports whether the sender declared that the message can never be executed.
func (r *Result) Impossible() bool { return r.Verdict == verdict.Ran && r.Status == statusImpossible }

// Inconclusive reports whether at least part of a response was received, but none that says
// what became of the message.
func (r *Result) Inconclusive() bool {
	return r.Answered && r.Verdict == verdict.MayHaveRun && r.Err != nil
}

// Outcome returns the result in the form that the decision module takes.
func (r *Result) Outcome() balance.Outcome {
	return balance.Outcome{Status: r.outcomeStatus(), Latency: r.Latency, Load: r.Load}
}

func (r *Result) outcomeStatus() balance.Status {
	switch {
	case r.Succeeded():
		return balance.Succeeded
	case r.Failed():
		return balance.Failed
	case r.Impossible():
		return balance.Refused
	case r.Verdict == verdict.NotRun && r.Status == statusConflict:
		return balance.NotRun // already running, which says nothing about the sender
	case r.Verdict == verdict.NotRun && r.Status == statusMisdirected:
		return balance.ConnectFailed // the intended sender is not at this address
	case r.Verdict == verdict.NotRun && r.Status != 0:
		return balance.Full
	case r.Verdict == verdict.NotRun && r.dialFailed():
		return balance.ConnectFailed
	case r.Verdict == verdict.NotRun:
		return balance.NotRun
	case r.TimedOut || r.Status == statusTimeout:
		return balance.TimedOut
	default:
		return balance.Lost
	}
}
