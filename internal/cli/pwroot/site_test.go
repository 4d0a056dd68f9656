package pwroot_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwroot"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakesite"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// TestCommandsOnRealProcesses guards against commands that work only with the fake of
// the operators' interface, and against requests that operators can view and cancel
// only through the entry that runs them.
func TestCommandsOnRealProcesses(t *testing.T) {
	site, err := pwfakesite.Start(t.Context(), pwfakesite.Options{
		DataCentres:           []pwrequest.DataCentre{"hakata", "dazaifu"},
		EnginesPerCentre:      1,
		PlainServersPerCentre: 1,
		Engine: pwfakeengine.Options{
			StartWarm: true,
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	id := startPrompt(t, site.EntryURL(0))
	var r pwoperator.Request
	for r.State != "running" || r.BackendServer == "" {
		// The other entry receives the state of the request shortly after its start.
		if code, text := tryCommand(t, site, 1, &r, "request", "view", id); code != pwconsole.ExitOK && !strings.Contains(text, "does not exist") {
			t.Fatalf("exit code %d: %s", code, text)
		}
		waitBeforePoll(t)
	}
	if r.Service != pwfakesite.ModelService || r.Model != pwfakesite.Model || r.Workspace != pwfakesite.WorkspaceName {
		t.Errorf("request of %s, %s, %s through another entry", r.Service, r.Model, r.Workspace)
	}
	var cancelled pwoperator.Cancelled
	if runCommand(t, site, 1, &cancelled, "request", "cancel", id); !cancelled.Cancelled {
		t.Error("request was not cancelled through another entry")
	}
	for entry := range 2 {
		for r.State == "running" {
			runCommand(t, site, entry, &r, "request", "view", id)
			waitBeforePoll(t)
		}
		r.State = "running"
	}
	var changed pwconsole.ChangeResult
	runCommand(t, site, 1, &changed, "data-centre", "take-out", "hakata", "--reason", "test", "--drain")
	if changed.InForce.DataCentres != 2 || changed.Remaining.Running != 0 || changed.Remaining.Reporting != 2 {
		t.Errorf("after a drain: %+v, %+v", changed.InForce, changed.Remaining)
	}
	runCommand(t, site, 0, &changed, "data-centre", "bring-back", "hakata", "--wait")
	var status pwoperator.Status
	runCommand(t, site, 0, &status, "status")
	if len(status.Services) != 2 || len(status.Services[1].DataCentres) != 2 || !status.Services[1].DataCentres[1].InService {
		t.Errorf("status after bringing back: %+v", status)
	}
}

// startPrompt submits a prompt that runs until it is cancelled and returns its
// identifier.
func startPrompt(t *testing.T, url string) string {
	t.Helper()
	body := `{"model":"` + pwfakesite.Model + `","stream":true,"max_tokens":8000,"messages":[{"role":"user","content":"` + strings.Repeat("word ", 2000) + `"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+pwfakesite.Credential)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	id := resp.Header.Get("Pomeloweir-Request-Id")
	if resp.StatusCode != http.StatusOK || id == "" {
		t.Fatalf("answer %s without a request identifier", resp.Status)
	}
	return id
}

// runCommand runs one command line and fails the test unless it succeeds.
func runCommand(t *testing.T, site *pwfakesite.Site, entry int, out any, args ...string) {
	t.Helper()
	if code, text := tryCommand(t, site, entry, out, args...); code != pwconsole.ExitOK {
		t.Fatalf("%v through entry %d: exit code %d: %s", args, entry, code, text)
	}
}

// tryCommand runs one command line against an entry. It decodes the JSON output into
// out if the command succeeds, and returns the exit code and the error stream.
func tryCommand(t *testing.T, site *pwfakesite.Site, entry int, out any, args ...string) (int, string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	env := pwconsole.NewEnv(nil, &stdout, &stderr)
	env.Getenv = func(string) string { return pwfakesite.OperatorCredential }
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	code := pwroot.Run(ctx, append(args, "--json", "--entry", site.EntryURL(entry)), env)
	if code == pwconsole.ExitOK {
		if err := json.Unmarshal(stdout.Bytes(), out); err != nil {
			t.Fatal(err)
		}
	}
	return code, stderr.String()
}

// waitBeforePoll waits between two polls.
func waitBeforePoll(t *testing.T) {
	select {
	case <-t.Context().Done():
		t.Fatal("test ended while it waited")
	case <-time.After(10 * time.Millisecond):
	}
}
