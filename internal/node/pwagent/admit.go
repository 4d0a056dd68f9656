package pwagent

import (
	"context"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// Execute starts an attempt, or attaches to it when it was already started, and
// sends its events until the attempt or ctx ends. The attempt itself continues
// when ctx ends, so that another entry can read the answer.
func (a *Agent) Execute(ctx context.Context, req *pwrpc.ExecuteRequest, send SendFunc) error {
	id := pwrequest.AttemptID(req.AttemptId)
	if n, ok := a.answers.get(pwrequest.ID(req.RequestId)); ok && n.attemptID == id {
		return n.stream(ctx, int64(len(req.GivenTokens)), send)
	}
	t, err := a.admit(req)
	if err != nil {
		return send(a.refuse(req, err))
	}
	accepted := t.answer.newEvent(&pwrpc.AnswerEvent_Accepted{
		Accepted: &pwrpc.Accepted{
			BackendServer: string(a.cfg.BackendServer),
			Fence:         t.fence,
		},
	})
	accepted.Load = a.Load()
	if err := send(accepted); err != nil {
		// The entry has not received the acceptance, but the attempt continues.
		a.obs.Info("entry disconnected before the attempt's acceptance was sent", "attempt", string(id))
	}
	return t.answer.stream(ctx, int64(len(req.GivenTokens)), send)
}

// admit starts the attempt of a request, or returns an error that states why the
// agent refuses it.
func (a *Agent) admit(req *pwrpc.ExecuteRequest) (*attempt, error) {
	now := time.Now()
	r := requestFromMessage(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.checkPreconditions(now, r); err != nil {
		return nil, err
	}
	previous, found := a.answers.get(r.ID())
	if found && string(previous.owner) == req.Owner && previous.attemptNumber > req.AttemptNumber {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "attempt %d arrived after attempt %d", req.AttemptNumber, previous.attemptNumber)
	}
	if req.GroupId != "" {
		return a.admitMember(r, req)
	}
	if ahead := a.prefillTokensAhead(now, r.Class()); req.MaxPrefillAhead > 0 && ahead > req.MaxPrefillAhead {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CausePrefillBusy, "%d prompt tokens would be prefilled before this attempt; the request allows %d", ahead, req.MaxPrefillAhead)
	}
	if err := a.checkDroppingTokens(now, r.MemoryTokens()); err != nil {
		return nil, err
	}
	grant, err := a.admission.Admit(now, pwadmission.Attempt{
		ID:       pwrequest.AttemptID(req.AttemptId),
		Request:  r,
		Owner:    pwrequest.InstanceID(req.Owner),
		Isolated: req.Isolated,
		Deadline: r.Deadline().Add(reclaimGrace),
	})
	if err != nil {
		return nil, err
	}
	if replaced, running := a.runningAttempt(previous); running {
		replaced.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "a newer attempt replaced this one"))
	}
	return a.startAttempt(r, req, grant.Fence()), nil
}

// runningAttempt returns the attempt that generates an answer, or false when it
// has ended or the answer is nil. The caller holds a.mu.
func (a *Agent) runningAttempt(n *answer) (*attempt, bool) {
	if n == nil {
		return nil, false
	}
	t, ok := a.running[n.attemptID]
	return t, ok
}

// prefillChunkTokens is the size of the engine's prefill chunks. An attempt waits
// for at most one chunk of a longer class.
const prefillChunkTokens = 8192

// prefillTokensAhead returns the prompt tokens that the engine prefills before a
// new attempt of a class: all pending ones of the same and of shorter classes,
// and the chunk in progress of a longer class. The caller holds a.mu.
func (a *Agent) prefillTokensAhead(now time.Time, class pwrequest.Class) int64 {
	var tokens, longerTokens int64
	for c, n := range a.admission.Load(now).PendingPrefillTokens() {
		if pwrequest.Class(c) <= class {
			tokens += n
		} else {
			longerTokens += n
		}
	}
	if a.runningSegments > 0 {
		longerTokens = prefillChunkTokens
	}
	return tokens + min(longerTokens, prefillChunkTokens)
}

