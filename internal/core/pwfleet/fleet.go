// Package pwfleet selects the backend servers that requests are sent to. A Fleet
// holds the state of the backend servers as one process sees it: the platform's
// entries, the load that this process and its peers have in flight, and recent
// failures and delays. The package does no I/O.
//
// Short prompts are packed onto few engines, in an order that all processes
// share. The remaining engines can then prefill long prompts in large parts
// without lengthening the gaps between the events of short answers. No engine is
// assigned to either group: the boundary is the position up to which short prompts
// have filled the order, and so it follows the demand.
//
// # Usage
//
//	f := pwfleet.New(pwfleet.Config{})
//	f.Upsert(now, server)
//	plan, err := f.Plan(now, pwfleet.Request{Service: "lantern", PromptTokens: 133_000})
//	b := f.Start(now, plan)
//	b.EndPrefill()
//	b.End()
package pwfleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of the Config fields.
const (
	// DefaultShortPrefillMS is the prefill time up to which a prompt counts as short.
	DefaultShortPrefillMS = 150.0
	// DefaultShortIterationMS bounds the iteration of an engine that gets a short prompt,
	// and DefaultBusyShortIterationMS the same while more than DefaultBusyShare of all
	// slots are taken. The rest of a gap of 250 ms is left to prompts that arrive later.
	DefaultShortIterationMS     = 170.0
	DefaultBusyShortIterationMS = 150.0
	// DefaultPartPrefillMS is the prefill time of the parts that long prompts are
	// split into. It fits into an iteration of an engine that decodes short answers.
	DefaultPartPrefillMS = 140.0
	// DefaultMaxPrefillMS bounds the outstanding prefill of an engine, so that the
	// next prompt can still have its first token in time.
	DefaultMaxPrefillMS = 500.0
	// DefaultMaxHeavyPrefillMS is the larger bound that holds for very long prompts
	// on engines that decode nothing.
	DefaultMaxHeavyPrefillMS = 1000.0
	// DefaultMaxQueuedPartMS bounds the parts of prompts that are too long for the usual
	// headroom however many engines share them. Such parts queue behind shorter ones,
	// unless the bound is at most that for very long prompts. The parts of 600,000 tokens
	// take 1,630 ms on the most engines.
	DefaultMaxQueuedPartMS = 2000.0
	// DefaultTightGap, DefaultMediumGap and DefaultLooseGap are the longest gaps
	// between events that three kinds of streams allow: those of the platform's
	// short, medium and long requests.
	DefaultTightGap  = 250 * time.Millisecond
	DefaultMediumGap = 600 * time.Millisecond
	DefaultLooseGap  = time.Second
	// DefaultGapShare is the fraction of a gap that plans may use. The rest covers
	// work that other processes send at the same time.
	DefaultGapShare = 0.85
	// DefaultFailurePenaltyMS is the prefill time by which each point of an engine's
	// failure score lowers its headroom.
	DefaultFailurePenaltyMS = 300.0
	// DefaultMaxParts is the largest number of engines that prefill one prompt:
	// the platform accepts 16 helpers in addition to the first engine.
	DefaultMaxParts = 17
	// DefaultShortFill is the fraction of an engine's slots up to which short prompts
	// are packed onto it, and DefaultBusyShortFill the fraction while more than
	// DefaultBusyShare of all slots are taken.
	DefaultShortFill     = 0.95
	DefaultBusyShortFill = 0.75
	DefaultBusyShare     = 0.5
	// DefaultLoadAge is how old the load of a peer is when this process uses it: the
	// interval of messages, their transit and the wait for the processor.
	DefaultLoadAge = 40 * time.Millisecond
	// DefaultPeerExpiry is the age from which the reported load of a peer is dropped.
	DefaultPeerExpiry = time.Second
	// DefaultMinSuspectDuration and DefaultMaxSuspectDuration bound the time for
	// which a server gets no work after a failure.
	DefaultMinSuspectDuration = 400 * time.Millisecond
	DefaultMaxSuspectDuration = 4 * time.Second
	// DefaultHelpCooldown is the time for which an engine gets no parts of long
	// prompts after it refused one. A server that is shutting down has left by then.
	DefaultHelpCooldown = 2 * time.Second
	// DefaultFullCooldown is the time for which a server gets no work after it
	// rejected a request because it was full.
	DefaultFullCooldown = 60 * time.Millisecond
)

