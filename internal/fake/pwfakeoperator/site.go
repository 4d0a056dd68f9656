// Package pwfakeoperator runs the real operators' API on a fake table, fleet and set of
// requests that the test describes. Its HTTP requests are served in process, without a
// socket, so that tests can run on the fake clock of testing/synctest.
//
// # Usage
//
//	site := pwfakeoperator.New()
//	site.RunCommand("servers", "lantern hakata 3 running=2")
//	client := site.Client()
//	resp, err := client.Get("http://127.0.0.1/v1/operator/status")
//
// The operators are aiko of team lantern-models, ana of team libro-de-existencias and
// ren of team operations. Credential returns their credentials.
package pwfakeoperator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/danielgtaylor/huma/v2/adapters/humago"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcredential"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
	"github.com/pomeloweir/pomeloweir/internal/state/pwgossip"
)

// operators maps the name of each operator to the operator's team.
var operators = map[string]string{
	"aiko": "lantern-models",
	"ana":  "libro-de-existencias",
	"ren":  "operations",
}

// Credential returns the credential of an operator. For an unknown name it returns a
// credential that the API rejects.
func Credential(name string) string { return "operator-credential-of-" + name }

// Site is the operators' API with its fake dependencies, which Site implements itself.
type Site struct {
	Table *pwfakeplatform.Table
	Log   *pwchange.Log
	// ExamplesDir is the directory of the example documents. The default fits tests in
	// packages three directories below the root of the repository.
	ExamplesDir string

	handler http.Handler

	mu              sync.Mutex
	replica         *pwchange.Replica
	confirmationAge time.Duration // age of the replica's newest confirmation; negative for none
	isolated        bool          // the replica receives no changes
	servers         []server
	requests        map[pwrequest.ID]pwoperator.RequestState
	processes       []process
	// faults is the number of remaining HTTP requests that each fault affects.
	faults map[string]int
}

// server is a backend server whose newest load report always has the age reportAge. Its
// running requests end at idleAt, unless that is zero.
type server struct {
	pwoperator.Server
	reportAge time.Duration
	idleAt    time.Time
}

// process is one process in which each change is in force after a lag. A silent process
// responded last an hour ago.
type process struct {
	instance   pwrequest.InstanceID
	dataCentre pwrequest.DataCentre
	lag        time.Duration
	silent     bool
}

// New returns a site with one process in each of three data centres, and without
// documents, servers and requests.
func New() *Site {
	table := pwfakeplatform.NewTable()
	s := &Site{
		Table:       table,
		ExamplesDir: "../../../examples",
		Log:         pwchange.NewLog(table),
		replica:     pwchange.NewReplica(),
		requests:    map[pwrequest.ID]pwoperator.RequestState{},
		faults:      map[string]int{},
	}
	for i, dc := range []pwrequest.DataCentre{"dazaifu", "hakata", "kurume"} {
		s.processes = append(s.processes, process{
			instance:   pwrequest.InstanceID("entry-" + dc),
			dataCentre: dc,
			lag:        time.Duration(i) * time.Second / 2,
		})
	}
	var list []pwsettings.Operator
	salt := pwcredential.NewSalt()
	for name, team := range operators {
		hashed, err := pwcredential.Hash(Credential(name), salt)
		if err != nil {
			panic(err)
		}
		list = append(list, pwsettings.Operator{
			Name:        name,
			Team:        team,
			Credentials: []string{hashed},
		})
	}
	mux := http.NewServeMux()
	cfg := huma.DefaultConfig("pomeloweir", "1")
	cfg.CreateHooks = nil
	pwoperator.Register(humago.New(mux, cfg), pwoperator.Deps{
		Operators:   pwsecurity.NewOperatorAuthenticator(list),
		ChangeLog:   s.Log,
		Replica:     s,
		Propagation: s,
		Fleet:       s,
		Requests:    s,
		Observer:    pwobserve.Discard(),
	})
	s.handler = mux
	return s
}

// Get implements pwoperator.Replica.
func (s *Site) Get(key string) (pwchange.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Get(key)
}

// Keys implements pwoperator.Replica.
func (s *Site) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Keys(prefix)
}

// Publish implements pwoperator.Replica.
func (s *Site) Publish(changes ...pwchange.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isolated {
		s.replica.Merge(changes)
	}
}

// Status implements pwoperator.Replica.
func (s *Site) Status() pwgossip.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := pwgossip.Status{
		Isolated:      s.isolated,
		LastContactAt: time.Now(),
	}
	if s.confirmationAge >= 0 {
		out.Freshness = pwchange.Freshness{
			ConfirmedAt: time.Now().Add(-s.confirmationAge),
			ConfirmedBy: "entry-hakata",
		}
	}
	return out
}

