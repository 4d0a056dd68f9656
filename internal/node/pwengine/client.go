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
)

// Limits of the HTTP adapters.
const (
	// MaxRequestBytes bounds a request body. A prompt of 1,000,000 tokens is
	// about 6 MB of text.
	MaxRequestBytes = 64 << 20
	// MaxReplyBytes bounds a reply that is read as a whole.
	MaxReplyBytes = 4 << 20
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxMethodLength bounds the name of a plain service's method.
	maxMethodLength = 64
	dialTimeout     = 2 * time.Second
	maxHeaderBytes  = 64 << 10
)

// NewTransport returns the transport that the adapters use by default. It
// opens a connection for each request: a pooled connection that the server
// has closed fails only after the request was written, and such a failure
// cannot be told from a call that ran.
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

// client sends requests to one backend server and gives each failure its
// verdict.
type client struct {
	base *url.URL
	http *http.Client
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
		base: u,
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse // a redirected POST would run twice
			},
		},
	}, nil
}

// send writes a request and returns the reply's head. A failure before a
// connection was made is NotRun, any later one MayHaveRun.
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
	r, err := http.NewRequestWithContext(ctx, method, c.base.JoinPath(path).String(), bytes.NewReader(body))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "request is not valid")
	}
	// Without GetBody net/http never sends the body a second time, which it
	// otherwise does for requests with an idempotency key.
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
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, causeOr(ctx, pwverdict.CauseUnavailable), "connection to %s failed", c.base.Host)
	default:
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, causeOr(ctx, pwverdict.CauseEngineFailed), "no reply from %s", c.base.Host)
	}
}

// roundTrip sends a body and decodes the reply into out, which may be nil.
func (c client) roundTrip(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "request cannot be encoded")
		}
	}
	resp, err := c.send(ctx, method, path, nil, body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err := c.readAll(ctx, resp)
	if err != nil {
		return err
	}
	if resp.StatusCode/100 != 2 {
		return c.statusError(resp.StatusCode, reply)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(reply, out); err != nil {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseInternal, "reply of %s is not valid JSON", c.base.Host)
	}
	return nil
}

func (c client) readAll(ctx context.Context, resp *http.Response) ([]byte, error) {
	reply, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.MayHaveRun, causeOr(ctx, pwverdict.CauseEngineFailed), "reply of %s broke off", c.base.Host)
	}
	if len(reply) > MaxReplyBytes {
		return nil, pwverdict.New(pwverdict.Ran, pwverdict.CauseInternal,
			"reply of %s is larger than %d bytes", c.base.Host, MaxReplyBytes)
	}
	return reply, nil
}

// statusError returns the error of a reply that is no success. Only a reply
// that says so, or a status of 4xx, claims that nothing ran.
func (c client) statusError(status int, reply []byte) error {
	var body ErrorResponse
	if json.Unmarshal(reply, &body) == nil && body.Error.Verdict != "" {
		return body.Error.Err()
	}
	detail := fmt.Sprintf("%s replied with status %d", c.base.Host, status)
	if status/100 == 4 && status != http.StatusRequestTimeout {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s", detail)
	}
	return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "%s", detail)
}

// causeOr returns the cause of ctx's end, or other while ctx is in force.
func causeOr(ctx context.Context, other pwverdict.Cause) pwverdict.Cause {
	if err := ctx.Err(); err != nil {
		return pwverdict.CauseOf(err)
	}
	return other
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

// Generate runs one attempt and calls emit with its tokens in order. The
// stream counts as whole only with its finish reason, its end mark and as many
// tokens as its usage says.
func (e *HTTPEngine) Generate(ctx context.Context, g Generation, emit func(tokens []string) error) (Finish, error) {
	body, err := json.Marshal(CompletionRequest{
		Generation: g,
		Stream:     true,
	})
	if err != nil {
		return Finish{}, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "request cannot be encoded")
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
		reply, err := e.client.readAll(ctx, resp)
		if err != nil {
			return Finish{}, err
		}
		return Finish{}, e.client.statusError(resp.StatusCode, reply)
	}
	s := completionStream{
		events: newEventReader(resp.Body, maxEventBytes),
		limit:  g.MaxTokens,
		total:  int64(len(g.GivenTokens)),
	}
	finish, err := s.read(emit)
	if err != nil && pwverdict.CauseOf(err) == pwverdict.CauseEngineFailed && ctx.Err() != nil {
		err = pwverdict.Wrap(err, pwverdict.MayHaveRun, causeOr(ctx, pwverdict.CauseCancelled), "attempt was cancelled")
	}
	return finish, err
}

// PrefillSegment prefills one segment and returns the handle of its KV cache.
func (e *HTTPEngine) PrefillSegment(ctx context.Context, s Segment) (string, error) {
	var reply SegmentResponse
	err := e.client.roundTrip(ctx, http.MethodPost, PathSegments, s, &reply)
	return reply.Handle, err
}

// DropKV frees exported KV cache. A handle that is unknown is already free.
func (e *HTTPEngine) DropKV(ctx context.Context, handle string) error {
	err := e.client.roundTrip(ctx, http.MethodDelete, PathKV+url.PathEscape(handle), nil, nil)
	if pwverdict.CauseOf(err) == pwverdict.CauseNotFound {
		return nil
	}
	return err
}

// Order changes what the engine has loaded or its role.
func (e *HTTPEngine) Order(ctx context.Context, o Order) error {
	return e.client.roundTrip(ctx, http.MethodPost, PathOrders, o, nil)
}

// Load returns the engine's own report, which lags.
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

// Call sends POST /{method} with the idempotency key, which may be "". Any
// reply is a result, whatever its status. An error means that there was no
// whole reply, and its verdict says whether the call may have run.
func (s *HTTPService) Call(ctx context.Context, method, key string, body []byte) (status int, reply []byte, err error) {
	if !validMethod(method) {
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
			err = pwverdict.Wrap(err, e.Verdict(), pwverdict.CauseUnavailable, "plain service failed")
		}
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	reply, err = s.client.readAll(ctx, resp)
	if err != nil {
		return 0, nil, err
	}
	return resp.StatusCode, reply, nil
}

func validMethod(name string) bool {
	return name != "" && len(name) <= maxMethodLength && !strings.ContainsFunc(name, func(r rune) bool {
		return !strings.ContainsRune("abcdefghijklmnopqrstuvwxyz0123456789_-", r)
	})
}
