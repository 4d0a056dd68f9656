package pwmeasure

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwworkload"
)

// measureSeed is the seed of the engines and arrivals in all measurements.
const measureSeed = 1

// raceEnabled reports whether the race detector is on, which makes a run four times
// as long. .ci/run also runs this package without it.
var raceEnabled bool

// forEachSystem runs f for the baseline and for the current design, in parallel
// subtests with a synctest bubble each.
func forEachSystem(t *testing.T, name string, org pwworkload.Organisation, f func(t *testing.T, name string, s System)) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		t.Parallel()
		for _, system := range []string{"naive", "current"} {
			t.Run(system, func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) {
					s := startSystem(t, system, org)
					defer s.Close()
					time.Sleep(time.Second) // until the first load reports have arrived
					f(t, system, s)
				})
			})
		}
	})
}

// startSystem starts the system with the given name, "naive" or "current".
func startSystem(t *testing.T, system string, org pwworkload.Organisation) System {
	t.Helper()
	if system == "naive" {
		return NewNaive(t.Context(), org, measureSeed)
	}
	return startCurrent(t, org, TokensPerEmit)
}

// startCurrent starts the current design in the state of a fleet that has run for a
// while.
func startCurrent(t *testing.T, org pwworkload.Organisation, tokensPerEmit int) *Current {
	t.Helper()
	c, err := NewCurrent(t.Context(), org, measureSeed, tokensPerEmit)
	if err != nil {
		t.Fatal(err)
	}
	c.Fleet().WarmUp()
	return c
}

// TestMeasurements measures the naive baseline and the current design, and checks
// that the current design reaches the targets of the design page.
func TestMeasurements(t *testing.T) {
	if raceEnabled {
		t.Skip("measured without the race detector, in a step of its own")
	}
	for _, org := range []pwworkload.Organisation{pwworkload.Collective(), pwworkload.Cooperativa()} {
		t.Run(org.Name, func(t *testing.T) {
			t.Parallel()
			measureLatency(t, org)
		})
	}
	t.Run("leaving", func(t *testing.T) {
		measureTakeOut(t, pwworkload.Collective())
	})
	t.Run("reservations", func(t *testing.T) {
		measureReservations(t, pwworkload.Cooperativa())
	})
}

// measureLatency logs the latencies of both systems with and without long prompts and
// checks those of the current design.
func measureLatency(t *testing.T, org pwworkload.Organisation) {
	var mu sync.Mutex
	results := map[string]*Result{}
	t.Run("run", func(t *testing.T) {
		for _, long := range []bool{true, false} {
			forEachSystem(t, fmt.Sprintf("long_%t", long), org, func(t *testing.T, name string, s System) {
				r := MeasureLatency(t.Context(), s, org, measureSeed, long)
				mu.Lock()
				defer mu.Unlock()
				results[fmt.Sprintf("%s %t", name, long)] = r
			})
		}
	})
	for _, name := range []string{"naive", "current"} {
		r, without := results[name+" true"], results[name+" false"]
		var cells []string
		for _, group := range []string{"1k", "10k", ShortGroup, "100k", "1M"} {
			cells = append(cells, fmt.Sprintf("%s %s", group, percentiles(r, group)))
		}
		t.Logf("%-8s first token at 70 %% load, median/95th/99th: %s", name, strings.Join(cells, "; "))
		t.Logf("%-8s %s", name, summary(r))
		t.Logf("%-8s slowdown of short prompts by long ones: median %.2f, 95th %.2f", name,
			slowdown(r, without, 50), slowdown(r, without, 95))
	}
	r, without := results["current true"], results["current false"]
	t.Run("first_token", func(t *testing.T) {
		if d := r.Percentile(ShortGroup, 95); d > TargetFirstToken || d == 0 {
			t.Errorf("first token of short prompts takes %v for 95 in 100, target %v", d, TargetFirstToken)
		}
	})
	for _, p := range []float64{50, 95} {
		t.Run(fmt.Sprintf("slowdown_%v", p), func(t *testing.T) {
			if x := slowdown(r, without, p); !(x < TargetSlowdown) {
				t.Errorf("slowdown of short prompts is %.2f at percentile %v, target %v", x, p, TargetSlowdown)
			}
		})
	}
	t.Run("nothing_lost", func(t *testing.T) { checkNothingLost(t, r) })
}

