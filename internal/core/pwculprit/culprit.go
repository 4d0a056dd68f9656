// Package pwculprit finds the part of a prompt that crashes backend servers. Requests
// that are never alike may share such a part; each server that begins to answer one of
// them crashes, together with the sound requests that it was running.
//
// A part is suspected of every crash of a server that was running a request with it. A
// sound part also occurs in requests that are answered while their server stays up, and
// that clears it. A part that is never cleared is quarantined when it was present at
// enough crashes that no other quarantined part explains. Of two parts that were present
// at the same crashes, the one further back in the prompts is quarantined, because the
// front of a prompt is shared by more requests; if servers then go on crashing under the
// other one, the decision is reversed.
//
// Servers that crash at the same moment have a common cause, such as the loss of a data
// centre, so crashes within Config.MergeInterval count once.
//
// The state is a set of crashes and the newest clearance of each part. Processes
// exchange both, so that all of them decide alike, whatever the order of the messages.
//
// # Usage
//
//	t := pwculprit.New(pwculprit.Config{})
//	if part, ok := t.Quarantined(now, parts); ok {
//		// refuse the request
//	}
//	t.RecordCrash(now, server, parts)      // crashed while it ran the request
//	t.RecordCompletion(now, server, parts) // answered; a clearance if the server stays up
//	peer.Merge(now, t.Outgoing(now, 16))
//
// A Tracker isn't safe for concurrent use and does no I/O.
package pwculprit

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of the Config fields, and fixed bounds.
const (
	DefaultMinCrashes     = 3
	DefaultMergeInterval  = 100 * time.Millisecond
	DefaultSettleTime     = 250 * time.Millisecond
	DefaultClearanceDelay = 500 * time.Millisecond
	DefaultClearanceTime  = 30 * time.Second
	DefaultRetention      = 10 * time.Minute
	DefaultMaxSuspects    = 4096
	// clearedFactor multiplies Config.MinCrashes for a part that was cleared within
	// Config.ClearanceTime before its crashes.
	clearedFactor = 2
	// minReported is the number of crashes from which peers are told of those of a part
	// that was cleared shortly before.
	minReported = 2
	// maxCrashes bounds the crashes kept for one part, maxPending the completions that
	// wait for Config.ClearanceDelay, maxCleared the cleared parts.
	maxCrashes = 64
	maxPending = 4096
	maxCleared = 16_384
	// sendPeriod is how long a crash is sent to peers.
	sendPeriod = 5 * time.Second
	// evaluateInterval limits how often the quarantine is computed while crashes settle
	// and nothing new is recorded.
	evaluateInterval = 50 * time.Millisecond
)

// Config configures a Tracker. Zero fields take their defaults.
type Config struct {
	// MinCrashes is the number of crashes at which a part is quarantined that was not
	// cleared shortly before them.
	MinCrashes int
	// MergeInterval is the time within which crashes count once.
	MergeInterval time.Duration
	// SettleTime is the age from which a crash counts, so that the reports of peers
	// about the same crash have arrived.
	SettleTime time.Duration
	// ClearanceDelay is how long a server must stay up after it has answered a request
	// for the answer to clear the parts of its prompt.
	ClearanceDelay time.Duration
	// ClearanceTime is how long a clearance counts in favour of a part at later crashes.
	ClearanceTime time.Duration
	// Retention is the time for which a crash counts.
	Retention time.Duration
	// MaxSuspects bounds the number of parts with crashes. Parts that are not
	// quarantined and have the oldest crashes are dropped first.
	MaxSuspects int
}

// Crash states that a server crashed at a time while it was running a request with a
// part in its prompt.
type Crash struct {
	// Part and Server are hashes of their identifiers. Server differs for each
	// incarnation of a server.
	Part   uint64
	Server uint64
	// Depth is the position of the part in the prompt, from 0.
	Depth uint8
	At    time.Time
}

// Record is what processes tell each other: a crash, or the clearance of a part. Of the
// crash of a clearance only Part and At are set.
type Record struct {
	Crash
	Cleared bool
}

