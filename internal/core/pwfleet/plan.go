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
	// Tokens is the length of the prompt; 0 for calls without one.
	Tokens int64
	// Output is the largest number of tokens that the answer may have.
	Output int64
	// DataCentre is that of the deciding process; nearer servers win ties.
	DataCentre string
	// Exclude holds servers that this request has been sent to already.
	Exclude map[string]bool
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
	// engine; the first server's comes first.
	Reservations []Reservation
	// ReadMS is the reading time of one part.
	ReadMS float64
	// Short is set for prompts that are read whole within a pass.
	Short bool
	// Reason says in a word what decided.
	Reason string
	memory int64
}

// IsShort reports whether a prompt is read within a pass on one engine.
func (f *Fleet) IsShort(r Request) bool {
	m, ok := f.models[r.Service]
	return !ok || m.Read(r.Tokens) <= f.cfg.ShortReadMS
}

// ReadMS returns the reading time of a request on one engine.
func (f *Fleet) ReadMS(r Request) float64 {
	m, ok := f.models[r.Service]
	if !ok {
		return 0
	}
	return m.Read(r.Tokens)
}

// Backlog returns the reading in flight per usable engine, in milliseconds.
func (f *Fleet) Backlog(now time.Time, service string) (perEngine float64, engines int) {
	total := 0.0
	for _, s := range f.ranked[service] {
		if f.usable(now, s, nil) == "" {
			total += s.load().ReadMS
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
		return "full"
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
	share := rate / float64(f.Processes())
	s.cold.refill(now, share, max(1, share/4))
	return s.cold.have >= 1
}

// errNoServer is returned when no server of the service may get work.
func errNoServer(service string, why map[string]int) error {
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
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
	case m.Read(r.Tokens) <= f.cfg.ShortReadMS:
		return f.planShort(r, m, cands)
	default:
		return f.planLong(r, m, cands)
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
	read := m.Read(r.Tokens)
	slots := max(1, m.Engine().Slots)
	fill := max(1, int(f.cfg.ShortFill*float64(slots)))
	var best *server
	bestPass := math.Inf(1)
	for _, s := range cands {
		l := s.load()
		if l.Requests >= slots || l.Memory+r.Tokens+r.Output > m.Engine().MemoryTokens {
			continue
		}
		pass := m.Pass(l.Requests+1, l.Memory+r.Tokens, l.ReadMS+read)
		if pass <= f.cfg.ShortPassMS && l.Requests < fill && s.badness < 1 {
			return f.shortPlan(r, s, read, "packed"), nil
		}
		if pass += 100 * s.badness; pass < bestPass {
			best, bestPass = s, pass
		}
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
		Server: s.info,
		ReadMS: read,
		Short:  true,
		Reason: reason,
		memory: r.Tokens + r.Output/2,
	}
}

// planLong spreads the reading of a long prompt over engines that have room.
func (f *Fleet) planLong(r Request, m pwcost.Model, cands []*server) (Plan, error) {
	total := m.Read(r.Tokens)
	slots := max(1, m.Engine().Slots)
	want := min(f.cfg.MaxParts, len(cands), int(math.Ceil(total/f.cfg.PartMS)))
	part := total / float64(want)
	type candidate struct {
		s *server
		l Load
	}
	var lane, mixed, rest []candidate
	for _, s := range cands {
		c := candidate{
			s: s,
			l: s.load(),
		}
		switch {
		case c.l.Requests >= slots:
			continue
		case c.l.Short == 0 && (c.l.ReadMS+part <= f.cfg.LaneMS || c.l.ReadMS == 0):
			lane = append(lane, c)
		case c.l.Short > 0 && c.l.LongMS == 0 && c.l.ReadMS+part <= f.cfg.MixedMS:
			mixed = append(mixed, c)
		default:
			rest = append(rest, c)
		}
	}
	byReading := func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.s.badness, b.s.badness),
			cmp.Compare(a.l.ReadMS, b.l.ReadMS),
			cmp.Compare(a.l.Requests, b.l.Requests),
			-cmp.Compare(a.s.hash, b.s.hash),
		)
	}
	slices.SortFunc(lane, byReading)
	slices.SortFunc(mixed, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.l.Short, b.l.Short), byReading(a, b))
	})
	chosen := lane
	reason := "lane"
	if len(chosen) < want {
		chosen = append(chosen, mixed...)
		reason = "lane_and_mixed"
	}
	if len(chosen) < want && r.Urgent {
		slices.SortFunc(rest, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(a.l.Short, b.l.Short), byReading(a, b))
		})
		chosen = append(chosen, rest...)
		reason = "urgent"
	}
	if len(chosen) < want && !r.Urgent && (len(chosen) == 0 || total/float64(len(chosen)) > f.cfg.LaneMS) {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CausePrefillBusy,
			"%d engines have room, %d are wanted", len(chosen), want)
	}
	if len(chosen) == 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "all slots of %q are taken", r.Service)
	}
	all := chosen
	chosen = chosen[:min(want, len(chosen))]
	need := r.Tokens + r.Output
	free := func(c candidate) int64 { return m.Engine().MemoryTokens - c.l.Memory }
	// The first engine keeps the whole prompt in its memory.
	first := slices.MaxFunc(chosen, func(a, b candidate) int { return cmp.Compare(free(a), free(b)) })
	if free(first) < need {
		if alt := slices.MaxFunc(all, func(a, b candidate) int { return cmp.Compare(free(a), free(b)) }); free(alt) >= need {
			first = alt
		}
	}
	p := Plan{
		Server: first.s.info,
		ReadMS: total / float64(len(chosen)),
		Reason: reason,
		memory: need,
	}
	for _, c := range chosen {
		if c.s != first.s && len(p.Helpers) < len(chosen)-1 {
			p.Helpers = append(p.Helpers, c.s.info)
		}
	}
	if free(first) >= need {
		return p, nil
	}
	share := roundUp(need*21/20/int64(len(chosen)), int64(ticketBlock))
	for _, c := range chosen {
		if free(c) < share {
			return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
				"%d tokens are wanted on %d engines, %d are free on one", need, len(chosen), free(c))
		}
	}
	p.memory = share
	p.Reservations = append(p.Reservations, Reservation{
		Server: first.s.info,
		Tokens: share,
	})
	for _, h := range p.Helpers {
		p.Reservations = append(p.Reservations, Reservation{
			Server: h,
			Tokens: share,
		})
	}
	return p, nil
}

// ticketBlock is the size to which engine memory is rounded, in tokens.
const ticketBlock = 64

func roundUp(n, block int64) int64 { return (n + block - 1) / block * block }

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
	l := Load{
		ReadMS:   p.ReadMS,
		Requests: 1,
		Memory:   p.memory,
	}
	if p.Short {
		l.Short = 1
	} else {
		l.LongMS = p.ReadMS
	}
	b.add(p.Server.ID, l)
	for i, h := range p.Helpers {
		hl := Load{
			ReadMS: p.ReadMS,
			LongMS: p.ReadMS,
		}
		if i+1 < len(p.Reservations) {
			hl.Memory = p.Reservations[i+1].Tokens
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

// FirstToken notes that the prompt has been read.
func (b *Booking) FirstToken() {
	if b.read || b.ended {
		return
	}
	b.read = true
	for i := range b.parts {
		p := &b.parts[i]
		p.s.own.add(Load{
			ReadMS: p.l.ReadMS,
			LongMS: p.l.LongMS,
		}, -1)
		p.l.ReadMS, p.l.LongMS = 0, 0
	}
	b.f.version++
}

// Read reports whether the prompt has been read.
func (b *Booking) Read() bool { return b.read }

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
