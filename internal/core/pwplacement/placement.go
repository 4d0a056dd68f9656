// Package pwplacement decides which models, adapters, versions and roles run
// on which backend server of one service. It does no I/O: a Planner takes the
// time and a snapshot, and returns a bounded list of orders.
//
// # Usage
//
//	planner := pwplacement.New(pwplacement.Config{})
//	for _, o := range planner.Plan(time.Now(), snapshot) {
//		// send the order to the agent of o.Server; after a failure:
//		planner.RecordFailure(o.Server, time.Now())
//	}
//
// # Rules
//
//   - A server that is out of service gets no order and does not count towards a
//     target.
//   - A plan contains only the changes that the targets need. Surplus replicas of a
//     model stay loaded until their slot is needed.
//   - The last server of a wanted model keeps it while another server can take the
//     model: a new version is then loaded on the other server first.
//   - Loads in progress never exceed the weight store's shared limit. Nothing is
//     loaded while the limit is unknown.
//   - A target follows demand only beyond a tolerance, and falls only after a delay.
//     A changed server gets only urgent orders during its cooldown.
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
	// DefaultDemandTolerance is the fraction by which demand must exceed the capacity
	// of the target, or fall below that of one replica fewer, before the target
	// changes.
	DefaultDemandTolerance = 0.2
	// DefaultScaleDownDelay is how long demand must be low before a target falls.
	DefaultScaleDownDelay = 2 * time.Minute
	// DefaultCooldown is how long a changed server gets only urgent orders.
	DefaultCooldown = 5 * time.Minute
	// DefaultFailureBackoff is how long a server gets no orders after an
	// order failed, so that another server is tried first.
	DefaultFailureBackoff = 30 * time.Second
	// DefaultLoadTimeout is how long an ordered change counts as in progress if no
	// report shows its effect.
	DefaultLoadTimeout = 10 * time.Minute
	// DefaultMaxOrders is the largest number of orders in one plan.
	DefaultMaxOrders = 32
)

// Config holds the settings of a planner. Zero values select the defaults.
type Config struct {
	// DemandTolerance is the fraction by which demand must exceed the capacity of the
	// target, or fall below that of one replica fewer, before the target changes.
	DemandTolerance float64
	// ScaleDownDelay is how long demand must be low before a target falls.
	ScaleDownDelay time.Duration
	// Cooldown is how long a changed server gets only urgent orders.
	Cooldown time.Duration
	// FailureBackoff is how long a server gets no order after an order failed.
	FailureBackoff time.Duration
	// LoadTimeout is how long an ordered change counts as in progress if no report
	// shows its effect.
	LoadTimeout time.Duration
	// MaxOrders is the largest number of orders in one plan.
	MaxOrders int
}

// Model is a model that the service document lists.
type Model struct {
	ID pwrequest.ModelID
	// Version is the active version, which new requests use.
	Version string
	// MinReplicas is the smallest number of servers that should hold the model.
	MinReplicas int
	// Adapters maps each wanted adapter to its version.
	Adapters map[string]string
}

// RoleShare is the percentage of the servers that should have a role.
type RoleShare struct {
	Role    string
	Percent int
}

// Server is the state of one backend server.
type Server struct {
	ID         pwrequest.BackendServerID
	DataCentre pwrequest.DataCentre
	InService  bool
	// Slots is the number of models that the server can hold; 0 counts as 1.
	Slots int
	// Models maps each loaded model to its version.
	Models map[pwrequest.ModelID]string
	// Loading maps each model whose load the server reports as in progress to its
	// version. It is the only source from which a new lease holder learns of loads
	// that its predecessor ordered.
	Loading map[pwrequest.ModelID]string
	// Adapters maps each loaded adapter to its version.
	Adapters map[string]string
	Role     string
	// Running is the number of attempts that are running on the server.
	Running int
}

// Snapshot is the input of a plan: the wanted state, the demand and the servers.
type Snapshot struct {
	Models []Model
	Roles  []RoleShare
	// Demand is the demand for each model in tokens a second.
	Demand map[pwrequest.ModelID]float64
	// ServerCapacity is the throughput of one server in tokens a second.
	ServerCapacity float64
	Servers        []Server
	// MaxLoads is the number of concurrent loads that the weight store allows, or 0
	// if the number is unknown.
	MaxLoads int
}

// OrderKind is the kind of change that an order makes.
type OrderKind string