// Config configures a Fleet. Zero fields take their defaults.
type Config struct {
	ShortPrefillMS       float64
	ShortIterationMS     float64
	BusyShortIterationMS float64
	PartPrefillMS        float64
	MaxPrefillMS         float64
	TightGap             time.Duration
	MediumGap            time.Duration
	LooseGap             time.Duration
	GapShare             float64
	FailurePenaltyMS     float64
	MaxHeavyPrefillMS    float64
	MaxQueuedPartMS      float64
	MaxParts             int
	ShortFill            float64
	BusyShortFill        float64
	BusyShare            float64
	// RandIntN returns a number in [0, n); the default is rand.IntN.
	RandIntN           func(n int) int
	LoadAge            time.Duration
	PeerExpiry         time.Duration
	MinSuspectDuration time.Duration
	MaxSuspectDuration time.Duration
	HelpCooldown       time.Duration
	FullCooldown       time.Duration
	// Cells bounds the size of the cells that the fleet is divided into.
	Cells pwcell.Config
	// UnevenDemand configures the placement of long prompts while the mix turns.
	UnevenDemand UnevenDemand
}

func (cfg Config) withDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.ShortPrefillMS, DefaultShortPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.ShortIterationMS, DefaultShortIterationMS)
	pwdefault.SetUnlessPositive(&cfg.BusyShortIterationMS, DefaultBusyShortIterationMS)
	pwdefault.SetUnlessPositive(&cfg.PartPrefillMS, DefaultPartPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.MaxPrefillMS, DefaultMaxPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.TightGap, DefaultTightGap)
	pwdefault.SetUnlessPositive(&cfg.MediumGap, DefaultMediumGap)
	pwdefault.SetUnlessPositive(&cfg.LooseGap, DefaultLooseGap)
	pwdefault.SetUnlessPositive(&cfg.GapShare, DefaultGapShare)
	pwdefault.SetUnlessPositive(&cfg.FailurePenaltyMS, DefaultFailurePenaltyMS)
	pwdefault.SetUnlessPositive(&cfg.MaxHeavyPrefillMS, DefaultMaxHeavyPrefillMS)
	pwdefault.SetUnlessPositive(&cfg.MaxQueuedPartMS, DefaultMaxQueuedPartMS)
	pwdefault.SetUnlessPositive(&cfg.MaxParts, DefaultMaxParts)
	pwdefault.SetUnlessPositive(&cfg.ShortFill, DefaultShortFill)
	pwdefault.SetUnlessPositive(&cfg.BusyShortFill, DefaultBusyShortFill)
	pwdefault.SetUnlessPositive(&cfg.BusyShare, DefaultBusyShare)
	pwdefault.SetUnlessPositive(&cfg.LoadAge, DefaultLoadAge)
	if cfg.RandIntN == nil {
		cfg.RandIntN = rand.IntN
	}
	pwdefault.SetUnlessPositive(&cfg.PeerExpiry, DefaultPeerExpiry)
	pwdefault.SetUnlessPositive(&cfg.MinSuspectDuration, DefaultMinSuspectDuration)
	pwdefault.SetUnlessPositive(&cfg.MaxSuspectDuration, DefaultMaxSuspectDuration)
	pwdefault.SetUnlessPositive(&cfg.HelpCooldown, DefaultHelpCooldown)
	pwdefault.SetUnlessPositive(&cfg.FullCooldown, DefaultFullCooldown)
	pwdefault.SetUnlessPositive(&cfg.UnevenDemand.TurnRatio, DefaultTurnRatio)
	pwdefault.SetUnlessPositive(&cfg.UnevenDemand.TurnHold, DefaultTurnHold)
	return cfg
}

// Load is the work in flight on one backend server.
type Load struct {
	// PrefillMS is the prefill time of the prompts whose prefill has not ended.
	PrefillMS float64
	// TightStreams counts the streams whose longest allowed gap is at most
	// Config.TightGap, and MediumStreams those above it and up to Config.MediumGap.
	// Requests counts all requests, including these.
	TightStreams  int
	MediumStreams int
	Requests      int
	// MemoryTokens is the KV cache in use, in tokens.
	MemoryTokens int64
}

// addScaled adds other to l if sign is 1 and subtracts it if sign is -1.
func (l *Load) addScaled(other Load, sign float64) {
	l.PrefillMS = max(0, l.PrefillMS+sign*other.PrefillMS)
	l.TightStreams += int(sign) * other.TightStreams
	l.MediumStreams += int(sign) * other.MediumStreams
	l.Requests += int(sign) * other.Requests
	l.MemoryTokens += int64(sign) * other.MemoryTokens
}

func (l Load) isZero() bool { return l == Load{} }

// ServerLoad is the load that one process puts on one server. Server is the result
// of HashServerID for the server's identifier.
type ServerLoad struct {
	Server uint64
	Load
}

