package pwfleet

import "time"

// requestLimit is the number of requests a second that a server takes from all processes
// together, as its answers state.
type requestLimit struct {
	perSecond float64
	// statedAt is the time of the newest answer that states it.
	statedAt time.Time
}

// RecordLimit records that an answer of a server states a limit, or with limited unset
// that it states none. It reports whether that is a change.
func (f *Fleet) RecordLimit(now time.Time, id string, perSecond float64, limited bool) (changed bool) {
	s := f.servers[id]
	if s == nil {
		return false
	}
	before := s.limit
	s.limit = nil
	if limited {
		s.limit = &requestLimit{
			perSecond: perSecond,
			statedAt:  now,
		}
	}
	return (before == nil) != (s.limit == nil) || before != nil && before.perSecond != perSecond
}
