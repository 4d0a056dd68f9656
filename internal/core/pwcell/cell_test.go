package pwcell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

// drawMembers draws members of up to 8 data centres.
func drawMembers(t *rapid.T, label string, least, most int) []Member {
	centres := rapid.IntRange(1, 8).Draw(t, label+" data centres")
	n := rapid.IntRange(least, most).Draw(t, label)
	salt := rapid.IntRange(0, 1<<30).Draw(t, label+" salt")
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{
			ID:         fmt.Sprintf("%s-%d-%d", label, salt, i),
			DataCentre: fmt.Sprint("dc-", i%centres),
		}
	}
	return out
}

func TestCellsAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := 1 << rapid.IntRange(0, 6).Draw(t, "log2 of the cells")
		members := drawMembers(t, "members", count, 2000)
		cells := Assign(members, count)
		total := make([]int, count)
		byCentre := make(map[string][]int)
		sizes := make(map[string]int)
		for _, m := range members {
			total[cells[m.ID]]++
			if byCentre[m.DataCentre] == nil {
				byCentre[m.DataCentre] = make([]int, count)
			}
			byCentre[m.DataCentre][cells[m.ID]]++
			sizes[m.DataCentre]++
		}
		for i, n := range total {
			if n < len(members)/count || n > (len(members)+count-1)/count {
				t.Fatalf("cell %d of %d has %d of %d members", i, count, n, len(members))
			}
		}
		for dc, list := range byCentre {
			for i, n := range list {
				if share := float64(sizes[dc]) / float64(count); float64(n) < share-2.5 || float64(n) > share+2.5 {
					t.Fatalf("cell %d has %d members of %s, want %.1f up to 2.5", i, n, dc, share)
				}
			}
		}
	})
}

// Processes that know one member fewer must still have nearly the same cells.
func TestJoinMovesFewMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := 1 << rapid.IntRange(0, 6).Draw(t, "log2 of the cells")
		members := drawMembers(t, "members", 2*count, 2000)
		before, after := Assign(members[1:], count), Assign(members, count)
		moved := 0
		for id, cell := range before {
			if after[id] != cell {
				moved++
			}
		}
		if limit := 3 * (count - 1); moved > limit {
			t.Fatalf("%d of %d members moved between %d cells, want at most %d", moved, len(members), count, limit)
		}
	})
}

// A coarser division consists of unions of the cells of a finer one, so that processes
// which disagree about the number of cells know whether they share servers.
func TestDivisionsAreNested(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t, "members", 64, 1000)
		fine := 1 << rapid.IntRange(1, 6).Draw(t, "log2 of the cells")
		coarse := fine / 2
		finer, coarser := Assign(members, fine), Assign(members, coarse)
		for id, i := range finer {
			a, b := Cell{Index: i, Count: fine}, Cell{Index: coarser[id], Count: coarse}
			if !a.IsValid() || !b.IsValid() || !a.Overlaps(b) || !b.Overlaps(a) {
				t.Fatalf("member %s is in cell %v and in %v, which don't overlap", id, a, b)
			}
		}
	})
}

func TestCountFollowsBothSizes(t *testing.T) {
	for _, tc := range []struct{ processes, servers, want int }{
		{1, 3, 1},
		{4, 23, 1},
		{27, 78, 1},
		{68, 195, 4},
		{60, 60, 1},
		{640, 7500, 32},
		{1 << 20, 1 << 24, MaxCount},
	} {
		if got := Count(tc.processes, tc.servers, Config{}); got != tc.want {
			t.Errorf("%d cells for %d processes and %d servers, want %d", got, tc.processes, tc.servers, tc.want)
		}
	}
}

// However many processes know each other, exactly the first ranks exist once, and
// losing half of the processes leaves about half of them.
func TestRanksAreUniqueAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 640).Draw(t, "processes")
		server := rapid.Uint64().Draw(t, "server")
		processes := rapid.SliceOfNDistinct(rapid.Uint64(), n, n, rapid.ID[uint64]).Draw(t, "hashes")
		seen := make(map[int]bool)
		for _, p := range processes {
			r := Rank(p, processes, server)
			if r < 0 || r >= n || seen[r] {
				t.Fatalf("rank %d of %d processes is taken or out of range", r, n)
			}
			seen[r] = true
		}
	})
}
