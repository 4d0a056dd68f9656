// Package pwretry decides whether and when a failed request is retried. A retry needs
// an error that permits it, enough time before the deadline, and a free retry in the
// retry budget.
//
// # Usage
//
//	budget := pwretry.NewBudget(pwretry.BudgetConfig{})
//	backoff := pwretry.NewBackoff(pwretry.BackoffConfig{}, rnd)
//
//	budget.RecordRequest(now) // once for each request, not for its retries
//	if !pwretry.Allowed(err, repeatable) {
//		return err
//	}
//	delay := backoff.DelayFor(attempt, err)
//	if !pwretry.FitsDeadline(now, r.Deadline(), delay, pwretry.DefaultMinAttempt) {
//		return err
//	}
//	if refusal := budget.Take(now); refusal != nil {
//		return refusal
//	}
//
// Take is called last, because it consumes a retry of the budget.
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
	// DefaultMinAttempt is the shortest time in which an attempt can succeed: a round
	// trip between two data centres and the time to the first token.
	DefaultMinAttempt = 100 * time.Millisecond
)

// Allowed reports whether a request that ended with err may be sent again.
// repeatable is false for calls that must run at most once; for them only a
// verdict of NotRun permits a retry. Errors that would recur with every attempt, such
// as a bad request, and a cancelled context never permit one.
func Allowed(err error, repeatable bool) bool {
	if err == nil {
		return false
	}
	if !isTransient(pwverdict.CauseOf(err)) || errors.Is(err, context.Canceled) {
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

// isTransient reports whether another attempt can have a different outcome.
func isTransient(c pwverdict.Cause) bool {
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
// minTime can end before the deadline.
func FitsDeadline(now, deadline time.Time, delay, minTime time.Duration) bool {
	return TimeLeft(now, deadline)-delay >= minTime
}

// AttemptTimeout divides the time left evenly between the attempts that may still be
// made, so that one stalled attempt doesn't use up all of the time. It returns at least
// minTime, but never more than the time left.
func AttemptTimeout(now, deadline time.Time, attemptsLeft int, minTime time.Duration) time.Duration {
	left := TimeLeft(now, deadline)
	return min(left, max(minTime, left/time.Duration(max(1, attemptsLeft))))
}

// BudgetConfig configures a Budget. Zero fields take their defaults.
type BudgetConfig struct {
	// Ratio is the number of retries allowed for each recent request.
	// Default 0.10.
	Ratio float64
	// Floor is the number of retries per second that are always allowed, so
	// that a nearly idle process can retry at all. Default 1.
	Floor float64
	// Window is the length of the sliding window in which requests and retries
	// count. Default 10 s.
	Window time.Duration
}

// budgetBuckets is the number of buckets that the window is divided into. Buckets
// leave the window as a whole.
const budgetBuckets = 20

// Budget limits the retries of one process in proportion to its requests, so that
// retries can't amplify an outage. It isn't safe for concurrent use.
type Budget struct {
	cfg         BudgetConfig
	bucketWidth time.Duration
	buckets     [budgetBuckets]bucket
	requests    int64
	retries     int64
	// newestBucket is the number of the newest bucket, counted from the Unix epoch.
	newestBucket int64
	// peerCounts holds the sums of the other processes, and floorShare scales
	// cfg.Floor.
	peerCounts Counts
	floorShare float64
}

// Counts holds the numbers of requests and retries within the window.
type Counts struct {
	Requests int64
	Retries  int64
}

type bucket struct {
	requests int64
	retries  int64
}

// NewBudget returns a budget without requests or retries.
func NewBudget(cfg BudgetConfig) *Budget {
	pwdefault.SetUnlessPositive(&cfg.Ratio, DefaultRatio)
	pwdefault.SetUnlessPositive(&cfg.Floor, DefaultFloor)
	pwdefault.SetUnlessPositive(&cfg.Window, DefaultWindow)
	return &Budget{
		cfg:         cfg,
		floorShare:  1,
		bucketWidth: max(1, cfg.Window/budgetBuckets),
	}
}

// Reconfigure replaces the configuration. The requests and retries of the window still count.
func (b *Budget) Reconfigure(now time.Time, cfg BudgetConfig) {
	b.advance(now)
	next := NewBudget(cfg)
	next.peerCounts, next.floorShare = b.peerCounts, b.floorShare
	for n := max(0, b.newestBucket-budgetBuckets+1); n <= b.newestBucket; n++ {
		old := b.buckets[n%budgetBuckets]
		endsAt := time.Unix(0, (n+1)*int64(b.bucketWidth)-1)
		if endsAt.After(now) {
			endsAt = now
		}
		cur := next.advance(endsAt)
		cur.requests += old.requests
		cur.retries += old.retries
		next.requests += old.requests
		next.retries += old.retries
	}
	next.advance(now)
	*b = *next
}

// RecordRequest counts one request. It must not be called for retries.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now).requests++
	b.requests++
}

// Take consumes one retry of the budget. It returns an error with CauseRetryBudget if
// none is left. The verdict of that error is NotRun, because it concerns only the
// retry that wasn't sent; the verdict of the failed attempt still holds for the
// request.
func (b *Budget) Take(now time.Time) error {
	cur := b.advance(now)
	if float64(b.retries+b.peerCounts.Retries+1) > b.limit() {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseRetryBudget,
			"%d retries for %d requests in the last %s", b.retries, b.requests, b.cfg.Window).
			WithRetryAfter(b.bucketWidth)
	}
	cur.retries++
	b.retries++
	return nil
}

// Remaining returns the number of retries that may be taken now.
func (b *Budget) Remaining(now time.Time) int {
	b.advance(now)
	return max(0, int(b.limit())-int(b.retries+b.peerCounts.Retries))
}

// SetPeerCounts makes the budget count the requests and retries of other processes as
// well. floorShare, from 0 to 1, is the fraction of Floor that is allowed to the
// processes whose counts are included.
func (b *Budget) SetPeerCounts(peerCounts Counts, floorShare float64) {
	b.peerCounts, b.floorShare = peerCounts, floorShare
}

// Counts returns the requests and retries of this process in the window.
func (b *Budget) Counts(now time.Time) Counts {
	b.advance(now)
	return Counts{
		Requests: b.requests,
		Retries:  b.retries,
	}
}

// limit returns the number of retries that are allowed within the window.
func (b *Budget) limit() float64 {
	return b.cfg.Ratio*float64(b.requests+b.peerCounts.Requests) + b.cfg.Floor*b.cfg.Window.Seconds()*b.floorShare
}

// advance clears the buckets that have left the window and returns the current one.
// When the clock goes back, the newest bucket stays the current one.
func (b *Budget) advance(now time.Time) *bucket {
	n := now.UnixNano() / int64(b.bucketWidth)
	for steps := 0; b.newestBucket < n; steps++ {
		if steps == budgetBuckets {
			b.newestBucket = n
			break
		}
		b.newestBucket++
		old := &b.buckets[b.newestBucket%budgetBuckets]
		b.requests -= old.requests
		b.retries -= old.retries
		*old = bucket{}
	}
	return &b.buckets[b.newestBucket%budgetBuckets]
}

// BackoffConfig configures a Backoff. Zero fields take their defaults.
type BackoffConfig struct {
	// BaseDelay is the upper limit of the first delay. Default 50 ms.
	BaseDelay time.Duration
	// MaxDelay is the upper limit of each delay. Default 5 s.
	MaxDelay time.Duration
	// Factor multiplies the upper limit with each further attempt. Default 2.
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

// Delay returns the time to wait before the retry that follows the given attempt,
// counted from 1. It is drawn uniformly from the upper half of the range up to the
// limit, so that retries are spread out but none is sent immediately.
func (b *Backoff) Delay(attempt int) time.Duration {
	limit := float64(b.cfg.BaseDelay)
	for i := 1; i < attempt && limit < float64(b.cfg.MaxDelay); i++ {
		limit *= b.cfg.Factor
	}
	limit = min(limit, float64(b.cfg.MaxDelay))
	return time.Duration(limit/2 + b.rnd.Float64()*limit/2)
}

// DelayFor returns Delay plus the RetryAfter of err. The jittered delay is added to it,
// because many callers receive the same RetryAfter.
func (b *Backoff) DelayFor(attempt int, err error) time.Duration {
	d := b.Delay(attempt)
	var e *pwverdict.Error
	if errors.As(err, &e) && e.RetryAfter() > 0 {
		return e.RetryAfter() + d
	}
	return d
}
