package pwculprit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestScripts runs the scenarios in testdata/scripts; the first line of each states the
// guarantee it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		processes := map[string]*Tracker{}
		process := func(name string) *Tracker {
			if processes[name] == nil {
				processes[name] = New(Config{})
			}
			return processes[name]
		}
		now := epoch
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			server := uint64(pwscript.Int64(t, d, "server", 0))
			var parts []uint64
			if arg, ok := d.Arg("parts"); ok {
				parts = make([]uint64, len(arg.Vals))
				for i := range arg.Vals {
					arg.Scan(t, i, &parts[i])
				}
			}
			switch d.Cmd {
			case "crash":
				process(pwscript.String(t, d, "process")).RecordCrash(now, server, parts)
			case "answer":
				process(pwscript.String(t, d, "process")).RecordCompletion(now, server, parts)
			case "exchange":
				process(pwscript.String(t, d, "to")).Merge(now, process(pwscript.String(t, d, "from")).Outgoing(now, 100))
			case "recall":
				for _, c := range process(pwscript.String(t, d, "from")).Recall(now, 100) {
					process(pwscript.String(t, d, "to")).Merge(now, []Record{{
						Crash: c,
					}})
				}
			case "wait":
				now = now.Add(pwscript.Millis(t, d, "ms"))
			case "decide":
				return describe(now, process(pwscript.String(t, d, "process")))
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// describe returns the changes of the quarantine and the parts that are in it.
func describe(now time.Time, tr *Tracker) string {
	var out []string
	for _, c := range tr.TakeChanges(now) {
		if c.Quarantined {
			out = append(out, fmt.Sprintf("%d quarantined after %d crashes", c.Part, c.Crashes))
		} else {
			out = append(out, fmt.Sprintf("%d released", c.Part))
		}
	}
	var parts []string
	for _, part := range tr.QuarantinedParts(now) {
		parts = append(parts, fmt.Sprint(part))
	}
	if len(parts) == 0 {
		parts = []string{"none"}
	}
	return strings.Join(append(out, strings.Join(parts, " ")), "\n")
}

// Guards against blaming sound parts when a third of the servers stops at once, and
// again five seconds later: no request is responsible.
func TestLossOfServersQuarantinesNothing(t *testing.T) {
	const servers, shared, perSecond = 60, 60, 100
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		tr := New(Config{})
		type request struct {
			server uint64
			parts  []uint64
			ends   time.Time
		}
		var running []request
		for step := range 30 * perSecond {
			now := epoch.Add(time.Duration(step) * time.Second / perSecond)
			if step == 10*perSecond || step == 15*perSecond {
				running = slices.DeleteFunc(running, func(r request) bool {
					lost := r.server%3 == uint64(step/perSecond%2)
					if lost {
						tr.RecordCrash(now.Add(time.Duration(rng.IntN(80))*time.Millisecond), r.server, r.parts)
					}
					return lost
				})
			}
			running = slices.DeleteFunc(running, func(r request) bool {
				done := !now.Before(r.ends)
				if done {
					tr.RecordCompletion(now, r.server, r.parts)
				}
				return done
			})
			running = append(running, request{
				server: uint64(1000*(step/(5*perSecond)) + rng.IntN(servers)),
				parts:  []uint64{uint64(rng.IntN(shared)), uint64(100 + rng.IntN(10*shared))},
				ends:   now.Add(time.Duration(500+rng.IntN(2000)) * time.Millisecond),
			})
			if got := tr.QuarantinedParts(now); len(got) > 0 {
				t.Fatalf("seed %d: parts %v are quarantined after %s", seed, got, now.Sub(epoch))
			}
		}
	}
}

// Guards against records that wait while others are repeated: each crash must be sent at
// once, although more crashes are recent than a message holds.
func TestNewCrashesAreSentBeforeRepetitions(t *testing.T) {
	tr := New(Config{})
	const perMessage = 4
	sent := make(map[uint64]bool)
	for i := range uint64(40) {
		now := epoch.Add(time.Duration(i) * 100 * time.Millisecond)
		tr.RecordCrash(now, i, []uint64{i})
		for _, r := range tr.Outgoing(now, perMessage) {
			sent[r.Server] = true
		}
		if !sent[i] {
			t.Fatalf("crash %d was not in the next message", i)
		}
	}
}

// Guards against a tracker that grows without limit.
func TestTrackerSizeIsBounded(t *testing.T) {
	tr := New(Config{
		MaxSuspects: 50,
	})
	for i := range uint64(3 * maxCleared) {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		tr.RecordCompletion(now, i, []uint64{1_000_000 + i})
		if i%100 == 0 {
			tr.RecordCrash(now, i, []uint64{7, i})
		}
	}
	if len(tr.suspects) > 50 || len(tr.suspects[7].crashes) > maxCrashes || len(tr.pending) > maxPending ||
		len(tr.cleared) > maxCleared || len(tr.clearedBefore) > maxCleared || len(tr.refuted) > maxCleared {
		t.Errorf("%d suspects, %d crashes of one, %d pending, %d and %d cleared, %d refuted", len(tr.suspects),
			len(tr.suspects[7].crashes), len(tr.pending), len(tr.cleared), len(tr.clearedBefore), len(tr.refuted))
	}
	now := epoch.Add(DefaultRetention + 2*time.Minute)
	tr.QuarantinedParts(now)
	if len(tr.suspects) > 0 || len(tr.crashedAt) > 0 || len(tr.pending) > 0 {
		t.Errorf("%d suspects, %d servers and %d completions are left after the retention", len(tr.suspects), len(tr.crashedAt), len(tr.pending))
	}
}
