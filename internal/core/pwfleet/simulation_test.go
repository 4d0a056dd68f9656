package pwfleet

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
)

// This file plays loads against a model of engines that work in passes, as the
// platform's page describes them: a pass with writers takes a fixed number of
// steps, reading happens inside of it, and its end is the next event of each
// writer.

// kind is one kind of request of a load.
type kind struct {
	perSecond float64
	tokens    float64
	spread    float64
	most      float64
	events    int
	aim       time.Duration
	gap       time.Duration
	worth     float64
}

// The three kinds of the users' sites, at their usual rates for 21 engines.
var (
	note    = kind{perSecond: 45, tokens: 4_960, spread: 0.9, most: 23_800, events: 32, aim: 300 * time.Millisecond, gap: 250 * time.Millisecond, worth: 1.3}
	compare = kind{perSecond: 2.5, tokens: 45_000, spread: 0.5, most: 110_000, events: 19, aim: 1500 * time.Millisecond, gap: 600 * time.Millisecond, worth: 3.9}
	archive = kind{perSecond: 2.1, tokens: 133_000, spread: 0.55, most: 600_000, events: 16, aim: 2500 * time.Millisecond, gap: time.Second, worth: 15}
)

// scaled returns a kind at another rate.
func (k kind) scaled(x float64) kind {
	k.perSecond *= x
	return k
}

type simRequest struct {
	kind    *kind
	index   int
	arrived float64
	tokens  int64
	parts   int
	unread  int
	first   float64
	last    float64
	gap     float64
	events  int
	done    func(read bool)
}

type simPart struct {
	r  *simRequest
	ms float64
}

// simEngine is one engine.
type simEngine struct {
	parts   []simPart
	writers []*simRequest
	running bool
}

// simulation plays a load in milliseconds of its own clock.
type simulation struct {
	m       pwcost.Model
	engines []*simEngine
	now     float64
	queue   simQueue
	pending []*simRequest
	place   placement
	ended   []*simRequest
}

// placement decides where a request goes; nil makes it wait.
type placement interface {
	place(s *simulation, r *simRequest) []int
}

type simEvent struct {
	at float64
	f  func()
}

type simQueue []simEvent

