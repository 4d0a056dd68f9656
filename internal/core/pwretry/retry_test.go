package pwretry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBudgetMatchesReference guards against a window that drops or keeps the wrong
// buckets. The reference keeps the time of each request and counts the recent ones.
func TestBudgetMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{Ratio: 0.5, Floor: 0.2})
		now := epoch
		var requests, retries []time.Time
		recent := func(ts []time.Time) (n int) {
			for _, at := range ts {
				if now.UnixNano()/int64(b.bucketWidth)-at.UnixNano()/int64(b.bucketWidth) < budgetBuckets {
					n++
				}
			}
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(*rapid.T) {
				b.RecordRequest(now)
				requests = append(requests, now)
			},
			"take": func(t *rapid.T) {
				want := float64(recent(retries)+1) <= 0.5*float64(recent(requests))+2
				if left := b.Remaining(now); (left > 0) != want {
					t.Fatalf("%d retries remain, but the reference allows a retry: %v", left, want)
				}
				err := b.Take(now)
				if (err == nil) != want {
					t.Fatalf("Take returned %v, but the reference allows a retry: %v", err, want)
				}
				if err == nil {
					retries = append(retries, now)
				} else if pwverdict.CauseOf(err) != pwverdict.CauseRetryBudget {
					t.Fatalf("Take refused with cause %s", pwverdict.CauseOf(err))
				}
			},
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestDelaysAndTimeoutsStayWithinLimits guards against delays without jitter or beyond
// their limits, and against timeouts beyond the deadline.
func TestDelaysAndTimeoutsStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBackoff(BackoffConfig{}, rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))))
		n := rapid.IntRange(-1, 1000).Draw(t, "attempt")
		limit := min(DefaultMaxDelay, DefaultBaseDelay<<min(20, max(0, n-1)))
		advice := time.Duration(rapid.IntRange(0, 3).Draw(t, "advice")) * time.Second
		d := b.DelayFor(n, pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, "").WithRetryAfter(advice)) - advice
		if d < limit/2 || d > limit || d == b.Delay(n) {
			t.Fatalf("delay %s after attempt %d, limit %s", d, n, limit)
		}
		left := time.Duration(rapid.IntRange(-1000, 10_000).Draw(t, "left")) * time.Millisecond
		attempts := rapid.IntRange(0, 5).Draw(t, "attempts")
		timeout := AttemptTimeout(epoch, epoch.Add(left), attempts, DefaultMinAttempt)
		if timeout < 0 || timeout > max(0, left) || timeout < min(max(0, left), DefaultMinAttempt) ||
			attempts <= 1 && timeout != max(0, left) {
			t.Fatalf("timeout %s with %s left for %d attempts", timeout, left, attempts)
		}
		if FitsDeadline(epoch, epoch.Add(left), d, time.Second) != (left >= d+time.Second) || !FitsDeadline(epoch, time.Time{}, d, time.Hour) {
			t.Fatalf("FitsDeadline is wrong for an attempt of 1 s after %s with %s left", d, left)
		}
	})
}

// TestScripts runs the scenarios in testdata/scripts; the first line of each
// states the guarantee it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		now := epoch
		b := NewBudget(BudgetConfig{})
		stats := map[string]int64{}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "allowed":
				// The error is wrapped as at a module boundary, or plain if no verdict is
				// given.
				err := fmt.Errorf("connection reset")
				if d.HasArg("cancelled") {
					err = context.Canceled
				}
				if v := pwscript.String(t, d, "verdict"); v != "" {
					err = pwverdict.Wrap(err, pwverdict.Parse(v), pwverdict.Cause(pwscript.String(t, d, "cause")), "attempt")
				}
				return fmt.Sprintf("repeatable: %v, at most once: %v", Allowed(err, true), Allowed(err, false))
			case "outage":
				// All requests and retries fail.
				for end := now.Add(pwscript.Millis(t, d, "for_ms")); now.Before(end); now = now.Add(pwscript.Millis(t, d, "every_ms")) {
					b.RecordRequest(now)
					stats["requests"]++
					for n := 0; n < 100 && b.Take(now) == nil; n++ {
						stats["retries"]++
					}
				}
				return ""
			case "expect":
				return pwscript.CheckBounds(t, d, stats)
			default:
				t.Fatalf("unknown command %q", d.Cmd)
				return ""
			}
		})
	})
}
