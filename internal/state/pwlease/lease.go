// Package pwlease implements leases with fencing tokens. A lease is one row in the
// table that contains the holder, the expiry and a fencing token, which increases
// with every acquisition. The row is never deleted, so that no token is issued twice. If
// the table comes back from an older copy, an acquirer still issues tokens above all that
// it has read.
//
// # Usage
//
//	acquirer := pwlease.New(table, pwlease.Config{
//		Name:   "placement/lantern",
//		Holder: "entry-3",
//	})
//	lease, err := acquirer.Acquire(ctx)
//	...
//	if lease.Held(time.Now()) {
//		// send orders, each with lease.Token()
//	}
//	err = lease.Renew(ctx) // CauseStaleFence: another holder has the lease
//
// # Paused holders, lost replies and late writes
//
// A holder stops sending orders one clock margin before the lease expires. A holder
// that pauses between the check of the expiry and the order still sends the order
// late. The receivers of orders therefore reject old tokens; see Guard.
//
// Each acquisition writes a random identifier into the row. After a lost reply, the
// acquirer reads the row again, and only a row with that identifier confirms the
// acquisition. If the write of an acquisition takes effect after its caller gave up,
// the lease is blocked for one term, because no process holds it. If the write of a
// renewal takes effect late, only the row's expiry moves; the holder uses the expiry
// that was last confirmed. A write never takes effect after that of another holder,
// because every write states the row version that it expects.
package pwlease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Defaults of Config and limits.
const (
	// DefaultTerm is the time from an acquisition or renewal to the lease's expiry.
	DefaultTerm = 10 * time.Second
	// DefaultClockMargin is the largest difference between the clocks of two
	// holders at which they never both treat the lease as held.
	DefaultClockMargin = 2 * time.Second
	// DefaultTries is the largest number of writes that one operation sends.
	DefaultTries = 3
	// DefaultRetryDelay is the mean delay before the second retry. The first retry
	// follows without a delay.
	DefaultRetryDelay = 50 * time.Millisecond

	// keyPrefix is the prefix of the table keys of all lease rows.
	keyPrefix = "lease/"
	// acquisitionIDBytes is the size of the random identifier of an acquisition.
	acquisitionIDBytes = 16
)

// Table is the subset of the table service that leases use.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Config holds the settings of one lease. Zero durations and counts select
// the defaults.
type Config struct {
	// Name identifies the lease, for example "placement/lantern".
	Name string
	// Holder is the instance that acquires the lease. It is only shown to operators:
	// two processes with the same Holder still exclude each other.
	Holder pwrequest.InstanceID
	// Term is the time from an acquisition or renewal to the lease's expiry.
	Term time.Duration
	// ClockMargin is the time before the expiry at which the holder stops using the
	// lease. If it is not shorter than Term, half of Term is used instead.
	ClockMargin time.Duration
	// Tries is the largest number of writes that one operation sends.
	Tries int
	// RetryDelay is the mean delay before the second retry of an operation. It
	// doubles with each further retry.
	RetryDelay time.Duration
}

func (c Config) withDefaults() Config {
	if c.Term <= 0 {
		c.Term = DefaultTerm
	}
	if c.ClockMargin <= 0 {
		c.ClockMargin = DefaultClockMargin
	}
	if c.ClockMargin >= c.Term {
		c.ClockMargin = c.Term / 2
	}
	if c.Tries <= 0 {
		c.Tries = DefaultTries
	}
	if c.RetryDelay <= 0 {
		c.RetryDelay = DefaultRetryDelay
	}
	return c
}

// row is the stored form of a lease.
type row struct {
	Holder        pwrequest.InstanceID `json:"holder"`
	AcquisitionID string               `json:"acquisition_id"`
	Token         uint64               `json:"token"`
	// ExpiresAt is a wall-clock time without a monotonic reading, because the
	// monotonic clock may stop while an instance is suspended.
	ExpiresAt time.Time `json:"expires_at"`
}

// Acquirer acquires one named lease for one instance. It is safe for concurrent use.
type Acquirer struct {
	table Table
	cfg   Config
	// seenToken is the largest token that this acquirer has read or issued. The row may come back
	// from an older copy of the table.
	seenToken atomic.Uint64
}

// New returns an acquirer of the lease cfg.Name, which is stored in the given table.
func New(table Table, cfg Config) *Acquirer {
	return &Acquirer{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Term returns the time from an acquisition or renewal to the lease's expiry.
func (a *Acquirer) Term() time.Duration { return a.cfg.Term }

// Acquire takes the lease if it is free or expired. If another process holds it, the
// error has CauseConflict, and its retry delay is the time until the expiry. After an
// error with CauseUnavailable the caller does not hold the lease, even if the write
// takes effect later.
func (a *Acquirer) Acquire(ctx context.Context) (*Lease, error) {
	id := newAcquisitionID()
	last, err := a.updateRow(ctx, func(cur row) (row, bool, error) {
		if cur.AcquisitionID == id {
			return cur, false, nil
		}
		now := time.Now().Round(0)
		if remaining := cur.ExpiresAt.Sub(now); remaining > 0 {
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"lease %q is held by %q", a.cfg.Name, cur.Holder).WithRetryAfter(remaining)
		}
		return row{
			Holder:        a.cfg.Holder,
			AcquisitionID: id,
			Token:         a.seenToken.Load() + 1,
			ExpiresAt:     now.Add(a.cfg.Term),
		}, true, nil
	})
	if err != nil {
		return nil, err
	}
	a.recordToken(last.Token)
	return &Lease{
		acquirer: a,
		id:       id,
		token:    last.Token,
		expiry:   last.ExpiresAt,
	}, nil
}

// NewestToken reads the token of the latest acquisition from the table. It returns 0
// if there was none. A restarted agent initialises its Guard with it.
func (a *Acquirer) NewestToken(ctx context.Context) (uint64, error) {
	cur, _, err := a.readRow(ctx)
	return cur.Token, err
}

// Lease is one acquisition of a lease. It ends for good when it is released or another
// holder acquires the lease. It is safe for concurrent use.
type Lease struct {
	acquirer *Acquirer
	id       string
	token    uint64

	mu     sync.Mutex
	expiry time.Time
	lost   bool
}

// Token returns the fencing token, which stays the same when the lease is renewed.
func (l *Lease) Token() uint64 { return l.token }

// Expiry returns the last confirmed expiry. The clock margin is not subtracted.
func (l *Lease) Expiry() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiry
}

