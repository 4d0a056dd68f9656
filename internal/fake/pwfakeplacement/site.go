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

// Site has one table, two backend servers with a guard each, and processes
// that may hold the lease.
type Site struct {
	mu        sync.Mutex
	Table     *pwfakeplatform.Table
	servers   map[pwrequest.BackendServerID]*pwplacement.Server
	guards    map[pwrequest.BackendServerID]*pwlease.Guard
	model     pwplacement.Model
	log       []string
	Processes map[string]*Process
}

// Process pauses while its gates are set, until they are closed: with all set,
// at each call of the table; otherwise only when it sends an order.
type Process struct {
	*Site
	name       string
	all, order chan struct{}
	stop       context.CancelFunc
	done       chan struct{}
}

func (p *Process) wait(gate *chan struct{}) {
	p.mu.Lock()
	c := *gate
	p.mu.Unlock()
	if c != nil {
		<-c
	}
}

// Pause pauses a process, or only its orders.
func (p *Process) Pause(orders bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.order == nil {
		p.order = make(chan struct{})
	}
	if !orders {
		p.all = make(chan struct{})
	}
}

// Resume ends all pauses of a process.
func (p *Process) Resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, gate := range []*chan struct{}{&p.all, &p.order} {
		if *gate != nil {
			close(*gate)
			*gate = nil
		}
	}
}

// Get implements pwlease.Table.
func (p *Process) Get(ctx context.Context, key string) (pwtable.Row, error) {
	p.wait(&p.all)
	return p.Table.Get(ctx, key)
}

// Commit implements pwlease.Table.
func (p *Process) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	p.wait(&p.all)
	return p.Table.Commit(ctx, writes...)
}

// ReadSnapshot implements pwplacer.Snapshots.
func (p *Process) ReadSnapshot(context.Context) (pwplacement.Snapshot, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	in := pwplacement.Snapshot{
		Models:   []pwplacement.Model{p.model},
		MaxLoads: 1,
	}
	for _, id := range []pwrequest.BackendServerID{"s1", "s2"} {
		s := *p.servers[id]
		s.Models = maps.Clone(s.Models)
		in.Servers = append(in.Servers, s)
	}
	return in, nil
}

// ExecuteOrder implements pwplacer.Orderer. The pause comes after the placer's check
// of the lease, and a paused process does not see the end of its context.
func (p *Process) ExecuteOrder(_ context.Context, token uint64, o pwplacement.Order) error {
	p.wait(&p.order)
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
	p.log = append(p.log, fmt.Sprintf("%s token=%d %s %s %s %s", p.name, token, o.Server, o.Kind, o.Version, result))
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

// Start starts a process that tries to hold the lease.
func (s *Site) Start(name string) {
	p := &Process{
		Site: s,
		name: name,
		done: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.stop = cancel
	s.Processes[name] = p
	placer := pwplacer.New(pwplacer.Config{}, pwlease.New(p, pwlease.Config{}), p, p, p)
	go func() {
		defer close(p.done)
		_ = placer.Run(ctx)
	}()
}

// Stop ends a process gracefully, as on SIGTERM.
func (p *Process) Stop() {
	p.Resume()
	p.stop()
	<-p.done
}

// SetVersion changes the version that the service's document wants.
func (s *Site) SetVersion(version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.model.Version = version
}

// TakeResults returns and forgets the decisions since the last call, and the models
// that each server has loaded.
func (s *Site) TakeResults() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := strings.Join(s.log, "\n")
	s.log = nil
	if out == "" {
		out = "nothing"
	}
	return fmt.Sprintf("%s\ns1%v s2%v", out, s.servers["s1"].Models, s.servers["s2"].Models)
}
