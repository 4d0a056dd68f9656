package pwculprit

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/tidwall/btree"
)

// simulation is a set of processes that send requests to engines, which crash when they
// begin to answer a request with badPart. Processes learn of crashes by broken
// connections, and tell each other with a message every heartbeat, some of which are lost.
type simulation struct {
	rng       *rand.Rand
	processes []*Tracker
	engines   []*simEngine
	now       time.Time
	crashes   []time.Time
	// reached holds when requests with badPart were sent to engines.
	reached []time.Time
	// refused counts the sound requests that were refused.
	refused int
	events  *btree.BTreeG[simEvent]
	// scheduled is the number of events so far.
	scheduled int
}

type simEngine struct {
	incarnation uint64
	upAt        time.Time
	running     []*simRequest
}

type simRequest struct {
	process  int
	parts    []uint64
	attempts int
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

const (
	badPart       = 999
	simHeartbeat  = 200 * time.Millisecond
	simRecords    = 12
	simLoss       = 0.05
	simProbe      = 35 * time.Millisecond
	simRestart    = 4 * time.Second
	simFirstToken = 120 * time.Millisecond
)

func newSimulation(seed uint64, processes, engines int) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)),
		now: epoch,
		events: btree.NewBTreeG(func(a, b simEvent) bool {
			return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.number, b.number)) < 0
		}),
	}
	for range processes {
		s.processes = append(s.processes, New(Config{}))
	}
	for i := range engines {
		s.engines = append(s.engines, &simEngine{
			incarnation: uint64(i),
			upAt:        epoch,
		})
	}
	for i := range s.processes {
		s.after(time.Duration(s.rng.Int64N(int64(simHeartbeat))), func() { s.sendMessage(i) })
	}
	return s
}

func (s *simulation) after(d time.Duration, do func()) {
	s.scheduled++
	s.events.Set(simEvent{
		at:     s.now.Add(d),
		number: s.scheduled,
		do:     do,
	})
}

// run carries out the events until a time.
func (s *simulation) run(until time.Time) {
	for {
		e, ok := s.events.Min()
		if !ok || e.at.After(until) {
			s.now = until
			return
		}
		s.events.PopMin()
		s.now = e.at
		e.do()
	}
}

func (s *simulation) sendMessage(from int) {
	records := s.processes[from].Outgoing(s.now, simRecords)
	if len(records) > 0 {
		for to, p := range s.processes {
			if to != from && s.rng.Float64() >= simLoss {
				s.after(2*time.Millisecond, func() { p.Merge(s.now, records) })
			}
		}
	}
	s.after(simHeartbeat, func() { s.sendMessage(from) })
}

func (s *simulation) send(r *simRequest) {
	p := s.processes[r.process]
	bad := slices.Contains(r.parts, badPart)
	if _, ok := p.Quarantined(s.now, r.parts); ok {
		if !bad {
			s.refused++
		}
		return
	}
	up := make([]*simEngine, 0, len(s.engines))
	for _, e := range s.engines {
		if !s.now.Before(e.upAt) {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		return
	}
	e := up[s.rng.IntN(len(up))]
	r.attempts++
	e.running = append(e.running, r)
	if bad {
		s.reached = append(s.reached, s.now)
		s.after(simFirstToken, func() { s.crash(e, r) })
		return
	}
	s.after(simFirstToken+time.Duration(s.rng.Int64N(int64(1200*time.Millisecond))), func() {
		if i := slices.Index(e.running, r); i >= 0 {
			e.running = slices.Delete(e.running, i, i+1)
			p.RecordCompletion(s.now, e.incarnation, r.parts)
		}
	})
}

// crash ends an engine if it still runs the request. All its requests are sent again.
func (s *simulation) crash(e *simEngine, r *simRequest) {
	if !slices.Contains(e.running, r) {
		return
	}
	s.crashes = append(s.crashes, s.now)
	lost, incarnation := e.running, e.incarnation
	e.running, e.upAt = nil, s.now.Add(simRestart)
	e.incarnation += 10_000
	for _, r := range lost {
		s.after(simProbe, func() { s.processes[r.process].RecordCrash(s.now, incarnation, r.parts) })
		if r.attempts < 2 {
			s.after(time.Millisecond, func() { s.send(r) })
		}
	}
}

// Guards against a crashing part that is found too late, or sound parts that are refused
// with it, in fleets of any size and with the part in few or in most requests. The bound
// is the users': three requests later than 3 s after the fifth crash.
func TestPartIsFoundInFleetsOfAnySize(t *testing.T) {
	const stableWindow, maxLater, duration = 3 * time.Second, 3, 30 * time.Second
	for _, size := range [][2]int{{4, 21}, {27, 78}, {68, 195}} {
		for _, badEvery := range []time.Duration{50 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
			for seed := range uint64(4) {
				t.Run(fmt.Sprintf("%d processes, a request every %s, seed %d", size[0], badEvery, seed), func(t *testing.T) {
					s := newSimulation(seed, size[0], size[1])
					sound, bad := 2*size[1], 0
					for at := 5 * time.Second; at < duration; at += badEvery {
						s.after(at, func() {
							bad++
							s.send(&simRequest{
								process: s.rng.IntN(size[0]),
								parts:   []uint64{uint64(s.rng.IntN(3)), badPart},
							})
						})
					}
					for range sound * int(duration/time.Second) {
						s.after(time.Duration(s.rng.Int64N(int64(duration))), func() {
							s.send(&simRequest{
								process: s.rng.IntN(size[0]),
								parts:   []uint64{uint64(s.rng.IntN(60))},
							})
						})
					}
					s.run(epoch.Add(duration))
					if len(s.crashes) == 0 {
						t.Fatal("no engine crashed")
					}
					fifth := s.crashes[min(len(s.crashes), 5)-1]
					later := 0
					for _, at := range s.reached {
						if at.Sub(fifth) > stableWindow {
							later++
						}
					}
					if later > maxLater || s.refused > 0 {
						t.Errorf("%d of %d requests with the part were sent later than %s after the fifth crash, allowed are %d; %d engines crashed, %d sound requests were refused",
							later, bad, stableWindow, maxLater, len(s.crashes), s.refused)
					}
				})
			}
		}
	}
}
