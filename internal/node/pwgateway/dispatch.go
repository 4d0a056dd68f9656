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
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

// scheduleInterval is how often waiting requests are looked at when nothing
// else has happened; engines finish reading without a message.
const scheduleInterval = 10 * time.Millisecond

// leastEngines is the number of engines that a long prompt is taken to get when
// its place in the queue is found.
const leastEngines = 10

// want is a request that needs a server.
type want struct {
	id       string
	req      pwfleet.Request
	readMS   float64
	short    bool
	priority [2]int
	arrived  time.Time
	// aim is when the first token is due, latest when the caller leaves.
	aim    time.Time
	latest time.Time
	// start is when the reading must begin for that.
	start time.Time
	// workspace is charged for the reading; penalty is how much later it counts
	// as due because its workspace has had more than its share.
	workspace string
	penalty   time.Duration
	// waitsUntil is when it stops waiting for room.
	waitsUntil time.Time
	// givesUp is when it stops waiting for a server that may get it.
	givesUp time.Time
	granted chan grant
	// blocked is what kept the request waiting when it was looked at last.
	blocked error
}

type grant struct {
	plan    pwfleet.Plan
	booking *pwfleet.Booking
	err     error
}

// dispatcher guards the fleet and holds the requests that wait for engines.
type dispatcher struct {
	deployment pwdeployment.Deployment
	policy     Policy
	obs        *pwobserve.Observer
	notify     func()
	wake       chan struct{}

	mu      sync.Mutex
	fleet   *pwfleet.Fleet
	waiting []*want
	budgets *budgets
	usage   usage
}

func newDispatcher(f *pwfleet.Fleet, d pwdeployment.Deployment, p Policy, obs *pwobserve.Observer) *dispatcher {
	return &dispatcher{
		deployment: d,
		policy:     p,
		obs:        obs,
		notify:     func() {},
		wake:       make(chan struct{}, 1),
		fleet:      f,
		budgets:    newBudgets(d.Bounds),
		usage: usage{
			used: make(map[string]decayed),
		},
	}
}

func (d *dispatcher) configure(c *pwcatalog.Catalog) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.Configure(c.Services())
}

func (d *dispatcher) setBounds(b pwdeployment.Bounds) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if b != d.deployment.Bounds {
		d.deployment.Bounds = b
		d.budgets = newBudgets(b)
	}
}

func (d *dispatcher) evacuate(dataCentre string, out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.SetEvacuated(dataCentre, out)
}

func (d *dispatcher) server(it pwcontrol.Item[pwcatalog.BackendServer], backBy time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case it.Removed && !backBy.IsZero():
		d.fleet.MarkLapsed(it.Key, backBy)
	case it.Removed || it.Err != nil:
		d.fleet.Remove(it.Key)
	default:
		d.fleet.Upsert(time.Now(), it.Value)
	}
}

// OwnLoads returns what this process has in flight.
func (d *dispatcher) ownLoads() []pwfleet.ServerLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fleet.OwnLoads()
}

func (d *dispatcher) mergePeer(name string, m pwpeering.Message) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.fleet.SetPeerLoads(now, name, m.Loads)
	d.budgets.merge(now, name, m.Budgets)
	d.schedule(now)
}

func (d *dispatcher) ownBudgets() []pwpeering.BudgetUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.own(time.Now())
}

func (d *dispatcher) maintain(now time.Time) {
	d.mu.Lock()
	expired := d.fleet.ExpirePeers(now)
	d.mu.Unlock()
	for _, name := range expired {
		d.obs.Event("peer_silent", log.Fields{
			"peer": name,
		})
	}
}

// admit counts a request for the retry budget of its service.
func (d *dispatcher) admit(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.budgets.of(now, service).RecordRequest(now)
}

// takeRepeat takes one repeat from the budget.
func (d *dispatcher) takeRepeat(service string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	return d.budgets.of(now, service).Take(now)
}

// acquire decides where a request goes and counts its load. Long prompts wait
// until engines have room.
func (d *dispatcher) acquire(ctx context.Context, w *want) (pwfleet.Plan, *pwfleet.Booking, error) {
	d.mu.Lock()
	now := time.Now()
	w.short = d.fleet.IsShort(w.req)
	w.readMS = d.fleet.PrefillMS(w.req)
	w.start = w.aim.Add(-time.Duration(w.readMS / leastEngines * float64(time.Millisecond)))
	if w.short || len(d.waiting) == 0 {
		if g := d.try(now, w); g.err == nil || !d.waits(now, w, g.err) {
			d.mu.Unlock()
			d.changed(g)
			return g.plan, g.booking, g.err
		}
	}
	if err := d.enqueue(now, w); err != nil {
		d.mu.Unlock()
		return pwfleet.Plan{}, nil, err
	}
	waiting := len(d.waiting)
	d.schedule(now)
	d.mu.Unlock()
	d.signal()
	d.obs.Routine("queued", log.Fields{
		"request": w.id,
		"tokens":  w.req.PromptTokens,
		"service": w.req.Service,
		"waiting": waiting,
		"due_ms":  w.aim.Sub(now).Milliseconds(),
	})
	select {
	case g := <-w.granted:
		d.changed(g)
		return g.plan, g.booking, g.err
	case <-ctx.Done():
	}
	d.with(func(time.Time, *pwfleet.Fleet) {
		d.drop(w)
		select {
		case g := <-w.granted:
			if g.booking != nil {
				g.booking.End()
			}
		default:
		}
	})
	return pwfleet.Plan{}, nil, pwverdict.Wrap(context.Cause(ctx), pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "waiting for an engine")
}

