package pwgateway

import (
	"errors"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

// busyWindow is the age up to which a sign of life on other connections shows
// that a server works.
const busyWindow = 500 * time.Millisecond

// errSilent is the cause of an end by the watchdog.
var errSilent = errors.New("the server is silent")

// watchdog ends a send whose server is silent while another server may still
// serve the request. A server that answers others gets more time.
type watchdog struct {
	s     *send
	conn  *pwupstream.Conn
	timer *time.Timer
	// armed is set when another server may run the request after this one.
	armed bool

	mu      sync.Mutex
	stopped bool
	// since is when the server was last heard on this connection.
	since time.Time
}

// watch starts the watchdog of a send.
func (s *send) watch() *watchdog {
	w := &watchdog{
		s:     s,
		conn:  s.conn,
		armed: s.x.route.Repeatable() && s.x.runs+1 < s.x.route.Attempts,
		since: time.Now(),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(s.patience(false), w.check)
	return w
}

// patience is how long the server may be silent.
func (s *send) patience(busy bool) time.Duration {
	x := s.x
	if x.route.Kind != pwcatalog.Streaming {
		return s.safeTimeout()
	}
	p := x.g.cfg.Policy
	share := p.StallShare
	if busy {
		share = p.BusyStallShare
	}
	return time.Duration(share * float64(p.abandon(x.route)))
}

// heard notes a sign of life.
func (w *watchdog) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Now()
}

// stop ends the watchdog. Afterwards the connection may carry another request,
// which must not be ended.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// check runs when the server may have been silent for too long.
func (w *watchdog) check() {
	s := w.s
	if !w.armed {
		return
	}
	var heardAt time.Time
	s.x.g.dispatch.with(func(_ time.Time, f *pwfleet.Fleet) { heardAt = f.LastActivity(s.plan.Server.ID) })
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if left := s.patience(time.Since(heardAt) < busyWindow) - time.Since(w.since); left > 0 {
		w.timer.Reset(left)
		return
	}
	s.silent.Store(true)
	w.conn.Abort()
}
