// Package pwentry is the process that callers talk to. It queues requests
// fairly between workspaces, picks a backend server for each attempt, repeats
// what may be repeated, and delivers each response whole.
//
// # Usage
//
//	e := pwentry.New(pwentry.Config{
//		Instance:   "entry-hakata-1",
//		DataCentre: "hakata",
//	}, pwentry.Parts{
//		Agents:   dialer,
//		Observer: observer,
//	})
//	e.SetDocument(document)
//	e.SetInstances(list)
//	go e.Run(ctx)
//	f, err := e.Submit(ctx, pwentry.Submission{
//		Workspace: "lamps",
//		Service:   "lantern",
//		Model:     "lantern-70b",
//		Prompt:    prompt,
//	})
//	err = f.Read(ctx, 0, emit)
//
// Entry has no sockets; Handler in this package puts it behind HTTP.
package pwentry

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwquarantine"
	"github.com/pomeloweir/pomeloweir/internal/core/pwqueue"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwretry"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// AgentClient is what an entry needs of an agent.
type AgentClient interface {
	Execute(ctx context.Context, req *pwrpc.ExecuteRequest, recv func(*pwrpc.AnswerEvent) error) error
	ReadAnswer(ctx context.Context, req *pwrpc.ReadAnswerRequest, recv func(*pwrpc.AnswerEvent) error) error
	Cancel(ctx context.Context, req *pwrpc.CancelRequest) (*pwrpc.CancelResponse, error)
	Call(ctx context.Context, req *pwrpc.CallRequest) (*pwrpc.CallResponse, error)
	WatchLoad(ctx context.Context, req *pwrpc.WatchLoadRequest, recv func(*pwrpc.LoadReport) error) error
	ReserveMember(ctx context.Context, req *pwrpc.ReserveMemberRequest) (*pwrpc.ReserveMemberResponse, error)
	ReleaseMember(ctx context.Context, req *pwrpc.ReleaseMemberRequest) (*pwrpc.ReleaseMemberResponse, error)
	RunSegment(ctx context.Context, req *pwrpc.RunSegmentRequest) (*pwrpc.RunSegmentResponse, error)
}

// Dialer returns clients of agents by their addresses.
type Dialer interface {
	Agent(address string) AgentClient
}

// ClaimStore is the entry's part of the claim protocol.
type ClaimStore interface {
	Claim(ctx context.Context, key pwclaim.Key, bodyHash [32]byte, attempt pwrequest.AttemptID) (pwclaim.Outcome, error)
	Abort(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) (aborted bool, err error)
	Lookup(ctx context.Context, key pwclaim.Key) (pwclaim.Record, error)
}

// Directory keeps where the answer of each request is.
type Directory interface {
	Put(ctx context.Context, record *pwrpc.RequestRecord) error
	Get(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error)
}

// Config describes an entry.
type Config struct {
	Instance   pwrequest.InstanceID
	DataCentre pwrequest.DataCentre
	// SubsetSize bounds the agents of each service that this entry talks to;
	// default 48.
	SubsetSize int
	// FlightRetention is how long an ended request is kept here; default 60 s.
	FlightRetention time.Duration
	// Seed makes the random choices repeatable in tests; 0 draws one.
	Seed uint64
}

const (
	defaultSubset          = 48
	defaultFlightRetention = time.Minute
	// dispatchInterval bounds the time until a queued request is tried again
	// when no event says that something has changed.
	dispatchInterval = 10 * time.Millisecond
	// sweepInterval is the period in which ended requests are dropped.
	sweepInterval = time.Second
)

// Deps are the collaborators of an entry. Claims, Objects and Directory may
// be nil.
type Deps struct {
	Agents    Dialer
	Claims    ClaimStore
	Objects   ObjectStore
	Directory Directory
	Observer  *pwobserve.Observer
}

// Entry serves callers. It is safe for concurrent use.
type Entry struct {
	cfg       Config
	agents    Dialer
	claims    ClaimStore
	objects   ObjectStore
	directory Directory
	obs       *pwobserve.Observer
	wake      chan struct{}

	mu         sync.Mutex
	rnd        *rand.Rand
	services   map[pwrequest.ServiceID]*service
	flights    map[pwrequest.ID]*InFlightRequest
	unfinished map[workspaceKey]int
	watchers   map[pwrequest.BackendServerID]*watcher
	marks      map[Target]bool // true while out of service
	draining   bool
	idle       chan struct{}
	calls      int

	baseCtx context.Context
	stop    context.CancelFunc
}

