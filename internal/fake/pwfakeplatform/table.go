// Package pwfakeplatform provides in-memory fakes of the platform's services, with
// faults that a test can switch on.
//
// # Usage
//
//	table := pwfakeplatform.NewTable()
//	table.SetFault(pwfakeplatform.FaultLostResponse, 1) // the next commit takes effect, its response is lost
//	_, err := table.Commit(ctx, pwtable.Write{Key: "a", Value: []byte("1")})
//	// pwverdict.VerdictOf(err) == pwverdict.MayHaveRun
package pwfakeplatform

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Fault is a failure that a test can switch on in a Table or an ObjectStore.
type Fault string

// Faults of a Table. An ObjectStore supports FaultOutage, FaultLostResponse and
// FaultLostRequest.
const (
	// FaultOutage refuses a call before it takes effect.
	FaultOutage Fault = "outage"
	// FaultLostResponse loses the response of a commit that has taken effect.
	FaultLostResponse Fault = "lost_reply"
	// FaultLostResponseThenOutage loses the response of a commit that has taken effect
	// and sets FaultOutage to Unlimited.
	FaultLostResponseThenOutage Fault = "last_reply"
	// FaultLostRequest loses a commit before it takes effect. The caller gets the
	// same error as for a lost response.
	FaultLostRequest Fault = "lost_request"
	// FaultDelayedCommit loses the response of a commit and delays the commit until
	// ApplyDelayedCommits, or until the time of SetCommitDelay has passed. The
	// expected versions are checked only then.
	FaultDelayedCommit Fault = "late_write"
)

// maxDelayedCommits bounds the commits that FaultDelayedCommit delays; further
// ones are lost.
const maxDelayedCommits = 1024

// Unlimited is the number of calls with which SetFault keeps a fault on until it is changed.
const Unlimited = -1

// Table is an in-memory fake of the platform's transactional table.
type Table struct {
	mu              sync.Mutex
	rows            map[string]pwtable.Row
	revision        uint64        // version of the newest commit
	remainingFaults map[Fault]int // number of calls that each fault still affects, or Unlimited
	latency         time.Duration
	// delayedCommits are the commits that FaultDelayedCommit delays, oldest first.
	delayedCommits [][]pwtable.Write
	commitDelay    time.Duration
	readCount      int64
	commitCount    int64
}

// NewTable returns an empty table without faults.
func NewTable() *Table {
	return &Table{
		rows:            map[string]pwtable.Row{},
		remainingFaults: map[Fault]int{},
	}
}

// SetFault makes the fault affect the next n calls. Unlimited keeps the fault on
// and 0 switches it off.
func (t *Table) SetFault(f Fault, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.remainingFaults[f] = n
}

// TableCopy is a copy of a Table.
type TableCopy struct {
	rows     map[string]pwtable.Row
	revision uint64
}

// Copy returns a copy of the table.
func (t *Table) Copy() TableCopy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return TableCopy{
		rows:     maps.Clone(t.rows),
		revision: t.revision,
	}
}

// Restore brings the table back from a copy. It loses later commits and gives out their
// versions again.
func (t *Table) Restore(c TableCopy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.revision = maps.Clone(c.rows), c.revision
}

// SetLatency delays every call by d and returns the previous delay.
func (t *Table) SetLatency(d time.Duration) (previous time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, t.latency = t.latency, d
	return previous
}

// SetCommitDelay makes commits that FaultDelayedCommit delays take effect after d.
// With 0, the default, only ApplyDelayedCommits applies them.
func (t *Table) SetCommitDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitDelay = d
}

// ApplyDelayedCommits applies the commits that FaultDelayedCommit delayed, oldest
// first, and returns how many took effect. It drops those whose expected versions
// no longer match.
func (t *Table) ApplyDelayedCommits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for len(t.delayedCommits) > 0 {
		if t.applyOldestDelayed() {
			n++
		}
	}
	return n
}

// applyOldestDelayed applies the oldest delayed commit and reports whether it took
// effect. The caller holds t.mu.
func (t *Table) applyOldestDelayed() bool {
	if len(t.delayedCommits) == 0 {
		return false
	}
	writes := t.delayedCommits[0]
	t.delayedCommits = t.delayedCommits[1:]
	return t.applyAll(writes) == nil
}