// InForce implements pwoperator.Propagation.
func (s *Site) InForce(_ context.Context, key string, sequence uint64) ([]pwoperator.ProcessStatus, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, _ := s.replica.Get(key)
	return lo.Map(s.processes, func(p process, _ int) pwoperator.ProcessStatus {
		seen := time.Now()
		if p.silent {
			seen = seen.Add(-time.Hour)
		}
		return pwoperator.ProcessStatus{
			Instance:    p.instance,
			DataCentre:  p.dataCentre,
			InForce:     !p.silent && c.Sequence >= sequence && time.Since(c.AcceptedAt()) >= p.lag,
			RespondedAt: seen,
		}
	}), nil
}

// Servers implements pwoperator.Fleet.
func (s *Site) Servers() []pwoperator.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return lo.Map(s.servers, func(x server, _ int) pwoperator.Server {
		if x.Report != nil {
			r := *x.Report
			r.SentAt = time.Now().Add(-x.reportAge)
			if !x.idleAt.IsZero() && time.Now().After(x.idleAt) {
				r.Running, r.RunningLong = 0, 0
			}
			x.Report = &r
		}
		return x.Server
	})
}

// Request implements pwoperator.Requests.
func (s *Site) Request(_ context.Context, id pwrequest.ID) (pwoperator.RequestState, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.requests[id]
	if !ok {
		return r, pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "request %q does not exist", id)
	}
	return r, nil
}

// CancelRequest implements pwoperator.Requests.
func (s *Site) CancelRequest(_ context.Context, id pwrequest.ID) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.requests[id]
	wasRunning := r.State == "running"
	if wasRunning {
		r.State, r.Reason = "failed", "cancelled"
		r.Err = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "cancelled by an operator")
		s.requests[id] = r
	}
	return wasRunning, nil
}

// errConnectionClosed is the client's error for a lost request or a lost response.
var errConnectionClosed = errors.New("connection was closed before the response")

// Client returns an HTTP client whose requests the site serves in process.
func (s *Site) Client() *http.Client {
	return &http.Client{
		Transport: transport{
			site: s,
		},
	}
}

// transport passes requests to the site's handler and applies the faults of the
// connection.
type transport struct {
	site *Site
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.site.consumeFault("lost_request") {
		return nil, errConnectionClosed
	}
	w := httptest.NewRecorder()
	t.site.handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if t.site.consumeFault("lost_answer") {
		return nil, errConnectionClosed
	}
	return w.Result(), nil
}

// consumeFault reports whether the fault affects the current request, and decrements its
// count.
func (s *Site) consumeFault(fault string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults[fault] == 0 {
		return false
	}
	s.faults[fault]--
	return true
}

// RunCommand executes one command of a test script with its arguments:
//
//	document <example>                     store an example document, as its owner
//	toggle <data centre> <n>               take a data centre out of service and bring it back, n changes in all
//	servers <service> <data centre> <n> [running=] [long=] [bound=] [age=] [for=] [leaving] [silent] [single] [unwatched] [refusing]
//	request <id> <service> <state>         add a request
//	process <data centre> [lag=] [silent]  add a process, or replace that of the data centre
//	fault outage|lost_reply <n>            inject a fault into the next n calls of the table
//	fault lost_request|lost_answer <n>     lose the next n HTTP requests or their responses
//	confirmed <age>|never                  set the age of the replica's newest confirmation
//	cut | heal                             isolate the replica, or let it receive all changes again
//	wait <duration>                        sleep
//
// Options of servers: running, long and bound are the numbers of running requests, of
// running long requests and of allowed requests; age is the age of the load report; for
// is the duration after which the running requests end. A refusing server reports that it
// is not in service, a silent or unwatched one has no load report, and a single one is
// reserved for one request that crashed another backend server.
func (s *Site) RunCommand(cmd, arguments string) error {
	words := strings.Fields(arguments)
	arg := func(i int) string { return append(words, make([]string, i+1)...)[i] }
	opts := parseOptions(words)
	switch cmd {
	case "document":
		return s.addDocument(arg(0))
	case "toggle":
		return s.toggleMarks(arg(0), parseNumber(arg(1)))
	case "servers":
		s.addServers(arg(0), arg(1), parseNumber(arg(2)), opts)
	case "request":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.requests[pwrequest.ID(arg(0))] = pwoperator.RequestState{
			ID:            pwrequest.ID(arg(0)),
			Service:       pwrequest.ServiceID(arg(1)),
			Workspace:     "demo",
			State:         arg(2),
			Tokens:        12,
			BackendServer: pwrequest.BackendServerID(arg(1) + "-hakata-00"),
			AdmittedAt:    time.Now(),
		}
	case "process":
		s.setProcess(arg(0), opts)
	case "fault":
		s.setFault(arg(0), parseNumber(arg(1)))
	case "confirmed":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.confirmationAge = -1
		if arg(0) != "never" {
			s.confirmationAge = opts.parseDuration(arg(0))
		}
	case "cut", "heal":
		s.setIsolated(cmd == "cut")
	case "wait":
		time.Sleep(opts.parseDuration(arg(0)))
	default:
		return fmt.Errorf("unknown command %q", cmd)
	}
	return nil
}

