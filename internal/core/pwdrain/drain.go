// Package pwdrain decides whether a request can still finish before a process that is
// being stopped ends. It remembers how long the recent requests of each route took.
//
// # Usage
//
//	durations := pwdrain.NewDurations(time.Now())
//	durations.Record(time.Now(), "notes", 900*time.Millisecond)
//	need := durations.Needed(time.Now(), "notes", timeout)
//	if need > time.Until(end) {
//		// refuse the request, so that its caller tries another process
//	}
package pwdrain

import (
	"sync"
	"time"
)

const (
	// window is the length of the windows whose longest durations are remembered: that of
	// the current one and of the one before it.
	window = 30 * time.Second
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 4096
	// marginDivisor gives the margin that is added to the longest recent duration, as a
	// part of it.
	marginDivisor = 2
)

// longest holds the longest durations of a route in a window and the one before it.
type longest struct {
	window            int64
	current, previous time.Duration
}

// advance moves on to a window.
func (l *longest) advance(to int64) {
	switch {
	case to <= l.window:
		return
	case to == l.window+1:
		l.previous = l.current
	default:
		l.previous = 0
	}
	l.current = 0
	l.window = to
}

// Durations remembers how long requests took. It is safe for concurrent use.
type Durations struct {
	mu sync.Mutex
	// start is the beginning of window 0.
	start  time.Time
	routes map[string]*longest
}

// NewDurations returns a Durations whose windows count from start.
func NewDurations(start time.Time) *Durations {
	return &Durations{
		start:  start,
		routes: make(map[string]*longest),
	}
}

// windowAt returns the number of the window that now is in.
func (r *Durations) windowAt(now time.Time) int64 { return int64(now.Sub(r.start) / window) }

// Record records that a request of a route took d.
func (r *Durations) Record(now time.Time, route string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.routes[route]
	if !ok {
		if len(r.routes) >= maxRoutes {
			r.forget(now)
		}
		if len(r.routes) >= maxRoutes {
			return
		}
		l = &longest{
			window: r.windowAt(now),
		}
		r.routes[route] = l
	}
	l.advance(r.windowAt(now))
	l.current = max(l.current, d)
}

// forget removes the routes without a recent request. The caller holds mu.
func (r *Durations) forget(now time.Time) {
	for name, l := range r.routes {
		if r.windowAt(now) > l.window+1 {
			delete(r.routes, name)
		}
	}
}

// Needed returns the time that a request of a route must have left in order to be taken:
// the longest recent duration with a margin, but no more than its timeout. Of a route
// without recent requests nothing is known but the timeout.
func (r *Durations) Needed(now time.Time, route string, timeout time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.routes[route]
	if !ok {
		return timeout
	}
	l.advance(r.windowAt(now))
	recent := max(l.current, l.previous)
	if recent == 0 {
		return timeout
	}
	return min(timeout, recent+recent/marginDivisor)
}
