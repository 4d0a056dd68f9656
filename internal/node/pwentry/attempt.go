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
	// avoidFor is how long a request is kept from a server that has refused it:
	// until the next load report of that server has arrived.
	avoidFor = 250 * time.Millisecond
	// maxAvoided bounds the servers that one request is kept from.
	maxAvoided = 16
	// maxLosses bounds the servers that one request may lose.
	maxLosses = 16
	// A refused request waits this long before it is queued again, so that
	// it does not circle between full servers.
	firstRefusalDelay = 2 * time.Millisecond
	maxRefusalDelay   = 100 * time.Millisecond
	// resumeTries bounds how often a broken stream is resumed at its agent.
	resumeTries = 3
	resumeDelay = 50 * time.Millisecond
	// An attempt without an event for this long is given up: a fixed part,
	// and one for the prefill of its prompt at a slow engine's rate.
	stallTimeout       = 10 * time.Second
	slowPrefillPerTime = 2_000 // tokens a second
	// recordTimeout bounds the write of a request record.
	recordTimeout = time.Second
	// cancelTimeout bounds the message that ends a replaced attempt.
	cancelTimeout = time.Second
)

// run drives the request through its attempts until it ends.
func (f *InFlightRequest) run() {
	ctx, cancel := context.WithDeadline(f.ctx, f.request.Deadline())
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			f.stopped(ctx)
			return
		case a := <-f.assigned:
			if f.step(ctx, a) {
				return
			}
		}
	}
}

// stopped ends the request after its deadline, its cancellation or the end of
// the entry.
func (f *InFlightRequest) stopped(ctx context.Context) {
	f.releaseAssignment()
	cause := context.Cause(ctx)
	switch {
	case errors.Is(cause, errCancelled):
		f.end("cancelled", nil)
	case errors.Is(cause, context.DeadlineExceeded):
		f.abandon()
		f.expire()
	default:
		f.end("error", pwverdict.Wrap(cause, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "entry stopped"))
	}
}

// releaseAssignment returns a server that was assigned but not used.
func (f *InFlightRequest) releaseAssignment() {
	select {
	case a := <-f.assigned:
		if a.choice.Server() != "" {
			f.entry.finishedAt(f, a.choice.Server(), pwrouter.Cancelled)
		}
	default:
	}
}

// step makes one attempt and reports whether the request has ended.
func (f *InFlightRequest) step(ctx context.Context, a assignment) bool {
	if a.err != nil {
		f.end("error", f.withDoubt(a.err))
		return true
	}
	var o outcome
	if a.group {
		o = f.attemptGroup(ctx)
	} else {
		o = f.attempt(ctx, a)
		o.server = a.choice.Server()
		f.entry.finishedAt(f, a.choice.Server(), o.routerOutcome())
	}
	if o.kind == pwrouter.Completed {
		if a.isolated {
			f.entry.clearCrashes(f.request)
		}
		f.end(o.reason, nil)
		return true
	}
	if ctx.Err() != nil {
		f.stopped(ctx)
		return true
	}
	return f.again(ctx, o)
}

// outcome is the end of one attempt.
type outcome struct {
	kind   pwrouter.Outcome
	server pwrequest.BackendServerID
	reason string
	err    error
}

// serverLost reports whether the attempt ended because its server or agent was
// gone. That is no fault of the request, so it does not count against the
// document's bound on attempts; a request that causes such deaths is stopped by
// its crash count.
func (o outcome) serverLost() bool {
	return o.kind == pwrouter.Crashed || pwverdict.CauseOf(o.err) == pwverdict.CauseUnavailable
}

// routerOutcome is what the router learns. A refusal because of prefill in
// progress came with the server's current load and needs no penalty on top.
func (o outcome) routerOutcome() pwrouter.Outcome {
	if o.kind == pwrouter.Refused && pwverdict.CauseOf(o.err) == pwverdict.CausePrefillBusy {
		return pwrouter.Cancelled
	}
	return o.kind
}

