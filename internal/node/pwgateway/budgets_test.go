package pwgateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

// Simulates an outage in which some or all processes retry as often as the budget
// allows. All processes together must keep the limit in every window, even if
// messages between them are late or lost. A single retrying process must be able to
// use more than an even share.
func TestRetryBudgetHoldsAcrossProcesses(t *testing.T) {
	bounds := pwdeployment.Bounds{
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  130,
	}
	for _, tc := range []struct {
		name string
		// retrying is the number of processes that retry requests.
		retrying int
		// lossRate is the fraction of the messages that are lost.
		lossRate float64
	}{
		{name: "one process", retrying: 1},
		{name: "all processes", retrying: 27},
		{name: "all processes, lost messages", retrying: 27, lossRate: 0.5},
	} {
		t.Run(tc.name, func(t *testing.T) {
			const processes, step, messageTicks = 27, 10 * time.Millisecond, 20
			rnd := rand.New(rand.NewPCG(1, 1))
			var all []*retryBudgets
			for range processes {
				all = append(all, newRetryBudgets(bounds))
			}
			now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
			var requests, retries []time.Time
			firstProcessRetries := 0
			for tick := range 2500 {
				now = now.Add(step)
				for i, b := range all {
					if rnd.Float64() < 0.05 {
						b.forService(now, "model").RecordRequest(now)
						requests = append(requests, now)
					}
					if tick > 1000 && i < tc.retrying && rnd.Float64() < 0.2 && b.forService(now, "model").Take(now) == nil {
						retries = append(retries, now)
						if i == 0 {
							firstProcessRetries++
						}
					}
					if tick%messageTicks != i%messageTicks {
						continue
					}
					own := b.ownCounts(now)
					for j, other := range all {
						if j != i && rnd.Float64() >= tc.lossRate {
							other.mergePeer(now, fmt.Sprint(i), own)
						}
					}
				}
			}
			for _, end := range retries {
				countInWindow := func(list []time.Time) (n int) {
					for _, at := range list {
						if !at.After(end) && end.Sub(at) < bounds.RetryWindow {
							n++
						}
					}
					return n
				}
				if limit := bounds.RetryRatio*float64(countInWindow(requests)) + bounds.RetrySlack; float64(countInWindow(retries)) > limit {
					t.Fatalf("%d retries in a window, want at most %.0f", countInWindow(retries), limit)
				}
			}
			if evenShare := int(bounds.RetryRatio*float64(len(requests))+2*bounds.RetrySlack) / processes; tc.retrying == 1 && firstProcessRetries < 3*evenShare {
				t.Errorf("one process got %d retries, want at least three times the even share of %d", firstProcessRetries, evenShare)
			}
		})
	}
}

// A process that receives no more messages from its peers must not use their share of
// the budget, because they may still be using it.
func TestRetryBudgetReservesShareOfInactivePeers(t *testing.T) {
	b := newRetryBudgets(pwdeployment.Bounds{
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  100,
	})
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	for i := range 3 {
		b.mergePeer(now, fmt.Sprint(i), nil)
	}
	leftWithPeers := b.forService(now, "model").Remaining(now)
	now = now.Add(2 * maxFreshPeerAge)
	if left := b.forService(now, "model").Remaining(now); left > leftWithPeers/4+1 {
		t.Errorf("%d retries left after 3 peers became inactive, %d before; want at most a quarter of that and 1", left, leftWithPeers)
	}
}

// Guards against a reload of any bound that forgets the retries of the window, so that more of
// them are taken than the budget allows (BUDGET).
func TestRetryBudgetSurvivesReload(t *testing.T) {
	before := pwdeployment.Bounds{
		RetryRatio:  0.2,
		RetryWindow: 10 * time.Second,
		RetrySlack:  100,
	}
	for name, change := range map[string]func(b *pwdeployment.Bounds){
		"another bound":  func(b *pwdeployment.Bounds) { b.StopGracePeriod = time.Second },
		"longer window":  func(b *pwdeployment.Bounds) { b.RetryWindow = 12 * time.Second },
		"shorter window": func(b *pwdeployment.Bounds) { b.RetryWindow = 8 * time.Second },
		"more slack":     func(b *pwdeployment.Bounds) { b.RetrySlack = 130 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := New(Config{
					Deployment: pwdeployment.Deployment{
						Bounds: before,
					},
				}, pwobserve.Discard())
				d := g.dispatcher
				own := 0
				take := func() {
					for d.takeRetry("model") == nil {
						own++
					}
				}
				peer := []pwpeering.BudgetUsage{{
					Service: xxhash.Sum64String("model"),
					Retries: 20,
				}}
				d.retryBudgets.mergePeer(time.Now(), "front-2", peer)
				take()
				time.Sleep(time.Second)
				after := before
				change(&after)
				g.SetBounds(after)
				take()
				if limit := int(after.RetrySlack*usableBudgetShare) - 20; own > limit {
					t.Errorf("%d retries beside 20 of a peer, want at most %d", own, limit)
				}
				time.Sleep(after.RetryWindow)
				d.retryBudgets.mergePeer(time.Now(), "front-2", nil)
				own = 0
				take()
				if limit := int(after.RetrySlack * usableBudgetShare); own != limit {
					t.Errorf("%d retries after the window, want %d", own, limit)
				}
			})
		})
	}
}