// HashServerID returns the hash that identifies a backend server in messages between
// processes.
func HashServerID(id string) uint64 { return xxhash.Sum64String(id) }

type server struct {
	info    pwcatalog.BackendServer
	hash    uint64
	ownLoad Load
	// peerLoad is the sum of the loads of all peers.
	peerLoad   Load
	coldUntil  time.Time
	coldBucket tokenBucket
	statements
	// sends counts the requests that this process has sent to the server.
	sends sendCount
	// failureScore grows by 1 with each failure and decays with successes.
	failureScore float64
	suspectUntil time.Time
	// connectionFailedAt is the time when a connection to the server was last lost or
	// could not be opened.
	connectionFailedAt time.Time
	fullUntil          time.Time
	lastActivity       time.Time
	slowdown           movingMean
	// Until slowUntil the server gets work only when no other server has capacity.
	// slowDuration is the length of that period.
	slowUntil    time.Time
	slowDuration time.Duration
	// Until noPrefillUntil the engine gets no parts of long prompts.
	noPrefillUntil time.Time
	// lapsesAt is the time from which a server that is no longer listed gets no
	// work; it is zero while the server is listed.
	lapsesAt time.Time
	// replaced is set when another server responds at the address, and superseded while a
	// server with a later start is listed there.
	replaced   bool
	superseded bool
	// Until unconfirmedUntil the server gets no work, because its entry may be older than
	// its end.
	unconfirmedUntil time.Time
	// inCell is set if the server belongs to the cell of this process.
	inCell bool
}

// load returns the load of all processes on the server.
func (s *server) load() Load {
	l := s.ownLoad
	l.addScaled(s.peerLoad, 1)
	return l
}

// tokenBucket limits the rate of requests to a cold server.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

func (t *tokenBucket) refill(now time.Time, rate, burst float64) {
	if t.refilledAt.IsZero() {
		t.tokens = burst
	} else {
		t.tokens = min(burst, t.tokens+now.Sub(t.refilledAt).Seconds()*rate)
	}
	t.refilledAt = now
}

// peer holds the loads that another process last reported, by server.
type peer struct {
	loads      map[uint64]Load
	receivedAt time.Time
}

// Fleet holds the state of all backend servers as seen by one process. It isn't safe
// for concurrent use.
type Fleet struct {
	cfg     Config
	servers map[string]*server
	byHash  map[uint64]*server
	// byAddress holds the listed servers at each address: besides the running one, those
	// that have ended and whose entries have not expired.
	byAddress map[string][]*server
	// byService holds the servers of each service, sorted by hash, which is the order
	// in which all processes fill them.
	byService map[string][]*server
	peers     map[string]*peer
	// departed holds the servers that were removed lately.
	departed map[string]*departure
	// models and coldRate are keyed by service, evacuated by data centre.
	models    map[string]pwcost.Model
	coldRate  map[string]float64
	evacuated map[string]bool
	// configured holds the services of the configuration.
	configured []pwcatalog.Service
	// serviceSlowdowns holds the mean slowdown over all servers of each service.
	serviceSlowdowns map[string]*movingMean
	// resets holds the connections lost within resetWindow, at most one per server.
	resets  []connectionReset
	version uint64
	cells   cells
	// arrivals counts the requests that this process and the peers that it hears have
	// recently sent to engines.
	arrivals arrivalRate
	// freedMS is the prefill time that has ended on engines so far.
	freedMS float64
	// progress holds the parts of long prompts that are in progress, as of progressAt.
	progress   []partProgress
	progressAt time.Time
	// mix holds the mix of prompts, last compared at mixAt.
	mix   mix
	mixAt time.Time
	// coldFactor and coldSlack bound the requests to a cold server; see SetColdBounds.
	coldFactor float64
	coldSlack  float64
}

// New returns a fleet without servers.
func New(cfg Config) *Fleet {
	return &Fleet{
		cfg:              cfg.withDefaults(),
		servers:          make(map[string]*server),
		byHash:           make(map[uint64]*server),
		byAddress:        make(map[string][]*server),
		byService:        make(map[string][]*server),
		peers:            make(map[string]*peer),
		departed:         make(map[string]*departure),
		models:           make(map[string]pwcost.Model),
		coldRate:         make(map[string]float64),
		evacuated:        make(map[string]bool),
		serviceSlowdowns: make(map[string]*movingMean),
		cells: cells{
			own:   pwcell.Whole(),
			stale: true,
		},
	}
}

// Version returns a counter that increases whenever an Assignment changes the
// load of this process.
func (f *Fleet) Version() uint64 { return f.version }

