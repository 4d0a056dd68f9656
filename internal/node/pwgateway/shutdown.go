package pwgateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwdrain"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// drainRetryAfter is the mean Retry-After of requests that are refused because the process
// stops. It is short, because other processes can serve them now.
const drainRetryAfter = 50 * time.Millisecond

// lastWriteTime is the time in which the last bytes of responses may be written when the
// shutdown is over.
const lastWriteTime = 100 * time.Millisecond

// errStopping is the reason for requests that end because the process stops.
var errStopping = errors.New("the process stops")

// shutdown is the planned end of a gateway. Before it begins, its times are not known.
type shutdown struct {
	durations *pwdrain.Durations
	// begun is done when the shutdown begins, and over at answerBy.
	begun, over       context.Context
	begin, markAsOver context.CancelFunc

	mu sync.Mutex
	// beganAt is when the shutdown began, answerBy the time by which each request must have
	// its answer. Streams that have arrived after streamsUntil are only taken if they end by
	// answerBy in any case.
	beganAt, streamsUntil, answerBy time.Time
}

func newShutdown() *shutdown {
	s := &shutdown{
		durations: pwdrain.NewDurations(),
	}
	s.begun, s.begin = context.WithCancel(context.Background())
	s.over, s.markAsOver = context.WithCancel(context.Background())
	return s
}

// BeginShutdown makes further responses ask callers to close their connections, and refuses
// requests that can't finish until answerBy. Requests that still run then are ended: they
// get a failure, or, if their response has begun, an aborted connection. To streams, which can
// get no failure once they have begun, that must not happen if they arrive after streamsUntil.
func (g *Gateway) BeginShutdown(streamsUntil, answerBy time.Time) {
	s := g.shutdown
	s.mu.Lock()
	s.beganAt, s.streamsUntil, s.answerBy = time.Now(), streamsUntil, answerBy
	s.mu.Unlock()
	s.begin()
	time.AfterFunc(time.Until(answerBy), s.markAsOver)
}

func (s *shutdown) hasBegun() bool { return s.begun.Err() != nil }

func (s *shutdown) isOver() bool { return s.over.Err() != nil }

// deadline returns the time by which each request must have its answer. ok is false while
// the shutdown has not begun.
func (s *shutdown) deadline() (answerBy time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerBy, !s.answerBy.IsZero()
}

