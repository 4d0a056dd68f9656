// Package pwwarmup bounds the number of attempts on a fresh or cold backend
// server. The bound starts low and doubles after each interval without slow
// observations. A server that becomes cold without warning is recognised by its
// first-token and step times, and the bound returns to its start.
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
	// DefaultColdAfter is the number of slow observations in a row that mark a
	// server as cold. Single slow observations come from long prefill chunks.
	DefaultColdAfter = 5
	// DefaultMinObservations is the number of observations in an interval
	// without which the bound does not double.
	DefaultMinObservations = 4
	// DefaultMaxSlowPercent tolerates single slow observations in an interval:
	// a chunk of a long prompt between two steps must not hold a warm server at
	// its start bound for ever.
	DefaultMaxSlowPercent = 5
	// DefaultRelearnAfter is the time of lasting slowness after which a
	// baseline is learned again, because the engine runs something slower.
	DefaultRelearnAfter = 10 * time.Minute
)

// Config sets the bounds of a ramp and how it detects a cold server. Zero
// values take the defaults.
type Config struct {
	// StartBound is the bound of a cold server, in attempts.
	StartBound int
	// FullBound is the bound of a warm server, in attempts.
	FullBound int
	// Interval is the time without slow observations before a doubling.
	Interval time.Duration
	// SlowFactor is the multiple of the baseline that counts as slow.
	SlowFactor float64
	// ColdAfter is the number of slow observations in a row, of the same kind,
	// that mark the server as cold.
	ColdAfter int
	// MinObservations is the number of observations that an interval needs; an
	// idle server shows nothing about its warmth.
	MinObservations int
	// MaxSlowPercent is the part of an interval's observations that may be slow
	// without preventing the doubling.
	MaxSlowPercent int
	// RelearnAfter is the time of lasting slowness after which a baseline is
	// learned again.
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

// lengthBuckets is the number of amounts of prefill with a first-token baseline
// of their own: one for each power of two up to 4 million tokens.
const lengthBuckets = 23

// Ramp is the state of one backend server.
type Ramp struct {
	cfg   Config
	bound int
	// The interval in progress: its first observation, or its start while there
	// is none, and the counts of observations.
	intervalStart time.Time
	observed      int
	slow          int

	step        baseline
	firstToken  [lengthBuckets]baseline
	slowSteps   slowRun
	slowFirsts  slowRun
	coldChanges int
}

// slowRun is a run of slow observations of one kind without a normal one.
type slowRun struct {
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

// Reconfigure puts new bounds and rules in force. A warm server stays warm, and
// the bound of a cold one is kept within the new bounds.
func (r *Ramp) Reconfigure(now time.Time, cfg Config) {
	warm := r.IsWarm()
	r.cfg = cfg.withDefaults()
	r.bound = min(max(r.bound, r.cfg.StartBound), r.cfg.FullBound)
	if warm {
		r.bound = r.cfg.FullBound
	}
	r.Bound(now)
}

// Bound returns the largest number of attempts at once.
func (r *Ramp) Bound(now time.Time) int {
	if r.IsWarm() || r.observed < r.cfg.MinObservations || now.Sub(r.intervalStart) < r.cfg.Interval {
		return r.bound
	}
	if r.slow*100 <= r.observed*r.cfg.MaxSlowPercent {
		r.bound = min(2*r.bound, r.cfg.FullBound)
	}
	r.nextInterval(now)
	return r.bound
}

// FullBound returns the bound of a warm server.
func (r *Ramp) FullBound() int { return r.cfg.FullBound }

// IsWarm reports whether the full bound is reached.
func (r *Ramp) IsWarm() bool { return r.bound == r.cfg.FullBound }

// ColdDetections returns how often the server was found to have become cold.
func (r *Ramp) ColdDetections() int { return r.coldChanges }

// TimeToNextIncrease returns the shortest time until the bound can double, 0 when it is
// full.
func (r *Ramp) TimeToNextIncrease(now time.Time) time.Duration {
	if r.IsWarm() {
		return 0
	}
	if r.observed == 0 {
		return r.cfg.Interval
	}
	return max(0, r.cfg.Interval-now.Sub(r.intervalStart))
}

// Restart returns the bound to its start, because the engine restarted or the
// server came back in service. The baselines are kept: they belong to the
// hardware and the model, and make a cold start visible.
func (r *Ramp) Restart(now time.Time) {
	r.bound = r.cfg.StartBound
	r.slowSteps, r.slowFirsts = slowRun{}, slowRun{}
	r.nextInterval(now)
}

// ObserveStep records the time of one decoding step.
func (r *Ramp) ObserveStep(now time.Time, d time.Duration) {
	r.observe(now, &r.step, &r.slowSteps, d)
}

// ObserveFirstToken records the time to the first token of a prompt when n
// tokens had to be prefilled until then.
func (r *Ramp) ObserveFirstToken(now time.Time, n int64, d time.Duration) {
	i := min(bits.Len64(uint64(max(0, n))), lengthBuckets-1)
	r.observe(now, &r.firstToken[i], &r.slowFirsts, d)
}

func (r *Ramp) observe(now time.Time, b *baseline, run *slowRun, d time.Duration) {
	if d < 0 {
		return
	}
	r.Bound(now)
	if r.observed == 0 {
		r.intervalStart = now
	}
	r.observed++
	if !b.slow(d, r.cfg.SlowFactor) {
		b.learn(d)
		*run = slowRun{}
		return
	}
	r.slow++
	run.count++
	if run.count == 1 {
		run.since = now
	}
	if run.count >= r.cfg.ColdAfter {
		if !r.cold() {
			r.coldChanges++
		}
		r.bound = r.cfg.StartBound
		r.nextInterval(now)
	}
	if now.Sub(run.since) >= r.cfg.RelearnAfter {
		*run = slowRun{}
		b.samples = 0
		b.learn(d)
	}
}

func (r *Ramp) cold() bool { return r.bound == r.cfg.StartBound }

func (r *Ramp) nextInterval(now time.Time) {
	r.intervalStart = now
	r.observed = 0
	r.slow = 0
}
