// Package pwfakeduty holds a small site for tests of the duties of entries: two
// backend servers with real agents and stand-in engines, one table, and entries
// that can be cut off from the table and paused.
//
// # Usage
//
//	site, entries, err := pwfakeduty.New("entry-1", "entry-2")
//	site.Start()
//	defer site.Close()
//	entries[0].Cut(true)
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

// Site has two backend servers with their agents and engines, and entries
// that run the duties.
type Site struct {
	Table *pwfakeplatform.Table

	ctx     context.Context
	stop    context.CancelFunc
	running sync.WaitGroup
	doc     atomic.Pointer[pwdocument.Document]
	duties  []*pwduty.Duties
	list    []pwinstance.Instance
	agents  map[string]*pwagent.Agent // by address
	engines []*pwfakeengine.Engine
}

// Entry is one entry. While it is cut off, the table does not answer it.
// While it is paused, its orders are held back after the check of the lease,
// and it does not see the end of its context.
type Entry struct {
	*Site
	cut     atomic.Bool
	paused  atomic.Pointer[chan struct{}]
	refused atomic.Int32 // orders with an old token
	given   atomic.Int32
}

// New returns a site whose duties do not run yet.
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
	s.doc.Store(docs[0])
	for _, id := range []string{"s1", "s2"} {
		s.engines = append(s.engines, pwfakeengine.New(ctx, pwfakeengine.Options{
			Models: []pwrequest.ModelID{pwfakefleet.Model},
		}))
		s.list = append(s.list, pwinstance.Instance{
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
		s.list = append(s.list, pwinstance.Instance{
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
	s.stop = cancel
	return s, out, nil
}

// Start runs the duties until Close.
func (s *Site) Start() {
	for _, d := range s.duties {
		s.running.Go(func() { d.Run(s.ctx) })
	}
}

// Close ends the duties and waits for them.
func (s *Site) Close() {
	s.stop()
	s.running.Wait()
}

// SetVersion puts a document with another active version in force.
func (s *Site) SetVersion(v string) {
	doc := *s.doc.Load()
	doc.Models = slices.Clone(doc.Models)
	doc.Models[0].Versions = append(slices.Clone(doc.Models[0].Versions), v)
	doc.Models[0].ActiveVersion = v
	s.doc.Store(&doc)
}

// LoadedVersions returns the versions that the engines were last told to load.
func (s *Site) LoadedVersions() string {
	var out []string
	for _, e := range s.engines {
		orders := e.AppliedOrders()
		out = append(out, fmt.Sprint(lo.LastOrEmpty(orders).Version))
	}
	return fmt.Sprint(out)
}

// ExecutedOrders returns the number of orders that the engines have carried out.
func (s *Site) ExecutedOrders() int {
	return lo.SumBy(s.engines, func(e *pwfakeengine.Engine) int { return len(e.AppliedOrders()) })
}

// Documents implements pwduty.EntryView.
func (s *Site) Documents() []*pwdocument.Document { return []*pwdocument.Document{s.doc.Load()} }

// Known implements pwduty.InstanceView.
func (s *Site) Known() []pwinstance.Instance { return s.list }

// Watches reports that only the first server is watched, so that the report of
// the other one is read.
func (s *Site) Watches(id pwrequest.BackendServerID) bool { return id == "s1" }

// OutOfService implements pwduty.EntryView.
func (s *Site) OutOfService(pwrequest.DataCentre, pwrequest.BackendServerID) bool { return false }

// Loads implements pwduty.EntryView.
func (s *Site) Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	return map[pwrequest.BackendServerID]*pwrpc.LoadReport{"s1": s.agents["s1"].Load()}
}

// Load implements pwduty.AgentLink.
func (s *Site) Load(_ context.Context, address string) (*pwrpc.LoadReport, error) {
	return s.agents[address].Load(), nil
}

// SetTableDown makes the table stop answering the entry, or answer it again.
func (e *Entry) SetTableDown(on bool) { e.cut.Store(on) }

// PauseOrders holds the entry's orders back until the returned function is called.
func (e *Entry) PauseOrders() (resume func()) {
	gate := make(chan struct{})
	e.paused.Store(&gate)
	return func() { close(gate) }
}

// AnsweredOrders returns the number of orders that agents have answered.
func (e *Entry) AnsweredOrders() int { return int(e.given.Load()) }

// StaleRefusals returns the number of orders that were refused for an old token.
func (e *Entry) StaleRefusals() int { return int(e.refused.Load()) }

// Order implements pwduty.AgentLink.
func (e *Entry) Order(_ context.Context, address string, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	if gate := e.paused.Load(); gate != nil {
		<-*gate
	}
	resp, err := e.agents[address].Order(context.Background(), req)
	e.given.Add(1)
	if resp.GetRefusal().GetCause() == string(pwverdict.CauseStaleFence) {
		e.refused.Add(1)
	}
	return resp, err
}

func (e *Entry) down() error {
	if e.cut.Load() {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "table does not answer")
	}
	return nil
}

// Get implements pwduty.Table.
func (e *Entry) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := e.down(); err != nil {
		return pwtable.Row{}, err
	}
	return e.Table.Get(ctx, key)
}

// List implements pwduty.Table.
func (e *Entry) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	if err := e.down(); err != nil {
		return nil, err
	}
	return e.Table.List(ctx, prefix, after, limit)
}

// Commit implements pwduty.Table.
func (e *Entry) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := e.down(); err != nil {
		return 0, err
	}
	return e.Table.Commit(ctx, writes...)
}