// Change is a part that was quarantined or released.
type Change struct {
	Part        uint64
	Quarantined bool
	// Crashes is the number of servers that crashed under the part.
	Crashes int
}

// observation is a crash in which a suspect was present.
type observation struct {
	server uint64
	at     time.Time
	// own is set for a crash that this process found itself; it was sent to peers sent
	// times.
	own  bool
	sent int
}

// suspect holds the crashes of a part that no later clearance refutes, by time.
type suspect struct {
	part    uint64
	depth   uint8
	crashes []observation
	// clearedAt is the newest clearance before the crashes, or the zero time.
	clearedAt time.Time
}

// refutation is a clearance that is sent to peers until a time.
type refutation struct {
	until time.Time
	sent  int
}

// completion is an answer whose server must still prove that it stays up.
type completion struct {
	at     time.Time
	server uint64
	parts  []uint64
}

// Tracker holds the crashes and clearances that one process has observed or received.
type Tracker struct {
	cfg      Config
	suspects map[uint64]*suspect
	// cleared and clearedBefore hold the newest clearances. Each ClearanceTime cleared
	// replaces clearedBefore, so that old ones are dropped.
	cleared       map[uint64]time.Time
	clearedBefore map[uint64]time.Time
	rotatedAt     time.Time
	pending       []completion
	// crashedAt holds the newest crash of each server.
	crashedAt map[uint64]time.Time
	// refuted holds the parts whose clearance refutes crashes that peers may count.
	refuted map[uint64]*refutation

	quarantined map[uint64]bool
	changes     []Change
	// dirty is set when something was recorded since evaluatedAt. settledAt is when the
	// newest crash counts.
	dirty       bool
	evaluatedAt time.Time
	settledAt   time.Time
	// recalled counts the records that Recall has returned.
	recalled int
}

// New returns a tracker without crashes.
func New(cfg Config) *Tracker {
	pwdefault.SetUnlessPositive(&cfg.MinCrashes, DefaultMinCrashes)
	pwdefault.SetUnlessPositive(&cfg.MergeInterval, DefaultMergeInterval)
	pwdefault.SetUnlessPositive(&cfg.SettleTime, DefaultSettleTime)
	pwdefault.SetUnlessPositive(&cfg.ClearanceDelay, DefaultClearanceDelay)
	pwdefault.SetUnlessPositive(&cfg.ClearanceTime, DefaultClearanceTime)
	pwdefault.SetUnlessPositive(&cfg.Retention, DefaultRetention)
	pwdefault.SetUnlessPositive(&cfg.MaxSuspects, DefaultMaxSuspects)
	return &Tracker{
		cfg:           cfg,
		suspects:      make(map[uint64]*suspect),
		cleared:       make(map[uint64]time.Time),
		clearedBefore: make(map[uint64]time.Time),
		crashedAt:     make(map[uint64]time.Time),
		refuted:       make(map[uint64]*refutation),
		quarantined:   make(map[uint64]bool),
	}
}

// RecordCrash records that a server has crashed while it was running a request with
// these parts, in the order of the prompt. Peers are told of it.
func (t *Tracker) RecordCrash(now time.Time, server uint64, parts []uint64) {
	t.advance(now)
	t.crashedAt[server] = now
	for i, part := range parts {
		t.addCrash(now, Crash{
			Part:   part,
			Server: server,
			Depth:  uint8(min(i, math.MaxUint8)),
			At:     now,
		}, true)
	}
}

