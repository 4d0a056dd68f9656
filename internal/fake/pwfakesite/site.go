// Package pwfakesite assembles a small deployment on loopback in one process:
// entries and agents as they really run, with stand-ins for the engines, the
// plain service and the platform. The demo and the end-to-end tests use it.
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
	// Credential is the credential of WorkspaceName.
	WorkspaceName = "demo"
	Credential    = WorkspaceName + pwfakefleet.CredentialSuffix
	// OtherCredential belongs to a second workspace.
	OtherWorkspaceName = "other"
	OtherCredential    = OtherWorkspaceName + pwfakefleet.CredentialSuffix
	// OperatorCredential is that of an operator of the team that owns both
	// services.
	OperatorCredential = "operator-credential-for-loopback"
	operatorTeam       = "demo"
)

// readyTimeout bounds the time until all processes know one another.
const readyTimeout = 30 * time.Second

const directoryMode = 0o700

// Options describes a site.
type Options struct {
	DataCentres      []pwrequest.DataCentre
	EnginesPerCentre int
	// PlainPerCentre is the number of plain service agents in each data
	// centre; all of them stand before one service.
	PlainPerCentre int
	// Entries is the number of entries; default one for each data centre.
	Entries int
	// Log receives the log lines of all processes; nil discards them.
	Log io.Writer
	// Engine sets the options of the engines; names and seeds are filled in.
	Engine pwfakeengine.Options
	// Authority signs a certificate for each process, which then serves callers
	// and peers by TLS; nil means no TLS. Files is the directory for the keys.
	Authority    *pwfakeauthority.Authority
	KeyDirectory string
}

// Site is a running deployment.
type Site struct {
	Table   *pwfakeplatform.Table
	Service *pwfakeservice.Service

	opts      Options
	ctx       context.Context
	cancel    context.CancelFunc
	store     *pwfakeplatform.Store
	url       string // of the platform
	client    *http.Client
	scheme    string // of callers and peers
	entries   []*process
	agents    []*process
	engines   []*pwfakeengine.Engine
	instances []pwinstance.Instance
	servers   []*http.Server
	running   sync.WaitGroup
}

// process is one process of the system, run in this process.
type process struct {
	instance pwinstance.Instance
	settings *pwsettings.Settings
	platform pwprocess.Platform
	sockets  pwprocess.Listeners
	url      string // for callers
	ctx      context.Context
	stop     context.CancelFunc
	done     chan struct{}
	err      error
}

// run runs the process as its command does.
func (p *process) run(log io.Writer) {
	defer close(p.done)
	run := pwprocess.RunEntry
	if p.settings.Agent != nil {
		run = pwprocess.RunAgent
	}
	p.err = run(p.ctx, p.settings, p.platform, p.sockets, log)
}

// Start starts a site; it is ready when Start returns.
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
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Site) start() error {
	var err error
	if s.url, err = s.serve(s.store); err != nil {
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
		for i := range s.opts.PlainPerCentre {
			if err := s.startPlain(dc, i); err != nil {
				return err
			}
		}
	}
	for i := range s.opts.Entries {
		if err := s.startEntry(i); err != nil {
			return err
		}
	}
	// All processes are listed before the first one reads the list; a process
	// with an empty list would wait for its next reading.
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
		s.running.Go(func() { p.run(s.opts.Log) })
	}
	return s.waitReady()
}

// storeAddress returns host and port of the stand-in of the store.
func (s *Site) storeAddress() string { return strings.TrimPrefix(s.url, "http://") }

// applyDocuments puts the documents of the two services into the change log.
func (s *Site) applyDocuments() error {
	docs, err := pwfakefleet.Documents(s.opts.DataCentres, s.opts.EnginesPerCentre, s.opts.PlainPerCentre, WorkspaceName, OtherWorkspaceName)
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

func (s *Site) startPlain(dc pwrequest.DataCentre, i int) error {
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
			Team:        operatorTeam,
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

// newProcess prepares an entry or an agent on free ports.
func (s *Site) newProcess(draft pwsettings.Settings) (*process, error) {
	var sockets pwprocess.Listeners
	var err error
	if sockets.Peers, err = s.listen(); err != nil {
		return nil, err
	}
	draft.FormatVersion = pwsettings.FormatVersion
	draft.Listen.Peers = sockets.Peers.Addr().String()
	if draft.Entry != nil {
		if sockets.Callers, err = s.listen(); err != nil {
			return nil, err
		}
		draft.Listen.Callers = sockets.Callers.Addr().String()
	}
	if draft.TLS, err = s.issue(draft); err != nil {
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
		settings: settings,
		platform: pwprocess.NewPlatform(settings),
		sockets:  sockets,
		url:      s.scheme + "://" + settings.Listen.Callers,
		ctx:      ctx,
		stop:     stop,
		done:     make(chan struct{}),
	}, nil
}

// issue writes the certificate of a process; without an authority there is none.
func (s *Site) issue(draft pwsettings.Settings) (pwsettings.TLS, error) {
	if s.opts.Authority == nil {
		return pwsettings.TLS{}, nil
	}
	role := pwsecurity.RoleAgent
	if draft.Entry != nil {
		role = pwsecurity.RoleEntry
	}
	dir := filepath.Join(s.opts.KeyDirectory, string(draft.Instance))
	if err := os.MkdirAll(dir, directoryMode); err != nil {
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

func (s *Site) listen() (net.Listener, error) {
	var lc net.ListenConfig
	return lc.Listen(s.ctx, "tcp", "127.0.0.1:0")
}

// serve serves a stand-in on a free port and returns its base URL.
func (s *Site) serve(h http.Handler) (string, error) {
	l, err := s.listen()
	if err != nil {
		return "", err
	}
	srv := pwtransport.NewServer(h, nil)
	s.servers = append(s.servers, srv)
	s.running.Go(func() { _ = pwtransport.Serve(srv, l) })
	return "http://" + l.Addr().String(), nil
}

// waitReady waits until every entry has the documents and has heard from every
// agent.
func (s *Site) waitReady() error {
	ctx, cancel := context.WithTimeout(s.ctx, readyTimeout)
	defer cancel()
	for i := range s.entries {
		for {
			known, err := s.inService(ctx, i)
			if err == nil && known == len(s.agents) && s.ready(ctx, i) {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("entry %d knows %d of %d backend servers: %w", i, known, len(s.agents), ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

// inService returns the number of backend servers that serve, as an entry's
// operators' interface reports them.
func (s *Site) inService(ctx context.Context, entry int) (int, error) {
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

// ready reports whether an entry says that it is ready for callers.
func (s *Site) ready(ctx context.Context, entry int) bool {
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
func (s *Site) EntryURL(i int) string { return s.entries[i].url }

// Client returns a client that trusts the site's authority.
func (s *Site) Client() *http.Client { return s.client }

// PeerURLs returns where the processes serve one another.
func (s *Site) PeerURLs() []string {
	var urls []string
	for _, i := range s.instances {
		urls = append(urls, s.scheme+"://"+i.Address)
	}
	return urls
}

// Entries returns the number of entries.
func (s *Site) Entries() int { return len(s.entries) }

// Engines returns the engines in the order of data centres.
func (s *Site) Engines() []*pwfakeengine.Engine { return s.engines }

// Shutdown stops the entries and then the agents gracefully.
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

// Close ends everything.
func (s *Site) Close() {
	s.cancel()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.running.Wait()
}
