package pwfleet

import (
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcost"
)

const (
	// partSlack is the factor by which a part may take longer than the engine model expects,
	// and partLead the time that it may begin later: the message to the engine takes a
	// while, and iterations begin when others end.
	partSlack = 1.15
	partLead  = 40 * time.Millisecond
	// progressInterval is the shortest time between two updates of the parts in progress.
	progressInterval = 10 * time.Millisecond
	// maxRemainingMS is the prefill time that an engine may still have to do when it gets
	// the next part of a long prompt: what it does until the part arrives there.
	maxRemainingMS = 30.0
)

// partProgress is the expected progress of a part of a long prompt on one engine.
type partProgress struct {
	assignment *Assignment
	// index is the position of the part in the loads of the assignment.
	index int
	// prefillMS is the whole part, which the engine works on from startsAt to endsAt.
	prefillMS float64
	startsAt  time.Time
	endsAt    time.Time
}

// remainingMS returns the prefill time that should be left of the part.
func (p *partProgress) remainingMS(now time.Time) float64 {
	switch {
	case !now.After(p.startsAt):
		return p.prefillMS
	case !now.Before(p.endsAt):
		return 0
	}
	left := float64(p.endsAt.Sub(now)) / float64(p.endsAt.Sub(p.startsAt))
	return roundPrefill(p.prefillMS * left)
}

// trackPart records the expected progress of the last added load of an assignment. ahead is
// the load of the engine before it. The engine model doesn't hold for a slow engine, whose
// part counts until the first token of the prompt.
func (f *Fleet) trackPart(now time.Time, a *Assignment, m pwcost.Model, ahead Load) {
	index := len(a.loads) - 1
	if a.loads[index].server.isSlow(now) {
		return
	}
	prefillMS := a.loads[index].load.PrefillMS
	startsAt := now.Add(partLead + expectedDuration(m, ahead, ahead.PrefillMS))
	f.progress = append(f.progress, partProgress{
		assignment: a,
		index:      index,
		prefillMS:  prefillMS,
		startsAt:   startsAt,
		endsAt:     startsAt.Add(expectedDuration(m, ahead, prefillMS)),
	})
}

// expectedDuration returns how long an engine with the given load takes for some prefill,
// with the decoding in the iterations that it takes.
func expectedDuration(m pwcost.Model, l Load, prefillMS float64) time.Duration {
	ms := prefillMS
	if l.Requests > 0 && prefillMS > 0 {
		iterations := math.Ceil(prefillMS / max(1, m.IterationPrefillMS()))
		decodeMS := iterations * m.IterationMS(l.Requests, l.MemoryTokens, 0)
		ms += decodeMS
	}
	return time.Duration(math.Round(ms * partSlack * float64(time.Millisecond)))
}

// UpdateProgress removes from the loads what the engines should have prefilled of the parts
// in progress. The first token of a prompt follows the last of its parts; until then the
// engines of all others would seem busy. It reports whether parts are still in progress.
func (f *Fleet) UpdateProgress(now time.Time) (inProgress bool) {
	if now.Sub(f.progressAt) < progressInterval {
		return len(f.progress) > 0
	}
	f.progressAt = now
	removedMS := 0.0
	f.progress = slices.DeleteFunc(f.progress, func(p partProgress) bool {
		if p.assignment.prefillEnded || p.assignment.ended {
			return true
		}
		remainingMS := p.remainingMS(now)
		removedMS += p.assignment.reducePrefill(p.index, remainingMS)
		return remainingMS == 0
	})
	if removedMS > 0 {
		f.freedMS += removedMS
		f.version++
	}
	return len(f.progress) > 0
}

// reducePrefill lowers the prefill of one part to remainingMS. It returns the difference.
func (a *Assignment) reducePrefill(index int, remainingMS float64) (removedMS float64) {
	l := &a.loads[index]
	removedMS = l.load.PrefillMS - remainingMS
	if removedMS <= 0 {
		return 0
	}
	l.server.ownLoad.addScaled(Load{
		PrefillMS: removedMS,
	}, -1)
	l.load.PrefillMS = remainingMS
	return removedMS
}

// hasPartInProgress reports whether an engine gets no part of a long prompt because it has
// not ended another. It would prefill the newer part first, and under steady load the
// older one would wait for seconds.
func (f *Fleet) hasPartInProgress(now time.Time, l Load) bool {
	return l.PrefillMS > maxRemainingMS && f.IsDemandUneven(now)
}

// roundPrefill rounds a prefill time so that sums of rounded times are exact.
func roundPrefill(ms float64) float64 { return math.Round(ms*loadStepsPerMS) / loadStepsPerMS }
