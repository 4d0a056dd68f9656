package pwcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	fileGatewayPlan    = "internal/core/pwfleet/plan.go"
	fileGatewayFleet   = "internal/core/pwfleet/fleet.go"
	fileGatewayPeers   = "internal/node/pwpeering/peering.go"
	fileGatewayList    = "internal/node/pwpeering/directory.go"
	fileGatewayControl = "internal/node/pwcontrol/control.go"
	fileGatewayTables  = "platform/tables.go"
)

// Lengths of the prompts that are planned, in tokens.
const (
	shortPrompt = 5_000
	longPrompt  = 133_000
	// longShare is the part of prompts over 100,000 tokens.
	longShare = 0.02
)

// gatewayFleet returns a fleet of n engines of one service.
func gatewayFleet(n int) *pwfleet.Fleet {
	e := pwfakecatalog.Engine()
	f := pwfleet.New(pwfleet.Config{})
	f.Configure([]pwcatalog.Service{{
		Name:   "model",
		Engine: &e,
	}})
	now := time.Now()
	for i := range n {
		name := fmt.Sprintf("i-%08x", i)
		f.Upsert(now, pwcatalog.BackendServer{
			ID:         name,
			Service:    "model",
			Address:    fmt.Sprintf("10.%d.%d.7:8080", i/250, i%250),
			DataCentre: "hakata",
		})
	}
	return f
}

// gatewayLoads returns the load of a peer on n servers.
func gatewayLoads(n int) []pwfleet.ServerLoad {
	out := make([]pwfleet.ServerLoad, n)
	for i := range out {
		out[i] = pwfleet.ServerLoad{
			Server: pwfleet.HashServerID(fmt.Sprintf("i-%08x", i)),
			Load: pwfleet.Load{
				PrefillMS:    20,
				Requests:     1,
				MemoryTokens: 5_000,
			},
		}
	}
	return out
}

// gatewayConfiguration returns a configuration with n workspaces as the
// platform spells it.
func gatewayConfiguration(n int) ([]byte, error) {
	type workspace struct {
		Name string   `json:"name"`
		Keys []string `json:"keys"`
	}
	c := struct {
		Version int64       `json:"version"`
		Tenants []workspace `json:"tenants"`
	}{
		Version: 1,
	}
	for i := range n {
		c.Tenants = append(c.Tenants, workspace{
			Name: fmt.Sprintf("workspace-%d", i),
			Keys: []string{fmt.Sprintf("k-%032x", i)},
		})
	}
	return json.Marshal(c)
}

// measureGateway measures what one gateway does.
func measureGateway(_ context.Context, m *meter) error {
	for _, n := range m.sizes([]int{50, 200, 500}, []int{100, 500, 2_000}) {
		x := float64(n)
		f := gatewayFleet(n)
		now := time.Now()
		plan := func(tokens int64) float64 {
			return cost(func(int) {
				// A plan that finds no room costs as much.
				_, _ = f.Plan(now, pwfleet.Request{
					Service:      "model",
					PromptTokens: tokens,
				})
			})
		}
		m.add("cpu.gateway_plan_short", "engines of a service", "us a plan", x, plan(shortPrompt))
		m.add("cpu.gateway_plan_long", "engines of a service", "us a plan", x, plan(longPrompt))
		m.add("memory.gateway_server", "servers", "B", x, held(func() any { return gatewayFleet(n) }))
	}
	for _, n := range m.sizes([]int{50, 200, 500}, []int{100, 500, 2_000}) {
		x := float64(n)
		f := gatewayFleet(n)
		loads := gatewayLoads(n)
		m.add("cpu.gateway_message", "servers with load of a peer", "us a message", x, cost(func(int) { f.SetPeerLoads(time.Now(), "peer", loads) }))
		m.add("bytes.gateway_message", "servers with load of a peer", "B a message", x, float64(pwpeering.MessageBytes(n)))
		m.add("memory.gateway_load", "servers with load of a peer", "B", x, held(func() any { return gatewayLoads(n) }))
	}
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{1_000, 10_000, 35_000}) {
		raw, err := gatewayConfiguration(n)
		if err != nil {
			return err
		}
		x := float64(n)
		m.add("bytes.gateway_configuration", "workspaces", "B a version", x, float64(len(raw)))
		m.add("cpu.gateway_configuration", "workspaces", "us a version", x, cost(func(int) {
			// The same bytes are read in the next line, where an error counts.
			_, _ = platform.ParseConfiguration(raw)
		}))
		if _, err := platform.ParseConfiguration(raw); err != nil {
			return err
		}
		m.add("memory.gateway_workspace", "workspaces", "B", x, held(func() any {
			c, _ := platform.ParseConfiguration(raw)
			return c
		}))
	}
	return nil
}

