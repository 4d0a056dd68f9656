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

// run processes the events of both lanes until ctx ends.
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
			e.stop()
			return
		case <-e.wake:
		case <-timer.C:
		}
	}
}

// stop ends the engine for good, as a terminated process.
func (e *Engine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.up = false
	e.endAll(e.failed("was stopped"))
	e.clear()
	e.resume()
}

// signal wakes run after a change.
func (e *Engine) signal() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// advance processes every event up to now and returns the time of the next
// one, or the zero time. The caller holds e.mu, as for all methods below.
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

func (e *Engine) nextEvent() (at time.Time, isChunk bool) {
	if e.chunk != nil && (e.stepEnd.IsZero() || e.chunk.end.Before(e.stepEnd)) {
		return e.chunk.end, true
	}
	return e.stepEnd, false
}

// schedule starts idle lanes that have work.
func (e *Engine) schedule(now time.Time) {
	if e.chunk == nil {
		if s := e.nextPrefill(); s != nil {
			n := min(e.opts.ChunkTokens, s.prefill+s.transfer)
			seconds := float64(n) / e.opts.PrefillRate * e.slowness(now)
			e.chunk = &chunk{
				seq:    s,
				tokens: n,
				end:    now.Add(time.Duration(seconds * float64(time.Second))),
			}
		}
	}
	if e.stepEnd.IsZero() {
		if n := lo.CountBy(e.sequences, (*sequence).decoding); n > 0 {
			step := e.opts.StepBase + time.Duration(n)*e.opts.StepPerSequence
			e.stepEnd = now.Add(time.Duration(float64(step) * e.slowness(now)))
		}
	}
}

func (s *sequence) decoding() bool {
	return !s.segment && !s.done && s.prefill == 0 && s.transfer == 0
}

// nextPrefill returns the sequence with the highest priority, the oldest first.
func (e *Engine) nextPrefill() *sequence {
	var best *sequence
	for _, s := range e.sequences {
		if s.prefill+s.transfer == 0 {
			continue
		}
		if best == nil || s.gen.Priority > best.gen.Priority {
			best = s
		}
	}
	return best
}

func (e *Engine) endChunk(now time.Time) {
	c := e.chunk
	e.chunk = nil
	s := c.seq
	if s.done {
		return
	}
	if e.crashOn[s.gen.Fingerprint] {
		e.stats.RequestCrashes++
		e.stats.RequestCrashTimes = append(e.stats.RequestCrashTimes, time.Now())
		e.crash(now, "crashed on a request")
		return
	}
	moved := min(s.transfer, c.tokens)
	s.transfer -= moved
	n := c.tokens - moved
	s.prefill -= n
	e.warmth = math.Min(1, e.warmth+float64(n)/float64(e.opts.WarmUpTokens))
	if !e.hold(s, n) {
		return
	}
	if s.prefill+s.transfer > 0 {
		return
	}
	if s.segment {
		e.finish(s, nil)
	} else {
		e.produce(s, true)
	}
	e.sampleLoad(now)
}

func (e *Engine) endStep(now time.Time) {
	e.stepEnd = time.Time{}
	for _, s := range slices.Clone(e.sequences) {
		if !s.decoding() {
			continue
		}
		if !e.hold(s, 1) {
			return
		}
		e.produce(s, false)
	}
	e.sampleLoad(now)
}

// produce gives one token to s and announces it at once or with later ones.
func (e *Engine) produce(s *sequence, first bool) {
	if s.next >= s.gen.MaxTokens {
		e.finish(s, nil)
		return
	}
	s.ready = append(s.ready, tokenAt(s.seed, s.next))
	s.next++
	s.pending++
	if s.next >= s.gen.MaxTokens {
		e.finish(s, nil)
		return
	}
	if first || s.pending >= e.opts.TokensPerEmit {
		s.announce()
	}
}

// announce makes the ready tokens visible to await.
func (s *sequence) announce() {
	s.pending = 0
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

// finish ends s with its result and frees its memory, except exported cache.
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
	e.cache.unpin(s.cached)
	switch {
	case err != nil:
		e.used -= s.held
	case s.segment:
		handle := e.handleOf(s)
		e.resident[handle] = s.held
		e.opts.KVPool.put(handle, e, s.gen.PromptTokens)
		e.stats.Finished++
	default:
		e.used -= s.held
		e.remember(s.gen)
		e.stats.Finished++
	}
	s.announce()
}

// hold takes n tokens of memory for s. It evicts cached prefixes first and
// crashes the engine when the memory is exceeded.
func (e *Engine) hold(s *sequence, n int64) bool {
	s.held += n
	e.used += n
	e.evict(e.opts.MemoryTokens - e.used)
	if e.used+e.cache.tokens > e.opts.MemoryTokens {
		e.stats.OvercommitCrashes++
		e.crash(time.Now(), "ran out of memory")
		return false
	}
	e.stats.PeakTokens = max(e.stats.PeakTokens, e.used)
	return true
}

