// Package pwrouter picks a backend server for each attempt of a request.
//
// A pick filters the servers by service, model, adapter, version, role, marks
// and bounds, prefers a server that holds the prompt's prefix, and otherwise
// compares two random candidates by their load. Long prompts may fill only a
// part of the servers, which follows the demand, so that short prompts find
// servers without a long prompt.
//
// # Usage
//
//	rt := pwrouter.New(pwrouter.Config{}, rnd)
//	rt.Upsert(now, report) // for each load report
//	choice, err := rt.Pick(now, r, pwrouter.PickOptions{})
//	if err != nil {
//		return err // not_run, no_candidate
//	}
//	rt.Started(choice.Server(), r)
//	// send the attempt to choice.Address()
//	rt.Finished(now, choice.Server(), r, pwrouter.Completed)
//
// Each Started is followed by exactly one Finished.
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
	// out holds the names that are marked as out of service.
	out   [2]map[string]struct{}
	aside asideHeap
	// held holds the servers that are kept for isolated requests.
	held  []*server
	cache affinity
	// clock is the latest time passed in; used is a counter of picks.
	clock time.Time
	used  uint64
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
		out: [2]map[string]struct{}{
			ScopeDataCentre:    {},
			ScopeBackendServer: {},
		},
		cache: newAffinity(cfg.MaxPrefixes),
	}
}

// SetLongShareBounds puts new bounds on the share of the servers that long prompts
// may fill in force.
func (rt *Router) SetLongShareBounds(low, high float64) {
	rt.cfg.MinLongShare, rt.cfg.MaxLongShare = low, high
	rt.cfg = rt.cfg.withDefaults()
	for _, g := range rt.groups {
		g.resize()
	}
}

// Len returns the number of known servers.
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
			slowness: 1,
		}
		rt.servers[s.id] = s
	} else if rep.Incarnation != s.rep.Incarnation {
		// A restarted agent numbers its cache events anew. It doesn't return
		// early from being set aside, because it may crash again and again.
		s.epoch++
		s.sequenceKnown = false
	}
	regroup := !ok || !rep.sameOffer(&s.rep)
	s.rep = rep
	s.receivedAt = now
	s.stale = false
	s.out = rt.marked(s)
	s.otherRunning = max(0, rep.Running-len(s.attempts))
	s.otherTokens = max(0, rep.ReservedTokens-s.ownTokens)
	s.otherLong = max(0, rep.RunningLong-s.ownLong)
	for c, n := range rep.PendingPrefillTokens {
		s.otherPending[c] = max(0, n-s.ownPending[c])
	}
	if regroup {
		rt.leaveGroups(s)
		for _, g := range rt.groups {
			if rep.serves(g.key) {
				g.add(s)
			}
		}
	}
	s.refresh()
	rt.advance(now)
}

// Remove forgets a server.
func (rt *Router) Remove(id pwrequest.BackendServerID) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	rt.leaveGroups(s)
	for rid := range s.attempts {
		s.end(rid)
	}
	s.epoch++
	delete(rt.servers, id)
}

func (rt *Router) leaveGroups(s *server) {
	for _, m := range s.members {
		m.g.remove(m)
	}
	s.members = nil
}

// SetInService takes a data centre or backend server out of service or brings
// it back. Marks on servers that aren't known yet apply when they appear.
func (rt *Router) SetInService(scope Scope, name string, in bool) {
	if in {
		delete(rt.out[scope], name)
	} else {
		rt.out[scope][name] = struct{}{}
	}
	for _, s := range rt.sorted(func(s *server) bool { return rt.marked(s) != s.out }) {
		s.out = !s.out
		s.refresh()
	}
}

// sorted returns the servers that match in the order of their rank, so that
// the same calls with the same random numbers give the same picks.
func (rt *Router) sorted(match func(*server) bool) []*server {
	var out []*server
	for _, s := range rt.servers {
		if match(s) {
			out = append(out, s)
		}
	}
	slices.SortFunc(out, (*server).compareRank)
	return out
}

func (rt *Router) marked(s *server) bool {
	_, dc := rt.out[ScopeDataCentre][string(s.rep.DataCentre)]
	_, self := rt.out[ScopeBackendServer][string(s.id)]
	return dc || self
}

