// Package pwgroup coordinates several backend servers that serve a prompt larger
// than one engine's memory. It is a state machine without I/O: the coordinator
// passes in events and carries out the returned actions.
//
// A group reserves all of its members or none. A waiting group holds no
// reservation, so that groups cannot deadlock. The agents keep space free for the
// oldest refused group, so that groups cannot starve each other by turns.
//
// # Usage
//
//	g, err := pwgroup.New(pwgroup.Config{}, pwgroup.Params{
//		ID:           "g-1",
//		PromptTokens: 1_000_000,
//		MaxTokens:    4096,
//		AdmittedAt:   admittedAt,
//		Deadline:     deadline,
//	}, now)
//	actions := g.Handle(now, pwgroup.Candidates{List: candidates})
//	// carry out the actions, pass their results to Handle, and a Tick at
//	// g.NextTick(), until the action Finish
//
// A Group is not safe for concurrent use.
package pwgroup

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwmemory"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Defaults of Config.
const (
	// DefaultMemberTokens is the largest memory of one member. It is the part of
	// 400,000 tokens that pwadmission leaves to long work by default.
	DefaultMemberTokens = 340_000
	// DefaultSegmentTokens is the largest segment: the most prefill that is
	// repeated when a member dies after a checkpoint.
	DefaultSegmentTokens = 50_000
	// DefaultMaxPromptTokens is the longest prompt.
	DefaultMaxPromptTokens = 4_000_000
	// DefaultMaxMembers is the largest number of members.
	DefaultMaxMembers = 16
	// DefaultMinBackoff and DefaultMaxBackoff bound the wait after a refusal. The
	// maximum is below the time for which an agent keeps space free for a refused
	// group.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	// DefaultReserveTimeout is the time to wait for one member's reply.
	DefaultReserveTimeout = 2 * time.Second
	// DefaultAvoidTime is the time for which a server is not chosen after its
	// member was lost or it refused because it is leaving service.
	DefaultAvoidTime = 10 * time.Second
	// DefaultMaxLostMembers is the number of lost members that are replaced. The
	// next loss fails the group, because the prompt itself may crash the engines.
	DefaultMaxLostMembers = 8
)

// Config sets sizes and limits. Zero values take the defaults.
type Config struct {
	// MemberTokens is the largest memory of one member, in tokens.
	MemberTokens int64
	// SegmentTokens is the largest segment, in prompt tokens.
	SegmentTokens int64
	// MaxPromptTokens is the longest prompt.
	MaxPromptTokens int64
	// MaxMembers is the largest number of members.
	MaxMembers int
	// MinBackoff and MaxBackoff bound the wait after a refusal.
	MinBackoff, MaxBackoff time.Duration
	// ReserveTimeout is the time to wait for one member's reply.
	ReserveTimeout time.Duration
	// AvoidTime is the time for which a server is not chosen after its member was
	// lost or it refused because it is leaving service.
	AvoidTime time.Duration
	// MaxLostMembers is the number of lost members that are replaced. The next
	// loss fails the group.
	MaxLostMembers int
}

func (c Config) withDefaults() Config {
	c.MemberTokens = cmp.Or(c.MemberTokens, DefaultMemberTokens)
	c.SegmentTokens = cmp.Or(c.SegmentTokens, DefaultSegmentTokens)
	c.MaxPromptTokens = cmp.Or(c.MaxPromptTokens, DefaultMaxPromptTokens)
	c.MaxMembers = cmp.Or(c.MaxMembers, DefaultMaxMembers)
	c.MinBackoff = cmp.Or(c.MinBackoff, DefaultMinBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, DefaultMaxBackoff)
	c.ReserveTimeout = cmp.Or(c.ReserveTimeout, DefaultReserveTimeout)
	c.AvoidTime = cmp.Or(c.AvoidTime, DefaultAvoidTime)
	c.MaxLostMembers = cmp.Or(c.MaxLostMembers, DefaultMaxLostMembers)
	return c
}

// Params describes one group.
type Params struct {
	// ID must differ between the coordinators of a request, so that a server
	// cannot confuse their rounds.
	ID           pwmemory.GroupID
	PromptTokens int64
	MaxTokens    int64
	AdmittedAt   time.Time
	Deadline     time.Time
	// Seed initialises the random backoff jitter. It should differ between groups.
	Seed uint64
	// Resume is the last checkpoint of an earlier coordinator, if any. Its segments
	// are used up to the first one that does not match this group's layout.
	Resume Checkpoint
}

// phase is the state of a group.
type phase uint8

