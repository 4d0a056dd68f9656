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
	TargetFirstToken = 340 * time.Millisecond
	TargetSlowdown   = 1.5
	TargetSilent     = 4 * time.Second
)

// Loads and times of the measurements.
const (
	// fullLoad is the load of the latency rows, as a fraction of the capacity.
	fullLoad = 0.7
	// leaveLoad leaves two data centres of three at about full load while the
	// third is away.
	leaveLoad = 0.45
	warmTime  = 30 * time.Second
	countTime = 60 * time.Second
	// The data centre is taken out, its machines go away, cold ones start, and
	// operators bring it back.
	takeOutAt   = warmTime + 10*time.Second
	goAwayAt    = takeOutAt + 30*time.Second
	bringBackAt = goAwayAt + 10*time.Second
	leaveTime   = bringBackAt + 30*time.Second

	reservations = 200
	// lostEvery is how many reservations share one lost reply.
	lostEvery = 4
	// reserveTries is how often a caller sends a reservation with one key.
	reserveTries = 3
	reserveEvery = 50 * time.Millisecond
	reserveRetry = time.Second
)

// Latency sends the organisation's workload at 70 % load. Without long prompts
// the other arrivals stay the same.
func Latency(ctx context.Context, s System, org pwworkload.Organisation, seed uint64, long bool) *Result {
	arrivals := arrivalsFor(org, seed, fullLoad, warmTime+countTime)
	if !long {
		arrivals = lo.Reject(arrivals, func(a pwworkload.Arrival, _ int) bool {
			return pwrequest.ClassOf(a.PromptTokens) == pwrequest.Long
		})
	}
	return Run(ctx, s, arrivals, RunOptions{
		Skip:      warmTime,
		ToClients: org.ClientLatency,
	})
}

func arrivalsFor(org pwworkload.Organisation, seed uint64, load float64, d time.Duration) []pwworkload.Arrival {
	return pwworkload.New(pwworkload.Config{
		Seed: seed,
		Rate: load * pwworkload.Capacity(org.ServerCount(), EngineCapacity()),
	}).ArrivalsBefore(d)
}

// Leaving is what came of a data centre that left and returned.
type Leaving struct {
	*Result
	// Silent is the time from the mark to the last new work of the data centre.
	Silent time.Duration
	// PeakCold is the largest number of attempts on a cold engine, and ColdLoad
	// the largest ratio to what it can bear.
	PeakCold  int
	ColdLoad  float64
	ColdFalls int64
	// Overcommits counts engines that ran out of memory.
	Overcommits int64
}

// Leave takes a data centre out of service under load, replaces its machines by
// cold ones and brings it back.
func Leave(ctx context.Context, s System, org pwworkload.Organisation, seed uint64) Leaving {
	dc := org.DataCentres[0]
	var out Leaving
	var taken time.Time
	out.Result = Run(ctx, s, arrivalsFor(org, seed, leaveLoad, leaveTime), RunOptions{
		Skip:      warmTime,
		ToClients: org.ClientLatency,
		Events: []Event{
			{
				At: takeOutAt,
				Do: func() {
					taken = time.Now()
					s.TakeOut(dc)
				},
			},
			{
				At: goAwayAt,
				Do: func() {
					out.Silent = max(0, s.LastNewWork(dc).Sub(taken))
					for _, e := range s.Engines(dc) {
						e.Crash()
					}
				},
			},
			{
				At: bringBackAt,
				Do: func() { s.BringBack(dc) },
			},
		},
	})
	for _, e := range s.Engines("") {
		st := e.Stats()
		out.PeakCold = max(out.PeakCold, st.PeakColdAttempts)
		out.ColdLoad = max(out.ColdLoad, st.PeakColdLoadRatio)
		out.ColdFalls += st.ColdStartCrashes
		out.Overcommits += st.OvercommitCrashes
	}
	return out
}

// Reservations is what came of reservations whose replies were lost.
type Reservations struct {
	// Runs counts keys by how often they ran.
	Runs map[int]int
	// FalseNotRun counts keys that ran although the last verdict was not_run.
	FalseNotRun int
	// Verdicts counts the last verdict of each key.
	Verdicts map[string]int
}

// Reserve makes reservations while replies are lost. Each caller sends its key
// again after an error. lose makes the platform lose a reply; it may be nil.
func Reserve(ctx context.Context, s System, lose func(i int)) Reservations {
	out := Reservations{
		Runs:     map[int]int{},
		Verdicts: map[string]int{},
	}
	for i := range reservations {
		if i%lostEvery == 0 {
			s.Service().SetFault(pwfakeservice.FaultLostReply, 1)
		} else if lose != nil {
			lose(i)
		}
		key := fmt.Sprintf("key-%d", i)
		err := reserveKey(ctx, s, key)
		out.count(s.Service(), key, err)
		time.Sleep(reserveEvery)
	}
	return out
}

func reserveKey(ctx context.Context, s System, key string) error {
	var err error
	for range reserveTries {
		if err = s.Reserve(ctx, key); err == nil {
			return nil
		}
		time.Sleep(reserveRetry)
	}
	return err
}

func (r *Reservations) count(service *pwfakeservice.Service, key string, err error) {
	n := runsOf(service, key)
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

// runsOf returns how often a caller's key ran. The current design prefixes the
// key with the service and the method.
func runsOf(service *pwfakeservice.Service, key string) int {
	n := 0
	for k, runs := range service.AllRuns() {
		if k == key || strings.HasSuffix(k, "/"+key) {
			n += runs
		}
	}
	return n
}

// LoseTableReplies makes every other reservation lose a reply of the table.
func (c *Current) LoseTableReplies(i int) {
	if i%2 == 0 {
		c.fleet.Table.SetFault(pwfakeplatform.FaultLostReply, 1)
	}
}
