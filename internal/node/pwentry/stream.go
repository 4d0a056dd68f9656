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

// attemptStream processes the events of one attempt.
type attemptStream struct {
	inFlight      *InFlightRequest
	attempt       pwrequest.AttemptID
	watchdog      *time.Timer
	stallLimit    time.Duration
	accepted      bool
	receivedToken bool
	server        pwrequest.BackendServerID
	refused       *pwrpc.Refusal
	ended         *pwrpc.Ended
}

// isOver reports whether the attempt was refused or has ended.
func (s *attemptStream) isOver() bool { return s.refused != nil || s.ended != nil }

// handleEvent processes one event. It drops events of other attempts, because a late or
// misdirected answer must not be delivered to this caller.
func (s *attemptStream) handleEvent(ev *pwrpc.AnswerEvent, address string) error {
	if ev.AttemptId != string(s.attempt) || ev.RequestId != string(s.inFlight.request.ID()) {
		s.inFlight.entry.obs.Count("events_of_other_attempts", 1)
		return nil
	}
	s.watchdog.Reset(s.stallLimit)
	if ev.Load != nil {
		s.inFlight.entry.applyAttemptLoad(s.inFlight.request.Service(), s.server, ev.Load)
	}
	switch e := ev.Event.(type) {
	case *pwrpc.AnswerEvent_Accepted:
		s.accepted = true
		s.inFlight.storeRecord(s.attempt, address)
	case *pwrpc.AnswerEvent_Refused:
		s.refused = e.Refused
	case *pwrpc.AnswerEvent_Tokens:
		if !s.receivedToken {
			s.receivedToken = true
			s.inFlight.entry.recordFirstToken(s.inFlight, s.server)
		}
		return s.inFlight.appendTokens(s.attempt, e.Tokens.Offset, e.Tokens.Tokens)
	case *pwrpc.AnswerEvent_Ended:
		s.ended = e.Ended
	}
	return nil
}

// outcome returns how the attempt ended. err is the error of the last stream. If the
// attempt may still be running, outcome cancels it.
func (s *attemptStream) outcome(ctx context.Context, err error) outcome {
	f := s.inFlight
	switch {
	case s.refused != nil:
		return outcome{
			kind: pwrouter.Refused,
			err:  s.refused.Err(),
		}
	case s.ended != nil:
		return s.endOutcome()
	case errors.Is(context.Cause(ctx), errStalled):
		f.cancelCurrentAttempt()
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
		err = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "answer stream ended before its end event")
	}
	if !s.accepted && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		// The request wasn't sent, because the agent is unreachable. It counts as refused.
		return outcome{
			kind: pwrouter.Refused,
			err:  err,
		}
	}
	f.cancelCurrentAttempt()
	return outcome{
		kind: pwrouter.Failed,
		err:  pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "agent did not deliver the whole answer"),
	}
}

// endOutcome returns the outcome that the end event states.
func (s *attemptStream) endOutcome() outcome {
	f := s.inFlight
	switch {
	case s.ended.ServerDied:
		f.entry.recordCrash(f, s.attempt, s.ended.ConcurrentFingerprints)
		return outcome{
			kind: pwrouter.Crashed,
			err:  s.ended.Failure.Err(),
		}
	case s.ended.Failure.GetVerdict() == pwrpc.Verdict_VERDICT_NOT_RUN:
		// The attempt reached the server too late to start, so no work was lost.
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
	case int64(len(f.receivedTokens())) != s.ended.TotalTokens:
		return outcome{
			kind: pwrouter.Failed,
			err: pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "%d tokens of the answer were received, but its end event states %d",
				len(f.receivedTokens()), s.ended.TotalTokens),
		}
	default:
		return outcome{
			kind:   pwrouter.Completed,
			reason: s.ended.Reason,
		}
	}
}