// service is one service with its servers and queues.
type service struct {
	id      pwrequest.ServiceID
	doc     *pwdocument.Document
	router  *pwrouter.Router
	lanes   map[pwrequest.ModelID]*pwqueue.Queue
	budget  *pwretry.Budget
	backoff *pwretry.Backoff
	crashes *pwquarantine.Tracker
	seen    map[pwrequest.BackendServerID]pwrouter.Report
	loads   map[pwrequest.BackendServerID]*pwrpc.LoadReport
}

// New returns an entry without services.
func New(cfg Config, parts Deps) *Entry {
	cfg.SubsetSize = cmp.Or(cfg.SubsetSize, defaultSubset)
	cfg.FlightRetention = cmp.Or(cfg.FlightRetention, defaultFlightRetention)
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Entry{
		cfg:        cfg,
		agents:     parts.Agents,
		claims:     parts.Claims,
		objects:    parts.Objects,
		directory:  parts.Directory,
		obs:        parts.Observer,
		wake:       make(chan struct{}, 1),
		rnd:        rand.New(rand.NewPCG(seed, 1)),
		services:   map[pwrequest.ServiceID]*service{},
		flights:    map[pwrequest.ID]*InFlightRequest{},
		unfinished: map[workspaceKey]int{},
		watchers:   map[pwrequest.BackendServerID]*watcher{},
		marks:      map[Target]bool{},
		baseCtx:    ctx,
		stop:       cancel,
	}
}

// Run dispatches queued requests until ctx ends; all work then ends. Call
// Shutdown first to let running requests finish.
func (e *Entry) Run(ctx context.Context) {
	defer e.stop()
	e.loop(ctx)
}

func (e *Entry) loop(ctx context.Context) {
	dispatch := time.NewTicker(dispatchInterval)
	defer dispatch.Stop()
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.wake:
		case <-dispatch.C:
		case <-sweep.C:
			e.sweep(time.Now())
		}
		e.dispatch(time.Now())
	}
}

// notify asks for a dispatch without waiting for it.
func (e *Entry) notify() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// SetDocument puts a version of a service's document in force.
func (e *Entry) SetDocument(doc *pwdocument.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(doc.Service())
	s.apply(doc, e.rnd.Uint64())
	for m := range s.lanes {
		if _, ok := doc.Model(m); !ok && s.lanes[m].Len() == 0 {
			delete(s.lanes, m)
		}
	}
}

// RemoveDocument forgets a service; its running requests go on.
func (e *Entry) RemoveDocument(id pwrequest.ServiceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.services[id]; ok {
		s.doc = nil
	}
}

// serviceLocked returns the service, adding it when new. The caller holds e.mu.
func (e *Entry) serviceLocked(id pwrequest.ServiceID) *service {
	if s, ok := e.services[id]; ok {
		return s
	}
	s := &service{
		id:      id,
		router:  pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(e.rnd.Uint64(), 2))),
		lanes:   map[pwrequest.ModelID]*pwqueue.Queue{},
		budget:  pwretry.NewBudget(pwretry.BudgetConfig{}),
		backoff: pwretry.NewBackoff(pwretry.BackoffConfig{}, rand.New(rand.NewPCG(e.rnd.Uint64(), 3))),
		crashes: pwquarantine.New(pwquarantine.Config{}),
		seen:    map[pwrequest.BackendServerID]pwrouter.Report{},
		loads:   map[pwrequest.BackendServerID]*pwrpc.LoadReport{},
	}
	for m, out := range e.marks {
		s.router.SetInService(m.Scope, m.Name, !out)
	}
	e.services[id] = s
	return s
}

// Target names a data centre or a backend server.
type Target struct {
	Scope pwrouter.Scope
	Name  string
}

// SetOutOfService takes a place out of service or brings it back.
func (e *Entry) SetOutOfService(m Target, out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.marks[m] = out
	for _, s := range e.services {
		s.router.SetInService(m.Scope, m.Name, !out)
	}
}

// SetInstances gives the entry the known agents; it watches a subset of them.
func (e *Entry) SetInstances(list []pwinstance.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := agentsOf(list)
	byService := map[pwrequest.ServiceID][]pwrequest.BackendServerID{}
	for id, i := range wanted {
		byService[i.Service] = append(byService[i.Service], id)
	}
	keep := map[pwrequest.BackendServerID]bool{}
	for service, servers := range byService {
		for _, id := range pwrouter.Subset(e.cfg.Instance, servers, e.subsetOf(service)) {
			keep[id] = true
		}
	}
	for id, w := range e.watchers {
		if i, ok := wanted[id]; !keep[id] || !ok || i.Address != w.instance.Address {
			w.stop()
			delete(e.watchers, id)
			if !keep[id] {
				e.serviceLocked(w.instance.Service).router.Remove(id)
			}
		}
	}
	for id := range keep {
		i := wanted[id]
		s := e.serviceLocked(i.Service)
		s.router.SetInService(pwrouter.ScopeBackendServer, string(id), !i.Leaving && !e.marks[Target{
			Scope: pwrouter.ScopeBackendServer,
			Name:  string(id),
		}])
		if _, ok := e.watchers[id]; !ok {
			e.watchers[id] = e.startWatcher(i)
		}
	}
}

