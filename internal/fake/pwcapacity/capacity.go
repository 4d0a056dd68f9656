// Package pwcapacity measures what the parts of the system cost on one
// machine and projects the costs to the large size of docs/design.md.
//
// Each cost is measured at three or more sizes and fitted with a straight
// line. The residual of the fit shows where a cost is not linear.
//
// # Usage
//
//	report, err := pwcapacity.Run(ctx, pwcapacity.Options{
//		Quick: true,
//	})
//	err = pwcapacity.Print(os.Stdout, report)
//
// Processor time is that of the whole process, read from getrusage, so that
// other work on the machine distorts it less than elapsed time. Parts that
// talk over loopback are measured with both ends in the process; such a cost
// is an upper bound for one end.
package pwcapacity

import (
	"context"
	"fmt"
	"runtime"
	"time"
)

// Options are the inputs of Run.
type Options struct {
	// Quick takes smaller sizes and shorter times. Its figures only show that
	// every measurement works.
	Quick bool
}

// Report is the result of Run.
type Report struct {
	Machine  Machine   `json:"machine"`
	Size     Size      `json:"size"`
	Terms    []Term    `json:"terms"`
	Rows     []Row     `json:"rows"`
	Sums     []Sum     `json:"sums"`
	Options  []Choice  `json:"options"`
	Days     []Day     `json:"days"`
	Duration string    `json:"duration"`
	TakenAt  time.Time `json:"taken_at"`
}

// Machine tells where the figures come from.
type Machine struct {
	Go    string `json:"go"`
	OS    string `json:"os"`
	Arch  string `json:"arch"`
	Cores int    `json:"cores"`
	Quick bool   `json:"quick"`
}

// Run measures every term and projects the large size. It takes under three
// minutes, with Quick under 20 seconds.
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
	r.Rows = p.rows()
	r.Sums = sums(r.Rows)
	r.Options = p.options()
	r.Days = p.days(r.Rows)
	r.Terms = m.list()
	r.Duration = time.Since(start).Round(time.Second).String()
	return r, p.err
}
