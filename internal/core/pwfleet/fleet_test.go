package pwfleet

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
)

var testEngine = pwfakecatalog.Engine()

var start = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

// newTestFleet returns a fleet with engines "e-0", "e-1" and so on, and the servers
// "d-0" to "d-2" of a plain service.
func newTestFleet(engines int) *Fleet {
	f := New(Config{
		RandIntN: func(int) int { return 0 },
	})
	f.Configure([]pwcatalog.Service{
		{
			Name:                  "model",
			Engine:                &testEngine,
			ColdRequestsPerSecond: 36,
		},
		{
			Name: "desk",
		},
	})
	for i := range engines {
		f.Upsert(start, listed(fmt.Sprintf("e-%d", i), "model", "hakata"))
	}
	for i, dc := range []string{"hakata", "dazaifu", "kurume"} {
		f.Upsert(start, listed(fmt.Sprintf("d-%d", i), "desk", dc))
	}
	return f
}

func listed(id, service, dataCentre string) pwcatalog.BackendServer {
	return pwcatalog.BackendServer{
		ID:          id,
		Service:     service,
		Address:     id,
		DataCentre:  dataCentre,
		StartUnixMS: 1,
	}
}

func short() Request {
	return Request{
		Service:         "model",
		PromptTokens:    5_000,
		MaxOutputTokens: 1_400,
		MaxGap:          250 * time.Millisecond,
	}
}

func long(tokens int64) Request {
	return Request{
		Service:         "model",
		PromptTokens:    tokens,
		MaxOutputTokens: 700,
		MaxGap:          time.Second,
	}
}

func mustPlan(t *testing.T, f *Fleet, r Request) Plan {
	t.Helper()
	p, err := f.Plan(start, r)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func TestShortPromptsArePacked(t *testing.T) {
	f := newTestFleet(20)
	used := make(map[string]bool)
	for range 24 {
		p := mustPlan(t, f, short())
		used[p.Server.ID] = true
		b := f.Start(start, p)
		b.EndPrefill()
	}
	if len(used) != 2 {
		t.Errorf("24 short answers are decoded by %d engines, want 2 with 12 each", len(used))
	}
}

func TestLongPromptsAvoidEnginesWithShortAnswers(t *testing.T) {
	f := newTestFleet(20)
	busy := make(map[string]bool)
	for range 24 {
		p := mustPlan(t, f, short())
		busy[p.Server.ID] = true
		f.Start(start, p)
	}
	p := mustPlan(t, f, long(133_000))
	if len(p.Helpers) < 8 {
		t.Errorf("%d helpers, want parts of at most %g ms", len(p.Helpers), DefaultPartPrefillMS)
	}
	for _, h := range p.Helpers {
		if busy[h.ID] {
			t.Errorf("%s decodes short answers and prefills a part of %.0f ms", h.ID, p.PartPrefillMS)
		}
	}
}

// A part that is prefilled on an engine with short answers must keep their gaps at
// 250 ms or less.
func TestPartsKeepGapsOfShortAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.IntRange(1, 24).Draw(t, "engines"))
		for range rapid.IntRange(0, 120).Draw(t, "shorts") {
			if p, err := f.Plan(start, short()); err == nil {
				f.Start(start, p).EndPrefill()
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "longs") {
			r := long(rapid.Int64Range(30_000, 600_000).Draw(t, "tokens"))
			p, err := f.Plan(start, r)
			if err != nil {
				continue
			}
			f.Start(start, p)
			for _, s := range append([]pwcatalog.BackendServer{p.Server}, p.Helpers...) {
				l := f.servers[s.ID].load()
				if l.TightStreams == 0 {
					continue
				}
				if iterationMS := f.models["model"].IterationMS(l.Requests, l.MemoryTokens, l.PrefillMS); iterationMS > 250 {
					t.Fatalf("%s: an iteration of %.0f ms with %d short answers after a prompt of %d tokens (%s)", s.ID, iterationMS, l.TightStreams, r.PromptTokens, p.Reason)
				}
			}
		}
	})
}

