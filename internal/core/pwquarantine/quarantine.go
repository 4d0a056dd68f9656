// Package pwquarantine counts the backend server deaths that a request takes
// part in, so that a request that crashes each server it runs on is stopped.
//
// # Usage
//
//	t := pwquarantine.New(pwquarantine.Config{})
//	switch t.Decide(now, r.Fingerprint()) {
//	case pwquarantine.Refused:
//		return t.Refusal(now, r.Fingerprint())
//	case pwquarantine.Isolated:
//		// run it on a server without other requests
//	}
//	t.Crash(now, r.Fingerprint(), attempt, besides) // its server died
//	t.Finished(now, r.Fingerprint())                // it finished in isolation
//	peer.Merge(now, t.Counts(now))
//
// The state is a set of attempts for each fingerprint. Merging is a union, so
// that the order and number of exchanges don't change the result. All requests
// on a server that died are counted at first and run in isolation. Those that
// finish there are cleared; the responsible one crashes again, is refused, and
// excuses the others, which are then not refused for the crashes beside it.
package pwquarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/tidwall/btree"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Defaults.
const (
	DefaultRefuseAfter     = 2
	DefaultRetention       = time.Hour
	DefaultMaxFingerprints = 10_000
	// maxCrashes bounds the crashes kept for one fingerprint. A fingerprint is
	// refused long before; more arrive only while entries are partitioned.
	maxCrashes = 16
	// maxBesides bounds the fingerprints kept with one crash. It exceeds the
	// number of requests that run on one backend server.
	maxBesides = 256
)

// Decision says how a request may run.
type Decision uint8

// Decisions, from harmless to harmful.
const (
	// Normal means that no crash is known.
	Normal Decision = iota
	// Isolated means that the request may run only without others beside it, until
	// it has finished once.
	Isolated
	// Refused means that the request may not run.
	Refused
)

// String returns the name used in logs.
func (d Decision) String() string {
	switch d {
	case Normal:
		return "normal"
	case Isolated:
		return "isolated"
	default:
		return "refused"
	}
}

// Config configures a Tracker. Zero fields take their defaults.
type Config struct {
	// RefuseAfter is the number of crashes after which a fingerprint is
	// refused. Default 2, at most 16.
	RefuseAfter int
	// Retention is the time after a crash until it is forgotten. Default 1 h.
	Retention time.Duration
	// MaxFingerprints bounds the fingerprints kept; the one whose last crash
	// is the oldest is dropped first. Default 10,000.
	MaxFingerprints int
}

// Crash is one attempt that ended with the death of its backend server.
type Crash struct {
	// Attempt identifies the attempt; it makes merging idempotent.
	Attempt pwrequest.AttemptID
	// At is the time of the crash.
	At time.Time
	// Alone is set when no other request ran on the server. Without it an
	// empty Besides means that the neighbours aren't known.
	Alone bool
	// Neighbours holds the fingerprints that ran on the server at that time.
	Neighbours []uint64
	// Cleared is set when the fingerprint later finished in isolation.
	Cleared bool
}

// FingerprintCrashes is what entries exchange about one fingerprint.
type FingerprintCrashes struct {
	Fingerprint uint64
	Crashes     []Crash
}

// record holds the crashes of one fingerprint, the oldest first.
type record struct {
	fingerprint uint64
	crashes     []Crash
	// version is the tracker's version at the last change.
	version uint64
}

func (r *record) last() time.Time { return r.crashes[len(r.crashes)-1].At }

// before orders records by their last crash.
func (r *record) before(o *record) bool {
	return cmp.Or(r.last().Compare(o.last()), cmp.Compare(r.fingerprint, o.fingerprint)) < 0
}

// Tracker holds the crashes known to one process. It isn't safe for
// concurrent use.
type Tracker struct {
	cfg     Config
	records map[uint64]*record
	// byLast orders the records by their last crash, for expiry and eviction.
	byLast  *btree.BTreeG[*record]
	version uint64
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.RefuseAfter, DefaultRefuseAfter)
	cfg.RefuseAfter = min(cfg.RefuseAfter, maxCrashes)
	pwdefault.SetUnlessPositive(&cfg.Retention, DefaultRetention)
	pwdefault.SetUnlessPositive(&cfg.MaxFingerprints, DefaultMaxFingerprints)
	return cfg
}

