package pwfakeengine

import (
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// blockTokens is the granularity of the prefix cache.
const blockTokens = 64

// cache holds prompts of finished attempts, the least recently used first.
type cache struct {
	limit   int64
	tokens  int64
	entries []*cacheEntry
}

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

// find returns and pins the entry that shares the longest prefix with g, and
// the number of prompt tokens it saves.
func (c *cache) find(g pwengine.Generation) (*cacheEntry, int64) {
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

func (c *cache) has(hash uint64) bool {
	for _, entry := range c.entries {
		if entry.hash == hash {
			return true
		}
	}
	return false
}

// shrink evicts unpinned entries until the cache holds at most n tokens, and
// returns the evicted ones.
func (c *cache) shrink(n int64) []*cacheEntry {
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

func commonPrefix(a, b string) int {
	n := min(len(a), len(b))
	for i := range n {
		if a[i] != b[i] {
			return i
		}
	}
	return n
}

// KVPool records exported KV cache, so that engines can import from one another.
// Exported cache outlives its engine's crash as a copy outside of it. An engine
// that uses such a copy needs time to import it but no memory of its own: the
// group's members have reserved that memory together.
type KVPool struct {
	mu      sync.Mutex
	exports map[string]*export
}

type export struct {
	tokens int64
	owner  *Engine
}

// NewKVPool returns an empty pool.
func NewKVPool() *KVPool {
	return &KVPool{
		exports: map[string]*export{},
	}
}

// Len returns the number of exports that nobody dropped.
func (p *KVPool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.exports)
}

func (p *KVPool) put(handle string, owner *Engine, tokens int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exports[handle] = &export{
		tokens: tokens,
		owner:  owner,
	}
}

func (p *KVPool) drop(handle string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.exports, handle)
}

// leave marks an export as no longer resident on its engine.
func (p *KVPool) leave(handle string, owner *Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if x := p.exports[handle]; x != nil && x.owner == owner {
		x.owner = nil
	}
}

// cover returns how many prompt tokens the handles cover, and how many of them
// no running engine holds.
func (p *KVPool) cover(handles []string) (covered, imported int64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, handle := range handles {
		x := p.exports[handle]
		if x == nil {
			return 0, 0, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "KV cache %q does not exist", handle)
		}
		covered += x.tokens
		if x.owner == nil {
			imported += x.tokens
		}
	}
	return covered, imported, nil
}
