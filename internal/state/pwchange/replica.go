package pwchange

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// Digest summarises the contents of a replica. Replicas with equal Head and Hash
// have equal contents.
type Digest struct {
	// Head is the largest sequence number in the replica.
	Head uint64
	// Hash is the sum of the hashes of (key, sequence number) over all changes in
	// the replica.
	Hash uint64
	// ConfirmedAt is the last time at which some process found that a replica with
	// these contents had every change in the table. It is zero if that never
	// happened.
	ConfirmedAt time.Time
}

// SameContents reports whether two digests describe equal contents. It ignores
// ConfirmedAt.
func (d Digest) SameContents(o Digest) bool { return d.Head == o.Head && d.Hash == o.Hash }

// Freshness describes how old the contents of a replica may be.
type Freshness struct {
	// ConfirmedAt is the last time at which the contents were known to be complete.
	ConfirmedAt time.Time
	// ConfirmedBy is the instance that compared the contents with the table, or the
	// peer from which this process received that result.
	ConfirmedBy string
}

// Replica is an in-memory copy of the newest change of each key. It does no I/O and
// is not safe for concurrent use.
type Replica struct {
	changes    map[string]Change
	keysByHash map[uint64]string
	// bySequence lists the keys by the sequence numbers of their newest changes, so
	// that the changes above a sequence number are found without a scan.
	bySequence []logPosition
	head       uint64
	hash       uint64
	bytes      int
	freshness  Freshness
}

// logPosition identifies the newest change of a key in Replica.bySequence.
type logPosition struct {
	sequence uint64
	key      string
}

// NewReplica returns an empty replica.
func NewReplica() *Replica {
	return &Replica{
		changes:    map[string]Change{},
		keysByHash: map[uint64]string{},
	}
}

// Merge stores those changes that are newer than the replica's change of the same
// key and returns their keys in sorted order. Regardless of the order of arrival,
// a change never replaces one with an equal or larger sequence number. Merge
// ignores changes that are malformed or exceed the limits.
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
	old, known := r.changes[c.Key]
	if c.Sequence == 0 || c.Sequence <= old.Sequence {
		return false
	}
	if !ValidKey(c.Key) || len(c.Value) > MaxValueBytes(c.Key) {
		return false
	}
	size := r.bytes + len(c.Value) - len(old.Value)
	if !known && len(r.changes) >= MaxKeys || size > MaxTotalBytes {
		return false
	}
	if known {
		i, _ := r.position(old.Sequence, c.Key)
		r.bySequence = slices.Delete(r.bySequence, i, i+1)
	}
	i, _ := r.position(c.Sequence, c.Key)
	r.bySequence = slices.Insert(r.bySequence, i, logPosition{
		sequence: c.Sequence,
		key:      c.Key,
	})
	r.bytes = size
	r.hash += entryHash(c.Key, c.Sequence) - entryHash(c.Key, old.Sequence)
	r.head = max(r.head, c.Sequence)
	r.changes[c.Key] = c
	r.keysByHash[KeyHash(c.Key)] = c.Key
	return true
}

// position returns the index of a change in bySequence, or the index at which it
// would be inserted, and whether it is present.
func (r *Replica) position(sequence uint64, key string) (int, bool) {
	return slices.BinarySearchFunc(r.bySequence, logPosition{
		sequence: sequence,
		key:      key,
	}, func(a, b logPosition) int {
		if a.sequence != b.sequence {
			return lo.Ternary(a.sequence < b.sequence, -1, 1)
		}
		return strings.Compare(a.key, b.key)
	})
}

// Get returns the newest change of a key and whether the replica has one.
func (r *Replica) Get(key string) (Change, bool) {
	c, ok := r.changes[key]
	return c, ok
}

// Len returns the number of keys in the replica, deleted ones included.
func (r *Replica) Len() int { return len(r.changes) }

// ValueBytes returns the total size of the values in the replica.
func (r *Replica) ValueBytes() int { return r.bytes }

