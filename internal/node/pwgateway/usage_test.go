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

// The load of one hot workspace: it asks for many long prompts at once, and
// another one for a single one a moment later.
func TestHotWorkspaceLetsOthersPass(t *testing.T) {
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
			d.server(pwcontrol.Item[pwcatalog.BackendServer]{
				Key: id,
				Value: pwcatalog.BackendServer{
					ID:      id,
					Service: "model",
				},
			}, time.Time{})
		}
		order := make(chan string, 32)
		ask := func(workspace string) {
			now := time.Now()
			plan, booking, err := d.acquire(t.Context(), &want{
				req: pwfleet.Request{
					Service:      "model",
					PromptTokens: 60_000,
					MaxGap:       time.Second,
				},
				workspace:  workspace,
				arrived:    now,
				aim:        now.Add(10 * time.Second),
				latest:     now.Add(30 * time.Second),
				waitsUntil: now.Add(30 * time.Second),
			})
			if err != nil {
				t.Error(err)
				return
			}
			order <- workspace
			time.Sleep(time.Duration(plan.PartPrefillMS) * time.Millisecond)
			d.with(func(time.Time, *pwfleet.Fleet) {
				booking.EndPrefill()
				booking.End()
			})
		}
		go ask("small") // both are known
		time.Sleep(time.Second)
		for range 20 {
			go ask("hot")
		}
		synctest.Wait()
		go ask("small")
		time.Sleep(20 * time.Second)
		synctest.Wait()
		close(order)
		place, n := 0, 0
		for w := range order {
			if n++; w == "small" {
				place = n
			}
		}
		if n != 22 || place > 16 {
			t.Errorf("the small workspace came %d. of %d", place, n)
		}
	})
}

func TestUsageIsBoundedAndForgotten(t *testing.T) {
	u := usage{
		used: make(map[string]decayed),
	}
	now := time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)
	for i := range maxWorkspaces + 10 {
		u.charge(now, fmt.Sprint(i), 10)
	}
	if len(u.used) != maxWorkspaces {
		t.Errorf("%d workspaces remembered, want %d", len(u.used), maxWorkspaces)
	}
	u.charge(now.Add(10*usageHalfLife), "new", 10)
	if len(u.used) != 1 {
		t.Errorf("%d workspaces remembered after a long time, want 1", len(u.used))
	}
	if p := u.penalty(now, "new"); p != 0 {
		t.Errorf("the only workspace waits %s longer", p)
	}
}