// slowness returns the factor on the time of work at now and warms the engine
// by the time that passed.
func (e *Engine) slowness(now time.Time) float64 {
	e.warm(now)
	return e.slow * (e.opts.ColdSlowdown - (e.opts.ColdSlowdown-1)*e.warmth)
}

func (e *Engine) warm(now time.Time) {
	if passed := now.Sub(e.warmSince); passed > 0 {
		e.warmth = math.Min(1, e.warmth+passed.Seconds()/e.opts.WarmUpTime.Seconds())
		e.warmSince = now
	}
}

// checkCold crashes a cold engine that holds more attempts than it can.
func (e *Engine) checkCold(now time.Time) {
	e.warm(now)
	if e.warmth >= 1 {
		return
	}
	n := lo.CountBy(e.sequences, func(s *sequence) bool { return s.cold })
	limit := float64(e.opts.ColdMaxAttempts) * math.Pow(coldGrowth, e.warmth)
	e.stats.PeakColdAttempts = max(e.stats.PeakColdAttempts, n)
	e.stats.PeakColdLoadRatio = max(e.stats.PeakColdLoadRatio, float64(n)/limit)
	if float64(n) > limit {
		if e.wasWarm {
			e.stats.SuddenColdCrashes++
		} else {
			e.stats.ColdStartCrashes++
		}
		e.crash(now, "fell over in cold start")
	}
}

// boot starts a new incarnation, cold and empty.
func (e *Engine) boot(now time.Time) {
	e.incarnation++
	e.up = true
	e.restartAt = time.Time{}
	e.warmth = 0
	e.wasWarm = false
	e.warmSince = now
	e.coldAt = now
	e.models = lo.SliceToMap(e.opts.Models, func(m pwrequest.ModelID) (pwrequest.ModelID, bool) {
		return m, true
	})
	e.modelsChanged()
	e.adapters = map[string]bool{}
	e.role = ""
	e.samples = nil // a new process knows nothing of the old one
	e.clear()
	e.sampleLoad(now)
}

// clear drops all memory and cache.
func (e *Engine) clear() {
	for handle := range e.resident {
		e.opts.KVPool.leave(handle, e)
	}
	e.resident = map[string]int64{}
	e.cache = newCache(e.opts.CacheTokens)
	e.used = 0
	e.chunk = nil
	e.stepEnd = time.Time{}
}

// crash ends every attempt and restarts the engine after its restart time.
func (e *Engine) crash(now time.Time, reason string) {
	if !e.up {
		return
	}
	e.stats.Crashes++
	e.up = false
	e.restartAt = now.Add(e.opts.RestartTime)
	for _, s := range e.sequences {
		if !s.segment && len(e.deaths) < maxDeaths {
			e.deaths[s.gen.Fingerprint]++
		}
	}
	e.endAll(e.failed(reason))
	e.clear()
	e.resume()
	e.signal()
}

func (e *Engine) failed(reason string) error {
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "engine %s %s", e.opts.Name, reason)
}

func (e *Engine) endAll(err error) {
	for _, s := range slices.Clone(e.sequences) {
		e.finish(s, err)
	}
}

// resume ends a pause.
func (e *Engine) resume() {
	if e.pausedAt.IsZero() {
		return
	}
	e.pausedAt = time.Time{}
	close(e.unpaused)
}

// await waits for news of s and returns its new tokens.
func (e *Engine) await(ctx context.Context, s *sequence) (tokens []string, done bool, err error) {
	select {
	case <-s.notify:
	case <-ctx.Done():
		e.cancel(s)
		return nil, true, pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "attempt was cancelled")
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens, s.ready = s.ready, nil
	return tokens, s.done, s.err
}

// cancel ends s and frees its memory.
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

// checkGiven counts given tokens that the engine would not have generated.
func (e *Engine) checkGiven(s *sequence) {
	for i, t := range s.gen.GivenTokens {
		if t != tokenAt(s.seed, int64(i)) {
			e.stats.WrongGivenTokens++
			return
		}
	}
}

func (e *Engine) handleOf(s *sequence) string {
	return fmt.Sprintf("kv-%s-%d-%d", e.opts.Name, e.incarnation, s.order)
}

// sampleLoad records the load for later reports and drops samples that no
// report needs any more.
func (e *Engine) sampleLoad(now time.Time) {
	load := pwengine.EngineLoad{
		Running:      len(e.sequences),
		UsedTokens:   e.used,
		MemoryTokens: e.opts.MemoryTokens,
		PendingPrefillTokens: lo.SumBy(e.sequences, func(s *sequence) int64 {
			return s.prefill
		}),
		Models:      e.names,
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

// modelsChanged renews the list of models in load reports.
func (e *Engine) modelsChanged() {
	e.names = lo.Keys(e.models)
	slices.Sort(e.names)
}