// FreedPrefillMS returns the prefill time, in milliseconds, that this process and its peers
// have ended on engines so far. It never falls.
func (f *Fleet) FreedPrefillMS() float64 { return f.freedMS }

func (f *Fleet) randIntN(n int) int {
	if n == 1 {
		return 0
	}
	return f.cfg.RandIntN(n)
}

// Configure replaces the engine models and the request rates of cold servers with
// those of a configuration. The caller must not change services afterwards.
func (f *Fleet) Configure(services []pwcatalog.Service) {
	if slices.EqualFunc(f.configured, services, pwcatalog.Service.Equal) {
		return
	}
	f.configured = services
	clear(f.models)
	clear(f.coldRate)
	f.cells.stale = true
	for i := range services {
		s := &services[i]
		if s.Engine != nil {
			f.models[s.Name] = pwcost.New(*s.Engine)
		}
		f.coldRate[s.Name] = s.ColdRequestsPerSecond
	}
	for address := range f.byAddress {
		f.markSuperseded(address)
	}
}

// Upsert adds or updates a server. A new incarnation or address resets the failure
// score, suspicion, slowdown and cold rate of the server.
func (f *Fleet) Upsert(now time.Time, info pwcatalog.BackendServer) {
	s := f.servers[info.ID]
	if s != nil && s.info.Service != info.Service {
		f.Remove(now, info.ID)
		s = nil
	}
	if s == nil {
		s = &server{
			hash: HashServerID(info.ID),
		}
		if d, ok := f.departed[info.ID]; ok {
			s.statements = d.statements
			if d.startUnixMS != info.StartUnixMS || info.StartUnixMS == 0 {
				s.statements = d.carryOver(info.StartUnixMS)
			}
		}
		f.servers[info.ID] = s
		f.byHash[s.hash] = s
		for _, p := range f.peers {
			s.peerLoad.addScaled(p.loads[s.hash], 1)
		}
		f.cells.stale = true
		sorted := append(slices.Clone(f.byService[info.Service]), s)
		slices.SortFunc(sorted, func(a, b *server) int { return cmp.Compare(a.hash, b.hash) })
		f.byService[info.Service] = sorted
	} else if s.info.StartUnixMS != info.StartUnixMS || s.info.Address != info.Address {
		s.failureScore, s.suspectUntil, s.fullUntil, s.replaced = 0, time.Time{}, time.Time{}, false
		s.slowdown, s.slowUntil, s.slowDuration = movingMean{}, time.Time{}, 0
		s.coldUntil, s.coldBucket = time.Time{}, tokenBucket{}
		s.statements = s.carryOver(info.StartUnixMS)
	}
	if s.info.DataCentre != info.DataCentre {
		f.cells.stale = true
	}
	// Without a start time, a ready entry after a draining one stands for a new incarnation.
	s.leaving = info.Draining || s.leaving && (info.StartUnixMS != 0 || !s.info.Draining)
	f.removeAddress(s)
	s.info = info
	f.addAddress(s)
	s.lapsesAt, s.unconfirmedUntil = time.Time{}, time.Time{}
	s.replaced = false
	delete(f.departed, info.ID)
	if until := now.Add(info.ColdRemaining); info.ColdRemaining > 0 && until.After(s.coldUntil) {
		s.coldUntil = until
	}
}

// MarkLapsed marks a server whose entry disappeared while the store was unavailable.
// The server still gets work until backBy, by which a running server is listed again.
func (f *Fleet) MarkLapsed(id string, backBy time.Time) {
	if s := f.servers[id]; s != nil && s.lapsesAt.IsZero() {
		s.lapsesAt = backBy
	}
}

// Remove removes a server.
func (f *Fleet) Remove(now time.Time, id string) {
	s := f.servers[id]
	if s == nil {
		return
	}
	f.departed[id] = &departure{
		statements:  s.statements,
		startUnixMS: s.info.StartUnixMS,
		at:          now,
	}
	delete(f.servers, id)
	delete(f.byHash, s.hash)
	f.removeAddress(s)
	f.cells.stale = true
	servers := f.byService[s.info.Service]
	f.byService[s.info.Service] = slices.DeleteFunc(slices.Clone(servers), func(o *server) bool { return o == s })
}

// SetEvacuated sets whether the servers of a data centre are excluded from new work.
func (f *Fleet) SetEvacuated(dataCentre string, evacuated bool) {
	if evacuated {
		f.evacuated[dataCentre] = true
	} else {
		delete(f.evacuated, dataCentre)
	}
}

