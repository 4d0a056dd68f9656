// Package pwverdict defines the errors that cross module boundaries. Each error states
// whether the failed work may have run, so that a caller can decide whether a retry is
// safe.
//
// # Usage
//
//	err := pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "backend server is leaving")
//	if pwverdict.VerdictOf(err) == pwverdict.NotRun {
//		// safe to send the request to another backend server
//	}
//
// An error without a verdict counts as MayHaveRun, the only verdict that is never wrong.
package pwverdict

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
)

// Verdict states whether a piece of work has run.
type Verdict uint8

const (
	// MayHaveRun means that it isn't known whether the work has run. It is the zero
	// value, so that a verdict that was never set makes no false claim.
	MayHaveRun Verdict = iota
	// NotRun means that the work has not run and will not run later.
	NotRun
	// Ran means that the work ran to completion.
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

// Parse returns the Verdict whose String is name, or MayHaveRun for unknown names.
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

// Cause is a machine-readable reason for a refusal or failure.
type Cause string

// Causes, as they are written to responses and logs.
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

// Error is an error with a verdict and a cause. It is created by New or Wrap.
type Error struct {
	verdict    Verdict
	cause      Cause
	detail     string
	retryAfter time.Duration
	err        error
}

// New returns an error with a verdict, a cause and a human-readable message.
func New(v Verdict, cause Cause, format string, args ...any) *Error {
	return &Error{
		verdict: v,
		cause:   cause,
		detail:  fmt.Sprintf(format, args...),
	}
}

// Wrap returns an error that adds a verdict, a cause and a human-readable message to
// err and records the source location of the caller.
func Wrap(err error, v Verdict, cause Cause, format string, args ...any) *Error {
	return &Error{
		verdict: v,
		cause:   cause,
		detail:  fmt.Sprintf(format, args...),
		err:     merry.WrapSkipping(err, 1),
	}
}

// WithRetryAfter returns a copy of e that advises to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.retryAfter = d
	return &c
}

// Verdict returns the verdict of the error.
func (e *Error) Verdict() Verdict { return e.verdict }

// Cause returns the machine-readable reason for the error.
func (e *Error) Cause() Cause { return e.cause }

// Detail returns the human-readable message, without the wrapped error.
func (e *Error) Detail() string { return e.detail }

// RetryAfter returns the advised delay before a retry; 0 means no advice.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error returns the cause, the verdict, the message and the wrapped error as text.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.cause, e.verdict, e.detail)
	if e.err != nil {
		s += ": " + e.err.Error()
	}
	return s
}

// Unwrap returns the wrapped error.
func (e *Error) Unwrap() error { return e.err }

// VerdictOf returns the verdict of err, or MayHaveRun if it has none.
func VerdictOf(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.verdict
	}
	return MayHaveRun
}

// CauseOf returns the cause of err. Without a cause it is CauseDeadlineExceeded or
// CauseCancelled for the errors of a context that has ended, and CauseInternal for all
// others.
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

// AsError returns the *Error in the chain of err. If there is none, it wraps err in one
// with the verdict MayHaveRun.
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
