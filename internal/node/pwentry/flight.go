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

// InFlightRequest is one admitted request on its way. Readers follow its answer from
// any offset.
type InFlightRequest struct {
	entry    *Entry
	request  *pwrequest.Request
	prompt   string
	assigned chan assignment
	ctx      context.Context
	cancel   context.CancelCauseFunc
	// counted is set for a request that this entry admitted, and not for one
	// that it only follows.
	counted     bool
	maxAttempts int
	groups      pwgroup.Config

	// Only the run method uses these.
	attempts int
	losses   int // servers that were lost with an attempt on them
	refusals int
	sent     int64 // attempts sent to agents, refused ones included

	mu          sync.Mutex
	current     pwrequest.AttemptID
	tokens      []string
	firstToken  time.Time
	ended       bool
	endedAt     time.Time
	reason      string
	err         error
	noServer    error // why the last dispatch found no server
	changed     chan struct{}
	currentAddr string
	mayHaveRun  bool
	avoided     []avoided
}

// avoided is a server that has refused the request.
type avoided struct {
	server pwrequest.BackendServerID
	until  time.Time
}

func newFlight(e *Entry, r *pwrequest.Request, prompt string) *InFlightRequest {
	ctx, cancel := context.WithCancelCause(e.baseCtx)
	return &InFlightRequest{
		entry:    e,
		request:  r,
		prompt:   prompt,
		assigned: make(chan assignment, 1),
		ctx:      ctx,
		cancel:   cancel,
		changed:  make(chan struct{}),
	}
}

// Request returns the request.
func (f *InFlightRequest) Request() *pwrequest.Request { return f.request }

// Ended reports whether the answer is complete or has failed.
func (f *InFlightRequest) Ended() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended
}

// EndTime returns when the request ended, or false while it runs.
func (f *InFlightRequest) EndTime() (time.Time, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.endedAt, f.ended
}

// FirstToken returns when the first token arrived; the zero time means not yet.
func (f *InFlightRequest) FirstToken() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.firstToken
}

// Err returns why the request failed; nil while it runs or when it is complete.
func (f *InFlightRequest) Err() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// CurrentAttempt returns the identifier of the newest attempt.
func (f *InFlightRequest) CurrentAttempt() pwrequest.AttemptID {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// Status describes a request for its caller.
type Status struct {
	State   string
	Tokens  int64
	Attempt pwrequest.AttemptID
	// AgentAddress is where the agent of the attempt listens.
	AgentAddress string
	Reason       string
	Err          error
	AdmittedAt   time.Time
}

// Status returns the current state: "queued", "running", "complete" or "failed".
func (f *InFlightRequest) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := Status{
		State:        "queued",
		Tokens:       int64(len(f.tokens)),
		Attempt:      f.current,
		AgentAddress: f.currentAddr,
		Reason:       f.reason,
		Err:          f.err,
		AdmittedAt:   f.request.AdmittedAt(),
	}
	switch {
	case f.err != nil:
		s.State = "failed"
	case f.ended:
		s.State = "complete"
	case f.current != "":
		s.State = "running"
	}
	return s
}

// Read emits the tokens from offset on until the answer ends, and returns the
// reason of its end ("stop", "length", "cancelled") or its error.
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

// accept appends tokens that start at offset. Tokens that are already there
// are skipped; a gap is reported, because the stream then has to be resumed.
func (f *InFlightRequest) accept(attempt pwrequest.AttemptID, offset int64, tokens []string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	have := int64(len(f.tokens))
	switch {
	case attempt != f.current || f.ended:
		return nil // a late event of an attempt that was replaced
	case offset > have:
		return pwverdict.New(pwverdict.MayHaveRun, pwverdict.CauseInternal, "answer stream has a gap: got offset %d, have %d tokens", offset, have)
	case offset+int64(len(tokens)) <= have:
		return nil
	}
	if have == 0 {
		f.firstToken = time.Now()
	}
	f.tokens = append(f.tokens, tokens[have-offset:]...)
	f.signal()
	return nil
}

// given returns the tokens so far, for the next attempt.
func (f *InFlightRequest) given() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.tokens[:len(f.tokens):len(f.tokens)]
}

// setCurrent starts an attempt, after which the request may have run. It
// returns whether that was so before.
func (f *InFlightRequest) setCurrent(a pwrequest.AttemptID, address string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = a
	f.currentAddr = address
	before := f.mayHaveRun
	f.mayHaveRun = true
	return before
}

// setDoubt restores whether the request may have run after a refused attempt.
func (f *InFlightRequest) setDoubt(mayHaveRun bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.mayHaveRun = mayHaveRun
}

// avoid keeps the request from a server that has refused it, for a while.
func (f *InFlightRequest) avoid(server pwrequest.BackendServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.avoided) == maxAvoided {
		f.avoided = slices.Delete(f.avoided, 0, 1)
	}
	f.avoided = append(f.avoided, avoided{
		server: server,
		until:  time.Now().Add(avoidFor),
	})
}

// excluded returns the servers that the request is kept from now.
func (f *InFlightRequest) excluded(now time.Time) []pwrequest.BackendServerID {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.avoided = slices.DeleteFunc(f.avoided, func(a avoided) bool { return !now.Before(a.until) })
	var out []pwrequest.BackendServerID
	for _, a := range f.avoided {
		out = append(out, a.server)
	}
	return out
}

// withDoubt corrects the verdict of an error that concerns only the next
// attempt, when an earlier one may have run.
func (f *InFlightRequest) withDoubt(err error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayHaveRun {
		return err
	}
	return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseOf(err), "request was stopped after an attempt")
}

func (f *InFlightRequest) noCandidate(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noServer = err
}

// signal wakes all readers. The caller holds f.mu.
func (f *InFlightRequest) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// end completes or fails the request.
func (f *InFlightRequest) end(reason string, err error) {
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
	f.signal()
	f.mu.Unlock()
	f.cancel(nil)
	f.entry.flightEnded(f)
}

// expire fails a request that was still queued at its deadline.
func (f *InFlightRequest) expire() {
	f.mu.Lock()
	verdict, detail := pwverdict.NotRun, "request was still queued at its deadline"
	if f.mayHaveRun {
		verdict, detail = pwverdict.MayHaveRun, "request had not ended at its deadline"
	}
	noServer := f.noServer
	f.mu.Unlock()
	if noServer != nil {
		detail += ": " + pwverdict.AsError(noServer).Detail()
	}
	f.end("error", pwverdict.New(verdict, pwverdict.CauseDeadlineExceeded, "%s", detail))
}
