// Package pwentry implements the entry, the process that receives the requests of
// callers. It queues requests fairly between workspaces, picks a backend server for
// each attempt, retries attempts that may be retried, and delivers each answer
// completely and in order.
//
// # Usage
//
//	e := pwentry.New(pwentry.Config{
//		Instance:   "entry-hakata-1",
//		DataCentre: "hakata",
//	}, pwentry.Dependencies{
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
// Entry opens no sockets. NewAPI returns the HTTP handler for callers.
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

// AgentClient calls one agent. The methods with recv pass each event of a stream to it.
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

// Dialer provides the client for the agent at an address.
type Dialer interface {
	Agent(address string) AgentClient
}

// ClaimStore performs the entry's steps of the claim protocol, which makes a call run
// at most once.
type ClaimStore interface {
	Claim(ctx context.Context, key pwclaim.Key, bodyHash [32]byte, attempt pwrequest.AttemptID) (pwclaim.Outcome, error)
	Abort(ctx context.Context, key pwclaim.Key, attempt pwrequest.AttemptID) (aborted bool, err error)
	Lookup(ctx context.Context, key pwclaim.Key) (pwclaim.Record, error)
}

// Directory stores the records that state which agent holds the answer of each
// request. Get returns a nil record for an unknown request.
type Directory interface {
	Put(ctx context.Context, record *pwrpc.RequestRecord) error
	Get(ctx context.Context, id pwrequest.ID) (*pwrpc.RequestRecord, error)
}

// Config configures an Entry. Fields with a default take it if they are zero.
type Config struct {
	// Instance and DataCentre identify this process and its location.
	Instance   pwrequest.InstanceID
	DataCentre pwrequest.DataCentre
	// SubsetSize is the largest number of agents of each service that this entry
	// connects to. Default 48.
	SubsetSize int
	// FlightRetention is how long an ended request is kept, so that its answer can
	// still be read. Default 60 s.
	FlightRetention time.Duration
	// Seed makes the random choices repeatable in tests. 0 means a random seed.
	Seed uint64
}

const (
	defaultSubset          = 48
	defaultFlightRetention = time.Minute
	// dispatchInterval is the period at which requests are dispatched in addition to the
	// dispatches that events trigger. It bounds the delay of a queued request after a
	// change without an event.
	dispatchInterval = 10 * time.Millisecond
	// sweepInterval is the period at which expired ended requests are dropped.
	sweepInterval = time.Second
)

// Deps are the components that an Entry uses. Claims, Objects and Directory
// may be nil: without Claims the entry refuses calls that run at most once, without
// Objects it stores no checkpoints, and without Directory it finds only its own
// requests.
type Deps struct {
	Agents    Dialer
	Claims    ClaimStore
	Objects   ObjectStore
	Directory Directory
	Observer  *pwobserve.Observer
}

// Entry queues the requests of callers, dispatches them to backend servers and keeps
// their answers. It is safe for concurrent use.
type Entry struct {
	cfg            Config
	agents         Dialer
	claims         ClaimStore
	objects        ObjectStore
	directory      Directory
	obs            *pwobserve.Observer
	dispatchSignal chan struct{}

	mu                    sync.Mutex
	rnd                   *rand.Rand
	services              map[pwrequest.ServiceID]*service
	requests              map[pwrequest.ID]*InFlightRequest
	unfinishedByWorkspace map[workspaceKey]int
	loadWatchers          map[pwrequest.BackendServerID]*loadWatcher
	outOfService          map[Target]bool // true while marked out of service
	draining              bool
	// drained is created by Shutdown and closed when no request or call runs.
	drained      chan struct{}
	runningCalls int

	// lifetimeCtx is the parent of all background work. It ends with Run.
	lifetimeCtx context.Context
	endLifetime context.CancelFunc
	// callsCtx ends when EndRequests ends the running calls.
	callsCtx  context.Context
	stopCalls context.CancelCauseFunc
	// abortsCtx ends when calls must get an answer although their claims are not aborted.
	abortsCtx  context.Context
	stopAborts context.CancelFunc
}

// service holds the document, router, queues and retry state of one service.
type service struct {
	id          pwrequest.ServiceID
	doc         *pwdocument.Document
	router      *pwrouter.Router
	queues      map[pwrequest.ModelID]*pwqueue.Queue
	budget      *pwretry.Budget
	backoff     *pwretry.Backoff
	crashes     *pwquarantine.Tracker
	reports     map[pwrequest.BackendServerID]pwrouter.Report
	loadReports map[pwrequest.BackendServerID]*pwrpc.LoadReport
}

