package pwentry

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Submission is a prompt with its parameters, as a caller submits it.
type Submission struct {
	Workspace pwrequest.WorkspaceID
	Service   pwrequest.ServiceID
	Model     pwrequest.ModelID
	Adapter   string
	Prompt    string
	// PromptTokens is the length of the prompt. 0 means that it is estimated.
	PromptTokens int64
	// MaxTokens bounds the answer. 0 means the document's default.
	MaxTokens int64
	Priority  int
	// Deadline is the time that the request may take. 0 means the document's default.
	Deadline time.Duration
	// IdempotencyKey identifies repeated submissions of one prompt. They return the
	// request of the first submission.
	IdempotencyKey string
}

// requestID derives the request's identifier from the idempotency key, so that every
// entry finds the same request. Without a key the identifier is random.
func (s Submission) requestID() pwrequest.ID {
	if s.IdempotencyKey == "" {
		return pwrequest.ID("req-" + rand.Text())
	}
	h := sha256.Sum256([]byte(string(s.Workspace) + "\x00" + string(s.Service) + "\x00" + s.IdempotencyKey))
	return pwrequest.ID("req-" + hex.EncodeToString(h[:16]))
}

// Submit admits a prompt to the queue, or refuses it with the verdict NotRun. The
// request continues when ctx ends; Cancel ends it.
func (e *Entry) Submit(ctx context.Context, s Submission) (*InFlightRequest, error) {
	f, err := e.submit(ctx, s)
	d := pwobserve.Decision{
		Kind:      "admit",
		Workspace: s.Workspace,
		Service:   s.Service,
	}
	if err != nil {
		d.Kind, d.Verdict, d.Cause = "refuse", pwverdict.VerdictOf(err).String(), string(pwverdict.CauseOf(err))
	} else {
		d.Request = f.request.ID()
	}
	e.obs.LogDecision(d)
	return f, err
}

func (e *Entry) submit(ctx context.Context, s Submission) (*InFlightRequest, error) {
	id := s.requestID()
	if s.IdempotencyKey != "" {
		if f, err := e.findEarlierSubmission(ctx, id, s); f != nil || err != nil {
			return f, err
		}
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	svc, doc, err := e.acceptingService(s.Service)
	if err != nil {
		return nil, err
	}
	r, weight, err := newRequest(now, id, s, doc)
	if err != nil {
		return nil, err
	}
	if svc.crashes.Decide(now, r.Fingerprint()) == pwquarantine.Refused {
		return nil, svc.crashes.Refusal(now, r.Fingerprint())
	}
	if w, ok := doc.Workspace(r.Workspace()); ok {
		if err := e.checkUnfinishedLimit(r, w); err != nil {
			return nil, err
		}
	}
	if err := svc.queue(r.Model()).Push(now, r, weight); err != nil {
		return nil, err
	}
	e.unfinishedByWorkspace[workspaceKeyOf(r)]++
	svc.budget.RecordRequest(now)
	f := newInFlightRequest(e, r, s.Prompt)
	f.admittedHere = true
	f.maxAttempts = doc.Retry.MaxAttempts
	f.groupConfig = groupConfig(doc)
	e.requests[id] = f
	go f.run()
	e.requestDispatch()
	return f, nil
}

// findEarlierSubmission returns the request of an earlier submission with the same
// idempotency key, or nil if there is none.
func (e *Entry) findEarlierSubmission(ctx context.Context, id pwrequest.ID, s Submission) (*InFlightRequest, error) {
	fp := pwrequest.Fingerprint(s.Workspace, s.Model, s.Prompt)
	f, err := e.Find(ctx, id, s.Workspace)
	if err != nil {
		if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
			return nil, nil
		}
		return nil, err
	}
	if f.request.Fingerprint() != 0 && f.request.Fingerprint() != fp {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseKeyReused, "the idempotency key was used with another prompt")
	}
	return f, nil
}

// acceptingService returns a service and its document, or an error if the service
// accepts no requests. The caller holds e.mu.
func (e *Entry) acceptingService(id pwrequest.ServiceID) (*service, *pwdocument.Document, error) {
	if e.draining {
		return nil, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "entry is shutting down; send the request again").
			WithRetryAfter(time.Second)
	}
	s, ok := e.services[id]
	if !ok || s.doc == nil {
		return nil, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q does not exist", id)
	}
	return s, s.doc, nil
}

// newRequest checks a submission against the document of its service. It returns the
// request and the weight of its workspace.
func newRequest(now time.Time, id pwrequest.ID, s Submission, doc *pwdocument.Document) (*pwrequest.Request, float64, error) {
	w, ok := doc.Workspace(s.Workspace)
	if !ok {
		return nil, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q does not exist", s.Service)
	}
	m, ok := doc.Model(s.Model)
	if !ok {
		return nil, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q has no model %q", s.Service, s.Model)
	}
	if _, ok := m.Adapter(s.Adapter); !ok && s.Adapter != "" {
		return nil, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "model %q has no adapter %q", s.Model, s.Adapter)
	}
	p := pwrequest.Params{
		ID:           id,
		Workspace:    s.Workspace,
		Service:      s.Service,
		Model:        s.Model,
		Adapter:      s.Adapter,
		PromptTokens: s.PromptTokens,
		MaxTokens:    s.MaxTokens,
		Priority:     s.Priority,
		AdmittedAt:   now,
		Deadline:     now.Add(doc.Deadlines.Default()),
		Fingerprint:  pwrequest.Fingerprint(s.Workspace, s.Model, s.Prompt),
		PrefixHash:   pwrequest.PrefixHash(s.Model, s.Prompt),
	}
	if p.PromptTokens == 0 {
		p.PromptTokens = pwrequest.EstimateTokens(s.Prompt)
	}
	if p.MaxTokens == 0 {
		p.MaxTokens = doc.Lengths.DefaultOutputTokens
	}
	if s.Deadline > 0 {
		p.Deadline = now.Add(min(s.Deadline, doc.Deadlines.Max()))
	}
	if p.PromptTokens < doc.Routing.MinPrefixTokens {
		p.PrefixHash = 0
	}
	return pwrequest.New(p), float64(w.Weight), checkLengths(p, w, doc)
}

