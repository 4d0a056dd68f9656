// Package pwrouter picks a backend server for each attempt of a request.
//
// A pick considers the servers that offer the service, model, adapter, version and
// role, aren't marked out of service and have room. It prefers a server that has
// the prompt's prefix in its cache, and otherwise takes the less loaded of two
// random candidates. Only a share of the servers may run long prompts, so that
// short prompts find servers without one. The share follows the demand.
//
// # Usage
//
//	rt := pwrouter.New(pwrouter.Config{}, rnd)
//	rt.Upsert(now, report) // for each load report
//	choice, err := rt.Pick(now, r, pwrouter.PickOptions{})
//	if err != nil {
//		return err // not_run, no_candidate
//	}
//	rt.RecordStart(choice.Server(), r)
//	// send the attempt to choice.Address()
//	rt.RecordEnd(now, choice.Server(), r, pwrouter.Completed)
//
// Each RecordStart must be followed by one RecordEnd.
package pwrouter

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Router picks backend servers. It isn't safe for concurrent use.
type Router struct {
	cfg     Config
	rnd     *rand.Rand
	servers map[pwrequest.BackendServerID]*server
	groups  map[groupKey]*group
	traffic map[groupKey]*traffic
	// outMarks holds the names that are marked out of service, by scope.
	outMarks       [2]map[string]struct{}
	ejectedServers ejectionHeap
	// heldServers holds the servers that are held for isolated requests.
	heldServers []*server
	prefixes    prefixIndex
	// clock is the latest time that a caller has passed in.
	clock time.Time
	// useSeq numbers the uses of groups, to find the least recently used one.
	useSeq uint64
}

// New returns a router without servers, which draws its random numbers from rnd.
func New(cfg Config, rnd *rand.Rand) *Router {
	cfg = cfg.withDefaults()
	return &Router{
		cfg:     cfg,
		rnd:     rnd,
		servers: make(map[pwrequest.BackendServerID]*server),
		groups:  make(map[groupKey]*group),
		traffic: make(map[groupKey]*traffic),
		outMarks: [2]map[string]struct{}{
			ScopeDataCentre:    {},
			ScopeBackendServer: {},
		},
		prefixes: newPrefixIndex(cfg.MaxPrefixes),
	}
}

// SetLongShareBounds changes MinLongShare and MaxLongShare, the bounds on the share
// of the servers that may run long prompts.
func (rt *Router) SetLongShareBounds(low, high float64) {
	rt.cfg.MinLongShare, rt.cfg.MaxLongShare = low, high
	rt.cfg = rt.cfg.withDefaults()
	for _, g := range rt.groups {
		g.updateLongCap()
	}
}

// Len returns the number of servers that have reported and weren't removed.
func (rt *Router) Len() int { return len(rt.servers) }

// Upsert adds a server or replaces its report. A report that isn't newer than
// the known one, by incarnation and then by the time it was sent, is ignored.
func (rt *Router) Upsert(now time.Time, rep Report) {
	rt.advance(now)
	s, ok := rt.servers[rep.BackendServer]
	if ok && !rep.newerThan(&s.rep) {
		return
	}
	if !ok {
		s = &server{
			id:       rep.BackendServer,
			rank:     xxhash.Sum64String(string(rep.BackendServer)),
			attempts: make(map[pwrequest.ID]attempt),
			slowdown: 1,
		}
		rt.servers[s.id] = s
	} else if rep.Incarnation != s.rep.Incarnation {
		// A restarted agent numbers its cache events from the start. The restart
		// doesn't end an ejection, because the agent may be in a crash loop.
		s.cacheEpoch++
		s.cacheSequenceKnown = false
	}
	groupsChanged := !ok || !rep.sameGroups(&s.rep)
	s.rep = rep
	s.receivedAt = now
	s.reportExpired = false
	s.markedOut = rt.isMarkedOut(s)
	s.otherRunning = max(0, rep.Running-len(s.attempts))
	s.otherTokens = max(0, rep.ReservedTokens-s.ownTokens)
	s.otherLong = max(0, rep.RunningLong-s.ownLong)
	for c, n := range rep.PendingPrefillTokens {
		s.otherPrefill[c] = max(0, n-s.ownPrefill[c])
	}
	if groupsChanged {
		rt.leaveGroups(s)
		for _, g := range rt.groups {
			if rep.matches(g.key) {
				g.addMember(s)
			}
		}
	}
	s.updateIndexes()
	rt.advance(now)
}

