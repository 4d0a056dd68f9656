package pwengine_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Guards against calls and completions that count as complete although the response of the
// server ended within its head or body.
func TestCutResponseIsNoSuccess(t *testing.T) {
	const (
		call   = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 16\r\n\r\nbooked, number 7"
		chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\nbooked, number 7\r\n0\r\n\r\n"
		events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" +
			`data: {"choices":[{"index":0,"text":"a","tokens":["a"],"finish_reason":"stop"}],"usage":{"completion_tokens":1}}` + "\n\n" +
			"data: [DONE]"
	)
	runCall := func(base string) error {
		s, err := pwengine.NewHTTPService(base, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _, err = s.Call(t.Context(), "reserve", "k1", []byte(`{}`))
		return err
	}
	runCompletion := func(base string) error {
		e, err := pwengine.NewHTTPEngine(base, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, err = e.Generate(t.Context(), pwengine.Generation{
			Prompt:       "p",
			PromptTokens: 1,
			MaxTokens:    8,
		}, func([]string) error { return nil })
		return err
	}
	for name, tc := range map[string]struct {
		response string
		run      func(base string) error
	}{
		"call":           {response: call, run: runCall},
		"call in chunks": {response: chunks, run: runCall},
		"completion":     {response: events, run: runCompletion},
	} {
		t.Run(name, func(t *testing.T) {
			cut := 0
			// Each request has a connection of its own, which closes after the reply.
			base := listenRaw(t, func(w io.Writer, _ *http.Request, _ int) {
				_, _ = io.WriteString(w, tc.response[:cut])
			})
			for cut = range len(tc.response) {
				if err := tc.run(base); err == nil || pwverdict.VerdictOf(err) == pwverdict.NotRun {
					t.Errorf("cut after %q: %v, want an error that may have run", tc.response[:cut], err)
				}
			}
			cut = len(tc.response)
			if err := tc.run(base); err != nil {
				t.Errorf("the whole response gives %v", err)
			}
		})
	}
}
