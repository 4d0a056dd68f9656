// Package pwprocess assembles the processes of the system, the entry and the agent, from
// their settings. Each process takes part in the exchange of configuration changes.
//
// # Usage
//
//	platform := pwprocess.NewPlatform(settings)
//	err := pwprocess.RunEntry(ctx, settings, platform, pwprocess.Listeners{}, os.Stderr)
//
// RunEntry and RunAgent return when ctx has ended and the running requests have finished,
// or when the shutdown has timed out.
package pwprocess

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrouter"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeer"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// Table provides the rows of the table service.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// InstanceSource reads the list of running instances.
type InstanceSource interface {
	Instances(ctx context.Context) ([]pwinstance.Instance, error)
}

// Platform provides the services of the platform's store. Objects may be nil.
type Platform struct {
	Table         Table
	Objects       pwentry.ObjectStore
	InstanceTable pwpeering.Table
}

// Listeners holds listeners that are already open. A nil listener is opened at the address
// in the settings.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
}

const (
	// instanceRefreshInterval is the period in which an entry process passes the instance
	// list to its entry.
	instanceRefreshInterval = 5 * time.Second
	// minInstanceListTTL is the shortest time for which a process caches an instance
	// list. At a large site the list is the largest message of a process.
	minInstanceListTTL = 9 * time.Second
	// maxListCallsPerSecond bounds the store calls with which all processes together read
	// the list. It is a quarter of the store's read rate.
	maxListCallsPerSecond = 500
	// rowsPerPage is the number of rows that the store returns in one call.
	rowsPerPage = 500
)

// instanceListTTL returns the time for which a process caches a list of n instances. Each
// of the n processes reads all pages once in that time.
func instanceListTTL(n int) time.Duration {
	pages := (n + rowsPerPage - 1) / rowsPerPage
	return max(minInstanceListTTL, time.Duration(n*pages)*time.Second/maxListCallsPerSecond)
}

// newInjector provides the dependencies that entries and agents have in common.
func newInjector(s *pwsettings.Settings, p Platform, role pwinstance.Role, logTo io.Writer) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, p)
	do.ProvideValue(i, pwobserve.New(logTo, s.Instance, s.DataCentre))
	do.Provide(i, newTLSSetup)
	do.Provide(i, newPeerConnections)
	do.Provide(i, func(do.Injector) (*pwchange.Log, error) { return pwchange.NewLog(p.Table), nil })
	directory := pwpeering.NewDirectory(p.InstanceTable, selfInstance(s, role), nil, do.MustInvoke[*pwobserve.Observer](i))
	do.ProvideValue(i, directory)
	do.ProvideValue(i, &instanceCache{
		source: directory,
	})
	return i
}

// tlsSetup holds the TLS configurations of a process and the URL scheme between
// processes. All configurations are nil without TLS.
type tlsSetup struct {
	certWatcher  *pwsecurity.CertWatcher
	callerServer *tls.Config
	peerServer   *tls.Config
	peerClient   *tls.Config
	scheme       string
}

// newTLSSetup reads the TLS files. Connections between processes use mutual TLS.
func newTLSSetup(i do.Injector) (*tlsSetup, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	if !s.TLS.Enabled() {
		return &tlsSetup{
			scheme: "http",
		}, nil
	}
	watcher, err := pwsecurity.NewCertWatcher(s.TLS, do.MustInvoke[*pwobserve.Observer](i))
	if err != nil {
		return nil, err
	}
	return &tlsSetup{
		certWatcher:  watcher,
		callerServer: watcher.ServerConfig(),
		peerServer:   watcher.PeerServerConfig(pwsecurity.RoleEntry, pwsecurity.RoleAgent),
		peerClient:   watcher.PeerClientConfig(pwsecurity.RoleEntry, pwsecurity.RoleAgent),
		scheme:       "https",
	}, nil
}

