package pwengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// Limits of the HTTP adapters.
const (
	// MaxRequestBytes bounds a request body. A prompt of 1,000,000 tokens is
	// about 6 MB of text.
	MaxRequestBytes = 64 << 20
	// MaxResponseBytes bounds a response body that is read into memory.
	MaxResponseBytes = 4 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxMethodLength bounds the method name of a plain service.
	maxMethodLength = 64
	dialTimeout     = 2 * time.Second
	maxHeaderBytes  = 64 << 10
)

// NewTransport returns the transport that the adapters use by default. It
// opens a connection for each request: a pooled connection that the server
// has closed fails only after the request was written, and such a failure
// cannot be distinguished from a call that ran.
func NewTransport() *http.Transport {
	return &http.Transport{
		DisableKeepAlives:      true,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: (&net.Dialer{
			Timeout: dialTimeout,
		}).DialContext,
	}
}

// client sends requests to one backend server and classifies each failure with a
// verdict.
type client struct {
	baseURL *url.URL
	http    *http.Client
}

func newClient(base string, transport http.RoundTripper) (client, error) {
	u, err := url.Parse(base)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return client{}, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"backend server address is %q, it must be an http or https URL", base)
	}
	if transport == nil {
		transport = NewTransport()
	}
	return client{
		baseURL: u,
		http: &http.Client{
			Transport: pwtransport.CheckResponses(transport),
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse // a redirected POST would run twice
			},
		},
	}, nil
}

// send sends a request and returns the response as soon as its header has been read.
// A failure before the connection was established is NotRun, a later one MayHaveRun.
func (c client) send(ctx context.Context, method, path string, header http.Header, body []byte) (*http.Response, error) {
	if len(body) > MaxRequestBytes {
		return nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"request body has %d bytes, at most %d are allowed", len(body), MaxRequestBytes)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			connected.Store(true)
		},
	})
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL.JoinPath(path).String(), bytes.NewReader(body))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "request is not valid")
	}
	// net/http retries requests with an idempotency key if it can send the body
	// again. Without GetBody it cannot.
	r.GetBody = nil
	for name, values := range header {
		r.Header[name] = values
	}
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.http.Do(r)
	switch {
	case err == nil:
		return resp, nil
	case !connected.Load():
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, contextCauseOr(ctx, pwverdict.CauseUnavailable), "connection to %s failed", c.baseURL.Host)
	default:
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, contextCauseOr(ctx, pwverdict.CauseEngineFailed), "no response from %s", c.baseURL.Host)
	}
}

// roundTrip sends in as JSON and decodes the response into out. Both may be nil.
func (c client) roundTrip(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "encoding the request body")
		}
	}
	resp, err := c.send(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := c.readBody(ctx, resp)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return c.statusError(resp.StatusCode, respBody)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseInternal, "response of %s is not valid JSON", c.baseURL.Host)
	}
	return nil
}

// readBody reads a response body of at most MaxResponseBytes.
func (c client) readBody(ctx context.Context, resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, contextCauseOr(ctx, pwverdict.CauseEngineFailed), "reading the response of %s", c.baseURL.Host)
	}
	if len(body) > MaxResponseBytes {
		return nil, pwverdict.New(pwverdict.Ran, pwverdict.CauseInternal,
			"response of %s is larger than %d bytes", c.baseURL.Host, MaxResponseBytes)
	}
	return body, nil
}

// statusError returns the error for an unsuccessful response. Its verdict is the one
// that the body states. Without one, a 4xx status other than 408 means NotRun.
func (c client) statusError(status int, respBody []byte) error {
	var errResp ErrorResponse
	if json.Unmarshal(respBody, &errResp) == nil && errResp.Error.Verdict != "" {
		return errResp.Error.Err()
	}
	detail := fmt.Sprintf("%s responded with status %d", c.baseURL.Host, status)
	if status/100 == 4 && status != http.StatusRequestTimeout {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s", detail)
	}
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "%s", detail)
}

// contextCauseOr returns the cause for which ctx ended, or fallback if it has not.
func contextCauseOr(ctx context.Context, fallback pwverdict.Cause) pwverdict.Cause {
	if err := ctx.Err(); err != nil {
		return pwverdict.CauseOf(err)
	}
	return fallback
}

// HTTPEngine is a model engine behind HTTP. It is safe for concurrent use.
type HTTPEngine struct {
	client client
}

