// Package pwmemory keeps a ledger of the reservations of one engine's memory,
// counted in tokens. Each reservation has an owner, a deadline and a monotonically
// increasing fencing token, so that lost, late and duplicate messages cannot leak
// memory or release it twice.
//
// # Usage
//
//	l := pwmemory.New(pwmemory.Config{MemoryTokens: 400_000}, now)
//	r, err := l.Reserve(now, pwmemory.Params{
//		Key:      pwmemory.AttemptKey("att-1"),
//		Owner:    "entry-1",
//		Class:    pwrequest.Short,
//		Tokens:   1456,
//		Deadline: now.Add(time.Minute),
//	})
//	...
//	l.Release(now, r.Key(), r.Fence())
//	for _, e := range l.Expire(now) {
//		// cancel the work of e.Reservation() on the engine
//	}
//
// A Ledger is not safe for concurrent use.
package pwmemory

import (
	"cmp"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Defaults of Config.
const (
	// DefaultMemoryTokens is the memory of one engine, in tokens.
	DefaultMemoryTokens = 400_000
	// DefaultOwnerTimeout is the time without a heartbeat after which an owner
	// counts as dead.
	DefaultOwnerTimeout = 10 * time.Second
	// DefaultMaxHoldTime is the longest time that a reservation is held.
	DefaultMaxHoldTime = 24 * time.Hour
	// DefaultMaxEndedRecords is the number of records of ended reservations kept.
	// It covers 80 attempts a second with deadlines of 100 s.
	DefaultMaxEndedRecords = 8192
)

// Config sets the size and the time limits of a ledger. Zero values take the
// defaults.
type Config struct {
	// MemoryTokens is the engine's memory, in tokens.
	MemoryTokens int64
	// OwnerTimeout is the time without a heartbeat after which an owner counts as
	// dead.
	OwnerTimeout time.Duration
	// MaxHoldTime is the longest time from reservation to deadline.
	MaxHoldTime time.Duration
	// MaxEndedRecords is the number of records of ended reservations kept, so that
	// a late duplicate of a message does not reserve again. The same number of
	// records is kept of refused reservations.
	MaxEndedRecords int
}

func (c Config) withDefaults() Config {
	c.MemoryTokens = cmp.Or(c.MemoryTokens, DefaultMemoryTokens)
	c.OwnerTimeout = cmp.Or(c.OwnerTimeout, DefaultOwnerTimeout)
	c.MaxHoldTime = cmp.Or(c.MaxHoldTime, DefaultMaxHoldTime)
	c.MaxEndedRecords = cmp.Or(c.MaxEndedRecords, DefaultMaxEndedRecords)
	return c
}

// GroupID identifies a group of engines that serve one prompt together.
type GroupID string

// Key identifies a reservation by its attempt or, for a member on this server, by
// its group.
type Key struct {
	attempt pwrequest.AttemptID
	group   GroupID
}

// AttemptKey returns the key of an attempt.
func AttemptKey(id pwrequest.AttemptID) Key { return Key{attempt: id} }

// MemberKey returns the key of the group member on this server.
func MemberKey(id GroupID) Key { return Key{group: id} }

// AttemptID returns the attempt identifier, or "" for a group member.
func (k Key) AttemptID() pwrequest.AttemptID { return k.attempt }

// GroupID returns the group identifier, or "" for an attempt.
func (k Key) GroupID() GroupID { return k.group }

// IsMember reports whether k is the key of a group member.
func (k Key) IsMember() bool { return k.group != "" }

// Params describes a reservation to make.
type Params struct {
	Key Key
	// Round orders the reservations of one group on this server. Attempts use 0.
	Round uint64
	Owner pwrequest.InstanceID
	Class pwrequest.Class
	// Tokens is the memory to reserve.
	Tokens int64
	// PromptTokens is the part of the work that needs prefill.
	PromptTokens int64
	// Deadline is the time at which the reservation is reclaimed.
	Deadline time.Time
	// Isolated marks work that must not run together with other work. The ledger only
	// counts these reservations.
	Isolated bool
}

// Reservation is memory held for an attempt or a group member. It can still be
// read after it has ended.
type Reservation struct {
	params       Params
	fence        uint64
	prefillAhead int64
	started      bool
	prefilled    bool
}

// Key returns the attempt or group that the reservation is for.
func (r *Reservation) Key() Key { return r.params.Key }

// Round returns the round of a group member's reservation, or 0 for an attempt.
func (r *Reservation) Round() uint64 { return r.params.Round }

// Owner returns the instance that handles the work.
func (r *Reservation) Owner() pwrequest.InstanceID { return r.params.Owner }

// Class returns the length class that the reservation counts for.
func (r *Reservation) Class() pwrequest.Class { return r.params.Class }

// Tokens returns the reserved memory in tokens.
func (r *Reservation) Tokens() int64 { return r.params.Tokens }

// Deadline returns the time at which the reservation is reclaimed.
func (r *Reservation) Deadline() time.Time { return r.params.Deadline }

// Isolated reports whether the work must run alone.
func (r *Reservation) Isolated() bool { return r.params.Isolated }

// Fence returns the fencing token.
func (r *Reservation) Fence() uint64 { return r.fence }

// PrefillAhead returns the prompt tokens that were pending for prefill at the time
// of the reservation, its own included. Those of longer classes do not count,
// because their prefill yields to shorter ones.
func (r *Reservation) PrefillAhead() int64 { return r.prefillAhead }

// Started reports whether the work may have reached the engine. It is false for
// group members, because MarkStarted is called for attempts only.
func (r *Reservation) Started() bool { return r.started }

// Reason is why a reservation was reclaimed.
type Reason uint8

// Reasons of an expiry.
const (
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = iota
	// ReasonOwnerLost means that the owner's heartbeats stopped.
	ReasonOwnerLost
)

// String returns the name used in logs.
func (r Reason) String() string {
	if r == ReasonOwnerLost {
		return "owner_lost"
	}
	return "deadline"
}

// Expiry is a reservation that Expire reclaimed.
type Expiry struct {
	reservation *Reservation
	reason      Reason
}

// Reservation returns the reclaimed reservation.
func (e Expiry) Reservation() *Reservation { return e.reservation }

// Reason returns why the reservation was reclaimed.
func (e Expiry) Reason() Reason { return e.reason }

// Usage is the number of reservations and the memory that they hold.
type Usage struct {
	Count  int
	Tokens int64
}

// ownerState is the state of an owner that holds reservations.
type ownerState struct {
	lastSeen         time.Time
	reservationCount int
}

// Ledger holds the reservations of one engine.
type Ledger struct {
	cfg            Config
	fence          uint64
	reservations   map[Key]*Reservation
	owners         map[pwrequest.InstanceID]ownerState
	byClass        [pwrequest.ClassCount]Usage
	total          Usage
	pendingPrefill [pwrequest.ClassCount]int64
	// isolatedCount is the number of isolated reservations.
	isolatedCount int
	endedRecords  *endedSet
	// refusedRecords is separate from endedRecords, so that a burst of refusals
	// does not evict the records of ended reservations.
	refusedRecords *endedSet
}

// New returns an empty ledger. Fencing tokens start at the Unix time of now in
// microseconds, so that they are larger than those of an earlier process on the same
// server, unless that process granted more than a million reservations a second.
func New(cfg Config, now time.Time) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		cfg:            cfg,
		fence:          uint64(max(0, now.UnixMicro())),
		reservations:   map[Key]*Reservation{},
		owners:         map[pwrequest.InstanceID]ownerState{},
		endedRecords:   newEndedSet(cfg.MaxEndedRecords),
		refusedRecords: newEndedSet(cfg.MaxEndedRecords),
	}
}

