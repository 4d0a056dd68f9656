package pwlease

import (
	"context"
	"sync/atomic"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Guard refuses orders with a fencing token older than the newest seen. An
// agent uses one for each lease whose holder may give it orders, so that
// engines which ignore fencing tokens are protected too.
type Guard struct {
	newestToken func(ctx context.Context) (uint64, error)
	// busy is held while an order is checked and applied, so that an order
	// that was checked earlier is never applied after a newer one.
	busy chan struct{}
	// known is guarded by busy.
	known  bool
	newest atomic.Uint64
}

// NewGuard returns a guard. A restarted agent has forgotten the tokens it has
// seen, so the guard reads the newest one with newestToken, which is usually
// Leases.NewestToken, and refuses all orders until that has succeeded.
func NewGuard(newestToken func(ctx context.Context) (uint64, error)) *Guard {
	return &Guard{
		newestToken: newestToken,
		busy:        make(chan struct{}, 1),
	}
}

// ApplyOrder applies one order if its token is not older than the newest seen, and
// returns the error of apply. Orders are applied one at a time. A refusal has
// the verdict NotRun: CauseStaleFence for an old token, CauseUnavailable while
// the newest token cannot be read.
//
// apply must not return while the order can still take effect on the engine;
// what an engine does after its reply was lost is outside the guard's reach.
func (g *Guard) ApplyOrder(ctx context.Context, token uint64, apply func(ctx context.Context) error) error {
	select {
	case g.busy <- struct{}{}:
		defer func() { <-g.busy }()
	case <-ctx.Done():
		return pwverdict.Wrap(ctx.Err(), pwverdict.NotRun, pwverdict.CauseUnavailable, "another order is being applied")
	}
	if !g.known {
		newest, err := g.newestToken(ctx)
		if err != nil {
			return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "newest fencing token is not known yet")
		}
		g.known = true
		g.newest.Store(newest)
	}
	if newest := g.newest.Load(); token < newest {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
			"order has fencing token %d; the newest seen is %d", token, newest)
	}
	g.newest.Store(token)
	return apply(ctx)
}

// NewestToken returns the newest token seen, 0 before the first order.
func (g *Guard) NewestToken() uint64 { return g.newest.Load() }
