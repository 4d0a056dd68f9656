package pwgateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwholding"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

const (
	// defaultMaxBodyBytes limits request bodies when the configuration does not.
	defaultMaxBodyBytes = 4 << 20
	// requestOverheadBytes is the approximate memory of a running request besides its
	// body: the buffers and stacks of its two connections.
	requestOverheadBytes = 32 << 10
	// maxStoreContactAge is the time since the store last responded after which an
	// unknown route or key may belong to a newer configuration.
	maxStoreContactAge = 6 * time.Second
	// defaultTimeout applies when neither the request nor its route has a timeout.
	defaultTimeout = 30 * time.Second
	// writeGrace is the time after the deadline in which the last bytes of a
	// response may still be written.
	writeGrace = time.Second
	// minSendTime is the time to the deadline below which a request is not sent,
	// because no response can arrive in time.
	minSendTime = 5 * time.Millisecond
	// maxRetryAfter is the longest Retry-After that callers get.
	maxRetryAfter = 5 * time.Second
	// refusedBodyTime is how long the body of a request that is refused before it was read
	// may take to arrive. A connection that is closed before that resets, and the refusal can
	// be lost.
	refusedBodyTime = 250 * time.Millisecond
	// unknownWorkspace is the workspace for which memory is held for callers without a known
	// key.
	unknownWorkspace = "(unknown)"
)

// exchange is one request of a caller and the response to it.
type exchange struct {
	g         *Gateway
	w         http.ResponseWriter
	r         *http.Request
	conn      *callerConn
	arrivedAt time.Time
	// receivedAt is when the body had arrived.
	receivedAt time.Time
	deadline   time.Time
	metadata   RequestMetadata
	// metadataErr is why the headers of the request cannot be parsed, or nil.
	metadataErr     error
	route           *pwcatalog.Route
	service         string
	workspace       string
	priority        [2]int
	stripCredential bool
	body            []byte
	// held is the memory that is held for the request.
	held        *pwholding.Holder
	fingerprint uint64
	// sharedParts holds the hashes of the parts of the prompt that other requests may
	// share.
	sharedParts []uint64

	// sends counts the sends on a connection, and runs those that a server may have
	// run. rejections counts the attempts that certainly did not run: those that a
	// server rejected, or that failed to connect or to reserve memory.
	sends        int
	runs         int
	rejections   int
	triedServers map[string]bool
	// retryTaken is set when the next send has been taken from the retry budget.
	retryTaken bool
	// weightRejections counts the rejections for other weights than the caller expects.
	weightRejections int
	// headWritten is set when the head of a streamed response has been written.
	headWritten bool
	// lastEventID is the event after which the stream is resumed.
	lastEventID  string
	eventCount   int
	firstEventAt time.Time
	// lastEventAt is when the last event arrived, maxGap the longest time between
	// two events so far.
	lastEventAt time.Time
	maxGap      time.Duration
	waitTime    time.Duration
	// blockedBy is what the request last waited for in the queue, or nil.
	blockedBy error
	// estimate is how long the request was last expected to take, which is only estimated
	// during a shutdown.
	estimate time.Duration
}

