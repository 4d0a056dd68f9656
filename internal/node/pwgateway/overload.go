package pwgateway

import (
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// queueAhead adds up what waits before a request of the same service and class.
type queueAhead struct {
	requests  map[queueKey]int
	prefillMS map[queueKey]float64
	// rooms holds the room of each service when the pass began. What was placed since counts
	// as ahead, and in Own.
	rooms map[string]pwoverload.Room
}

// recordPlaced counts a request that was placed as one of this process's own.
func (a *queueAhead) recordPlaced(service string) {
	if r, ok := a.rooms[service]; ok {
		r.Own++
		a.rooms[service] = r
	}
}

type queueKey struct {
	service string
	short   bool
}

// shedsNow reports whether the request may be refused because of an overload.
func (d *dispatcher) shedsNow(p *pendingRequest) bool {
	c := d.overload[p.req.Service]
	return c != nil && d.sheds && p.mayShed && c.Overloaded()
}

// maxOverloadServices bounds the services with a controller. Those beyond it refuse nothing.
const maxOverloadServices = 64

// configureOverload makes a controller for each service with engines, and keeps those that
// there are. Also a gateway that is offered nothing tells so, and counts as heard.
func (d *dispatcher) configureOverload(catalog *pwcatalog.Catalog) {
	if d.policy.Overload == nil {
		return
	}
	d.sheds = catalog.RequiresKey()
	before := d.overload
	d.overload = make(map[string]*pwoverload.Controller)
	for _, s := range catalog.Services() {
		if s.Engine == nil || len(d.overload) >= maxOverloadServices {
			continue
		}
		c := before[s.Name]
		if c == nil {
			c = pwoverload.New(*d.policy.Overload)
		}
		d.overload[s.Name] = c
	}
}

// admit decides about a request that has just arrived. wait is set if it has to wait for a
// slot. It returns an error for one that is refused.
func (d *dispatcher) admit(now time.Time, p *pendingRequest) (wait bool, err error) {
	c := d.overload[p.req.Service]
	if c == nil || !d.sheds || !p.mayShed {
		return false, nil
	}
	room, ok := d.room(now, p.req.Service)
	if !ok {
		return false, nil
	}
	if p.short {
		room.Ahead = d.shortWaiting[p.req.Service]
	} else {
		for _, other := range d.waiting {
			if other.req.Service == p.req.Service && !other.short && compareQueueOrder(other, p, now) < 0 {
				room.AheadPrefillMS += other.prefillMS
			}
		}
		_, queued := d.turns.Ahead(now, p.rank(now))
		room.AheadPrefillMS += queued
	}
	before := c.Overloaded()
	decision := c.Offer(now, p.offer(now), room)
	d.logRegime(p.req.Service, before, room)
	d.countDecision(now, p, decision)
	if !decision.Admitted {
		return false, newOverloadRefusal(decision)
	}
	p.urgent = decision.Reason == pwoverload.ReasonFloor
	return decision.Wait, nil
}

// recheck decides about a request that waits, and sets wait if it still has to. It returns an
// error for one that is refused. The requests of a pass are rechecked in the order of the
// queue.
func (d *dispatcher) recheck(now time.Time, p *pendingRequest, ahead *queueAhead) (wait bool, err error) {
	if !d.shedsNow(p) {
		return false, nil
	}
	if ahead.rooms == nil {
		*ahead = queueAhead{
			requests:  make(map[queueKey]int),
			prefillMS: make(map[queueKey]float64),
			rooms:     make(map[string]pwoverload.Room),
		}
	}
	room, ok := ahead.rooms[p.req.Service]
	if !ok {
		if room, ok = d.room(now, p.req.Service); !ok {
			return false, nil
		}
		ahead.rooms[p.req.Service] = room
	}
	key := queueKey{
		service: p.req.Service,
		short:   p.short,
	}
	room.Ahead, room.AheadPrefillMS = ahead.requests[key], ahead.prefillMS[key]
	if !p.short {
		_, queued := d.turns.Ahead(now, p.rank(now))
		room.AheadPrefillMS += queued
	}
	c := d.overload[p.req.Service]
	decision := c.Recheck(now, p.offer(now), room)
	d.logRegime(p.req.Service, true, room)
	if !decision.Admitted {
		d.countDecision(now, p, decision)
		return false, newOverloadRefusal(decision)
	}
	p.urgent = decision.Reason == pwoverload.ReasonFloor
	ahead.requests[key]++
	ahead.prefillMS[key] += p.prefillMS
	return decision.Wait, nil
}

// offer describes the request to pwoverload.
func (p *pendingRequest) offer(now time.Time) pwoverload.Offer {
	latest := p.abandonAt
	if !p.short {
		// It is refused then if it still waits.
		latest = p.capacityWaitUntil
	}
	return pwoverload.Offer{
		Workspace:    xxhash.Sum64String(p.workspace),
		Class:        p.class(),
		PrefillMS:    p.prefillMS,
		UntilTarget:  p.firstTokenDeadline.Sub(now),
		UntilAbandon: latest.Sub(now),
	}
}

func (p *pendingRequest) class() pwoverload.Class {
	if p.short {
		return pwoverload.Short
	}
	return pwoverload.Long
}

// room returns what the engines of a service have left.
func (d *dispatcher) room(now time.Time, service string) (pwoverload.Room, bool) {
	r, ok := d.fleet.Room(now, service)
	return pwoverload.Room{
		Engines:        r.Engines,
		Slots:          r.Slots,
		Taken:          r.Taken,
		Own:            r.Own,
		PrefillMS:      r.PrefillMS,
		MaxPrefillMS:   r.MaxPrefillMS,
		FreedPrefillMS: d.fleet.FreedPrefillMS(),
		IterationMS:    r.IterationMS,
		Processes:      r.Processes,
	}, ok
}

// ownUsage returns the demand of this process's workspaces by service. urgent is false while
// the peers need not hear of it at once.
func (d *dispatcher) ownUsage() (byService map[uint64][]pwoverload.Usage, urgent bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	byService = make(map[uint64][]pwoverload.Usage, len(d.overload))
	for service, c := range d.overload {
		byService[xxhash.Sum64String(service)] = c.Usage(time.Now())
		urgent = urgent || c.Busy()
	}
	return byService, urgent
}

// mergeUsage merges the demand that a peer reported of a service.
func (d *dispatcher) mergeUsage(peer string, service uint64, list []pwoverload.Usage) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, c := range d.overload {
		if xxhash.Sum64String(name) == service {
			c.MergeUsage(time.Now(), peer, list)
		}
	}
}

