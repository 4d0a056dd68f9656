package pwmeasure

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwworkload"
)

const (
	// maxLatency, in microseconds, and significantDigits configure the histograms.
	maxLatency        = int64(time.Hour / time.Microsecond)
	significantDigits = 3
	// deadlineTolerance is how long after its deadline a request may end. It covers
	// the latency back to the client and the resolution of deadlines on the wire.
	deadlineTolerance = 50 * time.Millisecond
)

// ShortGroup is the name of the group of all prompts of up to 10,000 tokens.
const ShortGroup = "short"

// Result holds the outcomes and latencies of the requests of a workload.
type Result struct {
	mu          sync.Mutex
	startTime   time.Time
	firstTokens map[string]*hdrhistogram.Histogram

	// Completed counts requests with a whole and correct response.
	Completed int
	// Refused counts requests that were never admitted.
	Refused int
	// Lost counts admitted requests that did not complete.
	Lost int
	// WrongResponses counts responses with missing or repeated tokens, or with
	// tokens of another response.
	WrongResponses int
	// DeadlineMisses counts requests that ended after their deadline, whatever their
	// outcome.
	DeadlineMisses int
	// Causes counts refused and lost requests by outcome, group, verdict and cause.
	Causes map[string]int
	// WrongExample describes one of the wrong responses.
	WrongExample string
	// Failures lists the lost requests.
	Failures []Failure
}

// Failure is an admitted request that did not complete.
type Failure struct {
	Arrival pwworkload.Arrival
	Err     error
}

// Percentile returns a percentile of the time to first token of a group, or 0 if the
// group has none.
func (r *Result) Percentile(group string, p float64) time.Duration {
	h := r.firstTokens[group]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// Count returns the number of requests of a group that got a first token.
func (r *Result) Count(group string) int64 {
	if h := r.firstTokens[group]; h != nil {
		return h.TotalCount()
	}
	return 0
}

// recordFirst records the time to first token of a request, for its group and, if its
// prompt is short, for ShortGroup.
func (r *Result) recordFirst(a pwworkload.Arrival, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := []string{a.Group.Name}
	if a.PromptTokens <= pwrequest.ShortMaxTokens {
		groups = append(groups, ShortGroup)
	}
	for _, g := range groups {
		if r.firstTokens[g] == nil {
			r.firstTokens[g] = hdrhistogram.New(1, maxLatency, significantDigits)
		}
		_ = r.firstTokens[g].RecordValue(d.Microseconds())
	}
}

// RunOptions configures Run.
type RunOptions struct {
	// WarmUpTime is the first part of the run, whose requests are not counted, so that
	// only the steady state is measured.
	WarmUpTime time.Duration
	// ClientLatency is the one-way latency to callers. It is added to the time to
	// first token.
	ClientLatency time.Duration
	// Events are applied once, each at its time since the start of the run.
	Events []Event
}

// Event is a change that is applied during a run.
type Event struct {
	At    time.Duration
	Apply func()
}

// Run sends the arrivals at their times, waits until all requests have ended, and
// returns their outcomes.
func Run(ctx context.Context, s Submitter, arrivals []pwworkload.Arrival, opts RunOptions) *Result {
	r := &Result{
		startTime:   time.Now(),
		firstTokens: map[string]*hdrhistogram.Histogram{},
		Causes:      map[string]int{},
	}
	var wg sync.WaitGroup
	for _, e := range opts.Events {
		wg.Go(func() {
			time.Sleep(time.Until(r.startTime.Add(e.At)))
			e.Apply()
		})
	}
	for _, a := range arrivals {
		time.Sleep(time.Until(r.startTime.Add(a.Offset)))
		wg.Go(func() {
			q := &trackedRequest{
				arrival: a,
				sentAt:  time.Now(),
			}
			err := q.send(ctx, s)
			if a.Offset >= opts.WarmUpTime {
				r.record(q, err, opts.ClientLatency)
			}
		})
	}
	wg.Wait()
	return r
}

// trackedRequest is a request whose response is checked token by token.
type trackedRequest struct {
	arrival      pwworkload.Arrival
	sentAt       time.Time
	admitted     bool
	firstTokenAt time.Time
	nextOffset   int64
	mismatch     string // first difference from the expected response, or ""
}

// send submits the request with its deadline and returns when it has ended.
func (q *trackedRequest) send(ctx context.Context, s Submitter) error {
	ctx, cancel := context.WithTimeout(ctx, q.arrival.Group.Deadline)
	defer cancel()
	return s.Submit(ctx, q.arrival, func() { q.admitted = true }, q.emit)
}

// emit checks that tokens are the next ones of the expected response.
func (q *trackedRequest) emit(offset int64, tokens []string) error {
	if q.firstTokenAt.IsZero() {
		q.firstTokenAt = time.Now()
	}
	if offset != q.nextOffset {
		q.recordMismatch("offset %d, want %d", offset, q.nextOffset)
	}
	for i, token := range tokens {
		if want := pwfakeengine.Token(q.arrival.Prompt, offset+int64(i)); token != want {
			q.recordMismatch("token %d is %q, want %q", offset+int64(i), token, want)
		}
	}
	q.nextOffset = offset + int64(len(tokens))
	return nil
}

// recordMismatch records a difference from the expected response. Only the first one
// is kept.
func (q *trackedRequest) recordMismatch(format string, args ...any) {
	if q.mismatch == "" {
		q.mismatch = fmt.Sprintf(format, args...)
	}
}

// record counts a request that has ended with err.
func (r *Result) record(q *trackedRequest, err error, clientLatency time.Duration) {
	endedAt := time.Now()
	if !q.firstTokenAt.IsZero() {
		r.recordFirst(q.arrival, q.firstTokenAt.Add(clientLatency).Sub(q.sentAt))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && q.nextOffset != q.arrival.MaxTokens {
		q.recordMismatch("response has %d tokens, want %d", q.nextOffset, q.arrival.MaxTokens)
	}
	if endedAt.Sub(q.sentAt) > q.arrival.Group.Deadline+deadlineTolerance {
		r.DeadlineMisses++
	}
	switch {
	case q.mismatch != "":
		r.WrongResponses++
		r.WrongExample = q.mismatch
	case err == nil:
		r.Completed++
	case !q.admitted || pwverdict.CauseOf(err) == pwverdict.CauseBadRequest:
		r.Refused++
		r.Causes[failureKey("refused", q, err)]++
	default:
		r.Lost++
		r.Failures = append(r.Failures, Failure{
			Arrival: q.arrival,
			Err:     err,
		})
		r.Causes[failureKey("lost", q, err)]++
	}
}

// failureKey returns the key of Result.Causes for a request.
func failureKey(outcome string, q *trackedRequest, err error) string {
	return fmt.Sprintf("%s %s %s %s", outcome, q.arrival.Group.Name, pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}
