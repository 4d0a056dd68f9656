// Package pwcontrol follows tables of the platform's store, such as the rows that
// operators write and the list of backend servers. A Follower tolerates outages,
// compacted history and stale responses of the store: within an era of the store it
// never passes on a version of a row that is older than one it has already passed on.
//
// When the store comes back from an older copy, which begins a new era, the follower
// lists the table anew and passes on all rows. Their writers write lost changes again,
// so a known row that the copy lacks is passed on as removed only if it is still missing
// after Config.OutageGrace.
//
// # Usage
//
//	f := pwcontrol.NewFollower(source, pwcontrol.Config{}, obs, apply)
//	go f.Run(ctx)
//	f.LastContact() // when the store last responded
package pwcontrol

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// ErrCompacted is returned by Source.Watch if the store no longer holds the changes
// after the requested version. The table must then be listed again.
var ErrCompacted = errors.New("the store has compacted the history after the requested version")

// Item is one row of a table, or its removal.
type Item[T any] struct {
	Key     string
	Version int64
	Removed bool
	// Restored is set for a row of the first listing after the store has come back from
	// an older copy. The row may be older than what was passed on before.
	Restored bool
	Value    T
	// Err is set when the row could not be decoded.
	Err error
}

// Era numbers the histories of a store. When the store comes back from an older copy, it
// loses the changes since that copy, gives out their versions again and begins a new era.
// The zero value stands for a store that states no era.
type Era struct {
	number int64
	stated bool
}

// NewEra returns the era with a number that the store has stated.
func NewEra(number int64) Era {
	return Era{
		number: number,
		stated: true,
	}
}

// After reports whether e is a later era than other. It is false if either is not known.
func (e Era) After(other Era) bool {
	return e.stated && other.stated && e.number > other.number
}

// ErrEarlierEra is the error for a response of an era before that of an earlier response.
var ErrEarlierEra = errors.New("the store responded from an earlier era")

// Advance sets e, the latest known era, to that of a response. It reports whether the
// response shows that the store has come back from an older copy, and returns
// ErrEarlierEra for a response from before the last such return.
func (e *Era) Advance(response Era) (restored bool, err error) {
	if e.After(response) {
		return false, ErrEarlierEra
	}
	restored = response.After(*e)
	if response.stated {
		*e = response
	}
	return restored, nil
}

func (e Era) String() string {
	if !e.stated {
		return "unknown"
	}
	return strconv.FormatInt(e.number, 10)
}

// Snapshot is the result of a List or Watch call.
type Snapshot[T any] struct {
	// Era is the era of the store in which it responded. Versions of different eras
	// cannot be compared.
	Era Era
	// Version is the newest version in the store at the time of the response.
	Version int64
	// NowMS is the store's clock at the time of the response, in milliseconds.
	NowMS int64
	Items []Item[T]
	// Superseded counts the rows that were left out because a newer version of the same
	// row is in Items.
	Superseded int
	// Unnamed counts the rows that were left out because not even their key can be read.
	Unnamed int
}

// Source reads one table of the store.
type Source[T any] interface {
	List(ctx context.Context) (Snapshot[T], error)
	// Watch is a long poll: it returns the changes after a version as soon as there
	// are any, or no items once wait has passed. It returns ErrCompacted if the store
	// no longer holds these changes.
	Watch(ctx context.Context, after int64, wait time.Duration) (Snapshot[T], error)
}

// OperatorRow is one row that operators write: a configuration or the evacuation of
// a data centre. At most one field is set.
type OperatorRow struct {
	Catalog             *pwcatalog.Catalog
	EvacuatedDataCentre string
}

// Defaults of a Config.
const (
	// DefaultWait is how long the store holds a watch call open. DefaultWait plus
	// DefaultWaitMargin bounds the time until an unresponsive store or connection is
	// detected, which must be less than the platform's shortest stable window, 3 s.
	DefaultWait       = 2200 * time.Millisecond
	DefaultWaitMargin = 500 * time.Millisecond
	// DefaultListTimeout bounds a listing. Listing a large table takes several calls.
	DefaultListTimeout = 1500 * time.Millisecond
	// DefaultBatchDelay is the pause after a change, so that the next watch call
	// returns later changes together: each response of the store has a cost.
	DefaultBatchDelay = 200 * time.Millisecond
	DefaultMinBackoff = 50 * time.Millisecond
	DefaultMaxBackoff = 800 * time.Millisecond
	// DefaultOutageGrace is how long after an outage of the store the owners of rows
	// that expired or were lost during the outage have to write them again.
	DefaultOutageGrace = 2 * time.Second
	// DefaultStallTimeout is how long a response that has begun may stand still. It covers
	// one lost packet on a link between data centres.
	DefaultStallTimeout = 1500 * time.Millisecond
	// DefaultTransferTimeout bounds a response that arrives slowly.
	DefaultTransferTimeout = 8 * time.Second
)

