// Package pwfakefleet connects real entries and agents in memory, without sockets, to
// fake engines, a fake plain service and a fake platform. It uses the runtime's clock, so
// that tests and measurements can run it inside testing/synctest bubbles. It can kill
// processes and cut the connections between entries and agents.
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

// Options configures a fleet.
type Options struct {
	DataCentres []pwrequest.DataCentre
	// EnginesPerCentre is the number of backend servers of each model service in each
	// data centre.
	EnginesPerCentre int
	// EnginesByCentre overrides EnginesPerCentre for the data centres that it contains.
	EnginesByCentre map[pwrequest.DataCentre]int
	// PlainServersPerCentre is the number of backend servers of each plain service in each
	// data centre.
	PlainServersPerCentre int
	// EntryCount is the total number of entries, which are spread over the data centres.
	// The default is one for each data centre.
	EntryCount int
	// Documents are in force from the start. Each of them gets its own backend servers.
	Documents []*pwdocument.Document
	// InterCentreLatency is the one-way latency between data centres. The latency within a
	// data centre is a fifth of it.
	InterCentreLatency time.Duration
	// Engine configures all engines. The fleet sets their names and seeds.
	Engine    pwfakeengine.Options
	Admission pwadmission.Config
	Seed      uint64
	// Observer receives the logs of all processes. The default discards them.
	Observer *pwobserve.Observer
}

// Fleet is a running set of entries and agents. A backend server's identifier is also the
// address of its agent.
type Fleet struct {
	// Table holds the claims of all processes.
	Table *pwfakeplatform.Table
	// Service is the plain service, which all plain backend servers share.
	Service *pwfakeservice.Service

	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu                     sync.Mutex
	entries                []*entryProcess
	agents                 map[string]*agentProcess // by address
	serverIDs              []string                 // addresses in the order of creation
	instances              []pwinstance.Instance
	outOfService           map[pwentry.Target]bool
	paths                  map[pathKey]*path
	lastMemberReservations map[string]time.Time // by address
	requestRecords         directory
}

type entryProcess struct {
	entry *pwentry.Entry
	dc    pwrequest.DataCentre
	ctx   context.Context
	kill  context.CancelFunc
}

type agentProcess struct {
	agent     *pwagent.Agent
	admission *pwadmission.Controller
	engine    *pwfakeengine.Engine
	cfg       pwagent.Config
	ctx       context.Context
	kill      context.CancelFunc
}

// New starts a fleet whose entries are configured with all agents. The first load reports
// arrive after the latency of the connection.
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
		Table:                  pwfakeplatform.NewTable(),
		Service:                pwfakeservice.New(),
		opts:                   opts,
		ctx:                    ctx,
		cancel:                 cancel,
		agents:                 map[string]*agentProcess{},
		outOfService:           map[pwentry.Target]bool{},
		paths:                  map[pathKey]*path{},
		lastMemberReservations: map[string]time.Time{},
	}
	for _, dc := range opts.DataCentres {
		f.startCentre(dc)
	}
	for i := range opts.EntryCount {
		f.startEntry(i)
	}
	f.wg.Go(f.loop)
	return f
}

// startCentre starts the agents, and the engines of model services, of one data centre.
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
			f.serverIDs = append(f.serverIDs, id)
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
	opts.Seed = f.opts.Seed + uint64(len(f.serverIDs))
	return pwfakeengine.New(f.ctx, opts)
}

// startAgent starts an agent process beside an engine or, if engine is nil, beside the
// plain service. An agent covered by an out-of-service mark starts out of service.
func (f *Fleet) startAgent(cfg pwagent.Config, engine *pwfakeengine.Engine) {
	ctx, stop := context.WithCancel(f.ctx)
	admission := f.opts.Admission
	admission.MemoryTokens = f.opts.Engine.MemoryTokens
	process := &agentProcess{
		admission: pwadmission.New(admission, time.Now()),
		engine:    engine,
		cfg:       cfg,
		ctx:       ctx,
		kill:      stop,
	}
	deps := pwagent.Deps{
		Admission: process.admission,
		Observer:  f.opts.Observer,
	}
	if engine != nil {
		deps.Engine = engine
	} else {
		deps.Service = f.Service
		deps.Claims = pwclaim.New(f.Table, pwclaim.Config{})
	}
	process.agent = pwagent.New(cfg, deps)
	f.mu.Lock()
	f.agents[cfg.Address] = process
	for target, out := range f.outOfService {
		if out && targetCovers(target, cfg) {
			process.agent.SetInService(false)
		}
	}
	f.mu.Unlock()
	f.wg.Go(func() { process.agent.Run(ctx) })
}

// startEntry starts entry i in the data centre i modulo the number of data centres.
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
		Directory: &f.requestRecords,
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
		kill:  stop,
	})
	f.wg.Go(func() { e.Run(ctx) })
}

// exchangeInterval is the period of the exchange between entries.
const exchangeInterval = 500 * time.Millisecond

// loop periodically sends the crash counts of each running entry to all
// others, in place of the peer exchange of real processes.
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

// Engines returns the engines, keyed by the identifiers of their backend servers.
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

// Agent returns the agent that was started last for a backend server.
func (f *Fleet) Agent(id string) *pwagent.Agent {
	p, _ := f.agentProcessAt(id)
	return p.agent
}

