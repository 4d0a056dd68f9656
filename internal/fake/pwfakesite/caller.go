package pwfakesite

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
)

// bytesPerToken makes a prompt of a given length, as the entries estimate it.
const bytesPerToken = 4

// maxEvent bounds one line of a streamed answer.
const maxEvent = 1 << 20

// Prompt returns a text of a number of tokens that differs for each name.
func Prompt(name string, tokens int) string {
	text := name + strings.Repeat(" word", tokens*bytesPerToken/len(" word")+1)
	return text[:tokens*bytesPerToken]
}

// Send sends a request with the credential of WorkspaceName to an entry.
func (s *Site) Send(ctx context.Context, entry int, method, path, body string, header ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, s.EntryURL(entry)+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+Credential)
	req.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return s.client.Do(req)
}

// SendAndRead sends a request and returns the status code and the body.
func (s *Site) SendAndRead(ctx context.Context, entry int, method, path, body string, header ...string) (int, string, error) {
	resp, err := s.Send(ctx, entry, method, path, body, header...)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// StreamedResponse is a streamed answer on its way.
type StreamedResponse struct {
	ID       string
	prompt   string
	max      int
	response *http.Response
}

// StartCompletion submits a prompt and returns when its answer has begun.
func (s *Site) StartCompletion(ctx context.Context, entry int, prompt string, maxTokens int) (*StreamedResponse, error) {
	body, err := json.Marshal(map[string]any{
		"model":      Model,
		"stream":     true,
		"max_tokens": maxTokens,
		"messages": []map[string]string{{
			"role":    "user",
			"content": prompt,
		}},
	})
	if err != nil {
		return nil, err
	}
	resp, err := s.Send(ctx, entry, http.MethodPost, "/v1/chat/completions", string(body))
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer func() { _ = resp.Body.Close() }()
		data, _ := io.ReadAll(resp.Body) // the status says enough without the body
		return nil, fmt.Errorf("refused with %s: %s", resp.Status, data)
	}
	return &StreamedResponse{
		ID:       resp.Header.Get("Pomeloweir-Request-Id"),
		prompt:   prompt,
		max:      maxTokens,
		response: resp,
	}, nil
}

// event is what is read of one server-sent event.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// Disconnect closes the caller's connection; the request goes on.
func (a *StreamedResponse) Disconnect() error { return a.response.Body.Close() }

// Wait reads the answer to its end. An error says that the answer failed or
// that it is not the whole answer to its own prompt.
func (a *StreamedResponse) Wait() error {
	defer func() { _ = a.response.Body.Close() }()
	lines := bufio.NewScanner(a.response.Body)
	lines.Buffer(nil, maxEvent)
	var got strings.Builder
	finish, done := "", false
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var ev event
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return err
		}
		if ev.Error != nil {
			return fmt.Errorf("answer failed: %s", ev.Error)
		}
		for _, c := range ev.Choices {
			got.WriteString(c.Delta.Content)
			finish = c.FinishReason
		}
	}
	var want strings.Builder
	for i := range a.max {
		want.WriteString(pwfakeengine.Token(a.prompt, int64(i)))
	}
	switch {
	case lines.Err() != nil:
		return lines.Err()
	case got.String() != want.String():
		return fmt.Errorf("answer has %d bytes that differ from the expected %d", got.Len(), want.Len())
	case finish != "length" || !done:
		return fmt.Errorf("answer ended with reason %q, last event seen: %t", finish, done)
	}
	return nil
}

// Complete submits a prompt and checks its whole answer.
func (s *Site) Complete(ctx context.Context, entry int, prompt string, maxTokens int) error {
	a, err := s.StartCompletion(ctx, entry, prompt, maxTokens)
	if err != nil {
		return err
	}
	return a.Wait()
}

// CheckLongHeader sends a header of a number of bytes to an entry over HTTP/1.1. An
// error says that it was not refused as too large.
func (s *Site) CheckLongHeader(ctx context.Context, bytes int) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.EntryURL(0)+"/healthz", nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", strings.Repeat("a", bytes))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		return fmt.Errorf("header of %d bytes: %s", bytes, resp.Status)
	}
	return nil
}

// Log collects the log lines of a site.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// Contains reports whether a text is in the log.
func (l *Log) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Check returns an error when the log holds one of the secrets, a line that is
// not JSON, or nothing.
func (l *Log) Check(secrets ...string) error {
	for _, s := range secrets {
		if l.Contains(s) {
			return fmt.Errorf("the log holds %q", s)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() == 0 {
		return errors.New("the log is empty")
	}
	for line := range strings.Lines(l.buf.String()) {
		if !json.Valid([]byte(line)) {
			return fmt.Errorf("log line %q is not JSON", line)
		}
	}
	return nil
}