// maxLoggedRows bounds the rows that a log line names.
const maxLoggedRows = 10

// Config configures a Follower. Zero fields take their defaults.
type Config struct {
	// Name is the table's name in log lines.
	Name        string
	Wait        time.Duration
	WaitMargin  time.Duration
	ListTimeout time.Duration
	BatchDelay  time.Duration
	MinBackoff  time.Duration
	MaxBackoff  time.Duration
	OutageGrace time.Duration
	// StallTimeout and TransferTimeout bound responses for which the source reports
	// progress; see ReportProgress.
	StallTimeout    time.Duration
	TransferTimeout time.Duration
	// NewestOnly is set for a table of few large rows of which only the newest versions
	// count. A watch returns each version in full, so the table is listed instead after an
	// outage, and while versions follow one another within BatchDelay.
	NewestOnly bool
	// OnRestore is called when the store has come back from an older copy, which may lack
	// what this process wrote. It must not block; nil stands for no call.
	OnRestore func()
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.Wait, DefaultWait)
	pwdefault.SetUnlessPositive(&cfg.WaitMargin, DefaultWaitMargin)
	pwdefault.SetUnlessPositive(&cfg.ListTimeout, DefaultListTimeout)
	pwdefault.SetUnlessPositive(&cfg.BatchDelay, DefaultBatchDelay)
	pwdefault.SetUnlessPositive(&cfg.MinBackoff, DefaultMinBackoff)
	pwdefault.SetUnlessPositive(&cfg.MaxBackoff, DefaultMaxBackoff)
	pwdefault.SetUnlessPositive(&cfg.OutageGrace, DefaultOutageGrace)
	pwdefault.SetUnlessPositive(&cfg.StallTimeout, DefaultStallTimeout)
	pwdefault.SetUnlessPositive(&cfg.TransferTimeout, DefaultTransferTimeout)
	return cfg
}

// probeTimeouts are the timeouts of successive calls during an outage, used in
// rotation. The short ones are for an unresponsive store, which never responds to a
// call that it accepted; the long one is for a slow store.
var probeTimeouts = []time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond}

// ApplyFunc receives changed rows in order. graceUntil is zero except for the first
// changes after an outage of the store. A row that was removed during the outage may
// have expired only because its owner could not renew it; a live owner writes it
// again before graceUntil.
type ApplyFunc[T any] func(items []Item[T], graceUntil time.Time)

// Follower tracks the versions of the rows of one table and passes on changes.
type Follower[T any] struct {
	cfg    Config
	source Source[T]
	obs    *pwobserve.Observer
	apply  ApplyFunc[T]

	// versions holds the last version of each row, also of removed ones.
	versions map[string]int64
	// liveKeys holds the keys of the rows that exist.
	liveKeys map[string]bool
	// version is the version after which the next watch call asks for changes.
	version int64
	// hasListing is cleared when the table must be listed again.
	hasListing bool
	// era is the latest era that the store has stated.
	era Era
	// awaitsRestored is set from the beginning of an era until the table has been listed.
	awaitsRestored bool
	// unconfirmed holds the keys of the rows that the listing of a restored store lacked,
	// with the times from which they count as removed.
	unconfirmed map[string]time.Time
	// loggedStale is set while listings are rejected as stale.
	loggedStale bool
	// watchNext is set after a stale listing in place of a watch.
	watchNext bool

	inOutage bool
	// crowded is set while versions follow one another within the batch delay.
	crowded bool
	// probeCount counts the calls during an outage.
	probeCount int
	// graceUntil is set while the first response after an outage is processed.
	graceUntil time.Time
	// lastContact is the monotonic time since startTime in nanoseconds, so that a
	// clock adjustment has no effect. It is 0 before the first response.
	startTime   time.Time
	lastContact atomic.Int64
	// wait and batchDelay are the values of cfg, or those that SetDelays has set.
	wait, batchDelay atomic.Int64
}

// NewFollower returns a follower that reads source and passes changes to apply.
func NewFollower[T any](source Source[T], cfg Config, obs *pwobserve.Observer, apply ApplyFunc[T]) *Follower[T] {
	f := &Follower[T]{
		cfg:         cfg.withDefaults(),
		source:      source,
		obs:         obs,
		apply:       apply,
		startTime:   time.Now(),
		versions:    make(map[string]int64),
		liveKeys:    make(map[string]bool),
		unconfirmed: make(map[string]time.Time),
	}
	f.SetDelays(f.cfg.Wait, f.cfg.BatchDelay)
	return f
}

