package pwagent

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
)

// PlainService runs methods of a service without a model engine. Its errors carry a
// verdict that states whether the method may have run.
type PlainService interface {
	Call(ctx context.Context, method, key string, body []byte) (status int, response []byte, err error)
}

// ClaimStore performs the agent's steps of the claim protocol, which lets a call
// run at most once.
type ClaimStore interface {
	Dispatch(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) error
	Retract(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) (aborted bool, err error)
	Finish(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID, result []byte, status int) error
}

// Finish and Retract are retried after the call itself has ended, because later
// callers with the same key get the response from the claim row.
const (
	claimRetryTimeout      = 10 * time.Minute
	claimRetryInitialDelay = 100 * time.Millisecond
	claimRetryMaxDelay     = 5 * time.Second
)

// Call runs one method of the plain service. With a claim key the method runs only
// after the table has confirmed that this call marked the claim row as dispatched.
func (a *Agent) Call(ctx context.Context, req *pwrpc.CallRequest) (*pwrpc.CallResponse, error) {
	ctx, cancel := context.WithDeadline(ctx, time.UnixMilli(req.DeadlineUnixMs))
	defer cancel()
	status, body, err := a.call(ctx, req)
	resp := &pwrpc.CallResponse{
		Status: int32(status),
		Body:   body,
	}
	verdict := pwverdict.Ran
	if err != nil {
		resp.Refusal = pwrpc.NewRefusal(err)
		verdict = pwverdict.VerdictOf(err)
	}
	a.obs.LogDecision(pwobserve.Decision{
		Kind:      "call",
		Request:   pwrequest.ID(req.RequestId),
		Attempt:   pwrequest.AttemptID(req.AttemptId),
		Workspace: pwrequest.WorkspaceID(req.Workspace),
		Service:   a.cfg.Service,
		Choice:    a.cfg.BackendServer,
		Verdict:   verdict.String(),
		Cause:     resp.GetRefusal().GetCause(),
	})
	return resp, nil
}

// call runs the method in a call slot. The slot is released at the end unless a
// background retry of a claim step has taken it over.
func (a *Agent) call(ctx context.Context, req *pwrpc.CallRequest) (int, []byte, error) {
	if err := a.acquireCallSlot(ctx, req); err != nil {
		return 0, nil, err
	}
	slotTransferred := false
	defer func() {
		if !slotTransferred {
			a.releaseCallSlot()
		}
	}()
	if req.ClaimKey == "" {
		return a.service.Call(ctx, req.Method, "", req.Body)
	}
	key := pwclaim.Key{
		Workspace:      pwrequest.WorkspaceID(req.Workspace),
		IdempotencyKey: req.ClaimKey,
	}
	id := pwrequest.AttemptID(req.AttemptId)
	if err := a.claims.Dispatch(ctx, key, id); err != nil {
		slotTransferred, err = a.retractDispatch(ctx, key, id, err)
		return 0, nil, err
	}
	status, body, err := a.service.Call(ctx, req.Method, idempotencyKey(req), req.Body)
	if err != nil {
		// The row is marked as dispatched, so nothing else runs this call. Even
		// after a failed connection an operator has to resolve it.
		return 0, nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "call failed after it was dispatched")
	}
	slotTransferred = a.finishClaim(ctx, key, id, status, body)
	return status, body, nil
}

// idempotencyKey returns the idempotency key for the plain service. It contains the
// workspace, because two workspaces may use the same claim key.
func idempotencyKey(req *pwrpc.CallRequest) string {
	return req.Workspace + "/" + req.ClaimKey
}

// acquireCallSlot checks whether the call is accepted and takes one of the slots for
// concurrent calls.
func (a *Agent) acquireCallSlot(ctx context.Context, req *pwrpc.CallRequest) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.service == nil || req.Service != string(a.cfg.Service):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s does not serve %q", a.cfg.BackendServer, req.Service)
	case req.ClaimKey != "" && a.claims == nil:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "agent %s has no claim table", a.cfg.Instance)
	case a.draining:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "agent %s is shutting down", a.cfg.Instance)
	case !a.inService, a.isolated:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "backend server %s is out of service or its agent is isolated", a.cfg.BackendServer)
	case ctx.Err() != nil:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "call arrived after its deadline %s", time.UnixMilli(req.DeadlineUnixMs).Format(time.RFC3339Nano))
	}
	select {
	case a.callSlots <- struct{}{}:
		return nil
	default:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "backend server %s already runs its maximum of %d calls", a.cfg.BackendServer, cap(a.callSlots))
	}
}

func (a *Agent) releaseCallSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	<-a.callSlots
	a.closeDrainedIfIdle()
}

// retractDispatch undoes a dispatch that the table did not confirm, because the
// service is not called for it, and returns the error of the call. If the table does
// not reply, the retraction is retried in the background with the slot of the call,
// and the call's verdict is may_have_run.
func (a *Agent) retractDispatch(ctx context.Context, key pwclaim.Key, id pwrequest.AttemptID, dispatchErr error) (slotTransferred bool, _ error) {
	if pwverdict.VerdictOf(dispatchErr) != pwverdict.MayHaveRun {
		return false, dispatchErr
	}
	aborted, err := a.claims.Retract(ctx, key, id)
	switch {
	case err != nil:
		a.retryClaimStep(id, func(ctx context.Context) error {
			_, err := a.claims.Retract(ctx, key, id)
			return err
		})
		return true, dispatchErr
	case aborted:
		return false, pwverdict.Wrap(dispatchErr, pwverdict.NotRun, pwverdict.CauseOf(dispatchErr), "dispatch was not confirmed and has been undone")
	}
	return false, dispatchErr
}

// finishClaim records the result in the claim row. If that fails, it is retried in
// the background with the slot of the call.
func (a *Agent) finishClaim(ctx context.Context, key pwclaim.Key, id pwrequest.AttemptID, status int, body []byte) (slotTransferred bool) {
	if a.claims.Finish(ctx, key, id, body, status) == nil {
		return false
	}
	a.retryClaimStep(id, func(ctx context.Context) error {
		return a.claims.Finish(ctx, key, id, body, status)
	})
	return true
}

// retryClaimStep repeats a step of the claim protocol in the background until the
// table confirms it. It takes over the slot of the call, so that a graceful shutdown
// waits for the step; acquiring a second slot could deadlock all calls.
func (a *Agent) retryClaimStep(id pwrequest.AttemptID, step func(ctx context.Context) error) {
	r := &claimRetrier{
		agent:     a,
		attemptID: id,
		step:      step,
	}
	go r.run()
}

// claimRetrier repeats one step of the claim protocol and owns a call slot.
type claimRetrier struct {
	agent     *Agent
	attemptID pwrequest.AttemptID
	step      func(ctx context.Context) error
}

// run returns when the table has confirmed the step or has refused it as a conflict,
// or after claimRetryTimeout.
func (r *claimRetrier) run() {
	defer r.agent.releaseCallSlot()
	ctx, cancel := context.WithTimeout(r.agent.baseCtx, claimRetryTimeout)
	defer cancel()
	delay := claimRetryInitialDelay
	for sleep(ctx, delay) == nil {
		err := r.step(ctx)
		if err == nil || pwverdict.CauseOf(err) == pwverdict.CauseConflict {
			return
		}
		delay = min(2*delay, claimRetryMaxDelay)
	}
	r.agent.obs.Warn("claim row could not be updated; its state may be out of date", ctx.Err(), "attempt", string(r.attemptID))
}
