// Package pwwarmup bounds the number of attempts that run at once on a backend
// server that is warming up. The bound starts low and doubles after each interval
// with few slow observations. A server that becomes cold later is detected by its
// first-token and step times, and its bound returns to the start value.
//
// # Usage
//
//	r := pwwarmup.New(pwwarmup.Config{StartBound: 2, FullBound: 32}, now)
//	r.ObserveStep(now, 40*time.Millisecond)
//	if running < r.Bound(now) {
//		// accept one more attempt
//	}
//
// A Ramp is not safe for concurrent use.
package pwwarmup

import (
	"cmp"
	"math/bits"
	"time"
)

// Defaults of Config.
const (
	// DefaultStartBound is the bound of a cold server, in attempts.
	DefaultStartBound = 2
	// DefaultFullBound is the bound of a warm server, in attempts.
	DefaultFullBound = 32
	// DefaultInterval is the time between doublings.
	DefaultInterval = 5 * time.Second
	// DefaultSlowFactor is the multiple of the baseline that counts as slow.
	DefaultSlowFactor = 4
	// DefaultColdAfter is the number of consecutive slow observations after which a
	// server counts as cold. Fewer can come from long prefill chunks.
	DefaultColdAfter = 5
	// DefaultMinObservations is the number of observations that an interval needs
	// for the bound to double.
	DefaultMinObservations = 4
	// DefaultMaxSlowPercent is the percentage of slow observations that an interval
	// tolerates. Without a tolerance, chunks of long prompts between the steps could
	// keep a server at its start bound permanently.
	DefaultMaxSlowPercent = 5
	// DefaultRelearnAfter is the time of uninterrupted slow observations after which
	// a baseline is relearned, because the engine runs a slower model.
	DefaultRelearnAfter = 10 * time.Minute
)

// Config configures the bounds of a Ramp and its detection of a cold server. Zero
// fields take their defaults.
type Config struct {
	// StartBound is the bound of a cold server, in attempts.
	StartBound int
	// FullBound is the bound of a warm server, in attempts.
	FullBound int
	// Interval is the time with few slow observations after which the bound doubles.
	Interval time.Duration
	// SlowFactor is the multiple of the baseline that counts as slow.
	SlowFactor float64
	// ColdAfter is the number of consecutive slow observations of the same kind after
	// which the server counts as cold.
	ColdAfter int
	// MinObservations is the number of observations that an interval needs for the
	// bound to double, because an idle server doesn't show whether it is warm.
	MinObservations int
	// MaxSlowPercent is the percentage of an interval's observations that may be slow
	// without preventing the doubling.
	MaxSlowPercent int
	// RelearnAfter is the time of uninterrupted slow observations of the same kind
	// after which their baseline is relearned.
	RelearnAfter time.Duration
}

func (c Config) withDefaults() Config {
	c.FullBound = max(1, cmp.Or(c.FullBound, DefaultFullBound))
	c.StartBound = min(max(1, cmp.Or(c.StartBound, DefaultStartBound)), c.FullBound)
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.SlowFactor = cmp.Or(c.SlowFactor, DefaultSlowFactor)
	c.ColdAfter = cmp.Or(c.ColdAfter, DefaultColdAfter)
	c.MinObservations = cmp.Or(c.MinObservations, DefaultMinObservations)
	c.MaxSlowPercent = cmp.Or(c.MaxSlowPercent, DefaultMaxSlowPercent)
	c.RelearnAfter = cmp.Or(c.RelearnAfter, DefaultRelearnAfter)
	return c
}

// lengthBuckets is the number of first-token baselines: one for each power of two
// of prefilled tokens, up to 4 million.
const lengthBuckets = 23

// Ramp holds the bound of one backend server and the observations that decide it.
type Ramp struct {
	cfg   Config
	bound int
	// intervalStart is the time of the first observation in the current interval, or
	// the start of the interval before that observation. The counts below it refer to
	// the same interval.
	intervalStart    time.Time
	observations     int
	slowObservations int

	step            baseline
	firstToken      [lengthBuckets]baseline
	slowSteps       slowStreak
	slowFirstTokens slowStreak
	coldDetections  int
}

// slowStreak counts consecutive slow observations of one kind.
type slowStreak struct {
	count int
	since time.Time
}

