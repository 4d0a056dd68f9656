// Package pwoverload decides which requests for model engines are served while not all can
// be. It has two regimes. In the normal one it admits every request. In overload it admits a
// request only if its workspace keeps within its fair share of the scarce room, and if its
// first token can still be in time or the room is not needed by others.
//
// A Controller knows what its own process is offered and what the other processes of the
// cell report. It holds no reference to the fleet, does no I/O and starts no goroutines.
//
// # Usage
//
//	c := pwoverload.New(pwoverload.Config{})
//	d := c.Offer(now, offer, room)
//	if !d.Admitted {
//		return refusal(d.Reason, d.RetryAfter)
//	}
//	// While the request waits:
//	d = c.Recheck(now, offer, room)
//	// When its engine is free again:
//	c.RecordEnd(now, offer.Class, held)
package pwoverload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of the Config fields.
const (
	// DefaultEnterPressure and DefaultExitPressure are the pressures at which overload
	// begins and ends, and DefaultExitDelay is how long the pressure must have been below
	// the latter.
	DefaultEnterPressure = 0.95
	DefaultExitPressure  = 0.8
	DefaultExitDelay     = time.Second
	// DefaultSlotShare is the share of all slots that is divided among the workspaces, and
	// DefaultFillShare the share up to which short requests are placed. Beyond it, processes
	// that decide at the same time would often choose the same engine's last slot.
	DefaultSlotShare = 0.95
	DefaultFillShare = 0.97
	// DefaultPrefillShare is the share of the engines' time that is divided for prefill.
	// Decoding needs the rest.
	DefaultPrefillShare = 0.75
	// DefaultReportExpiry is the age from which the report of a peer is ignored. Peers report
	// at least once a second.
	DefaultReportExpiry = 1500 * time.Millisecond
	// DefaultMaxRetryAfter bounds Retry-After.
	DefaultMaxRetryAfter = 5 * time.Second
)

// Config configures a Controller. Zero fields take their defaults.
type Config struct {
	EnterPressure float64
	ExitPressure  float64
	ExitDelay     time.Duration
	SlotShare     float64
	FillShare     float64
	PrefillShare  float64
	ReportExpiry  time.Duration
	MaxRetryAfter time.Duration
	// Float64 returns a number in [0, 1); the default is rand.Float64.
	Float64 func() float64
}

// WithDefaults returns the configuration with defaults for its zero fields.
func (cfg Config) WithDefaults() Config {
	pwdefault.SetUnlessPositive(&cfg.EnterPressure, DefaultEnterPressure)
	pwdefault.SetUnlessPositive(&cfg.ExitPressure, DefaultExitPressure)
	pwdefault.SetUnlessPositive(&cfg.ExitDelay, DefaultExitDelay)
	pwdefault.SetUnlessPositive(&cfg.SlotShare, DefaultSlotShare)
	pwdefault.SetUnlessPositive(&cfg.FillShare, DefaultFillShare)
	pwdefault.SetUnlessPositive(&cfg.PrefillShare, DefaultPrefillShare)
	pwdefault.SetUnlessPositive(&cfg.ReportExpiry, DefaultReportExpiry)
	pwdefault.SetUnlessPositive(&cfg.MaxRetryAfter, DefaultMaxRetryAfter)
	if cfg.Float64 == nil {
		cfg.Float64 = rand.Float64
	}
	return cfg
}

// Class is the size class of a request.
type Class uint8

// Classes.
const (
	// Short requests are prefilled in one iteration of one engine.
	Short Class = iota
	// Long requests are prefilled in parts.
	Long
	classCount
)

// String returns the name that is written to logs and metrics.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Offer is a request that asks for an engine.
type Offer struct {
	// Workspace is a hash of the workspace's name.
	Workspace uint64
	Class     Class
	// PrefillMS is the prefill time on one engine, in milliseconds.
	PrefillMS float64
	// UntilTarget is the time left until the first token should be sent, and UntilAbandon
	// that until the caller leaves or the request stops waiting.
	UntilTarget  time.Duration
	UntilAbandon time.Duration
}