// peerConnections holds the clients for requests to other processes.
type peerConnections struct {
	httpClient *http.Client
	scheme     string
	dialer     *pwpeer.Dialer
}

func newPeerConnections(i do.Injector) (*peerConnections, error) {
	tlsCfg, err := do.Invoke[*tlsSetup](i)
	if err != nil {
		return nil, err
	}
	client := pwtransport.NewClient(tlsCfg.peerClient)
	return &peerConnections{
		httpClient: client,
		scheme:     tlsCfg.scheme,
		dialer:     pwpeer.NewDialer(client, tlsCfg.scheme),
	}, nil
}

// instanceCache caches the newest instance list, so that a failed read changes nothing.
// An empty list after one with instances counts as a failed read: the reading process is
// an instance itself, and with an empty list an entry would drop all its agents.
type instanceCache struct {
	source InstanceSource

	mu        sync.Mutex
	instances []pwinstance.Instance
	readAt    time.Time
	entries   []pwinstance.Instance // the entries among instances
}

// Instances implements pwgossip.Instances. It reads the list only when the cached one has
// expired.
func (c *instanceCache) Instances(ctx context.Context) ([]pwinstance.Instance, error) {
	c.mu.Lock()
	cached, at := c.instances, c.readAt
	c.mu.Unlock()
	if time.Since(at) < instanceListTTL(len(cached)) {
		return cached, nil
	}
	list, err := c.source.Instances(ctx)
	if err != nil {
		return nil, err
	}
	if len(list) == 0 && len(cached) > 0 {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "the instance list is empty; the previous one, with %d instances, stays in force", len(cached))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.instances = list
	c.readAt = time.Now()
	c.entries = lo.Filter(list, func(i pwinstance.Instance, _ int) bool { return i.Role == pwinstance.RoleEntry })
	return list, nil
}

// Known returns the newest list that was read, regardless of its age.
func (c *instanceCache) Known() []pwinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.instances
}

// Entries implements pwdirectory.Entries.
func (c *instanceCache) Entries() []pwinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// newNode returns the node with which this process exchanges configuration changes.
func newNode(i do.Injector, self pwinstance.Instance, crashes pwgossip.Crashes, onChange func([]string)) (*pwgossip.Node, error) {
	p, err := do.Invoke[*peerConnections](i)
	if err != nil {
		return nil, err
	}
	return pwgossip.New(pwgossip.Options{
		Self:      self,
		Log:       do.MustInvoke[*pwchange.Log](i),
		Instances: do.MustInvoke[*instanceCache](i),
		Dialer:    p.dialer,
		Crashes:   crashes,
		OnChange:  onChange,
	})
}

// applyMarks calls apply for each changed key that holds a mark.
func applyMarks(node *pwgossip.Node, keys []string, apply func(pwentry.Target, bool)) {
	for _, k := range keys {
		c, ok := node.Get(k)
		if !ok {
			continue
		}
		target, name, m, ok := pwchange.MarkInForce(c)
		if !ok {
			continue
		}
		scope := pwrouter.ScopeBackendServer
		if target == pwchange.TargetDataCentre {
			scope = pwrouter.ScopeDataCentre
		}
		apply(pwentry.Target{
			Scope: scope,
			Name:  name,
		}, m.OutOfService)
	}
}

// endpoint is an address on which a process serves HTTP.
type endpoint struct {
	listener net.Listener // nil opens address
	address  string
	handler  http.Handler
	tls      *tls.Config
}

// listen returns the open listener, or opens one at the address.
func (l endpoint) listen(ctx context.Context) (net.Listener, error) {
	if l.listener != nil {
		return l.listener, nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.address)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "address %s is not free; change listen in the settings", l.address)
	}
	return ln, nil
}

// httpServers runs an HTTP server for each endpoint of a process.
type httpServers struct {
	servers []*httpServer
	wg      sync.WaitGroup
}

