package pwfleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
)

// This file simulates engines that work in iterations, as the platform's documentation
// describes them, and compares placements under generated loads. An iteration with
// decoding requests takes a fixed number of steps, prefill takes place within it, and
// each decoding request emits an event at its end.

// requestKind describes the arrivals, sizes and targets of one kind of request. Prompt
// lengths have a log-normal distribution. A request that meets its targets earns value.
type requestKind struct {
	perSecond        float64
	meanTokens       float64
	sigma            float64
	maxTokens        float64
	events           int
	firstTokenTarget time.Duration
	maxGap           time.Duration
	value            float64
}

// The three kinds of requests that the users' sites send, at their usual rates for 21
// engines: short, medium and long prompts.
var (
	note    = requestKind{perSecond: 45, meanTokens: 4_960, sigma: 0.9, maxTokens: 23_800, events: 32, firstTokenTarget: 300 * time.Millisecond, maxGap: 250 * time.Millisecond, value: 1.3}
	compare = requestKind{perSecond: 2.5, meanTokens: 45_000, sigma: 0.5, maxTokens: 110_000, events: 19, firstTokenTarget: 1500 * time.Millisecond, maxGap: 600 * time.Millisecond, value: 3.9}
	archive = requestKind{perSecond: 2.1, meanTokens: 133_000, sigma: 0.55, maxTokens: 600_000, events: 16, firstTokenTarget: 2500 * time.Millisecond, maxGap: time.Second, value: 15}
)

// scaled returns the kind with its rate multiplied by x.
func (k requestKind) scaled(x float64) requestKind {
	k.perSecond *= x
	return k
}

type simRequest struct {
	kind *requestKind
	// firstEngine is the index of the engine that decodes the answer.
	firstEngine  int
	arrivedMS    float64
	tokens       int64
	parts        int
	pendingParts int
	firstTokenMS float64
	lastEventMS  float64
	longestGapMS float64
	events       int
	// onProgress is called with true when the prefill ends and with false when the
	// answer is complete.
	onProgress func(prefillEnded bool)
}

type simPart struct {
	r  *simRequest
	ms float64
}

// simEngine is a simulated engine with the parts that wait for prefill and the requests
// that it decodes.
type simEngine struct {
	parts    []simPart
	decoding []*simRequest
	running  bool
}

// simulation is a discrete-event simulation with a clock in milliseconds.
type simulation struct {
	m       pwcost.Model
	engines []*simEngine
	nowMS   float64
	queue   simQueue
	pending []*simRequest
	// order, if set, is the order in which waiting requests are placed, at intervals. Otherwise
	// it is that of their arrival, and they are placed when an iteration ends.
	order     func(a, b *simRequest) int
	placement placement
	// newestFirst makes engines prefill the parts of a divided prompt ahead of all other
	// reads, also of the parts of earlier prompts, and begin them between two steps.
	newestFirst bool
	completed   []*simRequest
}

// placement selects the engines for a request, the decoding one first. A nil result
// makes the request wait.
type placement interface {
	place(s *simulation, r *simRequest) []int
}