// attempt sends the request to one agent and follows it to its end.
func (f *InFlightRequest) attempt(ctx context.Context, a assignment) outcome {
	return f.execute(ctx, a.choice.Address(), a.choice.Server(), &pwrpc.ExecuteRequest{
		Isolated:        a.isolated,
		MaxPrefillAhead: f.maxPrefillAhead(),
	})
}

// prefillBounds are the bounds on prefill work ahead of a short prompt, for its
// first tries. An entry's knowledge of other entries' attempts is older than
// most prefills take, so a short prompt rather asks a second and a third server
// than wait behind a chunk of a long one. 4,096 tokens take about a fifth of
// the time that a first token may take.
var prefillBounds = []int64{4_096, 4_096}

func (f *InFlightRequest) maxPrefillAhead() int64 {
	if f.request.Class() == pwrequest.Short && f.refusals < len(prefillBounds) {
		return prefillBounds[f.refusals]
	}
	return f.request.Class().MaxPrefillAhead()
}

// execute fills in the common fields of req, sends it to an agent and follows
// the stream, resuming it when it breaks.
func (f *InFlightRequest) execute(ctx context.Context, address string, server pwrequest.BackendServerID, req *pwrpc.ExecuteRequest) outcome {
	id := newAttemptID()
	f.sent++
	f.fill(req, id)
	doubt := f.setCurrent(id, address)
	s := &stream{
		flight:  f,
		attempt: id,
		server:  server,
	}
	client := f.entry.agents.Agent(address)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	s.watchdog = time.AfterFunc(f.stallLimit(), func() { cancel(errStalled) })
	defer s.watchdog.Stop()
	s.limit = f.stallLimit()
	err := client.Execute(ctx, req, func(ev *pwrpc.AnswerEvent) error { return s.recv(ev, address) })
	for n := 0; !s.over() && n < resumeTries && ctx.Err() == nil; n++ {
		if sleep(ctx, f.entry.jitter(resumeDelay<<n)) != nil {
			break
		}
		if !s.accepted && err != nil && pwverdict.VerdictOf(err) == pwverdict.NotRun {
			break
		}
		err = client.ReadAnswer(ctx, &pwrpc.ReadAnswerRequest{
			RequestId: string(f.request.ID()),
			Workspace: string(f.request.Workspace()),
			Offset:    int64(len(f.given())),
		}, func(ev *pwrpc.AnswerEvent) error { return s.recv(ev, address) })
	}
	o := s.outcome(ctx, err)
	if o.kind == pwrouter.Refused {
		f.setDoubt(doubt)
	}
	return o
}

var errStalled = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "attempt made no progress")

func (f *InFlightRequest) stallLimit() time.Duration {
	return stallTimeout + time.Duration(f.request.PromptTokens())*time.Second/slowPrefillPerTime
}

func (f *InFlightRequest) fill(req *pwrpc.ExecuteRequest, id pwrequest.AttemptID) {
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
	req.GivenTokens = f.given()
	req.Fingerprint = r.Fingerprint()
	req.Owner = string(f.entry.cfg.Instance)
	req.AttemptNumber = f.sent
}

// abandon tells the agent of the current attempt to stop, in the background.
func (f *InFlightRequest) abandon() {
	f.mu.Lock()
	defer f.mu.Unlock()
	go (&abandonment{
		flight:  f,
		attempt: f.current,
		address: f.currentAddr,
	}).run()
}

// abandonment names its attempt, so that it never ends a later one.
type abandonment struct {
	flight  *InFlightRequest
	attempt pwrequest.AttemptID
	address string
}

func (a *abandonment) run() {
	ctx, cancel := context.WithTimeout(a.flight.entry.baseCtx, cancelTimeout)
	defer cancel()
	a.flight.cancelAttempt(ctx, a.attempt, a.address)
}
