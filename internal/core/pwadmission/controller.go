// Package pwadmission decides whether a backend server accepts an attempt or a
// member of a group. It is the only authority on what that server holds, so
// that the bounds on memory, attempts and warm-up hold however many entries
// send work.
//
// # Usage
//
//	c := pwadmission.New(pwadmission.Config{MemoryTokens: 400_000}, now)
//	grant, err := c.Admit(now, pwadmission.Attempt{
//		ID:      "att-1",
//		Request: request,
//		Owner:   "entry-1",
//	})
//	if err != nil {
//		return err // has a verdict, a cause and perhaps a retry delay
//	}
//	if c.Started(now, "att-1") {
//		// send the work to the engine
//	}
//	c.Release(now, "att-1", grant.Fence())
//
// The caller also reports heartbeats of owners and observed times, and calls
// Expire several times a second; it cancels on the engine what Expire returns.
// A Controller is safe for concurrent use.
package pwadmission

import (
	"cmp"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/core/pwwarmup"
)

// Attempt is one try of a request on this server.
type Attempt struct {
	ID      pwrequest.AttemptID
	Request *pwrequest.Request
	// Owner is the entry that drives the request.
	Owner pwrequest.InstanceID
	// Isolated attempts run without other work on the server.
	Isolated bool
	// Deadline is the time at which the reservation is reclaimed. Zero takes
	// the deadline of the request.
	Deadline time.Time
}

// GroupMember is this server's part of a prompt that several engines serve.
type GroupMember struct {
	GroupID pwmemory.GroupID
	// Round starts at 1 and increases with each try of the group to reserve its
	// members, so that a late message of an earlier try has no effect.
	Round uint64
	Owner pwrequest.InstanceID
	// Tokens is the memory of this member.
	Tokens int64
	// AdmittedAt is the admission of the request; an older group has precedence.
	AdmittedAt time.Time
	// Deadline is the time at which the reservation is reclaimed.
	Deadline time.Time
}

// Grant is an accepted reservation.
type Grant struct {
	fence     uint64
	tokens    int64
	duplicate bool
}

// Fence returns the fencing token, with which the reservation is released.
func (g Grant) Fence() uint64 { return g.fence }

// Tokens returns the reserved memory.
func (g Grant) Tokens() int64 { return g.tokens }

// IsDuplicate reports whether the reservation was already held.
func (g Grant) IsDuplicate() bool { return g.duplicate }

// Expiry is a reservation that ended without a release.
type Expiry struct {
	r      *pwmemory.Reservation
	reason Reason
}

// Reason says why a reservation ended without a release.
type Reason string

// Reasons of an Expired.
const (
	ReasonDeadline        Reason = "deadline"
	ReasonOwnerLost       Reason = "owner_lost"
	ReasonEngineRestarted Reason = "engine_restarted"
)

// AttemptID returns the attempt identifier, or "" for a group member.
func (e Expiry) AttemptID() pwrequest.AttemptID { return e.r.Key().AttemptID() }

// GroupID returns the group identifier, or "" for an attempt.
func (e Expiry) GroupID() pwmemory.GroupID { return e.r.Key().GroupID() }

// Owner returns the instance that drove the work.
func (e Expiry) Owner() pwrequest.InstanceID { return e.r.Owner() }

// Fence returns the fencing token of the reservation.
func (e Expiry) Fence() uint64 { return e.r.Fence() }

// Tokens returns the memory that was reserved.
func (e Expiry) Tokens() int64 { return e.r.Tokens() }

// Started reports whether the work may have reached the engine.
func (e Expiry) Started() bool { return e.r.Started() }

// Reason returns why the reservation ended.
func (e Expiry) Reason() Reason { return e.reason }

// Controller decides for one backend server.
type Controller struct {
	mu       sync.Mutex
	cfg      Config
	ledger   *pwmemory.Ledger
	ramp     *pwwarmup.Ramp
	claim    claim
	delay    retryDelay
	inUse    bool
	draining bool
	memory   perClass
}

