package pwentry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// abortTimeout bounds the abort of a claim. The abort may run after the caller's deadline,
// because the verdict not_run requires it.
const abortTimeout = 3 * time.Second

// Call is one call of a method of a plain service.
type Call struct {
	Workspace pwrequest.WorkspaceID
	Service   pwrequest.ServiceID
	Method    string
	Body      []byte
	// IdempotencyKey is required for methods that aren't repeatable.
	IdempotencyKey string
	// Deadline is the time that the call may take. 0 means the document's default.
	Deadline time.Duration
}

// CallResult is the response of the plain service.
type CallResult struct {
	RequestID pwrequest.ID
	Status    int
	Body      []byte
	// Replayed is set if the result was stored by an earlier call with the same key.
	Replayed bool
}

// Call calls a method of a plain service: a repeatable method with retries, any other at
// most once. The verdict of the error states whether the method may have run.
func (e *Entry) Call(ctx context.Context, c Call) (CallResult, error) {
	id := pwrequest.ID("req-" + rand.Text())
	res, err := e.runCall(ctx, id, c)
	res.RequestID = id
	d := pwobserve.Decision{
		Kind:      "call",
		Request:   id,
		Workspace: c.Workspace,
		Service:   c.Service,
		Verdict:   pwverdict.Ran.String(),
	}
	if err != nil {
		d.Verdict, d.Cause = pwverdict.VerdictOf(err).String(), string(pwverdict.CauseOf(err))
	}
	e.obs.LogDecision(d)
	return res, err
}

func (e *Entry) runCall(ctx context.Context, id pwrequest.ID, c Call) (CallResult, error) {
	method, attempts, err := e.admitCall(c)
	if err != nil {
		return CallResult{}, err
	}
	defer e.recordCallEnd()
	deadline := time.Now().Add(method.Deadline())
	if c.Deadline > 0 {
		deadline = time.Now().Add(c.Deadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	defer context.AfterFunc(e.callsCtx, func() { stop(context.Cause(e.callsCtx)) })()
	run := &callRun{
		entry:    e,
		id:       id,
		call:     c,
		deadline: deadline,

		maxAttempts: attempts,
	}
	res, err := run.run(ctx, method.Repeatable)
	if err != nil && errors.Is(context.Cause(ctx), errStopped) {
		err = pwverdict.Wrap(err, pwverdict.VerdictOf(err), pwverdict.CauseDraining, "entry was stopped before the call had ended")
	}
	return res, err
}

// admitCall checks a call against the document of its service and counts it as running.
// It returns the called method and the limit on attempts.
func (e *Entry) admitCall(c Call) (pwdocument.Method, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, doc, err := e.acceptingService(c.Service)
	if err != nil {
		return pwdocument.Method{}, 0, err
	}
	if _, ok := doc.Workspace(c.Workspace); !ok {
		return pwdocument.Method{}, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q does not exist", c.Service)
	}
	m, ok := doc.Method(c.Method)
	switch {
	case !ok:
		return m, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q has no method %q", c.Service, c.Method)
	case int64(len(c.Body)) > m.MaxBodyBytes:
		return m, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "body has %d bytes; allowed are at most %d", len(c.Body), m.MaxBodyBytes)
	case !m.Repeatable && c.IdempotencyKey == "":
		return m, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "method %q runs at most once; send an Idempotency-Key header", c.Method)
	case !m.Repeatable && e.claims == nil:
		return m, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "this entry has no claim table")
	}
	e.runningCalls++
	return m, doc.Retry.MaxAttempts, nil
}

func (e *Entry) recordCallEnd() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runningCalls--
	e.signalDrainedLocked()
}

// callRun holds the state of one admitted call.
type callRun struct {
	entry    *Entry
	id       pwrequest.ID
	call     Call
	deadline time.Time
	key      pwclaim.Key
	bodyHash [32]byte
	// maxAttempts is the limit of the service's document.
	maxAttempts int
}

func (c *callRun) run(ctx context.Context, repeatable bool) (CallResult, error) {
	if repeatable {
		return c.runRepeatable(ctx)
	}
	return c.runAtMostOnce(ctx)
}

// runRepeatable retries a call until it succeeds, within its deadline, the limit on
// attempts and the retry budget.
func (c *callRun) runRepeatable(ctx context.Context) (CallResult, error) {
	for n := 1; ; n++ {
		res, err := c.sendAttempt(ctx, newAttemptID(), "")
		if err == nil || !c.waitForRetry(ctx, n, err, true) {
			return res, err
		}
	}
}

// runAtMostOnce claims the idempotency key for each attempt before sending it. It returns
// the verdict not_run only if the claim row proves it.
func (c *callRun) runAtMostOnce(ctx context.Context) (CallResult, error) {
	c.key = pwclaim.Key{
		Workspace:      c.call.Workspace,
		IdempotencyKey: string(c.call.Service) + "/" + c.call.Method + "/" + c.call.IdempotencyKey,
	}
	c.bodyHash = sha256.Sum256(c.call.Body)
	for n := 1; ; n++ {
		res, err := c.claimAndSend(ctx)
		if err == nil || !c.waitForRetry(ctx, n, err, false) {
			return res, err
		}
	}
}

