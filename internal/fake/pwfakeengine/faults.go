package pwfakeengine

import (
	"context"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Crash ends every attempt with engine_failed. The engine restarts cold and
// empty after its restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(time.Now(), "crashed")
}

// SetCrashFingerprint makes every attempt with the fingerprint crash the engine at the end
// of its first chunk; off switches the fault off again.
func (e *Engine) SetCrashFingerprint(fingerprint uint64, on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashOn[fingerprint] = on
}

// CrashedAttempts returns how many attempts with the fingerprint ended in a crash.
func (e *Engine) CrashedAttempts(fingerprint uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.deaths[fingerprint]
}

// MakeCold makes the engine cold without a restart. Running attempts stay.
func (e *Engine) MakeCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.warm(now)
	e.wasWarm = true
	e.warmth = 0
	e.coldAt = now
	for _, s := range e.sequences {
		s.cold = false
	}
}

// Pause stops all work and all replies until Resume or a crash.
func (e *Engine) Pause() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up || !e.pausedAt.IsZero() {
		return
	}
	e.pausedAt = time.Now()
	e.unpaused = make(chan struct{})
	e.signal()
}

// Resume ends a pause. Work continues where it stopped.
func (e *Engine) Resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.pausedAt.IsZero() {
		return
	}
	pause := time.Since(e.pausedAt)
	if e.chunk != nil {
		e.chunk.end = e.chunk.end.Add(pause)
	}
	if !e.stepEnd.IsZero() {
		e.stepEnd = e.stepEnd.Add(pause)
	}
	e.resume()
	e.signal()
}

// SetSlowdown multiplies the time of all later work; 1 is normal.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Order applies a change. Loading a model takes the load time. An engine with
// fencing rejects a token older than the newest it has seen.
func (e *Engine) Order(ctx context.Context, o pwengine.Order) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	if err := e.checkFence(o); err != nil {
		return err
	}
	if o.Kind == pwengine.OrderLoadModel || o.Kind == pwengine.OrderLoadAdapter {
		select {
		case <-time.After(e.opts.LoadTime):
		case <-ctx.Done():
			return pwverdict.Wrap(ctx.Err(), pwverdict.MayHaveRun, pwverdict.CauseOf(ctx.Err()), "order did not finish")
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up {
		return e.failed("crashed during an order")
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
	e.modelsChanged()
	e.orders = append(e.orders, o)
	if len(e.orders) > maxOrders {
		e.orders = slices.Delete(e.orders, 0, 1)
	}
	e.sampleLoad(time.Now())
	return nil
}

func (e *Engine) checkFence(o pwengine.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && o.Fence < e.newestFence {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseStaleFence,
			"fencing token is %d, the newest seen is %d", o.Fence, e.newestFence)
	}
	e.newestFence = max(e.newestFence, o.Fence)
	return nil
}

// AppliedOrders returns the applied orders, the oldest first.
func (e *Engine) AppliedOrders() []pwengine.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// CacheEvent tells that a prefix entered or left the cache.
type CacheEvent struct {
	// Sequence grows by one with each event; a gap means that events were lost.
	Sequence uint64    `json:"sequence"`
	Prefix   uint64    `json:"prefix"`
	Tokens   int64     `json:"tokens"`
	Stored   bool      `json:"stored"`
	At       time.Time `json:"at"`
}

// CacheEvents returns the events after a sequence number that are at least as
// old as the event lag. Some events are lost.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error) {
	if err := e.reach(ctx); err != nil {
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

// remember stores the prompt of a finished attempt in the prefix cache.
func (e *Engine) remember(g pwengine.Generation) {
	tokens := g.PromptTokens / blockTokens * blockTokens
	room := min(e.opts.CacheTokens, e.opts.MemoryTokens-e.used)
	if tokens == 0 || tokens > room || len(g.KVHandles) > 0 {
		return
	}
	hash := pwrequest.PrefixHash(g.Model, g.Prompt)
	e.cache.entries = slices.DeleteFunc(e.cache.entries, func(entry *cacheEntry) bool {
		old := entry.prompt == g.Prompt && entry.pins == 0
		if old {
			e.cache.tokens -= entry.tokens
		}
		return old
	})
	e.evict(room - tokens)
	if e.cache.tokens+tokens > room {
		return
	}
	e.cache.entries = append(e.cache.entries, &cacheEntry{
		hash:   hash,
		prompt: g.Prompt,
		tokens: tokens,
	})
	e.cache.tokens += tokens
	e.publish(hash, tokens, true)
}

// evict shrinks the cache to n tokens and publishes what left it.
func (e *Engine) evict(n int64) {
	for _, entry := range e.cache.shrink(n) {
		if !e.cache.has(entry.hash) {
			e.publish(entry.hash, entry.tokens, false)
		}
	}
}

func (e *Engine) publish(prefix uint64, tokens int64, stored bool) {
	e.nextEvt++
	if e.rng.Float64() < e.opts.EventLossRate {
		return
	}
	e.events = append(e.events, CacheEvent{
		Sequence: e.nextEvt,
		Prefix:   prefix,
		Tokens:   tokens,
		Stored:   stored,
		At:       time.Now(),
	})
	if len(e.events) > maxEvents {
		e.events = slices.Delete(e.events, 0, len(e.events)-maxEvents)
	}
}
