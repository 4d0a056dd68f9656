package pwfleet

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
)

// turningEngine is the engine of the fleets whose mix turns.
var turningEngine = func() pwcatalog.Engine {
	e := pwfakecatalog.Engine()
	e.Slots = 12
	e.StepsPerIteration = 48
	return e
}()

// The kinds of requests of a fleet of 54 engines whose mix turns, at their mean rates.
var (
	turningShort  = requestKind{perSecond: 79, meanTokens: 4_960, sigma: 0.9, maxTokens: 23_800, events: 31, firstTokenTarget: 300 * time.Millisecond, maxGap: 250 * time.Millisecond, value: 1.3}
	turningMedium = requestKind{perSecond: 5.4, meanTokens: 45_000, sigma: 0.5, maxTokens: 110_000, events: 18, firstTokenTarget: 1500 * time.Millisecond, maxGap: 600 * time.Millisecond, value: 3.3}
	turningLong   = requestKind{perSecond: 2.55, meanTokens: 190_000, sigma: 0.55, maxTokens: 600_000, events: 15, firstTokenTarget: 3 * time.Second, maxGap: time.Second, value: 20}
)

// mixPhase is a time in which the kinds arrive at multiples of their mean rates.
type mixPhase struct {
	untilS  float64
	factors [3]float64
}

// turningMix alternates between long prompts with few short ones and the reverse.
var turningMix = []mixPhase{
	{untilS: 2.3, factors: [3]float64{1, 1, 1}},
	{untilS: 11.8, factors: [3]float64{0.4, 1.3, 2.9}},
	{untilS: 13, factors: [3]float64{1, 1, 1}},
	{untilS: 22.5, factors: [3]float64{2.5, 0.5, 0.05}},
	{untilS: 23, factors: [3]float64{1, 1, 1}},
	{untilS: 32.5, factors: [3]float64{0.31, 1.3, 2.8}},
	{untilS: 34, factors: [3]float64{1, 1, 1}},
}

const (
	turningEngines = 54
	turningSeconds = 34.0
	// turningSwing and turningPeriodS describe the wave of the arrivals of all kinds.
	turningSwing   = 0.55
	turningPeriodS = 15.0
	// lateValue is the share of its value that a late answer earns.
	lateValue = 0.25
)

// generateTurning returns the requests of a kind whose rate turns with the mix and swings.
func generateTurning(rnd *rand.Rand, kinds []requestKind, i int) []*simRequest {
	const peak = 2.9 * (1 + turningSwing)
	fast := kinds[i].scaled(peak)
	var out []*simRequest
	for _, r := range generate(rnd, &fast, turningSeconds) {
		atS := r.arrivedMS / 1000
		phase := turningMix[slices.IndexFunc(turningMix, func(p mixPhase) bool { return atS < p.untilS })]
		rate := phase.factors[i] * (1 + turningSwing*math.Sin(2*math.Pi*(atS/turningPeriodS+0.18)))
		if rnd.Float64()*peak < rate {
			r.kind = &kinds[i]
			out = append(out, r)
		}
	}
	return out
}