// LongEligibleServers returns the usable servers that long prompts may fill: those of the
// zone and those with a long prompt.
func (rt *Router) LongEligibleServers(now time.Time, r *pwrequest.Request) []pwrequest.BackendServerID {
	rt.advance(now)
	g := rt.groupOf(groupKey{
		service: r.Service(),
		model:   r.Model(),
		adapter: r.Adapter(),
	})
	g.adapt(now)
	var out []pwrequest.BackendServerID
	for i, m := range g.order {
		if i < g.cap || m.s.hasLong() {
			out = append(out, m.s.id)
		}
	}
	return out
}

// RecordStart records that an attempt of r was sent to a server.
func (rt *Router) RecordStart(id pwrequest.BackendServerID, r *pwrequest.Request) {
	rt.started(id, r, false)
}

// RecordIsolatedStart is Started for an attempt that must run alone; no other
// request is picked for the server until it has finished.
func (rt *Router) RecordIsolatedStart(id pwrequest.BackendServerID, r *pwrequest.Request) {
	rt.started(id, r, true)
}

func (rt *Router) started(id pwrequest.BackendServerID, r *pwrequest.Request, isolated bool) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	if _, running := s.attempts[r.ID()]; running {
		return
	}
	a := attempt{
		class:    r.Class(),
		work:     r.MemoryTokens(),
		pending:  r.PromptTokens(),
		started:  rt.clock,
		isolated: isolated,
		traffic:  rt.trafficOf(r.Service(), r.Model()),
	}
	s.attempts[r.ID()] = a
	s.count(a, 1)
	if a.class == pwrequest.Long {
		a.traffic.unmetUntil = time.Time{}
	}
	if r.PrefixHash() != 0 {
		rt.cache.hold(r.PrefixHash(), s)
	}
	s.refresh()
}

// count adds an attempt to the sums, or takes it off with a sign of -1.
func (s *server) count(a attempt, sign int) {
	s.ownTokens += int64(sign) * a.work
	s.ownPending[a.class] += int64(sign) * a.pending
	a.traffic.outstanding[a.class] += int64(sign) * a.work
	if a.class == pwrequest.Long {
		s.ownLong += sign
	}
	if a.isolated {
		s.isolated += sign
	}
}

// end removes an attempt and reports whether it was known.
func (s *server) end(id pwrequest.ID) (attempt, bool) {
	a, ok := s.attempts[id]
	if ok {
		delete(s.attempts, id)
		s.count(a, -1)
	}
	return a, ok
}

// RecordFirstToken records that the prefill of an attempt of r is over.
func (rt *Router) RecordFirstToken(id pwrequest.BackendServerID, r *pwrequest.Request) {
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	if a, ok := s.attempts[r.ID()]; ok && a.pending > 0 {
		s.ownPending[a.class] -= a.pending
		a.pending = 0
		s.attempts[r.ID()] = a
		if a.class == pwrequest.Long {
			s.refresh()
		}
	}
}

// RecordEnd records the end of an attempt of r. Further calls for the same
// attempt are ignored.
func (rt *Router) RecordEnd(now time.Time, id pwrequest.BackendServerID, r *pwrequest.Request, outcome Outcome) {
	rt.advance(now)
	s, ok := rt.servers[id]
	if !ok {
		return
	}
	a, ok := s.end(r.ID())
	if !ok {
		return
	}
	switch outcome {
	case Completed:
		s.failures, s.setbacks, s.probation = 0, 0, false
		s.penalty /= 2
		s.observe(a, now)
	case Refused:
		// The server is fuller than its report says.
		s.penalise(now, float64(a.work), &rt.cfg)
		// It never saw the prompt. A remembered prefix would send the request
		// straight back to the server that has just refused it.
		rt.cache.release(r.PrefixHash(), s)
	case Failed:
		s.failures++
		if !s.waking {
			s.penalise(now, float64(a.work+rt.cfg.FailurePenalty), &rt.cfg)
		}
		if s.failures >= rt.cfg.FailureLimit {
			rt.setAside(now, s)
		}
	case Crashed:
		// The engine's memory is lost with it.
		s.epoch++
		rt.setAside(now, s)
	case Cancelled:
	}
	s.refresh()
}

// observe compares the time per token of a completed attempt with the average
// of its class.
func (s *server) observe(a attempt, now time.Time) {
	pace := now.Sub(a.started).Seconds() / float64(max(1, a.work))
	avg := &a.traffic.pace[a.class]
	if *avg > 0 {
		s.slowness += serverPaceWeight * (pace / *avg - s.slowness)
		*avg += averagePaceWeight * (pace - *avg)
	} else {
		*avg = pace
	}
}

