// Package pwfakeengine is a small in-memory stand-in for a model engine with
// continuous batching, chunked prefill, limited memory, a prefix cache, cold
// starts and faults that a test can switch on. It runs on the runtime's clock,
// so that a testing/synctest bubble runs it at the speed of its events.
//
// Prefill and decode are two lanes of work. The prefill lane processes one
// chunk at a time, highest priority first, and is not interrupted within a
// chunk. The decode lane gives one token to each running sequence in a step
// whose time grows with the number of sequences.
//
// # Usage
//
//	e := pwfakeengine.New(ctx, pwfakeengine.Options{
//		Name: "hakata-1",
//		Warm: true,
//	})
//	finish, err := e.Generate(ctx, generation, emit)
//	e.Crash() // every running attempt ends with engine_failed
//	http.ListenAndServe(addr, e.Handler())
package pwfakeengine

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Defaults of Options. Tokens are counts, rates are per second.
const (
	DefaultMemoryTokens = 400_000
	DefaultPrefillRate  = 60_000
	DefaultChunkTokens  = 8_192
	DefaultCacheTokens  = 100_000
	DefaultStepBase     = 24 * time.Millisecond
	// DefaultStepPerSequence keeps a step of 64 sequences under 50 ms.
	DefaultStepPerSequence = 400 * time.Microsecond
	DefaultColdSlowdown    = 5.0
	DefaultColdMaxAttempts = 4
	DefaultWarmUpTime      = 10 * time.Second
	// DefaultWarmUpTokens is the prefill work that alone makes an engine warm.
	DefaultWarmUpTokens  = 600_000
	DefaultRestartTime   = 5 * time.Second
	DefaultLoadTime      = 2 * time.Second
	DefaultReportLag     = 500 * time.Millisecond
	DefaultEventLag      = time.Second
	DefaultEventLossRate = 0.05
	DefaultImportRate    = 2_000_000
)

// Bounds of the stand-in itself.
const (
	maxEvents  = 4_096
	maxSamples = 64
	maxOrders  = 1_024
	// coldGrowth is the factor by which the limit of a cold engine grows until
	// it is warm: a bound that doubles every fifth of the warm time stays below.
	coldGrowth = 16
	// coldGrace is the time after sudden coldness in which new attempts do not
	// count, because nobody can have noticed it yet: five slow first tokens of
	// up to 10,000 tokens take that long.
	coldGrace = 3 * time.Second
	// maxDeaths bounds the remembered attempts that died in a crash.
	maxDeaths = 65_536
)

// Options describes an engine. Zero values mean the defaults.
type Options struct {
	Name            string
	Seed            uint64
	MemoryTokens    int64
	PrefillRate     float64
	ChunkTokens     int64
	CacheTokens     int64
	StepBase        time.Duration
	StepPerSequence time.Duration
	// TokensPerEmit groups decoded tokens; the first is always sent alone.
	TokensPerEmit int
	// StartWarm starts the engine warm. A restart is always cold.
	StartWarm       bool
	ColdSlowdown    float64
	ColdMaxAttempts int
	WarmUpTime      time.Duration
	WarmUpTokens    int64
	RestartTime     time.Duration
	LoadTime        time.Duration
	ReportLag       time.Duration
	EventLag        time.Duration
	// EventLossRate is the share of cache events that are lost.
	EventLossRate float64
	// Fencing makes the engine reject orders with an old fencing token.
	Fencing bool
	// Models that are loaded at every start; empty accepts every model.
	Models []pwrequest.ModelID
	// KVPool connects engines that can import KV cache from one another.
	KVPool *KVPool
}

func (o Options) withDefaults() Options {
	o.Name = cmp.Or(o.Name, "engine")
	o.MemoryTokens = cmp.Or(o.MemoryTokens, DefaultMemoryTokens)
	o.PrefillRate = cmp.Or(o.PrefillRate, DefaultPrefillRate)
	o.ChunkTokens = cmp.Or(o.ChunkTokens, DefaultChunkTokens)
	o.CacheTokens = cmp.Or(o.CacheTokens, DefaultCacheTokens)
	o.StepBase = cmp.Or(o.StepBase, DefaultStepBase)
	o.StepPerSequence = cmp.Or(o.StepPerSequence, DefaultStepPerSequence)
	o.TokensPerEmit = cmp.Or(o.TokensPerEmit, 1)
	o.ColdSlowdown = cmp.Or(o.ColdSlowdown, DefaultColdSlowdown)
	o.ColdMaxAttempts = cmp.Or(o.ColdMaxAttempts, DefaultColdMaxAttempts)
	o.WarmUpTime = cmp.Or(o.WarmUpTime, DefaultWarmUpTime)
	o.WarmUpTokens = cmp.Or(o.WarmUpTokens, DefaultWarmUpTokens)
	o.RestartTime = cmp.Or(o.RestartTime, DefaultRestartTime)
	o.LoadTime = cmp.Or(o.LoadTime, DefaultLoadTime)
	o.ReportLag = cmp.Or(o.ReportLag, DefaultReportLag)
	o.EventLag = cmp.Or(o.EventLag, DefaultEventLag)
	o.EventLossRate = cmp.Or(o.EventLossRate, DefaultEventLossRate)
	if o.KVPool == nil {
		o.KVPool = NewKVPool()
	}
	return o
}

