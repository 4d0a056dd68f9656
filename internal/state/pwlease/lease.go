// Package pwlease holds leases with fencing tokens. A lease is one row in the
// table with its holder, its expiry and a fencing token that grows with every
// acquisition. The row is never deleted, so that no token is given twice.
//
// # Usage
//
//	leases := pwlease.New(table, pwlease.Config{
//		Name:   "placement/lantern",
//		Holder: "entry-3",
//	})
//	lease, err := leases.Acquire(ctx)
//	...
//	if lease.Held(time.Now()) {
//		// act, and send lease.Token() with every order
//	}
//	err = lease.Renew(ctx) // CauseStaleFence: another holder has the lease
//
// # Paused holders, lost replies and late writes
//
// A holder stops acting before its expiry less the clock margin. A holder that
// was paused between its check and its action still acts late; the receivers
// of its orders refuse the old token, see Guard.
//
// Each acquisition has a random identifier in the row. After a commit without
// a reply the row is read again, and only a row with that identifier confirms
// the acquisition. An acquisition that lands after its caller gave up blocks
// the lease for one term, because nobody acts on it. A renewal that lands late
// extends only the row, and the holder keeps to the expiry it knows of. A
// write never lands after another holder's, because it names the version of
// the row that it expects.
package pwlease

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Defaults of Config and limits.
const (
	// DefaultTerm is the time from an acquisition or renewal to its expiry.
	DefaultTerm = 10 * time.Second
	// DefaultClockMargin is the largest difference between two clocks for
	// which two holders never believe at once that they hold the lease.
	DefaultClockMargin = 2 * time.Second
	// DefaultTries is the number of writes that one step sends at most.
	DefaultTries = 3
	// DefaultRetryDelay is the mean delay before the second repetition.
	DefaultRetryDelay = 50 * time.Millisecond

	// keyPrefix starts the table keys of all lease rows.
	keyPrefix = "lease/"
	// acquisitionIDBytes is the size of the random identifier of one
	// acquisition.
	acquisitionIDBytes = 16
)

// Table is the part of the table service that leases need.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// Config holds the settings of one lease. Zero durations and counts select
// the defaults.
type Config struct {
	// Name names the lease, for example "placement/lantern".
	Name string
	// Holder is the instance that acquires. It is shown to operators only;
	// two processes with the same name still exclude each other.
	Holder pwrequest.InstanceID
	Term   time.Duration
	// ClockMargin must be shorter than Term; otherwise it is half of it.
	ClockMargin time.Duration
	Tries       int
	RetryDelay  time.Duration
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
	// ExpiresAt is a wall-clock time. The monotonic clock of an instance
	// that is suspended may stand still, so it must not be used.
	ExpiresAt time.Time `json:"expires_at"`
}

// Acquirer acquires one named lease. It is safe for concurrent use.
type Acquirer struct {
	table Table
	cfg   Config
}

// New returns the lease with the name in cfg.
func New(table Table, cfg Config) *Acquirer {
	return &Acquirer{
		table: table,
		cfg:   cfg.withDefaults(),
	}
}

// Term returns the time from an acquisition or renewal to its expiry.
func (l *Acquirer) Term() time.Duration { return l.cfg.Term }

// Acquire takes the lease if it is free or expired. A lease that another
// process holds gives CauseConflict with the time until its expiry as retry
// delay. After CauseUnavailable nothing is held, even if the write still lands.
func (l *Acquirer) Acquire(ctx context.Context) (*Lease, error) {
	id := newAcquisitionID()
	last, err := l.change(ctx, func(cur row) (row, bool, error) {
		if cur.AcquisitionID == id {
			return cur, false, nil
		}
		now := time.Now().Round(0)
		if wait := cur.ExpiresAt.Sub(now); wait > 0 {
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"lease %q is held by %q", l.cfg.Name, cur.Holder).WithRetryAfter(wait)
		}
		return row{
			Holder:        l.cfg.Holder,
			AcquisitionID: id,
			Token:         cur.Token + 1,
			ExpiresAt:     now.Add(l.cfg.Term),
		}, true, nil
	})
	if err != nil {
		return nil, err
	}
	return &Lease{
		leases: l,
		id:     id,
		token:  last.Token,
		expiry: last.ExpiresAt,
	}, nil
}

