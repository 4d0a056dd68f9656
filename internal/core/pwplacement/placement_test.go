package pwplacement_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplacement"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

func init() { pwscript.FixSeed() }

// TestScripts runs the scripts under testdata. The first line of each states the
// guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := pwfakeplacement.NewFleet()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return runScript(t, f, d)
		})
	})
}

func runScript(t *testing.T, f *pwfakeplacement.Fleet, d *datadriven.TestData) string {
	var id, version, adapter, role, centre, wait string
	var n int
	for name, dest := range map[string]any{"id": &id, "version": &version, "adapter": &adapter, "role": &role, "dc": &centre, "time": &wait, "n": &n} {
		d.MaybeScanArgs(t, name, dest)
	}
	switch d.Cmd {
	case "server":
		s := pwfakeplacement.NewServer(id, centre)
		for _, m := range d.CmdArgs {
			if m.Key == "model" {
				pwfakeplacement.PreloadModel(s, m.Vals[0])
			}
		}
		s.Slots = n
		f.Snapshot.Servers = append(f.Snapshot.Servers, s)
	case "model":
		f.Snapshot.Models = slices.DeleteFunc(f.Snapshot.Models, func(m pwplacement.Model) bool { return m.ID == pwrequest.ModelID(id) })
		m := pwplacement.Model{
			ID:          pwrequest.ModelID(id),
			Version:     version,
			MinReplicas: n,
			Adapters:    map[string]string{},
		}
		if adapter != "" {
			m.Adapters[adapter] = "a1"
		}
		f.Snapshot.Models = append(f.Snapshot.Models, m)
	case "role":
		f.Snapshot.Roles = append(f.Snapshot.Roles, pwplacement.RoleShare{
			Role:    role,
			Percent: n,
		})
	case "demand":
		f.Snapshot.Demand[pwrequest.ModelID(id)] = float64(n)
	case "max-loads":
		f.Snapshot.MaxLoads = n
	case "out":
		f.Server(id).InService = false
	case "in":
		f.Server(id).InService = true
	case "fail":
		f.RunningOrders = slices.DeleteFunc(f.RunningOrders, func(fl pwfakeplacement.RunningOrder) bool { return fl.Order.Server == pwrequest.BackendServerID(id) })
		f.Planner.RecordFailure(pwrequest.BackendServerID(id), f.Now)
	case "plan":
		var b strings.Builder
		for _, o := range f.Plan() {
			fmt.Fprintln(&b, pwfakeplacement.FormatOrder(o))
		}
		if b.Len() == 0 {
			return "none"
		}
		return b.String()
	case "pass":
		wait, err := time.ParseDuration(wait)
		if err != nil {
			t.Fatal(err)
		}
		f.Advance(wait)
	default:
		t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
	}
	return "ok"
}

// TestPlanKeepsBounds guards against a plan that changes a server out of service,
// exceeds the allowed loads or orders, or unloads the last server of a wanted model
// while another server could serve it. It also guards against a fleet that never
// reaches a stable placement.
func TestPlanKeepsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := pwfakeplacement.NewFleet()
		f.Snapshot.MaxLoads = rapid.IntRange(1, 4).Draw(t, "max loads")
		ids := []pwrequest.ModelID{"a", "b", "c"}[:rapid.IntRange(1, 3).Draw(t, "models")]
		for _, id := range ids {
			f.Snapshot.Models = append(f.Snapshot.Models, pwplacement.Model{
				ID:          id,
				Version:     "v1",
				MinReplicas: 1,
			})
		}
		servers := rapid.IntRange(len(ids)+1, 10).Draw(t, "servers")
		for i := range servers {
			s := pwfakeplacement.NewServer(fmt.Sprint("s", i), fmt.Sprint("dc", i%3))
			s.Slots = rapid.IntRange(1, 2).Draw(t, "slots")
			if rapid.Bool().Draw(t, "loaded") {
				s.Models[rapid.SampledFrom(ids).Draw(t, "model")] = "v1"
			}
			f.Snapshot.Servers = append(f.Snapshot.Servers, s)
		}
		step := func() int {
			before := len(f.RunningOrders)
			orders := f.Plan()
			// The last server of a model may be changed only if no other server in
			// service could take the model with one change. A slot that this plan
			// gives to a model without any server does not count as available.
			avoidable := map[pwrequest.ModelID]bool{}
			for _, id := range ids {
				avoidable[id] = f.ServingCount(id) > 0 && f.CanMove(id, before)
			}
			if len(orders) > pwplacement.DefaultMaxOrders {
				t.Fatalf("%d orders in one plan", len(orders))
			}
			if n := f.RunningLoads(); n > f.Snapshot.MaxLoads {
				t.Fatalf("%d concurrent loads; allowed are %d", n, f.Snapshot.MaxLoads)
			}
			for _, o := range orders {
				if !f.Server(string(o.Server)).InService {
					t.Fatalf("order %v for a server out of service", o)
				}
			}
			f.Advance(time.Second)
			for _, id := range ids {
				if avoidable[id] && f.ServingCount(id) == 0 {
					t.Fatalf("model %s lost its last server by %v", id, orders)
				}
			}
			return len(orders)
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				f.Snapshot.Demand[rapid.SampledFrom(ids).Draw(t, "model")] = float64(rapid.IntRange(0, 600).Draw(t, "demand"))
			case 1:
				s := &f.Snapshot.Servers[rapid.IntRange(0, servers-1).Draw(t, "server")]
				s.InService = !s.InService
			case 2:
				f.Snapshot.Models[0].Version = rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version")
			}
			step()
			f.Advance(time.Duration(rapid.IntRange(1, 200).Draw(t, "seconds")) * time.Second)
		}
		for i := range f.Snapshot.Servers {
			f.Snapshot.Servers[i].InService = true
		}
		quiet := 0
		for i := 0; quiet < 30; i++ {
			if quiet++; step() > 0 {
				quiet = 0
			}
			if i > 500 {
				t.Fatalf("the fleet does not reach a stable placement: %v", f.Snapshot.Servers)
			}
			f.Advance(time.Minute)
		}
		for _, m := range f.Snapshot.Models {
			if f.ServingCount(m.ID) == 0 {
				t.Fatalf("model %s is not served in the end", m.ID)
			}
			for _, s := range f.Snapshot.Servers {
				if v, ok := s.Models[m.ID]; ok && v != m.Version {
					t.Fatalf("server %s still has version %s of model %s", s.ID, v, m.ID)
				}
			}
		}
	})
}

// BenchmarkPlan measures one plan of a service in steady state and reports the time
// per server.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{100, 1000, 7500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := pwfakeplacement.NewFleet()
			for i := range 14 {
				f.Snapshot.Models = append(f.Snapshot.Models, pwplacement.Model{
					ID:          pwrequest.ModelID(fmt.Sprint("m", i)),
					Version:     "v1",
					MinReplicas: 1,
				})
			}
			for i := range n {
				s := pwfakeplacement.NewServer(fmt.Sprint("s", i), fmt.Sprint("dc", i%8))
				s.Models[f.Snapshot.Models[i%14].ID] = "v1"
				f.Snapshot.Servers = append(f.Snapshot.Servers, s)
			}
			for b.Loop() {
				f.Planner.Plan(f.Now, f.Snapshot)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/server")
		})
	}
}
