// Package pwgatewaycommand holds the command "gateway", which serves callers on
// the users' platform.
//
// # Usage
//
//	opts := pwgatewaycommand.Options{}
//	err := opts.Run(ctx, env)
//
// The process learns its place from the platform's settings file. It returns
// when the context has ended and the running requests have finished.
package pwgatewaycommand

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwgateway"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/platform"
)

const (
	// memoryShare is the part of the machine's memory up to which the collector
	// stays at rest.
	memoryShare = 0.6
	// leaveTime is the time after a request to stop in which the balancer
	// notices that this process is not ready.
	leaveTime = 2500 * time.Millisecond
	// shutdownMargin is kept from the time until the kill.
	shutdownMargin = 300 * time.Millisecond
	// firstConfigTimeout bounds the wait for the limits of connections.
	firstConfigTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout and defaultHeaderTimeout are used without a configuration.
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 32 << 10
	// settingsInterval is how often the file is looked at; it may change without a signal.
	settingsInterval = 2 * time.Second
	// serverPaceShare and operatorPaceShare are the parts of the time in which a
	// leaving server or a configuration must be known, in which rows gather that
	// change one after the other.
	serverPaceShare = 3
	// minWatch bounds the calls to the store; watchSlack is the time for the call
	// that follows a lost one.
	minWatch          = time.Second
	watchSlack        = 300 * time.Millisecond
	operatorPaceShare = 5
)

// Options are the inputs of "gateway".
type Options struct {
	Settings string `help:"Path of the platform's settings file; the platform names it by default." placeholder:"FILE"`
	Tuning   string `help:"Path of a JSON file with settings of pomeloweir's own; see docs/OPERATIONS.md." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and stop."`
}

// Help returns examples.
func (Options) Help() string {
	return pwconsole.Examples(`gateway`, `gateway --settings settings.conf --check`)
}

// Run runs a gateway until ctx ends.
func (o *Options) Run(ctx context.Context, env *pwconsole.Env) error {
	path := o.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	d, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	tuning, err := LoadTuning(o.Tuning)
	if err != nil {
		return err
	}
	if o.Check {
		_, err := fmt.Fprintln(env.Out, "The settings are valid.")
		return err
	}
	debug.SetMemoryLimit(int64(memoryShare * float64(d.MemoryBytes)))
	out := pwobserve.NewAsyncWriter(env.Out, pwobserve.DefaultBufferLines)
	defer func() {
		// Close only flushes; lines that can't be written are counted.
		_ = out.Close()
	}()
	p := &process{
		deployment: d,
		path:       path,
		obs:        pwobserve.New(out, pwrequest.InstanceID(d.Instance), pwrequest.DataCentre(d.DataCentre)),
		out:        out,
		tuning:     tuning,
	}
	p.obs.SetSkipRoutine(func() bool { return !tuning.LogRequests || out.HalfFull() })
	return p.run(ctx)
}

// process is one gateway with its background work and listeners.
type process struct {
	deployment pwdeployment.Deployment
	path       string
	obs        *pwobserve.Observer
	out        *pwobserve.AsyncWriter
	tuning     Tuning
	gateway    *pwgateway.Gateway
	exchange   *pwpeering.Exchange
	operator   *pwcontrol.Follower[pwcontrol.OperatorRow]
	servers    *pwcontrol.Follower[pwcatalog.BackendServer]
	wg         sync.WaitGroup
	configured chan struct{}
	once       sync.Once
	stopping   chan struct{}
}

func (p *process) run(ctx context.Context) error {
	d := p.deployment
	p.obs.LogEvent("start", log.Fields{
		"role":    d.Role,
		"callers": d.CallerAddress,
		"store":   d.Store.Address,
	})
	p.stopping = make(chan struct{})
	p.configured = make(chan struct{})
	client := platform.NewStoreClient(d.Store)
	p.gateway = pwgateway.New(pwgateway.Config{
		Deployment: d,
		Codec:      platform.NewCodec(),
		Engines:    platform.NewEngineClient(),
		Fleet:      p.tuning.fleet(),
		Policy:     p.tuning.policy(),
	}, p.obs)
	p.operator = pwcontrol.NewFollower(platform.NewOperatorTable(client), pwcontrol.Config{
		Name:       "operator",
		Wait:       watchTime(d.Bounds),
		BatchDelay: d.Bounds.ApplyTimeout / operatorPaceShare,
	}, p.obs, p.applyOperator)
	p.servers = pwcontrol.NewFollower(platform.NewServerTable(client), pwcontrol.Config{
		Name:       "servers",
		Wait:       watchTime(d.Bounds),
		BatchDelay: d.Bounds.DrainTimeout / serverPaceShare,
	}, p.obs, p.gateway.ApplyServers)
	p.gateway.SetStoreContact(p.operator.LastContact)
	var err error
	p.exchange, err = pwpeering.New(pwpeering.Config{
		Instance: d.Instance,
		Address:  p.peerAddress(),
	}, p.gateway, p.obs)
	if err != nil {
		return err
	}
	p.gateway.SetOnLoadChange(p.exchange.NotifyLoadChanged)
	directory := pwpeering.NewDirectory(platform.NewInstanceTable(client), pwinstance.Instance{
		ID:         pwrequest.InstanceID(d.Instance),
		Address:    p.peerAddress(),
		DataCentre: pwrequest.DataCentre(d.DataCentre),
		Role:       pwinstance.RoleGateway,
	}, p.know, p.obs)

	// Background work ends after the last request.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer p.wg.Wait()
	defer stop()
	for _, loop := range []func(context.Context){
		p.operator.Run, p.servers.Run, p.gateway.Run, p.exchange.Run, directory.Run, p.loopSettings,
	} {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			loop(background)
		}()
	}
	return p.serve(ctx)
}