// enqueue adds a request to those that wait, unless it would wait in vain.
func (d *dispatcher) enqueue(now time.Time, w *want) error {
	if len(d.waiting) >= d.policy.MaxWaiting {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull, "%d requests wait", len(d.waiting)).
			WithRetryAfter(time.Second)
	}
	if wait := d.estimate(now, w); now.Add(wait).After(w.latest) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineUnreachable,
			"about %s of reading come first", wait.Round(time.Millisecond)).
			WithRetryAfter(min(wait, w.latest.Sub(now)) / 2)
	}
	w.granted = make(chan grant, 1)
	d.waiting = append(d.waiting, w)
	return nil
}

// estimate returns about how long the work before a request takes. What waits
// at the peers is taken to be as much as here.
func (d *dispatcher) estimate(now time.Time, w *want) time.Duration {
	perEngine, engines := d.fleet.Backlog(now, w.req.Service)
	queued := w.readMS
	for _, o := range d.waiting {
		if o.req.Service == w.req.Service && before(o, w, now) < 0 {
			queued += o.readMS * float64(d.fleet.ProcessCount())
		}
	}
	return time.Duration((perEngine + queued/float64(max(1, engines))) * float64(time.Millisecond))
}

// try plans a request and counts its load.
func (d *dispatcher) try(now time.Time, w *want) grant {
	req := w.req
	req.Urgent = now.After(w.waitsUntil)
	req.Late = w.late(now) == 1
	plan, err := d.fleet.Plan(now, req)
	if err != nil {
		return grant{
			err: err,
		}
	}
	d.usage.charge(now, w.workspace, w.readMS)
	return grant{
		plan:    plan,
		booking: d.fleet.Start(now, plan),
	}
}

// waits reports whether a request that was not placed may wait.
func (d *dispatcher) waits(now time.Time, w *want, err error) bool {
	switch pwverdict.CauseOf(err) {
	case pwverdict.CausePrefillBusy, pwverdict.CauseMemoryFull, pwverdict.CauseConcurrencyFull:
		return now.Before(w.latest) && (w.short || now.Before(w.waitsUntil))
	case pwverdict.CauseNoCandidate:
		return now.Before(w.givesUp)
	default:
		return false
	}
}

// before orders waiting requests: by priority, then those that can still be
// in time by when they are due, then the others by when their callers leave.
func before(a, b *want, now time.Time) int {
	return cmp.Or(
		cmp.Compare(a.priority[0], b.priority[0]),
		cmp.Compare(a.priority[1], b.priority[1]),
		cmp.Compare(a.late(now), b.late(now)),
		a.due(now).Compare(b.due(now)),
	)
}

func (w *want) late(now time.Time) int {
	if now.After(w.start) {
		return 1
	}
	return 0
}

func (w *want) due(now time.Time) time.Time {
	if w.late(now) == 1 {
		return w.latest.Add(w.penalty)
	}
	return w.start.Add(w.penalty)
}

// schedule places the waiting requests for which there is room.
func (d *dispatcher) schedule(now time.Time) {
	if len(d.waiting) == 0 {
		return
	}
	for _, w := range d.waiting {
		w.penalty = d.usage.penalty(now, w.workspace)
	}
	slices.SortStableFunc(d.waiting, func(a, b *want) int { return before(a, b, now) })
	kept := d.waiting[:0]
	for _, w := range d.waiting {
		g := d.try(now, w)
		if g.err != nil && d.waits(now, w, g.err) {
			w.blocked = g.err
			kept = append(kept, w)
			continue
		}
		w.grant(g)
	}
	clear(d.waiting[len(kept):])
	d.waiting = kept
}

// grant gives a waiting request its place or its refusal.
func (w *want) grant(g grant) {
	if g.err != nil {
		var e *pwverdict.Error
		if errors.As(g.err, &e) && e.RetryAfter() == 0 {
			g.err = e.WithRetryAfter(jitter(w.latest.Sub(w.arrived) / 8))
		}
	}
	w.granted <- g
}

// drop removes a request whose caller has left.
func (d *dispatcher) drop(w *want) {
	d.waiting = slices.DeleteFunc(d.waiting, func(o *want) bool { return o == w })
}

func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Float64()*float64(d))
}

func (d *dispatcher) changed(g grant) {
	if g.booking != nil {
		d.notify()
	}
}

// with runs f with the fleet, lets waiting requests use what became free, and
// tells the peers.
func (d *dispatcher) with(f func(now time.Time, fleet *pwfleet.Fleet)) {
	d.mu.Lock()
	now := time.Now()
	before := d.fleet.Version()
	f(now, d.fleet)
	changed := d.fleet.Version() != before
	if changed {
		d.schedule(now)
	}
	d.mu.Unlock()
	if changed {
		d.notify()
	}
}

// heard notes a sign of life of a server.
func (d *dispatcher) heard(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.fleet.RecordActivity(time.Now(), id)
}

func (d *dispatcher) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// loop places waiting requests as time passes.
func (d *dispatcher) loop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.wake:
		}
		for d.tick() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(scheduleInterval):
			}
		}
	}
}

// tick schedules and reports whether requests still wait.
func (d *dispatcher) tick() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.schedule(time.Now())
	return len(d.waiting) > 0
}