// Held reports whether the holder may use the lease at the given time. It does no I/O,
// so that a holder that was paused can check immediately whether it is too late.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lost && now.Round(0).Before(l.expiry.Add(-l.acquirer.cfg.ClockMargin))
}

// Renew extends the lease to one term from now. An error with CauseStaleFence means
// that the lease was released or taken by another holder; this acquisition can't be
// renewed any more. An expired lease is renewed if no other holder has taken it. After
// an error with CauseUnavailable the previous expiry remains in force.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	lost := l.lost
	l.mu.Unlock()
	if lost {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "lease %q was lost or released", l.acquirer.cfg.Name)
	}
	return l.writeExpiry(ctx, func(now time.Time) time.Time { return now.Add(l.acquirer.cfg.Term) })
}

// Release ends the lease, so that another process can acquire it immediately. Held
// returns false from the start of Release on, even if Release returns an error.
func (l *Lease) Release(ctx context.Context) error {
	l.markLost()
	return l.writeExpiry(ctx, func(now time.Time) time.Time { return now })
}

// writeExpiry writes a new expiry into the row if the row still belongs to this
// acquisition, and marks the lease as lost if it does not.
func (l *Lease) writeExpiry(ctx context.Context, computeExpiry func(now time.Time) time.Time) error {
	var newExpiry time.Time
	last, err := l.acquirer.updateRow(ctx, func(cur row) (row, bool, error) {
		if cur.AcquisitionID != l.id {
			l.markLost()
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
				"lease %q has token %d now; this holder has %d", l.acquirer.cfg.Name, cur.Token, l.token)
		}
		if !newExpiry.IsZero() && cur.ExpiresAt.Equal(newExpiry) {
			return cur, false, nil
		}
		if newExpiry.IsZero() {
			newExpiry = computeExpiry(time.Now().Round(0))
		}
		next := cur
		next.ExpiresAt = newExpiry
		return next, true, nil
	})
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expiry = last.ExpiresAt
	return nil
}

func (l *Lease) markLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// updateRow reads the row, passes it to decide and writes the row that decide
// returns. It returns the row after a confirmed write, or the row that was read if
// decide does not write. After a conflict or a lost reply it starts again with the
// read. The error has the verdict MayHaveRun if a write was sent whose outcome is
// not known.
func (a *Acquirer) updateRow(ctx context.Context, decide func(cur row) (next row, write bool, err error)) (row, error) {
	var lastErr error
	verdict := pwverdict.NotRun
	for try := 0; try <= a.cfg.Tries && ctx.Err() == nil; try++ {
		if try > 1 {
			a.waitBackoff(ctx, try-1)
		}
		cur, version, err := a.readRow(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		next, write, err := decide(cur)
		if err != nil || !write {
			return cur, err
		}
		if try == a.cfg.Tries {
			break
		}
		err = a.writeRow(ctx, next, version)
		if err == nil {
			return next, nil
		}
		lastErr = err
		if pwverdict.VerdictOf(err) != pwverdict.NotRun {
			verdict = pwverdict.MayHaveRun
		}
	}
	if lastErr == nil {
		lastErr = ctx.Err()
	}
	return row{}, pwverdict.Wrap(lastErr, verdict, pwverdict.CauseUnavailable, "lease %q could not be changed", a.cfg.Name)
}

func (a *Acquirer) readRow(ctx context.Context) (row, uint64, error) {
	stored, err := a.table.Get(ctx, keyPrefix+a.cfg.Name)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return row{}, 0, nil
	}
	if err != nil {
		return row{}, 0, err
	}
	var cur row
	if err := json.Unmarshal(stored.Value, &cur); err != nil {
		return row{}, 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "lease row could not be decoded")
	}
	a.recordToken(cur.Token)
	return cur, stored.Version, nil
}

// recordToken keeps the largest token.
func (a *Acquirer) recordToken(token uint64) {
	for seen := a.seenToken.Load(); token > seen && !a.seenToken.CompareAndSwap(seen, token); {
		seen = a.seenToken.Load()
	}
}

func (a *Acquirer) writeRow(ctx context.Context, next row, expectedVersion uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "lease row could not be encoded")
	}
	_, err = a.table.Commit(ctx, pwtable.Write{
		Key:             keyPrefix + a.cfg.Name,
		Value:           value,
		ExpectedVersion: expectedVersion,
	})
	return err
}

// waitBackoff waits for the jittered delay before retry n+1, or until ctx ends. The
// delay doubles with each n, starting at 1.
func (a *Acquirer) waitBackoff(ctx context.Context, n int) {
	d := a.cfg.RetryDelay << min(n-1, 10)
	select {
	case <-time.After(d/2 + mathrand.N(d)):
	case <-ctx.Done():
	}
}

func newAcquisitionID() string {
	var b [acquisitionIDBytes]byte
	_, _ = rand.Read(b[:]) // documented to never return an error
	return hex.EncodeToString(b[:])
}
