// Package pwplacement decides which models, adapters, versions and roles run
// on which backend server of one service. It does no I/O: a Planner gets the
// time and a snapshot, and returns a bounded list of orders.
//
// # Usage
//
//	planner := pwplacement.New(pwplacement.Config{})
//	for _, o := range planner.Plan(time.Now(), snapshot) {
//		// give the order to the agent of o.Server; after a failure:
//		planner.Failed(o.Server, time.Now())
//	}
//
// # Rules
//
//   - A server taken out of service gets no order and does not count.
//   - Only as much is changed as the targets need. A model beyond its target
//     stays loaded until its slot is needed.
//   - A demanded model keeps at least one server while another server can take
//     over; a new version is then loaded elsewhere first.
//   - Loads in progress never exceed the weight store's shared limit. Without a
//     known limit nothing is loaded.
//   - A target follows demand only beyond a band, and falls only after a hold
//     time; a server that was changed is left alone for a while.
package pwplacement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Defaults of Config.
const (
	// DefaultDemandTolerance is the fraction by which demand must leave the capacity of
	// the current servers before a target changes.
	DefaultDemandTolerance = 0.2
	// DefaultScaleDownDelay is how long demand must be low before a target falls.
	DefaultScaleDownDelay = 2 * time.Minute
	// DefaultCooldown is how long a changed server is left alone.
	DefaultCooldown = 5 * time.Minute
	// DefaultFailureBackoff is how long a server whose order failed gets no order
	// at all, so that another server is tried first.
	DefaultFailureBackoff = 30 * time.Second
	// DefaultLoadTimeout is how long a load counts as in progress.
	DefaultLoadTimeout = 10 * time.Minute
	// DefaultMaxOrders bounds the orders of one plan.
	DefaultMaxOrders = 32
)

// Config holds the settings of a planner. Zero values select the defaults.
type Config struct {
	DemandTolerance float64
	ScaleDownDelay  time.Duration
	Cooldown        time.Duration
	FailureBackoff  time.Duration
	LoadTimeout     time.Duration
	MaxOrders       int
}

// Model is a model that the service document wants.
type Model struct {
	ID pwrequest.ModelID
	// Version is the version that new requests use.
	Version     string
	MinReplicas int
	// Adapters maps each adapter to its version.
	Adapters map[string]string
}

// RoleShare is the wanted part of the servers with a role, in percent.
type RoleShare struct {
	Role    string
	Percent int
}

// Server is the state of one backend server.
type Server struct {
	ID         pwrequest.BackendServerID
	DataCentre pwrequest.DataCentre
	InService  bool
	// Slots is the number of models the server can hold; 0 counts as 1.
	Slots int
	// Models maps each loaded model to its version.
	Models map[pwrequest.ModelID]string
	// Loading maps each model that the server reports as being loaded to its
	// version. A new lease holder learns of running loads only from it.
	Loading map[pwrequest.ModelID]string
	// Adapters maps each loaded adapter to its version.
	Adapters map[string]string
	Role     string
	// Running is the number of attempts that run now.
	Running int
}

// Snapshot is everything that a plan is based on.
type Snapshot struct {
	Models []Model
	Roles  []RoleShare
	// Demand is the work per model in tokens a second.
	Demand map[pwrequest.ModelID]float64
	// ServerCapacity is the work that one server can do, in tokens a second.
	ServerCapacity float64
	Servers        []Server
	// MaxLoads is the number of loads that the weight store allows at once;
	// 0 when it is not known.
	MaxLoads int
}

// OrderKind is the kind of an order.
type OrderKind string

// Kinds of orders.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is one change of one server. Orders for the same server are carried
// out in their order.
type Order struct {
	Kind    OrderKind
	Server  pwrequest.BackendServerID
	Model   pwrequest.ModelID
	Adapter string
	Version string
	Role    string
}

// target is the wanted number of servers of one model.
type target struct {
	count int
	// lowSince is when demand fell below the band; zero when it is not low.
	lowSince time.Time
}

// change is a change that was ordered and has not been seen in a report yet.
type change struct {
	orders []Order
	at     time.Time
}

func (c change) loads() int {
	n := 0
	for _, o := range c.orders {
		if o.Kind == LoadModel || o.Kind == LoadAdapter {
			n++
		}
	}
	return n
}

// Planner plans for one service. It is not safe for concurrent use.
type Planner struct {
	cfg     Config
	targets map[pwrequest.ModelID]*target
	pending map[pwrequest.BackendServerID]change
	// restUntil is until when a changed server is left alone.
	restUntil map[pwrequest.BackendServerID]time.Time
	// blockedUntil is until when a server whose order failed gets no order.
	blockedUntil map[pwrequest.BackendServerID]time.Time
}

