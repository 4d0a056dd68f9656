package pwfleet

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// Request describes a request that a server is selected for.
type Request struct {
	Service string
	// PromptTokens is the length of the prompt; 0 for calls without a prompt.
	PromptTokens int64
	// MaxOutputTokens is the largest number of tokens that the answer may have.
	MaxOutputTokens int64
	// DataCentre is the data centre of this process. Its servers are preferred among
	// otherwise equal ones.
	DataCentre string
	// Exclude holds the identifiers of servers that this request was already sent to.
	Exclude map[string]bool
	// MaxGap is the longest gap between events that the answer may have.
	MaxGap time.Duration
	// Late is set for a request that can no longer meet its targets. It must not
	// delay requests that still can.
	Late bool
	// Urgent allows a short prompt to exceed the slots and memory of the engines, for
	// a request that would miss its targets if it waited any longer.
	Urgent bool
}

// Reservation is engine memory that is reserved for one request.
type Reservation struct {
	Server pwcatalog.BackendServer
	Tokens int64
}

// Plan names the servers that a request is sent to.
type Plan struct {
	Server pwcatalog.BackendServer
	// Helpers are the engines that prefill parts of the prompt for Server.
	Helpers []pwcatalog.BackendServer
	// Reservations lists the memory reserved for a prompt that is too large for one
	// engine: first that of Server, then that of each helper. It is 0 tokens for a
	// helper that only prefills.
	Reservations []Reservation
	// PartPrefillMS is the prefill time of one part.
	PartPrefillMS float64
	// PrefillAheadMS is the prefill time queued before this prompt on the busiest of
	// the engines.
	PrefillAheadMS float64
	// Short is set for prompts whose whole prefill fits into one iteration.
	Short bool
	// Reason is the rule that led to this plan, as written to logs.
	Reason       string
	maxGap       time.Duration
	memoryTokens int64
}

// IsShort reports whether a prompt is short enough to be prefilled within one iteration
// of one engine. Requests to plain services always are.
func (f *Fleet) IsShort(r Request) bool {
	m, ok := f.models[r.Service]
	return !ok || m.PrefillMS(r.PromptTokens) <= f.cfg.ShortPrefillMS
}

// PrefillMS returns the prefill time of a request on one engine, or 0 for requests to
// plain services.
func (f *Fleet) PrefillMS(r Request) float64 {
	m, ok := f.models[r.Service]
	if !ok {
		return 0
	}
	return m.PrefillMS(r.PromptTokens)
}

// Backlog returns the mean prefill time in flight per usable engine, in milliseconds,
// and the number of usable engines.
func (f *Fleet) Backlog(now time.Time, service string) (perEngine float64, engines int) {
	total := 0.0
	for _, s := range f.inCell(service) {
		if f.unusableReason(now, s, nil) == "" {
			total += s.load().PrefillMS
			engines++
		}
	}
	return total / float64(max(1, engines)), engines
}

// unusableReason returns why a server gets no work, or "" if it may get work.
func (f *Fleet) unusableReason(now time.Time, s *server, exclude map[string]bool) string {
	if reason := f.closedReason(now, s); reason != "" {
		return reason
	}
	switch {
	case exclude[s.info.ID]:
		return reasonTried
	case now.Before(s.suspectUntil):
		return "suspect"
	case now.Before(s.fullUntil):
		return reasonFull
	case now.Before(s.coldUntil) && !f.coldRateAllows(now, s):
		return "cold"
	case s.isLimited() && !f.limitAllows(now, s):
		return "limited"
	}
	return ""
}

// closedReason returns why a server must get no request, also one that was planned there
// before, or "" if it may get some.
func (f *Fleet) closedReason(now time.Time, s *server) string {
	switch {
	case s.replaced || s.superseded:
		return reasonGone
	case s.leaving:
		return reasonDraining
	case !s.lapsesAt.IsZero() && now.After(s.lapsesAt):
		return reasonLapsed
	case now.Before(s.unconfirmedUntil):
		return "unconfirmed"
	case f.evacuated[s.info.DataCentre]:
		return reasonEvacuated
	case now.Before(s.restsUntil):
		return reasonResting
	}
	return ""
}

// Reasons of unusableReason that decisions depend on.
const (
	reasonGone      = "gone"
	reasonDraining  = "draining"
	reasonLapsed    = "lapsed"
	reasonEvacuated = "evacuated"
	reasonResting   = "resting"
	reasonTried     = "tried"
	// reasonFull is the reason for a server that has just rejected a request because it
	// was full.
	reasonFull = "full"
)

