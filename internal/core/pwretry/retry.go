// Package pwretry decides whether, when and how often a failed attempt is
// repeated. A retry needs an error that permits it, time left before the
// deadline and a place in the retry budget.
//
// # Usage
//
//	budget := pwretry.NewBudget(pwretry.BudgetConfig{})
//	backoff := pwretry.NewBackoff(pwretry.BackoffConfig{}, rnd)
//
//	budget.Request(now) // once for each request, not for its retries
//	if !pwretry.Allowed(err, repeatable) {
//		return err
//	}
//	delay := backoff.DelayFor(attempt, err)
//	if !pwretry.Fits(now, r.Deadline(), delay, pwretry.DefaultMinAttempt) {
//		return err
//	}
//	if refusal := budget.Take(now); refusal != nil {
//		return refusal
//	}
//
// Take is called last, because it uses up a place in the budget.
package pwretry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Defaults of the retry budget and the backoff.
const (
	DefaultRatio     = 0.10
	DefaultFloor     = 1.0
	DefaultWindow    = 10 * time.Second
	DefaultBaseDelay = 50 * time.Millisecond
	DefaultMaxDelay  = 5 * time.Second
	DefaultFactor    = 2.0
	// DefaultMinAttempt is the least time in which an attempt can be worth
	// sending: two crossings between data centres and the first token.
	DefaultMinAttempt = 100 * time.Millisecond
)

// Allowed reports whether a request that ended with err may be sent again.
// repeatable is false for calls that must run at most once; for them only a
// verdict of NotRun permits a retry. Errors that another attempt can't change,
// such as a bad request or a cancelled context, never permit one.
func Allowed(err error, repeatable bool) bool {
	if err == nil {
		return false
	}
	if !transient(pwverdict.CauseOf(err)) || errors.Is(err, context.Canceled) {
		return false
	}
	switch pwverdict.VerdictOf(err) {
	case pwverdict.NotRun:
		return true
	case pwverdict.MayHaveRun:
		return repeatable
	default:
		return false
	}
}

// transient reports whether another attempt can end otherwise.
func transient(c pwverdict.Cause) bool {
	switch c {
	case pwverdict.CauseBadRequest,
		pwverdict.CauseUnauthenticated,
		pwverdict.CauseNotFound,
		pwverdict.CauseConflict,
		pwverdict.CauseKeyReused,
		pwverdict.CauseDeadlineUnreachable,
		pwverdict.CauseDeadlineExceeded,
		pwverdict.CauseRetryBudget,
		pwverdict.CauseQuarantined,
		pwverdict.CauseCancelled:
		return false
	default:
		return true
	}
}

// TimeLeft returns the time from now to the deadline, at least 0. A zero
// deadline means no limit and returns the largest duration.
func TimeLeft(now, deadline time.Time) time.Duration {
	if deadline.IsZero() {
		return 1<<63 - 1
	}
	return max(0, deadline.Sub(now))
}

// FitsDeadline reports whether an attempt that starts after delay and takes at least
// need can end before the deadline.
func FitsDeadline(now, deadline time.Time, delay, need time.Duration) bool {
	return TimeLeft(now, deadline)-delay >= need
}

// AttemptTimeout divides the time left between the attempts that may still
// follow, so that one stalled attempt doesn't use up the whole deadline. It
// returns at least need, but never more than the time left.
func AttemptTimeout(now, deadline time.Time, attempts int, need time.Duration) time.Duration {
	left := TimeLeft(now, deadline)
	return min(left, max(need, left/time.Duration(max(1, attempts))))
}

// BudgetConfig configures a Budget. Zero fields take their defaults.
type BudgetConfig struct {
	// Ratio is the number of retries allowed for each recent request.
	// Default 0.10.
	Ratio float64
	// Floor is the number of retries per second that are always allowed, so
	// that a nearly idle entry can retry at all. Default 1.
	Floor float64
	// Window is the time that counts as recent. Default 10 s.
	Window time.Duration
}

// budgetBuckets is the number of parts of the window; the oldest part is
// forgotten as a whole.
const budgetBuckets = 20

// Budget bounds the retries of one process, so that they can't amplify an
// outage. It isn't safe for concurrent use.
type Budget struct {
	cfg      BudgetConfig
	width    time.Duration
	buckets  [budgetBuckets]bucket
	requests int64
	retries  int64
	// newest is the number of the newest bucket since the zero time.
	newest int64
	// others is what other processes had in the window, and floor scales the
	// retries that are always allowed.
	others Counts
	floor  float64
}

// Counts are the requests and retries of a window.
type Counts struct {
	Requests int64
	Retries  int64
}

