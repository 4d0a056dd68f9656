// Package pwdirectory locates the answer to a request. Two entries hold the
// record of each request. They are chosen by rendezvous hashing of the request
// identifier, so any other entry finds the record after the entry that
// coordinated the request has died.
//
// # Usage
//
//	store := pwdirectory.NewStore(pwdirectory.Config{})
//	d := pwdirectory.New(self, store, peers, entries)
//	err := d.Put(ctx, record)
//	record, err := d.Get(ctx, "req-1") // a nil record means that none was found
package pwdirectory

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Default values of Config, and limits.
const (
	// DefaultMaxRecords bounds the records of one entry. An entry holds 37,500
	// records at 120,000 requests per second over 640 entries, with two copies
	// of each record and a lifetime of 100 s.
	DefaultMaxRecords = 100_000
	// MaxLifetime bounds how long a record is kept, even if its expiry is later.
	MaxLifetime = 25 * time.Hour
	// holders is the number of entries that store a record.
	holders = 2
	// lookups is the number of entries that Get asks. It is larger than holders
	// because the list of entries may have changed since Put.
	lookups = 4
	// peerTimeout bounds one call to a holder, so that a paused holder does not
	// exhaust the caller's deadline.
	peerTimeout = time.Second
	// lookupGrace is how long Get waits for the other entries after the first
	// one has returned a record.
	lookupGrace = 100 * time.Millisecond
)

// Peer reads and writes the records that another entry holds.
type Peer interface {
	PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error
	// GetRecord returns nil when the peer has no record.
	GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error)
}

// Peers returns a client for the entry at an address.
type Peers interface {
	Peer(address string) Peer
}

// Entries lists the entries that are known to be live.
type Entries interface {
	Entries() []pwinstance.Instance
}

// Directory stores records at their holders and looks them up. It is safe for
// concurrent use.
type Directory struct {
	self    pwrequest.InstanceID
	store   *Store
	peers   Peers
	entries Entries
}

// New returns the directory of the entry self, whose own records are in store.
func New(self pwrequest.InstanceID, store *Store, peers Peers, entries Entries) *Directory {
	return &Directory{
		self:    self,
		store:   store,
		peers:   peers,
		entries: entries,
	}
}

// Holders returns up to n entries that rank highest for a request, highest
// first. It skips instances with another role and entries that are leaving.
func Holders(id pwrequest.ID, entries []pwinstance.Instance, n int) []pwinstance.Instance {
	type ranked struct {
		score uint64
		entry *pwinstance.Instance
	}
	ranksBefore := func(a, b ranked) bool {
		return a.score > b.score || a.score == b.score && a.entry.ID < b.entry.ID
	}
	// Only the best n are kept: with hundreds of entries, sorting all of them for
	// each request took more processor time than all other control work.
	best := make([]ranked, 0, n+1)
	h := xxhash.New()
	for i := range entries {
		e := &entries[i]
		if e.Role != pwinstance.RoleEntry || e.Leaving {
			continue
		}
		h.Reset()
		_, _ = h.WriteString(string(id))
		_, _ = h.WriteString("\x00")
		_, _ = h.WriteString(string(e.ID))
		r := ranked{
			score: h.Sum64(),
			entry: e,
		}
		position := sort.Search(len(best), func(k int) bool { return ranksBefore(r, best[k]) })
		if position == n {
			continue
		}
		best = slices.Insert(best, position, r)
		best = best[:min(n, len(best))]
	}
	out := make([]pwinstance.Instance, 0, len(best))
	for _, r := range best {
		out = append(out, *r.entry)
	}
	return out
}

// Put sends a record to all its holders concurrently. It succeeds when at least
// one of them has stored the record.
func (d *Directory) Put(ctx context.Context, r *pwrpc.RequestRecord) error {
	_, errs := callAll(ctx, Holders(pwrequest.ID(r.RequestId), d.entries.Entries(), holders), func(ctx context.Context, h pwinstance.Instance) (struct{}, error) {
		if h.ID == d.self {
			return struct{}{}, d.store.Put(r)
		}
		return struct{}{}, d.peers.Peer(h.Address).PutRecord(ctx, r)
	})
	if slices.Contains(errs, nil) {
		return nil
	}
	return pwverdict.Wrap(errors.Join(errs...), pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no entry stored the request record")
}

// Get returns the newest record of a request. It asks all entries that may hold
// the record concurrently. It returns nil when no entry that responds has a
// record. It fails when no entry responds and this one has no record.
func (d *Directory) Get(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	newest, _ := d.store.Get(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var startGrace sync.Once
	records, errs := callAll(ctx, Holders(id, d.entries.Entries(), lookups), func(ctx context.Context, h pwinstance.Instance) (*pwrpc.RequestRecord, error) {
		if h.ID == d.self {
			return newest, nil
		}
		r, err := d.peers.Peer(h.Address).GetRecord(ctx, id)
		if r != nil {
			startGrace.Do(func() { time.AfterFunc(lookupGrace, cancel) })
		}
		return r, err
	})
	for _, r := range records {
		if r != nil && (newest == nil || r.AttemptNumber > newest.AttemptNumber) {
			newest = r
		}
	}
	if newest == nil && len(errs) > 0 && !slices.Contains(errs, nil) {
		return nil, pwverdict.Wrap(errors.Join(errs...), pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no entry that may hold the request record answers")
	}
	return newest, nil
}

// callAll runs call for all entries concurrently, bounded by peerTimeout, and
// returns the results and errors in the order of the entries.
func callAll[R any](ctx context.Context, entries []pwinstance.Instance, call func(ctx context.Context, e pwinstance.Instance) (R, error)) ([]R, []error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	results := make([]R, len(entries))
	errs := make([]error, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { results[i], errs[i] = call(ctx, e) })
	}
	wg.Wait()
	return results, errs
}
