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

const (
	// avoidDuration is how long a server that refused a request isn't picked for that
	// request again. By then the next load report of the server has arrived.
	avoidDuration = 250 * time.Millisecond
	// maxAvoidedServers bounds the servers that one request avoids at a time.
	maxAvoidedServers = 16
	// maxLostServers is the number of lost servers after which a request fails.
	maxLostServers = 16
	// From its second refusal on, a request waits before it is queued again, so that it
	// isn't passed between full servers without a pause. The delay is computed from
	// firstRefusalDelay, doubles with each refusal and is at most maxRefusalDelay.
	firstRefusalDelay = 2 * time.Millisecond
	maxRefusalDelay   = 100 * time.Millisecond
	// maxResumes bounds how often the broken stream of an attempt is resumed at its
	// agent. The delay before that starts at resumeDelay and doubles each time.
	maxResumes  = 3
	resumeDelay = 50 * time.Millisecond
	// An attempt that receives no event for baseStallTimeout plus the time to prefill
	// its prompt at slowPrefillRate, the rate of a slow engine, is abandoned.
	baseStallTimeout = 10 * time.Second
	slowPrefillRate  = 2_000 // tokens a second
	// recordTimeout bounds the write of a request record.
	recordTimeout = time.Second
	// cancelTimeout bounds the RPC that cancels an abandoned attempt.
	cancelTimeout = time.Second
)

// run makes the attempts of the request as they are assigned, until the request ends.
func (f *InFlightRequest) run() {
	ctx, cancel := context.WithDeadline(f.ctx, f.request.Deadline())
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			f.finishStopped(ctx)
			return
		case a := <-f.assignments:
			if f.handleAssignment(ctx, a) {
				return
			}
		}
	}
}

// finishStopped ends the request after its deadline, its cancellation or the end of the
// entry's lifetime.
func (f *InFlightRequest) finishStopped(ctx context.Context) {
	f.releaseUnusedAssignment()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		f.finish("cancelled", nil)
	case errors.Is(cause, context.DeadlineExceeded):
		f.cancelCurrentAttempt()
		f.expire()
	default:
		f.finish("error", pwverdict.Wrap(cause, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "entry stopped"))
	}
}

// releaseUnusedAssignment records the end of an assignment that was made but not used,
// so that the router no longer counts it on its server.
func (f *InFlightRequest) releaseUnusedAssignment() {
	select {
	case a := <-f.assignments:
		if a.choice.Server() != "" {
			f.entry.recordAttemptEnd(f, a.choice.Server(), pwrouter.Cancelled)
		}
	default:
	}
}

// handleAssignment makes one attempt and reports whether the request has ended.
func (f *InFlightRequest) handleAssignment(ctx context.Context, a assignment) bool {
	if a.err != nil {
		f.finish("error", f.withMayHaveRun(a.err))
		return true
	}
	var o outcome
	if a.group {
		o = f.attemptGroup(ctx)
	} else {
		o = f.attemptServer(ctx, a)
		o.server = a.choice.Server()
		f.entry.recordAttemptEnd(f, a.choice.Server(), o.routerOutcome())
	}
	if o.kind == pwrouter.Completed {
		if a.isolated {
			f.entry.clearCrashes(f.request)
		}
		f.finish(o.reason, nil)
		return true
	}
	if ctx.Err() != nil {
		f.finishStopped(ctx)
		return true
	}
	return f.scheduleRetry(ctx, o)
}

// outcome describes how one attempt ended.
type outcome struct {
	kind   pwrouter.Outcome
	server pwrequest.BackendServerID
	reason string
	err    error
}

// serverLost reports whether the attempt ended because its server crashed or its agent
// was unavailable. Such an attempt doesn't count against the document's limit on
// attempts, because the request usually isn't the cause. A request that does crash its
// servers is stopped by its crash count.
func (o outcome) serverLost() bool {
	return o.kind == pwrouter.Crashed || pwverdict.CauseOf(o.err) == pwverdict.CauseUnavailable
}

// routerOutcome returns the outcome that is recorded in the router. A refusal because of
// prefill in progress carried the server's current load, so the router needs no
// additional penalty for it.
func (o outcome) routerOutcome() pwrouter.Outcome {
	if o.kind == pwrouter.Refused && pwverdict.CauseOf(o.err) == pwverdict.CausePrefillBusy {
		return pwrouter.Cancelled
	}
	return o.kind
}

// attemptServer makes one attempt on the assigned server and waits for its end.
func (f *InFlightRequest) attemptServer(ctx context.Context, a assignment) outcome {
	return f.execute(ctx, a.choice.Address(), a.choice.Server(), &pwrpc.ExecuteRequest{
		Isolated:        a.isolated,
		MaxPrefillAhead: f.maxPrefillAhead(),
	})
}