// commandOptions holds the words of a command. A word key=value is stored under its key;
// any other word is a key with an empty value.
type commandOptions map[string]string

func parseOptions(words []string) commandOptions {
	out := commandOptions{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		out[k] = v
	}
	return out
}

func (o commandOptions) has(k string) bool { return lo.HasKey(o, k) }

func (o commandOptions) parseDuration(v string) time.Duration {
	d, _ := time.ParseDuration(v)
	return d
}

func parseNumber(v string) int {
	n, _ := strconv.Atoi(v)
	return n
}

func (s *Site) addDocument(example string) error {
	data, err := os.ReadFile(filepath.Join(s.ExamplesDir, example+".json"))
	if err != nil {
		return err
	}
	doc, err := pwdocument.Parse(data)
	if err != nil {
		return err
	}
	c, err := s.Log.Apply(context.Background(), pwchange.Proposal{
		Key:   doc.Key(),
		Value: data,
		Author: pwchange.Author{
			Name: "setup",
			Team: doc.Owner,
		},
		ProposalID: "setup-" + doc.Name,
	})
	if err == nil {
		s.Publish(c)
	}
	return err
}

func (s *Site) toggleMarks(dc string, count int) error {
	for i := range count {
		c, err := s.Log.SetMark(context.Background(), pwchange.TargetDataCentre, dc, pwchange.Mark{
			OutOfService: i%2 == 0,
			Reason:       "toggle",
			Author: pwchange.Author{
				Name: "setup",
				Team: "operations",
			},
		}, fmt.Sprintf("toggle-%d", i))
		if err != nil {
			return err
		}
		s.Publish(c)
	}
	return nil
}

func (s *Site) addServers(service, dc string, count int, opts commandOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range count {
		i := lo.CountBy(s.servers, func(x server) bool {
			return string(x.Service) == service && string(x.DataCentre) == dc
		})
		x := server{
			reportAge: opts.parseDuration(opts["age"]),
		}
		if opts.has("for") {
			x.idleAt = time.Now().Add(opts.parseDuration(opts["for"]))
		}
		x.Server = pwoperator.Server{
			ID:         pwrequest.BackendServerID(fmt.Sprintf("%s-%s-%02d", service, dc, i)),
			Service:    pwrequest.ServiceID(service),
			DataCentre: pwrequest.DataCentre(dc),
			Leaving:    opts.has("leaving"),
			Watched:    !opts.has("unwatched"),

			SingleRequest: opts.has("single"),
		}
		if x.Watched && !opts.has("silent") {
			x.Report = &pwoperator.LoadReport{
				InService:    !opts.has("refusing"),
				Running:      parseNumber(opts["running"]),
				RunningLong:  parseNumber(opts["long"]),
				RunningBound: parseNumber(lo.CoalesceOrEmpty(opts["bound"], "32")),
			}
		}
		s.servers = append(s.servers, x)
	}
}

func (s *Site) setProcess(dc string, opts commandOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := process{
		instance:   pwrequest.InstanceID("entry-" + dc),
		dataCentre: pwrequest.DataCentre(dc),
		lag:        opts.parseDuration(opts["lag"]),
		silent:     opts.has("silent"),
	}
	for i := range s.processes {
		if s.processes[i].instance == p.instance {
			s.processes[i] = p
			return
		}
	}
	s.processes = append(s.processes, p)
}

func (s *Site) setFault(fault string, count int) {
	if fault == string(pwfakeplatform.FaultOutage) || fault == string(pwfakeplatform.FaultLostResponse) {
		s.Table.SetFault(pwfakeplatform.Fault(fault), count)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault] = count
}

func (s *Site) setIsolated(isolated bool) {
	s.mu.Lock()
	s.isolated = isolated
	s.mu.Unlock()
	if isolated {
		return
	}
	if list, err := s.Log.ChangesSince(context.Background(), 0); err == nil {
		for _, c := range list {
			s.Publish(c)
		}
	}
}
