package pwpeering

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// Intervals of a Directory. Calls to the store have their price.
const (
	// readInterval is how often the list of processes is read; between readings
	// processes learn of each other from messages.
	readInterval = 30 * time.Second
	// renewInterval is how often a process writes its row anew.
	renewInterval = 5 * time.Minute
	// rowRetention is the age by the store's clock at which a row is removed.
	rowRetention = 30 * time.Minute
	// minRetry and maxRetry bound the pause after a call that failed; it doubles.
	minRetry    = 300 * time.Millisecond
	maxRetry    = time.Second
	callTimeout = 2 * time.Second
)

// firstReadings are the pauses after the first readings of the list.
var firstReadings = []time.Duration{500 * time.Millisecond, 2 * time.Second, 8 * time.Second}

// Table holds a row for each process.
type Table interface {
	List(ctx context.Context) (pwcontrol.Snapshot[pwinstance.Instance], error)
	Put(ctx context.Context, key string, i pwinstance.Instance) error
	// Remove drops a row if it still has the version.
	Remove(ctx context.Context, key string, version int64) error
}

// Directory makes a process known and finds the others in the store.
type Directory struct {
	table Table
	self  pwinstance.Instance
	know  func(pwinstance.Instance)
	obs   *pwobserve.Observer
	// writtenAt is when the own row was written; zero if it was not.
	writtenAt time.Time
	// away is set while the list can't be read.
	away bool
}

// NewDirectory returns the directory entry of a process. know is called for
// each process that is listed; it may be nil.
func NewDirectory(table Table, self pwinstance.Instance, know func(pwinstance.Instance), obs *pwobserve.Observer) *Directory {
	return &Directory{
		table: table,
		self:  self,
		know:  know,
		obs:   obs,
	}
}

// Run keeps the row and the list until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	// Processes that start together write their rows after the first reading.
	early := firstReadings
	retry := minRetry
	for ctx.Err() == nil {
		pause := readInterval
		if len(early) > 0 {
			pause, early = early[0], early[1:]
		}
		switch err := d.step(ctx); {
		case ctx.Err() != nil:
			return
		case err == nil && d.away:
			d.away, retry = false, minRetry
			d.obs.Info("list of processes is back")
		case err != nil:
			if !d.away {
				d.away = true
				d.obs.Warn("list of processes lost", err)
			}
			pause = retry
			retry = min(2*retry, maxRetry)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step reads the list, writes the own row if it is due, and removes old rows.
func (d *Directory) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	snap, err := d.table.List(ctx)
	if err != nil {
		return err
	}
	for _, it := range snap.Items {
		if it.Err != nil {
			continue
		}
		if d.know != nil {
			d.know(it.Value)
		}
		if expired(snap.NowMS, it.Value) && it.Key != string(d.self.ID) {
			if err := d.table.Remove(ctx, it.Key, it.Version); err != nil {
				d.obs.Warn("removing the row of a process", err, "instance_removed", it.Key)
			}
		}
	}
	if !d.writtenAt.IsZero() && time.Since(d.writtenAt) < renewInterval {
		return nil
	}
	d.self.SeenMS = snap.NowMS
	if err := d.table.Put(ctx, string(d.self.ID), d.self); err != nil {
		return err
	}
	d.writtenAt = time.Now()
	return nil
}

// expired reports whether a process has not written its row within its retention.
func expired(nowMS int64, i pwinstance.Instance) bool {
	return nowMS-i.SeenMS > rowRetention.Milliseconds()
}

// Instances returns the processes that are listed and have written their row
// within its retention.
func (d *Directory) Instances(ctx context.Context) ([]pwinstance.Instance, error) {
	snap, err := d.table.List(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]pwinstance.Instance, 0, len(snap.Items))
	for _, it := range snap.Items {
		if it.Err == nil && !expired(snap.NowMS, it.Value) {
			out = append(out, it.Value)
		}
	}
	return out, nil
}

// Deregister removes the row of a process that ends.
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
