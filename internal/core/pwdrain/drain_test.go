package pwdrain

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

// Guards against a stopping process that takes a request which is longer than the time
// that is left, or refuses one that is known to fit.
func TestNeededFollowsRecentDurations(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	const timeout = 10 * time.Second
	for name, tc := range map[string]struct {
		recorded []time.Duration
		after    time.Duration
		timeout  time.Duration
		certain  time.Duration
		likely   time.Duration
	}{
		"unknown":         {timeout: timeout, certain: timeout, likely: timeout},
		"one request":     {recorded: []time.Duration{2 * time.Second}, timeout: timeout, certain: 3 * time.Second, likely: 2 * time.Second},
		"an exception":    {recorded: append(tenOf(time.Second), 4*time.Second), timeout: timeout, certain: 6 * time.Second, likely: time.Second},
		"not yet too old": {recorded: tenOf(time.Second), after: maxAge - 1, timeout: timeout, certain: 1500 * time.Millisecond, likely: time.Second},
		"too old":         {recorded: tenOf(time.Second), after: maxAge, timeout: timeout, certain: timeout, likely: timeout},
		"short timeout":   {recorded: tenOf(time.Second), timeout: 100 * time.Millisecond, certain: 100 * time.Millisecond, likely: 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			r := NewDurations()
			for _, d := range tc.recorded {
				r.Record(start, "notes", d)
			}
			now := start.Add(tc.after)
			if got := r.Needed(now, "notes", tc.timeout, Certain); got != tc.certain {
				t.Errorf("to be certain, the route needs %s, want %s", got, tc.certain)
			}
			if got := r.Needed(now, "notes", tc.timeout, Likely); got != tc.likely {
				t.Errorf("the route is likely to need %s, want %s", got, tc.likely)
			}
		})
	}
}

func tenOf(d time.Duration) []time.Duration {
	out := make([]time.Duration, 10)
	for i := range out {
		out[i] = d
	}
	return out
}

// Compares with a naive version that keeps every duration and counts those that are
// shorter.
func TestNeededAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const timeout = time.Hour
		now := time.Unix(1_700_000_000, 0)
		r := NewDurations()
		var all []sample
		for range rapid.IntRange(1, 2*maxSamples).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(maxAge/8)).Draw(t, "pause")))
			d := time.Duration(rapid.IntRange(1, 1_000).Draw(t, "ms")) * time.Millisecond
			r.Record(now, "notes", d)
			all = append(all, sample{
				endedAt:  now,
				duration: d,
			})
		}
		counted := all[max(0, len(all)-maxSamples):]
		var longest, likely time.Duration
		total, shorter := 0, 0
		likely = r.Needed(now, "notes", timeout, Likely)
		for _, s := range counted {
			if now.Sub(s.endedAt) < maxAge {
				total++
				longest = max(longest, s.duration)
				if s.duration <= likely {
					shorter++
				}
			}
		}
		if got := r.Needed(now, "notes", timeout, Certain); got != longest+longest/marginDivisor {
			t.Fatalf("the route needs %s, want the longest duration, %s, with the margin", got, longest)
		}
		if float64(shorter) < likelyQuantile*float64(total-1) || likely > longest {
			t.Fatalf("%s covers %d of %d recent requests", likely, shorter, total)
		}
	})
}

// Guards against a memory that grows with the routes of all configurations so far.
func TestRoutesAreBounded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := NewDurations()
	for i := range 3 * maxRoutes {
		r.Record(now, strconv.Itoa(i), time.Second)
	}
	if n := len(r.routes); n > maxRoutes {
		t.Errorf("%d routes are remembered, want at most %d", n, maxRoutes)
	}
	now = now.Add(maxAge)
	r.Record(now, "new", time.Second)
	if got := r.Needed(now, "new", time.Minute, Likely); got != time.Second {
		t.Errorf("a new route needs %s: those without requests have not made room", got)
	}
}
