package pwcatalog

import (
	"hash/maphash"
	"iter"
	"maps"
	"slices"
)

const (
	// shardSize is the number of entries of a shard of a new index, maxShardSize the mean
	// number from which on the index is divided anew.
	shardSize    = 16
	maxShardSize = 64
)

var indexSeed = maphash.MakeSeed()

// index is a map that is not changed once it is built. An edited copy shares all shards
// whose entries are the same.
type index[V any] struct {
	shards []map[string]V
	length int
}

// newIndex returns an index of the entries of m.
func newIndex[V any](m map[string]V) index[V] {
	ix := index[V]{
		shards: make([]map[string]V, max(1, (len(m)+shardSize-1)/shardSize)),
		length: len(m),
	}
	for key, value := range m {
		shard := &ix.shards[ix.shardOf(key)]
		if *shard == nil {
			*shard = make(map[string]V, shardSize)
		}
		(*shard)[key] = value
	}
	return ix
}

func (ix *index[V]) shardOf(key string) int {
	return int(maphash.String(indexSeed, key) % uint64(len(ix.shards)))
}

// get returns the value of a key. It also serves the zero index.
func (ix *index[V]) get(key string) (V, bool) {
	if ix.length == 0 {
		var zero V
		return zero, false
	}
	value, ok := ix.shards[ix.shardOf(key)][key]
	return value, ok
}

// all returns the entries, in no order.
func (ix *index[V]) all() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		for _, shard := range ix.shards {
			for key, value := range shard {
				if !yield(key, value) {
					return
				}
			}
		}
	}
}

// indexEdit is an edited copy of an index.
type indexEdit[V any] struct {
	index index[V]
	// copied marks the shards that are not shared.
	copied []bool
}

// edit returns a copy that can be changed.
func (ix *index[V]) edit() *indexEdit[V] {
	return &indexEdit[V]{
		index: index[V]{
			shards: slices.Clone(ix.shards),
			length: ix.length,
		},
		copied: make([]bool, len(ix.shards)),
	}
}

// shard returns the shard of a key for a change.
func (e *indexEdit[V]) shard(key string) map[string]V {
	i := e.index.shardOf(key)
	if !e.copied[i] {
		e.copied[i] = true
		if e.index.shards[i] = maps.Clone(e.index.shards[i]); e.index.shards[i] == nil {
			e.index.shards[i] = make(map[string]V)
		}
	}
	return e.index.shards[i]
}

// remove removes a key. It returns false if the index does not hold it.
func (e *indexEdit[V]) remove(key string) bool {
	if _, ok := e.index.get(key); !ok {
		return false
	}
	delete(e.shard(key), key)
	e.index.length--
	return true
}

// set sets the value of a key. It reports whether the index did not hold it before.
func (e *indexEdit[V]) set(key string, value V) bool {
	shard := e.shard(key)
	_, known := shard[key]
	shard[key] = value
	if !known {
		e.index.length++
	}
	return !known
}

// finish returns the edited index.
func (e *indexEdit[V]) finish() index[V] {
	if e.index.length > maxShardSize*len(e.index.shards) {
		return newIndex(maps.Collect(e.index.all()))
	}
	return e.index
}
