package pwobserve

import (
	"math"
	"runtime/metrics"
	"slices"
	"sync"
	"time"
)

// turnWaitMetric is the distribution of the time for which goroutines that could run waited
// for their turn. The runtime samples one in eight of them.
const turnWaitMetric = "/sched/latencies:seconds"

// TurnMark is a point in time from which on waits for a turn are looked at.
type TurnMark struct {
	counts []uint64
}

// turnWaits holds the longest waits since they were last taken, by cause.
type turnWaits struct {
	mu      sync.Mutex
	last    TurnMark
	longest map[string]time.Duration
}

// MarkTurns returns a mark of now.
func (o *Observer) MarkTurns() TurnMark {
	return TurnMark{
		counts: slices.Clone(readTurnWaits().Counts),
	}
}

// ObserveTurns records the longest wait for a turn since a mark as one that work of the
// given cause has gone along with.
func (o *Observer) ObserveTurns(cause string, since TurnMark) {
	wait := longestSince(readTurnWaits(), since)
	o.turns.mu.Lock()
	defer o.turns.mu.Unlock()
	if o.turns.longest == nil {
		o.turns.longest = make(map[string]time.Duration)
	}
	o.turns.longest[cause] = max(o.turns.longest[cause], wait)
}

// ExportTurnWaits sets the gauges of the longest waits for a turn since it was last called:
// of all, and of those that went along with each cause.
func (o *Observer) ExportTurnWaits() {
	o.turns.mu.Lock()
	defer o.turns.mu.Unlock()
	h := readTurnWaits()
	o.SetGauge("turn_wait_longest_us", longestSince(h, o.turns.last).Microseconds())
	o.turns.last = TurnMark{
		counts: slices.Clone(h.Counts),
	}
	for cause, wait := range o.turns.longest {
		o.SetGauge("turn_wait_longest_"+cause+"_us", wait.Microseconds())
		o.turns.longest[cause] = 0
	}
}

func readTurnWaits() *metrics.Float64Histogram {
	sample := []metrics.Sample{{
		Name: turnWaitMetric,
	}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return &metrics.Float64Histogram{}
	}
	return sample[0].Value.Float64Histogram()
}

// longestSince returns the lower bound of the longest waits since a mark.
func longestSince(h *metrics.Float64Histogram, since TurnMark) time.Duration {
	for i := len(h.Counts) - 1; i >= 0; i-- {
		if i < len(since.counts) && h.Counts[i] <= since.counts[i] || h.Counts[i] == 0 {
			continue
		}
		if seconds := h.Buckets[i]; !math.IsInf(seconds, 0) {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return 0
}
