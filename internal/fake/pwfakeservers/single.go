package pwfakeservers

import (
	"fmt"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Source is a workspace that sends equal requests at a fixed interval.
type Source struct {
	Workspace    pwrequest.WorkspaceID
	PromptTokens int64
	// Interval is the time between two requests.
	Interval time.Duration
	// Deadline is the time from a request's arrival to its deadline; 0 means none.
	Deadline time.Duration

	nextArrival time.Time
	stopped     bool
	stats       map[string]int64
}

// SingleServer simulates one server that runs the requests of a queue one at a time. It
// isn't safe for concurrent use.
type SingleServer struct {
	queue        *pwqueue.Queue
	now          time.Time
	requestCount int
	sources      []*Source
	// onRefusal is called with the error of each request that the queue refuses.
	onRefusal func(error)
}

// NewSingleServer returns a server with an empty queue. It calls onRefusal with the error
// of each request that the queue refuses.
func NewSingleServer(onRefusal func(error)) *SingleServer {
	return &SingleServer{
		queue:     pwqueue.New(pwqueue.Config{}),
		now:       time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		onRefusal: onRefusal,
	}
}

// AddSource adds a source whose first request arrives now.
func (f *SingleServer) AddSource(s Source) {
	s.nextArrival = f.now
	s.stats = map[string]int64{
		"refused": 0,
		"late":    0,
		"popped":  0,
		"wait_ms": 0,
	}
	f.sources = append(f.sources, &s)
}

// StopSource ends the requests of a workspace's source.
func (f *SingleServer) StopSource(ws pwrequest.WorkspaceID) { f.source(ws).stopped = true }

// source returns the source of a workspace, or nil if there is none.
func (f *SingleServer) source(ws pwrequest.WorkspaceID) *Source {
	for _, s := range f.sources {
		if s.Workspace == ws {
			return s
		}
	}
	return nil
}

// Stats returns the statistics of a source:
//   - refused, the number of requests that the queue refused;
//   - late, the number of requests whose deadline passed in the queue;
//   - popped, the number of requests that were run;
//   - wait_ms, the longest wait of those;
//   - state, the number of workspaces for which the queue holds state.
func (f *SingleServer) Stats(ws pwrequest.WorkspaceID) map[string]int64 {
	stats := f.source(ws).stats
	stats["state"] = int64(f.queue.WorkspaceCount())
	return stats
}

// Serve simulates the server for a duration. The server processes rate tokens a second.
func (f *SingleServer) Serve(duration time.Duration, rate int64) {
	for end := f.now.Add(duration); f.now.Before(end); {
		f.pushArrivals()
		for _, r := range f.queue.Expire(f.now) {
			f.source(r.Workspace()).stats["late"]++
		}
		r, ok := f.queue.Pop(f.now)
		if !ok {
			f.now = f.now.Add(step)
			continue
		}
		stats := f.source(r.Workspace()).stats
		stats["popped"]++
		stats["wait_ms"] = max(stats["wait_ms"], f.now.Sub(r.AdmittedAt()).Milliseconds())
		f.now = f.now.Add(time.Duration(float64(r.MemoryTokens()) / float64(rate) * float64(time.Second)))
		f.pushArrivals()
		f.queue.RecordCompletion(f.now, r.MemoryTokens())
	}
}

// pushArrivals pushes the requests that have arrived by now to the queue, in order of
// arrival.
func (f *SingleServer) pushArrivals() {
	for {
		var s *Source
		for _, o := range f.sources {
			if !o.stopped && (s == nil || o.nextArrival.Before(s.nextArrival)) {
				s = o
			}
		}
		if s == nil || s.nextArrival.After(f.now) {
			return
		}
		f.requestCount++
		p := pwrequest.Params{
			ID:           pwrequest.ID(fmt.Sprint("r", f.requestCount)),
			Workspace:    s.Workspace,
			PromptTokens: s.PromptTokens,
			AdmittedAt:   s.nextArrival,
		}
		if s.Deadline > 0 {
			p.Deadline = s.nextArrival.Add(s.Deadline)
		}
		if err := f.queue.Push(s.nextArrival, pwrequest.New(p), 1); err != nil {
			s.stats["refused"]++
			f.onRefusal(err)
		}
		s.nextArrival = s.nextArrival.Add(s.Interval)
	}
}