// New returns an entry without services.
func New(cfg Config, deps Deps) *Entry {
	cfg.SubsetSize = cmp.Or(cfg.SubsetSize, defaultSubset)
	cfg.FlightRetention = cmp.Or(cfg.FlightRetention, defaultFlightRetention)
	seed := cfg.Seed
	if seed == 0 {
		seed = rand.Uint64()
	}
	ctx, cancel := context.WithCancel(context.Background())
	callsCtx, stopCalls := context.WithCancelCause(ctx)
	abortsCtx, stopAborts := context.WithCancel(context.Background())
	return &Entry{
		cfg:                   cfg,
		agents:                deps.Agents,
		claims:                deps.Claims,
		objects:               deps.Objects,
		directory:             deps.Directory,
		obs:                   deps.Observer,
		dispatchSignal:        make(chan struct{}, 1),
		rnd:                   rand.New(rand.NewPCG(seed, 1)),
		services:              map[pwrequest.ServiceID]*service{},
		requests:              map[pwrequest.ID]*InFlightRequest{},
		unfinishedByWorkspace: map[workspaceKey]int{},
		loadWatchers:          map[pwrequest.BackendServerID]*loadWatcher{},
		outOfService:          map[Target]bool{},
		lifetimeCtx:           ctx,
		endLifetime:           cancel,
		callsCtx:              callsCtx,
		stopCalls:             stopCalls,
		abortsCtx:             abortsCtx,
		stopAborts:            stopAborts,
	}
}

// Run dispatches queued requests until ctx ends, and then cancels all work of the
// entry. Call Shutdown first to let running requests finish.
func (e *Entry) Run(ctx context.Context) {
	defer e.endLifetime()
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
		case <-e.dispatchSignal:
		case <-dispatch.C:
		case <-sweep.C:
			e.dropEndedRequests(time.Now())
		}
		e.dispatch(time.Now())
	}
}

// requestDispatch triggers a dispatch and doesn't wait for it.
func (e *Entry) requestDispatch() {
	select {
	case e.dispatchSignal <- struct{}{}:
	default:
	}
}

// SetDocument replaces the document of a service, which may be new.
func (e *Entry) SetDocument(doc *pwdocument.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.serviceLocked(doc.Service())
	s.applyDocument(doc, e.rnd.Uint64())
	for m := range s.queues {
		if _, ok := doc.Model(m); !ok && s.queues[m].Len() == 0 {
			delete(s.queues, m)
		}
	}
}

// RemoveDocument stops the admission of new requests of a service. Admitted requests
// continue.
func (e *Entry) RemoveDocument(id pwrequest.ServiceID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s, ok := e.services[id]; ok {
		s.doc = nil
	}
}

// serviceLocked returns a service and creates it if necessary. The caller holds e.mu.
func (e *Entry) serviceLocked(id pwrequest.ServiceID) *service {
	if s, ok := e.services[id]; ok {
		return s
	}
	s := &service{
		id:          id,
		router:      pwrouter.New(pwrouter.Config{}, rand.New(rand.NewPCG(e.rnd.Uint64(), 2))),
		queues:      map[pwrequest.ModelID]*pwqueue.Queue{},
		budget:      pwretry.NewBudget(pwretry.BudgetConfig{}),
		backoff:     pwretry.NewBackoff(pwretry.BackoffConfig{}, rand.New(rand.NewPCG(e.rnd.Uint64(), 3))),
		crashes:     pwquarantine.New(pwquarantine.Config{}),
		reports:     map[pwrequest.BackendServerID]pwrouter.Report{},
		loadReports: map[pwrequest.BackendServerID]*pwrpc.LoadReport{},
	}
	for m, out := range e.outOfService {
		s.router.SetInService(m.Scope, m.Name, !out)
	}
	e.services[id] = s
	return s
}

// Target names a data centre or a backend server that can be marked out of service.
type Target struct {
	Scope pwrouter.Scope
	Name  string
}

// SetOutOfService marks a data centre or a backend server out of service, or removes
// the mark if out is false.
func (e *Entry) SetOutOfService(target Target, out bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.outOfService[target] = out
	for _, s := range e.services {
		s.router.SetInService(target.Scope, target.Name, !out)
	}
}