// watchTime returns how long the store holds a watch. One that is lost must have
// ended before the stable window after an outage has.
func watchTime(b pwdeployment.Bounds) time.Duration {
	return max(minWatch, b.StableWindow-pwcontrol.DefaultWaitMargin-watchSlack)
}

func (p *process) applyOperator(items []pwcontrol.Item[pwcontrol.OperatorRow], _ time.Time) {
	p.gateway.ApplyOperatorRows(items, platform.EvacuatedDataCentre)
	if p.gateway.Configured() {
		p.once.Do(func() { close(p.configured) })
	}
}

// know tells the exchange of another gateway.
func (p *process) know(i pwinstance.Instance) {
	if i.Role == pwinstance.RoleGateway {
		p.exchange.AddPeer(i.Address)
	}
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.deployment.IP, fmt.Sprint(p.deployment.InternalPortFirst))
}

// serve answers callers until ctx ends and their requests have ended.
func (p *process) serve(ctx context.Context) error {
	d := p.deployment
	callers, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", d.CallerAddress)
	if err != nil {
		return err
	}
	ready, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", d.ReadinessAddress)
	if err != nil {
		return err
	}
	metrics, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", p.peerAddress())
	if err != nil {
		return err
	}
	errs := make(chan error, 3)
	side := []*http.Server{
		p.start(ready, http.HandlerFunc(p.readiness), errs),
		p.start(metrics, p.metrics(), errs),
	}
	defer func() {
		for _, s := range side {
			// The process ends; what is cut here is a readiness question.
			_ = s.Close()
		}
	}()
	// The limits of connections are set when the first configuration is known;
	// callers wait in the listener's queue meanwhile.
	select {
	case <-p.configured:
	case <-time.After(firstConfigTimeout):
	case <-ctx.Done():
	}
	srv := p.start(callers, p.gateway, errs)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	return p.shutdown(ctx, srv)
}

// start serves a listener with the limits of the configuration.
func (p *process) start(l net.Listener, h http.Handler, errs chan<- error) *http.Server {
	limits := p.gateway.Limits()
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
	}
	if limits.IdleTimeout > 0 {
		srv.IdleTimeout = limits.IdleTimeout
	}
	if limits.HeaderTimeout > 0 {
		srv.ReadHeaderTimeout = limits.HeaderTimeout + time.Second
	}
	if limits.HeaderBytes > 0 {
		srv.MaxHeaderBytes = limits.HeaderBytes
	}
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
	return srv
}

// shutdown lets the balancer notice first, then waits for the running requests.
func (p *process) shutdown(ctx context.Context, srv *http.Server) error {
	began := time.Now()
	close(p.stopping)
	p.gateway.BeginShutdown()
	p.obs.LogEvent("stopping", nil)
	time.Sleep(leaveTime)
	left := p.deployment.Bounds.StopGracePeriod - shutdownMargin - time.Since(began)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(0, left))
	defer cancel()
	err := srv.Shutdown(ctx)
	p.obs.LogEvent("stop", log.Fields{
		"complete":      err == nil,
		"lines_dropped": p.out.DroppedLines(),
	})
	return nil
}

// readiness tells the balancer whether this process takes new connections.
func (p *process) readiness(w http.ResponseWriter, _ *http.Request) {
	status := http.StatusOK
	select {
	case <-p.stopping:
		status = http.StatusServiceUnavailable
	default:
		if !p.gateway.Configured() {
			status = http.StatusServiceUnavailable
		}
	}
	w.WriteHeader(status)
}

func (p *process) metrics() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.obs.SetGauge("log_lines_dropped", p.out.DroppedLines())
		p.obs.SetGauge("peers", int64(p.exchange.ActivePeers()))
		if err := p.obs.WriteMetrics(w); err != nil {
			p.obs.Count("metrics_write_errors", 1)
		}
	})
	return mux
}

// fileState tells whether a file has changed; it is "" while there is none.
func fileState(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// loopSettings reads the settings again when the platform says so or the file
// has changed.
func (p *process) loopSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	look := time.NewTicker(settingsInterval)
	defer look.Stop()
	known := fileState(p.path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		case <-look.C:
			if now := fileState(p.path); now == known {
				continue
			}
		}
		known = fileState(p.path)
		d, err := platform.LoadSettings(p.path)
		if err != nil {
			p.obs.Warn("the settings are kept", err)
			continue
		}
		p.gateway.SetBounds(d.Bounds)
		p.obs.LogEvent("reload", nil)
	}
}
