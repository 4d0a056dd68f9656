package pwgateway

import (
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

const (
	// busyWindow is the age up to which activity on other connections shows that a
	// server is still working.
	busyWindow = 500 * time.Millisecond
	// retryCheckInterval is how often it is checked whether a request of a silent server
	// can be retried.
	retryCheckInterval = 50 * time.Millisecond
)

// errServerUnresponsive is the reason for a send that the watchdog ended.
var errServerUnresponsive = errors.New("the server is silent")

// watchdog ends a send whose server has sent nothing for too long, as soon as another server
// can serve the request. A server that responds to other requests gets more time.
type watchdog struct {
	send  *send
	conn  *pwupstream.Conn
	timer *time.Timer
	// armed is set when the request may be retried on another server.
	armed bool
	// retry is the request without the servers that it was sent to.
	retry pwfleet.Request

	mu      sync.Mutex
	stopped bool
	// lastActivity is when the server last sent an event on this connection, or
	// else when the send began.
	lastActivity time.Time
	// begun is set when the caller has events of the stream, reported when the silence
	// was reported as a failure, and paused while an event is written to the caller.
	begun, reported, paused bool
}

// startWatchdog starts the watchdog of a send.
func (s *send) startWatchdog() *watchdog {
	w := &watchdog{
		send:         s,
		conn:         s.conn,
		armed:        s.x.route.Repeatable() && s.x.runs+1 < s.x.route.Attempts,
		retry:        s.x.fleetRequest(),
		lastActivity: time.Now(),
		begun:        s.x.headWritten,
	}
	w.retry.Exclude = maps.Clone(s.x.triedServers)
	w.retry.Exclude[s.plan.Server.ID] = true
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

// pause is called when the server has sent an event, which is then written to the caller.
// Meanwhile nothing is read from the server, so that its silence shows nothing.
func (w *watchdog) pause() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.begun, w.paused = true, true
}

// resume is called when the event has been written. The time that the server may be silent
// begins anew.
func (w *watchdog) resume() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastActivity = time.Now()
	w.paused = false
}

// stop stops the watchdog. It must be called before the connection carries another
// request, which the watchdog must not end.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// checkInactivity ends the send if the server has sent nothing for too long and a retry is
// assured, and otherwise restarts the timer.
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
	if w.paused {
		w.timer.Reset(s.inactivityTimeout(false))
		return
	}
	if remaining := s.inactivityTimeout(time.Since(lastServerActivity) < busyWindow) - time.Since(w.lastActivity); remaining > 0 {
		w.timer.Reset(remaining)
		return
	}
	if !w.reported {
		w.reported = true
		s.reportFailure(pwfleet.FailureResponse, errServerUnresponsive)
	}
	if !w.takeRetry() {
		w.timer.Reset(retryCheckInterval)
		return
	}
	s.timedOut.Store(true)
	w.conn.Abort()
}

// takeRetry takes a retry of the budget if the request can be sent to another server now.
// The caller holds mu.
func (w *watchdog) takeRetry() bool {
	x := w.send.x
	if x.remaining() < minSendTime || x.g.crashes.checkQuarantine(x) != nil {
		return false
	}
	if left, need, ok := x.shutdownTimes(); ok && !w.begun && need > left {
		return false
	}
	r := w.retry
	r.Urgent = !w.begun && x.route.Kind == pwcatalog.Streaming
	r.Late = time.Since(x.arrivedAt) > x.target()
	w.send.retryTaken = x.g.dispatcher.takeRetryIfPlaceable(x.service, r)
	return w.send.retryTaken
}
