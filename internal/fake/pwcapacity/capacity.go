// Package pwcapacity measures the costs of the components of the system on one
// machine and projects them to the large deployment of docs/design.md.
//
// Each cost is measured at three or more sizes, and a straight line is fitted to
// the points. A large residual of the fit shows that a cost is not linear.
//
// # Usage
//
//	report, err := pwcapacity.Run(ctx, pwcapacity.Options{
//		Quick: true,
//	})
//	err = pwcapacity.Print(os.Stdout, report)
//
// Processor time is that of the whole process, read with getrusage, because other
// work on the machine distorts it less than elapsed time. Components that
// communicate over loopback are measured with both ends in the process, so such a
// cost is an upper bound for one end.
package pwcapacity

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// Options are the inputs of Run.
type Options struct {
	// Quick selects smaller sizes and shorter measurements. Its figures only show
	// that every measurement works.
	Quick bool
}

// Report holds the measured terms of a run and the figures projected from them.
type Report struct {
	Machine      Machine       `json:"machine"`
	Size         Size          `json:"size"`
	Terms        []Term        `json:"terms"`
	Rows         []Row         `json:"rows"`
	Sums         []Sum         `json:"sums"`
	Alternatives []Alternative `json:"options"`
	Scenarios    []Scenario    `json:"days"`
	Duration     string        `json:"duration"`
	TakenAt      time.Time     `json:"taken_at"`
}

// Machine describes the machine and the mode of a run.
type Machine struct {
	Go    string `json:"go"`
	OS    string `json:"os"`
	Arch  string `json:"arch"`
	Cores int    `json:"cores"`
	Quick bool   `json:"quick"`
}

// Run measures every term and projects the costs of the large size. It takes less
// than three minutes, and less than 20 seconds with Quick.
func Run(ctx context.Context, o Options) (*Report, error) {
	start := time.Now()
	m := newMeter(o.Quick)
	for _, step := range []func(context.Context, *meter) error{
		measureState, measureEntry, measureAgent, measureDecisions, measureDocuments,
		measureLists, measureSockets, measureExchange, measureWatches, measureGroups, measurePlacement, measureTable, measureFleets, measureGateway,
	} {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if err := step(ctx, m); err != nil {
			return nil, fmt.Errorf("capacity: %w", err)
		}
		runtime.GC()
	}
	r := &Report{
		Machine: Machine{
			Go:    runtime.Version(),
			OS:    runtime.GOOS,
			Arch:  runtime.GOARCH,
			Cores: runtime.NumCPU(),
			Quick: o.Quick,
		},
		Size:    LargeSize(),
		TakenAt: start.UTC(),
	}
	p := newProjection(r.Size, m.terms)
	r.Rows = p.projectRows()
	r.Sums = sumRows(r.Rows)
	r.Alternatives = p.alternatives()
	r.Scenarios = p.scenarios(r.Rows)
	r.Terms = m.sortedTerms()
	r.Duration = time.Since(start).Round(time.Second).String()
	return r, p.err
}