// Room is what the engines of a service have left, as this process sees it.
type Room struct {
	Engines int
	// Slots is the number of requests that the engines run concurrently, Taken how many
	// they have, and Own how many of them this process sent.
	Slots int
	Taken int
	Own   int
	// PrefillMS is the prefill in flight on all engines, MaxPrefillMS the most that one
	// engine is given, both in milliseconds.
	PrefillMS    float64
	MaxPrefillMS float64
	// FreedPrefillMS is the prefill, in milliseconds, that has ended on the engines so far. It
	// never falls.
	FreedPrefillMS float64
	// IterationMS is the mean iteration of an engine without prefill, in milliseconds.
	IterationMS float64
	// Ahead is the number of requests of this process that wait and come first, and
	// AheadPrefillMS their prefill and that which other processes have queued.
	Ahead          int
	AheadPrefillMS float64
	// Processes is the number of processes that send to the engines, this one included.
	Processes int
}

// Reason states why a request was admitted or refused.
type Reason string

// Reasons, as they are written to logs and metrics.
const (
	ReasonNormal   Reason = "normal"
	ReasonFits     Reason = "fits"
	ReasonSpare    Reason = "spare"
	ReasonFloor    Reason = "floor"
	ReasonShare    Reason = "share"
	ReasonTooLate  Reason = "too_late"
	ReasonDeadline Reason = "deadline"
)

// floorShare is the part of its even share of the slots that a process may always use.
const floorShare = 0.25

// belowFloor reports whether the process uses so few slots that it can't be the cause of an
// overload. What it hears of the others may be wrong, and must not make it refuse everything.
func (r Room) belowFloor() bool {
	floor := floorShare * float64(r.Slots) / float64(max(1, r.Processes))
	return r.Slots > 0 && r.Own < max(1, int(floor))
}

