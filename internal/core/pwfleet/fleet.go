// Package pwfleet decides where requests go. It holds what one process knows
// about the backend servers: the platform's entries, what the process itself
// has sent, what its peers have sent, and how servers behaved. It does no I/O.
//
// Short prompts are packed onto few engines, in an order that all processes
// share, so that the other engines are free to read long prompts in large
// parts without stretching the pauses of short answers. The border between the
// two moves with the demand, because it is only the place up to which short
// prompts have filled the order.
//
// # Usage
//
//	f := pwfleet.New(pwfleet.Config{})
//	f.Upsert(now, server)
//	plan, err := f.Plan(now, pwfleet.Request{Service: "lantern", Tokens: 133_000})
//	b := f.Start(now, plan)
//	b.FirstToken()
//	b.End()
package pwfleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of a Config.
const (
	// DefaultShortPrefillMS is the reading time up to which a prompt counts as short.
	DefaultShortPrefillMS = 150.0
	// DefaultShortPassMS bounds the pass of an engine that gets a short prompt;
	// it leaves half of a pause of 250 ms for what arrives later.
	DefaultShortPassMS = 150.0
	// DefaultPartPrefillMS is the reading time of a part that long prompts are split
	// into; it fits into a pass of an engine that writes short answers.
	DefaultPartPrefillMS = 140.0
	// DefaultMaxPrefillMS bounds the reading on an engine, so that what comes next
	// still has time for its first token.
	DefaultMaxPrefillMS = 700.0
	// DefaultMaxHeavyPrefillMS bounds it on engines that write nothing, for prompts whose
	// parts are larger.
	DefaultMaxHeavyPrefillMS = 1500.0
	// DefaultTightGap, DefaultMediumGap and DefaultLooseGap are the longest pauses
	// of three kinds of streams: the platform's short, middle and long requests.
	DefaultTightGap  = 250 * time.Millisecond
	DefaultMediumGap = 600 * time.Millisecond
	DefaultLooseGap  = time.Second
	// DefaultGapShare is the part of a pause that is planned; the rest covers
	// what other processes send at the same moment.
	DefaultGapShare = 0.85
	// DefaultFailurePenaltyMS is the room that a failure takes from an engine.
	DefaultFailurePenaltyMS = 300.0
	// DefaultMaxParts is the largest number of engines that read one prompt:
	// the platform takes 16 helpers beside the first.
	DefaultMaxParts = 17
	// DefaultShortFill is the share of an engine's slots that short answers fill.
	DefaultShortFill = 0.75
	// DefaultProcessesPerEngine spreads the short prompts that many processes
	// send before they hear of each other: one more engine for so many of them.
	DefaultProcessesPerEngine = 4
	// DefaultPeerExpiry is the age at which a peer's load no longer counts.
	DefaultPeerExpiry = time.Second
	// DefaultMinSuspectDuration and DefaultMaxSuspect bound the time that a server gets
	// no work after it failed.
	DefaultMinSuspectDuration = 400 * time.Millisecond
	DefaultMaxSuspectDuration = 4 * time.Second
	// DefaultHelpCooldown is the time that an engine reads no parts after it
	// refused one; a leaving server is gone by then.
	DefaultHelpCooldown = 2 * time.Second
	// DefaultFullCooldown is the time that a server gets no work after it was full.
	DefaultFullCooldown = 60 * time.Millisecond
)

// Config configures a Fleet. Zero fields take their defaults.
type Config struct {
	ShortPrefillMS    float64
	ShortPassMS       float64
	PartPrefillMS     float64
	MaxPrefillMS      float64
	TightGap          time.Duration
	MediumGap         time.Duration
	LooseGap          time.Duration
	GapShare          float64
	FailurePenaltyMS  float64
	MaxHeavyPrefillMS float64
	MaxParts          int
	ShortFill         float64
	// RandIntN returns a number in [0, n); the default is random.
	RandIntN           func(n int) int
	ProcessesPerEngine int
	PeerExpiry         time.Duration
	MinSuspectDuration time.Duration
	MaxSuspectDuration time.Duration
	HelpCooldown       time.Duration
	FullCooldown       time.Duration
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.ShortPrefillMS, DefaultShortPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.ShortPassMS, DefaultShortPassMS)
	pwdefault.SetUnlessPositive(&cfg.PartPrefillMS, DefaultPartPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.MaxPrefillMS, DefaultMaxPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.TightGap, DefaultTightGap)
	pwdefault.SetUnlessPositive(&cfg.MediumGap, DefaultMediumGap)
	pwdefault.SetUnlessPositive(&cfg.LooseGap, DefaultLooseGap)
	pwdefault.SetUnlessPositive(&cfg.GapShare, DefaultGapShare)
	pwdefault.SetUnlessPositive(&cfg.FailurePenaltyMS, DefaultFailurePenaltyMS)
	pwdefault.SetUnlessPositive(&cfg.MaxHeavyPrefillMS, DefaultMaxHeavyPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.MaxParts, DefaultMaxParts)
	pwdefault.SetUnlessPositive(&cfg.ShortFill, DefaultShortFill)
	pwdefault.SetUnlessPositive(&cfg.ProcessesPerEngine, DefaultProcessesPerEngine)
	if cfg.RandIntN == nil {
		cfg.RandIntN = rand.IntN
	}
	pwdefault.SetUnlessPositive(&cfg.PeerExpiry, DefaultPeerExpiry)
	pwdefault.SetUnlessPositive(&cfg.MinSuspectDuration, DefaultMinSuspectDuration)
	pwdefault.SetUnlessPositive(&cfg.MaxSuspectDuration, DefaultMaxSuspectDuration)
	pwdefault.SetUnlessPositive(&cfg.HelpCooldown, DefaultHelpCooldown)
	pwdefault.SetUnlessPositive(&cfg.FullCooldown, DefaultFullCooldown)
	return cfg
}