// addCrash adds a crash, or merges it with what is known of it. own marks one that this
// process found itself.
func (t *Tracker) addCrash(now time.Time, c Crash, own bool) {
	if c.At.After(now) {
		c.At = now
	}
	if now.Sub(c.At) >= t.cfg.Retention {
		return
	}
	if c.At.After(t.crashedAt[c.Server]) {
		t.crashedAt[c.Server] = c.At
	}
	if !own {
		t.refute(now, c.Part)
	}
	if !c.At.After(t.clearedAt(c.Part)) {
		return
	}
	t.dirty = true
	if at := c.At.Add(t.cfg.SettleTime); at.After(t.settledAt) {
		t.settledAt = at
	}
	s := t.suspects[c.Part]
	if s == nil {
		s = &suspect{
			part:      c.Part,
			clearedAt: t.clearedAt(c.Part),
		}
		t.suspects[c.Part] = s
	}
	s.depth = max(s.depth, c.Depth)
	if i := slices.IndexFunc(s.crashes, func(o observation) bool { return o.server == c.Server }); i >= 0 {
		known := &s.crashes[i]
		known.own = known.own || own
		if c.At.Before(known.at) {
			known.at = c.At
		}
	} else {
		s.crashes = append(s.crashes, observation{
			server: c.Server,
			at:     c.At,
			own:    own,
		})
	}
	slices.SortFunc(s.crashes, func(a, b observation) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server, b.server))
	})
	if n := len(s.crashes) - maxCrashes; n > 0 {
		s.crashes = slices.Delete(s.crashes, 0, n)
	}
	t.evictSuspects()
}

// evictSuspects drops the suspect with the oldest last crash while there are too many.
func (t *Tracker) evictSuspects() {
	for len(t.suspects) > t.cfg.MaxSuspects {
		oldest := slices.MinFunc(slices.Collect(maps.Values(t.suspects)), func(a, b *suspect) int {
			rank := func(s *suspect) int {
				if t.quarantined[s.part] {
					return 1
				}
				return 0
			}
			return cmp.Or(cmp.Compare(rank(a), rank(b)), a.lastCrash().Compare(b.lastCrash()), cmp.Compare(a.part, b.part))
		})
		delete(t.suspects, oldest.part)
	}
}

func (s *suspect) lastCrash() time.Time { return s.crashes[len(s.crashes)-1].at }

// RecordCompletion records that a server has answered a request with these parts. It
// clears them after Config.ClearanceDelay, unless the server has crashed by then.
func (t *Tracker) RecordCompletion(now time.Time, server uint64, parts []uint64) {
	t.advance(now)
	if len(parts) == 0 || len(t.pending) >= maxPending {
		return
	}
	t.pending = append(t.pending, completion{
		at:     now,
		server: server,
		parts:  parts,
	})
}

// Merge adds the records of a peer.
func (t *Tracker) Merge(now time.Time, records []Record) {
	t.advance(now)
	for _, r := range records {
		if r.At.After(now) {
			r.At = now
		}
		if r.Cleared {
			t.setCleared(now, r.Part, r.At)
		} else {
			t.addCrash(now, r.Crash, false)
		}
	}
}

// setCleared records that a request with the part was answered at a time.
func (t *Tracker) setCleared(now time.Time, part uint64, at time.Time) {
	if !at.After(t.clearedAt(part)) {
		return
	}
	if len(t.cleared) >= maxCleared {
		t.cleared, t.clearedBefore = make(map[uint64]time.Time), t.cleared
	}
	t.cleared[part] = at
	s := t.suspects[part]
	if s == nil {
		return
	}
	t.dirty = true
	s.clearedAt = at
	s.crashes = slices.DeleteFunc(s.crashes, func(o observation) bool { return !o.at.After(at) })
	if len(s.crashes) > 0 {
		return
	}
	delete(t.suspects, part)
	t.refute(now, part)
}

// refute tells peers of the clearance of a part, if it has one.
func (t *Tracker) refute(now time.Time, part uint64) {
	if t.clearedAt(part).IsZero() || t.refuted[part] != nil {
		return
	}
	t.refuted[part] = &refutation{
		until: now.Add(sendPeriod),
	}
}

// clearedAt returns the time of the newest clearance of a part, or the zero time.
func (t *Tracker) clearedAt(part uint64) time.Time {
	if at, ok := t.cleared[part]; ok {
		return at
	}
	return t.clearedBefore[part]
}