// Decision is whether a request is admitted, and why.
type Decision struct {
	Admitted bool
	// Wait is set if the request is admitted but has to wait for a slot.
	Wait   bool
	Reason Reason
	// Overloaded is the regime.
	Overloaded bool
	// Predicted is the predicted time until the first token.
	Predicted time.Duration
	// Share is the part of its workspace's requests that are admitted, from 0 to 1.
	Share float64
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Controller decides about the requests of one process. It isn't safe for concurrent use.
type Controller struct {
	cfg        Config
	overloaded bool
	// pressure is that of the last room.
	pressure float64
	// relaxedSince is when the pressure fell below the exit pressure, or zero.
	relaxedSince time.Time
	holds        [classCount]holdTime
	freed        freedRate
	usage        usage
}

// New returns a Controller in the normal regime.
func New(cfg Config) *Controller {
	return &Controller{
		cfg:   cfg.WithDefaults(),
		usage: newUsage(),
	}
}

// Busy reports whether the demand may soon exceed the room, so that peers should hear of it
// at once.
func (c *Controller) Busy() bool { return c.overloaded || c.pressure >= growingPressure }

// Overloaded reports whether the controller is in overload.
func (c *Controller) Overloaded() bool { return c.overloaded }

// RecordEnd records how long a request held its slot.
func (c *Controller) RecordEnd(class Class, held time.Duration) {
	c.holds[min(class, Long)].record(held)
}

// growingPressure is the pressure from which overload begins as soon as the demand exceeds
// the capacity. The slots are taken only later by as long as a request holds one.
const growingPressure = 0.9

// Observe updates the regime, and reports whether it has changed.
func (c *Controller) Observe(now time.Time, r Room) (changed bool) {
	c.freed.observe(now, r.FreedPrefillMS)
	p := r.slotPressure()
	c.pressure = max(p, r.prefillPressure())
	switch {
	case !c.overloaded && (p >= c.cfg.EnterPressure || c.pressure >= growingPressure && c.usage.exceeds(now, c.capacity(r), c.cfg.ReportExpiry)):
		c.overloaded, c.relaxedSince = true, time.Time{}
		return true
	case !c.overloaded:
		return false
	case p >= c.cfg.ExitPressure || c.pressure >= growingPressure && c.usage.exceeds(now, c.capacity(r), c.cfg.ReportExpiry):
		c.relaxedSince = time.Time{}
	case c.relaxedSince.IsZero():
		c.relaxedSince = now
	case now.Sub(c.relaxedSince) >= c.cfg.ExitDelay:
		c.overloaded = false
		return true
	}
	return false
}

// queuedShare is the part of the time to the target from which long requests are refused for
// their share. Below it there is room for all of them.
const queuedShare = 0.5

// Offer decides about a request that has just arrived, and counts it as demand of its
// workspace.
func (c *Controller) Offer(now time.Time, o Offer, r Room) Decision {
	w := c.usage.offer(now, o, c.cfg.Float64)
	c.Observe(now, r)
	d := c.predict(o, r)
	if !c.overloaded {
		return d.admit(ReasonNormal)
	}
	d.Share = c.usage.share(now, w, o, c.capacity(r), c.cfg.ReportExpiry)
	if !w.take(o.Class, d.Share) && (o.Class == Short || d.queues(o)) {
		return c.refuse(d, ReasonShare)
	}
	return c.decideByTime(d, o, r)
}

// queues reports whether a long request would wait for others.
func (d Decision) queues(o Offer) bool {
	return d.Predicted > time.Duration(queuedShare*float64(o.UntilTarget))
}

// Recheck decides about a request that waits.
func (c *Controller) Recheck(now time.Time, o Offer, r Room) Decision {
	c.Observe(now, r)
	d := c.predict(o, r)
	d.Share = 1
	if !c.overloaded {
		return d.admit(ReasonNormal)
	}
	return c.decideByTime(d, o, r)
}

// decideByTime refuses what can't have its first token while its caller has use for it. A
// short request that would be late is admitted only into room that others don't need; a
// long one waits behind those that can be in time.
func (c *Controller) decideByTime(d Decision, o Offer, r Room) Decision {
	switch {
	case o.Class == Short && !c.hasRoom(r) && r.belowFloor():
		return d.admit(ReasonFloor)
	case d.Predicted > o.UntilAbandon:
		return c.refuse(d, ReasonDeadline)
	case d.Predicted <= o.UntilTarget:
		d.Wait = o.Class == Short && !c.hasRoom(r)
		return d.admit(ReasonFits)
	case o.Class == Long || c.hasSpare(r):
		return d.admit(ReasonSpare)
	default:
		return c.refuse(d, ReasonTooLate)
	}
}

// hasRoom reports whether a short request finds a slot.
func (c *Controller) hasRoom(r Room) bool {
	return float64(r.Taken) < c.cfg.FillShare*float64(r.Slots)
}

// hasSpare reports whether there are slots that the shares leave unused.
func (c *Controller) hasSpare(r Room) bool {
	return float64(r.Taken) < c.cfg.SlotShare*float64(r.Slots)
}

func (d Decision) admit(reason Reason) Decision {
	d.Admitted, d.Reason = true, reason
	return d
}

func (c *Controller) refuse(d Decision, reason Reason) Decision {
	d.Admitted, d.Reason = false, reason
	d.RetryAfter = c.retryAfter(d)
	return d
}

// slotPressure returns how much of the slots is taken.
func (r Room) slotPressure() float64 {
	if r.Slots <= 0 {
		return 0
	}
	return float64(r.Taken) / float64(r.Slots)
}

// prefillPressure returns how much of the prefill room is taken. It is near 1 also while long
// prompts use all of it without being too many.
func (r Room) prefillPressure() float64 {
	if r.Engines <= 0 || r.MaxPrefillMS <= 0 || math.IsNaN(r.PrefillMS) {
		return 0
	}
	return r.PrefillMS / (float64(r.Engines) * r.MaxPrefillMS)
}

// firstTokenIterations is how many iterations a request waits for its first token: the rest
// of the running one, and its own.
const firstTokenIterations = 1.5

// predict predicts the first token of a request. A slot becomes free each time that one of
// the running requests ends, and each process gets as many of them as any other.
func (c *Controller) predict(o Offer, r Room) Decision {
	ms := firstTokenIterations*r.IterationMS + o.PrefillMS
	engines := float64(max(1, r.Engines))
	if o.Class == Long {
		ms = firstTokenIterations*r.IterationMS + max((r.PrefillMS+r.AheadPrefillMS+o.PrefillMS)/engines, c.freed.waitMS(r.AheadPrefillMS))
	}
	if r.Slots > 0 && (r.Taken >= r.Slots || c.overloaded && o.Class == Short && !c.hasRoom(r)) {
		ended := float64(r.Slots) / c.holds[min(o.Class, Long)].ms()
		ms += float64(r.Ahead+1) * float64(max(1, r.Processes)) / ended
	}
	return Decision{
		Overloaded: c.overloaded,
		Predicted:  milliseconds(ms),
		Share:      1,
	}
}

// milliseconds converts to a duration, and bounds what it converts.
func milliseconds(ms float64) time.Duration {
	const maxMS = 3.6e6
	if math.IsNaN(ms) {
		ms = maxMS
	}
	return time.Duration(max(0, min(maxMS, ms)) * float64(time.Millisecond))
}

// minRetryAfter is the shortest Retry-After of a refused request.
const minRetryAfter = 400 * time.Millisecond

// retryAfter returns when a refused caller should come back. The slots that are taken become
// free within the time that a request holds one; the more of its workspace's requests are
// refused, the longer it takes until there is room for one. Draws from one to two times that
// keep the refused from coming back together.
func (c *Controller) retryAfter(d Decision) time.Duration {
	room := milliseconds(c.holds[Short].ms() * max(1, 1/max(0.05, d.Share)-1))
	base := max(minRetryAfter, min(room, c.cfg.MaxRetryAfter/2))
	return min(c.cfg.MaxRetryAfter, base+time.Duration(c.cfg.Float64()*float64(base)))
}

// freedRate is the rate at which prefill ends on the engines, as a decaying sum.
type freedRate struct {
	sum  demand
	last float64
}

func (f *freedRate) observe(now time.Time, freedMS float64) {
	f.sum.decay(now)
	if freedMS > f.last && f.last > 0 {
		f.sum.prefillMS += freedMS - f.last
	}
	f.last = max(f.last, freedMS)
}

// minFreedPerSecond is the rate, in milliseconds of prefill a second, below which nothing is
// predicted from it.
const minFreedPerSecond = 1000.0

// waitMS returns how long it takes until prefill that is queued ahead has found room.
func (f *freedRate) waitMS(aheadMS float64) float64 {
	rate := f.sum.prefillMS * prefillPerSecond
	if rate < minFreedPerSecond {
		return 0
	}
	return 1000 * aheadMS / rate
}

// holdTime is a moving mean of how long requests hold a slot.
type holdTime struct {
	meanMS float64
	count  int
}

// Bounds and weights of holdTime.
const (
	// assumedHoldMS holds until requests have ended.
	assumedHoldMS = 2000.0
	minHoldMS     = 50.0
	maxHoldMS     = 60_000.0
	// holdWeight is the weight of the newest request; the first ones weigh more.
	holdWeight = 0.03
)

func (h *holdTime) record(held time.Duration) {
	h.count++
	ms := max(minHoldMS, min(maxHoldMS, float64(held)/float64(time.Millisecond)))
	h.meanMS += max(holdWeight, 1/float64(h.count)) * (ms - h.meanMS)
}

func (h *holdTime) ms() float64 {
	if h.count == 0 {
		return assumedHoldMS
	}
	return h.meanMS
}
