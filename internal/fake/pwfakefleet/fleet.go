// Package pwfakefleet connects real entries and agents in memory, without
// sockets, to stand-ins for the engines, the plain service and the platform.
// It runs on the runtime's clock, so that tests and measurements run it inside
// testing/synctest bubbles, and it can kill processes and cut paths.
//
// # Usage
//
//	fleet := pwfakefleet.New(ctx, pwfakefleet.Options{
//		DataCentres:      []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"},
//		EnginesPerCentre: 3,
//		Documents:        documents,
//	})
//	defer fleet.Close()
//	f, err := fleet.Entry(0).Submit(ctx, submission)
//	fleet.KillAgent("lantern-hakata-00")
package pwfakefleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Options describes a fleet.
type Options struct {
	DataCentres      []pwrequest.DataCentre
	EnginesPerCentre int
	// EnginesByCentre overrides EnginesPerCentre for the data centres in it.
	EnginesByCentre       map[pwrequest.DataCentre]int
	PlainServersPerCentre int
	// EntryCount is the number of entries; default one for each data centre.
	EntryCount int
	// Documents are in force from the start. The first model service and the
	// first plain service get the servers.
	Documents []*pwdocument.Document
	// InterCentreLatency is the one-way latency between data centres; within one
	// it is a fifth of that.
	InterCentreLatency time.Duration
	Engine             pwfakeengine.Options
	Admission          pwadmission.Config
	Seed               uint64
	Observer           *pwobserve.Observer
}

// Fleet is a running set of entries and agents.
type Fleet struct {
	Table   *pwfakeplatform.Table
	Service *pwfakeservice.Service

	opts    Options
	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup

	mu        sync.Mutex
	entries   []*entryProcess
	agents    map[string]*agentProcess // by address
	order     []string                 // addresses in the order of creation
	instances []pwinstance.Instance
	out       map[pwentry.Target]bool
	paths     map[pathKey]*path
	reserved  map[string]time.Time // last accepted group member by address
	records   directory
}

type entryProcess struct {
	entry *pwentry.Entry
	dc    pwrequest.DataCentre
	ctx   context.Context
	stop  context.CancelFunc
}

type agentProcess struct {
	agent     *pwagent.Agent
	admission *pwadmission.Controller
	engine    *pwfakeengine.Engine
	cfg       pwagent.Config
	ctx       context.Context
	stop      context.CancelFunc
}

// New starts a fleet. Its entries know all agents; the first load reports
// arrive after one latency.
func New(ctx context.Context, opts Options) *Fleet {
	if opts.EntryCount == 0 {
		opts.EntryCount = len(opts.DataCentres)
	}
	if opts.Observer == nil {
		opts.Observer = pwobserve.Discard()
	}
	if opts.Engine.KVPool == nil {
		opts.Engine.KVPool = pwfakeengine.NewKVPool()
	}
	ctx, cancel := context.WithCancel(ctx)
	f := &Fleet{
		Table:    pwfakeplatform.NewTable(),
		Service:  pwfakeservice.New(),
		opts:     opts,
		ctx:      ctx,
		cancel:   cancel,
		agents:   map[string]*agentProcess{},
		out:      map[pwentry.Target]bool{},
		paths:    map[pathKey]*path{},
		reserved: map[string]time.Time{},
	}
	for _, dc := range opts.DataCentres {
		f.startCentre(dc)
	}
	for i := range opts.EntryCount {
		f.startEntry(i)
	}
	f.running.Go(f.loop)
	return f
}

func (f *Fleet) startCentre(dc pwrequest.DataCentre) {
	for _, doc := range f.opts.Documents {
		n, ok := f.opts.EnginesByCentre[dc]
		if !ok {
			n = f.opts.EnginesPerCentre
		}
		if doc.Kind == pwdocument.KindPlain {
			n = f.opts.PlainServersPerCentre
		}
		for i := range n {
			id := fmt.Sprintf("%s-%s-%02d", doc.Name, dc, i)
			cfg := pwagent.Config{
				Instance:      "agent-" + pwrequest.InstanceID(id),
				Address:       id,
				DataCentre:    dc,
				BackendServer: pwrequest.BackendServerID(id),
				Service:       doc.Service(),
				Models:        []pwrequest.ModelID{pwrequest.PlainModel},
			}
			var engine *pwfakeengine.Engine
			if doc.Kind == pwdocument.KindModelEngines {
				cfg.Models = nil
				for _, m := range doc.Models {
					cfg.Models = append(cfg.Models, m.ID)
				}
				engine = f.newEngine(id)
			}
			f.order = append(f.order, id)
			f.instances = append(f.instances, pwinstance.Instance{
				ID:            cfg.Instance,
				DataCentre:    dc,
				Address:       id,
				Role:          pwinstance.RoleAgent,
				Service:       cfg.Service,
				BackendServer: cfg.BackendServer,
			})
			f.startAgent(cfg, engine)
		}
	}
}

