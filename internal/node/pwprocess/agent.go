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
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwplacer"
)

// isolationInterval is the period in which an agent checks whether it is cut
// off. With the 3 s after which it counts as isolated it stays under 4 s.
const isolationInterval = 250 * time.Millisecond

// agentProcess is one agent with all its parts.
type agentProcess struct {
	settings *pwsettings.Settings
	obs      *pwobserve.Observer
	agent    *pwagent.Agent
	node     *pwgossip.Node

	mu  sync.Mutex
	out map[pwentry.Target]bool
}

// RunAgent runs an agent until ctx ends, and then until its work has ended.
func RunAgent(ctx context.Context, s *pwsettings.Settings, p Platform, sockets Listeners, log io.Writer) error {
	i := newInjector(s, p, pwinstance.RoleAgent, log)
	do.Provide(i, newAgent)
	do.Provide(i, newAgentProcess)
	proc, err := do.Invoke[*agentProcess](i)
	if err != nil {
		return err
	}
	k := do.MustInvoke[*keys](i)
	srv := &servers{}
	bg := newBackground(ctx)
	defer bg.stop()
	if err := srv.start(ctx, proc.obs, listener{
		open:    sockets.Peers,
		address: s.Listen.Peers,
		handler: proc.handler(),
		tls:     k.peers,
	}); err != nil {
		return err
	}
	if k.keeper != nil {
		bg.run(k.keeper.Run)
	}
	directory := do.MustInvoke[*pwpeering.Directory](i)
	bg.run(directory.Run)
	bg.run(proc.node.Run)
	bg.run(proc.agent.Run)
	bg.run(proc.loop)
	<-ctx.Done()
	leave(ctx, directory, proc.obs)
	return proc.shutdown(ctx, srv)
}

func (p *agentProcess) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(pwagent.Handler(p.agent, pwrpc.HandlerOptions(maxAgentMessage)))
	mux.Handle(pwpeer.NewHandler(&pwpeer.Server{
		Self:   selfOf(p.settings, pwinstance.RoleAgent),
		Gossip: p.node,
	}))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		_ = p.obs.WriteMetrics(w)
	})
	return mux
}

func mount(path string, h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(path, h)
	return mux
}

// shutdown lets running work end before it closes the server.
func (p *agentProcess) shutdown(ctx context.Context, srv *servers) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), p.settings.Agent.ShutdownTimeout())
	defer cancel()
	p.obs.Info("shutting down")
	err := p.agent.Shutdown(ctx)
	srv.stop(ctx)
	return err
}

func newAgent(i do.Injector) (*pwagent.Agent, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	platform := do.MustInvoke[Platform](i)
	a := s.Agent
	parts := pwagent.Deps{
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
		parts.Service = service
		parts.Claims = pwclaim.New(platform.Table, pwclaim.Config{})
	} else {
		engine, err := pwengine.NewHTTPEngine(a.URL, nil)
		if err != nil {
			return nil, err
		}
		parts.Engine = engine
		parts.NewestToken = pwlease.New(platform.Table, pwlease.Config{
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
	}, parts), nil
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
		out:      map[pwentry.Target]bool{},
	}
	p.node, err = newNode(i, selfOf(s, pwinstance.RoleAgent), nil, p.changed)
	return p, err
}

// changed applies the rules of the service's document, and marks on this
// backend server and its data centre.
func (p *agentProcess) changed(keys []string) {
	if key := pwdocument.KeyPrefix + string(p.settings.Agent.Service); slices.Contains(keys, key) {
		p.applyDocument(key)
	}
	marks(p.node, keys, func(m pwentry.Target, out bool) {
		own := m.Name == string(p.settings.DataCentre)
		if m.Scope == pwrouter.ScopeBackendServer {
			own = m.Name == string(p.settings.Agent.BackendServer)
		}
		if own {
			p.setMark(m, out)
		}
	})
}

func (p *agentProcess) applyDocument(key string) {
	c, ok := p.node.Get(key)
	if !ok || c.Deleted() {
		return
	}
	doc, err := pwdocument.Parse(c.Value)
	if err != nil {
		p.obs.Warn("document could not be read; the version before it stays in force", err, "key", key)
		return
	}
	p.agent.Reconfigure(admissionConfig(p.settings.Agent, doc), min(p.settings.Agent.AnswerRetention(), doc.Retention.Response()))
}

// admissionConfig takes memory from the settings, which describe the server,
// and the rules from the document. The settings bound what the document allows.
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

// loop refuses new work while the process is cut off from the table and from
// all peers: a mark could not reach it.
func (p *agentProcess) loop(ctx context.Context) {
	t := time.NewTicker(isolationInterval)
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

func (p *agentProcess) setMark(m pwentry.Target, taken bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out[m] = taken
	in := true
	for _, out := range p.out {
		in = in && !out
	}
	p.agent.SetInService(in)
}
