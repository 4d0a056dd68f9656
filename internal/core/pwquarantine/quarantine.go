// Package pwquarantine counts the crashes of backend servers on which a request was
// running, so that a request that crashes every server it runs on is stopped.
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
//	t.RecordCrash(now, r.Fingerprint(), attempt, neighbours) // its server crashed
//	t.ClearCrashes(now, r.Fingerprint())                     // it finished in isolation
//	peer.Merge(now, t.Snapshot(now))
//
// The state is a set of attempts for each fingerprint. Merging is a union, so the
// order and number of exchanges don't change the result. At first a crash counts
// against all requests that were running on the server, and each of them is retried
// in isolation. The crashes of requests that finish in isolation are cleared. The
// responsible request crashes its server again and is refused. From then on the
// crashes in which it took part no longer count against its neighbours.
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

// Defaults of the Config fields, and fixed bounds.
const (
	DefaultRefuseAfter     = 2
	DefaultRetention       = time.Hour
	DefaultMaxFingerprints = 10_000
	// maxCrashes bounds the crashes kept for one fingerprint. A fingerprint is
	// refused long before it has that many; more can only occur while entries are
	// partitioned.
	maxCrashes = 16
	// maxNeighbours bounds the neighbours kept for one crash. It exceeds the number
	// of requests that one backend server runs at a time.
	maxNeighbours = 256
)

// Decision is the result of Tracker.Decide: how a request may run.
type Decision uint8

// Decisions, from the least to the most restrictive.
const (
	// Normal means that the request may run without restrictions, because it has no
	// uncleared crash.
	Normal Decision = iota
	// Isolated means that the request must run alone on its server until it has
	// finished once.
	Isolated
	// Refused means that the request must not run.
	Refused
)

// String returns the name that is written to logs.
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
	// Retention is the time for which a crash counts. Default 1 h.
	Retention time.Duration
	// MaxFingerprints bounds the number of fingerprints. The one with the oldest
	// last crash is dropped first. Default 10,000.
	MaxFingerprints int
}

// Crash describes an attempt that ended with a crash of its backend server.
type Crash struct {
	// Attempt identifies the attempt. Merging is idempotent because of it.
	Attempt pwrequest.AttemptID
	// At is the time of the crash.
	At time.Time
	// RanAlone is set if no other request was running on the server. If it isn't set,
	// empty Neighbours means that the other requests are unknown.
	RanAlone bool
	// Neighbours holds the fingerprints of the other requests that were running on
	// the server.
	Neighbours []uint64
	// Cleared is set if a request with the fingerprint has since finished in
	// isolation.
	Cleared bool
}

// FingerprintCrashes holds the crashes of one fingerprint, as entries exchange them.
type FingerprintCrashes struct {
	Fingerprint uint64
	Crashes     []Crash
}

// record holds the crashes of one fingerprint, oldest first.
type record struct {
	fingerprint uint64
	crashes     []Crash
	// version is the tracker's version at the last change of the record.
	version uint64
}

func (r *record) lastCrash() time.Time { return r.crashes[len(r.crashes)-1].At }

// less orders records by the time of their last crash.
func (r *record) less(o *record) bool {
	return cmp.Or(r.lastCrash().Compare(o.lastCrash()), cmp.Compare(r.fingerprint, o.fingerprint)) < 0
}

// Tracker holds the crashes that one process has observed or received. It isn't safe
// for concurrent use.
type Tracker struct {
	cfg     Config
	records map[uint64]*record
	// byLastCrash holds the records by their last crash, for expiry and eviction.
	byLastCrash *btree.BTreeG[*record]
	version     uint64
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.RefuseAfter, DefaultRefuseAfter)
	cfg.RefuseAfter = min(cfg.RefuseAfter, maxCrashes)
	pwdefault.SetUnlessPositive(&cfg.Retention, DefaultRetention)
	pwdefault.SetUnlessPositive(&cfg.MaxFingerprints, DefaultMaxFingerprints)
	return cfg
}