// Remove removes a server and all that is recorded about it.
func (rt *Router) Remove(id pwrequest.BackendServerID) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	rt.leaveGroups(s)
	for rid := range s.attempts {
		s.removeAttempt(rid)
	}
	s.cacheEpoch++
	delete(rt.servers, id)
}

// leaveGroups removes a server from all its groups.
func (rt *Router) leaveGroups(s *server) {
	for _, m := range s.members {
		m.g.removeMember(m)
	}
	s.members = nil
}

// SetInService marks a data centre or backend server as out of service, or removes
// the mark. A mark also applies to servers that report for the first time later.
func (rt *Router) SetInService(scope Scope, name string, inService bool) {
	if inService {
		delete(rt.outMarks[scope], name)
	} else {
		rt.outMarks[scope][name] = struct{}{}
	}
	for _, s := range rt.matchingServers(func(s *server) bool { return rt.isMarkedOut(s) != s.markedOut }) {
		s.markedOut = !s.markedOut
		s.updateIndexes()
	}
}

// matchingServers returns the servers for which match is true, sorted by rank. The
// order makes picks reproducible: the same calls with the same random numbers
// return the same servers.
func (rt *Router) matchingServers(match func(*server) bool) []*server {
	var out []*server
	for _, s := range rt.servers {
		if match(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, (*server).compareRank)
	return out
}

// isMarkedOut reports whether the server or its data centre is marked out of service.
func (rt *Router) isMarkedOut(s *server) bool {
	_, dc := rt.outMarks[ScopeDataCentre][string(s.rep.DataCentre)]
	_, self := rt.outMarks[ScopeBackendServer][string(s.id)]
	return dc || self
}

// LongEligibleServers returns the usable servers that may run a long prompt of the
// service, model and adapter of r: those eligible under the cap and those that
// already run a long prompt.
func (rt *Router) LongEligibleServers(now time.Time, r *pwrequest.Request) []pwrequest.BackendServerID {
	rt.advance(now)
	g := rt.groupFor(groupKey{
		service: r.Service(),
		model:   r.Model(),
		adapter: r.Adapter(),
	})
	g.updateLongShare(now)
	var out []pwrequest.BackendServerID
	for i, m := range g.usable {
		if i < g.longCap || m.s.hasLongPrompt() {
			out = append(out, m.s.id)
		}
	}
	return out
}

// RecordStart records that an attempt of r was sent to a server.
func (rt *Router) RecordStart(id pwrequest.BackendServerID, r *pwrequest.Request) {
	rt.recordStart(id, r, false)
}

// RecordIsolatedStart is RecordStart for an attempt that must run alone. The server
// isn't picked for other requests until the attempt has ended.
func (rt *Router) RecordIsolatedStart(id pwrequest.BackendServerID, r *pwrequest.Request) {
	rt.recordStart(id, r, true)
}

func (rt *Router) recordStart(id pwrequest.BackendServerID, r *pwrequest.Request, isolated bool) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	if _, running := s.attempts[r.ID()]; running {
		return
	}
	a := attempt{
		class:         r.Class(),
		tokens:        r.MemoryTokens(),
		prefillTokens: r.PromptTokens(),
		startedAt:     rt.clock,
		isolated:      isolated,
		traffic:       rt.trafficFor(r.Service(), r.Model()),
	}
	s.attempts[r.ID()] = a
	s.adjustTotals(a, 1)
	if a.class == pwrequest.Long {
		a.traffic.unmetLongUntil = time.Time{}
	}
	if r.PrefixHash() != 0 {
		rt.prefixes.add(r.PrefixHash(), s)
	}
	s.updateIndexes()
}

// adjustTotals adds an attempt to the totals of the server and its model with a
// sign of 1, and subtracts it with a sign of -1.
func (s *server) adjustTotals(a attempt, sign int) {
	s.ownTokens += int64(sign) * a.tokens
	s.ownPrefill[a.class] += int64(sign) * a.prefillTokens
	a.traffic.outstanding[a.class] += int64(sign) * a.tokens
	if a.class == pwrequest.Long {
		s.ownLong += sign
	}
	if a.isolated {
		s.ownIsolated += sign
	}
}

