// Package pwfakeservers simulates backend servers in front of a router, in
// steps of a millisecond and without goroutines, and counts what became of the
// requests.
//
// # Usage
//
//	f := pwfakeservers.New(25)
//	f.Run(pwfakeservers.Load{
//		Length: 10 * time.Second,
//		Streams: []pwfakeservers.Stream{{
//			PromptTokens: 2_000,
//			Every:        5 * time.Millisecond,
//			AtOnce:       2,
//			Takes:        50 * time.Millisecond,
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

// Names that all simulated servers and requests share.
const (
	Service = "svc"
	Model   = "m"
)

const (
	// reportInterval and reportLag are the agents' interval of load reports and
	// the time that a report is under way.
	reportInterval = 200 * time.Millisecond
	reportLag      = 20 * time.Millisecond
	step           = time.Millisecond
	// slowFactor is how much longer a slow server takes.
	slowFactor = 10
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

// NewReport returns the report of an idle server with 8 places.
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

// Stream is a sequence of equal requests: AtOnce of them at each interval.
type Stream struct {
	PromptTokens int64
	Interval     time.Duration
	BatchSize    int
	// ServiceTime is the time for which one of them runs.
	ServiceTime time.Duration
}

// Workload is what a run simulates.
type Workload struct {
	Duration time.Duration
	Streams  []Stream
	// FailingServer names a server that fails each attempt after 1 ms, Slow one that
	// takes ten times as long.
	FailingServer pwrequest.BackendServerID
	SlowServer    pwrequest.BackendServerID
}

// attempt is a running attempt with its planned end.
type attempt struct {
	at      time.Time
	server  *server
	r       *pwrequest.Request
	outcome pwrouter.Outcome
}

// server is the true state of one server.
type server struct {
	rep    pwrouter.Report
	picked int64
}

func (s *server) count(r *pwrequest.Request, sign int) {
	s.rep.Running += sign
	s.rep.ReservedTokens += int64(sign) * r.MemoryTokens()
	if r.Class() == pwrequest.Long {
		s.rep.RunningLong += sign
	}
}

// Fleet is a simulated fleet with its router. It isn't safe for concurrent use.
type Fleet struct {
	router  *pwrouter.Router
	now     time.Time
	seq     int
	servers []*server
	running []attempt
	waiting [][]*pwrequest.Request
	stats   map[string]int64
}

// New returns n servers s0, s1, ... in the data centres d0, d1 and d2. The
// random numbers are the same in each run.
func New(n int) *Fleet {
	f := &Fleet{
		router: pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(1, 2))),
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	for i := range n {
		s := &server{
			rep: NewReport(fmt.Sprint("s", i), fmt.Sprint("d", i%3), f.now),
		}
		f.servers = append(f.servers, s)
		f.router.Upsert(f.now, s.rep)
	}
	return f
}

// Router returns the router.
func (f *Fleet) Router() *pwrouter.Router { return f.router }

// Now returns the simulated time.
func (f *Fleet) Now() time.Time { return f.now }

// Advance moves the simulated time.
func (f *Fleet) Advance(d time.Duration) { f.now = f.now.Add(d) }

// AttemptCount returns how many attempts the last run sent to a server.
func (f *Fleet) AttemptCount(id pwrequest.BackendServerID) int64 {
	for _, s := range f.servers {
		if s.rep.BackendServer == id {
			return s.picked
		}
	}
	return 0
}

// Stats returns the results of the last run: short_done, short_wait_ms (the
// longest wait), short_beside_long (attempts sent to a server with a long
// prompt), the same for the other classes, and long_servers (the most servers
// with a long prompt at a time).
func (f *Fleet) Stats() map[string]int64 { return f.stats }

// Run simulates a load. Requests that find no server wait, in order of arrival
// for each stream.
func (f *Fleet) Run(load Workload) {
	f.stats = map[string]int64{
		"long_servers": 0,
	}
	for c := range pwrequest.Class(pwrequest.ClassCount) {
		f.stats[c.String()+"_done"], f.stats[c.String()+"_wait_ms"], f.stats[c.String()+"_beside_long"] = 0, 0, 0
	}
	for _, s := range f.servers {
		s.picked = 0
	}
	f.waiting = make([][]*pwrequest.Request, len(load.Streams))
	for elapsed := time.Duration(0); elapsed < load.Duration; elapsed += step {
		f.now = f.now.Add(step)
		if elapsed%reportInterval == 0 {
			f.report()
		}
		f.finish()
		for i := range load.Streams {
			f.serve(elapsed, &load, i)
		}
		with := int64(0)
		for _, s := range f.servers {
			with += int64(min(1, s.rep.RunningLong))
		}
		f.stats["long_servers"] = max(f.stats["long_servers"], with)
	}
}

func (f *Fleet) report() {
	for _, s := range f.servers {
		rep := s.rep
		rep.SentAt = f.now.Add(-reportLag)
		f.router.Upsert(f.now, rep)
	}
}

// finish ends the attempts whose time has come.
func (f *Fleet) finish() {
	f.running = slices.DeleteFunc(f.running, func(a attempt) bool {
		if a.at.After(f.now) {
			return false
		}
		a.server.count(a.r, -1)
		f.router.RecordEnd(f.now, a.server.rep.BackendServer, a.r, a.outcome)
		f.stats[a.r.Class().String()+"_done"]++
		return true
	})
}

// serve adds the arrivals of a stream and sends what finds a server.
func (f *Fleet) serve(elapsed time.Duration, load *Workload, i int) {
	stream := &load.Streams[i]
	for n := 0; elapsed%stream.Interval == 0 && n < stream.BatchSize; n++ {
		f.seq++
		f.waiting[i] = append(f.waiting[i], NewRequest(fmt.Sprint("r", f.seq), stream.PromptTokens, 0, f.now))
	}
	for len(f.waiting[i]) > 0 {
		r := f.waiting[i][0]
		c, err := f.router.Pick(f.now, r, pwrouter.PickOptions{})
		if err != nil {
			return
		}
		f.waiting[i] = f.waiting[i][1:]
		f.send(c.Server(), r, load, stream.ServiceTime)
	}
}

func (f *Fleet) send(id pwrequest.BackendServerID, r *pwrequest.Request, load *Workload, takes time.Duration) {
	i := slices.IndexFunc(f.servers, func(s *server) bool { return s.rep.BackendServer == id })
	a := attempt{
		server: f.servers[i],
		r:      r,
	}
	switch id {
	case load.FailingServer:
		takes, a.outcome = step, pwrouter.Failed
	case load.SlowServer:
		takes *= slowFactor
	}
	a.at = f.now.Add(takes)
	class := r.Class().String()
	if a.server.rep.RunningLong > 0 {
		f.stats[class+"_beside_long"]++
	}
	f.stats[class+"_wait_ms"] = max(f.stats[class+"_wait_ms"], f.now.Sub(r.AdmittedAt()).Milliseconds())
	f.router.RecordStart(id, r)
	a.server.count(r, 1)
	a.server.picked++
	f.running = append(f.running, a)
}