// noServerError returns the error for a request whose service has no usable server. reasons
// counts the servers by unusableReason. The error states when a retry may succeed if that
// is known.
func (f *Fleet) noServerError(now time.Time, r Request, reasons map[string]int) error {
	cause := pwverdict.CauseNoCandidate
	if reasons[reasonFull] > 0 {
		// A full server will soon accept work again.
		cause = pwverdict.CauseConcurrencyFull
	}
	err := pwverdict.New(pwverdict.NotRun, cause,
		"no backend server of %q may get work: %v", r.Service, reasons)
	if wait, known := f.nextRestEnd(now, r); known {
		spread := int(restSpread * float64(wait/time.Millisecond))
		return err.WithRetryAfter(wait + time.Duration(f.randIntN(spread+1))*time.Millisecond)
	}
	return err
}

// candidates returns the servers that may get work: those of the own cell, or if there
// are none, those of other cells. Suspect servers are among them only if there are no
// others.
func (f *Fleet) candidates(now time.Time, r Request) ([]*server, error) {
	cell, all := f.inCell(r.Service), f.byService[r.Service]
	reasons := make(map[string]int)
	for _, list := range [][]*server{cell, all} {
		if out := f.usable(now, r, list, reasons); len(out) > 0 {
			return out, nil
		}
		if len(cell) == len(all) {
			break
		}
		clear(reasons)
	}
	// A suspect server may still succeed, so it is preferred to a refusal.
	var out []*server
	for _, s := range all {
		if now.Before(s.suspectUntil) {
			until := s.suspectUntil
			s.suspectUntil = time.Time{}
			if f.unusableReason(now, s, r.Exclude) == "" {
				out = append(out, s)
			}
			s.suspectUntil = until
		}
	}
	if len(out) == 0 {
		return nil, f.noServerError(now, r, reasons)
	}
	return out, nil
}

// usable returns the servers of a list that may get work, and counts the others in
// reasons.
func (f *Fleet) usable(now time.Time, r Request, list []*server, reasons map[string]int) []*server {
	var out []*server
	for _, s := range list {
		if reason := f.unusableReason(now, s, r.Exclude); reason != "" {
			reasons[reason]++
			continue
		}
		out = append(out, s)
	}
	return out
}

// Plan selects the servers for a request. The error always has the verdict NotRun. Its
// cause is CausePrefillBusy, CauseMemoryFull or CauseConcurrencyFull if the request
// should wait for busy servers, and CauseNoCandidate if no server may get work.
func (f *Fleet) Plan(now time.Time, r Request) (Plan, error) {
	f.UpdateProgress(now)
	f.updateMix(now)
	cands, err := f.candidates(now, r)
	if err != nil {
		return Plan{}, err
	}
	m, ok := f.models[r.Service]
	switch {
	case !ok:
		return f.planPlain(r, cands), nil
	case m.PrefillMS(r.PromptTokens) <= f.cfg.ShortPrefillMS:
		return planPreferringFast(now, cands, func(cands []*server) (Plan, error) { return f.planShort(now, r, m, cands) })
	default:
		return planPreferringFast(now, excludeLimited(cands), func(cands []*server) (Plan, error) { return f.planLong(now, r, m, cands) })
	}
}

// planPlain selects the server with the fewest requests for a request to a plain
// service. Each point of the failure score counts as two requests.
func (f *Fleet) planPlain(r Request, cands []*server) Plan {
	best := slices.MinFunc(cands, func(a, b *server) int {
		return cmp.Or(
			cmp.Compare(float64(a.load().Requests)+2*a.failureScore, float64(b.load().Requests)+2*b.failureScore),
			cmp.Compare(distance(a, r), distance(b, r)),
			cmp.Compare(a.hash, b.hash),
		)
	})
	return Plan{
		Server: best.info,
		Reason: "least_requests",
	}
}

// distance returns 0 for servers in the data centre of the request and 1 for others.
func distance(s *server, r Request) int {
	if s.info.DataCentre == r.DataCentre {
		return 0
	}
	return 1
}

