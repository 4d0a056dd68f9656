package pwrouter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// pick is the state of one call of Pick.
type pick struct {
	rt              *Router
	g               *group
	r               *pwrequest.Request
	opts            PickOptions
	now             time.Time
	exclusionCounts [exclusionCount]int
	// expiredServer is a server whose last report was found to be too old. It is
	// taken out of the indexes only after the pick, because the pick reads them.
	expiredServer *server
}

// Pick returns a server for an attempt of r. Its cost doesn't grow with the number
// of servers: it draws random candidates from an index and checks at most maxProbes
// servers in each probe of a pool. Without a candidate it returns a NotRun refusal
// with CauseNoCandidate, whose message counts the excluded servers by reason.
func (rt *Router) Pick(now time.Time, r *pwrequest.Request, opts PickOptions) (Choice, error) {
	rt.advance(now)
	p := pick{
		rt: rt,
		g: rt.groupFor(groupKey{
			service: r.Service(),
			model:   r.Model(),
			adapter: r.Adapter(),
			version: opts.Version,
			role:    opts.Role,
		}),
		r:    r,
		opts: opts,
		now:  now,
	}
	p.g.updateLongShare(now)
	a, b := p.drawCandidates()
	if s := p.expiredServer; s != nil {
		defer s.markReportExpired()
	}
	if a == nil {
		if opts.Isolated {
			defer rt.holdServer(now, p.g)
		}
		return Choice{}, p.refusalError()
	}
	reason := "only"
	score := p.score(a, 0)
	if b != nil {
		reason = "less_loaded"
		if other := p.score(b, 0); other < score {
			a, score = b, other
		}
	}
	if h := p.affinityCandidate(score); h != nil {
		a, reason = h, "affinity"
	}
	return Choice{
		server:       a.s.id,
		address:      a.s.rep.Address,
		dataCentre:   a.s.rep.DataCentre,
		reason:       reason,
		class:        r.Class(),
		load:         int64(a.s.load(now, &rt.cfg, r.Class())),
		running:      a.s.runningCount(),
		bound:        a.s.runningBound(),
		longServers:  p.g.longServers,
		longCap:      p.g.longCap,
		knownServers: p.g.memberCount,
	}, nil
}

// poolPreference returns the two pools that the request may draw from, in order of
// preference. They are the same pool if there is only one. A short prompt shares a
// server with a long prefill only when no other server has room.
func (p *pick) poolPreference() (preferred, fallback int) {
	switch {
	case p.opts.Isolated:
		return poolIdle, poolIdle
	case p.r.Class() == pwrequest.Long:
		return poolForLong, poolForLong
	default:
		return poolNoLongPrefill, poolLongPrefill
	}
}

// drawCandidates returns up to two different random candidates.
func (p *pick) drawCandidates() (a, b *member) {
	preferred, fallback := p.poolPreference()
	pool := preferred
	if p.r.Class() == pwrequest.Medium && !p.opts.Isolated {
		// A medium prompt compares a server that has a long prefill in progress with
		// one that has none.
		a, b = p.probePool(poolLongPrefill, nil), p.probePool(poolNoLongPrefill, nil)
		if a == nil {
			return b, p.probePool(poolNoLongPrefill, b)
		}
		return a, b
	}
	if a = p.probePool(pool, nil); a == nil {
		if fallback == pool {
			return nil, nil
		}
		pool = fallback
		if a = p.probePool(pool, nil); a == nil {
			return nil, nil
		}
	}
	return a, p.probePool(pool, a)
}

// probePool returns a random candidate of a pool other than skip, or nil. In a pool
// of up to maxProbes members it checks all of them from a random start; in a larger
// one it checks maxLargePoolProbes random members.
func (p *pick) probePool(pool int, skip *member) *member {
	start := -1
	for i := range maxProbes {
		ms := p.g.pools[pool]
		n := len(ms)
		if n == 0 || n <= maxProbes && i >= n || n > maxProbes && i >= maxLargePoolProbes {
			return nil
		}
		if start < 0 || n > maxProbes {
			start = p.rt.rnd.IntN(n)
		} else {
			start = (start + 1) % n
		}
		m := ms[start]
		if m == skip {
			continue
		}
		x := p.checkMember(m)
		if x == eligible {
			return m
		}
		if x == reportExpired {
			p.expiredServer = m.s
		}
		if skip == nil {
			p.exclusionCounts[x]++
		}
	}
	return nil
}