// advance turns the completions that are old enough into clearances, and drops what has
// expired.
func (t *Tracker) advance(now time.Time) {
	done := 0
	for _, c := range t.pending {
		if now.Sub(c.at) < t.cfg.ClearanceDelay {
			break
		}
		done++
		if crashed, ok := t.crashedAt[c.server]; ok && now.Sub(crashed) < t.cfg.ClearanceTime {
			continue
		}
		for _, part := range c.parts {
			t.setCleared(now, part, c.at)
		}
	}
	t.pending = slices.Delete(t.pending, 0, done)
	maps.DeleteFunc(t.refuted, func(part uint64, r *refutation) bool {
		return !now.Before(r.until) || t.clearedAt(part).IsZero()
	})
	if now.Sub(t.rotatedAt) < t.cfg.ClearanceTime {
		return
	}
	t.rotatedAt = now
	t.cleared, t.clearedBefore = make(map[uint64]time.Time), t.cleared
	maps.DeleteFunc(t.crashedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) > t.cfg.ClearanceTime })
	for part, s := range t.suspects {
		s.crashes = slices.DeleteFunc(s.crashes, func(o observation) bool { return now.Sub(o.at) >= t.cfg.Retention })
		if len(s.crashes) == 0 {
			delete(t.suspects, part)
			t.dirty = true
		}
	}
}

// Quarantined returns the first of the parts that is quarantined.
func (t *Tracker) Quarantined(now time.Time, parts []uint64) (part uint64, ok bool) {
	t.evaluate(now)
	for _, p := range parts {
		if t.quarantined[p] {
			return p, true
		}
	}
	return 0, false
}

// TakeChanges returns the parts that were quarantined or released since the last call.
func (t *Tracker) TakeChanges(now time.Time) []Change {
	t.evaluate(now)
	out := t.changes
	t.changes = nil
	return out
}

// evaluate computes the quarantine if something was recorded, or if crashes have become
// old enough to count.
func (t *Tracker) evaluate(now time.Time) {
	t.advance(now)
	settling := t.evaluatedAt.Before(t.settledAt) && now.Sub(t.evaluatedAt) >= evaluateInterval
	if !t.dirty && !settling {
		return
	}
	t.dirty, t.evaluatedAt = false, now
	before := t.quarantined
	t.quarantined = make(map[uint64]bool, len(before))
	explained := make(map[uint64]bool)
	for {
		best := t.strongestSuspect(now, explained)
		if best == nil {
			break
		}
		t.quarantined[best.part] = true
		for _, o := range best.crashes {
			explained[o.server] = true
		}
	}
	t.releaseExplained()
	for _, part := range slices.Sorted(maps.Keys(t.quarantined)) {
		if !before[part] {
			t.changes = append(t.changes, Change{
				Part:        part,
				Quarantined: true,
				Crashes:     len(t.suspects[part].crashes),
			})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(before)) {
		if !t.quarantined[part] {
			t.changes = append(t.changes, Change{
				Part: part,
			})
		}
	}
}

// releaseExplained releases the parts all of whose crashes other quarantined parts
// explain, those with the fewest crashes first.
func (t *Tracker) releaseExplained() {
	parts := slices.SortedFunc(maps.Keys(t.quarantined), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(len(t.suspects[a].crashes), len(t.suspects[b].crashes)), cmp.Compare(a, b))
	})
	if len(parts) < 2 {
		return
	}
	explanations := make(map[uint64]int)
	for _, part := range parts {
		for _, o := range t.suspects[part].crashes {
			explanations[o.server]++
		}
	}
	for _, part := range parts {
		crashes := t.suspects[part].crashes
		if slices.ContainsFunc(crashes, func(o observation) bool { return explanations[o.server] < 2 }) {
			continue
		}
		delete(t.quarantined, part)
		for _, o := range crashes {
			explanations[o.server]--
		}
	}
}

// strongestSuspect returns the suspect furthest back in the prompts among those with
// enough unexplained crashes, or nil.
func (t *Tracker) strongestSuspect(now time.Time, explained map[uint64]bool) *suspect {
	var best *suspect
	bestCount := 0
	for _, s := range t.suspects {
		if t.quarantined[s.part] {
			continue
		}
		count := len(t.distinctCrashes(now, s, explained))
		if count < t.neededCrashes(s) {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(s.depth, best.depth), cmp.Compare(count, bestCount), cmp.Compare(s.part, best.part)) > 0 {
			best, bestCount = s, count
		}
	}
	return best
}

