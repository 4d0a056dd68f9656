package pwmemory

import "time"

// endedRecord describes a reservation that has ended or was refused. Messages of its
// key with a round up to round are refused until expiresAt. The serial identifies the
// queue entry of the record.
type endedRecord struct {
	round     uint64
	expiresAt time.Time
	started   bool
	serial    uint64
}

// queueEntry refers to the record of a key. It is superseded once the record has
// another serial.
type queueEntry struct {
	key    Key
	serial uint64
}

// endedSet keeps the records of ended or refused reservations in a bounded queue.
// When the queue is full the oldest record is evicted. A late duplicate of its message
// then reserves again until the deadline, which costs memory for a limited time and
// exceeds no bound.
type endedSet struct {
	limit  int
	byKey  map[Key]endedRecord
	queue  []queueEntry
	head   int
	serial uint64
}

func newEndedSet(limit int) *endedSet {
	return &endedSet{
		limit: limit,
		byKey: map[Key]endedRecord{},
	}
}

// get returns the record of k unless it has expired.
func (s *endedSet) get(now time.Time, k Key) (endedRecord, bool) {
	e, ok := s.byKey[k]
	return e, ok && now.Before(e.expiresAt)
}

// add stores e and merges it with the existing record of k.
func (s *endedSet) add(now time.Time, k Key, e endedRecord) {
	if old, ok := s.get(now, k); ok {
		e.round = max(e.round, old.round)
		e.expiresAt = latest(e.expiresAt, old.expiresAt)
		e.started = e.started || old.started
	}
	s.evict(now)
	s.serial++
	e.serial = s.serial
	s.byKey[k] = e
	s.queue = append(s.queue, queueEntry{
		key:    k,
		serial: e.serial,
	})
}

// evict removes superseded and expired records from the front of the queue, and the
// oldest record if the queue is full.
func (s *endedSet) evict(now time.Time) {
	for s.head < len(s.queue) {
		ref := s.queue[s.head]
		e, ok := s.byKey[ref.key]
		current := ok && e.serial == ref.serial
		if current && now.Before(e.expiresAt) && len(s.queue)-s.head < s.limit {
			break
		}
		if current {
			delete(s.byKey, ref.key)
		}
		s.queue[s.head] = queueEntry{}
		s.head++
	}
	// The remaining entries move to the front only when at least half of the slice is
	// unused, which keeps the amortised cost of add constant.
	if s.head > s.limit {
		s.queue = append(s.queue[:0], s.queue[s.head:]...)
		s.head = 0
	}
}