// httpServer is a server with its listener and the open connections that have carried no
// request yet.
type httpServer struct {
	*http.Server
	listener net.Listener

	mu     sync.Mutex
	unused map[net.Conn]struct{}
}

// track records which connections are unused.
func (s *httpServer) track(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateNew {
		s.unused[c] = struct{}{}
	} else {
		delete(s.unused, c)
	}
}

func (s *httpServer) unusedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unused)
}

// unusedPollInterval is how often a server that stops looks for unused connections.
const unusedPollInterval = 20 * time.Millisecond

// drain stops listening and waits until the open requests have ended. It returns the error of
// ctx if ctx ends first, and may be called again. Once Server.Shutdown is
// called, the server drops each request that it reads, without an answer. So the requests of
// unused connections are awaited before; the server closes those that send none.
func (s *httpServer) drain(ctx context.Context) error {
	// Closing only fails if the listener is closed already.
	_ = s.listener.Close()
	ticker := time.NewTicker(unusedPollInterval)
	defer ticker.Stop()
	for s.unusedCount() > 0 && ctx.Err() == nil {
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	return s.Shutdown(ctx)
}

// start opens the endpoints and serves them in the background.
func (s *httpServers) start(ctx context.Context, obs *pwobserve.Observer, endpoints ...endpoint) error {
	for _, e := range endpoints {
		ln, err := e.listen(ctx)
		if err != nil {
			return err
		}
		srv := &httpServer{
			Server:   pwtransport.NewServer(e.handler, e.tls),
			listener: ln,
			unused:   map[net.Conn]struct{}{},
		}
		srv.ErrorLog = obs.ErrorLog()
		srv.ConnState = srv.track
		s.servers = append(s.servers, srv)
		obs.Info("listening", "address", ln.Addr().String())
		s.wg.Go(func() { _ = pwtransport.Serve(srv.Server, ln) })
	}
	return nil
}

// drain makes all servers stop listening and waits until their open requests have ended. It
// returns the error of ctx if ctx ends first.
func (s *httpServers) drain(ctx context.Context) error {
	for _, srv := range s.servers {
		if err := srv.drain(ctx); err != nil {
			return err
		}
	}
	return nil
}

// stop closes the servers when their open requests or ctx have ended.
func (s *httpServers) stop(ctx context.Context) {
	for _, srv := range s.servers {
		if srv.drain(ctx) != nil {
			_ = srv.Close()
		}
	}
	s.wg.Wait()
}

// backgroundTasks runs the background loops of a process until stop is called.
type backgroundTasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// newBackgroundTasks returns tasks that continue after ctx has ended, because running
// requests need the loops during a shutdown.
func newBackgroundTasks(ctx context.Context) *backgroundTasks {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &backgroundTasks{
		ctx:    ctx,
		cancel: cancel,
	}
}

func (b *backgroundTasks) start(loop func(context.Context)) {
	b.wg.Go(func() { loop(b.ctx) })
}

func (b *backgroundTasks) stop() {
	b.cancel()
	b.wg.Wait()
}

// selfInstance returns the row of this process in the instance list.
func selfInstance(s *pwsettings.Settings, role pwinstance.Role) pwinstance.Instance {
	self := pwinstance.Instance{
		ID:         s.Instance,
		DataCentre: s.DataCentre,
		Address:    s.AdvertisedAddress(),
		Role:       role,
	}
	if s.Agent != nil && role == pwinstance.RoleAgent {
		self.Service = s.Agent.Service
		self.BackendServer = s.Agent.BackendServer
	}
	return self
}

// deregisterTimeout bounds the time for which a process that shuts down waits for the
// store.
const deregisterTimeout = time.Second

// deregister removes this process from the instance list.
func deregister(ctx context.Context, d *pwpeering.Directory, obs *pwobserve.Observer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
	defer cancel()
	if err := d.Deregister(ctx); err != nil {
		obs.Warn("instance could not be removed from the instance list; its row stays until its retention ends", err)
	}
}
