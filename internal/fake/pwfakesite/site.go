// Package pwfakesite runs a small deployment on loopback in one process: real
// entries and agents with fakes of the engines, the plain service and the platform.
// The demo and the end-to-end tests use it.
//
// # Usage
//
//	site, err := pwfakesite.Start(ctx, pwfakesite.Options{
//		DataCentres:      []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"},
//		EnginesPerCentre: 3,
//	})
//	defer site.Close()
//	resp, err := http.Post(site.EntryURL(0)+"/v1/chat/completions", ...)
package pwfakesite

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeauthority"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwprocess"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/platform"
)

// Names of the services, the model and the workspaces of every site.
const (
	ModelService = pwfakefleet.ModelService
	PlainService = pwfakefleet.PlainService
	Model        = pwfakefleet.Model
	// WorkspaceName is the workspace that Credential belongs to.
	WorkspaceName = "demo"
	Credential    = WorkspaceName + pwfakefleet.CredentialSuffix
	// OtherWorkspaceName is a second workspace, that OtherCredential belongs to.
	OtherWorkspaceName = "other"
	OtherCredential    = OtherWorkspaceName + pwfakefleet.CredentialSuffix
	// OperatorCredential belongs to an operator of the team that owns both
	// services.
	OperatorCredential = "operator-credential-for-loopback"
	ownerTeam          = "demo"
)

// readyTimeout is the longest time until every entry reports every backend server
// in service.
const readyTimeout = 30 * time.Second

// keyDirectoryMode gives only the owner access to the keys of a process.
const keyDirectoryMode = 0o700

// Options describes a site.
type Options struct {
	DataCentres      []pwrequest.DataCentre
	EnginesPerCentre int
	// PlainServersPerCentre is the number of agents of the plain service in each data
	// centre. All of them forward to the same fake service.
	PlainServersPerCentre int
	// Entries is the number of entries. 0 means one for each data centre.
	Entries int
	// Log receives the log lines of all processes. nil discards them.
	Log io.Writer
	// Engine holds the options of all engines. Start sets their names, seeds and
	// pool.
	Engine pwfakeengine.Options
	// Authority signs a certificate for each process, which then serves callers
	// and peers over TLS. nil means no TLS. KeyDirectory is where the certificates
	// and keys are written.
	Authority    *pwfakeauthority.Authority
	KeyDirectory string
}

// Site is a running deployment on loopback.
type Site struct {
	Table   *pwfakeplatform.Table
	Service *pwfakeservice.Service

	opts        Options
	ctx         context.Context
	cancel      context.CancelFunc
	store       *pwfakeplatform.Store
	platformURL string
	client      *http.Client
	scheme      string // of the URLs for callers and peers
	entries     []*process
	agents      []*process
	engines     []*pwfakeengine.Engine
	instances   []pwinstance.Instance
	servers     []*http.Server // of the fakes
	goroutines  sync.WaitGroup
}

// process is an entry or an agent, which runs inside the process of the site.
type process struct {
	instance   pwinstance.Instance
	settings   *pwsettings.Settings
	platform   pwprocess.Platform
	listeners  pwprocess.Listeners
	callersURL string // base URL for callers; meaningful for entries only
	ctx        context.Context
	stop       context.CancelFunc
	done       chan struct{}
	err        error
}

// run runs the entry or agent as its command does. It returns when the process has
// shut down after the end of its context.
func (p *process) run(log io.Writer) {
	defer close(p.done)
	run := pwprocess.RunEntry
	if p.settings.Agent != nil {
		run = pwprocess.RunAgent
	}
	p.err = run(p.ctx, p.settings, p.platform, p.listeners, log)
}

