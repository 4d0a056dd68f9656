package pwentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwgroup"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// InFlightRequest is a request that this entry runs or follows, with the part of the
// answer received so far. It is kept for Config.FlightRetention after its end. Any number of readers
// can read the answer from any offset.
type InFlightRequest struct {
	entry       *Entry
	request     *pwrequest.Request
	prompt      string
	assignments chan assignment
	ctx         context.Context
	cancel      context.CancelCauseFunc
	// admittedHere is false for a request that another entry runs and that this entry
	// only follows.
	admittedHere bool
	maxAttempts  int
	groupConfig  pwgroup.Config

	// Only the goroutine of run uses the following fields.
	failedAttempts int
	lostServers    int // servers that were lost during an attempt
	refusals       int
	sentAttempts   int64 // attempts sent to agents, including refused ones

	mu             sync.Mutex
	currentAttempt pwrequest.AttemptID
	tokens         []string
	firstToken     time.Time
	ended          bool
	endedAt        time.Time
	reason         string
	err            error
	dispatchErr    error         // why the last dispatch found no server
	changed        chan struct{} // closed and replaced at each change
	currentAddress string
	// mayHaveRun is set if any attempt may have run on a server.
	mayHaveRun     bool
	avoidedServers []avoidedServer
}

// avoidedServer is a server that refused the request and isn't picked again until
// the given time.
type avoidedServer struct {
	server pwrequest.BackendServerID
	until  time.Time
}

func newInFlightRequest(e *Entry, r *pwrequest.Request, prompt string) *InFlightRequest {
	ctx, cancel := context.WithCancelCause(e.lifetimeCtx)
	return &InFlightRequest{
		entry:       e,
		request:     r,
		prompt:      prompt,
		assignments: make(chan assignment, 1),
		ctx:         ctx,
		cancel:      cancel,
		changed:     make(chan struct{}),
	}
}

// Request returns the parameters of the request.
func (f *InFlightRequest) Request() *pwrequest.Request { return f.request }

// Ended reports whether the request is complete, failed or cancelled.
func (f *InFlightRequest) Ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// EndTime returns when the request ended. The second result is false until then.
func (f *InFlightRequest) EndTime() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endedAt, f.ended
}

// FirstToken returns when the first token arrived, or the zero time before that.
func (f *InFlightRequest) FirstToken() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstToken
}

// Err returns why the request failed, or nil if it hasn't.
func (f *InFlightRequest) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// CurrentAttempt returns the identifier of the latest attempt, or an empty one before the
// first.
func (f *InFlightRequest) CurrentAttempt() pwrequest.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.currentAttempt
}

// Status is the state of a request at one time.
type Status struct {
	// State is "queued", "running", "complete" or "failed".
	State string
	// Tokens is the number of tokens received.
	Tokens  int64
	Attempt pwrequest.AttemptID
	// AgentAddress is the host:port of the attempt's agent.
	AgentAddress string
	// Reason is why the answer ended: "stop", "length", "cancelled" or "error". It is
	// empty before the end.
	Reason string
	// Err is why the request failed, or nil if it hasn't.
	Err        error
	AdmittedAt time.Time
}

// Status returns the current state of the request.
func (f *InFlightRequest) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{
		State:        "queued",
		Tokens:       int64(len(f.tokens)),
		Attempt:      f.currentAttempt,
		AgentAddress: f.currentAddress,
		Reason:       f.reason,
		Err:          f.err,
		AdmittedAt:   f.request.AdmittedAt(),
	}
	switch {
	case f.err != nil:
		s.State = "failed"
	case f.ended:
		s.State = "complete"
	case f.currentAttempt != "":
		s.State = "running"
	}
	return s
}

// Read passes the tokens from offset on to emit until the answer ends. It returns why
// the answer ended ("stop", "length" or "cancelled"), or the error with which the
// request failed.
func (f *InFlightRequest) Read(ctx context.Context, offset int64, emit func(offset int64, tokens []string) error) (reason string, err error) {
	for {
		f.mu.Lock()
		var tokens []string
		if offset < int64(len(f.tokens)) {
			tokens = f.tokens[offset:len(f.tokens):len(f.tokens)]
		}
		ended, reason, err, changed := f.ended, f.reason, f.err, f.changed
		f.mu.Unlock()
		switch {
		case len(tokens) > 0:
			if err := emit(offset, tokens); err != nil {
				return "", err
			}
			offset += int64(len(tokens))
		case ended:
			return reason, err
		default:
			select {
			case <-changed:
			case <-ctx.Done():
				return "", ctx.Err()
			}
		}
	}
}

