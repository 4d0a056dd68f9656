package pwfleet

import (
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

const (
	// paceWeight is the weight of the newest pause in a server's pace, so that
	// few pauses tell.
	paceWeight = 0.5
	// servicePaceWeight is its weight in the pace of all servers of a service,
	// which a burst raises for all of them.
	servicePaceWeight = 0.02
	// slowFactor is the pace, against that of all servers, from which a server
	// counts as slow.
	slowFactor = 2.2
	// minSlow and maxSlow bound the time that a slow server gets work only when
	// others have no room. It doubles each time that the server is still slow.
	minSlow = 4 * time.Second
	maxSlow = 30 * time.Second
)

// pace is a moving mean of the pauses between events, as a multiple of what the
// engine's model expects. Its zero value stands for 1.
type pace struct {
	value float64
}

func (p *pace) get() float64 {
	if p.value == 0 {
		return 1
	}
	return p.value
}

func (p *pace) add(ratio, weight float64) {
	p.value = (1-weight)*p.get() + weight*ratio
}

// RecordGap notes the shortest of some pauses between events of a server, which
// holds no reading, and reports whether the server is slow. begins is set when
// it has just been found to be.
func (f *Fleet) RecordGap(now time.Time, id string, pause time.Duration) (slow, begins bool) {
	s := f.servers[id]
	if s == nil {
		return false, false
	}
	m, ok := f.models[s.info.Service]
	if !ok {
		return false, false
	}
	l := s.load()
	ratio := float64(pause) / float64(time.Millisecond) / m.PassMS(l.Requests, l.MemoryTokens, 0)
	all := f.paces[s.info.Service]
	if all == nil {
		all = &pace{}
		f.paces[s.info.Service] = all
	}
	all.add(ratio, servicePaceWeight)
	s.pace.add(ratio, paceWeight)
	if s.pace.get() < slowFactor*max(1, all.get()) {
		if !s.slow(now) {
			s.slowFor = 0
		}
		return false, false
	}
	if s.slow(now) {
		return true, false
	}
	s.slowFor = min(maxSlow, max(minSlow, 2*s.slowFor))
	s.slowUntil = now.Add(s.slowFor)
	return true, true
}

// slow reports whether the server gets work only for want of others.
func (s *server) slow(now time.Time) bool { return now.Before(s.slowUntil) }

// withoutSlow drops the servers that are slow, unless none is left.
func withoutSlow(now time.Time, cands []*server) []*server {
	slow := func(s *server) bool { return s.slow(now) }
	if !slices.ContainsFunc(cands, slow) {
		return cands
	}
	if kept := slices.DeleteFunc(slices.Clone(cands), slow); len(kept) > 0 {
		return kept
	}
	return cands
}

// planAround plans without slow servers, and with them if the others have no room.
func planAround(now time.Time, cands []*server, plan func([]*server) (Plan, error)) (Plan, error) {
	quick := withoutSlow(now, cands)
	p, err := plan(quick)
	if err != nil && len(quick) < len(cands) {
		return plan(cands)
	}
	return p, err
}

// CanMove reports whether a request that has been served in part by a server
// that is slow finds another one.
func (f *Fleet) CanMove(now time.Time, r Request, from pwcatalog.BackendServer) bool {
	p, err := f.Plan(now, r)
	if err != nil {
		return false
	}
	s := f.servers[p.Server.ID]
	return p.Server.ID != from.ID && s != nil && !s.slow(now) && s.badness < 1
}