const (
	// waiting means that no member is held and no reply is pending; the next
	// round starts at wakeAt.
	waiting phase = iota
	// reserving means that the reply of one server is pending until wakeAt.
	reserving
	// running means that all members are held.
	running
	// finished means that Finish was returned.
	finished
)

// member is the server chosen for one part of the layout. Its round is 0 until
// the server was asked for a reservation.
type member struct {
	server pwrequest.BackendServerID
	round  uint64
	fence  uint64
	held   bool
}

// segment is the state of one segment. Its handle names the exported KV cache.
type segment struct {
	done   bool
	handle string
}

// maxBackoffDoublings bounds the exponent of the backoff.
const maxBackoffDoublings = 16

// noIndex stands for the absence of a member or segment.
const noIndex = -1

// Group coordinates the members that serve one prompt.
type Group struct {
	cfg          Config
	params       Params
	rng          *rand.Rand
	layout       layout
	phase        phase
	wakeAt       time.Time
	failedRounds int
	round        uint64
	// lostMemberCount is the number of members lost so far.
	lostMemberCount int
	candidates      []Candidate
	avoidUntil      map[pwrequest.BackendServerID]time.Time
	// triedReplacements holds the servers that did not accept the replacement of a
	// lost member.
	triedReplacements map[pwrequest.BackendServerID]bool
	members           []member
	// pendingMember is the member whose reply to Reserve is pending, or noIndex.
	pendingMember int
	segments      []segment
	// runningSegment is the segment that is being prefilled, or noIndex.
	runningSegment int
	generating     bool
	// workSent is set once any work was sent to a member.
	workSent bool
	// replacing is set from the time all members are held until all are released.
	// Meanwhile a reservation replaces a lost member.
	replacing bool
	// lastRefusal is the last refusal of a server or for lack of candidates.
	lastRefusal *pwverdict.Error
	// storedSegments is the number of segments in the last stored checkpoint.
	// pendingCheckpoint is the one that is being written.
	storedSegments    int
	pendingCheckpoint Checkpoint
	actions           []Action
}

// New returns a group that waits for its first candidates.
func New(cfg Config, p Params, now time.Time) (*Group, error) {
	cfg = cfg.withDefaults()
	l, err := newLayout(cfg, p.PromptTokens, p.MaxTokens)
	if err != nil {
		return nil, err
	}
	if p.ID == "" || !p.Deadline.After(now) {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "group needs an identifier and a deadline in the future")
	}
	g := &Group{
		cfg:               cfg,
		params:            p,
		rng:               rand.New(rand.NewPCG(p.Seed, p.Seed)),
		layout:            l,
		wakeAt:            now,
		avoidUntil:        map[pwrequest.BackendServerID]time.Time{},
		triedReplacements: map[pwrequest.BackendServerID]bool{},
		members:           make([]member, len(l.members)),
		pendingMember:     noIndex,
		segments:          make([]segment, len(l.segmentEnds)),
		runningSegment:    noIndex,
	}
	for i := range min(len(p.Resume.Ends), len(p.Resume.Handles), len(l.segmentEnds)) {
		if p.Resume.Ends[i] != l.segmentEnds[i] {
			break
		}
		g.segments[i] = segment{
			done:   true,
			handle: p.Resume.Handles[i],
		}
		g.storedSegments = i + 1
	}
	return g, nil
}

// MemberCount returns the number of members that the prompt needs.
func (g *Group) MemberCount() int { return len(g.members) }

// SegmentCount returns the number of segments of the prompt.
func (g *Group) SegmentCount() int { return len(g.segments) }

// Finished reports whether Finish was returned.
func (g *Group) Finished() bool { return g.phase == finished }

// NextTick returns the time at which the group needs a Tick.
func (g *Group) NextTick() time.Time {
	if g.phase == running || g.params.Deadline.Before(g.wakeAt) {
		return g.params.Deadline
	}
	return g.wakeAt
}

// Handle applies one input and returns the actions to carry out, in any order.
// After Finish the only further action is the release of a late reservation.
func (g *Group) Handle(now time.Time, in Input) []Action {
	g.actions = nil
	in.apply(g, now)
	if g.phase != finished && !now.Before(g.params.Deadline) {
		g.finish(g.failure(pwverdict.CauseDeadlineExceeded, "the deadline has passed"))
	}
	g.advance(now)
	return g.actions
}

func (g *Group) emit(a Action) { g.actions = append(g.actions, a) }