// Keys returns the replica's keys that start with prefix, in sorted order.
func (r *Replica) Keys(prefix string) []string {
	keys := lo.Filter(lo.Keys(r.changes), func(k string, _ int) bool { return strings.HasPrefix(k, prefix) })
	slices.Sort(keys)
	return keys
}

// Digest returns a summary of the replica's contents.
func (r *Replica) Digest() Digest {
	return Digest{
		Head:        r.head,
		Hash:        r.hash,
		ConfirmedAt: r.freshness.ConfirmedAt,
	}
}

// Freshness returns the newest confirmation that the contents were complete.
func (r *Replica) Freshness() Freshness { return r.freshness }

// Confirm records that at confirmedAt, a replica with the contents of d had every
// change in the table. It does nothing and returns false unless the replica still
// has these contents and confirmedAt is later than the last confirmation. Contents
// never revert, so an earlier confirmation remains valid after a merge.
func (r *Replica) Confirm(d Digest, confirmedAt time.Time, confirmedBy string) bool {
	if !r.Digest().SameContents(d) || !confirmedAt.After(r.freshness.ConfirmedAt) {
		return false
	}
	r.freshness = Freshness{
		ConfirmedAt: confirmedAt,
		ConfirmedBy: confirmedBy,
	}
	return true
}

// ChangesSince returns the changes whose sequence numbers are greater than floor,
// oldest first. It stops before their keys and values exceed maxBytes, but returns
// at least one change if there is any.
func (r *Replica) ChangesSince(floor uint64, maxBytes int) []Change {
	return r.selectChanges(floor, maxBytes, func(Change) bool { return true })
}

// selectChanges returns the changes with a sequence number greater than floor for
// which include returns true, oldest first. It stops before their keys and values
// exceed maxBytes, but returns at least one change if there is any.
func (r *Replica) selectChanges(floor uint64, maxBytes int, include func(Change) bool) []Change {
	var out []Change
	size := 0
	start, _ := r.position(floor+1, "")
	for _, p := range r.bySequence[start:] {
		c := r.changes[p.key]
		if !include(c) {
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

// SequenceList describes which changes a replica has, without their values. Replicas
// exchange it to find out which changes they miss.
type SequenceList struct {
	// Floor is the sequence number above which the list is complete. Changes up to
	// Floor are not listed.
	Floor uint64
	// Sequences maps the hash of each listed key to the sequence number of the
	// key's newest change.
	Sequences map[uint64]uint64
}

// NewestSequences returns the list of the n newest changes.
func (r *Replica) NewestSequences(n int) SequenceList {
	start := max(0, len(r.bySequence)-n)
	h := SequenceList{
		Sequences: make(map[uint64]uint64, len(r.bySequence)-start),
	}
	if start > 0 {
		h.Floor = r.bySequence[start-1].sequence
	}
	for _, p := range r.bySequence[start:] {
		h.Sequences[KeyHash(p.key)] = p.sequence
	}
	return h
}

// Delta compares the replica with a peer's list. missing contains the changes above
// the list's floor that the peer does not have; their keys and values don't exceed
// maxBytes, unless the first change alone does. wanted contains the hashes of the
// keys of which the peer has a newer change.
func (r *Replica) Delta(peer SequenceList, maxBytes int) (missing []Change, wanted []uint64) {
	missing = r.selectChanges(peer.Floor, maxBytes, func(c Change) bool {
		return peer.Sequences[KeyHash(c.Key)] < c.Sequence
	})
	for h, sequence := range peer.Sequences {
		if r.changes[r.keysByHash[h]].Sequence < sequence {
			wanted = append(wanted, h)
		}
	}
	slices.Sort(wanted)
	return missing, wanted
}

// ChangesByHash returns the replica's changes of the keys with the given hashes. It
// stops before their keys and values exceed maxBytes, but returns at least one
// change if there is any.
func (r *Replica) ChangesByHash(hashes []uint64, maxBytes int) []Change {
	var out []Change
	size := 0
	for _, h := range hashes {
		c, ok := r.changes[r.keysByHash[h]]
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
