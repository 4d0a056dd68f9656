package pwfleet

import (
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// restSpread is the part of a server's rest over which refused callers return after its
// end, so that they don't all come at once.
const restSpread = 0.25

// RecordRest records that an incarnation wants no request from this process for d, and reports
// whether it did not rest already. A rest that ends later stays in force. Like after a
// failure, the server is not among the first that are tried until it has served again.
func (f *Fleet) RecordRest(now time.Time, info pwcatalog.BackendServer, d time.Duration) (began bool) {
	st := f.statementsOf(info)
	if s := f.servers[info.ID]; st == nil && s != nil && hasStarted(s.info.StartUnixMS, now) {
		// The entry of the incarnation that responded has arrived since the request was placed.
		st = &s.statements
	}
	if st == nil || d <= 0 || !now.Add(d).After(st.restsUntil) {
		return false
	}
	began = !now.Before(st.restsUntil)
	st.restsUntil, st.restAskedAt = now.Add(d), now
	if s := f.servers[info.ID]; s != nil {
		s.failureScore = max(s.failureScore, 1)
	}
	return began
}

// CheckSend returns an error with the verdict NotRun if a server must get no request from
// this process, although one was planned there before.
func (f *Fleet) CheckSend(now time.Time, id string) error {
	s := f.servers[id]
	if s == nil {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "%s has been removed since", id)
	}
	if reason := f.closedReason(now, s); reason != "" {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseOutOfService, "%s must get no more work: %s", id, reason)
	}
	return nil
}

// nextRestEnd returns the time until the first server of a service may get work again. It
// is known if the rest that servers ask for is all that keeps them from it.
func (f *Fleet) nextRestEnd(now time.Time, r Request) (wait time.Duration, known bool) {
	for _, s := range f.byService[r.Service] {
		switch reason := f.unusableReason(now, s, r.Exclude); reason {
		case reasonResting:
			if d := s.restsUntil.Sub(now); !known || d < wait {
				wait, known = d, true
			}
		case reasonTried, reasonGone, reasonDraining, reasonLapsed, reasonEvacuated:
		default:
			return 0, false
		}
	}
	return wait, known
}
