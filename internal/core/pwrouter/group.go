package pwrouter

import (
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// groupKey selects servers; an empty field other than the service selects all.
type groupKey struct {
	service pwrequest.ServiceID
	model   pwrequest.ModelID
	adapter string
	version string
	role    string
}

// Pools of a group. Each holds the members that a kind of request may use, so
// that a pick draws from them without a scan.
const (
	// poolClear: room for short and medium prompts, no long prompt.
	poolClear = iota
	// poolShared: room for short and medium prompts beside a long prompt.
	poolShared
	// poolLong: room for long prompts.
	poolLong
	// poolIdle: nothing runs.
	poolIdle
	poolCount
)

// absent is the position of a member that isn't in a pool.
const absent = -1

// member is a server in a group.
type member struct {
	g     *group
	s     *server
	state exclusion
	long  bool
	// ranked is set while the member is in the group's order, which holds the
	// usable servers; zone is set for the first of them, up to the cap.
	ranked bool
	zone   bool
	pos    [poolCount]int
}

// in reports whether the member is in one of two pools.
func (m *member) in(p, q int) bool { return m.pos[p] != absent || m.pos[q] != absent }

// group is an index over the servers that can serve the same requests.
//
// Long prompts use the first usable servers in the order of a hash of their
// identifiers, as many as the cap allows. All entries thus choose nearly the
// same servers without exchanging a message, and the other servers stay free
// of long prompts.
type group struct {
	key      groupKey
	cfg      *Config
	traffic  *traffic
	members  int
	order    []*member
	pools    [poolCount][]*member
	states   [stateCount]int
	longs    int
	cap      int
	share    float64
	adapted  time.Time
	lastUsed uint64
}

// traffic is the demand of one model of a service and the average pace of its
// servers, by length class.
type traffic struct {
	outstanding [pwrequest.ClassCount]int64
	backlog     [pwrequest.ClassCount]int64
	// unmet is the work of a long prompt that found no server, until it expires.
	unmet      int64
	unmetUntil time.Time
	// pace is the average time per token of completed attempts, in seconds.
	pace [pwrequest.ClassCount]float64
}

// longShare returns the part of long prompts in the demanded token work.
func (t *traffic) longShare(now time.Time) float64 {
	var sum int64
	for i := range t.outstanding {
		sum += t.outstanding[i] + t.backlog[i]
	}
	long := t.outstanding[pwrequest.Long] + t.backlog[pwrequest.Long]
	if now.Before(t.unmetUntil) && t.backlog[pwrequest.Long] == 0 {
		long += t.unmet
		sum += t.unmet
	}
	if sum <= 0 {
		return 0
	}
	return float64(long) / float64(sum)
}

func (g *group) add(s *server) *member {
	m := &member{
		g:     g,
		s:     s,
		state: open,
		pos:   [poolCount]int{absent, absent, absent, absent},
	}
	s.members = append(s.members, m)
	g.members++
	g.states[open]++
	return m
}

// remove takes a member out of all indexes. The caller removes it from its server.
func (g *group) remove(m *member) {
	g.setRanked(m, false)
	g.place(m, [poolCount]bool{})
	g.setLong(m, false)
	g.states[m.state]--
	g.members--
}

func (g *group) setLong(m *member, long bool) {
	if m.long != long {
		m.long = long
		if long {
			g.longs++
		} else {
			g.longs--
		}
	}
}

// setRanked adds a member to the order or takes it out, and moves the end of
// the zone accordingly.
func (g *group) setRanked(m *member, ranked bool) {
	if m.ranked == ranked {
		return
	}
	i, _ := slices.BinarySearchFunc(g.order, m, func(a, b *member) int { return a.s.compareRank(b.s) })
	m.ranked = ranked
	if ranked {
		g.order = slices.Insert(g.order, i, m)
		if m.zone = i < g.cap; m.zone && g.cap < len(g.order) {
			g.setZone(g.order[g.cap], false)
		}
	} else {
		g.order = slices.Delete(g.order, i, i+1)
		if m.zone && g.cap <= len(g.order) {
			g.setZone(g.order[g.cap-1], true)
		}
		m.zone = false
	}
	g.resize()
}

func (g *group) setZone(m *member, zone bool) {
	m.zone = zone
	m.s.index(m)
}

// resize sets the cap from the demanded share and the number of usable
// servers: at least one server for long prompts, and at least one without them
// when there are two.
func (g *group) resize() {
	n := len(g.order)
	lowest := max(1, int(math.Ceil(g.cfg.MinLongShare*float64(n))))
	highest := max(1, min(int(g.cfg.MaxLongShare*float64(n)), n-1))
	want := min(max(int(math.Round(g.share*float64(n))), lowest), highest, n)
	for g.cap < want {
		g.cap++
		g.setZone(g.order[g.cap-1], true)
	}
	for g.cap > want {
		g.cap--
		if g.cap < n {
			g.setZone(g.order[g.cap], false)
		}
	}
}

// adapt lets the share for long prompts follow the demand.
func (g *group) adapt(now time.Time) {
	dt := now.Sub(g.adapted)
	if dt < capInterval {
		return
	}
	k := math.Exp(-dt.Seconds() / g.cfg.LongShareWindow.Seconds())
	g.share = g.share*k + g.traffic.longShare(now)*(1-k)
	g.adapted = now
	g.resize()
}

// place puts a member into the given pools and takes it out of the others.
func (g *group) place(m *member, in [poolCount]bool) {
	for p, want := range in {
		switch i := m.pos[p]; {
		case want && i == absent:
			m.pos[p] = len(g.pools[p])
			g.pools[p] = append(g.pools[p], m)
		case !want && i != absent:
			pool := g.pools[p]
			last := len(pool) - 1
			pool[i] = pool[last]
			pool[i].pos[p] = i
			pool[last] = nil
			g.pools[p] = pool[:last]
			m.pos[p] = absent
		}
	}
}
