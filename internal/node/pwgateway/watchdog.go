package pwgateway

import (
	"errors"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
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
	timer *time.Timer
	// armed is set when another server may run the request after this one.
	armed bool

	mu sync.Mutex
	// since is when the server was last heard on this connection.
	since time.Time
}

// watch starts the watchdog of a send.
func (s *send) watch() *watchdog {
	w := &watchdog{
		s:     s,
		armed: s.x.route.Repeatable() && s.x.runs+1 < s.x.route.Attempts,
		since: time.Now(),
	}
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

func (w *watchdog) stop() { w.timer.Stop() }

// check runs when the server may have been silent for too long.
func (w *watchdog) check() {
	s := w.s
	if !w.armed {
		return
	}
	w.mu.Lock()
	silent := time.Since(w.since)
	w.mu.Unlock()
	var heardAt time.Time
	s.x.g.dispatch.with(func(_ time.Time, f *pwfleet.Fleet) { heardAt = f.HeardAt(s.plan.Server.ID) })
	if left := s.patience(time.Since(heardAt) < busyWindow) - silent; left > 0 {
		w.timer.Reset(left)
		return
	}
	s.silent.Store(true)
	s.conn.Abort()
}
