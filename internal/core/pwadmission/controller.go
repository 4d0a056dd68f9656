// Package pwadmission decides whether a backend server accepts an attempt or a
// group member. It is the only authority on the reservations of that server, so
// that the bounds on memory, attempts and warm-up hold for any number of entries
// that send work.
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
//		return err // has a verdict, a cause and, for some causes, a retry delay
//	}
//	if c.MarkStarted(now, "att-1") {
//		// send the work to the engine
//	}
//	c.Release(now, "att-1", grant.Fence())
//
// The caller also reports owner heartbeats and measured latencies, calls Expire
// several times a second, and cancels the returned work on the engine.
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

// Attempt is one execution of a request on this server.
type Attempt struct {
	ID      pwrequest.AttemptID
	Request *pwrequest.Request
	// Owner is the entry that handles the request.
	Owner pwrequest.InstanceID
	// Isolated requires that no other work runs on the server at the same time.
	Isolated bool
	// Deadline is the time at which the reservation is reclaimed. Zero takes
	// the deadline of the request.
	Deadline time.Time
}

// GroupMember is this server's part of a prompt that several engines serve
// together.
type GroupMember struct {
	GroupID pwmemory.GroupID
	// Round starts at 1 and increases each time the group tries to reserve its
	// members, so that a late message of an earlier round has no effect.
	Round uint64
	Owner pwrequest.InstanceID
	// Tokens is the memory of this member.
	Tokens int64
	// AdmittedAt is the admission of the request; an older group has precedence.
	AdmittedAt time.Time
	// Deadline is the time at which the reservation is reclaimed.
	Deadline time.Time
}

// Grant describes an accepted reservation.
type Grant struct {
	fence     uint64
	tokens    int64
	duplicate bool
}

// Fence returns the fencing token, which Release and ReleaseMember require.
func (g Grant) Fence() uint64 { return g.fence }

// Tokens returns the reserved memory in tokens.
func (g Grant) Tokens() int64 { return g.tokens }

// IsDuplicate reports whether an earlier copy of the message made the reservation.
func (g Grant) IsDuplicate() bool { return g.duplicate }

// Expiry is a reservation that ended without a release.
type Expiry struct {
	reservation *pwmemory.Reservation
	reason      Reason
}

// Reason is why a reservation ended without a release.
type Reason string

// Reasons of an Expiry.
const (
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonOwnerLost means that the owner's heartbeats stopped.
	ReasonOwnerLost Reason = "owner_lost"
	// ReasonEngineRestarted means that the engine restarted and lost its memory.
	ReasonEngineRestarted Reason = "engine_restarted"
)

// AttemptID returns the attempt identifier, or "" for a group member.
func (e Expiry) AttemptID() pwrequest.AttemptID { return e.reservation.Key().AttemptID() }

// GroupID returns the group identifier, or "" for an attempt.
func (e Expiry) GroupID() pwmemory.GroupID { return e.reservation.Key().GroupID() }

// Owner returns the instance that handled the work.
func (e Expiry) Owner() pwrequest.InstanceID { return e.reservation.Owner() }

// Fence returns the fencing token of the reservation.
func (e Expiry) Fence() uint64 { return e.reservation.Fence() }

// Tokens returns the memory that was reserved, in tokens.
func (e Expiry) Tokens() int64 { return e.reservation.Tokens() }

// Started reports whether the work may have reached the engine.
func (e Expiry) Started() bool { return e.reservation.Started() }

// Reason returns why the reservation ended.
func (e Expiry) Reason() Reason { return e.reason }

// Controller admits or refuses work for one backend server.
type Controller struct {
	mu               sync.Mutex
	cfg              Config
	ledger           *pwmemory.Ledger
	ramp             *pwwarmup.Ramp
	claim            claim
	retryDelay       retryDelay
	inService        bool
	draining         bool
	memoryGuarantees classAmounts
}

// New returns a controller that is in service, has no reservations and starts with
// a cold warm-up ramp.
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
		ramp:             pwwarmup.New(cfg.WarmUp, now),
		inService:        true,
		memoryGuarantees: divideMemory(cfg.MemoryTokens, cfg.MemoryPercent),
	}
}

