package pwrouter

import (
	"cmp"
	"math"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// attempt describes an attempt that this entry has sent to a server and that
// hasn't ended.
type attempt struct {
	class         pwrequest.Class
	tokens        int64 // reserved engine memory
	prefillTokens int64 // prompt length until the first token, then 0
	startedAt     time.Time
	isolated      bool
	traffic       *traffic
}

// server holds the router's state of one backend server: its last load report,
// the attempts that this entry runs on it, and its failures.
type server struct {
	id pwrequest.BackendServerID
	// rank is a hash of id. It orders the servers alike at all entries.
	rank          uint64
	rep           Report
	receivedAt    time.Time
	members       []*member
	markedOut     bool
	reportExpired bool

	// The fields with the prefix own count the attempts of this entry, those
	// with the prefix other the work of other entries. The latter is the last
	// report minus the own work at the time of its receipt. Subtracting at
	// receipt avoids comparing the clocks of two machines.
	attempts     map[pwrequest.ID]attempt
	ownTokens    int64
	ownLong      int
	ownIsolated  int
	otherRunning int
	otherTokens  int64
	otherLong    int
	ownPrefill   [pwrequest.ClassCount]int64
	otherPrefill [pwrequest.ClassCount]int64

	// failures counts consecutive failed attempts, ejections the consecutive
	// ejections without a completed attempt in between. An ejected server is on
	// probation until its next completed attempt and runs one attempt at a time.
	failures     int
	ejections    int
	ejectedUntil time.Time
	ejected      bool
	probation    bool
	// Until heldUntil the server is picked for isolated requests only. The
	// field is zero when the server isn't held.
	heldUntil time.Time

	// penalty is the load, in tokens, that failed and refused attempts add to
	// the server. It decays from its value at penaltyAt.
	penalty   float64
	penaltyAt time.Time
	// slowdown is the moving average of the server's time per token divided by
	// the average time per token of all servers.
	slowdown float64

	// cacheSequence is the number of the last cache event. Incrementing
	// cacheEpoch invalidates everything recorded about the server's prefix cache.
	cacheSequence      uint64
	cacheSequenceKnown bool
	cacheEpoch         uint64
}

func (s *server) compareRank(o *server) int {
	return cmp.Or(cmp.Compare(s.rank, o.rank), cmp.Compare(s.id, o.id))
}

// runningCount returns the number of attempts on the server: those of this
// entry and, as of the last report, those of other entries.
func (s *server) runningCount() int { return s.otherRunning + len(s.attempts) }

// runningBound returns the number of attempts that may run at once.
func (s *server) runningBound() int {
	if s.probation {
		return min(1, s.rep.RunningBound)
	}
	return s.rep.RunningBound
}

// hasLongPrefill reports whether a long prompt is in prefill, so that shorter
// prompts wait for its chunks.
func (s *server) hasLongPrefill() bool {
	return s.rep.LongPrefill || s.ownPrefill[pwrequest.Long] > 0
}

func (s *server) hasLongPrompt() bool { return s.otherLong+s.ownLong > 0 }

// reservedTokens returns the reserved memory, in tokens: that of this entry's
// attempts and, as of the last report, that of other entries.
func (s *server) reservedTokens() int64 { return s.otherTokens + s.ownTokens }

// load returns the load of the server, in tokens, for a request of a class. It
// consists of this entry's own work and the work of others in the last report,
// whose weight decays with the age of the report. Prefill of the same or a
// shorter class runs first and counts in full. Prefill of longer classes counts
// only up to the chunk in progress, because engines honour priorities. Attempts
// in decode count with decodeWeight, because they lengthen each step only a little.
func (s *server) load(now time.Time, cfg *Config, class pwrequest.Class) float64 {
	l := s.prefillAhead(now, cfg, class)
	l += decodeWeight * (float64(s.ownTokens) + s.reportWeight(now, cfg)*float64(s.otherTokens))
	if s.penalty > 0 {
		l += s.penalty * decayFactor(now.Sub(s.penaltyAt), cfg.FailurePenaltyHalfLife)
	}
	return l
}

// reportWeight returns the weight of the last report at its current age, from 1
// for a new one towards 0. The age counts from the earlier of the times of
// sending and receipt, so that a sender's fast clock can't make a report younger.
func (s *server) reportWeight(now time.Time, cfg *Config) float64 {
	sent := s.rep.SentAt
	if s.receivedAt.Before(sent) {
		sent = s.receivedAt
	}
	return decayFactor(now.Sub(sent), cfg.ReportHalfLife)
}

// prefillAhead returns the prefill work, in tokens, that the engine does before
// that of a new request of a class.
func (s *server) prefillAhead(now time.Time, cfg *Config, class pwrequest.Class) (l float64) {
	weight := s.reportWeight(now, cfg)
	var longer float64
	for c := range s.ownPrefill {
		n := float64(s.ownPrefill[c]) + weight*float64(s.otherPrefill[c])
		if pwrequest.Class(c) <= class {
			l += n
		} else {
			longer += n
		}
	}
	if class < pwrequest.Long && s.hasLongPrefill() {
		longer = chunkTokens
	}
	return l + min(longer, chunkTokens)
}

// decayFactor returns the factor by which a value has decayed at an age.
func decayFactor(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()/halfLife.Seconds()))
}