// planShort packs short prompts onto the first engines in the order whose iterations
// stay below Config.ShortIterationMS, and otherwise sends them to those with the shortest
// iterations.
func (f *Fleet) planShort(now time.Time, r Request, m pwcost.Model, cands []*server) (Plan, error) {
	prefillMS := m.PrefillMS(r.PromptTokens)
	slots := max(1, m.Engine().Slots)
	fill, maxIterationMS := f.shortBounds(cands, slots)
	maxRequests := max(1, int(fill*float64(slots)))
	// The draw spreads the requests that other processes have just sent, in the same
	// order, over as many engines.
	window := min(len(cands), 1+int(math.Ceil(f.unseenRequests(now))))
	pool := make([]*server, 0, window)
	var others []loadedServer
	for _, s := range cands {
		l := s.load()
		if l.Requests >= slots || l.MemoryTokens+r.PromptTokens+r.MaxOutputTokens > m.Engine().MemoryTokens {
			continue
		}
		iterationMS := m.IterationMS(l.Requests+1, l.MemoryTokens+r.PromptTokens, l.PrefillMS+prefillMS)
		if iterationMS > maxIterationMS || l.Requests >= maxRequests || s.failureScore >= 1 {
			others = append(others, loadedServer{
				server:      s,
				iterationMS: iterationMS + shortFailurePenaltyMS*s.failureScore,
			})
			continue
		}
		if pool = append(pool, s); len(pool) >= window {
			return f.newShortPlan(r, pool[f.randIntN(len(pool))], prefillMS, "packed"), nil
		}
	}
	packed := len(pool)
	slices.SortStableFunc(others, func(a, b loadedServer) int { return cmp.Compare(a.iterationMS, b.iterationMS) })
	for _, o := range others[:min(len(others), window-packed)] {
		pool = append(pool, o.server)
	}
	if len(pool) == 0 {
		if !r.Urgent {
			return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "all slots of %q are taken", r.Service)
		}
		least := slices.MinFunc(cands, func(a, b *server) int { return cmp.Compare(a.load().Requests, b.load().Requests) })
		return f.newShortPlan(r, least, prefillMS, "shortest_pass"), nil
	}
	i := f.randIntN(len(pool))
	reason := "shortest_pass"
	if i < packed {
		reason = "packed"
	}
	return f.newShortPlan(r, pool[i], prefillMS, reason), nil
}

// shortBounds returns up to which fraction of its slots and up to which iteration an engine
// is filled with short prompts before the next one. Full engines leave others free for long
// prompts. While many slots are taken anyway, or peers are not heard, more is left for
// requests that this process does not see.
func (f *Fleet) shortBounds(cands []*server, slots int) (fill, iterationMS float64) {
	requests := 0
	for _, s := range cands {
		requests += s.load().Requests
	}
	if float64(requests) > f.cfg.BusyShare*float64(slots*len(cands)) || f.unheardShare() >= minShuffleShare {
		return f.cfg.BusyShortFill, f.cfg.BusyShortIterationMS
	}
	return f.cfg.ShortFill, f.cfg.ShortIterationMS
}

// shortFailurePenaltyMS is the iteration time by which each point of an engine's failure
// score worsens its place among the engines for a short prompt.
const shortFailurePenaltyMS = 100.0

// loadedServer is an engine with the iteration that it would have with one more short
// prompt.
type loadedServer struct {
	server      *server
	iterationMS float64
}

func (f *Fleet) newShortPlan(r Request, s *server, prefillMS float64, reason string) Plan {
	return Plan{
		Server:        s.info,
		PartPrefillMS: prefillMS,
		Short:         true,
		Reason:        reason,
		maxGap:        r.MaxGap,
		memoryTokens:  r.PromptTokens + r.MaxOutputTokens/2,
	}
}

// candidate is an engine with its load at the time of planning.
type candidate struct {
	server *server
	load   Load
	// order decides between equal engines.
	order uint64
	// tier ranks the engine by the shortest gap that its streams allow; see tierIdle.
	tier int
	// headroomMS is the prefill time that the engine can accept before the gaps of
	// its streams become too long.
	headroomMS float64
	// busy is set for an engine that gets no part before it has ended another.
	busy bool
}