// admissionRequest is the common form of an attempt and a group member.
type admissionRequest struct {
	params pwmemory.Params
	// claimID and admittedAt stay the same over all attempts of one request.
	claimID    string
	admittedAt time.Time
}

// Reconfigure applies new guarantees of the length classes, bounds on attempts,
// warm-up settings and owner timeout. The memory size is a property of the server
// and does not change. Admitted work stays admitted.
func (c *Controller) Reconfigure(now time.Time, cfg Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cfg.MemoryTokens = c.cfg.MemoryTokens
	cfg = cfg.withDefaults()
	c.cfg.MemoryPercent, c.cfg.SlotPercent, c.cfg.MaxLong = cfg.MemoryPercent, cfg.SlotPercent, cfg.MaxLong
	c.cfg.FullBound, c.cfg.StartBound, c.cfg.WarmUp = cfg.FullBound, cfg.StartBound, cfg.WarmUp
	c.ledger.SetOwnerTimeout(cfg.OwnerTimeout)
	c.memoryGuarantees = divideMemory(c.cfg.MemoryTokens, c.cfg.MemoryPercent)
	c.ramp.Reconfigure(now, c.cfg.WarmUp)
}

// Admit accepts an attempt or refuses it. The error is a *pwverdict.Error. A
// duplicate message returns the existing grant. A message of an attempt that was
// refused or has ended is refused with CauseStaleFence, and with the verdict
// MayHaveRun if the attempt had started, so a retry needs a new attempt identifier.
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
	return c.reserve(now, admissionRequest{
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

// ReserveMember accepts a group member or refuses it, like Admit. A newer round
// replaces the reservation that the group made in an older round.
func (c *Controller) ReserveMember(now time.Time, m GroupMember) (Grant, error) {
	if m.GroupID == "" || m.Round == 0 {
		return Grant{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "group member has no identifier or round")
	}
	return c.reserve(now, admissionRequest{
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

// reserve returns the existing reservation of a duplicate, makes a new one, or
// records the refusal.
func (c *Controller) reserve(now time.Time, a admissionRequest) (Grant, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, stale := c.ledger.FindDuplicate(now, a.params)
	switch {
	case stale != nil:
		return Grant{}, stale
	case held != nil:
		return newGrant(held, true), nil
	}
	if err := c.checkAdmission(now, a); err != nil {
		c.ledger.RecordRefusal(now, a.params)
		return Grant{}, err
	}
	r, err := c.ledger.Reserve(now, a.params)
	if err != nil {
		c.ledger.RecordRefusal(now, a.params)
		return Grant{}, err
	}
	c.claim.clearFor(a)
	return newGrant(r, false), nil
}

func newGrant(r *pwmemory.Reservation, duplicate bool) Grant {
	return Grant{
		fence:     r.Fence(),
		tokens:    r.Tokens(),
		duplicate: duplicate,
	}
}

// checkAdmission returns the reason to refuse a, or nil. A refused long request
// leaves a claim.
func (c *Controller) checkAdmission(now time.Time, a admissionRequest) *pwverdict.Error {
	p := a.params
	if !c.inService || c.draining {
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
	if n := memory.maxAmount(p.Class); p.Tokens > n {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, a %s attempt can have at most %d", p.Tokens, p.Class, n)
	}
	if c.hasIsolatedAttempt() {
		return c.retryableError(pwverdict.CauseConcurrencyFull, "an isolated attempt is running")
	}
	if p.Class == pwrequest.Long && slots.used[pwrequest.Long]+slots.claimed >= int64(c.cfg.MaxLong) {
		c.claim.recordRefusal(now, c.cfg.ClaimTimeout, a)
		return c.retryableError(pwverdict.CauseClassFull, "long attempts are at their bound of %d", c.cfg.MaxLong)
	}
	if f := slots.checkFit(p.Class, 1); f != fitOK {
		c.claim.recordRefusal(now, c.cfg.ClaimTimeout, a)
		if slots.limit < int64(c.ramp.FullBound()) {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseWarmingUp,
				"warming up, bound is %d attempts", slots.limit).WithRetryAfter(c.retryDelay.clamp(c.ramp.TimeToNextIncrease(now)))
		}
		return c.fitError(f, pwverdict.CauseConcurrencyFull, "attempts", slots.limit)
	}
	if f := memory.checkFit(p.Class, p.Tokens); f != fitOK {
		c.claim.recordRefusal(now, c.cfg.ClaimTimeout, a)
		return c.fitError(f, pwverdict.CauseMemoryFull, "tokens", memory.limit)
	}
	return nil
}

// checkIsolated is checkAdmission for an isolated attempt.
func (c *Controller) checkIsolated(p pwmemory.Params) *pwverdict.Error {
	switch {
	case p.Tokens > c.cfg.MemoryTokens:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, the engine has %d", p.Tokens, c.cfg.MemoryTokens)
	case c.ledger.TotalUsage().Count > 0:
		return c.retryableError(pwverdict.CauseNotIsolated, "an isolated attempt needs an empty server, %d reservations are held", c.ledger.TotalUsage().Count)
	}
	return nil
}

func (c *Controller) hasIsolatedAttempt() bool { return c.ledger.IsolatedCount() > 0 }

// resources returns the state of memory and slots for the decision about a. The
// reservation of an older round of the same group and the request's own claim do
// not count as used.
func (c *Controller) resources(now time.Time, a admissionRequest) (memory, slots resource) {
	bound := c.ramp.Bound(now)
	memory = resource{
		limit:      c.cfg.MemoryTokens,
		guaranteed: c.memoryGuarantees,
	}
	slots = resource{
		limit:      int64(bound),
		guaranteed: divideSlots(bound, c.cfg.SlotPercent),
	}
	for i := range pwrequest.ClassCount {
		u := c.ledger.ClassUsage(pwrequest.Class(i))
		memory.used[i], slots.used[i] = u.Tokens, int64(u.Count)
	}
	if older := c.ledger.Lookup(a.params.Key); older != nil {
		memory.used[older.Class()] -= older.Tokens()
		slots.used[older.Class()]--
	}
	cl := c.claim.activeFor(now, a)
	if cl == nil || (a.params.Class != pwrequest.Long && !c.claimCoversShorterClasses(now, cl, memory)) {
		return memory, slots
	}
	memory.claimed, slots.claimed = cl.params.Tokens, 1
	return memory, slots
}

// claimCoversShorterClasses reports whether a claim also applies to short and
// medium attempts. It does once the request has waited for ClaimAge and only short
// and medium attempts have to end to make room for it. While the claim also waits
// for long work, which may take minutes, space kept free from short and medium
// work would be wasted.
func (c *Controller) claimCoversShorterClasses(now time.Time, cl *claim, memory resource) bool {
	long := memory.used[pwrequest.Long]
	return now.Sub(cl.admittedAt) >= c.cfg.ClaimAge &&
		c.ledger.ClassUsage(pwrequest.Long).Count < c.cfg.MaxLong && cl.params.Tokens+long <= memory.maxAmount(pwrequest.Long)
}

// fitError returns the refusal for a failed fit. The given cause applies when the
// resource is exhausted.
func (c *Controller) fitError(f fitResult, cause pwverdict.Cause, unit string, limit int64) *pwverdict.Error {
	switch f {
	case fitGuaranteed:
		return c.retryableError(pwverdict.CauseClassFull, "the free %s are guaranteed to other length classes", unit)
	case fitClaimed:
		return c.retryableError(pwverdict.CauseClassFull, "the free %s are kept for an older request", unit)
	default:
		return c.retryableError(cause, "all %d %s are in use", limit, unit)
	}
}

// retryableError returns a refusal that advises the current retry delay.
func (c *Controller) retryableError(cause pwverdict.Cause, format string, args ...any) *pwverdict.Error {
	return pwverdict.New(pwverdict.NotRun, cause, format, args...).WithRetryAfter(c.retryDelay.current())
}

// Release ends an attempt's reservation. It returns false when the fencing token
// is not current, so that late and duplicate messages have no effect.
func (c *Controller) Release(now time.Time, id pwrequest.AttemptID, fence uint64) bool {
	return c.release(now, pwmemory.AttemptKey(id), fence)
}

// ReleaseMember ends a group member's reservation, like Release.
func (c *Controller) ReleaseMember(now time.Time, id pwmemory.GroupID, fence uint64) bool {
	return c.release(now, pwmemory.MemberKey(id), fence)
}

func (c *Controller) release(now time.Time, k pwmemory.Key, fence uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Release(now, k, fence) == nil {
		return false
	}
	c.retryDelay.recordRelease(now)
	return true
}

// CancelMember ends every round of a group up to the given one. Messages of these
// rounds that arrive later are refused until the given time. A coordinator uses it
// when the reply with the fencing token was lost. It reports whether a reservation
// was held.
func (c *Controller) CancelMember(now time.Time, id pwmemory.GroupID, round uint64, until time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger.Cancel(now, pwmemory.MemberKey(id), round, until) == nil {
		return false
	}
	c.retryDelay.recordRelease(now)
	return true
}

// MarkStarted records that an attempt is about to be sent to the engine. False
// means that the reservation has ended and the attempt must not be sent.
func (c *Controller) MarkStarted(_ time.Time, id pwrequest.AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.MarkStarted(pwmemory.AttemptKey(id))
}

// RecordFirstToken records that the first token of an attempt arrived d after the
// attempt was sent to the engine. The prompt no longer counts as pending prefill,
// and d is compared with the times of attempts that had as much prefill ahead of
// them, so that a queue of prompts does not look like a cold server. A caller that
// uses it needs neither MarkPrefilled nor ObserveFirstToken.
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

// RecordHeartbeat records that an owner is alive. It has no effect on an owner
// without reservations.
func (c *Controller) RecordHeartbeat(now time.Time, owner pwrequest.InstanceID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ledger.RecordHeartbeat(now, owner)
}

// Expire reclaims the reservations whose deadline has passed. It also reclaims
// those of owners whose heartbeats stopped, if the attempt has not started or the
// reservation belongs to a group. The caller cancels their work on the engine.
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
			reservation: e.Reservation(),
			reason:      reason,
		})
		c.retryDelay.recordRelease(now)
	}
	return out
}

// ObserveFirstToken records the time to the first token of a prompt of which
// promptTokens had to be prefilled. RecordFirstToken also accounts for the prefill
// that was pending before the prompt.
func (c *Controller) ObserveFirstToken(now time.Time, promptTokens int64, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp.ObserveFirstToken(now, promptTokens, d)
}

// ObserveStep records the time of one decoding step.
func (c *Controller) ObserveStep(now time.Time, d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ramp.ObserveStep(now, d)
}

// HandleEngineRestart ends all reservations, because the engine lost its memory,
// and restarts the warm-up ramp. It returns the reservations that ended.
func (c *Controller) HandleEngineRestart(now time.Time) []Expiry {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Expiry
	for _, r := range c.ledger.Reset(now) {
		out = append(out, Expiry{
			reservation: r,
			reason:      ReasonEngineRestarted,
		})
	}
	c.ramp.Restart(now)
	return out
}

// SetInService takes the server out of service, so that it refuses new work, or
// brings it back, which restarts the warm-up ramp. A repeated call has no effect.
func (c *Controller) SetInService(now time.Time, inService bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if inService && !c.inService {
		c.ramp.Restart(now)
	}
	c.inService = inService
}

// Drain makes the controller refuse new work until the process ends.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// Load returns the server's load at the given time.
func (c *Controller) Load(now time.Time) Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Load{
		running:        c.ledger.TotalUsage().Count,
		runningBound:   c.ramp.Bound(now),
		reservedTokens: c.ledger.TotalUsage().Tokens,
		memoryTokens:   c.cfg.MemoryTokens,
		prefillTokens:  c.ledger.PendingPrefillTokens(),
		inService:      c.inService && !c.draining,
		coldDetections: c.ramp.ColdDetections(),
	}
	for i := range l.runningByClass {
		l.runningByClass[i] = c.ledger.ClassUsage(pwrequest.Class(i)).Count
	}
	return l
}

