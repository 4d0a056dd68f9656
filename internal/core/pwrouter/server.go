package pwrouter

import (
	"cmp"
	"math"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// attempt is an attempt of this entry that runs on a server.
type attempt struct {
	class    pwrequest.Class
	work     int64
	pending  int64 // prompt tokens without a first token
	started  time.Time
	isolated bool
	traffic  *traffic
}

// server is what the router knows of one backend server.
type server struct {
	id         pwrequest.BackendServerID
	rank       uint64
	rep        Report
	receivedAt time.Time
	members    []*member
	out        bool
	stale      bool

	// Own attempts, and what the last report showed beside them. Own work at
	// the time of receipt is taken off the report, so that no clock but this
	// one is compared.
	attempts     map[pwrequest.ID]attempt
	ownTokens    int64
	ownLong      int
	isolated     int
	otherRunning int
	otherTokens  int64
	otherLong    int
	ownPending   [pwrequest.ClassCount]int64
	otherPending [pwrequest.ClassCount]int64

	// failures counts failed attempts in a row, setbacks the times in a row
	// that the server was set aside. Until the next success it is on probation
	// and receives one request at a time.
	failures   int
	setbacks   int
	asideUntil time.Time
	waking     bool
	probation  bool
	// heldUntil is the end of the time in which only isolated requests are
	// picked for the server; it is zero when the server isn't held.
	heldUntil time.Time

	// penalty is the load left behind by failed attempts, as of penaltyAt.
	penalty   float64
	penaltyAt time.Time
	// slowness is the average ratio of its time per token to that of all servers.
	slowness float64

	// Cache events seen so far. epoch changes when the known prefixes can't be
	// trusted any more.
	sequence      uint64
	sequenceKnown bool
	epoch         uint64
}

func (s *server) compareRank(o *server) int {
	return cmp.Or(cmp.Compare(s.rank, o.rank), cmp.Compare(s.id, o.id))
}

// running returns the number of attempts that are taken to run.
func (s *server) running() int { return s.otherRunning + len(s.attempts) }

// bound returns the number of attempts that may run.
func (s *server) bound() int {
	if s.probation {
		return min(1, s.rep.RunningBound)
	}
	return s.rep.RunningBound
}

// longPrefill reports whether short prompts wait for chunks of a long one.
func (s *server) longPrefill() bool {
	return s.rep.LongPrefill || s.ownPending[pwrequest.Long] > 0
}

func (s *server) hasLong() bool { return s.otherLong+s.ownLong > 0 }

// reserved returns the memory that is taken to be reserved, in tokens.
func (s *server) reserved() int64 { return s.otherTokens + s.ownTokens }

// load returns the work in tokens that a request of a class finds on the
// server: own work, and the work in the last report with a weight that halves
// with each half-life of its age. Prefill of the same or a shorter class goes
// first and counts in full; of longer classes only the chunk in progress does,
// because engines honour priorities. Work that has its first token only makes
// the steps a little longer.
func (s *server) load(now time.Time, cfg *Config, class pwrequest.Class) float64 {
	l := s.prefillAhead(now, cfg, class)
	l += decodeWeight * (float64(s.ownTokens) + s.weight(now, cfg)*float64(s.otherTokens))
	if s.penalty > 0 {
		l += s.penalty * halved(now.Sub(s.penaltyAt), cfg.FailurePenaltyHalfLife)
	}
	return l
}

// weight returns how much the last report counts at its age.
func (s *server) weight(now time.Time, cfg *Config) float64 {
	sent := s.rep.SentAt
	if s.receivedAt.Before(sent) {
		sent = s.receivedAt
	}
	return halved(now.Sub(sent), cfg.ReportHalfLife)
}

// prefillAhead returns the prefill work that goes before a request of a class.
func (s *server) prefillAhead(now time.Time, cfg *Config, class pwrequest.Class) (l float64) {
	weight := s.weight(now, cfg)
	var longer float64
	for c := range s.ownPending {
		n := float64(s.ownPending[c]) + weight*float64(s.otherPending[c])
		if pwrequest.Class(c) <= class {
			l += n
		} else {
			longer += n
		}
	}
	if class < pwrequest.Long && s.longPrefill() {
		longer = chunkTokens
	}
	return l + min(longer, chunkTokens)
}

func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()/halfLife.Seconds()))
}

func (s *server) penalise(now time.Time, tokens float64, cfg *Config) {
	s.penalty = s.penalty*halved(now.Sub(s.penaltyAt), cfg.FailurePenaltyHalfLife) + tokens
	s.penaltyAt = now
}

// state returns why the server can't be picked for any request, or open.
func (s *server) state() exclusion {
	switch {
	case s.out || !s.rep.InService:
		return outOfService
	case s.waking:
		return setAside
	case s.stale:
		return noReport
	case !s.heldUntil.IsZero():
		return held
	case s.isolated > 0 || s.running() >= s.bound():
		return full
	default:
		return open
	}
}

// usable reports whether the server receives work, now or when it has room.
func (s *server) usable() bool {
	st := s.state()
	return st == open || st == full
}

// refresh updates all indexes after a change of the server.
func (s *server) refresh() {
	for _, m := range s.members {
		m.g.setRanked(m, s.usable())
		s.index(m)
	}
}

// index updates the pools of one member. Servers in the zone for long prompts
// keep their last place free from shorter ones, so that a long prompt finds a
// place under saturating short load.
func (s *server) index(m *member) {
	st := s.state()
	m.g.states[m.state]--
	m.g.states[st]++
	m.state = st
	m.g.setLong(m, m.ranked && s.hasLong())
	isOpen, bound := st == open, s.bound()
	if m.zone && bound >= 2 && !s.hasLong() {
		bound--
	}
	room := isOpen && s.running() < bound
	m.g.place(m, [poolCount]bool{
		poolClear:  room && !s.longPrefill(),
		poolShared: room && s.longPrefill(),
		poolLong:   isOpen && (m.zone || s.hasLong()),
		poolIdle:   (isOpen || st == held) && s.running() == 0 && s.bound() > 0,
	})
}

// expire takes a server without a recent report out of the indexes, until its
// next report.
func (s *server) expire() {
	s.stale = true
	s.refresh()
}