// FindDuplicate returns the reservation of p.Key if p is a duplicate of the message
// that made it. It returns an error if the reservation has ended or was refused, or
// if a newer round of the group is held. Both results are nil if p is new. The
// verdict is MayHaveRun if the ended reservation had started.
func (l *Ledger) FindDuplicate(now time.Time, p Params) (*Reservation, *pwverdict.Error) {
	if r := l.reservations[p.Key]; r != nil {
		switch {
		case r.params.Round == p.Round:
			return r, nil
		case r.params.Round > p.Round:
			return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
				"group round %d is older than the reserved round %d", p.Round, r.params.Round)
		}
		return nil, nil
	}
	if e, ok := l.endedRecords.get(now, p.Key); ok && p.Round <= e.round {
		verdict := pwverdict.NotRun
		if e.started {
			verdict = pwverdict.MayHaveRun
		}
		return nil, pwverdict.New(verdict, pwverdict.CauseStaleFence, "the reservation has already ended")
	}
	if e, ok := l.refusedRecords.get(now, p.Key); ok && p.Round <= e.round {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "the reservation was already refused")
	}
	return nil, nil
}

// RecordRefusal records that p was refused, so that a late duplicate of its message
// is refused too. A refusal with the verdict not_run must stay true, and a
// reservation made by a late duplicate would never be released by its owner.
func (l *Ledger) RecordRefusal(now time.Time, p Params) {
	l.refusedRecords.add(now, p.Key, endedRecord{
		round:     p.Round,
		expiresAt: l.limitDeadline(now, p.Deadline),
	})
}

