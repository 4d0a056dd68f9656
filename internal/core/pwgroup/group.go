// Package pwgroup coordinates a prompt that is larger than one engine's memory
// on several backend servers. It is a state machine: the coordinator passes in
// what happened and carries out the returned actions.
//
// All members are reserved or none. A group that waits holds nothing, so that
// groups cannot deadlock, and the agents keep space free for the oldest refused
// group, so that groups do not take turns in refusing each other.
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
//	// g.Next(), until the action Finish
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
	// DefaultSegmentTokens is the largest segment, the most work that is
	// repeated when a member dies after a checkpoint.
	DefaultSegmentTokens = 50_000
	// DefaultMaxPromptTokens is the longest prompt.
	DefaultMaxPromptTokens = 4_000_000
	// DefaultMaxMembers is the largest number of members.
	DefaultMaxMembers = 16
	// DefaultMinBackoff and DefaultMaxBackoff bound the wait after a refusal.
	// The largest is below the time that an agent remembers a refused group.
	DefaultMinBackoff = 100 * time.Millisecond
	DefaultMaxBackoff = 2 * time.Second
	// DefaultReserveTimeout is the time to wait for one member's reply.
	DefaultReserveTimeout = 2 * time.Second
	// DefaultAvoidTime is the time that a lost or leaving server is not chosen.
	DefaultAvoidTime = 10 * time.Second
	// DefaultMaxLostMembers is the number of lost members that are replaced. The next
	// loss fails the group, because the prompt may be what kills its members.
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
	// AvoidTime is the time that a lost or leaving server is not chosen.
	AvoidTime time.Duration
	// MaxLostMembers is the number of lost members that are replaced; the next loss
	// fails the group.
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
	// ID must differ between coordinators of the same request, so that the
	// rounds of one cannot be mistaken for those of the other.
	ID           pwmemory.GroupID
	PromptTokens int64
	MaxTokens    int64
	AdmittedAt   time.Time
	Deadline     time.Time
	// Seed makes the jitter differ between groups.
	Seed uint64
	// Resume is the last checkpoint of an earlier coordinator, if any. Segments
	// that do not match this group's are prefilled again.
	Resume Checkpoint
}

type phase uint8

const (
	// waiting holds nothing until wake.
	waiting phase = iota
	// reserving has asked one server and awaits its reply until wake.
	reserving
	// running holds all members.
	running
	finished
)

// member is the server that fills one part of the layout.
type member struct {
	server pwrequest.BackendServerID
	round  uint64
	fence  uint64
	held   bool
}

type segment struct {
	done   bool
	handle string
}

// maxDoublings bounds the exponent of the backoff.
const maxDoublings = 16

// none is the index of no member or segment.
const none = -1

// Group is the state of one prompt.
type Group struct {
	cfg        Config
	p          Params
	rng        *rand.Rand
	layout     layout
	phase      phase
	wake       time.Time
	tries      int
	round      uint64
	lost       int
	candidates []Candidate
	avoid      map[pwrequest.BackendServerID]time.Time
	// tried holds the servers that did not become a replacement.
	tried   map[pwrequest.BackendServerID]bool
	members []member
	// asked is the member whose reply is awaited.
	asked      int
	segments   []segment
	inFlight   int
	generating bool
	// sent is set once any work has reached a member.
	sent bool
	// replacing is set once all members were held, until they are released.
	replacing bool
	// refusal is the last reason why a round failed.
	refusal *pwverdict.Error
	// stored counts the segments in the last checkpoint; storing is the pending
	// one.
	stored  int
	storing Checkpoint
	out     []Action
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
		cfg:      cfg,
		p:        p,
		rng:      rand.New(rand.NewPCG(p.Seed, p.Seed)),
		layout:   l,
		wake:     now,
		avoid:    map[pwrequest.BackendServerID]time.Time{},
		tried:    map[pwrequest.BackendServerID]bool{},
		members:  make([]member, len(l.members)),
		asked:    none,
		segments: make([]segment, len(l.ends)),
		inFlight: none,
	}
	for i := range min(len(p.Resume.Ends), len(p.Resume.Handles), len(l.ends)) {
		if p.Resume.Ends[i] != l.ends[i] {
			break
		}
		g.segments[i] = segment{
			done:   true,
			handle: p.Resume.Handles[i],
		}
		g.stored = i + 1
	}
	return g, nil
}