func TestOversizedPromptIsReservedInFull(t *testing.T) {
	f := newTestFleet(20)
	r := long(400_000)
	p := mustPlan(t, f, r)
	if len(p.Reservations) == 0 || p.Reservations[0].Server.ID != p.Server.ID {
		t.Fatalf("reservations %v, want the first engine's first", p.Reservations)
	}
	sum, entries := int64(0), 0
	for i, res := range p.Reservations {
		sum += res.Tokens
		if i > 0 && res.Server.ID != p.Helpers[i-1].ID {
			t.Errorf("reservation %d is at %s, the helper is %s", i, res.Server.ID, p.Helpers[i-1].ID)
		}
		if i > 0 || res.Tokens > 0 {
			entries++
		}
		if res.Tokens > testEngine.MemoryTokens {
			t.Errorf("%d tokens at %s exceed its memory", res.Tokens, res.Server.ID)
		}
	}
	if sum < r.PromptTokens+r.MaxOutputTokens || entries > 16 {
		t.Errorf("%d tokens in %d entries, want %d in at most 16", sum, entries, r.PromptTokens+r.MaxOutputTokens)
	}
}

func TestPromptWaitsWhenNoEngineHasRoom(t *testing.T) {
	f := newTestFleet(4)
	var err error
	for n := 0; err == nil; n++ {
		if n > 100 {
			t.Fatal("100 long prompts were placed without a refusal")
		}
		var p Plan
		if p, err = f.Plan(start, long(100_000)); err == nil {
			f.Start(start, p)
		}
	}
	if c := pwverdict.CauseOf(err); c != pwverdict.CausePrefillBusy || pwverdict.VerdictOf(err) != pwverdict.NotRun {
		t.Errorf("refused with %v", err)
	}
}

// During a burst of short prompts, a late prompt must not use engines with short
// answers.
// A small fleet must not refuse a prompt because its parts are longer than those that a
// larger one would use.
func TestLongPromptFitsUnusedFleetOfAnySize(t *testing.T) {
	for engines := 1; engines <= 20; engines++ {
		for _, tokens := range []int64{60_000, 133_000, 200_000} {
			if p := mustPlan(t, newTestFleet(engines), long(tokens)); len(p.Helpers) >= engines {
				t.Errorf("%d helpers of %d engines", len(p.Helpers), engines)
			}
		}
	}
}

func TestLatePromptsAvoidEnginesWithShortAnswers(t *testing.T) {
	f := newTestFleet(4)
	for range 64 {
		if p, err := f.Plan(start, short()); err == nil {
			f.Start(start, p).EndPrefill()
		}
	}
	r := long(60_000)
	r.Late = true
	if p, err := f.Plan(start, r); err == nil {
		t.Errorf("a late prompt goes to %s and %d helpers", p.Server.ID, len(p.Helpers))
	}
}

func TestUnusableServersGetNoWork(t *testing.T) {
	for name, change := range map[string]func(f *Fleet){
		"draining": func(f *Fleet) {
			s := listed("d-0", "desk", "hakata")
			s.Draining = true
			f.Upsert(start, s)
		},
		"evacuated": func(f *Fleet) { f.SetEvacuated("hakata", true) },
		"removed":   func(f *Fleet) { f.Remove(start, "d-0") },
		"gone":      func(f *Fleet) { f.MarkReplaced("d-0") },
		"suspect":   func(f *Fleet) { f.RecordFailure(start, "d-0", FailureResponse) },
		"full":      func(f *Fleet) { f.MarkFull(start, "d-0") },
		"moved": func(f *Fleet) {
			f.Upsert(start, listed("d-0", "model", "hakata"))
		},
	} {
		f := newTestFleet(0)
		r := Request{
			Service:    "desk",
			DataCentre: "hakata",
		}
		if p := mustPlan(t, f, r); p.Server.ID != "d-0" {
			t.Fatalf("%s: %s gets the work before the change, want d-0, the nearest", name, p.Server.ID)
		}
		change(f)
		for range 20 {
			p := mustPlan(t, f, r)
			if p.Server.ID == "d-0" {
				t.Errorf("%s: d-0 still gets work", name)
				break
			}
			f.Start(start, p)
		}
	}
}

