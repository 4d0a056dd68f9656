// Package pwclient is the client of the operators' interface of an entry.
//
// # Usage
//
//	c, err := pwclient.New(pwclient.Config{
//		Entry:      "https://10.1.0.11:8443",
//		Credential: credential,
//		HTTP:       client,
//	})
//	status, err := pwclient.Get[pwoperator.Status](ctx, c, "/status", nil)
//	accepted, err := c.Propose(ctx, "/services/lantern", proposalID, repeat, fields)
//
// Errors have a verdict. One that an entry answered wraps *RefusalError.
package pwclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

const (
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 32 << 20
	// proposeTries bounds the sends of one proposal.
	proposeTries = 4
	// proposeBackoff is the mean wait before the second send, doubled each time.
	proposeBackoff = 200 * time.Millisecond
)

// CauseUsage is the cause of errors in flags and variables.
const CauseUsage pwverdict.Cause = "usage"

// Config describes a client.
type Config struct {
	// Entry is the base URL of an entry. Without TLS it must be on loopback,
	// because the credential is sent to it.
	Entry      string
	Credential string
	HTTP       *http.Client
}

// Client talks to one entry. It is safe for concurrent use.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// New checks the configuration and returns a client.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.Entry)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
		return nil, usage("--entry: found %.100q; allowed: the URL of an entry, such as https://10.1.0.11:8443", cfg.Entry)
	}
	if u.Scheme == "http" && !loopback(u.Hostname()) {
		return nil, usage("--entry: found plain text to %.100q; allowed: https, or http to loopback, because the credential is sent there", u.Hostname())
	}
	c := *cfg.HTTP
	// A redirect could send the credential elsewhere.
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:       strings.TrimSuffix(u.String(), "/") + pwoperator.PathPrefix,
		credential: strings.TrimSpace(cfg.Credential),
		http:       &c,
	}, nil
}

func loopback(host string) bool {
	if host == "localhost" {
		return true
	}
	a, err := netip.ParseAddr(host)
	return err == nil && a.IsLoopback()
}

func usage(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, CauseUsage, format, args...)
}

// RefusalError is an answer that is not a success.
type RefusalError struct {
	Refusal pwoperator.Refusal
}

// Error implements error.
func (e *RefusalError) Error() string { return e.Refusal.Detail }

// Get reads a resource.
func Get[T any](ctx context.Context, c *Client, path string, query url.Values) (*T, error) {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	out, err := send[T](ctx, c, http.MethodGet, path, nil)
	if pwverdict.VerdictOf(err) == pwverdict.MayHaveRun && err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseOf(err), "state cannot be read")
	}
	return out, err
}

// Delete deletes a resource.
func Delete[T any](ctx context.Context, c *Client, path string) (*T, error) {
	return send[T](ctx, c, http.MethodDelete, path, nil)
}

// Proposal is a change with its identifier. Fields is the rest of the body.
type Proposal struct {
	Path   string
	ID     string
	Repeat bool
	Fields map[string]any
}

// Propose sends a change, and sends it again with the same identifier when
// the answer is lost, so that it takes effect at most once. An error with
// MayHaveRun means that the outcome is still unknown.
func (c *Client) Propose(ctx context.Context, p Proposal) (*pwoperator.Accepted, error) {
	body := map[string]any{
		"proposal_id": p.ID,
	}
	for k, v := range p.Fields {
		body[k] = v
	}
	repeat := p.Repeat
	for try := 1; ; try++ {
		if repeat {
			body["repeat"] = true
		}
		data, err := json.Marshal(body)
		if err != nil {
			return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "change cannot be written as JSON")
		}
		out, err := send[pwoperator.Accepted](ctx, c, http.MethodPut, p.Path, data)
		if err == nil {
			return out, nil
		}
		again := pwverdict.VerdictOf(err) == pwverdict.MayHaveRun || errors.Is(err, errNotSent)
		repeat = repeat || pwverdict.VerdictOf(err) == pwverdict.MayHaveRun
		if !again || try == proposeTries || wait(ctx, try) != nil {
			return nil, unknownIfSent(err, repeat)
		}
	}
}

// unknownIfSent corrects the verdict of a try that could not reach an entry
// when an earlier one may have.
func unknownIfSent(err error, sent bool) error {
	if sent && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "outcome of an earlier try is unknown")
	}
	return err
}

func wait(ctx context.Context, try int) error {
	mean := proposeBackoff << (try - 1)
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errNotSent marks errors of requests that never left this process.
var errNotSent = errors.New("entry cannot be reached")

func send[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, usage("request cannot be made: %v", err)
	}
	req.Header.Set("Authorization", "Bearer "+c.credential)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(data) > maxAnswerBytes {
		return nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "answer of the entry broke off after %d bytes", len(data))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, refused(resp.StatusCode, data)
	}
	out := new(T)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "answer of the entry cannot be read")
	}
	return out, nil
}

func transportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return pwverdict.Wrap(errors.Join(errNotSent, err), pwverdict.NotRun, pwverdict.CauseUnavailable, "entry cannot be reached")
	}
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no answer from the entry")
}

// refused reads a problem document. Another body comes from something between
// here and the entry, so the verdict is unknown.
func refused(status int, data []byte) error {
	e := &RefusalError{}
	if err := json.Unmarshal(data, &e.Refusal); err != nil || e.Refusal.Verdict == "" {
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "answer %d %s is not from an entry", status, http.StatusText(status))
	}
	return pwverdict.Wrap(e, pwverdict.Parse(e.Refusal.Verdict), pwverdict.Cause(e.Refusal.Cause), "%s", e.Refusal.Detail)
}

// ServicePath returns the path of a service's document.
func ServicePath(name string) string { return "/services/" + url.PathEscape(name) }

// MarkPath returns the path of a mark; kind is "data-centres" or
// "backend-servers".
func MarkPath(kind, name string) string {
	return fmt.Sprintf("/%s/%s/mark", kind, url.PathEscape(name))
}

// RequestPath returns the path of a request.
func RequestPath(id string) string { return "/requests/" + url.PathEscape(id) }