type bucket struct {
	requests int64
	retries  int64
}

// NewBudget returns an empty budget.
func NewBudget(cfg BudgetConfig) *Budget {
	pwdefault.SetUnlessPositive(&cfg.Ratio, DefaultRatio)
	pwdefault.SetUnlessPositive(&cfg.Floor, DefaultFloor)
	pwdefault.SetUnlessPositive(&cfg.Window, DefaultWindow)
	return &Budget{
		cfg:   cfg,
		floor: 1,
		width: max(1, cfg.Window/budgetBuckets),
	}
}

// RecordRequest counts one request. Retries aren't counted here.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now).requests++
	b.requests++
}

// Take uses one retry of the budget. It returns a refusal with CauseRetryBudget
// when none is left. The refusal is NotRun, because it concerns only the retry
// that wasn't sent; the verdict of the failed attempt before it still holds
// for the request.
func (b *Budget) Take(now time.Time) error {
	cur := b.advance(now)
	if float64(b.retries+b.others.Retries+1) > b.allowance() {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseRetryBudget,
			"%d retries for %d requests in the last %s", b.retries, b.requests, b.cfg.Window).
			WithRetryAfter(b.width)
	}
	cur.retries++
	b.retries++
	return nil
}

// Remaining returns the number of retries that may be taken now.
func (b *Budget) Remaining(now time.Time) int {
	b.advance(now)
	return max(0, int(b.allowance())-int(b.retries+b.others.Retries))
}

// SetPeerCounts makes the budget one with other processes: others is what they had in
// the window, and floor, from 0 to 1, the part of the retries that are always
// allowed and that may be used by the processes that are heard.
func (b *Budget) SetPeerCounts(others Counts, floor float64) {
	b.others, b.floor = others, floor
}

// Counts returns the requests and retries of this process in the window.
func (b *Budget) Counts(now time.Time) Counts {
	b.advance(now)
	return Counts{
		Requests: b.requests,
		Retries:  b.retries,
	}
}

func (b *Budget) allowance() float64 {
	return b.cfg.Ratio*float64(b.requests+b.others.Requests) + b.cfg.Floor*b.cfg.Window.Seconds()*b.floor
}

// advance forgets the buckets that have left the window and returns the
// current one. A clock that goes back uses the newest bucket.
func (b *Budget) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(b.width)
	for steps := 0; b.newest < n; steps++ {
		if steps == budgetBuckets {
			b.newest = n
			break
		}
		b.newest++
		old := &b.buckets[b.newest%budgetBuckets]
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
	return &b.buckets[b.newest%budgetBuckets]
}

// BackoffConfig configures a Backoff. Zero fields take their defaults.
type BackoffConfig struct {
	// BaseDelay is the upper limit of the first delay. Default 50 ms.
	BaseDelay time.Duration
	// MaxDelay is the upper limit of each delay. Default 5 s.
	MaxDelay time.Duration
	// Factor multiplies the limit for each further attempt. Default 2.
	Factor float64
}

// Backoff computes jittered exponential delays. It isn't safe for concurrent
// use.
type Backoff struct {
	cfg BackoffConfig
	rnd *rand.Rand
}

// NewBackoff returns a backoff that draws its jitter from rnd.
func NewBackoff(cfg BackoffConfig, rnd *rand.Rand) *Backoff {
	pwdefault.SetUnlessPositive(&cfg.BaseDelay, DefaultBaseDelay)
	pwdefault.SetUnlessPositive(&cfg.MaxDelay, DefaultMaxDelay)
	if cfg.Factor < 1 {
		cfg.Factor = DefaultFactor
	}
	return &Backoff{
		cfg: cfg,
		rnd: rnd,
	}
}

// Delay returns the time to wait before the retry that follows attempt n,
// counted from 1. It is drawn from the upper half of the limit, so that
// retries spread out without one being sent at once.
func (b *Backoff) Delay(n int) time.Duration {
	limit := float64(b.cfg.BaseDelay)
	for i := 1; i < n && limit < float64(b.cfg.MaxDelay); i++ {
		limit *= b.cfg.Factor
	}
	limit = min(limit, float64(b.cfg.MaxDelay))
	return time.Duration(limit/2 + b.rnd.Float64()*limit/2)
}

// DelayFor is Delay, raised by the retry delay that err advises. The jitter is
// kept on top of the advice, because many callers receive the same one.
func (b *Backoff) DelayFor(n int, err error) time.Duration {
	d := b.Delay(n)
	var e *pwverdict.Error
	if errors.As(err, &e) && e.RetryAfter() > 0 {
		return e.RetryAfter() + d
	}
	return d
}
