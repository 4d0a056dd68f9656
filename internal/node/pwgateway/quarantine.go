package pwgateway

import (
	"context"
	"math/rand/v2"
	"strconv"
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
	g.crashes.onQuarantine = func() {
		select {
		case k.wake <- struct{}{}:
		default:
		}
	}
	return k
}

// Run restores and stores quarantined parts until ctx is done.
func (k *QuarantineKeeper) Run(ctx context.Context) {
	k.retry(ctx, "reading the quarantined parts failed", k.restore)
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-k.wake:
		}
		sleepContext(ctx, time.Duration(rand.Float64()*float64(maxStoreDelay)))
		k.retry(ctx, "storing the quarantined parts failed", k.store)
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

// restore merges the stored parts and removes the rows whose crashes have all expired.
func (k *QuarantineKeeper) restore(ctx context.Context) error {
	snap, err := k.table.List(ctx)
	if err != nil {
		return err
	}
	k.clockOffset = time.Duration(snap.NowMS)*time.Millisecond - time.Duration(time.Now().UnixNano())
	restored := 0
	for _, it := range snap.Items[:min(len(snap.Items), maxStoredParts)] {
		part, err := strconv.ParseUint(it.Key, 16, 64)
		if err != nil || it.Err != nil {
			continue
		}
		if k.crashes.restore(part, it.Value, snap.NowMS) {
			restored++
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
	return nil
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

// store writes the rows of the quarantined parts that are not known to be stored.
func (k *QuarantineKeeper) store(ctx context.Context) error {
	for part, crashes := range k.crashes.takeUnstored() {
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

// takeUnstored returns the crashes of the quarantined parts that the store doesn't have.
func (c *crashTracker) takeUnstored() map[uint64][]pwculprit.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	out := make(map[uint64][]pwculprit.Crash)
	for _, part := range c.parts.QuarantinedParts(now) {
		if !c.stored[part] {
			out[part] = c.parts.Evidence(now, part)
		}
	}
	return out
}

func (c *crashTracker) markStored(part uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored[part] = true
}
