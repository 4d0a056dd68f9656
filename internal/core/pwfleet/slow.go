package pwfleet

import (
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
)

const (
	// serverSmoothing is the weight of the newest sample in a server's slowdown.
	// It is high, so that a few samples suffice to detect a slow server.
	serverSmoothing = 0.5
	// serviceSmoothing is the weight of the newest sample in the mean slowdown of
	// all servers of a service, which rises when a burst slows all of them.
	serviceSmoothing = 0.02
	// slowThreshold is the ratio of a server's slowdown to that of its service from
	// which the server counts as slow.
	slowThreshold = 2.2
	// minSlowDuration and maxSlowDuration bound the time for which a slow server gets
	// work only when no other server has capacity. The time doubles each time that
	// the server is found to be still slow.
	minSlowDuration = 4 * time.Second
	maxSlowDuration = 30 * time.Second
)

// movingMean is an exponential moving average of the gaps between events, each as a
// multiple of the gap that the engine's cost model predicts. Its zero value stands
// for 1.
type movingMean struct {
	value float64
}

func (m *movingMean) get() float64 {
	if m.value == 0 {
		return 1
	}
	return m.value
}

func (m *movingMean) add(ratio, weight float64) {
	m.value = (1-weight)*m.get() + weight*ratio
}

// RecordGap records the shortest of several recent gaps between events of a server
// and reports whether the server is slow. The shortest gap is
// used because it contains no prefill. becameSlow is true when a new slow period starts with this call.
func (f *Fleet) RecordGap(now time.Time, id string, gap time.Duration) (slow, becameSlow bool) {
	s := f.servers[id]
	if s == nil {
		return false, false
	}
	m, ok := f.models[s.info.Service]
	if !ok {
		return false, false
	}
	l := s.load()
	ratio := float64(gap) / float64(time.Millisecond) / m.IterationMS(l.Requests, l.MemoryTokens, 0)
	serviceSlowdown := f.serviceSlowdowns[s.info.Service]
	if serviceSlowdown == nil {
		serviceSlowdown = &movingMean{}
		f.serviceSlowdowns[s.info.Service] = serviceSlowdown
	}
	serviceSlowdown.add(ratio, serviceSmoothing)
	s.slowdown.add(ratio, serverSmoothing)
	if s.slowdown.get() < slowThreshold*max(1, serviceSlowdown.get()) {
		if !s.isSlow(now) {
			s.slowDuration = 0
		}
		return false, false
	}
	if s.isSlow(now) {
		return true, false
	}
	s.slowDuration = min(maxSlowDuration, max(minSlowDuration, 2*s.slowDuration))
	s.slowUntil = now.Add(s.slowDuration)
	return true, true
}

// isSlow reports whether the server gets work only when no other server has capacity.
func (s *server) isSlow(now time.Time) bool { return now.Before(s.slowUntil) }

// excludeSlow returns the candidates that are not slow, or all of them if every one
// is slow.
func excludeSlow(now time.Time, cands []*server) []*server {
	slow := func(s *server) bool { return s.isSlow(now) }
	if !slices.ContainsFunc(cands, slow) {
		return cands
	}
	if kept := slices.DeleteFunc(slices.Clone(cands), slow); len(kept) > 0 {
		return kept
	}
	return cands
}

// planPreferringFast calls plan without the slow servers, and again with them if the
// others have no capacity.
func planPreferringFast(now time.Time, cands []*server, plan func([]*server) (Plan, error)) (Plan, error) {
	fast := excludeSlow(now, cands)
	p, err := plan(fast)
	if err != nil && len(fast) < len(cands) {
		return plan(cands)
	}
	return p, err
}

// CanMove reports whether a request whose answer a slow server has partly sent would be
// planned on another server that is neither slow nor recently failed.
func (f *Fleet) CanMove(now time.Time, r Request, from pwcatalog.BackendServer) bool {
	p, err := f.Plan(now, r)
	if err != nil {
		return false
	}
	s := f.servers[p.Server.ID]
	return p.Server.ID != from.ID && s != nil && !s.isSlow(now) && s.failureScore < 1
}
