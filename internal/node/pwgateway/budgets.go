package pwgateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	// budgetShare is the part of the shared budget that processes use, because
	// what they hear of each other is a little old.
	budgetShare = 0.6
	// budgetPeerAge is the age at which a peer no longer counts as heard.
	budgetPeerAge = time.Second
)

// budgets holds the repeat budget of each service, which all processes share.
type budgets struct {
	bounds   pwdeployment.Bounds
	services map[string]*pwretry.Budget
	peers    map[string]peerBudgets
	// most is the largest number of processes that were heard at once.
	most int
}

type peerBudgets struct {
	counts map[uint64]pwretry.Counts
	heard  time.Time
}

func newBudgets(b pwdeployment.Bounds) *budgets {
	return &budgets{
		bounds:   b,
		services: make(map[string]*pwretry.Budget),
		peers:    make(map[string]peerBudgets),
		most:     1,
	}
}

// of returns the budget of a service with what the peers had of it. The part
// that does not depend on requests is divided by the processes: those that are
// not heard may be using theirs.
func (b *budgets) of(now time.Time, service string) *pwretry.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = pwretry.NewBudget(pwretry.BudgetConfig{
			Ratio:  b.bounds.RetryRatio * budgetShare,
			Floor:  b.bounds.RetrySlack * budgetShare / max(1, b.bounds.RetryWindow.Seconds()),
			Window: b.bounds.RetryWindow,
		})
		b.services[service] = budget
	}
	hash := xxhash.Sum64String(service)
	heard := 1
	var others pwretry.Counts
	for name, p := range b.peers {
		switch age := now.Sub(p.heard); {
		case age > b.bounds.RetryWindow:
			delete(b.peers, name)
			continue
		case age <= budgetPeerAge:
			heard++
		}
		others.Requests += p.counts[hash].Requests
		others.Retries += p.counts[hash].Retries
	}
	b.most = max(b.most, heard)
	budget.SetPeerCounts(others, float64(heard)/float64(b.most))
	return budget
}

// merge takes over what a peer had.
func (b *budgets) merge(now time.Time, peer string, list []pwpeering.BudgetUsage) {
	p := peerBudgets{
		counts: make(map[uint64]pwretry.Counts, len(list)),
		heard:  now,
	}
	for _, l := range list {
		p.counts[l.Service] = pwretry.Counts{
			Requests: int64(l.Requests),
			Retries:  int64(l.Retries),
		}
	}
	b.peers[peer] = p
}

// own returns what this process had of each service.
func (b *budgets) own(now time.Time) []pwpeering.BudgetUsage {
	out := make([]pwpeering.BudgetUsage, 0, len(b.services))
	for service, budget := range b.services {
		c := budget.Counts(now)
		out = append(out, pwpeering.BudgetUsage{
			Service:  xxhash.Sum64String(service),
			Requests: uint32(c.Requests),
			Retries:  uint32(c.Retries),
		})
	}
	return out
}