// SetDelays replaces the Wait and the BatchDelay of the Config. Zero values stand for their
// defaults.
func (f *Follower[T]) SetDelays(wait, batchDelay time.Duration) {
	pwdefault.SetUnlessPositive(&wait, DefaultWait)
	pwdefault.SetUnlessPositive(&batchDelay, DefaultBatchDelay)
	f.wait.Store(int64(wait))
	f.batchDelay.Store(int64(batchDelay))
}

// LastContact returns when the store last responded, or the zero time if it has not
// responded yet.
func (f *Follower[T]) LastContact() time.Time {
	ns := f.lastContact.Load()
	if ns == 0 {
		return time.Time{}
	}
	return f.startTime.Add(time.Duration(ns))
}

// Run follows the table until ctx is cancelled.
func (f *Follower[T]) Run(ctx context.Context) {
	backoff := f.cfg.MinBackoff
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := f.poll(ctx)
		switch {
		case err == nil:
			backoff = f.cfg.MinBackoff
			continue
		case errors.Is(err, ErrCompacted):
			f.obs.Info("store history lost", "table", f.cfg.Name)
			f.hasListing = false
			sleep(ctx, f.cfg.MinBackoff)
			continue
		case ctx.Err() != nil:
			return
		case f.hasListing && errors.Is(err, errStaleListing):
			// The store responds, and a watch follows.
			continue
		}
		if !f.inOutage {
			f.inOutage = true
			f.obs.Warn("store lost", err, "table", f.cfg.Name)
		}
		if time.Since(startedAt) >= probeTimeouts[0] {
			// The call took as long as a timeout, so the retry need not be delayed
			// further by an increased backoff.
			backoff = f.cfg.MinBackoff
		}
		sleep(ctx, time.Duration(rand.Float64()*float64(backoff))+backoff/2)
		backoff = min(2*backoff, f.cfg.MaxBackoff)
	}
}

// poll lists the table if that is due, or else watches it for changes once. During
// an outage the watch returns immediately, to probe whether the store responds.
func (f *Follower[T]) poll(ctx context.Context) error {
	if !f.hasListing || f.cfg.NewestOnly && (f.inOutage || f.crowded) && !f.watchNext {
		return f.list(ctx)
	}
	f.watchNext = false
	wait := time.Duration(f.wait.Load())
	for _, until := range f.unconfirmed {
		wait = max(0, min(wait, time.Until(until)))
	}
	timeout := wait + f.cfg.WaitMargin
	if f.inOutage {
		wait, timeout = 0, f.nextProbeTimeout()
	}
	callCtx, timer := f.withCallTimeout(ctx, timeout)
	defer timer.stop()
	snap, err := f.source.Watch(callCtx, f.version, wait)
	if err != nil {
		return err
	}
	restored, err := f.checkEra(snap.Era)
	if err != nil {
		return err
	}
	f.recordContact()
	if restored {
		return nil
	}
	f.applyNewer(snap.Items)
	f.version = max(f.version, snap.Version)
	f.removeUnconfirmed()
	timer.observeTurns(f.cfg.Name)
	if f.crowded = snap.Superseded > 0; f.crowded {
		f.obs.Count("store_versions_skipped", int64(snap.Superseded))
	}
	if len(snap.Items) > 0 {
		sleep(ctx, time.Duration(f.batchDelay.Load()))
	}
	return nil
}

// nextProbeTimeout returns the timeout of the next call during an outage.
func (f *Follower[T]) nextProbeTimeout() time.Duration {
	timeout := probeTimeouts[f.probeCount%len(probeTimeouts)]
	f.probeCount++
	return timeout
}

// sleep waits for d or until ctx is cancelled.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// errStaleListing is returned for a listing that is older than an earlier response.
var errStaleListing = errors.New("the store returned a listing older than an earlier response")

