package pwentry_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakefleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// Guards against requests and calls that are cut without an answer when the shutdown of an
// entry takes too long.
func TestEndRequestsAnswersCallers(t *testing.T) {
	const (
		prompt = `{"model":"` + pwfakefleet.Model + `","max_tokens":8000,"stream":STREAM,"messages":[{"role":"user","content":"a question"}]}`
		call   = "/v1/services/" + pwfakefleet.PlainService + "/methods/"
	)
	for name, tc := range map[string]struct {
		path, body, key string
		// status is the status that the caller must get, and text a part of the body.
		status int
		text   string
	}{
		"prompt, whole answer":  {path: "/v1/chat/completions", body: strings.Replace(prompt, "STREAM", "false", 1), status: http.StatusServiceUnavailable, text: `"verdict":"may_have_run"`},
		"prompt, stream":        {path: "/v1/chat/completions", body: strings.Replace(prompt, "STREAM", "true", 1), status: http.StatusOK, text: `"verdict":"may_have_run"`},
		"call that runs once":   {path: call + pwfakeservice.MethodReserve, body: `{"item":"scaffold"}`, key: "k1", status: http.StatusServiceUnavailable, text: `"verdict":"may_have_run"`},
		"call that is repeated": {path: call + pwfakeservice.MethodList, body: `{}`, status: http.StatusServiceUnavailable, text: `"verdict":"may_have_run"`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSmallFleet(t)
				const slow = time.Minute
				defer func() {
					fleet.Close()
					time.Sleep(slow)
				}()
				fleet.Service.SetDelay(slow)
				fleet.Service.SetFault(pwfakeservice.FaultSlow, 10)
				api := pwentry.NewAPI(fleet.Entry(0))
				answered := make(chan *httptest.ResponseRecorder, 1)
				go func() {
					w := httptest.NewRecorder()
					r := newDemoRequest(t.Context(), tc.path, tc.body)
					r.Header.Set("Pomeloweir-Deadline-Ms", "3000000")
					if tc.key != "" {
						r.Header.Set("Idempotency-Key", tc.key)
					}
					api.ServeHTTP(w, r)
					answered <- w
				}()
				time.Sleep(2 * time.Second)
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				if err := fleet.Entry(0).Shutdown(ctx); err == nil {
					t.Fatal("nothing runs any more")
				}
				ctx, cancel = context.WithTimeout(t.Context(), 4*time.Second)
				defer cancel()
				if err := fleet.Entry(0).EndRequests(ctx); err != nil {
					t.Errorf("requests still run: %v", err)
				}
				synctest.Wait()
				select {
				case w := <-answered:
					if w.Code != tc.status || !strings.Contains(w.Body.String(), tc.text) || !strings.Contains(w.Body.String(), "draining") {
						t.Errorf("the caller got %d, %.300s; want %d with %s", w.Code, w.Body, tc.status, tc.text)
					}
				default:
					t.Error("the caller has no answer")
				}
			})
		})
	}
}

