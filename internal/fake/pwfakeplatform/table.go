// Package pwfakeplatform holds small in-memory stand-ins for the platform's
// services, with faults that a test can switch on.
//
// # Usage
//
//	table := pwfakeplatform.NewTable()
//	table.SetFault(pwfakeplatform.FaultLostReply, 1) // the next commit takes effect, its reply is lost
//	_, err := table.Commit(ctx, pwtable.Write{Key: "a", Value: []byte("1")})
//	// pwverdict.Of(err) == pwverdict.MayHaveRun
package pwfakeplatform

import (
	"context"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Fault is a failure that a stand-in can be told to show.
type Fault string

// Faults of the stand-ins.
const (
	// FaultOutage refuses every call before it takes effect.
	FaultOutage Fault = "outage"
	// FaultLostReply lets a commit take effect and then loses its reply.
	FaultLostReply Fault = "lost_reply"
	// FaultLostReplyThenOutage lets a commit take effect, loses its reply, and starts an
	// outage that lasts until it is set to 0.
	FaultLostReplyThenOutage Fault = "last_reply"
	// FaultLostRequest loses a commit before it takes effect, without saying so.
	FaultLostRequest Fault = "lost_request"
	// FaultDelayedCommit loses the reply of a commit and holds the commit back
	// until LandLate, or until the late delay is over. Its conditions are
	// checked only then.
	FaultDelayedCommit Fault = "late_write"
)

// maxLate bounds the commits that are held back; further ones are lost.
const maxLate = 1024

// Forever keeps a fault on until it is set to 0.
const Forever = -1

// Table is an in-memory transactional table.
type Table struct {
	mu       sync.Mutex
	rows     map[string]pwtable.Row
	revision uint64
	faults   map[Fault]int
	latency  time.Duration
	// late holds commits that have not taken effect yet, oldest first.
	late      [][]pwtable.Write
	lateDelay time.Duration
	reads     int64
	writes    int64
}

// NewTable returns an empty table without faults.
func NewTable() *Table {
	return &Table{
		rows:   map[string]pwtable.Row{},
		faults: map[Fault]int{},
	}
}

// SetFault makes the next n calls show the fault; Forever keeps it on and 0
// switches it off.
func (t *Table) SetFault(f Fault, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults[f] = n
}

// SetLatency delays every call.
func (t *Table) SetLatency(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latency = d
}

// SetCommitDelay makes commits held back by FaultLateWrite take effect after d.
// 0, the default, leaves them to LandLate.
func (t *Table) SetCommitDelay(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lateDelay = d
}

// ApplyDelayedCommits applies all commits held back by FaultLateWrite, oldest first, as
// far as their conditions hold, and returns how many took effect.
func (t *Table) ApplyDelayedCommits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for len(t.late) > 0 {
		if t.landOldest() {
			n++
		}
	}
	return n
}

// landOldest applies the commit that has been held back longest and reports
// whether it took effect. The caller holds t.mu.
func (t *Table) landOldest() bool {
	if len(t.late) == 0 {
		return false
	}
	writes := t.late[0]
	t.late = t.late[1:]
	return t.applyAll(writes) == nil
}

// holdBack keeps a commit for later. The caller holds t.mu.
func (t *Table) holdBack(writes []pwtable.Write) {
	if len(t.late) >= maxLate {
		return
	}
	t.late = append(t.late, slices.Clone(writes))
	if t.lateDelay > 0 {
		time.AfterFunc(t.lateDelay, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.landOldest()
		})
	}
}

// Counts returns how many reads and commits arrived so far.
func (t *Table) Counts() (reads, writes int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reads, t.writes
}

// Get returns one row.
func (t *Table) Get(ctx context.Context, key string) (pwtable.Row, error) {
	if err := t.wait(ctx); err != nil {
		return pwtable.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.takeFault(FaultOutage) {
		return pwtable.Row{}, outage()
	}
	row, ok := t.rows[key]
	if !ok {
		return pwtable.Row{}, pwverdict.New(pwverdict.Ran, pwverdict.CauseNotFound, "row %q does not exist", key)
	}
	return copyRow(row), nil
}

// List returns up to limit rows whose keys start with prefix and are greater
// than after, in the order of their keys.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error) {
	return t.read(ctx, limit, func(k string) bool { return strings.HasPrefix(k, prefix) && k > after })
}

// Range returns up to limit rows whose keys are at least from and less than
// target, in the order of their keys; an empty target is no bound.
func (t *Table) Range(ctx context.Context, from, target string, limit int) ([]pwtable.Row, error) {
	return t.read(ctx, limit, func(k string) bool { return k >= from && (target == "" || k < target) })
}

func (t *Table) read(ctx context.Context, limit int, wanted func(key string) bool) ([]pwtable.Row, error) {
	if err := t.wait(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reads++
	if t.takeFault(FaultOutage) {
		return nil, outage()
	}
	var keys []string
	for k := range t.rows {
		if wanted(k) {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	var rows []pwtable.Row
	for _, k := range keys[:min(limit, len(keys))] {
		rows = append(rows, copyRow(t.rows[k]))
	}
	return rows, nil
}

// Commit applies all writes or none and returns their common version.
func (t *Table) Commit(ctx context.Context, writes ...pwtable.Write) (uint64, error) {
	if err := t.wait(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.writes++
	if t.takeFault(FaultOutage) {
		return 0, outage()
	}
	if err := pwtable.CheckWrites(writes); err != nil {
		return 0, err
	}
	if t.takeFault(FaultLostRequest) {
		return 0, lostReply()
	}
	if t.takeFault(FaultDelayedCommit) {
		t.holdBack(writes)
		return 0, lostReply()
	}
	if err := t.applyAll(writes); err != nil {
		return 0, err
	}
	if t.takeFault(FaultLostReplyThenOutage) {
		t.faults[FaultOutage] = Forever
		return 0, lostReply()
	}
	if t.takeFault(FaultLostReply) {
		return 0, lostReply()
	}
	return t.revision, nil
}

// applyAll applies all writes or none. The caller holds t.mu.
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

func (t *Table) wait(ctx context.Context) error {
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

// takeFault consumes one use of a fault. The caller holds t.mu.
func (t *Table) takeFault(f Fault) bool {
	n := t.faults[f]
	if n > 0 {
		t.faults[f] = n - 1
	}
	return n != 0
}

func outage() error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "table service is down")
}

func lostReply() error {
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "table service did not reply in time")
}

func copyRow(r pwtable.Row) pwtable.Row {
	r.Value = append([]byte(nil), r.Value...)
	return r
}
