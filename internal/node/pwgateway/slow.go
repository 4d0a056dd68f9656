package pwgateway

import (
	"errors"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

const (
	// pausesTold is the number of pauses of which the shortest tells the pace of a
	// server: a pass with much reading makes one of them long.
	pausesTold = 3
	// moveReserve is the number of repeats that are left to requests whose server
	// has ended.
	moveReserve = 20
)

// errSlow is the cause of leaving a slow server.
var errSlow = errors.New("the server is slow")

// pauses holds the latest pauses between events of one send.
type pauses struct {
	last  [pausesTold]time.Duration
	count int
}

// add notes a pause and reports whether the next so many are complete. The one
// before the first event counts for nothing.
func (p *pauses) add(d time.Duration) bool {
	if p.count++; p.count == 1 {
		return false
	}
	n := p.count - 2
	p.last[n%pausesTold] = d
	return n%pausesTold == pausesTold-1
}

func (p *pauses) shortest() time.Duration {
	return min(p.last[0], p.last[1], p.last[2])
}

// leavesSlow notes the pace of the server and reports whether the stream goes
// on elsewhere. Long prompts stay: reading them again takes longer than writing.
func (s *send) leavesSlow(pause time.Duration) bool {
	x := s.x
	var slow, begins, leaves bool
	x.g.dispatch.with(func(now time.Time, f *pwfleet.Fleet) {
		slow, begins = f.RecordGap(now, s.plan.Server.ID, pause)
		if !slow || !s.plan.Short || !s.dog.armed {
			return
		}
		leaves = x.g.dispatch.budgets.of(now, x.service).Remaining(now) > moveReserve &&
			f.CanMove(now, x.request(), s.plan.Server)
	})
	if begins {
		x.g.obs.Event("server_slow", x.fields(
			"backend_server", s.plan.Server.ID,
			"shortest_pause_ms", pause.Milliseconds(),
		))
	}
	return leaves
}

// leaveSlow ends the send, so that another server goes on after the last event.
func (s *send) leaveSlow() (bool, error) {
	s.x.tried[s.plan.Server.ID] = true
	return true, pwverdict.Wrap(errSlow, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
		"%s, after %d events", s.plan.Server.ID, s.x.events)
}