// SetPeerLoads replaces the loads that a peer has in flight.
func (f *Fleet) SetPeerLoads(now time.Time, name string, loads []ServerLoad) {
	changed := slices.Clone(loads)
	if p := f.peers[name]; p != nil {
		listed := make(map[uint64]bool, len(loads))
		for _, l := range loads {
			listed[l.Server] = true
		}
		for server := range p.loads {
			if !listed[server] {
				changed = append(changed, ServerLoad{
					Server: server,
				})
			}
		}
	}
	f.UpdatePeerLoads(now, name, changed)
}

// UpdatePeerLoads replaces the loads that a peer has in flight on some servers. A zero
// load removes that of the server.
func (f *Fleet) UpdatePeerLoads(now time.Time, name string, changed []ServerLoad) {
	p := f.peers[name]
	if p == nil {
		p = &peer{
			loads: make(map[uint64]Load, len(changed)),
		}
		f.peers[name] = p
	}
	p.receivedAt = now
	for _, l := range changed {
		if s := f.byHash[l.Server]; s != nil {
			s.peerLoad.addScaled(p.loads[l.Server], -1)
			s.peerLoad.addScaled(l.Load, 1)
			if _, ok := f.models[s.info.Service]; ok {
				f.arrivals.add(now, l.Requests-p.loads[l.Server].Requests)
				f.freedMS += max(0, p.loads[l.Server].PrefillMS-l.PrefillMS)
				f.recordMix(now, p.loads[l.Server], l.Load)
			}
		}
		if l.isZero() {
			delete(p.loads, l.Server)
		} else {
			p.loads[l.Server] = l.Load
		}
	}
}

// ExpirePeers removes the peers whose loads are older than Config.PeerExpiry. It returns
// the names of those in the own cell; the others are not expected to send loads.
func (f *Fleet) ExpirePeers(now time.Time) (silent []string) {
	_, inCell := f.Cell()
	for name, p := range f.peers {
		if now.Sub(p.receivedAt) <= f.cfg.PeerExpiry {
			continue
		}
		f.removePeer(name)
		if inCell[name] {
			silent = append(silent, name)
		}
	}
	return silent
}

func (f *Fleet) removePeer(name string) {
	p := f.peers[name]
	if p == nil {
		return
	}
	for hash, l := range p.loads {
		if s := f.byHash[hash]; s != nil {
			s.peerLoad.addScaled(l, -1)
		}
	}
	delete(f.peers, name)
}

// ProcessCount returns the number of processes whose loads are known, including this one.
func (f *Fleet) ProcessCount() int { return len(f.peers) + 1 }

// OwnLoads returns the loads that this process has in flight, without servers that
// have none.
func (f *Fleet) OwnLoads() []ServerLoad {
	var out []ServerLoad
	for _, s := range f.servers {
		if !s.ownLoad.isZero() {
			out = append(out, ServerLoad{
				Server: s.hash,
				Load:   s.ownLoad,
			})
		}
	}
	return out
}

// RecordSuccess records a successful response of a server.
func (f *Fleet) RecordSuccess(id string) {
	if s := f.servers[id]; s != nil {
		s.failureScore *= 0.7
		if s.failureScore < 0.1 {
			s.failureScore = 0
		}
	}
}

// RecordActivity records that a server sent data.
func (f *Fleet) RecordActivity(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.lastActivity = now
	}
}

// PeerRequests returns the number of requests that other processes have at a server, as far
// as they have told.
func (f *Fleet) PeerRequests(id string) int {
	if s := f.servers[id]; s != nil {
		return s.peerLoad.Requests
	}
	return 0
}

// LastActivity returns the time when a server last sent data to this process, or the
// zero time.
func (f *Fleet) LastActivity(id string) time.Time {
	if s := f.servers[id]; s != nil {
		return s.lastActivity
	}
	return time.Time{}
}

// MarkFull marks a server that rejected a request because it was full. It gets no
// work for Config.FullCooldown.
func (f *Fleet) MarkFull(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.fullUntil = now.Add(f.cfg.FullCooldown)
	}
}

// MarkHelpRefused marks an engine that refused to prefill a part of a prompt, either
// because it is shutting down, which the store reports later, or because it already
// helps too many others. It gets no parts for Config.HelpCooldown.
func (f *Fleet) MarkHelpRefused(now time.Time, id string) {
	if s := f.servers[id]; s != nil {
		s.noPrefillUntil = now.Add(f.cfg.HelpCooldown)
	}
}

// MarkReplaced marks a server at whose address another server responds. It gets no
// work until its entry is updated.
func (f *Fleet) MarkReplaced(id string) {
	if s := f.servers[id]; s != nil {
		s.replaced = true
		f.markSuperseded(s.info.Address)
	}
}