// New returns a controller in service, with an empty ledger and a cold ramp.
func New(cfg Config, now time.Time) *Controller {
	cfg = cfg.withDefaults()
	return &Controller{
		cfg: cfg,
		ledger: pwmemory.New(pwmemory.Config{
			MemoryTokens:    cfg.MemoryTokens,
			OwnerTimeout:    cfg.OwnerTimeout,
			MaxHoldTime:     cfg.MaxHoldTime,
			MaxEndedRecords: cfg.MaxEndedRecords,
		}, now),
		ramp:   pwwarmup.New(cfg.WarmUp, now),
		inUse:  true,
		memory: memoryShares(cfg.MemoryTokens, cfg.MemoryPercent),
	}
}

// candidate is an attempt or a group member in one form.
type candidate struct {
	params pwmemory.Params
	// claimID and admittedAt identify the request over several attempts.
	claimID    string
	admittedAt time.Time
}

// Reconfigure puts new shares of the length classes, bounds on attempts and
// warm-up rules and the owner timeout in force. Memory is a fact of the server
// and stays.
// What has been admitted stays admitted.
func (c *Controller) Reconfigure(now time.Time, cfg Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg.MemoryTokens = c.cfg.MemoryTokens
	cfg = cfg.withDefaults()
	c.cfg.MemoryPercent, c.cfg.SlotPercent, c.cfg.MaxLong = cfg.MemoryPercent, cfg.SlotPercent, cfg.MaxLong
	c.cfg.FullBound, c.cfg.StartBound, c.cfg.WarmUp = cfg.FullBound, cfg.StartBound, cfg.WarmUp
	c.ledger.SetOwnerTimeout(cfg.OwnerTimeout)
	c.memory = memoryShares(c.cfg.MemoryTokens, c.cfg.MemoryPercent)
	c.ramp.Reconfigure(now, c.cfg.WarmUp)
}

// Admit accepts an attempt or refuses it. The error is a *pwverdict.Error. A
// repeated message gets the grant that is held; one of an attempt that was
// refused or has ended is refused with CauseStaleFence, and with MayHaveRun if
// it had started. A further try therefore needs a new attempt identifier.
func (c *Controller) Admit(now time.Time, a Attempt) (Grant, error) {
	if a.ID == "" || a.Request == nil {
		return Grant{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "attempt has no identifier or request")
	}
	r := a.Request
	if r.PromptTokens() < 0 || r.MaxTokens() < 0 {
		return Grant{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"token counts must not be negative, found %d and %d", r.PromptTokens(), r.MaxTokens())
	}
	deadline := a.Deadline
	if deadline.IsZero() {
		deadline = r.Deadline()
	}
	return c.decide(now, candidate{
		params: pwmemory.Params{
			Key:          pwmemory.AttemptKey(a.ID),
			Owner:        a.Owner,
			Class:        r.Class(),
			Tokens:       r.MemoryTokens(),
			PromptTokens: r.PromptTokens(),
			Deadline:     deadline,
			Isolated:     a.Isolated,
		},
		claimID:    string(r.ID()),
		admittedAt: r.AdmittedAt(),
	})
}

// ReserveMember accepts a member of a group or refuses it, like Admit. A newer
// round replaces the group's reservation of an older one.
func (c *Controller) ReserveMember(now time.Time, m GroupMember) (Grant, error) {
	if m.GroupID == "" || m.Round == 0 {
		return Grant{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "group member has no identifier or round")
	}
	return c.decide(now, candidate{
		params: pwmemory.Params{
			Key:      pwmemory.MemberKey(m.GroupID),
			Round:    m.Round,
			Owner:    m.Owner,
			Class:    pwrequest.Long,
			Tokens:   m.Tokens,
			Deadline: m.Deadline,
		},
		claimID:    string(m.GroupID),
		admittedAt: m.AdmittedAt,
	})
}

func (c *Controller) decide(now time.Time, a candidate) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, stale := c.ledger.FindDuplicate(now, a.params)
	switch {
	case stale != nil:
		return Grant{}, stale
	case held != nil:
		return grantOf(held, true), nil
	}
	if err := c.check(now, a); err != nil {
		c.ledger.RecordRefusal(now, a.params)
		return Grant{}, err
	}
	r, err := c.ledger.Reserve(now, a.params)
	if err != nil {
		c.ledger.RecordRefusal(now, a.params)
		return Grant{}, err
	}
	c.claim.fulfil(a)
	return grantOf(r, false), nil
}

func grantOf(r *pwmemory.Reservation, duplicate bool) Grant {
	return Grant{
		fence:     r.Fence(),
		tokens:    r.Tokens(),
		duplicate: duplicate,
	}
}

