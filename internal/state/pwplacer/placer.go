// Package pwplacer runs the placement of one service. One process at a time
// holds the lease, reads a snapshot, plans, and gives orders that carry the
// lease's fencing token.
//
// # Usage
//
//	placer := pwplacer.New(pwplacer.Config{}, leases, snapshots, agents, log)
//	err := placer.Run(ctx) // until ctx ends
//
// # A holder that is lost, pauses or acts late
//
// The lease is checked immediately before each order, so a holder that paused
// past its expiry gives no further order. An order that it had already sent
// carries the old token; the agent's pwlease.Guard refuses it once it has seen
// a newer one. A holder that loses the lease cancels its orders in flight and
// starts again with an empty planner.
package pwplacer

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

// Defaults of Config.
const (
	// DefaultInterval is the mean time between two plans.
	DefaultInterval = 5 * time.Second
	// DefaultSettleDelay is the wait after an acquisition before the first plan, so
	// that reports show the loads which the last holder started. It is two of
	// the agents' longest report intervals.
	DefaultSettleDelay = 4 * time.Second
	// DefaultOrderTimeout bounds one order, a whole load included.
	DefaultOrderTimeout = 10 * time.Minute
	// renewalsPerTerm is how often a lease is renewed in its term, so that one
	// renewal may fail.
	renewalsPerTerm = 3
	// acquireInterval is the mean time between two tries to acquire.
	acquireInterval = 2 * time.Second
	// releaseTimeout bounds the release of the lease at the end.
	releaseTimeout = 2 * time.Second
)

// LeaseName returns the name of the lease under which a service is placed.
func LeaseName(service pwrequest.ServiceID) string { return "placement/" + string(service) }

// LeaseAcquirer acquires the lease of the service's placement.
type LeaseAcquirer interface {
	Acquire(ctx context.Context) (*pwlease.Lease, error)
	Term() time.Duration
}

// SnapshotReader reads the agents' reports and the service's wishes.
type SnapshotReader interface {
	ReadSnapshot(ctx context.Context) (pwplacement.Snapshot, error)
}

// OrderExecutor gives one order to the agent of its server and returns when it has
// been carried out. The agent refuses an old fencing token with
// CauseStaleFence.
type OrderExecutor interface {
	ExecuteOrder(ctx context.Context, token uint64, o pwplacement.Order) error
}

// Recorder writes one line for each decision. err is nil when the order was
// carried out.
type Recorder interface {
	RecordOrder(token uint64, o pwplacement.Order, err error)
}

// Config holds the settings of a placer. Zero values select the defaults.
type Config struct {
	Planner      pwplacement.Config
	Interval     time.Duration
	SettleDelay  time.Duration
	OrderTimeout time.Duration
}

// Placer runs the placement of one service.
type Placer struct {
	cfg       Config
	leases    LeaseAcquirer
	snapshots SnapshotReader
	orderer   OrderExecutor
	recorder  Recorder
}

// New returns a placer.
func New(cfg Config, leases LeaseAcquirer, snapshots SnapshotReader, orderer OrderExecutor, recorder Recorder) *Placer {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.SettleDelay = cmp.Or(cfg.SettleDelay, DefaultSettleDelay)
	cfg.OrderTimeout = cmp.Or(cfg.OrderTimeout, DefaultOrderTimeout)
	return &Placer{
		cfg:       cfg,
		leases:    leases,
		snapshots: snapshots,
		orderer:   orderer,
		recorder:  recorder,
	}
}

// Run acquires the lease again and again and places while it is held, until
// ctx ends. It returns the error of ctx, after all orders in flight have ended.
func (p *Placer) Run(ctx context.Context) error {
	for {
		lease, err := p.leases.Acquire(ctx)
		if err == nil {
			p.hold(ctx, lease)
		}
		if err := sleep(ctx, acquireInterval); err != nil {
			return err
		}
	}
}

// hold places until the lease is lost or ctx ends.
func (p *Placer) hold(ctx context.Context, lease *pwlease.Lease) {
	heldCtx, cancel := context.WithCancel(ctx)
	h := &holding{
		placer:  p,
		lease:   lease,
		planner: pwplacement.New(p.cfg.Planner),
	}
	h.wg.Go(func() {
		defer cancel()
		h.renewLoop(heldCtx)
	})
	h.loop(heldCtx)
	cancel()
	h.wg.Wait()
	if ctx.Err() != nil {
		// The next holder need not wait for the expiry. A failure only delays it.
		releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer done()
		_ = lease.Release(releaseCtx)
	}
}

// holding is the time in which one lease is held.
type holding struct {
	placer *Placer
	lease  *pwlease.Lease
	wg     sync.WaitGroup

	mu      sync.Mutex
	planner *pwplacement.Planner
}

// renewLoop renews the lease and returns when it is lost or ctx ends.
func (h *holding) renewLoop(ctx context.Context) {
	for {
		if sleep(ctx, h.placer.leases.Term()/renewalsPerTerm) != nil {
			return
		}
		err := h.lease.Renew(ctx)
		if err != nil && (pwverdict.CauseOf(err) == pwverdict.CauseStaleFence || !h.lease.Held(time.Now())) {
			return
		}
	}
}

// loop plans at intervals and returns when the lease is lost or ctx ends.
func (h *holding) loop(ctx context.Context) {
	if sleep(ctx, h.placer.cfg.SettleDelay) != nil {
		return
	}
	for h.lease.Held(time.Now()) {
		h.plan(ctx)
		if sleep(ctx, h.placer.cfg.Interval) != nil {
			return
		}
	}
}

// plan makes one plan and starts its orders. The planner bounds the orders in
// flight: it gives no order to a server whose change is still pending.
func (h *holding) plan(ctx context.Context) {
	snapshot, err := h.placer.snapshots.ReadSnapshot(ctx)
	if err != nil || !h.lease.Held(time.Now()) {
		return
	}
	h.mu.Lock()
	orders := h.planner.Plan(time.Now(), snapshot)
	h.mu.Unlock()
	for len(orders) > 0 {
		n := 1
		for n < len(orders) && orders[n].Server == orders[0].Server {
			n++
		}
		chain := orders[:n]
		orders = orders[n:]
		h.wg.Go(func() { h.runOrders(ctx, chain) })
	}
}

// runOrders gives the orders of one server one after the other and stops at
// the first failure.
func (h *holding) runOrders(ctx context.Context, orders []pwplacement.Order) {
	for _, o := range orders {
		err := h.give(ctx, o)
		h.placer.recorder.RecordOrder(h.lease.Token(), o, err)
		if err != nil {
			h.failed(o.Server)
			return
		}
	}
}

func (h *holding) give(ctx context.Context, o pwplacement.Order) error {
	ctx, cancel := context.WithTimeout(ctx, h.placer.cfg.OrderTimeout)
	defer cancel()
	if !h.lease.Held(time.Now()) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "lease with token %d is no longer held", h.lease.Token())
	}
	return h.placer.orderer.ExecuteOrder(ctx, h.lease.Token(), o)
}

func (h *holding) failed(id pwrequest.BackendServerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.planner.RecordFailure(id, time.Now())
}

// sleep waits for d with a jitter of a quarter, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d*7/8 + rand.N(d/4+1)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
