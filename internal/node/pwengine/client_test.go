package pwengine_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

func newEngine(t *testing.T, handler http.Handler) *pwengine.HTTPEngine {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	e, err := pwengine.NewHTTPEngine(server.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

// Guards against an HTTP stream that loses, repeats or reorders tokens, and against
// prefilled segments that the engine does not use.
func TestEngineRoundTrip(t *testing.T) {
	fake := pwfakeengine.New(t.Context(), pwfakeengine.Options{
		StartWarm: true,
	})
	e := newEngine(t, fake.Handler())
	handle, err := e.PrefillSegment(t.Context(), pwengine.Segment{
		GroupID:      "g",
		Prompt:       "p",
		PromptTokens: 2000,
	})
	if err != nil {
		t.Fatal(err)
	}
	var got, want strings.Builder
	finish, err := e.Generate(t.Context(), pwengine.Generation{
		Prompt:       "p",
		PromptTokens: 2500,
		MaxTokens:    8,
		GivenTokens:  []string{pwfakeengine.Token("p", 0)},
		KVHandles:    []string{handle},
	}, func(tokens []string) error {
		got.WriteString(strings.Join(tokens, ""))
		return nil
	})
	for i := range int64(7) {
		want.WriteString(pwfakeengine.Token("p", i+1))
	}
	if err != nil || finish.TotalTokens != 8 || got.String() != want.String() {
		t.Fatalf("response is %q with %+v and %v, want %q", &got, finish, err, &want)
	}
	if err := e.DropKV(t.Context(), handle); err != nil {
		t.Fatal(err)
	}
	if used, _ := fake.Usage(); used != 0 {
		t.Errorf("engine still holds %d tokens", used)
	}
}

// Guards against wrong verdicts: NotRun for work that may have run allows a second
// run; MayHaveRun for work that was never sent prevents a safe retry.
func TestEngineVerdicts(t *testing.T) {
	chunk := `data: {"choices":[{"tokens":["a"]}]}` + "\n\n"
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		verdict pwverdict.Verdict
		cause   pwverdict.Cause
	}{
		{"no connection", nil, pwverdict.NotRun, pwverdict.CauseUnavailable},
		{"no response", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed},
		{"broken stream", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(chunk))
		}, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed},
		{"missing finish", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(chunk + "data: [DONE]\n\n"))
		}, pwverdict.MayHaveRun, pwverdict.CauseInternal},
		{"too many tokens", func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(strings.Repeat(chunk, 3)))
		}, pwverdict.MayHaveRun, pwverdict.CauseInternal},
		{"refusal with verdict", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = w.Write([]byte(`{"error":{"cause":"stale_fence","verdict":"not_run"}}`))
		}, pwverdict.NotRun, pwverdict.CauseStaleFence},
		{"500 without body", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusInternalServerError)
		}, pwverdict.MayHaveRun, pwverdict.CauseInternal},
		{"deadline", func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		}, pwverdict.MayHaveRun, pwverdict.CauseDeadlineExceeded},
	} {
		t.Run(test.name, func(t *testing.T) {
			var e *pwengine.HTTPEngine
			var err error
			if test.handler == nil {
				if e, err = pwengine.NewHTTPEngine(closedAddress(t), nil); err != nil {
					t.Fatal(err)
				}
			} else {
				e = newEngine(t, test.handler)
			}
			ctx := t.Context()
			if test.cause == pwverdict.CauseDeadlineExceeded {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, 50*time.Millisecond)
				defer cancel()
			}
			_, err = e.Generate(ctx, pwengine.Generation{
				MaxTokens: 2,
			}, func([]string) error { return nil })
			if pwverdict.VerdictOf(err) != test.verdict || pwverdict.CauseOf(err) != test.cause {
				t.Errorf("error is %v, want %s with %s", err, test.verdict, test.cause)
			}
		})
	}
}

// Guards against a reservation that runs twice because net/http retries a request
// with an idempotency key after its connection broke.
func TestServiceCallIsSentOnce(t *testing.T) {
	fake := pwfakeservice.New()
	server := httptest.NewServer(fake.Handler())
	t.Cleanup(server.Close)
	// net/http retries only requests on a reused connection, so connections are pooled.
	s, err := pwengine.NewHTTPService(server.URL, &http.Transport{})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Call(t.Context(), pwfakeservice.MethodList, "", nil); err != nil {
		t.Fatal(err)
	}
	fake.SetFault(pwfakeservice.FaultLostResponse, 1)
	_, _, err = s.Call(t.Context(), pwfakeservice.MethodReserve, "k", []byte(`{}`))
	if pwverdict.VerdictOf(err) != pwverdict.MayHaveRun || fake.Runs("k") != 1 {
		t.Errorf("error is %v after %d runs, want may_have_run after one", err, fake.Runs("k"))
	}
	down, err := pwengine.NewHTTPService(closedAddress(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := down.Call(t.Context(), pwfakeservice.MethodReserve, "k", nil); pwverdict.VerdictOf(err) != pwverdict.NotRun {
		t.Errorf("error is %v, want not_run", err)
	}
}