func (f *Fleet) newEngine(name string) *pwfakeengine.Engine {
	opts := f.opts.Engine
	opts.Name = name
	opts.Seed = f.opts.Seed + uint64(len(f.order))
	return pwfakeengine.New(f.ctx, opts)
}

func (f *Fleet) startAgent(cfg pwagent.Config, engine *pwfakeengine.Engine) {
	ctx, stop := context.WithCancel(f.ctx)
	admission := f.opts.Admission
	admission.MemoryTokens = f.opts.Engine.MemoryTokens
	p := &agentProcess{
		admission: pwadmission.New(admission, time.Now()),
		engine:    engine,
		cfg:       cfg,
		ctx:       ctx,
		stop:      stop,
	}
	parts := pwagent.Deps{
		Admission: p.admission,
		Observer:  f.opts.Observer,
	}
	if engine != nil {
		parts.Engine = engine
	} else {
		parts.Service = f.Service
		parts.Claims = pwclaim.New(f.Table, pwclaim.Config{})
	}
	p.agent = pwagent.New(cfg, parts)
	f.mu.Lock()
	f.agents[cfg.Address] = p
	for m, out := range f.out {
		if out && covers(m, cfg) {
			p.agent.SetInService(false)
		}
	}
	f.mu.Unlock()
	f.running.Go(func() { p.agent.Run(ctx) })
}

func (f *Fleet) startEntry(i int) {
	dc := f.opts.DataCentres[i%len(f.opts.DataCentres)]
	ctx, stop := context.WithCancel(f.ctx)
	e := pwentry.New(pwentry.Config{
		Instance:   pwrequest.InstanceID(fmt.Sprintf("entry-%s-%d", dc, i)),
		DataCentre: dc,
		Seed:       f.opts.Seed + uint64(i) + 1,
	}, pwentry.Deps{
		Agents: &dialer{
			fleet: f,
			entry: i,
			dc:    dc,
		},
		Claims:    pwclaim.New(f.Table, pwclaim.Config{}),
		Directory: &f.records,
		Observer:  f.opts.Observer,
	})
	for _, d := range f.opts.Documents {
		e.SetDocument(d)
	}
	e.SetInstances(f.instances)
	f.entries = append(f.entries, &entryProcess{
		entry: e,
		dc:    dc,
		ctx:   ctx,
		stop:  stop,
	})
	f.running.Go(func() { e.Run(ctx) })
}

// exchangeInterval is the period of the peer exchange between processes.
const exchangeInterval = 500 * time.Millisecond

// loop exchanges crash counts between the entries, as the peer exchange does.
func (f *Fleet) loop() {
	tick := time.NewTicker(exchangeInterval)
	defer tick.Stop()
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-tick.C:
		}
		for i, from := range f.entries {
			counts := from.entry.Crashes()
			for j, to := range f.entries {
				if i != j && len(counts) > 0 && from.ctx.Err() == nil && to.ctx.Err() == nil {
					to.entry.MergeCrashes(counts)
				}
			}
		}
	}
}

// Entry returns entry i.
func (f *Fleet) Entry(i int) *pwentry.Entry { return f.entries[i].entry }

// EntryCount returns the number of entries.
func (f *Fleet) EntryCount() int { return len(f.entries) }

// Engines returns the engines by the identifiers of their backend servers.
func (f *Fleet) Engines() map[string]*pwfakeengine.Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	engines := map[string]*pwfakeengine.Engine{}
	for id, p := range f.agents {
		if p.engine != nil {
			engines[id] = p.engine
		}
	}
	return engines
}

// Agent returns the current agent of a backend server.
func (f *Fleet) Agent(id string) *pwagent.Agent {
	p, _ := f.processAt(id)
	return p.agent
}

// ServerIDs returns the identifiers of all backend servers in a fixed order.
func (f *Fleet) ServerIDs() []string { return f.order }

// DataCentre returns the data centre of a backend server.
func (f *Fleet) DataCentre(id string) pwrequest.DataCentre {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[id].cfg.DataCentre
}