// slowdown returns the factor by which long prompts slow down short ones, at
// percentile p of the time to first token.
func slowdown(with, without *Result, p float64) float64 {
	return with.Percentile(ShortGroup, p).Seconds() / without.Percentile(ShortGroup, p).Seconds()
}

// percentiles returns the median, 95th and 99th percentile of a group.
func percentiles(r *Result, group string) string {
	return fmt.Sprintf("%v/%v/%v", roundToMillis(r.Percentile(group, 50)), roundToMillis(r.Percentile(group, 95)), roundToMillis(r.Percentile(group, 99)))
}

func roundToMillis(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

func summary(r *Result) string {
	return fmt.Sprintf("completed %d, refused %d, lost %d, wrong responses %d, late %d %v", r.Completed, r.Refused, r.Lost, r.WrongResponses, r.DeadlineMisses, r.Causes)
}

// checkNothingLost checks that every admitted request has completed in time.
func checkNothingLost(t *testing.T, r *Result) {
	t.Helper()
	if r.Lost > 0 || r.WrongResponses > 0 || r.DeadlineMisses > 0 || r.Completed == 0 {
		t.Errorf("admitted requests must complete in time: %s %s", summary(r), r.WrongExample)
	}
}

// measureTakeOut logs what happens while a data centre is out of service and checks
// that the current design loses no request and exceeds no bound.
func measureTakeOut(t *testing.T, org pwworkload.Organisation) {
	forEachSystem(t, "run", org, func(t *testing.T, name string, s System) {
		r := MeasureTakeOut(t.Context(), s, org, measureSeed)
		t.Logf("%-8s one data centre of three leaves and returns: %s", name, summary(r.Result))
		t.Logf("%-8s last new work after the mark: %v", name, roundToMillis(r.NewWorkStopTime))
		t.Logf("%-8s most attempts on a cold engine %d, %.2f of its limit, %d crashed in cold start; %d ran out of memory",
			name, r.PeakColdAttempts, r.PeakColdLoad, r.ColdCrashes, r.Overcommits)
		if name == "naive" {
			return
		}
		checkNothingLost(t, r.Result)
		if r.NewWorkStopTime > TargetNewWorkStop {
			t.Errorf("data centre gets new work %v after it was taken out, target %v", r.NewWorkStopTime, TargetNewWorkStop)
		}
		if r.ColdCrashes > 0 || r.Overcommits > 0 || r.PeakColdLoad > 1 {
			t.Errorf("a bound was exceeded: %d engines crashed in cold start, %d ran out of memory, load of a cold engine up to %.2f of its limit",
				r.ColdCrashes, r.Overcommits, r.PeakColdLoad)
		}
	})
}

// measureReservations logs how often reservations ran while responses were lost, and
// checks that none ran twice in the current design.
func measureReservations(t *testing.T, org pwworkload.Organisation) {
	forEachSystem(t, "run", org, func(t *testing.T, name string, s System) {
		var loseResponse func(int)
		if c, ok := s.(*Current); ok {
			loseResponse = c.LoseTableResponses
		}
		r := MeasureReservations(t.Context(), s, loseResponse)
		t.Logf("%-8s reservations run 0, 1, 2 and more times: %d, %d, %d; last verdicts %v", name,
			r.Runs[0], r.Runs[1], reservationCount-r.Runs[0]-r.Runs[1], r.Verdicts)
		if name == "current" && (r.Runs[0]+r.Runs[1] != reservationCount || r.Runs[1] == 0 || r.FalseNotRun > 0) {
			t.Errorf("reservations ran %v times, %d ran although the verdict was not_run", r.Runs, r.FalseNotRun)
		}
	})
}

// TestChaos checks the guarantees of the design page under random faults.
func TestChaos(t *testing.T) {
	seeds := []uint64{1, 2, 3}
	if raceEnabled {
		seeds = seeds[:1]
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed_%d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				org := pwworkload.Collective()
				s := startCurrent(t, org, 1)
				defer s.Close()
				time.Sleep(time.Second)
				c := RunChaos(t.Context(), s, org, seed)
				t.Log(c)
				if len(c.Violations) > 0 {
					t.Errorf("%d guarantees were violated", len(c.Violations))
				}
			})
		})
	}
}
