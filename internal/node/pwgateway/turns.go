package pwgateway

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
)

// rank orders a waiting long prompt among those of other processes.
func (p *pendingRequest) rank(now time.Time) time.Duration {
	return pwturn.Rank(now, p.queueDeadline(now), p.lateRank(now) == 1)
}

// ownQueue returns the state of the queue for the peers.
func (d *dispatcher) ownQueue() pwturn.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	var r pwturn.Report
	for _, p := range d.waiting {
		if p.short {
			continue
		}
		if rank := p.rank(now); !r.Waiting || rank < r.Rank {
			r.Rank = rank
		}
		r.Waiting = true
		r.PrefillMS += p.prefillMS
	}
	return r
}
