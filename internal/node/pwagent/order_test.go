package pwagent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

func newAgent(deps pwagent.Deps) *pwagent.Agent {
	deps.Observer = pwobserve.Discard()
	deps.Admission = pwadmission.New(pwadmission.Config{}, time.Now())
	return pwagent.New(pwagent.Config{
		BackendServer: "s1",
		Service:       "lantern",
	}, deps)
}

// order sends an order to load version v1 of a model and returns the cause of its
// refusal, or "" when it was executed.
func order(t *testing.T, a *pwagent.Agent, fence uint64, model string) string {
	t.Helper()
	resp, err := a.Order(t.Context(), &pwrpc.OrderRequest{
		Fence:   fence,
		Kind:    "load_model",
		Model:   model,
		Version: "v1",
	})
	if err != nil {
		t.Fatal(err)
	}
	return resp.GetRefusal().GetCause()
}

// TestStaleOrderIsRefused guards against an engine that executes an order of a former
// lease holder: after a newer order, while a newer one is being executed, and after
// a restart of the agent. The engine does not check tokens.
func TestStaleOrderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		table := pwfakeplatform.NewTable()
		leases := pwlease.New(table, pwlease.Config{
			Name: "placement/lantern",
		})
		for range 3 {
			lease, err := leases.Acquire(ctx)
			if err != nil {
				t.Fatal(err)
			}
			if err := lease.Release(ctx); err != nil {
				t.Fatal(err)
			}
			time.Sleep(time.Second)
		}
		engine := pwfakeengine.New(ctx, pwfakeengine.Options{})
		deps := pwagent.Deps{
			Engine:      engine,
			NewestToken: leases.NewestToken,
		}
		stale := string(pwverdict.CauseStaleFence)
		for _, a := range []*pwagent.Agent{newAgent(deps), newAgent(deps)} {
			if got := order(t, a, 2, "old"); got != stale {
				t.Errorf("order with token 2 after token 3 was issued: cause %q, want %q", got, stale)
			}
		}
		a := newAgent(deps)
		done := make(chan string)
		go func() { done <- order(t, a, 4, "new") }()
		synctest.Wait()
		if loading := a.Load().LoadingModels; len(loading) != 1 || loading[0].Model != "new" {
			t.Errorf("load report shows %v in progress, want only the model new", loading)
		}
		if got := order(t, a, 3, "old"); got != stale {
			t.Errorf("order with token 3 while an order with token 4 runs: cause %q, want %q", got, stale)
		}
		if got := <-done; got != "" {
			t.Errorf("order with the newest token refused: %q", got)
		}
		load := a.Load()
		if len(engine.AppliedOrders()) != 1 || len(load.LoadedModels) != 1 || load.LoadedModels[0].Version != "v1" || len(load.LoadingModels) != 0 {
			t.Errorf("engine executed %v, load report shows %v; want only the model new in version v1", engine.AppliedOrders(), load)
		}
		table.SetFault(pwfakeplatform.FaultOutage, pwfakeplatform.Unlimited)
		if got := order(t, newAgent(deps), 9, "new"); got != string(pwverdict.CauseUnavailable) {
			t.Errorf("order to a restarted agent without a table: cause %q, want unavailable", got)
		}
		if got := order(t, newAgent(pwagent.Deps{Engine: engine}), 1, "new"); got != "" {
			t.Errorf("order to an agent without a table refused: %q", got)
		}
	})
}

// TestEngineRestartUndoesOrders guards against an agent that still accepts attempts for a
// model which the engine has lost by a restart, or that still reports it as loaded.
func TestEngineRestartUndoesOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		engine := pwfakeengine.New(ctx, pwfakeengine.Options{})
		a := newAgent(pwagent.Deps{Engine: engine})
		go a.Run(ctx)
		time.Sleep(time.Second)
		order(t, a, 1, "new")
		engine.Crash()
		time.Sleep(time.Minute)
		if r := a.Load(); len(r.Models) != 0 || len(r.LoadedModels) != 0 || !r.InService {
			t.Errorf("load report after a restart is %v, want no models", r)
		}
	})
}