// LastMemberReservation returns when the agent of a backend server last accepted a member
// of a group; the zero time means never.
func (f *Fleet) LastMemberReservation(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reserved[id]
}

// ReservedTokens returns the reserved engine memory of all agents.
func (f *Fleet) ReservedTokens() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, p := range f.agents {
		n += p.admission.Load(time.Now()).ReservedTokens()
	}
	return n
}

func (f *Fleet) processAt(address string) (*agentProcess, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.agents[address]
	return p, ok && p.ctx.Err() == nil
}

// KillAgent ends the agent of a backend server at once.
func (f *Fleet) KillAgent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[id].stop()
}

// RestartAgent starts a new agent process beside the same engine.
func (f *Fleet) RestartAgent(id string) {
	f.KillAgent(id)
	f.mu.Lock()
	old := f.agents[id]
	f.mu.Unlock()
	f.startAgent(old.cfg, old.engine)
}

// KillEntry ends an entry at once.
func (f *Fleet) KillEntry(i int) { f.entries[i].stop() }

// SetPathCut breaks the path from an entry to a backend server's agent, or mends it.
func (f *Fleet) SetPathCut(entry int, id string, broken bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pathLocked(entry, id)
	p.cut = broken
	if !broken {
		return
	}
	for _, stop := range p.open {
		stop()
	}
}

// path is the connection from one entry to one agent.
type path struct {
	cut  bool
	next int
	open map[int]context.CancelFunc // calls that end when the path is cut
}

type pathKey struct {
	entry   int
	address string
}

// pathLocked returns a path, adding it when new. The caller holds f.mu.
func (f *Fleet) pathLocked(entry int, address string) *path {
	k := pathKey{
		entry:   entry,
		address: address,
	}
	p, ok := f.paths[k]
	if !ok {
		p = &path{
			open: map[int]context.CancelFunc{},
		}
		f.paths[k] = p
	}
	return p
}

func (f *Fleet) isCut(entry int, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pathLocked(entry, address).cut
}

// onCut calls stop when the path is cut; the returned function ends the watch.
func (f *Fleet) onCut(entry int, address string, stop context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pathLocked(entry, address)
	p.next++
	id := p.next
	p.open[id] = stop
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(p.open, id)
	}
}

func (f *Fleet) latency(a, b pwrequest.DataCentre) time.Duration {
	if a == b {
		return f.opts.InterCentreLatency / 5
	}
	return f.opts.InterCentreLatency
}

func (f *Fleet) delay(ctx context.Context, a, b pwrequest.DataCentre) error {
	return sleepUntil(ctx, time.Now().Add(f.latency(a, b)))
}

// SetOutOfService takes a data centre or backend server out of service or brings it
// back, at all agents and at the given entries; none means all.
func (f *Fleet) SetOutOfService(m pwentry.Target, out bool, entries ...int) {
	f.mu.Lock()
	f.out[m] = out
	for _, p := range f.agents {
		if covers(m, p.cfg) {
			p.agent.SetInService(!out)
		}
	}
	f.mu.Unlock()
	if len(entries) == 0 {
		for i := range f.entries {
			entries = append(entries, i)
		}
	}
	for _, i := range entries {
		f.entries[i].entry.SetOutOfService(m, out)
	}
}

func covers(m pwentry.Target, cfg pwagent.Config) bool {
	if m.Scope == pwrouter.ScopeDataCentre {
		return m.Name == string(cfg.DataCentre)
	}
	return m.Name == string(cfg.BackendServer)
}

// Observations that make a ramp rise: normal decoding steps, several in each
// interval, until the full bound is reached.
const (
	warmUpTime     = time.Minute
	warmUpInterval = time.Second
	warmUpSteps    = 4
	normalStep     = 25 * time.Millisecond
)

// WarmUp brings the agents' ramps to their full bounds, as in a fleet that has
// run for a while, by showing them normal decoding steps.
func (f *Fleet) WarmUp() {
	for range int(warmUpTime / warmUpInterval) {
		for _, id := range f.order {
			p, ok := f.processAt(id)
			for range warmUpSteps {
				if ok {
					p.admission.ObserveStep(time.Now(), normalStep)
				}
			}
		}
		time.Sleep(warmUpInterval)
	}
}

// Close ends all processes and waits for them.
func (f *Fleet) Close() {
	f.cancel()
	f.running.Wait()
}