// planLong spreads the prefill of a long prompt over engines with headroom. Most of
// the prefill goes to engines that decode nothing, while the answer is decoded on an
// engine that already decodes others, so that only few engines have to keep their
// gaps short.
func (f *Fleet) planLong(now time.Time, r Request, m pwcost.Model, cands []*server) (Plan, error) {
	totalMS := m.PrefillMS(r.PromptTokens)
	neededTokens := r.PromptTokens + r.MaxOutputTokens
	available := f.enginesWithFreeSlots(now, m, cands)
	if len(available) == 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseConcurrencyFull, "all slots of %q are taken", r.Service)
	}
	chosen, reason := f.chooseEngines(r, totalMS, available)
	if len(chosen) == 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CausePrefillBusy,
			"%.0f ms of reading don't fit into the room of %d engines", totalMS, len(available))
	}
	freeTokens := func(c candidate) int64 { return m.Engine().MemoryTokens - c.load.MemoryTokens }
	partMS := totalMS / float64(len(chosen))
	first, found := f.chooseFirst(available, func(c candidate) bool {
		return freeTokens(c) >= neededTokens && c.headroomMS >= partMS && c.load.Requests < m.Engine().Slots
	})
	if !found {
		first = slices.MaxFunc(chosen, func(a, b candidate) int {
			return cmp.Or(cmp.Compare(min(freeTokens(a), neededTokens), min(freeTokens(b), neededTokens)), -cmp.Compare(a.load.Requests, b.load.Requests))
		})
	}
	p := Plan{
		Server:        first.server.info,
		PartPrefillMS: totalMS / float64(len(chosen)),
		Reason:        reason,
		maxGap:        r.MaxGap,
		memoryTokens:  neededTokens,
	}
	p.PrefillAheadMS = first.load.PrefillMS
	for _, c := range chosen {
		if c.server != first.server && len(p.Helpers) < len(chosen)-1 {
			p.Helpers = append(p.Helpers, c.server.info)
			p.PrefillAheadMS = max(p.PrefillAheadMS, c.load.PrefillMS)
		}
	}
	if freeTokens(first) >= neededTokens {
		return p, nil
	}
	// The reservation of the first engine takes one place in the list of helpers, so
	// that one helper fewer fits.
	if len(chosen) == f.cfg.MaxParts {
		chosen = slices.DeleteFunc(slices.Clone(chosen), func(c candidate) bool { return c.server == chosen[len(chosen)-1].server && c.server != first.server })
		p.PartPrefillMS = totalMS / float64(len(chosen))
	}
	return f.reserveMemory(p, first.server, slices.Collect(func(yield func(*server) bool) {
		for _, c := range chosen {
			if c.server != first.server && !yield(c.server) {
				return
			}
		}
	}), m.Engine().MemoryTokens, neededTokens)
}

// DescribeRoom describes the engines with a free slot, for the log line of a long prompt that
// found no room: for each tier their number, their mean prefill in flight and their mean
// headroom, both in milliseconds.
func (f *Fleet) DescribeRoom(now time.Time, r Request) string {
	m, ok := f.models[r.Service]
	cands, err := f.candidates(now, r)
	if !ok || err != nil {
		return "none"
	}
	sorted := f.enginesWithFreeSlots(now, m, cands)
	var b strings.Builder
	for tier, name := range []string{"idle", "loose", "medium", "tight"} {
		n, prefillMS, headroomMS := 0, 0.0, 0.0
		for _, c := range sorted {
			if c.tier == tier {
				n++
				prefillMS += c.load.PrefillMS
				headroomMS += max(0, c.headroomMS)
			}
		}
		if n > 0 {
			fmt.Fprintf(&b, " %s %d/%.0f/%.0f", name, n, prefillMS/float64(n), headroomMS/float64(n))
		}
	}
	return strings.TrimSpace(b.String())
}

// chooseFirst draws the engine that holds the KV cache of a whole prompt and decodes the
// answer: one of those in the highest tier that fit. Processes that decide at the same
// time would otherwise take the same one, whose memory fits only one long prompt.
func (f *Fleet) chooseFirst(available []candidate, fits func(candidate) bool) (first candidate, found bool) {
	// The candidates are sorted by tier.
	var highest []candidate
	for _, c := range slices.Backward(available) {
		if len(highest) > 0 && c.tier < highest[0].tier {
			break
		}
		if fits(c) {
			highest = append(highest, c)
		}
	}
	if len(highest) == 0 {
		return candidate{}, false
	}
	return highest[f.randIntN(len(highest))], true
}

