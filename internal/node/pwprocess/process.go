// Package pwprocess assembles the processes of the system from their settings:
// the entry and the agent, each with its part in the exchange of configuration
// changes.
//
// # Usage
//
//	platform, err := pwprocess.NewPlatform(settings)
//	err = pwprocess.RunEntry(ctx, settings, platform, pwprocess.Sockets{}, os.Stderr)
//
// The functions return when ctx has ended and running requests have finished,
// or when the time for that is over.
package pwprocess

import (
	"context"
	"crypto/tls"
	"io"
	"log"
	"net"
	"net/http"
	"strings"
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

// Table is the table service.
type Table interface {
	Get(ctx context.Context, key string) (pwtable.Row, error)
	List(ctx context.Context, prefix, after string, limit int) ([]pwtable.Row, error)
	Commit(ctx context.Context, writes ...pwtable.Write) (version uint64, err error)
}

// InstanceSource is the list of processes.
type InstanceSource interface {
	Instances(ctx context.Context) ([]pwinstance.Instance, error)
}

// Platform holds what the platform's store carries. Objects may be nil.
type Platform struct {
	Table         Table
	Objects       pwentry.ObjectStore
	InstanceTable pwpeering.Table
}

// Listeners are listeners that are already open. Those that are nil are opened
// at the addresses of the settings.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener
}

const (
	// listInterval is the period in which an entry passes the instance list on.
	listInterval = 5 * time.Second
	// minListAge is the age up to which a reading serves everybody in the process.
	// The list is the largest message of a process at the large size.
	minListAge = 9 * time.Second
	// listReads is the number of calls a second to the store that all processes
	// together spend on the list, a quarter of the store's rate of reads.
	listReads = 500
	// pageRows is the number of rows that the store hands out in one call.
	pageRows = 500
)

// listAge is the age up to which a list of n instances is used.
func listAge(n int) time.Duration {
	pages := (n + pageRows - 1) / pageRows
	return max(minListAge, time.Duration(n*pages)*time.Second/listReads)
}

// newInjector provides what entries and agents have in common.
func newInjector(s *pwsettings.Settings, p Platform, role pwinstance.Role, logTo io.Writer) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, p)
	do.ProvideValue(i, pwobserve.New(logTo, s.Instance, s.DataCentre))
	do.Provide(i, newKeys)
	do.Provide(i, newPeers)
	do.Provide(i, func(do.Injector) (*pwchange.Log, error) { return pwchange.NewLog(p.Table), nil })
	directory := pwpeering.NewDirectory(p.InstanceTable, selfOf(s, role), nil, do.MustInvoke[*pwobserve.Observer](i))
	do.ProvideValue(i, directory)
	do.ProvideValue(i, &instanceCache{
		source: directory,
	})
	return i
}

// keys holds the TLS configurations of a process; all are nil without TLS.
type keys struct {
	keeper  *pwsecurity.CertWatcher
	callers *tls.Config
	peers   *tls.Config
	client  *tls.Config
	scheme  string
}

// newKeys reads the TLS files. Between processes both sides authenticate.
func newKeys(i do.Injector) (*keys, error) {
	s := do.MustInvoke[*pwsettings.Settings](i)
	if !s.TLS.Enabled() {
		return &keys{
			scheme: "http",
		}, nil
	}
	k, err := pwsecurity.NewCertWatcher(s.TLS, do.MustInvoke[*pwobserve.Observer](i))
	if err != nil {
		return nil, err
	}
	return &keys{
		keeper:  k,
		callers: k.ServerConfig(),
		peers:   k.PeerServerConfig(pwsecurity.RoleEntry, pwsecurity.RoleAgent),
		client:  k.PeerClientConfig(pwsecurity.RoleEntry, pwsecurity.RoleAgent),
		scheme:  "https",
	}, nil
}

// peers reaches the other processes.
type peers struct {
	client *http.Client
	scheme string
	dialer *pwpeer.Dialer
}

func newPeers(i do.Injector) (*peers, error) {
	k, err := do.Invoke[*keys](i)
	if err != nil {
		return nil, err
	}
	client := pwtransport.NewClient(k.client)
	return &peers{
		client: client,
		scheme: k.scheme,
		dialer: pwpeer.NewDialer(client, k.scheme),
	}, nil
}