// check returns why a is refused, or nil.
func (c *Controller) check(now time.Time, a candidate) *pwverdict.Error {
	p := a.params
	if !c.inUse || c.draining {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "backend server takes no new work")
	}
	if !p.Deadline.After(now) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "the deadline has passed or is missing")
	}
	if p.Tokens <= 0 {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "tokens must be positive, found %d", p.Tokens)
	}
	memory, slots := c.resources(now, a)
	if p.Isolated {
		return c.checkIsolated(p)
	}
	if n := memory.largest(p.Class); p.Tokens > n {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, a %s attempt can have at most %d", p.Tokens, p.Class, n)
	}
	if c.isolatedRuns() {
		return c.refuse(pwverdict.CauseConcurrencyFull, "an isolated attempt is running")
	}
	if p.Class == pwrequest.Long && slots.used[pwrequest.Long]+slots.claimed >= int64(c.cfg.MaxLong) {
		c.claim.refused(now, c.cfg.ClaimTimeout, a)
		return c.refuse(pwverdict.CauseClassFull, "long attempts are at their bound of %d", c.cfg.MaxLong)
	}
	if f := slots.fit(p.Class, 1); f != fits {
		c.claim.refused(now, c.cfg.ClaimTimeout, a)
		if slots.limit < int64(c.ramp.FullBound()) {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseWarmingUp,
				"warming up, bound is %d attempts", slots.limit).WithRetryAfter(c.delay.atLeast(c.ramp.TimeToNextIncrease(now)))
		}
		return c.refuseFit(f, pwverdict.CauseConcurrencyFull, "attempts", slots.limit)
	}
	if f := memory.fit(p.Class, p.Tokens); f != fits {
		c.claim.refused(now, c.cfg.ClaimTimeout, a)
		return c.refuseFit(f, pwverdict.CauseMemoryFull, "tokens", memory.limit)
	}
	return nil
}

func (c *Controller) checkIsolated(p pwmemory.Params) *pwverdict.Error {
	switch {
	case p.Tokens > c.cfg.MemoryTokens:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, the engine has %d", p.Tokens, c.cfg.MemoryTokens)
	case c.ledger.TotalUsage().Count > 0:
		return c.refuse(pwverdict.CauseNotIsolated, "%d others are running", c.ledger.TotalUsage().Count)
	}
	return nil
}

func (c *Controller) isolatedRuns() bool { return c.ledger.IsolatedCount() > 0 }

// resources returns memory and slots as a sees them. A group's own older round and its own claim are not counted.
func (c *Controller) resources(now time.Time, a candidate) (memory, slots resource) {
	bound := c.ramp.Bound(now)
	memory = resource{
		limit:      c.cfg.MemoryTokens,
		guaranteed: c.memory,
	}
	slots = resource{
		limit:      int64(bound),
		guaranteed: slotShares(bound, c.cfg.SlotPercent),
	}
	for i := range pwrequest.ClassCount {
		u := c.ledger.ClassUsage(pwrequest.Class(i))
		memory.used[i], slots.used[i] = u.Tokens, int64(u.Count)
	}
	if older := c.ledger.Lookup(a.params.Key); older != nil {
		memory.used[older.Class()] -= older.Tokens()
		slots.used[older.Class()]--
	}
	cl := c.claim.against(now, a)
	if cl == nil || (a.params.Class != pwrequest.Long && !c.coversShorter(now, cl, memory)) {
		return memory, slots
	}
	memory.claimed, slots.claimed = cl.params.Tokens, 1
	return memory, slots
}

// coversShorter reports whether a claim applies to short and medium attempts: it
// has waited for some time, and gets its space as soon as enough of them end.
// While it also waits for long work, which may take minutes, keeping space free
// from short and medium work would only waste it.
func (c *Controller) coversShorter(now time.Time, cl *claim, memory resource) bool {
	long := memory.used[pwrequest.Long]
	return now.Sub(cl.admittedAt) >= c.cfg.ClaimAge &&
		c.ledger.ClassUsage(pwrequest.Long).Count < c.cfg.MaxLong && cl.params.Tokens+long <= memory.largest(pwrequest.Long)
}