// neededCrashes returns the number of crashes at which a suspect is quarantined.
func (t *Tracker) neededCrashes(s *suspect) int {
	if !s.clearedAt.IsZero() && s.crashes[0].at.Sub(s.clearedAt) < t.cfg.ClearanceTime {
		return clearedFactor * t.cfg.MinCrashes
	}
	return t.cfg.MinCrashes
}

// distinctCrashes returns the settled, unexplained crashes of a suspect without those
// within Config.MergeInterval after another one.
func (t *Tracker) distinctCrashes(now time.Time, s *suspect, explained map[uint64]bool) []observation {
	var out []observation
	for _, o := range s.crashes {
		if explained[o.server] || now.Sub(o.at) < t.cfg.SettleTime {
			continue
		}
		if len(out) == 0 || o.at.Sub(out[len(out)-1].at) >= t.cfg.MergeInterval {
			out = append(out, o)
		}
	}
	return out
}

// Outgoing returns up to n records for peers: the recent crashes that this process found
// itself, and clearances of parts that others suspect. Records that were sent least often
// come first, so that none waits for the repetition of others.
func (t *Tracker) Outgoing(now time.Time, n int) []Record {
	t.advance(now)
	var list []outgoingRecord
	for _, part := range slices.Sorted(maps.Keys(t.suspects)) {
		s, cleared := t.suspects[part], !t.clearedAt(part).IsZero()
		for i := range s.crashes {
			o := &s.crashes[i]
			if !o.own || now.Sub(o.at) >= sendPeriod || cleared && len(s.crashes) < minReported {
				continue
			}
			list = append(list, outgoingRecord{
				Record: Record{
					Crash: s.crash(*o),
				},
				sent: &o.sent,
			})
		}
	}
	for _, part := range slices.Sorted(maps.Keys(t.refuted)) {
		list = append(list, outgoingRecord{
			Record: Record{
				Crash: Crash{
					Part: part,
					At:   t.clearedAt(part),
				},
				Cleared: true,
			},
			sent: &t.refuted[part].sent,
		})
	}
	slices.SortStableFunc(list, func(a, b outgoingRecord) int { return cmp.Compare(*a.sent, *b.sent) })
	list = list[:min(n, len(list))]
	out := make([]Record, 0, len(list))
	for _, c := range list {
		*c.sent++
		out = append(out, c.Record)
	}
	return out
}

// outgoingRecord is a record with the number of times that it was sent.
type outgoingRecord struct {
	Record
	sent *int
}

func (s *suspect) crash(o observation) Crash {
	return Crash{
		Part:   s.part,
		Server: o.server,
		Depth:  s.depth,
		At:     o.at,
	}
}

// QuarantinedParts returns the quarantined parts in ascending order.
func (t *Tracker) QuarantinedParts(now time.Time) []uint64 {
	t.evaluate(now)
	return slices.Sorted(maps.Keys(t.quarantined))
}

// Evidence returns crashes that suffice for another process to quarantine a part. It
// returns nil for a part that isn't quarantined.
func (t *Tracker) Evidence(now time.Time, part uint64) []Crash {
	s := t.suspects[part]
	if s == nil || !t.quarantined[part] {
		return nil
	}
	distinct := t.distinctCrashes(now, s, nil)
	distinct = distinct[:min(len(distinct), clearedFactor*t.cfg.MinCrashes)]
	out := make([]Crash, 0, len(distinct))
	for _, o := range distinct {
		out = append(out, s.crash(o))
	}
	return out
}

// Recall returns up to n crashes of quarantined parts, each time the next ones in turn,
// for processes that were not there when the crashes were sent.
func (t *Tracker) Recall(now time.Time, n int) []Crash {
	var all []Crash
	for _, part := range t.QuarantinedParts(now) {
		all = append(all, t.Evidence(now, part)...)
	}
	n = min(n, len(all))
	out := make([]Crash, 0, n)
	for range n {
		out = append(out, all[t.recalled%len(all)])
		t.recalled++
	}
	return out
}
