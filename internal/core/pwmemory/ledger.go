// Package pwmemory keeps the ledger of one engine's memory, counted in tokens.
// Each reservation has an owner, a deadline and a fencing token that only
// increases, so that lost, late and repeated messages cannot leak memory or
// release it twice.
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
	// DefaultOwnerTimeout is the time without a sign of life after which an
	// owner counts as dead.
	DefaultOwnerTimeout = 10 * time.Second
	// DefaultMaxHoldTime is the longest time that a reservation is held.
	DefaultMaxHoldTime = 24 * time.Hour
	// DefaultMaxEndedRecords is the number of ended reservations remembered. It covers
	// 80 attempts a second with deadlines of 100 s.
	DefaultMaxEndedRecords = 8192
)

// Config sets the size and the time limits of a ledger. Zero values take the
// defaults.
type Config struct {
	// MemoryTokens is the engine's memory, in tokens.
	MemoryTokens int64
	// OwnerTimeout is the time without a sign of life after which an owner
	// counts as dead.
	OwnerTimeout time.Duration
	// MaxHoldTime bounds the time from reservation to deadline.
	MaxHoldTime time.Duration
	// MaxEndedRecords is the number of ended reservations remembered so that a late
	// duplicate does not reserve again.
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

// Key identifies a reservation: an attempt, or this server's member of a group.
type Key struct {
	attempt pwrequest.AttemptID
	group   GroupID
}

// AttemptKey returns the key of an attempt.
func AttemptKey(id pwrequest.AttemptID) Key { return Key{attempt: id} }

// MemberKey returns the key of a group's member on this server.
func MemberKey(id GroupID) Key { return Key{group: id} }

// AttemptID returns the attempt identifier, or "" for a group member.
func (k Key) AttemptID() pwrequest.AttemptID { return k.attempt }

// GroupID returns the group identifier, or "" for an attempt.
func (k Key) GroupID() GroupID { return k.group }

// IsMember reports whether k belongs to a group.
func (k Key) IsMember() bool { return k.group != "" }

// Params lists the fields of a new reservation.
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
	Deadline     time.Time
	Isolated     bool
}

// Reservation is memory held for an attempt or a group member. After its end it
// stays readable.
type Reservation struct {
	p         Params
	fence     uint64
	ahead     int64
	started   bool
	prefilled bool
}

// Key returns what the reservation is for.
func (r *Reservation) Key() Key { return r.p.Key }

// Round returns the round of a group member's reservation.
func (r *Reservation) Round() uint64 { return r.p.Round }

// Owner returns the instance that drives the work.
func (r *Reservation) Owner() pwrequest.InstanceID { return r.p.Owner }

// Class returns the length class that the reservation counts for.
func (r *Reservation) Class() pwrequest.Class { return r.p.Class }

// Tokens returns the reserved memory.
func (r *Reservation) Tokens() int64 { return r.p.Tokens }

// Deadline returns the time at which the reservation is reclaimed.
func (r *Reservation) Deadline() time.Time { return r.p.Deadline }

// Isolated reports whether the work must run alone.
func (r *Reservation) Isolated() bool { return r.p.Isolated }

// Fence returns the fencing token.
func (r *Reservation) Fence() uint64 { return r.fence }

// PrefillAhead returns the prompt tokens that were waiting for prefill at the
// time of the reservation, its own included. Longer classes are left out, since
// their prefill gives way.
func (r *Reservation) PrefillAhead() int64 { return r.ahead }

// Started reports whether the work may have reached the engine. Start is called
// for attempts only, so that it is false for group members.
func (r *Reservation) Started() bool { return r.started }

// Reason says why a reservation was reclaimed.
type Reason uint8