// limitDeadline returns the deadline, but no later than MaxHoldTime from now.
func (l *Ledger) limitDeadline(now, deadline time.Time) time.Time {
	if limit := now.Add(l.cfg.MaxHoldTime); deadline.After(limit) {
		return limit
	}
	return deadline
}

// Reserve reserves memory for p. For a duplicate it returns the existing
// reservation. A newer round of a group replaces the older one.
func (l *Ledger) Reserve(now time.Time, p Params) (*Reservation, *pwverdict.Error) {
	if r, err := l.FindDuplicate(now, p); r != nil || err != nil {
		return r, err
	}
	if p.Tokens <= 0 || p.PromptTokens < 0 {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"tokens must be positive, found %d (prompt %d)", p.Tokens, p.PromptTokens)
	}
	if !p.Deadline.After(now) {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "the deadline has passed")
	}
	free := l.FreeTokens()
	older := l.reservations[p.Key]
	if older != nil {
		free += older.params.Tokens
	}
	if p.Tokens > free {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, %d are free", p.Tokens, free)
	}
	if older != nil {
		// The end of the older round is recorded, because its deadline may be later
		// than that of the newer round.
		l.end(now, older)
	}
	p.Deadline = l.limitDeadline(now, p.Deadline)
	l.fence++
	r := &Reservation{
		params: p,
		fence:  l.fence,
	}
	l.reservations[p.Key] = r
	l.addUsage(r, 1)
	l.pendingPrefill[p.Class] += p.PromptTokens
	for _, n := range l.pendingPrefill[:p.Class+1] {
		r.prefillAhead += n
	}
	o := l.owners[p.Owner]
	o.reservationCount++
	o.lastSeen = latest(o.lastSeen, now)
	l.owners[p.Owner] = o
	return r, nil
}

// Release ends and returns the reservation of k if fence is its fencing token. It
// returns nil for late and duplicate messages.
func (l *Ledger) Release(now time.Time, k Key, fence uint64) *Reservation {
	r := l.reservations[k]
	if r == nil || r.fence != fence {
		return nil
	}
	l.end(now, r)
	return r
}

// Cancel ends every round of k up to the given one. Messages of these rounds that
// arrive later are refused until the given time. It returns the reservation that was
// held, or nil.
func (l *Ledger) Cancel(now time.Time, k Key, round uint64, until time.Time) *Reservation {
	r := l.reservations[k]
	if r != nil && r.params.Round > round {
		return nil
	}
	if r != nil {
		l.end(now, r)
	}
	l.endedRecords.add(now, k, endedRecord{
		round:     round,
		expiresAt: l.limitDeadline(now, until),
		started:   r != nil && r.started,
	})
	return r
}

// MarkStarted records that the work of k is about to be sent to the engine. False
// means that the reservation has ended and the work must not be sent.
func (l *Ledger) MarkStarted(k Key) bool {
	r := l.reservations[k]
	if r == nil {
		return false
	}
	r.started = true
	return true
}

// MarkPrefilled records that the prompt of k needs no more prefill. It returns the
// reservation on the first call, and nil otherwise.
func (l *Ledger) MarkPrefilled(k Key) *Reservation {
	r := l.reservations[k]
	if r == nil || r.prefilled {
		return nil
	}
	r.prefilled = true
	l.pendingPrefill[r.params.Class] -= r.params.PromptTokens
	return r
}