// enginesWithFreeSlots returns the engines with a free slot that accept parts, sorted
// by tier and then by the prefill in flight. Equal ones are in the reverse of the order in
// which short prompts fill them, or in a random one if processes of the cell are not
// heard: these would otherwise choose the same engines.
func (f *Fleet) enginesWithFreeSlots(now time.Time, m pwcost.Model, cands []*server) []candidate {
	var available []candidate
	shuffled := f.unheardShare() >= minShuffleShare
	for _, s := range cands {
		l := s.load()
		if l.Requests >= m.Engine().Slots || now.Before(s.noPrefillUntil) {
			continue
		}
		order := s.hash
		if shuffled {
			order = uint64(f.randIntN(math.MaxInt32))
		}
		tier, allowance := f.prefillAllowance(m, l)
		busy := f.hasPartInProgress(now, l)
		if busy {
			allowance = 0
		}
		available = append(available, candidate{
			server:     s,
			load:       l,
			order:      order,
			tier:       tier,
			headroomMS: allowance - l.PrefillMS - f.cfg.FailurePenaltyMS*s.failureScore,
			busy:       busy,
		})
	}
	slices.SortFunc(available, func(a, b candidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(a.load.PrefillMS, b.load.PrefillMS),
			cmp.Compare(a.load.Requests, b.load.Requests),
			-cmp.Compare(a.order, b.order),
		)
	})
	return available
}

// prefillAllowance returns the tier of an engine and the prefill time that fits into
// one of its iterations without making the gaps of its streams too long. Engines that
// decode nothing may accept more, because only the prefill queued behind is delayed.
func (f *Fleet) prefillAllowance(m pwcost.Model, l Load) (tier int, ms float64) {
	iterationMS := m.IterationMS(l.Requests, l.MemoryTokens, 0)
	within := func(gap time.Duration) float64 {
		return min(f.cfg.MaxPrefillMS, float64(gap.Milliseconds())*f.cfg.GapShare-iterationMS)
	}
	switch {
	case l.TightStreams > 0:
		return tierTight, within(f.cfg.TightGap)
	case l.MediumStreams > 0:
		return tierMedium, within(f.cfg.MediumGap)
	case l.Requests > 0:
		return tierLoose, within(f.cfg.LooseGap)
	default:
		return tierIdle, f.cfg.MaxPrefillMS
	}
}

// Tiers of engines by the shortest gap that their streams allow, from engines that
// decode nothing to engines with streams that allow only short gaps.
const (
	tierIdle = iota
	tierLoose
	tierMedium
	tierTight
)

// chooseEngines returns the engines that share the prefill of a prompt, or none if the
// prompt has to wait. It tries the number of engines that results in parts of
// Config.PartPrefillMS first, then more engines, then fewer. Parts may exceed
// Config.MaxPrefillMS if the prompt is very long for the available engines.
func (f *Fleet) chooseEngines(r Request, totalMS float64, available []candidate) (chosen []candidate, reason string) {
	if r.Late {
		available = available[:countBelowTier(available, tierTight)]
		if len(available) == 0 {
			return nil, ""
		}
	}
	maxParts := min(f.cfg.MaxParts, len(available))
	// The minimum is taken before the conversion: that of a number beyond int differs
	// between architectures, and a negative one would take the loop below forever.
	preferred := int(min(float64(maxParts), math.Ceil(totalMS/f.cfg.PartPrefillMS)))
	for k := preferred; k <= maxParts; k++ {
		if chosen = firstWithHeadroom(available, totalMS/float64(k), k); chosen != nil {
			return chosen, "spread"
		}
	}
	for k := preferred - 1; k > 0 && totalMS/float64(k) <= f.cfg.MaxPrefillMS; k-- {
		if chosen = firstWithHeadroom(available, totalMS/float64(k), k); chosen != nil {
			return chosen, "fewer_engines"
		}
	}
	if totalMS <= min(f.cfg.PartPrefillMS*float64(f.cfg.MaxParts), f.cfg.MaxPrefillMS*float64(maxParts)) {
		return nil, ""
	}
	if chosen = f.chooseHeavy(r, totalMS, available); chosen != nil {
		return chosen, "heavy"
	}
	return nil, ""
}

