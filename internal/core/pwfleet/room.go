package pwfleet

import "time"

// Room is what the engines of a service have left.
type Room struct {
	Engines int
	// Slots is the number of requests that the engines run concurrently, and Taken how many
	// all processes have sent them, as far as they are heard. Requests beyond the slots of an
	// engine don't count. Own is the number that this process has sent.
	Slots int
	Taken int
	Own   int
	// PrefillMS is the prefill in flight on all engines, MaxPrefillMS what one engine is
	// given of long prompts, and IterationMS the mean iteration without prefill.
	PrefillMS    float64
	MaxPrefillMS float64
	IterationMS  float64
	// Processes is the number of processes in the cell.
	Processes int
}

// Room returns what the engines of a service have left. It returns false for plain services
// and for those without a usable engine.
func (f *Fleet) Room(now time.Time, service string) (Room, bool) {
	m, ok := f.models[service]
	if !ok {
		return Room{}, false
	}
	r := Room{
		MaxPrefillMS: f.cfg.MaxPrefillMS,
	}
	slots, iterationMS := max(1, m.Engine().Slots), 0.0
	for _, s := range f.inCell(service) {
		if f.unusableReason(now, s, nil) != "" {
			continue
		}
		l := s.load()
		taken := max(0, min(slots, l.Requests))
		r.Engines++
		r.Slots += slots
		r.Taken += taken
		r.Own += s.ownLoad.Requests
		r.PrefillMS += max(0, l.PrefillMS)
		iterationMS += m.IterationMS(taken, max(0, min(l.MemoryTokens, m.Engine().MemoryTokens)), 0)
	}
	if r.Engines == 0 {
		return Room{}, false
	}
	r.IterationMS = iterationMS / float64(r.Engines)
	heard, unheard := f.heardProcesses()
	r.Processes = heard + unheard
	return r, true
}
