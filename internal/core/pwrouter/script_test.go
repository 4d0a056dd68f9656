package pwrouter_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservers"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

// pick calls Pick n times without starting attempts and returns the distinct results.
func pick(t *testing.T, d *datadriven.TestData, f *pwfakeservers.Fleet) string {
	r := pwfakeservers.NewRequest("probe", pwscript.Int64(t, d, "prompt", 1000), uint64(pwscript.Int64(t, d, "prefix", 0)), f.Now())
	results := map[string]bool{}
	for range pwscript.Int64(t, d, "n", 200) {
		c, err := f.Router().Pick(f.Now(), r, pwrouter.PickOptions{
			Isolated: d.HasArg("isolated"),
		})
		if err != nil {
			return err.Error()
		}
		results[fmt.Sprint(c.Server(), " ", c.Reason())] = true
	}
	return strings.Join(slices.Sorted(maps.Keys(results)), "\n")
}

// TestScripts runs the scenarios in testdata/scripts. The first line of each states
// the guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var f *pwfakeservers.Fleet
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			num := func(name string, otherwise int64) int64 { return pwscript.Int64(t, d, name, otherwise) }
			id := pwrequest.BackendServerID(pwscript.String(t, d, "id"))
			switch d.Cmd {
			case "router":
				f = pwfakeservers.New(int(num("servers", 0)))
			case "report":
				rep := pwfakeservers.NewReport(string(id), pwscript.String(t, d, "dc"), f.Now().Add(-pwscript.Millis(t, d, "late_ms")))
				rep.Running = int(num("running", 0))
				rep.ReservedTokens = num("reserved", 0)
				rep.Incarnation = uint64(num("incarnation", 0))
				rep.InService = !d.HasArg("out")
				rep.LongPrefill = d.HasArg("long_prefill")
				rep.PendingPrefillTokens[pwrequest.Short] = num("pending", 0)
				f.Router().Upsert(f.Now(), rep)
			case "mark":
				f.Router().SetInService(pwrouter.Scope(num("scope", 0)), pwscript.String(t, d, "name"), !d.HasArg("out"))
			case "start":
				r := pwfakeservers.NewRequest(pwscript.String(t, d, "request"), num("prompt", 1000), uint64(num("prefix", 0)), f.Now())
				if d.HasArg("isolated") {
					f.Router().RecordIsolatedStart(id, r)
				} else {
					f.Router().RecordStart(id, r)
				}
			case "first-token":
				f.Router().RecordFirstToken(id, pwfakeservers.NewRequest(pwscript.String(t, d, "request"), 0, 0, f.Now()))
			case "finish":
				f.Router().RecordEnd(f.Now(), id, pwfakeservers.NewRequest(pwscript.String(t, d, "request"), 0, 0, f.Now()), pwrouter.Completed)
			case "fail":
				for i := range num("n", 1) {
					r := pwfakeservers.NewRequest(fmt.Sprint("fail", i), 1000, 0, f.Now())
					f.Router().RecordStart(id, r)
					f.Router().RecordEnd(f.Now(), id, r, pwrouter.Failed)
				}
			case "cache":
				var changes [2][]uint64
				for i, name := range []string{"add", "remove"} {
					if d.HasArg(name) {
						changes[i] = []uint64{uint64(num(name, 0))}
					}
				}
				f.Router().RecordCacheEvent(f.Now(), id, uint64(num("sequence", 0)), changes[0], changes[1])
			case "unreachable":
				f.Router().RecordUnreachable(f.Now(), id)
			case "wait":
				f.Advance(pwscript.Millis(t, d, "ms"))
			case "pick":
				return pick(t, d, f)
			case "run":
				load := pwfakeservers.Workload{
					Duration:      pwscript.Millis(t, d, "for_ms"),
					FailingServer: pwrequest.BackendServerID(pwscript.String(t, d, "fail")),
					SlowServer:    pwrequest.BackendServerID(pwscript.String(t, d, "slow")),
				}
				for kind, prompt := range map[string]int64{"short": 2_000, "long": 200_000} {
					if d.HasArg(kind + "_every_ms") {
						load.Streams = append(load.Streams, pwfakeservers.Stream{
							PromptTokens: prompt,
							Interval:     pwscript.Millis(t, d, kind+"_every_ms"),
							BatchSize:    int(num(kind+"_at_once", 1)),
							ServiceTime:  time.Duration(num(kind+"_ms", 50)) * time.Millisecond,
						})
					}
				}
				slices.SortFunc(load.Streams, func(a, b pwfakeservers.Stream) int { return int(a.PromptTokens - b.PromptTokens) })
				f.Run(load)
			case "expect":
				f.Stats()["picked"] = f.AttemptCount(id)
				return pwscript.CheckBounds(t, d, f.Stats())
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

func benchmarkPick(b *testing.B, servers int, reserved int64) {
	rt := pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(1, 2)))
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for i := range servers {
		rep := pwfakeservers.NewReport(fmt.Sprint("s", i), fmt.Sprint("d", i%3), now)
		rep.RunningBound, rep.Running, rep.ReservedTokens = 64, i%64, reserved
		rt.Upsert(now, rep)
	}
	rs := make([]*pwrequest.Request, 0, 1024)
	for i := range 1024 {
		prompt := int64(2000)
		if i%50 == 0 {
			prompt = 150_000
		}
		rs = append(rs, pwfakeservers.NewRequest(fmt.Sprint("r", i), prompt, uint64(1+i%300), now))
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		r := rs[i%len(rs)]
		c, err := rt.Pick(now, r, pwrouter.PickOptions{})
		if (err != nil) != (reserved > 0) {
			b.Fatal(c, err)
		}
		rt.RecordStart(c.Server(), r)
		rt.RecordEnd(now, c.Server(), r, pwrouter.Completed)
	}
}

// In the benchmarks, one operation is a Pick with its RecordStart and RecordEnd, or a
// Pick that is refused because no server has memory left.
func BenchmarkPick25(b *testing.B)      { benchmarkPick(b, 25, 0) }
func BenchmarkPick7500(b *testing.B)    { benchmarkPick(b, 7_500, 0) }
func BenchmarkRefused7500(b *testing.B) { benchmarkPick(b, 7_500, 399_000) }
