package pwfakeengine

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// run processes the ends of prefill chunks and decode steps until ctx ends.
func (e *Engine) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		e.mu.Lock()
		now := time.Now()
		next := e.advance(now)
		e.mu.Unlock()
		if next.IsZero() {
			timer.Reset(time.Hour)
		} else {
			timer.Reset(next.Sub(now))
		}
		select {
		case <-ctx.Done():
			e.shutDown()
			return
		case <-e.wake:
		case <-timer.C:
		}
	}
}

// shutDown stops the engine permanently, like a terminated process.
func (e *Engine) shutDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.up = false
	e.finishAll(e.engineError("was stopped"))
	e.clearMemory()
	e.endPause()
}

// signal wakes run, which then processes a change of the engine's state.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance processes every event up to now and returns the time of the next one, or the
// zero time if there is none. The caller must have locked e.mu, here and for all methods
// below except awaitTokens and cancel.
func (e *Engine) advance(now time.Time) time.Time {
	for {
		if !e.up {
			if e.stopped || e.restartAt.IsZero() {
				return time.Time{}
			}
			if e.restartAt.After(now) {
				return e.restartAt
			}
			e.boot(e.restartAt)
			continue
		}
		if !e.pausedAt.IsZero() {
			return time.Time{}
		}
		e.schedule(now)
		at, isChunk := e.nextEvent()
		if at.IsZero() || at.After(now) {
			return at
		}
		if isChunk {
			e.endChunk(at)
		} else {
			e.endStep(at)
		}
	}
}

// nextEvent returns whether the chunk or the decode step ends first, and when. The time
// is zero if neither runs.
func (e *Engine) nextEvent() (at time.Time, isChunk bool) {
	if e.chunk != nil && (e.stepEndsAt.IsZero() || e.chunk.endsAt.Before(e.stepEndsAt)) {
		return e.chunk.endsAt, true
	}
	return e.stepEndsAt, false
}

// schedule starts a prefill chunk and a decode step if none runs and there is work.
func (e *Engine) schedule(now time.Time) {
	if e.chunk == nil {
		if s := e.nextPrefill(); s != nil {
			n := min(e.opts.ChunkTokens, s.prefillTokens+s.importTokens)
			seconds := float64(n) / e.opts.PrefillRate * e.totalSlowdown(now)
			e.chunk = &chunk{
				seq:    s,
				tokens: n,
				endsAt: now.Add(time.Duration(seconds * float64(time.Second))),
			}
		}
	}
	if e.stepEndsAt.IsZero() {
		if n := lo.CountBy(e.sequences, (*sequence).isDecoding); n > 0 {
			step := e.opts.StepBase + time.Duration(n)*e.opts.StepPerSequence
			e.stepEndsAt = now.Add(time.Duration(float64(step) * e.totalSlowdown(now)))
		}
	}
}

func (s *sequence) isDecoding() bool {
	return !s.isSegment && !s.done && s.prefillTokens == 0 && s.importTokens == 0
}

// nextPrefill returns the sequence with the highest priority that still needs prefill or
// import, the oldest among equals, or nil.
func (e *Engine) nextPrefill() *sequence {
	var best *sequence
	for _, s := range e.sequences {
		if s.prefillTokens+s.importTokens == 0 {
			continue
		}
		if best == nil || s.generation.Priority > best.generation.Priority {
			best = s
		}
	}
	return best
}

// endChunk accounts for a finished chunk. The last chunk of a prompt finishes a segment
// or generates the first token of an attempt.
func (e *Engine) endChunk(now time.Time) {
	ended := e.chunk
	e.chunk = nil
	seq := ended.seq
	if seq.done {
		return
	}
	if e.crashFingerprints[seq.generation.Fingerprint] {
		e.stats.RequestCrashes++
		e.stats.RequestCrashTimes = append(e.stats.RequestCrashTimes, time.Now())
		e.crash(now, "crashed because of a request")
		return
	}
	imported := min(seq.importTokens, ended.tokens)
	seq.importTokens -= imported
	prefilled := ended.tokens - imported
	seq.prefillTokens -= prefilled
	e.warmFraction = math.Min(1, e.warmFraction+float64(prefilled)/float64(e.opts.WarmUpTokens))
	if !e.allocate(seq, prefilled) {
		return
	}
	if seq.prefillTokens+seq.importTokens > 0 {
		return
	}
	if seq.isSegment {
		e.finish(seq, nil)
	} else {
		e.generateToken(seq, true)
	}
	e.sampleLoad(now)
}

