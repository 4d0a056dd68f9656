package pwprocess

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/samber/do/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwadmission"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwwarmup"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
)

// isolationCheckInterval is the period in which an agent checks whether it is isolated.
// A process counts as isolated after 3 s without contact, so the agent refuses new work
// in less than 4 s.
const isolationCheckInterval = 250 * time.Millisecond

// agentProcess holds the components of an agent's process.
type agentProcess struct {
	settings *pwsettings.Settings
	obs      *pwobserve.Observer
	agent    *pwagent.Agent
	node     *pwgossip.Node

	mu    sync.Mutex
	marks map[pwentry.Target]bool // true while the mark takes its target out of service
}

// RunAgent runs an agent until ctx ends, and then waits until the agent's work has ended
// or the shutdown has timed out.
func RunAgent(ctx context.Context, s *pwsettings.Settings, p Platform, listeners Listeners, log io.Writer) error {
	i := newInjector(s, p, pwinstance.RoleAgent, log)
	do.Provide(i, newAgent)
	do.Provide(i, newAgentProcess)
	proc, err := do.Invoke[*agentProcess](i)
	if err != nil {
		return err
	}
	tlsCfg := do.MustInvoke[*tlsSetup](i)
	srv := &httpServers{}
	bg := newBackgroundTasks(ctx)
	defer bg.stop()
	if err := srv.start(ctx, proc.obs, endpoint{
		listener: listeners.Peers,
		address:  s.Listen.Peers,
		handler:  proc.handler(),
		tls:      tlsCfg.peerServer,
	}); err != nil {
		return err
	}
	if tlsCfg.certWatcher != nil {
		bg.start(tlsCfg.certWatcher.Run)
	}
	registered := newBackgroundTasks(ctx)
	defer registered.stop()
	registered.start(newRegistration(i).run)
	bg.start(proc.node.Run)
	bg.start(proc.agent.Run)
	bg.start(proc.loop)
	<-ctx.Done()
	return proc.shutdown(ctx, srv, registered.cancel)
}

// handler serves the RPC services of the agent and its metrics.
func (p *agentProcess) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pwagent.Handler(p.agent, pwrpc.HandlerOptions(maxAgentMessage)))
	mux.Handle(pwpeer.NewHandler(&pwpeer.Server{
		Self:   selfInstance(p.settings, pwinstance.RoleAgent),
		Gossip: p.node,
	}))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = p.obs.WriteMetrics(w)
	})
	return mux
}

// newMux returns a mux that serves h under path.
func newMux(path string, h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return mux
}

// shutdown waits until running work has ended before it removes the agent from the instance
// list and closes the server. Entries send heartbeats to listed agents only, and without them
// the agent would give up the memory of group members.
func (p *agentProcess) shutdown(ctx context.Context, srv *httpServers, deregister func()) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.settings.Agent.ShutdownTimeout())
	defer cancel()
	p.obs.Info("shutting down")
	err := p.agent.Shutdown(ctx)
	deregister()
	srv.stop(ctx)
	return err
}

func newAgent(i do.Injector) (*pwagent.Agent, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	platform := do.MustInvoke[Platform](i)
	a := s.Agent
	deps := pwagent.Deps{
		Observer: do.MustInvoke[*pwobserve.Observer](i),
		Admission: pwadmission.New(pwadmission.Config{
			MemoryTokens: a.MemoryTokens,
			FullBound:    a.MaxAttempts,
			StartBound:   a.InitialAttempts,
			MaxLong:      a.MaxLong,
		}, time.Now()),
	}
	models := a.Models
	if a.Kind == pwdocument.KindPlain {
		models = []pwrequest.ModelID{pwrequest.PlainModel}
		service, err := pwengine.NewHTTPService(a.URL, nil)
		if err != nil {
			return nil, err
		}
		deps.Service = service
		deps.Claims = pwclaim.New(platform.Table, pwclaim.Config{})
	} else {
		engine, err := pwengine.NewHTTPEngine(a.URL, nil)
		if err != nil {
			return nil, err
		}
		deps.Engine = engine
		deps.NewestToken = pwlease.New(platform.Table, pwlease.Config{
			Name: pwplacer.LeaseName(a.Service),
		}).NewestToken
	}
	return pwagent.New(pwagent.Config{
		Instance:        s.Instance,
		Address:         s.AdvertisedAddress(),
		DataCentre:      s.DataCentre,
		BackendServer:   a.BackendServer,
		Service:         a.Service,
		Models:          models,
		Role:            string(a.Role),
		AnswerRetention: a.AnswerRetention(),
		MaxAnswerBytes:  a.MaxAnswerBytes,
		MaxCalls:        a.MaxCalls,
	}, deps), nil
}

