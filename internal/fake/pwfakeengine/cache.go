package pwfakeengine

import (
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// blockTokens is the block size of the prefix cache, which stores and finds whole blocks.
const blockTokens = 64

// cache holds prompts of finished attempts, ordered from the one stored longest ago.
type cache struct {
	limit   int64
	tokens  int64
	entries []*cacheEntry
}

// cacheEntry is a cached prompt. Running attempts that use it pin it, which protects it
// from eviction.
type cacheEntry struct {
	hash   uint64
	prompt string
	tokens int64
	pins   int
}

func newCache(limit int64) cache {
	return cache{
		limit: limit,
	}
}

// findLongestPrefix returns and pins the entry that shares the longest prefix with g's
// prompt, and the number of prompt tokens that need no prefill because of it.
func (c *cache) findLongestPrefix(g pwengine.Generation) (*cacheEntry, int64) {
	hash := pwrequest.PrefixHash(g.Model, g.Prompt)
	var best *cacheEntry
	var hit int64
	for _, entry := range c.entries {
		if entry.hash != hash {
			continue
		}
		share := float64(commonPrefix(entry.prompt, g.Prompt)) / float64(len(g.Prompt))
		n := min(int64(share*float64(g.PromptTokens)), entry.tokens) / blockTokens * blockTokens
		if n > hit {
			best, hit = entry, n
		}
	}
	if best != nil {
		best.pins++
	}
	return best, hit
}

func (c *cache) unpin(entry *cacheEntry) {
	if entry != nil {
		entry.pins--
	}
}

func (c *cache) contains(hash uint64) bool {
	for _, entry := range c.entries {
		if entry.hash == hash {
			return true
		}
	}
	return false
}

// shrinkTo evicts unpinned entries until the cache holds at most n tokens or only pinned
// entries are left, and returns the evicted ones.
func (c *cache) shrinkTo(n int64) []*cacheEntry {
	var evicted []*cacheEntry
	if c.tokens <= n {
		return nil
	}
	kept := c.entries[:0]
	for _, entry := range c.entries {
		if c.tokens > n && entry.pins == 0 {
			c.tokens -= entry.tokens
			evicted = append(evicted, entry)
			continue
		}
		kept = append(kept, entry)
	}
	c.entries = kept
	return evicted
}

// commonPrefix returns the length of the longest common prefix in bytes.
func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// KVPool records exported KV cache, so that engines can import it from one another.
// An export survives the crash of its engine as a copy outside of any engine. Using
// such a copy takes an engine import time but no memory of its own, because the members
// of the group have reserved that memory together.
type KVPool struct {
	mu      sync.Mutex
	exports map[string]*export
}

// export is one exported KV cache. The holder is the engine that has it in memory, nil
// if only the copy is left.
type export struct {
	tokens int64
	holder *Engine
}

// NewKVPool returns an empty pool.
func NewKVPool() *KVPool {
	return &KVPool{
		exports: map[string]*export{},
	}
}

// Len returns the number of exports that have not been dropped.
func (p *KVPool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.exports)
}

func (p *KVPool) put(handle string, holder *Engine, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exports[handle] = &export{
		tokens: tokens,
		holder: holder,
	}
}

func (p *KVPool) drop(handle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exports, handle)
}

// clearHolder marks an export as no longer in the memory of the given engine.
func (p *KVPool) clearHolder(handle string, holder *Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.exports[handle]; x != nil && x.holder == holder {
		x.holder = nil
	}
}

// lookup returns how many prompt tokens the handles cover, and how many of them must be
// imported from a copy because no engine holds them.
func (p *KVPool) lookup(handles []string) (covered, imported int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, handle := range handles {
		x := p.exports[handle]
		if x == nil {
			return 0, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "KV cache handle %q does not exist", handle)
		}
		covered += x.tokens
		if x.holder == nil {
			imported += x.tokens
		}
	}
	return covered, imported, nil
}
