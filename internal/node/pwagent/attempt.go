package pwagent

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// attempt is one prompt on the backend server.
type attempt struct {
	agent   *Agent
	id      pwrequest.AttemptID
	fence   uint64
	request *pwrequest.Request
	gen     pwengine.Generation
	answer  *answer
	ctx     context.Context
	stop    context.CancelCauseFunc
	prefill prefill // guarded by the agent's lock

	mu           sync.Mutex
	concurrent   []uint64
	serverDied   bool
	startedAt    time.Time
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

func requestOf(req *pwrpc.ExecuteRequest) *pwrequest.Request {
	return pwrequest.New(pwrequest.Params{
		ID:           pwrequest.ID(req.RequestId),
		Workspace:    pwrequest.WorkspaceID(req.Workspace),
		Service:      pwrequest.ServiceID(req.Service),
		Model:        pwrequest.ModelID(req.Model),
		Adapter:      req.Adapter,
		PromptTokens: req.PromptTokens,
		MaxTokens:    req.MaxTokens,
		Priority:     int(req.Priority),
		AdmittedAt:   time.Now(),
		Deadline:     time.UnixMilli(req.DeadlineUnixMs),
		Fingerprint:  req.Fingerprint,
	})
}

func newAttempt(a *Agent, r *pwrequest.Request, req *pwrpc.ExecuteRequest, fence uint64) *attempt {
	ctx, stop := context.WithCancelCause(a.baseCtx)
	answer := newAnswer(r.ID(), pwrequest.AttemptID(req.AttemptId), r.Workspace(), req.GivenTokens)
	answer.number, answer.owner = req.AttemptNumber, pwrequest.InstanceID(req.Owner)
	return &attempt{
		agent:   a,
		id:      pwrequest.AttemptID(req.AttemptId),
		fence:   fence,
		request: r,
		gen: pwengine.Generation{
			AttemptID:    pwrequest.AttemptID(req.AttemptId),
			Model:        r.Model(),
			Adapter:      r.Adapter(),
			Prompt:       req.Prompt,
			PromptTokens: r.PromptTokens(),
			MaxTokens:    r.MaxTokens(),
			Priority:     enginePriority(r),
			GivenTokens:  req.GivenTokens,
			KVHandles:    req.KvHandles,
			Fingerprint:  r.Fingerprint(),
		},
		answer:    answer,
		ctx:       ctx,
		stop:      stop,
		startedAt: time.Now(),
	}
}

// classPriority separates the length classes in the engine, so that the
// chunked prefill of a long prompt gives way to short prompts.
const classPriority = 1000

func enginePriority(r *pwrequest.Request) int {
	callers := max(-classPriority/2, min(classPriority/2-1, r.Priority()))
	return (pwrequest.ClassCount-1-int(r.Class()))*classPriority + callers
}

// run generates the answer and releases the reservation in every case.
func (t *attempt) run() {
	a := t.agent
	ctx, cancel := context.WithDeadline(t.ctx, t.request.Deadline())
	defer cancel()
	finish, err := t.generate(ctx)
	ended := t.outcome(ctx, finish, err)
	t.answer.end(time.Now(), ended)
	if ctx.Err() != nil && !ended.ServerDied {
		a.awaitEngine(time.Now())
	}
	a.finished(t)
	t.stop(nil)
	a.obs.LogDecision(pwobserve.Decision{
		Kind:      "finish",
		Request:   t.request.ID(),
		Attempt:   t.id,
		Workspace: t.request.Workspace(),
		Service:   t.request.Service(),
		Choice:    a.cfg.BackendServer,
		Reasons:   ended.Reason,
		Verdict:   verdictOf(ended).String(),
		Cause:     ended.GetFailure().GetCause(),
	})
}

func (t *attempt) generate(ctx context.Context) (pwengine.Finish, error) {
	a := t.agent
	a.mu.Lock()
	started := t.fence == 0 || a.admission.MarkStarted(time.Now(), t.id)
	t.prefill = a.prefills.start()
	a.mu.Unlock()
	defer t.endPrefill()
	if !started {
		return pwengine.Finish{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "the reservation was reclaimed before the attempt started")
	}
	return a.engine.Generate(ctx, t.gen, t.emit)
}

func (t *attempt) emit(tokens []string) error {
	now := time.Now()
	t.mu.Lock()
	first := t.firstTokenAt.IsZero()
	last := t.lastTokenAt
	if first {
		t.firstTokenAt = now
	}
	t.lastTokenAt = now
	t.mu.Unlock()
	a := t.agent
	a.mu.Lock()
	if first {
		a.admission.MarkPrefilled(now, t.id)
		if a.prefills.end(t.prefill) {
			a.admission.ObserveFirstToken(now, t.request.PromptTokens(), now.Sub(t.startedAt))
		}
	} else if len(tokens) > 0 {
		a.admission.ObserveStep(now, now.Sub(last)/time.Duration(len(tokens)))
	}
	a.mu.Unlock()
	t.answer.append(tokens)
	return nil
}

func verdictOf(e *pwrpc.Ended) pwverdict.Verdict {
	if e.Failure == nil {
		return pwverdict.Ran
	}
	return pwverdict.VerdictOf(e.Failure.Err())
}

// endPrefill ends the prefill of an attempt that never gave a token.
func (t *attempt) endPrefill() {
	t.mu.Lock()
	first := t.firstTokenAt.IsZero()
	t.mu.Unlock()
	if first {
		t.agent.mu.Lock()
		t.agent.prefills.end(t.prefill)
		t.agent.mu.Unlock()
	}
}

func (t *attempt) outcome(ctx context.Context, finish pwengine.Finish, err error) *pwrpc.Ended {
	if err == nil {
		return &pwrpc.Ended{
			Reason: finish.Reason,
		}
	}
	t.mu.Lock()
	died, concurrent := t.serverDied, t.concurrent
	t.mu.Unlock()
	if !died && ctx.Err() == nil && isServerDeath(err) {
		died, concurrent = true, t.agent.engineDied(t.id)
	}
	if ctx.Err() == nil && pwverdict.VerdictOf(err) == pwverdict.NotRun && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable {
		t.agent.engineSilent()
	}
	switch cause := context.Cause(ctx); {
	case died:
		return failed(errServerDied, true, concurrent)
	case pwverdict.CauseOf(cause) == pwverdict.CauseCancelled && ctx.Err() != nil:
		e := failed(cause, false, nil)
		e.Reason = "cancelled"
		return e
	case ctx.Err() != nil:
		return failed(cause, false, nil)
	default:
		return failed(err, false, nil)
	}
}

func failed(err error, died bool, concurrent []uint64) *pwrpc.Ended {
	return &pwrpc.Ended{
		Reason:                 "error",
		Failure:                pwrpc.RefusalOf(err),
		ServerDied:             died,
		ConcurrentFingerprints: concurrent,
	}
}

// cancel ends the attempt; its memory is released when the engine returns.
func (t *attempt) cancel(cause error) {
	t.stop(cause)
}

// died ends the attempt after its backend server died.
func (t *attempt) died(concurrent []uint64) {
	t.mu.Lock()
	t.serverDied = true
	t.concurrent = concurrent
	t.mu.Unlock()
	t.stop(errServerDied)
}
