// Package pwfakeengine is an in-memory fake of a model engine with continuous batching,
// chunked prefill, limited memory, a prefix cache, cold starts and faults that a test
// can inject. It uses the runtime's clock, so that tests can run it on the fake clock of
// testing/synctest, without waiting.
//
// Prefill and decode run in parallel. Prefill processes one chunk at a time, highest
// priority first, and is not interrupted within a chunk. A decode step generates one
// token for each decoding sequence; its duration grows with the number of sequences.
//
// # Usage
//
//	e := pwfakeengine.New(ctx, pwfakeengine.Options{
//		Name:      "hakata-1",
//		StartWarm: true,
//	})
//	finish, err := e.Generate(ctx, generation, emit)
//	e.Crash() // every running attempt fails with cause engine_failed
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

// Defaults of Options. Rates are in tokens per second.
const (
	DefaultMemoryTokens = 400_000
	DefaultPrefillRate  = 60_000
	DefaultChunkTokens  = 8_192
	DefaultCacheTokens  = 100_000
	DefaultStepBase     = 24 * time.Millisecond
	// DefaultStepPerSequence keeps a decode step of 64 sequences, including the base
	// time of a step, under 50 ms.
	DefaultStepPerSequence = 400 * time.Microsecond
	DefaultColdSlowdown    = 5.0
	DefaultColdMaxAttempts = 4
	DefaultWarmUpTime      = 10 * time.Second
	// DefaultWarmUpTokens is the number of prefilled tokens that makes an engine warm
	// regardless of time.
	DefaultWarmUpTokens  = 600_000
	DefaultRestartTime   = 5 * time.Second
	DefaultLoadTime      = 2 * time.Second
	DefaultReportLag     = 500 * time.Millisecond
	DefaultEventLag      = time.Second
	DefaultEventLossRate = 0.05
	// DefaultImportRate is the rate at which an engine imports KV cache. No option
	// changes it.
	DefaultImportRate = 2_000_000
)

// Limits of the fake itself.
const (
	maxEvents  = 4_096
	maxSamples = 64
	maxOrders  = 1_024
	// coldLimitGrowth is the factor by which the attempt limit of a cold engine grows
	// until it is warm. A caller whose own limit doubles every fifth of the warm-up time
	// stays below it.
	coldLimitGrowth = 16
	// suddenColdGrace is the time after MakeCold in which new attempts do not count
	// against the limit, because no caller can have detected the slowdown yet: it takes
	// five slow first tokens of prompts of up to 10,000 tokens, which last that long.
	suddenColdGrace = 3 * time.Second
	// maxCrashFingerprints bounds the number of fingerprints for which attempts that ended
	// in a crash are counted.
	maxCrashFingerprints = 65_536
)

