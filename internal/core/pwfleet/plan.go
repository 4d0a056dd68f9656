package pwfleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Request is what a decision needs to know.
type Request struct {
	Service string
	// PromptTokens is the length of the prompt; 0 for calls without one.
	PromptTokens int64
	// MaxOutputTokens is the largest number of tokens that the answer may have.
	MaxOutputTokens int64
	// DataCentre is that of the deciding process; nearer servers win ties.
	DataCentre string
	// Exclude holds servers that this request has been sent to already.
	Exclude map[string]bool
	// MaxGap is the longest pause between events of a timely answer.
	MaxGap time.Duration
	// Late is set for a request that can no longer be in time. It must not delay
	// others that can.
	Late bool
	// Urgent lifts the bounds that keep engines smooth, for a request that
	// would otherwise be late anyway.
	Urgent bool
}

// Reservation is engine memory to be set aside for one request.
type Reservation struct {
	Server pwcatalog.BackendServer
	Tokens int64
}

// Plan is where a request goes.
type Plan struct {
	Server pwcatalog.BackendServer
	// Helpers read parts of the prompt.
	Helpers []pwcatalog.BackendServer
	// Reservations hold the memory of a prompt that is too large for one
	// engine: the first server's comes first, then one for each helper, with no
	// tokens where the helper only reads.
	Reservations []Reservation
	// PartPrefillMS is the reading time of one part.
	PartPrefillMS float64
	// PrefillAheadMS is the reading that came first on the busiest of the engines.
	PrefillAheadMS float64
	// Short is set for prompts that are read whole within a pass.
	Short bool
	// Reason says in a word what decided.
	Reason string
	gap    time.Duration
	memory int64
}

// IsShort reports whether a prompt is read within a pass on one engine.
func (f *Fleet) IsShort(r Request) bool {
	m, ok := f.models[r.Service]
	return !ok || m.PrefillMS(r.PromptTokens) <= f.cfg.ShortPrefillMS
}

// PrefillMS returns the reading time of a request on one engine.
func (f *Fleet) PrefillMS(r Request) float64 {
	m, ok := f.models[r.Service]
	if !ok {
		return 0
	}
	return m.PrefillMS(r.PromptTokens)
}

// Backlog returns the reading in flight per usable engine, in milliseconds.
func (f *Fleet) Backlog(now time.Time, service string) (perEngine float64, engines int) {
	total := 0.0
	for _, s := range f.ranked[service] {
		if f.usable(now, s, nil) == "" {
			total += s.load().PrefillMS
			engines++
		}
	}
	return total / float64(max(1, engines)), engines
}

// usable returns why a server gets no work, or "".
func (f *Fleet) usable(now time.Time, s *server, exclude map[string]bool) string {
	switch {
	case s.gone:
		return "gone"
	case s.info.Draining:
		return "draining"
	case !s.lapsesAt.IsZero() && now.After(s.lapsesAt):
		return "lapsed"
	case f.evacuated[s.info.DataCentre]:
		return "evacuated"
	case exclude[s.info.ID]:
		return "tried"
	case now.Before(s.suspectUntil):
		return "suspect"
	case now.Before(s.fullUntil):
		return reasonFull
	case now.Before(s.coldUntil) && !f.coldAllowed(now, s):
		return "cold"
	}
	return ""
}

// coldAllowed reports whether a cold server may get one more request from this
// process. Each process takes an equal share of the server's rate.
func (f *Fleet) coldAllowed(now time.Time, s *server) bool {
	rate := f.coldRate[s.info.Service]
	if rate <= 0 {
		return true
	}
	share := rate / float64(f.ProcessCount())
	s.cold.refill(now, share, max(1, share/4))
	return s.cold.have >= 1
}

// reasonFull is the reason of a server that has just rejected a request.
const reasonFull = "full"