func newAgentProcess(i do.Injector) (*agentProcess, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	a, err := do.Invoke[*pwagent.Agent](i)
	if err != nil {
		return nil, err
	}
	p := &agentProcess{
		settings: s,
		obs:      do.MustInvoke[*pwobserve.Observer](i),
		agent:    a,
		marks:    map[pwentry.Target]bool{},
	}
	p.node, err = newNode(i, selfInstance(s, pwinstance.RoleAgent), nil, p.applyChanges)
	return p, err
}

// applyChanges applies changes to the document of the agent's service, and marks on its
// backend server or data centre.
func (p *agentProcess) applyChanges(keys []string) {
	if key := pwdocument.KeyPrefix + string(p.settings.Agent.Service); slices.Contains(keys, key) {
		p.applyDocument(key)
	}
	applyMarks(p.node, keys, func(m pwentry.Target, out bool) {
		applies := m.Name == string(p.settings.DataCentre)
		if m.Scope == pwrouter.ScopeBackendServer {
			applies = m.Name == string(p.settings.Agent.BackendServer)
		}
		if applies {
			p.setMark(m, out)
		}
	})
}

// applyDocument applies the admission rules and the retention of the service's document.
// A deleted or invalid document changes nothing.
func (p *agentProcess) applyDocument(key string) {
	c, ok := p.node.Get(key)
	if !ok || c.Deleted() {
		return
	}
	doc, err := pwdocument.Parse(c.Value)
	if err != nil {
		p.obs.Warn("document could not be parsed; the previous version stays in force", err, "key", key)
		return
	}
	p.agent.Reconfigure(admissionConfig(p.settings.Agent, doc), min(p.settings.Agent.AnswerRetention(), doc.Retention.Response()))
}

// admissionConfig combines the settings, which describe the server's memory, with the
// rules of the document. The settings are upper bounds for the values of the document.
func admissionConfig(a *pwsettings.Agent, doc *pwdocument.Document) pwadmission.Config {
	cfg := pwadmission.Config{
		MemoryTokens: a.MemoryTokens,
		FullBound:    min(a.MaxAttempts, doc.Running.MaxAttempts),
		StartBound:   min(a.InitialAttempts, doc.WarmUp.InitialAttempts),
		MaxLong:      min(a.MaxLong, doc.Running.MaxLong),
		OwnerTimeout: time.Duration(doc.Routing.HeartbeatMS) * time.Millisecond,
		WarmUp: pwwarmup.Config{
			Interval:   time.Duration(doc.WarmUp.IntervalMS) * time.Millisecond,
			SlowFactor: float64(doc.WarmUp.SlowMultiple),
			ColdAfter:  doc.WarmUp.SlowSteps,
		},
	}
	if doc.Kind == pwdocument.KindModelEngines {
		for c := range cfg.MemoryPercent {
			cfg.MemoryPercent[c] = doc.Classes.Share(pwrequest.Class(c)).MemoryPercent
		}
	}
	return cfg
}

// loop makes the agent refuse new work while the process is isolated from the
// table and from all peers, because a mark could not reach it.
func (p *agentProcess) loop(ctx context.Context) {
	t := time.NewTicker(isolationCheckInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			p.agent.SetIsolated(p.node.Isolated())
		case <-ctx.Done():
			return
		}
	}
}

// setMark records a mark. The backend server is in service while no mark takes it or its
// data centre out.
func (p *agentProcess) setMark(m pwentry.Target, out bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.marks[m] = out
	inService := true
	for _, out := range p.marks {
		inService = inService && !out
	}
	p.agent.SetInService(inService)
}