// simulateTurning simulates the turning mix before one process that knows all loads. Prompts
// wait in the order of the gateway's queue, and are refused after 4.2 s.
func simulateTurning(configure func(*Config), seed uint64) (kinds []requestKind, byKind [][]*simRequest) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	kinds = []requestKind{turningShort, turningMedium, turningLong}
	f := newTurningFleet(rnd, configure)
	s := &simulation{
		m:           pwcost.New(turningEngine),
		newestFirst: true,
		placement: &fleetPlacement{
			f: f,
		},
	}
	for range turningEngines {
		s.engines = append(s.engines, &simEngine{})
	}
	s.order = func(a, b *simRequest) int {
		late := func(r *simRequest) int {
			if s.nowMS > s.latestStartMS(r) {
				return 1
			}
			return 0
		}
		return cmp.Or(cmp.Compare(late(a), late(b)), cmp.Compare(s.latestStartMS(a), s.latestStartMS(b)))
	}
	for i := range kinds {
		requests := generateTurning(rnd, kinds, i)
		byKind = append(byKind, requests)
		for _, r := range requests {
			s.schedule(r.arrivedMS, func() {
				if !s.tryPlace(r) {
					s.pending = append(s.pending, r)
				}
			})
			s.schedule(r.arrivedMS+1.4*float64(r.kind.firstTokenTarget.Milliseconds()), func() {
				s.pending = slices.DeleteFunc(s.pending, func(other *simRequest) bool { return other == r })
			})
		}
	}
	const scheduleMS = 20.0
	for ms := 0.0; ms < (turningSeconds+10)*1000; ms += scheduleMS {
		s.schedule(ms, s.placePending)
	}
	s.run()
	return kinds, byKind
}

func newTurningFleet(rnd *rand.Rand, configure func(*Config)) *Fleet {
	f := newLargeFleets(1, turningEngines, rnd)[0]
	f.Configure([]pwcatalog.Service{{
		Name:   "model",
		Engine: &turningEngine,
	}})
	configure(&f.cfg)
	return f
}

// latestStartMS returns when the prefill of a request must start for the first token to be
// in time, as the gateway's queue assumes.
func (s *simulation) latestStartMS(r *simRequest) float64 {
	return r.arrivedMS + float64(r.kind.firstTokenTarget.Milliseconds()) - s.m.PrefillMS(r.tokens)/10
}

// inTime reports whether a request met its targets.
func (r *simRequest) inTime() bool {
	return r.events > 0 && r.firstTokenMS <= float64(r.kind.firstTokenTarget.Milliseconds()) && r.longestGapMS <= float64(r.kind.maxGap.Milliseconds())
}

// credit returns the earned share of the value of some requests of one kind.
func credit(requests []*simRequest) float64 {
	earned := 0.0
	for _, r := range requests {
		switch {
		case r.inTime():
			earned++
		case r.events > 0:
			earned += lateValue
		}
	}
	return earned / float64(max(1, len(requests)))
}

// boundShares returns which share of each kind the engines' speed allows in each window, by
// a planner that knows all arrivals, divides work at will and takes the kinds with the most
// value for an engine's time first, the shorter prompts before the longer ones. Decoding
// costs a request its share of the slots or the memory of an engine.
func boundShares(m pwcost.Model, byKind [][]*simRequest, windowS float64) [][]float64 {
	const slotMS, afterMS = 20.0, 20_000.0
	slots := make([]float64, int(turningSeconds*1000/slotMS)+int(afterMS/slotMS))
	for i := range slots {
		slots[i] = turningEngines * slotMS
	}
	out := make([][]float64, len(byKind))
	for i, requests := range byKind {
		served := make([]float64, int(turningSeconds/windowS)+1)
		offered := make([]float64, len(served))
		sorted := slices.Clone(requests)
		slices.SortFunc(sorted, func(a, b *simRequest) int { return cmp.Compare(a.tokens, b.tokens) })
		for _, r := range sorted {
			e := m.Engine()
			share := max(1/float64(e.Slots), float64(r.tokens)/float64(e.MemoryTokens))
			decodeMS := float64(r.kind.events) * m.IterationMS(1, r.tokens, 0) * min(1, share)
			from := int(r.arrivedMS / slotMS)
			to := int((r.arrivedMS + float64(r.kind.firstTokenTarget.Milliseconds())) / slotMS)
			window := int(r.arrivedMS / 1000 / windowS)
			offered[window]++
			if take(slots, from, to, m.PrefillMS(r.tokens), slotMS*DefaultMaxParts) {
				take(slots, to, len(slots), decodeMS, slotMS)
				served[window]++
			}
		}
		for w := range served {
			out[i] = append(out[i], served[w]/max(1, offered[w]))
		}
	}
	return out
}

