package pwlease

import (
	"context"
	"sync/atomic"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Guard rejects orders whose fencing token is older than the newest token that the
// guard has seen. An agent uses one guard for each lease whose holder may send it
// orders. This also protects engines that ignore fencing tokens.
type Guard struct {
	readNewestToken func(ctx context.Context) (uint64, error)
	// applying is a lock that is held while an order is checked and applied. Without
	// it, an order that passed the check could be applied after a newer one.
	applying chan struct{}
	// initialised is true once readNewestToken has succeeded. It is protected by
	// applying.
	initialised bool
	newestSeen  atomic.Uint64
}

// NewGuard returns a guard. A restarted agent has lost the tokens that it saw before,
// so the guard reads the newest one with readNewestToken, which is usually
// Acquirer.NewestToken. It rejects all orders until that read has succeeded.
func NewGuard(readNewestToken func(ctx context.Context) (uint64, error)) *Guard {
	return &Guard{
		readNewestToken: readNewestToken,
		applying:        make(chan struct{}, 1),
	}
}

// ApplyOrder calls apply if the order's token is not older than the newest token
// seen, and returns the error of apply. It applies one order at a time. The error of
// a rejected order has the verdict NotRun, with CauseStaleFence for an old token and
// CauseUnavailable if the newest token cannot be read or ctx ends while another
// order is being applied.
//
// apply must not return while the order can still take effect on the engine. The
// guard cannot prevent an engine from acting after its reply was lost.
func (g *Guard) ApplyOrder(ctx context.Context, token uint64, apply func(ctx context.Context) error) error {
	select {
	case g.applying <- struct{}{}:
		defer func() { <-g.applying }()
	case <-ctx.Done():
		return pwverdict.Wrap(ctx.Err(), pwverdict.NotRun, pwverdict.CauseUnavailable, "another order is being applied")
	}
	if !g.initialised {
		newest, err := g.readNewestToken(ctx)
		if err != nil {
			return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "newest fencing token could not be read")
		}
		g.initialised = true
		g.newestSeen.Store(newest)
	}
	if newest := g.newestSeen.Load(); token < newest {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
			"order has fencing token %d; the newest seen is %d", token, newest)
	}
	g.newestSeen.Store(token)
	return apply(ctx)
}

// NewestToken returns the newest token that the guard has seen. It is 0 until the
// first order.
func (g *Guard) NewestToken() uint64 { return g.newestSeen.Load() }
