package pwfleet

import (
	"fmt"
	"testing"
	"time"
)

// expectedGap is the gap between events of a healthy engine of newTestFleet that
// decodes one answer.
const expectedGap = 45 * time.Millisecond

// Engines that become slow get no short prompts while others have capacity, and are
// used again after their slow period.
func TestSlowEnginesAreAvoided(t *testing.T) {
	f := newTestFleet(6)
	loadEngines(f, 6)
	now := start
	for range 3 {
		now = now.Add(200 * time.Millisecond)
		for i := range 6 {
			gap := expectedGap
			if i < 2 {
				gap *= 4
			}
			f.RecordGap(now, fmt.Sprintf("e-%d", i), gap)
		}
	}
	for range 40 {
		p := mustPlan(t, f, short())
		if p.Server.ID == "e-0" || p.Server.ID == "e-1" {
			t.Fatalf("slow engine %s gets a prompt", p.Server.ID)
		}
		f.Start(now, p)
	}
	for i := range 2 {
		s := f.servers[fmt.Sprintf("e-%d", i)]
		if kept := excludeSlow(now.Add(maxSlowDuration), []*server{s}); len(kept) != 1 {
			t.Errorf("e-%d gets no work after its slow period", i)
		}
	}
}

// When a burst slows all engines down equally, none of them counts as slow.
func TestBurstMarksNoEngineSlow(t *testing.T) {
	f := newTestFleet(6)
	loadEngines(f, 6)
	for step := range 20 {
		for i := range 6 {
			grown := expectedGap + time.Duration(step)*10*time.Millisecond
			if slow, _ := f.RecordGap(start, fmt.Sprintf("e-%d", i), min(2*expectedGap, grown)); slow {
				t.Fatalf("e-%d is slow at step %d", i, step)
			}
		}
	}
}

// The slow period doubles while the engine stays slow, and a new incarnation starts
// without it.
func TestSlowDurationDoublesAndResets(t *testing.T) {
	f := newTestFleet(2)
	loadEngines(f, 2)
	_, begins := f.RecordGap(start, "e-0", 5*expectedGap)
	first := f.servers["e-0"].slowDuration
	if !begins || first != minSlowDuration {
		t.Fatalf("becameSlow is %v for %v, want true for %v", begins, first, minSlowDuration)
	}
	later := start.Add(first + time.Millisecond)
	if _, begins = f.RecordGap(later, "e-0", 5*expectedGap); !begins || f.servers["e-0"].slowDuration != 2*minSlowDuration {
		t.Errorf("still slow: becameSlow is %v for %v, want true for %v", begins, f.servers["e-0"].slowDuration, 2*minSlowDuration)
	}
	again := listed("e-0", "model", "hakata")
	again.StartUnixMS = 2
	f.Upsert(later, again)
	if len(excludeSlow(later, []*server{f.servers["e-0"], f.servers["e-1"]})) != 2 {
		t.Error("a new incarnation still counts as slow")
	}
}
