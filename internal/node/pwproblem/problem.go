// Package pwproblem converts errors to the problem documents that the HTTP APIs
// return for every refusal and failure. A problem document contains the verdict of
// the request.
//
// # Usage
//
//	pwproblem.Install() // once, before operations are registered
//	return nil, pwproblem.FromError(err)
package pwproblem

import (
	"net/http"
	"strconv"
	"strings"
	"sync"

	"github.com/danielgtaylor/huma/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
)

// Problem is a problem document (application/problem+json) with the verdict of the
// request.
type Problem struct {
	Type   string `json:"type" doc:"Kind of the problem." example:"about:blank"`
	Title  string `json:"title" doc:"Text of the status code."`
	Status int    `json:"status" doc:"HTTP status code."`
	Detail string `json:"detail,omitempty" doc:"What went wrong and what to do next."`
	// Verdict states whether the request may have run.
	Verdict      string `json:"verdict" enum:"not_run,may_have_run,ran" doc:"Whether the request may have run. not_run is always safe to send again."`
	Cause        string `json:"cause" doc:"Machine-readable reason."`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty" doc:"Milliseconds after which a repetition makes sense."`
}

// Error implements error.
func (p *Problem) Error() string { return p.Detail }

// GetStatus returns the HTTP status code.
func (p *Problem) GetStatus() int { return p.Status }

// ContentType returns the media type of problem documents.
func (p *Problem) ContentType(string) string { return "application/problem+json" }

// GetHeaders returns the Retry-After header, in whole seconds, rounded up. If the
// request was not authenticated, it also returns the expected authentication scheme.
func (p *Problem) GetHeaders() http.Header {
	h := http.Header{}
	if p.RetryAfterMS > 0 {
		h.Set("Retry-After", strconv.FormatInt((p.RetryAfterMS+999)/1000, 10))
	}
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	return h
}

// maxDetailBytes is the largest detail of a schema violation. It is limited because
// the detail repeats the rejected value.
const maxDetailBytes = 1 << 10

// FromError returns the problem document of an error.
func FromError(err error) *Problem {
	e := pwverdict.AsError(err)
	status := httpStatus(e)
	return &Problem{
		Type:         "about:blank",
		Title:        http.StatusText(status),
		Status:       status,
		Detail:       e.Detail(),
		Verdict:      e.Verdict().String(),
		Cause:        string(e.Cause()),
		RetryAfterMS: e.RetryAfter().Milliseconds(),
	}
}

func httpStatus(e *pwverdict.Error) int {
	switch e.Cause() {
	case pwverdict.CauseBadRequest:
		return http.StatusBadRequest
	case pwverdict.CauseUnauthenticated:
		return http.StatusUnauthorized
	case pwchange.CauseNotOwner:
		return http.StatusForbidden
	case pwchange.CauseLogFull:
		return http.StatusInsufficientStorage
	case pwverdict.CauseNotFound:
		return http.StatusNotFound
	case pwverdict.CauseConflict, pwverdict.CauseKeyReused, pwverdict.CauseInProgress:
		return http.StatusConflict
	case pwverdict.CauseQueueFull, pwverdict.CauseQuarantined:
		return http.StatusTooManyRequests
	case pwverdict.CauseDeadlineExceeded:
		return http.StatusGatewayTimeout
	case pwverdict.CauseInternal, pwverdict.CauseEngineFailed:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

var installOnce sync.Once

// Install makes huma return problem documents for its own errors too, such as a
// body that does not match the schema. Further calls have no effect.
func Install() { installOnce.Do(replaceNewError) }

func replaceNewError() {
	huma.NewError = func(status int, msg string, errs ...error) huma.StatusError {
		for _, err := range errs {
			msg += "; " + err.Error()
		}
		if len(msg) > maxDetailBytes {
			msg = strings.ToValidUTF8(msg[:maxDetailBytes], "") + "..."
		}
		cause := pwverdict.CauseBadRequest
		if status >= http.StatusInternalServerError {
			cause = pwverdict.CauseInternal
		}
		return &Problem{
			Type:    "about:blank",
			Title:   http.StatusText(status),
			Status:  status,
			Detail:  strings.TrimPrefix(msg, "; "),
			Verdict: pwverdict.NotRun.String(),
			Cause:   string(cause),
		}
	}
}