// MemberCount returns the number of members the prompt needs.
func (g *Group) MemberCount() int { return len(g.members) }

// SegmentCount returns the number of segments of the prompt.
func (g *Group) SegmentCount() int { return len(g.segments) }

// Finished reports whether Finish was returned.
func (g *Group) Finished() bool { return g.phase == finished }

// NextTick returns the time at which the group needs a Tick.
func (g *Group) NextTick() time.Time {
	if g.phase == running || g.p.Deadline.Before(g.wake) {
		return g.p.Deadline
	}
	return g.wake
}

// Handle applies one input and returns what to do, in any order. After Finish
// only a late grant leads to one more action, its release.
func (g *Group) Handle(now time.Time, in Input) []Action {
	g.out = nil
	in.apply(g, now)
	if g.phase != finished && !now.Before(g.p.Deadline) {
		g.finish(g.failure(pwverdict.CauseDeadlineExceeded, "the deadline has passed"))
	}
	g.advance(now)
	return g.out
}

func (g *Group) emit(a Action) { g.out = append(g.out, a) }

// advance starts whatever can be done next.
func (g *Group) advance(now time.Time) {
	switch g.phase {
	case waiting:
		if !now.Before(g.wake) {
			g.askNext(now)
		}
	case reserving:
		if !now.Before(g.wake) {
			g.replyLost(now)
		}
	}
	if g.phase == running {
		g.runNext()
	}
}

// choose assigns candidates to the members without a server, in the order of
// server identifiers, and starts a new round. It returns false when there are
// too few candidates.
func (g *Group) choose(now time.Time) bool {
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
		if !used[c.Server] && !g.tried[c.Server] && !now.Before(g.avoid[c.Server]) {
			list = append(list, c)
		}
	}
	if len(list) < len(open) {
		return false
	}
	// A server that refused earlier keeps space free for this group, so it is
	// preferred among those that look equally able. The hash makes groups that
	// arrive together choose different servers.
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
	return xxhash.Sum64String(string(g.p.ID) + "\x00" + string(server))
}

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

// askNext asks the first open member in the order of server identifiers, after
// choosing servers if a member has none.
func (g *Group) askNext(now time.Time) {
	open := func(m member) bool { return !m.held }
	chosen := func(m member) bool { return m.held || (m.server != "" && m.round == 0) }
	if !slices.ContainsFunc(g.members, open) {
		g.phase = running
		g.replacing = true
		g.tries = 0
		clear(g.tried)
		return
	}
	if !lo.EveryBy(g.members, chosen) && !g.choose(now) {
		g.refusal = pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
			"%d members are needed, %d candidates are known", len(g.members), len(g.candidates))
		g.giveUpRound(now)
		return
	}
	g.asked = none
	for i, m := range g.members {
		if open(m) && (g.asked == none || m.server < g.members[g.asked].server) {
			g.asked = i
		}
	}
	m := &g.members[g.asked]
	m.round = g.round
	g.phase = reserving
	g.wake = now.Add(g.cfg.ReserveTimeout)
	g.emit(Reserve{
		Server:     m.server,
		Group:      g.p.ID,
		Round:      m.round,
		Tokens:     g.layout.members[g.asked].tokens,
		AdmittedAt: g.p.AdmittedAt,
		Deadline:   g.p.Deadline,
	})
}

// replyLost cancels the reservation that was not answered.
func (g *Group) replyLost(now time.Time) {
	i := g.asked
	g.release(i)
	g.notReserved(now, i)
}

