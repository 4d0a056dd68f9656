package pwgateway

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwturn"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// scheduleInterval is how often the queue is scheduled without any other event:
// engines send no message when they finish a prefill.
const scheduleInterval = 10 * time.Millisecond

// expiryHeartbeats is the number of missed heartbeats after which the platform removes the
// entry of a server.
const expiryHeartbeats = 3

// minFreedMS is the prefill time that must end on engines for a waiting long prompt to
// be tried again in turn. The prefill of a short prompt makes no room for it.
const minFreedMS = 50.0

// assumedPrefillEngines is the number of engines that the prefill of a long prompt
// is assumed to be divided among when its position in the queue is computed.
const assumedPrefillEngines = 10

// pendingRequest is a request that needs a server.
type pendingRequest struct {
	id        string
	req       pwfleet.Request
	prefillMS float64
	short     bool
	// priority holds the priority of the workspace, or that of the route if the
	// workspace has none, and then that of the route. Lower values come first.
	priority  [2]int
	arrivedAt time.Time
	// firstTokenDeadline is when the first token should be sent, abandonAt when the caller
	// leaves.
	firstTokenDeadline time.Time
	abandonAt          time.Time
	// latestPrefillStart is when the prefill must begin for the first token to be
	// in time.
	latestPrefillStart time.Time
	// workspace is charged for the prefill. penalty is added to the queueDeadline
	// of the request when its workspace has used more than its share.
	workspace string
	penalty   time.Duration
	// capacityWaitUntil is when the request stops waiting for busy servers.
	capacityWaitUntil time.Time
	// noServerWaitUntil is when the request stops waiting while no server is eligible.
	noServerWaitUntil time.Time
	result            chan placement
	// mayShed is set if the request may be refused in overload.
	mayShed bool
	// urgent is set for a request that exceeds the slots of the engines even in overload.
	urgent bool
	// blockedBy is why the request could not be placed when that was last tried.
	blockedBy error
}

// placement is the server that a request goes to, or why it is refused.
type placement struct {
	plan       pwfleet.Plan
	assignment *pwfleet.Assignment
	err        error
}

// dispatcher guards the fleet and holds the queue of requests that wait for engines.
type dispatcher struct {
	deployment   pwdeployment.Deployment
	policy       Policy
	obs          *pwobserve.Observer
	onLoadChange func()
	wake         chan struct{}

	mu           sync.Mutex
	fleet        *pwfleet.Fleet
	waiting      []*pendingRequest
	retryBudgets *retryBudgets
	usage        workspaceUsage
	turns        *pwturn.Order
	// freedMS is the fleet's FreedPrefillMS when turns last recorded that engines became
	// free.
	freedMS float64
	// overload holds the controller of each service with engines. It stays empty unless the
	// settings hold overload. sheds is set while the configuration divides
	// its callers into workspaces.
	overload map[string]*pwoverload.Controller
	sheds    bool
	// shortWaiting counts the short prompts in the queue by service.
	shortWaiting map[string]int
	// decisionLines counts the log lines about decisions in decisionsSecond.
	decisionsSecond time.Time
	decisionLines   int
	// loggedCell is the cell that was last logged, loggedUneven whether demand was last
	// logged as uneven.
	loggedCell   pwcell.Cell
	loggedUneven bool
}

func newDispatcher(f *pwfleet.Fleet, d pwdeployment.Deployment, p Policy, obs *pwobserve.Observer) *dispatcher {
	f.SetColdBounds(d.Bounds.ColdRateFactor, d.Bounds.ColdRateSlack)
	return &dispatcher{
		overload:     make(map[string]*pwoverload.Controller),
		shortWaiting: make(map[string]int),
		deployment:   d,
		policy:       p,
		obs:          obs,
		onLoadChange: func() {},
		wake:         make(chan struct{}, 1),
		fleet:        f,
		retryBudgets: newRetryBudgets(d.Bounds),
		usage: workspaceUsage{
			byWorkspace: make(map[string]decayingSum),
		},
		turns: pwturn.New(d.Instance),
	}
}

func (d *dispatcher) configure(c *pwcatalog.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Configure(c.Services())
	d.configureOverload(c)
}

func (d *dispatcher) setBounds(b pwdeployment.Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b != d.deployment.Bounds {
		d.deployment.Bounds = b
		d.retryBudgets.setBounds(time.Now(), b)
		d.fleet.SetColdBounds(b.ColdRateFactor, b.ColdRateSlack)
	}
}

// bounds returns the bounds of the newest settings.
func (d *dispatcher) bounds() pwdeployment.Bounds {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.deployment.Bounds
}

func (d *dispatcher) setEvacuated(dataCentre string, outOfService bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetEvacuated(dataCentre, outOfService)
}

