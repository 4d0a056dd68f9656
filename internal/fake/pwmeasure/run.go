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
	maxLatency = int64(time.Hour / time.Microsecond)
	digits     = 3
	// lateBy is the tolerance on deadlines: the way back to the client and the
	// resolution of deadlines on the wire.
	lateBy = 50 * time.Millisecond
)

// ShortGroup names the histogram over all prompts of up to 10,000 tokens.
const ShortGroup = "short"

// Result is what came of a workload.
type Result struct {
	mu    sync.Mutex
	start time.Time
	first map[string]*hdrhistogram.Histogram

	Completed int
	// Refused counts requests that were never admitted.
	Refused int
	// Lost counts admitted requests that did not complete.
	Lost int
	// Wrong counts responses with missing, repeated or foreign tokens.
	Wrong int
	// Late counts requests that ended after their deadline.
	Late int
	// Causes counts refusals and losses by group, verdict and cause.
	Causes map[string]int
	// Example describes one of the wrong responses.
	Example string
	// Failures lists the lost requests.
	Failures []Failure
}

// Failure is an admitted request that did not complete.
type Failure struct {
	Arrival pwworkload.Arrival
	Err     error
}

// Percentile returns a percentile of the time to first token of a group.
func (r *Result) Percentile(group string, p float64) time.Duration {
	h := r.first[group]
	if h == nil {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(p)) * time.Microsecond
}

// Count returns the number of first tokens in a group.
func (r *Result) Count(group string) int64 {
	if h := r.first[group]; h != nil {
		return h.TotalCount()
	}
	return 0
}

func (r *Result) recordFirst(a pwworkload.Arrival, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	groups := []string{a.Group.Name}
	if a.PromptTokens <= pwrequest.ShortMaxTokens {
		groups = append(groups, ShortGroup)
	}
	for _, g := range groups {
		if r.first[g] == nil {
			r.first[g] = hdrhistogram.New(1, maxLatency, digits)
		}
		_ = r.first[g].RecordValue(d.Microseconds())
	}
}

// RunOptions describes a run.
type RunOptions struct {
	// Skip is the first part of the workload, which is sent but not counted, so
	// that the system is in its usual state.
	Skip time.Duration
	// ToClients is the one-way latency that a token takes to its caller.
	ToClients time.Duration
	// Events are called once at their times since the start.
	Events []Event
}

// Event is a change during a run.
type Event struct {
	At time.Duration
	Do func()
}

// Run sends the arrivals at their times and waits until all have ended.
func Run(ctx context.Context, s Submitter, arrivals []pwworkload.Arrival, opts RunOptions) *Result {
	r := &Result{
		start:  time.Now(),
		first:  map[string]*hdrhistogram.Histogram{},
		Causes: map[string]int{},
	}
	var wg sync.WaitGroup
	for _, e := range opts.Events {
		wg.Go(func() {
			time.Sleep(time.Until(r.start.Add(e.At)))
			e.Do()
		})
	}
	for _, a := range arrivals {
		time.Sleep(time.Until(r.start.Add(a.Offset)))
		wg.Go(func() {
			q := &probe{
				arrival: a,
				sent:    time.Now(),
			}
			err := q.send(ctx, s)
			if a.Offset >= opts.Skip {
				r.record(q, err, opts.ToClients)
			}
		})
	}
	wg.Wait()
	return r
}

// probe is one request and the check of its response.
type probe struct {
	arrival  pwworkload.Arrival
	sent     time.Time
	admitted bool
	first    time.Time
	next     int64
	wrong    string
}

func (q *probe) send(ctx context.Context, s Submitter) error {
	ctx, cancel := context.WithTimeout(ctx, q.arrival.Group.Deadline)
	defer cancel()
	return s.Submit(ctx, q.arrival, func() { q.admitted = true }, q.emit)
}

// emit checks that the tokens continue this request's own response.
func (q *probe) emit(offset int64, tokens []string) error {
	if q.first.IsZero() {
		q.first = time.Now()
	}
	if offset != q.next {
		q.fail("offset %d, want %d", offset, q.next)
	}
	for i, token := range tokens {
		if want := pwfakeengine.Token(q.arrival.Prompt, offset+int64(i)); token != want {
			q.fail("token %d is %q, want %q", offset+int64(i), token, want)
		}
	}
	q.next = offset + int64(len(tokens))
	return nil
}

func (q *probe) fail(format string, args ...any) {
	if q.wrong == "" {
		q.wrong = fmt.Sprintf(format, args...)
	}
}

func (r *Result) record(q *probe, err error, toClients time.Duration) {
	ended := time.Now()
	if !q.first.IsZero() {
		r.recordFirst(q.arrival, q.first.Add(toClients).Sub(q.sent))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && q.next != q.arrival.MaxTokens {
		q.fail("response has %d tokens, want %d", q.next, q.arrival.MaxTokens)
	}
	if ended.Sub(q.sent) > q.arrival.Group.Deadline+lateBy {
		r.Late++
	}
	switch {
	case q.wrong != "":
		r.Wrong++
		r.Example = q.wrong
	case err == nil:
		r.Completed++
	case !q.admitted || pwverdict.CauseOf(err) == pwverdict.CauseBadRequest:
		r.Refused++
		r.Causes[describe("refused", q, err)]++
	default:
		r.Lost++
		r.Failures = append(r.Failures, Failure{
			Arrival: q.arrival,
			Err:     err,
		})
		r.Causes[describe("lost", q, err)]++
	}
}

func describe(what string, q *probe, err error) string {
	return fmt.Sprintf("%s %s %s %s", what, q.arrival.Group.Name, pwverdict.VerdictOf(err), pwverdict.CauseOf(err))
}
