package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/protocol"
	"yardwharf/internal/service/verdict"
)

// Statuses with a special meaning in the protocol between dispatchers and senders.
const (
	statusFailed      = http.StatusInternalServerError
	statusImpossible  = http.StatusUnprocessableEntity
	statusConflict    = http.StatusConflict
	statusMisdirected = http.StatusMisdirectedRequest
	statusTimeout     = http.StatusGatewayTimeout
)

const (
	loadFieldCount  = 3
	maxReportedLoad = 1 << 20 // messages or slots
	maxRetryAfter   = time.Minute
)

// senderResponse is a response that carries the id of the delivered message.
type senderResponse struct {
	status   int
	header   http.Header
	err      error // why its body could not be read whole
	reusable bool  // its connection may carry another request
	idleFor  time.Duration
}

// classify fills in a result. The head of a response suffices as evidence that a message has
// not run; everything else counts only if the whole response was received.
func (a *senderResponse) classify(result *Result) {
	result.Load = parseLoad(a.header.Get(headerLoad))
	result.RetryAfter = parseRetryAfter(a.header.Get(headerRetryAfter))
	success, seal := a.status/100 == 2, a.header.Get(headerSeal)
	notExecuted := a.header.Get(headerNotExecuted) != "" || a.status == statusMisdirected
	switch {
	case notExecuted && !success:
		result.Status, result.Verdict = a.status, verdict.NotRun
	case a.err != nil:
		result.Err = Class.Wrap(a.err)
	case success && len(seal) > protocol.MaxFieldBytes:
		result.Status, result.Err = a.status, ErrSealTooLong // no store could keep it, and a success is told only with its seal
	case success && !notExecuted && seal != "":
		result.Status, result.Verdict, result.Seal = a.status, verdict.Ran, seal
	case success:
		result.Status, result.Err = a.status, ErrNoSeal
	case a.status == statusFailed, a.status == statusImpossible:
		result.Status, result.Verdict = a.status, verdict.Ran
	default:
		result.Status = a.status
	}
}

// parseLoad parses "running,waiting,slots". It returns nil if the text is not valid or a number is out of bounds.
func parseLoad(text string) *balance.Load {
	fields := strings.Split(text, ",")
	if len(fields) != loadFieldCount {
		return nil
	}
	var numbers [loadFieldCount]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 || n > maxReportedLoad {
			return nil
		}
		numbers[i] = n
	}
	return &balance.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// parseRetryAfter parses a number of seconds, capped at maxRetryAfter.
func parseRetryAfter(text string) time.Duration {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds >= 0) {
		return NoRetryAfter
	}
	return time.Duration(min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}
