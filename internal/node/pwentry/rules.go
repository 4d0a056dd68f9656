package pwentry

import (
	"math/rand/v2"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

const percent = 100.0

// queueConfig returns the queue configuration that a document specifies.
func queueConfig(doc *pwdocument.Document) pwqueue.Config {
	cfg := pwqueue.Config{
		TotalRequests:  doc.Queue.MaxRequests,
		TotalTokens:    doc.Queue.MaxTokens,
		AgeingInterval: time.Duration(doc.Queue.AgeingMS) * time.Millisecond,
	}
	for c := range cfg.ClassShares {
		cfg.ClassShares[c] = float64(doc.Classes.Share(pwrequest.Class(c)).DispatchPercent) / percent
	}
	for _, w := range doc.Workspaces {
		cfg.WorkspaceRequests = max(cfg.WorkspaceRequests, w.MaxQueued)
		cfg.WorkspaceTokens = max(cfg.WorkspaceTokens, w.MaxQueuedTokens)
	}
	return cfg
}

// retryWindow is the time window to which the retry budget of a document applies.
const retryWindow = 10 * time.Second

// budgetConfig returns the retry budget that a document specifies.
func budgetConfig(doc *pwdocument.Document) pwretry.BudgetConfig {
	return pwretry.BudgetConfig{
		Ratio:  float64(doc.Retry.BudgetPercent) / percent,
		Floor:  float64(doc.Retry.BudgetFloor) / retryWindow.Seconds(),
		Window: retryWindow,
	}
}

// groupConfig returns the sizes and limits of groups that a document specifies.
func groupConfig(doc *pwdocument.Document) pwgroup.Config {
	return pwgroup.Config{
		MemberTokens:    doc.MaxAttemptTokens(),
		MaxMembers:      doc.Memory.MaxGroupMembers,
		MaxPromptTokens: doc.Lengths.MaxPromptTokens,
	}
}

// applyDocument configures the service by a document. The caller holds e.mu.
func (s *service) applyDocument(doc *pwdocument.Document, seed uint64) {
	s.doc = doc
	for _, q := range s.queues {
		q.Reconfigure(queueConfig(doc))
	}
	s.budget = pwretry.NewBudget(budgetConfig(doc))
	s.backoff = pwretry.NewBackoff(pwretry.BackoffConfig{
		BaseDelay: doc.Retry.InitialBackoff(),
		MaxDelay:  doc.Retry.MaxBackoff(),
	}, rand.New(rand.NewPCG(seed, 3)))
	s.crashes.Reconfigure(pwquarantine.Config{
		RefuseAfter: doc.Crashes.RefuseAfter,
		Retention:   time.Duration(doc.Crashes.RetentionMS) * time.Millisecond,
	})
	s.router.SetLongShareBounds(float64(doc.Classes.LongServersMinPercent)/percent, float64(doc.Classes.LongServersMaxPercent)/percent)
}

// ApplyRevocations takes away the credentials that newer, a version of a service's document
// that cannot be parsed, no longer holds. The rest of the document stays in force. It
// returns the number of credentials taken away. ok is false if newer has no readable list
// of workspaces, which takes nothing away.
func (e *Entry) ApplyRevocations(id pwrequest.ServiceID, newer []byte) (removed int, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.services[id]
	if s == nil || s.doc == nil {
		return 0, true
	}
	doc, removed, ok := s.doc.WithRevocations(newer)
	if ok {
		s.doc = doc
	}
	return removed, ok
}

// workspaceKey identifies a workspace of a service.
type workspaceKey struct {
	service   pwrequest.ServiceID
	workspace pwrequest.WorkspaceID
}

func workspaceKeyOf(r *pwrequest.Request) workspaceKey {
	return workspaceKey{
		service:   r.Service(),
		workspace: r.Workspace(),
	}
}

// checkUnfinishedLimit returns an error if the workspace of r has as many unfinished
// requests as it may queue and run. The caller holds e.mu.
func (e *Entry) checkUnfinishedLimit(r *pwrequest.Request, w pwdocument.Workspace) error {
	if n, limit := e.unfinishedByWorkspace[workspaceKeyOf(r)], w.MaxQueued+w.MaxRunning; n >= limit {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull,
			"workspace has %d unfinished requests here; allowed are %d", n, limit).WithRetryAfter(time.Second)
	}
	return nil
}
