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
	r := NewDurations(start)
	if got := r.Needed(start, "notes", timeout); got != timeout {
		t.Errorf("an unknown route needs %s, want its timeout of %s", got, timeout)
	}
	r.Record(start, "notes", 2*time.Second)
	r.Record(start, "notes", time.Second)
	for after, want := range map[time.Duration]time.Duration{
		0:                    3 * time.Second,
		window:               3 * time.Second,
		2*window - 1:         3 * time.Second,
		4 * window:           timeout,
		100 * 24 * time.Hour: timeout,
	} {
		r := NewDurations(start)
		r.Record(start, "notes", 2*time.Second)
		r.Record(start, "notes", time.Second)
		if got := r.Needed(start.Add(after), "notes", timeout); got != want {
			t.Errorf("%s after the last request, the route needs %s, want %s", after, got, want)
		}
	}
	if got := r.Needed(start, "notes", time.Second); got != time.Second {
		t.Errorf("with a timeout of 1s, the route needs %s", got)
	}
}

// naiveDuration is a recorded duration of the naive version.
type naiveDuration struct {
	at time.Time
	d  time.Duration
}

// Compares with a naive version that keeps every duration: no duration of the current
// or the previous window may be forgotten, and none of an earlier one may count.
func TestNeededAgreesWithNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const timeout = time.Hour
		start := time.Unix(1_700_000_000, 0)
		now := start
		r := NewDurations(start)
		var all []naiveDuration
		for range rapid.IntRange(1, 60).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, int(window)).Draw(t, "pause")))
			d := time.Duration(rapid.IntRange(1, 1_000).Draw(t, "ms")) * time.Millisecond
			r.Record(now, "notes", d)
			all = append(all, naiveDuration{
				at: now,
				d:  d,
			})
			current := int64(now.Sub(start) / window)
			var want time.Duration
			for _, n := range all {
				if int64(n.at.Sub(start)/window) >= current-1 {
					want = max(want, n.d)
				}
			}
			if got := r.Needed(now, "notes", timeout); got != want+want/marginDivisor {
				t.Fatalf("the route needs %s, want the longest duration, %s, with the margin", got, want)
			}
		}
	})
}

// Guards against a memory that grows with the routes of all configurations so far.
func TestRoutesAreBounded(t *testing.T) {
	start := time.Unix(1_700_000_000, 0)
	now := start
	r := NewDurations(start)
	for i := range 3 * maxRoutes {
		r.Record(now, strconv.Itoa(i), time.Second)
	}
	if n := len(r.routes); n > maxRoutes {
		t.Errorf("%d routes are remembered, want at most %d", n, maxRoutes)
	}
	now = now.Add(2 * window)
	r.Record(now, "new", time.Second)
	if got := r.Needed(now, "new", time.Minute); got != 1500*time.Millisecond {
		t.Errorf("a new route needs %s: those without requests have not made room", got)
	}
}