// take takes work out of the slots in [from, to), at most perSlot of each, if there is room
// for all of it.
func take(slots []float64, from, to int, work, perSlot float64) bool {
	room := 0.0
	for _, free := range slots[from:min(to, len(slots))] {
		room += min(free, perSlot)
	}
	if room < work {
		return false
	}
	// The slots that later arrivals can't use are taken first.
	for i := from; i < to && work > 0; i++ {
		n := min(slots[i], perSlot, work)
		slots[i] -= n
		work -= n
	}
	return true
}

// Pattern: the mix turns every ten seconds between long prompts with few short ones and the
// reverse, and all kinds swing. Engines prefill the newest part first. Without the plan, parts
// of older prompts wait behind newer ones, and engines that have ended their parts count as
// busy until the last part of the prompt ends. More long prompts must be in time, and no fewer
// of the others.
func TestLongPromptsAreInTimeWhileMixTurns(t *testing.T) {
	const (
		seeds, windowS = 2, 2.0
		// longTarget is the users' target for the credit of the long prompts, and otherLoss
		// the credit that the other kinds may lose.
		longTarget, otherLoss = 0.8, 0.02
	)
	var before, after [3]float64
	for seed := uint64(1); seed <= seeds; seed++ {
		_, plain := simulateTurning(func(*Config) {}, seed)
		kinds, planned := simulateTurning(func(cfg *Config) { cfg.UnevenDemand.Enabled = true }, seed)
		bound := boundShares(pwcost.New(turningEngine), planned, windowS)
		for i := range kinds {
			before[i] += credit(plain[i]) / seeds
			after[i] += credit(planned[i]) / seeds
			if longest, all := servedOfLongest(planned[i]); longest < all/2 {
				t.Errorf("seed %d: %.3f of the longest tenth of kind %d were served and %.3f of all, want half of that at least", seed, longest, i, all)
			}
			t.Logf("seed %d, prompts of %.0f tokens: credit %.3f without the plan, %.3f with it; by %.0f s:", seed, kinds[i].meanTokens, credit(plain[i]), credit(planned[i]), windowS)
			for w, b := range bound[i] {
				t.Logf("from %2.0f s: bound %.2f, without the plan %.2f, with it %.2f", float64(w)*windowS, b,
					inTimeShare(plain[i], windowS, w), inTimeShare(planned[i], windowS, w))
			}
		}
	}
	t.Logf("mean credit %.3f without the plan, %.3f with it", before, after)
	if after[2] < longTarget || after[2] <= before[2] {
		t.Errorf("long prompts earn %.3f of their credit, want at least %.2f and more than %.3f", after[2], longTarget, before[2])
	}
	for i := range 2 {
		if after[i] < before[i]-otherLoss {
			t.Errorf("prompts of kind %d earn %.3f of their credit, %.3f without the plan", i, after[i], before[i])
		}
	}
}

// servedOfLongest returns which shares of the requests were served: of the longest tenth, and
// of all.
func servedOfLongest(requests []*simRequest) (longest, all float64) {
	sorted := slices.SortedFunc(slices.Values(requests), func(a, b *simRequest) int { return cmp.Compare(b.tokens, a.tokens) })
	served := func(list []*simRequest) float64 {
		refused := slices.DeleteFunc(slices.Clone(list), func(r *simRequest) bool { return r.events > 0 })
		return 1 - float64(len(refused))/float64(max(1, len(list)))
	}
	return served(sorted[:len(sorted)/10]), served(sorted)
}

// inTimeShare returns the share of the requests that arrived in a window that were in time.
func inTimeShare(requests []*simRequest, windowS float64, window int) float64 {
	n, inTime := 0, 0
	for _, r := range requests {
		if int(r.arrivedMS/1000/windowS) != window {
			continue
		}
		n++
		if r.inTime() {
			inTime++
		}
	}
	return float64(inTime) / float64(max(1, n))
}