func (d *dispatcher) applyServer(item pwcontrol.Item[pwcatalog.BackendServer], relistBy time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case item.Removed && !relistBy.IsZero():
		d.fleet.MarkLapsed(item.Key, relistBy)
	case item.Removed || item.Err != nil:
		d.fleet.Remove(now, item.Key)
	case item.Restored:
		d.fleet.UpsertRestored(now, item.Value, now.Add(expiryHeartbeats*d.deployment.Heartbeat+pwcontrol.DefaultOutageGrace))
	default:
		d.fleet.Upsert(now, item.Value)
	}
}

func (d *dispatcher) maintain(now time.Time) {
	d.mu.Lock()
	silent := d.fleet.ExpirePeers(now)
	d.fleet.ForgetDepartures(now)
	uneven := d.fleet.IsDemandUneven(now)
	changed := uneven != d.loggedUneven
	d.loggedUneven = uneven
	recent, before := d.fleet.Mix(now)
	d.mu.Unlock()
	if changed {
		d.obs.LogEvent("uneven_demand", log.Fields{
			"active":              uneven,
			"short_per_s":         recent.ShortPerSecond,
			"long_per_s":          recent.LongPerSecond,
			"short_per_s_earlier": before.ShortPerSecond,
			"long_per_s_earlier":  before.LongPerSecond,
		})
		if uneven {
			d.obs.Count("mix_turns", 1)
		}
	}
	for _, name := range silent {
		d.obs.LogEvent("peer_silent", log.Fields{
			"peer": name,
		})
	}
}

// countRequest counts a request for the retry budget of its service.
func (d *dispatcher) countRequest(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.retryBudgets.forService(now, service).RecordRequest(now)
}

// takeRetry takes one retry from the budget of a service, or returns why it can't.
func (d *dispatcher) takeRetry(service string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.retryBudgets.forService(now, service).Take(now)
}

// takeRetryIfPlaceable takes one retry from the budget of a service if the request would be
// placed now on a server that is not suspect. It reports whether it has.
func (d *dispatcher) takeRetryIfPlaceable(service string, r pwfleet.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.fleet.CanRetry(now, r) && d.retryBudgets.forService(now, service).Take(now) == nil
}

// acquire selects the server of a request and assigns its load there. Requests wait
// in the queue while the servers are busy; a long prompt also waits behind those
// that are queued already.
func (d *dispatcher) acquire(ctx context.Context, p *pendingRequest) (pwfleet.Plan, *pwfleet.Assignment, error) {
	d.mu.Lock()
	now := time.Now()
	p.short = d.fleet.IsShort(p.req)
	p.prefillMS = d.fleet.PrefillMS(p.req)
	p.latestPrefillStart = p.firstTokenDeadline.Add(-time.Duration(p.prefillMS / assumedPrefillEngines * float64(time.Millisecond)))
	wait, err := d.admit(now, p)
	if err != nil {
		d.mu.Unlock()
		return pwfleet.Plan{}, nil, err
	}
	if !wait && (p.short || d.isFirst(now, p)) {
		if placed := d.tryPlace(now, p); placed.err == nil || !d.mayWait(now, p, placed.err) {
			placed.err = d.describeRefusal(now, p, placed.err)
			d.mu.Unlock()
			d.notifyIfAssigned(placed)
			return placed.plan, placed.assignment, placed.err
		}
	}
	if err = d.enqueue(now, p); err != nil {
		d.mu.Unlock()
		return pwfleet.Plan{}, nil, err
	}
	waiting := len(d.waiting)
	d.schedule(now)
	d.mu.Unlock()
	d.wakeRun()
	if !p.short {
		d.onLoadChange()
	}
	d.obs.LogRoutineEvent("queued", log.Fields{
		"request": p.id,
		"tokens":  p.req.PromptTokens,
		"service": p.req.Service,
		"waiting": waiting,
		"due_ms":  p.firstTokenDeadline.Sub(now).Milliseconds(),
	})
	select {
	case placed := <-p.result:
		d.notifyIfAssigned(placed)
		return placed.plan, placed.assignment, placed.err
	case <-ctx.Done():
	}
	d.withFleet(func(time.Time, *pwfleet.Fleet) {
		d.removeWaiting(p)
		select {
		case placed := <-p.result:
			if placed.assignment != nil {
				placed.assignment.End()
			}
		default:
		}
	})
	return pwfleet.Plan{}, nil, pwverdict.Wrap(context.Cause(ctx), pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "waiting for an engine")
}

