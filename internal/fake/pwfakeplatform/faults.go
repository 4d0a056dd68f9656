package pwfakeplatform

import (
	"context"
	"sync"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// faultInjector adds latency, outages, lost requests and lost responses to the calls
// of a fake service. Its zero value injects no fault.
type faultInjector struct {
	faultsMu  sync.Mutex
	remaining map[Fault]int // number of calls that each fault still affects, or Unlimited
	latency   time.Duration
}

// SetFault makes the fault affect the next n calls. Unlimited keeps the fault on
// and 0 switches it off.
func (f *faultInjector) SetFault(fault Fault, n int) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	if f.remaining == nil {
		f.remaining = map[Fault]int{}
	}
	f.remaining[fault] = n
}

// SetLatency delays every call.
func (f *faultInjector) SetLatency(d time.Duration) {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	f.latency = d
}

// consume reports whether the fault affects the current call, and counts the call.
func (f *faultInjector) consume(fault Fault) bool {
	f.faultsMu.Lock()
	defer f.faultsMu.Unlock()
	n := f.remaining[fault]
	if n > 0 {
		f.remaining[fault] = n - 1
	}
	return n != 0
}

// call waits for the latency and runs apply. FaultOutage and FaultLostRequest
// prevent apply, and FaultLostResponse turns its success into an error.
func (f *faultInjector) call(ctx context.Context, apply func() error) error {
	f.faultsMu.Lock()
	d := f.latency
	f.faultsMu.Unlock()
	if d > 0 {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable, "call ended before it was sent")
	}
	if f.consume(FaultOutage) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseUnavailable, "service is down")
	}
	if f.consume(FaultLostRequest) {
		return lostResponseError()
	}
	if err := apply(); err != nil {
		return err
	}
	if f.consume(FaultLostResponse) {
		return lostResponseError()
	}
	return nil
}