// Reasons of an expiry.
const (
	// ReasonDeadline means that the deadline has passed.
	ReasonDeadline Reason = iota
	// ReasonOwnerLost means that the owner stopped responding.
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

// Reason returns why it was reclaimed.
func (e Expiry) Reason() Reason { return e.reason }

// Usage counts the reservations of one class.
type Usage struct {
	Count  int
	Tokens int64
}

type owner struct {
	lastSeen time.Time
	held     int
}

// Ledger holds the reservations of one engine.
type Ledger struct {
	cfg     Config
	fence   uint64
	held    map[Key]*Reservation
	owners  map[pwrequest.InstanceID]owner
	byClass [pwrequest.ClassCount]Usage
	total   Usage
	prefill [pwrequest.ClassCount]int64
	// isolated counts the isolated reservations.
	isolated int
	ended    *endedSet
	// refused is apart from ended, so that a burst of refusals does not push out
	// what has ended.
	refused *endedSet
}

// New returns an empty ledger. Fencing tokens start at the Unix time of now in
// microseconds, so that those of an earlier process on the same server are
// smaller unless it granted more than a million reservations a second.
func New(cfg Config, now time.Time) *Ledger {
	cfg = cfg.withDefaults()
	return &Ledger{
		cfg:     cfg,
		fence:   uint64(max(0, now.UnixMicro())),
		held:    map[Key]*Reservation{},
		owners:  map[pwrequest.InstanceID]owner{},
		ended:   newEndedSet(cfg.MaxEndedRecords),
		refused: newEndedSet(cfg.MaxEndedRecords),
	}
}

// FindDuplicate returns the reservation of p.Key when p is a duplicate of the message
// that made it. It returns an error when the reservation has ended or was
// refused, or when a newer round of the group is held; both nil means that p is
// new. The verdict of an ended reservation that had started is MayHaveRun.
func (l *Ledger) FindDuplicate(now time.Time, p Params) (*Reservation, *pwverdict.Error) {
	if r := l.held[p.Key]; r != nil {
		switch {
		case r.p.Round == p.Round:
			return r, nil
		case r.p.Round > p.Round:
			return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
				"group round %d is older than the reserved round %d", p.Round, r.p.Round)
		}
		return nil, nil
	}
	if e, ok := l.ended.get(now, p.Key); ok && p.Round <= e.round {
		verdict := pwverdict.NotRun
		if e.started {
			verdict = pwverdict.MayHaveRun
		}
		return nil, pwverdict.New(verdict, pwverdict.CauseStaleFence, "the reservation has already ended")
	}
	if e, ok := l.refused.get(now, p.Key); ok && p.Round <= e.round {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "the reservation was already refused")
	}
	return nil, nil
}

// RecordRefusal remembers that p was refused, so that a message of it that arrives
// again finds the same answer: a refusal that says not_run must stay true, and
// nobody would release what a late duplicate reserves.
func (l *Ledger) RecordRefusal(now time.Time, p Params) {
	l.refused.add(now, p.Key, ended{
		round: p.Round,
		until: l.bounded(now, p.Deadline),
	})
}

// bounded limits a deadline to MaxHold from now.
func (l *Ledger) bounded(now, deadline time.Time) time.Time {
	if limit := now.Add(l.cfg.MaxHoldTime); deadline.After(limit) {
		return limit
	}
	return deadline
}

// Reserve takes memory for p. A duplicate returns the reservation that is held.
// A newer round of a group replaces the older one.
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
	older := l.held[p.Key]
	if older != nil {
		free += older.p.Tokens
	}
	if p.Tokens > free {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"needs %d tokens, %d are free", p.Tokens, free)
	}
	if older != nil {
		// The older round is remembered like any other end: its deadline may be
		// later than that of the newer round.
		l.end(now, older)
	}
	p.Deadline = l.bounded(now, p.Deadline)
	l.fence++
	r := &Reservation{
		p:     p,
		fence: l.fence,
	}
	l.held[p.Key] = r
	l.count(r, 1)
	l.prefill[p.Class] += p.PromptTokens
	for _, n := range l.prefill[:p.Class+1] {
		r.ahead += n
	}
	o := l.owners[p.Owner]
	o.held++
	o.lastSeen = later(o.lastSeen, now)
	l.owners[p.Owner] = o
	return r, nil
}

// Release ends the reservation of k when fence is its fencing token. It returns
// nil for late and repeated messages.
func (l *Ledger) Release(now time.Time, k Key, fence uint64) *Reservation {
	r := l.held[k]
	if r == nil || r.fence != fence {
		return nil
	}
	l.end(now, r)
	return r
}

// Cancel ends every round of k up to round, including those whose message has
// not arrived yet; these are refused until the given time. It returns the
// reservation that was held, or nil.
func (l *Ledger) Cancel(now time.Time, k Key, round uint64, until time.Time) *Reservation {
	r := l.held[k]
	if r != nil && r.p.Round > round {
		return nil
	}
	if r != nil {
		l.end(now, r)
	}
	l.ended.add(now, k, ended{
		round:   round,
		until:   l.bounded(now, until),
		started: r != nil && r.started,
	})
	return r
}

