// Package pwturn orders the processes of a cell that have long prompts in their queues.
// All of them hear at the same moment that engines have become free. Without an order,
// several would place a prompt on the same engines within milliseconds, and each prompt
// would wait for the others.
//
// Each process reports the rank of its first prompt. When engines become free, the
// process whose prompt comes first places it at once, and the others wait for an interval
// for each process ahead of them, since the prompts ahead may be too long for what is
// free. A report that is lost or late delays a turn or lets two processes take one; a
// process that isn't heard any more is left out.
//
// # Usage
//
//	o := pwturn.New("front-1")
//	o.Merge(now, "front-2", report)
//	o.RecordFreed(now)
//	if o.Take(now, rank) {
//		// place the first prompt
//	}
package pwturn

import "time"

const (
	// Interval is the time between the turns of two processes: the second has heard by
	// then what the first has placed.
	Interval = 15 * time.Millisecond
	// ReportExpiry is the age from which a report is ignored. It covers two lost
	// heartbeats.
	ReportExpiry = 500 * time.Millisecond
	// MaxWait bounds the wait for a turn while engines become free again and again: the
	// prompts ahead may be too long for each of them.
	MaxWait = 250 * time.Millisecond
	// LateOffset is added to the ranks of late prompts, which come after all others.
	LateOffset = 30 * time.Second
)

// Report describes the long prompts that wait in the queue of a process.
type Report struct {
	// Waiting is set if there are any. The other fields are 0 otherwise.
	Waiting bool
	// Rank is the lowest rank of a waiting prompt; see Rank.
	Rank time.Duration
	// PrefillMS is the prefill time of all of them.
	PrefillMS float64
}

// Rank returns the rank of a prompt: the time until its queue deadline, which depends on
// whether it can still be in time. Prompts with lower ranks come first.
func Rank(now, deadline time.Time, late bool) time.Duration {
	rank := deadline.Sub(now)
	if late {
		rank += LateOffset
	}
	return max(0, rank)
}

// Order holds what the other processes have reported. It isn't safe for concurrent use.
type Order struct {
	self  string
	peers map[string]peerReport
	// freedAt is when engines last became free.
	freedAt time.Time
	// askedAt is when Take was last called, waitingSince when this process last had a turn
	// or began to wait for one.
	askedAt      time.Time
	waitingSince time.Time
}

type peerReport struct {
	Report
	receivedAt time.Time
}

// rank returns the rank of the peer's first prompt, which falls as time passes.
func (r peerReport) rank(now time.Time) time.Duration { return r.Rank - now.Sub(r.receivedAt) }

// New returns an Order of the process with the given name, which breaks ties.
func New(self string) *Order {
	return &Order{
		self:  self,
		peers: make(map[string]peerReport),
	}
}

// Merge replaces the report of another process.
func (o *Order) Merge(now time.Time, name string, r Report) {
	if !r.Waiting {
		delete(o.peers, name)
		return
	}
	o.peers[name] = peerReport{
		Report:     r,
		receivedAt: now,
	}
}

// Ahead returns the number of processes whose first prompt comes before one with the
// given rank, and the prefill time that they have queued.
func (o *Order) Ahead(now time.Time, rank time.Duration) (processes int, prefillMS float64) {
	for name, p := range o.peers {
		switch r := p.rank(now); {
		case now.Sub(p.receivedAt) > ReportExpiry:
			delete(o.peers, name)
		case r < rank || r == rank && name < o.self:
			processes++
			prefillMS += p.PrefillMS
		}
	}
	return processes, prefillMS
}

// RecordFreed records that engines have become free.
func (o *Order) RecordFreed(now time.Time) { o.freedAt = now }

// Take reports whether this process may now place its first prompt, which has the given
// rank. While prompts wait, it is called at intervals well below MaxWait.
func (o *Order) Take(now time.Time, rank time.Duration) bool {
	if now.Sub(o.askedAt) >= MaxWait {
		o.waitingSince = now
	}
	o.askedAt = now
	n, _ := o.Ahead(now, rank)
	if now.Sub(o.freedAt) < time.Duration(n)*Interval && now.Sub(o.waitingSince) < MaxWait {
		return false
	}
	o.waitingSince = now
	return true
}
