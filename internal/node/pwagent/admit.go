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

// Execute starts an attempt, or follows it when it already runs, and sends its
// events until it ends or ctx does. The attempt itself goes on when ctx ends,
// so that another entry can read the response.
func (a *Agent) Execute(ctx context.Context, req *pwrpc.ExecuteRequest, send SendFunc) error {
	id := pwrequest.AttemptID(req.AttemptId)
	if n, ok := a.answers.get(pwrequest.ID(req.RequestId)); ok && n.attempt == id {
		return n.stream(ctx, int64(len(req.GivenTokens)), send)
	}
	t, err := a.admit(req)
	if err != nil {
		return send(a.refused(req, err))
	}
	accepted := t.answer.event(&pwrpc.AnswerEvent_Accepted{
		Accepted: &pwrpc.Accepted{
			BackendServer: string(a.cfg.BackendServer),
			Fence:         t.fence,
		},
	})
	accepted.Load = a.Load()
	if err := send(accepted); err != nil {
		// The entry cannot know that the attempt was accepted.
		a.obs.Info("entry left before acceptance", "attempt", string(id))
	}
	return t.answer.stream(ctx, int64(len(req.GivenTokens)), send)
}

func (a *Agent) admit(req *pwrpc.ExecuteRequest) (*attempt, error) {
	now := time.Now()
	r := requestOf(req)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err := a.acceptable(now, r); err != nil {
		return nil, err
	}
	old, known := a.answers.get(r.ID())
	if known && string(old.owner) == req.Owner && old.number > req.AttemptNumber {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "attempt %d arrived after attempt %d", req.AttemptNumber, old.number)
	}
	if req.GroupId != "" {
		return a.admitMember(r, req)
	}
	if ahead := a.prefillAhead(now, r.Class()); req.MaxPrefillAhead > 0 && ahead > req.MaxPrefillAhead {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CausePrefillBusy, "%d prompt tokens go before this attempt, %d are allowed", ahead, req.MaxPrefillAhead)
	}
	if err := a.checkDropping(now, r.MemoryTokens()); err != nil {
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
	if prev, runs := a.runningAttempt(old); runs {
		prev.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "a newer attempt replaced this one"))
	}
	return a.startAttempt(r, req, grant.Fence()), nil
}

// runningAttempt returns the attempt behind an answer while it runs. The caller
// holds a.mu.
func (a *Agent) runningAttempt(n *answer) (*attempt, bool) {
	if n == nil {
		return nil, false
	}
	t, ok := a.running[n.attempt]
	return t, ok
}

// chunkTokens is the size of the prefill chunk that an attempt of a shorter
// class waits for.
const chunkTokens = 8192

// prefillAhead returns the prompt tokens that go before a new attempt of a
// class: those of the same and of shorter classes, and the chunk in progress of
// a longer one. The caller holds a.mu.
func (a *Agent) prefillAhead(now time.Time, class pwrequest.Class) int64 {
	var ahead, longer int64
	for c, n := range a.admission.Load(now).PendingPrefillTokens() {
		if pwrequest.Class(c) <= class {
			ahead += n
		} else {
			longer += n
		}
	}
	if a.segments > 0 {
		longer = chunkTokens
	}
	return ahead + min(longer, chunkTokens)
}

// admitMember starts an attempt on the memory that its group has reserved.
// The caller holds a.mu.
func (a *Agent) admitMember(r *pwrequest.Request, req *pwrpc.ExecuteRequest) (*attempt, error) {
	m, ok := a.members[req.GroupId]
	if !ok || m.fence != req.GroupFence {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "no group member with fencing token %d here", req.GroupFence)
	}
	return a.startAttempt(r, req, 0), nil
}

// startAttempt runs an admitted attempt. The caller holds a.mu.
func (a *Agent) startAttempt(r *pwrequest.Request, req *pwrpc.ExecuteRequest, fence uint64) *attempt {
	t := newAttempt(a, r, req, fence)
	a.running[t.id] = t
	a.answers.put(t.answer)
	a.notifyLoad()
	go t.run()
	return t
}

// acceptable checks what does not depend on load. The caller holds a.mu.
func (a *Agent) acceptable(now time.Time, r *pwrequest.Request) error {
	switch {
	case a.engine == nil:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s runs no model engine", a.cfg.BackendServer)
	case a.draining:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "agent %s is shutting down", a.cfg.Instance)
	case !a.inService, a.isolated:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "backend server %s is out of service or cut off", a.cfg.BackendServer)
	case !a.engineUp:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "backend server %s does not answer", a.cfg.BackendServer)
	case r.Service() != a.cfg.Service:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s serves %q, not %q", a.cfg.BackendServer, a.cfg.Service, r.Service())
	case !slices.Contains(a.cfg.Models, r.Model()):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "backend server %s has not loaded model %q", a.cfg.BackendServer, r.Model())
	case !now.Before(r.Deadline()):
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "attempt arrived after its deadline")
	default:
		return nil
	}
}

func (a *Agent) refused(req *pwrpc.ExecuteRequest, err error) *pwrpc.AnswerEvent {
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
			Refused: pwrpc.RefusalOf(err),
		},
		Load: a.Load(),
	}
}

// ReadAnswer streams a kept answer from an offset. An answer of another
// workspace is reported as not found.
func (a *Agent) ReadAnswer(ctx context.Context, req *pwrpc.ReadAnswerRequest, send SendFunc) error {
	n, ok := a.answers.get(pwrequest.ID(req.RequestId))
	if !ok || n.workspace != pwrequest.WorkspaceID(req.Workspace) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "no answer for request %q here", req.RequestId)
	}
	return n.stream(ctx, req.Offset, send)
}

// Cancel ends the running attempt of a request.
func (a *Agent) Cancel(_ context.Context, req *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error) {
	n, ok := a.answers.get(pwrequest.ID(req.RequestId))
	if !ok || n.workspace != pwrequest.WorkspaceID(req.Workspace) || (req.AttemptId != "" && req.AttemptId != string(n.attempt)) {
		return &pwrpc.CancelResponse{}, nil
	}
	a.mu.Lock()
	t, runs := a.running[n.attempt]
	a.mu.Unlock()
	if runs {
		t.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "cancelled by the caller"))
	}
	return &pwrpc.CancelResponse{
		Found: runs,
	}, nil
}
