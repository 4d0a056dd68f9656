package pwmeasure

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwworkload"
)

// Targets from the design page.
const (
	// TargetFirstToken is the 95th percentile of the time to first token of short
	// prompts.
	TargetFirstToken = 340 * time.Millisecond
	// TargetSlowdown is the factor that the slowdown of short prompts by long ones
	// stays below.
	TargetSlowdown = 1.5
	// TargetNewWorkStop is the time within which a data centre that is taken out of
	// service stops getting new work.
	TargetNewWorkStop = 4 * time.Second
)

// Loads, times and counts of the measurements.
const (
	// fullLoad is the load of MeasureLatency, as a fraction of the capacity.
	fullLoad = 0.7
	// takeOutLoad is the load of MeasureTakeOut, as a fraction of the capacity. Two
	// data centres of three are at about fullLoad with it while the third is out of
	// service.
	takeOutLoad  = 0.45
	warmUpTime   = 30 * time.Second
	measuredTime = 60 * time.Second
	// MeasureTakeOut takes a data centre out of service, replaces its engines by
	// cold ones and brings it back, at these times since the start of the run.
	takeOutAt      = warmUpTime + 10*time.Second
	replaceAt      = takeOutAt + 30*time.Second
	bringBackAt    = replaceAt + 10*time.Second
	takeOutRunTime = bringBackAt + 30*time.Second

	reservationCount = 200
	// lostResponseInterval is the number of reservations of which the first loses a
	// response of the service.
	lostResponseInterval = 4
	// maxReserveAttempts is how often a caller sends a reservation at most.
	maxReserveAttempts  = 3
	reservationInterval = 50 * time.Millisecond
	reserveRetryDelay   = time.Second
)

// MeasureLatency sends the organisation's workload at 70 % load. Without long
// prompts, the other arrivals stay the same.
func MeasureLatency(ctx context.Context, s System, org pwworkload.Organisation, seed uint64, withLong bool) *Result {
	arrivals := arrivalsFor(org, seed, fullLoad, warmUpTime+measuredTime)
	if !withLong {
		arrivals = lo.Reject(arrivals, func(a pwworkload.Arrival, _ int) bool {
			return pwrequest.ClassOf(a.PromptTokens) == pwrequest.Long
		})
	}
	return Run(ctx, s, arrivals, RunOptions{
		WarmUpTime:    warmUpTime,
		ClientLatency: org.ClientLatency,
	})
}

// arrivalsFor returns the arrivals of an organisation's workload within d. load is
// a fraction of the capacity of its engines.
func arrivalsFor(org pwworkload.Organisation, seed uint64, load float64, d time.Duration) []pwworkload.Arrival {
	return pwworkload.New(pwworkload.Config{
		Seed: seed,
		Rate: load * pwworkload.Capacity(org.ServerCount(), EngineCapacity()),
	}).ArrivalsBefore(d)
}

// TakeOutResult is the result of MeasureTakeOut.
type TakeOutResult struct {
	*Result
	// NewWorkStopTime is the time from taking the data centre out of service to the
	// last new work that it got.
	NewWorkStopTime time.Duration
	// PeakColdAttempts is the largest number of attempts on a cold engine, and
	// PeakColdLoad the largest ratio of attempts to the limit of a cold engine.
	PeakColdAttempts int
	PeakColdLoad     float64
	// ColdCrashes counts the engines that crashed in cold start.
	ColdCrashes int64
	// Overcommits counts engines that ran out of memory.
	Overcommits int64
}

// MeasureTakeOut takes a data centre out of service under load, replaces its engines
// by cold ones and brings it back.
func MeasureTakeOut(ctx context.Context, s System, org pwworkload.Organisation, seed uint64) TakeOutResult {
	dc := org.DataCentres[0]
	var out TakeOutResult
	var takenOutAt time.Time
	out.Result = Run(ctx, s, arrivalsFor(org, seed, takeOutLoad, takeOutRunTime), RunOptions{
		WarmUpTime:    warmUpTime,
		ClientLatency: org.ClientLatency,
		Events: []Event{
			{
				At: takeOutAt,
				Apply: func() {
					takenOutAt = time.Now()
					s.TakeOut(dc)
				},
			},
			{
				At: replaceAt,
				Apply: func() {
					out.NewWorkStopTime = max(0, s.LastNewWork(dc).Sub(takenOutAt))
					for _, e := range s.Engines(dc) {
						e.Crash()
					}
				},
			},
			{
				At:    bringBackAt,
				Apply: func() { s.BringBack(dc) },
			},
		},
	})
	for _, e := range s.Engines("") {
		st := e.Stats()
		out.PeakColdAttempts = max(out.PeakColdAttempts, st.PeakColdAttempts)
		out.PeakColdLoad = max(out.PeakColdLoad, st.PeakColdLoadRatio)
		out.ColdCrashes += st.ColdStartCrashes
		out.Overcommits += st.OvercommitCrashes
	}
	return out
}

// ReservationResult is the result of MeasureReservations.
type ReservationResult struct {
	// Runs counts idempotency keys by how often they ran.
	Runs map[int]int
	// FalseNotRun counts keys that ran although their last verdict was not_run.
	FalseNotRun int
	// Verdicts counts keys by their last verdict.
	Verdicts map[string]int
}

// MeasureReservations makes reservations while responses are lost. Each caller
// retries with the same key after an error. loseResponse makes the platform lose a
// response during reservation i; it may be nil.
func MeasureReservations(ctx context.Context, s System, loseResponse func(i int)) ReservationResult {
	out := ReservationResult{
		Runs:     map[int]int{},
		Verdicts: map[string]int{},
	}
	for i := range reservationCount {
		if i%lostResponseInterval == 0 {
			s.Service().SetFault(pwfakeservice.FaultLostResponse, 1)
		} else if loseResponse != nil {
			loseResponse(i)
		}
		key := fmt.Sprintf("key-%d", i)
		err := reserveKey(ctx, s, key)
		out.recordOutcome(s.Service(), key, err)
		time.Sleep(reservationInterval)
	}
	return out
}

// reserveKey makes one reservation, with retries, and returns the last error.
func reserveKey(ctx context.Context, s System, key string) error {
	var err error
	for range maxReserveAttempts {
		if err = s.Reserve(ctx, key); err == nil {
			return nil
		}
		time.Sleep(reserveRetryDelay)
	}
	return err
}

// recordOutcome counts a reservation that ended with err.
func (r *ReservationResult) recordOutcome(service *pwfakeservice.Service, key string, err error) {
	n := countRuns(service, key)
	r.Runs[n]++
	verdict := pwverdict.Ran
	if err != nil {
		verdict = pwverdict.VerdictOf(err)
	}
	r.Verdicts[verdict.String()]++
	if verdict == pwverdict.NotRun && n > 0 {
		r.FalseNotRun++
	}
}

// countRuns returns how often the service ran a caller's idempotency key. The current
// design prefixes the key with the workspace, the service and the method.
func countRuns(service *pwfakeservice.Service, key string) int {
	n := 0
	for k, runs := range service.AllRuns() {
		if k == key || strings.HasSuffix(k, "/"+key) {
			n += runs
		}
	}
	return n
}

// LoseTableResponses makes the table lose a response if i is even. It serves as loseResponse
// of MeasureReservations.
func (c *Current) LoseTableResponses(i int) {
	if i%2 == 0 {
		c.fleet.Table.SetFault(pwfakeplatform.FaultLostResponse, 1)
	}
}