// gatewayRows projects one gateway, all of which hear each other.
func (p *projection) gatewayRows() {
	s := p.s
	add := func(figure, class, name, formula, term string, value float64, mechanism, bound string) {
		p.add(roleGateway, figure, class, name, formula, term, value, mechanism, bound)
	}
	q := s.EntryRequests()
	engines := s.Servers / s.Services
	loads := min(s.EntryRunning(), s.Servers, peerLoads)
	// Each peer tells a change when its last message to all others was paced out.
	heard := s.Entries / (s.Entries * pwpeering.DefaultPacePerPeer.Seconds())
	add(figureMemory, classControl, "backend servers", "slope * servers", "memory.gateway_server", p.slope("memory.gateway_server")*s.Servers, fileGatewayFleet, "the servers that are listed")
	add(figureMemory, classControl, "loads of peers", "slope * nodes * servers in use", "memory.gateway_load", p.slope("memory.gateway_load")*loads*s.Entries, fileGatewayFleet, "pwpeering.maxLoads a peer, pwpeering.maxPeers")
	add(figureMemory, classControl, "workspaces and keys", "slope * workspaces", "memory.gateway_workspace", p.slope("memory.gateway_workspace")*s.Workspaces, "internal/core/pwcatalog/catalog.go", "the size of a row of the store")
	add(figureCore, classRequest, "plans of short prompts", "cost(engines of a service) * requests/nodes", "cpu.gateway_plan_short", cores(p.at("cpu.gateway_plan_short", engines)*q*(1-longShare)), fileGatewayPlan, "the engines of a service")
	add(figureCore, classRequest, "plans of long prompts", "cost(engines of a service) * requests/nodes", "cpu.gateway_plan_long", cores(p.at("cpu.gateway_plan_long", engines)*q*longShare), fileGatewayPlan, "the engines of a service; waiting prompts are planned again on each change")
	add(figureCore, classControl, "loads heard from peers", "cost(servers in use) * messages/s", "cpu.gateway_message", cores(p.at("cpu.gateway_message", loads)*heard), fileGatewayPeers, "pwpeering.DefaultPacePerPeer 0.6 ms")
	add(figureCore, classControl, "configurations", "cost(workspaces) * changes/s", "cpu.gateway_configuration", cores(p.at("cpu.gateway_configuration", s.Workspaces)*s.ChangesPerSecond()), fileGatewayTables, "a configuration is read whole")
	add(figureTraffic, classControl, "loads told and heard", "cost(servers in use) * 2 * messages/s", "bytes.gateway_message", p.at("bytes.gateway_message", loads)*2*heard, fileGatewayPeers, "pwpeering.maxLoads, pwpeering.DefaultPacePerPeer 0.6 ms")
	add(figureTraffic, classControl, "configurations read", "cost(workspaces) * changes/s", "bytes.gateway_configuration", p.at("bytes.gateway_configuration", s.Workspaces)*s.ChangesPerSecond(), fileGatewayTables, "a configuration is read whole")
	watch := pwcontrol.DefaultWait.Seconds()
	changes := (s.ChangesPerDay + s.RestartsOfDay) / daySeconds
	add(figureReads, classControl, "watches of all nodes, with their changes", "nodes * (2/wait + changes/s)", "bytes.gateway_configuration", s.Entries*(2/watch+changes), fileGatewayControl, "pwcontrol.DefaultWait 2.2 s; the stable window less 0.8 s")
	add(figureReads, classControl, "lists of processes of all nodes", "nodes * pages / 30 s", "bytes.gateway_message", s.Entries*2/listOfProcesses, fileGatewayList, "pwpeering.readInterval 30 s")
}

const (
	// listOfProcesses is pwpeering.readInterval, in seconds.
	listOfProcesses = 30
	// peerLoads is pwpeering.maxLoads.
	peerLoads = 2000
)