// Stats counts what happened on an engine since New.
type Stats struct {
	Started   int64
	Finished  int64
	Cancelled int64
	// Crashes counts all crashes. Overcommits, ColdFalls of a fresh engine and
	// SuddenFalls of one that became cold without warning are reasons of them.
	Crashes           int64
	OvercommitCrashes int64
	ColdStartCrashes  int64
	SuddenColdCrashes int64
	// PeakTokens is the most memory ever held at once by attempts.
	PeakTokens int64
	// PeakColdAttempts is the most attempts ever held at once while cold, and
	// PeakColdLoad the highest ratio of attempts to the cold limit.
	PeakColdAttempts  int
	PeakColdLoadRatio float64
	// WrongGivenTokens counts resumed attempts whose given tokens were not the first
	// tokens of the response.
	WrongGivenTokens int64
	// RequestCrashes counts the crashes that CrashOn caused.
	RequestCrashes int64
	// RequestCrashTimes are when they happened.
	RequestCrashTimes []time.Time
	// LastAttemptStart is when the last attempt started. Work of a group, whose member
	// was reserved earlier, does not count.
	LastAttemptStart time.Time
}

// Engine is one stand-in engine. Create it with New.
type Engine struct {
	opts Options
	wake chan struct{}

	mu          sync.Mutex
	rng         *rand.Rand
	incarnation uint64
	up          bool
	stopped     bool
	restartAt   time.Time
	models      map[pwrequest.ModelID]bool
	names       []pwrequest.ModelID // loaded models, sorted
	adapters    map[string]bool
	role        string
	newestFence uint64
	orders      []pwengine.Order

	sequences []*sequence
	nextOrder uint64
	chunk     *chunk
	stepEnd   time.Time
	used      int64
	cache     cache
	resident  map[string]int64

	warmth    float64
	warmSince time.Time
	coldAt    time.Time
	wasWarm   bool

	pausedAt time.Time
	unpaused chan struct{}
	slow     float64
	crashOn  map[uint64]bool
	deaths   map[uint64]int // by fingerprint

	samples []sample
	events  []CacheEvent
	nextEvt uint64
	stats   Stats
}

// chunk is the part of a prompt that the prefill lane processes.
type chunk struct {
	seq    *sequence
	tokens int64
	end    time.Time
}

// sequence is one running attempt or segment.
type sequence struct {
	gen     pwengine.Generation
	seed    uint64
	order   uint64
	segment bool
	prefill int64 // prompt tokens still to process
	// transfer is the time to import KV cache, in prefill tokens without memory.
	transfer int64
	held     int64 // memory held, in tokens
	cached   *cacheEntry
	hit      int64 // prompt tokens found in the cache
	next     int64 // offset of the next token
	cold     bool  // counts against the limit of a cold engine

	notify  chan struct{}
	ready   []string
	pending int // tokens produced but not yet announced
	done    bool
	err     error
}

type sample struct {
	at   time.Time
	load pwengine.EngineLoad
}

// New starts an engine that runs until ctx ends.
func New(ctx context.Context, opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:     opts,
		wake:     make(chan struct{}, 1),
		rng:      rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.Name))),
		slow:     1,
		crashOn:  map[uint64]bool{},
		deaths:   map[uint64]int{},
		unpaused: make(chan struct{}),
	}
	close(e.unpaused)
	e.mu.Lock()
	e.boot(time.Now())
	if opts.StartWarm {
		e.warmth = 1
	}
	e.mu.Unlock()
	go e.run(ctx)
	return e
}

// Name returns the engine's name.
func (e *Engine) Name() string { return e.opts.Name }

// Token returns the token at an offset of the response to prompt.
func Token(prompt string, offset int64) string {
	return tokenAt(xxhash.Sum64String(prompt), offset)
}

func tokenAt(seed uint64, offset int64) string {
	return strconv.FormatUint(seed>>40, 36) + "." + strconv.FormatInt(offset, 36) + " "
}

// Generate runs one attempt and emits its tokens in order. It implements the
// method of the same name that package pwengine describes.
func (e *Engine) Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) (pwengine.Finish, error) {
	if g.PromptTokens <= 0 || g.MaxTokens <= 0 {
		return pwengine.Finish{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"prompt_tokens is %d and max_tokens is %d, both must be positive", g.PromptTokens, g.MaxTokens)
	}
	s, err := e.start(ctx, g, false)
	if err != nil {
		return pwengine.Finish{}, err
	}
	for {
		tokens, done, err := e.await(ctx, s)
		if len(tokens) > 0 {
			if err := emit(tokens); err != nil {
				e.cancel(s)
				return pwengine.Finish{}, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "receiver of tokens failed")
			}
		}
		if err != nil {
			return pwengine.Finish{}, err
		}
		if done {
			return pwengine.Finish{
				Reason:       "length",
				TotalTokens:  g.MaxTokens,
				CachedTokens: s.hit,
			}, nil
		}
	}
}

