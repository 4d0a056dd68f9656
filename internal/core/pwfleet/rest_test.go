package pwfleet

import (
	"testing"
	"time"
)

// Pattern: some engines turn requests away for many seconds and ask for a rest each time. If
// each process tries them first again at the end of each rest, the second sends of these
// requests use up the retries of the service, and requests are refused although other
// engines are free. Engines that rested are tried again once the others have no room.
func TestEnginesThatRestedAreNotTriedFirst(t *testing.T) {
	const (
		engines = 16
		resting = 4
		rest    = 3 * time.Second
		answer  = 600 * time.Millisecond
	)
	f := newTestFleet(engines)
	rests := make(map[string]bool)
	rejected := 0
	send := func(now time.Time) *Assignment {
		for {
			p := mustPlanAt(t, f, now)
			if len(rests) < resting {
				rests[p.Server.ID] = true
			}
			if !rests[p.Server.ID] {
				a := f.Start(now, p)
				a.EndPrefill()
				return a
			}
			rejected++
			f.RecordRest(now, p.Server, rest)
		}
	}
	now := start
	var running []*Assignment
	for ; now.Before(start.Add(30 * time.Second)); now = now.Add(50 * time.Millisecond) {
		if len(running) == int(answer/(50*time.Millisecond)) {
			running[0].End()
			running = running[1:]
		}
		running = append(running, send(now))
	}
	if rejected > resting {
		t.Errorf("%d requests were turned away while other engines were free, want one for each of %d engines", rejected, resting)
	}
	used := 0
	for range engines * testEngine.Slots {
		p, err := f.Plan(now, short())
		if err != nil {
			break
		}
		if rests[p.Server.ID] {
			used++
		}
		f.Start(now, p).EndPrefill()
	}
	if used == 0 {
		t.Error("engines that rested are not used although all others are full")
	}
}
