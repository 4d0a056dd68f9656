// Package pwgatewaycommand implements the "gateway" command, which serves callers on
// the users' platform.
//
// # Usage
//
//	opts := pwgatewaycommand.Options{}
//	err := opts.Run(ctx, env)
//
// The platform's settings file names the instance, its data centre and the addresses
// to listen on. The command returns when the context has ended and the running
// requests have finished.
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
	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
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
	// memoryLimitShare is the share of the machine's memory that is set as the soft
	// memory limit of the Go runtime. Near the limit, the garbage collector runs more
	// often.
	memoryLimitShare = 0.6
	// notReadyPeriod is how long a stopping process reports that it is not ready before
	// it stops listening, so that the load balancer sends it no new connections.
	notReadyPeriod = 2500 * time.Millisecond
	// notReadyShare bounds notReadyPeriod by a share of the grace period.
	notReadyShare = 0.4
	// shutdownMargin is the time between the end of the shutdown and the forced kill.
	shutdownMargin = 300 * time.Millisecond
	// answerMargin is the time between the end of the last requests and that of the
	// shutdown, in which their answers are written.
	answerMargin = 200 * time.Millisecond
	// marginShare bounds shutdownMargin and answerMargin together by a share of the grace
	// period. Requests must not be ended before the last sixth of it.
	marginShare = 0.125
	// firstConfigTimeout bounds the wait for the first configuration, which sets the
	// connection limits.
	firstConfigTimeout = 1500 * time.Millisecond
	// defaultIdleTimeout, defaultHeaderTimeout and defaultHeaderBytes are the limits of
	// connections until there is a configuration.
	defaultIdleTimeout   = 30 * time.Second
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 32 << 10
	// settingsInterval is how often the settings file is checked for changes, because it
	// may change without a signal.
	settingsInterval = 2 * time.Second
	// serverBatchDivisor and operatorBatchDivisor determine the batch delay, in which
	// rows that change in quick succession are collected: a third of the time after
	// which a draining server must get no new requests, and a fifth of the time within
	// which a new configuration must be in force.
	serverBatchDivisor   = 3
	operatorBatchDivisor = 5
	// minWatchWait is the shortest wait of a watch call. It limits the rate of calls to
	// the store.
	minWatchWait = time.Second
	// watchRetryMargin is the time that is left for the next watch call after one whose
	// connection was lost.
	watchRetryMargin = 300 * time.Millisecond
)

// Options holds the flags of the "gateway" command.
type Options struct {
	Settings string `help:"Path of the platform's settings file; the platform names it by default." placeholder:"FILE"`
	Tuning   string `help:"Path of a JSON file with settings of pomeloweir's own; see docs/OPERATIONS.md." placeholder:"FILE"`
	Check    bool   `help:"Check the settings and stop."`
}

// Help implements kong.HelpProvider.
func (Options) Help() string {
	return pwconsole.Examples(`gateway`, `gateway --settings settings.conf --check`)
}

// Run runs a gateway until ctx ends.
func (o *Options) Run(ctx context.Context, env *pwconsole.Env) error {
	path := o.Settings
	if path == "" {
		path = platform.SettingsPath()
	}
	version := fileVersion(path)
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
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(d.MemoryBytes)))
	out := pwobserve.NewAsyncWriter(env.Out, pwobserve.DefaultBufferLines)
	defer func() {
		// Close only flushes; lines that cannot be written are counted.
		_ = out.Close()
	}()
	p := &process{
		deployment:      d,
		bounds:          d.Bounds,
		settingsPath:    path,
		settingsVersion: version,
		obs:             pwobserve.New(out, pwrequest.InstanceID(d.Instance), pwrequest.DataCentre(d.DataCentre)),
		logWriter:       out,
		tuning:          tuning,
	}
	p.obs.SetSkipRoutine(func() bool { return !tuning.LogRequests || out.HalfFull() })
	return p.run(ctx)
}

// process is a gateway with its background goroutines and listeners. configured is
// closed when the first configuration is in force, stopping when the shutdown begins.
type process struct {
	deployment   pwdeployment.Deployment
	settingsPath string
	// settingsVersion is that of the settings file when it was last loaded. loopSettings owns
	// it.
	settingsVersion  string
	obs              *pwobserve.Observer
	logWriter        *pwobserve.AsyncWriter
	tuning           Tuning
	gateway          *pwgateway.Gateway
	exchange         *pwpeering.Exchange
	directory        *pwpeering.Directory
	operatorFollower *pwcontrol.Follower[pwcontrol.OperatorRow]
	serverFollower   *pwcontrol.Follower[pwcatalog.BackendServer]
	wg               sync.WaitGroup
	configured       chan struct{}
	configuredOnce   sync.Once
	stopping         chan struct{}

	mu sync.Mutex
	// bounds are those of the settings file when it was last loaded.
	bounds pwdeployment.Bounds
}

