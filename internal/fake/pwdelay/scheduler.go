// Package pwdelay runs functions in simulated time, with random delays. Tests of pure state
// machines use it to reorder, duplicate and delay messages in a way that depends only on the
// seed.
//
// # Usage
//
//	s := pwdelay.New(seed, start)
//	s.DeliverMessage(func() { receiver.handle(s.Now()) })
//	s.Run()
package pwdelay

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

const (
	// maxMessageDelay bounds the time until a message is delivered.
	maxMessageDelay = 50 * time.Millisecond
	// maxRepeatDelay bounds the time until a message is delivered a second time.
	maxRepeatDelay = 5 * time.Second
	// messagesPerRepeat is the average number of messages for each one delivered twice.
	messagesPerRepeat = 10
)

// Scheduler runs scheduled functions in the order of their simulated times.
type Scheduler struct {
	rng            *rand.Rand
	now            time.Time
	queue          eventQueue
	scheduledCount int
}

// event is a scheduled function. Events at the same time run in the order in which they
// were scheduled.
type event struct {
	at    time.Time
	order int
	fn    func()
}

// New returns a scheduler without functions, whose simulated time is start. Runs with equal
// seeds are equal.
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

// Uint64 returns a random number that depends only on the seed and the earlier calls.
func (s *Scheduler) Uint64() uint64 { return s.rng.Uint64() }

// ScheduleAt schedules a function at a time. A time in the past counts as the current time.
func (s *Scheduler) ScheduleAt(at time.Time, fn func()) {
	s.scheduledCount++
	heap.Push(&s.queue, event{
		at:    at,
		order: s.scheduledCount,
		fn:    fn,
	})
}

// ScheduleWithin schedules a function after a random delay below maxDelay.
func (s *Scheduler) ScheduleWithin(maxDelay time.Duration, fn func()) {
	s.ScheduleAt(s.now.Add(time.Duration(s.rng.Int64N(int64(maxDelay)))), fn)
}

// DeliverMessage schedules the delivery of a message within 50 ms, and for one message in
// ten a second delivery within 5 s.
func (s *Scheduler) DeliverMessage(fn func()) {
	s.ScheduleWithin(maxMessageDelay, fn)
	if s.OneIn(messagesPerRepeat) {
		s.ScheduleWithin(maxRepeatDelay, fn)
	}
}

// Run runs all scheduled functions, including those that they schedule, until none is left.
func (s *Scheduler) Run() {
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(s.now) {
			s.now = e.at
		}
		e.fn()
	}
}

// eventQueue orders events by time. It implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].order < q[j].order
}
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