// PrefillSegment prefills one segment of a prompt and exports its KV cache,
// which stays in this engine's memory until DropKV.
func (e *Engine) PrefillSegment(ctx context.Context, seg pwengine.Segment) (string, error) {
	if seg.PromptTokens <= 0 {
		return "", pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"prompt_tokens is %d, it must be positive", seg.PromptTokens)
	}
	s, err := e.start(ctx, pwengine.Generation{
		AttemptID:    pwrequest.AttemptID(fmt.Sprintf("%s/%d", seg.GroupID, seg.Index)),
		Model:        seg.Model,
		Prompt:       seg.Prompt,
		PromptTokens: seg.PromptTokens,
		KVHandles:    seg.KVHandles,
	}, true)
	if err != nil {
		return "", err
	}
	for {
		_, done, err := e.await(ctx, s)
		if err != nil {
			return "", err
		}
		if done {
			return e.handleOf(s), nil
		}
	}
}

// DropKV frees exported KV cache. An unknown handle is not an error, so that a
// repetition is safe.
func (e *Engine) DropKV(ctx context.Context, handle string) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.used -= e.resident[handle]
	delete(e.resident, handle)
	e.opts.KVPool.drop(handle)
	e.sampleLoad(time.Now())
	return nil
}

// Reset cancels all work and frees all memory, as a restarted agent needs.
func (e *Engine) Reset(ctx context.Context) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAll(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "engine %s was reset", e.opts.Name))
	e.clear()
	e.sampleLoad(time.Now())
	return nil
}

// Load returns the newest load report that is at least as old as the lag.
func (e *Engine) Load(ctx context.Context) (pwengine.EngineLoad, error) {
	if err := e.reach(ctx); err != nil {
		return pwengine.EngineLoad{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for i := len(e.samples) - 1; i >= 0; i-- {
		if now.Sub(e.samples[i].at) >= e.opts.ReportLag {
			return e.samples[i].load, nil
		}
	}
	return e.samples[0].load, nil
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Usage returns the memory held now by attempts and exported KV cache, and the
// number of running attempts, without the lag of Load.
func (e *Engine) Usage() (tokens int64, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used, len(e.sequences)
}

// IsUp reports whether the engine accepts requests.
func (e *Engine) IsUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// IsWarm reports whether the engine works at full speed.
func (e *Engine) IsWarm() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.warmth >= 1
}

// reach fails when the engine is down and waits while it is paused.
func (e *Engine) reach(ctx context.Context) error {
	e.mu.Lock()
	up, unpaused := e.up, e.unpaused
	e.mu.Unlock()
	if !up {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "engine %s refused the connection", e.opts.Name)
	}
	select {
	case <-unpaused:
		return nil
	case <-ctx.Done():
		return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "engine %s did not answer", e.opts.Name)
	}
}

// start adds a sequence. A paused engine takes it and works on it later.
func (e *Engine) start(ctx context.Context, g pwengine.Generation, segment bool) (*sequence, error) {
	if err := ctx.Err(); err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseOf(err), "request ended before it was sent")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "engine %s refused the connection", e.opts.Name)
	}
	if len(e.opts.Models) > 0 && !e.models[g.Model] {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "model %q is not loaded on engine %s", g.Model, e.opts.Name)
	}
	covered, imported, err := e.opts.KVPool.cover(g.KVHandles)
	if err != nil {
		return nil, err
	}
	if need := max(1, g.PromptTokens-covered) + g.MaxTokens; need > e.opts.MemoryTokens {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"attempt needs %d tokens, engine %s has %d", need, e.opts.Name, e.opts.MemoryTokens)
	}
	now := time.Now()
	s := &sequence{
		gen:     g,
		seed:    xxhash.Sum64String(g.Prompt),
		order:   e.nextOrder,
		segment: segment,
		next:    int64(len(g.GivenTokens)),
		cold:    e.warmth < 1 && (!e.wasWarm || now.Sub(e.coldAt) >= coldGrace),
		notify:  make(chan struct{}, 1),
	}
	e.nextOrder++
	s.prefill = g.PromptTokens
	if !segment {
		s.prefill = max(1, g.PromptTokens-covered) + s.next
		if covered == 0 {
			s.cached, s.hit = e.cache.find(g)
		}
		s.transfer = int64(float64(imported) * e.opts.PrefillRate / DefaultImportRate)
		s.hit = min(s.hit, s.prefill-1)
		s.prefill -= s.hit
		e.checkGiven(s)
	}
	e.sequences = append(e.sequences, s)
	e.stats.Started++
	if !segment && len(g.KVHandles) == 0 {
		e.stats.LastAttemptStart = now
	}
	e.checkCold(now)
	e.sampleLoad(now)
	e.signal()
	return s, nil
}