// addPenalty adds tokens to what is left of the penalty at now.
func (s *server) addPenalty(now time.Time, tokens float64, cfg *Config) {
	s.penalty = s.penalty*decayFactor(now.Sub(s.penaltyAt), cfg.FailurePenaltyHalfLife) + tokens
	s.penaltyAt = now
}

// state returns why the server can't be picked for any ordinary request, or eligible.
func (s *server) state() exclusion {
	switch {
	case s.markedOut || !s.rep.InService:
		return outOfService
	case s.ejected:
		return ejected
	case s.reportExpired:
		return reportExpired
	case !s.heldUntil.IsZero():
		return heldForIsolated
	case s.ownIsolated > 0 || s.runningCount() >= s.runningBound():
		return atRunningBound
	default:
		return eligible
	}
}

// isUsable reports whether the server can be picked now or as soon as a running
// attempt ends.
func (s *server) isUsable() bool {
	state := s.state()
	return state == eligible || state == atRunningBound
}

// updateIndexes updates the indexes of all groups of the server after its state
// has changed.
func (s *server) updateIndexes() {
	for _, m := range s.members {
		m.g.setUsable(m, s.isUsable())
		s.updateIndex(m)
	}
}

// updateIndex updates the state and the pools of one member. A server that is
// eligible for long prompts and runs none keeps its last place free of shorter
// ones, so that a long prompt finds a place even when short load saturates the
// fleet.
func (s *server) updateIndex(m *member) {
	state := s.state()
	m.g.countByState[m.state]--
	m.g.countByState[state]++
	m.state = state
	m.g.setHasLongPrompt(m, m.usable && s.hasLongPrompt())
	isEligible, bound := state == eligible, s.runningBound()
	if m.longEligible && bound >= 2 && !s.hasLongPrompt() {
		bound--
	}
	hasRoom := isEligible && s.runningCount() < bound
	m.g.setPools(m, [poolCount]bool{
		poolNoLongPrefill: hasRoom && !s.hasLongPrefill(),
		poolLongPrefill:   hasRoom && s.hasLongPrefill(),
		poolForLong:       isEligible && (m.longEligible || s.hasLongPrompt()),
		poolIdle:          (isEligible || state == heldForIsolated) && s.runningCount() == 0 && s.runningBound() > 0,
	})
}

// markReportExpired takes a server whose last report is too old out of the
// indexes until its next report.
func (s *server) markReportExpired() {
	s.reportExpired = true
	s.updateIndexes()
}