// Reconfigure replaces the configuration. It applies from the next call on.
func (t *Tracker) Reconfigure(cfg Config) { t.cfg = cfg.withDefaults() }

// New returns a tracker without crashes.
func New(cfg Config) *Tracker {
	cfg = cfg.withDefaults()
	return &Tracker{
		cfg:     cfg,
		records: make(map[uint64]*record),
		byLastCrash: btree.NewBTreeGOptions((*record).less, btree.Options{
			NoLocks: true,
		}),
	}
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.records) }

// RecordCrash records that the backend server of an attempt crashed. neighbours holds
// the fingerprints of the other requests that were running on it; an empty slice means
// that the attempt ran alone.
func (t *Tracker) RecordCrash(now time.Time, fingerprint uint64, attempt pwrequest.AttemptID, neighbours []uint64) {
	t.Merge(now, []FingerprintCrashes{{
		Fingerprint: fingerprint,
		Crashes: []Crash{{
			Attempt:    attempt,
			At:         now,
			RanAlone:   len(neighbours) == 0,
			Neighbours: neighbours,
		}},
	}})
}

// ClearCrashes clears the crashes of a fingerprint, because a request with it finished
// in isolation and so wasn't responsible for them. Merging clears them in the other
// processes as well.
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
	case len(t.countedCrashes(now, fingerprint)) >= t.cfg.RefuseAfter:
		return Refused
	case t.evidenceFor(now, fingerprint).total > 0:
		// Even a request whose crashes are attributed to a neighbour may be the
		// responsible one: the neighbour also looks responsible when its server
		// stops for another reason.
		return Isolated
	default:
		return Normal
	}
}

// Crashes returns the active crashes of a fingerprint, oldest first.
func (t *Tracker) Crashes(now time.Time, fingerprint uint64) []Crash {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(r.crashes), func(c Crash) bool { return !t.isActive(now, &c) })
}

// Refusal returns the error for a request that Decide refuses. Its RetryAfter is the
// time until enough of the crashes have expired.
func (t *Tracker) Refusal(now time.Time, fingerprint uint64) error {
	crashes := t.countedCrashes(now, fingerprint)
	wait := time.Duration(0)
	if i := len(crashes) - t.cfg.RefuseAfter; i >= 0 {
		wait = crashes[i].At.Add(t.cfg.Retention).Sub(now)
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQuarantined,
		"the request crashed %d backend servers, %d are allowed", len(crashes), t.cfg.RefuseAfter-1).
		WithRetryAfter(wait)
}

// crashEvidence measures how strongly crashes point to a fingerprint: first by the
// number of crashes in which it ran alone, then by the number of all its crashes.
type crashEvidence struct {
	alone int
	total int
}

// exceeds reports whether e is stronger than o.
func (e crashEvidence) exceeds(o crashEvidence) bool {
	return cmp.Or(cmp.Compare(e.alone, o.alone), cmp.Compare(e.total, o.total)) > 0
}

// evidenceFor returns the evidence of the active crashes of a fingerprint.
func (t *Tracker) evidenceFor(now time.Time, fingerprint uint64) crashEvidence {
	var e crashEvidence
	if r := t.records[fingerprint]; r != nil {
		for i := range r.crashes {
			if c := &r.crashes[i]; t.isActive(now, c) {
				e.total++
				if c.RanAlone {
					e.alone++
				}
			}
		}
	}
	return e
}

// isActive reports whether a crash is neither cleared nor expired.
func (t *Tracker) isActive(now time.Time, c *Crash) bool {
	return !c.Cleared && now.Sub(c.At) < t.cfg.Retention
}

