// Package pwcontrol follows the tables of the platform's store: what operators
// have written, the backend servers that are listed, and the processes of the
// system itself. It hides outages, lost history and answers from behind: what
// it hands on never goes back to an older version of a row.
//
// # Usage
//
//	f := pwcontrol.NewFollower(source, pwcontrol.Config{}, obs, apply)
//	go f.Run(ctx)
//	f.LastContact() // when the store last answered
package pwcontrol

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// ErrCompacted says that the store has dropped the history that was asked for.
var ErrCompacted = errors.New("the store has dropped this history")

// Item is one row.
type Item[T any] struct {
	Key     string
	Version int64
	Removed bool
	Value   T
	// Err is set when the row could not be decoded.
	Err error
}

// Snapshot is an answer of the store.
type Snapshot[T any] struct {
	// Version is the newest version in the store at the time of the answer.
	Version int64
	NowMS   int64
	Items   []Item[T]
}

// Source reads one table.
type Source[T any] interface {
	List(ctx context.Context) (Snapshot[T], error)
	// Watch returns the changes after a version as soon as there are some, or
	// nothing after the wait. It fails with ErrCompacted.
	Watch(ctx context.Context, after int64, wait time.Duration) (Snapshot[T], error)
}

// OperatorRow is one row that operators write. At most one field is set.
type OperatorRow struct {
	Catalog             *pwcatalog.Catalog
	EvacuatedDataCentre string
}

// Defaults of a Config.
const (
	// DefaultWait is how long the store holds a watch. With the margin it bounds
	// the time until a silent store or connection is noticed, which must be less
	// than the platform's shortest stable window, 3 s.
	DefaultWait       = 2200 * time.Millisecond
	DefaultWaitMargin = 500 * time.Millisecond
	// DefaultListTimeout bounds a listing; large tables take several calls.
	DefaultListTimeout = 1500 * time.Millisecond
	// DefaultPace is the pause after a change, in which others gather; each
	// answer of the store has its price.
	DefaultPace       = 200 * time.Millisecond
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = 800 * time.Millisecond
	// DefaultReturnWindow is the time after an outage of the store in which
	// entries that lapsed meanwhile come back.
	DefaultReturnWindow = 2 * time.Second
)

// Config configures a Follower. Zero fields take their defaults.
type Config struct {
	Name         string
	Wait         time.Duration
	Margin       time.Duration
	ListTimeout  time.Duration
	BatchDelay   time.Duration
	MinBackoff   time.Duration
	MaxBackoff   time.Duration
	ReturnWindow time.Duration
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.Wait, DefaultWait)
	pwdefault.SetUnlessPositive(&cfg.Margin, DefaultWaitMargin)
	pwdefault.SetUnlessPositive(&cfg.ListTimeout, DefaultListTimeout)
	pwdefault.SetUnlessPositive(&cfg.BatchDelay, DefaultPace)
	pwdefault.SetUnlessPositive(&cfg.MinBackoff, DefaultMinBackoff)
	pwdefault.SetUnlessPositive(&cfg.MaxBackoff, DefaultMaxBackoff)
	pwdefault.SetUnlessPositive(&cfg.ReturnWindow, DefaultReturnWindow)
	return cfg
}

// probeTimeouts bound the calls to a store that has been lost, in turn: a call
// that a silent store took is never answered, and a slow store needs some time.
var probeTimeouts = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// Apply receives changed rows in order. Rows that were removed while the store
// was away may be entries that expired: a living owner writes them again until
// backBy. It is zero when the store was not away.
type Apply[T any] func(items []Item[T], backBy time.Time)

// Follower keeps a copy of the versions of one table and hands changes on.
type Follower[T any] struct {
	cfg    Config
	source Source[T]
	obs    *pwobserve.Observer
	apply  Apply[T]

	known map[string]int64
	// live holds the keys that are not removed.
	live    map[string]bool
	version int64
	listed  bool

	away bool
	// probes counts the calls since the store was lost.
	probes int
	// backBy is set while the first answer after an outage is handed on.
	backBy time.Time
	// lastContact is the time since start, so that a step of the clock has no effect.
	start       time.Time
	lastContact atomic.Int64
}

