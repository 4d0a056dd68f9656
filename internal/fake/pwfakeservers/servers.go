// Package pwfakeservers simulates a router with its backend servers, and a single backend
// server with its queue. It runs on a simulated clock, without goroutines, and collects
// statistics of the requests.
//
// # Usage
//
//	f := pwfakeservers.New(25)
//	f.Run(pwfakeservers.Workload{
//		Duration: 10 * time.Second,
//		Streams: []pwfakeservers.Stream{{
//			PromptTokens: 2_000,
//			Interval:     5 * time.Millisecond,
//			BatchSize:    2,
//			ServiceTime:  50 * time.Millisecond,
//		}},
//	})
//	fmt.Println(f.Stats()["short_wait_ms"])
package pwfakeservers

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
)

// Service and model of all simulated servers and requests.
const (
	Service = "svc"
	Model   = "m"
)

const (
	// reportInterval is the time between two load reports of an agent.
	reportInterval = 200 * time.Millisecond
	// reportLag is the time from sending a load report to its arrival.
	reportLag = 20 * time.Millisecond
	// step is the resolution of the simulated clock.
	step = time.Millisecond
	// slowdown is the factor by which a slow server's attempts take longer.
	slowdown = 10
)

// NewRequest returns a request for the simulated model.
func NewRequest(id string, prompt int64, prefix uint64, admitted time.Time) *pwrequest.Request {
	return pwrequest.New(pwrequest.Params{
		ID:           pwrequest.ID(id),
		Service:      Service,
		Model:        Model,
		PromptTokens: prompt,
		PrefixHash:   prefix,
		AdmittedAt:   admitted,
	})
}

// NewReport returns the load report of an idle server that can run 8 requests.
func NewReport(id, dataCentre string, sent time.Time) pwrouter.Report {
	return pwrouter.Report{
		BackendServer: pwrequest.BackendServerID(id),
		Address:       "127.0.0.1:1",
		DataCentre:    pwrequest.DataCentre(dataCentre),
		Service:       Service,
		Models:        []pwrequest.ModelID{Model},
		InService:     true,
		RunningBound:  8,
		MemoryTokens:  400_000,
		SentAt:        sent,
	}
}

// Stream is a sequence of equal requests that arrive in batches.
type Stream struct {
	PromptTokens int64
	// Interval is the time between two batches, a multiple of 1 ms.
	Interval time.Duration
	// BatchSize is the number of requests in one batch.
	BatchSize int
	// ServiceTime is the time for which one request runs.
	ServiceTime time.Duration
}

// Workload describes one run of the simulation.
type Workload struct {
	Duration time.Duration
	Streams  []Stream
	// FailingServer, if set, fails each attempt after 1 ms.
	FailingServer pwrequest.BackendServerID
	// SlowServer, if set, takes ten times as long for each attempt.
	SlowServer pwrequest.BackendServerID
}

// attempt is a running attempt with its predetermined end and outcome.
type attempt struct {
	endsAt  time.Time
	server  *server
	request *pwrequest.Request
	outcome pwrouter.Outcome
}

// server is the actual state of one server, of which the router sees only load reports.
type server struct {
	report   pwrouter.Report
	attempts int64
}

// updateLoad adds a request to the server's load if sign is 1, and removes it if sign is
// -1.
func (s *server) updateLoad(r *pwrequest.Request, sign int) {
	s.report.Running += sign
	s.report.ReservedTokens += int64(sign) * r.MemoryTokens()
	if r.Class() == pwrequest.Long {
		s.report.RunningLong += sign
	}
}

// Fleet is a simulated fleet with its router. It isn't safe for concurrent use.
type Fleet struct {
	router       *pwrouter.Router
	now          time.Time
	requestCount int
	servers      []*server
	running      []attempt
	waiting      [][]*pwrequest.Request // by stream, in order of arrival
	stats        map[string]int64
}

// New returns a fleet of n servers s0, s1, ... in the data centres d0, d1 and d2. The
// router's random numbers have a fixed seed.
func New(n int) *Fleet {
	f := &Fleet{
		router: pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(1, 2))),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range n {
		s := &server{
			report: NewReport(fmt.Sprint("s", i), fmt.Sprint("d", i%3), f.now),
		}
		f.servers = append(f.servers, s)
		f.router.Upsert(f.now, s.report)
	}
	return f
}

// Router returns the router, which the caller may also use directly.
func (f *Fleet) Router() *pwrouter.Router { return f.router }

// Now returns the simulated time.
func (f *Fleet) Now() time.Time { return f.now }