type simEvent struct {
	atMS float64
	run  func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].atMS < q[j].atMS }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(v any)        { *q = append(*q, v.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

func (s *simulation) schedule(ms float64, f func()) {
	heap.Push(&s.queue, simEvent{
		atMS: ms,
		run:  f,
	})
}

func (s *simulation) clock() time.Time {
	return start.Add(time.Duration(s.nowMS * float64(time.Millisecond)))
}

// tryPlace places a request on engines and reports whether it did. Otherwise the
// request has to wait.
func (s *simulation) tryPlace(r *simRequest) bool {
	engines := s.placement.place(s, r)
	if engines == nil {
		return false
	}
	r.parts, r.pendingParts = len(engines), len(engines)
	for _, e := range engines {
		part := simPart{
			r:  r,
			ms: s.m.PartPrefillMS(r.tokens, len(engines)),
		}
		at := len(s.engines[e].parts)
		if s.newestFirst && len(engines) > 1 {
			at = 0
		}
		s.engines[e].parts = slices.Insert(s.engines[e].parts, at, part)
		s.startIteration(s.engines[e])
	}
	r.firstEngine = engines[0]
	return true
}

// startIteration starts the next iteration of an engine that is idle but has work.
func (s *simulation) startIteration(e *simEngine) {
	if e.running || len(e.parts) == 0 && len(e.decoding) == 0 {
		return
	}
	e.running = true
	contextTokens := int64(0)
	for _, r := range e.decoding {
		contextTokens += r.tokens / int64(r.parts)
	}
	iterationMS := 0.0
	var prefilled []simPart
	if len(e.decoding) > 0 {
		// The iteration includes the prefill of all waiting parts, up to one chunk per step.
		remainingMS := float64(s.m.Engine().StepsPerIteration*s.m.Engine().PrefillChunkTokens) / s.m.Engine().PrefillTokensPerMS
		for len(e.parts) > 0 && (len(prefilled) == 0 || remainingMS >= e.parts[0].ms) {
			remainingMS -= e.parts[0].ms
			iterationMS += e.parts[0].ms
			prefilled = append(prefilled, e.parts[0])
			e.parts = e.parts[1:]
		}
		iterationMS = s.m.IterationMS(len(e.decoding), contextTokens, iterationMS)
	} else {
		iterationMS = e.parts[0].ms
		if s.newestFirst {
			iterationMS = min(iterationMS, float64(s.m.Engine().PrefillChunkTokens)/s.m.Engine().PrefillTokensPerMS)
		}
		if e.parts[0].ms -= iterationMS; e.parts[0].ms <= 0 {
			prefilled = append(prefilled, e.parts[0])
			e.parts = e.parts[1:]
		}
	}
	s.schedule(s.nowMS+iterationMS, func() {
		e.running = false
		if len(prefilled) > 0 || len(e.decoding) > 0 {
			s.finishIteration(e, prefilled)
			if s.order == nil {
				s.placePending()
			}
		}
		s.startIteration(e)
	})
}

func (s *simulation) finishIteration(e *simEngine, prefilled []simPart) {
	kept := e.decoding[:0]
	for _, r := range e.decoding {
		s.emitEvent(r)
		if r.events < r.kind.events {
			kept = append(kept, r)
			continue
		}
		r.onProgress(false)
		s.completed = append(s.completed, r)
	}
	e.decoding = kept
	for _, p := range prefilled {
		if p.r.pendingParts--; p.r.pendingParts > 0 {
			continue
		}
		p.r.onProgress(true)
		s.emitEvent(p.r)
		first := s.engines[p.r.firstEngine]
		first.decoding = append(first.decoding, p.r)
		s.startIteration(first)
	}
}

func (s *simulation) emitEvent(r *simRequest) {
	if r.events == 0 {
		r.firstTokenMS = s.nowMS - r.arrivedMS
	} else {
		r.longestGapMS = max(r.longestGapMS, s.nowMS-r.lastEventMS)
	}
	r.lastEventMS = s.nowMS
	r.events++
}

// placePending tries to place the waiting requests, in the order of the queue.
func (s *simulation) placePending() {
	if s.order != nil {
		slices.SortStableFunc(s.pending, s.order)
	}
	kept := s.pending[:0]
	for _, r := range s.pending {
		if !s.tryPlace(r) {
			kept = append(kept, r)
		}
	}
	s.pending = kept
}

// result is the outcome of one simulated load.
type result struct {
	// value is the earned share of the value of all requests.
	value float64
	// withinLimits is the fraction of the requests of each kind that met their targets.
	withinLimits []float64
	// firstTokenInTarget is the fraction of the short prompts whose first token came
	// within shortFirstTokenTargetMS.
	firstTokenInTarget float64
}

// shortFirstTokenTargetMS is the time to first token that the users require for short
// prompts.
const shortFirstTokenTargetMS = 340

// simulate generates a load for the given number of seconds, runs it until all requests
// have ended, and returns its result.
func simulate(engines int, seconds float64, kinds []requestKind, p placement, seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := &simulation{
		m:         pwcost.New(testEngine),
		placement: p,
	}
	for range engines {
		s.engines = append(s.engines, &simEngine{})
	}
	offered := make([]int, len(kinds))
	totalValue := 0.0
	for i := range kinds {
		k := &kinds[i]
		for _, r := range generate(rnd, k, seconds) {
			offered[i]++
			totalValue += k.value
			s.schedule(r.arrivedMS, func() {
				if len(s.pending) > 0 && r.kind != &kinds[0] || !s.tryPlace(r) {
					s.pending = append(s.pending, r)
				}
			})
		}
	}
	s.run()
	return s.score(kinds, offered, totalValue)
}

// generate returns the requests of one kind that arrive within a number of seconds.
func generate(rnd *rand.Rand, k *requestKind, seconds float64) (requests []*simRequest) {
	for at := rnd.ExpFloat64() / k.perSecond; at < seconds; at += rnd.ExpFloat64() / k.perSecond {
		tokens := min(k.maxTokens, k.meanTokens*math.Exp(k.sigma*rnd.NormFloat64()-k.sigma*k.sigma/2))
		requests = append(requests, &simRequest{
			kind:       k,
			arrivedMS:  at * 1000,
			tokens:     int64(tokens),
			onProgress: func(bool) {},
		})
	}
	return requests
}

// run runs the simulation until nothing is left to do.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		ev := heap.Pop(&s.queue).(simEvent)
		s.nowMS = ev.atMS
		ev.run()
	}
}

