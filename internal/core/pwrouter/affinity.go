package pwrouter

import (
	"container/list"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// prefixServer records that a server has a prefix in its cache. The record is
// valid as long as epoch equals the server's cacheEpoch.
type prefixServer struct {
	s     *server
	epoch uint64
}

// prefixEntry records the servers that have a prompt prefix in their cache, the
// most recent first.
type prefixEntry struct {
	hash    uint64
	servers []prefixServer
}

// prefixIndex maps prompt prefixes to the servers that have them in their cache.
// It evicts the least recently used prefix when it is full; an evicted prefix
// costs a cache hit and nothing else.
type prefixIndex struct {
	limit    int
	prefixes map[uint64]*list.Element
	lru      *list.List
}

func newPrefixIndex(limit int) prefixIndex {
	return prefixIndex{
		limit:    limit,
		prefixes: make(map[uint64]*list.Element),
		lru:      list.New(),
	}
}

// servers returns the records of a prefix, including those that are no longer
// valid.
func (a *prefixIndex) servers(hash uint64) []prefixServer {
	e, ok := a.prefixes[hash]
	if !ok {
		return nil
	}
	a.lru.MoveToFront(e)
	return e.Value.(*prefixEntry).servers
}

// add records that s has a prefix in its cache.
func (a *prefixIndex) add(hash uint64, s *server) {
	e, ok := a.prefixes[hash]
	if ok {
		a.lru.MoveToFront(e)
	} else {
		if a.lru.Len() >= a.limit {
			oldest := a.lru.Back()
			delete(a.prefixes, a.lru.Remove(oldest).(*prefixEntry).hash)
		}
		e = a.lru.PushFront(&prefixEntry{
			hash: hash,
		})
		a.prefixes[hash] = e
	}
	p := e.Value.(*prefixEntry)
	p.removeServer(s)
	if len(p.servers) == maxPrefixServers {
		p.servers = p.servers[:maxPrefixServers-1]
	}
	p.servers = slices.Insert(p.servers, 0, prefixServer{
		s:     s,
		epoch: s.cacheEpoch,
	})
}

// remove deletes the record that s has a prefix in its cache.
func (a *prefixIndex) remove(hash uint64, s *server) {
	e, ok := a.prefixes[hash]
	if !ok {
		return
	}
	p := e.Value.(*prefixEntry)
	p.removeServer(s)
	if len(p.servers) == 0 {
		a.lru.Remove(e)
		delete(a.prefixes, hash)
	}
}

// removeServer deletes the record of s and all records that are no longer valid.
func (p *prefixEntry) removeServer(s *server) {
	p.servers = slices.DeleteFunc(p.servers, func(h prefixServer) bool {
		return h.s == s || h.epoch != h.s.cacheEpoch
	})
}

// RecordCacheEvent records which prefixes a server has added to its cache and
// removed from it. The server numbers its events consecutively. After a gap in
// the numbers, all earlier records of the server's cache are invalidated, because
// a missing event may have removed prefixes. An event that arrives after a later
// one is ignored, because the later one may have removed what it adds.
func (rt *Router) RecordCacheEvent(now time.Time, id pwrequest.BackendServerID, sequence uint64, added, removed []uint64) {
	rt.advance(now)
	s, ok := rt.servers[id]
	if !ok || s.cacheSequenceKnown && sequence <= s.cacheSequence {
		return
	}
	if s.cacheSequenceKnown && sequence != s.cacheSequence+1 {
		s.cacheEpoch++
	}
	s.cacheSequence, s.cacheSequenceKnown = sequence, true
	for _, hash := range removed {
		rt.prefixes.remove(hash, s)
	}
	for _, hash := range added {
		rt.prefixes.add(hash, s)
	}
}
