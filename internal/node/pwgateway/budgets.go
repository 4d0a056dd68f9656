package pwgateway

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	// usableBudgetShare is the part of the shared budget that the processes use. The
	// rest allows for the age of the counts that they have of each other.
	usableBudgetShare = 0.6
	// maxFreshPeerAge is the age of a peer's last message above which the peer
	// counts as inactive.
	maxFreshPeerAge = time.Second
)

// retryBudgets holds the retry budget of each service. All processes share it.
type retryBudgets struct {
	bounds   pwdeployment.Bounds
	services map[string]*pwretry.Budget
	peers    map[string]peerCounts
	// maxProcesses is the largest number of processes, this one included, that
	// were active at the same time. listedProcesses is the number of listed ones,
	// which includes those of other cells.
	maxProcesses    int
	listedProcesses int
}

// peerCounts holds what a peer last reported, by the hash of the service's name.
type peerCounts struct {
	byService  map[uint64]pwretry.Counts
	receivedAt time.Time
}

func newRetryBudgets(b pwdeployment.Bounds) *retryBudgets {
	return &retryBudgets{
		bounds:       b,
		services:     make(map[string]*pwretry.Budget),
		peers:        make(map[string]peerCounts),
		maxProcesses: 1,
	}
}

// forService returns the budget of a service, updated with the requests and retries
// of the peers. The floor, the part of the budget that does not depend on requests,
// is divided among all processes: inactive peers and processes of other cells use their
// shares.
func (b *retryBudgets) forService(now time.Time, service string) *pwretry.Budget {
	budget := b.services[service]
	if budget == nil {
		budget = pwretry.NewBudget(b.config())
		b.services[service] = budget
	}
	hash := xxhash.Sum64String(service)
	freshProcesses := 1
	var others pwretry.Counts
	for name, p := range b.peers {
		switch age := now.Sub(p.receivedAt); {
		case age > b.bounds.RetryWindow:
			delete(b.peers, name)
			continue
		case age <= maxFreshPeerAge:
			freshProcesses++
		}
		others.Requests += p.byService[hash].Requests
		others.Retries += p.byService[hash].Retries
	}
	b.maxProcesses = max(b.maxProcesses, freshProcesses)
	budget.SetPeerCounts(others, float64(freshProcesses)/float64(max(b.maxProcesses, b.listedProcesses)))
	return budget
}

// config returns the configuration of each budget.
func (b *retryBudgets) config() pwretry.BudgetConfig {
	return pwretry.BudgetConfig{
		Ratio:  b.bounds.RetryRatio * usableBudgetShare,
		Floor:  b.bounds.RetrySlack * usableBudgetShare / max(1, b.bounds.RetryWindow.Seconds()),
		Window: b.bounds.RetryWindow,
	}
}

// setBounds replaces the bounds. What was counted before still counts.
func (b *retryBudgets) setBounds(now time.Time, bounds pwdeployment.Bounds) {
	b.bounds = bounds
	for _, budget := range b.services {
		budget.Reconfigure(now, b.config())
	}
}

// setProcessCount sets the number of listed processes, this one included.
func (b *retryBudgets) setProcessCount(n int) { b.listedProcesses = n }

// mergePeer replaces the counts of a peer.
func (b *retryBudgets) mergePeer(now time.Time, peer string, list []pwpeering.BudgetUsage) {
	p := peerCounts{
		byService:  make(map[uint64]pwretry.Counts, len(list)),
		receivedAt: now,
	}
	for _, l := range list {
		p.byService[l.Service] = pwretry.Counts{
			Requests: int64(l.Requests),
			Retries:  int64(l.Retries),
		}
	}
	b.peers[peer] = p
}

// ownCounts returns this process's requests and retries of each service.
func (b *retryBudgets) ownCounts(now time.Time) []pwpeering.BudgetUsage {
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
