package pwgateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwupstream"
)

const (
	// maxStrayAnswers bounds the answers to other requests that are skipped on
	// one connection.
	maxStrayAnswers = 2
	// maxAnswerBytes bounds an answer that is held until it is complete.
	maxAnswerBytes = 8 << 20
	// reserveTimeout bounds an order to an engine.
	reserveTimeout = 700 * time.Millisecond
	// releaseTimeout bounds the return of memory; later the lease ends it.
	releaseTimeout = 3 * time.Second
	// holdMargin is kept from the time in which memory must be free again.
	holdMargin = 300 * time.Millisecond
	// renewalsPerHold is how often a reservation is renewed before it would end.
	renewalsPerHold = 2.5
	// releaseInterval is the pause between tries to return memory.
	releaseInterval = 200 * time.Millisecond
)

// send is one request on its way to one server.
type send struct {
	x       *exchange
	plan    pwfleet.Plan
	booking *pwfleet.Booking
	helpers []Helper
	conn    *pwupstream.Conn
	dog     *watchdog
	pauses  pauses
	// silent is set when the watchdog ended the send.
	silent atomic.Bool
}

// do sends the request and delivers the answer.
func (s *send) do(ctx context.Context) (again bool, err error) {
	x := s.x
	conn, err := x.g.pool.Get(ctx, s.plan.Server.Address)
	if err != nil {
		s.failed(pwfleet.FailureConnect)
		x.rejections++
		return x.rejections < x.g.cfg.Policy.MaxRejections, err
	}
	s.conn = conn
	defer func() {
		if s.conn != nil {
			s.conn.Close()
		}
	}()
	h := forwardHeader(x.r.Header)
	x.g.codec.SetForwardHeaders(h, ForwardMetadata{
		Instance:        s.plan.Server.ID,
		Workspace:       x.workspace,
		StripCredential: x.keyed,
		Remaining:       time.Until(x.deadline),
		LastEventID:     x.lastEvent,
		Urgency:         urgency(x, s.plan),
		Helpers:         s.helpers,
	})
	s.logSent()
	x.sends++
	s.dog = s.watch()
	defer s.dog.stop()
	// Closing a body would read the rest of it; the connection is closed or released instead.
	resp, err := conn.Do(ctx, &pwupstream.Request{ //nolint:bodyclose
		Method: x.r.Method,
		Target: x.r.RequestURI,
		Host:   x.r.Host,
		Header: h,
		Body:   x.body,
	})
	if err != nil {
		return s.broken(err)
	}
	resp, answer, err := s.match(resp) //nolint:bodyclose
	if err != nil {
		return s.broken(err)
	}
	if answer.NotRun || answer.Misdirected {
		return s.rejected(resp, answer)
	}
	x.runs++
	if resp.StatusCode/100 == 2 && !answer.Signed {
		return s.lost(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "an answer without the server's signature"), pwfleet.FailureResponse)
	}
	if x.route.Kind == pwcatalog.Streaming && resp.StatusCode/100 == 2 {
		return s.stream(resp)
	}
	return s.whole(resp)
}

// Urgencies that engines are told; 0 is the most urgent and 9 the least.
const (
	urgencyShort = 1
	urgencyLong  = 5
	// maxUrgencySteps bounds what a priority adds for short prompts.
	maxUrgencySteps = 2
)

// urgency ranks requests at an engine. Engines starve less urgent reading while
// more urgent one arrives, so that long prompts share one rank: their priority
// counts in the queue of this process.
func urgency(x *exchange, plan pwfleet.Plan) int {
	if !plan.Short {
		return urgencyLong
	}
	return urgencyShort + min(maxUrgencySteps, max(0, x.priority[0]))
}

// safeTimeout is how long a server may be silent to a call that another one
// may answer.
func (s *send) safeTimeout() time.Duration {
	return time.Duration(s.x.g.cfg.Policy.SafeTimeoutTargetMultiple * float64(s.x.route.Target))
}

// match skips answers that belong to other requests.
func (s *send) match(resp *http.Response) (*http.Response, ResponseMetadata, error) {
	for stray := 0; ; stray++ {
		answer := s.x.g.codec.ParseResponse(resp)
		if answer.ID == s.x.call.ID || answer.ID == "" && resp.StatusCode/100 != 2 {
			return resp, answer, nil
		}
		if answer.ID == "" || stray == maxStrayAnswers || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ResponseMetadata{}, pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "the answer belongs to request %q", answer.ID)
		}
		s.x.g.obs.Count("stray_answers", 1)
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err != nil {
			return nil, ResponseMetadata{}, pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "skipping an answer to another request")
		}
		next, err := s.conn.ReadResponse(s.x.r.Method)
		if err != nil {
			return nil, ResponseMetadata{}, err
		}
		// A connection that has carried a stray answer is not used again.
		next.Close = true
		resp = next
	}
}