// A turn of the mix must be seen within seconds by a process that hears its peers, and a load
// that only swings or grows must not count as one, so that its prompts are placed as before.
func TestOnlyTurnOfMixCountsAsUneven(t *testing.T) {
	steady := func(float64) (short, long float64) { return 80, 2.5 }
	for name, tc := range map[string]struct {
		rates func(atS float64) (short, long float64)
		want  bool
	}{
		"steady": {rates: steady},
		"swinging": {rates: func(atS float64) (short, long float64) {
			x := 1 + turningSwing*math.Sin(2*math.Pi*atS/turningPeriodS)
			return 80 * x, 2.5 * x
		}},
		"burst of short prompts": {rates: func(atS float64) (short, long float64) {
			if atS > 10 && atS < 13 {
				return 160, 2.5
			}
			return steady(atS)
		}},
		"turn to long prompts": {want: true, rates: func(atS float64) (short, long float64) {
			if atS > 10 {
				return 32, 7.25
			}
			return steady(atS)
		}},
		"turn to short prompts": {want: true, rates: func(atS float64) (short, long float64) {
			if atS > 10 {
				return 200, 0.1
			}
			return steady(atS)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			const stepS, seconds = 0.05, 16.0
			f := newTurningFleet(rand.New(rand.NewPCG(1, 1)), func(cfg *Config) { cfg.UnevenDemand.Enabled = true })
			due := [2]float64{}
			uneven := false
			for atS := 0.0; atS < seconds; atS += stepS {
				now := start.Add(time.Duration(atS * float64(time.Second)))
				short, long := tc.rates(atS)
				for i, rate := range []float64{short, long} {
					due[i] += rate * stepS
					n := int(due[i])
					due[i] -= float64(n)
					if i == 0 {
						f.mix.add(now, n, 0)
					} else {
						f.mix.add(now, 0, n)
					}
				}
				f.updateMix(now)
				uneven = uneven || f.IsDemandUneven(now)
			}
			if uneven != tc.want {
				t.Errorf("the demand counts as uneven: %t, want %t", uneven, tc.want)
			}
		})
	}
}

// An engine that has ended its part of a long prompt must be free for the next one before the
// prompt has its first token, and not before. The part of a slow engine takes longer than the
// engine model says and must count until the first token.
func TestPartCountsByExpectedProgress(t *testing.T) {
	f := newTurningFleet(rand.New(rand.NewPCG(1, 1)), func(cfg *Config) { cfg.UnevenDemand.Enabled = true })
	f.mix.unevenUntil = start.Add(time.Minute)
	p := mustPlan(t, f, long(190_000))
	slow := f.servers[p.Helpers[0].ID]
	slow.slowUntil = start.Add(time.Minute)
	a := f.Start(start, p)
	first := f.servers[p.Server.ID]
	part := time.Duration(p.PartPrefillMS * float64(time.Millisecond))
	f.UpdateProgress(start.Add(part / 2))
	if l := first.load(); l.PrefillMS <= 0 || l.PrefillMS > p.PartPrefillMS {
		t.Errorf("%.0f ms of a part of %.0f ms are left in its middle", l.PrefillMS, p.PartPrefillMS)
	}
	if !f.hasPartInProgress(start.Add(part/2), first.load()) {
		t.Error("an engine gets the next part in the middle of one")
	}
	after := start.Add(2 * part)
	f.UpdateProgress(after)
	if l := first.load(); l.PrefillMS != 0 {
		t.Errorf("%.0f ms are left of a part that has ended", l.PrefillMS)
	}
	if l := slow.load(); l.PrefillMS == 0 {
		t.Error("the part of a slow engine counts as ended")
	}
	a.EndPrefill()
	a.End()
	for id, s := range f.servers {
		if l := s.load(); !l.isZero() {
			t.Errorf("%s has the load %+v after all requests have ended", id, l)
		}
	}
}
