package pwgateway

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/core/pwoverload"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// Short prompts arrive at several times the rate that the engines can take. None may be sent
// to an engine without a free slot, and those that can't be in time must be refused before
// their target, with a Retry-After.
func TestShortPromptsAreRefusedInTimeUnderOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			engines, slots = 4, 12
			target         = 300 * time.Millisecond
			hold           = 2 * time.Second
		)
		e := pwfakecatalog.Engine()
		e.Slots = slots
		f := pwfleet.New(pwfleet.Config{})
		p := Policy{
			Overload: &pwoverload.Config{},
		}
		d := newDispatcher(f, pwdeployment.Deployment{}, p.withDefaults(), pwobserve.Discard())
		d.configure(pwcatalog.New(pwcatalog.Spec{
			RequireKey: true,
			Services: []pwcatalog.Service{{
				Name:   "model",
				Engine: &e,
			}},
		}))
		for i := range engines {
			f.Upsert(time.Now(), pwcatalog.BackendServer{
				ID:      fmt.Sprint(i),
				Service: "model",
				Address: fmt.Sprint(i),
			})
		}
		var served, refused atomic.Int64
		run := func() {
			arrivedAt := time.Now()
			plan, assignment, err := d.acquire(context.Background(), &pendingRequest{
				req: pwfleet.Request{
					Service:      "model",
					PromptTokens: 5000,
					MaxGap:       250 * time.Millisecond,
				},
				workspace:          "w",
				mayShed:            true,
				arrivedAt:          arrivedAt,
				firstTokenDeadline: arrivedAt.Add(target),
				abandonAt:          arrivedAt.Add(2 * time.Second),
				noServerWaitUntil:  arrivedAt,
				capacityWaitUntil:  arrivedAt.Add(700 * time.Millisecond),
			})
			if waited := time.Since(arrivedAt); waited > target {
				t.Errorf("a request waited for %s, its target is %s", waited, target)
			}
			if err != nil {
				refused.Add(1)
				if pwverdict.VerdictOf(err) != pwverdict.NotRun || pwverdict.AsError(err).RetryAfter() <= 0 {
					t.Errorf("refused with %v, want a Retry-After", err)
				}
				return
			}
			served.Add(1)
			d.withFleet(func(now time.Time, f *pwfleet.Fleet) {
				assignment.EndPrefill()
				if r, _ := f.Room(now, "model"); r.Own > engines*slots {
					t.Errorf("%d requests on %d slots", r.Own, engines*slots)
				}
			})
			time.Sleep(hold)
			d.end(plan, assignment, arrivedAt)
		}
		ctx, cancel := context.WithCancel(t.Context())
		go d.run(ctx)
		for range 500 {
			go run()
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(hold + time.Second)
		cancel()
		synctest.Wait()
		if served.Load() < 90 || refused.Load() < 300 {
			t.Errorf("%d served and %d refused of 500, the slots allow 120", served.Load(), refused.Load())
		}
	})
}

// A peer claims all slots, and short prompts wait at a gateway that uses its quarter share.
// When one of its requests ends, only one of those that wait may exceed the slots.
func TestQueueDoesNotExceedFloorOfSlotsInOnePass(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			slots   = 48
			floor   = slots / 2 / 4
			waiting = 20
		)
		e := pwfakecatalog.Engine()
		e.Slots = slots
		f := pwfleet.New(pwfleet.Config{})
		p := Policy{
			Overload: &pwoverload.Config{},
		}
		d := newDispatcher(f, pwdeployment.Deployment{}, p.withDefaults(), pwobserve.Discard())
		d.configure(pwcatalog.New(pwcatalog.Spec{
			RequireKey: true,
			Services: []pwcatalog.Service{{
				Name:   "model",
				Engine: &e,
			}},
		}))
		f.Upsert(time.Now(), pwcatalog.BackendServer{
			ID:      "e-0",
			Service: "model",
			Address: "e-0",
		})
		f.UpdatePeerLoads(time.Now(), "front-1", []pwfleet.ServerLoad{{
			Server: pwfleet.HashServerID("e-0"),
			Load: pwfleet.Load{
				Requests: slots,
			},
		}})
		ctx, cancel := context.WithCancel(t.Context())
		end := make(chan struct{})
		run := func() {
			now := time.Now()
			plan, assignment, err := d.acquire(ctx, &pendingRequest{
				req: pwfleet.Request{
					Service:      "model",
					PromptTokens: 100,
					MaxGap:       250 * time.Millisecond,
				},
				workspace:          "w",
				mayShed:            true,
				arrivedAt:          now,
				firstTokenDeadline: now.Add(10 * time.Second),
				abandonAt:          now.Add(20 * time.Second),
				noServerWaitUntil:  now,
				capacityWaitUntil:  now.Add(20 * time.Second),
			})
			if err == nil {
				<-end
				d.end(plan, assignment, now)
			}
		}
		own := func() int {
			d.mu.Lock()
			defer d.mu.Unlock()
			r, _ := f.Room(time.Now(), "model")
			return r.Own
		}
		for range floor + waiting {
			go run()
			synctest.Wait()
		}
		if n := own(); n != floor || len(d.waiting) != waiting {
			t.Errorf("%d requests are placed and %d wait, want %d and %d", n, len(d.waiting), floor, waiting)
		}
		end <- struct{}{}
		synctest.Wait()
		if n := own(); n != floor {
			t.Errorf("%d requests are placed after one has ended, want %d", n, floor)
		}
		cancel()
		close(end)
		synctest.Wait()
		if len(d.shortWaiting) != 0 {
			t.Errorf("%v are counted as waiting in an empty queue", d.shortWaiting)
		}
	})
}