// checkLengths returns an error if the prompt or the answer may be too long.
func checkLengths(p pwrequest.Params, w pwdocument.Workspace, doc *pwdocument.Document) error {
	limit := min(w.MaxPromptTokens, doc.Lengths.MaxPromptTokens)
	switch {
	case p.PromptTokens < 1 || p.PromptTokens > limit:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "prompt has %d tokens; allowed are 1 to %d", p.PromptTokens, limit)
	case p.MaxTokens < 1 || p.MaxTokens > doc.Lengths.MaxOutputTokens:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "max_tokens is %d; allowed are 1 to %d", p.MaxTokens, doc.Lengths.MaxOutputTokens)
	default:
		return nil
	}
}

// queue returns the queue of a model and creates it if necessary.
func (s *service) queue(m pwrequest.ModelID) *pwqueue.Queue {
	q, ok := s.queues[m]
	if !ok {
		q = pwqueue.New(queueConfig(s.doc))
		s.queues[m] = q
	}
	return q
}

// Find returns a request of a workspace, which may run on another entry. It reports a
// request of another workspace as not found.
func (e *Entry) Find(ctx context.Context, id pwrequest.ID, w pwrequest.WorkspaceID) (*InFlightRequest, error) {
	f, err := e.FindInAnyWorkspace(ctx, id)
	if err != nil {
		return nil, err
	}
	if f.request.Workspace() != w {
		return nil, errRequestNotFound(id)
	}
	return f, nil
}

// FindInAnyWorkspace returns a request like Find, but doesn't check its workspace.
// Callers must check access themselves.
func (e *Entry) FindInAnyWorkspace(ctx context.Context, id pwrequest.ID) (*InFlightRequest, error) {
	e.mu.Lock()
	f, ok := e.requests[id]
	e.mu.Unlock()
	switch {
	case ok:
		return f, nil
	case e.directory == nil:
		return nil, errRequestNotFound(id)
	}
	rec, err := e.directory.Get(ctx, id)
	if err != nil {
		return nil, err
	}
	if rec == nil {
		return nil, errRequestNotFound(id)
	}
	return e.followRecord(rec)
}

func errRequestNotFound(id pwrequest.ID) error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "request %q does not exist", id)
}

// Cancel ends a request of a workspace. It reports whether the request was still
// queued or running.
func (e *Entry) Cancel(ctx context.Context, id pwrequest.ID, w pwrequest.WorkspaceID) (bool, error) {
	f, err := e.Find(ctx, id, w)
	if err != nil || f.Ended() {
		return false, err
	}
	e.mu.Lock()
	if s, ok := e.services[f.request.Service()]; ok && s.queues[f.request.Model()] != nil {
		s.queues[f.request.Model()].Cancel(id)
	}
	e.mu.Unlock()
	f.mu.Lock()
	attempt, address := f.currentAttempt, f.currentAddress
	f.mu.Unlock()
	f.cancel(errCancelled)
	f.cancelAttempt(ctx, attempt, address)
	return true, nil
}

var errCancelled = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "cancelled by the caller")

// cancelAttempt cancels an attempt at its agent, which would otherwise hold the
// attempt's reservation until the deadline.
func (f *InFlightRequest) cancelAttempt(ctx context.Context, id pwrequest.AttemptID, address string) {
	if address == "" {
		return
	}
	_, err := f.entry.agents.Agent(address).Cancel(ctx, &pwrpc.CancelRequest{
		RequestId: string(f.request.ID()),
		AttemptId: string(id),
		Workspace: string(f.request.Workspace()),
	})
	if err != nil {
		f.entry.obs.Warn("attempt was not cancelled at its agent", err, "request", string(f.request.ID()))
	}
}

// recordRequestEnd records the times of an ended request, updates the count of
// unfinished requests, and ends a waiting Shutdown if this was the last request.
func (e *Entry) recordRequestEnd(f *InFlightRequest) {
	e.obs.ObserveDuration("request_time", time.Since(f.request.AdmittedAt()))
	if t := f.FirstToken(); !t.IsZero() {
		e.obs.ObserveDuration("first_token_"+f.request.Class().String(), t.Sub(f.request.AdmittedAt()))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if k := workspaceKeyOf(f.request); f.admittedHere {
		if e.unfinishedByWorkspace[k]--; e.unfinishedByWorkspace[k] == 0 {
			delete(e.unfinishedByWorkspace, k)
		}
	}
	e.signalDrainedLocked()
}
