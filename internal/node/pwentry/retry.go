package pwentry

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// again decides whether and when the request is queued once more; it reports
// whether the request has ended instead.
func (f *InFlightRequest) again(ctx context.Context, o outcome) bool {
	delay, err := f.retryDelay(ctx, o)
	if err == nil {
		_ = sleep(ctx, delay)
		if ctx.Err() != nil {
			f.stopped(ctx)
			return true
		}
		err = f.entry.requeue(f)
	}
	if err != nil {
		f.end("error", err)
		return true
	}
	return false
}

func (f *InFlightRequest) retryDelay(ctx context.Context, o outcome) (time.Duration, error) {
	e := f.entry
	if o.kind == pwrouter.Refused {
		f.refusals++
		f.avoid(o.server)
		if f.refusals == 1 {
			return 0, nil
		}
		return e.jitter(min(firstRefusalDelay<<min(f.refusals, 10), maxRefusalDelay)), nil
	}
	if o.serverLost() {
		f.losses++
	} else {
		f.attempts++
	}
	if !pwretry.Allowed(o.err, true) || f.attempts >= f.maxAttempts || f.losses >= maxLosses {
		return 0, f.final(o.err)
	}
	e.mu.Lock()
	s := e.services[f.request.Service()]
	e.mu.Unlock()
	if s == nil {
		return 0, f.final(o.err)
	}
	delay := e.backoff(s, f.attempts+f.losses, o)
	// An admitted request waits for the budget; failing it would lose work
	// that the system has promised to finish.
	for {
		refusal := e.takeRetry(s, o)
		if refusal == nil {
			break
		}
		wait := max(pwverdict.AsError(refusal).RetryAfter(), delay)
		if sleep(ctx, e.jitter(wait)) != nil {
			return 0, f.final(o.err)
		}
	}
	e.obs.Decision(pwobserve.Decision{
		Kind:      "retry",
		Request:   f.request.ID(),
		Attempt:   f.CurrentAttempt(),
		Workspace: f.request.Workspace(),
		Service:   f.request.Service(),
		Verdict:   pwverdict.VerdictOf(o.err).String(),
		Cause:     string(pwverdict.CauseOf(o.err)),
	})
	return delay, nil
}

// final gives the last error of a prompt that has used up its attempts.
func (f *InFlightRequest) final(err error) error {
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "request failed after %d attempts", f.attempts+f.losses)
}

func (e *Entry) backoff(s *service, attempts int, o outcome) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.kind == pwrouter.Crashed {
		// The server is gone; waiting would not help this request.
		return 0
	}
	return s.backoff.DelayFor(attempts, o.err)
}

// takeRetry charges the retry budget. The death of a server is not charged: it
// interrupts many requests at once, their number is bounded by what ran there,
// and a request that causes such deaths is stopped by its crash count.
func (e *Entry) takeRetry(s *service, o outcome) error {
	if o.kind == pwrouter.Crashed {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.budget.Take(time.Now())
}
