// Package pwqueue queues the requests that wait for a backend server. It divides
// the dispatched token work between the length classes by their shares, and within
// a class between the workspaces by their weights. A workspace that sends excessive
// load therefore slows down only itself.
//
// # Usage
//
//	q := pwqueue.New(pwqueue.Config{})
//	if err := q.Push(now, r, 1); err != nil {
//		return err // not_run, with a retry delay
//	}
//	for _, expired := range q.Expire(now) {
//		// fail expired with deadline_exceeded
//	}
//	if r, ok := q.Pop(now); ok {
//		// send r; put it back with q.Requeue(now, r) if the agent refuses it
//	}
//	q.RecordCompletion(now, r.MemoryTokens()) // when r has ended
//
// Pop prefers a request that was put back. A caller that finds no server for a
// class must therefore pop from the other classes with PopAmong, because Pop would
// return the same request again.
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
	cfg         Config
	classes     [pwrequest.ClassCount]*class
	workspaces  map[pwrequest.WorkspaceID]*workspace
	items       map[pwrequest.ID]*item
	byDeadline  indexedHeap[*item]
	rate        rateEstimator
	tokens      int64
	virtualTime float64
	seq         uint64
	// busySince is the time at which the queue last became non-empty. Popping the
	// only request at emptiedAt and putting it back at the same time doesn't reset it.
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
		byDeadline: indexedHeap[*item]{
			less:   func(a, b *item) bool { return a.r.Deadline().Before(b.r.Deadline()) },
			setPos: func(it *item, pos int) { it.deadlinePos = pos },
		},
		rate: rateEstimator{
			window: cfg.RateWindow,
		},
	}
	for i, share := range cfg.ClassShares {
		q.classes[i] = newClass(pwrequest.Class(i), share)
	}
	return q
}

// Reconfigure changes the bounds, shares and ageing. Queued requests stay queued,
// even if they exceed the new bounds.
func (q *Queue) Reconfigure(cfg Config) {
	q.cfg = cfg.withDefaults()
	for i, share := range q.cfg.ClassShares {
		q.classes[i].share = share
	}
}

// Push adds a request of a workspace with the given weight. A weight that isn't
// positive or that is infinite counts as 1. Push refuses a request with a NotRun
// error: with CauseQueueFull and a retry delay when a bound is reached, with
// CauseDeadlineUnreachable and a retry delay when the request would wait beyond its
// deadline at the observed rate, and with CauseConflict when a request with the same
// identifier is already queued.
func (q *Queue) Push(now time.Time, r *pwrequest.Request, weight float64) error {
	q.advance(now)
	if _, ok := q.items[r.ID()]; ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
			"request %q is already queued", r.ID())
	}
	if !(weight > 0) || math.IsInf(weight, 1) {
		weight = 1
	}
	work := q.charge(r)
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

// PopAmong removes and returns the next request of the allowed length classes.
func (q *Queue) PopAmong(now time.Time, allowed [pwrequest.ClassCount]bool) (*pwrequest.Request, bool) {
	q.advance(now)
	var best *class
	for i, c := range q.classes {
		if allowed[i] && c.waitingCount > 0 && (best == nil || c.startTag < best.startTag) {
			best = c
		}
	}
	if best == nil {
		return nil, false
	}
	it := best.active.peek().items.peek()
	q.chargeClass(now, best, it)
	f := it.flow
	best.virtualTime = max(best.virtualTime, f.startTag)
	f.finishTag = f.startTag + float64(it.tokens)/f.ws.weight
	q.remove(it)
	if len(q.items) == 0 {
		q.emptiedAt = now
	}
	return it.r, true
}

// chargeClass advances the queue's virtual time to the start tag of c, and that tag
// by the charge for the item, divided by the share of the class after ageing. A class
// that wasn't allowed for a while keeps the credit of at most one request, so that it
// can't monopolise the servers afterwards.
func (q *Queue) chargeClass(now time.Time, c *class, it *item) {
	q.virtualTime = max(q.virtualTime, c.startTag)
	c.startTag += float64(it.tokens) / c.share / q.ageingFactor(now.Sub(it.waitingSince))
	for _, o := range q.classes {
		if o.waitingCount > 0 {
			head := o.active.peek().items.peek()
			o.startTag = max(o.startTag, q.virtualTime-float64(head.tokens)/o.share)
		}
	}
}

// ageingFactor returns the factor by which ageing increases the share of a class for
// a request that has waited for the given time.
func (q *Queue) ageingFactor(wait time.Duration) float64 {
	return min(q.cfg.MaxAgeingFactor, 1+max(0, wait.Seconds()/q.cfg.AgeingInterval.Seconds()))
}