// NewestToken returns the token of the newest acquisition in the table, 0 when
// there was none. A restarted agent starts its Guard with it.
func (l *Acquirer) NewestToken(ctx context.Context) (uint64, error) {
	cur, _, err := l.read(ctx)
	return cur.Token, err
}

// Lease is one acquisition. It is safe for concurrent use.
type Lease struct {
	leases *Acquirer
	id     string
	token  uint64

	mu     sync.Mutex
	expiry time.Time
	lost   bool
}

// Token returns the fencing token. It never changes for one acquisition.
func (l *Lease) Token() uint64 { return l.token }

// Expiry returns the expiry that the holder knows of, without the margin.
func (l *Lease) Expiry() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.expiry
}

// Held reports whether the holder may act at the given time. It needs no
// message, so a holder that was paused learns at once that it is too late.
func (l *Lease) Held(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.lost && now.Round(0).Before(l.expiry.Add(-l.leases.cfg.ClockMargin))
}

// Renew extends the lease by its term. CauseStaleFence means that the lease is
// lost for good. A lease past its expiry is renewed if nobody else has taken
// it. After CauseUnavailable the old expiry still holds.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	lost := l.lost
	l.mu.Unlock()
	if lost {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence, "lease %q was lost or released", l.leases.cfg.Name)
	}
	return l.extend(ctx, func(now time.Time) time.Time { return now.Add(l.leases.cfg.Term) })
}

// Release gives the lease up, so that another process can acquire it at once.
// Held is false from the start of Release, whatever its error.
func (l *Lease) Release(ctx context.Context) error {
	l.lose()
	return l.extend(ctx, func(now time.Time) time.Time { return now })
}

func (l *Lease) extend(ctx context.Context, expiry func(now time.Time) time.Time) error {
	var written time.Time
	last, err := l.leases.change(ctx, func(cur row) (row, bool, error) {
		if cur.AcquisitionID != l.id {
			l.lose()
			return cur, false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
				"lease %q has token %d now; this holder has %d", l.leases.cfg.Name, cur.Token, l.token)
		}
		if !written.IsZero() && cur.ExpiresAt.Equal(written) {
			return cur, false, nil
		}
		if written.IsZero() {
			written = expiry(time.Now().Round(0))
		}
		next := cur
		next.ExpiresAt = written
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

func (l *Lease) lose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// change reads the row, decides and writes until the decision writes nothing
// more, and returns the row that it then looked at. The error has MayHaveRun
// when a write was sent whose outcome is not known.
func (l *Acquirer) change(ctx context.Context, decide func(cur row) (next row, write bool, err error)) (row, error) {
	var lastErr error
	verdict := pwverdict.NotRun
	for try := 0; try <= l.cfg.Tries && ctx.Err() == nil; try++ {
		if try > 1 {
			l.sleep(ctx, try-1)
		}
		cur, version, err := l.read(ctx)
		if err != nil {
			lastErr = err
			continue
		}
		next, write, err := decide(cur)
		if err != nil || !write {
			return cur, err
		}
		if try == l.cfg.Tries {
			break
		}
		err = l.write(ctx, next, version)
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
	return row{}, pwverdict.Wrap(lastErr, verdict, pwverdict.CauseUnavailable, "lease %q could not be changed", l.cfg.Name)
}

func (l *Acquirer) read(ctx context.Context) (row, uint64, error) {
	stored, err := l.table.Get(ctx, keyPrefix+l.cfg.Name)
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
	return cur, stored.Version, nil
}

func (l *Acquirer) write(ctx context.Context, next row, expect uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "lease row could not be encoded")
	}
	_, err = l.table.Commit(ctx, pwtable.Write{
		Key:             keyPrefix + l.cfg.Name,
		Value:           value,
		ExpectedVersion: expect,
	})
	return err
}

// sleep waits for a jittered delay that doubles with n, from 1, or until the
// context ends.
func (l *Acquirer) sleep(ctx context.Context, n int) {
	d := l.cfg.RetryDelay << min(n-1, 10)
	select {
	case <-time.After(d/2 + mathrand.N(d)):
	case <-ctx.Done():
	}
}

func newAcquisitionID() string {
	var b [acquisitionIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails, by its documentation
	return hex.EncodeToString(b[:])
}
