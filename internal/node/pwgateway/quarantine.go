package pwgateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwculprit"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

const (
	// quarantineCallTimeout bounds one call to the store.
	quarantineCallTimeout = 1500 * time.Millisecond
	// minQuarantineRetry and maxQuarantineRetry bound the delay after a failed call.
	minQuarantineRetry = 200 * time.Millisecond
	maxQuarantineRetry = time.Second
	// maxStoreDelay is the longest delay before a quarantined part is stored. The process
	// with the shortest delay stores it, and the others of its cell hear that it did.
	maxStoreDelay = time.Second
	// maxStoredParts and maxStoredCrashes bound what is taken from the store.
	maxStoredParts   = 1000
	maxStoredCrashes = 64
)

// QuarantinedPart is the row of a part of prompts that crashes backend servers. It lets
// processes that start later refuse the part.
type QuarantinedPart struct {
	Crashes []QuarantinedCrash `json:"crashes"`
}

// QuarantinedCrash is a crash of a server under the part.
type QuarantinedCrash struct {
	Server uint64 `json:"server"`
	Depth  uint8  `json:"depth"`
	// AtMS is the time of the crash, in milliseconds of the store's clock.
	AtMS int64 `json:"at_ms"`
}

// QuarantineTable is the store's table with a row for each quarantined part. The key is
// the part's hash, as 16 hexadecimal digits.
type QuarantineTable interface {
	List(ctx context.Context) (pwcontrol.Snapshot[QuarantinedPart], error)
	Put(ctx context.Context, key string, p QuarantinedPart) error
	// Remove deletes a row if its version is still the given one.
	Remove(ctx context.Context, key string, version int64) error
}

// QuarantineKeeper restores quarantined parts from the store at the start of a process,
// and stores those that are quarantined later.
type QuarantineKeeper struct {
	table   QuarantineTable
	crashes *crashTracker
	obs     *pwobserve.Observer
	wake    chan struct{}
	// recheck is set if the store may have lost rows that count as stored.
	recheck atomic.Bool
	// clockOffset is what to add to the Unix time of this process to get the store's.
	clockOffset time.Duration
}

// NewQuarantineKeeper returns a keeper for the quarantine of a gateway. It must be called
// before the gateway serves.
func NewQuarantineKeeper(g *Gateway, table QuarantineTable) *QuarantineKeeper {
	k := &QuarantineKeeper{
		table:   table,
		crashes: g.crashes,
		obs:     g.obs,
		wake:    make(chan struct{}, 1),
	}
	g.crashes.onQuarantine = k.wakeRun
	return k
}

func (k *QuarantineKeeper) wakeRun() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Recheck makes the keeper read the table again and write the rows that it lacks, because
// the store has come back from an older copy. It does not block.
func (k *QuarantineKeeper) Recheck() {
	k.recheck.Store(true)
	k.wakeRun()
}

// Run restores and stores quarantined parts until ctx is done.
func (k *QuarantineKeeper) Run(ctx context.Context) {
	k.retry(ctx, "reading the quarantined parts failed", func(ctx context.Context) error {
		_, err := k.restore(ctx)
		return err
	})
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		sleepContext(ctx, time.Duration(rand.Float64()*float64(maxStoreDelay)))
		store := k.storeNew
		if k.recheck.Swap(false) {
			store = k.storeMissing
		}
		k.retry(ctx, "storing the quarantined parts failed", store)
	}
}

// retry calls f until it succeeds or ctx is done. It logs the first failure.
func (k *QuarantineKeeper) retry(ctx context.Context, failure string, f func(context.Context) error) {
	delay := minQuarantineRetry
	for logged := false; ctx.Err() == nil; delay = min(2*delay, maxQuarantineRetry) {
		callCtx, cancel := context.WithTimeout(ctx, quarantineCallTimeout)
		err := f(callCtx)
		cancel()
		if err == nil {
			return
		}
		if !logged && ctx.Err() == nil {
			k.obs.Warn(failure, err)
			logged = true
		}
		sleepContext(ctx, jitter(delay))
	}
}