// isFirst reports whether no other request of this process waits, and no long prompt of
// another process that comes before p.
func (d *dispatcher) isFirst(now time.Time, p *pendingRequest) bool {
	if len(d.waiting) > 0 {
		return false
	}
	n, _ := d.turns.Ahead(now, p.rank(now))
	return n == 0
}

// enqueue adds a request to the queue. It refuses the request when the queue is full
// or when the estimated wait exceeds the time until the caller leaves.
func (d *dispatcher) enqueue(now time.Time, p *pendingRequest) error {
	if len(d.waiting) >= d.policy.MaxWaiting {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull,
			"the queue is full: %d requests wait, the limit is %d", len(d.waiting), d.policy.MaxWaiting).
			WithRetryAfter(time.Second)
	}
	if wait := d.estimateWait(now, p); now.Add(wait).After(p.abandonAt) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineUnreachable,
			"the estimated wait of %s exceeds the %s that the caller still waits",
			wait.Round(time.Millisecond), p.abandonAt.Sub(now).Round(time.Millisecond)).
			WithRetryAfter(min(wait, p.abandonAt.Sub(now)) / 2)
	}
	p.result = make(chan placement, 1)
	d.waiting = append(d.waiting, p)
	d.countWaiting(p, 1)
	return nil
}

// estimateWait estimates how long the work ahead of a request and its own prefill
// take: the prefill in flight, that of requests of this process, and that of peers whose
// first prompt comes before it.
func (d *dispatcher) estimateWait(now time.Time, p *pendingRequest) time.Duration {
	perEngine, engines := d.fleet.Backlog(now, p.req.Service)
	_, queued := d.turns.Ahead(now, p.rank(now))
	queued += p.prefillMS
	for _, other := range d.waiting {
		if other.req.Service == p.req.Service && compareQueueOrder(other, p, now) < 0 {
			queued += other.prefillMS
		}
	}
	return time.Duration((perEngine + queued/float64(max(1, engines))) * float64(time.Millisecond))
}

// tryPlace plans a request and assigns its load to the planned servers.
func (d *dispatcher) tryPlace(now time.Time, p *pendingRequest) placement {
	req := p.req
	req.Urgent = p.urgent || now.After(p.capacityWaitUntil) && !d.shedsNow(p)
	req.Late = p.lateRank(now) == 1
	plan, err := d.fleet.Plan(now, req)
	if err != nil {
		return placement{
			err: err,
		}
	}
	d.usage.charge(now, p.workspace, p.prefillMS)
	return placement{
		plan:       plan,
		assignment: d.fleet.Start(now, plan),
	}
}

// mayWait reports whether a request that could not be placed because of err may
// wait.
func (d *dispatcher) mayWait(now time.Time, p *pendingRequest, err error) bool {
	switch pwverdict.CauseOf(err) {
	case pwverdict.CausePrefillBusy, pwverdict.CauseMemoryFull, pwverdict.CauseConcurrencyFull:
		return now.Before(p.abandonAt) && (p.short && !d.shedsNow(p) || now.Before(p.capacityWaitUntil))
	case pwverdict.CauseNoCandidate:
		return now.Add(pwverdict.AsError(err).RetryAfter()).Before(p.noServerWaitUntil)
	default:
		return false
	}
}

// describeRefusal adds to the error of a long prompt that is refused for want of room what the
// engines have to do. Attempts that are repeated need no description.
func (d *dispatcher) describeRefusal(now time.Time, p *pendingRequest, err error) error {
	if err == nil || pwverdict.CauseOf(err) != pwverdict.CausePrefillBusy {
		return err
	}
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CausePrefillBusy, "%s", d.fleet.DescribeRoom(now, p.req))
}

// compareQueueOrder orders the queue by priority. Within a priority, requests that
// can still be in time come first, ordered by the latest start of their prefill, then
// the others, ordered by when their callers leave. Penalties are added to these times.
func compareQueueOrder(a, b *pendingRequest, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.priority[0], b.priority[0]),
		cmp.Compare(a.priority[1], b.priority[1]),
		cmp.Compare(a.lateRank(now), b.lateRank(now)),
		a.queueDeadline(now).Compare(b.queueDeadline(now)),
	)
}

// lateRank returns 0 for a request that can still be in time, and otherwise 1.
func (p *pendingRequest) lateRank(now time.Time) int {
	if now.After(p.latestPrefillStart) {
		return 1
	}
	return 0
}

// queueDeadline returns the time by which compareQueueOrder orders the requests of the
// same rank.
func (p *pendingRequest) queueDeadline(now time.Time) time.Time {
	if p.lateRank(now) == 1 {
		return p.abandonAt.Add(p.penalty)
	}
	return p.latestPrefillStart.Add(p.penalty)
}

