package pwfakeplacement

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Site has one table, the backend servers s1 and s2 with a fencing guard each, and placer
// processes that compete for the lease.
type Site struct {
	mu      sync.Mutex
	Table   *pwfakeplatform.Table
	servers map[pwrequest.BackendServerID]*pwplacement.Server
	guards  map[pwrequest.BackendServerID]*pwlease.Guard
	model   pwplacement.Model
	// results has one line for each order whose result was recorded.
	results   []string
	Processes map[string]*Process
}

// Process is one placer, and the table, the snapshot reader, the order executor and the
// recorder that it uses. While tableGate is set, the process blocks at each table call;
// while orderGate is set, it blocks before it sends an order.
type Process struct {
	*Site
	name                 string
	tableGate, orderGate chan struct{}
	cancel               context.CancelFunc
	done                 chan struct{}
}

// waitForGate blocks until the gate is closed; nil counts as closed.
func (p *Process) waitForGate(gate *chan struct{}) {
	p.mu.Lock()
	c := *gate
	p.mu.Unlock()
	if c != nil {
		<-c
	}
}

// Pause blocks the process's orders and, unless ordersOnly is set, its table calls.
func (p *Process) Pause(ordersOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orderGate == nil {
		p.orderGate = make(chan struct{})
	}
	if !ordersOnly {
		p.tableGate = make(chan struct{})
	}
}

// Resume unblocks the process's orders and table calls.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gate := range []*chan struct{}{&p.tableGate, &p.orderGate} {
		if *gate != nil {
			close(*gate)
			*gate = nil
		}
	}
}

// Get implements pwlease.Table.
func (p *Process) Get(ctx context.Context, key string) (pwtable.Row, error) {
	p.waitForGate(&p.tableGate)
	return p.Table.Get(ctx, key)
}

// Commit implements pwlease.Table.
func (p *Process) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	p.waitForGate(&p.tableGate)
	return p.Table.Commit(ctx, writes...)
}

// ReadSnapshot implements pwplacer.SnapshotReader.
func (p *Process) ReadSnapshot(context.Context) (pwplacement.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	snapshot := pwplacement.Snapshot{
		Models:   []pwplacement.Model{p.model},
		MaxLoads: 1,
	}
	for _, id := range []pwrequest.BackendServerID{"s1", "s2"} {
		s := *p.servers[id]
		s.Models = maps.Clone(s.Models)
		snapshot.Servers = append(snapshot.Servers, s)
	}
	return snapshot, nil
}

// ExecuteOrder implements pwplacer.OrderExecutor. Each order takes one second. A pause
// takes effect after the placer's check of the lease, and the end of the context doesn't
// end it.
func (p *Process) ExecuteOrder(_ context.Context, token uint64, o pwplacement.Order) error {
	p.waitForGate(&p.orderGate)
	return p.guards[o.Server].ApplyOrder(context.Background(), token, func(context.Context) error {
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		s := p.servers[o.Server]
		if o.Kind == pwplacement.LoadModel {
			s.Models[o.Model] = o.Version
		} else {
			delete(s.Models, o.Model)
		}
		return nil
	})
}

// RecordOrder implements pwplacer.Recorder.
func (p *Process) RecordOrder(token uint64, o pwplacement.Order, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	result := "done"
	if err != nil {
		result = string(pwverdict.CauseOf(err))
	}
	p.results = append(p.results, fmt.Sprintf("%s token=%d %s %s %s %s", p.name, token, o.Server, o.Kind, o.Version, result))
}

// NewSite returns a site without processes.
func NewSite() *Site {
	s := &Site{
		Table:   pwfakeplatform.NewTable(),
		servers: map[pwrequest.BackendServerID]*pwplacement.Server{},
		guards:  map[pwrequest.BackendServerID]*pwlease.Guard{},
		model: pwplacement.Model{
			ID:          "a",
			Version:     "v1",
			MinReplicas: 1,
		},
		Processes: map[string]*Process{},
	}
	for _, id := range []pwrequest.BackendServerID{"s1", "s2"} {
		s.servers[id] = &pwplacement.Server{
			ID:        id,
			InService: true,
			Models:    map[pwrequest.ModelID]string{},
		}
		s.guards[id] = pwlease.NewGuard(pwlease.New(s.Table, pwlease.Config{}).NewestToken)
	}
	return s
}

// Start starts a process that tries to acquire the lease.
func (s *Site) Start(name string) {
	p := &Process{
		Site: s,
		name: name,
		done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	s.Processes[name] = p
	placer := pwplacer.New(pwplacer.Config{}, pwlease.New(p, pwlease.Config{}), p, p, p)
	go func() {
		defer close(p.done)
		_ = placer.Run(ctx)
	}()
}

// Stop resumes the process and ends it gracefully, as SIGTERM would.
func (p *Process) Stop() {
	p.Resume()
	p.cancel()
	<-p.done
}

// SetVersion changes the version that the service's document requests.
func (s *Site) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Version = version
}

// TakeResults returns the results of the orders since the last call, or "nothing", and a
// line with the models that each server has loaded.
func (s *Site) TakeResults() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := strings.Join(s.results, "\n")
	s.results = nil
	if out == "" {
		out = "nothing"
	}
	return fmt.Sprintf("%s\ns1%v s2%v", out, s.servers["s1"].Models, s.servers["s2"].Models)
}
