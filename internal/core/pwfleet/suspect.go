package pwfleet

import "time"

// Failure classifies how a server failed a request.
type Failure uint8

const (
	// FailureResponse is an error response, a broken response or no response.
	FailureResponse Failure = iota
	// FailureConnect is a connection that could not be opened.
	FailureConnect
	// FailureReset is an established connection that was lost during a request.
	FailureReset
)

const (
	// resetWindow is the time within which lost connections are attributed to one
	// cause: when a process or link fails, all of its connections are lost within
	// one round trip and one retransmission.
	resetWindow = 250 * time.Millisecond
	// minResetServers and minResetShare distinguish a fault on the side of this
	// process from failing servers. The fault is local if, within resetWindow,
	// connections are lost to at least minResetServers servers and to at least
	// minResetShare of the servers that run requests of this process.
	minResetServers = 3
	minResetShare   = 0.25
)

// connectionReset records that an established connection to a server was lost.
type connectionReset struct {
	server *server
	at     time.Time
	// previousSuspectUntil is the server's suspectUntil before the reset.
	previousSuspectUntil time.Time
}

// RecordFailure records that a server failed a request and returns how long the
// server is avoided. The result is zero when connections to many servers were lost
// at the same time, because the cause is then not on the servers' side.
func (f *Fleet) RecordFailure(now time.Time, id string, failure Failure) time.Duration {
	s := f.servers[id]
	if s == nil {
		return 0
	}
	if failure == FailureReset && f.recordReset(now, s) {
		return 0
	}
	sameFailure := failure != FailureResponse && now.Sub(s.connectionFailedAt) < resetWindow
	if failure != FailureResponse {
		s.connectionFailedAt = now
	}
	if sameFailure {
		return max(0, s.suspectUntil.Sub(now))
	}
	s.failureScore++
	cooldown := min(f.cfg.MaxSuspectDuration, time.Duration(float64(f.cfg.MinSuspectDuration)*s.failureScore*s.failureScore))
	s.suspectUntil = now.Add(cooldown)
	return cooldown
}

// recordReset records a lost connection and reports whether connections to so many
// servers were lost at the same time that the fault is local to this process. In
// that case it also reverts the suspicion of the servers whose resets came first.
func (f *Fleet) recordReset(now time.Time, s *server) bool {
	recent := f.resets[:0]
	recorded := false
	for _, r := range f.resets {
		if now.Sub(r.at) < resetWindow {
			recent = append(recent, r)
			recorded = recorded || r.server == s
		}
	}
	f.resets = recent
	if !recorded {
		f.resets = append(f.resets, connectionReset{
			server:               s,
			at:                   now,
			previousSuspectUntil: s.suspectUntil,
		})
	}
	resetServers := make(map[*server]bool, len(f.resets))
	for _, r := range f.resets {
		resetServers[r.server] = true
	}
	activeServers := len(resetServers)
	for _, other := range f.servers {
		if !resetServers[other] && other.ownLoad.Requests > 0 {
			activeServers++
		}
	}
	if len(resetServers) < minResetServers || float64(len(resetServers)) < minResetShare*float64(activeServers) {
		return false
	}
	for _, r := range f.resets {
		if r.server.connectionFailedAt.Equal(r.at) {
			r.server.failureScore = max(0, r.server.failureScore-1)
			r.server.suspectUntil = r.previousSuspectUntil
			r.server.connectionFailedAt = time.Time{}
		}
	}
	return true
}

// CanRetry reports whether a request would be planned on a server that is not suspect.
func (f *Fleet) CanRetry(now time.Time, r Request) bool {
	p, err := f.Plan(now, r)
	if err != nil {
		return false
	}
	s := f.servers[p.Server.ID]
	return s != nil && !now.Before(s.suspectUntil)
}