// RecordUnreachable sets a server aside for a time that doubles with each failure in
// a row. Failures while it is set aside don't count again, because all attempts
// on a dead server fail together.
func (rt *Router) RecordUnreachable(now time.Time, id pwrequest.BackendServerID) {
	rt.advance(now)
	if s, ok := rt.servers[id]; ok {
		rt.setAside(now, s)
		s.refresh()
	}
}

func (rt *Router) setAside(now time.Time, s *server) {
	s.probation = true
	if s.waking {
		return
	}
	d := rt.cfg.BaseEjection
	for i := 0; i < s.setbacks && d < rt.cfg.MaxEjection; i++ {
		d *= 2
	}
	s.setbacks++
	// The time aside replaces the penalty. With both, a server that has
	// recovered would receive no request for minutes under a light load.
	s.penalty = 0
	d = min(d, rt.cfg.MaxEjection)
	s.asideUntil = now.Add(time.Duration(float64(d) * (0.75 + 0.25*rt.rnd.Float64())))
	s.waking = true
	heap.Push(&rt.aside, s)
}

// advance brings back the servers whose time aside or held has passed.
func (rt *Router) advance(now time.Time) {
	if now.After(rt.clock) {
		rt.clock = now
	}
	for len(rt.aside) > 0 && !now.Before(rt.aside[0].asideUntil) {
		s := heap.Pop(&rt.aside).(*server)
		s.waking = false
		s.refresh()
	}
	rt.held = slices.DeleteFunc(rt.held, func(s *server) bool {
		over := !now.Before(s.heldUntil)
		if over {
			s.heldUntil = time.Time{}
			s.refresh()
		}
		return over
	})
}

// hold keeps a server of g for isolated requests, or extends the time of those
// already kept. The last server in the order is taken, which is the farthest
// from the zone of long prompts and the same at all entries.
func (rt *Router) hold(now time.Time, g *group) {
	until := now.Add(rt.cfg.IsolationHold)
	n := 0
	for _, s := range rt.held {
		for _, m := range s.members {
			if m.g == g && s.state() == held {
				s.heldUntil = until
				n++
			}
		}
	}
	if len(g.order) == 0 || n >= min(maxHeld, max(1, int(maxHeldShare*float64(n+len(g.order))))) {
		return
	}
	s := g.order[len(g.order)-1].s
	s.heldUntil = until
	rt.held = append(rt.held, s)
	s.refresh()
}

// asideHeap holds the servers that are set aside, the first to return in front.
type asideHeap []*server

func (h asideHeap) Len() int           { return len(h) }
func (h asideHeap) Less(i, j int) bool { return h[i].asideUntil.Before(h[j].asideUntil) }
func (h asideHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *asideHeap) Push(v any)        { *h = append(*h, v.(*server)) }

func (h *asideHeap) Pop() any {
	old := *h
	s := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return s
}

// SetBacklog tells the queued work of a model by length class, in tokens. The
// cap on servers with long prompts follows it together with the running work.
func (rt *Router) SetBacklog(service pwrequest.ServiceID, model pwrequest.ModelID, tokens [pwrequest.ClassCount]int64) {
	rt.trafficOf(service, model).backlog = tokens
}

// LongServerCount returns the number of servers with long prompts and their cap,
// among the servers of a model.
func (rt *Router) LongServerCount(service pwrequest.ServiceID, model pwrequest.ModelID) (with, limit int) {
	g := rt.groups[groupKey{
		service: service,
		model:   model,
	}]
	if g == nil {
		return 0, 0
	}
	return g.longs, g.cap
}

func (rt *Router) trafficOf(service pwrequest.ServiceID, model pwrequest.ModelID) *traffic {
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

// groupOf returns the index for k, which is built at its first use. The index
// that wasn't used for the longest time makes place for a new one.
func (rt *Router) groupOf(k groupKey) *group {
	rt.used++
	g := rt.groups[k]
	if g == nil {
		if len(rt.groups) >= maxGroups {
			rt.dropOldestGroup()
		}
		g = &group{
			key:     k,
			cfg:     &rt.cfg,
			traffic: rt.trafficOf(k.service, k.model),
		}
		rt.groups[k] = g
		for _, s := range rt.sorted(func(s *server) bool { return s.rep.serves(k) }) {
			m := g.add(s)
			g.setRanked(m, s.usable())
			s.index(m)
		}
	}
	g.lastUsed = rt.used
	return g
}

// dropIdleTraffic forgets the models that no index refers to.
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

func (rt *Router) dropOldestGroup() {
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
