package pwfleet

import (
	"math"
	"time"
)

const (
	// arrivalHalfLife is the time after which an arrival counts half. It is short, so
	// that the rate follows a burst.
	arrivalHalfLife = 300 * time.Millisecond
	// unheardHorizon is the time for which the requests of a peer that isn't heard stay
	// unseen: the usual duration of a short answer.
	unheardHorizon = 2 * time.Second
	// lostMessageAge is the age of a peer's last message from which messages count as
	// lost: a process that is heard sends one at least every 200 ms.
	lostMessageAge = 300 * time.Millisecond
	// minShuffleShare is the share of unheard processes from which engines for long
	// prompts are drawn.
	minShuffleShare = 0.1
)

// arrivalRate estimates the rate of arrivals.
type arrivalRate struct {
	count float64
	at    time.Time
}

// add counts n arrivals. It ignores a negative n.
func (a *arrivalRate) add(now time.Time, n int) {
	if n <= 0 {
		return
	}
	a.count = a.decayed(now) + float64(n)
	a.at = now
}

func (a *arrivalRate) decayed(now time.Time) float64 {
	if a.at.IsZero() {
		return 0
	}
	return a.count * math.Exp2(-float64(max(0, now.Sub(a.at)))/float64(arrivalHalfLife))
}

// perSecond returns the rate of arrivals.
func (a *arrivalRate) perSecond(now time.Time) float64 {
	return a.decayed(now) * math.Ln2 / arrivalHalfLife.Seconds()
}

// unseenRequests estimates how many requests the other processes of the cell have sent
// to engines without this process knowing: those that peers sent since their last
// messages, and all requests of listed peers that are not heard.
func (f *Fleet) unseenRequests(now time.Time) float64 {
	heard, unheard := f.heardProcesses()
	age := time.Duration(unheard) * unheardHorizon
	for _, p := range f.peers {
		if since := now.Sub(p.receivedAt); since > lostMessageAge {
			age += since
		} else {
			age += f.cfg.LoadAge
		}
	}
	return f.arrivals.perSecond(now) / float64(heard) * age.Seconds()
}

// heardProcesses returns how many processes of the cell are heard, this one included, and
// how many listed ones are not.
func (f *Fleet) heardProcesses() (heard, unheard int) {
	f.updateCells()
	heard = len(f.peers) + 1
	return heard, max(0, len(f.cells.peers)+1-heard)
}

// unheardShare returns the share of the cell's processes that are not heard.
func (f *Fleet) unheardShare() float64 {
	heard, unheard := f.heardProcesses()
	return float64(unheard) / float64(heard+unheard)
}