// errNoServer is returned when no server of the service may get work.
func errNoServer(service string, why map[string]int) error {
	cause := pwverdict.CauseNoCandidate
	if why[reasonFull] > 0 {
		// A full server soon has room again.
		cause = pwverdict.CauseConcurrencyFull
	}
	return pwverdict.New(pwverdict.NotRun, cause,
		"no backend server of %q may get work: %v", service, why)
}

// candidates returns the servers that may get work.
func (f *Fleet) candidates(now time.Time, r Request) ([]*server, error) {
	var out []*server
	why := make(map[string]int)
	for _, s := range f.ranked[r.Service] {
		reason := f.usable(now, s, r.Exclude)
		if reason == "" {
			out = append(out, s)
			continue
		}
		why[reason]++
	}
	if len(out) > 0 {
		return out, nil
	}
	// A suspect server is better than none.
	for _, s := range f.ranked[r.Service] {
		if now.Before(s.suspectUntil) {
			until := s.suspectUntil
			s.suspectUntil = time.Time{}
			if f.usable(now, s, r.Exclude) == "" {
				out = append(out, s)
			}
			s.suspectUntil = until
		}
	}
	if len(out) == 0 {
		return nil, errNoServer(r.Service, why)
	}
	return out, nil
}

// Plan decides where a request goes. It returns a NotRun error with
// CausePrefillBusy or CauseMemoryFull when it should wait for engines that are
// busy, and with CauseNoCandidate when no server may get it.
func (f *Fleet) Plan(now time.Time, r Request) (Plan, error) {
	cands, err := f.candidates(now, r)
	if err != nil {
		return Plan{}, err
	}
	m, ok := f.models[r.Service]
	switch {
	case !ok:
		return f.planCall(r, cands), nil
	case m.PrefillMS(r.PromptTokens) <= f.cfg.ShortPrefillMS:
		return planAround(now, cands, func(cands []*server) (Plan, error) { return f.planShort(r, m, cands) })
	default:
		return planAround(now, cands, func(cands []*server) (Plan, error) { return f.planLong(now, r, m, cands) })
	}
}

// planCall picks the server with the fewest requests.
func (f *Fleet) planCall(r Request, cands []*server) Plan {
	best := slices.MinFunc(cands, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(float64(a.load().Requests)+2*a.badness, float64(b.load().Requests)+2*b.badness),
			cmp.Compare(distance(a, r), distance(b, r)),
			cmp.Compare(a.hash, b.hash),
		)
	})
	return Plan{
		Server: best.info,
		Reason: "least_requests",
	}
}

func distance(s *server, r Request) int {
	if s.info.DataCentre == r.DataCentre {
		return 0
	}
	return 1
}

// planShort packs short prompts onto the first engines of the order that stay smooth.
func (f *Fleet) planShort(r Request, m pwcost.Model, cands []*server) (Plan, error) {
	read := m.PrefillMS(r.PromptTokens)
	slots := max(1, m.Engine().Slots)
	fill := max(1, int(f.cfg.ShortFill*float64(slots)))
	window := 1 + f.ProcessCount()/f.cfg.ProcessesPerEngine
	fits := make([]*server, 0, window)
	var best *server
	bestPass := math.Inf(1)
	for _, s := range cands {
		l := s.load()
		if l.Requests >= slots || l.MemoryTokens+r.PromptTokens+r.MaxOutputTokens > m.Engine().MemoryTokens {
			continue
		}
		pass := m.PassMS(l.Requests+1, l.MemoryTokens+r.PromptTokens, l.PrefillMS+read)
		if pass <= f.cfg.ShortPassMS && l.Requests < fill && s.badness < 1 {
			// Other processes decide at the same moment, with the same order.
			if fits = append(fits, s); len(fits) >= window {
				return f.shortPlan(r, fits[f.draw(len(fits))], read, "packed"), nil
			}
			continue
		}
		if pass += 100 * s.badness; pass < bestPass {
			best, bestPass = s, pass
		}
	}
	if len(fits) > 0 {
		return f.shortPlan(r, fits[f.draw(len(fits))], read, "packed"), nil
	}
	if best == nil {
		if !r.Urgent {
			return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "all slots of %q are taken", r.Service)
		}
		best = slices.MinFunc(cands, func(a, b *server) int { return cmp.Compare(a.load().Requests, b.load().Requests) })
	}
	return f.shortPlan(r, best, read, "shortest_pass"), nil
}