func (q simQueue) Len() int           { return len(q) }
func (q simQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q simQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(v any)        { *q = append(*q, v.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

func (s *simulation) at(ms float64, f func()) {
	heap.Push(&s.queue, simEvent{
		at: ms,
		f:  f,
	})
}

func (s *simulation) clock() time.Time {
	return start.Add(time.Duration(s.now * float64(time.Millisecond)))
}

// offer places a request, or lets it wait.
func (s *simulation) offer(r *simRequest) bool {
	engines := s.place.place(s, r)
	if engines == nil {
		return false
	}
	r.parts, r.unread = len(engines), len(engines)
	for _, e := range engines {
		part := simPart{
			r:  r,
			ms: s.m.PartPrefillMS(r.tokens, len(engines)),
		}
		s.engines[e].parts = append(s.engines[e].parts, part)
		s.run(s.engines[e])
	}
	r.index = engines[0]
	return true
}

// run starts the next pass of an engine that stands still.
func (s *simulation) run(e *simEngine) {
	if e.running || len(e.parts) == 0 && len(e.writers) == 0 {
		return
	}
	e.running = true
	context := int64(0)
	for _, w := range e.writers {
		context += w.tokens / int64(w.parts)
	}
	length := 0.0
	var read []simPart
	if len(e.writers) > 0 {
		// All that waits is read in this pass, up to its number of chunks.
		room := float64(testEngine.StepsPerPass*testEngine.PrefillChunkTokens) / testEngine.PrefillTokensPerMS
		for len(e.parts) > 0 && (len(read) == 0 || room >= e.parts[0].ms) {
			room -= e.parts[0].ms
			length += e.parts[0].ms
			read = append(read, e.parts[0])
			e.parts = e.parts[1:]
		}
		length = s.m.PassMS(len(e.writers), context, length)
	} else {
		read = append(read, e.parts[0])
		length = e.parts[0].ms
		e.parts = e.parts[1:]
	}
	s.at(s.now+length, func() {
		e.running = false
		s.finishPass(e, read)
		s.retry()
		s.run(e)
	})
}

func (s *simulation) finishPass(e *simEngine, read []simPart) {
	kept := e.writers[:0]
	for _, w := range e.writers {
		s.event(w)
		if w.events < w.kind.events {
			kept = append(kept, w)
			continue
		}
		w.done(false)
		s.ended = append(s.ended, w)
	}
	e.writers = kept
	for _, p := range read {
		if p.r.unread--; p.r.unread > 0 {
			continue
		}
		p.r.done(true)
		s.event(p.r)
		first := s.engines[p.r.index]
		first.writers = append(first.writers, p.r)
		s.run(first)
	}
}

func (s *simulation) event(r *simRequest) {
	if r.events == 0 {
		r.first = s.now - r.arrived
	} else {
		r.gap = max(r.gap, s.now-r.last)
	}
	r.last = s.now
	r.events++
}

// retry offers waiting requests again, the ones that are due first.
func (s *simulation) retry() {
	kept := s.pending[:0]
	for _, r := range s.pending {
		if !s.offer(r) {
			kept = append(kept, r)
		}
	}
	s.pending = kept
}

// result is the outcome of one load.
type result struct {
	worth float64
	// inAim is the part of the requests of each kind that were in time.
	inAim []float64
	// firstInTarget is the part of the short prompts with a first token within
	// the product's target.
	firstInTarget float64
}

// firstTokenTarget is the time to the first token in the users' letter.
const firstTokenTarget = 340

// play runs a load for some seconds and lets it end.
func play(engines int, seconds float64, kinds []kind, p placement, seed uint64) result {
	rnd := rand.New(rand.NewPCG(seed, 7))
	s := &simulation{
		m:     pwcost.New(testEngine),
		place: p,
	}
	for range engines {
		s.engines = append(s.engines, &simEngine{})
	}
	asked := make([]int, len(kinds))
	owed := 0.0
	for i := range kinds {
		k := &kinds[i]
		for at := rnd.ExpFloat64() / k.perSecond; at < seconds; at += rnd.ExpFloat64() / k.perSecond {
			tokens := min(k.most, k.tokens*math.Exp(k.spread*rnd.NormFloat64()-k.spread*k.spread/2))
			r := &simRequest{
				kind:    k,
				arrived: at * 1000,
				tokens:  int64(tokens),
				done:    func(bool) {},
			}
			asked[i]++
			owed += k.worth
			s.at(r.arrived, func() {
				if len(s.pending) > 0 && r.kind != &kinds[0] || !s.offer(r) {
					s.pending = append(s.pending, r)
				}
			})
		}
	}
	for len(s.queue) > 0 {
		ev := heap.Pop(&s.queue).(simEvent)
		s.now = ev.at
		ev.f()
	}
	return s.judge(kinds, asked, owed)
}

// judge gives a quarter of the worth to answers that are late.
func (s *simulation) judge(kinds []kind, asked []int, owed float64) result {
	out := result{
		inAim: make([]float64, len(kinds)),
	}
	earned, target := 0.0, 0
	for _, r := range s.ended {
		i := 0
		for &kinds[i] != r.kind {
			i++
		}
		if i == 0 && r.first <= firstTokenTarget {
			target++
		}
		if r.first <= float64(r.kind.aim.Milliseconds()) && r.gap <= float64(r.kind.gap.Milliseconds()) {
			out.inAim[i] += 1 / float64(asked[i])
			earned += r.kind.worth
		} else {
			earned += r.kind.worth / 4
		}
	}
	out.worth = earned / owed
	out.firstInTarget = float64(target) / float64(max(1, asked[0]))
	return out
}

// planned is the decision of this package.
type planned struct {
	f *Fleet
}

func newPlanned(engines int) *planned {
	return &planned{
		f: newTestFleet(engines),
	}
}

func (p *planned) place(s *simulation, r *simRequest) []int {
	plan, err := p.f.Plan(s.clock(), Request{
		Service:         "model",
		PromptTokens:    r.tokens,
		MaxOutputTokens: int64(43 * r.kind.events),
		MaxGap:          r.kind.gap,
		Urgent:          s.now-r.arrived > 700,
		Late:            s.now-r.arrived > float64(r.kind.aim.Milliseconds()),
	})
	if err != nil {
		return nil
	}
	b := p.f.Start(s.clock(), plan)
	r.done = func(read bool) {
		if read {
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

// leastTokens sends each prompt whole to the engine with the fewest tokens.
type leastTokens struct {
	load map[int]int64
	from int
	to   int
}

func (p *leastTokens) place(s *simulation, r *simRequest) []int {
	best := p.from
	for e := p.from; e < p.to; e++ {
		if p.load[e] < p.load[best] {
			best = e
		}
	}
	p.load[best] += r.tokens
	r.done = func(read bool) {
		if !read {
			p.load[best] -= r.tokens
		}
	}
	return []int{best}
}

// everywhere spreads each long prompt over as many engines as it may take.
type everywhere struct {
	short leastTokens
	next  int
}

func (p *everywhere) place(s *simulation, r *simRequest) []int {
	if r.tokens < 24_000 {
		return p.short.place(s, r)
	}
	var out []int
	for range min(DefaultMaxParts, len(s.engines)) {
		out = append(out, p.next%len(s.engines))
		p.next++
	}
	return out
}

// fixedLanes keeps a fixed part of the engines for long prompts.
type fixedLanes struct {
	short leastTokens
	long  leastTokens
}

func (p *fixedLanes) place(s *simulation, r *simRequest) []int {
	if r.tokens < 24_000 {
		return p.short.place(s, r)
	}
	return p.long.place(s, r)
}

func naive(engines int) map[string]func() placement {
	all := func() leastTokens {
		return leastTokens{
			load: make(map[int]int64),
			to:   engines,
		}
	}
	return map[string]func() placement{
		"one engine": func() placement {
			p := all()
			return &p
		},
		"all engines": func() placement {
			return &everywhere{
				short: all(),
			}
		},
		"fixed lanes": func() placement {
			lanes := &fixedLanes{
				short: all(),
				long:  all(),
			}
			lanes.short.to = engines * 6 / 10
			lanes.long.from = engines * 6 / 10
			return lanes
		},
	}
}

// The mixes of the users' days: the usual one, many long prompts with few short
// ones, and a burst of short ones.
var mixes = map[string][]kind{
	"usual mix":      {note, compare, archive},
	"long prompts":   {note.scaled(0.35), compare.scaled(1.3), archive.scaled(2)},
	"short burst":    {note.scaled(2), compare.scaled(0.5), archive.scaled(0.05)},
	"long and short": {note.scaled(1.3), compare, archive.scaled(1.3)},
}

// The decision must serve each mix better than the naive ones do, and short
// prompts must have their first token within the users' target beside any mix.
func TestDecisionAgainstNaiveOnes(t *testing.T) {
	const engines, seconds, target = 21, 20.0, 0.95
	for name, kinds := range mixes {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= 3; seed++ {
				ours := play(engines, seconds, kinds, newPlanned(engines), seed)
				t.Logf("seed %d: worth %.3f, in aim %.3v, first token in target %.3f", seed, ours.worth, ours.inAim, ours.firstInTarget)
				if ours.firstInTarget < target {
					t.Errorf("seed %d: %.3f of the short prompts have their first token within %d ms, want %.2f", seed, ours.firstInTarget, firstTokenTarget, target)
				}
				for other, newPlacement := range naive(engines) {
					theirs := play(engines, seconds, kinds, newPlacement(), seed)
					t.Logf("seed %d: %s: worth %.3f, in aim %.3v, first token in target %.3f", seed, other, theirs.worth, theirs.inAim, theirs.firstInTarget)
					if ours.worth < theirs.worth {
						t.Errorf("seed %d: worth %.3f, %s reaches %.3f", seed, ours.worth, other, theirs.worth)
					}
				}
			}
		})
	}
}
