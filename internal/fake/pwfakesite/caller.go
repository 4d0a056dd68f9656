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

// bytesPerToken is the ratio by which the entries estimate the tokens of a prompt.
const bytesPerToken = 4

// maxEventBytes is the largest line of a streamed response that is read.
const maxEventBytes = 1 << 20

// Prompt returns a prompt that starts with name and that the entries estimate at
// the given number of tokens.
func Prompt(name string, tokens int) string {
	text := name + strings.Repeat(" word", tokens*bytesPerToken/len(" word")+1)
	return text[:tokens*bytesPerToken]
}

// Send sends a request with the credential of WorkspaceName to an entry. The
// header consists of pairs of a name and a value.
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

// SendAndRead sends a request as Send does and returns the status code and the body
// of the response.
func (s *Site) SendAndRead(ctx context.Context, entry int, method, path, body string, header ...string) (int, string, error) {
	resp, err := s.Send(ctx, entry, method, path, body, header...)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// StreamedResponse is the streamed response to a prompt, which may still be running.
type StreamedResponse struct {
	ID        string // of the request
	prompt    string
	maxTokens int
	response  *http.Response
}

// StartCompletion submits a prompt and returns as soon as the header of the response
// has arrived.
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
		data, _ := io.ReadAll(resp.Body) // the body is optional detail beside the status
		return nil, fmt.Errorf("prompt was refused with %s: %s", resp.Status, data)
	}
	return &StreamedResponse{
		ID:        resp.Header.Get("Pomeloweir-Request-Id"),
		prompt:    prompt,
		maxTokens: maxTokens,
		response:  resp,
	}, nil
}

// completionEvent holds the fields of a server-sent event that Wait checks.
type completionEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason string `json:"finish_reason"`
	} `json:"choices"`
	Error json.RawMessage `json:"error"`
}

// Disconnect closes the caller's connection. The request goes on without it.
func (r *StreamedResponse) Disconnect() error { return r.response.Body.Close() }

// Wait reads the response to its end. It returns an error if the response failed,
// is incomplete or belongs to another prompt.
func (r *StreamedResponse) Wait() error {
	defer func() { _ = r.response.Body.Close() }()
	scanner := bufio.NewScanner(r.response.Body)
	scanner.Buffer(nil, maxEventBytes)
	var got strings.Builder
	finishReason, done := "", false
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var ev completionEvent
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return err
		}
		if ev.Error != nil {
			return fmt.Errorf("response failed: %s", ev.Error)
		}
		for _, c := range ev.Choices {
			got.WriteString(c.Delta.Content)
			finishReason = c.FinishReason
		}
	}
	var want strings.Builder
	for i := range r.maxTokens {
		want.WriteString(pwfakeengine.Token(r.prompt, int64(i)))
	}
	switch {
	case scanner.Err() != nil:
		return scanner.Err()
	case got.String() != want.String():
		return fmt.Errorf("response of %d bytes differs from the expected one of %d bytes", got.Len(), want.Len())
	case finishReason != "length" || !done:
		return fmt.Errorf("response ended with reason %q, want \"length\"; [DONE] event received: %t", finishReason, done)
	}
	return nil
}

// Complete submits a prompt and waits for its response, which it checks as
// StreamedResponse.Wait does.
func (s *Site) Complete(ctx context.Context, entry int, prompt string, maxTokens int) error {
	response, err := s.StartCompletion(ctx, entry, prompt, maxTokens)
	if err != nil {
		return err
	}
	return response.Wait()
}

// CheckLongHeader sends a header of the given number of bytes to the first entry
// over HTTP/1.1. It returns an error if the entry does not refuse it as too large.
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
		return fmt.Errorf("header of %d bytes was answered with %s, want status %d", bytes, resp.Status, http.StatusRequestHeaderFieldsTooLarge)
	}
	return nil
}

// Log is an io.Writer that collects the log lines of a site in memory.
type Log struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer. It is safe for concurrent use.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// Contains reports whether the log contains a text.
func (l *Log) Contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Contains(l.buf.String(), text)
}

// Check returns an error if the log is empty, contains one of the secrets, or
// contains a line that is not JSON.
func (l *Log) Check(secrets ...string) error {
	for _, s := range secrets {
		if l.Contains(s) {
			return fmt.Errorf("the log contains the secret %q", s)
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
