package pwfleet

import (
	"testing"
	"time"
)

func BenchmarkPlanLong(b *testing.B) {
	f := newTestFleet(7500)
	for b.Loop() {
		if _, err := f.Plan(start, long(133_000)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkPlanShort(b *testing.B) {
	f := newTestFleet(7500)
	now := start
	for b.Loop() {
		now = now.Add(time.Microsecond)
		if _, err := f.Plan(now, short()); err != nil {
			b.Fatal(err)
		}
	}
}
