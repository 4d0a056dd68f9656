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

// abortTimeout bounds the step that makes a not_run true after the caller's
// deadline.
const abortTimeout = 3 * time.Second

// Call is one call of a plain service's method.
type Call struct {
	Workspace pwrequest.WorkspaceID
	Service   pwrequest.ServiceID
	Method    string
	Body      []byte
	// IdempotencyKey is required for methods that may not be repeated.
	IdempotencyKey string
	// Deadline is the time the call may take; 0 takes the document's default.
	Deadline time.Duration
}

// CallResult is the response of the plain service.
type CallResult struct {
	RequestID pwrequest.ID
	Status    int
	Body      []byte
	// Replayed is set when an earlier call with the same key gave the result.
	Replayed bool
}

// Call runs a method of a plain service: a repeatable one with retries, any
// other at most once. The error's verdict says whether it may have run.
func (e *Entry) Call(ctx context.Context, c Call) (CallResult, error) {
	id := pwrequest.ID("req-" + rand.Text())
	res, err := e.startCall(ctx, id, c)
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
	e.obs.Decision(d)
	return res, err
}

func (e *Entry) startCall(ctx context.Context, id pwrequest.ID, c Call) (CallResult, error) {
	method, attempts, err := e.callAllowed(c)
	if err != nil {
		return CallResult{}, err
	}
	defer e.callEnded()
	deadline := time.Now().Add(method.Deadline())
	if c.Deadline > 0 {
		deadline = time.Now().Add(c.Deadline)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	t := &callTry{
		entry:    e,
		id:       id,
		call:     c,
		deadline: deadline,

		maxAttempts: attempts,
	}
	if method.Repeatable {
		return t.repeat(ctx)
	}
	return t.once(ctx)
}

func (e *Entry) callAllowed(c Call) (pwdocument.Method, int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, doc, err := e.usable(c.Service)
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
	e.calls++
	return m, doc.Retry.MaxAttempts, nil
}

func (e *Entry) callEnded() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.calls--
	e.closeIdleLocked()
}

// callTry is one call on its way.
type callTry struct {
	entry    *Entry
	id       pwrequest.ID
	call     Call
	deadline time.Time
	key      pwclaim.Key
	hash     [32]byte
	// maxAttempts is the document's bound.
	maxAttempts int
}

// repeat sends a repeatable call until it succeeds, within the retry budget.
func (t *callTry) repeat(ctx context.Context) (CallResult, error) {
	for n := 1; ; n++ {
		res, err := t.send(ctx, newAttemptID(), "")
		if err == nil || !t.waitForRetry(ctx, n, err, true) {
			return res, err
		}
	}
}

// once claims the key, sends the attempt, and says not_run only when the
// claim row proves it.
func (t *callTry) once(ctx context.Context) (CallResult, error) {
	t.key = pwclaim.Key{
		Workspace:      t.call.Workspace,
		IdempotencyKey: string(t.call.Service) + "/" + t.call.Method + "/" + t.call.IdempotencyKey,
	}
	t.hash = sha256.Sum256(t.call.Body)
	for n := 1; ; n++ {
		res, err := t.claimAndSend(ctx)
		if err == nil || !t.waitForRetry(ctx, n, err, false) {
			return res, err
		}
	}
}

func (t *callTry) claimAndSend(ctx context.Context) (CallResult, error) {
	id := newAttemptID()
	o, err := t.entry.claims.Claim(ctx, t.key, t.hash, id)
	if err != nil {
		return CallResult{}, err
	}
	switch o.Kind() {
	case pwclaim.OutcomeAlreadyDone:
		return resultOf(o.Record())
	case pwclaim.OutcomeInProgress:
		return CallResult{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInProgress, "a call with this key is in progress").
			WithRetryAfter(time.Second)
	}
	res, err := t.send(ctx, id, t.key.IdempotencyKey)
	if err == nil || pwverdict.VerdictOf(err) == pwverdict.Ran {
		return res, err
	}
	return CallResult{}, t.settle(ctx, id, err)
}

