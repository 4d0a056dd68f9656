package pwgateway

import (
	"errors"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

// busyWindow is the age up to which activity on other connections shows that a
// server is still working.
const busyWindow = 500 * time.Millisecond

// errServerUnresponsive is the reason for a send that the watchdog ended.
var errServerUnresponsive = errors.New("the server is silent")

// watchdog ends a send whose server has sent nothing for too long, if another server
// may still serve the request. A server that responds to other requests gets more time.
type watchdog struct {
	send  *send
	conn  *pwupstream.Conn
	timer *time.Timer
	// armed is set when the request may be retried on another server.
	armed bool

	mu      sync.Mutex
	stopped bool
	// lastActivity is when the server last sent an event on this connection, or
	// else when the send began.
	lastActivity time.Time
}

// startWatchdog starts the watchdog of a send.
func (s *send) startWatchdog() *watchdog {
	w := &watchdog{
		send:         s,
		conn:         s.conn,
		armed:        s.x.route.Repeatable() && s.x.runs+1 < s.x.route.Attempts,
		lastActivity: time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(s.inactivityTimeout(false), w.checkInactivity)
	return w
}

// inactivityTimeout returns how long the server may send nothing; busy states that it
// responds to other requests.
func (s *send) inactivityTimeout(busy bool) time.Duration {
	x := s.x
	if x.route.Kind != pwcatalog.Streaming {
		return s.safeTimeout()
	}
	p := x.g.cfg.Policy
	share := p.StallShare
	if busy {
		share = p.BusyStallShare
	}
	return time.Duration(share * float64(p.abandonTime(x.route)))
}

// recordActivity records that the server sent an event.
func (w *watchdog) recordActivity() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastActivity = time.Now()
}

// stop stops the watchdog. It must be called before the connection carries another
// request, which the watchdog must not end.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// checkInactivity ends the send if the server has sent nothing for too long, and
// otherwise restarts the timer.
func (w *watchdog) checkInactivity() {
	s := w.send
	if !w.armed {
		return
	}
	var lastServerActivity time.Time
	s.x.g.dispatcher.withFleet(func(_ time.Time, f *pwfleet.Fleet) { lastServerActivity = f.LastActivity(s.plan.Server.ID) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if remaining := s.inactivityTimeout(time.Since(lastServerActivity) < busyWindow) - time.Since(w.lastActivity); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	s.timedOut.Store(true)
	w.conn.Abort()
}