// chooseHeavy returns the engines for a prompt whose parts exceed the headroom of all
// engines. It uses engines that decode nothing, up to Config.MaxHeavyPrefillMS, and
// engines whose streams allow long gaps if the part fits into their headroom.
func (f *Fleet) chooseHeavy(r Request, totalMS float64, available []candidate) []candidate {
	maxPartMS, queues := f.cfg.MaxHeavyPrefillMS, f.mayQueueParts(r, totalMS)
	if queues {
		maxPartMS = f.cfg.MaxQueuedPartMS
	}
	idle := countBelowTier(available, tierLoose)
	loose := countBelowTier(available, tierMedium)
	for _, n := range []int{idle, loose} {
		for k := min(n, f.cfg.MaxParts); k > 0; k-- {
			partMS := totalMS / float64(k)
			if partMS > maxPartMS {
				break
			}
			var out []candidate
			for _, c := range available[:n] {
				if f.fitsHeavy(c, partMS, queues) {
					out = append(out, c)
				}
			}
			if len(out) >= k {
				return out[:k]
			}
		}
	}
	// Waiting makes no room for a prompt that is too long even for engines without any
	// work.
	if n := min(len(available), f.cfg.MaxParts); countUnused(available) >= n {
		return available[:n]
	}
	return nil
}

// mayQueueParts reports whether the parts of a prompt may be longer than what an engine
// that decodes nothing accepts, and queue behind shorter ones: those of a prompt that is
// too long for the usual headroom however many engines share it. Shorter prompts would
// otherwise take all room, because less of it is enough for them. A late prompt does not
// delay those that can still be in time.
func (f *Fleet) mayQueueParts(r Request, totalMS float64) bool {
	return !r.Late && f.cfg.MaxQueuedPartMS > f.cfg.MaxHeavyPrefillMS &&
		totalMS > f.cfg.MaxPrefillMS*float64(f.cfg.MaxParts)
}

// fitsHeavy reports whether an engine accepts a part of a very long prompt. For a part that
// may queue only the prefill ahead of it counts, whatever its own length.
func (f *Fleet) fitsHeavy(c candidate, partMS float64, mayQueue bool) bool {
	if c.headroomMS >= partMS {
		return true
	}
	if c.tier != tierIdle || c.busy {
		return false
	}
	return c.load.PrefillMS+partMS <= f.cfg.MaxHeavyPrefillMS || mayQueue && c.load.PrefillMS <= f.cfg.MaxPrefillMS
}

// countUnused returns the number of candidates at the start of the list that neither
// decode nor prefill.
func countUnused(sorted []candidate) int {
	n := 0
	for n < len(sorted) && sorted[n].tier == tierIdle && sorted[n].load.PrefillMS == 0 {
		n++
	}
	return n
}

// countBelowTier returns the number of candidates in tiers below tier. The candidates
// are sorted by tier.
func countBelowTier(sorted []candidate, tier int) int {
	n := 0
	for n < len(sorted) && sorted[n].tier < tier {
		n++
	}
	return n
}

// firstWithHeadroom returns the first k engines with headroom for a part, or nil if
// there are fewer.
func firstWithHeadroom(available []candidate, partMS float64, k int) []candidate {
	var out []candidate
	for _, c := range available {
		if c.headroomMS < partMS {
			continue
		}
		if out = append(out, c); len(out) == k {
			return out
		}
	}
	return nil
}

// reserveMemory spreads the KV cache of a prompt that is too large for one engine over
// the first engine and the helpers, those with the most free memory first.
func (f *Fleet) reserveMemory(p Plan, first *server, helpers []*server, engineTokens, neededTokens int64) (Plan, error) {
	freeTokens := func(s *server) int64 {
		return roundDown((engineTokens-s.load().MemoryTokens)*maxReservedPercent/100, memoryBlockTokens)
	}
	slices.SortStableFunc(helpers, func(a, b *server) int { return cmp.Compare(freeTokens(b), freeTokens(a)) })
	p.Helpers = p.Helpers[:0]
	remaining := roundUp(neededTokens*reservationSlackPercent/100, memoryBlockTokens)
	for _, s := range append([]*server{first}, helpers...) {
		reserved := min(remaining, max(0, freeTokens(s)))
		if s != first {
			p.Helpers = append(p.Helpers, s.info)
		} else {
			p.memoryTokens = reserved
		}
		p.Reservations = append(p.Reservations, Reservation{
			Server: s.info,
			Tokens: reserved,
		})
		remaining -= reserved
	}
	if remaining > 0 {
		return Plan{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull,
			"%d tokens of memory are needed, %d of them are not free on %d engines", neededTokens, remaining, len(helpers)+1)
	}
	return p, nil
}

