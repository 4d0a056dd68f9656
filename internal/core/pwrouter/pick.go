package pwrouter

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// pick is the state of one decision.
type pick struct {
	rt     *Router
	g      *group
	r      *pwrequest.Request
	opts   PickOptions
	now    time.Time
	counts [exclusionCount]int
	// stale is a server that was found without a recent report. It leaves the
	// indexes after the pick.
	stale *server
}

// Pick returns a server for an attempt of r. It doesn't scan the servers: it
// draws candidates from an index and looks at no more than maxProbes of each
// pool. Without a candidate it returns a NotRun refusal with CauseNoCandidate
// that counts the excluded servers by reason.
func (rt *Router) Pick(now time.Time, r *pwrequest.Request, opts PickOptions) (Choice, error) {
	rt.advance(now)
	p := pick{
		rt: rt,
		g: rt.groupOf(groupKey{
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
	p.g.adapt(now)
	a, b := p.draw()
	if s := p.stale; s != nil {
		defer s.expire()
	}
	if a == nil {
		if opts.Isolated {
			defer rt.hold(now, p.g)
		}
		return Choice{}, p.refusal()
	}
	reason := "only"
	score := p.score(a, 0)
	if b != nil {
		reason = "less_loaded"
		if other := p.score(b, 0); other < score {
			a, score = b, other
		}
	}
	if h := p.holder(score); h != nil {
		a, reason = h, "affinity"
	}
	return Choice{
		server:     a.s.id,
		address:    a.s.rep.Address,
		dataCentre: a.s.rep.DataCentre,
		reason:     reason,
		class:      r.Class(),
		load:       int64(a.s.load(now, &rt.cfg, r.Class())),
		running:    a.s.running(),
		bound:      a.s.bound(),
		longs:      p.g.longs,
		longCap:    p.g.cap,
		known:      p.g.members,
	}, nil
}

// pools returns the pools that a request may draw from, in order of
// preference. Short prompts share a server with a long one only when no other
// server has room.
func (p *pick) pools() (preferred, otherwise int) {
	switch {
	case p.opts.Isolated:
		return poolIdle, poolIdle
	case p.r.Class() == pwrequest.Long:
		return poolLong, poolLong
	default:
		return poolClear, poolShared
	}
}

// draw returns up to two different random candidates.
func (p *pick) draw() (a, b *member) {
	preferred, otherwise := p.pools()
	pool := preferred
	if p.r.Class() == pwrequest.Medium && !p.opts.Isolated {
		// Medium prompts compare both kinds of servers.
		a, b = p.probe(poolShared, nil), p.probe(poolClear, nil)
		if a == nil {
			return b, p.probe(poolClear, b)
		}
		return a, b
	}
	if a = p.probe(pool, nil); a == nil {
		if otherwise == pool {
			return nil, nil
		}
		pool = otherwise
		if a = p.probe(pool, nil); a == nil {
			return nil, nil
		}
	}
	return a, p.probe(pool, a)
}

// probe returns a random candidate of a pool other than not, or nil. A small
// pool is looked at from a random start to its end; in a large one
// maxLargeProbes members are drawn.
func (p *pick) probe(pool int, not *member) *member {
	start := -1
	for i := range maxProbes {
		ms := p.g.pools[pool]
		n := len(ms)
		if n == 0 || n <= maxProbes && i >= n || n > maxProbes && i >= maxLargeProbes {
			return nil
		}
		if start < 0 || n > maxProbes {
			start = p.rt.rnd.IntN(n)
		} else {
			start = (start + 1) % n
		}
		m := ms[start]
		if m == not {
			continue
		}
		x := p.check(m)
		if x == open {
			return m
		}
		if x == noReport {
			p.stale = m.s
		}
		if not == nil {
			p.counts[x]++
		}
	}
	return nil
}

// check returns why a member can't serve the request, or open.
func (p *pick) check(m *member) exclusion {
	s := m.s
	switch {
	case slices.Contains(p.opts.Excluded, s.id):
		return excluded
	case p.now.Sub(s.receivedAt) >= p.rt.cfg.ReportTimeout:
		return noReport
	case s.rep.MemoryTokens > 0 && s.reserved()+p.r.MemoryTokens() > s.rep.MemoryTokens:
		return memoryFull
	case p.prefillBusy(s):
		return prefillBusy
	case p.opts.Isolated && s.running() > 0:
		return notIdle
	case p.r.Class() == pwrequest.Long && !s.hasLong() && (!m.zone || p.g.longs >= p.g.cap):
		return longCap
	default:
		return open
	}
}

// prefillBusy reports whether more prefill would go before the request than its
// class may wait for.
func (p *pick) prefillBusy(s *server) bool {
	limit := p.r.Class().MaxPrefillAhead()
	return limit > 0 && s.prefillAhead(p.now, &p.rt.cfg, p.r.Class()) > float64(limit)
}

// score returns the load with the request added, less the tokens that are
// already in the server's cache; less is better.
func (p *pick) score(m *member, saved float64) float64 {
	s := m.s
	load := s.load(p.now, &p.rt.cfg, p.r.Class()) + float64(p.r.PromptTokens()) - saved
	if dc := p.opts.LocalDataCentre; dc != "" && dc != s.rep.DataCentre {
		load += float64(p.rt.cfg.RemotePenalty)
	}
	// While there are long prompts, short ones keep out of their zone, and medium
	// prompts, whose chunks would hold short ones up, prefer it.
	short := p.r.Class() == pwrequest.Short
	if p.g.share >= minLongShare && short == m.zone && p.r.Class() != pwrequest.Long {
		load += chunkTokens
	}
	if s.slowness > slowTolerance {
		load *= min(s.slowness, maxSlowness)
	}
	return load
}

// holder returns a server that holds the prompt's prefix, has room for the
// request and isn't loaded more than the best other candidate by more than the
// work that the cache saves.
func (p *pick) holder(best float64) *member {
	if p.r.PrefixHash() == 0 {
		return nil
	}
	preferred, beside := p.pools()
	if p.r.Class() == pwrequest.Short {
		beside = preferred
	}
	saved := p.rt.cfg.AffinityShare * float64(p.r.PromptTokens())
	for _, h := range p.rt.cache.holders(p.r.PrefixHash()) {
		if h.epoch != h.s.epoch {
			continue
		}
		for _, m := range h.s.members {
			if m.g == p.g && m.in(preferred, beside) && p.check(m) == open && p.score(m, saved) <= best {
				return m
			}
		}
	}
	return nil
}

// refusal returns the error for a pick without a candidate.
func (p *pick) refusal() error {
	if p.r.Class() == pwrequest.Long {
		t := p.g.traffic
		t.unmet = p.r.MemoryTokens()
		t.unmetUntil = p.now.Add(p.rt.cfg.LongShareWindow)
	}
	// Open servers that aren't in the pools were excluded without being drawn.
	preferred, otherwise := p.pools()
	rest := p.g.states[open] - len(p.g.pools[preferred])
	switch {
	case p.opts.Isolated:
		p.counts[notIdle] += max(0, rest)
	case p.r.Class() == pwrequest.Long:
		p.counts[longCap] += rest
	default:
		p.counts[reservedLong] += rest - len(p.g.pools[otherwise])
	}
	var b strings.Builder
	for x := open + 1; x < exclusionCount; x++ {
		n := p.counts[x]
		if x < stateCount {
			n += p.g.states[x]
		}
		if n > 0 {
			fmt.Fprintf(&b, " %s=%d", exclusionCodes[x], n)
		}
	}
	if p.g.members == 0 {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
			"no backend server of service %q offers model %q adapter %q",
			p.r.Service(), p.r.Model(), p.r.Adapter()).WithRetryAfter(noCandidateDelay)
	}
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNoCandidate,
		"no candidate among %d backend servers:%s", p.g.members, b.String()).
		WithRetryAfter(noCandidateDelay)
}
