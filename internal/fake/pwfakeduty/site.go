// Package pwfakeduty provides a small installation for tests of the duties of entries.
// It has two backend servers with real agents and fake engines, one table, and entries
// whose table access and orders can be stopped by the test.
//
// # Usage
//
//	site, entries, err := pwfakeduty.New("entry-1", "entry-2")
//	site.Start()
//	defer site.Close()
//	entries[0].SetTableDown(true)
package pwfakeduty

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwduty"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Site has two backend servers with their agents and engines, and entries that run the
// duties. It provides the entries' view of the fleet to the duties.
type Site struct {
	Table *pwfakeplatform.Table

	ctx       context.Context
	cancel    context.CancelFunc
	wg        sync.WaitGroup
	document  atomic.Pointer[pwdocument.Document]
	duties    []*pwduty.Duties
	instances []pwinstance.Instance
	agents    map[string]*pwagent.Agent // keyed by address
	engines   []*pwfakeengine.Engine
}

// Entry is one entry, and the table and the agent client of its duties. While its table
// is down, each table call fails. While its orders are paused, they block after the
// check of the lease, and they don't return when their context ends.
type Entry struct {
	*Site
	tableDown      atomic.Bool
	pauseGate      atomic.Pointer[chan struct{}]
	staleRefusals  atomic.Int32 // orders refused for an old fencing token
	answeredOrders atomic.Int32 // orders that an agent executed or refused
}

// New returns a site with one entry for each name, whose duties do not run yet.
func New(entries ...string) (*Site, []*Entry, error) {
	docs, err := pwfakefleet.Documents([]pwrequest.DataCentre{"hakata"}, 2, 0, "w")
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Site{
		ctx:    ctx,
		Table:  pwfakeplatform.NewTable(),
		agents: map[string]*pwagent.Agent{},
	}
	s.document.Store(docs[0])
	for _, id := range []string{"s1", "s2"} {
		s.engines = append(s.engines, pwfakeengine.New(ctx, pwfakeengine.Options{
			Models: []pwrequest.ModelID{pwfakefleet.Model},
		}))
		s.instances = append(s.instances, pwinstance.Instance{
			ID:            pwrequest.InstanceID(id),
			Role:          pwinstance.RoleAgent,
			Address:       id,
			Service:       docs[0].Service(),
			BackendServer: pwrequest.BackendServerID(id),
		})
		s.agents[id] = pwagent.New(pwagent.Config{
			BackendServer: pwrequest.BackendServerID(id),
			Service:       docs[0].Service(),
			Models:        []pwrequest.ModelID{pwfakefleet.Model},
		}, pwagent.Deps{
			Engine:    s.engines[len(s.engines)-1],
			Admission: pwadmission.New(pwadmission.Config{}, time.Now()),
			Observer:  pwobserve.Discard(),
			NewestToken: pwlease.New(s.Table, pwlease.Config{
				Name: pwplacer.LeaseName(docs[0].Service()),
			}).NewestToken,
		})
	}
	var out []*Entry
	for _, name := range entries {
		s.instances = append(s.instances, pwinstance.Instance{
			ID:   pwrequest.InstanceID(name),
			Role: pwinstance.RoleEntry,
		})
		e := &Entry{
			Site: s,
		}
		out = append(out, e)
		s.duties = append(s.duties, pwduty.New(pwrequest.InstanceID(name), pwduty.Deps{
			Table:           e,
			Entry:           e,
			Instances:       e,
			Agents:          e,
			ConcurrentLoads: 1,
			Observer:        pwobserve.Discard(),
		}))
	}
	s.cancel = cancel
	return s, out, nil
}

// Start runs the duties until Close.
func (s *Site) Start() {
	for _, d := range s.duties {
		s.wg.Go(func() { d.Run(s.ctx) })
	}
}

// Close stops the duties and waits until they have ended.
func (s *Site) Close() {
	s.cancel()
	s.wg.Wait()
}