// admitMember starts an attempt that uses the memory reserved by its group. The
// caller holds a.mu.
func (a *Agent) admitMember(r *pwrequest.Request, req *pwrpc.ExecuteRequest) (*attempt, error) {
	m, ok := a.members[req.GroupId]
	if !ok || m.fence != req.GroupFence {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "group %q has no member with fencing token %d on backend server %s", req.GroupId, req.GroupFence, a.cfg.BackendServer)
	}
	return a.startAttempt(r, req, 0), nil
}

// startAttempt runs an admitted attempt. The caller holds a.mu.
func (a *Agent) startAttempt(r *pwrequest.Request, req *pwrpc.ExecuteRequest, fence uint64) *attempt {
	t := newAttempt(a, r, req, fence)
	a.running[t.id] = t
	a.answers.put(t.answer)
	a.signalLoadChange()
	go t.run()
	return t
}

// checkPreconditions returns an error when the agent cannot run the request at
// any load. The caller holds a.mu.
func (a *Agent) checkPreconditions(now time.Time, r *pwrequest.Request) error {
	switch {
	case a.engine == nil:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s runs no model engine", a.cfg.BackendServer)
	case a.draining:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "agent %s is shutting down", a.cfg.Instance)
	case !a.inService, a.isolated:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "backend server %s is out of service or its agent is isolated", a.cfg.BackendServer)
	case !a.engineResponding:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "backend server %s does not respond", a.cfg.BackendServer)
	case r.Service() != a.cfg.Service:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s serves %q, not %q", a.cfg.BackendServer, a.cfg.Service, r.Service())
	case !slices.Contains(a.cfg.Models, r.Model()):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "backend server %s has not loaded model %q", a.cfg.BackendServer, r.Model())
	case !now.Before(r.Deadline()):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "attempt arrived after its deadline %s", r.Deadline().Format(time.RFC3339Nano))
	default:
		return nil
	}
}

// refuse records the refusal of an attempt and returns the event that reports it.
func (a *Agent) refuse(req *pwrpc.ExecuteRequest, err error) *pwrpc.AnswerEvent {
	a.obs.LogDecision(pwobserve.Decision{
		Kind:      "refuse",
		Request:   pwrequest.ID(req.RequestId),
		Attempt:   pwrequest.AttemptID(req.AttemptId),
		Workspace: pwrequest.WorkspaceID(req.Workspace),
		Service:   a.cfg.Service,
		Choice:    a.cfg.BackendServer,
		Verdict:   pwverdict.VerdictOf(err).String(),
		Cause:     string(pwverdict.CauseOf(err)),
	})
	return &pwrpc.AnswerEvent{
		RequestId: req.RequestId,
		AttemptId: req.AttemptId,
		Event: &pwrpc.AnswerEvent_Refused{
			Refused: pwrpc.NewRefusal(err),
		},
		Load: a.Load(),
	}
}

// ReadAnswer streams a retained answer from an offset. An answer of another
// workspace is reported as not found.
func (a *Agent) ReadAnswer(ctx context.Context, req *pwrpc.ReadAnswerRequest, send SendFunc) error {
	n, ok := a.answers.get(pwrequest.ID(req.RequestId))
	if !ok || n.workspace != pwrequest.WorkspaceID(req.Workspace) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "no answer to request %q on backend server %s", req.RequestId, a.cfg.BackendServer)
	}
	return n.stream(ctx, req.Offset, send)
}

// Cancel ends the running attempt of a request and reports whether there was
// one. A request of another workspace, or another attempt than the one named, is
// left alone.
func (a *Agent) Cancel(_ context.Context, req *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
	n, ok := a.answers.get(pwrequest.ID(req.RequestId))
	if !ok || n.workspace != pwrequest.WorkspaceID(req.Workspace) || (req.AttemptId != "" && req.AttemptId != string(n.attemptID)) {
		return &pwrpc.CancelResponse{}, nil
	}
	a.mu.Lock()
	t, running := a.running[n.attemptID]
	a.mu.Unlock()
	if running {
		t.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "cancelled by the caller"))
	}
	return &pwrpc.CancelResponse{
		Found: running,
	}, nil
}
