package pwplacement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// planRun is the state of the computation of one plan.
type planRun struct {
	planner  *Planner
	now      time.Time
	snapshot Snapshot
	models   map[pwrequest.ModelID]Model
	servers  []*serverState
	// plannedReplicas counts the servers in service that hold a model in any version
	// or are loading it. servingReplicas counts those that hold it and are neither
	// loading nor unloading it.
	plannedReplicas map[pwrequest.ModelID]int
	servingReplicas map[pwrequest.ModelID]int
	// allocated is the target of each model, limited to the existing slots.
	allocated map[pwrequest.ModelID]int
	// loadsLeft is the number of loads that may still start.
	loadsLeft int
	orders    []Order
}

// serverState is a server in service with its pending change applied.
type serverState struct {
	Server
	// changing is set if a change or load is in progress or planned, or if the server
	// is blocked after a failed order. coolingDown is set if the server gets only
	// urgent orders.
	changing    bool
	coolingDown bool
}

// newPlanRun applies the reported loads and the pending changes to the servers in
// service.
func newPlanRun(p *Planner, now time.Time, in Snapshot) *planRun {
	r := &planRun{
		planner:         p,
		now:             now,
		snapshot:        in,
		models:          map[pwrequest.ModelID]Model{},
		plannedReplicas: map[pwrequest.ModelID]int{},
		servingReplicas: map[pwrequest.ModelID]int{},
		allocated:       map[pwrequest.ModelID]int{},
		loadsLeft:       in.MaxLoads,
	}
	for _, m := range in.Models {
		r.models[m.ID] = m
	}
	for _, s := range in.Servers {
		c, changing := p.pendingChanges[s.ID]
		// A load in progress also counts if its server has left service since.
		r.loadsLeft -= max(len(s.Loading), c.loadCount())
		if !s.InService {
			continue
		}
		st := &serverState{
			Server:      s,
			changing:    changing || len(s.Loading) > 0 || now.Before(p.blockedUntil[s.ID]),
			coolingDown: now.Before(p.cooldownUntil[s.ID]),
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
			r.plannedReplicas[m]++
			if !loading[m] {
				r.servingReplicas[m]++
			}
		}
		r.servers = append(r.servers, st)
	}
	slices.SortFunc(r.servers, func(a, b *serverState) int { return cmp.Compare(a.ID, b.ID) })
	return r
}

// allocateSlots limits the targets to the slots in service. Each model first gets
// one slot, in the order of demand. Each further slot goes to the model that lacks
// the largest fraction of its target.
func (r *planRun) allocateSlots() {
	left := 0
	for _, s := range r.servers {
		left += s.Slots
	}
	order := slices.SortedFunc(maps.Keys(r.models), func(a, b pwrequest.ModelID) int {
		return cmp.Or(cmp.Compare(r.snapshot.Demand[b], r.snapshot.Demand[a]), cmp.Compare(a, b))
	})
	for _, id := range order {
		if left > 0 && r.planner.targets[id].replicas > 0 {
			r.allocated[id] = 1
			left--
		}
	}
	for ; left > 0; left-- {
		best, missing := pwrequest.ModelID(""), 0.0
		for _, id := range order {
			want := r.planner.targets[id].replicas
			if part := float64(want-r.allocated[id]) / float64(max(want, 1)); part > missing && r.allocated[id] > 0 {
				best, missing = id, part
			}
		}
		if missing == 0 {
			return
		}
		r.allocated[best]++
	}
}

// addOrders adds orders for one server to the plan. It returns false if the plan
// would exceed MaxOrders or the allowed loads.
func (r *planRun) addOrders(s *serverState, orders ...Order) bool {
	c := pendingChange{
		orders:    orders,
		orderedAt: r.now,
	}
	if len(r.orders)+len(orders) > r.planner.cfg.MaxOrders || c.loadCount() > max(r.loadsLeft, 0) {
		return false
	}
	r.loadsLeft -= c.loadCount()
	r.orders = append(r.orders, orders...)
	r.planner.pendingChanges[s.ID] = c
	r.planner.cooldownUntil[s.ID] = r.now.Add(r.planner.cfg.Cooldown)
	s.changing = true
	return true
}

// placeMissing loads models that have too few replicas, the most urgent first. With
// onlyUnserved it considers only models that no server holds or loads.
func (r *planRun) placeMissing(onlyUnserved bool) {
	unplaceable := map[pwrequest.ModelID]bool{}
	for {
		best, urgency := pwrequest.ModelID(""), 0.0
		for _, m := range r.snapshot.Models {
			missing := r.allocated[m.ID] - r.plannedReplicas[m.ID]
			if missing <= 0 || unplaceable[m.ID] || onlyUnserved && r.plannedReplicas[m.ID] > 0 {
				continue
			}
			u := float64(missing) / float64(r.allocated[m.ID])
			if r.servingReplicas[m.ID] == 0 {
				u++
			}
			if u > urgency {
				best, urgency = m.ID, u
			}
		}
		if urgency == 0 {
			return
		}
		if !r.placeModel(best, r.plannedReplicas[best] == 0) {
			unplaceable[best] = true
		}
	}
}