// New returns a planner. A new lease holder starts with a new one and takes
// the current placement as its targets.
func New(cfg Config) *Planner {
	cfg.DemandTolerance = cmp.Or(cfg.DemandTolerance, DefaultDemandTolerance)
	cfg.ScaleDownDelay = cmp.Or(cfg.ScaleDownDelay, DefaultScaleDownDelay)
	cfg.Cooldown = cmp.Or(cfg.Cooldown, DefaultCooldown)
	cfg.FailureBackoff = cmp.Or(cfg.FailureBackoff, DefaultFailureBackoff)
	cfg.LoadTimeout = cmp.Or(cfg.LoadTimeout, DefaultLoadTimeout)
	cfg.MaxOrders = cmp.Or(cfg.MaxOrders, DefaultMaxOrders)
	return &Planner{
		cfg:          cfg,
		targets:      map[pwrequest.ModelID]*target{},
		pending:      map[pwrequest.BackendServerID]change{},
		restUntil:    map[pwrequest.BackendServerID]time.Time{},
		blockedUntil: map[pwrequest.BackendServerID]time.Time{},
	}
}

// RecordFailure tells that an order to a server failed. The server's change is no
// longer expected. The server gets no order for the failure rest, and only
// urgent ones for the dwell time.
func (p *Planner) RecordFailure(id pwrequest.BackendServerID, now time.Time) {
	delete(p.pending, id)
	p.restUntil[id] = now.Add(p.cfg.Cooldown)
	p.blockedUntil[id] = now.Add(p.cfg.FailureBackoff)
}

// Plan returns the next orders, most urgent first.
func (p *Planner) Plan(now time.Time, in Snapshot) []Order {
	p.settle(now, in)
	r := newRound(p, now, in)
	p.follow(now, in, r)
	// A new version of a model's only server needs a free slot before others
	// scale out.
	r.fill(true)
	r.replaceVersions()
	r.fill(false)
	r.loadAdapters()
	r.setRoles()
	return r.orders
}

// settle drops pending changes that a report shows or that took too long, and
// forgets servers that are gone.
func (p *Planner) settle(now time.Time, in Snapshot) {
	known := make(map[pwrequest.BackendServerID]Server, len(in.Servers))
	for _, s := range in.Servers {
		known[s.ID] = s
	}
	for id, c := range p.pending {
		s, ok := known[id]
		if !ok || now.Sub(c.at) >= p.cfg.LoadTimeout || shows(s, c.orders) {
			delete(p.pending, id)
		}
	}
	over := func(_ pwrequest.BackendServerID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(p.restUntil, over)
	maps.DeleteFunc(p.blockedUntil, over)
}

// shows reports whether a server has the effect of all orders.
func shows(s Server, orders []Order) bool {
	for i, o := range orders {
		version, loaded := s.Models[o.Model]
		switch o.Kind {
		case LoadModel:
			if version != o.Version {
				return false
			}
		case UnloadModel:
			replaced := slices.ContainsFunc(orders[i+1:], func(l Order) bool { return l.Kind == LoadModel && l.Model == o.Model })
			if loaded && !replaced {
				return false
			}
		case LoadAdapter:
			if s.Adapters[o.Adapter] != o.Version {
				return false
			}
		case SetRole:
			if s.Role != o.Role {
				return false
			}
		}
	}
	return true
}

// follow moves the targets after demand.
func (p *Planner) follow(now time.Time, in Snapshot, r *round) {
	maps.DeleteFunc(p.targets, func(id pwrequest.ModelID, _ *target) bool {
		_, wanted := r.models[id]
		return !wanted
	})
	capacity := max(in.ServerCapacity, 1)
	for _, m := range in.Models {
		demand := in.Demand[m.ID]
		need := max(m.MinReplicas, int(math.Ceil(demand/capacity)))
		t := p.targets[m.ID]
		if t == nil {
			t = &target{
				count: max(m.MinReplicas, r.planned[m.ID]),
			}
			p.targets[m.ID] = t
		}
		low := need < t.count && demand < float64(t.count-1)*capacity*(1-p.cfg.DemandTolerance)
		switch {
		case t.count < m.MinReplicas, t.count == 0 && need > 0, need > t.count && demand > float64(t.count)*capacity*(1+p.cfg.DemandTolerance):
			t.count = need
			t.lowSince = time.Time{}
		case !low:
			t.lowSince = time.Time{}
		case t.lowSince.IsZero():
			t.lowSince = now
		case now.Sub(t.lowSince) >= p.cfg.ScaleDownDelay:
			t.count = need
			t.lowSince = time.Time{}
		}
	}
	r.share()
}
