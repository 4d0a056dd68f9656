package pwgateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/node/pwobserve"
)

// newOneSlotDispatcher returns a dispatcher whose only engine has a single slot.
func newOneSlotDispatcher() *dispatcher {
	e := pwfakecatalog.Engine()
	e.Slots = 1
	f := pwfleet.New(pwfleet.Config{})
	f.Configure([]pwcatalog.Service{{
		Name:   "model",
		Engine: &e,
	}})
	f.Upsert(time.Now(), pwcatalog.BackendServer{
		ID:      "e-0",
		Service: "model",
		Address: "e-0",
	})
	return newDispatcher(f, pwdeployment.Deployment{}, Policy{}.withDefaults(), pwobserve.Discard())
}

// newLongRequest returns a request with a long prompt that may wait for 10 s.
func newLongRequest() *pendingRequest {
	return &pendingRequest{
		req: pwfleet.Request{
			Service:      "model",
			PromptTokens: 60_000,
		},
		arrivedAt:          time.Now(),
		firstTokenDeadline: time.Now().Add(time.Second),
		abandonAt:          time.Now().Add(10 * time.Second),
		noServerWaitUntil:  time.Now().Add(10 * time.Second),
		capacityWaitUntil:  time.Now().Add(10 * time.Second),
	}
}

// A caller may leave at the moment in which its request gets the slot. The slot must
// then go to the next request at once, and not when the queue is scheduled again.
func TestSlotOfDepartedCallerGoesToNextRequest(t *testing.T) {
	type result struct {
		assignment *pwfleet.Assignment
		err        error
	}
	departures := 0
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			d := newOneSlotDispatcher()
			acquire := func(ctx context.Context) <-chan result {
				out := make(chan result, 1)
				go func() {
					_, assignment, err := d.acquire(ctx, newLongRequest())
					out <- result{
						assignment: assignment,
						err:        err,
					}
				}()
				synctest.Wait()
				return out
			}
			first := <-acquire(t.Context())
			if first.err != nil {
				t.Fatal(first.err)
			}
			ctx, cancel := context.WithCancel(t.Context())
			departing := acquire(ctx)
			next := acquire(t.Context())
			d.mu.Lock()
			cancel()
			first.assignment.End()
			d.schedule(time.Now())
			d.mu.Unlock()
			synctest.Wait()
			if r := <-departing; r.err == nil {
				d.withFleet(func(time.Time, *pwfleet.Fleet) { r.assignment.End() })
			} else {
				departures++
			}
			synctest.Wait()
			select {
			case r := <-next:
				if r.err != nil {
					t.Error(r.err)
				}
			default:
				t.Error("the slot is free, but the next request still waits")
				<-next
			}
		})
	}
	if departures == 0 {
		t.Error("the caller left in none of the rounds")
	}
}

// Without uneven_demand no progress is tracked, and placing a divided prompt must not
// schedule the empty queue.
func TestDividedPromptWakesNothingUnlessTracked(t *testing.T) {
	d := newOneSlotDispatcher()
	for _, id := range []string{"e-1", "e-2", "e-3"} {
		d.fleet.Upsert(time.Now(), pwcatalog.BackendServer{
			ID:      id,
			Service: "model",
			Address: id,
		})
	}
	plan, assignment, err := d.acquire(t.Context(), newLongRequest())
	if err != nil {
		t.Fatal(err)
	}
	defer assignment.End()
	if len(plan.Helpers) == 0 {
		t.Fatal("the prompt isn't divided")
	}
	if len(d.wake) > 0 {
		t.Error("the queue is scheduled")
	}
}