func TestReturningServersGetWork(t *testing.T) {
	f := newTestFleet(0)
	r := Request{
		Service:    "desk",
		DataCentre: "hakata",
	}
	f.MarkReplaced("d-0")
	f.SetEvacuated("hakata", true)
	f.SetEvacuated("hakata", false)
	again := listed("d-0", "desk", "hakata")
	again.StartUnixMS = 2
	f.Upsert(start, again)
	if p := mustPlan(t, f, r); p.Server.ID != "d-0" {
		t.Errorf("%s gets the work, want the new incarnation", p.Server.ID)
	}
}

func TestLapsedEntryIsUsableUntilItsDeadline(t *testing.T) {
	f := newTestFleet(0)
	f.Remove(start, "d-1")
	f.Remove(start, "d-2")
	r := Request{
		Service: "desk",
	}
	backBy := start.Add(2 * time.Second)
	f.MarkLapsed("d-0", backBy)
	if _, err := f.Plan(backBy, r); err != nil {
		t.Errorf("before the deadline of the lapsed entry: %v", err)
	}
	if _, err := f.Plan(backBy.Add(time.Millisecond), r); err == nil {
		t.Error("a server whose entry lapsed for good still gets work")
	}
	f.Upsert(start, listed("d-0", "desk", "hakata"))
	if _, err := f.Plan(start.Add(time.Hour), r); err != nil {
		t.Errorf("after the entry was listed again: %v", err)
	}
}

func TestPeerLoadReplacesAndExpires(t *testing.T) {
	f := newTestFleet(0)
	load := func(n int) []ServerLoad {
		return []ServerLoad{{
			Server: HashServerID("d-0"),
			Load: Load{
				Requests: n,
			},
		}}
	}
	r := Request{
		Service:    "desk",
		DataCentre: "hakata",
	}
	f.SetPeerLoads(start, "front-2", load(3))
	f.SetPeerLoads(start, "front-2", load(2))
	if got := f.servers["d-0"].load().Requests; got != 2 {
		t.Errorf("%d requests after a repeated message, want 2", got)
	}
	if p := mustPlan(t, f, r); p.Server.ID == "d-0" {
		t.Error("the busiest server gets the work")
	}
	f.ExpirePeers(start.Add(DefaultPeerExpiry + time.Millisecond))
	if got := f.servers["d-0"].load().Requests; got != 0 || f.ProcessCount() != 1 {
		t.Errorf("%d requests and %d processes after the peer expired, want 0 and 1", got, f.ProcessCount())
	}
}

// The load of ended requests is removed in full, in any order of their events and of the
// updates of the servers occur.
func TestEndedAssignmentsReleaseAllLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newTestFleet(rapid.IntRange(1, 20).Draw(t, "engines"))
		var live []*Assignment
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				r := short()
				if rapid.Bool().Draw(t, "long") {
					r = long(rapid.Int64Range(20_000, 700_000).Draw(t, "tokens"))
				}
				if p, err := f.Plan(start, r); err == nil {
					live = append(live, f.Start(start, p))
				}
			case 1:
				if len(live) > 0 {
					live[rapid.IntRange(0, len(live)-1).Draw(t, "read")].EndPrefill()
				}
			case 2:
				if len(live) > 0 {
					live[rapid.IntRange(0, len(live)-1).Draw(t, "end")].End()
				}
			default:
				f.Upsert(start, listed("e-0", "model", "hakata"))
			}
		}
		for _, b := range live {
			b.End()
		}
		if loads := f.OwnLoads(); len(loads) != 0 {
			t.Fatalf("load remains after all assignments ended: %+v", loads)
		}
	})
}

// While the store is unavailable, a refused part is the only sign that an engine is
// shutting down.
func TestEngineRefusingHelpGetsNoParts(t *testing.T) {
	f := newTestFleet(20)
	first := mustPlan(t, f, long(133_000))
	refusing := first.Helpers[0].ID
	f.MarkHelpRefused(start, refusing)
	for _, h := range mustPlan(t, f, long(133_000)).Helpers {
		if h.ID == refusing {
			t.Errorf("%s gets another part", refusing)
		}
	}
	if p, err := f.Plan(start.Add(DefaultHelpCooldown), long(133_000)); err != nil || len(p.Helpers) != len(first.Helpers) {
		t.Errorf("after the cooldown: %d helpers, %v", len(p.Helpers), err)
	}
}