// Load is a snapshot of the server's load.
type Load struct {
	running        int
	runningBound   int
	reservedTokens int64
	memoryTokens   int64
	prefillTokens  [pwrequest.ClassCount]int64
	runningByClass [pwrequest.ClassCount]int
	inService      bool
	coldDetections int
}

// Running returns the number of admitted attempts and group members.
func (l Load) Running() int { return l.running }

// RunningBound returns the current bound on Running, which is lower while the
// server warms up.
func (l Load) RunningBound() int { return l.runningBound }

// ReservedTokens returns the reserved memory in tokens.
func (l Load) ReservedTokens() int64 { return l.reservedTokens }

// MemoryTokens returns the engine's memory in tokens.
func (l Load) MemoryTokens() int64 { return l.memoryTokens }

// RunningByClass returns the part of Running in one length class. Group members
// count as long.
func (l Load) RunningByClass(c pwrequest.Class) int { return l.runningByClass[c] }

// PendingPrefillTokens returns the prompt tokens of the attempts that have no
// first token yet, by length class. Group members are not included.
func (l Load) PendingPrefillTokens() [pwrequest.ClassCount]int64 { return l.prefillTokens }

// InService reports whether the server accepts new work.
func (l Load) InService() bool { return l.inService }

// ColdDetections returns how often the server was found to have become cold.
func (l Load) ColdDetections() int { return l.coldDetections }

