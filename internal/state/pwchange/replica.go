package pwchange

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Digest summarises what a replica holds. Equal Head and Hash mean equal
// contents.
type Digest struct {
	// Head is the largest sequence number held.
	Head uint64
	// Hash is the sum of a hash over (key, sequence) of all held changes.
	Hash uint64
	// ConfirmedAt is when some process last saw that a replica with these
	// contents lacked nothing that the table had. Zero if never.
	ConfirmedAt time.Time
}

// SameContents reports whether two digests stand for the same contents.
func (d Digest) SameContents(o Digest) bool { return d.Head == o.Head && d.Hash == o.Hash }

// Freshness tells how old the contents of a replica may be.
type Freshness struct {
	// ConfirmedAt is the time as of which the contents are complete.
	ConfirmedAt time.Time
	// ConfirmedBy is the instance that compared with the table, or the one
	// from which that comparison was learned.
	ConfirmedBy string
}

// Replica holds the newest change of each key. It does no I/O and is not safe
// for concurrent use.
type Replica struct {
	held  map[string]Change
	names map[uint64]string
	// log lists the held keys in the order of their sequence numbers, so that
	// the newest changes are found without a scan.
	log       []position
	head      uint64
	hash      uint64
	bytes     int
	freshness Freshness
}

type position struct {
	sequence uint64
	key      string
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		held:  map[string]Change{},
		names: map[uint64]string{},
	}
}

// Merge takes over the changes that are newer than the held ones and returns
// their keys in sorted order. An older or equal change never replaces a held
// one, whatever the order of arrival. Changes that are malformed or exceed
// the bounds are ignored.
func (r *Replica) Merge(changes []Change) []string {
	var changed []string
	for _, c := range changes {
		if r.merge(c) {
			changed = append(changed, c.Key)
		}
	}
	slices.Sort(changed)
	return slices.Compact(changed)
}

func (r *Replica) merge(c Change) bool {
	old, known := r.held[c.Key]
	if c.Sequence == 0 || c.Sequence <= old.Sequence {
		return false
	}
	if !ValidKey(c.Key) || len(c.Value) > MaxValueBytes(c.Key) {
		return false
	}
	size := r.bytes + len(c.Value) - len(old.Value)
	if !known && len(r.held) >= MaxKeys || size > MaxTotalBytes {
		return false
	}
	if known {
		i, _ := r.find(old.Sequence, c.Key)
		r.log = slices.Delete(r.log, i, i+1)
	}
	i, _ := r.find(c.Sequence, c.Key)
	r.log = slices.Insert(r.log, i, position{
		sequence: c.Sequence,
		key:      c.Key,
	})
	r.bytes = size
	r.hash += entryHash(c.Key, c.Sequence) - entryHash(c.Key, old.Sequence)
	r.head = max(r.head, c.Sequence)
	r.held[c.Key] = c
	r.names[KeyHash(c.Key)] = c.Key
	return true
}

func (r *Replica) find(sequence uint64, key string) (int, bool) {
	return slices.BinarySearchFunc(r.log, position{
		sequence: sequence,
		key:      key,
	}, func(a, b position) int {
		if a.sequence != b.sequence {
			return lo.Ternary(a.sequence < b.sequence, -1, 1)
		}
		return strings.Compare(a.key, b.key)
	})
}

// Get returns the held change of a key.
func (r *Replica) Get(key string) (Change, bool) {
	c, ok := r.held[key]
	return c, ok
}

// Len returns the number of held keys.
func (r *Replica) Len() int { return len(r.held) }

// ValueBytes returns the size of all held values together.
func (r *Replica) ValueBytes() int { return r.bytes }

// Keys returns the held keys with a prefix, in sorted order.
func (r *Replica) Keys(prefix string) []string {
	keys := lo.Filter(lo.Keys(r.held), func(k string, _ int) bool { return strings.HasPrefix(k, prefix) })
	slices.Sort(keys)
	return keys
}

// Digest summarises the contents.
func (r *Replica) Digest() Digest {
	return Digest{
		Head:        r.head,
		Hash:        r.hash,
		ConfirmedAt: r.freshness.ConfirmedAt,
	}
}

// Freshness returns how old the contents may be.
func (r *Replica) Freshness() Freshness { return r.freshness }

// Confirm records that at the time at a replica with the contents of d lacked
// nothing that the table had. It has no effect, and returns false, unless the
// contents are the same now and at is later than what is known. Contents
// never revert, so an earlier confirmation stays true after a merge.
func (r *Replica) Confirm(d Digest, at time.Time, by string) bool {
	if !r.Digest().SameContents(d) || !at.After(r.freshness.ConfirmedAt) {
		return false
	}
	r.freshness = Freshness{
		ConfirmedAt: at,
		ConfirmedBy: by,
	}
	return true
}

// ChangesSince returns held changes with a sequence number above floor, oldest
// first, up to max bytes of values (but at least one change).
func (r *Replica) ChangesSince(floor uint64, maxBytes int) []Change {
	return r.pick(floor, maxBytes, func(Change) bool { return true })
}

func (r *Replica) pick(floor uint64, maxBytes int, want func(Change) bool) []Change {
	var out []Change
	size := 0
	start, _ := r.find(floor+1, "")
	for _, p := range r.log[start:] {
		c := r.held[p.key]
		if !want(c) {
			continue
		}
		size += len(c.Value) + len(c.Key)
		if size > maxBytes && len(out) > 0 {
			break
		}
		out = append(out, c)
	}
	return out
}

// SequenceList lists the sequence numbers of held changes by key hash.
type SequenceList struct {
	// Floor says that only changes above it are listed.
	Floor     uint64
	Sequences map[uint64]uint64
}

// NewestSequences returns the list of the n newest changes.
func (r *Replica) NewestSequences(n int) SequenceList {
	start := max(0, len(r.log)-n)
	h := SequenceList{
		Sequences: make(map[uint64]uint64, len(r.log)-start),
	}
	if start > 0 {
		h.Floor = r.log[start-1].sequence
	}
	for _, p := range r.log[start:] {
		h.Sequences[KeyHash(p.key)] = p.sequence
	}
	return h
}

// Delta compares with a peer's list. It returns the changes above the list's
// floor that the peer lacks, up to maxBytes, and the key hashes for which the
// peer has a newer change.
func (r *Replica) Delta(peer SequenceList, maxBytes int) (missing []Change, wanted []uint64) {
	missing = r.pick(peer.Floor, maxBytes, func(c Change) bool {
		return peer.Sequences[KeyHash(c.Key)] < c.Sequence
	})
	for h, sequence := range peer.Sequences {
		if r.held[r.names[h]].Sequence < sequence {
			wanted = append(wanted, h)
		}
	}
	slices.Sort(wanted)
	return missing, wanted
}

// ChangesByHash returns the held changes with the given key hashes, up to maxBytes.
func (r *Replica) ChangesByHash(hashes []uint64, maxBytes int) []Change {
	var out []Change
	size := 0
	for _, h := range hashes {
		c, ok := r.held[r.names[h]]
		if !ok {
			continue
		}
		size += len(c.Value) + len(c.Key)
		if size > maxBytes && len(out) > 0 {
			break
		}
		out = append(out, c)
	}
	return out
}
