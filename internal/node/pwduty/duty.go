// Package pwduty runs the fleet-wide duties of an entry: the placement of each model
// service, and the deletion of expired rows in the table. Each duty has its own lease,
// so that one process at a time performs it.
//
// # Usage
//
//	duties := pwduty.New("entry-hakata-1", pwduty.Deps{
//		Table:     table,
//		Entry:     entry,
//		Instances: instances,
//		Agents:    agents,
//		ConcurrentLoads: 2,
//		Observer:  observer,
//	})
//	duties.Run(ctx) // until ctx ends
package pwduty

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

const (
	// reconcileInterval is the mean period in which an entry determines from the
	// documents and the list of entries for which duties it is a candidate.
	reconcileInterval = 2 * time.Second
	// candidatesPerDuty is the number of entries that try to acquire the lease of
	// one duty. If all 640 entries tried, the attempts alone would read the table
	// more than 4,000 times a second; with 3 for each of 14 services it is 21.
	candidatesPerDuty = 3
)

// Table provides the rows of the table service.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// EntryView provides an entry's view of the fleet: the documents in force, the load
// reports of the backend servers that it watches, and the marks on servers.
type EntryView interface {
	Documents() []*pwdocument.Document
	Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport
	Watches(id pwrequest.BackendServerID) bool
	OutOfService(dc pwrequest.DataCentre, id pwrequest.BackendServerID) bool
}

// InstanceView provides the newest instance list that was read.
type InstanceView interface {
	Known() []pwinstance.Instance
}

// AgentClient sends requests of the placement to agents.
type AgentClient interface {
	// Order returns when the agent has executed or refused the order.
	Order(ctx context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error)
	// Load reads one load report of the agent.
	Load(ctx context.Context, address string) (*pwrpc.LoadReport, error)
}

// Deps holds the dependencies of the duties.
type Deps struct {
	Table     Table
	Entry     EntryView
	Instances InstanceView
	Agents    AgentClient
	// ConcurrentLoads bounds the model loads that run at once in all services. With 0
	// no model is loaded.
	ConcurrentLoads int
	Observer        *pwobserve.Observer
}

// Duties runs the duties for which one entry is a candidate.
type Duties struct {
	deps     Deps
	instance pwrequest.InstanceID
	wg       sync.WaitGroup
	running  map[string]context.CancelFunc // by lease name
}

// New returns the duties of an entry.
func New(instance pwrequest.InstanceID, deps Deps) *Duties {
	return &Duties{
		deps:     deps,
		instance: instance,
		running:  map[string]context.CancelFunc{},
	}
}

// Run starts and stops duties until ctx ends, and then waits until they have stopped.
func (d *Duties) Run(ctx context.Context) {
	defer d.wg.Wait()
	for {
		d.reconcile(ctx)
		if sleepWithJitter(ctx, reconcileInterval) != nil {
			return
		}
	}
}

// reconcile starts the duties for which this entry has become a candidate, and stops
// those for which it no longer is one.
func (d *Duties) reconcile(ctx context.Context) {
	assigned := map[string]func(context.Context){}
	if d.isCandidate(upkeepLeaseName) {
		assigned[upkeepLeaseName] = d.runUpkeep
	}
	for _, doc := range d.deps.Entry.Documents() {
		name := pwplacer.LeaseName(doc.Service())
		if doc.Kind == pwdocument.KindModelEngines && d.isCandidate(name) {
			assigned[name] = func(ctx context.Context) { d.runPlacement(ctx, doc.Service()) }
		}
	}
	for name, stop := range d.running {
		if assigned[name] == nil {
			stop()
			delete(d.running, name)
		}
	}
	for name, run := range assigned {
		if d.running[name] == nil {
			dutyCtx, stop := context.WithCancel(ctx)
			d.running[name] = stop
			d.wg.Go(func() { run(dutyCtx) })
		}
	}
}

// isCandidate reports whether this entry is among those that try to acquire a lease.
// Each entry decides from its own instance list. Entries whose lists differ still
// exclude each other by the lease.
func (d *Duties) isCandidate(lease string) bool {
	entries := lo.FilterMap(d.deps.Instances.Known(), func(i pwinstance.Instance, _ int) (pwrequest.BackendServerID, bool) {
		return pwrequest.BackendServerID(i.ID), i.Role == pwinstance.RoleEntry && !i.Leaving
	})
	chosen := pwrouter.Subset(pwrequest.InstanceID(lease), entries, candidatesPerDuty)
	return lo.Contains(chosen, pwrequest.BackendServerID(d.instance))
}

func (d *Duties) newLeaseAcquirer(name string) *pwlease.Acquirer {
	return pwlease.New(d.deps.Table, pwlease.Config{
		Name:   name,
		Holder: d.instance,
	})
}

// runPlacement runs the placer of a service until ctx ends.
func (d *Duties) runPlacement(ctx context.Context, service pwrequest.ServiceID) {
	p := &placement{
		duties:  d,
		service: service,
	}
	_ = pwplacer.New(pwplacer.Config{}, d.newLeaseAcquirer(pwplacer.LeaseName(service)), p, p, p).Run(ctx)
}

// sleepWithJitter waits for 7/8 to 9/8 of d, or returns the error of ctx when ctx ends
// first.
func sleepWithJitter(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d*7/8 + rand.N(d/4)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