// score computes the result. Answers that miss a target earn a quarter of their value.
func (s *simulation) score(kinds []requestKind, offered []int, totalValue float64) result {
	out := result{
		withinLimits: make([]float64, len(kinds)),
	}
	earnedValue, inTarget := 0.0, 0
	for _, r := range s.completed {
		i := 0
		for &kinds[i] != r.kind {
			i++
		}
		if i == 0 && r.firstTokenMS <= shortFirstTokenTargetMS {
			inTarget++
		}
		if r.firstTokenMS <= float64(r.kind.firstTokenTarget.Milliseconds()) && r.longestGapMS <= float64(r.kind.maxGap.Milliseconds()) {
			out.withinLimits[i] += 1 / float64(offered[i])
			earnedValue += r.kind.value
		} else {
			earnedValue += r.kind.value / 4
		}
	}
	out.value = earnedValue / totalValue
	out.firstTokenInTarget = float64(inTarget) / float64(max(1, offered[0]))
	return out
}

// fleetPlacement places requests with the Fleet of this package.
type fleetPlacement struct {
	f *Fleet
}

func newFleetPlacement(engines int) *fleetPlacement {
	return &fleetPlacement{
		f: newTestFleet(engines),
	}
}

func (p *fleetPlacement) place(s *simulation, r *simRequest) []int {
	plan, err := p.f.Plan(s.clock(), Request{
		Service:         "model",
		PromptTokens:    r.tokens,
		MaxOutputTokens: int64(43 * r.kind.events),
		MaxGap:          r.kind.maxGap,
		Urgent:          s.nowMS-r.arrivedMS > 700,
		Late:            s.nowMS-r.arrivedMS > float64(r.kind.firstTokenTarget.Milliseconds()),
	})
	if err != nil {
		return nil
	}
	b := p.f.Start(s.clock(), plan)
	r.onProgress = func(prefillEnded bool) {
		if prefillEnded {
			b.EndPrefill()
		} else {
			b.End()
		}
	}
	out := []int{engineIndex(plan.Server.ID)}
	for _, h := range plan.Helpers {
		out = append(out, engineIndex(h.ID))
	}
	return out
}

