package pwfakesite_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwroot"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeauthority"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakesite"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// prefillRate lets the long prompt take seconds; no time is asserted.
const prefillRate = 2_000_000

// outTries is the number of requests while a data centre is out of service. A
// router that goes on using its third of the servers passes once in 16,000 runs.
const outTries = 24

// backTries bounds the requests until a data centre that is back gets one; a
// third of the servers is there.
const backTries = 200

// site is a running site with its command line.
type site struct {
	*pwfakesite.Site
	t   *testing.T
	ca  string // file, or ""
	log *pwfakesite.Log
}

func start(t *testing.T, a *pwfakeauthority.Authority) *site {
	t.Helper()
	dir, log := t.TempDir(), &pwfakesite.Log{}
	s, err := pwfakesite.Start(t.Context(), pwfakesite.Options{
		DataCentres:      []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"},
		EnginesPerCentre: 2,
		PlainPerCentre:   1,
		Authority:        a,
		KeyDirectory:     dir,
		Log:              log,
		Engine: pwfakeengine.Options{
			StartWarm:   true,
			PrefillRate: prefillRate,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	out := &site{
		Site: s,
		t:    t,
		log:  log,
	}
	if a != nil {
		out.ca = filepath.Join(dir, "entry-hakata-0", "ca.pem")
	}
	return out
}

// run runs a command line that has to succeed and decodes its output.
func (s *site) run(out any, args ...string) {
	s.t.Helper()
	s.runWith("", out, args...)
}

func (s *site) runWith(input string, out any, args ...string) {
	s.t.Helper()
	var stdout, stderr bytes.Buffer
	env := pwconsole.NewEnv(strings.NewReader(input), &stdout, &stderr)
	env.Getenv = func(string) string { return pwfakesite.OperatorCredential }
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	args = append(args, "--json", "--entry", s.EntryURL(1))
	if s.ca != "" {
		args = append(args, "--ca-file", s.ca)
	}
	if code := pwroot.Run(ctx, args, env); code != pwconsole.ExitOK {
		s.t.Fatalf("%v: exit code %d: %s", args, code, stderr.String())
	}
	if err := json.Unmarshal(stdout.Bytes(), out); err != nil {
		s.t.Fatalf("%v: %v in %s", args, err, stdout.String())
	}
}

func (s *site) check(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// expect sends a request and compares its status code and a part of its body.
func (s *site) expect(status int, part string, entry int, path, body string, header ...string) {
	s.t.Helper()
	code, text, err := s.SendAndRead(s.t.Context(), entry, http.MethodPost, path, body, header...)
	s.check(err)
	if code != status || !strings.Contains(text, part) {
		s.t.Fatalf("%s at entry %d: status %d and %.500s, want %d and %s", path, entry, code, text, status, part)
	}
}

const reserve = "/v1/services/" + pwfakesite.PlainService + "/methods/reserve"

// serve sends short prompts and one reservation twice through all entries.
func (s *site) serve() {
	s.t.Helper()
	for i := range s.Entries() {
		s.check(s.Complete(s.t.Context(), i, pwfakesite.Prompt(fmt.Sprint("short ", i), 1_000), 8))
		s.expect(http.StatusOK, `"number":1,`, i, reserve, `{"item":"scaffold"}`, "Idempotency-Key", "scaffold-7")
	}
	if n := s.Service.Runs(pwfakesite.WorkspaceName + "/" + pwfakesite.PlainService + "/reserve/scaffold-7"); n != 1 {
		s.t.Errorf("reservation ran %d times", n)
	}
}

// finish shuts the site down under two running answers. The one with a caller
// must end whole, and the longer one of a caller that has left must end too.
func (s *site) finish() {
	s.t.Helper()
	before := s.finished()
	left, err := s.StartCompletion(s.t.Context(), 0, pwfakesite.Prompt("left", 1_000), 80)
	s.check(err)
	s.check(left.Disconnect())
	a, err := s.StartCompletion(s.t.Context(), 0, pwfakesite.Prompt("last", 1_000), 40)
	s.check(err)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(s.t.Context()) }()
	s.check(a.Wait())
	s.check(<-done)
	if n := s.finished() - before; n != 2 {
		s.t.Errorf("%d of 2 running requests ended in the shutdown", n)
	}
	s.check(s.log.Check(pwfakesite.Credential, pwfakesite.OperatorCredential, " word word"))
}

// TestSite guards against processes that work alone but not together: a prompt
// of any size, a reservation, the operators' commands and a shutdown over real
// sockets.
func TestSite(t *testing.T) {
	s := start(t, nil)
	s.serve()
	s.check(s.Complete(t.Context(), 0, pwfakesite.Prompt("long", 1_000_000), 8))
	s.check(s.CheckLongHeader(t.Context(), 512<<10))

	var status pwoperator.Status
	s.run(&status, "status")
	var list pwoperator.DocumentList
	s.run(&list, "service", "list")
	if len(status.Services) != 2 || len(list.Documents) != 2 {
		t.Errorf("%d services in the status and %d in the list, want 2", len(status.Services), len(list.Documents))
	}

	// A changed document is in force at every entry when the command ends.
	var view pwoperator.DocumentView
	s.run(&view, "service", "view", pwfakesite.ModelService)
	var doc map[string]any
	s.check(json.Unmarshal(view.Document, &doc))
	doc["lengths"].(map[string]any)["max_output_tokens"] = 100
	doc["lengths"].(map[string]any)["default_output_tokens"] = 100
	changed, err := json.Marshal(doc)
	s.check(err)
	var accepted pwconsole.ChangeResult
	s.runWith(string(changed), &accepted, "service", "apply", "-", "--expect", fmt.Sprint(view.Change.Sequence), "--wait")
	for i := range s.Entries() {
		s.expect(http.StatusBadRequest, "allowed are 1 to 100", i, "/v1/chat/completions",
			`{"model":"`+pwfakesite.Model+`","max_tokens":101,"messages":[{"role":"user","content":"words"}]}`)
	}

	// A data centre that is out of service gets no new work.
	s.run(&accepted, "data-centre", "take-out", "hakata", "--reason", "test", "--wait")
	before := s.started("hakata")
	for i := range outTries {
		s.check(s.Complete(t.Context(), i%s.Entries(), pwfakesite.Prompt(fmt.Sprint("out ", i), 1_000), 1))
	}
	if n := s.started("hakata") - before; n != 0 {
		t.Errorf("%d attempts started in a data centre that is out of service", n)
	}
	s.run(&accepted, "data-centre", "bring-back", "hakata", "--wait")
	for i := 0; s.started("hakata") == before; i++ {
		if i == backTries {
			t.Fatalf("no attempt in a data centre that is back, in %d requests", i)
		}
		s.check(s.Complete(t.Context(), 0, pwfakesite.Prompt(fmt.Sprint("back ", i), 1_000), 1))
	}

	a, err := s.StartCompletion(t.Context(), 0, pwfakesite.Prompt("viewed", 1_000), 8)
	s.check(err)
	s.check(a.Wait())
	var r pwoperator.Request
	s.run(&r, "request", "view", a.ID)
	if r.State != "complete" || r.Tokens != 8 || r.Workspace != pwfakesite.WorkspaceName {
		t.Errorf("view of an ended request: %+v", r)
	}
	s.finish()
}

// started returns how many attempts the engines of a data centre have started.
func (s *site) started(dc string) int64 {
	var n int64
	for _, e := range s.Engines() {
		if strings.Contains(e.Name(), "-"+dc+"-") {
			n += e.Stats().Started
		}
	}
	return n
}

// finished returns how many attempts have run to their end.
func (s *site) finished() int64 {
	var n int64
	for _, e := range s.Engines() {
		n += e.Stats().Finished
	}
	return n
}

// TestSiteTLS guards against processes that do not reach one another under
// mutual authentication, and against a process that accepts a peer without a
// certificate of its authority and of a role.
func TestSiteTLS(t *testing.T) {
	own, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	s := start(t, own)
	s.serve()
	var status pwoperator.Status
	s.run(&status, "status")
	for name, c := range map[string]struct {
		authority *pwfakeauthority.Authority
		role      string
		accepted  bool
	}{
		"right":             {authority: own, role: pwsecurity.RoleEntry.DNSName(), accepted: true},
		"no certificate":    {},
		"foreign authority": {authority: foreign, role: pwsecurity.RoleEntry.DNSName()},
		"no role":           {authority: own, role: "client.pomeloweir.internal"},
	} {
		client := pwtransport.NewClient(peer(t, c.authority, c.role))
		for _, url := range s.PeerURLs() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
			s.check(err)
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if (err == nil) != c.accepted {
				t.Errorf("%s at %s: error %v, want accepted %t", name, url, err, c.accepted)
			}
		}
	}
	if !s.log.Contains("client didn't provide a certificate") {
		t.Error("the log does not say why a peer was refused")
	}
	s.finish()
}

// peer returns the configuration of a client with a certificate, or without.
func peer(t *testing.T, a *pwfakeauthority.Authority, name string) *tls.Config {
	t.Helper()
	cfg := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // only the server's check is under test
	}
	if a == nil {
		return cfg
	}
	p, err := a.Issue(pwfakeauthority.Request{
		Names: []string{name},
	})
	if err != nil {
		t.Fatal(err)
	}
	c, err := tls.X509KeyPair(p.Certificate, p.Key)
	if err != nil {
		t.Fatal(err)
	}
	cfg.Certificates = []tls.Certificate{c}
	return cfg
}