// MarkStarted records that the work of k is about to be sent to the engine. False
// means that the reservation has ended and the work must not be sent.
func (l *Ledger) MarkStarted(k Key) bool {
	r := l.held[k]
	if r == nil {
		return false
	}
	r.started = true
	return true
}

// MarkPrefilled records that the prompt of k needs no more prefill. It returns
// the reservation the first time, and nil otherwise.
func (l *Ledger) MarkPrefilled(k Key) *Reservation {
	r := l.held[k]
	if r == nil || r.prefilled {
		return nil
	}
	r.prefilled = true
	l.prefill[r.p.Class] -= r.p.PromptTokens
	return r
}

// SetOwnerTimeout puts another time without a sign of life in force; 0 takes the
// default.
func (l *Ledger) SetOwnerTimeout(d time.Duration) {
	l.cfg.OwnerTimeout = cmp.Or(d, DefaultOwnerTimeout)
}

// RecordHeartbeat records a sign of life of an owner.
func (l *Ledger) RecordHeartbeat(now time.Time, id pwrequest.InstanceID) {
	if o, ok := l.owners[id]; ok {
		o.lastSeen = later(o.lastSeen, now)
		l.owners[id] = o
	}
}

// Expire reclaims the reservations whose deadline has passed, and those of dead
// owners that have not started or belong to a group. Work of a dead owner that
// has started runs on, so that another instance can read its response. The
// result is in the order of fencing tokens.
func (l *Ledger) Expire(now time.Time) []Expiry {
	var out []Expiry
	for _, r := range l.held {
		switch {
		case !now.Before(r.p.Deadline):
			out = append(out, Expiry{
				reservation: r,
				reason:      ReasonDeadline,
			})
		case now.Sub(l.owners[r.p.Owner].lastSeen) >= l.cfg.OwnerTimeout && (!r.started || r.p.Key.IsMember()):
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

// Reset ends all reservations, because the engine lost its memory. The result
// is in the order of fencing tokens.
func (l *Ledger) Reset(now time.Time) []*Reservation {
	out := make([]*Reservation, 0, len(l.held))
	for _, r := range l.held {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Reservation) int { return cmp.Compare(a.fence, b.fence) })
	for _, r := range out {
		l.end(now, r)
	}
	return out
}

// MemoryTokens returns the size of the engine's memory.
func (l *Ledger) MemoryTokens() int64 { return l.cfg.MemoryTokens }

// FreeTokens returns the tokens that are not reserved.
func (l *Ledger) FreeTokens() int64 { return l.cfg.MemoryTokens - l.total.Tokens }

// TotalUsage counts all reservations.
func (l *Ledger) TotalUsage() Usage { return l.total }

// ClassUsage counts the reservations of one class.
func (l *Ledger) ClassUsage(c pwrequest.Class) Usage { return l.byClass[c] }

// IsolatedCount counts the isolated reservations.
func (l *Ledger) IsolatedCount() int { return l.isolated }

// PendingPrefillTokens returns the prompt tokens that still need prefill, by
// length class.
func (l *Ledger) PendingPrefillTokens() [pwrequest.ClassCount]int64 { return l.prefill }

// Lookup returns the reservation of k, or nil.
func (l *Ledger) Lookup(k Key) *Reservation { return l.held[k] }

// end removes r and remembers it until its deadline; a later duplicate is
// refused because its deadline has passed.
func (l *Ledger) end(now time.Time, r *Reservation) {
	l.remove(r)
	l.ended.add(now, r.p.Key, ended{
		round:   r.p.Round,
		until:   r.p.Deadline,
		started: r.started,
	})
}

func (l *Ledger) remove(r *Reservation) {
	delete(l.held, r.p.Key)
	l.count(r, -1)
	if !r.prefilled {
		l.prefill[r.p.Class] -= r.p.PromptTokens
	}
	o := l.owners[r.p.Owner]
	o.held--
	if o.held == 0 {
		delete(l.owners, r.p.Owner)
		return
	}
	l.owners[r.p.Owner] = o
}

func (l *Ledger) count(r *Reservation, sign int) {
	for _, u := range []*Usage{&l.total, &l.byClass[r.p.Class]} {
		u.Count += sign
		u.Tokens += int64(sign) * r.p.Tokens
	}
	if r.p.Isolated {
		l.isolated += sign
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
