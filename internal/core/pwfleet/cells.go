package pwfleet

import (
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
)

// coldBurstShare is the fraction of the requests above a cold server's rate that the
// processes may use for bursts. The rest covers processes that know different lists of
// processes.
const coldBurstShare = 0.6

// cells is the division of the fleet into cells, as this process sees it.
type cells struct {
	self string
	// processes holds the listed processes, self included, by identifier.
	processes map[string]pwcell.Member
	// stale is set when processes, servers or services have changed since own, peers
	// and the cells of the servers were computed.
	stale bool
	own   pwcell.Cell
	// peers holds the identifiers of the other processes of the own cell. The map is
	// replaced when it changes.
	peers map[string]bool
	// cellHashes holds the hashes of the processes of the own cell, allHashes those of
	// all processes.
	cellHashes []uint64
	allHashes  []uint64
	selfHash   uint64
}

// SetProcesses sets the processes that send work to the fleet. self is the identifier of
// this process; it is added if it isn't among them.
func (f *Fleet) SetProcesses(self pwcell.Member, list []pwcell.Member) {
	processes := make(map[string]pwcell.Member, len(list)+1)
	for _, m := range list {
		processes[m.ID] = m
	}
	processes[self.ID] = self
	if f.cells.self == self.ID && maps.Equal(processes, f.cells.processes) {
		return
	}
	f.cells.self, f.cells.processes, f.cells.stale = self.ID, processes, true
}

// Cell returns the cell of this process and the identifiers of the other processes in
// it. The map must not be changed.
func (f *Fleet) Cell() (own pwcell.Cell, peers map[string]bool) {
	f.updateCells()
	return f.cells.own, f.cells.peers
}

// updateCells computes the cells again if the members have changed. Only services with
// engines are divided: the requests of plain services are short, and their servers few.
func (f *Fleet) updateCells() {
	c := &f.cells
	if !c.stale {
		return
	}
	c.stale = false
	engines := 0
	for service, list := range f.byService {
		if _, ok := f.models[service]; ok {
			engines = max(engines, len(list))
		}
	}
	count := pwcell.Count(len(c.processes), engines, f.cfg.Cells)
	byProcess := pwcell.Assign(slices.Collect(maps.Values(c.processes)), count)
	c.own = pwcell.Cell{
		Index: byProcess[c.self],
		Count: count,
	}
	c.peers = make(map[string]bool, len(byProcess)/count)
	c.cellHashes, c.allHashes, c.selfHash = nil, nil, HashServerID(c.self)
	for id, index := range byProcess {
		h := HashServerID(id)
		c.allHashes = append(c.allHashes, h)
		if index != c.own.Index {
			continue
		}
		c.cellHashes = append(c.cellHashes, h)
		if id != c.self {
			c.peers[id] = true
		}
	}
	for service, list := range f.byService {
		_, divided := f.models[service]
		members := make([]pwcell.Member, 0, len(list))
		for _, s := range list {
			s.inCell = true
			members = append(members, pwcell.Member{
				ID:         s.info.ID,
				DataCentre: s.info.DataCentre,
			})
		}
		if !divided || count == 1 {
			continue
		}
		byServer := pwcell.Assign(members, count)
		for _, s := range list {
			s.inCell = byServer[s.info.ID] == c.own.Index
		}
	}
}

// inCell returns the servers of the own cell, or all of them for a service that isn't
// divided.
func (f *Fleet) inCell(service string) []*server {
	f.updateCells()
	list := f.byService[service]
	if f.cells.own.Count == 1 {
		return list
	}
	out := make([]*server, 0, len(list)/f.cells.own.Count+1)
	for _, s := range list {
		if s.inCell {
			out = append(out, s)
		}
	}
	return out
}

// SetColdBounds sets the bound on the requests to a cold server within one second, by
// all processes together: factor times its rate, plus slack.
func (f *Fleet) SetColdBounds(factor, slack float64) {
	f.coldFactor, f.coldSlack = factor, slack
}

// coldRateAllows reports whether this process may send one more request to a cold
// server. An equal share of the rate for each process would let every process send one
// request in the same second, however many there are. So only the processes of the first
// ranks for this server send to it, each an equal share and bursts of one request.
func (f *Fleet) coldRateAllows(now time.Time, s *server) bool {
	rate := f.coldRate[s.info.Service]
	if rate <= 0 {
		return true
	}
	senders := f.rankedSenders(s, int(coldBurstShare*(rate*(f.coldFactor-1)+f.coldSlack)))
	if senders == 0 {
		return false
	}
	s.coldBucket.refill(now, rate/float64(senders), 1)
	return s.coldBucket.tokens >= 1
}

// rankedSenders returns the number of processes, at most the given number but at least
// one, that send to a server whose rate is bounded, or 0 if this process isn't one of
// them. Processes of other cells aren't: their ranks among themselves would add as many
// senders for each cell.
func (f *Fleet) rankedSenders(s *server, most int) int {
	f.updateCells()
	if !s.inCell {
		return 0
	}
	processes := f.cells.cellHashes
	if _, divided := f.models[s.info.Service]; !divided {
		processes = f.cells.allHashes
	}
	if len(processes) == 0 {
		return f.ProcessCount()
	}
	senders := max(1, most)
	if len(processes) <= senders {
		return len(processes)
	}
	if pwcell.Rank(f.cells.selfHash, processes, s.hash) >= senders {
		return 0
	}
	return senders
}