// New returns the ramp of a cold server.
func New(cfg Config, now time.Time) *Ramp {
	cfg = cfg.withDefaults()
	r := &Ramp{
		cfg:           cfg,
		bound:         cfg.StartBound,
		intervalStart: now,
		step:          stepBaseline,
	}
	for i := range r.firstToken {
		r.firstToken[i] = firstTokenBaseline
	}
	return r
}

// Reconfigure changes the configuration. A warm server stays warm, and any other
// bound is limited to the new range.
func (r *Ramp) Reconfigure(now time.Time, cfg Config) {
	warm := r.IsWarm()
	r.cfg = cfg.withDefaults()
	r.bound = min(max(r.bound, r.cfg.StartBound), r.cfg.FullBound)
	if warm {
		r.bound = r.cfg.FullBound
	}
	r.Bound(now)
}

// Bound returns the largest number of attempts that may run at once. It doubles the
// bound first if the current interval allows it.
func (r *Ramp) Bound(now time.Time) int {
	if r.IsWarm() || r.observations < r.cfg.MinObservations || now.Sub(r.intervalStart) < r.cfg.Interval {
		return r.bound
	}
	if r.slowObservations*100 <= r.observations*r.cfg.MaxSlowPercent {
		r.bound = min(2*r.bound, r.cfg.FullBound)
	}
	r.startInterval(now)
	return r.bound
}

// FullBound returns the bound of a warm server.
func (r *Ramp) FullBound() int { return r.cfg.FullBound }

// IsWarm reports whether the bound has reached the full bound.
func (r *Ramp) IsWarm() bool { return r.bound == r.cfg.FullBound }

// ColdDetections returns how many times the server was found to have become cold.
func (r *Ramp) ColdDetections() int { return r.coldDetections }

// TimeToNextIncrease returns the shortest time until the bound can double, or 0 when
// the server is warm.
func (r *Ramp) TimeToNextIncrease(now time.Time) time.Duration {
	if r.IsWarm() {
		return 0
	}
	if r.observations == 0 {
		return r.cfg.Interval
	}
	return max(0, r.cfg.Interval-now.Sub(r.intervalStart))
}

// Restart sets the bound to the start bound after the engine has restarted or the
// server has been brought back into service. The baselines are kept, because they
// depend on the hardware and the model and are needed to detect a cold server.
func (r *Ramp) Restart(now time.Time) {
	r.bound = r.cfg.StartBound
	r.slowSteps, r.slowFirstTokens = slowStreak{}, slowStreak{}
	r.startInterval(now)
}

// ObserveStep records the duration of one decoding step.
func (r *Ramp) ObserveStep(now time.Time, d time.Duration) {
	r.observe(now, &r.step, &r.slowSteps, d)
}

// ObserveFirstToken records the time to the first token of a prompt, during which n
// tokens were prefilled.
func (r *Ramp) ObserveFirstToken(now time.Time, n int64, d time.Duration) {
	i := min(bits.Len64(uint64(max(0, n))), lengthBuckets-1)
	r.observe(now, &r.firstToken[i], &r.slowFirstTokens, d)
}

// observe records an observation of one kind, with the baseline and the streak of
// slow observations of that kind.
func (r *Ramp) observe(now time.Time, b *baseline, streak *slowStreak, d time.Duration) {
	if d < 0 {
		return
	}
	r.Bound(now)
	if r.observations == 0 {
		r.intervalStart = now
	}
	r.observations++
	if !b.isSlow(d, r.cfg.SlowFactor) {
		b.update(d)
		*streak = slowStreak{}
		return
	}
	r.slowObservations++
	streak.count++
	if streak.count == 1 {
		streak.since = now
	}
	if streak.count >= r.cfg.ColdAfter {
		if !r.atStartBound() {
			r.coldDetections++
		}
		r.bound = r.cfg.StartBound
		r.startInterval(now)
	}
	if now.Sub(streak.since) >= r.cfg.RelearnAfter {
		*streak = slowStreak{}
		b.samples = 0
		b.update(d)
	}
}

func (r *Ramp) atStartBound() bool { return r.bound == r.cfg.StartBound }

func (r *Ramp) startInterval(now time.Time) {
	r.intervalStart = now
	r.observations = 0
	r.slowObservations = 0
}