// endStep generates one token for each decoding sequence.
func (e *Engine) endStep(now time.Time) {
	e.stepEndsAt = time.Time{}
	for _, s := range slices.Clone(e.sequences) {
		if !s.isDecoding() {
			continue
		}
		if !e.allocate(s, 1) {
			return
		}
		e.generateToken(s, false)
	}
	e.sampleLoad(now)
}

// generateToken generates one token of s, and wakes the reader if enough tokens are ready
// or s has finished.
func (e *Engine) generateToken(s *sequence, first bool) {
	if s.nextOffset >= s.generation.MaxTokens {
		e.finish(s, nil)
		return
	}
	s.readyTokens = append(s.readyTokens, tokenAt(s.seed, s.nextOffset))
	s.nextOffset++
	s.tokensSinceWake++
	if s.nextOffset >= s.generation.MaxTokens {
		e.finish(s, nil)
		return
	}
	if first || s.tokensSinceWake >= e.opts.TokensPerEmit {
		s.wakeReader()
	}
}

// wakeReader makes awaitTokens return the ready tokens.
func (s *sequence) wakeReader() {
	s.tokensSinceWake = 0
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// finish ends s, with an error or nil, and frees its memory. The memory of a successful
// segment stays in use as exported KV cache.
func (e *Engine) finish(s *sequence, err error) {
	if s.done {
		return
	}
	s.done = true
	s.err = err
	e.sequences = lo.Without(e.sequences, s)
	if e.chunk != nil && e.chunk.seq == s {
		e.chunk = nil
	}
	e.cache.unpin(s.cacheEntry)
	switch {
	case err != nil:
		e.usedTokens -= s.heldTokens
	case s.isSegment:
		handle := e.kvHandle(s)
		e.exportedTokens[handle] = s.heldTokens
		e.opts.KVPool.put(handle, e, s.generation.PromptTokens)
		e.stats.Finished++
	default:
		e.usedTokens -= s.heldTokens
		e.cachePrompt(s.generation)
		e.stats.Finished++
	}
	s.wakeReader()
}

// allocate gives s n more tokens of memory, evicting cached prefixes if necessary. If the
// memory is exceeded nevertheless, it crashes the engine and returns false.
func (e *Engine) allocate(s *sequence, n int64) bool {
	s.heldTokens += n
	e.usedTokens += n
	e.evict(e.opts.MemoryTokens - e.usedTokens)
	if e.usedTokens+e.cache.tokens > e.opts.MemoryTokens {
		e.stats.OvercommitCrashes++
		e.crash(time.Now(), "ran out of memory")
		return false
	}
	e.stats.PeakTokens = max(e.stats.PeakTokens, e.usedTokens)
	return true
}

// totalSlowdown returns the factor by which work that starts now takes longer. It updates
// the warm fraction first.
func (e *Engine) totalSlowdown(now time.Time) float64 {
	e.updateWarmFraction(now)
	return e.slowdown * (e.opts.ColdSlowdown - (e.opts.ColdSlowdown-1)*e.warmFraction)
}

// updateWarmFraction raises the warm fraction by the time since its last update.
func (e *Engine) updateWarmFraction(now time.Time) {
	if passed := now.Sub(e.warmUpdatedAt); passed > 0 {
		e.warmFraction = math.Min(1, e.warmFraction+passed.Seconds()/e.opts.WarmUpTime.Seconds())
		e.warmUpdatedAt = now
	}
}

// enforceColdLimit crashes a cold engine that holds more attempts than its limit, which
// grows while the engine warms up.
func (e *Engine) enforceColdLimit(now time.Time) {
	e.updateWarmFraction(now)
	if e.warmFraction >= 1 {
		return
	}
	n := lo.CountBy(e.sequences, func(s *sequence) bool { return s.countsAsCold })
	limit := float64(e.opts.ColdMaxAttempts) * math.Pow(coldLimitGrowth, e.warmFraction)
	e.stats.PeakColdAttempts = max(e.stats.PeakColdAttempts, n)
	e.stats.PeakColdLoadRatio = max(e.stats.PeakColdLoadRatio, float64(n)/limit)
	if float64(n) > limit {
		if e.cooledWithoutRestart {
			e.stats.SuddenColdCrashes++
		} else {
			e.stats.ColdStartCrashes++
		}
		e.crash(now, "was overloaded while cold")
	}
}

// boot starts a new incarnation, cold and empty.
func (e *Engine) boot(now time.Time) {
	e.incarnation++
	e.up = true
	e.restartAt = time.Time{}
	e.warmFraction = 0
	e.cooledWithoutRestart = false
	e.warmUpdatedAt = now
	e.coldSince = now
	e.models = lo.SliceToMap(e.opts.Models, func(m pwrequest.ModelID) (pwrequest.ModelID, bool) {
		return m, true
	})
	e.updateModelNames()
	e.adapters = map[string]bool{}
	e.role = ""
	e.samples = nil // a new process has no load samples of the old one
	e.clearMemory()
	e.sampleLoad(now)
}

// clearMemory frees all memory and cache. Exports remain in the pool as copies.
func (e *Engine) clearMemory() {
	for handle := range e.exportedTokens {
		e.opts.KVPool.clearHolder(handle, e)
	}
	e.exportedTokens = map[string]int64{}
	e.cache = newCache(e.opts.CacheTokens)
	e.usedTokens = 0
	e.chunk = nil
	e.stepEndsAt = time.Time{}
}

// crash fails every attempt and schedules the restart of the engine.
func (e *Engine) crash(now time.Time, reason string) {
	if !e.up {
		return
	}
	e.stats.Crashes++
	e.up = false
	e.restartAt = now.Add(e.opts.RestartTime)
	for _, s := range e.sequences {
		if !s.isSegment && len(e.crashedAttempts) < maxCrashFingerprints {
			e.crashedAttempts[s.generation.Fingerprint]++
		}
	}
	e.finishAll(e.engineError(reason))
	e.clearMemory()
	e.endPause()
	e.signal()
}

// engineError returns an error with cause engine_failed. The reason completes a sentence
// whose subject is the engine.
func (e *Engine) engineError(reason string) error {
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "engine %s %s", e.opts.Name, reason)
}

