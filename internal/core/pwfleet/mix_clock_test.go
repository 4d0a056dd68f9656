package pwfleet

import (
	"testing"
	"time"
	"unsafe"
)

// stepped returns t as it is read after the time of day was stepped by d. The monotonic
// reading, the second word of a time.Time, stays that of t.
func stepped(t *testing.T, at time.Time, d time.Duration) time.Time {
	t.Helper()
	out := at.Add(d)
	monotonic := (*int64)(unsafe.Add(unsafe.Pointer(&out), unsafe.Sizeof(uint64(0))))
	*monotonic -= int64(d)
	if out.Sub(at) != 0 || out.UnixNano()-at.UnixNano() != int64(d) {
		t.Fatal("time.Time has another layout; the step isn't modelled")
	}
	return out
}

// A step of the time of day, back or ahead, leaves the count of arrivals as it is.
func TestStepOfTimeOfDayLeavesMix(t *testing.T) {
	begin := time.Now()
	wantRecent := mixSlotCount{
		short: 40,
		long:  4,
	}
	wantBefore := mixSlotCount{
		short: 160,
		long:  16,
	}
	for _, step := range []time.Duration{0, -8 * time.Second, 8 * time.Second, time.Hour} {
		var x mix
		now := begin
		for i := range 20 {
			now = begin.Add(time.Duration(i) * mixSlot)
			if i >= 10 {
				now = stepped(t, now, step)
			}
			x.add(now, 10, 1)
		}
		recent, before, slots := x.sums(now)
		if recent != wantRecent || before != wantBefore || slots != 16 {
			t.Errorf("step of %v: recent %+v, before %+v in %d slots", step, recent, before, slots)
		}
	}
}