// Kinds of an Order.
const (
	LoadModel   OrderKind = "load_model"
	UnloadModel OrderKind = "unload_model"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order is one change of one server. Orders for the same server are carried out in
// the sequence of the plan.
type Order struct {
	Kind    OrderKind
	Server  pwrequest.BackendServerID
	Model   pwrequest.ModelID
	Adapter string
	Version string
	Role    string
}

// target is the wanted number of replicas of one model.
type target struct {
	replicas int
	// lowSince is the time at which demand fell below the tolerance, or zero if it is
	// not low.
	lowSince time.Time
}

// pendingChange is an ordered change of one server that no report shows yet.
type pendingChange struct {
	orders    []Order
	orderedAt time.Time
}

// loadCount returns the number of orders that load weights.
func (c pendingChange) loadCount() int {
	n := 0
	for _, o := range c.orders {
		if o.Kind == LoadModel || o.Kind == LoadAdapter {
			n++
		}
	}
	return n
}

// Planner plans the placement of one service. It is not safe for concurrent use.
type Planner struct {
	cfg            Config
	targets        map[pwrequest.ModelID]*target
	pendingChanges map[pwrequest.BackendServerID]pendingChange
	// cooldownUntil is the time until which a changed server gets only urgent orders.
	cooldownUntil map[pwrequest.BackendServerID]time.Time
	// blockedUntil is the time until which a server gets no order after a failure.
	blockedUntil map[pwrequest.BackendServerID]time.Time
}

// New returns a planner without targets. A new lease holder starts with a new
// planner, whose targets begin with the current placement.
func New(cfg Config) *Planner {
	cfg.DemandTolerance = cmp.Or(cfg.DemandTolerance, DefaultDemandTolerance)
	cfg.ScaleDownDelay = cmp.Or(cfg.ScaleDownDelay, DefaultScaleDownDelay)
	cfg.Cooldown = cmp.Or(cfg.Cooldown, DefaultCooldown)
	cfg.FailureBackoff = cmp.Or(cfg.FailureBackoff, DefaultFailureBackoff)
	cfg.LoadTimeout = cmp.Or(cfg.LoadTimeout, DefaultLoadTimeout)
	cfg.MaxOrders = cmp.Or(cfg.MaxOrders, DefaultMaxOrders)
	return &Planner{
		cfg:            cfg,
		targets:        map[pwrequest.ModelID]*target{},
		pendingChanges: map[pwrequest.BackendServerID]pendingChange{},
		cooldownUntil:  map[pwrequest.BackendServerID]time.Time{},
		blockedUntil:   map[pwrequest.BackendServerID]time.Time{},
	}
}

// RecordFailure records that an order to a server failed, and drops the server's
// pending change. The server gets no order for FailureBackoff, and only urgent ones
// for Cooldown.
func (p *Planner) RecordFailure(id pwrequest.BackendServerID, now time.Time) {
	delete(p.pendingChanges, id)
	p.cooldownUntil[id] = now.Add(p.cfg.Cooldown)
	p.blockedUntil[id] = now.Add(p.cfg.FailureBackoff)
}

// Plan returns the next orders, most urgent first.
func (p *Planner) Plan(now time.Time, in Snapshot) []Order {
	p.prunePending(now, in)
	r := newPlanRun(p, now, in)
	p.updateTargets(now, in, r)
	// Models without a server and the new version of a model with a single server
	// get free slots before other models scale out.
	r.placeMissing(true)
	r.replaceVersions()
	r.placeMissing(false)
	r.loadAdapters()
	r.setRoles()
	return r.orders
}

// prunePending drops pending changes that a report shows, that timed out or whose
// server is gone. It also drops cooldowns and failure backoffs that are over.
func (p *Planner) prunePending(now time.Time, in Snapshot) {
	known := make(map[pwrequest.BackendServerID]Server, len(in.Servers))
	for _, s := range in.Servers {
		known[s.ID] = s
	}
	for id, c := range p.pendingChanges {
		s, ok := known[id]
		if !ok || now.Sub(c.orderedAt) >= p.cfg.LoadTimeout || isApplied(s, c.orders) {
			delete(p.pendingChanges, id)
		}
	}
	isOver := func(_ pwrequest.BackendServerID, until time.Time) bool { return !now.Before(until) }
	maps.DeleteFunc(p.cooldownUntil, isOver)
	maps.DeleteFunc(p.blockedUntil, isOver)
}

// isApplied reports whether the state of a server shows the effect of all orders.
func isApplied(s Server, orders []Order) bool {
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

// updateTargets adapts the targets to the demand and allocates the slots.
func (p *Planner) updateTargets(now time.Time, in Snapshot, r *planRun) {
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
				replicas: max(m.MinReplicas, r.plannedReplicas[m.ID]),
			}
			p.targets[m.ID] = t
		}
		low := need < t.replicas && demand < float64(t.replicas-1)*capacity*(1-p.cfg.DemandTolerance)
		switch {
		case t.replicas < m.MinReplicas, t.replicas == 0 && need > 0, need > t.replicas && demand > float64(t.replicas)*capacity*(1+p.cfg.DemandTolerance):
			t.replicas = need
			t.lowSince = time.Time{}
		case !low:
			t.lowSince = time.Time{}
		case t.lowSince.IsZero():
			t.lowSince = now
		case now.Sub(t.lowSince) >= p.cfg.ScaleDownDelay:
			t.replicas = need
			t.lowSince = time.Time{}
		}
	}
	r.allocateSlots()
}
