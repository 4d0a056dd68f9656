// Package pwplacer runs the model placement of one service. One process at a time
// holds the service's lease. It reads snapshots, plans the placement and sends orders
// to the agents. Each order carries the lease's fencing token.
//
// # Usage
//
//	placer := pwplacer.New(pwplacer.Config{}, acquirer, snapshots, agents, log)
//	err := placer.Run(ctx) // until ctx ends
//
// # Holders that pause, fail or act late
//
// The placer checks the lease immediately before each order, so a holder that was
// paused past the expiry sends no further order. An order that it sent before carries
// the old token; the agent's pwlease.Guard rejects it once the guard has seen a newer
// one. A holder that loses the lease cancels its orders in flight. When it acquires
// the lease again, it starts with an empty planner.
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
	// DefaultSettleDelay is the delay between an acquisition and the first plan. The
	// agents' reports then include the model loads that the previous holder started.
	// It is twice the agents' longest report interval.
	DefaultSettleDelay = 4 * time.Second
	// DefaultOrderTimeout limits the time of one order, including a complete model
	// load.
	DefaultOrderTimeout = 10 * time.Minute
	// renewalsPerTerm is the number of renewals in one term of the lease. With three,
	// one renewal may fail without losing the lease.
	renewalsPerTerm = 3
	// acquireRetryInterval is the mean time between two attempts to acquire the lease.
	acquireRetryInterval = 2 * time.Second
	// releaseTimeout limits the release of the lease when Run ends.
	releaseTimeout = 2 * time.Second
)

// LeaseName returns the name of the lease that a service's placer must hold.
func LeaseName(service pwrequest.ServiceID) string { return "placement/" + string(service) }

// LeaseAcquirer acquires the lease of the service's placement. pwlease.Acquirer
// implements it.
type LeaseAcquirer interface {
	Acquire(ctx context.Context) (*pwlease.Lease, error)
	Term() time.Duration
}

// SnapshotReader reads the agents' reports and the placement that the service wants.
type SnapshotReader interface {
	ReadSnapshot(ctx context.Context) (pwplacement.Snapshot, error)
}

// OrderExecutor sends one order to the agent of the order's server and returns when
// the agent has carried it out. The agent rejects an old fencing token with
// CauseStaleFence.
type OrderExecutor interface {
	ExecuteOrder(ctx context.Context, token uint64, o pwplacement.Order) error
}

// Recorder records the result of each order.
type Recorder interface {
	// RecordOrder records the result of an order with the given fencing token. err is nil
	// if the order was carried out.
	RecordOrder(token uint64, o pwplacement.Order, err error)
}

// Config holds the settings of a placer. Zero values select the defaults.
type Config struct {
	Planner pwplacement.Config
	// Interval is the mean time between two plans.
	Interval time.Duration
	// SettleDelay is the delay between an acquisition of the lease and the first plan.
	SettleDelay time.Duration
	// OrderTimeout limits the time of one order.
	OrderTimeout time.Duration
}

// Placer plans and executes the placement of one service while it holds the lease.
type Placer struct {
	cfg       Config
	acquirer  LeaseAcquirer
	snapshots SnapshotReader
	executor  OrderExecutor
	recorder  Recorder
}

// New returns a placer, which does nothing until Run is called.
func New(cfg Config, acquirer LeaseAcquirer, snapshots SnapshotReader, executor OrderExecutor, recorder Recorder) *Placer {
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.SettleDelay = cmp.Or(cfg.SettleDelay, DefaultSettleDelay)
	cfg.OrderTimeout = cmp.Or(cfg.OrderTimeout, DefaultOrderTimeout)
	return &Placer{
		cfg:       cfg,
		acquirer:  acquirer,
		snapshots: snapshots,
		executor:  executor,
		recorder:  recorder,
	}
}

// Run tries to acquire the lease, runs the placement while it holds the lease, and
// starts over when it has lost the lease, until ctx ends. It returns the error of ctx
// after all orders in flight have ended.
func (p *Placer) Run(ctx context.Context) error {
	for {
		lease, err := p.acquirer.Acquire(ctx)
		if err == nil {
			p.runSession(ctx, lease)
		}
		if err := sleepWithJitter(ctx, acquireRetryInterval); err != nil {
			return err
		}
	}
}

