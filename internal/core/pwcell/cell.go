// Package pwcell divides a fleet into cells. A cell is a group of processes with a group
// of backend servers. A process places prompts on the servers of its own cell and tells
// only the processes of that cell what it has in flight, so that its traffic doesn't
// grow with the size of the fleet.
//
// All processes compute the same cells from the list of processes and the list of
// servers. The number of cells is a power of two, and each cell of a coarser division is
// the union of two cells of the next finer one. Processes that know different numbers
// of members, and so disagree about the number of cells, still know which of their
// cells overlap.
//
// # Usage
//
//	n := pwcell.Count(len(processes), len(servers), pwcell.Config{})
//	cells := pwcell.Assign(servers, n) // by identifier
//	own := pwcell.Cell{Index: pwcell.Assign(processes, n)["front-1"], Count: n}
package pwcell

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pomeloweir/pomeloweir/internal/core/pwdefault"
)

// Defaults of the Config fields.
const (
	// DefaultMinProcesses and DefaultMinServers are the fewest processes and servers of
	// a cell. A cell has enough servers to share the prefill of the longest prompts
	// while some of them are lost, and enough processes to average out the callers that
	// the load balancer assigns to each.
	DefaultMinProcesses = 12
	DefaultMinServers   = 40
	// MaxCount is the largest number of cells.
	MaxCount = 1024
)

// Config configures Count. Zero fields take their defaults.
type Config struct {
	MinProcesses int
	MinServers   int
}

// Cell is one of Count cells, with an Index from 0 to Count-1. The zero Cell isn't valid.
type Cell struct {
	Index int
	Count int
}

// Whole returns the only cell of a fleet that isn't divided.
func Whole() Cell {
	return Cell{
		Count: 1,
	}
}

// IsValid reports whether c is a cell of a power of two of cells.
func (c Cell) IsValid() bool {
	return c.Count > 0 && c.Count <= MaxCount && c.Count&(c.Count-1) == 0 && c.Index >= 0 && c.Index < c.Count
}

// Overlaps reports whether two valid cells have members in common, although they may
// come from divisions into different numbers of cells.
func (c Cell) Overlaps(o Cell) bool {
	if c.Count > o.Count {
		c, o = o, c
	}
	return o.Index/(o.Count/c.Count) == c.Index
}

// Count returns the number of cells of a fleet: the largest power of two at which each
// cell has the fewest processes and servers that the configuration allows.
func Count(processes, servers int, cfg Config) int {
	pwdefault.SetUnlessPositive(&cfg.MinProcesses, DefaultMinProcesses)
	pwdefault.SetUnlessPositive(&cfg.MinServers, DefaultMinServers)
	n := 1
	for 2*n <= MaxCount && processes >= 2*n*cfg.MinProcesses && servers >= 2*n*cfg.MinServers {
		n *= 2
	}
	return n
}

// Member is a process or a backend server.
type Member struct {
	ID         string
	DataCentre string
}

// Assign returns the index of each member's cell, by identifier. The cells have equal
// numbers of members, up to one, and nearly equal numbers from each data centre. A
// member that joins or leaves moves at most a few others at the boundaries.
func Assign(members []Member, count int) map[string]int {
	type position struct {
		id   string
		hash uint64
		// at is the position within the members of the data centre, from 0 to 1.
		at float64
	}
	byDataCentre := make(map[string][]position)
	for _, m := range members {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], position{
			id:   m.ID,
			hash: xxhash.Sum64String(m.ID),
		})
	}
	all := make([]position, 0, len(members))
	for _, list := range byDataCentre {
		slices.SortFunc(list, func(a, b position) int { return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id)) })
		for i := range list {
			list[i].at = (float64(i) + 0.5) / float64(len(list))
		}
		all = append(all, list...)
	}
	slices.SortFunc(all, func(a, b position) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	out := make(map[string]int, len(all))
	for i, p := range all {
		out[p.id] = i * count / len(all)
	}
	return out
}

// Rank returns the position of a process among others by its score for a server, which
// is different for each server: processes of the first ranks may use what only a few
// of them can share. It returns the number of processes with a higher score.
func Rank(self uint64, others []uint64, server uint64) int {
	score := func(process uint64) uint64 { return mix(process ^ mix(server)) }
	own, rank := score(self), 0
	for _, o := range others {
		if s := score(o); o != self && (s > own || s == own && o > self) {
			rank++
		}
	}
	return rank
}

// mix is the finalizer of splitmix64, a bijection that spreads small differences.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
