package pwagent

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

// orderTimeout bounds one order, a whole load included.
const orderTimeout = 10 * time.Minute

// Order passes a change of models, adapters, versions or role to the engine.
// An order with an older fencing token than the newest seen is refused here,
// because not every engine checks; the check holds until the order has ended.
func (a *Agent) Order(ctx context.Context, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	newest, err := a.order(ctx, req)
	resp := &pwrpc.OrderResponse{
		Applied:     err == nil,
		NewestFence: newest,
	}
	d := pwobserve.Decision{
		Kind:    "place",
		Service: a.cfg.Service,
		Choice:  a.cfg.BackendServer,
		Reasons: req.Kind + " " + req.Model,
	}
	if err != nil {
		resp.Refusal = pwrpc.RefusalOf(err)
		d.Verdict, d.Cause = pwverdict.VerdictOf(err).String(), resp.Refusal.Cause
	}
	a.obs.LogDecision(d)
	return resp, nil
}

func (a *Agent) order(ctx context.Context, req *pwrpc.OrderRequest) (uint64, error) {
	if a.engine == nil {
		return 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "backend server %s runs no model engine", a.cfg.BackendServer)
	}
	o := pwengine.Order{
		Fence:   req.Fence,
		Kind:    pwengine.OrderKind(req.Kind),
		Model:   pwrequest.ModelID(req.Model),
		Adapter: req.Adapter,
		Version: req.Version,
		Role:    req.Role,
	}
	err := a.guard.ApplyOrder(ctx, req.Fence, func(context.Context) error { return a.giveOrder(o) })
	return a.guard.NewestToken(), err
}

// giveOrder passes one order to the engine. It does not end with the caller's
// context, because the engine may still carry out an order whose caller is
// gone, and the guard must not let a newer one in before that.
func (a *Agent) giveOrder(o pwengine.Order) error {
	ctx, cancel := context.WithTimeout(a.baseCtx, orderTimeout)
	defer cancel()
	a.startOrder(o)
	err := a.engine.Order(ctx, o)
	a.endOrder(o, err)
	return err
}

// startOrder stops accepting attempts for a model that is going away, and
// shows a load as being in progress.
func (a *Agent) startOrder(o pwengine.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch o.Kind {
	case pwengine.OrderUnloadModel:
		a.cfg.Models = lo.Without(a.cfg.Models, o.Model)
		delete(a.placed.models, o.Model)
	case pwengine.OrderLoadModel:
		a.placed.loading[o.Model] = o.Version
	}
	a.notifyLoad()
}

func (a *Agent) endOrder(o pwengine.Order, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.placed.loading, o.Model)
	if err == nil {
		switch o.Kind {
		case pwengine.OrderLoadModel:
			a.cfg.Models = append(lo.Without(a.cfg.Models, o.Model), o.Model)
			a.placed.models[o.Model] = o.Version
		case pwengine.OrderLoadAdapter:
			a.placed.adapters[o.Adapter] = o.Version
		case pwengine.OrderSetRole:
			a.cfg.Role = o.Role
		}
	}
	a.notifyLoad()
}

// placed is what orders have changed on the backend server.
type placed struct {
	// models and adapters map what is loaded to its version, loading the models
	// whose load is in progress. A version is empty when it is not known.
	models   map[pwrequest.ModelID]string
	loading  map[pwrequest.ModelID]string
	adapters map[string]string
	slots    int
	// startModels and startRole are what the engine has after each start.
	startModels []pwrequest.ModelID
	startRole   string
}

// newPlaced starts with the models of the settings. As many as they name fit.
func newPlaced(models []pwrequest.ModelID, role string) placed {
	p := placed{
		models:   map[pwrequest.ModelID]string{},
		loading:  map[pwrequest.ModelID]string{},
		adapters: map[string]string{},
		slots:    max(len(models), 1),

		startModels: models,
		startRole:   role,
	}
	for _, m := range models {
		p.models[m] = ""
	}
	return p
}

// forgetOrders returns to what the engine has after a start, because a restart
// undoes all orders. The caller holds a.mu.
func (a *Agent) forgetOrders() {
	loading := a.placed.loading
	a.cfg.Models, a.cfg.Role = a.placed.startModels, a.placed.startRole
	a.placed = newPlaced(a.cfg.Models, a.cfg.Role)
	a.placed.loading = loading // ends with its order
	a.notifyLoad()
}

// report adds what is placed to a load report, in a fixed order, because the
// router compares reports.
func (p *placed) report(r *pwrpc.LoadReport) *pwrpc.LoadReport {
	r.ModelSlots = int32(p.slots)
	r.LoadedModels = loadedModels(p.models)
	r.LoadingModels = loadedModels(p.loading)
	for _, adapter := range slices.Sorted(maps.Keys(p.adapters)) {
		r.LoadedAdapters = append(r.LoadedAdapters, &pwrpc.LoadedAdapter{
			Adapter: adapter,
			Version: p.adapters[adapter],
		})
	}
	return r
}

func loadedModels(models map[pwrequest.ModelID]string) []*pwrpc.LoadedModel {
	var out []*pwrpc.LoadedModel
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, &pwrpc.LoadedModel{
			Model:   string(m),
			Version: models[m],
		})
	}
	return out
}

// newGuard returns the guard of the agent's orders.
func newGuard(newestToken func(ctx context.Context) (uint64, error)) *pwlease.Guard {
	if newestToken == nil {
		newestToken = func(context.Context) (uint64, error) { return 0, nil }
	}
	return pwlease.NewGuard(newestToken)
}
