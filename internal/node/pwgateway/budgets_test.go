package pwgateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
)

// The load of an outage that strikes some processes harder: each request wants
// repeats without end. All processes together must keep the bound in each
// window, also with messages that are old or lost, and one process alone must
// be able to use more than an even share.
func TestRepeatsOfAllProcessesKeepTheBound(t *testing.T) {
	bounds := pwdeployment.Bounds{
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  130,
	}
	for _, tc := range []struct {
		name string
		// wants is the number of processes that want repeats.
		wants int
		// lost is the part of the messages that are lost.
		lost float64
	}{
		{name: "one process", wants: 1},
		{name: "all processes", wants: 27},
		{name: "all processes, lost messages", wants: 27, lost: 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const processes, step, message = 27, 10 * time.Millisecond, 20
			rnd := rand.New(rand.NewPCG(1, 1))
			var all []*budgets
			for range processes {
				all = append(all, newBudgets(bounds))
			}
			now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
			var requests, repeats []time.Time
			byFirst := 0
			for tick := range 2500 {
				now = now.Add(step)
				for i, b := range all {
					if rnd.Float64() < 0.05 {
						b.of(now, "model").RecordRequest(now)
						requests = append(requests, now)
					}
					if tick > 1000 && i < tc.wants && rnd.Float64() < 0.2 && b.of(now, "model").Take(now) == nil {
						repeats = append(repeats, now)
						if i == 0 {
							byFirst++
						}
					}
					if tick%message != i%message {
						continue
					}
					own := b.own(now)
					for j, o := range all {
						if j != i && rnd.Float64() >= tc.lost {
							o.merge(now, fmt.Sprint(i), own)
						}
					}
				}
			}
			for _, end := range repeats {
				in := func(list []time.Time) (n int) {
					for _, at := range list {
						if !at.After(end) && end.Sub(at) < bounds.RetryWindow {
							n++
						}
					}
					return n
				}
				if limit := bounds.RetryRatio*float64(in(requests)) + bounds.RetrySlack; float64(in(repeats)) > limit {
					t.Fatalf("%d repeats in a window, the bound is %.0f", in(repeats), limit)
				}
			}
			if even := int(bounds.RetryRatio*float64(len(requests))+2*bounds.RetrySlack) / processes; tc.wants == 1 && byFirst < 3*even {
				t.Errorf("one process got %d repeats, an even share is %d", byFirst, even)
			}
		})
	}
}

func TestSilentPeersKeepTheirShare(t *testing.T) {
	b := newBudgets(pwdeployment.Bounds{
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  100,
	})
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	for i := range 3 {
		b.merge(now, fmt.Sprint(i), nil)
	}
	whole := b.of(now, "model").Remaining(now)
	now = now.Add(2 * budgetPeerAge)
	if left := b.of(now, "model").Remaining(now); left > whole/4+1 {
		t.Errorf("%d repeats without hearing the others, %d with all", left, whole)
	}
}
