package pwgateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// One workspace sends many requests with long prompts at once, and another workspace
// sends a single one a moment later, which must not wait for all the others.
func TestBusyWorkspaceDoesNotStarveOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDispatcher(pwfleet.New(pwfleet.Config{}), pwdeployment.Deployment{}, Policy{}.withDefaults(), pwobserve.Discard())
		e := pwfakecatalog.Engine()
		d.configure(pwcatalog.New(pwcatalog.Spec{
			Services: []pwcatalog.Service{{
				Name:   "model",
				Engine: &e,
			}},
		}))
		for i := range 4 {
			id := fmt.Sprintf("e-%d", i)
			d.applyServer(pwcontrol.Item[pwcatalog.BackendServer]{
				Key: id,
				Value: pwcatalog.BackendServer{
					ID:      id,
					Service: "model",
				},
			}, time.Time{})
		}
		order := make(chan string, 32)
		runRequest := func(workspace string) {
			now := time.Now()
			plan, assignment, err := d.acquire(t.Context(), &pendingRequest{
				req: pwfleet.Request{
					Service:      "model",
					PromptTokens: 60_000,
					MaxGap:       time.Second,
				},
				workspace:          workspace,
				arrivedAt:          now,
				firstTokenDeadline: now.Add(10 * time.Second),
				abandonAt:          now.Add(30 * time.Second),
				capacityWaitUntil:  now.Add(30 * time.Second),
			})
			if err != nil {
				t.Error(err)
				return
			}
			order <- workspace
			time.Sleep(time.Duration(plan.PartPrefillMS) * time.Millisecond)
			d.withFleet(func(time.Time, *pwfleet.Fleet) {
				assignment.EndPrefill()
				assignment.End()
			})
		}
		go runRequest("small") // gives the small workspace some usage
		time.Sleep(time.Second)
		for range 20 {
			go runRequest("hot")
		}
		synctest.Wait()
		go runRequest("small")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		close(order)
		position, n := 0, 0
		for w := range order {
			if n++; w == "small" {
				position = n
			}
		}
		if n != 22 || position > 16 {
			t.Errorf("the request of the small workspace was number %d of %d, want at most 16 of 22", position, n)
		}
	})
}

// The number of workspaces whose usage is kept must stay bounded, and those without
// recent usage must be evicted.
func TestWorkspaceUsageIsBoundedAndEvicted(t *testing.T) {
	u := workspaceUsage{
		byWorkspace: make(map[string]decayingSum),
	}
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	for i := range maxWorkspaces + 10 {
		u.charge(now, fmt.Sprint(i), 10)
	}
	if len(u.byWorkspace) != maxWorkspaces {
		t.Errorf("usage of %d workspaces kept, want %d", len(u.byWorkspace), maxWorkspaces)
	}
	u.charge(now.Add(10*usageHalfLife), "new", 10)
	if len(u.byWorkspace) != 1 {
		t.Errorf("usage of %d workspaces kept after ten half-lives, want 1", len(u.byWorkspace))
	}
	if p := u.penalty(now, "new"); p != 0 {
		t.Errorf("the penalty of the only workspace is %s, want 0", p)
	}
}