// SetInstances replaces the list of known instances. The entry watches the load of a
// subset of the agents in it.
func (e *Entry) SetInstances(list []pwinstance.Instance) {
	e.mu.Lock()
	defer e.mu.Unlock()
	wanted := agentByServer(list)
	byService := map[pwrequest.ServiceID][]pwrequest.BackendServerID{}
	for id, i := range wanted {
		byService[i.Service] = append(byService[i.Service], id)
	}
	keep := map[pwrequest.BackendServerID]bool{}
	for service, servers := range byService {
		for _, id := range pwrouter.Subset(e.cfg.Instance, servers, e.subsetSize(service)) {
			keep[id] = true
		}
	}
	for id, w := range e.loadWatchers {
		if i, ok := wanted[id]; !keep[id] || !ok || i.Address != w.instance.Address {
			w.stop()
			delete(e.loadWatchers, id)
			if !keep[id] {
				e.serviceLocked(w.instance.Service).router.Remove(id)
			}
		}
	}
	for id := range keep {
		i := wanted[id]
		s := e.serviceLocked(i.Service)
		s.router.SetInService(pwrouter.ScopeBackendServer, string(id), !i.Leaving && !e.outOfService[Target{
			Scope: pwrouter.ScopeBackendServer,
			Name:  string(id),
		}])
		if _, ok := e.loadWatchers[id]; !ok {
			e.loadWatchers[id] = e.startLoadWatcher(i)
		}
	}
}

// agentByServer returns the agent instance of each backend server in the list.
func agentByServer(list []pwinstance.Instance) map[pwrequest.BackendServerID]pwinstance.Instance {
	out := map[pwrequest.BackendServerID]pwinstance.Instance{}
	for _, i := range list {
		if i.Role != pwinstance.RoleAgent {
			continue
		}
		if other, listed := out[i.BackendServer]; !listed || takesPrecedence(i, other) {
			out[i.BackendServer] = i
		}
	}
	return out
}

// takesPrecedence reports whether i is used instead of other when the list, which lags
// behind reality, has two lines for one backend server. If both lines are of the same
// instance, the one that is leaving is used. While one instance replaces another, the
// one that isn't leaving is used. Otherwise the smaller identifier is used, so that all
// entries choose the same instance and none alternates between the two.
func takesPrecedence(i, other pwinstance.Instance) bool {
	switch {
	case i.ID == other.ID:
		return i.Leaving
	case i.Leaving != other.Leaving:
		return !i.Leaving
	default:
		return i.ID < other.ID
	}
}

// subsetSize returns the largest number of agents of a service that this entry
// connects to. The caller holds e.mu.
func (e *Entry) subsetSize(id pwrequest.ServiceID) int {
	if s, ok := e.services[id]; ok && s.doc != nil {
		return min(e.cfg.SubsetSize, s.doc.Routing.SubsetSize)
	}
	return e.cfg.SubsetSize
}

// Draining reports whether Shutdown was called.
func (e *Entry) Draining() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.draining
}

// Ready reports whether at least one service has a backend server that reports its
// load, all services with such servers have a document, and the entry isn't draining.
func (e *Entry) Ready() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	serving := false
	for _, s := range e.services {
		if s.doc == nil && len(s.reports) > 0 {
			return false
		}
		serving = serving || len(s.reports) > 0
	}
	return serving && !e.draining
}

// Reports returns the latest load report of each watched backend server, in the form
// that the router uses.
func (e *Entry) Reports() map[pwrequest.BackendServerID]pwrouter.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[pwrequest.BackendServerID]pwrouter.Report{}
	for _, s := range e.services {
		for id, rep := range s.reports {
			out[id] = rep
		}
	}
	return out
}

// Loads returns the latest load report of each watched backend server, as its agent
// sent it. The caller must not change the reports.
func (e *Entry) Loads() map[pwrequest.BackendServerID]*pwrpc.LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[pwrequest.BackendServerID]*pwrpc.LoadReport{}
	for _, s := range e.services {
		maps.Copy(out, s.loadReports)
	}
	return out
}

// OutOfService reports whether a backend server or its data centre is marked out of
// service.
func (e *Entry) OutOfService(dc pwrequest.DataCentre, id pwrequest.BackendServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isOutOfService(pwrouter.Report{
		DataCentre:    dc,
		BackendServer: id,
	})
}

// Watches reports whether this entry watches the load of a backend server.
func (e *Entry) Watches(id pwrequest.BackendServerID) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.loadWatchers[id]
	return ok
}

// ReportingServerCount returns the number of backend servers that report their load.
func (e *Entry) ReportingServerCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, s := range e.services {
		n += len(s.reports)
	}
	return n
}

// signalDrainedLocked ends a waiting Shutdown if no request or call runs. The caller
// holds e.mu.
func (e *Entry) signalDrainedLocked() {
	if e.drained == nil || e.runningCalls > 0 {
		return
	}
	for _, f := range e.requests {
		if !f.Ended() {
			return
		}
	}
	select {
	case <-e.drained:
	default:
		close(e.drained)
	}
}

// dropEndedRequests drops the requests that ended longer than FlightRetention ago.
func (e *Entry) dropEndedRequests(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, f := range e.requests {
		if at, ended := f.EndTime(); ended && now.Sub(at) > e.cfg.FlightRetention {
			delete(e.requests, id)
		}
	}
}

// Documents returns the documents in force, sorted by name.
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