// run starts the background goroutines and serves callers until ctx ends.
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
	quarantine := pwgateway.NewQuarantineKeeper(p.gateway, platform.NewQuarantineTable(client))
	p.operatorFollower = pwcontrol.NewFollower(platform.NewOperatorTable(client), pwcontrol.Config{
		Name:       "operator",
		Wait:       watchWait(d.Bounds),
		BatchDelay: d.Bounds.ApplyTimeout / operatorBatchDivisor,
		NewestOnly: true,
		OnRestore: func() {
			p.directory.Refresh()
			quarantine.Recheck()
		},
	}, p.obs, p.applyOperator)
	p.serverFollower = pwcontrol.NewFollower(platform.NewServerTable(client), pwcontrol.Config{
		Name:       "servers",
		Wait:       watchWait(d.Bounds),
		BatchDelay: d.Bounds.DrainTimeout / serverBatchDivisor,
	}, p.obs, p.gateway.ApplyServers)
	p.gateway.SetStoreContact(p.operatorFollower.LastContact)
	var usage pwpeering.UsageView
	if p.tuning.Overload != nil {
		usage = p.gateway
	}
	var err error
	p.exchange, err = pwpeering.New(pwpeering.Config{
		Address:         p.peerAddress(),
		Usage:           usage,
		OnUnknownSender: func() { p.directory.Refresh() },
	}, p.gateway, p.obs)
	if err != nil {
		return err
	}
	p.gateway.SetOnLoadChange(p.exchange.NotifyLoadChanged)
	p.directory = pwpeering.NewDirectory(platform.NewInstanceTable(client), pwinstance.Instance{
		ID:         pwrequest.InstanceID(d.Instance),
		Address:    p.peerAddress(),
		DataCentre: pwrequest.DataCentre(d.DataCentre),
		Role:       pwinstance.RoleGateway,
	}, p.setGateways, p.obs)

	// The background goroutines stop only after the last request has ended.
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer p.wg.Wait()
	defer stop()
	for _, loop := range []func(context.Context){
		p.operatorFollower.Run, p.serverFollower.Run, p.gateway.Run, p.exchange.Run, p.directory.Run, quarantine.Run, p.loopSettings,
	} {
		p.wg.Add(1)
		go func() {
			defer p.wg.Done()
			loop(background)
		}()
	}
	return p.serve(ctx)
}

// watchWait returns how long the store holds a watch call open. A watch call whose
// connection is lost must time out and be repeated within the stable window that
// follows an outage.
func watchWait(b pwdeployment.Bounds) time.Duration {
	return max(minWatchWait, b.StableWindow-pwcontrol.DefaultWaitMargin-watchRetryMargin)
}

// applyOperator applies rows of the operators and closes p.configured once there is a
// configuration.
func (p *process) applyOperator(items []pwcontrol.Item[pwcontrol.OperatorRow], _ time.Time) {
	p.gateway.ApplyOperatorRows(items, platform.EvacuatedDataCentre)
	if p.gateway.Configured() {
		p.configuredOnce.Do(func() { close(p.configured) })
	}
}

// setGateways sets the gateways that share the fleet.
func (p *process) setGateways(list []pwinstance.Instance) {
	members := make([]pwcell.Member, 0, len(list))
	peers := make([]pwpeering.Peer, 0, len(list))
	for _, i := range list {
		if i.Role != pwinstance.RoleGateway {
			continue
		}
		members = append(members, pwcell.Member{
			ID:         string(i.ID),
			DataCentre: string(i.DataCentre),
		})
		peers = append(peers, pwpeering.Peer{
			Name:    string(i.ID),
			Address: i.Address,
		})
	}
	p.gateway.SetProcesses(pwcell.Member{
		ID:         p.deployment.Instance,
		DataCentre: p.deployment.DataCentre,
	}, members)
	p.exchange.SetPeers(peers)
}

func (p *process) peerAddress() string {
	return net.JoinHostPort(p.deployment.IP, fmt.Sprint(p.deployment.InternalPortFirst))
}

// serve listens for callers, readiness checks and metrics requests. It serves them
// until ctx ends, then shuts down.
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
	internalServers := []*http.Server{
		p.newServer(http.HandlerFunc(p.handleReadiness)),
		p.newServer(p.metricsHandler()),
	}
	for i, l := range []net.Listener{ready, metrics} {
		serve(internalServers[i], l, errs)
	}
	defer func() {
		for _, s := range internalServers {
			// The process is about to exit; this can only interrupt a readiness or
			// metrics request.
			_ = s.Close()
		}
	}()
	// The connection limits come from the configuration, so callers wait in the
	// listener's queue until the first configuration is known.
	select {
	case <-p.configured:
	case <-time.After(firstConfigTimeout):
	case <-ctx.Done():
	}
	srv := p.newServer(p.gateway)
	conns := newConnTracker(srv)
	serve(srv, callers, errs)
	select {
	case err := <-errs:
		return err
	case <-ctx.Done():
	}
	p.shutdown(callers, srv, conns)
	return nil
}