// advance starts the next step of the phase if it is due.
func (g *Group) advance(now time.Time) {
	switch g.phase {
	case waiting:
		if !now.Before(g.wakeAt) {
			g.reserveNext(now)
		}
	case reserving:
		if !now.Before(g.wakeAt) {
			g.handleMissingReply(now)
		}
	}
	if g.phase == running {
		g.runNext()
	}
}

// chooseServers assigns candidates to the members that are not held, in the order
// of server identifiers, and starts a new round. It returns false when there are
// too few candidates.
func (g *Group) chooseServers(now time.Time) bool {
	used := map[pwrequest.BackendServerID]bool{}
	var open []int
	var need int64
	for i, m := range g.members {
		if m.held {
			used[m.server] = true
			continue
		}
		open = append(open, i)
		need = max(need, g.layout.members[i].tokens)
	}
	previous := map[pwrequest.BackendServerID]bool{}
	for _, i := range open {
		previous[g.members[i].server] = true
	}
	var list []Candidate
	for _, c := range g.candidates {
		if !used[c.Server] && !g.triedReplacements[c.Server] && !now.Before(g.avoidUntil[c.Server]) {
			list = append(list, c)
		}
	}
	if len(list) < len(open) {
		return false
	}
	// Among the servers with enough free memory, those of the previous round come
	// first, because a server that refused keeps space free for this group. The
	// hash makes groups that arrive together choose different servers.
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(
			-compareBool(a.FreeTokens >= need, b.FreeTokens >= need),
			-compareBool(previous[a.Server], previous[b.Server]),
			-cmp.Compare(a.FreeTokens, b.FreeTokens),
			cmp.Compare(g.hash(a.Server), g.hash(b.Server)),
			cmp.Compare(a.Server, b.Server),
		)
	})
	g.round++
	list = list[:len(open)]
	slices.SortFunc(list, func(a, b Candidate) int { return cmp.Compare(a.Server, b.Server) })
	for k, i := range open {
		g.members[i] = member{
			server: list[k].Server,
		}
	}
	return true
}

func (g *Group) hash(server pwrequest.BackendServerID) uint64 {
	return xxhash.Sum64String(string(g.params.ID) + "\x00" + string(server))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// reserveNext sends Reserve to the next server in the order of identifiers. It
// chooses servers first if a member has none, and starts to run when all members
// are held.
func (g *Group) reserveNext(now time.Time) {
	isOpen := func(m member) bool { return !m.held }
	hasServer := func(m member) bool { return m.held || (m.server != "" && m.round == 0) }
	if !slices.ContainsFunc(g.members, isOpen) {
		g.phase = running
		g.replacing = true
		g.failedRounds = 0
		clear(g.triedReplacements)
		return
	}
	if !lo.EveryBy(g.members, hasServer) && !g.chooseServers(now) {
		g.lastRefusal = pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
			"%d members are needed, %d candidates are known", len(g.members), len(g.candidates))
		g.abandonRound(now)
		return
	}
	g.pendingMember = noIndex
	for i, m := range g.members {
		if isOpen(m) && (g.pendingMember == noIndex || m.server < g.members[g.pendingMember].server) {
			g.pendingMember = i
		}
	}
	m := &g.members[g.pendingMember]
	m.round = g.round
	g.phase = reserving
	g.wakeAt = now.Add(g.cfg.ReserveTimeout)
	g.emit(Reserve{
		Server:     m.server,
		Group:      g.params.ID,
		Round:      m.round,
		Tokens:     g.layout.members[g.pendingMember].tokens,
		AdmittedAt: g.params.AdmittedAt,
		Deadline:   g.params.Deadline,
	})
}

// handleMissingReply cancels the reservation that got no reply.
func (g *Group) handleMissingReply(now time.Time) {
	i := g.pendingMember
	g.release(i)
	g.handleFailedReserve(now, i)
}

// handleFailedReserve continues after member i was not reserved. During the first
// reservation all members are released at once. A replacement is first tried on the
// other candidates: that does not wait while members are held.
func (g *Group) handleFailedReserve(now time.Time, i int) {
	g.pendingMember = noIndex
	if !g.replacing {
		g.abandonRound(now)
		return
	}
	g.triedReplacements[g.members[i].server] = true
	g.members[i] = member{}
	g.reserveNext(now)
}

// abandonRound releases all members and schedules the next round.
func (g *Group) abandonRound(now time.Time) {
	for i := range g.members {
		g.release(i)
	}
	g.replacing = false
	clear(g.triedReplacements)
	g.scheduleRetry(now)
}