// shortPrefillBounds limits the prefill work, in tokens, that may be ahead of a short
// prompt in its first attempts. After those the limit of the class applies. Load reports
// show the attempts of other entries later than most prefills take, so a short prompt is
// better refused and sent to a second and a third server than queued behind a chunk of a
// long one. 4,096 tokens take about a fifth of the time allowed for the first token.
var shortPrefillBounds = []int64{4_096, 4_096}

// maxPrefillAhead returns the limit on the prefill work ahead of the next attempt.
func (f *InFlightRequest) maxPrefillAhead() int64 {
	if f.request.Class() == pwrequest.Short && f.refusals < len(shortPrefillBounds) {
		return shortPrefillBounds[f.refusals]
	}
	return f.request.Class().MaxPrefillAhead()
}

// execute completes req, sends it to an agent and reads the answer stream. It resumes the
// stream if it breaks.
func (f *InFlightRequest) execute(ctx context.Context, address string, server pwrequest.BackendServerID, req *pwrpc.ExecuteRequest) outcome {
	id := newAttemptID()
	f.sentAttempts++
	f.fillRequest(req, id)
	previous := f.setCurrentAttempt(id, address)
	s := &attemptStream{
		inFlight: f,
		attempt:  id,
		server:   server,
	}
	client := f.entry.agents.Agent(address)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.watchdog = time.AfterFunc(f.stallLimit(), func() { cancel(errStalled) })
	defer s.watchdog.Stop()
	s.stallLimit = f.stallLimit()
	err := client.Execute(ctx, req, func(ev *pwrpc.AnswerEvent) error { return s.handleEvent(ev, address) })
	for n := 0; !s.isOver() && n < maxResumes && ctx.Err() == nil; n++ {
		if sleep(ctx, f.entry.jitter(resumeDelay<<n)) != nil {
			break
		}
		if !s.accepted && err != nil && pwverdict.VerdictOf(err) == pwverdict.NotRun {
			break
		}
		err = client.ReadAnswer(ctx, &pwrpc.ReadAnswerRequest{
			RequestId: string(f.request.ID()),
			Workspace: string(f.request.Workspace()),
			Offset:    int64(len(f.receivedTokens())),
		}, func(ev *pwrpc.AnswerEvent) error { return s.handleEvent(ev, address) })
	}
	o := s.outcome(ctx, err)
	if o.kind == pwrouter.Refused {
		f.restoreMayHaveRun(previous)
	}
	return o
}

var errStalled = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "attempt received no event within the stall timeout")

// stallLimit returns the time without an event after which an attempt is abandoned.
func (f *InFlightRequest) stallLimit() time.Duration {
	return baseStallTimeout + time.Duration(f.request.PromptTokens())*time.Second/slowPrefillRate
}

// fillRequest sets the fields of req that are common to all attempts.
func (f *InFlightRequest) fillRequest(req *pwrpc.ExecuteRequest, id pwrequest.AttemptID) {
	r := f.request
	req.RequestId = string(r.ID())
	req.AttemptId = string(id)
	req.Workspace = string(r.Workspace())
	req.Service = string(r.Service())
	req.Model = string(r.Model())
	req.Adapter = r.Adapter()
	req.Prompt = f.prompt
	req.PromptTokens = r.PromptTokens()
	req.MaxTokens = r.MaxTokens()
	req.Priority = int32(r.Priority())
	req.DeadlineUnixMs = r.Deadline().UnixMilli()
	req.GivenTokens = f.receivedTokens()
	req.Fingerprint = r.Fingerprint()
	req.Owner = string(f.entry.cfg.Instance)
	req.AttemptNumber = f.sentAttempts
}

// cancelCurrentAttempt cancels the current attempt at its agent, in the background.
func (f *InFlightRequest) cancelCurrentAttempt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	go (&attemptCancellation{
		inFlight: f,
		attempt:  f.currentAttempt,
		address:  f.currentAddress,
	}).run()
}

// attemptCancellation cancels one attempt at its agent. It holds the identifier of the
// attempt, so that it can't cancel a later one.
type attemptCancellation struct {
	inFlight *InFlightRequest
	attempt  pwrequest.AttemptID
	address  string
}

func (a *attemptCancellation) run() {
	ctx, cancel := context.WithTimeout(a.inFlight.entry.lifetimeCtx, cancelTimeout)
	defer cancel()
	a.inFlight.cancelAttempt(ctx, a.attempt, a.address)
}
