package pwentry

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// scheduleRetry queues the request again after a delay, or fails it if no retry is
// allowed. It reports whether the request has ended.
func (f *InFlightRequest) scheduleRetry(ctx context.Context, o outcome) bool {
	delay, err := f.prepareRetry(ctx, o)
	if err == nil {
		_ = sleep(ctx, delay)
		if ctx.Err() != nil {
			f.finishStopped(ctx)
			return true
		}
		err = f.entry.requeue(f)
	}
	if err != nil {
		f.finish("error", err)
		return true
	}
	return false
}

// prepareRetry counts an attempt that ended with o and waits for the retry budget. It
// returns the delay before the next attempt, or an error if none is allowed.
func (f *InFlightRequest) prepareRetry(ctx context.Context, o outcome) (time.Duration, error) {
	e := f.entry
	if o.kind == pwrouter.Refused {
		f.refusals++
		f.avoidServer(o.server)
		if f.refusals == 1 {
			return 0, nil
		}
		return e.jitter(min(firstRefusalDelay<<min(f.refusals, 10), maxRefusalDelay)), nil
	}
	if o.serverLost() {
		f.lostServers++
	} else {
		f.failedAttempts++
	}
	if !pwretry.Allowed(o.err, true) || f.failedAttempts >= f.maxAttempts || f.lostServers >= maxLostServers {
		return 0, f.finalError(o.err)
	}
	e.mu.Lock()
	s := e.services[f.request.Service()]
	e.mu.Unlock()
	if s == nil {
		return 0, f.finalError(o.err)
	}
	delay := e.retryDelay(s, f.failedAttempts+f.lostServers, o)
	// A request without a free retry in the budget waits for one. It isn't failed,
	// because it was admitted and the work on it would be lost.
	for {
		refusal := e.takeFromRetryBudget(s, o)
		if refusal == nil {
			break
		}
		wait := max(pwverdict.AsError(refusal).RetryAfter(), delay)
		if sleep(ctx, e.jitter(wait)) != nil {
			return 0, f.finalError(o.err)
		}
	}
	e.obs.LogDecision(pwobserve.Decision{
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

// finalError returns the error of a request that isn't retried after err.
func (f *InFlightRequest) finalError(err error) error {
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "request failed after %d attempts", f.failedAttempts+f.lostServers)
}

// retryDelay returns the backoff after an attempt that ended with o.
func (e *Entry) retryDelay(s *service, attempts int, o outcome) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.kind == pwrouter.Crashed {
		// The request runs on another server next, for which it needn't wait.
		return 0
	}
	return s.backoff.DelayFor(attempts, o.err)
}

// takeFromRetryBudget consumes one retry of the budget. A retry after a server crash
// isn't charged: a crash interrupts many requests at once, their number is bounded by the
// number that ran on the server, and a request that causes crashes is stopped by its
// crash count.
func (e *Entry) takeFromRetryBudget(s *service, o outcome) error {
	if o.kind == pwrouter.Crashed {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.budget.Take(time.Now())
}