func engineIndex(id string) int {
	var n int
	if _, err := fmt.Sscanf(id, "e-%d", &n); err != nil {
		panic(err)
	}
	return n
}

// leastTokens sends each prompt undivided to the engine in [first, end) with the fewest
// prompt tokens.
type leastTokens struct {
	load  map[int]int64
	first int
	end   int
}

func (p *leastTokens) place(s *simulation, r *simRequest) []int {
	best := p.first
	for e := p.first; e < p.end; e++ {
		if p.load[e] < p.load[best] {
			best = e
		}
	}
	p.load[best] += r.tokens
	r.onProgress = func(prefillEnded bool) {
		if !prefillEnded {
			p.load[best] -= r.tokens
		}
	}
	return []int{best}
}

// spreadOverAll spreads each long prompt over the largest allowed number of engines,
// round robin.
type spreadOverAll struct {
	short      leastTokens
	nextEngine int
}

func (p *spreadOverAll) place(s *simulation, r *simRequest) []int {
	if r.tokens < 24_000 {
		return p.short.place(s, r)
	}
	var out []int
	for range min(DefaultMaxParts, len(s.engines)) {
		out = append(out, p.nextEngine%len(s.engines))
		p.nextEngine++
	}
	return out
}

// fixedPartition dedicates a fixed share of the engines to long prompts.
type fixedPartition struct {
	short leastTokens
	long  leastTokens
}

func (p *fixedPartition) place(s *simulation, r *simRequest) []int {
	if r.tokens < 24_000 {
		return p.short.place(s, r)
	}
	return p.long.place(s, r)
}

// baselines returns the simple placements that a Fleet is compared with.
func baselines(engines int) map[string]func() placement {
	all := func() leastTokens {
		return leastTokens{
			load: make(map[int]int64),
			end:  engines,
		}
	}
	return map[string]func() placement{
		"one engine": func() placement {
			p := all()
			return &p
		},
		"all engines": func() placement {
			return &spreadOverAll{
				short: all(),
			}
		},
		"fixed partition": func() placement {
			p := &fixedPartition{
				short: all(),
				long:  all(),
			}
			p.short.end = engines * 6 / 10
			p.long.first = engines * 6 / 10
			return p
		},
	}
}

// mixes holds the loads that the users' sites have over a day: the usual one, many long
// prompts with few short ones, a burst of short ones, and many of both.
var mixes = map[string][]requestKind{
	"usual mix":      {note, compare, archive},
	"long prompts":   {note.scaled(0.35), compare.scaled(1.3), archive.scaled(2)},
	"short burst":    {note.scaled(2), compare.scaled(0.5), archive.scaled(0.05)},
	"long and short": {note.scaled(1.3), compare, archive.scaled(1.3)},
}

// A Fleet must earn at least the value that each baseline earns in each mix, and short
// prompts must have their first token within the users' target in all of them.
func TestPlanOutperformsBaselines(t *testing.T) {
	const engines, seconds, target = 21, 20.0, 0.95
	for name, kinds := range mixes {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				ours := simulate(engines, seconds, kinds, newFleetPlacement(engines), seed)
				t.Logf("seed %d: value %.3f, targets met %.3v, first token in target %.3f", seed, ours.value, ours.withinLimits, ours.firstTokenInTarget)
				if ours.firstTokenInTarget < target {
					t.Errorf("seed %d: %.3f of the short prompts have their first token within %d ms, want %.2f", seed, ours.firstTokenInTarget, shortFirstTokenTargetMS, target)
				}
				for other, newPlacement := range baselines(engines) {
					theirs := simulate(engines, seconds, kinds, newPlacement(), seed)
					t.Logf("seed %d: %s: value %.3f, targets met %.3v, first token in target %.3f", seed, other, theirs.value, theirs.withinLimits, theirs.firstTokenInTarget)
					if ours.value < theirs.value {
						t.Errorf("seed %d: value %.3f, %s reaches %.3f", seed, ours.value, other, theirs.value)
					}
				}
			}
		})
	}
}
