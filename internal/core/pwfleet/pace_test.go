package pwfleet

import (
	"fmt"
	"testing"
	"time"
)

// pauseOf is the pause between events of a healthy engine of newTestFleet that
// writes one answer.
const pauseOf = 45 * time.Millisecond

// Engines that turn slow get no short prompts while others have room, and are
// tried again after their pause.
func TestSlowEnginesAreAvoided(t *testing.T) {
	f := newTestFleet(6)
	loadEngines(f, 6)
	now := start
	for range 3 {
		now = now.Add(200 * time.Millisecond)
		for i := range 6 {
			pause := pauseOf
			if i < 2 {
				pause *= 4
			}
			f.RecordGap(now, fmt.Sprintf("e-%d", i), pause)
		}
	}
	for range 40 {
		p := mustPlan(t, f, short())
		if p.Server.ID == "e-0" || p.Server.ID == "e-1" {
			t.Fatalf("%s gets a prompt although it is slow", p.Server.ID)
		}
		f.Start(now, p)
	}
	for i := range 2 {
		s := f.servers[fmt.Sprintf("e-%d", i)]
		if kept := withoutSlow(now.Add(maxSlow), []*server{s}); len(kept) != 1 {
			t.Errorf("e-%d is not tried again", i)
		}
	}
}

// A burst slows all engines down alike; none of them is slow.
func TestBurstMakesNoEngineSlow(t *testing.T) {
	f := newTestFleet(6)
	loadEngines(f, 6)
	for step := range 20 {
		for i := range 6 {
			grown := pauseOf + time.Duration(step)*10*time.Millisecond
			if slow, _ := f.RecordGap(start, fmt.Sprintf("e-%d", i), min(2*pauseOf, grown)); slow {
				t.Fatalf("e-%d is slow at step %d", i, step)
			}
		}
	}
}

// A pause grows while the engine stays slow, and a new incarnation starts anew.
func TestSlowPauseGrows(t *testing.T) {
	f := newTestFleet(2)
	loadEngines(f, 2)
	_, begins := f.RecordGap(start, "e-0", 5*pauseOf)
	first := f.servers["e-0"].slowFor
	if !begins || first != minSlow {
		t.Fatalf("begins %v for %v, want %v", begins, first, minSlow)
	}
	later := start.Add(first + time.Millisecond)
	if _, begins = f.RecordGap(later, "e-0", 5*pauseOf); !begins || f.servers["e-0"].slowFor != 2*minSlow {
		t.Errorf("still slow: begins %v for %v, want %v", begins, f.servers["e-0"].slowFor, 2*minSlow)
	}
	again := listed("e-0", "model", "hakata")
	again.StartUnixMS = 2
	f.Upsert(later, again)
	if len(withoutSlow(later, []*server{f.servers["e-0"], f.servers["e-1"]})) != 2 {
		t.Error("a new incarnation still counts as slow")
	}
}
