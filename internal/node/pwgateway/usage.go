package pwgateway

import (
	"math"
	"time"
)

const (
	// usageHalfLife is the time after which past prefill counts half.
	usageHalfLife = 5 * time.Second
	// maxPenalty limits the delay that is added to the queue deadline of a busy
	// workspace's request. It is less than the target of a long prompt, so that the
	// request is still served.
	maxPenalty = 1500 * time.Millisecond
	// maxWorkspaces limits the number of workspaces whose usage is kept.
	maxWorkspaces = 10_000
	// minUsageMS is the usage, in milliseconds of prefill, below which a workspace
	// may be evicted.
	minUsageMS = 1.0
)

// workspaceUsage holds the recent prefill time of each workspace.
type workspaceUsage struct {
	byWorkspace map[string]decayingSum
	total       decayingSum
}

// decayingSum is a sum of milliseconds that decays exponentially, with a half-life
// of usageHalfLife.
type decayingSum struct {
	ms float64
	at time.Time
}

// valueAt returns the sum as it has decayed by now.
func (d decayingSum) valueAt(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.ms * math.Exp2(-float64(now.Sub(d.at))/float64(usageHalfLife))
}

// add returns the sum with ms added at now.
func (d decayingSum) add(now time.Time, ms float64) decayingSum {
	return decayingSum{
		ms: d.valueAt(now) + ms,
		at: now,
	}
}

// charge adds prefill time to a workspace.
func (u *workspaceUsage) charge(now time.Time, workspace string, ms float64) {
	if len(u.byWorkspace) >= maxWorkspaces {
		u.evictIdle(now)
	}
	if _, known := u.byWorkspace[workspace]; known || len(u.byWorkspace) < maxWorkspaces {
		u.byWorkspace[workspace] = u.byWorkspace[workspace].add(now, ms)
	}
	u.total = u.total.add(now, ms)
}

// evictIdle removes the workspaces whose recent usage is below minUsageMS.
func (u *workspaceUsage) evictIdle(now time.Time) {
	for name, d := range u.byWorkspace {
		if d.valueAt(now) < minUsageMS {
			delete(u.byWorkspace, name)
		}
	}
}

// penalty returns the delay that is added to the queue deadlines of a workspace's
// requests. It grows with the usage of the workspace beyond an even share.
func (u *workspaceUsage) penalty(now time.Time, workspace string) time.Duration {
	total, active := u.total.valueAt(now), float64(len(u.byWorkspace))
	if total <= 0 || active < 2 {
		return 0
	}
	excess := u.byWorkspace[workspace].valueAt(now)/total - 1/active
	return time.Duration(min(1, max(0, excess*2)) * float64(maxPenalty))
}
