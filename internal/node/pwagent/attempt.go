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

// attempt is the generation of one answer on the backend server.
type attempt struct {
	agent      *Agent
	id         pwrequest.AttemptID
	fence      uint64
	request    *pwrequest.Request
	generation pwengine.Generation
	answer     *answer
	ctx        context.Context
	cancelCtx  context.CancelCauseFunc
	prefill    prefill // guarded by the agent's lock

	mu                     sync.Mutex
	concurrentFingerprints []uint64
	serverCrashed          bool
	startedAt              time.Time
	firstTokenAt           time.Time
	lastTokenAt            time.Time
}

// requestFromMessage converts the message of an attempt to a request.
func requestFromMessage(req *pwrpc.ExecuteRequest) *pwrequest.Request {
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
	ctx, cancel := context.WithCancelCause(a.baseCtx)
	answer := newAnswer(r.ID(), pwrequest.AttemptID(req.AttemptId), r.Workspace(), req.GivenTokens)
	answer.attemptNumber, answer.owner = req.AttemptNumber, pwrequest.InstanceID(req.Owner)
	return &attempt{
		agent:   a,
		id:      pwrequest.AttemptID(req.AttemptId),
		fence:   fence,
		request: r,
		generation: pwengine.Generation{
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
		cancelCtx: cancel,
		startedAt: time.Now(),
	}
}

// classPriorityRange is the number of engine priorities for each length class. All
// priorities of a shorter class are above those of a longer one, so that the engine
// prefills short prompts between the chunks of a long one.
const classPriorityRange = 1000

// enginePriority maps the length class and the caller's priority to the engine's
// priority.
func enginePriority(r *pwrequest.Request) int {
	callerPriority := max(-classPriorityRange/2, min(classPriorityRange/2-1, r.Priority()))
	return (pwrequest.ClassCount-1-int(r.Class()))*classPriorityRange + callerPriority
}

// run generates the answer, records its outcome and releases the reservation.
func (t *attempt) run() {
	a := t.agent
	ctx, cancel := context.WithDeadline(t.ctx, t.request.Deadline())
	defer cancel()
	finish, err := t.generate(ctx)
	outcome := t.classifyOutcome(ctx, finish, err)
	t.answer.end(time.Now(), outcome)
	if ctx.Err() != nil && !outcome.ServerDied {
		a.waitForEngineReply(time.Now())
	}
	a.releaseAttempt(t)
	t.cancelCtx(nil)
	a.obs.LogDecision(pwobserve.Decision{
		Kind:      "finish",
		Request:   t.request.ID(),
		Attempt:   t.id,
		Workspace: t.request.Workspace(),
		Service:   t.request.Service(),
		Choice:    a.cfg.BackendServer,
		Reasons:   outcome.Reason,
		Verdict:   outcomeVerdict(outcome).String(),
		Cause:     outcome.GetFailure().GetCause(),
	})
}

// generate runs the attempt on the engine unless its reservation was reclaimed
// before.
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
	return a.engine.Generate(ctx, t.generation, t.emit)
}

// emit appends generated tokens to the answer and reports their timing to the
// admission controller.
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

// outcomeVerdict returns the verdict that an outcome stands for.
func outcomeVerdict(e *pwrpc.Ended) pwverdict.Verdict {
	if e.Failure == nil {
		return pwverdict.Ran
	}
	return pwverdict.VerdictOf(e.Failure.Err())
}

// endPrefill ends the prefill of an attempt that generated no token.
func (t *attempt) endPrefill() {
	t.mu.Lock()
	noToken := t.firstTokenAt.IsZero()
	t.mu.Unlock()
	if noToken {
		t.agent.mu.Lock()
		t.agent.prefills.end(t.prefill)
		t.agent.mu.Unlock()
	}
}

// classifyOutcome converts the engine's result to the outcome of the answer. An
// error that shows a crash of the backend server also ends the other attempts on
// it, and an unreachable engine gets no new work.
func (t *attempt) classifyOutcome(ctx context.Context, finish pwengine.Finish, err error) *pwrpc.Ended {
	if err == nil {
		return &pwrpc.Ended{
			Reason: finish.Reason,
		}
	}
	crashed, concurrent := t.crash()
	if !crashed && ctx.Err() == nil && isServerCrash(err) {
		crashed, concurrent = true, t.agent.handleEngineCrash(t)
	}
	if ctx.Err() == nil && pwverdict.VerdictOf(err) == pwverdict.NotRun && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable {
		t.agent.handleUnresponsiveEngine()
	}
	switch cause := context.Cause(ctx); {
	case crashed:
		return failureOutcome(errServerCrashed, true, concurrent)
	case pwverdict.CauseOf(cause) == pwverdict.CauseCancelled && ctx.Err() != nil:
		e := failureOutcome(cause, false, nil)
		e.Reason = "cancelled"
		return e
	case ctx.Err() != nil:
		return failureOutcome(cause, false, nil)
	default:
		return failureOutcome(err, false, nil)
	}
}

// failureOutcome returns the outcome of an attempt that failed with err.
func failureOutcome(err error, crashed bool, concurrentFingerprints []uint64) *pwrpc.Ended {
	return &pwrpc.Ended{
		Reason:                 "error",
		Failure:                pwrpc.NewRefusal(err),
		ServerDied:             crashed,
		ConcurrentFingerprints: concurrentFingerprints,
	}
}

// cancel ends the attempt. Its memory is released when the engine has returned.
func (t *attempt) cancel(cause error) {
	t.cancelCtx(cause)
}

// recordCrash records a crash of the attempt's backend server, unless one is recorded.
// concurrent holds the fingerprints of all requests that ran on the server at that time.
func (t *attempt) recordCrash(concurrent []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.serverCrashed {
		t.serverCrashed, t.concurrentFingerprints = true, concurrent
	}
}

// crash returns what recordCrash has recorded.
func (t *attempt) crash() (crashed bool, concurrent []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.serverCrashed, t.concurrentFingerprints
}
