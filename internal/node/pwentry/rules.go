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

// The rules of a service's document, in the form that the decision packages
// take.

const percent = 100.0

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

// retryWindow is the time over which the document counts retries.
const retryWindow = 10 * time.Second

func budgetConfig(doc *pwdocument.Document) pwretry.BudgetConfig {
	return pwretry.BudgetConfig{
		Ratio:  float64(doc.Retry.BudgetPercent) / percent,
		Floor:  float64(doc.Retry.BudgetFloor) / retryWindow.Seconds(),
		Window: retryWindow,
	}
}

func groupConfig(doc *pwdocument.Document) pwgroup.Config {
	return pwgroup.Config{
		MemberTokens:    doc.MaxAttemptTokens(),
		MaxMembers:      doc.Memory.MaxGroupMembers,
		MaxPromptTokens: doc.Lengths.MaxPromptTokens,
	}
}

// apply puts the rules of a document in force. The caller holds e.mu.
func (s *service) apply(doc *pwdocument.Document, seed uint64) {
	s.doc = doc
	for _, q := range s.lanes {
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

// workspaceKey names a workspace of a service.
type workspaceKey struct {
	service   pwrequest.ServiceID
	workspace pwrequest.WorkspaceID
}

func keyOf(r *pwrequest.Request) workspaceKey {
	return workspaceKey{
		service:   r.Service(),
		workspace: r.Workspace(),
	}
}

// checkWorkspace refuses a request of a workspace that has too many unfinished
// ones. The caller holds e.mu.
func (e *Entry) checkWorkspace(r *pwrequest.Request, w pwdocument.Workspace) error {
	if n, limit := e.unfinished[keyOf(r)], w.MaxQueued+w.MaxRunning; n >= limit {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull,
			"workspace has %d unfinished requests here; allowed are %d", n, limit).WithRetryAfter(time.Second)
	}
	return nil
}
