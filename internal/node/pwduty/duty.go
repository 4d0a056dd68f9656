// Package pwduty runs the lease holder role of an entry: the placement of each
// model service, and the deletion of expired rows in the table. Each duty has
// its own lease, so that one process does it at a time.
//
// # Usage
//
//	duties := pwduty.New("entry-hakata-1", pwduty.Parts{
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
	// dutyInterval is the mean period in which an entry looks at the documents
	// and the list of entries for duties that it may take.
	dutyInterval = 2 * time.Second
	// dutyCandidates is the number of entries that try to acquire the lease of
	// one duty. With all 640 entries the tries alone would read the table
	// more than 4,000 times a second; with 3 for each of 14 services it is 21.
	dutyCandidates = 3
)

// Table is the table service.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// EntryView is what an entry knows of the fleet.
type EntryView interface {
	Documents() []*pwdocument.Document
	Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport
	Watches(id pwrequest.BackendServerID) bool
	OutOfService(dc pwrequest.DataCentre, id pwrequest.BackendServerID) bool
}

// InstanceView is the newest instance list that was read.
type InstanceView interface {
	Known() []pwinstance.Instance
}

// AgentClient reaches agents for the placement.
type AgentClient interface {
	// Order returns when the order has been carried out or refused.
	Order(ctx context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error)
	// Load reads one load report.
	Load(ctx context.Context, address string) (*pwrpc.LoadReport, error)
}

// Deps are what the duties work with.
type Deps struct {
	Table     Table
	Entry     EntryView
	Instances InstanceView
	Agents    AgentClient
	// ConcurrentLoads is the number of model loads that may run at once in all
	// services; 0 loads nothing.
	ConcurrentLoads int
	Observer        *pwobserve.Observer
}

// Duties runs the lease holder role of one entry.
type Duties struct {
	parts   Deps
	self    pwrequest.InstanceID
	wg      sync.WaitGroup
	running map[string]context.CancelFunc // by lease name
}

// New returns the duties of an entry.
func New(self pwrequest.InstanceID, parts Deps) *Duties {
	return &Duties{
		parts:   parts,
		self:    self,
		running: map[string]context.CancelFunc{},
	}
}

// Run starts and stops duties until ctx ends, and then waits for them.
func (d *Duties) Run(ctx context.Context) {
	defer d.wg.Wait()
	for {
		d.assign(ctx)
		if pause(ctx, dutyInterval) != nil {
			return
		}
	}
}

// assign runs the duties for which this entry is a candidate.
func (d *Duties) assign(ctx context.Context) {
	wanted := map[string]func(context.Context){}
	if d.candidate(upkeepLease) {
		wanted[upkeepLease] = d.runUpkeep
	}
	for _, doc := range d.parts.Entry.Documents() {
		name := pwplacer.LeaseName(doc.Service())
		if doc.Kind == pwdocument.KindModelEngines && d.candidate(name) {
			wanted[name] = func(ctx context.Context) { d.runPlacement(ctx, doc.Service()) }
		}
	}
	for name, stop := range d.running {
		if wanted[name] == nil {
			stop()
			delete(d.running, name)
		}
	}
	for name, run := range wanted {
		if d.running[name] == nil {
			dutyCtx, stop := context.WithCancel(ctx)
			d.running[name] = stop
			d.wg.Go(func() { run(dutyCtx) })
		}
	}
}

// candidate reports whether this entry is among those that try to acquire a
// lease. Each entry decides from its own list; entries that disagree still
// exclude each other by the lease.
func (d *Duties) candidate(lease string) bool {
	entries := lo.FilterMap(d.parts.Instances.Known(), func(i pwinstance.Instance, _ int) (pwrequest.BackendServerID, bool) {
		return pwrequest.BackendServerID(i.ID), i.Role == pwinstance.RoleEntry && !i.Leaving
	})
	chosen := pwrouter.Subset(pwrequest.InstanceID(lease), entries, dutyCandidates)
	return lo.Contains(chosen, pwrequest.BackendServerID(d.self))
}

func (d *Duties) leases(name string) *pwlease.Acquirer {
	return pwlease.New(d.parts.Table, pwlease.Config{
		Name:   name,
		Holder: d.self,
	})
}

func (d *Duties) runPlacement(ctx context.Context, service pwrequest.ServiceID) {
	p := &placement{
		duties:  d,
		service: service,
	}
	_ = pwplacer.New(pwplacer.Config{}, d.leases(pwplacer.LeaseName(service)), p, p, p).Run(ctx)
}

// pause waits for d with a jitter of a quarter, or until ctx ends.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d*7/8 + rand.N(d/4)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
