// Package pwfakeoperator puts the real operators' interface before a table, a
// fleet and requests that a test makes up. Requests reach it in process,
// without a socket, so that tests run on the test clock.
//
// # Usage
//
//	site := pwfakeoperator.New()
//	site.Setup("servers", "lantern hakata 3 running=2")
//	client := site.Client()
//	resp, err := client.Get("http://127.0.0.1/v1/operator/status")
//
// Operators are Aiko of team lantern-models, Ana of team libro-de-existencias
// and Ren of team operations; see Credential.
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

// operators are the known operators by name, with their teams.
var operators = map[string]string{
	"aiko": "lantern-models",
	"ana":  "libro-de-existencias",
	"ren":  "operations",
}

// Credential returns the credential of an operator; unknown names give one
// that is refused.
func Credential(name string) string { return "operator-credential-of-" + name }

// Site is the interface with what stands behind it.
type Site struct {
	Table *pwfakeplatform.Table
	Log   *pwchange.Log
	// ExamplesDir is the directory of the example documents; the default is
	// right for the tests of packages two levels deep.
	ExamplesDir string

	handler http.Handler

	mu        sync.Mutex
	replica   *pwchange.Replica
	confirmed time.Duration // age of the last confirmation
	cut       bool          // the copy hears of no change
	servers   []server
	requests  map[pwrequest.ID]pwoperator.RequestState
	processes []process
	lose      map[string]int
}

// server is a backend server whose reports always have the same age. Its work
// ends at the time idle, unless that is zero.
type server struct {
	pwoperator.Server
	age  time.Duration
	idle time.Time
}

// process is one process that hears of each change after a lag.
type process struct {
	instance pwrequest.InstanceID
	centre   pwrequest.DataCentre
	lag      time.Duration
	silent   bool
}

// New returns a site without documents, servers and requests, and with one
// process in each of three data centres.
func New() *Site {
	table := pwfakeplatform.NewTable()
	s := &Site{
		Table:       table,
		ExamplesDir: "../../../examples",
		Log:         pwchange.NewLog(table),
		replica:     pwchange.NewReplica(),
		requests:    map[pwrequest.ID]pwoperator.RequestState{},
		lose:        map[string]int{},
	}
	for i, dc := range []pwrequest.DataCentre{"dazaifu", "hakata", "kurume"} {
		s.processes = append(s.processes, process{
			instance: pwrequest.InstanceID("entry-" + dc),
			centre:   dc,
			lag:      time.Duration(i) * time.Second / 2,
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

// Get implements pwoperator.Copy.
func (s *Site) Get(key string) (pwchange.Change, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Get(key)
}

// Keys implements pwoperator.Copy.
func (s *Site) Keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replica.Keys(prefix)
}

// Publish implements pwoperator.Copy.
func (s *Site) Publish(changes ...pwchange.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.cut {
		s.replica.Merge(changes)
	}
}

// Status implements pwoperator.Copy.
func (s *Site) Status() pwgossip.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := pwgossip.Status{
		Isolated:      s.cut,
		LastContactAt: time.Now(),
	}
	if s.confirmed >= 0 {
		out.Freshness = pwchange.Freshness{
			ConfirmedAt: time.Now().Add(-s.confirmed),
			ConfirmedBy: "entry-hakata",
		}
	}
	return out
}

// InForce implements pwoperator.Reach.
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
			Instance:   p.instance,
			DataCentre: p.centre,
			InForce:    !p.silent && c.Sequence >= sequence && time.Since(c.AcceptedAt()) >= p.lag,
			AnsweredAt: seen,
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
			r.SentAt = time.Now().Add(-x.age)
			if !x.idle.IsZero() && time.Now().After(x.idle) {
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
	ran := r.State == "running"
	if ran {
		r.State, r.Reason = "failed", "cancelled"
		r.Err = pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseCancelled, "cancelled by an operator")
		s.requests[id] = r
	}
	return ran, nil
}

// errLost is what a client sees when the connection breaks.
var errLost = errors.New("connection was closed before the response")

// Client returns a client whose requests the site serves in process.
func (s *Site) Client() *http.Client {
	return &http.Client{
		Transport: transport{
			site: s,
		},
	}
}

type transport struct {
	site *Site
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.site.take("lost_request") {
		return nil, errLost
	}
	w := httptest.NewRecorder()
	t.site.handler.ServeHTTP(w, r)
	if err := r.Context().Err(); err != nil {
		return nil, err
	}
	if t.site.take("lost_answer") {
		return nil, errLost
	}
	return w.Result(), nil
}

func (s *Site) take(fault string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lose[fault] == 0 {
		return false
	}
	s.lose[fault]--
	return true
}

// RunCommand executes one line of a script:
//
//	document <example> [key=value ...]     store an example document, as its owner
//	toggle <data centre> <n>               take a data centre out and bring it back, n marks in all
//	servers <service> <data centre> <n> [running=] [long=] [bound=] [age=] [for=] [leaving] [silent] [single] [unwatched] [refusing]
//	request <id> <service> <state>         add a request
//	process <data centre> [lag=] [silent]  add a process, or change the one there
//	fault outage|lost_reply|lost_request|lost_answer <n>
//	confirmed <age>|never                  set how old the copy is
//	cut | heal                             cut the entry off, or let it hear of all changes
//	wait <duration>
func (s *Site) RunCommand(cmd, line string) error {
	words := strings.Fields(line)
	arg := func(i int) string { return append(words, make([]string, i+1)...)[i] }
	o := options(words)
	switch cmd {
	case "document":
		return s.addDocument(arg(0))
	case "toggle":
		return s.toggle(arg(0), number(arg(1)))
	case "servers":
		s.addServers(arg(0), arg(1), number(arg(2)), o)
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
		s.setProcess(arg(0), o)
	case "fault":
		s.setFault(arg(0), number(arg(1)))
	case "confirmed":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.confirmed = -1
		if arg(0) != "never" {
			s.confirmed = o.duration(arg(0))
		}
	case "cut", "heal":
		s.setCut(cmd == "cut")
	case "wait":
		time.Sleep(o.duration(arg(0)))
	default:
		return fmt.Errorf("unknown command %q", cmd)
	}
	return nil
}

type lineOptions map[string]string

func options(words []string) lineOptions {
	out := lineOptions{}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		out[k] = v
	}
	return out
}

