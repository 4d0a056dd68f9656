package pwfleet

import "time"

// Failure is the way in which a server failed.
type Failure uint8

const (
	// FailureResponse is a failure that the server answered, a broken answer or silence.
	FailureResponse Failure = iota
	// FailureConnect is a connection that could not be opened.
	FailureConnect
	// FailureReset is an established connection that ended under a request.
	FailureReset
)

const (
	// episode is the time in which broken connections have one cause: the end of
	// a process or link breaks all of them within a round trip and its repetition.
	episode = 250 * time.Millisecond
	// minResetServers and resetShare tell the loss of connections on the side of
	// this process from servers that end: so many servers, and this share of those
	// that carry its requests, break off within an episode.
	minResetServers = 3
	resetShare      = 0.25
)

// reset is a server that broke off a connection.
type reset struct {
	server *server
	at     time.Time
	// suspectUntil is what held before.
	suspectUntil time.Time
}

// RecordFailure notes that a server failed a request or did not answer, and returns
// how long the server is avoided. It is zero where connections to many servers
// broke at once, for which none of them is to blame.
func (f *Fleet) RecordFailure(now time.Time, id string, how Failure) time.Duration {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	if how == FailureReset && f.resetsElsewhere(now, s) {
		return 0
	}
	again := how != FailureResponse && now.Sub(s.brokenAt) < episode
	if how != FailureResponse {
		s.brokenAt = now
	}
	if again {
		return max(0, s.suspectUntil.Sub(now))
	}
	s.badness++
	pause := min(f.cfg.MaxSuspectDuration, time.Duration(float64(f.cfg.MinSuspectDuration)*s.badness*s.badness))
	s.suspectUntil = now.Add(pause)
	return pause
}

// resetsElsewhere notes a broken connection and reports whether so many servers
// broke off at once that the cause lies on this side. It then takes back what
// the first ones were blamed for.
func (f *Fleet) resetsElsewhere(now time.Time, s *server) bool {
	kept := f.resets[:0]
	known := false
	for _, r := range f.resets {
		if now.Sub(r.at) < episode {
			kept = append(kept, r)
			known = known || r.server == s
		}
	}
	f.resets = kept
	if !known {
		f.resets = append(f.resets, reset{
			server:       s,
			at:           now,
			suspectUntil: s.suspectUntil,
		})
	}
	broken := make(map[*server]bool, len(f.resets))
	for _, r := range f.resets {
		broken[r.server] = true
	}
	carrying := len(broken)
	for _, other := range f.servers {
		if !broken[other] && other.own.Requests > 0 {
			carrying++
		}
	}
	if len(broken) < minResetServers || float64(len(broken)) < resetShare*float64(carrying) {
		return false
	}
	for _, r := range f.resets {
		if r.server.brokenAt.Equal(r.at) {
			r.server.badness = max(0, r.server.badness-1)
			r.server.suspectUntil = r.suspectUntil
			r.server.brokenAt = time.Time{}
		}
	}
	return true
}