// Advance advances the simulated time, without running the servers.
func (f *Fleet) Advance(d time.Duration) { f.now = f.now.Add(d) }

// AttemptCount returns the number of attempts that the last run sent to a server.
func (f *Fleet) AttemptCount(id pwrequest.BackendServerID) int64 {
	for _, s := range f.servers {
		if s.report.BackendServer == id {
			return s.attempts
		}
	}
	return 0
}

// Stats returns the statistics of the last run. For each class of requests, here for
// short ones, they are:
//   - short_done, the number of attempts that have ended;
//   - short_wait_ms, the longest wait for a server;
//   - short_beside_long, the number of attempts sent to a server that was running a long
//     request.
//
// long_servers is the highest number of servers that ran a long request at the same time.
func (f *Fleet) Stats() map[string]int64 { return f.stats }

// Run simulates a workload. A request for which the router has no server waits, and so do
// the later requests of its stream.
func (f *Fleet) Run(workload Workload) {
	f.stats = map[string]int64{
		"long_servers": 0,
	}
	for c := range pwrequest.Class(pwrequest.ClassCount) {
		f.stats[c.String()+"_done"], f.stats[c.String()+"_wait_ms"], f.stats[c.String()+"_beside_long"] = 0, 0, 0
	}
	for _, s := range f.servers {
		s.attempts = 0
	}
	f.waiting = make([][]*pwrequest.Request, len(workload.Streams))
	for elapsed := time.Duration(0); elapsed < workload.Duration; elapsed += step {
		f.now = f.now.Add(step)
		if elapsed%reportInterval == 0 {
			f.sendReports()
		}
		f.finishAttempts()
		for i := range workload.Streams {
			f.dispatchStream(elapsed, &workload, i)
		}
		longServers := int64(0)
		for _, s := range f.servers {
			longServers += int64(min(1, s.report.RunningLong))
		}
		f.stats["long_servers"] = max(f.stats["long_servers"], longServers)
	}
}

// sendReports passes a load report of each server to the router.
func (f *Fleet) sendReports() {
	for _, s := range f.servers {
		rep := s.report
		rep.SentAt = f.now.Add(-reportLag)
		f.router.Upsert(f.now, rep)
	}
}

// finishAttempts ends the attempts that are due.
func (f *Fleet) finishAttempts() {
	f.running = slices.DeleteFunc(f.running, func(a attempt) bool {
		if a.endsAt.After(f.now) {
			return false
		}
		a.server.updateLoad(a.request, -1)
		f.router.RecordEnd(f.now, a.server.report.BackendServer, a.request, a.outcome)
		f.stats[a.request.Class().String()+"_done"]++
		return true
	})
}

// dispatchStream adds the requests of a stream that arrive now, and starts waiting
// requests of the stream until the router has no server for one.
func (f *Fleet) dispatchStream(elapsed time.Duration, workload *Workload, i int) {
	stream := &workload.Streams[i]
	for n := 0; elapsed%stream.Interval == 0 && n < stream.BatchSize; n++ {
		f.requestCount++
		f.waiting[i] = append(f.waiting[i], NewRequest(fmt.Sprint("r", f.requestCount), stream.PromptTokens, 0, f.now))
	}
	for len(f.waiting[i]) > 0 {
		r := f.waiting[i][0]
		c, err := f.router.Pick(f.now, r, pwrouter.PickOptions{})
		if err != nil {
			return
		}
		f.waiting[i] = f.waiting[i][1:]
		f.startAttempt(c.Server(), r, workload, stream.ServiceTime)
	}
}

// startAttempt starts a request on a server and determines the end and the outcome.
func (f *Fleet) startAttempt(id pwrequest.BackendServerID, r *pwrequest.Request, workload *Workload, serviceTime time.Duration) {
	i := slices.IndexFunc(f.servers, func(s *server) bool { return s.report.BackendServer == id })
	a := attempt{
		server:  f.servers[i],
		request: r,
	}
	switch id {
	case workload.FailingServer:
		serviceTime, a.outcome = step, pwrouter.Failed
	case workload.SlowServer:
		serviceTime *= slowdown
	}
	a.endsAt = f.now.Add(serviceTime)
	class := r.Class().String()
	if a.server.report.RunningLong > 0 {
		f.stats[class+"_beside_long"]++
	}
	f.stats[class+"_wait_ms"] = max(f.stats[class+"_wait_ms"], f.now.Sub(r.AdmittedAt()).Milliseconds())
	f.router.RecordStart(id, r)
	a.server.updateLoad(r, 1)
	a.server.attempts++
	f.running = append(f.running, a)
}
