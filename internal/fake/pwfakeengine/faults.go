package pwfakeengine

import (
	"context"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Crash fails every running attempt with cause engine_failed. The engine restarts, cold
// and empty, after RestartTime.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now(), "crashed")
}

// SetCrashFingerprint sets whether attempts with the fingerprint crash the engine at the
// end of their first chunk.
func (e *Engine) SetCrashFingerprint(fingerprint uint64, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashFingerprints[fingerprint] = on
}

// CrashedAttempts returns how many attempts with the fingerprint ended in a crash.
func (e *Engine) CrashedAttempts(fingerprint uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashedAttempts[fingerprint]
}

// MakeCold makes the engine cold without a restart. Running attempts continue and do not
// count against the limit of a cold engine.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.updateWarmFraction(now)
	e.cooledWithoutRestart = true
	e.warmFraction = 0
	e.coldSince = now
	for _, s := range e.sequences {
		s.countsAsCold = false
	}
}

// Pause stops all work and all responses until Resume, a crash or the end of the engine.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || !e.pausedAt.IsZero() {
		return
	}
	e.pausedAt = time.Now()
	e.resumed = make(chan struct{})
	e.signal()
}

// Resume ends a pause. Interrupted work continues where it stopped.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausedAt.IsZero() {
		return
	}
	pause := time.Since(e.pausedAt)
	if e.chunk != nil {
		e.chunk.endsAt = e.chunk.endsAt.Add(pause)
	}
	if !e.stepEndsAt.IsZero() {
		e.stepEndsAt = e.stepEndsAt.Add(pause)
	}
	e.endPause()
	e.signal()
}

// SetSlowdown sets the factor by which all work that starts later takes longer; 1 is
// normal speed.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Order applies a change. Loading a model or an adapter takes LoadTime. An engine with
// fencing rejects an order whose fencing token is older than the newest one seen.
func (e *Engine) Order(ctx context.Context, o pwengine.Order) error {
	if err := e.awaitReachable(ctx); err != nil {
		return err
	}
	if err := e.checkFence(o); err != nil {
		return err
	}
	if o.Kind == pwengine.OrderLoadModel || o.Kind == pwengine.OrderLoadAdapter {
		select {
		case <-time.After(e.opts.LoadTime):
		case <-ctx.Done():
			return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "order %q did not finish", o.Kind)
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return e.engineError("crashed while it applied an order")
	}
	switch o.Kind {
	case pwengine.OrderLoadModel:
		e.models[o.Model] = true
	case pwengine.OrderUnloadModel:
		delete(e.models, o.Model)
	case pwengine.OrderLoadAdapter:
		e.adapters[o.Adapter] = true
	case pwengine.OrderSetRole:
		e.role = o.Role
	default:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "order kind %q is unknown", o.Kind)
	}
	e.updateModelNames()
	e.orders = append(e.orders, o)
	if len(e.orders) > maxOrders {
		e.orders = slices.Delete(e.orders, 0, 1)
	}
	e.sampleLoad(time.Now())
	return nil
}

// checkFence rejects an order with a stale fencing token and records the newest token.
func (e *Engine) checkFence(o pwengine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && o.Fence < e.newestFence {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
			"order has fencing token %d; the newest seen is %d", o.Fence, e.newestFence)
	}
	e.newestFence = max(e.newestFence, o.Fence)
	return nil
}

// AppliedOrders returns the most recent applied orders, the oldest first.
func (e *Engine) AppliedOrders() []pwengine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// CacheEvent reports that a prefix was stored in the cache or evicted from it.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means that events were lost.
	Sequence uint64    `json:"sequence"`
	Prefix   uint64    `json:"prefix"`
	Tokens   int64     `json:"tokens"`
	Stored   bool      `json:"stored"`
	At       time.Time `json:"at"`
}

// CacheEvents returns the events after a sequence number that are at least as old as
// EventLag. EventLossRate is the share of events that are missing; events older than the
// newest 4,096 are missing too.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	if err := e.awaitReachable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var events []CacheEvent
	for _, event := range e.events {
		if event.Sequence > after && now.Sub(event.At) >= e.opts.EventLag {
			events = append(events, event)
		}
	}
	return events, nil
}

// cachePrompt stores the prompt of a finished attempt in the prefix cache, if it fits. It
// replaces an unpinned entry of the same prompt.
func (e *Engine) cachePrompt(g pwengine.Generation) {
	tokens := g.PromptTokens / blockTokens * blockTokens
	limit := min(e.opts.CacheTokens, e.opts.MemoryTokens-e.usedTokens)
	if tokens == 0 || tokens > limit || len(g.KVHandles) > 0 {
		return
	}
	hash := pwrequest.PrefixHash(g.Model, g.Prompt)
	e.cache.entries = slices.DeleteFunc(e.cache.entries, func(entry *cacheEntry) bool {
		duplicate := entry.prompt == g.Prompt && entry.pins == 0
		if duplicate {
			e.cache.tokens -= entry.tokens
		}
		return duplicate
	})
	e.evict(limit - tokens)
	if e.cache.tokens+tokens > limit {
		return
	}
	e.cache.entries = append(e.cache.entries, &cacheEntry{
		hash:   hash,
		prompt: g.Prompt,
		tokens: tokens,
	})
	e.cache.tokens += tokens
	e.publishEvent(hash, tokens, true)
}

// evict shrinks the cache to n tokens and publishes the prefixes that are no longer in it.
func (e *Engine) evict(n int64) {
	for _, entry := range e.cache.shrinkTo(n) {
		if !e.cache.contains(entry.hash) {
			e.publishEvent(entry.hash, entry.tokens, false)
		}
	}
}

// publishEvent records a cache event, or only uses up its sequence number if the event
// is to be lost.
func (e *Engine) publishEvent(prefix uint64, tokens int64, stored bool) {
	e.lastEventSequence++
	if e.rng.Float64() < e.opts.EventLossRate {
		return
	}
	e.events = append(e.events, CacheEvent{
		Sequence: e.lastEventSequence,
		Prefix:   prefix,
		Tokens:   tokens,
		Stored:   stored,
		At:       time.Now(),
	})
	if len(e.events) > maxEvents {
		e.events = slices.Delete(e.events, 0, len(e.events)-maxEvents)
	}
}