func (c *Controller) refuseFit(f fit, cause pwverdict.Cause, unit string, limit int64) *pwverdict.Error {
	switch f {
	case shareFull:
		return c.refuse(pwverdict.CauseClassFull, "the free %s are guaranteed to other length classes", unit)
	case claimFull:
		return c.refuse(pwverdict.CauseClassFull, "the free %s are kept for an older request", unit)
	default:
		return c.refuse(cause, "all %d %s are in use", limit, unit)
	}
}

func (c *Controller) refuse(cause pwverdict.Cause, format string, args ...any) *pwverdict.Error {
	return pwverdict.New(pwverdict.NotRun, cause, format, args...).WithRetryAfter(c.delay.get())
}

// Release ends an attempt. It returns false when the fencing token is not
// current, so that late and repeated messages have no effect.
func (c *Controller) Release(now time.Time, id pwrequest.AttemptID, fence uint64) bool {
	return c.release(now, pwmemory.AttemptKey(id), fence)
}

// ReleaseMember ends a group member, like Release.
func (c *Controller) ReleaseMember(now time.Time, id pwmemory.GroupID, fence uint64) bool {
	return c.release(now, pwmemory.MemberKey(id), fence)
}

func (c *Controller) release(now time.Time, k pwmemory.Key, fence uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Release(now, k, fence) == nil {
		return false
	}
	c.delay.released(now)
	return true
}

// CancelMember ends every round of a group up to the given one, also those
// whose message is still on its way; such messages are refused until the given
// time. A coordinator uses it when it does not know the fencing token because
// the reply was lost. It returns whether a reservation was held.
func (c *Controller) CancelMember(now time.Time, id pwmemory.GroupID, round uint64, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Cancel(now, pwmemory.MemberKey(id), round, until) == nil {
		return false
	}
	c.delay.released(now)
	return true
}

// MarkStarted records that an attempt is about to be sent to the engine. False
// means that the reservation has ended and the attempt must not be sent.
func (c *Controller) MarkStarted(_ time.Time, id pwrequest.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.MarkStarted(pwmemory.AttemptKey(id))
}

// RecordFirstToken records the first token of an attempt, d after it was sent to the
// engine: its prompt no longer counts as pending prefill, and the time is
// compared with those of attempts that had as much prefill ahead of them. A
// queue of prompts therefore does not look like a cold server. It replaces
// PrefillDone and ObserveFirstToken.
func (c *Controller) RecordFirstToken(now time.Time, id pwrequest.AttemptID, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.ledger.MarkPrefilled(pwmemory.AttemptKey(id)); r != nil {
		c.ramp.ObserveFirstToken(now, r.PrefillAhead(), d)
	}
}

// MarkPrefilled records that the first token of an attempt has arrived, so that
// its prompt no longer counts as pending prefill.
func (c *Controller) MarkPrefilled(_ time.Time, id pwrequest.AttemptID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.MarkPrefilled(pwmemory.AttemptKey(id))
}

// RecordHeartbeat records a sign of life of an owner.
func (c *Controller) RecordHeartbeat(now time.Time, owner pwrequest.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.RecordHeartbeat(now, owner)
}

// Expire reclaims reservations past their deadline, and those of owners that
// stopped responding if the attempt has not started or belongs to a group. The
// caller cancels their work on the engine.
func (c *Controller) Expire(now time.Time) []Expiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Expiry
	for _, e := range c.ledger.Expire(now) {
		reason := ReasonDeadline
		if e.Reason() == pwmemory.ReasonOwnerLost {
			reason = ReasonOwnerLost
		}
		out = append(out, Expiry{
			r:      e.Reservation(),
			reason: reason,
		})
		c.delay.released(now)
	}
	return out
}

// ObserveFirstToken reports the time to the first token of a prompt of which
// promptTokens had to be prefilled. FirstToken also takes into account what was
// waiting before the prompt.
func (c *Controller) ObserveFirstToken(now time.Time, promptTokens int64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp.ObserveFirstToken(now, promptTokens, d)
}

// ObserveStep reports the time of one decoding step.
func (c *Controller) ObserveStep(now time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp.ObserveStep(now, d)
}

// HandleEngineRestart ends all reservations, because the engine lost its memory,
// and restarts the ramp. It returns what was lost.
func (c *Controller) HandleEngineRestart(now time.Time) []Expiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Expiry
	for _, r := range c.ledger.Reset(now) {
		out = append(out, Expiry{
			r:      r,
			reason: ReasonEngineRestarted,
		})
	}
	c.ramp.Restart(now)
	return out
}

