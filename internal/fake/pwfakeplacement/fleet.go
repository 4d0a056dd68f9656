// Package pwfakeplacement provides fakes for tests of the placement: a fleet of backend
// servers that executes orders on a simulated clock, and a site with placer processes
// that compete for the lease and can be paused.
//
// # Usage
//
//	f := pwfakeplacement.NewFleet()
//	f.Snapshot.Servers = append(f.Snapshot.Servers, pwfakeplacement.NewServer("s1", "hakata"))
//	orders := f.Plan()
//	f.Advance(time.Minute)
package pwfakeplacement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Fleet plans the placement and executes the orders of each plan. A load of a model or an
// adapter ends after the load time, any other order at the next Advance. The snapshot
// shows the finished orders, as the agents' reports would.
type Fleet struct {
	Now     time.Time
	Planner *pwplacement.Planner
	// Snapshot is the input of the next plan. The caller may change it.
	Snapshot pwplacement.Snapshot
	// RunningOrders are the orders that have not ended, oldest first.
	RunningOrders []RunningOrder
	loadTime      time.Duration
}

// RunningOrder is an order that a server executes until endsAt.
type RunningOrder struct {
	Order  pwplacement.Order
	endsAt time.Time
}

// NewFleet returns a fleet without servers and with a load time of one minute.
func NewFleet() *Fleet {
	return &Fleet{
		Now:      time.Unix(0, 0),
		Planner:  pwplacement.New(pwplacement.Config{}),
		loadTime: time.Minute,
		Snapshot: pwplacement.Snapshot{
			Demand:         map[pwrequest.ModelID]float64{},
			ServerCapacity: 100,
			MaxLoads:       2,
		},
	}
}

// Server returns the state of a server in the snapshot, which the caller may change.
func (f *Fleet) Server(id string) *pwplacement.Server {
	i := slices.IndexFunc(f.Snapshot.Servers, func(s pwplacement.Server) bool { return s.ID == pwrequest.BackendServerID(id) })
	return &f.Snapshot.Servers[i]
}

// Plan makes one plan, starts its orders and returns them.
func (f *Fleet) Plan() []pwplacement.Order {
	orders := f.Planner.Plan(f.Now, f.Snapshot)
	for _, o := range orders {
		fl := RunningOrder{
			Order:  o,
			endsAt: f.Now,
		}
		if o.Kind == pwplacement.LoadModel || o.Kind == pwplacement.LoadAdapter {
			fl.endsAt = f.Now.Add(f.loadTime)
		}
		f.RunningOrders = append(f.RunningOrders, fl)
	}
	return orders
}

// RunningLoads returns the number of running loads of models and adapters.
func (f *Fleet) RunningLoads() int {
	n := 0
	for _, fl := range f.RunningOrders {
		if fl.Order.Kind == pwplacement.LoadModel || fl.Order.Kind == pwplacement.LoadAdapter {
			n++
		}
	}
	return n
}

// Advance advances the clock and applies the orders that end by then to the snapshot.
func (f *Fleet) Advance(d time.Duration) {
	f.Now = f.Now.Add(d)
	f.RunningOrders = slices.DeleteFunc(f.RunningOrders, func(fl RunningOrder) bool {
		if fl.endsAt.After(f.Now) {
			return false
		}
		s := f.Server(string(fl.Order.Server))
		switch o := fl.Order; o.Kind {
		case pwplacement.LoadModel:
			s.Models[o.Model] = o.Version
		case pwplacement.UnloadModel:
			delete(s.Models, o.Model)
		case pwplacement.LoadAdapter:
			s.Adapters[o.Adapter] = o.Version
		case pwplacement.SetRole:
			s.Role = o.Role
		}
		return true
	})
}

// ServingCount returns the number of servers in service that have the model loaded.
func (f *Fleet) ServingCount(id pwrequest.ModelID) int {
	n := 0
	for _, s := range f.Snapshot.Servers {
		if _, ok := s.Models[id]; ok && s.InService {
			n++
		}
	}
	return n
}

// CanMove reports whether a server in service that lacks the model could load it, because
// the server has a free slot or because another server in service also has one of its
// models. It counts some running orders as done: the first olderOrders, which are older
// than the newest plan, and all orders of a server on which the newest plan loads a model
// that no server serves.
func (f *Fleet) CanMove(id pwrequest.ModelID, olderOrders int) bool {
	countsAsDone := func(i int, o pwplacement.Order) bool {
		return i < olderOrders || slices.ContainsFunc(f.RunningOrders[olderOrders:], func(fl RunningOrder) bool {
			return fl.Order.Server == o.Server && fl.Order.Kind == pwplacement.LoadModel && f.ServingCount(fl.Order.Model) == 0
		})
	}
	replicas := map[pwrequest.ModelID]int{}
	modelsByServer := map[pwrequest.BackendServerID]map[pwrequest.ModelID]string{}
	for _, s := range f.Snapshot.Servers {
		modelsByServer[s.ID] = maps.Clone(s.Models)
	}
	for i, fl := range f.RunningOrders {
		switch o := fl.Order; {
		case !countsAsDone(i, o):
		case o.Kind == pwplacement.UnloadModel:
			delete(modelsByServer[o.Server], o.Model)
		case o.Kind == pwplacement.LoadModel:
			modelsByServer[o.Server][o.Model] = "" // still loading
		}
	}
	for _, s := range f.Snapshot.Servers {
		for m, version := range modelsByServer[s.ID] {
			if s.InService && version != "" {
				replicas[m]++
			}
		}
	}
	return slices.ContainsFunc(f.Snapshot.Servers, func(s pwplacement.Server) bool {
		if _, has := modelsByServer[s.ID][id]; has || !s.InService {
			return false
		}
		if len(modelsByServer[s.ID]) < s.Slots {
			return true
		}
		for m, version := range modelsByServer[s.ID] {
			if version != "" && replicas[m] > 1 {
				return true
			}
		}
		return false
	})
}

// NewServer returns a server in service that has nothing loaded.
func NewServer(id, dataCentre string) pwplacement.Server {
	return pwplacement.Server{
		ID:         pwrequest.BackendServerID(id),
		DataCentre: pwrequest.DataCentre(dataCentre),
		InService:  true,
		Models:     map[pwrequest.ModelID]string{},
		Adapters:   map[string]string{},
		Role:       "mixed",
	}
}

// PreloadModel adds version v1 of a model to the models that a server has loaded.
func PreloadModel(s pwplacement.Server, model string) { s.Models[pwrequest.ModelID(model)] = "v1" }

// FormatOrder returns the nonempty fields of an order, separated by spaces.
func FormatOrder(o pwplacement.Order) string {
	line := fmt.Sprint(o.Server, " ", o.Kind)
	for _, part := range []string{string(o.Model), o.Adapter, o.Version, o.Role} {
		if part != "" {
			line += " " + part
		}
	}
	return line
}