// NewHTTPEngine returns an adapter for the engine at base, for example
// "http://127.0.0.1:8000". A nil transport means NewTransport.
func NewHTTPEngine(base string, transport http.RoundTripper) (*HTTPEngine, error) {
	c, err := newClient(base, transport)
	return &HTTPEngine{
		client: c,
	}, err
}

// Generate runs one attempt and calls emit with its tokens in order. The stream
// counts as complete only if it has a finish reason, the StreamEnd event and as
// many tokens as its usage states.
func (e *HTTPEngine) Generate(ctx context.Context, g Generation, emit func(tokens []string) error) (Finish, error) {
	body, err := json.Marshal(CompletionRequest{
		Generation: g,
		Stream:     true,
	})
	if err != nil {
		return Finish{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "encoding the request body")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // closes the connection, which cancels the attempt on the engine
	resp, err := e.client.send(ctx, http.MethodPost, PathCompletions, http.Header{
		"Accept": {"text/event-stream"},
	}, body)
	if err != nil {
		return Finish{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		respBody, err := e.client.readBody(ctx, resp)
		if err != nil {
			return Finish{}, err
		}
		return Finish{}, e.client.statusError(resp.StatusCode, respBody)
	}
	s := completionStream{
		events:      newEventReader(resp.Body, maxEventBytes),
		maxTokens:   g.MaxTokens,
		totalTokens: int64(len(g.GivenTokens)),
	}
	finish, err := s.read(emit)
	if err != nil && pwverdict.CauseOf(err) == pwverdict.CauseEngineFailed && ctx.Err() != nil {
		err = pwverdict.Wrap(err, pwverdict.MayHaveRun, contextCauseOr(ctx, pwverdict.CauseCancelled), "attempt was cancelled")
	}
	return finish, err
}

// PrefillSegment prefills one segment and returns the handle of its KV cache.
func (e *HTTPEngine) PrefillSegment(ctx context.Context, s Segment) (string, error) {
	var resp SegmentResponse
	err := e.client.roundTrip(ctx, http.MethodPost, PathSegments, s, &resp)
	return resp.Handle, err
}

// DropKV frees exported KV cache. An unknown handle is not an error: its KV cache has
// already been freed.
func (e *HTTPEngine) DropKV(ctx context.Context, handle string) error {
	err := e.client.roundTrip(ctx, http.MethodDelete, PathKV+url.PathEscape(handle), nil, nil)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return nil
	}
	return err
}

// Order changes the models or adapters that the engine has loaded, or its role.
func (e *HTTPEngine) Order(ctx context.Context, o Order) error {
	return e.client.roundTrip(ctx, http.MethodPost, PathOrders, o, nil)
}

// Load returns the load that the engine itself reports, which lags behind the actual
// load.
func (e *HTTPEngine) Load(ctx context.Context) (EngineLoad, error) {
	var load EngineLoad
	err := e.client.roundTrip(ctx, http.MethodGet, PathLoad, nil, &load)
	return load, err
}

// Reset cancels all work on the engine and frees its memory.
func (e *HTTPEngine) Reset(ctx context.Context) error {
	return e.client.roundTrip(ctx, http.MethodPost, PathReset, nil, nil)
}

// HTTPService is a plain service behind HTTP. It is safe for concurrent use.
type HTTPService struct {
	client client
}

// NewHTTPService returns an adapter for the service at base. A nil transport
// means NewTransport.
func NewHTTPService(base string, transport http.RoundTripper) (*HTTPService, error) {
	c, err := newClient(base, transport)
	return &HTTPService{
		client: c,
	}, err
}

// Call sends POST /{method} with the idempotency key, which may be "". A complete
// response is a result, regardless of its status. An error means that no complete response
// arrived; its verdict states whether the call may have run.
func (s *HTTPService) Call(ctx context.Context, method, key string, body []byte) (status int, respBody []byte, err error) {
	if !isValidMethod(method) {
		return 0, nil, pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest,
			"method is %q, allowed are 1 to %d of a-z, 0-9, '_' and '-'", method, maxMethodLength)
	}
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	resp, err := s.client.send(ctx, http.MethodPost, method, header, body)
	if err != nil {
		if e := pwverdict.AsError(err); e.Cause() == pwverdict.CauseEngineFailed {
			err = pwverdict.Wrap(err, e.Verdict(), pwverdict.CauseUnavailable, "calling the plain service")
		}
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err = s.client.readBody(ctx, resp)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, respBody, nil
}

func isValidMethod(name string) bool {
	return name != "" && len(name) <= maxMethodLength && !strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789_-", r)
	})
}