// Start starts a site and returns when all its processes are ready. Its processes
// run until ctx ends, or Shutdown or Close is called.
func Start(ctx context.Context, opts Options) (*Site, error) {
	if opts.Log == nil {
		opts.Log = io.Discard
	}
	if opts.Entries == 0 {
		opts.Entries = len(opts.DataCentres)
	}
	ctx, cancel := context.WithCancel(ctx)
	store := pwfakeplatform.NewStore()
	s := &Site{
		Table:   store.Table,
		Service: pwfakeservice.New(),
		opts:    opts,
		ctx:     ctx,
		cancel:  cancel,
		store:   store,
	}
	s.client, s.scheme = pwtransport.NewClient(nil), "http"
	if opts.Authority != nil {
		roots := x509.NewCertPool()
		roots.AppendCertsFromPEM(opts.Authority.PEM())
		s.client, s.scheme = pwtransport.NewClient(&tls.Config{
			MinVersion: tls.VersionTLS13,
			RootCAs:    roots,
		}), "https"
	}
	if err := s.startProcesses(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// startProcesses starts the fakes, the agents and the entries, and waits until
// they are ready.
func (s *Site) startProcesses() error {
	var err error
	if s.platformURL, err = s.serve(s.store); err != nil {
		return err
	}
	if err := s.applyDocuments(); err != nil {
		return err
	}
	s.opts.Engine.KVPool = pwfakeengine.NewKVPool()
	for _, dc := range s.opts.DataCentres {
		for i := range s.opts.EnginesPerCentre {
			if err := s.startEngine(dc, i); err != nil {
				return err
			}
		}
		for i := range s.opts.PlainServersPerCentre {
			if err := s.startPlainService(dc, i); err != nil {
				return err
			}
		}
	}
	for i := range s.opts.Entries {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	// All processes are added to the instance list before the first one reads it.
	// A process that reads an empty list would find its peers only at its next read.
	rows := platform.NewInstanceTable(platform.NewStoreClient(pwdeployment.Store{
		Address: s.storeAddress(),
	}))
	for _, i := range s.instances {
		i.LastSeenMS = time.Now().UnixMilli()
		if err := rows.Put(s.ctx, string(i.ID), i); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*process(nil), s.agents...), s.entries...) {
		s.goroutines.Go(func() { p.run(s.opts.Log) })
	}
	return s.waitReady()
}

// storeAddress returns the host and port of the fake store.
func (s *Site) storeAddress() string { return strings.TrimPrefix(s.platformURL, "http://") }

// applyDocuments writes the documents of the two services to the change log.
func (s *Site) applyDocuments() error {
	docs, err := pwfakefleet.Documents(s.opts.DataCentres, s.opts.EnginesPerCentre, s.opts.PlainServersPerCentre, WorkspaceName, OtherWorkspaceName)
	if err != nil {
		return err
	}
	log := pwchange.NewLog(s.Table)
	for _, d := range docs {
		data, err := json.Marshal(d)
		if err != nil {
			return err
		}
		if _, err := log.Apply(s.ctx, pwchange.Proposal{
			Key:   d.Key(),
			Value: data,
			Author: pwchange.Author{
				Name: "demo",
				Team: d.Owner,
			},
			ProposalID: "first-" + d.Name,
		}); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts the fake engine i of a data centre and prepares its agent.
func (s *Site) startEngine(dc pwrequest.DataCentre, i int) error {
	name := fmt.Sprintf("%s-%s-%02d", ModelService, dc, i)
	opts := s.opts.Engine
	opts.Name = name
	opts.Seed = uint64(len(s.engines) + 1)
	engine := pwfakeengine.New(s.ctx, opts)
	s.engines = append(s.engines, engine)
	url, err := s.serve(engine.Handler())
	if err != nil {
		return err
	}
	return s.startAgent(dc, &pwsettings.Agent{
		BackendServer: pwrequest.BackendServerID(name),
		Service:       ModelService,
		Kind:          pwdocument.KindModelEngines,
		URL:           url,
		Models:        []pwrequest.ModelID{Model},
	})
}

// startPlainService serves the plain service once more and prepares the agent i of
// a data centre for it.
func (s *Site) startPlainService(dc pwrequest.DataCentre, i int) error {
	url, err := s.serve(s.Service.Handler())
	if err != nil {
		return err
	}
	return s.startAgent(dc, &pwsettings.Agent{
		BackendServer: pwrequest.BackendServerID(fmt.Sprintf("%s-%s-%02d", PlainService, dc, i)),
		Service:       PlainService,
		Kind:          pwdocument.KindPlain,
		URL:           url,
	})
}

// startAgent prepares the process of an agent, which startProcesses runs.
func (s *Site) startAgent(dc pwrequest.DataCentre, a *pwsettings.Agent) error {
	p, err := s.newProcess(pwsettings.Settings{
		Instance:   "agent-" + pwrequest.InstanceID(a.BackendServer),
		DataCentre: dc,
		Agent:      a,
	})
	if err != nil {
		return err
	}
	p.instance.Role = pwinstance.RoleAgent
	p.instance.Service = a.Service
	p.instance.BackendServer = a.BackendServer
	s.agents = append(s.agents, p)
	s.instances = append(s.instances, p.instance)
	return nil
}

// startEntry prepares the process of entry i, which startProcesses runs.
func (s *Site) startEntry(i int) error {
	dc := s.opts.DataCentres[i%len(s.opts.DataCentres)]
	hashed, err := pwcredential.Hash(OperatorCredential, pwcredential.NewSalt())
	if err != nil {
		return err
	}
	p, err := s.newProcess(pwsettings.Settings{
		Instance:   pwrequest.InstanceID(fmt.Sprintf("entry-%s-%d", dc, i)),
		DataCentre: dc,
		Entry:      &pwsettings.Entry{},
		Operators: []pwsettings.Operator{{
			Name:        "demo",
			Team:        ownerTeam,
			Credentials: []string{hashed},
		}},
	})
	if err != nil {
		return err
	}
	p.instance.Role = pwinstance.RoleEntry
	s.entries = append(s.entries, p)
	s.instances = append(s.instances, p.instance)
	return nil
}

// newProcess opens listeners on free ports and parses the settings of an entry or
// an agent. The process does not run yet.
func (s *Site) newProcess(draft pwsettings.Settings) (*process, error) {
	var listeners pwprocess.Listeners
	var err error
	if listeners.Peers, err = s.listen(); err != nil {
		return nil, err
	}
	draft.FormatVersion = pwsettings.FormatVersion
	draft.Listen.Peers = listeners.Peers.Addr().String()
	if draft.Entry != nil {
		if listeners.Callers, err = s.listen(); err != nil {
			return nil, err
		}
		draft.Listen.Callers = listeners.Callers.Addr().String()
	}
	if draft.TLS, err = s.issueCertificate(draft); err != nil {
		return nil, err
	}
	draft.Platform.StoreAddress = s.storeAddress()
	draft.Platform.ConcurrentLoads = 2
	data, err := json.Marshal(draft)
	if err != nil {
		return nil, err
	}
	settings, err := pwsettings.Parse(data, pwsettings.Overrides{})
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(s.ctx)
	return &process{
		instance: pwinstance.Instance{
			ID:         settings.Instance,
			DataCentre: settings.DataCentre,
			Address:    settings.AdvertisedAddress(),
		},
		settings:   settings,
		platform:   pwprocess.NewPlatform(settings),
		listeners:  listeners,
		callersURL: s.scheme + "://" + settings.Listen.Callers,
		ctx:        ctx,
		stop:       stop,
		done:       make(chan struct{}),
	}, nil
}

// issueCertificate writes the certificate and key of a process. Without an
// authority it returns settings without TLS.
func (s *Site) issueCertificate(draft pwsettings.Settings) (pwsettings.TLS, error) {
	if s.opts.Authority == nil {
		return pwsettings.TLS{}, nil
	}
	role := pwsecurity.RoleAgent
	if draft.Entry != nil {
		role = pwsecurity.RoleEntry
	}
	dir := filepath.Join(s.opts.KeyDirectory, string(draft.Instance))
	if err := os.MkdirAll(dir, keyDirectoryMode); err != nil {
		return pwsettings.TLS{}, err
	}
	f, err := s.opts.Authority.WriteFiles(dir, pwfakeauthority.Request{
		Names: []string{role.DNSName()},
	})
	return pwsettings.TLS{
		CertificateFile: f.Certificate,
		KeyFile:         f.Key,
		CAFile:          f.CA,
	}, err
}

// listen listens on a free port of the loopback address.
func (s *Site) listen() (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(s.ctx, "tcp", "127.0.0.1:0")
}

// serve serves a fake on a free port and returns its base URL.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := s.listen()
	if err != nil {
		return "", err
	}
	srv := pwtransport.NewServer(h, nil)
	s.servers = append(s.servers, srv)
	s.goroutines.Go(func() { _ = pwtransport.Serve(srv, l) })
	return "http://" + l.Addr().String(), nil
}

// waitReady waits until every entry is ready and reports every backend server in
// service.
func (s *Site) waitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout)
	defer cancel()
	for i := range s.entries {
		for {
			inService, err := s.countInService(ctx, i)
			if err == nil && inService == len(s.agents) && s.isReady(ctx, i) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %d reports %d of %d backend servers in service: %w", i, inService, len(s.agents), ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// countInService returns how many backend servers the operators' interface of an
// entry reports as serving or warming up.
func (s *Site) countInService(ctx context.Context, entry int) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.EntryURL(entry)+"/v1/operator/backend-servers", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorCredential)
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var list struct {
		BackendServers []struct {
			State string `json:"state"`
		} `json:"backend_servers"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&list); err != nil {
		return 0, err
	}
	n := 0
	for _, b := range list.BackendServers {
		if b.State == "serving" || b.State == "warming_up" {
			n++
		}
	}
	return n, nil
}

// isReady reports whether the readiness check of an entry succeeds.
func (s *Site) isReady(ctx context.Context, entry int) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.EntryURL(entry)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// EntryURL returns the base URL of entry i for callers.
func (s *Site) EntryURL(i int) string { return s.entries[i].callersURL }

// Client returns an HTTP client that trusts the site's authority.
func (s *Site) Client() *http.Client { return s.client }

// PeerURLs returns the URLs on which the processes serve one another.
func (s *Site) PeerURLs() []string {
	var urls []string
	for _, i := range s.instances {
		urls = append(urls, s.scheme+"://"+i.Address)
	}
	return urls
}

// Entries returns the number of entries of the site.
func (s *Site) Entries() int { return len(s.entries) }

// Engines returns the engines in the order of data centres.
func (s *Site) Engines() []*pwfakeengine.Engine { return s.engines }

// Shutdown stops the entries and then the agents gracefully. It returns the first
// error of a process, or that of ctx when ctx ends first.
func (s *Site) Shutdown(ctx context.Context) error {
	for _, group := range [][]*process{s.entries, s.agents} {
		for _, p := range group {
			p.stop()
		}
		for _, p := range group {
			select {
			case <-p.done:
				if p.err != nil {
					return p.err
				}
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

// Close stops all processes and fakes together and waits for them. Unlike Shutdown,
// it does not keep the agents running until the entries have ended.
func (s *Site) Close() {
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.goroutines.Wait()
}