// placeModel loads the active version of a model on one more server. An urgent model
// may use a server in its cooldown, or evict a model that has other servers.
func (r *planRun) placeModel(id pwrequest.ModelID, urgent bool) bool {
	replicasByCentre := map[pwrequest.DataCentre]int{}
	for _, s := range r.servers {
		if _, ok := s.Models[id]; ok {
			replicasByCentre[s.DataCentre]++
		}
	}
	var best *serverState
	var victim pwrequest.ModelID
	bestCost := 0
	for _, s := range r.servers {
		if _, has := s.Models[id]; has || s.changing || s.coolingDown && !urgent {
			continue
		}
		v, cost := r.chooseEviction(s, r.servingReplicas, urgent)
		if cost < 0 {
			continue
		}
		if best == nil || cmp.Or(
			compareBool(s.coolingDown, best.coolingDown),
			cmp.Compare(cost, bestCost),
			cmp.Compare(replicasByCentre[s.DataCentre], replicasByCentre[best.DataCentre]),
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
	if !r.addOrders(best, orders...) {
		return false
	}
	if victim != "" {
		r.removeModel(best, victim)
	}
	best.Models[id] = r.models[id].Version
	r.plannedReplicas[id]++
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

// Costs of a slot on a server, from low to high.
const (
	costImpossible     = -1
	costFreeSlot       = 0
	costUnwantedModel  = 1
	costSurplusReplica = 2
	costUrgentEviction = 3
)

// chooseEviction returns the model to unload so that a server can take another one,
// or "" if the server has a free slot, and the cost of the slot. The cost is
// costImpossible if the server cannot take a model. replicas counts the servers of
// each model, of which at least one must remain.
func (r *planRun) chooseEviction(s *serverState, replicas map[pwrequest.ModelID]int, urgent bool) (pwrequest.ModelID, int) {
	if len(s.Models) < s.Slots {
		return "", costFreeSlot
	}
	best, bestCost := pwrequest.ModelID(""), costImpossible
	for _, id := range slices.Sorted(maps.Keys(s.Models)) {
		_, wanted := r.models[id]
		cost := costImpossible
		switch {
		case !wanted:
			cost = costUnwantedModel
		case replicas[id] < 2:
			// The last server of a wanted model keeps the model.
		case r.plannedReplicas[id] > r.allocated[id]:
			cost = costSurplusReplica
		case urgent:
			cost = costUrgentEviction
		}
		if cost != costImpossible && (bestCost == costImpossible || cost < bestCost) {
			best, bestCost = id, cost
		}
	}
	return best, bestCost
}

// removeModel takes a model off a server in the planned state.
func (r *planRun) removeModel(s *serverState, id pwrequest.ModelID) {
	delete(s.Models, id)
	r.plannedReplicas[id]--
	r.servingReplicas[id]--
}

// replaceVersions moves each model to its active version, one server at a time. It
// does not wait for the cooldown, because an operator requested the change.
func (r *planRun) replaceVersions() {
	for _, m := range r.snapshot.Models {
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
		case r.servingReplicas[m.ID] < 2 && r.placeModel(m.ID, true):
			// The old version is unloaded once another server serves the new one.
		case r.servingReplicas[m.ID] >= 2 && r.plannedReplicas[m.ID] > r.allocated[m.ID]:
			if r.addOrders(old, unload) {
				r.removeModel(old, m.ID)
			}
		case r.servingReplicas[m.ID] < 2 && r.canPlaceLater(m.ID):
			// The old version stays until another server can take the new one.
		default:
			load := Order{
				Kind:    LoadModel,
				Server:  old.ID,
				Model:   m.ID,
				Version: m.Version,
			}
			if r.addOrders(old, unload, load) {
				old.Models[m.ID] = m.Version
				r.servingReplicas[m.ID]--
			}
		}
	}
}

// canPlaceLater reports whether another server could take the model after its own
// change and cooldown or the loads in progress have ended.
func (r *planRun) canPlaceLater(id pwrequest.ModelID) bool {
	return slices.ContainsFunc(r.servers, func(s *serverState) bool {
		_, has := s.Models[id]
		_, cost := r.chooseEviction(s, r.plannedReplicas, true)
		return !has && cost != costImpossible
	})
}

// loadAdapters loads adapters that are missing or have another version than wanted.
func (r *planRun) loadAdapters() {
	for _, s := range r.servers {
		for _, id := range slices.Sorted(maps.Keys(s.Models)) {
			m := r.models[id]
			for _, adapter := range slices.Sorted(maps.Keys(m.Adapters)) {
				if s.changing || s.Models[id] != m.Version || s.Adapters[adapter] == m.Adapters[adapter] {
					continue
				}
				r.addOrders(s, Order{
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

// setRoles changes as few roles as the shares need. Servers with a pending change
// keep their role for now and count with the role that was ordered for them.
func (r *planRun) setRoles() {
	if len(r.snapshot.Roles) == 0 {
		return
	}
	want := roleCounts(r.snapshot.Roles, len(r.servers))
	have := map[string]int{}
	for _, s := range r.servers {
		role := s.Role
		for _, o := range r.planner.pendingChanges[s.ID].orders {
			if o.Kind == SetRole {
				role = o.Role
			}
		}
		have[role]++
	}
	for _, s := range r.servers {
		if s.changing || s.coolingDown || have[s.Role] <= want[s.Role] {
			continue
		}
		for _, share := range r.snapshot.Roles {
			if have[share.Role] < want[share.Role] {
				if r.addOrders(s, Order{
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

// roleCounts divides n servers between the roles by the largest remainder method.
func roleCounts(shares []RoleShare, n int) map[string]int {
	type remainder struct {
		role string
		rest int
	}
	counts := map[string]int{}
	var remainders []remainder
	left := n
	for _, s := range shares {
		counts[s.Role] = n * s.Percent / 100
		left -= counts[s.Role]
		remainders = append(remainders, remainder{
			role: s.Role,
			rest: n * s.Percent % 100,
		})
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int { return cmp.Compare(b.rest, a.rest) })
	for i := 0; i < left && i < len(remainders); i++ {
		counts[remainders[i].role]++
	}
	return counts
}