// ServerIDs returns the identifiers of all backend servers in the order of their creation.
func (f *Fleet) ServerIDs() []string { return f.serverIDs }

// DataCentre returns the data centre of a backend server.
func (f *Fleet) DataCentre(id string) pwrequest.DataCentre {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents[id].cfg.DataCentre
}

// LastMemberReservation returns when the agent of a backend server last accepted the
// reservation of a group member, or the zero time if it never did.
func (f *Fleet) LastMemberReservation(id string) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastMemberReservations[id]
}

// ReservedTokens returns the engine memory that all agents together have reserved.
func (f *Fleet) ReservedTokens() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var n int64
	for _, p := range f.agents {
		n += p.admission.Load(time.Now()).ReservedTokens()
	}
	return n
}

// agentProcessAt returns the newest agent process at an address and whether it is running.
func (f *Fleet) agentProcessAt(address string) (*agentProcess, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.agents[address]
	return p, ok && p.ctx.Err() == nil
}

// KillAgent ends the agent of a backend server immediately, without a shutdown.
func (f *Fleet) KillAgent(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.agents[id].kill()
}

// RestartAgent kills the agent of a backend server and starts a new one beside the same
// engine.
func (f *Fleet) RestartAgent(id string) {
	f.KillAgent(id)
	f.mu.Lock()
	old := f.agents[id]
	f.mu.Unlock()
	f.startAgent(old.cfg, old.engine)
}

// KillEntry ends an entry immediately, without a shutdown.
func (f *Fleet) KillEntry(i int) { f.entries[i].kill() }

// SetPathCut cuts the connection from an entry to the agent of a backend server, which
// cancels the calls on it, or restores it.
func (f *Fleet) SetPathCut(entry int, id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pathLocked(entry, id)
	p.isCut = cut
	if !cut {
		return
	}
	for _, cancel := range p.cancelFuncs {
		cancel()
	}
}

// path is the connection from one entry to one agent.
type path struct {
	isCut       bool
	lastCallID  int
	cancelFuncs map[int]context.CancelFunc // cancel the open calls, by call id
}

type pathKey struct {
	entry   int
	address string
}

// pathLocked returns the path between an entry and an agent, and creates it if it does not
// exist. The caller holds f.mu.
func (f *Fleet) pathLocked(entry int, address string) *path {
	k := pathKey{
		entry:   entry,
		address: address,
	}
	p, ok := f.paths[k]
	if !ok {
		p = &path{
			cancelFuncs: map[int]context.CancelFunc{},
		}
		f.paths[k] = p
	}
	return p
}

func (f *Fleet) isCut(entry int, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pathLocked(entry, address).isCut
}

// cancelOnCut registers cancel to be called when the path is cut. The returned function
// removes the registration.
func (f *Fleet) cancelOnCut(entry int, address string, cancel context.CancelFunc) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pathLocked(entry, address)
	p.lastCallID++
	callID := p.lastCallID
	p.cancelFuncs[callID] = cancel
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(p.cancelFuncs, callID)
	}
}

// latency returns the one-way latency between two data centres, which may be the same.
func (f *Fleet) latency(from, to pwrequest.DataCentre) time.Duration {
	if from == to {
		return f.opts.InterCentreLatency / 5
	}
	return f.opts.InterCentreLatency
}

// delayMessage waits for the latency between two data centres, or until ctx ends.
func (f *Fleet) delayMessage(ctx context.Context, from, to pwrequest.DataCentre) error {
	return sleepUntil(ctx, time.Now().Add(f.latency(from, to)))
}

// SetOutOfService takes a data centre or backend server out of service or brings it back.
// It informs the agents concerned and the given entries, or all entries if none is given.
func (f *Fleet) SetOutOfService(target pwentry.Target, out bool, entries ...int) {
	f.mu.Lock()
	f.outOfService[target] = out
	for _, p := range f.agents {
		if targetCovers(target, p.cfg) {
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
		f.entries[i].entry.SetOutOfService(target, out)
	}
}

// targetCovers reports whether a target includes the agent with the given configuration.
func targetCovers(target pwentry.Target, cfg pwagent.Config) bool {
	if target.Scope == pwrouter.ScopeDataCentre {
		return target.Name == string(cfg.DataCentre)
	}
	return target.Name == string(cfg.BackendServer)
}

// WarmUp observes several decode steps of normal duration in each interval, for long
// enough that a ramp reaches its full bound.
const (
	warmUpTime     = time.Minute
	warmUpInterval = time.Second
	warmUpSteps    = 4
	normalStepTime = 25 * time.Millisecond
)

// WarmUp raises the warm-up ramps of all running agents to their full bounds, as in a
// fleet that has run for a while, by observing normal decode steps for a minute.
func (f *Fleet) WarmUp() {
	for range int(warmUpTime / warmUpInterval) {
		for _, id := range f.serverIDs {
			p, ok := f.agentProcessAt(id)
			for range warmUpSteps {
				if ok {
					p.admission.ObserveStep(time.Now(), normalStepTime)
				}
			}
		}
		time.Sleep(warmUpInterval)
	}
}

// Close ends all processes and waits until the entries and agents have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
}