// notReserved handles a member that was not granted. A first reservation gives
// everything back at once. A replacement is tried on the other candidates first,
// because that does not wait while members are held.
func (g *Group) notReserved(now time.Time, i int) {
	g.asked = none
	if !g.replacing {
		g.giveUpRound(now)
		return
	}
	g.tried[g.members[i].server] = true
	g.members[i] = member{}
	g.askNext(now)
}

// giveUpRound releases all members and waits.
func (g *Group) giveUpRound(now time.Time) {
	for i := range g.members {
		g.release(i)
	}
	g.replacing = false
	clear(g.tried)
	g.backOff(now)
}

// release gives back one member, or cancels its unanswered reservation. The
// server stays noted as the previous choice.
func (g *Group) release(i int) {
	m := &g.members[i]
	if m.held || i == g.asked {
		g.emit(Release{
			Server: m.server,
			Group:  g.p.ID,
			Round:  m.round,
			Fence:  m.fence,
		})
	}
	if i == g.asked {
		g.asked = none
	}
	m.held, m.fence = false, 0
	g.forget(i)
}

// forget marks the segments of a member as not done unless a checkpoint has
// them.
func (g *Group) forget(i int) {
	p := g.layout.members[i]
	for s := max(p.first, g.stored); s < p.last; s++ {
		g.segments[s] = segment{}
	}
	if g.inFlight != none && g.layout.memberOf(g.inFlight) == i {
		g.inFlight = none
	}
	if i == len(g.members)-1 {
		g.generating = false
	}
}

// backOff waits with jitter, at least as long as the last refusal advised.
func (g *Group) backOff(now time.Time) {
	limit := g.cfg.MinBackoff << min(g.tries, maxDoublings)
	limit = max(min(limit, g.cfg.MaxBackoff), 1)
	g.tries++
	wait := limit/2 + time.Duration(g.rng.Int64N(int64(limit/2)+1))
	if g.refusal != nil {
		wait = max(wait, g.refusal.RetryAfter())
	}
	g.phase = waiting
	g.wake = now.Add(min(wait, g.cfg.MaxBackoff))
}

// runNext starts the first segment that is not done, or the generation.
func (g *Group) runNext() {
	if g.inFlight != none || g.generating {
		return
	}
	next := slices.IndexFunc(g.segments, func(s segment) bool { return !s.done })
	g.sent = true
	if next == none {
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
	g.inFlight = next
	g.emit(RunSegment{
		Server:  m.server,
		Fence:   m.fence,
		Segment: next,
		Start:   g.layout.start(next),
		End:     g.layout.ends[next],
		Handles: g.handles(next),
	})
}

func (g *Group) handles(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = g.segments[i].handle
	}
	return out
}

// writeCheckpoint stores the finished segments at the front of the prompt. One
// write is pending at a time; the next one contains what came in between.
func (g *Group) writeCheckpoint() {
	n := slices.IndexFunc(g.segments, func(s segment) bool { return !s.done })
	if n == none {
		n = len(g.segments)
	}
	if len(g.storing.Ends) > 0 || n <= g.stored {
		return
	}
	g.storing = Checkpoint{
		Ends:    slices.Clone(g.layout.ends[:n]),
		Handles: g.handles(n),
	}
	g.emit(WriteCheckpoint{
		Checkpoint: g.storing,
	})
}

// loseMember replaces a member that died or failed.
func (g *Group) loseMember(now time.Time, i int) {
	g.avoid[g.members[i].server] = now.Add(g.cfg.AvoidTime)
	g.release(i)
	g.members[i] = member{}
	g.lost++
	if g.lost > g.cfg.MaxLostMembers {
		g.finish(g.failure(pwverdict.CauseEngineFailed, "%d members were lost", g.lost))
		return
	}
	// While another member is being asked, its reply starts the replacement.
	if g.phase == running {
		g.askNext(now)
	}
}

// heldBy returns the member that holds a reservation, or none.
func (g *Group) heldBy(server pwrequest.BackendServerID, fence uint64) int {
	return slices.IndexFunc(g.members, func(m member) bool {
		return m.held && m.server == server && m.fence == fence
	})
}