// appendTokens appends tokens that start at offset, and skips those that were received
// before. It returns an error if tokens are missing before offset, because the stream
// must then be resumed.
func (f *InFlightRequest) appendTokens(attempt pwrequest.AttemptID, offset int64, tokens []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	received := int64(len(f.tokens))
	switch {
	case attempt != f.currentAttempt || f.ended:
		return nil // a late event of a replaced attempt or an ended request
	case offset > received:
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "answer stream has a gap: event starts at token %d, but only %d tokens were received", offset, received)
	case offset+int64(len(tokens)) <= received:
		return nil
	}
	if received == 0 {
		f.firstToken = time.Now()
	}
	f.tokens = append(f.tokens, tokens[received-offset:]...)
	f.notifyReaders()
	return nil
}

// receivedTokens returns the tokens received so far, which the next attempt continues.
func (f *InFlightRequest) receivedTokens() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens[:len(f.tokens):len(f.tokens)]
}

// setCurrentAttempt sets the current attempt and sets mayHaveRun. It returns the previous
// value of mayHaveRun, for restoreMayHaveRun.
func (f *InFlightRequest) setCurrentAttempt(a pwrequest.AttemptID, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentAttempt = a
	f.currentAddress = address
	previous := f.mayHaveRun
	f.mayHaveRun = true
	return previous
}

// restoreMayHaveRun restores the value of mayHaveRun from before an attempt that was
// refused.
func (f *InFlightRequest) restoreMayHaveRun(mayHaveRun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mayHaveRun = mayHaveRun
}

// avoidServer excludes a server that refused the request from the picks of the next
// avoidDuration.
func (f *InFlightRequest) avoidServer(server pwrequest.BackendServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.avoidedServers) == maxAvoidedServers {
		f.avoidedServers = slices.Delete(f.avoidedServers, 0, 1)
	}
	f.avoidedServers = append(f.avoidedServers, avoidedServer{
		server: server,
		until:  time.Now().Add(avoidDuration),
	})
}

// excludedServers returns the servers that must not be picked for the request now.
func (f *InFlightRequest) excludedServers(now time.Time) []pwrequest.BackendServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoidedServers = slices.DeleteFunc(f.avoidedServers, func(a avoidedServer) bool { return !now.Before(a.until) })
	var out []pwrequest.BackendServerID
	for _, a := range f.avoidedServers {
		out = append(out, a.server)
	}
	return out
}

// withMayHaveRun returns err with the verdict MayHaveRun if an earlier attempt may have
// run. The verdict of err concerns only the attempt that was about to start.
func (f *InFlightRequest) withMayHaveRun(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayHaveRun {
		return err
	}
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "request was stopped after an attempt that may have run")
}

// setDispatchError sets why the last dispatch found no server for the request.
func (f *InFlightRequest) setDispatchError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dispatchErr = err
}

// notifyReaders wakes all waiting readers. The caller holds f.mu.
func (f *InFlightRequest) notifyReaders() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// finish ends the request, as failed if err is set. Further calls have no effect.
func (f *InFlightRequest) finish(reason string, err error) {
	f.mu.Lock()
	if f.ended {
		f.mu.Unlock()
		return
	}
	f.ended = true
	f.endedAt = time.Now()
	f.reason = reason
	f.err = err
	f.prompt = "" // may be several megabytes
	f.notifyReaders()
	f.mu.Unlock()
	f.cancel(nil)
	f.entry.recordRequestEnd(f)
}

// expire fails a request that hasn't ended by its deadline.
func (f *InFlightRequest) expire() {
	f.fail(pwverdict.CauseDeadlineExceeded, "request was still queued at its deadline", "request had not ended at its deadline")
}

// fail ends a request that hasn't ended yet. The error says queuedDetail if no attempt may
// have run, and otherwise sentDetail.
func (f *InFlightRequest) fail(cause pwverdict.Cause, queuedDetail, sentDetail string) {
	f.mu.Lock()
	verdict, detail := pwverdict.NotRun, queuedDetail
	if f.mayHaveRun {
		verdict, detail = pwverdict.MayHaveRun, sentDetail
	}
	dispatchErr := f.dispatchErr
	f.mu.Unlock()
	if dispatchErr != nil {
		detail += ": " + pwverdict.AsError(dispatchErr).Detail()
	}
	f.finish("error", pwverdict.New(verdict, cause, "%s", detail))
}