func (o lineOptions) has(k string) bool { return lo.HasKey(o, k) }

func (o lineOptions) duration(v string) time.Duration {
	d, _ := time.ParseDuration(v)
	return d
}

func number(v string) int {
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

func (s *Site) toggle(dc string, n int) error {
	for i := range n {
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

func (s *Site) addServers(service, dc string, n int, o lineOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range n {
		i := lo.CountBy(s.servers, func(x server) bool {
			return string(x.Service) == service && string(x.DataCentre) == dc
		})
		x := server{
			age: o.duration(o["age"]),
		}
		if o.has("for") {
			x.idle = time.Now().Add(o.duration(o["for"]))
		}
		x.Server = pwoperator.Server{
			ID:         pwrequest.BackendServerID(fmt.Sprintf("%s-%s-%02d", service, dc, i)),
			Service:    pwrequest.ServiceID(service),
			DataCentre: pwrequest.DataCentre(dc),
			Leaving:    o.has("leaving"),
			Watched:    !o.has("unwatched"),

			SingleRequest: o.has("single"),
		}
		if x.Watched && !o.has("silent") {
			x.Report = &pwoperator.LoadReport{
				InService:    !o.has("refusing"),
				Running:      number(o["running"]),
				RunningLong:  number(o["long"]),
				RunningBound: number(lo.CoalesceOrEmpty(o["bound"], "32")),
			}
		}
		s.servers = append(s.servers, x)
	}
}

func (s *Site) setProcess(dc string, o lineOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := process{
		instance: pwrequest.InstanceID("entry-" + dc),
		centre:   pwrequest.DataCentre(dc),
		lag:      o.duration(o["lag"]),
		silent:   o.has("silent"),
	}
	for i := range s.processes {
		if s.processes[i].instance == p.instance {
			s.processes[i] = p
			return
		}
	}
	s.processes = append(s.processes, p)
}

func (s *Site) setFault(fault string, n int) {
	if fault == string(pwfakeplatform.FaultOutage) || fault == string(pwfakeplatform.FaultLostReply) {
		s.Table.SetFault(pwfakeplatform.Fault(fault), n)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lose[fault] = n
}

func (s *Site) setCut(cut bool) {
	s.mu.Lock()
	s.cut = cut
	s.mu.Unlock()
	if cut {
		return
	}
	if list, err := s.Log.ChangesSince(context.Background(), 0); err == nil {
		for _, c := range list {
			s.Publish(c)
		}
	}
}
