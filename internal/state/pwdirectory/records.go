package pwdirectory

import (
	"cmp"
	"container/heap"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
)

// Records is the bounded set of records of one entry. The caller passes in the
// time and does the locking. A record of an older attempt never replaces one of
// a newer attempt, and a record never replaces one of another workspace.
type Records struct {
	limit int
	byID  map[pwrequest.ID]*storedRecord
	// byExpiry is a heap, so that removing expired records doesn't visit the
	// records that stay.
	byExpiry expiryHeap
}

// storedRecord is a record with its place in the expiry heap.
type storedRecord struct {
	record    *pwrpc.RequestRecord
	expires   time.Time
	heapIndex int
}

// NewRecords returns an empty set that holds at most limit records.
func NewRecords(limit int) *Records {
	return &Records{
		limit: limit,
		byID:  map[pwrequest.ID]*storedRecord{},
	}
}

// Put keeps a record until it expires, but no longer than MaxLifetime. It
// ignores, without an error, a record that has expired, that is of an older
// attempt than the held record, or that is of another workspace. A full set
// refuses new records with CauseQueueFull. A record without a request, a
// workspace or an agent address is refused with CauseBadRequest.
func (s *Records) Put(now time.Time, r *pwrpc.RequestRecord) error {
	id := pwrequest.ID(r.RequestId)
	if id == "" || r.Workspace == "" || r.AgentAddress == "" {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "request record needs a request, a workspace and an agent address")
	}
	s.removeExpired(now)
	expires := time.UnixMilli(r.ExpiresUnixMs)
	if latest := now.Add(MaxLifetime); expires.After(latest) {
		expires = latest
	}
	if !expires.After(now) {
		return nil
	}
	existing, ok := s.byID[id]
	switch {
	case !ok && len(s.byID) >= s.limit:
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull, "store holds %d request records", s.limit)
	case !ok:
		e := &storedRecord{
			record:  r,
			expires: expires,
		}
		s.byID[id] = e
		heap.Push(&s.byExpiry, e)
	case existing.record.AttemptNumber <= r.AttemptNumber && existing.record.Workspace == r.Workspace:
		existing.record = r
		existing.expires = expires
		heap.Fix(&s.byExpiry, existing.heapIndex)
	}
	return nil
}

// Get returns the record of a request, unless it has expired.
func (s *Records) Get(now time.Time, id pwrequest.ID) (*pwrpc.RequestRecord, bool) {
	e, ok := s.byID[id]
	if !ok || !e.expires.After(now) {
		return nil, false
	}
	return e.record, true
}

// Len returns the number of held records. Put removes expired records, so the
// number may include those that expired after the last Put.
func (s *Records) Len() int { return len(s.byID) }

// removeExpired removes the records that have expired at now.
func (s *Records) removeExpired(now time.Time) {
	for len(s.byExpiry) > 0 && !s.byExpiry[0].expires.After(now) {
		e := heap.Pop(&s.byExpiry).(*storedRecord)
		delete(s.byID, pwrequest.ID(e.record.RequestId))
	}
}

// expiryHeap implements heap.Interface; the record that expires first is at the top.
type expiryHeap []*storedRecord

// Len implements sort.Interface.
func (h expiryHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

// Swap implements sort.Interface.
func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	e := x.(*storedRecord)
	e.heapIndex = len(*h)
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	items := *h
	e := items[len(items)-1]
	items[len(items)-1] = nil
	*h = items[:len(items)-1]
	return e
}

// Config sets the bounds of a store. Zero values mean the defaults.
type Config struct {
	// MaxRecords bounds the number of records; the default is DefaultMaxRecords.
	MaxRecords int
}

// Store holds the records of one entry and expires them by the system clock. It
// is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records *Records
}

// NewStore returns an empty store.
func NewStore(cfg Config) *Store {
	return &Store{
		records: NewRecords(cmp.Or(cfg.MaxRecords, DefaultMaxRecords)),
	}
}

// Put keeps a record under the rules of Records.Put. A full store refuses new
// records with CauseQueueFull.
func (s *Store) Put(r *pwrpc.RequestRecord) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Put(time.Now(), r)
}

// Get returns the record of a request, unless it has expired.
func (s *Store) Get(id pwrequest.ID) (*pwrpc.RequestRecord, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Get(time.Now(), id)
}

// Len returns the number of held records; see Records.Len.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.records.Len()
}