// delayCommit queues a commit, or drops it when too many are queued. The caller
// holds t.mu.
func (t *Table) delayCommit(writes []pwtable.Write) {
	if len(t.delayedCommits) >= maxDelayedCommits {
		return
	}
	t.delayedCommits = append(t.delayedCommits, slices.Clone(writes))
	if t.commitDelay > 0 {
		time.AfterFunc(t.commitDelay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.applyOldestDelayed()
		})
	}
}

// Counts returns how many reads and commits the table has received so far.
func (t *Table) Counts() (reads, commits int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readCount, t.commitCount
}

// Get returns the row of a key. A missing row is an error with the cause not_found.
func (t *Table) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := t.awaitLatency(ctx); err != nil {
		return pwtable.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	if t.consumeFault(FaultOutage) {
		return pwtable.Row{}, outageError()
	}
	row, ok := t.rows[key]
	if !ok {
		return pwtable.Row{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "row %q does not exist", key)
	}
	return cloneRow(row), nil
}

// List returns up to limit rows whose keys start with prefix and are greater
// than after, in the order of their keys.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	return t.readMatching(ctx, limit, func(k string) bool { return strings.HasPrefix(k, prefix) && k > after })
}

// Range returns up to limit rows whose keys are at least start and less than
// end, in the order of their keys. An empty end means no upper bound.
func (t *Table) Range(ctx context.Context, start, end string, limit int) ([]pwtable.Row, error) {
	return t.readMatching(ctx, limit, func(k string) bool { return k >= start && (end == "" || k < end) })
}

// readMatching returns up to limit rows whose keys match, in the order of their
// keys.
func (t *Table) readMatching(ctx context.Context, limit int, matches func(key string) bool) ([]pwtable.Row, error) {
	if err := t.awaitLatency(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.readCount++
	if t.consumeFault(FaultOutage) {
		return nil, outageError()
	}
	var keys []string
	for k := range t.rows {
		if matches(k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var rows []pwtable.Row
	for _, k := range keys[:min(limit, len(keys))] {
		rows = append(rows, cloneRow(t.rows[k]))
	}
	return rows, nil
}

// Commit applies all writes or none and returns their common version.
func (t *Table) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := t.awaitLatency(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commitCount++
	if t.consumeFault(FaultOutage) {
		return 0, outageError()
	}
	if err := pwtable.CheckWrites(writes); err != nil {
		return 0, err
	}
	if t.consumeFault(FaultLostRequest) {
		return 0, lostResponseError()
	}
	if t.consumeFault(FaultDelayedCommit) {
		t.delayCommit(writes)
		return 0, lostResponseError()
	}
	if err := t.applyAll(writes); err != nil {
		return 0, err
	}
	if t.consumeFault(FaultLostResponseThenOutage) {
		t.remainingFaults[FaultOutage] = Unlimited
		return 0, lostResponseError()
	}
	if t.consumeFault(FaultLostResponse) {
		return 0, lostResponseError()
	}
	return t.revision, nil
}

// applyAll applies all writes, or none if a row does not have its expected version.
// The caller holds t.mu.
func (t *Table) applyAll(writes []pwtable.Write) error {
	for _, w := range writes {
		if t.rows[w.Key].Version != w.ExpectedVersion {
			return pwverdict.New(pwverdict.NotRun, pwverdict.CauseConflict,
				"row %q has version %d, the write expects %d", w.Key, t.rows[w.Key].Version, w.ExpectedVersion)
		}
	}
	t.revision++
	for _, w := range writes {
		t.apply(w)
	}
	return nil
}

// apply applies one write. The caller holds t.mu.
func (t *Table) apply(w pwtable.Write) {
	if w.Delete {
		delete(t.rows, w.Key)
		return
	}
	t.rows[w.Key] = pwtable.Row{
		Key:     w.Key,
		Value:   append([]byte(nil), w.Value...),
		Version: t.revision,
	}
}

// awaitLatency delays a call by the latency that is set.
func (t *Table) awaitLatency(ctx context.Context) error {
	t.mu.Lock()
	d := t.latency
	t.mu.Unlock()
	if d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "table service call ended before it was sent")
	}
	return nil
}

// consumeFault reports whether the fault affects the current call, and counts the
// call. The caller holds t.mu.
func (t *Table) consumeFault(f Fault) bool {
	n := t.remainingFaults[f]
	if n > 0 {
		t.remainingFaults[f] = n - 1
	}
	return n != 0
}

func outageError() error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "table service is down")
}

func lostResponseError() error {
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "table service did not reply in time")
}

func cloneRow(r pwtable.Row) pwtable.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}
