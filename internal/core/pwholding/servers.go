package pwholding

import "sync"

const (
	// meanWeight is the weight of the newest body in the mean size of a service's bodies.
	meanWeight = 1.0 / 32
	// maxServices bounds the services whose mean is kept.
	maxServices = 1024
)

// ShortBodyBytes is the size up to which a body always has room. The slots and the queue of a
// server bound how many it gets, and what other processes hold there is only estimated.
const ShortBodyBytes = 16 << 10

// Servers bounds the bytes of request bodies that are held at each backend server, counted
// over all processes. Of the others only the number of their requests is known; their bodies
// count with the mean size of those that this process sends to the service. It is safe for
// concurrent use.
type Servers struct {
	limit int64

	mu    sync.Mutex
	held  map[string]int64
	means map[string]float64
}

// NewServers returns a Servers with a limit in bytes; 0 is none.
func NewServers(limit int64) *Servers {
	return &Servers{
		limit: limit,
		held:  make(map[string]int64),
		means: make(map[string]float64),
	}
}

// Acquire acquires n bytes at a server that has as many requests of other processes, and
// reports whether there was room. Short bodies always have, and a server that holds nothing
// takes a body of any size.
func (s *Servers) Acquire(server, service string, n int64, otherRequests int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean, ok := s.means[service]
	if !ok {
		mean = float64(n)
	}
	if ok || len(s.means) < maxServices {
		s.means[service] = mean + float64(meanWeight*(float64(n)-mean))
	}
	held := s.held[server] + int64(mean*float64(max(0, otherRequests)))
	if held > 0 && n > ShortBodyBytes && exceeds(held, n, s.limit) {
		return false
	}
	s.held[server] += n
	return true
}

// Release releases n bytes at a server.
func (s *Servers) Release(server string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held[server] -= n; s.held[server] <= 0 {
		delete(s.held, server)
	}
}

// Held returns the bytes that this process holds at a server.
func (s *Servers) Held(server string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held[server]
}
