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

// newOneSlot returns a dispatcher of one engine with one slot.
func newOneSlot() *dispatcher {
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

func longWant() *want {
	return &want{
		req: pwfleet.Request{
			Service:      "model",
			PromptTokens: 60_000,
		},
		arrived:    time.Now(),
		aim:        time.Now().Add(time.Second),
		latest:     time.Now().Add(10 * time.Second),
		givesUp:    time.Now().Add(10 * time.Second),
		waitsUntil: time.Now().Add(10 * time.Second),
	}
}

// A caller that leaves at the moment in which it gets a place hands it on at
// once; the next request doesn't wait for the next round.
func TestPlaceOfACallerThatLeftIsHandedOn(t *testing.T) {
	type result struct {
		booking *pwfleet.Booking
		err     error
	}
	left := 0
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			d := newOneSlot()
			acquire := func(ctx context.Context) <-chan result {
				out := make(chan result, 1)
				go func() {
					_, b, err := d.acquire(ctx, longWant())
					out <- result{
						booking: b,
						err:     err,
					}
				}()
				synctest.Wait()
				return out
			}
			first := <-acquire(t.Context())
			if first.err != nil {
				t.Fatal(first.err)
			}
			ctx, leave := context.WithCancel(t.Context())
			leaves := acquire(ctx)
			next := acquire(t.Context())
			d.mu.Lock()
			leave()
			first.booking.End()
			d.schedule(time.Now())
			d.mu.Unlock()
			synctest.Wait()
			if r := <-leaves; r.err == nil {
				d.with(func(time.Time, *pwfleet.Fleet) { r.booking.End() })
			} else {
				left++
			}
			synctest.Wait()
			select {
			case r := <-next:
				if r.err != nil {
					t.Error(r.err)
				}
			default:
				t.Error("the place is free, and the next request still waits")
				<-next
			}
		})
	}
	if left == 0 {
		t.Error("the caller left in none of the rounds")
	}
}
