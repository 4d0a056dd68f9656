// Package pwdirectory tells where the response of a request is. The record of
// a request is held by two entries, chosen by rendezvous hashing of its
// identifier, so that any other entry finds it when the coordinating entry has
// died.
//
// # Usage
//
//	store := pwdirectory.NewStore(pwdirectory.Config{})
//	d := pwdirectory.New(self, store, peers, entries)
//	err := d.Put(ctx, record)
//	record, err := d.Get(ctx, "req-1") // nil: no record
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

// Defaults of Config and limits.
const (
	// DefaultMaxRecords bounds the records of one entry. At 120,000 requests a
	// second over 640 entries, two copies and records of 100 s it holds 37,500.
	DefaultMaxRecords = 100_000
	// MaxLifetime bounds how long a record is kept, whatever it says.
	MaxLifetime = 25 * time.Hour
	// holders is the number of entries that hold a record.
	holders = 2
	// lookups is the number of entries that are asked. It is larger than
	// holders, because the list of entries may have changed since Put.
	lookups = 4
	// peerTimeout bounds one call to a holder, so that a paused holder does
	// not use up the caller's deadline.
	peerTimeout = time.Second
	// answerGrace is how long Get waits for the other entries once one has
	// given a record.
	answerGrace = 100 * time.Millisecond
)

// Peer is another entry.
type Peer interface {
	PutRecord(ctx context.Context, r *pwrpc.RequestRecord) error
	// GetRecord returns nil when the peer has no record.
	GetRecord(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error)
}

// Peers reaches entries by their addresses.
type Peers interface {
	Peer(address string) Peer
}

// Entries lists the known live entries.
type Entries interface {
	Entries() []pwinstance.Instance
}

// Directory writes and finds records. It is safe for concurrent use.
type Directory struct {
	self    pwrequest.InstanceID
	store   *Store
	peers   Peers
	entries Entries
}

// New returns the directory of an entry.
func New(self pwrequest.InstanceID, store *Store, peers Peers, entries Entries) *Directory {
	return &Directory{
		self:    self,
		store:   store,
		peers:   peers,
		entries: entries,
	}
}

// Holders returns the entries for a request, best first, at most n.
func Holders(id pwrequest.ID, entries []pwinstance.Instance, n int) []pwinstance.Instance {
	type ranked struct {
		score uint64
		entry *pwinstance.Instance
	}
	before := func(a, b ranked) bool {
		return a.score > b.score || a.score == b.score && a.entry.ID < b.entry.ID
	}
	// Only the best n are kept; with hundreds of entries, sorting them all for
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
		at := sort.Search(len(best), func(k int) bool { return before(r, best[k]) })
		if at == n {
			continue
		}
		best = slices.Insert(best, at, r)
		best = best[:min(n, len(best))]
	}
	out := make([]pwinstance.Instance, 0, len(best))
	for _, r := range best {
		out = append(out, *r.entry)
	}
	return out
}

// Put stores a record at its holders, at all of them at once. It succeeds when
// one of them has it.
func (d *Directory) Put(ctx context.Context, r *pwrpc.RequestRecord) error {
	_, errs := ask(ctx, Holders(pwrequest.ID(r.RequestId), d.entries.Entries(), holders), func(ctx context.Context, h pwinstance.Instance) (struct{}, error) {
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

// Get returns the newest record of a request, or nil when no entry that
// answers has one. It fails when none answers. All entries that may hold the
// record are asked at once.
func (d *Directory) Get(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error) {
	newest, _ := d.store.Get(id)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var found sync.Once
	records, errs := ask(ctx, Holders(id, d.entries.Entries(), lookups), func(ctx context.Context, h pwinstance.Instance) (*pwrpc.RequestRecord, error) {
		if h.ID == d.self {
			return newest, nil
		}
		r, err := d.peers.Peer(h.Address).GetRecord(ctx, id)
		if r != nil {
			found.Do(func() { time.AfterFunc(answerGrace, cancel) })
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

// ask calls all entries at once, each with its own timeout, and returns their
// answers and errors in the order of the entries.
func ask[R any](ctx context.Context, entries []pwinstance.Instance, call func(ctx context.Context, e pwinstance.Instance) (R, error)) ([]R, []error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answers := make([]R, len(entries))
	errs := make([]error, len(entries))
	var wg sync.WaitGroup
	for i, e := range entries {
		wg.Go(func() { answers[i], errs[i] = call(ctx, e) })
	}
	wg.Wait()
	return answers, errs
}