// agentsOf returns the agent of each backend server.
func agentsOf(list []pwinstance.Instance) map[pwrequest.BackendServerID]pwinstance.Instance {
	out := map[pwrequest.BackendServerID]pwinstance.Instance{}
	for _, i := range list {
		if i.Role != pwinstance.RoleAgent {
			continue
		}
		if other, listed := out[i.BackendServer]; !listed || replaces(i, other) {
			out[i.BackendServer] = i
		}
	}
	return out
}

// replaces decides between two lines of the lagging list for one backend server.
// Of one instance the line that says leaving counts. While one instance replaces
// another, the one that is not leaving counts, and of two alike the one with the
// smaller identifier, so that all entries agree and none alternates.
func replaces(i, other pwinstance.Instance) bool {
	switch {
	case i.ID == other.ID:
		return i.Leaving
	case i.Leaving != other.Leaving:
		return !i.Leaving
	default:
		return i.ID < other.ID
	}
}

// subsetOf returns how many agents of a service this entry talks to. The caller
// holds e.mu.
func (e *Entry) subsetOf(id pwrequest.ServiceID) int {
	if s, ok := e.services[id]; ok && s.doc != nil {
		return min(e.cfg.SubsetSize, s.doc.Routing.SubsetSize)
	}
	return e.cfg.SubsetSize
}

// Shutdown refuses new requests and waits until the admitted ones have ended
// or ctx does.
func (e *Entry) Shutdown(ctx context.Context) error {
	e.mu.Lock()
	e.draining = true
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	e.closeIdleLocked()
	idle := e.idle
	e.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Draining reports whether Shutdown was called.
func (e *Entry) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Ready reports whether the entry can serve at least one service and has the
// documents of all services whose backend servers it knows.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	usable := false
	for _, s := range e.services {
		if s.doc == nil && len(s.seen) > 0 {
			return false
		}
		usable = usable || len(s.seen) > 0
	}
	return usable && !e.draining
}

// Reports returns the newest load report of each watched backend server.
func (e *Entry) Reports() map[pwrequest.BackendServerID]pwrouter.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[pwrequest.BackendServerID]pwrouter.Report{}
	for _, s := range e.services {
		for id, rep := range s.seen {
			out[id] = rep
		}
	}
	return out
}

// Loads returns the newest load reports of the watched backend servers. The
// caller must not change them.
func (e *Entry) Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[pwrequest.BackendServerID]*pwrpc.LoadReport{}
	for _, s := range e.services {
		maps.Copy(out, s.loads)
	}
	return out
}

// OutOfService reports whether a mark takes a backend server, or its data
// centre, out of service.
func (e *Entry) OutOfService(dc pwrequest.DataCentre, id pwrequest.BackendServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.outOfService(pwrouter.Report{
		DataCentre:    dc,
		BackendServer: id,
	})
}

// Watches reports whether this entry follows the load of a backend server.
func (e *Entry) Watches(id pwrequest.BackendServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.watchers[id]
	return ok
}

// ReportingServerCount returns the number of backend servers that report their load.
func (e *Entry) ReportingServerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.services {
		n += len(s.seen)
	}
	return n
}

// closeIdleLocked ends a waiting Shutdown when nothing runs. The caller holds e.mu.
func (e *Entry) closeIdleLocked() {
	if e.idle == nil || e.calls > 0 {
		return
	}
	for _, f := range e.flights {
		if !f.Ended() {
			return
		}
	}
	select {
	case <-e.idle:
	default:
		close(e.idle)
	}
}

// sweep drops requests that ended longer than the retention time ago.
func (e *Entry) sweep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, f := range e.flights {
		if at, ended := f.EndTime(); ended && now.Sub(at) > e.cfg.FlightRetention {
			delete(e.flights, id)
		}
	}
}

// Documents returns the documents in force, by name.
func (e *Entry) Documents() []*pwdocument.Document {
	e.mu.Lock()
	defer e.mu.Unlock()
	var docs []*pwdocument.Document
	for _, s := range e.services {
		if s.doc != nil {
			docs = append(docs, s.doc)
		}
	}
	slices.SortFunc(docs, func(a, b *pwdocument.Document) int { return cmp.Compare(a.Name, b.Name) })
	return docs
}