// removeAttempt removes and returns an attempt, and reports whether it was recorded.
func (s *server) removeAttempt(id pwrequest.ID) (attempt, bool) {
	a, ok := s.attempts[id]
	if ok {
		delete(s.attempts, id)
		s.adjustTotals(a, -1)
	}
	return a, ok
}

// RecordFirstToken records that an attempt of r has produced its first token, which
// ends its prefill.
func (rt *Router) RecordFirstToken(id pwrequest.BackendServerID, r *pwrequest.Request) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	if a, ok := s.attempts[r.ID()]; ok && a.prefillTokens > 0 {
		s.ownPrefill[a.class] -= a.prefillTokens
		a.prefillTokens = 0
		s.attempts[r.ID()] = a
		if a.class == pwrequest.Long {
			s.updateIndexes()
		}
	}
}

// RecordEnd records the end of an attempt of r. Further calls for the same attempt
// are ignored.
func (rt *Router) RecordEnd(now time.Time, id pwrequest.BackendServerID, r *pwrequest.Request, outcome Outcome) {
	rt.advance(now)
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	a, ok := s.removeAttempt(r.ID())
	if !ok {
		return
	}
	switch outcome {
	case Completed:
		s.failures, s.ejections, s.probation = 0, 0, false
		s.penalty /= 2
		s.updateSlowdown(a, now)
	case Refused:
		// The server has less room than its last report shows.
		s.addPenalty(now, float64(a.tokens), &rt.cfg)
		// The engine never received the prompt. Keeping the record of its prefix
		// would send the request straight back to the server that refused it.
		rt.prefixes.remove(r.PrefixHash(), s)
	case Failed:
		s.failures++
		if !s.ejected {
			s.addPenalty(now, float64(a.tokens+rt.cfg.FailurePenalty), &rt.cfg)
		}
		if s.failures >= rt.cfg.FailureLimit {
			rt.eject(now, s)
		}
	case Crashed:
		// The crash has emptied the engine's prefix cache.
		s.cacheEpoch++
		rt.eject(now, s)
	case Cancelled:
	}
	s.updateIndexes()
}

// updateSlowdown compares the time per token of a completed attempt with the average
// of its class, and updates the server's slowdown and that average.
func (s *server) updateSlowdown(a attempt, now time.Time) {
	pace := now.Sub(a.startedAt).Seconds() / float64(max(1, a.tokens))
	avg := &a.traffic.timePerToken[a.class]
	if *avg > 0 {
		s.slowdown += slowdownSampleWeight * (pace / *avg - s.slowdown)
		*avg += timePerTokenSampleWeight * (pace - *avg)
	} else {
		*avg = pace
	}
}

// RecordUnreachable ejects a server that couldn't be reached. The time doubles with
// each consecutive ejection. Failures of a server that is already ejected don't
// extend it, because all attempts on a dead server fail together.
func (rt *Router) RecordUnreachable(now time.Time, id pwrequest.BackendServerID) {
	rt.advance(now)
	if s, ok := rt.servers[id]; ok {
		rt.eject(now, s)
		s.updateIndexes()
	}
}

// eject excludes a server from picks for a time with random jitter and puts it on
// probation.
func (rt *Router) eject(now time.Time, s *server) {
	s.probation = true
	if s.ejected {
		return
	}
	d := rt.cfg.BaseEjection
	for i := 0; i < s.ejections && d < rt.cfg.MaxEjection; i++ {
		d *= 2
	}
	s.ejections++
	// The ejection replaces the penalty. With both, a server that has recovered
	// would receive no request for minutes under a light load.
	s.penalty = 0
	d = min(d, rt.cfg.MaxEjection)
	s.ejectedUntil = now.Add(time.Duration(float64(d) * (0.75 + 0.25*rt.rnd.Float64())))
	s.ejected = true
	heap.Push(&rt.ejectedServers, s)
}

// advance ends the ejections and holds that have expired at now.
func (rt *Router) advance(now time.Time) {
	if now.After(rt.clock) {
		rt.clock = now
	}
	for len(rt.ejectedServers) > 0 && !now.Before(rt.ejectedServers[0].ejectedUntil) {
		s := heap.Pop(&rt.ejectedServers).(*server)
		s.ejected = false
		s.updateIndexes()
	}
	rt.heldServers = slices.DeleteFunc(rt.heldServers, func(s *server) bool {
		elapsed := !now.Before(s.heldUntil)
		if elapsed {
			s.heldUntil = time.Time{}
			s.updateIndexes()
		}
		return elapsed
	})
}

