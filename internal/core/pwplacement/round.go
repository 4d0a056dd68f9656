package pwplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// round is the work on one plan.
type round struct {
	p       *Planner
	now     time.Time
	in      Snapshot
	models  map[pwrequest.ModelID]Model
	servers []*serverState
	// planned counts the servers in service that hold a model in any version
	// or are loading it; serving only those that hold it and keep it.
	planned map[pwrequest.ModelID]int
	serving map[pwrequest.ModelID]int
	// share is the target of each model, cut to the slots that exist.
	shares map[pwrequest.ModelID]int
	loads  int
	orders []Order
}

// serverState is a server in service with its pending change applied.
type serverState struct {
	Server
	// changing is set while a change is pending or planned, and after a failed
	// order; resting while only urgent orders are given.
	changing bool
	resting  bool
}

func newRound(p *Planner, now time.Time, in Snapshot) *round {
	r := &round{
		p:       p,
		now:     now,
		in:      in,
		models:  map[pwrequest.ModelID]Model{},
		planned: map[pwrequest.ModelID]int{},
		serving: map[pwrequest.ModelID]int{},
		shares:  map[pwrequest.ModelID]int{},
		loads:   in.MaxLoads,
	}
	for _, m := range in.Models {
		r.models[m.ID] = m
	}
	for _, s := range in.Servers {
		c, changing := p.pending[s.ID]
		// A load counts also on a server that has been taken out since.
		r.loads -= max(len(s.Loading), c.loads())
		if !s.InService {
			continue
		}
		st := &serverState{
			Server:   s,
			changing: changing || len(s.Loading) > 0 || now.Before(p.blockedUntil[s.ID]),
			resting:  now.Before(p.restUntil[s.ID]),
		}
		st.Slots = max(st.Slots, 1)
		st.Models = maps.Clone(s.Models)
		if st.Models == nil {
			st.Models = map[pwrequest.ModelID]string{}
		}
		loading := map[pwrequest.ModelID]bool{}
		for m, version := range s.Loading {
			loading[m] = true
			st.Models[m] = version
		}
		for _, o := range c.orders {
			switch o.Kind {
			case LoadModel:
				if st.Models[o.Model] != o.Version {
					loading[o.Model] = true
					st.Models[o.Model] = o.Version
				}
			case UnloadModel:
				delete(st.Models, o.Model)
			}
		}
		for m := range st.Models {
			r.planned[m]++
			if !loading[m] {
				r.serving[m]++
			}
		}
		r.servers = append(r.servers, st)
	}
	slices.SortFunc(r.servers, func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// share cuts the targets to the slots in service: each model gets one slot
// first, by demand, and the others go where the larger part is missing.
func (r *round) share() {
	left := 0
	for _, s := range r.servers {
		left += s.Slots
	}
	order := slices.SortedFunc(maps.Keys(r.models), func(a, b pwrequest.ModelID) int {
		return cmp.Or(cmp.Compare(r.in.Demand[b], r.in.Demand[a]), cmp.Compare(a, b))
	})
	for _, id := range order {
		if left > 0 && r.p.targets[id].count > 0 {
			r.shares[id] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		best, missing := pwrequest.ModelID(""), 0.0
		for _, id := range order {
			want := r.p.targets[id].count
			if part := float64(want-r.shares[id]) / float64(max(want, 1)); part > missing && r.shares[id] > 0 {
				best, missing = id, part
			}
		}
		if missing == 0 {
			return
		}
		r.shares[best]++
	}
}

// emit plans orders for one server, unless the plan is full or the loads are
// used up.
func (r *round) emit(s *serverState, orders ...Order) bool {
	c := change{
		orders: orders,
		at:     r.now,
	}
	if len(r.orders)+len(orders) > r.p.cfg.MaxOrders || c.loads() > max(r.loads, 0) {
		return false
	}
	r.loads -= c.loads()
	r.orders = append(r.orders, orders...)
	r.p.pending[s.ID] = c
	r.p.restUntil[s.ID] = r.now.Add(r.p.cfg.Cooldown)
	s.changing = true
	return true
}

// fill loads models that have too few servers, most urgent first. With
// onlyUnserved it looks only at models that no server has or loads.
func (r *round) fill(onlyUnserved bool) {
	stuck := map[pwrequest.ModelID]bool{}
	for {
		best, urgency := pwrequest.ModelID(""), 0.0
		for _, m := range r.in.Models {
			missing := r.shares[m.ID] - r.planned[m.ID]
			if missing <= 0 || stuck[m.ID] || onlyUnserved && r.planned[m.ID] > 0 {
				continue
			}
			u := float64(missing) / float64(r.shares[m.ID])
			if r.serving[m.ID] == 0 {
				u++
			}
			if u > urgency {
				best, urgency = m.ID, u
			}
		}
		if urgency == 0 {
			return
		}
		if !r.place(best, r.planned[best] == 0) {
			stuck[best] = true
		}
	}
}

// place loads a model's active version on one more server. An urgent model may
// take a server that was changed recently, or the place of a model that has
// other servers.
func (r *round) place(id pwrequest.ModelID, urgent bool) bool {
	perCentre := map[pwrequest.DataCentre]int{}
	for _, s := range r.servers {
		if _, ok := s.Models[id]; ok {
			perCentre[s.DataCentre]++
		}
	}
	var best *serverState
	var victim pwrequest.ModelID
	bestCost := 0
	for _, s := range r.servers {
		if _, has := s.Models[id]; has || s.changing || s.resting && !urgent {
			continue
		}
		v, cost := r.victim(s, r.serving, urgent)
		if cost < 0 {
			continue
		}
		if best == nil || cmp.Or(
			compareBool(s.resting, best.resting),
			cmp.Compare(cost, bestCost),
			cmp.Compare(perCentre[s.DataCentre], perCentre[best.DataCentre]),
			cmp.Compare(s.Running, best.Running)) < 0 {
			best, victim, bestCost = s, v, cost
		}
	}
	if best == nil {
		return false
	}
	var orders []Order
	if victim != "" {
		orders = append(orders, Order{
			Kind:   UnloadModel,
			Server: best.ID,
			Model:  victim,
		})
	}
	orders = append(orders, Order{
		Kind:    LoadModel,
		Server:  best.ID,
		Model:   id,
		Version: r.models[id].Version,
	})
	if !r.emit(best, orders...) {
		return false
	}
	if victim != "" {
		r.drop(best, victim)
	}
	best.Models[id] = r.models[id].Version
	r.planned[id]++
	return true
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Costs of a slot, lower first.
const (
	costNone     = -1
	costFree     = 0
	costUnwanted = 1
	costSurplus  = 2
	costUrgent   = 3
)

// victim returns the model that would be unloaded to make room on a server,
// or "" when there is a free slot, and the cost of that; costNone when the
// server cannot take a model. servers counts the servers of each model, one of
// which must remain.
func (r *round) victim(s *serverState, servers map[pwrequest.ModelID]int, urgent bool) (pwrequest.ModelID, int) {
	if len(s.Models) < s.Slots {
		return "", costFree
	}
	best, bestCost := pwrequest.ModelID(""), costNone
	for _, id := range slices.Sorted(maps.Keys(s.Models)) {
		_, wanted := r.models[id]
		cost := costNone
		switch {
		case !wanted:
			cost = costUnwanted
		case servers[id] < 2:
			// The last server of a wanted model keeps it.
		case r.planned[id] > r.shares[id]:
			cost = costSurplus
		case urgent:
			cost = costUrgent
		}
		if cost != costNone && (bestCost == costNone || cost < bestCost) {
			best, bestCost = id, cost
		}
	}
	return best, bestCost
}

func (r *round) drop(s *serverState, id pwrequest.ModelID) {
	delete(s.Models, id)
	r.planned[id]--
	r.serving[id]--
}

// replaceVersions moves one server of each model to the active version at a
// time. It does not wait for the dwell time: an operator asked for the change.
func (r *round) replaceVersions() {
	for _, m := range r.in.Models {
		var old *serverState
		busy := false
		for _, s := range r.servers {
			version, has := s.Models[m.ID]
			switch {
			case !has:
			case s.changing:
				busy = true
			case version != m.Version && (old == nil || s.Running < old.Running):
				old = s
			}
		}
		if old == nil || busy {
			continue
		}
		unload := Order{
			Kind:   UnloadModel,
			Server: old.ID,
			Model:  m.ID,
		}
		switch {
		case r.serving[m.ID] < 2 && r.place(m.ID, true):
			// The old version goes once the new one is served elsewhere.
		case r.serving[m.ID] >= 2 && r.planned[m.ID] > r.shares[m.ID]:
			if r.emit(old, unload) {
				r.drop(old, m.ID)
			}
		case r.serving[m.ID] < 2 && r.canPlaceLater(m.ID):
		default:
			load := Order{
				Kind:    LoadModel,
				Server:  old.ID,
				Model:   m.ID,
				Version: m.Version,
			}
			if r.emit(old, unload, load) {
				old.Models[m.ID] = m.Version
				r.serving[m.ID]--
			}
		}
	}
}

// canPlaceLater reports whether another server could take the model once its
// own change, the rest after it, or the loads in progress have ended.
func (r *round) canPlaceLater(id pwrequest.ModelID) bool {
	return slices.ContainsFunc(r.servers, func(s *serverState) bool {
		_, has := s.Models[id]
		_, cost := r.victim(s, r.planned, true)
		return !has && cost != costNone
	})
}

// loadAdapters loads missing adapters and wrong versions of them.
func (r *round) loadAdapters() {
	for _, s := range r.servers {
		for _, id := range slices.Sorted(maps.Keys(s.Models)) {
			m := r.models[id]
			for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
				if s.changing || s.Models[id] != m.Version || s.Adapters[adapter] == m.Adapters[adapter] {
					continue
				}
				r.emit(s, Order{
					Kind:    LoadAdapter,
					Server:  s.ID,
					Model:   id,
					Adapter: adapter,
					Version: m.Adapters[adapter],
				})
			}
		}
	}
}

// setRoles changes as few roles as the shares need. Servers that are changing
// keep their role for now and count with it.
func (r *round) setRoles() {
	if len(r.in.Roles) == 0 {
		return
	}
	want := roleCounts(r.in.Roles, len(r.servers))
	have := map[string]int{}
	for _, s := range r.servers {
		role := s.Role
		for _, o := range r.p.pending[s.ID].orders {
			if o.Kind == SetRole {
				role = o.Role
			}
		}
		have[role]++
	}
	for _, s := range r.servers {
		if s.changing || s.resting || have[s.Role] <= want[s.Role] {
			continue
		}
		for _, share := range r.in.Roles {
			if have[share.Role] < want[share.Role] {
				if r.emit(s, Order{
					Kind:   SetRole,
					Server: s.ID,
					Role:   share.Role,
				}) {
					have[s.Role]--
					have[share.Role]++
				}
				break
			}
		}
	}
}

// roleCounts divides n servers by the shares with the largest remainders.
func roleCounts(shares []RoleShare, n int) map[string]int {
	type remainder struct {
		role string
		rest int
	}
	counts := map[string]int{}
	var rests []remainder
	left := n
	for _, s := range shares {
		counts[s.Role] = n * s.Percent / 100
		left -= counts[s.Role]
		rests = append(rests, remainder{
			role: s.Role,
			rest: n * s.Percent % 100,
		})
	}
	slices.SortStableFunc(rests, func(a, b remainder) int { return cmp.Compare(b.rest, a.rest) })
	for i := 0; i < left && i < len(rests); i++ {
		counts[rests[i].role]++
	}
	return counts
}