// end ends the assignment of a request, and records how long it held its slot.
func (d *dispatcher) end(plan pwfleet.Plan, assignment *pwfleet.Assignment, placedAt time.Time) {
	d.withFleet(func(time.Time, *pwfleet.Fleet) {
		c := d.overload[plan.Server.Service]
		if c != nil && assignment.PrefillEnded() && plan.PartPrefillMS > 0 {
			class := pwoverload.Long
			if plan.Short {
				class = pwoverload.Short
			}
			c.RecordEnd(class, time.Since(placedAt))
		}
		assignment.End()
	})
}

// newOverloadRefusal returns the error of a request that is refused. It states the decision
// for the log line of the refusal.
func newOverloadRefusal(d pwoverload.Decision) error {
	cause := pwverdict.CauseDeadlineUnreachable
	if d.Reason == pwoverload.ReasonShare {
		cause = pwverdict.CauseClassFull
	}
	return pwverdict.New(pwverdict.NotRun, cause,
		"the engines are overloaded: %s, the first token is predicted in %s, %.0f%% of the workspace's requests are admitted",
		d.Reason, d.Predicted.Round(time.Millisecond), 100*d.Share).
		WithRetryAfter(d.RetryAfter)
}

// maxDecisionLines bounds the log lines about decisions, in lines a second.
const maxDecisionLines = 10

// countDecision counts a decision in the metrics, by result, size class, workspace class and
// reason, and logs it unless there were too many in this second.
func (d *dispatcher) countDecision(now time.Time, p *pendingRequest, decision pwoverload.Decision) {
	result, workspaceClass := "rejected", "light"
	if decision.Admitted {
		result = "admitted"
	}
	if decision.Share < 1 {
		workspaceClass = "heavy"
	}
	d.obs.Count("overload_offered_"+p.class().String()+"_"+workspaceClass, 1)
	d.obs.Count("overload_"+result+"_"+p.class().String()+"_"+workspaceClass+"_"+string(decision.Reason), 1)
	if !decision.Overloaded {
		return
	}
	if second := now.Truncate(time.Second); second != d.decisionsSecond {
		d.decisionsSecond, d.decisionLines = second, 0
	}
	if d.decisionLines++; d.decisionLines > maxDecisionLines {
		d.obs.Count("overload_lines_left_out", 1)
		return
	}
	d.obs.LogRoutineEvent("overload_decision", log.Fields{
		"request":        p.id,
		"workspace":      p.workspace,
		"class":          p.class().String(),
		"result":         result,
		"reason":         string(decision.Reason),
		"wait":           decision.Wait,
		"predicted_ms":   decision.Predicted.Milliseconds(),
		"share":          decision.Share,
		"retry_after_ms": decision.RetryAfter.Milliseconds(),
	})
}

// countFirstEvent counts the first tokens that are sent within the target of their route.
func (x *exchange) countFirstEvent(p pwfleet.Plan) {
	if x.g.cfg.Policy.Overload == nil || x.route.Target <= 0 {
		return
	}
	result := "late_"
	if x.firstEventAt.Sub(x.arrivedAt) <= x.route.Target {
		result = "in_aim_"
	}
	x.g.obs.Count("overload_"+result+sizeClass(p), 1)
}

// logRegime logs a change of the regime of a service.
func (d *dispatcher) logRegime(service string, before bool, r pwoverload.Room) {
	after := d.overload[service].Overloaded()
	if before == after {
		return
	}
	overloaded := int64(0)
	for _, c := range d.overload {
		if c.Overloaded() {
			overloaded++
		}
	}
	d.obs.SetGauge("overloaded_services", overloaded)
	d.obs.LogEvent("overload", log.Fields{
		"service":     service,
		"overloaded":  after,
		"engines":     r.Engines,
		"slots":       r.Slots,
		"slots_taken": r.Taken,
		"prefill_ms":  int64(r.PrefillMS),
		"processes":   r.Processes,
	})
}
