package pwclaim_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
)

// TestScripts runs the scenarios in testdata. The first line of each scenario states
// the guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			table := pwfakeplatform.NewTable()
			// Each process has its own store. A new process name stands for a
			// restarted process.
			stores := map[string]*pwclaim.Store{}
			var tableCopy pwfakeplatform.TableCopy
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				switch d.Cmd {
				case "copy":
					tableCopy = table.Copy()
					return "ok"
				case "restore":
					// The table comes back from the copy.
					table.Restore(tableCopy)
					return "ok"
				}
				return runScript(t, table, stores, d)
			})
		})
	})
}

// runScript runs one command of a scenario and returns its output.
func runScript(t *testing.T, table *pwfakeplatform.Table, stores map[string]*pwclaim.Store, d *datadriven.TestData) string {
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	arg := func(name, defaultValue string) string {
		d.MaybeScanArgs(t, name, &defaultValue)
		return defaultValue
	}
	k := pwclaim.Key{
		Workspace:      "lamps",
		IdempotencyKey: arg("key", "k"),
	}
	attempt := pwrequest.AttemptID(arg("attempt", ""))
	process := arg("process", "p")
	s := stores[process]
	if s == nil {
		s = pwclaim.New(table, pwclaim.Config{})
		stores[process] = s
	}
	var n int
	d.MaybeScanArgs(t, "n", &n)
	switch d.Cmd {
	case "claim":
		var hash [32]byte
		copy(hash[:], arg("body", "body"))
		o, err := s.Claim(ctx, k, hash, attempt)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("%s status=%d result=%q", o.Kind(), o.Record().Status(), o.Record().Result())
	case "dispatch":
		return describe(s.Dispatch(ctx, k, attempt))
	case "finish":
		return describe(s.Finish(ctx, k, attempt, []byte(arg("result", "")), 200))
	case "abort", "retract":
		step := s.Abort
		if d.Cmd == "retract" {
			step = s.Retract
		}
		ok, err := step(ctx, k, attempt)
		return fmt.Sprintf("aborted=%t %s", ok, describe(err))
	case "lookup":
		r, err := s.Lookup(ctx, k)
		if err != nil {
			return describe(err)
		}
		return fmt.Sprintf("%s attempt=%s %s result=%q omitted=%t", r.State(), r.Attempt(), r.Verdict(), r.Result(), r.ResultOmitted())
	case "fault":
		table.SetFault(pwfakeplatform.Fault(arg("kind", "")), n)
		return "ok"
	case "land":
		return fmt.Sprint("landed ", table.ApplyDelayedCommits())
	case "pass":
		wait, err := time.ParseDuration(arg("time", "0s"))
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(wait)
		return "ok"
	case "sweep":
		deleted, err := pwclaim.NewSweeper(table, pwclaim.Config{}).Sweep(ctx, n)
		return strings.TrimSpace(fmt.Sprintf("deleted=%d %s", deleted, describe(err)))
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
		return ""
	}
}

func describe(err error) string {
	if err == nil {
		return "ok"
	}
	return fmt.Sprintf("%s %s", pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}

// BenchmarkClaim measures the claim, dispatch and finish of one call, and reports
// its table operations and the size of its row.
func BenchmarkClaim(b *testing.B) {
	table := pwfakeplatform.NewTable()
	s := pwclaim.New(table, pwclaim.Config{})
	ctx := context.Background()
	result := make([]byte, 200)
	for i := range b.N {
		k := pwclaim.Key{
			Workspace:      "lamps",
			IdempotencyKey: fmt.Sprint(i),
		}
		_, err := s.Claim(ctx, k, [32]byte{1}, "a")
		if err == nil {
			err = s.Dispatch(ctx, k, "a")
		}
		if err == nil {
			err = s.Finish(ctx, k, "a", result, 200)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	reads, writes := table.Counts()
	rows, _ := table.List(ctx, "claim/", "", 1)
	b.ReportMetric(float64(reads)/float64(b.N), "reads/op")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/op")
	b.ReportMetric(float64(len(rows[0].Value)+len(rows[0].Key)), "row_bytes")
}