// Load is work that is in flight on one backend server.
type Load struct {
	// PrefillMS is the reading that has not ended.
	PrefillMS float64
	// TightStreams and Medium count the streams that stand no long and no very long
	// pauses; Requests counts all requests.
	TightStreams  int
	MediumStreams int
	Requests      int
	// MemoryTokens is the KV cache in use, in tokens.
	MemoryTokens int64
}

func (l *Load) add(o Load, sign float64) {
	l.PrefillMS = max(0, l.PrefillMS+sign*o.PrefillMS)
	l.TightStreams += int(sign) * o.TightStreams
	l.MediumStreams += int(sign) * o.MediumStreams
	l.Requests += int(sign) * o.Requests
	l.MemoryTokens += int64(sign) * o.MemoryTokens
}

func (l Load) zero() bool { return l == Load{} }

// ServerLoad is the load that one process puts on one server. The server is
// named by a hash of its identifier.
type ServerLoad struct {
	Server uint64
	Load
}

// HashServerID names a backend server in messages between processes.
func HashServerID(id string) uint64 { return xxhash.Sum64String(id) }

type server struct {
	info pwcatalog.BackendServer
	hash uint64
	own  Load
	// others is the sum over all peers.
	others    Load
	coldUntil time.Time
	cold      tokens
	// badness grows with failures and shrinks with successes.
	badness      float64
	suspectUntil time.Time
	// brokenAt is when a connection to it was last lost or refused.
	brokenAt  time.Time
	fullUntil time.Time
	heardAt   time.Time
	pace      pace
	// slowUntil ends the time that the server gets work only for want of others;
	// slowFor is its length.
	slowUntil   time.Time
	slowFor     time.Duration
	noHelpUntil time.Time
	// lapsesAt is when a lapsed entry stops naming the server; zero if it is listed.
	lapsesAt time.Time
	gone     bool
}

// load returns the work of all processes on the server.
func (s *server) load() Load {
	l := s.own
	l.add(s.others, 1)
	return l
}

// tokens is a rate limit for cold servers.
type tokens struct {
	have float64
	at   time.Time
}

func (t *tokens) refill(now time.Time, rate, burst float64) {
	if t.at.IsZero() {
		t.have = burst
	} else {
		t.have = min(burst, t.have+now.Sub(t.at).Seconds()*rate)
	}
	t.at = now
}

type peer struct {
	loads []ServerLoad
	heard time.Time
}

// Fleet holds the backend servers that one process knows. It isn't safe for
// concurrent use.
type Fleet struct {
	cfg       Config
	servers   map[string]*server
	byHash    map[uint64]*server
	ranked    map[string][]*server
	peers     map[string]*peer
	models    map[string]pwcost.Model
	coldRate  map[string]float64
	evacuated map[string]bool
	// paces holds the pace of all servers of a service.
	paces map[string]*pace
	// resets are the latest broken connections, one for each server.
	resets  []reset
	version uint64
}

// New returns an empty fleet.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:       cfg.withDefaults(),
		servers:   make(map[string]*server),
		byHash:    make(map[uint64]*server),
		ranked:    make(map[string][]*server),
		peers:     make(map[string]*peer),
		models:    make(map[string]pwcost.Model),
		coldRate:  make(map[string]float64),
		evacuated: make(map[string]bool),
		paces:     make(map[string]*pace),
	}
}

// Version changes with each change of the own load.
func (f *Fleet) Version() uint64 { return f.version }

func (f *Fleet) draw(n int) int {
	if n == 1 {
		return 0
	}
	return f.cfg.RandIntN(n)
}

// Configure takes over the engines and cold rates of a configuration.
func (f *Fleet) Configure(services []pwcatalog.Service) {
	clear(f.models)
	clear(f.coldRate)
	for i := range services {
		s := &services[i]
		if s.Engine != nil {
			f.models[s.Name] = pwcost.New(*s.Engine)
		}
		f.coldRate[s.Name] = s.ColdRequestsPerSecond
	}
}

