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

// orderTimeout bounds one order, including the complete load of a model.
const orderTimeout = 10 * time.Minute

// Order passes a change of models, adapters, versions or role to the engine. The agent
// refuses an order whose fencing token is older than the newest one that it has received
// or read from the lease, because not every engine checks tokens. A newer order waits
// until this one has ended.
func (a *Agent) Order(ctx context.Context, req *pwrpc.OrderRequest) (*pwrpc.OrderResponse, error) {
	newest, err := a.executeOrder(ctx, req)
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
		resp.Refusal = pwrpc.NewRefusal(err)
		d.Verdict, d.Cause = pwverdict.VerdictOf(err).String(), resp.Refusal.Cause
	}
	a.obs.LogDecision(d)
	return resp, nil
}

// executeOrder runs an order under the guard and returns the newest fencing token.
func (a *Agent) executeOrder(ctx context.Context, req *pwrpc.OrderRequest) (uint64, error) {
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
	err := a.orderGuard.ApplyOrder(ctx, req.Fence, func(context.Context) error { return a.forwardOrder(o) })
	return a.orderGuard.NewestToken(), err
}

// forwardOrder passes one order to the engine. It does not end with the caller's
// context, because the engine may still execute the order after the caller has
// disconnected, and the guard must not admit a newer order before that.
func (a *Agent) forwardOrder(o pwengine.Order) error {
	ctx, cancel := context.WithTimeout(a.baseCtx, orderTimeout)
	defer cancel()
	a.startOrder(o)
	err := a.engine.Order(ctx, o)
	a.endOrder(o, err)
	return err
}

// startOrder stops accepting attempts for a model before it is unloaded, and lists a
// model as loading while it is loaded.
func (a *Agent) startOrder(o pwengine.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch o.Kind {
	case pwengine.OrderUnloadModel:
		a.cfg.Models = lo.Without(a.cfg.Models, o.Model)
		delete(a.placement.loadedVersions, o.Model)
	case pwengine.OrderLoadModel:
		a.placement.loadingVersions[o.Model] = o.Version
	}
	a.signalLoadChange()
}

// endOrder records what an order has changed on the engine.
func (a *Agent) endOrder(o pwengine.Order, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.placement.loadingVersions, o.Model)
	if err == nil {
		switch o.Kind {
		case pwengine.OrderLoadModel:
			a.cfg.Models = append(lo.Without(a.cfg.Models, o.Model), o.Model)
			a.placement.loadedVersions[o.Model] = o.Version
		case pwengine.OrderLoadAdapter:
			a.placement.adapterVersions[o.Adapter] = o.Version
		case pwengine.OrderSetRole:
			a.cfg.Role = o.Role
		}
	}
	a.signalLoadChange()
}

// placementState holds the models and adapters that orders have placed on the backend
// server.
type placementState struct {
	// loadedVersions and adapterVersions map the loaded models and adapters to their
	// versions, and loadingVersions the models whose load is in progress. An unknown
	// version is empty.
	loadedVersions  map[pwrequest.ModelID]string
	loadingVersions map[pwrequest.ModelID]string
	adapterVersions map[string]string
	modelSlots      int
	// initialModels and initialRole are those of the engine after each start.
	initialModels []pwrequest.ModelID
	initialRole   string
}

// newPlacementState returns the state after a start of the engine, with the models of
// the settings loaded. Their number is the number of models that fit on the server.
func newPlacementState(models []pwrequest.ModelID, role string) placementState {
	p := placementState{
		loadedVersions:  map[pwrequest.ModelID]string{},
		loadingVersions: map[pwrequest.ModelID]string{},
		adapterVersions: map[string]string{},
		modelSlots:      max(len(models), 1),

		initialModels: models,
		initialRole:   role,
	}
	for _, m := range models {
		p.loadedVersions[m] = ""
	}
	return p
}

// resetPlacement restores the placement after a start, because a restart of the engine
// undoes all orders. The caller holds a.mu.
func (a *Agent) resetPlacement() {
	loadingVersions := a.placement.loadingVersions
	a.cfg.Models, a.cfg.Role = a.placement.initialModels, a.placement.initialRole
	a.placement = newPlacementState(a.cfg.Models, a.cfg.Role)
	a.placement.loadingVersions = loadingVersions // endOrder removes them
	a.signalLoadChange()
}

// addToReport adds the placement to a load report. The lists are sorted, because the
// router compares reports.
func (p *placementState) addToReport(r *pwrpc.LoadReport) *pwrpc.LoadReport {
	r.ModelSlots = int32(p.modelSlots)
	r.LoadedModels = sortedModels(p.loadedVersions)
	r.LoadingModels = sortedModels(p.loadingVersions)
	for _, adapter := range slices.Sorted(maps.Keys(p.adapterVersions)) {
		r.LoadedAdapters = append(r.LoadedAdapters, &pwrpc.LoadedAdapter{
			Adapter: adapter,
			Version: p.adapterVersions[adapter],
		})
	}
	return r
}

// sortedModels returns models and their versions in the order of the model IDs.
func sortedModels(models map[pwrequest.ModelID]string) []*pwrpc.LoadedModel {
	var out []*pwrpc.LoadedModel
	for _, m := range slices.Sorted(maps.Keys(models)) {
		out = append(out, &pwrpc.LoadedModel{
			Model:   string(m),
			Version: models[m],
		})
	}
	return out
}

// newOrderGuard returns the guard that refuses orders with stale fencing tokens. Without
// newestToken it starts at token 0.
func newOrderGuard(newestToken func(ctx context.Context) (uint64, error)) *pwlease.Guard {
	if newestToken == nil {
		newestToken = func(context.Context) (uint64, error) { return 0, nil }
	}
	return pwlease.NewGuard(newestToken)
}