func (f *Fleet) shortPlan(r Request, s *server, read float64, reason string) Plan {
	return Plan{
		Server:        s.info,
		PartPrefillMS: read,
		Short:         true,
		Reason:        reason,
		gap:           r.MaxGap,
		memory:        r.PromptTokens + r.MaxOutputTokens/2,
	}
}

// candidate is an engine with its load at the time of a decision.
type candidate struct {
	s *server
	l Load
	// tier is 0 for engines that write nothing, and grows with how little of a
	// pause the streams there stand.
	tier int
	// room is the reading that the engine takes before a stream there pauses
	// for too long.
	room float64
}

// planLong spreads the reading of a long prompt over engines that have room.
// Engines that write nothing read most of it, and the answer is written where
// other answers are, so that few engines must keep their pauses short.
func (f *Fleet) planLong(now time.Time, r Request, m pwcost.Model, cands []*server) (Plan, error) {
	total := m.PrefillMS(r.PromptTokens)
	need := r.PromptTokens + r.MaxOutputTokens
	all := f.withRoom(now, m, cands)
	if len(all) == 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "all slots of %q are taken", r.Service)
	}
	chosen, reason := f.spread(r, total, all)
	if len(chosen) == 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CausePrefillBusy,
			"%.0f ms of reading don't fit into the room of %d engines", total, len(all))
	}
	free := func(c candidate) int64 { return m.Engine().MemoryTokens - c.l.MemoryTokens }
	part := total / float64(len(chosen))
	first, found := candidate{}, false
	// The first engine keeps the whole prompt in its memory and writes the answer.
	for _, c := range all {
		if free(c) < need || c.room < part || c.l.Requests >= m.Engine().Slots {
			continue
		}
		if !found || c.tier > first.tier || c.tier == first.tier && c.s.hash < first.s.hash {
			first, found = c, true
		}
	}
	if !found {
		first = slices.MaxFunc(chosen, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(min(free(a), need), min(free(b), need)), -cmp.Compare(a.l.Requests, b.l.Requests))
		})
	}
	p := Plan{
		Server:        first.s.info,
		PartPrefillMS: total / float64(len(chosen)),
		Reason:        reason,
		gap:           r.MaxGap,
		memory:        need,
	}
	p.PrefillAheadMS = first.l.PrefillMS
	for _, c := range chosen {
		if c.s != first.s && len(p.Helpers) < len(chosen)-1 {
			p.Helpers = append(p.Helpers, c.s.info)
			p.PrefillAheadMS = max(p.PrefillAheadMS, c.l.PrefillMS)
		}
	}
	if free(first) >= need {
		return p, nil
	}
	// Helpers with a reservation and the first engine's own one share the list
	// of helpers.
	if len(chosen) == f.cfg.MaxParts {
		chosen = slices.DeleteFunc(slices.Clone(chosen), func(c candidate) bool { return c.s == chosen[len(chosen)-1].s && c.s != first.s })
		p.PartPrefillMS = total / float64(len(chosen))
	}
	return f.reserveMemory(p, first.s, slices.Collect(func(yield func(*server) bool) {
		for _, c := range chosen {
			if c.s != first.s && !yield(c.s) {
				return
			}
		}
	}), m.Engine().MemoryTokens, need)
}