// schedule places the queued requests that servers have capacity for: all short ones, and
// one long prompt when it is the turn of this process.
func (d *dispatcher) schedule(now time.Time) {
	d.fleet.UpdateProgress(now)
	if freed := d.fleet.FreedPrefillMS(); freed-d.freedMS >= minFreedMS {
		d.freedMS = freed
		d.turns.RecordFreed(now)
	}
	if len(d.waiting) == 0 {
		return
	}
	for _, p := range d.waiting {
		p.penalty = d.usage.penalty(now, p.workspace)
	}
	slices.SortStableFunc(d.waiting, func(a, b *pendingRequest) int { return compareQueueOrder(a, b, now) })
	stillWaiting := d.waiting[:0]
	var ahead queueAhead
	ownTurn, decided := false, false
	for _, p := range d.waiting {
		wait, err := d.recheck(now, p, &ahead)
		if err != nil {
			d.countWaiting(p, -1)
			p.deliver(placement{
				err: err,
			})
			continue
		}
		if wait {
			stillWaiting = append(stillWaiting, p)
			continue
		}
		if !p.short && !decided {
			ownTurn, decided = d.turns.Take(now, p.rank(now)), true
		}
		if !p.short && !ownTurn && now.Before(p.capacityWaitUntil) {
			stillWaiting = append(stillWaiting, p)
			continue
		}
		placed := d.tryPlace(now, p)
		if placed.err == nil {
			ahead.recordPlaced(p.req.Service)
		}
		if !p.short && placed.err == nil {
			ownTurn = false
		}
		if placed.err != nil && d.mayWait(now, p, placed.err) {
			p.blockedBy = placed.err
			stillWaiting = append(stillWaiting, p)
			continue
		}
		placed.err = d.describeRefusal(now, p, placed.err)
		d.countWaiting(p, -1)
		p.deliver(placed)
	}
	clear(d.waiting[len(stillWaiting):])
	d.waiting = stillWaiting
}

// deliver sends a queued request its placement. A refusal gets a Retry-After if it
// has none.
func (p *pendingRequest) deliver(result placement) {
	if result.err != nil {
		var e *pwverdict.Error
		if errors.As(result.err, &e) && e.RetryAfter() == 0 {
			result.err = e.WithRetryAfter(jitter(p.abandonAt.Sub(p.arrivedAt) / 8))
		}
	}
	p.result <- result
}

// removeWaiting removes a request from the queue after its caller has left.
func (d *dispatcher) removeWaiting(p *pendingRequest) {
	n := len(d.waiting)
	d.waiting = slices.DeleteFunc(d.waiting, func(other *pendingRequest) bool { return other == p })
	d.countWaiting(p, len(d.waiting)-n)
}

// countWaiting counts short prompts that were added to the queue or removed from it.
func (d *dispatcher) countWaiting(p *pendingRequest, n int) {
	if !p.short || n == 0 {
		return
	}
	if d.shortWaiting[p.req.Service] += n; d.shortWaiting[p.req.Service] <= 0 {
		delete(d.shortWaiting, p.req.Service)
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}

// notifyIfAssigned reports a changed load if a placement has assigned any.
func (d *dispatcher) notifyIfAssigned(placed placement) {
	if placed.assignment != nil {
		d.onLoadChange()
		if placed.assignment.IsTracked() {
			d.wakeRun()
		}
	}
}

// withFleet runs f with the fleet locked. If f changes the fleet, queued requests
// are scheduled on the capacity that became free, and onLoadChange is called.
func (d *dispatcher) withFleet(f func(now time.Time, fleet *pwfleet.Fleet)) {
	d.mu.Lock()
	now := time.Now()
	versionBefore := d.fleet.Version()
	f(now, d.fleet)
	changed := d.fleet.Version() != versionBefore
	if changed {
		d.schedule(now)
	}
	d.mu.Unlock()
	if changed {
		d.onLoadChange()
	}
}

// checkSend returns an error if a server that a request was placed on must get no more.
func (d *dispatcher) checkSend(id string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.CheckSend(time.Now(), id)
}

// recordActivity records that a server has just sent something.
func (d *dispatcher) recordActivity(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.RecordActivity(time.Now(), id)
}

// wakeRun wakes run after a request was queued.
func (d *dispatcher) wakeRun() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// run schedules the queue at intervals while it holds requests or parts of long prompts are in
// progress, until ctx is done.
func (d *dispatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for d.scheduleOnce() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(scheduleInterval):
			}
		}
	}
}

// scheduleOnce schedules the queue and reports whether requests remain in it, or parts of long
// prompts whose progress makes room.
func (d *dispatcher) scheduleOnce() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.schedule(now)
	return len(d.waiting) > 0 || d.fleet.UpdateProgress(now)
}