// claim is the oldest refused long attempt or group member. Until it expires,
// younger long work cannot take the space that the claim needs. From the age
// ClaimAge on, short and medium attempts beyond their guarantees cannot either.
type claim struct {
	admissionRequest
	expiresAt time.Time
}

// precedes reports whether a has precedence over b: the older request does.
func (a admissionRequest) precedes(b admissionRequest) bool {
	return cmp.Or(a.admittedAt.Compare(b.admittedAt), cmp.Compare(a.claimID, b.claimID)) < 0
}

// recordRefusal makes a the active claim if a is long and older than the active one.
// A repeated refusal of the same request renews its claim.
func (c *claim) recordRefusal(now time.Time, timeout time.Duration, a admissionRequest) {
	if a.params.Class != pwrequest.Long {
		return
	}
	if now.Before(c.expiresAt) && a.claimID != c.claimID && c.precedes(a) {
		return
	}
	c.admissionRequest = a
	c.expiresAt = now.Add(timeout)
}

// clearFor ends the claim if it belongs to the admitted request a.
func (c *claim) clearFor(a admissionRequest) {
	if a.claimID == c.claimID {
		*c = claim{}
	}
}

// activeFor returns the claim that applies to a, or nil. Only older claims apply
// to long work.
func (c *claim) activeFor(now time.Time, a admissionRequest) *claim {
	if !now.Before(c.expiresAt) || a.claimID == c.claimID || (a.params.Class == pwrequest.Long && a.precedes(c.admissionRequest)) {
		return nil
	}
	return c
}

// retryDelay computes the advised delay of a retry: the mean time between
// releases, after which space has probably become free.
type retryDelay struct {
	lastRelease  time.Time
	meanInterval time.Duration
}

const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// intervalWeight divides the difference between a new interval and the mean
	// interval before it is added to the mean.
	intervalWeight = 4
)

// recordRelease updates the mean interval with an exponential moving average.
func (d *retryDelay) recordRelease(now time.Time) {
	if !d.lastRelease.IsZero() && now.After(d.lastRelease) {
		d.meanInterval += (min(now.Sub(d.lastRelease), maxRetryDelay) - d.meanInterval) / intervalWeight
	}
	d.lastRelease = now
}

func (d *retryDelay) current() time.Duration { return d.clamp(d.meanInterval) }

func (d *retryDelay) clamp(delay time.Duration) time.Duration {
	return min(max(delay, minRetryDelay), maxRetryDelay)
}