// release releases one member or cancels its unanswered reservation. The member
// keeps its server as the previous choice.
func (g *Group) release(i int) {
	m := &g.members[i]
	if m.held || i == g.pendingMember {
		g.emit(Release{
			Server: m.server,
			Group:  g.params.ID,
			Round:  m.round,
			Fence:  m.fence,
		})
	}
	if i == g.pendingMember {
		g.pendingMember = noIndex
	}
	m.held, m.fence = false, 0
	g.resetSegments(i)
}

// resetSegments marks the segments of a member as not done, except those in the
// stored checkpoint.
func (g *Group) resetSegments(i int) {
	p := g.layout.members[i]
	for s := max(p.firstSegment, g.storedSegments); s < p.endSegment; s++ {
		g.segments[s] = segment{}
	}
	if g.runningSegment != noIndex && g.layout.memberOf(g.runningSegment) == i {
		g.runningSegment = noIndex
	}
	if i == len(g.members)-1 {
		g.generating = false
	}
}

// scheduleRetry starts the exponential backoff with jitter. The wait is at least
// the delay that the last refusal advised, up to MaxBackoff.
func (g *Group) scheduleRetry(now time.Time) {
	limit := g.cfg.MinBackoff << min(g.failedRounds, maxBackoffDoublings)
	limit = max(min(limit, g.cfg.MaxBackoff), 1)
	g.failedRounds++
	wait := limit/2 + time.Duration(g.rng.Int64N(int64(limit/2)+1))
	if g.lastRefusal != nil {
		wait = max(wait, g.lastRefusal.RetryAfter())
	}
	g.phase = waiting
	g.wakeAt = now.Add(min(wait, g.cfg.MaxBackoff))
}

// runNext starts the first segment that is not done, or the generation when all
// are done. It does nothing while a segment or the generation runs.
func (g *Group) runNext() {
	if g.runningSegment != noIndex || g.generating {
		return
	}
	next := slices.IndexFunc(g.segments, func(s segment) bool { return !s.done })
	g.workSent = true
	if next == noIndex {
		m := g.members[len(g.members)-1]
		g.generating = true
		g.emit(Generate{
			Server:  m.server,
			Fence:   m.fence,
			Handles: g.handles(len(g.segments)),
		})
		return
	}
	m := g.members[g.layout.memberOf(next)]
	g.runningSegment = next
	g.emit(RunSegment{
		Server:  m.server,
		Fence:   m.fence,
		Segment: next,
		Start:   g.layout.segmentStart(next),
		End:     g.layout.segmentEnds[next],
		Handles: g.handles(next),
	})
}

// handles returns the handles of the first n segments.
func (g *Group) handles(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = g.segments[i].handle
	}
	return out
}

// writeCheckpoint stores the uninterrupted sequence of finished segments from the
// start of the prompt. Only one write is pending at a time; the next one includes
// the segments that finished in the meantime.
func (g *Group) writeCheckpoint() {
	n := slices.IndexFunc(g.segments, func(s segment) bool { return !s.done })
	if n == noIndex {
		n = len(g.segments)
	}
	if len(g.pendingCheckpoint.Ends) > 0 || n <= g.storedSegments {
		return
	}
	g.pendingCheckpoint = Checkpoint{
		Ends:    slices.Clone(g.layout.segmentEnds[:n]),
		Handles: g.handles(n),
	}
	g.emit(WriteCheckpoint{
		Checkpoint: g.pendingCheckpoint,
	})
}

// handleLostMember releases a member that died or failed, and starts to replace it.
func (g *Group) handleLostMember(now time.Time, i int) {
	g.avoidUntil[g.members[i].server] = now.Add(g.cfg.AvoidTime)
	g.release(i)
	g.members[i] = member{}
	g.lostMemberCount++
	if g.lostMemberCount > g.cfg.MaxLostMembers {
		g.finish(g.failure(pwverdict.CauseEngineFailed, "%d members were lost", g.lostMemberCount))
		return
	}
	// If the reply of another member is pending, that reply starts the replacement.
	if g.phase == running {
		g.reserveNext(now)
	}
}

// memberIndex returns the member with the given reservation, or noIndex.
func (g *Group) memberIndex(server pwrequest.BackendServerID, fence uint64) int {
	return slices.IndexFunc(g.members, func(m member) bool {
		return m.held && m.server == server && m.fence == fence
	})
}

// isPendingReply reports whether the reply to a Reserve is the pending one.
func (g *Group) isPendingReply(server pwrequest.BackendServerID, round uint64) bool {
	return g.phase == reserving && g.members[g.pendingMember].server == server && g.members[g.pendingMember].round == round
}

