// Package pwqueue holds the requests that wait for a backend server. It
// divides the dispatched token work between length classes by their shares,
// and within a class between workspaces by their weights, so that a workspace
// that sends excessive load slows only itself.
//
// # Usage
//
//	q := pwqueue.New(pwqueue.Config{})
//	if err := q.Push(now, r, 1); err != nil {
//		return err // not_run, with a retry delay
//	}
//	for _, late := range q.Expire(now) {
//		// fail it with deadline_exceeded
//	}
//	if r, ok := q.Pop(now); ok {
//		// send it; put it back with q.Requeue(now, r) when it is refused
//	}
//	q.Served(now, r.MemoryTokens()) // when it has ended
//
// Pop prefers a request that was put back. A caller that has no server for a
// class must therefore pop from the other classes with PopAmong, or it would
// get the same request again.
package pwqueue

import (
	"container/heap"
	"math"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Queue is a bounded fair queue. All operations take O(log n) in the number of
// queued requests. It isn't safe for concurrent use.
type Queue struct {
	cfg        Config
	classes    [pwrequest.ClassCount]*class
	workspaces map[pwrequest.WorkspaceID]*workspace
	items      map[pwrequest.ID]*item
	due        indexed[*item]
	rate       rate
	tokens     int64
	vtime      float64
	seq        uint64
	// busySince is when the queue last became non-empty. A request that is
	// popped and put back at the same time does not interrupt that.
	busySince time.Time
	emptiedAt time.Time
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	cfg = cfg.withDefaults()
	q := &Queue{
		cfg:        cfg,
		workspaces: make(map[pwrequest.WorkspaceID]*workspace),
		items:      make(map[pwrequest.ID]*item),
		due: indexed[*item]{
			less: func(a, b *item) bool { return a.r.Deadline().Before(b.r.Deadline()) },
			move: func(it *item, pos int) { it.duePos = pos },
		},
		rate: rate{
			window: cfg.RateWindow,
		},
	}
	for i, share := range cfg.ClassShares {
		q.classes[i] = newClass(pwrequest.Class(i), share)
	}
	return q
}

// Reconfigure puts new bounds, shares and ageing in force. Queued requests stay
// queued, also beyond new bounds.
func (q *Queue) Reconfigure(cfg Config) {
	q.cfg = cfg.withDefaults()
	for i, share := range q.cfg.ClassShares {
		q.classes[i].share = share
	}
}

// Push adds a request of a workspace with the given weight; a weight that
// isn't positive counts as 1. It refuses with a NotRun error and a retry delay:
// CauseQueueFull when a bound is reached, CauseDeadlineUnreachable when the
// request would wait beyond its deadline at the observed rate, and
// CauseConflict when a request with the same identifier is already queued.
func (q *Queue) Push(now time.Time, r *pwrequest.Request, weight float64) error {
	q.advance(now)
	if _, ok := q.items[r.ID()]; ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
			"request %q is already queued", r.ID())
	}
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	work := q.work(r)
	ws := q.workspaces[r.Workspace()]
	if err := q.checkBounds(r, ws, work, weight); err != nil {
		return err
	}
	if err := q.checkDeadline(now, r, ws, weight); err != nil {
		return err
	}
	q.insert(now, now, r, weight, false)
	return nil
}

// Pop removes and returns the next request of any class.
func (q *Queue) Pop(now time.Time) (*pwrequest.Request, bool) {
	return q.PopAmong(now, [pwrequest.ClassCount]bool{true, true, true})
}

// PopClass removes and returns the next request of one length class.
func (q *Queue) PopClass(now time.Time, class pwrequest.Class) (*pwrequest.Request, bool) {
	var allowed [pwrequest.ClassCount]bool
	allowed[class] = true
	return q.PopAmong(now, allowed)
}

