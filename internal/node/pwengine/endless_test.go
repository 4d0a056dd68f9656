package pwengine_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeendless"
	"github.com/pomeloweir/pomeloweir/internal/node/pwengine"
)

// Guards against an engine or a plain service that fills the memory of its agent, or keeps
// an attempt until its deadline, with bytes without end.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const (
		stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
		// maxTokens times 64 bytes is far above the text of any completion.
		maxTokens    = 512
		maxText      = 64<<10 + 64*maxTokens
		maxHead      = 256 << 10
		maxOther     = 4 << 20
		deadline     = 10 * time.Minute
		maxCallTime  = time.Second
		emptyChunk   = `data: {"choices":[{"index":0,"text":""}]}` + "\n\n"
		unknownChunk = `data: {}` + "\n\n"
	)
	filler := strings.Repeat("x", 512)
	for name, tc := range map[string]struct {
		start, repeat string
		maxTaken      int64
	}{
		"status line":             {start: "HTTP/1.1 200 ", repeat: filler, maxTaken: maxHead},
		"bytes that are not HTTP": {repeat: filler, maxTaken: maxHead},
		"header field":            {start: "HTTP/1.1 200 OK\r\nX-A: ", repeat: filler, maxTaken: maxHead},
		"header fields":           {start: "HTTP/1.1 200 OK\r\n", repeat: "X-A: b\r\n", maxTaken: maxHead},
		"informational responses": {repeat: "HTTP/1.1 100 Continue\r\n\r\n", maxTaken: maxHead},
		"body of a failure":       {start: "HTTP/1.1 503 Full\r\n\r\n", repeat: filler, maxTaken: maxOther + maxHead},
		"body of a success":       {start: "HTTP/1.1 200 OK\r\n\r\n", repeat: filler, maxTaken: maxOther + maxHead},
		"line of a stream":        {start: stream + "data: ", repeat: filler, maxTaken: maxOther},
		"comments of a stream":    {start: stream, repeat: ": comment\n\n", maxTaken: maxOther},
		"blank lines of a stream": {start: stream, repeat: "\n\n\n\n", maxTaken: maxOther},
		"fields of a stream":      {start: stream, repeat: "event: x\nretry: 5\n\n", maxTaken: maxOther},
		"chunks without tokens":   {start: stream, repeat: emptyChunk, maxTaken: maxOther},
		"chunks without content":  {start: stream, repeat: unknownChunk, maxTaken: maxOther},
		"tokens that are too long": {
			start:    stream,
			repeat:   `data: {"choices":[{"index":0,"text":"` + strings.Repeat("y", 16<<10) + `"}]}` + "\n\n",
			maxTaken: maxOther,
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server := &pwfakeendless.Server{
					Start:  tc.start,
					Repeat: tc.repeat,
				}
				e, err := pwengine.NewHTTPEngine("http://10.0.0.1:80", &http.Transport{
					DisableKeepAlives:      true,
					MaxResponseHeaderBytes: pwengine.NewTransport().MaxResponseHeaderBytes,
					DialContext:            server.Dial,
				})
				if err != nil {
					t.Fatal(err)
				}
				ctx, cancel := context.WithTimeout(t.Context(), deadline)
				defer cancel()
				startedAt, text := time.Now(), 0
				_, err = e.Generate(ctx, pwengine.Generation{
					Prompt:       "p",
					PromptTokens: 1,
					MaxTokens:    maxTokens,
				}, func(tokens []string) error {
					for _, token := range tokens {
						text += len(token)
					}
					return nil
				})
				if err == nil || pwverdict.VerdictOf(err) == pwverdict.NotRun {
					t.Errorf("the completion ended with %v, want a failure that may have run", err)
				}
				if d := time.Since(startedAt); d > maxCallTime {
					t.Errorf("the completion ended after %s, want at once", d)
				}
				if text > maxText {
					t.Errorf("%d bytes of text were passed on for %d tokens, want at most %d", text, maxTokens, maxText)
				}
				synctest.Wait()
				if got := server.Taken(); got > tc.maxTaken {
					t.Errorf("%d bytes were read, want at most %d", got, tc.maxTaken)
				}
				if !server.Closed() {
					t.Error("the connection is still open")
				}
			})
		})
	}
}
