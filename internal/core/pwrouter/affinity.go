package pwrouter

import (
	"container/list"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// holder is a server that held a prefix. It is valid while the epoch is the
// server's current one.
type holder struct {
	s     *server
	epoch uint64
}

// prefix is a prompt prefix and the servers that held it, the latest first.
type prefix struct {
	hash    uint64
	holders []holder
}

// affinity maps prefixes to servers. The least recently used prefix makes
// place for a new one. Losing an entry costs only a cache hit.
type affinity struct {
	limit    int
	prefixes map[uint64]*list.Element
	recent   *list.List
}

func newAffinity(limit int) affinity {
	return affinity{
		limit:    limit,
		prefixes: make(map[uint64]*list.Element),
		recent:   list.New(),
	}
}

// holders returns the servers that held a prefix, some of which may be stale.
func (a *affinity) holders(hash uint64) []holder {
	e, ok := a.prefixes[hash]
	if !ok {
		return nil
	}
	a.recent.MoveToFront(e)
	return e.Value.(*prefix).holders
}

func (a *affinity) hold(hash uint64, s *server) {
	e, ok := a.prefixes[hash]
	if ok {
		a.recent.MoveToFront(e)
	} else {
		if a.recent.Len() >= a.limit {
			oldest := a.recent.Back()
			delete(a.prefixes, a.recent.Remove(oldest).(*prefix).hash)
		}
		e = a.recent.PushFront(&prefix{
			hash: hash,
		})
		a.prefixes[hash] = e
	}
	p := e.Value.(*prefix)
	p.drop(s)
	if len(p.holders) == maxHolders {
		p.holders = p.holders[:maxHolders-1]
	}
	p.holders = slices.Insert(p.holders, 0, holder{
		s:     s,
		epoch: s.epoch,
	})
}

func (a *affinity) release(hash uint64, s *server) {
	e, ok := a.prefixes[hash]
	if !ok {
		return
	}
	p := e.Value.(*prefix)
	p.drop(s)
	if len(p.holders) == 0 {
		a.recent.Remove(e)
		delete(a.prefixes, hash)
	}
}

// drop removes a server and all holders that aren't valid any more.
func (p *prefix) drop(s *server) {
	p.holders = slices.DeleteFunc(p.holders, func(h holder) bool {
		return h.s == s || h.epoch != h.s.epoch
	})
}

// RecordCacheEvent records which prefixes a server added to its cache and removed
// from it. The server numbers its events one by one. After a gap, everything
// known of the server's cache before the event is dropped, because a removal
// may be among the missing events. An event that arrives after a later one is
// ignored for the same reason.
func (rt *Router) RecordCacheEvent(now time.Time, id pwrequest.BackendServerID, sequence uint64, added, removed []uint64) {
	rt.advance(now)
	s, ok := rt.servers[id]
	if !ok || s.sequenceKnown && sequence <= s.sequence {
		return
	}
	if s.sequenceKnown && sequence != s.sequence+1 {
		s.epoch++
	}
	s.sequence, s.sequenceKnown = sequence, true
	for _, hash := range removed {
		rt.cache.release(hash, s)
	}
	for _, hash := range added {
		rt.cache.hold(hash, s)
	}
}