// SetInService takes the server out of service, so that it refuses new work, or
// brings it back, which restarts the ramp. A repeated call has no effect.
func (c *Controller) SetInService(now time.Time, inService bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inService && !c.inUse {
		c.ramp.Restart(now)
	}
	c.inUse = inService
}

// Drain refuses new work for the rest of the process's life.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Load returns the current load.
func (c *Controller) Load(now time.Time) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{
		running:        c.ledger.TotalUsage().Count,
		runningBound:   c.ramp.Bound(now),
		reservedTokens: c.ledger.TotalUsage().Tokens,
		memoryTokens:   c.cfg.MemoryTokens,
		prefillTokens:  c.ledger.PendingPrefillTokens(),
		inService:      c.inUse && !c.draining,
		coldChanges:    c.ramp.ColdDetections(),
	}
	for i := range l.byClass {
		l.byClass[i] = c.ledger.ClassUsage(pwrequest.Class(i)).Count
	}
	return l
}

// Load is the load of the server at one time.
type Load struct {
	running        int
	runningBound   int
	reservedTokens int64
	memoryTokens   int64
	prefillTokens  [pwrequest.ClassCount]int64
	byClass        [pwrequest.ClassCount]int
	inService      bool
	coldChanges    int
}

// Running returns the number of admitted attempts and group members.
func (l Load) Running() int { return l.running }

// RunningBound returns the current bound on Running, lower while warming up.
func (l Load) RunningBound() int { return l.runningBound }

// ReservedTokens returns the reserved memory.
func (l Load) ReservedTokens() int64 { return l.reservedTokens }

// MemoryTokens returns the engine's memory.
func (l Load) MemoryTokens() int64 { return l.memoryTokens }

// RunningByClass returns the part of Running in one length class; group members
// count as long.
func (l Load) RunningByClass(c pwrequest.Class) int { return l.byClass[c] }

// PendingPrefillTokens returns the prompt tokens of attempts without a first
// token, by length class. Group members are not included.
func (l Load) PendingPrefillTokens() [pwrequest.ClassCount]int64 { return l.prefillTokens }

// InService reports whether new work is taken.
func (l Load) InService() bool { return l.inService }

// ColdChanges returns how often the server was found to have become cold.
func (l Load) ColdChanges() int { return l.coldChanges }

// claim is the oldest refused long attempt or group member. Until it expires,
// younger long work does not take the space that the claim needs, and from a
// certain age on neither does what exceeds the guarantees of the other classes.
type claim struct {
	candidate
	until time.Time
}

// before reports whether a has precedence over b.
func (a candidate) before(b candidate) bool {
	return cmp.Or(a.admittedAt.Compare(b.admittedAt), cmp.Compare(a.claimID, b.claimID)) < 0
}

// refused records the claim of a when it is long and older than the claim in
// force, or renews it.
func (c *claim) refused(now time.Time, timeout time.Duration, a candidate) {
	if a.params.Class != pwrequest.Long {
		return
	}
	if now.Before(c.until) && a.claimID != c.claimID && c.before(a) {
		return
	}
	c.candidate = a
	c.until = now.Add(timeout)
}

// fulfil ends the claim of a.
func (c *claim) fulfil(a candidate) {
	if a.claimID == c.claimID {
		*c = claim{}
	}
}

// against returns the claim that a has to respect, or nil. Long work has to
// respect only older claims.
func (c *claim) against(now time.Time, a candidate) *claim {
	if !now.Before(c.until) || a.claimID == c.claimID || (a.params.Class == pwrequest.Long && a.before(c.candidate)) {
		return nil
	}
	return c
}

// retryDelay advises when a retry makes sense: after about one release.
type retryDelay struct {
	last time.Time
	gap  time.Duration
}

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// gapWeight is the part by which the mean gap follows a new one.
	gapWeight = 4
)

func (d *retryDelay) released(now time.Time) {
	if !d.last.IsZero() && now.After(d.last) {
		d.gap += (min(now.Sub(d.last), maxRetryDelay) - d.gap) / gapWeight
	}
	d.last = now
}

func (d *retryDelay) get() time.Duration { return d.atLeast(d.gap) }

func (d *retryDelay) atLeast(t time.Duration) time.Duration {
	return min(max(t, minRetryDelay), maxRetryDelay)
}
