package pwfleet

import (
	"fmt"
	"testing"
	"time"
)

// loadEngines starts a short prompt on each of n engines.
func loadEngines(f *Fleet, n int) {
	for i := range n {
		f.Start(start, Plan{
			Server: listed(fmt.Sprintf("e-%d", i), "model", "hakata"),
			Short:  true,
		})
	}
}

// The load of connections that are reset on this side, as a machine that drops
// half of its connections sees it: several requests a server, all at once.
func TestResetsOfManyConnectionsBlameNoServer(t *testing.T) {
	const engines, struck = 20, 12
	f := newTestFleet(engines)
	loadEngines(f, engines)
	for request := range 3 {
		for i := range struck {
			f.RecordFailure(start.Add(time.Duration(10*request+i)*time.Millisecond), fmt.Sprintf("e-%d", i), FailureReset)
		}
	}
	now := start.Add(50 * time.Millisecond)
	for i := range engines {
		if why := f.usable(now, f.servers[fmt.Sprintf("e-%d", i)], nil); why != "" {
			t.Errorf("e-%d gets no work: %s", i, why)
		}
	}
}

// A server that ends breaks all its connections, which is one failure.
func TestOneServerThatBreaksManyConnectionsFailsOnce(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 8 {
		f.RecordFailure(start.Add(time.Duration(i)*time.Millisecond), "e-3", FailureReset)
	}
	if why := f.usable(start.Add(time.Millisecond), f.servers["e-3"], nil); why != "suspect" {
		t.Errorf("right after the failure the engine is %q, want suspect", why)
	}
	if why := f.usable(start.Add(DefaultMinSuspectDuration+10*time.Millisecond), f.servers["e-3"], nil); why != "" {
		t.Errorf("after the first pause the engine is still %q", why)
	}
}

// A server that fails again after its pause is avoided for longer.
func TestRepeatedFailuresLengthenThePause(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	first := f.RecordFailure(start, "e-3", FailureReset)
	again := f.RecordFailure(start.Add(first+time.Millisecond), "e-3", FailureConnect)
	if again <= first {
		t.Errorf("pauses %v and %v, want the second to be longer", first, again)
	}
}

// A few servers of many that end together are to blame.
func TestServersThatEndTogetherAreSuspect(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 3 {
		f.RecordFailure(start, fmt.Sprintf("e-%d", i), FailureReset)
	}
	for i := range 3 {
		if why := f.usable(start, f.servers[fmt.Sprintf("e-%d", i)], nil); why != "suspect" {
			t.Errorf("e-%d is %q, want suspect", i, why)
		}
	}
}

// Silence and failed answers count each, also when many servers show them.
func TestSilentServersAreSuspect(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 12 {
		if f.RecordFailure(start, fmt.Sprintf("e-%d", i), FailureResponse) == 0 {
			t.Errorf("e-%d is not avoided", i)
		}
	}
}