// rejected handles an answer that says that the request has not run.
func (s *send) rejected(resp *http.Response, a ResponseMetadata) (bool, error) {
	x := s.x
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxAnswerBytes)); err == nil {
		s.release(resp)
	}
	fault := s.plan.Server.ID
	for _, h := range s.plan.Helpers {
		if a.RejectedBy != "" && h.Address == a.RejectedBy {
			fault = h.ID
		}
	}
	x.g.dispatch.with(func(now time.Time, f *pwfleet.Fleet) {
		switch {
		case a.Misdirected:
			f.MarkReplaced(fault)
		case fault != s.plan.Server.ID:
			f.MarkHelpRefused(now, fault)
		default:
			f.MarkFull(now, fault)
		}
	})
	x.rejections++
	cause := pwverdict.CauseMemoryFull
	if fault != s.plan.Server.ID {
		cause = pwverdict.CauseUnavailable
	}
	err := pwverdict.New(pwverdict.NotRun, cause, "%s rejected the request with %d", fault, resp.StatusCode)
	return x.rejections < x.g.cfg.Policy.MaxRejections, err
}

// broken handles a request without an answer.
func (s *send) broken(err error) (bool, error) {
	s.x.runs++
	return s.lost(err, pwfleet.FailureReset)
}

// lost handles a server that may have run the request and gave no whole answer.
func (s *send) lost(err error, how pwfleet.Failure) (bool, error) {
	x := s.x
	if x.r.Context().Err() != nil || time.Until(x.deadline) <= 0 {
		return false, err
	}
	if s.silent.Load() {
		how = pwfleet.FailureResponse
	}
	s.failed(how)
	x.tried[s.plan.Server.ID] = true
	if s.silent.Load() {
		err = pwverdict.Wrap(errSilent, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "%s", s.plan.Server.ID)
	} else {
		go x.g.probeCrash(x, s.plan.Server.Address)
	}
	return x.route.Repeatable() && x.runs < x.route.Attempts, err
}

func (s *send) failed(how pwfleet.Failure) {
	var pause time.Duration
	s.x.g.dispatch.with(func(now time.Time, f *pwfleet.Fleet) {
		pause = f.RecordFailure(now, s.plan.Server.ID, how)
	})
	s.x.g.obs.Event("server_suspect", s.x.fields(
		"backend_server", s.plan.Server.ID,
		"pause_ms", pause.Milliseconds(),
	))
}

func (s *send) release(resp *http.Response) {
	s.dog.stop()
	s.conn.Release(resp)
	s.conn = nil
}

// whole delivers an answer that is held until it is complete.
func (s *send) whole(resp *http.Response) (bool, error) {
	x := s.x
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err == nil && len(body) > maxAnswerBytes {
		err = errors.New("the answer is too large")
	}
	if err != nil {
		return s.lost(pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseEngineFailed, "the answer broke off"), pwfleet.FailureReset)
	}
	if x.started {
		// The head of a stream has been delivered; only events may follow it.
		return s.lost(pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseEngineFailed,
			"%s answered %d instead of going on with the stream", s.plan.Server.ID, resp.StatusCode), pwfleet.FailureResponse)
	}
	s.release(resp)
	if resp.StatusCode >= http.StatusInternalServerError && s.x.runs < x.route.Attempts && x.route.Repeatable() &&
		time.Until(x.deadline) > x.route.Target/2 {
		if x.route.Kind == pwcatalog.Streaming {
			s.failed(pwfleet.FailureResponse)
		}
		x.tried[s.plan.Server.ID] = true
		return true, pwverdict.New(pwverdict.Ran, pwverdict.CauseEngineFailed, "%s answered %d", s.plan.Server.ID, resp.StatusCode)
	}
	s.succeeded(resp)
	copyHeader(x.w.Header(), resp.Header)
	x.w.WriteHeader(resp.StatusCode)
	if _, err := x.w.Write(body); err != nil {
		x.log("caller_left", err)
		return false, nil
	}
	x.logStatus("answered", resp.StatusCode, nil)
	return false, nil
}

func (s *send) succeeded(resp *http.Response) {
	if resp.StatusCode < http.StatusInternalServerError {
		s.x.g.dispatch.with(func(_ time.Time, f *pwfleet.Fleet) { f.RecordSuccess(s.plan.Server.ID) })
	}
}