// newServer returns a server with the connection limits of the configuration.
func (p *process) newServer(h http.Handler) *http.Server {
	limits := p.gateway.Limits()
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: defaultHeaderTimeout,
		IdleTimeout:       defaultIdleTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
		ConnContext:       pwgateway.WithCallerConn,
		ErrorLog:          p.obs.ErrorLog(),
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
	return srv
}

// serve serves a listener in the background.
func serve(srv *http.Server, l net.Listener, errs chan<- error) {
	go func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			errs <- err
		}
	}()
}

// shutdown reports not ready for a while, then stops listening and serves the open
// connections until all are closed. Shortly before the forced kill, it ends the requests
// that still run, so that each one gets an answer. The settings file may have changed without
// a signal, so it is loaded once more.
func (p *process) shutdown(callers net.Listener, srv *http.Server, conns *connTracker) {
	beganAt := time.Now()
	close(p.stopping)
	p.reload()
	grace := p.gracePeriod()
	marginScale := min(1, marginShare*float64(grace)/float64(shutdownMargin+answerMargin))
	end := beganAt.Add(grace - time.Duration(marginScale*float64(shutdownMargin)))
	listenUntil := beganAt.Add(min(notReadyPeriod, time.Duration(notReadyShare*float64(grace))))
	p.gateway.BeginShutdown(listenUntil, end.Add(-time.Duration(marginScale*float64(answerMargin))))
	p.obs.LogEvent("stopping", nil)
	time.Sleep(time.Until(listenUntil))
	// Closing only fails if the listener is closed already.
	_ = callers.Close()
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	left := conns.drain(ctx)
	f := log.Fields{
		"complete":         left == 0,
		"connections_left": left,
	}
	conns.addStateFields(f)
	// What is left are connections that never carried a request, and broken streams.
	_ = srv.Close()
	f["lines_dropped"] = p.logWriter.DroppedLines()
	p.obs.LogEvent("stop", f)
}

// handleReadiness responds to the load balancer: 200 if the process takes new connections,
// 503 while it has no configuration or is stopping.
func (p *process) handleReadiness(w http.ResponseWriter, _ *http.Request) {
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

func (p *process) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		p.obs.SetGauge("log_lines_dropped", p.logWriter.DroppedLines())
		p.obs.SetGauge("peers", int64(p.exchange.ActivePeers()))
		cell, cellPeers := p.gateway.Cell()
		p.obs.SetGauge("cell_index", int64(cell.Index))
		p.obs.SetGauge("cell_count", int64(cell.Count))
		p.obs.SetGauge("cell_peers", int64(len(cellPeers)))
		p.obs.ExportTurnWaits()
		if err := p.obs.WriteMetrics(w); err != nil {
			p.obs.Count("metrics_write_errors", 1)
		}
	})
	return mux
}

// fileVersion returns a value that changes with the modification time or the size of a
// file. It is "" if the file does not exist.
func fileVersion(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.ModTime().UnixNano(), info.Size())
}

// loopSettings reloads the bounds from the settings file on SIGHUP and when the file
// has changed.
func (p *process) loopSettings(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			p.settingsVersion = fileVersion(p.settingsPath)
			p.reload()
		case <-ticker.C:
			p.reloadIfChanged()
		}
	}
}

// reloadIfChanged reloads the settings file if it has changed since loopSettings or the start
// of the process last loaded it.
func (p *process) reloadIfChanged() {
	if version := fileVersion(p.settingsPath); version != p.settingsVersion {
		p.settingsVersion = version
		p.reload()
	}
}

// reload applies the bounds of the settings file.
func (p *process) reload() {
	d, err := platform.LoadSettings(p.settingsPath)
	if err != nil {
		p.obs.Warn("settings file cannot be loaded; the current settings stay in force", err)
		return
	}
	p.mu.Lock()
	p.bounds = d.Bounds
	p.mu.Unlock()
	p.gateway.SetBounds(d.Bounds)
	p.operatorFollower.SetDelays(watchWait(d.Bounds), d.Bounds.ApplyTimeout/operatorBatchDivisor)
	p.serverFollower.SetDelays(watchWait(d.Bounds), d.Bounds.DrainTimeout/serverBatchDivisor)
	p.obs.LogEvent("reload", nil)
}

// gracePeriod returns the time from the request to stop to the forced kill.
func (p *process) gracePeriod() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.bounds.StopGracePeriod
}