// claimAndSend claims the idempotency key for one attempt and sends it. If the key is
// already done, claimAndSend returns the stored result.
func (c *callRun) claimAndSend(ctx context.Context) (CallResult, error) {
	id := newAttemptID()
	o, err := c.entry.claims.Claim(ctx, c.key, c.bodyHash, id)
	if err != nil {
		return CallResult{}, err
	}
	switch o.Kind() {
	case pwclaim.OutcomeAlreadyDone:
		return resultFromRecord(o.Record())
	case pwclaim.OutcomeInProgress:
		return CallResult{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInProgress, "a call with this key is in progress").
			WithRetryAfter(time.Second)
	}
	res, err := c.sendAttempt(ctx, id, c.key.IdempotencyKey)
	if err == nil || pwverdict.VerdictOf(err) == pwverdict.Ran {
		return res, err
	}
	return CallResult{}, c.resolveFailure(ctx, id, err)
}

// resolveFailure determines the verdict on an attempt that was sent and failed. The
// attempt may still be on its way to the agent, so only an aborted claim row proves that
// it doesn't run.
func (c *callRun) resolveFailure(ctx context.Context, id pwrequest.AttemptID, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	defer context.AfterFunc(c.entry.abortsCtx, cancel)()
	aborted, abortErr := c.entry.claims.Abort(ctx, c.key, id)
	if aborted {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseOf(err), "call did not run")
	}
	return pwverdict.Wrap(errors.Join(err, abortErr), pwverdict.MayHaveRun, pwverdict.CauseOf(err), "outcome of the call is unknown; look it up by its idempotency key")
}

// resultFromRecord returns the stored result of a call that has run.
func resultFromRecord(r pwclaim.Record) (CallResult, error) {
	if r.ResultOmitted() {
		return CallResult{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseConflict, "call ran with status %d; its result was too large to keep", r.Status())
	}
	return CallResult{
		Status:   r.Status(),
		Body:     r.Result(),
		Replayed: true,
	}, nil
}

// LookupCall returns the claim record of an earlier call with the idempotency key of c.
func (e *Entry) LookupCall(ctx context.Context, c Call) (pwclaim.Record, error) {
	if e.claims == nil {
		return pwclaim.Record{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "this entry has no claim table")
	}
	return e.claims.Lookup(ctx, pwclaim.Key{
		Workspace:      c.Workspace,
		IdempotencyKey: string(c.Service) + "/" + c.Method + "/" + c.IdempotencyKey,
	})
}

// waitForRetry waits before the next attempt. It returns false if none is allowed.
func (c *callRun) waitForRetry(ctx context.Context, n int, err error, repeatable bool) bool {
	e := c.entry
	now := time.Now()
	if n >= c.maxAttempts || !pwretry.Allowed(err, repeatable) || ctx.Err() != nil {
		return false
	}
	e.mu.Lock()
	s := e.serviceLocked(c.call.Service)
	delay := s.backoff.DelayFor(n, err)
	ok := pwretry.FitsDeadline(now, c.deadline, delay, pwretry.DefaultMinAttempt) && s.budget.Take(now) == nil
	e.mu.Unlock()
	return ok && sleep(ctx, delay) == nil
}

// sendAttempt makes one attempt on one server.
func (c *callRun) sendAttempt(ctx context.Context, id pwrequest.AttemptID, claimKey string) (CallResult, error) {
	e := c.entry
	r := pwrequest.New(pwrequest.Params{
		ID:           c.id,
		Workspace:    c.call.Workspace,
		Service:      c.call.Service,
		Model:        pwrequest.PlainModel,
		PromptTokens: 1,
		Deadline:     c.deadline,
	})
	choice, err := c.pickServer(r)
	if err != nil {
		return CallResult{}, err
	}
	resp, err := e.agents.Agent(choice.Address()).Call(ctx, &pwrpc.CallRequest{
		RequestId:      string(c.id),
		AttemptId:      string(id),
		Workspace:      string(c.call.Workspace),
		Service:        string(c.call.Service),
		Method:         c.call.Method,
		Body:           c.call.Body,
		DeadlineUnixMs: c.deadline.UnixMilli(),
		ClaimKey:       claimKey,
		BodyHash:       c.bodyHash[:],
	})
	if err == nil {
		err = resp.Refusal.Err()
	}
	c.recordOutcome(choice, r, err)
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{
		Status: int(resp.Status),
		Body:   resp.Body,
	}, nil
}

func (c *callRun) pickServer(r *pwrequest.Request) (pwrouter.Choice, error) {
	e := c.entry
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(c.call.Service)
	s.budget.RecordRequest(now)
	choice, err := s.router.Pick(now, r, pwrouter.PickOptions{
		LocalDataCentre: e.cfg.DataCentre,
	})
	if err != nil {
		return choice, err
	}
	s.router.RecordStart(choice.Server(), r)
	e.obs.LogDecision(pwobserve.Decision{
		Kind:      "route",
		Request:   r.ID(),
		Workspace: r.Workspace(),
		Service:   r.Service(),
		Choice:    choice.Server(),
		Reasons:   choice.LogDetail(),
	})
	return choice, nil
}

func (c *callRun) recordOutcome(choice pwrouter.Choice, r *pwrequest.Request, err error) {
	e := c.entry
	now := time.Now()
	o := pwrouter.Completed
	switch {
	case err == nil:
	case pwverdict.VerdictOf(err) == pwverdict.NotRun:
		o = pwrouter.Refused
	default:
		o = pwrouter.Failed
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.serviceLocked(c.call.Service).router.RecordEnd(now, choice.Server(), r, o)
}

func newAttemptID() pwrequest.AttemptID {
	return pwrequest.AttemptID("att-" + rand.Text())
}
