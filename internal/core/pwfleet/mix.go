package pwfleet

import "time"

const (
	// mixSlot is the resolution in which arrivals are counted, and mixSlots how many slots
	// are kept.
	mixSlot  = 500 * time.Millisecond
	mixSlots = 40
	// mixRecentSlots is the number of slots that are compared with those before, of which
	// there must be at least mixMinSlots.
	mixRecentSlots = 4
	mixMinSlots    = 4
	// mixShortChange is the factor by which the rate of short prompts must have changed for
	// the mix to have turned. Their number is large, so that chance changes it little.
	mixShortChange = 1.33
	// mixMinLong is the number of long prompts below which their rate says nothing.
	mixMinLong = 5
)

// Defaults of the UnevenDemand fields.
const (
	DefaultTurnRatio = 2.5
	DefaultTurnHold  = time.Minute
)

// UnevenDemand configures placement while the mix of short and long prompts turns. Zero
// fields take their defaults.
type UnevenDemand struct {
	Enabled bool
	// TurnRatio is the factor by which the number of long prompts for each short one must
	// change within seconds for the mix to have turned.
	TurnRatio float64
	// TurnHold is how long the demand counts as uneven after the mix has turned.
	TurnHold time.Duration
}

// mixSlotCount counts the prompts that were sent to engines within one slot.
type mixSlotCount struct {
	short int
	long  int
}

// mix watches the mix of short and long prompts that all processes send to engines.
type mix struct {
	slots [mixSlots]mixSlotCount
	// startedAt is when slot 0 begins. Slots are numbered by the time since then, which a
	// step of the time of day doesn't change.
	startedAt time.Time
	// newest is the number of the slot that was last written.
	newest int64
	// unevenUntil is the time until which the demand counts as uneven.
	unevenUntil time.Time
}

// add counts prompts. Negative numbers are ignored.
func (x *mix) add(now time.Time, short, long int) {
	if short <= 0 && long <= 0 {
		return
	}
	x.advance(now)
	s := &x.slots[x.newest%mixSlots]
	s.short += max(0, short)
	s.long += max(0, long)
}

func (x *mix) advance(now time.Time) {
	if x.startedAt.IsZero() {
		x.startedAt = now
	}
	slot := int64(now.Sub(x.startedAt) / mixSlot)
	for n := min(slot-x.newest, mixSlots); n > 0; n-- {
		x.slots[(slot-n+1)%mixSlots] = mixSlotCount{}
	}
	x.newest = max(x.newest, slot)
}

// sums returns the arrivals of the last slots and those before, with the number of slots of
// the latter.
func (x *mix) sums(now time.Time) (recent, before mixSlotCount, beforeSlots int64) {
	x.advance(now)
	slots := min(x.newest+1, mixSlots)
	for age := range slots {
		sum := &before
		if age < mixRecentSlots {
			sum = &recent
		}
		s := x.slots[(x.newest-age)%mixSlots]
		sum.short += s.short
		sum.long += s.long
	}
	return recent, before, slots - mixRecentSlots
}

// update compares the last seconds with those before.
func (x *mix) update(now time.Time, cfg UnevenDemand) {
	recent, before, beforeSlots := x.sums(now)
	if beforeSlots < mixMinSlots || recent.long < mixMinLong && before.long < mixMinLong {
		return
	}
	// One more of each keeps the ratios finite.
	scale := float64(beforeSlots) / mixRecentSlots
	shortChange := float64(recent.short+1) * scale / (float64(before.short) + scale)
	longChange := float64(recent.long+1) * scale / (float64(before.long) + scale)
	toLong := shortChange <= 1/mixShortChange && longChange >= 1 && longChange >= cfg.TurnRatio*shortChange
	toShort := shortChange >= mixShortChange && longChange <= 1 && shortChange >= cfg.TurnRatio*longChange
	if toLong || toShort {
		x.unevenUntil = now.Add(cfg.TurnHold)
	}
}

// ArrivalMix is the rate of short and long prompts in a time.
type ArrivalMix struct {
	ShortPerSecond float64
	LongPerSecond  float64
}

func (c mixSlotCount) rates(slots int64) ArrivalMix {
	seconds := mixSlot.Seconds() * float64(max(1, slots))
	return ArrivalMix{
		ShortPerSecond: float64(c.short) / seconds,
		LongPerSecond:  float64(c.long) / seconds,
	}
}

// Mix returns the mix of the last two seconds and that of the time before.
func (f *Fleet) Mix(now time.Time) (recent, before ArrivalMix) {
	r, b, slots := f.mix.sums(now)
	return r.rates(mixRecentSlots), b.rates(slots)
}

// IsDemandUneven reports whether the mix of short and long prompts has lately turned. It is
// always false unless Config.UnevenDemand enables it.
func (f *Fleet) IsDemandUneven(now time.Time) bool {
	return f.cfg.UnevenDemand.Enabled && now.Before(f.mix.unevenUntil)
}

// updateMix compares the mix of the last seconds with the mix before.
func (f *Fleet) updateMix(now time.Time) {
	if f.cfg.UnevenDemand.Enabled && now.Sub(f.mixAt) >= mixSlot {
		f.mixAt = now
		f.mix.update(now, f.cfg.UnevenDemand)
	}
}

// recordMix counts the requests that an added load stands for. Streams that allow only
// short gaps are the short prompts, and those that allow long ones the long prompts.
func (f *Fleet) recordMix(now time.Time, before, after Load) {
	long := func(l Load) int { return l.Requests - l.TightStreams - l.MediumStreams }
	f.mix.add(now, after.TightStreams-before.TightStreams, long(after)-long(before))
}
