// Package pwagent implements the agent, the process that runs next to a backend
// server. The agent alone decides what that server accepts: it reserves engine
// memory, retains the answers that the engine generates, and marks the claim
// row of a call as dispatched, so that the call runs at most once.
//
// # Usage
//
//	a := pwagent.New(pwagent.Config{
//		Instance:      "agent-hakata-01",
//		BackendServer: "lantern-01",
//		Service:       "lantern",
//	}, pwagent.Deps{
//		Admission: pwadmission.New(admissionConfig, time.Now()),
//		Engine:    engine,
//		Observer:  observer,
//	})
//	go a.Run(ctx)
//	err := a.Execute(ctx, request, stream.Send)
//
// Agent opens no sockets; Handler serves it over connect-go.
package pwagent

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
)

// Engine is the model engine that the agent runs attempts on.
type Engine interface {
	Generate(ctx context.Context, g pwengine.Generation, emit func(tokens []string) error) (pwengine.Finish, error)
	PrefillSegment(ctx context.Context, s pwengine.Segment) (handle string, err error)
	DropKV(ctx context.Context, handle string) error
	Order(ctx context.Context, o pwengine.Order) error
	Load(ctx context.Context) (pwengine.EngineLoad, error)
	Reset(ctx context.Context) error
}

// SendFunc sends one event of an answer to a reader.
type SendFunc = func(*pwrpc.AnswerEvent) error

// Config describes an agent and its backend server. A zero value selects the default
// of a field that has one.
type Config struct {
	Instance      pwrequest.InstanceID
	Address       string
	DataCentre    pwrequest.DataCentre
	BackendServer pwrequest.BackendServerID
	Service       pwrequest.ServiceID
	Models        []pwrequest.ModelID
	Role          string
	// AnswerRetention is how long an ended answer can be read. The default is 5 minutes.
	AnswerRetention time.Duration
	// MaxAnswerBytes bounds the tokens of all retained answers together. The
	// default is 256 MiB.
	MaxAnswerBytes int64
	// MaxCalls bounds the concurrent calls of a plain service. The default is 64.
	MaxCalls int
}

const (
	defaultAnswerRetention = 5 * time.Minute
	defaultMaxAnswerBytes  = 256 << 20
	defaultMaxCalls        = 64
	// maintenanceInterval is the period in which expired reservations are
	// reclaimed and the engine is checked.
	maintenanceInterval = 100 * time.Millisecond
	// engineCheckTimeout bounds one check of the engine. An engine that does not
	// reply in that time gets no new work.
	engineCheckTimeout = 2 * time.Second
	// reclaimGrace is added to the deadline of a reservation. An attempt ends at
	// its own deadline and then releases its reservation, so that only leaked
	// reservations are reclaimed.
	reclaimGrace = time.Minute
	// engineLostAfter is the time without a reply of the engine after which running
	// attempts are ended, so that they continue on other backend servers.
	engineLostAfter = 5 * time.Second
)

// Deps holds the dependencies of an agent. Engine is nil for a plain service;
// Service and Claims are nil for an engine.
type Deps struct {
	Admission *pwadmission.Controller
	Engine    Engine
	Service   PlainService
	Claims    ClaimStore
	Observer  *pwobserve.Observer
	// NewestToken reads the newest fencing token of the placement lease, so that a
	// restarted agent refuses stale orders. An agent without a table leaves it nil
	// and starts at token 0.
	NewestToken func(ctx context.Context) (uint64, error)
}

// Agent runs attempts on one backend server.
type Agent struct {
	cfg       Config
	engine    Engine
	service   PlainService
	claims    ClaimStore
	obs       *pwobserve.Observer
	answers   *answerStore
	callSlots chan struct{}

	mu                sync.Mutex
	admission         *pwadmission.Controller
	running           map[pwrequest.AttemptID]*attempt
	members           map[string]*member
	inService         bool
	draining          bool
	isolated          bool
	engineIncarnation uint64 // from the engine's last reply
	engineResponding  bool
	crashHandled      bool // a crash was handled and Load does not show its restart yet
	lastEngineReply   time.Time
	drained           chan struct{} // made by Shutdown, closed when no work is left
	loadChanged       chan struct{}
	accepting         bool          // result of acceptsWork at the last signalLoadChange
	acceptingChanged  chan struct{} // closed and replaced when accepting changes
	orderGuard        *pwlease.Guard
	placement         placementState
	prefills          prefillTracker
	runningSegments   int   // segments of group members that are being prefilled
	droppingTokens    int64 // KV cache of ended members that the engine may still hold

	baseCtx    context.Context
	cancelBase context.CancelFunc
}

