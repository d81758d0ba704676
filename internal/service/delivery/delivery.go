// Package delivery carries messages to senders, and news of their ends to the
// receivers of call-backs, over HTTP/1.1.
//
// Deliveries use connections of their own with the parser of net/http. Package
// net/http's Transport sends a request again by itself where it holds that to be
// safe; here nothing is sent twice by one Deliver once a byte of it was written.
package delivery

import (
	"time"

	"github.com/zeebo/errs"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

// Class is the class of errors that this package makes.
var Class = errs.Class("delivery")

// Errors that tell why a delivery has no valid answer.
var (
	ErrNoConnection = Class.New("the sender's connections are all in use")
	ErrForeign      = Class.New("the answer belongs to another request")
	ErrUnasked      = Class.New("bytes came that nobody had asked for")
	ErrUnbounded    = Class.New("the answer does not tell where its body ends")
	ErrTooLarge     = Class.New("the answer is too large")
	ErrNoSeal       = Class.New("the success has no seal")
	ErrInvalid      = Class.New("the message cannot be written as a request")
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

// NoRetryAfter is the RetryAfter of an answer that tells none.
const NoRetryAfter = -1

// Request is one delivery of a message.
type Request struct {
	Address        string
	Instance       string // id of the sender that is meant; empty where it is not known
	Head           protocol.Head
	Body           []byte
	Timeout        time.Duration
	MaxConnections int // to this address; 0 is no bound
}

// Result is the end of a delivery.
type Result struct {
	Verdict    verdict.Verdict
	Status     int    // of the answer; 0 where no valid one came whole
	Seal       string // of a success
	RetryAfter time.Duration
	Load       *balance.Load // as told in the answer, if it was
	Connected  bool          // a connection was had
	Reused     bool          // it had carried a request before
	TimedOut   bool
	Answered   bool // at least a part of an answer came
	Latency    time.Duration
	Err        error // nil where a valid answer came whole
}

// Succeeded reports whether the message is done.
func (r *Result) Succeeded() bool {
	return r.Verdict == verdict.Ran && r.Status/100 == 2 && r.Seal != ""
}

// Failed reports whether the attempt failed at the sender, which counts against the
// message.
func (r *Result) Failed() bool { return r.Verdict == verdict.Ran && r.Status == statusFailed }

// Impossible reports whether the message can never be done.
func (r *Result) Impossible() bool { return r.Verdict == verdict.Ran && r.Status == statusImpossible }

// Uncounted reports whether an answer came, or a part of one, that tells nothing of
// the message.
func (r *Result) Uncounted() bool {
	return r.Answered && r.Verdict == verdict.MayHaveRun && r.Err != nil
}

// Outcome is the result as the decision module takes it.
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
		return balance.NotRun // it is running already, which tells nothing of the sender
	case r.Verdict == verdict.NotRun && r.Status == statusMisdirected:
		return balance.ConnectFailed // the sender that was meant is not there
	case r.Verdict == verdict.NotRun && r.Status != 0:
		return balance.Full
	case r.Verdict == verdict.NotRun && r.dialed():
		return balance.ConnectFailed
	case r.Verdict == verdict.NotRun:
		return balance.NotRun
	case r.TimedOut || r.Status == statusTimeout:
		return balance.TimedOut
	default:
		return balance.Lost
	}
}