// endBefore returns a context that also ends when the shutdown has begun and less than
// need() is left of it.
func (s *shutdown) endBefore(ctx context.Context, need func() time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.begun, func() {
		answerBy, _ := s.deadline()
		timer := time.AfterFunc(time.Until(answerBy)-need(), func() { cancel(errStopping) })
		context.AfterFunc(ctx, func() { timer.Stop() })
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endWithShutdown returns a context that also ends when the shutdown is over. Then a write
// to a caller that does not read ends, too.
func (x *exchange) endWithShutdown(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(x.g.shutdown.over, func() {
		cancel(errStopping)
		x.conn.setWriteDeadline(time.Now().Add(lastWriteTime))
	})
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// timeout returns how long the request may take.
func (x *exchange) timeout() time.Duration {
	timeout := defaultTimeout
	if x.metadata.Timeout > 0 {
		timeout = x.metadata.Timeout
	}
	if x.route != nil && x.route.Timeout > 0 {
		timeout = min(timeout, x.route.Timeout)
	}
	return timeout
}

// neededTime returns the time that the request must have left to be sent: that of recent
// requests of its route, or all that it may take if there were none.
func (x *exchange) neededTime() time.Duration { return x.g.shutdown.neededTime(x.route, x.timeout()) }

func (s *shutdown) neededTime(route *pwcatalog.Route, timeout time.Duration) time.Duration {
	if route == nil {
		return timeout
	}
	confidence := pwdrain.Certain
	if route.Repeatable() {
		confidence = pwdrain.Likely
	}
	return s.durations.Needed(time.Now(), route.Name, timeout, confidence)
}

// checkShutdown returns a refusal if the process stops before the request can finish.
func (x *exchange) checkShutdown() error {
	left, need, ok := x.shutdownTimes()
	if !ok {
		return nil
	}
	x.estimate = need
	if need <= left {
		return nil
	}
	return newDrainRefusal("the process stops in %s, the request may take %s",
		left.Round(time.Millisecond), need.Round(time.Millisecond))
}

// shutdownTimes returns how long the process still serves and how long the request may take.
// ok is false while the shutdown has not begun.
func (x *exchange) shutdownTimes() (left, need time.Duration, ok bool) {
	answerBy, ok := x.g.shutdown.deadline()
	if !ok {
		return 0, 0, false
	}
	need = time.Until(x.deadline)
	if !x.isLateStream() {
		need = min(need, x.neededTime())
	}
	return time.Until(answerBy), need, true
}

// isLateStream reports whether the request is a stream that must not be cut by the shutdown.
func (x *exchange) isLateStream() bool {
	s := x.g.shutdown
	s.mu.Lock()
	defer s.mu.Unlock()
	return x.route.Kind == pwcatalog.Streaming && !s.beganAt.IsZero() && x.receivedAt.After(s.streamsUntil)
}

// addShutdownFields adds to the log fields of a request how long the shutdown has lasted when
// it came and now, the last estimate of the time that it needed, and how long its answer may be.
func (x *exchange) addShutdownFields(f log.Fields) {
	s := x.g.shutdown
	s.mu.Lock()
	beganAt := s.beganAt
	s.mu.Unlock()
	if beganAt.IsZero() {
		return
	}
	f["stopping_ms"] = time.Since(beganAt).Milliseconds()
	f["arrived_stopping_ms"] = x.arrivedAt.Sub(beganAt).Milliseconds()
	f["output_tokens"] = x.metadata.MaxOutputTokens
	if x.estimate > 0 {
		f["estimate_ms"] = x.estimate.Milliseconds()
	}
}

// newDrainRefusal returns a refusal of a request that the stopping process has not sent.
func newDrainRefusal(format string, args ...any) error {
	return &refusal{
		error: pwverdict.New(pwverdict.NotRun, pwverdict.CauseDraining, format, args...).
			WithRetryAfter(jitter(drainRetryAfter)),
		status: http.StatusServiceUnavailable,
	}
}

// remaining returns how long a server may work on the request.
func (x *exchange) remaining() time.Duration {
	remaining := time.Until(x.deadline)
	if answerBy, ok := x.g.shutdown.deadline(); ok {
		remaining = min(remaining, time.Until(answerBy))
	}
	return remaining
}

// callerConn sets deadlines on the connection of a caller until the exchange has ended.
// Then the connection may carry another request.
type callerConn struct {
	rc       *http.ResponseController
	obs      *pwobserve.Observer
	shutdown *shutdown

	mu sync.Mutex
	// bodyEnded and ended are set when no deadlines for reading, and no deadlines at all,
	// may be set any more.
	bodyEnded, ended bool
}

// setReadDeadline sets the time until which the body may be read.
func (c *callerConn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.bodyEnded && c.rc.SetReadDeadline(t) != nil {
		c.obs.Count("read_deadline_errors", 1)
	}
}

// endBody lifts the deadline for reading after the whole body has been read. While the
// request runs, the server reads from the connection to notice that the caller leaves; a
// deadline would look like that.
func (c *callerConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyEnded = true
	if c.rc.SetReadDeadline(time.Time{}) != nil {
		c.obs.Count("read_deadline_errors", 1)
	}
}

// setWriteDeadline sets the time until which the response may be written.
func (c *callerConn) setWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended && c.rc.SetWriteDeadline(t) != nil {
		c.obs.Count("write_deadline_errors", 1)
	}
}

// extendWriteDeadline is like setWriteDeadline for a response that is being written. After the
// end of the shutdown, its last deadline stays.
func (c *callerConn) extendWriteDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.shutdown.isOver() && !c.ended && c.rc.SetWriteDeadline(t) != nil {
		c.obs.Count("write_deadline_errors", 1)
	}
}

// end prevents further deadlines.
func (c *callerConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyEnded, c.ended = true, true
}

// limitBodyTime bounds the time for reading the body: by the timeout of the request, and in
// a shutdown so that enough is left for the request itself. After stop, the bound does not
// change any more.
func (x *exchange) limitBodyTime() (stop func() bool) {
	s, conn, route, timeout := x.g.shutdown, x.conn, x.route, x.timeout()
	latest := x.arrivedAt.Add(timeout)
	conn.setReadDeadline(latest)
	return context.AfterFunc(s.begun, func() {
		if answerBy, _ := s.deadline(); answerBy.Before(latest) {
			conn.setReadDeadline(answerBy.Add(-s.neededTime(route, timeout)))
		}
	})
}