// sleepContext waits for d or until ctx is done.
func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// restore merges the stored parts and removes the rows whose crashes have all expired. It
// returns the parts that the store has.
func (k *QuarantineKeeper) restore(ctx context.Context) (map[uint64]bool, error) {
	snap, err := k.table.List(ctx)
	if err != nil {
		return nil, err
	}
	stored := make(map[uint64]bool)
	k.clockOffset = time.Duration(snap.NowMS)*time.Millisecond - time.Duration(time.Now().UnixNano())
	restored := 0
	for _, it := range snap.Items[:min(len(snap.Items), maxStoredParts)] {
		part, err := strconv.ParseUint(it.Key, 16, 64)
		if err != nil || it.Err != nil {
			continue
		}
		if k.crashes.restore(part, it.Value, snap.NowMS) {
			restored++
			stored[part] = true
			continue
		}
		if err := k.table.Remove(ctx, it.Key, it.Version); err != nil {
			k.obs.Warn("removing an expired row of a quarantined part failed", err, "part_hash", it.Key)
		}
	}
	if restored > 0 {
		k.obs.LogEvent("quarantine_restored", log.Fields{
			"parts": restored,
		})
	}
	return stored, nil
}

// restore merges the crashes of a stored part. It returns false if all have expired.
func (c *crashTracker) restore(part uint64, stored QuarantinedPart, nowMS int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var records []pwculprit.Record
	for _, crash := range stored.Crashes[:min(len(stored.Crashes), maxStoredCrashes)] {
		age := time.Duration(nowMS-crash.AtMS) * time.Millisecond
		if age >= crashRetention {
			continue
		}
		records = append(records, pwculprit.Record{
			Crash: pwculprit.Crash{
				Part:   part,
				Server: crash.Server,
				Depth:  crash.Depth,
				At:     now.Add(-max(0, age)),
			},
		})
	}
	c.parts.Merge(now, records)
	if len(records) > 0 {
		c.stored[part] = true
	}
	return len(records) > 0
}

// storeNew writes the rows of the quarantined parts that are not known to be stored.
func (k *QuarantineKeeper) storeNew(ctx context.Context) error {
	return k.store(ctx, k.crashes.quarantinedParts(k.crashes.isStored))
}

// storeMissing writes the rows of the quarantined parts that the table lacks. What peers
// tell of stored parts does not count, because it may be older than the table.
func (k *QuarantineKeeper) storeMissing(ctx context.Context) error {
	stored, err := k.restore(ctx)
	if err != nil {
		return err
	}
	return k.store(ctx, k.crashes.quarantinedParts(func(part uint64) bool { return stored[part] }))
}

// store writes the rows of parts with these crashes.
func (k *QuarantineKeeper) store(ctx context.Context, parts map[uint64][]pwculprit.Crash) error {
	for part, crashes := range parts {
		var row QuarantinedPart
		for _, crash := range crashes {
			row.Crashes = append(row.Crashes, QuarantinedCrash{
				Server: crash.Server,
				Depth:  crash.Depth,
				AtMS:   time.Duration(crash.At.UnixNano() + int64(k.clockOffset)).Milliseconds(),
			})
		}
		if err := k.table.Put(ctx, formatHash(part), row); err != nil {
			return err
		}
		k.crashes.markStored(part)
	}
	return nil
}

// quarantinedParts returns the crashes of the quarantined parts, without those that skip
// reports true for, which is called with the tracker locked.
func (c *crashTracker) quarantinedParts(skip func(part uint64) bool) map[uint64][]pwculprit.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	out := make(map[uint64][]pwculprit.Crash)
	for _, part := range c.parts.QuarantinedParts(now) {
		if !skip(part) {
			out[part] = c.parts.Evidence(now, part)
		}
	}
	return out
}

// isStored reports whether the store is known to have a part. The caller holds c.mu.
func (c *crashTracker) isStored(part uint64) bool { return c.stored[part] }

func (c *crashTracker) markStored(part uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[part] = true
}