// withRoom returns the engines with a free slot: those that write nothing
// first, and among equals those with the least reading.
func (f *Fleet) withRoom(now time.Time, m pwcost.Model, cands []*server) []candidate {
	var all []candidate
	for _, s := range cands {
		l := s.load()
		if l.Requests >= m.Engine().Slots || now.Before(s.noHelpUntil) {
			continue
		}
		tier, allowance := f.allowance(m, l)
		all = append(all, candidate{
			s:    s,
			l:    l,
			tier: tier,
			room: allowance - l.PrefillMS - f.cfg.FailurePenaltyMS*s.badness,
		})
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.l.PrefillMS, b.l.PrefillMS),
			cmp.Compare(a.l.Requests, b.l.Requests),
			-cmp.Compare(a.s.hash, b.s.hash),
		)
	})
	return all
}

// allowance is the reading that fits into a pass of an engine without a pause
// that is too long for the streams there. Engines that write nothing may have
// more, because only what waits behind it is delayed.
func (f *Fleet) allowance(m pwcost.Model, l Load) (tier int, ms float64) {
	pass := m.PassMS(l.Requests, l.MemoryTokens, 0)
	within := func(gap time.Duration) float64 {
		return min(f.cfg.MaxPrefillMS, float64(gap.Milliseconds())*f.cfg.GapShare-pass)
	}
	switch {
	case l.TightStreams > 0:
		return tierTight, within(f.cfg.TightGap)
	case l.MediumStreams > 0:
		return tierMedium, within(f.cfg.MediumGap)
	case l.Requests > 0:
		return tierLoose, within(f.cfg.LooseGap)
	default:
		return tierReader, f.cfg.MaxPrefillMS
	}
}

// Tiers of engines by the streams that they write.
const (
	tierReader = iota
	tierLoose
	tierMedium
	tierTight
)

// spread returns the engines over which a prompt is read: as many as make parts
// of the usual size, more or fewer if those have room, and none if it must wait.
func (f *Fleet) spread(r Request, total float64, all []candidate) (chosen []candidate, reason string) {
	if r.Late {
		all = all[:countBelow(all, tierTight)]
		if len(all) == 0 {
			return nil, ""
		}
	}
	most := min(f.cfg.MaxParts, len(all))
	usual := min(most, int(math.Ceil(total/f.cfg.PartPrefillMS)))
	for k := usual; k <= most; k++ {
		if chosen = roomy(all, total/float64(k), k); chosen != nil {
			return chosen, "spread"
		}
	}
	for k := usual - 1; k > 0 && total/float64(k) <= f.cfg.MaxPrefillMS; k-- {
		if chosen = roomy(all, total/float64(k), k); chosen != nil {
			return chosen, "fewer_engines"
		}
	}
	if chosen = f.heavy(total, all); chosen != nil && total > f.cfg.PartPrefillMS*float64(f.cfg.MaxParts) {
		return chosen, "heavy"
	}
	return nil, ""
}

// heavy places a prompt whose parts fit nowhere: on engines that write nothing,
// and on those with loose streams if the part fits into their pauses.
func (f *Fleet) heavy(total float64, all []candidate) []candidate {
	readers := countBelow(all, tierLoose)
	loose := countBelow(all, tierMedium)
	for _, n := range []int{readers, loose} {
		for k := min(n, f.cfg.MaxParts); k > 0; k-- {
			part := total / float64(k)
			if part > f.cfg.MaxHeavyPrefillMS {
				break
			}
			var out []candidate
			for _, c := range all[:n] {
				if c.tier == tierReader && c.l.PrefillMS+part <= f.cfg.MaxHeavyPrefillMS || c.room >= part {
					out = append(out, c)
				}
			}
			if len(out) >= k {
				return out[:k]
			}
		}
	}
	return nil
}

// countBelow returns how many engines are of lower tiers; they come first.
func countBelow(all []candidate, tier int) int {
	n := 0
	for n < len(all) && all[n].tier < tier {
		n++
	}
	return n
}

// roomy returns the first k engines with room for a part, or nil.
func roomy(all []candidate, part float64, k int) []candidate {
	var out []candidate
	for _, c := range all {
		if c.room < part {
			continue
		}
		if out = append(out, c); len(out) == k {
			return out
		}
	}
	return nil
}

