package pwprocess

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwentry"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/platform"
)

// Guards against an agent whose end leaves an entry without notice, or with the verdict that
// what it ran has not run.
func TestEndOfAgentReachesEntry(t *testing.T) {
	deadline := time.Now().Add(time.Hour).UnixMilli()
	for name, tc := range map[string]struct {
		kind, models, key string
	}{
		"stream":              {kind: "model_engines", models: `,"models":["m"]`},
		"call":                {kind: "plain"},
		"call that runs once": {kind: "plain", key: "k"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			// The plain service doesn't answer; the engine answers for a long time.
			var handler http.Handler = http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				stop()
				<-r.Context().Done()
			})
			if tc.kind == "model_engines" {
				handler = pwfakeengine.New(t.Context(), pwfakeengine.Options{}).Handler()
			}
			// A starting agent resets its engine, which ends attempts that it has accepted before.
			reset := make(chan struct{})
			resets := handler
			if tc.kind == "model_engines" {
				handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					resets.ServeHTTP(w, r)
					if strings.HasSuffix(r.URL.Path, "/reset") {
						close(reset)
					}
				})
			} else {
				close(reset)
			}
			backend := httptest.NewServer(handler)
			defer backend.Close()
			settings, err := pwsettings.Parse(fmt.Appendf(nil, `{"format_version":1,"instance":"agent-1","data_centre":"hakata","listen":{"peers":"127.0.0.1:0","advertise":"127.0.0.1:1"},
				"agent":{"backend_server":"s-1","service":"s","kind":%q,"url":%q,"shutdown_ms":1000%s}}`, tc.kind, backend.URL, tc.models), pwsettings.Overrides{})
			if err != nil {
				t.Fatal(err)
			}
			store := pwfakeplatform.NewPipeServer(pwfakeplatform.NewStore())
			defer store.Close()
			table := pwfakeplatform.NewTable()
			peers, err := endpoint{address: settings.Listen.Peers}.listen(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() {
				ended <- RunAgent(ctx, settings, Platform{
					Table:         table,
					InstanceTable: platform.NewInstanceTable(platform.NewStoreClientWithHTTP(store.Client())),
				}, Listeners{
					Peers: peers,
				}, io.Discard)
			}()
			claims := pwclaim.New(table, pwclaim.Config{})
			client := pwentry.NewConnectDialer(pwtransport.NewClient(nil), "http", connect.WithGRPC()).Agent(peers.Addr().String())
			<-reset
			for n := 0; ; n++ {
				id := pwrequest.AttemptID(fmt.Sprint("attempt-", n))
				if tc.kind == "model_engines" {
					err = client.Execute(t.Context(), &pwrpc.ExecuteRequest{
						RequestId:      string(id),
						AttemptId:      string(id),
						Service:        "s",
						Model:          "m",
						PromptTokens:   10,
						MaxTokens:      100_000,
						DeadlineUnixMs: deadline,
					}, func(ev *pwrpc.AnswerEvent) error {
						if ev.GetTokens() != nil {
							stop()
						}
						return ev.GetRefused().Err()
					})
				} else {
					if tc.key != "" {
						if _, err := claims.Claim(t.Context(), pwclaim.Key{Workspace: "w", IdempotencyKey: tc.key}, [32]byte{}, id); err != nil {
							t.Fatal(err)
						}
					}
					var resp *pwrpc.CallResponse
					resp, err = client.Call(t.Context(), &pwrpc.CallRequest{
						RequestId:      "r",
						AttemptId:      string(id),
						Workspace:      "w",
						Service:        "s",
						Method:         pwfakeservice.MethodReserve,
						ClaimKey:       tc.key,
						DeadlineUnixMs: deadline,
					})
					if err == nil {
						err = resp.Refusal.Err()
					}
				}
				if ctx.Err() != nil {
					break
				}
				// The agent has had no contact with the table yet.
				t.Log(err)
				time.Sleep(50 * time.Millisecond)
			}
			if err == nil || pwverdict.VerdictOf(err) != pwverdict.MayHaveRun {
				t.Errorf("the entry got verdict %v: %v", pwverdict.VerdictOf(err), err)
			}
			if err := <-ended; err == nil {
				t.Error("the agent ended as if nothing had run any more")
			}
		})
	}
}