// holdServer extends the time of the servers of g that are held for isolated
// requests, and holds one more unless the bound is reached. It takes the last
// usable server by rank, which is the last to become eligible for long prompts
// and the same at all entries.
func (rt *Router) holdServer(now time.Time, g *group) {
	until := now.Add(rt.cfg.IsolationHold)
	n := 0
	for _, s := range rt.heldServers {
		for _, m := range s.members {
			if m.g == g && s.state() == heldForIsolated {
				s.heldUntil = until
				n++
			}
		}
	}
	if len(g.usable) == 0 || n >= min(maxHeldServers, max(1, int(maxHeldShare*float64(n+len(g.usable))))) {
		return
	}
	s := g.usable[len(g.usable)-1].s
	s.heldUntil = until
	rt.heldServers = append(rt.heldServers, s)
	s.updateIndexes()
}

// ejectionHeap is a heap of the ejected servers, with the earliest ejectedUntil at
// its root.
type ejectionHeap []*server

func (h ejectionHeap) Len() int           { return len(h) }
func (h ejectionHeap) Less(i, j int) bool { return h[i].ejectedUntil.Before(h[j].ejectedUntil) }
func (h ejectionHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *ejectionHeap) Push(v any)        { *h = append(*h, v.(*server)) }

func (h *ejectionHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

// SetBacklog sets the queued work of a model by length class, in tokens. The share of
// servers for long prompts follows it together with the running work.
func (rt *Router) SetBacklog(service pwrequest.ServiceID, model pwrequest.ModelID, tokens [pwrequest.ClassCount]int64) {
	rt.trafficFor(service, model).backlog = tokens
}

// LongServerCount returns the number of servers of a model that run long prompts, and
// the cap on that number.
func (rt *Router) LongServerCount(service pwrequest.ServiceID, model pwrequest.ModelID) (with, limit int) {
	g := rt.groups[groupKey{
		service: service,
		model:   model,
	}]
	if g == nil {
		return 0, 0
	}
	return g.longServers, g.longCap
}

// trafficFor returns the traffic of a model, which is created at its first use.
func (rt *Router) trafficFor(service pwrequest.ServiceID, model pwrequest.ModelID) *traffic {
	k := groupKey{
		service: service,
		model:   model,
	}
	t := rt.traffic[k]
	if t == nil {
		if len(rt.traffic) >= maxGroups {
			rt.dropIdleTraffic()
		}
		t = &traffic{}
		rt.traffic[k] = t
	}
	return t
}

// groupFor returns the group for k, which is built at its first use. At maxGroups, the
// least recently used group is dropped first.
func (rt *Router) groupFor(k groupKey) *group {
	rt.useSeq++
	g := rt.groups[k]
	if g == nil {
		if len(rt.groups) >= maxGroups {
			rt.dropLeastRecentGroup()
		}
		g = &group{
			key:     k,
			cfg:     &rt.cfg,
			traffic: rt.trafficFor(k.service, k.model),
		}
		rt.groups[k] = g
		for _, s := range rt.matchingServers(func(s *server) bool { return s.rep.matches(k) }) {
			m := g.addMember(s)
			g.setUsable(m, s.isUsable())
			s.updateIndex(m)
		}
	}
	g.lastUsed = rt.useSeq
	return g
}

// dropIdleTraffic drops the traffic of the models that no group refers to and that
// have no running attempts.
func (rt *Router) dropIdleTraffic() {
	used := make(map[*traffic]bool, len(rt.groups))
	for _, g := range rt.groups {
		used[g.traffic] = true
	}
	for k, t := range rt.traffic {
		if !used[t] && t.outstanding == [pwrequest.ClassCount]int64{} {
			delete(rt.traffic, k)
		}
	}
}

// dropLeastRecentGroup drops the least recently used group.
func (rt *Router) dropLeastRecentGroup() {
	var oldest *group
	for _, g := range rt.groups {
		if oldest == nil || g.lastUsed < oldest.lastUsed {
			oldest = g
		}
	}
	delete(rt.groups, oldest.key)
	for _, s := range rt.servers {
		for i, m := range s.members {
			if m.g == oldest {
				s.members[i] = s.members[len(s.members)-1]
				s.members = s.members[:len(s.members)-1]
				break
			}
		}
	}
}
