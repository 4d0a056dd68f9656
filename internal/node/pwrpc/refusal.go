package pwrpc

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// NewRefusal converts an error to a message, with its verdict, cause, detail and retry
// delay.
func NewRefusal(err error) *Refusal {
	e := pwverdict.AsError(err)
	return &Refusal{
		Verdict:      verdictToProto(e.Verdict()),
		Cause:        string(e.Cause()),
		Detail:       e.Detail(),
		RetryAfterMs: e.RetryAfter().Milliseconds(),
	}
}

// Err converts the message back to an error. A nil message is no error.
func (x *Refusal) Err() error {
	if x == nil {
		return nil
	}
	return pwverdict.New(verdictFromProto(x.Verdict), pwverdict.Cause(x.Cause), "%s", x.Detail).
		WithRetryAfter(time.Duration(x.RetryAfterMs) * time.Millisecond)
}

func verdictToProto(v pwverdict.Verdict) Verdict {
	switch v {
	case pwverdict.NotRun:
		return Verdict_VERDICT_NOT_RUN
	case pwverdict.Ran:
		return Verdict_VERDICT_RAN
	default:
		return Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func verdictFromProto(v Verdict) pwverdict.Verdict {
	switch v {
	case Verdict_VERDICT_NOT_RUN:
		return pwverdict.NotRun
	case Verdict_VERDICT_RAN:
		return pwverdict.Ran
	default:
		return pwverdict.MayHaveRun
	}
}