// Requeue puts a popped request back at the front of its workspace after an agent
// has refused it. Its charge is refunded until it is popped again. The bounds don't
// apply, because the request was already admitted. The queue can therefore exceed
// them by the number of requests in flight.
func (q *Queue) Requeue(now time.Time, r *pwrequest.Request) {
	q.advance(now)
	if _, ok := q.items[r.ID()]; ok {
		return
	}
	since := now
	if at := r.AdmittedAt(); !at.IsZero() && at.Before(now) {
		since = at
	}
	work := float64(q.charge(r))
	c := q.classes[r.Class()]
	c.startTag = max(q.virtualTime, c.startTag-work/c.share/q.ageingFactor(now.Sub(since)))
	weight := 1.0
	if ws := q.workspaces[r.Workspace()]; ws != nil {
		weight = ws.weight
		if f := ws.flows[r.Class()]; f != nil {
			f.finishTag -= work / weight
			if f.idlePos != notInHeap {
				heap.Fix(&c.idle, f.idlePos)
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

// Expire removes and returns the requests whose deadline has passed, sorted by
// deadline.
func (q *Queue) Expire(now time.Time) []*pwrequest.Request {
	q.advance(now)
	var out []*pwrequest.Request
	for q.byDeadline.Len() > 0 && !now.Before(q.byDeadline.peek().r.Deadline()) {
		it := q.byDeadline.peek()
		q.remove(it)
		out = append(out, it.r)
	}
	return out
}

// RecordCompletion records that a popped request has ended, with its work in tokens
// (MemoryTokens). Push refuses requests early by the rate of this work. Work that
// ends while the queue isn't saturated doesn't count.
func (q *Queue) RecordCompletion(now time.Time, tokens int64) {
	q.advance(now)
	if q.saturated(now) {
		q.rate.add(tokens)
	}
}

// saturated reports whether requests have waited for so long without a break that
// the throughput equals the capacity of the fleet. A request that waits for some
// milliseconds after a refusal isn't enough for that.
func (q *Queue) saturated(now time.Time) bool {
	return len(q.items) > 0 && now.Sub(q.busySince) >= minBusyTime
}

// advance brings the rate estimate up to now.
func (q *Queue) advance(now time.Time) {
	q.rate.advance(now, q.saturated(now))
}

// Backlog returns the charges for the queued requests of each length class, in
// tokens.
func (q *Queue) Backlog() [pwrequest.ClassCount]int64 {
	var out [pwrequest.ClassCount]int64
	for i, c := range q.classes {
		out[i] = c.tokens
	}
	return out
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.items) }

// WorkspaceCount returns the number of workspaces that the queue keeps state for:
// those with queued requests, and those with a finish tag that is still ahead of the
// virtual time.
func (q *Queue) WorkspaceCount() int { return len(q.workspaces) }

// charge returns the number of tokens that a request is charged.
func (q *Queue) charge(r *pwrequest.Request) int64 { return max(q.cfg.MinCharge, r.MemoryTokens()) }

// insert adds a request that has waited since the given time to all indexes.
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
		r:            r,
		flow:         f,
		seq:          q.seq,
		waitingSince: since,
		orderTime:    now.Add(-time.Duration(r.Priority()) * q.cfg.AgeingInterval),
		tokens:       q.charge(r),
		requeued:     requeued,
		deadlinePos:  notInHeap,
	}
	if c.waitingCount == 0 {
		c.startTag = max(c.startTag, q.virtualTime)
	}
	q.items[r.ID()] = it
	q.tokens += it.tokens
	ws.requests++
	ws.tokens += it.tokens
	c.insert(it)
	if !r.Deadline().IsZero() {
		heap.Push(&q.byDeadline, it)
	}
}

// remove takes an item out of all indexes and drops state that isn't needed.
func (q *Queue) remove(it *item) {
	f := it.flow
	c, ws := f.class, f.ws
	delete(q.items, it.r.ID())
	q.tokens -= it.tokens
	ws.requests--
	ws.tokens -= it.tokens
	if it.deadlinePos != notInHeap {
		heap.Remove(&q.byDeadline, it.deadlinePos)
	}
	c.remove(it)
	// The number of idle flows has the same bound as that of queued requests. The
	// flow with the smallest finish tag is dropped first, because the virtual time
	// would reach it first.
	for c.idle.Len() > 0 && (c.waitingCount == 0 || c.idle.peek().finishTag <= c.virtualTime ||
		c.idle.Len() > q.cfg.TotalRequests) {
		q.dropFlow(heap.Pop(&c.idle).(*flow))
	}
	if c.waitingCount == 0 {
		c.virtualTime, c.activeWeight = 0, 0
	}
	if len(q.items) == 0 {
		q.virtualTime = 0
		for _, c := range q.classes {
			c.startTag = 0
		}
	}
}

// dropFlow drops an idle flow, and its workspace with the last flow.
func (q *Queue) dropFlow(f *flow) {
	ws := f.ws
	ws.flows[f.class.index] = nil
	if ws.flows == [pwrequest.ClassCount]*flow{} {
		delete(q.workspaces, ws.id)
	}
}

// setWeight changes the weight of the workspace and updates the activeWeight of the
// classes in which it has waiting requests.
func (ws *workspace) setWeight(weight float64) {
	for _, f := range ws.flows {
		if f != nil && f.activePos != notInHeap {
			f.class.activeWeight += weight - ws.weight
		}
	}
	ws.weight = weight
}

// checkBounds refuses a request that would exceed a bound of the workspace or of the
// queue. A workspace may have no more queued than the queue still has free (a dynamic
// threshold): however many workspaces flood the queue, a part of it stays free for
// the others.
func (q *Queue) checkBounds(r *pwrequest.Request, ws *workspace, work int64, weight float64) error {
	var requests int
	var tokens int64
	if ws != nil {
		requests, tokens = ws.requests, ws.tokens
	}
	free := q.cfg.TotalRequests - len(q.items)
	freeTokens := q.cfg.TotalTokens - q.tokens
	var subject string
	switch {
	case free < 1 || freeTokens < work:
		subject = "queue holds"
		requests, tokens = len(q.items), q.tokens
	case requests >= min(q.cfg.WorkspaceRequests, free),
		requests > 0 && tokens+work > min(q.cfg.WorkspaceTokens, freeTokens):
		subject = "workspace has"
	default:
		return nil
	}
	wait := time.Second
	if perSecond, ok := q.rate.perSecond(); ok && perSecond > 0 {
		c := q.classes[r.Class()]
		wait = secondsToDuration(float64(work) * max(1, c.activeWeight/weight) / (perSecond * q.activeShare(c)))
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull,
		"%s %d requests with %d tokens waiting", subject, requests, tokens).
		WithRetryAfter(clampRetryAfter(wait))
}

// checkDeadline refuses a request that is expected to wait until its deadline or
// longer.
func (q *Queue) checkDeadline(now time.Time, r *pwrequest.Request, ws *workspace, weight float64) error {
	if r.Deadline().IsZero() {
		return nil
	}
	remaining := r.Deadline().Sub(now)
	var wait time.Duration
	if q.saturated(now) {
		wait = q.estimateWait(q.classes[r.Class()], ws, weight)
	}
	if remaining > 0 && wait < remaining {
		return nil
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineUnreachable,
		"expected wait is %s, deadline is in %s", wait.Round(time.Millisecond), remaining.Round(time.Millisecond)).
		WithRetryAfter(clampRetryAfter(wait - remaining))
}

// estimateWait estimates how long a new request of a workspace would wait. The work
// ahead of it is the queued work of the workspace in the class, divided by the
// fraction of the rate that the workspace receives, but never more than all queued
// work. Without a known rate it returns 0, so that no request is refused by a guess.
func (q *Queue) estimateWait(c *class, ws *workspace, weight float64) time.Duration {
	perSecond, ok := q.rate.perSecond()
	if !ok || ws == nil || ws.flows[c.index] == nil {
		return 0
	}
	f := ws.flows[c.index]
	tokensAhead := float64(f.tokens) * max(1, c.activeWeight/weight)
	tokensAhead = min(tokensAhead, float64(c.tokens)) / q.activeShare(c)
	tokensAhead = min(tokensAhead, float64(q.tokens))
	if tokensAhead <= 0 {
		return 0
	}
	return secondsToDuration(tokensAhead / perSecond)
}

// activeShare returns the fraction of the rate that c receives while the classes
// that have waiting requests share it.
func (q *Queue) activeShare(c *class) float64 {
	sum := 0.0
	for _, o := range q.classes {
		if o == c || o.waitingCount > 0 {
			sum += o.share
		}
	}
	return c.share / sum
}

// secondsToDuration converts a number of seconds, which may be infinite, and limits
// the result to half of the largest duration.
func secondsToDuration(s float64) time.Duration {
	if !(s < float64(math.MaxInt64)/float64(time.Second)/2) {
		return math.MaxInt64 / 2
	}
	return time.Duration(s * float64(time.Second))
}

func clampRetryAfter(d time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, d))
}