// runSession runs the placement until the lease is lost or ctx ends.
func (p *Placer) runSession(ctx context.Context, lease *pwlease.Lease) {
	sessionCtx, cancel := context.WithCancel(ctx)
	s := &session{
		placer:  p,
		lease:   lease,
		planner: pwplacement.New(p.cfg.Planner),
	}
	s.wg.Go(func() {
		defer cancel()
		s.renewLoop(sessionCtx)
	})
	s.loop(sessionCtx)
	cancel()
	s.wg.Wait()
	if ctx.Err() != nil {
		// The release lets the next holder start before the lease expires. If the
		// release fails, the next holder only starts later.
		releaseCtx, done := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer done()
		_ = lease.Release(releaseCtx)
	}
}

// session is the state of the placer from one acquisition of the lease to its loss.
type session struct {
	placer *Placer
	lease  *pwlease.Lease
	wg     sync.WaitGroup

	mu      sync.Mutex
	planner *pwplacement.Planner
}

// renewLoop renews the lease periodically. It returns when the lease is lost or ctx
// ends.
func (s *session) renewLoop(ctx context.Context) {
	for {
		if sleepWithJitter(ctx, s.placer.acquirer.Term()/renewalsPerTerm) != nil {
			return
		}
		err := s.lease.Renew(ctx)
		if err != nil && (pwverdict.CauseOf(err) == pwverdict.CauseStaleFence || !s.lease.Held(time.Now())) {
			return
		}
	}
}

// loop makes plans periodically. It returns when the lease is lost or ctx ends.
func (s *session) loop(ctx context.Context) {
	if sleepWithJitter(ctx, s.placer.cfg.SettleDelay) != nil {
		return
	}
	for s.lease.Held(time.Now()) {
		s.planOnce(ctx)
		if sleepWithJitter(ctx, s.placer.cfg.Interval) != nil {
			return
		}
	}
}

// planOnce makes one plan and starts its orders. The planner limits the orders in
// flight, because it returns no order for a server whose change is still pending.
func (s *session) planOnce(ctx context.Context) {
	snapshot, err := s.placer.snapshots.ReadSnapshot(ctx)
	if err != nil || !s.lease.Held(time.Now()) {
		return
	}
	s.mu.Lock()
	orders := s.planner.Plan(time.Now(), snapshot)
	s.mu.Unlock()
	for len(orders) > 0 {
		n := 1
		for n < len(orders) && orders[n].Server == orders[0].Server {
			n++
		}
		serverOrders := orders[:n]
		orders = orders[n:]
		s.wg.Go(func() { s.runOrders(ctx, serverOrders) })
	}
}

// runOrders executes the orders of one server in sequence and stops at the first
// failure.
func (s *session) runOrders(ctx context.Context, orders []pwplacement.Order) {
	for _, o := range orders {
		err := s.executeOrder(ctx, o)
		s.placer.recorder.RecordOrder(s.lease.Token(), o, err)
		if err != nil {
			s.recordFailure(o.Server)
			return
		}
	}
}

// executeOrder checks the lease and executes one order.
func (s *session) executeOrder(ctx context.Context, o pwplacement.Order) error {
	ctx, cancel := context.WithTimeout(ctx, s.placer.cfg.OrderTimeout)
	defer cancel()
	if !s.lease.Held(time.Now()) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "lease with token %d is no longer held", s.lease.Token())
	}
	return s.placer.executor.ExecuteOrder(ctx, s.lease.Token(), o)
}

// recordFailure reports a failed order to the planner.
func (s *session) recordFailure(id pwrequest.BackendServerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.planner.RecordFailure(id, time.Now())
}

// sleepWithJitter waits for a random time between 7/8 and 9/8 of d, or until ctx ends.
func sleepWithJitter(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d*7/8 + rand.N(d/4+1)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