// SetOwnerTimeout changes the time without a heartbeat after which an owner counts
// as dead. Zero selects the default.
func (l *Ledger) SetOwnerTimeout(d time.Duration) {
	l.cfg.OwnerTimeout = cmp.Or(d, DefaultOwnerTimeout)
}

// RecordHeartbeat records that an owner is alive. It has no effect on an owner
// without reservations.
func (l *Ledger) RecordHeartbeat(now time.Time, id pwrequest.InstanceID) {
	if o, ok := l.owners[id]; ok {
		o.lastSeen = latest(o.lastSeen, now)
		l.owners[id] = o
	}
}

// Expire reclaims the reservations whose deadline has passed, and those of dead
// owners if they have not started or belong to a group. Started work of a dead owner
// keeps running, so that another instance can read its answer. The result is
// sorted by fencing token.
func (l *Ledger) Expire(now time.Time) []Expiry {
	var out []Expiry
	for _, r := range l.reservations {
		switch {
		case !now.Before(r.params.Deadline):
			out = append(out, Expiry{
				reservation: r,
				reason:      ReasonDeadline,
			})
		case now.Sub(l.owners[r.params.Owner].lastSeen) >= l.cfg.OwnerTimeout && (!r.started || r.params.Key.IsMember()):
			out = append(out, Expiry{
				reservation: r,
				reason:      ReasonOwnerLost,
			})
		}
	}
	slices.SortFunc(out, func(a, b Expiry) int { return cmp.Compare(a.reservation.fence, b.reservation.fence) })
	for _, e := range out {
		l.end(now, e.reservation)
	}
	return out
}

// Reset ends all reservations after the engine has lost its memory. The result is
// sorted by fencing token.
func (l *Ledger) Reset(now time.Time) []*Reservation {
	out := make([]*Reservation, 0, len(l.reservations))
	for _, r := range l.reservations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Reservation) int { return cmp.Compare(a.fence, b.fence) })
	for _, r := range out {
		l.end(now, r)
	}
	return out
}

// MemoryTokens returns the size of the engine's memory in tokens.
func (l *Ledger) MemoryTokens() int64 { return l.cfg.MemoryTokens }

// FreeTokens returns the number of tokens that are not reserved.
func (l *Ledger) FreeTokens() int64 { return l.cfg.MemoryTokens - l.total.Tokens }

// TotalUsage returns the usage by all reservations.
func (l *Ledger) TotalUsage() Usage { return l.total }

// ClassUsage returns the usage by the reservations of one class.
func (l *Ledger) ClassUsage(c pwrequest.Class) Usage { return l.byClass[c] }

// IsolatedCount returns the number of isolated reservations.
func (l *Ledger) IsolatedCount() int { return l.isolatedCount }

// PendingPrefillTokens returns the prompt tokens that still need prefill, by
// length class.
func (l *Ledger) PendingPrefillTokens() [pwrequest.ClassCount]int64 { return l.pendingPrefill }

// Lookup returns the reservation held for k, or nil.
func (l *Ledger) Lookup(k Key) *Reservation { return l.reservations[k] }

// end removes r and records its end until its deadline. A duplicate that arrives
// after that is refused because the deadline has passed.
func (l *Ledger) end(now time.Time, r *Reservation) {
	l.remove(r)
	l.endedRecords.add(now, r.params.Key, endedRecord{
		round:     r.params.Round,
		expiresAt: r.params.Deadline,
		started:   r.started,
	})
}

// remove takes r out of all counts without a record of its end.
func (l *Ledger) remove(r *Reservation) {
	delete(l.reservations, r.params.Key)
	l.addUsage(r, -1)
	if !r.prefilled {
		l.pendingPrefill[r.params.Class] -= r.params.PromptTokens
	}
	o := l.owners[r.params.Owner]
	o.reservationCount--
	if o.reservationCount == 0 {
		delete(l.owners, r.params.Owner)
		return
	}
	l.owners[r.params.Owner] = o
}

// addUsage adds r to the usage counts if sign is 1 and subtracts it if sign is -1.
func (l *Ledger) addUsage(r *Reservation, sign int) {
	for _, u := range []*Usage{&l.total, &l.byClass[r.params.Class]} {
		u.Count += sign
		u.Tokens += int64(sign) * r.params.Tokens
	}
	if r.params.Isolated {
		l.isolatedCount += sign
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
