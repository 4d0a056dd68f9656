package pwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

const (
	// defaultBodyBytes bounds bodies when the configuration does not.
	defaultBodyBytes = 4 << 20
	// requestBytes is about what a running request takes beside its body:
	// buffers and stacks of its two connections.
	requestBytes = 32 << 10
	// staleAfter is the silence of the store after which an unknown route or key
	// may belong to a newer configuration.
	staleAfter = 6 * time.Second
	// defaultWait is the time given to a request without deadline and timeout.
	defaultWait = 30 * time.Second
	// writeGrace lets the last bytes of an answer leave at the deadline.
	writeGrace = time.Second
	// minSend is the time left below which a send can't be answered.
	minSend = 5 * time.Millisecond
	// maxOrdinaryRetryAfter bounds the time that callers are told to stay away.
	maxOrdinaryRetryAfter = 5 * time.Second
)

// exchange is one request of a caller and its answer.
type exchange struct {
	g           *Gateway
	w           http.ResponseWriter
	r           *http.Request
	arrived     time.Time
	deadline    time.Time
	call        RequestMetadata
	route       *pwcatalog.Route
	service     string
	workspace   string
	priority    [2]int
	keyed       bool
	body        []byte
	fingerprint uint64

	// sends counts what reached a server, runs what may have run there.
	sends      int
	runs       int
	rejections int
	tried      map[string]bool
	// started is set when the head of an answer has been delivered.
	started bool
	// lastEvent is the event after which the stream goes on.
	lastEvent string
	events    int
	firstAt   time.Time
	// eventAt is when the last event arrived, maxGap the longest pause so far.
	eventAt time.Time
	maxGap  time.Duration
	waited  time.Duration
	// blocked is what the request waited for, or nil.
	blocked error
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		g:       g,
		w:       w,
		r:       r,
		arrived: time.Now(),
		tried:   make(map[string]bool),
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	c := g.catalog.Load()
	size := x.bodySize(c)
	if !g.admitBody(size) {
		x.refuse(http.StatusServiceUnavailable, newRefusal(http.StatusServiceUnavailable, pwverdict.CauseQueueFull,
			"the bodies of running requests fill the memory set aside for them"))
		return
	}
	defer g.releaseBody(size)
	if err := x.readBody(c); err != nil {
		x.refuse(statusOf(err), err)
		return
	}
	if err := x.resolve(c); err != nil {
		x.refuse(statusOf(err), err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// refusal is an error with the status that the caller gets.
type refusal struct {
	error
	status int
}

func (e *refusal) Unwrap() error { return e.error }

func statusOf(err error) int {
	var r *refusal
	if errors.As(err, &r) {
		return r.status
	}
	return http.StatusServiceUnavailable
}

func newRefusal(status int, cause pwverdict.Cause, format string, args ...any) error {
	return &refusal{
		error:  pwverdict.New(pwverdict.NotRun, cause, format, args...),
		status: status,
	}
}

// bodyLimit is the largest body that the configuration allows.
func bodyLimit(c *pwcatalog.Catalog) int64 {
	if c != nil && c.Limits().BodyBytes > 0 {
		return c.Limits().BodyBytes
	}
	return defaultBodyBytes
}

// bodySize is the memory that the request's body may take.
func (x *exchange) bodySize(c *pwcatalog.Catalog) int64 {
	if n := x.r.ContentLength; n >= 0 {
		return min(n, bodyLimit(c))
	}
	return bodyLimit(c)
}

// admitBody sets memory aside for a body.
func (g *Gateway) admitBody(size int64) bool {
	size += requestBytes
	if g.bodies.Add(size) <= g.cfg.Policy.MaxRequestMemory {
		return true
	}
	g.bodies.Add(-size)
	return false
}

func (g *Gateway) releaseBody(size int64) { g.bodies.Add(-size - requestBytes) }

func (x *exchange) readBody(c *pwcatalog.Catalog) error {
	limit := bodyLimit(c)
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, pwverdict.CauseBadRequest, "the body exceeds %d bytes", limit)
	case err != nil:
		return newRefusal(http.StatusBadRequest, pwverdict.CauseBadRequest, "the body can't be read: %v", err)
	}
	x.body = body
	return nil
}

// resolve finds the route, the workspace and the deadline.
func (x *exchange) resolve(c *pwcatalog.Catalog) error {
	call, err := x.g.codec.ParseRequest(x.r.Header)
	x.call = call
	if err != nil {
		return newRefusal(http.StatusBadRequest, pwverdict.CauseBadRequest, "%v", err)
	}
	if c == nil {
		return newRefusal(http.StatusServiceUnavailable, pwverdict.CauseUnavailable, "no configuration yet")
	}
	path, _, _ := strings.Cut(x.r.RequestURI, "?")
	route, ok := c.Route(x.r.Host, path)
	if !ok {
		return x.unknown(http.StatusNotFound, pwverdict.CauseNotFound, "no route for this host and path")
	}
	x.route = route
	x.priority = [2]int{route.Priority, route.Priority}
	if c.RequiresKey() {
		x.keyed = true
		ws, ok := c.WorkspaceByKey(call.Credential)
		if !ok && !route.Public {
			return x.unknown(http.StatusUnauthorized, pwverdict.CauseUnauthenticated, "unknown key")
		}
		if ok {
			x.workspace = ws.Name
			if ws.Priority >= 0 {
				x.priority[0] = ws.Priority
			}
		}
	}
	x.service = route.PickService(rand.Float64())
	wait := defaultWait
	if call.Timeout > 0 {
		wait = call.Timeout
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	x.deadline = x.arrived.Add(wait)
	x.lastEvent = call.LastEventID
	x.fingerprint = fingerprint(x.r.RequestURI, x.workspace, x.body)
	if x.g.crashes.refused(x.fingerprint) {
		return newRefusal(http.StatusServiceUnavailable, pwverdict.CauseQuarantined, "the request crashed %d backend servers", crashesToRefuse)
	}
	return nil
}

// unknown refuses for good only when the configuration is known to be recent.
func (x *exchange) unknown(status int, cause pwverdict.Cause, what string) error {
	if time.Since(x.g.contact()) > staleAfter {
		return newRefusal(http.StatusServiceUnavailable, cause, "%s, but the store has been silent for %s",
			what, time.Since(x.g.contact()).Round(time.Millisecond))
	}
	return newRefusal(status, cause, "%s", what)
}

// run sends the request until it is answered or can't be.
func (x *exchange) run(ctx context.Context) {
	x.g.dispatch.admit(x.service)
	for {
		plan, booking, err := x.acquire(ctx)
		if err != nil {
			x.finishFailed(ctx, err)
			return
		}
		again, err := x.attempt(ctx, plan, booking)
		if err == nil {
			x.g.crashes.finished(x.fingerprint)
			return
		}
		if !again || ctx.Err() != nil {
			x.finishFailed(ctx, err)
			return
		}
		x.logRetry(plan, err)
	}
}

// request returns what decides on a place.
func (x *exchange) request() pwfleet.Request {
	return pwfleet.Request{
		Service:         x.service,
		PromptTokens:    x.call.PromptTokens,
		MaxOutputTokens: x.call.MaxOutputTokens,
		DataCentre:      x.g.cfg.Deployment.DataCentre,
		Exclude:         x.tried,
		MaxGap:          x.route.TargetGap,
	}
}

// acquire waits for a place.
func (x *exchange) acquire(ctx context.Context) (pwfleet.Plan, *pwfleet.Booking, error) {
	now := time.Now()
	w := &want{
		id:         x.call.ID,
		req:        x.request(),
		workspace:  x.workspace,
		priority:   x.priority,
		arrived:    x.arrived,
		aim:        x.arrived.Add(x.route.Target),
		latest:     x.deadline,
		givesUp:    x.arrived.Add(time.Duration(x.g.cfg.Policy.NoServerWaitShare * float64(x.route.Target))),
		waitsUntil: x.deadline,
	}
	if x.route.Kind == pwcatalog.Streaming {
		abandon := x.g.cfg.Policy.abandon(x.route)
		from := x.arrived
		if !x.firstAt.IsZero() {
			from = now
		}
		if latest := from.Add(abandon); latest.Before(w.latest) {
			w.latest = latest
		}
		w.waitsUntil = from.Add(time.Duration(x.g.cfg.Policy.WaitShare * float64(abandon)))
	}
	plan, booking, err := x.g.dispatch.acquire(ctx, w)
	x.waited += time.Since(now)
	x.blocked = w.blocked
	return plan, booking, err
}

// attempt sends the request to one server. It reports whether another server
// may be tried.
func (x *exchange) attempt(ctx context.Context, plan pwfleet.Plan, booking *pwfleet.Booking) (again bool, err error) {
	defer x.g.dispatch.with(func(time.Time, *pwfleet.Fleet) { booking.End() })
	left := time.Until(x.deadline)
	if left < minSend {
		return false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded, "no time left to send")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helpers, release, err := x.reserve(ctx, plan)
	if err != nil {
		x.rejections++
		return x.rejections < x.g.cfg.Policy.MaxRejections, err
	}
	defer release()
	if x.sends > 0 {
		if err := x.g.dispatch.takeRepeat(x.service); err != nil {
			return false, err
		}
	}
	s := &send{
		x:       x,
		plan:    plan,
		booking: booking,
		helpers: helpers,
	}
	return s.do(ctx)
}

// finishFailed gives the caller the final answer of a request that failed.
func (x *exchange) finishFailed(ctx context.Context, err error) {
	if x.r.Context().Err() != nil {
		x.log("caller_left", err)
		return
	}
	if x.started {
		x.log("cut", err)
		panic(http.ErrAbortHandler)
	}
	var e *pwverdict.Error
	if !errors.As(err, &e) {
		e = pwverdict.AsError(err)
	}
	status := http.StatusBadGateway
	switch {
	case x.runs == 0:
		status = http.StatusServiceUnavailable
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	}
	x.refuse(status, e)
}

// refuse answers with a failure of the gateway's own.
func (x *exchange) refuse(status int, err error) {
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		x.g.codec.SetRetryAfter(h, x.retryAfter(err))
	}
	h.Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	// The caller may have left; nothing depends on this body.
	_, _ = fmt.Fprintf(x.w, `{"error":%s}`, strconv.Quote(string(pwverdict.CauseOf(err))))
	x.logStatus("refused", status, err)
}

// retryAfter spreads the return of refused callers.
func (x *exchange) retryAfter(err error) time.Duration {
	var e *pwverdict.Error
	if errors.As(err, &e) && e.RetryAfter() > 0 {
		return min(e.RetryAfter(), maxOrdinaryRetryAfter)
	}
	if pwverdict.CauseOf(err) == pwverdict.CauseQuarantined {
		return maxOrdinaryRetryAfter
	}
	wait := 400 * time.Millisecond
	if x.route != nil && x.route.Target > 0 {
		wait = x.route.Target
	}
	return jitter(min(wait, maxOrdinaryRetryAfter))
}

// fields returns what identifies the request in a log line.
func (x *exchange) fields(more ...any) log.Fields {
	f := log.Fields{
		"request": x.call.ID,
		"age_ms":  time.Since(x.arrived).Milliseconds(),
	}
	if x.route != nil {
		f["route"] = x.route.Name
		f["service"] = x.service
	}
	if x.workspace != "" {
		f["workspace"] = x.workspace
	}
	for i := 0; i+1 < len(more); i += 2 {
		f[more[i].(string)] = more[i+1]
	}
	return f
}

func (x *exchange) log(event string, err error) { x.logStatus(event, 0, err) }

func (x *exchange) logStatus(event string, status int, err error) {
	f := x.fields(
		"sends", x.sends,
		"runs", x.runs,
		"events", x.events,
		"waited_ms", x.waited.Milliseconds(),
		"tokens", x.call.PromptTokens,
	)
	if status != 0 {
		f["status"] = status
	}
	if !x.firstAt.IsZero() {
		f["first_ms"] = x.firstAt.Sub(x.arrived).Milliseconds()
		f["max_gap_ms"] = x.maxGap.Milliseconds()
	}
	if err != nil {
		f["cause"] = pwverdict.CauseOf(err)
		f["verdict"] = pwverdict.VerdictOf(err).String()
		f["error"] = err.Error()
	}
	if err == nil && status < http.StatusInternalServerError {
		x.g.obs.Routine(event, f)
		return
	}
	x.g.obs.Event(event, f)
}

func (x *exchange) logRetry(plan pwfleet.Plan, err error) {
	x.g.obs.Event("repeated", x.fields(
		"backend_server", plan.Server.ID,
		"sends", x.sends,
		"runs", x.runs,
		"events", x.events,
		"cause", pwverdict.CauseOf(err),
		"error", err.Error(),
	))
}