// Options configures an engine. Zero values select the defaults.
type Options struct {
	Name            string
	Seed            uint64
	MemoryTokens    int64
	PrefillRate     float64
	ChunkTokens     int64
	CacheTokens     int64
	StepBase        time.Duration
	StepPerSequence time.Duration
	// TokensPerEmit is the number of decoded tokens that are emitted together; the first
	// token is always emitted alone.
	TokensPerEmit int
	// StartWarm makes New start the engine warm. A restart is always cold.
	StartWarm bool
	// ColdSlowdown is the factor by which all work of a cold engine takes longer. It falls
	// to 1 as the engine warms up.
	ColdSlowdown float64
	// ColdMaxAttempts is the number of attempts that an engine can hold when it is fully
	// cold. A cold engine that gets more crashes.
	ColdMaxAttempts int
	// WarmUpTime and WarmUpTokens are the time and the prefilled tokens either of which
	// warms the engine up on its own; their progress adds up.
	WarmUpTime   time.Duration
	WarmUpTokens int64
	RestartTime  time.Duration
	// LoadTime is the time that an order to load a model or an adapter takes.
	LoadTime time.Duration
	// ReportLag and EventLag are the ages at which load reports and cache events become
	// visible.
	ReportLag time.Duration
	EventLag  time.Duration
	// EventLossRate is the share of cache events that are lost.
	EventLossRate float64
	// Fencing makes the engine reject orders with a stale fencing token.
	Fencing bool
	// Models are loaded at every start. If it is empty, the engine accepts every model.
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

// Stats holds the counters of an engine since New.
type Stats struct {
	Started   int64
	Finished  int64
	Cancelled int64
	// Crashes counts all crashes. OvercommitCrashes are those because of exceeded memory,
	// ColdStartCrashes those because of too many attempts after a start, and
	// SuddenColdCrashes those because of too many attempts after MakeCold.
	Crashes           int64
	OvercommitCrashes int64
	ColdStartCrashes  int64
	SuddenColdCrashes int64
	// PeakTokens is the peak memory held by attempts and exported KV cache, in tokens.
	PeakTokens int64
	// PeakColdAttempts is the highest number of attempts held while cold, and
	// PeakColdLoadRatio the highest ratio of that number to the limit at that time.
	PeakColdAttempts  int
	PeakColdLoadRatio float64
	// WrongGivenTokens counts resumed attempts whose given tokens differ from the first
	// tokens of the response.
	WrongGivenTokens int64
	// RequestCrashes counts the crashes that SetCrashFingerprint caused, and
	// RequestCrashTimes holds their times.
	RequestCrashes    int64
	RequestCrashTimes []time.Time
	// LastAttemptStart is when the last attempt started. Segments and attempts that use
	// exported KV cache do not count, because their group reserved the engine earlier.
	LastAttemptStart time.Time
}

// Engine is one fake engine. Create it with New.
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
	modelNames  []pwrequest.ModelID // loaded models, sorted
	adapters    map[string]bool
	role        string
	newestFence uint64
	orders      []pwengine.Order

	sequences      []*sequence
	nextSequenceID uint64
	chunk          *chunk
	stepEndsAt     time.Time
	usedTokens     int64
	cache          cache
	exportedTokens map[string]int64 // tokens of exported KV cache in memory, by handle

	warmFraction         float64 // 0 is cold, 1 is warm
	warmUpdatedAt        time.Time
	coldSince            time.Time
	cooledWithoutRestart bool

	pausedAt          time.Time
	resumed           chan struct{} // closed unless the engine is paused
	slowdown          float64
	crashFingerprints map[uint64]bool
	crashedAttempts   map[uint64]int // by fingerprint

	samples           []sample
	events            []CacheEvent
	lastEventSequence uint64
	stats             Stats
}

// chunk is the part of a prompt that prefill is processing.
type chunk struct {
	seq    *sequence
	tokens int64
	endsAt time.Time
}

// sequence is one running attempt or segment.
type sequence struct {
	generation    pwengine.Generation
	seed          uint64
	id            uint64
	isSegment     bool
	prefillTokens int64 // prompt tokens still to process
	// importTokens is the remaining time to import KV cache, expressed as the number of
	// tokens whose prefill takes as long. They need no memory.
	importTokens int64
	heldTokens   int64 // memory held, in tokens
	cacheEntry   *cacheEntry
	cachedTokens int64 // prompt tokens found in the cache
	nextOffset   int64 // offset of the next token
	countsAsCold bool  // counts against the limit of a cold engine

	notify          chan struct{}
	readyTokens     []string
	tokensSinceWake int // tokens generated since the reader was last woken
	done            bool
	err             error
}

// sample is the load of an engine at one time.
type sample struct {
	at   time.Time
	load pwengine.EngineLoad
}

