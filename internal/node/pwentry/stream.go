package pwentry

import (
	"context"
	"errors"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// stream collects the events of one attempt.
type stream struct {
	flight   *InFlightRequest
	attempt  pwrequest.AttemptID
	watchdog *time.Timer
	limit    time.Duration
	accepted bool
	started  bool // a token has arrived
	server   pwrequest.BackendServerID
	refused  *pwrpc.Refusal
	ended    *pwrpc.Ended
}

func (s *stream) over() bool { return s.refused != nil || s.ended != nil }

// recv takes one event. Events of other attempts are dropped, because a late
// or misdirected answer must not reach this caller.
func (s *stream) recv(ev *pwrpc.AnswerEvent, address string) error {
	if ev.AttemptId != string(s.attempt) || ev.RequestId != string(s.flight.request.ID()) {
		s.flight.entry.obs.Count("events_of_other_attempts", 1)
		return nil
	}
	s.watchdog.Reset(s.limit)
	if ev.Load != nil {
		s.flight.entry.freshLoad(s.flight.request.Service(), s.server, ev.Load)
	}
	switch e := ev.Event.(type) {
	case *pwrpc.AnswerEvent_Accepted:
		s.accepted = true
		s.flight.putRecord(s.attempt, address)
	case *pwrpc.AnswerEvent_Refused:
		s.refused = e.Refused
	case *pwrpc.AnswerEvent_Tokens:
		if !s.started {
			s.started = true
			s.flight.entry.prefillDone(s.flight, s.server)
		}
		return s.flight.accept(s.attempt, e.Tokens.Offset, e.Tokens.Tokens)
	case *pwrpc.AnswerEvent_Ended:
		s.ended = e.Ended
	}
	return nil
}

func (s *stream) outcome(ctx context.Context, err error) outcome {
	f := s.flight
	switch {
	case s.refused != nil:
		return outcome{
			kind: pwrouter.Refused,
			err:  s.refused.Err(),
		}
	case s.ended != nil:
		return s.endOutcome()
	case errors.Is(context.Cause(ctx), errStalled):
		f.abandon()
		return outcome{
			kind: pwrouter.Failed,
			err:  errStalled,
		}
	case ctx.Err() != nil:
		return outcome{
			kind: pwrouter.Cancelled,
			err:  context.Cause(ctx),
		}
	case err == nil:
		err = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "answer stream ended early")
	}
	if !s.accepted && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		// Nothing was sent, so this counts as a refusal by an unreachable agent.
		return outcome{
			kind: pwrouter.Refused,
			err:  err,
		}
	}
	f.abandon()
	return outcome{
		kind: pwrouter.Failed,
		err:  pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "agent did not answer"),
	}
}

func (s *stream) endOutcome() outcome {
	f := s.flight
	switch {
	case s.ended.ServerDied:
		f.entry.countCrash(f, s.attempt, s.ended.ConcurrentFingerprints)
		return outcome{
			kind: pwrouter.Crashed,
			err:  s.ended.Failure.Err(),
		}
	case s.ended.Failure.GetVerdict() == pwrpc.Verdict_VERDICT_NOT_RUN:
		// The server was reached too late to start, so nothing is lost.
		return outcome{
			kind: pwrouter.Refused,
			err:  s.ended.Failure.Err(),
		}
	case s.ended.Failure.GetCause() == string(pwverdict.CauseUnavailable):
		return outcome{
			kind: pwrouter.Crashed,
			err:  s.ended.Failure.Err(),
		}
	case s.ended.Failure != nil:
		return outcome{
			kind: pwrouter.Failed,
			err:  s.ended.Failure.Err(),
		}
	case int64(len(f.given())) != s.ended.TotalTokens:
		return outcome{
			kind: pwrouter.Failed,
			err: pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "answer has %d tokens, its end says %d",
				len(f.given()), s.ended.TotalTokens),
		}
	default:
		return outcome{
			kind:   pwrouter.Completed,
			reason: s.ended.Reason,
		}
	}
}
