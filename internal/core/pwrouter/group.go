package pwrouter

import (
	"math"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// groupKey selects the servers of a group. An empty field other than service
// matches every server.
type groupKey struct {
	service pwrequest.ServiceID
	model   pwrequest.ModelID
	adapter string
	version string
	role    string
}

// Pools of a group. Each holds the members that one kind of request may use, so
// that a pick draws candidates without scanning the members.
const (
	// poolNoLongPrefill holds the members with room for short and medium prompts
	// and no long prompt in prefill.
	poolNoLongPrefill = iota
	// poolLongPrefill holds the members with room for short and medium prompts and
	// a long prompt in prefill.
	poolLongPrefill
	// poolForLong holds the members with room for long prompts.
	poolForLong
	// poolIdle holds the members without running attempts, for isolated requests.
	poolIdle
	poolCount
)

// notInPool is the position of a member that isn't in a pool.
const notInPool = -1

// member is the membership of a server in a group.
type member struct {
	g             *group
	s             *server
	state         exclusion
	hasLongPrompt bool
	// usable is set while the member is in the group's list of usable members.
	// longEligible is set for the first longCap members of that list.
	usable       bool
	longEligible bool
	poolPos      [poolCount]int
}

// inEither reports whether the member is in at least one of two pools.
func (m *member) inEither(p, q int) bool {
	return m.poolPos[p] != notInPool || m.poolPos[q] != notInPool
}

// group is an index over the servers that can serve the same requests.
//
// Its usable servers are sorted by a hash of their identifiers. The first longCap
// of them are eligible for long prompts. All entries therefore send long prompts
// to nearly the same servers without exchanging messages, and the other servers
// stay free of long prompts.
type group struct {
	key                groupKey
	cfg                *Config
	traffic            *traffic
	memberCount        int
	usable             []*member
	pools              [poolCount][]*member
	countByState       [stateCount]int
	longServers        int
	longCap            int
	longShare          float64
	longShareUpdatedAt time.Time
	lastUsed           uint64
}

// traffic is the demand for one model of a service and the average speed of its
// servers.
type traffic struct {
	// outstanding is the work of this entry's running attempts and backlog the
	// queued work, in tokens by length class.
	outstanding [pwrequest.ClassCount]int64
	backlog     [pwrequest.ClassCount]int64
	// unmetLongTokens is the work of the last long prompt for which no server was
	// found. It counts as demand until unmetLongUntil.
	unmetLongTokens int64
	unmetLongUntil  time.Time
	// timePerToken is the average time per token of completed attempts, in seconds
	// by length class.
	timePerToken [pwrequest.ClassCount]float64
}

// longShare returns the fraction of long prompts in the demanded work.
func (t *traffic) longShare(now time.Time) float64 {
	var sum int64
	for i := range t.outstanding {
		sum += t.outstanding[i] + t.backlog[i]
	}
	long := t.outstanding[pwrequest.Long] + t.backlog[pwrequest.Long]
	if now.Before(t.unmetLongUntil) && t.backlog[pwrequest.Long] == 0 {
		long += t.unmetLongTokens
		sum += t.unmetLongTokens
	}
	if sum <= 0 {
		return 0
	}
	return float64(long) / float64(sum)
}

// addMember adds a server to the group. The caller updates the member's index.
func (g *group) addMember(s *server) *member {
	m := &member{
		g:       g,
		s:       s,
		state:   eligible,
		poolPos: [poolCount]int{notInPool, notInPool, notInPool, notInPool},
	}
	s.members = append(s.members, m)
	g.memberCount++
	g.countByState[eligible]++
	return m
}

// removeMember takes a member out of all indexes of the group. The caller removes
// it from the members of its server.
func (g *group) removeMember(m *member) {
	g.setUsable(m, false)
	g.setPools(m, [poolCount]bool{})
	g.setHasLongPrompt(m, false)
	g.countByState[m.state]--
	g.memberCount--
}

// setHasLongPrompt records whether a usable member runs long prompts and updates the
// count of such members.
func (g *group) setHasLongPrompt(m *member, hasLongPrompt bool) {
	if m.hasLongPrompt != hasLongPrompt {
		m.hasLongPrompt = hasLongPrompt
		if hasLongPrompt {
			g.longServers++
		} else {
			g.longServers--
		}
	}
}

// setUsable adds a member to the sorted usable members or removes it from them,
// and updates which of them are eligible for long prompts.
func (g *group) setUsable(m *member, usable bool) {
	if m.usable == usable {
		return
	}
	i, _ := slices.BinarySearchFunc(g.usable, m, func(a, b *member) int { return a.s.compareRank(b.s) })
	m.usable = usable
	if usable {
		g.usable = slices.Insert(g.usable, i, m)
		if m.longEligible = i < g.longCap; m.longEligible && g.longCap < len(g.usable) {
			g.setLongEligible(g.usable[g.longCap], false)
		}
	} else {
		g.usable = slices.Delete(g.usable, i, i+1)
		if m.longEligible && g.longCap <= len(g.usable) {
			g.setLongEligible(g.usable[g.longCap-1], true)
		}
		m.longEligible = false
	}
	g.updateLongCap()
}

// setLongEligible makes a member eligible for long prompts or ends that.
func (g *group) setLongEligible(m *member, longEligible bool) {
	m.longEligible = longEligible
	m.s.updateIndex(m)
}

// updateLongCap derives the cap on servers with long prompts from the share for
// long prompts and the number of usable servers. Long prompts get at least one
// server, and leave at least one free if there are two.
func (g *group) updateLongCap() {
	n := len(g.usable)
	lower := max(1, int(math.Ceil(g.cfg.MinLongShare*float64(n))))
	upper := max(1, min(int(g.cfg.MaxLongShare*float64(n)), n-1))
	target := min(max(int(math.Round(g.longShare*float64(n))), lower), upper, n)
	for g.longCap < target {
		g.longCap++
		g.setLongEligible(g.usable[g.longCap-1], true)
	}
	for g.longCap > target {
		g.longCap--
		if g.longCap < n {
			g.setLongEligible(g.usable[g.longCap], false)
		}
	}
}

// updateLongShare moves the share for long prompts towards the demanded one.
func (g *group) updateLongShare(now time.Time) {
	dt := now.Sub(g.longShareUpdatedAt)
	if dt < longShareInterval {
		return
	}
	decay := math.Exp(-dt.Seconds() / g.cfg.LongShareWindow.Seconds())
	g.longShare = g.longShare*decay + g.traffic.longShare(now)*(1-decay)
	g.longShareUpdatedAt = now
	g.updateLongCap()
}

// setPools puts a member into the given pools and takes it out of the others.
func (g *group) setPools(m *member, wanted [poolCount]bool) {
	for p, want := range wanted {
		switch i := m.poolPos[p]; {
		case want && i == notInPool:
			m.poolPos[p] = len(g.pools[p])
			g.pools[p] = append(g.pools[p], m)
		case !want && i != notInPool:
			pool := g.pools[p]
			last := len(pool) - 1
			pool[i] = pool[last]
			pool[i].poolPos[p] = i
			pool[last] = nil
			g.pools[p] = pool[:last]
			m.poolPos[p] = notInPool
		}
	}
}