// PopAmong removes and returns the next request of the allowed classes.
func (q *Queue) PopAmong(now time.Time, allowed [pwrequest.ClassCount]bool) (*pwrequest.Request, bool) {
	q.advance(now)
	var best *class
	for i, c := range q.classes {
		if allowed[i] && c.waiting > 0 && (best == nil || c.start < best.start) {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	it := best.active.first().items.first()
	q.chargeClass(now, best, it)
	f := it.flow
	best.vtime = max(best.vtime, f.start)
	f.finish = f.start + float64(it.work)/f.ws.weight
	q.remove(it)
	if len(q.items) == 0 {
		q.emptiedAt = now
	}
	return it.r, true
}

// chargeClass moves the virtual time between classes to the start tag of c,
// and that tag by the work of it. A class that wasn't allowed for a while
// falls behind by one request at most; it must not monopolise the servers
// afterwards.
func (q *Queue) chargeClass(now time.Time, c *class, it *item) {
	q.vtime = max(q.vtime, c.start)
	c.start += float64(it.work) / c.share / q.boost(now.Sub(it.since))
	for _, o := range q.classes {
		if o.waiting > 0 {
			head := o.active.first().items.first()
			o.start = max(o.start, q.vtime-float64(head.work)/o.share)
		}
	}
}

// boost returns the factor by which ageing increases the share of a class.
func (q *Queue) boost(wait time.Duration) float64 {
	return min(q.cfg.MaxAgeingFactor, 1+max(0, wait.Seconds()/q.cfg.AgeingInterval.Seconds()))
}

// Requeue puts a popped request back at the front of its workspace after an
// agent has refused it. Its charge is returned and taken again when it is
// popped the next time. The bounds don't apply, because the request was already
// admitted; the queue can exceed them by the number of requests in flight.
func (q *Queue) Requeue(now time.Time, r *pwrequest.Request) {
	q.advance(now)
	if _, ok := q.items[r.ID()]; ok {
		return
	}
	since := now
	if at := r.AdmittedAt(); !at.IsZero() && at.Before(now) {
		since = at
	}
	work := float64(q.work(r))
	c := q.classes[r.Class()]
	c.start = max(q.vtime, c.start-work/c.share/q.boost(now.Sub(since)))
	weight := 1.0
	if ws := q.workspaces[r.Workspace()]; ws != nil {
		weight = ws.weight
		if f := ws.flows[r.Class()]; f != nil {
			f.finish -= work / weight
			if f.idle != absent {
				heap.Fix(&c.idle, f.idle)
			}
		}
	}
	q.insert(now, since, r, weight, true)
}

// Cancel removes a request and reports whether it was queued.
func (q *Queue) Cancel(id pwrequest.ID) bool {
	it, ok := q.items[id]
	if ok {
		q.remove(it)
	}
	return ok
}

// Expire removes and returns the requests whose deadline has passed, the
// earliest deadline first.
func (q *Queue) Expire(now time.Time) []*pwrequest.Request {
	q.advance(now)
	var out []*pwrequest.Request
	for q.due.Len() > 0 && !now.Before(q.due.first().r.Deadline()) {
		it := q.due.first()
		q.remove(it)
		out = append(out, it.r)
	}
	return out
}

// RecordCompletion tells that a popped request ended, with its work in tokens
// (MemoryTokens). It feeds the rate by which Push refuses requests early. Work
// that ends while nothing waits is not counted.
func (q *Queue) RecordCompletion(now time.Time, tokens int64) {
	q.advance(now)
	if q.saturated(now) {
		q.rate.add(tokens)
	}
}

// saturated reports whether requests have waited without a break for so long
// that the throughput shows the capacity of the fleet. A request that waits for
// some milliseconds after a refusal does not show that.
func (q *Queue) saturated(now time.Time) bool {
	return len(q.items) > 0 && now.Sub(q.busySince) >= minBusy
}

// advance moves the rate estimate to now.
func (q *Queue) advance(now time.Time) {
	q.rate.advance(now, q.saturated(now))
}

// Backlog returns the queued work of each length class, in tokens.
func (q *Queue) Backlog() [pwrequest.ClassCount]int64 {
	var out [pwrequest.ClassCount]int64
	for i, c := range q.classes {
		out[i] = c.work
	}
	return out
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.items) }

// WorkspaceCount returns the number of workspaces that the queue keeps state for:
// those with queued requests, and those whose last charge is still ahead of
// the virtual time.
func (q *Queue) WorkspaceCount() int { return len(q.workspaces) }

func (q *Queue) work(r *pwrequest.Request) int64 { return max(q.cfg.MinCharge, r.MemoryTokens()) }

func (q *Queue) insert(now, since time.Time, r *pwrequest.Request, weight float64, requeued bool) {
	if len(q.items) == 0 && !now.Equal(q.emptiedAt) {
		q.busySince = now
	}
	c := q.classes[r.Class()]
	ws := q.workspaces[r.Workspace()]
	if ws == nil {
		ws = &workspace{
			id:     r.Workspace(),
			weight: weight,
		}
		q.workspaces[ws.id] = ws
	}
	ws.setWeight(weight)
	f := ws.flows[c.index]
	if f == nil {
		f = newFlow(ws, c)
		ws.flows[c.index] = f
	}
	q.seq++
	it := &item{
		r:        r,
		flow:     f,
		seq:      q.seq,
		since:    since,
		rank:     now.Add(-time.Duration(r.Priority()) * q.cfg.AgeingInterval),
		work:     q.work(r),
		requeued: requeued,
		duePos:   absent,
	}
	if c.waiting == 0 {
		c.start = max(c.start, q.vtime)
	}
	q.items[r.ID()] = it
	q.tokens += it.work
	ws.requests++
	ws.tokens += it.work
	c.insert(it)
	if !r.Deadline().IsZero() {
		heap.Push(&q.due, it)
	}
}

// remove takes an item out of all indexes and drops state that isn't needed.
func (q *Queue) remove(it *item) {
	f := it.flow
	c, ws := f.class, f.ws
	delete(q.items, it.r.ID())
	q.tokens -= it.work
	ws.requests--
	ws.tokens -= it.work
	if it.duePos != absent {
		heap.Remove(&q.due, it.duePos)
	}
	c.take(it)
	// Idle flows are bounded like queued requests. The one dropped is the one
	// whose charge would have been forgotten first.
	for c.idle.Len() > 0 && (c.waiting == 0 || c.idle.first().finish <= c.vtime ||
		c.idle.Len() > q.cfg.TotalRequests) {
		q.dropFlow(heap.Pop(&c.idle).(*flow))
	}
	if c.waiting == 0 {
		c.vtime, c.weight = 0, 0
	}
	if len(q.items) == 0 {
		q.vtime = 0
		for _, c := range q.classes {
			c.start = 0
		}
	}
}

func (q *Queue) dropFlow(f *flow) {
	ws := f.ws
	ws.flows[f.class.index] = nil
	if ws.flows == [pwrequest.ClassCount]*flow{} {
		delete(q.workspaces, ws.id)
	}
}

// setWeight changes the weight, also in the sums of the classes in which the
// workspace waits.
func (ws *workspace) setWeight(weight float64) {
	for _, f := range ws.flows {
		if f != nil && f.pos != absent {
			f.class.weight += weight - ws.weight
		}
	}
	ws.weight = weight
}

// checkBounds refuses a request that a bound leaves no place for. A workspace
// may hold as much as is still free (dynamic threshold): however many
// workspaces flood the queue, a part of it stays free for the others.
func (q *Queue) checkBounds(r *pwrequest.Request, ws *workspace, work int64, weight float64) error {
	var requests int
	var tokens int64
	if ws != nil {
		requests, tokens = ws.requests, ws.tokens
	}
	free := q.cfg.TotalRequests - len(q.items)
	freeTokens := q.cfg.TotalTokens - q.tokens
	var detail string
	switch {
	case free < 1 || freeTokens < work:
		detail = "queue holds"
		requests, tokens = len(q.items), q.tokens
	case requests >= min(q.cfg.WorkspaceRequests, free),
		requests > 0 && tokens+work > min(q.cfg.WorkspaceTokens, freeTokens):
		detail = "workspace has"
	default:
		return nil
	}
	wait := time.Second
	if perSecond, ok := q.rate.perSecond(); ok && perSecond > 0 {
		c := q.classes[r.Class()]
		wait = seconds(float64(work) * max(1, c.weight/weight) / (perSecond * q.activeShare(c)))
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull,
		"%s %d requests with %d tokens waiting", detail, requests, tokens).
		WithRetryAfter(clampRetry(wait))
}

// checkDeadline refuses a request that would still wait at its deadline.
func (q *Queue) checkDeadline(now time.Time, r *pwrequest.Request, ws *workspace, weight float64) error {
	if r.Deadline().IsZero() {
		return nil
	}
	left := r.Deadline().Sub(now)
	var wait time.Duration
	if q.saturated(now) {
		wait = q.wait(q.classes[r.Class()], ws, weight)
	}
	if left > 0 && wait < left {
		return nil
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineUnreachable,
		"expected wait is %s, deadline is in %s", wait.Round(time.Millisecond), left.Round(time.Millisecond)).
		WithRetryAfter(clampRetry(wait - left))
}

// wait estimates how long a new request of a workspace would wait. Work ahead
// of it is what the workspace itself has queued in the class, stretched by the
// part of the rate that the workspace receives, but never more than all queued
// work. Without a known rate it returns 0, so that nothing is refused on a
// guess.
func (q *Queue) wait(c *class, ws *workspace, weight float64) time.Duration {
	perSecond, ok := q.rate.perSecond()
	if !ok || ws == nil || ws.flows[c.index] == nil {
		return 0
	}
	f := ws.flows[c.index]
	ahead := float64(f.work) * max(1, c.weight/weight)
	ahead = min(ahead, float64(c.work)) / q.activeShare(c)
	ahead = min(ahead, float64(q.tokens))
	if ahead <= 0 {
		return 0
	}
	return seconds(ahead / perSecond)
}

// activeShare returns the part of the rate that c receives among the classes
// with waiting requests.
func (q *Queue) activeShare(c *class) float64 {
	sum := 0.0
	for _, o := range q.classes {
		if o == c || o.waiting > 0 {
			sum += o.share
		}
	}
	return c.share / sum
}

// seconds converts a number of seconds that can be infinite.
func seconds(s float64) time.Duration {
	if !(s < float64(math.MaxInt64)/float64(time.Second)/2) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}

func clampRetry(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d))
}