// list reads the whole table. Rows that are no longer listed count as removed.
func (f *Follower[T]) list(ctx context.Context) error {
	timeout := f.cfg.ListTimeout
	if f.inOutage && f.hasListing {
		timeout = f.nextProbeTimeout()
	}
	callCtx, timer := f.withCallTimeout(ctx, timeout)
	defer timer.stop()
	snap, err := f.source.List(callCtx)
	if err != nil {
		return err
	}
	if _, err := f.checkEra(snap.Era); err != nil {
		return err
	}
	if snap.Version < f.version {
		f.obs.Count("store_listings_stale", 1)
		if !f.loggedStale {
			f.loggedStale = true
			f.obs.Info("stale listing rejected", "table", f.cfg.Name, "era", snap.Era.String(),
				"version", strconv.FormatInt(snap.Version, 10), "known_version", strconv.FormatInt(f.version, 10))
		}
		f.watchNext = true
		return errStaleListing
	}
	f.loggedStale = false
	f.recordContact()
	present := make(map[string]bool, len(snap.Items))
	items := snap.Items[:0:0]
	unreadable := snap.Unnamed > 0
	for _, it := range snap.Items {
		present[it.Key] = true
		it.Restored = f.awaitsRestored
		if version, ok := f.versions[it.Key]; !ok || it.Version != version || !f.liveKeys[it.Key] {
			items = append(items, it)
			unreadable = unreadable || it.Err != nil
		}
	}
	if f.hasListing && unreadable {
		// The listing stands for a watch, which also returns the versions before one that
		// cannot be read, and states what is removed.
		f.crowded = false
		return nil
	}
	for key := range f.liveKeys {
		switch _, isUnconfirmed := f.unconfirmed[key]; {
		case present[key] || f.versions[key] > snap.Version:
		case f.awaitsRestored:
			f.unconfirmed[key] = time.Now().Add(f.cfg.OutageGrace)
		case !isUnconfirmed:
			items = append(items, Item[T]{
				Key:     key,
				Version: snap.Version,
				Removed: true,
			})
		}
	}
	f.applyNewer(items)
	f.version = snap.Version
	f.hasListing, f.awaitsRestored = true, false
	f.removeUnconfirmed()
	timer.observeTurns(f.cfg.Name)
	if f.crowded = f.crowded && len(items) > 0; f.crowded {
		sleep(ctx, time.Duration(f.batchDelay.Load()))
	}
	return nil
}

// recordContact records a response of the store and ends an outage.
func (f *Follower[T]) recordContact() {
	now := time.Now()
	f.lastContact.Store(max(1, int64(now.Sub(f.startTime))))
	if f.inOutage {
		f.inOutage, f.probeCount = false, 0
		f.graceUntil = now.Add(f.cfg.OutageGrace)
		for key := range f.unconfirmed {
			f.unconfirmed[key] = f.graceUntil
		}
		f.obs.Info("store is back", "table", f.cfg.Name)
	}
}

// checkEra reports whether a response shows that the store has come back from an older
// copy. The table must then be listed again. It returns an error for a response from
// before the last such return.
func (f *Follower[T]) checkEra(era Era) (restored bool, err error) {
	known := f.era
	restored, err = f.era.Advance(era)
	if restored {
		f.obs.Info("store restored", "table", f.cfg.Name, "era", era.String(), "known_era", known.String(),
			"known_version", strconv.FormatInt(f.version, 10))
		f.obs.Count("store_restores", 1)
		clear(f.versions)
		f.version, f.hasListing, f.awaitsRestored = 0, false, true
		if f.cfg.OnRestore != nil {
			f.cfg.OnRestore()
		}
	}
	return restored, err
}

// removeUnconfirmed passes on the removal of the rows that nobody has written again since
// the store came back from an older copy.
func (f *Follower[T]) removeUnconfirmed() {
	now := time.Now()
	var items []Item[T]
	for key, until := range f.unconfirmed {
		if !now.Before(until) {
			items = append(items, Item[T]{
				Key:     key,
				Version: f.version,
				Removed: true,
			})
		}
	}
	f.applyNewer(items)
}

// applyNewer passes on the items that are newer than the last known versions.
func (f *Follower[T]) applyNewer(items []Item[T]) {
	newer := items[:0:0]
	known := 0
	var firstKnown []string
	for _, it := range items {
		if it.Version < f.versions[it.Key] || it.Version == f.versions[it.Key] && f.liveKeys[it.Key] != it.Removed {
			if known++; known <= maxLoggedRows {
				firstKnown = append(firstKnown, it.Key+"@"+strconv.FormatInt(it.Version, 10))
			}
			continue
		}
		f.versions[it.Key] = it.Version
		delete(f.unconfirmed, it.Key)
		if it.Removed {
			delete(f.liveKeys, it.Key)
		} else {
			f.liveKeys[it.Key] = true
		}
		if it.Err != nil {
			f.obs.Warn("decoding a row failed", it.Err, "table", f.cfg.Name, "key", it.Key)
		}
		newer = append(newer, it)
	}
	if known > 0 {
		f.obs.Count("store_rows_known", int64(known))
		f.obs.Info("known rows ignored", "table", f.cfg.Name, "count", strconv.Itoa(known),
			"first", strings.Join(firstKnown, " "))
	}
	if len(newer) > 0 {
		f.apply(newer, f.graceUntil)
	}
	f.graceUntil = time.Time{}
}