const (
	// maxReservedPercent is the share of an engine's free memory that one prompt may
	// reserve, so that short answers can still start there.
	maxReservedPercent = 85
	// reservationSlackPercent is the reserved memory in percent of the need. The
	// excess covers the rounding of each reservation to blocks.
	reservationSlackPercent = 102
)

// memoryBlockTokens is the block size to which reservations are rounded, in tokens.
const memoryBlockTokens = 64

func roundDown(n, block int64) int64 { return n / block * block }

func roundUp(n, block int64) int64 { return (n + block - 1) / block * block }

// loadStepsPerMS is the resolution of prefill times in a Load. It is a power of two,
// so that sums of rounded times are exact.
const loadStepsPerMS = 1024

// Assignment counts the load of one request on its servers until the request ends.
type Assignment struct {
	f            *Fleet
	loads        []assignedLoad
	prefillEnded bool
	ended        bool
	// tracked is set if the expected progress of the parts is tracked.
	tracked bool
}

// assignedLoad is the load that an Assignment still counts on one server.
type assignedLoad struct {
	server *server
	load   Load
}

// Start adds the load of a plan to its servers. The caller ends the Assignment when the
// request ends.
func (f *Fleet) Start(now time.Time, p Plan) *Assignment {
	a := &Assignment{
		f: f,
	}
	// Rounding makes the sums exact, so that no load remains after all assignments end.
	partMS := roundPrefill(p.PartPrefillMS)
	l := Load{
		PrefillMS:    partMS,
		Requests:     1,
		MemoryTokens: p.memoryTokens,
	}
	switch {
	case p.maxGap <= 0:
	case p.maxGap <= f.cfg.TightGap:
		l.TightStreams = 1
	case p.maxGap <= f.cfg.MediumGap:
		l.MediumStreams = 1
	}
	m, hasModel := f.models[p.Server.Service]
	a.tracked = hasModel && len(p.Helpers) > 0 && f.IsDemandUneven(now)
	add := func(id string, l Load) {
		ahead := f.loadOf(id)
		if a.add(id, l) && a.tracked {
			f.trackPart(now, a, m, ahead)
		}
	}
	add(p.Server.ID, l)
	if hasModel {
		f.arrivals.add(now, 1)
		f.recordMix(now, Load{}, l)
	}
	for i, h := range p.Helpers {
		helperLoad := Load{
			PrefillMS: partMS,
		}
		if i+1 < len(p.Reservations) {
			helperLoad.MemoryTokens = p.Reservations[i+1].Tokens
		}
		add(h.ID, helperLoad)
	}
	if s := f.servers[p.Server.ID]; s != nil {
		s.recordSend(now)
		if now.Before(s.coldUntil) {
			s.coldBucket.tokens--
		}
	}
	f.version++
	return a
}

// loadOf returns the load of a server, or none if it was removed.
func (f *Fleet) loadOf(id string) Load {
	if s := f.servers[id]; s != nil {
		return s.load()
	}
	return Load{}
}

// add adds a load to a server, unless the server was removed after planning. It reports
// whether it has.
func (a *Assignment) add(id string, l Load) bool {
	s := a.f.servers[id]
	if s == nil {
		return false
	}
	s.ownLoad.addScaled(l, 1)
	a.loads = append(a.loads, assignedLoad{
		server: s,
		load:   l,
	})
	return true
}

// EndPrefill removes the prefill from the load, once the prompt has been prefilled. It
// has no effect after the first call or after End.
func (a *Assignment) EndPrefill() {
	if a.prefillEnded || a.ended {
		return
	}
	a.prefillEnded = true
	for i := range a.loads {
		p := &a.loads[i]
		a.f.freedMS += p.load.PrefillMS
		p.server.ownLoad.addScaled(Load{
			PrefillMS: p.load.PrefillMS,
		}, -1)
		p.load.PrefillMS = 0
	}
	a.f.version++
}

// IsTracked reports whether the load shrinks with the expected progress of the parts; see
// Fleet.UpdateProgress.
func (a *Assignment) IsTracked() bool { return a.tracked }

// PrefillEnded reports whether EndPrefill was called before End.
func (a *Assignment) PrefillEnded() bool { return a.prefillEnded }

// End removes the remaining load. It has no effect after the first call.
func (a *Assignment) End() {
	if a.ended {
		return
	}
	a.ended = true
	for _, p := range a.loads {
		a.f.freedMS += p.load.PrefillMS
		p.server.ownLoad.addScaled(p.load, -1)
	}
	a.f.version++
}