// reserve sets the memory of a large prompt aside, all or nothing.
func (x *exchange) reserve(ctx context.Context, plan pwfleet.Plan) ([]Helper, func(), error) {
	helpers := make([]Helper, 0, len(plan.Helpers)+1)
	if len(plan.Reservations) == 0 {
		for _, h := range plan.Helpers {
			helpers = append(helpers, Helper{
				Address: h.Address,
			})
		}
		return helpers, func() {}, nil
	}
	id := x.reservation()
	hold := x.g.hold()
	type result struct {
		r   pwfleet.Reservation
		ok  bool
		err error
	}
	results := make(chan result, len(plan.Reservations))
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	orders := 0
	for _, r := range plan.Reservations {
		if r.Tokens == 0 {
			continue
		}
		orders++
		go func() {
			ok, err := x.g.engines.Reserve(ctx, r.Server, id, r.Tokens, hold)
			results <- result{
				r:   r,
				ok:  ok,
				err: err,
			}
		}()
	}
	var failed error
	for range orders {
		switch res := <-results; {
		case res.err != nil:
			failed = res.err
			x.g.dispatch.with(func(now time.Time, f *pwfleet.Fleet) {
				if pwverdict.CauseOf(res.err) == pwverdict.CauseOutOfService {
					f.MarkReplaced(res.r.Server.ID)
				} else if ctx.Err() == nil {
					f.RecordFailure(now, res.r.Server.ID, pwfleet.FailureResponse)
				}
			})
		case !res.ok:
			failed = pwverdict.New(pwverdict.NotRun, pwverdict.CauseMemoryFull, "%s has no %d tokens free", res.r.Server.ID, res.r.Tokens)
			x.g.dispatch.with(func(now time.Time, f *pwfleet.Fleet) { f.MarkFull(now, res.r.Server.ID) })
		}
	}
	release := func() { x.release(plan, id) }
	if failed != nil {
		// An order that got no answer may still be carried out.
		release()
		x.g.obs.Event("reservation_failed", x.fields("cause", pwverdict.CauseOf(failed), "error", failed.Error()))
		return nil, nil, failed
	}
	for i, r := range plan.Reservations {
		h := Helper{
			Address: r.Server.Address,
		}
		if r.Tokens > 0 {
			h.ReservationID = id
		} else if i == 0 {
			continue
		}
		helpers = append(helpers, h)
	}
	renewing, stop := context.WithCancel(x.r.Context())
	go x.loopRenew(renewing, plan, id, hold)
	return helpers, func() {
		stop()
		release()
	}, nil
}

// hold is how long a reservation lasts without renewal: memory must be free
// soon after this process dies.
func (g *Gateway) hold() time.Duration {
	b := g.cfg.Deployment.Bounds
	return min(b.MaxReservationTime, max(b.ReleaseTimeout-holdMargin, 2*holdMargin))
}

// loopRenew keeps reserved memory while its request runs.
func (x *exchange) loopRenew(ctx context.Context, plan pwfleet.Plan, id string, hold time.Duration) {
	t := time.NewTicker(time.Duration(float64(hold) / renewalsPerHold))
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, r := range plan.Reservations {
			if r.Tokens > 0 {
				go x.renewOne(ctx, r, id, hold)
			}
		}
	}
}

func (x *exchange) renewOne(ctx context.Context, r pwfleet.Reservation, id string, hold time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	ok, err := x.g.engines.Reserve(ctx, r.Server, id, r.Tokens, hold)
	if ctx.Err() == nil && (err != nil || !ok) {
		f := x.fields("backend_server", r.Server.ID, "held", ok)
		if err != nil {
			f["error"] = err.Error()
		}
		x.g.obs.Event("renewal_failed", f)
	}
}

// reservation names the memory of this try; another try has another name.
func (x *exchange) reservation() string {
	return x.call.ID + "." + string(rune('a'+min(25, x.sends+x.rejections)))
}

// release gives reserved memory back, also after the caller has left.
func (x *exchange) release(plan pwfleet.Plan, id string) {
	for _, r := range plan.Reservations {
		if r.Tokens > 0 {
			go x.releaseOne(r, id)
		}
	}
}

func (x *exchange) releaseOne(r pwfleet.Reservation, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	for {
		err := x.g.engines.Release(ctx, r.Server, id)
		if err == nil {
			return
		}
		select {
		case <-ctx.Done():
			x.g.obs.Event("release_failed", x.fields("backend_server", r.Server.ID, "error", err.Error()))
			return
		case <-time.After(releaseInterval):
		}
	}
}

func (s *send) logSent() {
	x := s.x
	blocked := ""
	if x.blocked != nil {
		blocked = x.blocked.Error()
	}
	x.g.obs.Routine("sent", x.fields(
		"waited_ms", x.waited.Milliseconds(),
		"waited_for", blocked,
		"backend_server", s.plan.Server.ID,
		"reason", s.plan.Reason,
		"helpers", len(s.helpers),
		"reserved", len(s.plan.Reservations),
		"part_ms", int(s.plan.PartPrefillMS),
		"ahead_ms", int(s.plan.PrefillAheadMS),
		"helper_servers", helperIDs(s.plan),
		"tokens", x.call.PromptTokens,
		"reused", s.conn.Reused(),
		"sends", x.sends,
		"after_event", x.lastEvent,
	))
}

// helperIDs lists the engines that read parts.
func helperIDs(p pwfleet.Plan) string {
	ids := make([]string, 0, len(p.Helpers))
	for _, h := range p.Helpers {
		ids = append(ids, h.ID)
	}
	return strings.Join(ids, ",")
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardHeader copies the headers that concern more than one connection.
func forwardHeader(in http.Header) http.Header {
	h := in.Clone()
	for _, list := range in["Connection"] {
		for name := range bytes.SplitSeq([]byte(list), []byte(",")) {
			h.Del(string(bytes.TrimSpace(name)))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
	return h
}

// copyHeader copies the headers of an answer.
func copyHeader(out, in http.Header) {
	for name, values := range forwardHeader(in) {
		out[name] = values
	}
	if in.Get("Content-Type") == "" {
		// Keeps the library from guessing one.
		out["Content-Type"] = nil
	}
}