// New starts an engine that runs until ctx ends.
func New(ctx context.Context, opts Options) *Engine {
	opts = opts.withDefaults()
	e := &Engine{
		opts:              opts,
		wake:              make(chan struct{}, 1),
		rng:               rand.New(rand.NewPCG(opts.Seed, xxhash.Sum64String(opts.Name))),
		slowdown:          1,
		crashFingerprints: map[uint64]bool{},
		crashedAttempts:   map[uint64]int{},
		resumed:           make(chan struct{}),
	}
	close(e.resumed)
	e.mu.Lock()
	e.boot(time.Now())
	if opts.StartWarm {
		e.warmFraction = 1
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

// tokenAt returns the token at an offset of the response with the given seed.
func tokenAt(seed uint64, offset int64) string {
	return strconv.FormatUint(seed>>40, 36) + "." + strconv.FormatInt(offset, 36) + " "
}

// Generate runs one attempt and emits its tokens in order, as package pwengine describes
// for engines.
func (e *Engine) Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) (pwengine.Finish, error) {
	if g.PromptTokens <= 0 || g.MaxTokens <= 0 {
		return pwengine.Finish{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"prompt_tokens is %d and max_tokens is %d, both must be positive", g.PromptTokens, g.MaxTokens)
	}
	s, err := e.startSequence(ctx, g, false)
	if err != nil {
		return pwengine.Finish{}, err
	}
	for {
		tokens, done, err := e.awaitTokens(ctx, s)
		if len(tokens) > 0 {
			if err := emit(tokens); err != nil {
				e.cancel(s)
				return pwengine.Finish{}, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseCancelled, "failed to emit tokens")
			}
		}
		if err != nil {
			return pwengine.Finish{}, err
		}
		if done {
			return pwengine.Finish{
				Reason:       "length",
				TotalTokens:  g.MaxTokens,
				CachedTokens: s.cachedTokens,
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
	s, err := e.startSequence(ctx, pwengine.Generation{
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
		_, done, err := e.awaitTokens(ctx, s)
		if err != nil {
			return "", err
		}
		if done {
			return e.kvHandle(s), nil
		}
	}
}

// DropKV frees exported KV cache. An unknown handle is not an error, so that a caller can
// safely repeat the call.
func (e *Engine) DropKV(ctx context.Context, handle string) error {
	if err := e.awaitReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.usedTokens -= e.exportedTokens[handle]
	delete(e.exportedTokens, handle)
	e.opts.KVPool.drop(handle)
	e.sampleLoad(time.Now())
	return nil
}

// Reset cancels all work and frees all memory. An agent calls it after its own restart.
func (e *Engine) Reset(ctx context.Context) error {
	if err := e.awaitReachable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishAll(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "engine %s was reset", e.opts.Name))
	e.clearMemory()
	e.sampleLoad(time.Now())
	return nil
}

// Load returns the newest load report whose age is at least ReportLag. If all are newer,
// it returns the oldest one.
func (e *Engine) Load(ctx context.Context) (pwengine.EngineLoad, error) {
	if err := e.awaitReachable(ctx); err != nil {
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

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// Usage returns the tokens of memory that attempts and exported KV cache hold, and the
// number of running attempts and segments. Unlike Load, it is current.
func (e *Engine) Usage() (tokens int64, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens, len(e.sequences)
}

// IsUp reports whether the engine accepts requests.
func (e *Engine) IsUp() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.up
}

// IsWarm reports whether the engine has warmed up completely.
func (e *Engine) IsWarm() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.warmFraction >= 1
}

// awaitReachable returns an error if the engine is down, and waits while it is paused.
func (e *Engine) awaitReachable(ctx context.Context) error {
	e.mu.Lock()
	up, unpaused := e.up, e.resumed
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

// startSequence adds a sequence. A paused engine accepts it and processes it after the
// pause.
func (e *Engine) startSequence(ctx context.Context, g pwengine.Generation, segment bool) (*sequence, error) {
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
	covered, imported, err := e.opts.KVPool.lookup(g.KVHandles)
	if err != nil {
		return nil, err
	}
	if need := max(1, g.PromptTokens-covered) + g.MaxTokens; need > e.opts.MemoryTokens {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"attempt needs %d tokens of memory, engine %s has %d", need, e.opts.Name, e.opts.MemoryTokens)
	}
	now := time.Now()
	s := &sequence{
		generation:   g,
		seed:         xxhash.Sum64String(g.Prompt),
		id:           e.nextSequenceID,
		isSegment:    segment,
		nextOffset:   int64(len(g.GivenTokens)),
		countsAsCold: e.warmFraction < 1 && (!e.cooledWithoutRestart || now.Sub(e.coldSince) >= suddenColdGrace),
		notify:       make(chan struct{}, 1),
	}
	e.nextSequenceID++
	s.prefillTokens = g.PromptTokens
	if !segment {
		s.prefillTokens = max(1, g.PromptTokens-covered) + s.nextOffset
		if covered == 0 {
			s.cacheEntry, s.cachedTokens = e.cache.findLongestPrefix(g)
		}
		s.importTokens = int64(float64(imported) * e.opts.PrefillRate / DefaultImportRate)
		s.cachedTokens = min(s.cachedTokens, s.prefillTokens-1)
		s.prefillTokens -= s.cachedTokens
		e.checkGivenTokens(s)
	}
	e.sequences = append(e.sequences, s)
	e.stats.Started++
	if !segment && len(g.KVHandles) == 0 {
		e.stats.LastAttemptStart = now
	}
	e.enforceColdLimit(now)
	e.sampleLoad(now)
	e.signal()
	return s, nil
}
