package pwgateway

import (
	"errors"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

const (
	// gapWindowSize is the number of gaps between events whose shortest one is the
	// measure of a server's pace. A single gap may be long because the engine ran
	// much prefill in one iteration.
	gapWindowSize = 3
	// crashRetryReserve is the number of retries that streams on slow servers leave
	// to requests whose server has crashed.
	crashRetryReserve = 20
)

// errServerSlow is the reason for moving a stream away from a slow server.
var errServerSlow = errors.New("the server is slow")

// gapWindow holds the latest gaps between the events of one send.
type gapWindow struct {
	recent [gapWindowSize]time.Duration
	count  int
}

// add adds a gap and reports whether it completes a window. The first gap of a send,
// before its first event, is ignored.
func (w *gapWindow) add(gap time.Duration) bool {
	if w.count++; w.count == 1 {
		return false
	}
	n := w.count - 2
	w.recent[n%gapWindowSize] = gap
	return n%gapWindowSize == gapWindowSize-1
}

// shortest returns the shortest gap of a complete window.
func (w *gapWindow) shortest() time.Duration {
	return min(w.recent[0], w.recent[1], w.recent[2])
}

// shouldLeaveSlowServer records the pace of the server and reports whether the
// stream should be resumed on another one. Streams of long prompts stay, because a
// second prefill takes longer than the rest of the answer.
func (s *send) shouldLeaveSlowServer(shortestGap time.Duration) bool {
	x := s.x
	var slow, becameSlow, leave bool
	x.g.dispatcher.withFleet(func(now time.Time, f *pwfleet.Fleet) {
		slow, becameSlow = f.RecordGap(now, s.plan.Server.ID, shortestGap)
		if !slow || !s.plan.Short || !s.watchdog.armed {
			return
		}
		leave = x.g.dispatcher.retryBudgets.forService(now, x.service).Remaining(now) > crashRetryReserve &&
			f.CanMove(now, x.fleetRequest(), s.plan.Server)
	})
	if becameSlow {
		x.g.obs.LogEvent("server_slow", x.logFields(
			"backend_server", s.plan.Server.ID,
			"shortest_pause_ms", shortestGap.Milliseconds(),
		))
	}
	return leave
}

// leaveSlowServer ends the send, so that another server resumes the stream after
// the last event.
func (s *send) leaveSlowServer() (bool, error) {
	s.x.triedServers[s.plan.Server.ID] = true
	return true, pwverdict.Wrap(errServerSlow, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
		"%s, after %d events", s.plan.Server.ID, s.x.eventCount)
}
