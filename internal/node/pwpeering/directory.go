package pwpeering

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Intervals of a Directory. They are long because each call to the store has a cost.
const (
	// readInterval is how often the list of processes is read. Between readings,
	// a message of a process that isn't listed triggers a reading.
	readInterval = 30 * time.Second
	// renewInterval is how often a process rewrites its own row.
	renewInterval = 5 * time.Minute
	// rowRetention is the age, by the store's clock, above which a row is removed.
	rowRetention = 30 * time.Minute
	// minRetryDelay and maxRetryDelay bound the exponential backoff after failed calls.
	minRetryDelay  = 300 * time.Millisecond
	maxRetryDelay  = time.Second
	refreshTimeout = 2 * time.Second
	// restoreGrace is how long after the store has come back from an older copy processes
	// are kept that the copy lacks. They register again within it.
	restoreGrace = 10 * time.Second
	// minRefreshInterval limits the readings that Refresh triggers.
	minRefreshInterval = 2 * time.Second
)

// initialReadDelays are the delays after the first readings of the list. They are
// short because processes that start together register only after their first reading.
var initialReadDelays = []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second}

// Table is the store's table with one row for each process.
type Table interface {
	List(ctx context.Context) (pwcontrol.Snapshot[pwinstance.Instance], error)
	Put(ctx context.Context, key string, i pwinstance.Instance) error
	// Remove deletes a row if its version is still the given one.
	Remove(ctx context.Context, key string, version int64) error
}

// Directory registers this process in the store and discovers the other processes.
type Directory struct {
	table  Table
	self   pwinstance.Instance
	onList func([]pwinstance.Instance)
	obs    *pwobserve.Observer
	// refreshNow triggers a reading of the list.
	refreshNow chan struct{}
	// registeredAt is when the row of this process was last written; zero before the
	// first write.
	registeredAt time.Time
	// inOutage is set while calls to the store fail.
	inOutage bool
	// era is the latest era that the store has stated.
	era pwcontrol.Era
	// listed holds the processes of the last list. Until keepUntil they are kept although
	// the store doesn't list them.
	listed    map[pwrequest.InstanceID]pwinstance.Instance
	keepUntil time.Time
	// shortDelays are the delays before the next readings.
	shortDelays []time.Duration
}

// NewDirectory returns a directory that registers self. onList is called with the
// processes whose rows have not expired at every reading; it may be nil.
func NewDirectory(table Table, self pwinstance.Instance, onList func([]pwinstance.Instance), obs *pwobserve.Observer) *Directory {
	return &Directory{
		table:      table,
		self:       self,
		onList:     onList,
		obs:        obs,
		refreshNow: make(chan struct{}, 1),
		listed:     make(map[pwrequest.InstanceID]pwinstance.Instance),
		// Processes that start together write their rows after the first reading.
		shortDelays: initialReadDelays,
	}
}

// Refresh triggers a reading of the list, at most one within minRefreshInterval. It does
// not block.
func (d *Directory) Refresh() {
	select {
	case d.refreshNow <- struct{}{}:
	default:
	}
}

// Run renews the row of this process and reads the list of processes until ctx is
// cancelled.
func (d *Directory) Run(ctx context.Context) {
	retryDelay := minRetryDelay
	for ctx.Err() == nil {
		err := d.refresh(ctx)
		delay := readInterval
		if len(d.shortDelays) > 0 {
			delay, d.shortDelays = d.shortDelays[0], d.shortDelays[1:]
		}
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && d.inOutage:
			d.inOutage, retryDelay = false, minRetryDelay
			d.obs.Info("list of processes available again")
		case err != nil:
			if !d.inOutage {
				d.inOutage = true
				d.obs.Warn("reading or updating the list of processes failed", err)
			}
			delay = retryDelay
			retryDelay = min(2*retryDelay, maxRetryDelay)
		}
		d.sleep(ctx, delay)
	}
}