// ServeHTTP forwards one request of a caller to a backend server and relays the
// response.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{
		g:            g,
		w:            w,
		r:            r,
		arrivedAt:    time.Now(),
		triedServers: make(map[string]bool),
		conn: &callerConn{
			rc:       http.NewResponseController(w),
			obs:      g.obs,
			shutdown: g.shutdown,
		},
	}
	defer x.end()
	x.metadata, x.metadataErr = g.codec.ParseRequest(r.Header)
	c := g.catalog.Load()
	if c != nil {
		// The route is looked up again after the body.
		x.route, _ = c.Route(r.Host, requestPath(r))
	}
	x.held = g.holdings.Open(x.memoryOwner(c))
	defer x.held.Close()
	if err := x.reserveRequestMemory(); err != nil {
		x.conn.setReadDeadline(time.Now().Add(refusedBodyTime))
		x.refuse(statusOf(err), err)
		return
	}
	if err := x.readBody(c); err != nil {
		x.refuse(statusOf(err), err)
		return
	}
	x.receivedAt = time.Now()
	// A version with revocations may have come into force while the body was read.
	if err := x.resolve(g.catalog.Load()); err != nil {
		x.refuse(statusOf(err), err)
		return
	}
	if err := x.checkShutdown(); err != nil {
		x.refuse(statusOf(err), err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, cancel = x.endWithShutdown(ctx)
	defer cancel()
	x.run(ctx)
}

// end ends the exchange. What follows its failures up may keep it for longer, but not its
// body, whose memory counts as released.
func (x *exchange) end() {
	x.conn.end()
	x.body = nil
}

// requestPath returns the path of a request as the caller sent it.
func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// refusal is an error with the HTTP status that the caller gets.
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

// bodyLimit returns the largest body that the configuration allows, in bytes.
func bodyLimit(c *pwcatalog.Catalog) int64 {
	if c != nil && c.Limits().BodyBytes > 0 {
		return c.Limits().BodyBytes
	}
	return defaultMaxBodyBytes
}

// memoryOwner returns the workspace for which the memory of the request is held, or "" if
// the configuration has no workspaces.
func (x *exchange) memoryOwner(c *pwcatalog.Catalog) string {
	if c == nil || !c.RequiresKey() {
		return ""
	}
	if ws, ok := c.WorkspaceByKey(x.metadata.Credential); ok {
		return ws.Name
	}
	return unknownWorkspace
}

// reserveRequestMemory reserves the memory of the request besides its body. It returns a
// refusal if none is left.
func (x *exchange) reserveRequestMemory() error {
	if err := x.held.Acquire(pwholding.Requests, requestOverheadBytes); err != nil {
		return x.newMemoryRefusal(err)
	}
	return nil
}

// newMemoryRefusal returns the refusal of a request that has not been sent and for which no
// memory is left.
func (x *exchange) newMemoryRefusal(err error) error {
	x.g.obs.Count("requests_refused_memory", 1)
	return newRefusal(http.StatusServiceUnavailable, pwverdict.CauseQueueFull, "%v", err)
}

func (x *exchange) readBody(c *pwcatalog.Catalog) error {
	if x.r.ContentLength == 0 {
		return nil
	}
	stop := x.limitBodyTime()
	limit := bodyLimit(c)
	// Memory is reserved as the body arrives: callers that send slowly hold what they have
	// sent, and not what they may send.
	body, err := readHeld(http.MaxBytesReader(x.w, x.r.Body, limit), x.held, pwholding.Bodies, mostBytes(x.r.ContentLength, limit))
	stop()
	if err == nil {
		x.conn.endBody()
	} else {
		// The rest of the body is not read, so the connection can't carry another request.
		x.w.Header().Set("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	var full *pwholding.FullError
	switch {
	case errors.As(err, &full):
		return x.newMemoryRefusal(err)
	case errors.As(err, &tooLarge):
		return newRefusal(http.StatusRequestEntityTooLarge, pwverdict.CauseBadRequest, "the request body exceeds %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded) && x.g.shutdown.hasBegun():
		return newDrainRefusal("the process stops before the request body has arrived")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return newRefusal(http.StatusRequestTimeout, pwverdict.CauseDeadlineExceeded, "the request body has not arrived within %s", x.timeout())
	case err != nil:
		return newRefusal(http.StatusBadRequest, pwverdict.CauseBadRequest, "reading the request body: %v", err)
	}
	x.body = body
	return nil
}

// resolve sets the route, the workspace, the service and the deadline of the
// request. It returns a refusal for a request that must not be sent.
func (x *exchange) resolve(c *pwcatalog.Catalog) error {
	x.route = nil
	if x.metadataErr != nil {
		return newRefusal(http.StatusBadRequest, pwverdict.CauseBadRequest, "%v", x.metadataErr)
	}
	if c == nil {
		return newRefusal(http.StatusServiceUnavailable, pwverdict.CauseUnavailable, "the gateway has no configuration yet")
	}
	route, ok := c.Route(x.r.Host, requestPath(x.r))
	if !ok {
		return x.newUnknownRefusal(c, http.StatusNotFound, pwverdict.CauseNotFound, "no route for this host and path")
	}
	x.route = route
	x.priority = [2]int{route.Priority, route.Priority}
	if c.RequiresKey() {
		x.stripCredential = true
		ws, ok := c.WorkspaceByKey(x.metadata.Credential)
		if !ok && !route.Public {
			return x.newUnknownRefusal(c, http.StatusUnauthorized, pwverdict.CauseUnauthenticated, "unknown key")
		}
		if ok {
			x.workspace = ws.Name
			if ws.Priority >= 0 {
				x.priority[0] = ws.Priority
			}
		}
	}
	x.service = route.PickService(rand.Float64())
	x.deadline = x.arrivedAt.Add(x.timeout())
	x.lastEventID = x.metadata.LastEventID
	x.fingerprint = fingerprint(x.r.RequestURI, x.workspace, x.body)
	x.sharedParts = sharedParts(x.metadata.PromptParts)
	if err := x.g.crashes.checkQuarantine(x); err != nil {
		return &refusal{
			error:  err,
			status: http.StatusServiceUnavailable,
		}
	}
	return nil
}

// newUnknownRefusal returns the refusal of an unknown route or key. It has the given
// status, on which callers do not retry, only while the store responds and all parts of
// the configuration could be read. Otherwise a newer configuration, or the unreadable part,
// may have the route or key, and the status is 503.
func (x *exchange) newUnknownRefusal(c *pwcatalog.Catalog, status int, cause pwverdict.Cause, reason string) error {
	if time.Since(x.g.storeContact()) > maxStoreContactAge {
		return newRefusal(http.StatusServiceUnavailable, cause,
			"%s, but the configuration may be out of date: the store last answered %s ago",
			reason, time.Since(x.g.storeContact()).Round(time.Millisecond))
	}
	if n := len(c.Unreadable()); n > 0 {
		return newRefusal(http.StatusServiceUnavailable, cause, "%s, but %d parts of the configuration cannot be read", reason, n)
	}
	return newRefusal(status, cause, "%s", reason)
}

// run sends the request, and retries it on other servers, until it has a response
// or can't be retried.
func (x *exchange) run(ctx context.Context) {
	x.g.dispatcher.countRequest(x.service)
	for {
		plan, assignment, err := x.acquire(ctx)
		if err != nil {
			x.finishWithError(ctx, err)
			return
		}
		retryable, err := x.trySend(ctx, plan, assignment)
		if err == nil {
			x.g.crashes.recordRequestEnd(x.fingerprint)
			x.g.shutdown.durations.Record(time.Now(), x.route.Name, time.Since(x.arrivedAt))
			return
		}
		if !retryable || ctx.Err() != nil {
			x.finishWithError(ctx, err)
			return
		}
		x.logRetry(plan, err)
	}
}

// fleetRequest returns the properties of the request that its placement depends on.
func (x *exchange) fleetRequest() pwfleet.Request {
	return pwfleet.Request{
		Service:         x.service,
		PromptTokens:    x.metadata.PromptTokens,
		MaxOutputTokens: x.metadata.MaxOutputTokens,
		DataCentre:      x.g.cfg.Deployment.DataCentre,
		Exclude:         x.triedServers,
		MaxGap:          x.route.TargetGap,
	}
}

// target returns the target of the route. Without one, it is all the time that the caller
// waits.
func (x *exchange) target() time.Duration {
	switch {
	case x.route.Target > 0:
		return x.route.Target
	case x.route.Kind == pwcatalog.Streaming:
		return min(x.timeout(), x.g.cfg.Policy.abandonTime(x.route))
	default:
		return x.timeout()
	}
}

// acquire waits until the request is placed on a server.
func (x *exchange) acquire(ctx context.Context) (pwfleet.Plan, *pwfleet.Assignment, error) {
	now := time.Now()
	p := &pendingRequest{
		id:                 x.metadata.ID,
		req:                x.fleetRequest(),
		workspace:          x.workspace,
		priority:           x.priority,
		arrivedAt:          x.arrivedAt,
		firstTokenDeadline: x.arrivedAt.Add(x.target()),
		abandonAt:          x.deadline,
		noServerWaitUntil:  x.arrivedAt.Add(time.Duration(x.g.cfg.Policy.NoServerWaitShare * float64(x.target()))),
		capacityWaitUntil:  x.deadline,
		// An attempt that is repeated has had its turn already.
		mayShed: x.route.Target > 0 && x.sends == 0 && x.rejections == 0 && !x.headWritten,
	}
	if x.route.Kind == pwcatalog.Streaming {
		abandonTime := x.g.cfg.Policy.abandonTime(x.route)
		from := x.arrivedAt
		if !x.firstEventAt.IsZero() {
			from = now
		}
		if latest := from.Add(abandonTime); latest.Before(p.abandonAt) {
			p.abandonAt = latest
		}
		p.capacityWaitUntil = from.Add(time.Duration(x.g.cfg.Policy.WaitShare * float64(abandonTime)))
	}
	if !x.headWritten {
		// A stream that has begun can't be refused any more.
		var cancel context.CancelFunc
		ctx, cancel = x.g.shutdown.endBefore(ctx, x.neededTime)
		defer cancel()
	}
	plan, assignment, err := x.g.dispatcher.acquire(ctx, p)
	if errors.Is(err, errStopping) {
		err = newDrainRefusal("the process stops before the request, which waits for an engine, can finish")
	}
	x.waitTime += time.Since(now)
	x.blockedBy = p.blockedBy
	return plan, assignment, err
}

// errCallerLeft is returned for a request that is not sent because its caller has closed
// the connection.
var errCallerLeft = pwverdict.New(pwverdict.NotRun, pwverdict.CauseCancelled, "the caller has closed the connection")

// trySend sends the request to the planned server and relays the response. With an
// error it returns whether the request may be retried on another server.
func (x *exchange) trySend(ctx context.Context, plan pwfleet.Plan, assignment *pwfleet.Assignment) (retryable bool, err error) {
	placedAt := time.Now()
	defer x.g.dispatcher.end(plan, assignment, placedAt)
	remaining := time.Until(x.deadline)
	if remaining < minSendTime {
		return false, pwverdict.New(pwverdict.NotRun, pwverdict.CauseDeadlineExceeded,
			"the deadline is too close to send the request: %s left, at least %s needed",
			remaining.Round(time.Microsecond), minSendTime)
	}
	if hasCallerLeft(x.r.Context()) {
		return false, errCallerLeft
	}
	if !x.headWritten {
		if err := x.checkShutdown(); err != nil {
			return false, err
		}
	}
	// Servers may have crashed under the request or a part of its prompt since it arrived.
	if err := x.g.crashes.checkQuarantine(x); err != nil {
		return false, err
	}
	if err := x.reserveServerMemory(plan.Server); err != nil {
		x.rejections++
		x.triedServers[plan.Server.ID] = true
		return x.rejections < x.g.cfg.Policy.MaxRejections, err
	}
	defer x.g.serverBodies.Release(plan.Server.ID, int64(len(x.body)))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	helpers, release, err := x.reserveEngineMemory(ctx, plan)
	if err != nil {
		x.rejections++
		return x.rejections < x.g.cfg.Policy.MaxRejections, err
	}
	defer release()
	if x.sends > 0 && !x.retryTaken {
		if err := x.g.dispatcher.takeRetry(x.service); err != nil {
			return false, err
		}
	}
	x.retryTaken = false
	s := &send{
		x:            x,
		plan:         plan,
		assignment:   assignment,
		helpers:      helpers,
		placedAt:     placedAt,
		eventsBefore: x.eventCount,
		runsBefore:   x.runs,
	}
	retryable, err = s.execute(ctx)
	x.retryTaken = s.retryTaken
	return retryable, err
}

// reserveServerMemory reserves the memory of a server that the body of the request takes.
func (x *exchange) reserveServerMemory(s pwcatalog.BackendServer) error {
	others := 0
	if len(x.body) > pwholding.ShortBodyBytes {
		x.g.dispatcher.withFleet(func(_ time.Time, f *pwfleet.Fleet) { others = f.PeerRequests(s.ID) })
	}
	if x.g.serverBodies.Acquire(s.ID, x.service, int64(len(x.body)), others) {
		return nil
	}
	x.g.obs.Count("server_bodies_refused", 1)
	return pwverdict.New(pwverdict.NotRun, pwverdict.CauseQueueFull, "%s holds too many bytes of request bodies", s.ID)
}

// finishWithError ends a request that failed. A caller that has left, or has the head of a
// streamed response already, gets no response; its connection is aborted.
func (x *exchange) finishWithError(ctx context.Context, err error) {
	if errors.Is(err, errUnread) {
		x.g.obs.Count("streams_ended_unread", 1)
		x.logOutcome("cut", err)
		x.abort()
	}
	if x.r.Context().Err() != nil || errors.Is(err, errCallerLeft) {
		x.logOutcome("caller_left", err)
		// Without a response of the handler, the server would write an empty 200, and the
		// caller may still read.
		x.abort()
	}
	if x.headWritten {
		x.logOutcome("cut", err)
		x.abort()
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

// abort ends the connection so that a response which has begun can't look complete.
func (x *exchange) abort() {
	if !x.canChunk() {
		resetOnClose(x.r.Context(), true)
	}
	panic(http.ErrAbortHandler)
}

// canChunk reports whether the caller can get a response in chunks, which show its end.
func (x *exchange) canChunk() bool { return x.r.ProtoAtLeast(1, 1) }

// refuse writes an error response of the gateway.
func (x *exchange) refuse(status int, err error) {
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		x.g.codec.SetRetryAfter(h, x.retryAfter(err))
	}
	h.Set("Content-Type", "application/json")
	x.writeStatus(status, time.Now().Add(writeGrace))
	// A write error is ignored: the caller may have left, and nothing depends on
	// this body.
	_, _ = fmt.Fprintf(x.w, `{"error":%s}`, strconv.Quote(string(pwverdict.CauseOf(err))))
	x.logStatus("refused", status, err)
}

// writeStatus writes the status and the headers of the response, the rest of which must be
// written by latest.
func (x *exchange) writeStatus(status int, latest time.Time) {
	if x.g.shutdown.hasBegun() {
		x.w.Header().Set("Connection", "close")
	}
	x.conn.setWriteDeadline(latest)
	x.w.WriteHeader(status)
}

// retryAfter returns the Retry-After of a refusal. It is random unless the refusal
// states one, so that refused callers don't all return at once.
func (x *exchange) retryAfter(err error) time.Duration {
	var e *pwverdict.Error
	if errors.As(err, &e) && e.RetryAfter() > 0 {
		return min(e.RetryAfter(), maxRetryAfter)
	}
	if pwverdict.CauseOf(err) == pwverdict.CauseQuarantined {
		return maxRetryAfter
	}
	wait := 400 * time.Millisecond
	if x.route != nil && x.route.Target > 0 {
		wait = x.route.Target
	}
	return jitter(min(wait, maxRetryAfter))
}

// logFields returns the log fields that identify the request, and those of extra,
// which alternates keys and values.
func (x *exchange) logFields(extra ...any) log.Fields {
	f := log.Fields{
		"request": x.metadata.ID,
		"age_ms":  time.Since(x.arrivedAt).Milliseconds(),
	}
	if x.route != nil {
		f["route"] = x.route.Name
		f["service"] = x.service
	}
	if x.workspace != "" {
		f["workspace"] = x.workspace
	}
	for i := 0; i+1 < len(extra); i += 2 {
		f[extra[i].(string)] = extra[i+1]
	}
	return f
}

// logOutcome logs the end of a request without a status for the caller.
func (x *exchange) logOutcome(event string, err error) { x.logStatus(event, 0, err) }

// logStatus logs the end of a request with the caller's status, or 0 for none.
func (x *exchange) logStatus(event string, status int, err error) {
	f := x.logFields(
		"sends", x.sends,
		"runs", x.runs,
		"events", x.eventCount,
		"waited_ms", x.waitTime.Milliseconds(),
		"tokens", x.metadata.PromptTokens,
	)
	if status != 0 {
		f["status"] = status
	}
	if !x.firstEventAt.IsZero() {
		f["first_ms"] = x.firstEventAt.Sub(x.arrivedAt).Milliseconds()
		f["max_gap_ms"] = x.maxGap.Milliseconds()
	}
	if err != nil {
		f["cause"] = pwverdict.CauseOf(err)
		f["verdict"] = pwverdict.VerdictOf(err).String()
		f["error"] = err.Error()
	}
	x.addShutdownFields(f)
	if err == nil && status < http.StatusInternalServerError {
		x.g.obs.LogRoutineEvent(event, f)
		return
	}
	x.g.obs.LogEvent(event, f)
}

func (x *exchange) logRetry(plan pwfleet.Plan, err error) {
	x.g.obs.LogEvent("repeated", x.logFields(
		"backend_server", plan.Server.ID,
		"sends", x.sends,
		"runs", x.runs,
		"events", x.eventCount,
		"cause", pwverdict.CauseOf(err),
		"error", err.Error(),
	))
}