// awaits reports whether a reply to Reserve is the one that is awaited.
func (g *Group) awaits(server pwrequest.BackendServerID, round uint64) bool {
	return g.phase == reserving && g.members[g.asked].server == server && g.members[g.asked].round == round
}

// failure is NotRun as long as no member got any work.
func (g *Group) failure(cause pwverdict.Cause, format string, args ...any) *pwverdict.Error {
	v := pwverdict.NotRun
	if g.sent {
		v = pwverdict.MayHaveRun
	}
	if g.refusal != nil {
		return pwverdict.Wrap(g.refusal, v, cause, format, args...)
	}
	return pwverdict.New(v, cause, format, args...)
}

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
	for server, until := range g.avoid {
		if !now.Before(until) {
			delete(g.avoid, server)
		}
	}
}

func (Tick) apply(*Group, time.Time) {}

func (in MemberReserved) apply(g *Group, now time.Time) {
	if g.awaits(in.Server, in.Round) {
		m := &g.members[g.asked]
		m.held, m.fence = true, in.Fence
		g.askNext(now)
		return
	}
	if g.heldBy(in.Server, in.Fence) != none {
		return
	}
	// The reply came after the group had given up on it.
	g.emit(Release{
		Server: in.Server,
		Group:  g.p.ID,
		Round:  in.Round,
		Fence:  in.Fence,
	})
}

func (in MemberRefused) apply(g *Group, now time.Time) {
	if !g.awaits(in.Server, in.Round) {
		return
	}
	g.refusal = in.Err
	if in.Err != nil && leaving(in.Err.Cause()) {
		g.avoid[in.Server] = now.Add(g.cfg.AvoidTime)
	}
	// The refusing server holds nothing, so nothing is released there.
	i := g.asked
	g.asked = none
	g.notReserved(now, i)
}

func leaving(c pwverdict.Cause) bool {
	return c == pwverdict.CauseDraining || c == pwverdict.CauseOutOfService
}

func (in ReserveUnanswered) apply(g *Group, now time.Time) {
	if g.awaits(in.Server, in.Round) {
		g.replyLost(now)
	}
}

func (in SegmentDone) apply(g *Group, _ time.Time) {
	if in.Segment != g.inFlight || g.layout.memberOf(in.Segment) != g.heldBy(in.Server, in.Fence) {
		return
	}
	g.segments[in.Segment] = segment{
		done:   true,
		handle: in.Handle,
	}
	g.inFlight = none
	g.writeCheckpoint()
}

func (in SegmentFailed) apply(g *Group, now time.Time) {
	if i := g.heldBy(in.Server, in.Fence); i != none && in.Segment == g.inFlight {
		g.loseMember(now, i)
	}
}

func (in MemberLost) apply(g *Group, now time.Time) {
	if i := g.heldBy(in.Server, in.Fence); i != none {
		g.loseMember(now, i)
	}
}

func (in CheckpointDone) apply(g *Group, _ time.Time) {
	n := len(g.storing.Ends)
	if g.phase == finished || n == 0 || in.SegmentCount != n {
		return
	}
	if in.Stored {
		// A member that died during the write took segments with it that the
		// checkpoint has; they need no repetition.
		for i, handle := range g.storing.Handles {
			if !g.segments[i].done {
				g.segments[i] = segment{
					done:   true,
					handle: handle,
				}
			}
		}
		if g.inFlight < n {
			g.inFlight = none
		}
		g.stored = n
	}
	g.storing = Checkpoint{}
	if in.Stored {
		g.writeCheckpoint()
	}
}

func (in GenerationDone) apply(g *Group, _ time.Time) {
	if i := g.heldBy(in.Server, in.Fence); i == len(g.members)-1 && g.generating {
		g.finish(nil)
	}
}

func (Cancelled) apply(g *Group, _ time.Time) {
	if g.phase != finished {
		g.finish(g.failure(pwverdict.CauseCancelled, "cancelled by the caller"))
	}
}
