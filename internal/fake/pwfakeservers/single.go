package pwfakeservers

import (
	"fmt"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Source is a workspace that sends one request at each interval.
type Source struct {
	Workspace    pwrequest.WorkspaceID
	PromptTokens int64
	Interval     time.Duration
	// Deadline is the time that each request has; 0 means no limit.
	Deadline time.Duration

	next    time.Time
	stopped bool
	stats   map[string]int64
}

// SingleServer simulates one server that serves a queue one request at a time. It
// isn't safe for concurrent use.
type SingleServer struct {
	queue   *pwqueue.Queue
	now     time.Time
	seq     int
	sources []*Source
	// refusals receives each refusal of the queue.
	refusals func(error)
}

// NewSingleServer returns a server with an empty queue. It passes each refusal of
// the queue to refusals.
func NewSingleServer(refusals func(error)) *SingleServer {
	return &SingleServer{
		queue:    pwqueue.New(pwqueue.Config{}),
		now:      time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		refusals: refusals,
	}
}

// AddSource starts a source.
func (f *SingleServer) AddSource(s Source) {
	s.next = f.now
	s.stats = map[string]int64{
		"refused": 0,
		"late":    0,
		"popped":  0,
		"wait_ms": 0,
	}
	f.sources = append(f.sources, &s)
}

// StopSource ends a source.
func (f *SingleServer) StopSource(ws pwrequest.WorkspaceID) { f.source(ws).stopped = true }

func (f *SingleServer) source(ws pwrequest.WorkspaceID) *Source {
	for _, s := range f.sources {
		if s.Workspace == ws {
			return s
		}
	}
	return nil
}

// Stats returns the results of a source: refused, late (expired in the queue),
// popped, wait_ms (the longest wait), and state, the number of workspaces that
// the queue keeps.
func (f *SingleServer) Stats(ws pwrequest.WorkspaceID) map[string]int64 {
	stats := f.source(ws).stats
	stats["state"] = int64(f.queue.WorkspaceCount())
	return stats
}

// Serve runs for a time at a rate in tokens per second.
func (f *SingleServer) Serve(length time.Duration, rate int64) {
	for end := f.now.Add(length); f.now.Before(end); {
		f.arrive()
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
		f.arrive()
		f.queue.RecordCompletion(f.now, r.MemoryTokens())
	}
}

// arrive pushes the requests of all sources up to now, in order of time.
func (f *SingleServer) arrive() {
	for {
		var s *Source
		for _, o := range f.sources {
			if !o.stopped && (s == nil || o.next.Before(s.next)) {
				s = o
			}
		}
		if s == nil || s.next.After(f.now) {
			return
		}
		f.seq++
		p := pwrequest.Params{
			ID:           pwrequest.ID(fmt.Sprint("r", f.seq)),
			Workspace:    s.Workspace,
			PromptTokens: s.PromptTokens,
			AdmittedAt:   s.next,
		}
		if s.Deadline > 0 {
			p.Deadline = s.next.Add(s.Deadline)
		}
		if err := f.queue.Push(s.next, pwrequest.New(p), 1); err != nil {
			s.stats["refused"]++
			f.refusals(err)
		}
		s.next = s.next.Add(s.Interval)
	}
}
