package pwquarantine

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestMergeConverges guards against entries that decide differently after they have
// received the same crashes in different orders or more than once.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fingerprint := rapid.Uint64Range(1, 4)
		var parts [][]FingerprintCrashes
		for i := range rapid.IntRange(1, 8).Draw(t, "crashes") {
			tr := New(Config{})
			f := fingerprint.Draw(t, "fingerprint")
			at := epoch.Add(time.Duration(i%3) * time.Second)
			tr.RecordCrash(at, f, pwrequest.AttemptID(fmt.Sprint("a", i%5, "-", f)), rapid.SliceOfN(fingerprint, 0, 3).Draw(t, "besides"))
			if rapid.IntRange(0, 4).Draw(t, "finished") == 0 {
				tr.ClearCrashes(at, f)
			}
			parts = append(parts, tr.Snapshot(at))
		}
		now := epoch.Add(time.Minute)
		a, b := New(Config{}), New(Config{})
		for _, p := range parts {
			a.Merge(now, p)
		}
		rnd := rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "order")))
		for range 2 {
			for _, i := range rnd.Perm(len(parts)) {
				b.Merge(now, parts[i])
			}
		}
		version := b.version
		b.Merge(now, a.Snapshot(now))
		if changes, _ := b.ChangesSince(now, version); len(changes) > 0 || !reflect.DeepEqual(a.Snapshot(now), b.Snapshot(now)) {
			t.Fatalf("merged in order: %v\nin another order, twice: %v", a.Snapshot(now), b.Snapshot(now))
		}
	})
}

// TestRequestCrashesTwoServers guards against a crashing request that runs a third time,
// because servers also crash by accident under its neighbours and entries learn of it late.
func TestRequestCrashesTwoServers(t *testing.T) {
	const crashing = uint64(0)
	rapid.Check(t, func(t *rapid.T) {
		entries := []*Tracker{New(Config{}), New(Config{}), New(Config{})}
		entry := rapid.IntRange(0, len(entries)-1)
		crashes := 0
		for step := range 40 {
			now := epoch.Add(time.Duration(step) * time.Second)
			if rapid.IntRange(0, 3).Draw(t, "exchange") == 0 {
				entries[entry.Draw(t, "to")].Merge(now, entries[entry.Draw(t, "from")].Snapshot(now))
				continue
			}
			// Each request is always sent through the same entry.
			home := func(f uint64) *Tracker { return entries[f%uint64(len(entries))] }
			running := rapid.SliceOfNDistinct(rapid.Uint64Range(crashing, 4), 1, 3, rapid.ID).Draw(t, "requests")
			isolated := slices.IndexFunc(running, func(f uint64) bool { return home(f).Decide(now, f) == Isolated })
			if isolated >= 0 {
				running = running[isolated : isolated+1]
			}
			running = slices.DeleteFunc(running, func(f uint64) bool { return home(f).Decide(now, f) == Refused })
			crashed := slices.Contains(running, crashing)
			if crashed {
				crashes++
			}
			crashed = rapid.IntRange(0, 2).Draw(t, "accident") == 0 || crashed
			for _, f := range running {
				if crashed {
					home(f).RecordCrash(now, f, pwrequest.AttemptID(fmt.Sprint(step, "-", f)), lo.Without(running, f))
				} else {
					home(f).ClearCrashes(now, f)
				}
			}
		}
		if crashes > DefaultRefuseAfter {
			t.Fatalf("%d crashes, want %d at most", crashes, DefaultRefuseAfter)
		}
	})
}

// TestTrackerSizeIsBounded guards against a tracker that grows without limit.
func TestTrackerSizeIsBounded(t *testing.T) {
	tr := New(Config{MaxFingerprints: 100})
	for i := range 1000 {
		at := epoch.Add(time.Duration(i) * time.Second)
		tr.RecordCrash(at, uint64(i), "a", []uint64{1})
		tr.RecordCrash(at, 7777, pwrequest.AttemptID(fmt.Sprint(i)), make([]uint64, 1000))
	}
	now := epoch.Add(1000 * time.Second)
	if tr.Len() != 100 || tr.byLastCrash.Len() != 100 || tr.Decide(now, 0) != Normal || tr.Decide(now, 999) != Isolated {
		t.Fatalf("%d fingerprints kept, want the 100 newest", tr.Len())
	}
	if n := len(tr.records[7777].crashes); n != maxCrashes {
		t.Fatalf("%d crashes kept for one fingerprint, want %d", n, maxCrashes)
	}
	if tr.Snapshot(now.Add(DefaultRetention)); tr.Len() != 0 {
		t.Fatalf("%d fingerprints kept after the retention time", tr.Len())
	}
}

// TestScripts runs the scenarios in testdata/scripts; the first line of each
// states the guarantee it checks. The number of a request is its fingerprint.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		entries := map[string]*Tracker{}
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			f := uint64(pwscript.Int64(t, d, "request", 0))
			name := pwscript.String(t, d, "entry")
			if entries[name] == nil {
				entries[name] = New(Config{})
			}
			tr := entries[name]
			switch d.Cmd {
			case "crash":
				var neighbours []uint64
				if arg, ok := d.Arg("neighbours"); ok {
					for i := range arg.Vals {
						var v uint64
						arg.Scan(t, i, &v)
						neighbours = append(neighbours, v)
					}
				}
				tr.RecordCrash(now, f, pwrequest.AttemptID(pwscript.String(t, d, "attempt")), neighbours)
			case "finish":
				tr.ClearCrashes(now, f)
			case "exchange":
				from := entries[pwscript.String(t, d, "from")]
				tr.Merge(now, from.Snapshot(now))
			case "wait":
				now = now.Add(pwscript.Millis(t, d, "ms"))
			case "decide":
				var out []string
				for i := range uint64(pwscript.Int64(t, d, "requests", 0)) {
					v := tr.Decide(now, i+1).String()
					if err := tr.Refusal(now, i+1); v == "refused" {
						v += fmt.Sprintf(" %s for %s", pwverdict.VerdictOf(err), pwverdict.AsError(err).RetryAfter())
					}
					out = append(out, fmt.Sprint(i+1, ": ", v))
				}
				return strings.Join(out, "\n")
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}
