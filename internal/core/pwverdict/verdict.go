// Package pwverdict defines the errors that cross module boundaries. Each one
// says whether the work behind it may have run, so that a caller can decide
// whether a repetition is safe.
//
// # Usage
//
//	err := pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "backend server is leaving")
//	if pwverdict.Of(err) == pwverdict.NotRun {
//		// safe to send the request to another backend server
//	}
//
// An error without a verdict counts as MayHaveRun, which is the only answer
// that is never wrong.
package pwverdict

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict says whether a piece of work may have run.
type Verdict uint8

const (
	// MayHaveRun means that the outcome is not known. It is the zero value,
	// so that a forgotten verdict never claims too much.
	MayHaveRun Verdict = iota
	// NotRun means that the work did not run and never will.
	NotRun
	// Ran means that the work ran to its end.
	Ran
)

// String returns the name used in the public interface and in logs.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "may_have_run"
	}
}

// Parse is the inverse of String. Unknown names give MayHaveRun.
func Parse(name string) Verdict {
	switch name {
	case "not_run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Cause is a short machine-readable reason of a refusal or failure.
type Cause string

// Causes that callers, operators and tests see.
const (
	CauseBadRequest          Cause = "bad_request"
	CauseUnauthenticated     Cause = "unauthenticated"
	CauseNotFound            Cause = "not_found"
	CauseConflict            Cause = "conflict"
	CauseQueueFull           Cause = "queue_full"
	CauseDeadlineUnreachable Cause = "deadline_unreachable"
	CauseDeadlineExceeded    Cause = "deadline_exceeded"
	CauseNoCandidate         Cause = "no_candidate"
	CauseMemoryFull          Cause = "memory_full"
	CauseConcurrencyFull     Cause = "concurrency_full"
	CauseClassFull           Cause = "class_full"
	CausePrefillBusy         Cause = "prefill_busy"
	CauseWarmingUp           Cause = "warming_up"
	CauseDraining            Cause = "draining"
	CauseOutOfService        Cause = "out_of_service"
	CauseStaleFence          Cause = "stale_fence"
	CauseRetryBudget         Cause = "retry_budget"
	CauseQuarantined         Cause = "quarantined"
	CauseNotIsolated         Cause = "not_isolated"
	CauseKeyReused           Cause = "key_reused"
	CauseInProgress          Cause = "in_progress"
	CauseUnavailable         Cause = "unavailable"
	CauseEngineFailed        Cause = "engine_failed"
	CauseCancelled           Cause = "cancelled"
	CauseInternal            Cause = "internal"
)

// Error is an error with a verdict. Create it with New or Wrap.
type Error struct {
	verdict    Verdict
	cause      Cause
	detail     string
	retryAfter time.Duration
	err        error
}

// New returns an error with a verdict, a cause and a message for people.
func New(v Verdict, cause Cause, format string, args ...any) *Error {
	return &Error{
		verdict: v,
		cause:   cause,
		detail:  fmt.Sprintf(format, args...),
	}
}

// Wrap gives err a verdict and a cause, and records where it was wrapped.
func Wrap(err error, v Verdict, cause Cause, format string, args ...any) *Error {
	return &Error{
		verdict: v,
		cause:   cause,
		detail:  fmt.Sprintf(format, args...),
		err:     merry.WrapSkipping(err, 1),
	}
}

// WithRetryAfter returns a copy of e with a delay after which a retry makes sense.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Verdict returns whether the work may have run.
func (e *Error) Verdict() Verdict { return e.verdict }

// Cause returns the machine-readable reason.
func (e *Error) Cause() Cause { return e.cause }

// Detail returns the message for people, without the wrapped error.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns the advised delay before a retry; 0 means no advice.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.cause, e.verdict, e.detail)
	if e.err != nil {
		s += ": " + e.err.Error()
	}
	return s
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// VerdictOf returns the verdict of err. Errors without one give MayHaveRun.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}

// CauseOf returns the cause of err. Errors without one give CauseInternal, or
// the cause that matches a context's end.
func CauseOf(err error) Cause {
	var e *Error
	switch {
	case errors.As(err, &e):
		return e.cause
	case errors.Is(err, context.DeadlineExceeded):
		return CauseDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return CauseCancelled
	default:
		return CauseInternal
	}
}

// AsError returns err as an *Error, giving it MayHaveRun when it has no verdict.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{
		verdict: MayHaveRun,
		cause:   CauseOf(err),
		detail:  "request failed",
		err:     err,
	}
}