// instanceCache keeps the newest list, so that a failing read changes nothing.
// An empty list after one with instances counts as a failed read: the reader is
// an instance itself, and an entry that believed it would drop all its agents.
type instanceCache struct {
	source InstanceSource

	mu      sync.Mutex
	list    []pwinstance.Instance
	readAt  time.Time
	entries []pwinstance.Instance // those of list
}

// Instances implements pwgossip.Instances.
func (c *instanceCache) Instances(ctx context.Context) ([]pwinstance.Instance, error) {
	c.mu.Lock()
	known, at := c.list, c.readAt
	c.mu.Unlock()
	if time.Since(at) < listAge(len(known)) {
		return known, nil
	}
	list, err := c.source.Instances(ctx)
	if err != nil {
		return nil, err
	}
	if len(list) == 0 && len(known) > 0 {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "the list of instances is empty, the last one had %d instances", len(known))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = list
	c.readAt = time.Now()
	c.entries = lo.Filter(list, func(i pwinstance.Instance, _ int) bool { return i.Role == pwinstance.RoleEntry })
	return list, nil
}

// Known returns the newest list that was read.
func (c *instanceCache) Known() []pwinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.list
}

// Entries implements pwdirectory.Entries.
func (c *instanceCache) Entries() []pwinstance.Instance {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries
}

// newNode returns this process's part in the exchange.
func newNode(i do.Injector, self pwinstance.Instance, crashes pwgossip.Crashes, onChange func([]string)) (*pwgossip.Node, error) {
	p, err := do.Invoke[*peers](i)
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

// marks reads the marks among changed keys.
func marks(node *pwgossip.Node, keys []string, apply func(pwentry.Target, bool)) {
	for _, k := range keys {
		c, ok := node.Get(k)
		if !ok {
			continue
		}
		target, name, m, ok := pwchange.ParseMark(c)
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

// listener is one address on which a process serves.
type listener struct {
	open    net.Listener // or nil
	address string
	handler http.Handler
	tls     *tls.Config
}

func (l listener) listen(ctx context.Context) (net.Listener, error) {
	if l.open != nil {
		return l.open, nil
	}
	var lc net.ListenConfig
	ln, err := lc.Listen(ctx, "tcp", l.address)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "address %s is not free; change listen in the settings", l.address)
	}
	return ln, nil
}

// serverLog writes the messages of an HTTP server, such as refused handshakes,
// as lines of the process's log instead of plain text on standard error.
type serverLog struct {
	obs *pwobserve.Observer
}

// Write implements io.Writer; each call is one message.
func (l serverLog) Write(p []byte) (int, error) {
	l.obs.Info("HTTP server", "detail", strings.TrimSpace(string(p)))
	return len(p), nil
}

// servers serves several addresses until they are shut down.
type servers struct {
	list []*http.Server
	done sync.WaitGroup
}

func (s *servers) start(ctx context.Context, obs *pwobserve.Observer, listeners ...listener) error {
	for _, l := range listeners {
		ln, err := l.listen(ctx)
		if err != nil {
			return err
		}
		srv := pwtransport.NewServer(l.handler, l.tls)
		srv.ErrorLog = log.New(serverLog{obs}, "", 0)
		s.list = append(s.list, srv)
		obs.Info("listening", "address", ln.Addr().String())
		s.done.Go(func() { _ = pwtransport.Serve(srv, ln) })
	}
	return nil
}

// stop closes the servers after their open requests have ended or ctx has.
func (s *servers) stop(ctx context.Context) {
	for _, srv := range s.list {
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	}
	s.done.Wait()
}

// background runs the loops of a process until they are stopped.
type background struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// newBackground returns a group that outlives the signal to shut down, because
// running requests still need the loops.
func newBackground(ctx context.Context) *background {
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	return &background{
		ctx:    ctx,
		cancel: cancel,
	}
}

func (b *background) run(loop func(context.Context)) {
	b.wg.Go(func() { loop(b.ctx) })
}

func (b *background) stop() {
	b.cancel()
	b.wg.Wait()
}

func selfOf(s *pwsettings.Settings, role pwinstance.Role) pwinstance.Instance {
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

// leaveTimeout bounds what a process that ends waits for the store.
const leaveTimeout = time.Second

// leave takes a process that ends off the list.
func leave(ctx context.Context, d *pwpeering.Directory, obs *pwobserve.Observer) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	if err := d.Deregister(ctx); err != nil {
		obs.Warn("the row of this process stays until its retention ends", err)
	}
}