// sleep waits for d, or until ctx is cancelled, or until Refresh was called and
// minRefreshInterval has passed.
func (d *Directory) sleep(ctx context.Context, delay time.Duration) {
	next := time.After(delay)
	select {
	case <-ctx.Done():
		return
	case <-next:
		return
	case <-time.After(min(delay, minRefreshInterval)):
	}
	select {
	case <-ctx.Done():
	case <-next:
	case <-d.refreshNow:
	}
}

// refresh reads the list, removes expired rows of other processes, and writes the own
// row if its renewal is due.
func (d *Directory) refresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	snap, err := d.table.List(ctx)
	if err != nil {
		return err
	}
	if err := d.checkEra(snap.Era); err != nil {
		return err
	}
	current := make([]pwinstance.Instance, 0, len(snap.Items))
	registered := false
	for _, it := range snap.Items {
		if it.Err != nil {
			continue
		}
		registered = registered || it.Key == string(d.self.ID)
		if !isExpired(snap.NowMS, it.Value) {
			current = append(current, it.Value)
			continue
		}
		if it.Key == string(d.self.ID) {
			continue
		}
		if err := d.table.Remove(ctx, it.Key, it.Version); err != nil {
			d.obs.Warn("removing the expired row of a process failed", err, "instance_removed", it.Key)
		}
	}
	current = d.keepLost(current)
	if d.onList != nil {
		d.onList(current)
	}
	// Another process may have removed the row, if the store's clock has jumped.
	if registered && !d.registeredAt.IsZero() && time.Since(d.registeredAt) < renewInterval {
		return nil
	}
	d.self.LastSeenMS = snap.NowMS
	if err := d.table.Put(ctx, string(d.self.ID), d.self); err != nil {
		return err
	}
	d.registeredAt = time.Now()
	return nil
}

// checkEra makes this process register again if the store has come back from an older
// copy. It returns an error for a response from before that.
func (d *Directory) checkEra(era pwcontrol.Era) error {
	known := d.era
	restored, err := d.era.Advance(era)
	if restored {
		d.obs.Info("list of processes restored", "era", era.String(), "known_era", known.String())
		d.registeredAt = time.Time{}
		d.keepUntil = time.Now().Add(restoreGrace)
		d.shortDelays = initialReadDelays
	}
	return err
}

// keepLost adds the processes that a restored store lacks to the listed ones, until they
// have had the time to register again. Of two rows of a process it keeps the newer one.
func (d *Directory) keepLost(current []pwinstance.Instance) []pwinstance.Instance {
	lost := d.listed
	d.listed = make(map[pwrequest.InstanceID]pwinstance.Instance, len(current))
	keep := time.Now().Before(d.keepUntil)
	for n, i := range current {
		if known, ok := lost[i.ID]; keep && ok && known.LastSeenMS > i.LastSeenMS {
			current[n] = known
		}
		delete(lost, i.ID)
		d.listed[i.ID] = current[n]
	}
	if keep {
		for id, i := range lost {
			current = append(current, i)
			d.listed[id] = i
		}
	}
	return current
}

// isExpired reports whether the row of a process is older than rowRetention.
func isExpired(nowMS int64, i pwinstance.Instance) bool {
	return nowMS-i.LastSeenMS > rowRetention.Milliseconds()
}

// Instances returns the listed processes whose rows have not expired.
func (d *Directory) Instances(ctx context.Context) ([]pwinstance.Instance, error) {
	snap, err := d.table.List(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]pwinstance.Instance, 0, len(snap.Items))
	for _, it := range snap.Items {
		if it.Err == nil && !isExpired(snap.NowMS, it.Value) {
			out = append(out, it.Value)
		}
	}
	return out, nil
}

// Deregister removes the row of this process. A row with another address is left in place:
// it was written by another process with the same ID.
func (d *Directory) Deregister(ctx context.Context) error {
	snap, err := d.table.List(ctx)
	if err != nil {
		return err
	}
	for _, it := range snap.Items {
		if it.Key == string(d.self.ID) && it.Err == nil && it.Value.Address == d.self.Address {
			return d.table.Remove(ctx, it.Key, it.Version)
		}
	}
	return nil
}
