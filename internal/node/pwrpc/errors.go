package pwrpc

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"time"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Metadata keys that carry a verdict with an error between processes.
const (
	verdictKey    = "pomeloweir-verdict"
	causeKey      = "pomeloweir-cause"
	retryAfterKey = "pomeloweir-retry-after-ms"
)

// ToConnectError turns an error into one that keeps its verdict on the wire.
func ToConnectError(err error) error {
	e := pwverdict.AsError(err)
	ce := connect.NewError(codeOf(e.Cause()), errors.New(e.Detail()))
	ce.Meta().Set(verdictKey, e.Verdict().String())
	ce.Meta().Set(causeKey, string(e.Cause()))
	ce.Meta().Set(retryAfterKey, strconv.FormatInt(e.RetryAfter().Milliseconds(), 10))
	return ce
}

func codeOf(c pwverdict.Cause) connect.Code {
	switch c {
	case pwverdict.CauseBadRequest:
		return connect.CodeInvalidArgument
	case pwverdict.CauseUnauthenticated:
		return connect.CodeUnauthenticated
	case pwverdict.CauseNotFound:
		return connect.CodeNotFound
	case pwverdict.CauseDeadlineExceeded:
		return connect.CodeDeadlineExceeded
	case pwverdict.CauseCancelled:
		return connect.CodeCanceled
	default:
		return connect.CodeUnavailable
	}
}

// FromConnectError turns an error of a client call into one with a verdict. A
// connection that was never made gives NotRun; every other failure without a
// verdict from the peer gives MayHaveRun.
func FromConnectError(err error) error {
	if err == nil {
		return nil
	}
	var ce *connect.Error
	if errors.As(err, &ce) && ce.Meta().Get(verdictKey) != "" {
		ms, _ := strconv.ParseInt(ce.Meta().Get(retryAfterKey), 10, 64)
		return pwverdict.New(pwverdict.Parse(ce.Meta().Get(verdictKey)), pwverdict.Cause(ce.Meta().Get(causeKey)), "%s", ce.Message()).
			WithRetryAfter(time.Duration(ms) * time.Millisecond)
	}
	verdict := pwverdict.MayHaveRun
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) || (errors.As(err, &op) && op.Op == "dial") {
		verdict = pwverdict.NotRun
	}
	cause := pwverdict.CauseUnavailable
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		cause = pwverdict.CauseOf(err)
	}
	return pwverdict.Wrap(err, verdict, cause, "call to another process failed")
}