// Reconfigure puts other bounds in force.
func (t *Tracker) Reconfigure(cfg Config) { t.cfg = cfg.withDefaults() }

// New returns an empty tracker.
func New(cfg Config) *Tracker {
	cfg = cfg.withDefaults()
	return &Tracker{
		cfg:     cfg,
		records: make(map[uint64]*record),
		byLast: btree.NewBTreeGOptions((*record).before, btree.Options{
			NoLocks: true,
		}),
	}
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.records) }

// RecordCrash records that the backend server of an attempt died. besides holds the
// fingerprints of the other requests that ran on it; an empty slice means that
// the attempt ran alone.
func (t *Tracker) RecordCrash(now time.Time, fingerprint uint64, attempt pwrequest.AttemptID, besides []uint64) {
	t.Merge(now, []FingerprintCrashes{{
		Fingerprint: fingerprint,
		Crashes: []Crash{{
			Attempt:    attempt,
			At:         now,
			Alone:      len(besides) == 0,
			Neighbours: besides,
		}},
	}})
}

// ClearCrashes records that a request with this fingerprint finished in isolation.
// It wasn't responsible for its crashes, which are cleared at all processes
// that merge them.
func (t *Tracker) ClearCrashes(now time.Time, fingerprint uint64) {
	t.expire(now)
	r := t.records[fingerprint]
	if r == nil {
		return
	}
	t.version++
	r.version = t.version
	for i := range r.crashes {
		r.crashes[i].Cleared = true
	}
}

// Decide returns how a request with this fingerprint may run.
func (t *Tracker) Decide(now time.Time, fingerprint uint64) Decision {
	switch {
	case len(t.counted(now, fingerprint)) >= t.cfg.RefuseAfter:
		return Refused
	case t.evidence(now, fingerprint).total > 0:
		// An excused request may be the crashing one all the same: a server that
		// ends by accident under a neighbour makes that one look responsible.
		return Isolated
	default:
		return Normal
	}
}

// Refusal returns the error for a request that Decide refuses, with the delay
// until enough of its crashes are forgotten.
func (t *Tracker) Refusal(now time.Time, fingerprint uint64) error {
	cs := t.counted(now, fingerprint)
	wait := time.Duration(0)
	if i := len(cs) - t.cfg.RefuseAfter; i >= 0 {
		wait = cs[i].At.Add(t.cfg.Retention).Sub(now)
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQuarantined,
		"the request crashed %d backend servers, %d are allowed", len(cs), t.cfg.RefuseAfter-1).
		WithRetryAfter(wait)
}

// evidence says how strongly crashes point to a fingerprint: first by those in
// which it ran alone, then by their number.
type evidence struct {
	alone int
	total int
}

func (e evidence) exceeds(o evidence) bool {
	return cmp.Or(cmp.Compare(e.alone, o.alone), cmp.Compare(e.total, o.total)) > 0
}

func (t *Tracker) evidence(now time.Time, fingerprint uint64) evidence {
	var e evidence
	if r := t.records[fingerprint]; r != nil {
		for i := range r.crashes {
			if c := &r.crashes[i]; t.live(now, c) {
				e.total++
				if c.Alone {
					e.alone++
				}
			}
		}
	}
	return e
}

func (t *Tracker) live(now time.Time, c *Crash) bool {
	return !c.Cleared && now.Sub(c.At) < t.cfg.Retention
}