// reserveMemory spreads a prompt that is too large for one engine over the
// memory of the first engine and of as few helpers as can hold it.
func (f *Fleet) reserveMemory(p Plan, first *server, helpers []*server, size, need int64) (Plan, error) {
	free := func(s *server) int64 {
		return roundDown((size-s.load().MemoryTokens)*reservedPercent/100, ticketBlock)
	}
	slices.SortStableFunc(helpers, func(a, b *server) int { return cmp.Compare(free(b), free(a)) })
	p.Helpers = p.Helpers[:0]
	left := roundUp(need*ticketSlackPercent/100, ticketBlock)
	for _, s := range append([]*server{first}, helpers...) {
		take := min(left, max(0, free(s)))
		if s != first {
			p.Helpers = append(p.Helpers, s.info)
		} else {
			p.memory = take
		}
		p.Reservations = append(p.Reservations, Reservation{
			Server: s.info,
			Tokens: take,
		})
		left -= take
	}
	if left > 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"%d tokens are wanted, %d are missing on %d engines", need, left, len(helpers)+1)
	}
	return p, nil
}

const (
	// reservedPercent is the part of an engine's free memory that one prompt
	// takes, so that short answers still start there.
	reservedPercent = 85
	// ticketSlackPercent covers the rounding of each part to blocks.
	ticketSlackPercent = 102
)

// ticketBlock is the size to which engine memory is rounded, in tokens.
const ticketBlock = 64

func roundDown(n, block int64) int64 { return n / block * block }

func roundUp(n, block int64) int64 { return (n + block - 1) / block * block }

// loadGrains is the number of steps to which a millisecond of load is rounded.
const loadGrains = 1024

// Booking is the load of one request until it ends.
type Booking struct {
	f     *Fleet
	parts []bookedPart
	read  bool
	ended bool
}

type bookedPart struct {
	s *server
	l Load
}

// Start counts a plan's load.
func (f *Fleet) Start(now time.Time, p Plan) *Booking {
	b := &Booking{
		f: f,
	}
	// Sums of such values are exact, so that nothing is left over at the end.
	part := math.Round(p.PartPrefillMS*loadGrains) / loadGrains
	l := Load{
		PrefillMS:    part,
		Requests:     1,
		MemoryTokens: p.memory,
	}
	switch {
	case p.gap <= 0:
	case p.gap <= f.cfg.TightGap:
		l.TightStreams = 1
	case p.gap <= f.cfg.MediumGap:
		l.MediumStreams = 1
	}
	b.add(p.Server.ID, l)
	for i, h := range p.Helpers {
		hl := Load{
			PrefillMS: part,
		}
		if i+1 < len(p.Reservations) {
			hl.MemoryTokens = p.Reservations[i+1].Tokens
		}
		b.add(h.ID, hl)
	}
	if s := f.servers[p.Server.ID]; s != nil && now.Before(s.coldUntil) {
		s.cold.have--
	}
	f.version++
	return b
}

func (b *Booking) add(id string, l Load) {
	s := b.f.servers[id]
	if s == nil {
		return
	}
	s.own.add(l, 1)
	b.parts = append(b.parts, bookedPart{
		s: s,
		l: l,
	})
}

// EndPrefill notes that the prompt has been read.
func (b *Booking) EndPrefill() {
	if b.read || b.ended {
		return
	}
	b.read = true
	for i := range b.parts {
		p := &b.parts[i]
		p.s.own.add(Load{
			PrefillMS: p.l.PrefillMS,
		}, -1)
		p.l.PrefillMS = 0
	}
	b.f.version++
}

// PrefillEnded reports whether the prompt has been read.
func (b *Booking) PrefillEnded() bool { return b.read }

// End gives back all that is still counted.
func (b *Booking) End() {
	if b.ended {
		return
	}
	b.ended = true
	for _, p := range b.parts {
		p.s.own.add(p.l, -1)
	}
	b.f.version++
}