// Guards against streams and whole answers that end with the agent which generates them, and
// against calls that run twice, or are said not to have run, because an agent is stopped.
func TestStoppedAgentCutsNoCaller(t *testing.T) {
	const (
		prompt = `{"model":"` + pwfakefleet.Model + `","max_tokens":400,"stream":STREAM,"messages":[{"role":"user","content":"a question"}]}`
		call   = "/v1/services/" + pwfakefleet.PlainService + "/methods/"
		slow   = time.Minute
	)
	for name, tc := range map[string]struct {
		path, body, key string
		// grace is how long the agents wait for running work.
		grace  time.Duration
		status int
		texts  []string
		// runs is how often the plain service must have run the call.
		runs int
	}{
		"prompt, whole answer":          {path: "/v1/chat/completions", body: strings.Replace(prompt, "STREAM", "false", 1), grace: 3 * time.Second, status: http.StatusOK, texts: []string{`"completion_tokens":400`}},
		"prompt, stream":                {path: "/v1/chat/completions", body: strings.Replace(prompt, "STREAM", "true", 1), grace: 3 * time.Second, status: http.StatusOK, texts: []string{"id: 400\n", `"finish_reason":"length"`, "[DONE]"}},
		"prompt, ends in the grace":     {path: "/v1/chat/completions", body: strings.Replace(prompt, "STREAM", "true", 1), grace: slow, status: http.StatusOK, texts: []string{"id: 400\n", `"finish_reason":"length"`, "[DONE]"}},
		"call that runs once":           {path: call + pwfakeservice.MethodReserve, body: `{"item":"scaffold"}`, key: "k1", grace: 3 * time.Second, status: http.StatusServiceUnavailable, texts: []string{`"verdict":"may_have_run"`}, runs: 1},
		"call that runs once, in grace": {path: call + pwfakeservice.MethodReserve, body: `{"item":"scaffold"}`, key: "k1", grace: 2 * slow, status: http.StatusOK, runs: 1},
		"call that is repeated":         {path: call + pwfakeservice.MethodList, body: `{}`, grace: 3 * time.Second, status: http.StatusServiceUnavailable, texts: []string{`"verdict":"may_have_run"`}, runs: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fleet := newSmallFleet(t)
				defer func() {
					fleet.Close()
					time.Sleep(2 * slow)
				}()
				fleet.Service.SetDelay(slow)
				fleet.Service.SetFault(pwfakeservice.FaultSlow, 1)
				api := pwentry.NewAPI(fleet.Entry(0))
				send := func() *httptest.ResponseRecorder {
					w := httptest.NewRecorder()
					r := newDemoRequest(t.Context(), tc.path, tc.body)
					r.Header.Set("Pomeloweir-Deadline-Ms", "3000000")
					if tc.key != "" {
						r.Header.Set("Idempotency-Key", tc.key)
					}
					api.ServeHTTP(w, r)
					return w
				}
				go func() {
					time.Sleep(2 * time.Second)
					for _, id := range fleet.ServerIDs() {
						ctx, cancel := context.WithTimeout(t.Context(), tc.grace)
						if fleet.Agent(id).Shutdown(ctx) == nil {
							time.Sleep(time.Second) // the last answers arrive
						}
						cancel()
						fleet.KillAgent(id)
						time.Sleep(time.Second)
						fleet.RestartAgent(id)
					}
				}()
				w := send()
				if w.Code != tc.status {
					t.Errorf("the caller got %d, want %d: %.300s", w.Code, tc.status, w.Body)
				}
				for _, text := range tc.texts {
					if !strings.Contains(w.Body.String(), text) {
						t.Errorf("the answer lacks %s: %s", text, w.Body)
					}
				}
				time.Sleep(2 * slow)
				if tc.key != "" {
					if w := send(); strings.Contains(w.Body.String(), "not_run") {
						t.Errorf("the repeat got %s", w.Body)
					}
				}
				if n := fleet.Service.Calls(); n != tc.runs {
					t.Errorf("the service was called %d times, want %d", n, tc.runs)
				}
			})
		})
	}
}

// Guards against callers that keep their HTTP/2 connection to a stopping entry, and so never
// reach another one.
func TestStoppingEntryEndsHTTP2Connections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newSmallFleet(t)
		defer fleet.Close()
		srv := pwtransport.NewServer(pwentry.NewAPI(fleet.Entry(0)), nil)
		l := pwfakeplatform.NewPipeListener()
		go func() { _ = pwtransport.Serve(srv, l) }()
		defer func() { _ = srv.Close() }()
		client, dials := pwtransport.NewClient(nil), 0
		client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials++
			return l.Dial(ctx)
		}
		defer client.CloseIdleConnections()
		for n, want := range []int{1, 1, 1, 2, 3} {
			if n == 2 {
				if err := fleet.Entry(0).Shutdown(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			resp, err := client.Get("http://entry/readyz")
			if err != nil {
				t.Fatal(err)
			}
			_ = resp.Body.Close()
			time.Sleep(2 * time.Second)
			if dials != want {
				t.Errorf("%d connections after request %d (status %d), want %d", dials, n+1, resp.StatusCode, want)
			}
		}
	})
}