// checkMember returns why a member can't serve the request, or eligible.
func (p *pick) checkMember(m *member) exclusion {
	s := m.s
	switch {
	case slices.Contains(p.opts.Excluded, s.id):
		return excludedByCaller
	case p.now.Sub(s.receivedAt) >= p.rt.cfg.ReportTimeout:
		return reportExpired
	case s.rep.MemoryTokens > 0 && s.reservedTokens()+p.r.MemoryTokens() > s.rep.MemoryTokens:
		return memoryFull
	case p.exceedsPrefillLimit(s):
		return prefillOverLimit
	case p.opts.Isolated && s.runningCount() > 0:
		return notIdle
	case p.r.Class() == pwrequest.Long && !s.hasLongPrompt() && (!m.longEligible || p.g.longServers >= p.g.longCap):
		return longCapReached
	default:
		return eligible
	}
}

// exceedsPrefillLimit reports whether the server has more prefill work ahead of the
// request than the request's class may wait for.
func (p *pick) exceedsPrefillLimit(s *server) bool {
	limit := p.r.Class().MaxPrefillAhead()
	return limit > 0 && s.prefillAhead(p.now, &p.rt.cfg, p.r.Class()) > float64(limit)
}

// score returns the server's load with the request added, less savedTokens for work
// that the prefix cache saves. The member with the lower score is preferred.
func (p *pick) score(m *member, savedTokens float64) float64 {
	s := m.s
	load := s.load(p.now, &p.rt.cfg, p.r.Class()) + float64(p.r.PromptTokens()) - savedTokens
	if dc := p.opts.LocalDataCentre; dc != "" && dc != s.rep.DataCentre {
		load += float64(p.rt.cfg.RemotePenalty)
	}
	// While there is demand for long prompts, short prompts avoid the servers that
	// are eligible for long ones. Medium prompts prefer these servers, because the
	// chunks of medium prompts delay short ones.
	short := p.r.Class() == pwrequest.Short
	if p.g.longShare >= longDemandThreshold && short == m.longEligible && p.r.Class() != pwrequest.Long {
		load += chunkTokens
	}
	if s.slowdown > slowdownTolerance {
		load *= min(s.slowdown, maxSlowdown)
	}
	return load
}

// affinityCandidate returns a member that has the prompt's prefix in its cache, has
// room for the request, and whose load exceeds that of the best other candidate by
// no more than AffinityShare of the prompt's tokens. It returns nil if there is none.
func (p *pick) affinityCandidate(bestScore float64) *member {
	if p.r.PrefixHash() == 0 {
		return nil
	}
	preferred, fallback := p.poolPreference()
	if p.r.Class() == pwrequest.Short {
		fallback = preferred
	}
	affinityTokens := p.rt.cfg.AffinityShare * float64(p.r.PromptTokens())
	for _, h := range p.rt.prefixes.servers(p.r.PrefixHash()) {
		if h.epoch != h.s.cacheEpoch {
			continue
		}
		for _, m := range h.s.members {
			if m.g == p.g && m.inEither(preferred, fallback) && p.checkMember(m) == eligible && p.score(m, affinityTokens) <= bestScore {
				return m
			}
		}
	}
	return nil
}

// refusalError returns the error for a pick without a candidate. For a long prompt it
// also records the unmet demand.
func (p *pick) refusalError() error {
	if p.r.Class() == pwrequest.Long {
		t := p.g.traffic
		t.unmetLongTokens = p.r.MemoryTokens()
		t.unmetLongUntil = p.now.Add(p.rt.cfg.LongShareWindow)
	}
	// Servers in the state eligible that aren't in the request's pools were excluded
	// without being checked.
	preferred, fallback := p.poolPreference()
	rest := p.g.countByState[eligible] - len(p.g.pools[preferred])
	switch {
	case p.opts.Isolated:
		p.exclusionCounts[notIdle] += max(0, rest)
	case p.r.Class() == pwrequest.Long:
		p.exclusionCounts[longCapReached] += rest
	default:
		p.exclusionCounts[reservedForLong] += rest - len(p.g.pools[fallback])
	}
	var b strings.Builder
	for x := eligible + 1; x < exclusionCount; x++ {
		n := p.exclusionCounts[x]
		if x < stateCount {
			n += p.g.countByState[x]
		}
		if n > 0 {
			fmt.Fprintf(&b, " %s=%d", exclusionCodes[x], n)
		}
	}
	if p.g.memberCount == 0 {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
			"no backend server of service %q offers model %q adapter %q",
			p.r.Service(), p.r.Model(), p.r.Adapter()).WithRetryAfter(noCandidateRetryAfter)
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
		"no candidate among %d backend servers:%s", p.g.memberCount, b.String()).
		WithRetryAfter(noCandidateRetryAfter)
}
