package pwgateway

import (
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

// SetProcesses replaces the list of the processes that share the fleet. self is this
// process.
func (g *Gateway) SetProcesses(self pwcell.Member, list []pwcell.Member) {
	g.dispatcher.setProcesses(self, list)
}

// Cell implements pwpeering.View.
func (g *Gateway) Cell() (own pwcell.Cell, peers map[string]bool) { return g.dispatcher.cell() }

// OwnLoads implements pwpeering.View.
func (g *Gateway) OwnLoads() []pwfleet.ServerLoad { return g.dispatcher.ownLoads() }

// OwnQueue implements pwpeering.View.
func (g *Gateway) OwnQueue() pwturn.Report { return g.dispatcher.ownQueue() }

// OwnBudgets implements pwpeering.View.
func (g *Gateway) OwnBudgets() []pwpeering.BudgetUsage { return g.dispatcher.ownBudgets() }

// OwnCrashes implements pwpeering.View.
func (g *Gateway) OwnCrashes() []pwpeering.Crash { return g.crashes.gossip() }

// RecalledCrashes implements pwpeering.View.
func (g *Gateway) RecalledCrashes() []pwpeering.Crash { return g.crashes.recall() }

// OwnLimits implements pwpeering.View.
func (g *Gateway) OwnLimits() []pwfleet.LimitReport { return g.dispatcher.ownLimits() }

// OwnUsage implements pwpeering.UsageView.
func (g *Gateway) OwnUsage() (byService map[uint64][]pwoverload.Usage, urgent bool) {
	return g.dispatcher.ownUsage()
}

// MergeUsage implements pwpeering.UsageView.
func (g *Gateway) MergeUsage(peer string, service uint64, list []pwoverload.Usage) {
	g.dispatcher.mergeUsage(peer, service, list)
}

// MergePeer implements pwpeering.View.
func (g *Gateway) MergePeer(peer string, m pwpeering.Message) {
	g.crashes.mergeReport(m.Crashes)
	g.dispatcher.mergePeer(peer, m)
}

func (d *dispatcher) setProcesses(self pwcell.Member, list []pwcell.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetProcesses(self, list)
	d.retryBudgets.setProcessCount(len(list))
}

// cell returns the cell of this process, and logs it when it has changed.
func (d *dispatcher) cell() (own pwcell.Cell, peers map[string]bool) {
	d.mu.Lock()
	own, peers = d.fleet.Cell()
	changed := own != d.loggedCell
	d.loggedCell = own
	d.mu.Unlock()
	if changed {
		d.obs.LogEvent("cell", log.Fields{
			"index": own.Index,
			"count": own.Count,
			"peers": len(peers),
		})
	}
	return own, peers
}

// ownLoads returns the load that this process has in flight on each server.
func (d *dispatcher) ownLoads() []pwfleet.ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.UpdateProgress(time.Now())
	return d.fleet.OwnLoads()
}

func (d *dispatcher) ownLimits() []pwfleet.LimitReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.OwnLimits(time.Now(), pwpeering.MaxLimits)
}

// mergeLimits merges the limits that a peer reported, and logs those that changed.
func (d *dispatcher) mergeLimits(peer string, reports []pwfleet.LimitReport) {
	if len(reports) == 0 {
		return
	}
	d.mu.Lock()
	changed := d.fleet.MergeLimits(time.Now(), peer, reports)
	limits := make(map[string]float64)
	for _, id := range changed {
		if perSecond, limited := d.fleet.Limit(id); limited {
			limits[id] = perSecond
		}
	}
	d.mu.Unlock()
	for _, id := range changed {
		if perSecond, limited := limits[id]; limited {
			d.obs.LogEvent("server_limited", log.Fields{
				"backend_server": id,
				"per_second":     perSecond,
				"peer":           peer,
			})
			continue
		}
		d.obs.LogEvent("server_limit_lifted", log.Fields{
			"backend_server": id,
			"peer":           peer,
		})
	}
}

func (d *dispatcher) mergePeer(name string, m pwpeering.Message) {
	d.mergeLimits(name, m.Limits)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if m.Full {
		d.fleet.SetPeerLoads(now, name, m.Loads)
	} else {
		d.fleet.UpdatePeerLoads(now, name, m.Loads)
	}
	d.turns.Merge(now, name, m.Queue)
	if len(m.Budgets) > 0 {
		d.retryBudgets.mergePeer(now, name, m.Budgets)
	}
	if m.Full || len(m.Loads) > 0 {
		d.schedule(now)
	}
}

func (d *dispatcher) ownBudgets() []pwpeering.BudgetUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryBudgets.ownCounts(time.Now())
}
