package pwturn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 7, 0, 0, 0, time.UTC)

// contender is a process of the simulation below with one waiting prompt.
type contender struct {
	name     string
	order    *Order
	deadline time.Time
	placed   bool
	// freeHeard is when it hears that an engine is free, busyHeard when it hears that
	// another process has taken it.
	freeHeard, busyHeard time.Time
}

// simulateFreedEngine plays one engine that becomes free while all processes wait, and
// returns how many of them place a prompt on it and whether the first in rank is among
// them. Messages take up to delay. Without turns each process places its prompt when it
// hears of the engine.
func simulateFreedEngine(rnd *rand.Rand, processes int, delay time.Duration, turns bool) (placed int, firstServed bool) {
	var all []*contender
	for i := range processes {
		name := fmt.Sprint("front-", i)
		all = append(all, &contender{
			name:      name,
			order:     New(name),
			deadline:  start.Add(time.Second + time.Duration(rnd.IntN(2000))*time.Millisecond),
			freeHeard: start.Add(time.Duration(rnd.Int64N(int64(delay))).Truncate(time.Millisecond)),
		})
	}
	first := all[0]
	for _, c := range all {
		if c.deadline.Before(first.deadline) {
			first = c
		}
		for _, other := range all {
			if other != c {
				c.order.Merge(start, other.name, Report{
					Waiting: true,
					Rank:    Rank(start, other.deadline, false),
				})
			}
		}
	}
	for now := start; now.Before(start.Add(time.Second)); now = now.Add(time.Millisecond) {
		for _, c := range all {
			heardBusy := !c.busyHeard.IsZero() && !now.Before(c.busyHeard)
			if now.Equal(c.freeHeard) {
				c.order.RecordFreed(now)
			}
			if c.placed || now.Before(c.freeHeard) || heardBusy {
				continue
			}
			if turns && !c.order.Take(now, Rank(now, c.deadline, false)) {
				continue
			}
			c.placed = true
			placed++
			for _, other := range all {
				if heard := now.Add(time.Duration(rnd.Int64N(int64(delay)))); other.busyHeard.IsZero() || heard.Before(other.busyHeard) {
					other.busyHeard = heard
				}
			}
		}
	}
	return placed, first.placed
}

// When an engine becomes free while many processes wait, one of them must get it, mostly
// the one whose prompt comes first. Without turns all that hear of it within the delay of
// a message place their prompts on it.
func TestFreedEngineGoesToOneWaitingProcess(t *testing.T) {
	const rounds, delay = 200, 12 * time.Millisecond
	for _, processes := range []int{2, 8, 17} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(1, uint64(processes)))
			without, with, firstServed := 0, 0, 0
			for range rounds {
				n, _ := simulateFreedEngine(rnd, processes, delay, false)
				without += n
				n, first := simulateFreedEngine(rnd, processes, delay, true)
				with += n
				if first {
					firstServed++
				}
			}
			t.Logf("prompts on the engine, mean: %.2f without turns, %.2f with turns; first in rank served in %d of %d",
				float64(without)/rounds, float64(with)/rounds, firstServed, rounds)
			if with > rounds*3/2 {
				t.Errorf("%d prompts on %d engines, want at most one and a half on each", with, rounds)
			}
			if firstServed < rounds*3/4 {
				t.Errorf("the first in rank was served in %d of %d rounds, want three quarters", firstServed, rounds)
			}
		})
	}
}

// A process whose prompt doesn't fit, or that is not heard any more, must not hold up the
// others.
func TestProcessAheadHoldsUpOthersBriefly(t *testing.T) {
	o := New("front-1")
	ahead := Report{
		Waiting: true,
		Rank:    10 * time.Second,
	}
	const rank = 20 * time.Second
	o.Merge(start, "front-2", ahead)
	o.RecordFreed(start)
	if o.Take(start, rank) {
		t.Error("the turn was taken before that of a prompt with a lower rank")
	}
	if !o.Take(start.Add(Interval), rank) {
		t.Error("no turn after the interval of the process ahead")
	}
	turns := 0
	for ms := 0; ms <= 1000; ms += 10 {
		now := start.Add(time.Second + time.Duration(ms)*time.Millisecond)
		o.Merge(now, "front-2", ahead)
		o.RecordFreed(now)
		if o.Take(now, rank) {
			turns++
		}
	}
	if turns < 4 {
		t.Errorf("%d turns in a second while engines become free every 10 ms, want one every %s", turns, MaxWait)
	}
	later := start.Add(2*time.Second + ReportExpiry + time.Millisecond)
	o.RecordFreed(later)
	if !o.Take(later, rank) {
		t.Error("a report that has expired holds up the turn")
	}
	o.Merge(later, "front-2", ahead)
	o.Merge(later, "front-2", Report{})
	if n, _ := o.Ahead(later, rank); n != 0 {
		t.Errorf("%d processes are ahead after their queues became empty", n)
	}
}

// Late prompts come after all that can still be in time.
func TestLatePromptsComeLast(t *testing.T) {
	early, late := Rank(start, start.Add(9*time.Second), false), Rank(start, start.Add(time.Second), true)
	if late <= early {
		t.Errorf("rank of a late prompt is %s, want more than %s", late, early)
	}
}
