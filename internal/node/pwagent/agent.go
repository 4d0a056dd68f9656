// Package pwagent is the process beside a backend server. It is the only
// authority on what that server accepts: it reserves engine memory, keeps the
// responses that the engine generates, and makes the step that lets a call run
// at most once.
//
// # Usage
//
//	a := pwagent.New(pwagent.Config{
//		Instance:      "agent-hakata-01",
//		BackendServer: "lantern-01",
//		Service:       "lantern",
//	}, pwagent.Parts{
//		Admission: pwadmission.New(admissionConfig, time.Now()),
//		Engine:    engine,
//		Observer:  observer,
//	})
//	go a.Run(ctx)
//	err := a.Execute(ctx, request, stream.Send)
//
// Agent has no sockets; Handler in this package puts it behind connect-go.
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

// Engine is what the agent needs of a model engine.
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

// Config describes an agent and its backend server.
type Config struct {
	Instance      pwrequest.InstanceID
	Address       string
	DataCentre    pwrequest.DataCentre
	BackendServer pwrequest.BackendServerID
	Service       pwrequest.ServiceID
	Models        []pwrequest.ModelID
	Role          string
	// AnswerRetention is how long an ended answer can be read; default 5 minutes.
	AnswerRetention time.Duration
	// MaxAnswerBytes bounds all kept answers; default 256 MiB.
	MaxAnswerBytes int64
	// MaxCalls bounds concurrent calls of a plain service; default 64.
	MaxCalls int
}

const (
	defaultRetention      = 5 * time.Minute
	defaultMaxAnswerBytes = 256 << 20
	defaultMaxCalls       = 64
	// maintenanceInterval is the period of reclaiming and of engine checks.
	maintenanceInterval = 100 * time.Millisecond
	// engineCheckTimeout bounds one check of the engine. An engine that does not
	// answer in that time gets no new work.
	engineCheckTimeout = 2 * time.Second
	// reclaimGrace is added to the deadline of a reservation. An attempt ends at
	// its own deadline and then releases it, so that the reclaim only catches
	// what was forgotten.
	reclaimGrace = time.Minute
	// engineLostAfter is the time without an answer after which running attempts
	// are given up, so that they continue on other backend servers.
	engineLostAfter = 5 * time.Second
)

// Deps are the collaborators of an agent. Engine is nil beside a plain
// service; Service and Claims are nil beside an engine.
type Deps struct {
	Admission *pwadmission.Controller
	Engine    Engine
	Service   PlainService
	Claims    ClaimStore
	Observer  *pwobserve.Observer
	// NewestToken reads the newest fencing token of the placement lease, so
	// that a restarted agent refuses old orders. Nil, for an agent without a
	// table, starts at token 0.
	NewestToken func(ctx context.Context) (uint64, error)
}

// Agent runs attempts on one backend server.
type Agent struct {
	cfg     Config
	engine  Engine
	service PlainService
	claims  ClaimStore
	obs     *pwobserve.Observer
	answers *answerStore
	calls   chan struct{}

	mu          sync.Mutex
	admission   *pwadmission.Controller
	running     map[pwrequest.AttemptID]*attempt
	members     map[string]*member
	inService   bool
	draining    bool
	isolated    bool
	incarnation uint64 // of the engine, as last seen
	engineUp    bool
	deathKnown  bool      // an attempt revealed a death that Load does not show yet
	engineSeen  time.Time // last answer of the engine
	idle        chan struct{}
	loadChanged chan struct{}
	serving     bool          // as in the newest report
	turned      chan struct{} // closed and replaced when serving changes
	guard       *pwlease.Guard
	placed      placed
	prefills    prefills
	segments    int   // group segments in prefill
	dropping    int64 // tokens of ended members that the engine may still hold

	baseCtx context.Context
	stop    context.CancelFunc
}

// New returns an agent that accepts work at once.
func New(cfg Config, parts Deps) *Agent {
	if cfg.AnswerRetention == 0 {
		cfg.AnswerRetention = defaultRetention
	}
	if cfg.MaxAnswerBytes == 0 {
		cfg.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if cfg.MaxCalls == 0 {
		cfg.MaxCalls = defaultMaxCalls
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Agent{
		cfg:         cfg,
		engine:      parts.Engine,
		service:     parts.Service,
		claims:      parts.Claims,
		obs:         parts.Observer,
		answers:     newAnswerStore(cfg.AnswerRetention, cfg.MaxAnswerBytes),
		calls:       make(chan struct{}, cfg.MaxCalls),
		admission:   parts.Admission,
		running:     map[pwrequest.AttemptID]*attempt{},
		members:     map[string]*member{},
		inService:   true,
		engineUp:    true,
		engineSeen:  time.Now(),
		loadChanged: make(chan struct{}),
		serving:     true,
		turned:      make(chan struct{}),
		guard:       newGuard(parts.NewestToken),
		placed:      newPlaced(cfg.Models, cfg.Role),
		baseCtx:     ctx,
		stop:        cancel,
	}
}

// Run reclaims reservations and watches the engine until ctx ends. Attempts
// that still run are then cancelled; call Shutdown first to let them finish.
func (a *Agent) Run(ctx context.Context) {
	defer a.stop()
	if a.engine != nil {
		// Work that an earlier process of this agent left on the engine has
		// no reservation here and would hold memory for good.
		if err := a.engine.Reset(ctx); err != nil {
			a.obs.Warn("engine reset failed", err)
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

func (a *Agent) maintain(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	expired := a.admission.Expire(now)
	var cancelled []*attempt
	for _, e := range expired {
		if t, ok := a.running[e.AttemptID()]; ok {
			cancelled = append(cancelled, t)
		}
		a.expireMember(e.GroupID(), e.Fence())
	}
	a.mu.Unlock()
	for _, t := range cancelled {
		t.cancel(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseDeadlineExceeded, "attempt passed its deadline"))
	}
	a.answers.sweep(now)
	a.checkEngine(ctx)
}

// RecordHeartbeat records a sign of life of an entry.
func (a *Agent) RecordHeartbeat(owner pwrequest.InstanceID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.RecordHeartbeat(time.Now(), owner)
}

// SetInService applies a mark on the backend server or its data centre.
func (a *Agent) SetInService(in bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.inService == in {
		return
	}
	a.inService = in
	a.admission.SetInService(time.Now(), in)
	a.notifyLoad()
}

// SetIsolated makes the agent refuse new work while its process is cut off, so
// that a mark may not have reached it. Unlike a mark this does not restart the
// warm-up ramp: the backend server went on working.
func (a *Agent) SetIsolated(isolated bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isolated != isolated {
		a.isolated = isolated
		a.notifyLoad()
	}
}

// Reconfigure puts the rules of the service's document in force; retention is
// how long ended answers are kept.
func (a *Agent) Reconfigure(cfg pwadmission.Config, retention time.Duration) {
	a.answers.setRetention(retention)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Reconfigure(time.Now(), cfg)
	a.notifyLoad()
}

// finished releases the reservation of an ended attempt.
func (a *Agent) finished(t *attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.admission.Release(time.Now(), t.id, t.fence)
	delete(a.running, t.id)
	a.notifyLoad()
	a.closeIdleLocked()
}

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