// New returns an agent that accepts work immediately.
func New(cfg Config, deps Deps) *Agent {
	if cfg.AnswerRetention == 0 {
		cfg.AnswerRetention = defaultAnswerRetention
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = defaultMaxCalls
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg:              cfg,
		engine:           deps.Engine,
		service:          deps.Service,
		claims:           deps.Claims,
		obs:              deps.Observer,
		answers:          newAnswerStore(cfg.AnswerRetention, cfg.MaxAnswerBytes),
		callSlots:        make(chan struct{}, cfg.MaxCalls),
		admission:        deps.Admission,
		running:          map[pwrequest.AttemptID]*attempt{},
		members:          map[string]*member{},
		inService:        true,
		engineResponding: true,
		lastEngineReply:  time.Now(),
		loadChanged:      make(chan struct{}),
		accepting:        true,
		acceptingChanged: make(chan struct{}),
		orderGuard:       newOrderGuard(deps.NewestToken),
		placement:        newPlacementState(cfg.Models, cfg.Role),
		baseCtx:          ctx,
		cancelBase:       cancel,
	}
}

// Run reclaims expired reservations and checks the engine until ctx ends. It then
// cancels the attempts that still run; call Shutdown first to let them finish.
func (a *Agent) Run(ctx context.Context) {
	defer a.cancelBase()
	if a.engine != nil {
		// Work that an earlier process of this agent left on the engine has no
		// reservation here and would hold memory permanently.
		if err := a.engine.Reset(ctx); err != nil {
			a.obs.Warn("engine reset failed; work of an earlier agent process may still hold memory", err)
		}
	}
	a.loop(ctx)
}

func (a *Agent) loop(ctx context.Context) {
	t := time.NewTicker(maintenanceInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			a.maintain(ctx)
		}
	}
}

// maintain cancels attempts and members whose reservations have expired, evicts
// old answers and checks the engine.
func (a *Agent) maintain(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	expired := a.admission.Expire(now)
	var expiredAttempts []*attempt
	for _, e := range expired {
		if t, ok := a.running[e.AttemptID()]; ok {
			expiredAttempts = append(expiredAttempts, t)
		}
		a.expireMember(e.GroupID(), e.Fence())
	}
	a.mu.Unlock()
	for _, t := range expiredAttempts {
		t.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseDeadlineExceeded, "attempt passed its deadline"))
	}
	a.answers.evict(now)
	a.checkEngine(ctx)
}

// RecordHeartbeat records that an entry is alive, which keeps its reservations.
func (a *Agent) RecordHeartbeat(owner pwrequest.InstanceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.RecordHeartbeat(time.Now(), owner)
}

// SetInService applies an operator's mark that takes the backend server or its data
// centre out of service or brings it back.
func (a *Agent) SetInService(in bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inService == in {
		return
	}
	a.inService = in
	a.admission.SetInService(time.Now(), in)
	a.signalLoadChange()
}

// SetIsolated makes the agent refuse new work while its process is isolated from
// the table and from its peers, because a mark could not reach it. Unlike a mark
// this does not restart the warm-up ramp: the backend server keeps working.
func (a *Agent) SetIsolated(isolated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isolated != isolated {
		a.isolated = isolated
		a.signalLoadChange()
	}
}

// Reconfigure applies the admission rules of the service's document. Ended answers
// are kept for the time retention.
func (a *Agent) Reconfigure(cfg pwadmission.Config, retention time.Duration) {
	a.answers.setRetention(retention)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Reconfigure(time.Now(), cfg)
	a.signalLoadChange()
}

// releaseAttempt releases the reservation of an ended attempt.
func (a *Agent) releaseAttempt(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Release(time.Now(), t.id, t.fence)
	delete(a.running, t.id)
	a.signalLoadChange()
	a.closeDrainedIfIdle()
}

// sleep waits for d, or returns the error of ctx when ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