// settle turns the failure of a sent attempt into a verdict. The attempt may
// still be on its way to the agent, so only an aborted row proves not_run.
func (t *callTry) settle(ctx context.Context, id pwrequest.AttemptID, err error) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), abortTimeout)
	defer cancel()
	aborted, abortErr := t.entry.claims.Abort(ctx, t.key, id)
	if aborted {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseOf(err), "call did not run")
	}
	return pwverdict.Wrap(errors.Join(err, abortErr), pwverdict.MayHaveRun, pwverdict.CauseOf(err), "outcome of the call is not known; ask for it by its key")
}

func resultOf(r pwclaim.Record) (CallResult, error) {
	if r.ResultOmitted() {
		return CallResult{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseConflict, "call ran with status %d; its result was too large to keep", r.Status())
	}
	return CallResult{
		Status:   r.Status(),
		Body:     r.Result(),
		Replayed: true,
	}, nil
}

// LookupCall returns what is known of an earlier call with a key.
func (e *Entry) LookupCall(ctx context.Context, c Call) (pwclaim.Record, error) {
	if e.claims == nil {
		return pwclaim.Record{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "this entry has no claim table")
	}
	return e.claims.Lookup(ctx, pwclaim.Key{
		Workspace:      c.Workspace,
		IdempotencyKey: string(c.Service) + "/" + c.Method + "/" + c.IdempotencyKey,
	})
}

// waitForRetry waits before another try, or reports that there is none.
func (t *callTry) waitForRetry(ctx context.Context, n int, err error, repeatable bool) bool {
	e := t.entry
	now := time.Now()
	if n >= t.maxAttempts || !pwretry.Allowed(err, repeatable) || ctx.Err() != nil {
		return false
	}
	e.mu.Lock()
	s := e.serviceLocked(t.call.Service)
	delay := s.backoff.DelayFor(n, err)
	ok := pwretry.FitsDeadline(now, t.deadline, delay, pwretry.DefaultMinAttempt) && s.budget.Take(now) == nil
	e.mu.Unlock()
	return ok && sleep(ctx, delay) == nil
}

// send makes one attempt at one agent.
func (t *callTry) send(ctx context.Context, id pwrequest.AttemptID, claimKey string) (CallResult, error) {
	e := t.entry
	r := pwrequest.New(pwrequest.Params{
		ID:           t.id,
		Workspace:    t.call.Workspace,
		Service:      t.call.Service,
		Model:        pwrequest.PlainModel,
		PromptTokens: 1,
		Deadline:     t.deadline,
	})
	choice, err := t.pick(r)
	if err != nil {
		return CallResult{}, err
	}
	resp, err := e.agents.Agent(choice.Address()).Call(ctx, &pwrpc.CallRequest{
		RequestId:      string(t.id),
		AttemptId:      string(id),
		Workspace:      string(t.call.Workspace),
		Service:        string(t.call.Service),
		Method:         t.call.Method,
		Body:           t.call.Body,
		DeadlineUnixMs: t.deadline.UnixMilli(),
		ClaimKey:       claimKey,
		BodyHash:       t.hash[:],
	})
	if err == nil {
		err = resp.Refusal.Err()
	}
	t.finish(choice, r, err)
	if err != nil {
		return CallResult{}, err
	}
	return CallResult{
		Status: int(resp.Status),
		Body:   resp.Body,
	}, nil
}

func (t *callTry) pick(r *pwrequest.Request) (pwrouter.Choice, error) {
	e := t.entry
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(t.call.Service)
	s.budget.RecordRequest(now)
	choice, err := s.router.Pick(now, r, pwrouter.PickOptions{
		LocalDataCentre: e.cfg.DataCentre,
	})
	if err != nil {
		return choice, err
	}
	s.router.RecordStart(choice.Server(), r)
	e.obs.Decision(pwobserve.Decision{
		Kind:      "route",
		Request:   r.ID(),
		Workspace: r.Workspace(),
		Service:   r.Service(),
		Choice:    choice.Server(),
		Reasons:   choice.LogDetail(),
	})
	return choice, nil
}

func (t *callTry) finish(choice pwrouter.Choice, r *pwrequest.Request, err error) {
	e := t.entry
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
	e.serviceLocked(t.call.Service).router.RecordEnd(now, choice.Server(), r, o)
}

func newAttemptID() pwrequest.AttemptID {
	return pwrequest.AttemptID("att-" + rand.Text())
}