// NewFollower returns a follower of a source.
func NewFollower[T any](source Source[T], cfg Config, obs *pwobserve.Observer, apply Apply[T]) *Follower[T] {
	return &Follower[T]{
		cfg:    cfg.withDefaults(),
		source: source,
		obs:    obs,
		apply:  apply,
		start:  time.Now(),
		known:  make(map[string]int64),
		live:   make(map[string]bool),
	}
}

// LastContact returns when the store last answered, or the zero time.
func (f *Follower[T]) LastContact() time.Time {
	ns := f.lastContact.Load()
	if ns == 0 {
		return time.Time{}
	}
	return f.start.Add(time.Duration(ns))
}

// Run follows the table until ctx ends.
func (f *Follower[T]) Run(ctx context.Context) {
	backoff := f.cfg.MinBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx)
		switch {
		case err == nil:
			backoff = f.cfg.MinBackoff
			continue
		case errors.Is(err, ErrCompacted):
			f.obs.Info("store history lost", "table", f.cfg.Name)
			f.listed = false
			pause(ctx, f.cfg.MinBackoff)
			continue
		case ctx.Err() != nil:
			return
		}
		if !f.away {
			f.away = true
			f.obs.Warn("store lost", err, "table", f.cfg.Name)
		}
		if time.Since(began) >= probeTimeouts[0] {
			// The time-out of a silent store was pause enough.
			backoff = f.cfg.MinBackoff
		}
		pause(ctx, time.Duration(rand.Float64()*float64(backoff))+backoff/2)
		backoff = min(2*backoff, f.cfg.MaxBackoff)
	}
}

// step makes one call.
func (f *Follower[T]) step(ctx context.Context) error {
	if !f.listed {
		return f.list(ctx)
	}
	wait, timeout := f.cfg.Wait, f.cfg.Wait+f.cfg.Margin
	if f.away {
		wait, timeout = 0, probeTimeouts[f.probes%len(probeTimeouts)]
		f.probes++
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	snap, err := f.source.Watch(ctx, f.version, wait)
	if err != nil {
		return err
	}
	f.contact()
	f.take(snap.Items)
	f.version = max(f.version, snap.Version)
	if len(snap.Items) > 0 {
		pause(ctx, f.cfg.BatchDelay)
	}
	return nil
}

// pause waits unless ctx ends first.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errBehind says that a listing is older than what is known already.
var errBehind = errors.New("the store answered from behind")

func (f *Follower[T]) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.cfg.ListTimeout)
	defer cancel()
	snap, err := f.source.List(ctx)
	if err != nil {
		return err
	}
	if snap.Version < f.version {
		return errBehind
	}
	f.contact()
	present := make(map[string]bool, len(snap.Items))
	for i := range snap.Items {
		present[snap.Items[i].Key] = true
	}
	items := snap.Items
	for key := range f.live {
		if !present[key] && f.known[key] <= snap.Version {
			items = append(items, Item[T]{
				Key:     key,
				Version: snap.Version,
				Removed: true,
			})
		}
	}
	f.take(items)
	f.version = snap.Version
	f.listed = true
	return nil
}

// contact notes an answer of the store.
func (f *Follower[T]) contact() {
	now := time.Now()
	f.lastContact.Store(max(1, int64(now.Sub(f.start))))
	if f.away {
		f.away, f.probes = false, 0
		f.backBy = now.Add(f.cfg.ReturnWindow)
		f.obs.Info("store is back", "table", f.cfg.Name)
	}
}

// take hands on the items that are newer than what is known.
func (f *Follower[T]) take(items []Item[T]) {
	fresh := items[:0:0]
	for _, it := range items {
		if it.Version < f.known[it.Key] || it.Version == f.known[it.Key] && f.live[it.Key] != it.Removed {
			continue
		}
		f.known[it.Key] = it.Version
		if it.Removed {
			delete(f.live, it.Key)
		} else {
			f.live[it.Key] = true
		}
		if it.Err != nil {
			f.obs.Warn("row is not usable", it.Err, "table", f.cfg.Name, "key", it.Key)
		}
		fresh = append(fresh, it)
	}
	if len(fresh) > 0 {
		f.apply(fresh, f.backBy)
	}
	f.backBy = time.Time{}
}