// counted returns the crashes that count against a fingerprint, the oldest
// first. A crash doesn't count when a responsible request ran beside it: one
// that has reached the limit itself and has the stronger evidence. Without the
// comparison two requests that only ever crashed together would excuse each
// other, and the crashing one would never be stopped.
//
// The result depends only on the merged sets, not on the order in which they
// arrived, so that all entries decide alike once they know the same.
func (t *Tracker) counted(now time.Time, fingerprint uint64) []Crash {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	own := t.evidence(now, fingerprint)
	var out []Crash
	for i := range r.crashes {
		c := &r.crashes[i]
		excused := slices.ContainsFunc(c.Neighbours, func(other uint64) bool {
			e := t.evidence(now, other)
			return other != fingerprint && e.total >= t.cfg.RefuseAfter && e.exceeds(own)
		})
		if t.live(now, c) && !excused {
			out = append(out, *c)
		}
	}
	return out
}

// Merge adds the crashes that another process knows. Attempts that are already
// known don't count again.
func (t *Tracker) Merge(now time.Time, counts []FingerprintCrashes) {
	t.expire(now)
	for _, in := range counts {
		for _, c := range in.Crashes {
			// A clock that runs ahead must not prolong the retention.
			if c.At.After(now) {
				c.At = now
			}
			if c.Attempt != "" && now.Sub(c.At) < t.cfg.Retention {
				t.add(in.Fingerprint, c)
			}
		}
	}
	for len(t.records) > t.cfg.MaxFingerprints {
		oldest, _ := t.byLast.PopMin()
		delete(t.records, oldest.fingerprint)
	}
}

// add merges one crash into the record of a fingerprint.
func (t *Tracker) add(fingerprint uint64, c Crash) {
	c.Neighbours = bounded(c.Neighbours)
	r := t.records[fingerprint]
	if r == nil {
		r = &record{
			fingerprint: fingerprint,
		}
		t.records[fingerprint] = r
	} else {
		t.byLast.Delete(r)
	}
	i := slices.IndexFunc(r.crashes, func(have Crash) bool { return have.Attempt == c.Attempt })
	changed := true
	if i >= 0 {
		have := &r.crashes[i]
		c.Cleared = c.Cleared || have.Cleared
		c.Alone = c.Alone || have.Alone
		c.Neighbours = bounded(slices.Concat(have.Neighbours, c.Neighbours))
		if have.At.Before(c.At) {
			c.At = have.At
		}
		changed = c.Cleared != have.Cleared || c.Alone != have.Alone ||
			len(c.Neighbours) != len(have.Neighbours) || !c.At.Equal(have.At)
		*have = c
	} else {
		r.crashes = append(r.crashes, c)
	}
	slices.SortFunc(r.crashes, func(a, b Crash) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Attempt, b.Attempt))
	})
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, len(r.crashes)-maxCrashes)
	}
	if changed {
		t.version++
		r.version = t.version
	}
	t.byLast.Set(r)
}

// bounded returns a sorted copy without duplicates and with a bounded length.
func bounded(fingerprints []uint64) []uint64 {
	if len(fingerprints) == 0 {
		return nil
	}
	fs := slices.Clone(fingerprints)
	slices.Sort(fs)
	fs = slices.Compact(fs)
	return fs[:min(len(fs), maxBesides)]
}

// expire forgets the records whose last crash is older than the retention.
func (t *Tracker) expire(now time.Time) {
	for {
		r, ok := t.byLast.Min()
		if !ok || now.Sub(r.last()) < t.cfg.Retention {
			return
		}
		t.byLast.PopMin()
		delete(t.records, r.fingerprint)
	}
}

// Snapshot returns all that is known, in the order of fingerprints.
func (t *Tracker) Snapshot(now time.Time) []FingerprintCrashes {
	out, _ := t.ChangesSince(now, 0)
	return out
}

// ChangesSince returns what has changed after a version that an earlier call
// returned, and the current version. Version 0 is before the first change.
// Peers thus exchange only what is new.
func (t *Tracker) ChangesSince(now time.Time, after uint64) ([]FingerprintCrashes, uint64) {
	t.expire(now)
	var out []FingerprintCrashes
	for _, r := range t.records {
		if r.version > after {
			out = append(out, FingerprintCrashes{
				Fingerprint: r.fingerprint,
				Crashes:     slices.Clone(r.crashes),
			})
		}
	}
	slices.SortFunc(out, func(a, b FingerprintCrashes) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out, t.version
}
