// Package pwfakeplacement holds small stand-ins for tests of the placement: a
// fleet of backend servers that carries out orders after a load time, and
// processes that hold the lease and can be paused.
//
// # Usage
//
//	f := pwfakeplacement.NewFleet()
//	f.In.Servers = append(f.In.Servers, pwfakeplacement.NewServer("s1", "hakata"))
//	orders := f.Plan()
//	f.Pass(time.Minute)
package pwfakeplacement

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

// Fleet applies orders after a load time, as the agents' reports would show.
type Fleet struct {
	Now           time.Time
	Planner       *pwplacement.Planner
	Snapshot      pwplacement.Snapshot
	RunningOrders []RunningOrder
	loadTime      time.Duration
}

// RunningOrder is an order that is being carried out.
type RunningOrder struct {
	Order pwplacement.Order
	ends  time.Time
}

// NewFleet returns a fleet without servers, whose loads take one minute.
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

// Server returns the state of a server, which the caller may change.
func (f *Fleet) Server(id string) *pwplacement.Server {
	i := slices.IndexFunc(f.Snapshot.Servers, func(s pwplacement.Server) bool { return s.ID == pwrequest.BackendServerID(id) })
	return &f.Snapshot.Servers[i]
}

// Plan makes one plan and starts its orders.
func (f *Fleet) Plan() []pwplacement.Order {
	orders := f.Planner.Plan(f.Now, f.Snapshot)
	for _, o := range orders {
		fl := RunningOrder{
			Order: o,
			ends:  f.Now,
		}
		if o.Kind == pwplacement.LoadModel || o.Kind == pwplacement.LoadAdapter {
			fl.ends = f.Now.Add(f.loadTime)
		}
		f.RunningOrders = append(f.RunningOrders, fl)
	}
	return orders
}

// RunningLoads returns the number of loads in progress.
func (f *Fleet) RunningLoads() int {
	n := 0
	for _, fl := range f.RunningOrders {
		if fl.Order.Kind == pwplacement.LoadModel || fl.Order.Kind == pwplacement.LoadAdapter {
			n++
		}
	}
	return n
}

// Advance moves the time and ends what is due.
func (f *Fleet) Advance(d time.Duration) {
	f.Now = f.Now.Add(d)
	f.RunningOrders = slices.DeleteFunc(f.RunningOrders, func(fl RunningOrder) bool {
		if fl.ends.After(f.Now) {
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

// ServingCount returns the number of servers in service that have a model loaded.
func (f *Fleet) ServingCount(id pwrequest.ModelID) int {
	n := 0
	for _, s := range f.Snapshot.Servers {
		if _, ok := s.Models[id]; ok && s.InService {
			n++
		}
	}
	return n
}

// CanMove reports whether a server in service without the model has a free
// slot, or a model that another server in service keeps too. Changes from
// before the plan count as done, and so do this plan's changes of a server that
// is given to a model without any server.
func (f *Fleet) CanMove(id pwrequest.ModelID, before int) bool {
	counts := func(i int, o pwplacement.Order) bool {
		return i < before || slices.ContainsFunc(f.RunningOrders[before:], func(fl RunningOrder) bool {
			return fl.Order.Server == o.Server && fl.Order.Kind == pwplacement.LoadModel && f.ServingCount(fl.Order.Model) == 0
		})
	}
	kept := map[pwrequest.ModelID]int{}
	held := map[pwrequest.BackendServerID]map[pwrequest.ModelID]string{}
	for _, s := range f.Snapshot.Servers {
		held[s.ID] = maps.Clone(s.Models)
	}
	for i, fl := range f.RunningOrders {
		switch o := fl.Order; {
		case !counts(i, o):
		case o.Kind == pwplacement.UnloadModel:
			delete(held[o.Server], o.Model)
		case o.Kind == pwplacement.LoadModel:
			held[o.Server][o.Model] = ""
		}
	}
	for _, s := range f.Snapshot.Servers {
		for m, version := range held[s.ID] {
			if s.InService && version != "" {
				kept[m]++
			}
		}
	}
	return slices.ContainsFunc(f.Snapshot.Servers, func(s pwplacement.Server) bool {
		if _, has := held[s.ID][id]; has || !s.InService {
			return false
		}
		if len(held[s.ID]) < s.Slots {
			return true
		}
		for m, version := range held[s.ID] {
			if version != "" && kept[m] > 1 {
				return true
			}
		}
		return false
	})
}

// NewServer returns an empty server in service.
func NewServer(id, centre string) pwplacement.Server {
	return pwplacement.Server{
		ID:         pwrequest.BackendServerID(id),
		DataCentre: pwrequest.DataCentre(centre),
		InService:  true,
		Models:     map[pwrequest.ModelID]string{},
		Adapters:   map[string]string{},
		Role:       "mixed",
	}
}

// PreloadModel loads the first version of a model on a server, at once.
func PreloadModel(s pwplacement.Server, m string) { s.Models[pwrequest.ModelID(m)] = "v1" }

// FormatOrder returns the parts of an order that are set, separated by spaces.
func FormatOrder(o pwplacement.Order) string {
	line := fmt.Sprint(o.Server, " ", o.Kind)
	for _, part := range []string{string(o.Model), o.Adapter, o.Version, o.Role} {
		if part != "" {
			line += " " + part
		}
	}
	return line
}