// finishAll ends all sequences with err.
func (e *Engine) finishAll(err error) {
	for _, s := range slices.Clone(e.sequences) {
		e.finish(s, err)
	}
}

// endPause ends a pause, if there is one, and releases the calls that wait for its end.
func (e *Engine) endPause() {
	if e.pausedAt.IsZero() {
		return
	}
	e.pausedAt = time.Time{}
	close(e.resumed)
}

// awaitTokens waits until s has new tokens or has ended, and returns the new tokens. It
// cancels s if ctx ends first.
func (e *Engine) awaitTokens(ctx context.Context, s *sequence) (tokens []string, done bool, err error) {
	select {
	case <-s.notify:
	case <-ctx.Done():
		e.cancel(s)
		return nil, true, pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "attempt was cancelled")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, s.readyTokens = s.readyTokens, nil
	return tokens, s.done, s.err
}

// cancel ends s, unless it has ended already, and frees its memory.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.done {
		return
	}
	e.stats.Cancelled++
	e.finish(s, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "attempt was cancelled"))
	e.sampleLoad(time.Now())
	e.signal()
}

// checkGivenTokens counts s in the statistics if its given tokens differ from those that
// the engine would have generated.
func (e *Engine) checkGivenTokens(s *sequence) {
	for i, t := range s.generation.GivenTokens {
		if t != tokenAt(s.seed, int64(i)) {
			e.stats.WrongGivenTokens++
			return
		}
	}
}

// kvHandle returns the handle of the KV cache that the segment s exports.
func (e *Engine) kvHandle(s *sequence) string {
	return fmt.Sprintf("kv-%s-%d-%d", e.opts.Name, e.incarnation, s.id)
}

// sampleLoad records the current load for later reports. It overwrites the newest sample
// while the one before is younger than an eighth of the report lag, and it drops the
// oldest samples beyond maxSamples.
func (e *Engine) sampleLoad(now time.Time) {
	load := pwengine.EngineLoad{
		Running:      len(e.sequences),
		UsedTokens:   e.usedTokens,
		MemoryTokens: e.opts.MemoryTokens,
		PendingPrefillTokens: lo.SumBy(e.sequences, func(s *sequence) int64 {
			return s.prefillTokens
		}),
		Models:      e.modelNames,
		Incarnation: e.incarnation,
	}
	if n := len(e.samples); n > 1 && now.Sub(e.samples[n-2].at) < e.opts.ReportLag/8 {
		e.samples[n-1].load = load
		return
	}
	e.samples = append(e.samples, sample{
		at:   now,
		load: load,
	})
	if len(e.samples) > maxSamples {
		e.samples = slices.Delete(e.samples, 0, len(e.samples)-maxSamples)
	}
}

// updateModelNames rebuilds the sorted list of loaded models for load reports.
func (e *Engine) updateModelNames() {
	e.modelNames = lo.Keys(e.models)
	slices.Sort(e.modelNames)
}
