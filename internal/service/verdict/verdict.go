// Package verdict classifies requests to other processes by whether they may have
// run there.
package verdict

import (
	"errors"

	"github.com/zeebo/errs"
)

// Verdict says whether a request may have run.
type Verdict uint8

// The verdicts. The zero value is the conservative one.
const (
	MayHaveRun Verdict = iota
	NotRun             // it has not run and never will
	Ran                // it has run to its end
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Class is the class of errors that this package creates.
var Class = errs.Class("request")

// Error is an error with a verdict.
type Error struct {
	Verdict Verdict
	Err     error
}

// New wraps an error with a verdict.
func New(verdict Verdict, err error) error {
	return &Error{Verdict: verdict, Err: Class.Wrap(err)}
}

// Error returns the text of the wrapped error and the verdict.
func (e *Error) Error() string { return e.Err.Error() + " (" + e.Verdict.String() + ")" }

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of an error: MayHaveRun if it carries none.
func Of(err error) Verdict {
	var withVerdict *Error
	if errors.As(err, &withVerdict) {
		return withVerdict.Verdict
	}
	return MayHaveRun
}
