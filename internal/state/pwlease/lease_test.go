package pwlease_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

// TestScripts runs the scenarios in testdata. The first line of each scenario states
// the guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			table := pwfakeplatform.NewTable()
			leases := map[string]*pwlease.Lease{}
			guard := pwlease.NewGuard(pwlease.New(table, pwlease.Config{}).NewestToken)
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				var n int
				var holder, kind, wait string
				d.MaybeScanArgs(t, "n", &n)
				d.MaybeScanArgs(t, "holder", &holder)
				d.MaybeScanArgs(t, "kind", &kind)
				d.MaybeScanArgs(t, "time", &wait)
				l := leases[holder]
				switch d.Cmd {
				case "acquire":
					l, err := pwlease.New(table, pwlease.Config{}).Acquire(ctx)
					if err != nil {
						return fmt.Sprintf("%s retry_after=%s", describe(err), pwverdict.AsError(err).RetryAfter().Round(time.Second))
					}
					leases[holder] = l
					return fmt.Sprintf("token=%d", l.Token())
				case "renew":
					return describe(l.Renew(ctx))
				case "release":
					return describe(l.Release(ctx))
				case "held":
					return fmt.Sprint(l.Held(time.Now()))
				case "order":
					return describe(guard.ApplyOrder(ctx, l.Token(), func(context.Context) error { return nil }))
				case "restart-agent":
					guard = pwlease.NewGuard(pwlease.New(table, pwlease.Config{}).NewestToken)
				case "fault":
					table.SetFault(pwfakeplatform.Fault(kind), n)
				case "land":
					return fmt.Sprint("landed ", table.ApplyDelayedCommits())
				case "pass":
					d, err := time.ParseDuration(wait)
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(d)
				default:
					t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
				}
				return "ok"
			})
		})
	})
}

func describe(err error) string {
	if err == nil {
		return "ok"
	}
	return fmt.Sprintf("%s %s", pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}

// Guards against a fencing token that is issued to two holders, because the table has come
// back from a copy that is older than the first one's acquisition.
func TestTokenIsNotIssuedTwiceAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := pwfakeplatform.NewTable()
		acquirers := make(map[string]*pwlease.Acquirer)
		for _, holder := range []string{"x", "y"} {
			acquirers[holder] = pwlease.New(table, pwlease.Config{})
		}
		acquire := func(holder string) *pwlease.Lease {
			l, err := acquirers[holder].Acquire(t.Context())
			if err != nil {
				t.Fatalf("%s: %v", holder, err)
			}
			return l
		}
		acquire("x")
		older := table.Copy()
		time.Sleep(pwlease.DefaultTerm)
		first := acquire("x")
		if _, err := acquirers["y"].Acquire(t.Context()); pwverdict.CauseOf(err) != pwverdict.CauseConflict {
			t.Fatalf("y gets %v while x holds the lease, want a conflict", err)
		}
		table.Restore(older)
		second := acquire("y")
		if second.Token() <= first.Token() {
			t.Errorf("y gets token %d after x got %d", second.Token(), first.Token())
		}
		guard := pwlease.NewGuard(acquirers["y"].NewestToken)
		order := func(l *pwlease.Lease) error {
			return guard.ApplyOrder(t.Context(), l.Token(), func(context.Context) error { return nil })
		}
		if err := order(second); err != nil {
			t.Errorf("the order of the new holder: %v", err)
		}
		if err := order(first); pwverdict.CauseOf(err) != pwverdict.CauseStaleFence {
			t.Errorf("the order of the lost holder: %v, want it refused", err)
		}
	})
}
