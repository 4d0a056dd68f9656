package pwqueue

import (
	"math"
	"time"
)

// Limits of the rate estimate.
const (
	// minBusyTime is the time for which requests must have waited without a break
	// before the throughput counts. It is also the counted time below which no rate
	// is known.
	minBusyTime = time.Second
	// minCompletions is the number of recent completions below which no rate is known.
	// While a fleet warms up, the first requests complete long after the queue has
	// filled.
	minCompletions = 8
	// resetAfterWindows is the time without saturation, in windows, after which the
	// estimate is reset because the fleet may have changed.
	resetAfterWindows = 6
)

// rateEstimator estimates the token work per second that the fleet completes while
// requests wait. Time without waiting requests doesn't count, because the throughput
// of a system that isn't saturated doesn't show its capacity. Tokens, completions
// and busySeconds are sums that decay with the window as their time constant.
type rateEstimator struct {
	window      time.Duration
	updatedAt   time.Time
	tokens      float64
	completions float64
	busySeconds float64
}

// advance brings the estimate up to now. The caller sets waiting if requests have
// waited since the last call.
func (e *rateEstimator) advance(now time.Time, waiting bool) {
	dt := now.Sub(e.updatedAt)
	if dt <= 0 {
		return
	}
	e.updatedAt = now
	switch {
	case waiting:
		k := math.Exp(-dt.Seconds() / e.window.Seconds())
		e.tokens *= k
		e.completions *= k
		e.busySeconds = e.busySeconds*k + e.window.Seconds()*(1-k)
	case dt > resetAfterWindows*e.window:
		e.tokens, e.completions, e.busySeconds = 0, 0, 0
	}
}

// add adds the work of a completed request.
func (e *rateEstimator) add(tokens int64) {
	e.tokens += float64(max(0, tokens))
	e.completions++
}

// perSecond returns the rate, or false while there are too few observations. No rate
// is returned before the first completion: with a long prompt at the start, the rate
// would be 0 and every request behind that prompt would be refused.
func (e *rateEstimator) perSecond() (float64, bool) {
	if e.busySeconds < minBusyTime.Seconds() || e.completions < minCompletions {
		return 0, false
	}
	return e.tokens / e.busySeconds, true
}
