package pwrpc

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// NewRefusal turns an error into its message.
func NewRefusal(err error) *Refusal {
	e := pwverdict.AsError(err)
	return &Refusal{
		Verdict:      verdictToMessage(e.Verdict()),
		Cause:        string(e.Cause()),
		Detail:       e.Detail(),
		RetryAfterMs: e.RetryAfter().Milliseconds(),
	}
}

// Err turns the message back into an error.
func (x *Refusal) Err() error {
	if x == nil {
		return nil
	}
	return pwverdict.New(verdictFromMessage(x.Verdict), pwverdict.Cause(x.Cause), "%s", x.Detail).
		WithRetryAfter(time.Duration(x.RetryAfterMs) * time.Millisecond)
}

func verdictToMessage(v pwverdict.Verdict) Verdict {
	switch v {
	case pwverdict.NotRun:
		return Verdict_VERDICT_NOT_RUN
	case pwverdict.Ran:
		return Verdict_VERDICT_RAN
	default:
		return Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func verdictFromMessage(v Verdict) pwverdict.Verdict {
	switch v {
	case Verdict_VERDICT_NOT_RUN:
		return pwverdict.NotRun
	case Verdict_VERDICT_RAN:
		return pwverdict.Ran
	default:
		return pwverdict.MayHaveRun
	}
}
