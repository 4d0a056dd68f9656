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

// Resets of connections to many servers at the same time have a local cause, such as
// a machine that drops half of its connections. Several requests per server fail.
func TestSimultaneousResetsMakeNoServerSuspect(t *testing.T) {
	const engines, affected = 20, 12
	f := newTestFleet(engines)
	loadEngines(f, engines)
	for request := range 3 {
		for i := range affected {
			f.RecordFailure(start.Add(time.Duration(10*request+i)*time.Millisecond), fmt.Sprintf("e-%d", i), FailureReset)
		}
	}
	now := start.Add(50 * time.Millisecond)
	for i := range engines {
		if why := f.unusableReason(now, f.servers[fmt.Sprintf("e-%d", i)], nil); why != "" {
			t.Errorf("e-%d gets no work: %s", i, why)
		}
	}
}

// A server that stops resets all of its connections, which counts as one failure.
func TestManyResetsOfOneServerCountOnce(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 8 {
		f.RecordFailure(start.Add(time.Duration(i)*time.Millisecond), "e-3", FailureReset)
	}
	if why := f.unusableReason(start.Add(time.Millisecond), f.servers["e-3"], nil); why != "suspect" {
		t.Errorf("reason right after the failure is %q, want suspect", why)
	}
	if why := f.unusableReason(start.Add(DefaultMinSuspectDuration+10*time.Millisecond), f.servers["e-3"], nil); why != "" {
		t.Errorf("reason after the first cooldown is %q, want none", why)
	}
}

// A server that fails again after its cooldown is avoided for longer.
func TestRepeatedFailuresLengthenSuspicion(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	first := f.RecordFailure(start, "e-3", FailureReset)
	again := f.RecordFailure(start.Add(first+time.Millisecond), "e-3", FailureConnect)
	if again <= first {
		t.Errorf("cooldowns %v and %v, want the second to be longer", first, again)
	}
}

// When only a few of many servers stop at the same time, the fault isn't local and
// they become suspect.
func TestFewSimultaneousFailuresAreSuspect(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 3 {
		f.RecordFailure(start, fmt.Sprintf("e-%d", i), FailureReset)
	}
	for i := range 3 {
		if why := f.unusableReason(start, f.servers[fmt.Sprintf("e-%d", i)], nil); why != "suspect" {
			t.Errorf("e-%d is %q, want suspect", i, why)
		}
	}
}

// Missing and failed responses always count against a server, also when many servers
// fail at the same time.
func TestUnresponsiveServersAreSuspect(t *testing.T) {
	f := newTestFleet(20)
	loadEngines(f, 20)
	for i := range 12 {
		if f.RecordFailure(start, fmt.Sprintf("e-%d", i), FailureResponse) == 0 {
			t.Errorf("e-%d is not avoided", i)
		}
	}
}