// SetVersion replaces the document by a copy in which version is added to the versions of
// the model and is the active one.
func (s *Site) SetVersion(version string) {
	doc := *s.document.Load()
	doc.Models = slices.Clone(doc.Models)
	doc.Models[0].Versions = append(slices.Clone(doc.Models[0].Versions), version)
	doc.Models[0].ActiveVersion = version
	s.document.Store(&doc)
}

// LoadedVersions returns, for each engine, the version of its newest order.
func (s *Site) LoadedVersions() string {
	var out []string
	for _, e := range s.engines {
		orders := e.AppliedOrders()
		out = append(out, fmt.Sprint(lo.LastOrEmpty(orders).Version))
	}
	return fmt.Sprint(out)
}

// ExecutedOrders returns the number of orders that the engines have executed.
func (s *Site) ExecutedOrders() int {
	return lo.SumBy(s.engines, func(e *pwfakeengine.Engine) int { return len(e.AppliedOrders()) })
}

// Documents implements pwduty.EntryView.
func (s *Site) Documents() []*pwdocument.Document { return []*pwdocument.Document{s.document.Load()} }

// Known implements pwduty.InstanceView.
func (s *Site) Known() []pwinstance.Instance { return s.instances }

// Watches implements pwduty.EntryView. Only the first server is watched, so that the
// duties have to read the load report of the other one from its agent.
func (s *Site) Watches(id pwrequest.BackendServerID) bool { return id == "s1" }

// OutOfService implements pwduty.EntryView.
func (s *Site) OutOfService(pwrequest.DataCentre, pwrequest.BackendServerID) bool { return false }

// Loads implements pwduty.EntryView.
func (s *Site) Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	return map[pwrequest.BackendServerID]*pwrpc.LoadReport{"s1": s.agents["s1"].Load()}
}

// Load implements pwduty.AgentClient.
func (s *Site) Load(_ context.Context, address string) (*pwrpc.LoadReport, error) {
	return s.agents[address].Load(), nil
}

// SetTableDown makes the entry's table calls fail, or succeed again.
func (e *Entry) SetTableDown(down bool) { e.tableDown.Store(down) }

// PauseOrders blocks the entry's orders until resume is called.
func (e *Entry) PauseOrders() (resume func()) {
	gate := make(chan struct{})
	e.pauseGate.Store(&gate)
	return func() { close(gate) }
}

// AnsweredOrders returns the number of the entry's orders that agents have executed or
// refused.
func (e *Entry) AnsweredOrders() int { return int(e.answeredOrders.Load()) }

// StaleRefusals returns the number of the entry's orders that agents refused for an old
// fencing token.
func (e *Entry) StaleRefusals() int { return int(e.staleRefusals.Load()) }

// Order implements pwduty.AgentClient. It ignores the end of its context, like a request
// that was sent before the caller gave up.
func (e *Entry) Order(_ context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	if gate := e.pauseGate.Load(); gate != nil {
		<-*gate
	}
	resp, err := e.agents[address].Order(context.Background(), req)
	e.answeredOrders.Add(1)
	if resp.GetRefusal().GetCause() == string(pwverdict.CauseStaleFence) {
		e.staleRefusals.Add(1)
	}
	return resp, err
}

// checkTable returns an error while the entry's table is down.
func (e *Entry) checkTable() error {
	if e.tableDown.Load() {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "table does not answer")
	}
	return nil
}

// Get implements pwduty.Table.
func (e *Entry) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := e.checkTable(); err != nil {
		return pwtable.Row{}, err
	}
	return e.Table.Get(ctx, key)
}

// List implements pwduty.Table.
func (e *Entry) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	if err := e.checkTable(); err != nil {
		return nil, err
	}
	return e.Table.List(ctx, prefix, after, limit)
}

// Commit implements pwduty.Table.
func (e *Entry) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := e.checkTable(); err != nil {
		return 0, err
	}
	return e.Table.Commit(ctx, writes...)
}