// Upsert takes over an entry. A new incarnation starts without history.
func (f *Fleet) Upsert(now time.Time, info pwcatalog.BackendServer) {
	s := f.servers[info.ID]
	if s != nil && s.info.Service != info.Service {
		f.Remove(info.ID)
		s = nil
	}
	if s == nil {
		s = &server{
			hash: HashServerID(info.ID),
		}
		f.servers[info.ID] = s
		f.byHash[s.hash] = s
		for _, p := range f.peers {
			for _, l := range p.loads {
				if l.Server == s.hash {
					s.others.add(l.Load, 1)
				}
			}
		}
		ranked := append(slices.Clone(f.ranked[info.Service]), s)
		slices.SortFunc(ranked, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
		f.ranked[info.Service] = ranked
	} else if s.info.StartUnixMS != info.StartUnixMS || s.info.Address != info.Address {
		s.badness, s.suspectUntil, s.fullUntil, s.gone = 0, time.Time{}, time.Time{}, false
		s.pace, s.slowUntil, s.slowFor = pace{}, time.Time{}, 0
		s.coldUntil, s.cold = time.Time{}, tokens{}
	}
	s.info = info
	s.lapsesAt = time.Time{}
	s.gone = false
	if until := now.Add(info.ColdRemaining); info.ColdRemaining > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// MarkLapsed marks an entry that disappeared while the store was away: it names the
// server until a time by which a living server is listed again.
func (f *Fleet) MarkLapsed(id string, backBy time.Time) {
	if s := f.servers[id]; s != nil && s.lapsesAt.IsZero() {
		s.lapsesAt = backBy
	}
}

// Remove forgets a server.
func (f *Fleet) Remove(id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	delete(f.servers, id)
	delete(f.byHash, s.hash)
	ranked := f.ranked[s.info.Service]
	f.ranked[s.info.Service] = slices.DeleteFunc(slices.Clone(ranked), func(o *server) bool { return o == s })
}

// SetEvacuated sets whether a data centre's servers get no new work.
func (f *Fleet) SetEvacuated(dataCentre string, evacuated bool) {
	if evacuated {
		f.evacuated[dataCentre] = true
	} else {
		delete(f.evacuated, dataCentre)
	}
}

// SetPeerLoads replaces what a peer has in flight.
func (f *Fleet) SetPeerLoads(now time.Time, name string, loads []ServerLoad) {
	f.dropPeer(name)
	f.peers[name] = &peer{
		loads: loads,
		heard: now,
	}
	for _, l := range loads {
		if s := f.byHash[l.Server]; s != nil {
			s.others.add(l.Load, 1)
		}
	}
}

// ExpirePeers forgets the load of peers that were not heard for a while.
func (f *Fleet) ExpirePeers(now time.Time) (expired []string) {
	for name, p := range f.peers {
		if now.Sub(p.heard) > f.cfg.PeerExpiry {
			f.dropPeer(name)
			expired = append(expired, name)
		}
	}
	return expired
}

func (f *Fleet) dropPeer(name string) {
	p := f.peers[name]
	if p == nil {
		return
	}
	for _, l := range p.loads {
		if s := f.byHash[l.Server]; s != nil {
			s.others.add(l.Load, -1)
		}
	}
	delete(f.peers, name)
}

// ProcessCount returns the number of processes that send work, this one included.
func (f *Fleet) ProcessCount() int { return len(f.peers) + 1 }

// OwnLoads returns what this process has in flight.
func (f *Fleet) OwnLoads() []ServerLoad {
	var out []ServerLoad
	for _, s := range f.servers {
		if !s.own.zero() {
			out = append(out, ServerLoad{
				Server: s.hash,
				Load:   s.own,
			})
		}
	}
	return out
}

// RecordSuccess notes a good answer.
func (f *Fleet) RecordSuccess(id string) {
	if s := f.servers[id]; s != nil {
		s.badness *= 0.7
		if s.badness < 0.1 {
			s.badness = 0
		}
	}
}

// RecordActivity notes that a server sent something.
func (f *Fleet) RecordActivity(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.heardAt = now
	}
}

// LastActivity returns when a server last sent something to this process.
func (f *Fleet) LastActivity(id string) time.Time {
	if s := f.servers[id]; s != nil {
		return s.heardAt
	}
	return time.Time{}
}

// MarkFull notes that a server rejected a request for want of room.
func (f *Fleet) MarkFull(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.fullUntil = now.Add(f.cfg.FullCooldown)
	}
}

// MarkHelpRefused notes that an engine would not read a part of a prompt: it is
// leaving, as the store will tell, or helps too many others.
func (f *Fleet) MarkHelpRefused(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.noHelpUntil = now.Add(f.cfg.HelpCooldown)
	}
}

// MarkReplaced notes that another server answers at the address. It gets no work until
// its entry changes.
func (f *Fleet) MarkReplaced(id string) {
	if s := f.servers[id]; s != nil {
		s.gone = true
	}
}
