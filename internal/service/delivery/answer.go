package delivery

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"yardwharf/internal/service/balance"
	"yardwharf/internal/service/verdict"
)

// Statuses with a meaning of their own.
const (
	statusFailed      = http.StatusInternalServerError
	statusImpossible  = http.StatusUnprocessableEntity
	statusConflict    = http.StatusConflict
	statusMisdirected = http.StatusMisdirectedRequest
	statusTimeout     = http.StatusGatewayTimeout
)

const (
	loadFields     = 3
	retryAfterMost = time.Minute
)

// answer is an answer that repeats the id of its message.
type answer struct {
	status   int
	header   http.Header
	err      error // its body did not come whole
	reusable bool  // its connection may carry another request
	idleFor  time.Duration
}

// judge fills a result in. That a message has not run is told by the head alone; all
// else counts only where the answer came whole.
func (a *answer) judge(result *Result) {
	result.Load = parseLoad(a.header.Get(headerLoad))
	result.RetryAfter = parseRetryAfter(a.header.Get(headerRetryAfter))
	success := a.status/100 == 2
	notExecuted := a.header.Get(headerNotExecuted) != "" || a.status == statusMisdirected
	switch {
	case notExecuted && !success:
		result.Status, result.Verdict = a.status, verdict.NotRun
	case a.err != nil:
		result.Err = Class.Wrap(a.err)
	case success && !notExecuted && a.header.Get(headerSeal) != "":
		result.Status, result.Verdict, result.Seal = a.status, verdict.Ran, a.header.Get(headerSeal)
	case success:
		result.Status, result.Err = a.status, ErrNoSeal
	case a.status == statusFailed, a.status == statusImpossible:
		result.Status, result.Verdict = a.status, verdict.Ran
	default:
		result.Status = a.status
	}
}

// parseLoad reads running, waiting and slots.
func parseLoad(text string) *balance.Load {
	fields := strings.Split(text, ",")
	if len(fields) != loadFields {
		return nil
	}
	var numbers [loadFields]int
	for i, field := range fields {
		n, err := strconv.Atoi(strings.TrimSpace(field))
		if err != nil || n < 0 {
			return nil
		}
		numbers[i] = n
	}
	return &balance.Load{Running: numbers[0], Waiting: numbers[1], Slots: numbers[2]}
}

// parseRetryAfter reads a number of seconds.
func parseRetryAfter(text string) time.Duration {
	told, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(told >= 0) {
		return NoRetryAfter
	}
	return time.Duration(min(told, retryAfterMost.Seconds()) * float64(time.Second))
}
