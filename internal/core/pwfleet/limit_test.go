package pwfleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// sendAll lets each fleet send a short prompt every 100 ms if it may, and
// returns when they were sent, in milliseconds after start.
func sendAll(fleets []*Fleet, duration time.Duration) (sentAt []int) {
	for at := time.Duration(0); at < duration; at += 100 * time.Millisecond {
		now := start.Add(at)
		for _, f := range fleets {
			if p, err := f.Plan(now, short()); err == nil {
				f.Start(now, p).End()
				sentAt = append(sentAt, int(at.Milliseconds()))
			}
		}
	}
	return sentAt
}

// mostWithin returns the largest number of the times that lie within a span.
func mostWithin(times []int, span time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for times[first] <= at-int(span.Milliseconds()) {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// drainOthers lists all engines but e-0 as leaving.
func drainOthers(fleets []*Fleet, engines int) {
	for i := 1; i < engines; i++ {
		b := listed(fmt.Sprint("e-", i), "model", fmt.Sprint("dc-", i%5))
		b.Draining = true
		for _, f := range fleets {
			f.Upsert(start, b)
		}
	}
}

// Guards against processes that each keep to the limit of a server and exceed it
// together. All of them want to send to it all the time, and with 195 engines also those
// of other cells, because no other engine is left.
func TestServerLimitHoldsForAnyNumberOfProcesses(t *testing.T) {
	for _, size := range [][2]int{{1, 1}, {4, 1}, {12, 1}, {68, 1}, {68, 195}, {640, 1}} {
		processes, engines := size[0], size[1]
		for _, limit := range []float64{0, 0.3, 1.4, 8} {
			t.Run(fmt.Sprintf("%d processes, %d engines, %g a second", processes, engines, limit), func(t *testing.T) {
				seconds := 20
				if limit < minLimitRate {
					seconds = 40
				}
				fleets := newLargeFleets(processes, engines, rand.New(rand.NewPCG(1, uint64(processes))))
				drainOthers(fleets, engines)
				// Before the limit is stated, the server got some requests already.
				var sentAt []int
				for i := range int(2 * limit) {
					f := fleets[i%len(fleets)]
					f.Start(start, mustPlan(t, f, short())).End()
					sentAt = append(sentAt, 0)
				}
				for _, f := range fleets {
					f.RecordLimit(start, listed("e-0", "model", "dc-0"), limit, true)
				}
				sentAt = append(sentAt, sendAll(fleets, time.Duration(seconds)*time.Second)...)
				if most, allowed := mostWithin(sentAt, 4*time.Second), int(1.5*4*limit)+5; most > allowed {
					t.Errorf("%d requests in 4 s, allowed are %d", most, allowed)
				}
				if len(sentAt) < max(1, int(limit*float64(seconds)/2)) {
					t.Errorf("%d requests in %d s, want half of the limit at least", len(sentAt), seconds)
				}
			})
		}
	}
}

// Guards against a limit that processes keep after the server has lifted it, or forget
// while it holds, as reports and answers arrive in any order.
func TestLimitFollowsNewestAnswer(t *testing.T) {
	fleets := newLargeFleets(2, 1, rand.New(rand.NewPCG(3, 3)))
	a, b := fleets[0], fleets[1]
	check := func(f *Fleet, want float64, wantLimited bool) {
		t.Helper()
		if got, limited := f.Limit("e-0"); got != want || limited != wantLimited {
			t.Errorf("limit %g, %v, want %g, %v", got, limited, want, wantLimited)
		}
	}
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	report := func(from *Fleet, now time.Time) []LimitReport { return from.OwnLimits(now, 8) }

	if a.RecordLimit(at(0), listed("e-0", "model", "dc-0"), 0, false) || len(report(a, at(0))) > 0 {
		t.Error("an answer without a limit is a change")
	}
	if !a.RecordLimit(at(1), listed("e-0", "model", "dc-0"), 2, true) || a.RecordLimit(at(1), listed("e-0", "model", "dc-0"), 2, true) || !a.RecordLimit(at(2), listed("e-0", "model", "dc-0"), 3, true) {
		t.Error("wrong changes of a stated limit")
	}
	stated := report(a, at(2))
	if got := b.MergeLimits(at(2), "a", stated); !slices.Equal(got, []string{"e-0"}) {
		t.Errorf("changes %v", got)
	}
	check(b, 3, true)
	// b has no answer of its own, so it tells only what it sends.
	if r := report(b, at(3)); len(r) != 0 {
		t.Errorf("reports %+v", r)
	}
	b.Start(at(3), mustPlanAt(t, b, at(3))).End()
	if r := report(b, at(3)); len(r) != 1 || r[0].Stated || r[0].Sends != 1 {
		t.Errorf("reports %+v", r)
	}
	a.RecordLimit(at(4), listed("e-0", "model", "dc-0"), 0, false)
	lifted := report(a, at(4))
	b.MergeLimits(at(4), "a", lifted)
	b.MergeLimits(at(4), "a", stated)
	check(a, 0, false)
	check(b, 0, false)
	if len(report(a, at(4).Add(limitReportTime+time.Millisecond))) > 0 {
		t.Error("a lifted limit is reported for ever")
	}
	b.RecordLimit(at(5), listed("e-0", "model", "dc-0"), 1, true)
	b.MergeLimits(at(5), "a", lifted)
	check(b, 1, true)
	// A server that has started again states its limit anew.
	again := listed("e-0", "model", "dc-0")
	again.StartUnixMS = 7
	b.Upsert(at(6), again)
	check(b, 0, false)
}

// Guards against requests beyond the bound that other processes sent, which only their
// reports show.
func TestLimitCountsWhatPeersSent(t *testing.T) {
	fleets := newLargeFleets(2, 1, rand.New(rand.NewPCG(4, 4)))
	f := fleets[0]
	f.RecordLimit(start, listed("e-0", "model", "dc-0"), 2, true)
	now := start.Add(3 * time.Second)
	f.MergeLimits(now, "front-1", []LimitReport{{
		Server: HashServerID("e-0"),
		Sends:  13,
	}})
	if _, err := f.Plan(now, short()); pwverdict.CauseOf(err) != pwverdict.CauseNoCandidate {
		t.Errorf("with 13 requests of a peer in 4 s: %v", err)
	}
	// What a peer last reported is older than the window now.
	mustPlanAt(t, f, now.Add(limitWindow))
}

func mustPlanAt(t *testing.T, f *Fleet, now time.Time) Plan {
	t.Helper()
	p, err := f.Plan(now, short())
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against long prompts on servers in need, as the first engine or as a helper,
// while others are free. If all servers state limits, they are used.
func TestLongPromptsAvoidLimitedServers(t *testing.T) {
	f := newLargeFleets(1, 12, rand.New(rand.NewPCG(5, 5)))[0]
	long := Request{
		Service:         "model",
		PromptTokens:    150_000,
		MaxOutputTokens: 500,
		MaxGap:          time.Second,
	}
	for i := range 6 {
		f.RecordLimit(start, listed(fmt.Sprint("e-", i), "model", "dc-0"), 5, true)
	}
	now := start.Add(time.Second)
	p, err := f.Plan(now, long)
	if err != nil {
		t.Fatal(err)
	}
	for _, s := range append([]pwcatalog.BackendServer{p.Server}, p.Helpers...) {
		if _, limited := f.Limit(s.ID); limited {
			t.Errorf("%s states a limit and gets a part", s.ID)
		}
	}
	for i := range 12 {
		f.RecordLimit(start, listed(fmt.Sprint("e-", i), "model", "dc-0"), 5, true)
	}
	if _, err := f.Plan(now, long); err != nil {
		t.Errorf("with limits at all servers: %v", err)
	}
}