// failure returns the group's error. Its verdict is NotRun if no work was sent to a
// member.
func (g *Group) failure(cause pwverdict.Cause, format string, args ...any) *pwverdict.Error {
	v := pwverdict.NotRun
	if g.workSent {
		v = pwverdict.MayHaveRun
	}
	if g.lastRefusal != nil {
		return pwverdict.Wrap(g.lastRefusal, v, cause, format, args...)
	}
	return pwverdict.New(v, cause, format, args...)
}

// finish releases all members and emits Finish.
func (g *Group) finish(err *pwverdict.Error) {
	for i := range g.members {
		g.release(i)
	}
	g.phase = finished
	g.emit(Finish{
		Err: err,
	})
}

func (in Candidates) apply(g *Group, now time.Time) {
	g.candidates = slices.Clone(in.List)
	for server, until := range g.avoidUntil {
		if !now.Before(until) {
			delete(g.avoidUntil, server)
		}
	}
}

func (Tick) apply(*Group, time.Time) {}

func (in MemberReserved) apply(g *Group, now time.Time) {
	if g.isPendingReply(in.Server, in.Round) {
		m := &g.members[g.pendingMember]
		m.held, m.fence = true, in.Fence
		g.reserveNext(now)
		return
	}
	if g.memberIndex(in.Server, in.Fence) != noIndex {
		return
	}
	// The reply came after the group had stopped waiting for it.
	g.emit(Release{
		Server: in.Server,
		Group:  g.params.ID,
		Round:  in.Round,
		Fence:  in.Fence,
	})
}

func (in MemberRefused) apply(g *Group, now time.Time) {
	if !g.isPendingReply(in.Server, in.Round) {
		return
	}
	g.lastRefusal = in.Err
	if in.Err != nil && isLeaving(in.Err.Cause()) {
		g.avoidUntil[in.Server] = now.Add(g.cfg.AvoidTime)
	}
	// A server that refused holds no reservation, so nothing is released there.
	i := g.pendingMember
	g.pendingMember = noIndex
	g.handleFailedReserve(now, i)
}

// isLeaving reports whether a server refused because it is leaving service.
func isLeaving(c pwverdict.Cause) bool {
	return c == pwverdict.CauseDraining || c == pwverdict.CauseOutOfService
}

func (in ReserveUnanswered) apply(g *Group, now time.Time) {
	if g.isPendingReply(in.Server, in.Round) {
		g.handleMissingReply(now)
	}
}

func (in SegmentDone) apply(g *Group, _ time.Time) {
	if in.Segment != g.runningSegment || g.layout.memberOf(in.Segment) != g.memberIndex(in.Server, in.Fence) {
		return
	}
	g.segments[in.Segment] = segment{
		done:   true,
		handle: in.Handle,
	}
	g.runningSegment = noIndex
	g.writeCheckpoint()
}

func (in SegmentFailed) apply(g *Group, now time.Time) {
	if i := g.memberIndex(in.Server, in.Fence); i != noIndex && in.Segment == g.runningSegment {
		g.handleLostMember(now, i)
	}
}

func (in MemberLost) apply(g *Group, now time.Time) {
	if i := g.memberIndex(in.Server, in.Fence); i != noIndex {
		g.handleLostMember(now, i)
	}
}

func (in CheckpointDone) apply(g *Group, _ time.Time) {
	n := len(g.pendingCheckpoint.Ends)
	if g.phase == finished || n == 0 || in.SegmentCount != n {
		return
	}
	if in.Stored {
		// If a member died during the write, its segments were reset. The
		// checkpoint contains them, so they need not run again.
		for i, handle := range g.pendingCheckpoint.Handles {
			if !g.segments[i].done {
				g.segments[i] = segment{
					done:   true,
					handle: handle,
				}
			}
		}
		if g.runningSegment < n {
			g.runningSegment = noIndex
		}
		g.storedSegments = n
	}
	g.pendingCheckpoint = Checkpoint{}
	if in.Stored {
		g.writeCheckpoint()
	}
}

func (in GenerationDone) apply(g *Group, _ time.Time) {
	if i := g.memberIndex(in.Server, in.Fence); i == len(g.members)-1 && g.generating {
		g.finish(nil)
	}
}

func (Cancelled) apply(g *Group, _ time.Time) {
	if g.phase != finished {
		g.finish(g.failure(pwverdict.CauseCancelled, "cancelled by the caller"))
	}
}
