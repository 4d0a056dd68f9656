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
//	accepted, err := c.Propose(ctx, pwclient.Proposal{
//		Path:   pwclient.ServicePath("lantern"),
//		ID:     proposalID,
//		Fields: fields,
//	})
//
// Every error has a verdict. An error response of an entry is returned as an error
// that wraps *RefusalError.
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
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

const (
	// maxResponseBytes is the largest response body that is read.
	maxResponseBytes = 32 << 20
	// maxProposeAttempts bounds how often one proposal is sent.
	maxProposeAttempts = 4
	// proposeBackoff is the mean wait before the second attempt; it doubles for
	// each later one.
	proposeBackoff = 200 * time.Millisecond
)

// CauseUsage is the cause of errors in flags and environment variables.
const CauseUsage pwverdict.Cause = "usage"

// Config configures a Client.
type Config struct {
	// Entry is the base URL of an entry. A URL without TLS must have a loopback
	// address, because every request carries the credential.
	Entry      string
	Credential string
	HTTP       *http.Client
}

// Client sends requests to the operators' interface of one entry. It is safe for
// concurrent use.
type Client struct {
	base       string
	credential string
	http       *http.Client
}

// New returns a client. It returns an error with CauseUsage if the URL is invalid
// or would expose the credential in plain text.
func New(cfg Config) (*Client, error) {
	u, err := url.Parse(cfg.Entry)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.User != nil {
		return nil, usageErrorf("--entry: found %.100q; allowed: the URL of an entry, such as https://10.1.0.11:8443", cfg.Entry)
	}
	if u.Scheme == "http" && !isLoopback(u.Hostname()) {
		return nil, usageErrorf("--entry: found plain text to %.100q; allowed: https, or http to loopback, because the credential is sent there", u.Hostname())
	}
	c := *cfg.HTTP
	// Redirects are not followed, because they could send the credential to
	// another server.
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &Client{
		base:       strings.TrimSuffix(u.String(), "/") + pwoperator.PathPrefix,
		credential: strings.TrimSpace(cfg.Credential),
		http:       &c,
	}, nil
}

func isLoopback(host string) bool {
	if host == "localhost" {
		return true
	}
	a, err := netip.ParseAddr(host)
	return err == nil && a.IsLoopback()
}

func usageErrorf(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, CauseUsage, format, args...)
}

// RefusalError is an error response of an entry.
type RefusalError struct {
	Refusal pwoperator.Refusal
}

// Error returns the detail of the refusal.
func (e *RefusalError) Error() string { return e.Refusal.Detail }

// Get reads a resource. Its errors never have the verdict MayHaveRun, because
// reading has no effect.
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

// Delete deletes a resource. An error with MayHaveRun means that the outcome is
// unknown.
func Delete[T any](ctx context.Context, c *Client, path string) (*T, error) {
	return send[T](ctx, c, http.MethodDelete, path, nil)
}

// Proposal is a change with the identifier that makes it take effect at most
// once. IsRetry states that a request with this identifier was sent before and may have
// taken effect. Fields holds the other fields of the request body.
type Proposal struct {
	Path    string
	ID      string
	IsRetry bool
	Fields  map[string]any
}

// Propose sends a change. It retries with the same identifier when the entry
// cannot be reached or its response is lost, so that the change takes effect at
// most once. An error with MayHaveRun means that the outcome is unknown after the
// last attempt.
func (c *Client) Propose(ctx context.Context, p Proposal) (*pwoperator.Accepted, error) {
	body := map[string]any{
		"proposal_id": p.ID,
	}
	for k, v := range p.Fields {
		body[k] = v
	}
	isRetry := p.IsRetry
	for attempt := 1; ; attempt++ {
		if isRetry {
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
		retry := pwverdict.VerdictOf(err) == pwverdict.MayHaveRun || errors.Is(err, errNotSent)
		isRetry = isRetry || pwverdict.VerdictOf(err) == pwverdict.MayHaveRun
		if !retry || attempt == maxProposeAttempts || waitBackoff(ctx, attempt) != nil {
			return nil, withUnknownOutcome(err, isRetry)
		}
	}
}

// withUnknownOutcome changes the verdict of a failed attempt that did not reach an
// entry to MayHaveRun if an earlier attempt may have reached one.
func withUnknownOutcome(err error, maybeSent bool) error {
	if maybeSent && pwverdict.CauseOf(err) == pwverdict.CauseUnavailable && pwverdict.VerdictOf(err) == pwverdict.NotRun {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "outcome of an earlier try is unknown")
	}
	return err
}

// waitBackoff waits before the next attempt, from 0.5 to 1.5 times the mean backoff.
func waitBackoff(ctx context.Context, attempt int) error {
	mean := proposeBackoff << (attempt - 1)
	timer := time.NewTimer(mean/2 + rand.N(mean))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errNotSent marks errors of requests that were never sent, because no connection
// could be made.
var errNotSent = errors.New("entry cannot be reached")

func send[T any](ctx context.Context, c *Client, method, path string, body []byte) (*T, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, usageErrorf("request cannot be made: %v", err)
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
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(data) > maxResponseBytes {
		return nil, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "response of the entry is incomplete or larger than %d bytes; %d bytes were read", maxResponseBytes, len(data))
	}
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(resp.StatusCode, data)
	}
	out := new(T)
	if err := json.Unmarshal(data, out); err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "response of the entry cannot be decoded")
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

// responseError converts an error response. A body that is not a problem document
// was sent by an intermediary, such as a proxy, so the request may have run.
func responseError(status int, data []byte) error {
	if err := pwtransport.CheckStatus(status); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "no response of an entry")
	}
	e := &RefusalError{}
	if err := json.Unmarshal(data, &e.Refusal); err != nil || e.Refusal.Verdict == "" {
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "response %d %s does not come from an entry", status, http.StatusText(status))
	}
	return pwverdict.Wrap(e, pwverdict.Parse(e.Refusal.Verdict), pwverdict.Cause(e.Refusal.Cause), "%s", e.Refusal.Detail)
}

// ServicePath returns the path of a service's document.
func ServicePath(name string) string { return "/services/" + url.PathEscape(name) }

// MarkPath returns the path of the mark that takes something out of service.
// collection is "data-centres" or "backend-servers".
func MarkPath(collection, name string) string {
	return fmt.Sprintf("/%s/%s/mark", collection, url.PathEscape(name))
}

// RequestPath returns the path of a request.
func RequestPath(id string) string { return "/requests/" + url.PathEscape(id) }
