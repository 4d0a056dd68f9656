package pwgateway

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time after which reading counts half.
	usageHalfLife = 5 * time.Second
	// maxPenalty bounds how much later a request of a busy workspace counts as
	// due: less than a long prompt's target, so that it still gets its turn.
	maxPenalty = 1500 * time.Millisecond
	// maxWorkspaces bounds the workspaces whose reading is remembered.
	maxWorkspaces = 10_000
	// leastUsage is the reading, in milliseconds, that is forgotten.
	leastUsage = 1.0
)

// usage is the reading that each workspace had lately.
type usage struct {
	used  map[string]decayed
	total decayed
}

// decayed is a sum that halves with time.
type decayed struct {
	ms float64
	at time.Time
}

func (d decayed) now(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.ms * math.Exp2(-float64(now.Sub(d.at))/float64(usageHalfLife))
}

func (d decayed) plus(now time.Time, ms float64) decayed {
	return decayed{
		ms: d.now(now) + ms,
		at: now,
	}
}

// charge adds reading to a workspace.
func (u *usage) charge(now time.Time, workspace string, ms float64) {
	if len(u.used) >= maxWorkspaces {
		u.forget(now)
	}
	if _, known := u.used[workspace]; known || len(u.used) < maxWorkspaces {
		u.used[workspace] = u.used[workspace].plus(now, ms)
	}
	u.total = u.total.plus(now, ms)
}

// forget drops workspaces that had next to nothing lately.
func (u *usage) forget(now time.Time) {
	for name, d := range u.used {
		if d.now(now) < leastUsage {
			delete(u.used, name)
		}
	}
}

// penalty grows with what a workspace had beyond an even share.
func (u *usage) penalty(now time.Time, workspace string) time.Duration {
	total, active := u.total.now(now), float64(len(u.used))
	if total <= 0 || active < 2 {
		return 0
	}
	excess := u.used[workspace].now(now)/total - 1/active
	return time.Duration(min(1, max(0, excess*2)) * float64(maxPenalty))
}
