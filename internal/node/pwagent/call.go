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

// PlainService is what the agent needs of a plain service. Its errors carry
// whether the method may have run.
type PlainService interface {
	Call(ctx context.Context, method, key string, body []byte) (status int, response []byte, err error)
}

// ClaimStore is the agent's part of the claim protocol.
type ClaimStore interface {
	Dispatch(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) error
	Retract(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) (aborted bool, err error)
	Finish(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID, result []byte, status int) error
}

// Retries of Finish and Retract: the row decides what a later caller is told,
// so the agent keeps trying after the call itself is over.
const (
	recordRetryFor   = 10 * time.Minute
	recordRetryFirst = 100 * time.Millisecond
	recordRetryMax   = 5 * time.Second
)

// Call runs one method of the plain service. With a claim key it runs only
// after the claim row in the table is confirmed to be dispatched by this call.
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
		resp.Refusal = pwrpc.RefusalOf(err)
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

func (a *Agent) call(ctx context.Context, req *pwrpc.CallRequest) (int, []byte, error) {
	if err := a.startCall(ctx, req); err != nil {
		return 0, nil, err
	}
	handedOver := false
	defer func() {
		if !handedOver {
			a.endCall()
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
		handedOver, err = a.retract(ctx, key, id, err)
		return 0, nil, err
	}
	status, body, err := a.service.Call(ctx, req.Method, serviceKey(req), req.Body)
	if err != nil {
		// The row says dispatched, so nothing else will run this call; even
		// a failure to connect leaves it for a person to settle.
		return 0, nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "call failed after it was dispatched")
	}
	handedOver = a.finishClaim(ctx, key, id, status, body)
	return status, body, nil
}

// serviceKey is the idempotency key that the plain service sees. It names the
// workspace, because two workspaces may use the same key.
func serviceKey(req *pwrpc.CallRequest) string {
	return req.Workspace + "/" + req.ClaimKey
}

func (a *Agent) startCall(ctx context.Context, req *pwrpc.CallRequest) error {
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
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "backend server %s is out of service or cut off", a.cfg.BackendServer)
	case ctx.Err() != nil:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "call arrived after its deadline")
	}
	select {
	case a.calls <- struct{}{}:
		return nil
	default:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "backend server %s has %d calls running", a.cfg.BackendServer, cap(a.calls))
	}
}

func (a *Agent) endCall() {
	a.mu.Lock()
	defer a.mu.Unlock()
	<-a.calls
	a.closeIdleLocked()
}

// retract undoes a dispatch that was not confirmed, because nobody calls the
// service for it, and returns the error of the call. Without a reply of the
// table it goes on in the background; the answer is then may_have_run.
func (a *Agent) retract(ctx context.Context, key pwclaim.Key, id pwrequest.AttemptID, failed error) (handedOver bool, _ error) {
	if pwverdict.VerdictOf(failed) != pwverdict.MayHaveRun {
		return false, failed
	}
	aborted, err := a.claims.Retract(ctx, key, id)
	switch {
	case err != nil:
		a.recordLater(id, func(ctx context.Context) error {
			_, err := a.claims.Retract(ctx, key, id)
			return err
		})
		return true, failed
	case aborted:
		return false, pwverdict.Wrap(failed, pwverdict.NotRun, pwverdict.CauseOf(failed), "dispatch was not confirmed and has been undone")
	}
	return false, failed
}

// finishClaim records the result in the claim row, at once when the table
// answers, otherwise in the background.
func (a *Agent) finishClaim(ctx context.Context, key pwclaim.Key, id pwrequest.AttemptID, status int, body []byte) (handedOver bool) {
	if a.claims.Finish(ctx, key, id, body, status) == nil {
		return false
	}
	a.recordLater(id, func(ctx context.Context) error {
		return a.claims.Finish(ctx, key, id, body, status)
	})
	return true
}

// recordLater repeats a step of the claim protocol in the background until the
// table confirms it. It takes over the place of the call, so that a graceful
// shutdown waits for the record; waiting for a second place could block all
// calls for good.
func (a *Agent) recordLater(id pwrequest.AttemptID, step func(ctx context.Context) error) {
	r := &claimRecorder{
		agent: a,
		id:    id,
		step:  step,
	}
	go r.run()
}

type claimRecorder struct {
	agent *Agent
	id    pwrequest.AttemptID
	step  func(ctx context.Context) error
}

func (r *claimRecorder) run() {
	defer r.agent.endCall()
	ctx, cancel := context.WithTimeout(r.agent.baseCtx, recordRetryFor)
	defer cancel()
	delay := recordRetryFirst
	for sleep(ctx, delay) == nil {
		err := r.step(ctx)
		if err == nil || pwverdict.CauseOf(err) == pwverdict.CauseConflict {
			return
		}
		delay = min(2*delay, recordRetryMax)
	}
	r.agent.obs.Warn("claim row could not be brought up to date", ctx.Err(), "attempt", string(r.id))
}
