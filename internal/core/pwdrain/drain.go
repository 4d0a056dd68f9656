// Package pwdrain decides whether a request can still finish before a process that is
// being stopped ends. It remembers how long the recent requests of each route took.
//
// # Usage
//
//	durations := pwdrain.NewDurations()
//	durations.Record(time.Now(), "notes", 900*time.Millisecond)
//	need := durations.Needed(time.Now(), "notes", timeout, pwdrain.Likely)
//	if need > time.Until(end) {
//		// refuse the request, so that its caller tries another process
//	}
package pwdrain

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSamples is the number of requests of a route that are remembered.
	maxSamples = 64
	// maxAge is how long they are remembered.
	maxAge = time.Minute
	// maxRoutes bounds the routes that are remembered.
	maxRoutes = 1024
	// likelyQuantile is the part of the recent requests that took no longer than what
	// Likely asks for.
	likelyQuantile = 0.9
	// marginDivisor gives the margin that Certain adds to the longest recent duration, as a
	// part of it.
	marginDivisor = 2
)

// Confidence is how sure it must be that a request can finish.
type Confidence uint8

const (
	// Certain is for requests that may run only once: a request that is cut off may have
	// run, while one that is refused can be sent elsewhere.
	Certain Confidence = iota
	// Likely is for requests that may be repeated or resumed elsewhere.
	Likely
)

// sample is the duration of a request and when it ended.
type sample struct {
	endedAt  time.Time
	duration time.Duration
}

// ring holds the newest samples of a route. Once it is full, next is the oldest one.
type ring struct {
	samples []sample
	next    int
}

func (r *ring) add(s sample) {
	if len(r.samples) < maxSamples {
		r.samples = append(r.samples, s)
		return
	}
	r.samples[r.next] = s
	r.next = (r.next + 1) % maxSamples
}

// recent returns the durations that count at now, in ascending order.
func (r *ring) recent(now time.Time) []time.Duration {
	var out []time.Duration
	for _, s := range r.samples {
		if now.Sub(s.endedAt) < maxAge {
			out = append(out, s.duration)
		}
	}
	slices.Sort(out)
	return out
}

// Durations remembers how long requests took. It is safe for concurrent use.
type Durations struct {
	mu     sync.Mutex
	routes map[string]*ring
}

// NewDurations returns an empty Durations.
func NewDurations() *Durations {
	return &Durations{
		routes: make(map[string]*ring),
	}
}

// Record records that a request of a route took d and ended at now.
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
		l = &ring{}
		r.routes[route] = l
	}
	l.add(sample{
		endedAt:  now,
		duration: d,
	})
}

// forget removes the routes without a recent request. The caller holds mu.
func (r *Durations) forget(now time.Time) {
	for name, l := range r.routes {
		if len(l.recent(now)) == 0 {
			delete(r.routes, name)
		}
	}
}

// Needed returns the time that a request of a route must have left in order to be taken,
// which is no more than its timeout. Of a route without recent requests nothing is known
// but the timeout.
func (r *Durations) Needed(now time.Time, route string, timeout time.Duration, c Confidence) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.routes[route]
	if !ok {
		return timeout
	}
	recent := l.recent(now)
	if len(recent) == 0 {
		return timeout
	}
	if c == Likely {
		return min(timeout, recent[int(likelyQuantile*float64(len(recent)-1))])
	}
	longest := recent[len(recent)-1]
	return min(timeout, longest+longest/marginDivisor)
}
