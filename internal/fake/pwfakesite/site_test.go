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

// testPrefillRate, in tokens per second, lets the long prompt finish within
// seconds. The tests check no durations.
const testPrefillRate = 2_000_000

// outOfServiceRequests is the number of requests sent while a data centre is out of
// service. A router that goes on using its third of the servers passes by chance
// once in 16,000 runs.
const outOfServiceRequests = 24

// maxReturnRequests is the number of requests within which a data centre that is back
// in service, with a third of the servers, must get one.
const maxReturnRequests = 200

// site is a running site with helpers for the tests, which run operators' commands
// against it.
type site struct {
	*pwfakesite.Site
	t   *testing.T
	ca  string // file of the authority's certificate; "" without TLS
	log *pwfakesite.Log
}

// startSite starts a site of three data centres, with TLS if a is not nil.
func startSite(t *testing.T, a *pwfakeauthority.Authority) *site {
	t.Helper()
	dir, log := t.TempDir(), &pwfakesite.Log{}
	s, err := pwfakesite.Start(t.Context(), pwfakesite.Options{
		DataCentres:           []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"},
		EnginesPerCentre:      2,
		PlainServersPerCentre: 1,
		Authority:             a,
		KeyDirectory:          dir,
		Log:                   log,
		Engine: pwfakeengine.Options{
			StartWarm:   true,
			PrefillRate: testPrefillRate,
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

// runCommand runs an operator's command, which must succeed, and decodes its JSON
// output.
func (s *site) runCommand(out any, args ...string) {
	s.t.Helper()
	s.runCommandWithInput("", out, args...)
}

// runCommandWithInput is runCommand with a standard input.
func (s *site) runCommandWithInput(input string, out any, args ...string) {
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

func (s *site) requireNoError(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// expectResponse sends a request and checks its status code and that its body
// contains a text.
func (s *site) expectResponse(status int, part string, entry int, path, body string, header ...string) {
	s.t.Helper()
	code, text, err := s.SendAndRead(s.t.Context(), entry, http.MethodPost, path, body, header...)
	s.requireNoError(err)
	if code != status || !strings.Contains(text, part) {
		s.t.Fatalf("%s at entry %d: status %d and body %.500s, want status %d and a body with %s", path, entry, code, text, status, part)
	}
}

const reservePath = "/v1/services/" + pwfakesite.PlainService + "/methods/reserve"

// checkServing sends a short prompt and the same reservation through every entry
// and checks that the reservation ran once.
func (s *site) checkServing() {
	s.t.Helper()
	for i := range s.Entries() {
		s.requireNoError(s.Complete(s.t.Context(), i, pwfakesite.Prompt(fmt.Sprint("short ", i), 1_000), 8))
		s.expectResponse(http.StatusOK, `"number":1,`, i, reservePath, `{"item":"scaffold"}`, "Idempotency-Key", "scaffold-7")
	}
	if n := s.Service.Runs(pwfakesite.WorkspaceName + "/" + pwfakesite.PlainService + "/reserve/scaffold-7"); n != 1 {
		s.t.Errorf("reservation ran %d times, want once", n)
	}
}

// checkShutdown shuts the site down while two responses are running. Both must run to
// their end: the one whose caller is connected, and the longer one whose caller has
// disconnected. It also checks the log of the site.
func (s *site) checkShutdown() {
	s.t.Helper()
	before := s.finishedAttempts()
	abandoned, err := s.StartCompletion(s.t.Context(), 0, pwfakesite.Prompt("left", 1_000), 80)
	s.requireNoError(err)
	s.requireNoError(abandoned.Disconnect())
	attended, err := s.StartCompletion(s.t.Context(), 0, pwfakesite.Prompt("last", 1_000), 40)
	s.requireNoError(err)
	done := make(chan error, 1)
	go func() { done <- s.Shutdown(s.t.Context()) }()
	s.requireNoError(attended.Wait())
	s.requireNoError(<-done)
	if n := s.finishedAttempts() - before; n != 2 {
		s.t.Errorf("%d requests ended during the shutdown, want the 2 running ones", n)
	}
	s.requireNoError(s.log.Check(pwfakesite.Credential, pwfakesite.OperatorCredential, " word word"))
}

// TestSite checks that the processes work together over real sockets: short and
// long prompts, a reservation, the operators' commands and a shutdown.
func TestSite(t *testing.T) {
	s := startSite(t, nil)
	s.checkServing()
	s.requireNoError(s.Complete(t.Context(), 0, pwfakesite.Prompt("long", 1_000_000), 8))
	s.requireNoError(s.CheckLongHeader(t.Context(), 512<<10))

	var status pwoperator.Status
	s.runCommand(&status, "status")
	var list pwoperator.DocumentList
	s.runCommand(&list, "service", "list")
	if len(status.Services) != 2 || len(list.Documents) != 2 {
		t.Errorf("%d services in the status and %d in the list, want 2", len(status.Services), len(list.Documents))
	}

	// A changed document is in force at every entry when the command ends.
	var view pwoperator.DocumentView
	s.runCommand(&view, "service", "view", pwfakesite.ModelService)
	var doc map[string]any
	s.requireNoError(json.Unmarshal(view.Document, &doc))
	doc["lengths"].(map[string]any)["max_output_tokens"] = 100
	doc["lengths"].(map[string]any)["default_output_tokens"] = 100
	changed, err := json.Marshal(doc)
	s.requireNoError(err)
	var accepted pwconsole.ChangeResult
	s.runCommandWithInput(string(changed), &accepted, "service", "apply", "-", "--expect", fmt.Sprint(view.Change.Sequence), "--wait")
	for i := range s.Entries() {
		s.expectResponse(http.StatusBadRequest, "allowed are 1 to 100", i, "/v1/chat/completions",
			`{"model":"`+pwfakesite.Model+`","max_tokens":101,"messages":[{"role":"user","content":"words"}]}`)
	}

	// A data centre that is out of service gets no new work.
	s.runCommand(&accepted, "data-centre", "take-out", "hakata", "--reason", "test", "--wait")
	before := s.startedAttempts("hakata")
	for i := range outOfServiceRequests {
		s.requireNoError(s.Complete(t.Context(), i%s.Entries(), pwfakesite.Prompt(fmt.Sprint("out ", i), 1_000), 1))
	}
	if n := s.startedAttempts("hakata") - before; n != 0 {
		t.Errorf("%d attempts started in a data centre that is out of service", n)
	}
	s.runCommand(&accepted, "data-centre", "bring-back", "hakata", "--wait")
	for i := 0; s.startedAttempts("hakata") == before; i++ {
		if i == maxReturnRequests {
			t.Fatalf("no attempt in %d requests in a data centre that is back in service", i)
		}
		s.requireNoError(s.Complete(t.Context(), 0, pwfakesite.Prompt(fmt.Sprint("back ", i), 1_000), 1))
	}

	a, err := s.StartCompletion(t.Context(), 0, pwfakesite.Prompt("viewed", 1_000), 8)
	s.requireNoError(err)
	s.requireNoError(a.Wait())
	var r pwoperator.Request
	s.runCommand(&r, "request", "view", a.ID)
	if r.State != "complete" || r.Tokens != 8 || r.Workspace != pwfakesite.WorkspaceName {
		t.Errorf("view of an ended request: %+v", r)
	}
	s.checkShutdown()
}

// startedAttempts returns how many attempts the engines of a data centre have
// started.
func (s *site) startedAttempts(dc string) int64 {
	var n int64
	for _, e := range s.Engines() {
		if strings.Contains(e.Name(), "-"+dc+"-") {
			n += e.Stats().Started
		}
	}
	return n
}

// finishedAttempts returns how many attempts have run to their end on all engines.
func (s *site) finishedAttempts() int64 {
	var n int64
	for _, e := range s.Engines() {
		n += e.Stats().Finished
	}
	return n
}

// TestSiteTLS checks that the processes work together under mutual TLS, and that
// they refuse a peer without a certificate, with one of another authority, or with
// one that names no role.
func TestSiteTLS(t *testing.T) {
	own, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	foreign, err := pwfakeauthority.New()
	if err != nil {
		t.Fatal(err)
	}
	s := startSite(t, own)
	s.checkServing()
	var status pwoperator.Status
	s.runCommand(&status, "status")
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
		client := pwtransport.NewClient(peerTLSConfig(t, c.authority, c.role))
		for _, url := range s.PeerURLs() {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
			s.requireNoError(err)
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			}
			if (err == nil) != c.accepted {
				t.Errorf("%s: peer connection to %s: error %v, want accepted %t", name, url, err, c.accepted)
			}
		}
	}
	if !s.log.Contains("client didn't provide a certificate") {
		t.Error("the log does not contain the reason for which a peer was refused")
	}
	s.checkShutdown()
}

// peerTLSConfig returns the TLS configuration of a client. Its certificate for name
// is signed by a; without an authority it has none.
func peerTLSConfig(t *testing.T, a *pwfakeauthority.Authority, name string) *tls.Config {
	t.Helper()
	cfg := &tls.Config{
		MinVersion:         tls.VersionTLS13,
		InsecureSkipVerify: true, // only the server's check of the client is tested
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
