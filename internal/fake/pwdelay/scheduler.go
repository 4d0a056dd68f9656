// Package pwdelay runs functions in simulated time, with random delays. Tests of
// pure state machines use it to let messages overtake each other, arrive twice
// or late, in an order that depends only on the seed.
//
// # Usage
//
//	s := pwdelay.New(seed, start)
//	s.Message(func() { receiver.handle(s.Now()) })
//	s.Run()
package pwdelay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// maxTransit is the longest time of a message.
	maxTransit = 50 * time.Millisecond
	// maxLate is the longest time of a repeated message.
	maxLate = 5 * time.Second
	// repeatOneIn is the number of messages of which one is repeated.
	repeatOneIn = 10
)

// Scheduler holds the functions that are still to run.
type Scheduler struct {
	rng   *rand.Rand
	now   time.Time
	queue queue
	count int
}

type event struct {
	at     time.Time
	serial int
	do     func()
}

// New returns an empty scheduler. Equal seeds give equal runs.
func New(seed uint64, start time.Time) *Scheduler {
	return &Scheduler{
		rng: rand.New(rand.NewPCG(seed, 0)),
		now: start,
	}
}

// Now returns the simulated time.
func (s *Scheduler) Now() time.Time { return s.now }

// OneIn returns true once in n calls on average.
func (s *Scheduler) OneIn(n int) bool { return s.rng.IntN(n) == 0 }

// Uint64 returns a random number.
func (s *Scheduler) Uint64() uint64 { return s.rng.Uint64() }

// ScheduleAt runs a function at a time; a time that has passed means now.
func (s *Scheduler) ScheduleAt(at time.Time, do func()) {
	s.count++
	heap.Push(&s.queue, event{
		at:     at,
		serial: s.count,
		do:     do,
	})
}

// ScheduleWithin runs a function after a random part of the given time.
func (s *Scheduler) ScheduleWithin(longest time.Duration, do func()) {
	s.ScheduleAt(s.now.Add(time.Duration(s.rng.Int64N(int64(longest)))), do)
}

// DeliverMessage delivers within 50 ms, and one message in ten a second time within 5 s.
func (s *Scheduler) DeliverMessage(do func()) {
	s.ScheduleWithin(maxTransit, do)
	if s.OneIn(repeatOneIn) {
		s.ScheduleWithin(maxLate, do)
	}
}

// Run runs all functions, including those they add, in the order of their times.
func (s *Scheduler) Run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(s.now) {
			s.now = e.at
		}
		e.do()
	}
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q queue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].serial < q[j].serial
}
func (q *queue) Push(x any) { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