// countedCrashes returns the crashes that count against a fingerprint, oldest first. A
// crash doesn't count if it is attributed to a neighbour: one that has reached
// Config.RefuseAfter crashes, against which there is stronger evidence, and that hasn't
// finished in isolation since. Without the comparison of evidence, two requests that
// always crashed together would excuse each other, and the responsible one would never be
// stopped.
//
// The result depends only on the merged sets, not on the order in which they arrived,
// so entries that hold the same crashes decide alike.
func (t *Tracker) countedCrashes(now time.Time, fingerprint uint64) []Crash {
	r := t.records[fingerprint]
	if r == nil {
		return nil
	}
	ownEvidence := t.evidenceFor(now, fingerprint)
	var out []Crash
	for i := range r.crashes {
		c := &r.crashes[i]
		excused := slices.ContainsFunc(c.Neighbours, func(other uint64) bool {
			e := t.evidenceFor(now, other)
			return other != fingerprint && e.total >= t.cfg.RefuseAfter && e.exceeds(ownEvidence) && !t.isCleared(other, fingerprint)
		})
		if t.isActive(now, c) && !excused {
			out = append(out, *c)
		}
	}
	return out
}

// isCleared reports whether a fingerprint has crashed beside a neighbour, and all of these
// crashes are cleared.
func (t *Tracker) isCleared(fingerprint, neighbour uint64) bool {
	found := false
	for _, c := range t.records[fingerprint].crashes {
		if slices.Contains(c.Neighbours, neighbour) {
			if !c.Cleared {
				return false
			}
			found = true
		}
	}
	return found
}

// Merge adds the crashes of another process. Attempts that are already recorded don't
// count again.
func (t *Tracker) Merge(now time.Time, received []FingerprintCrashes) {
	t.expire(now)
	for _, in := range received {
		for _, c := range in.Crashes {
			// A sender whose clock is ahead must not prolong the retention.
			if c.At.After(now) {
				c.At = now
			}
			if c.Attempt != "" && now.Sub(c.At) < t.cfg.Retention {
				t.mergeCrash(in.Fingerprint, c)
			}
		}
	}
	for len(t.records) > t.cfg.MaxFingerprints {
		oldest, _ := t.byLastCrash.PopMin()
		delete(t.records, oldest.fingerprint)
	}
}

// mergeCrash adds one crash to the record of a fingerprint, or merges it with the crash
// of the same attempt.
func (t *Tracker) mergeCrash(fingerprint uint64, c Crash) {
	c.Neighbours = normalise(c.Neighbours)
	r := t.records[fingerprint]
	if r == nil {
		r = &record{
			fingerprint: fingerprint,
		}
		t.records[fingerprint] = r
	} else {
		t.byLastCrash.Delete(r)
	}
	i := slices.IndexFunc(r.crashes, func(known Crash) bool { return known.Attempt == c.Attempt })
	changed := true
	if i >= 0 {
		known := &r.crashes[i]
		c.Cleared = c.Cleared || known.Cleared
		c.RanAlone = c.RanAlone || known.RanAlone
		c.Neighbours = normalise(slices.Concat(known.Neighbours, c.Neighbours))
		if known.At.Before(c.At) {
			c.At = known.At
		}
		changed = c.Cleared != known.Cleared || c.RanAlone != known.RanAlone ||
			len(c.Neighbours) != len(known.Neighbours) || !c.At.Equal(known.At)
		*known = c
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
	t.byLastCrash.Set(r)
}

// normalise returns a sorted copy without duplicates, with at most maxNeighbours
// fingerprints.
func normalise(fingerprints []uint64) []uint64 {
	if len(fingerprints) == 0 {
		return nil
	}
	fs := slices.Clone(fingerprints)
	slices.Sort(fs)
	fs = slices.Compact(fs)
	return fs[:min(len(fs), maxNeighbours)]
}

// expire removes the records whose last crash is older than the retention.
func (t *Tracker) expire(now time.Time) {
	for {
		r, ok := t.byLastCrash.Min()
		if !ok || now.Sub(r.lastCrash()) < t.cfg.Retention {
			return
		}
		t.byLastCrash.PopMin()
		delete(t.records, r.fingerprint)
	}
}

// Snapshot returns all crashes, sorted by fingerprint.
func (t *Tracker) Snapshot(now time.Time) []FingerprintCrashes {
	out, _ := t.ChangesSince(now, 0)
	return out
}

// ChangesSince returns the fingerprints whose crashes have changed since the version
// that an earlier call returned, and the current version. Version 0 precedes the first
// change. Peers use it to exchange only changes.
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
