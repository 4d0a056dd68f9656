package pwcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/pomeloweir/pomeloweir/platform"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcell"
	"github.com/pomeloweir/pomeloweir/internal/core/pwfleet"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwpeering"
)

const (
	fileGatewayPlan     = "internal/core/pwfleet/plan.go"
	fileGatewayFleet    = "internal/core/pwfleet/fleet.go"
	fileGatewayPeers    = "internal/node/pwpeering/peering.go"
	fileGatewayList     = "internal/node/pwpeering/directory.go"
	fileGatewayControl  = "internal/node/pwcontrol/control.go"
	fileGatewayDocument = "platform/document.go"
)

// Prompts of the measured plans.
const (
	// shortPromptTokens and longPromptTokens are prompt lengths in tokens.
	shortPromptTokens = 5_000
	longPromptTokens  = 133_000
	// longPromptShare is the share of prompts with more than 100,000 tokens.
	longPromptShare = 0.02
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

// gatewayLoads returns the load that one peer puts on n servers.
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

// gatewayConfiguration returns a version of a configuration with n workspaces in the JSON
// format of the platform. One workspace has another key in each version.
func gatewayConfiguration(n, version int) ([]byte, error) {
	type workspace struct {
		Name string   `json:"name"`
		Keys []string `json:"keys"`
	}
	c := struct {
		Version int64       `json:"version"`
		Tenants []workspace `json:"tenants"`
	}{
		Version: int64(version),
	}
	for i := range n {
		c.Tenants = append(c.Tenants, workspace{
			Name: fmt.Sprintf("workspace-%d", i),
			Keys: []string{fmt.Sprintf("k-%032x", i)},
		})
	}
	c.Tenants[n/2].Keys[0] = fmt.Sprintf("version-%026x", version)
	return json.Marshal(c)
}

// measureGateway measures the plans of one gateway, the load messages of its peers and
// the parsing of its configuration.
func measureGateway(_ context.Context, m *meter) error {
	for _, n := range m.sizes([]int{50, 200, 500}, []int{100, 500, 2_000}) {
		x := float64(n)
		f := gatewayFleet(n)
		now := time.Now()
		plan := func(tokens int64) float64 {
			return cpuPerOp(func(int) {
				// The error is ignored, because a plan that finds no free server
				// costs as much as a successful one.
				_, _ = f.Plan(now, pwfleet.Request{
					Service:      "model",
					PromptTokens: tokens,
				})
			})
		}
		m.addPoint("cpu.gateway_plan_short", "engines of a service", "us a plan", x, plan(shortPromptTokens))
		m.addPoint("cpu.gateway_plan_long", "engines of a service", "us a plan", x, plan(longPromptTokens))
		m.addPoint("memory.gateway_server", "servers", "B", x, retainedBytes(func() any { return gatewayFleet(n) }))
	}
	for _, n := range m.sizes([]int{8, 16, maxPeerLoads}, []int{4, 16, maxPeerLoads}) {
		x := float64(n)
		f := gatewayFleet(n)
		loads := gatewayLoads(n)
		m.addPoint("cpu.gateway_message", "servers with load of a peer", "us a message", x, cpuPerOp(func(int) { f.UpdatePeerLoads(time.Now(), "peer", loads) }))
		m.addPoint("bytes.gateway_message", "servers with load of a peer", "B a message", x, float64(pwpeering.MessageBytes(n)))
		m.addPoint("memory.gateway_load", "servers with load of a peer", "B", x, retainedBytes(func() any { return gatewayLoads(n) }))
	}
	for _, n := range m.sizes([]int{100, 500, 1_000}, []int{1_000, 10_000, 35_000}) {
		var versions [2][]byte
		for i := range versions {
			var err error
			if versions[i], err = gatewayConfiguration(n, i+1); err != nil {
				return err
			}
		}
		x := float64(n)
		m.addPoint("bytes.gateway_configuration", "workspaces", "B a version", x, float64(len(versions[0])))
		var reader platform.ConfigurationReader
		if _, err := reader.Parse(versions[1]); err != nil {
			return err
		}
		m.addPoint("cpu.gateway_configuration", "workspaces", "us a version", x, cpuPerOp(func(i int) {
			// The error is checked above, where one of the versions is parsed.
			_, _ = reader.Parse(versions[i%len(versions)])
		}))
		m.addPoint("memory.gateway_workspace", "workspaces", "B", x, retainedBytes(func() any {
			r := &platform.ConfigurationReader{}
			_, _ = r.Parse(versions[0])
			return r
		}))
	}
	return nil
}

// gatewayRows projects the costs of one gateway that exchanges loads with those of its cell.
func (p *projection) gatewayRows() {
	s := p.size
	add := func(figure, class, name, formula, term string, value float64, mechanism, bound string) {
		p.addRow(roleGateway, figure, class, name, formula, term, value, mechanism, bound)
	}
	requestRate := s.EntryRequestRate()
	engines := s.BackendServers / s.Services
	cells := float64(pwcell.Count(int(s.Entries), int(s.BackendServers), pwcell.Config{}))
	peers := s.Entries/cells - 1
	loads := min(s.EntryRunningRequests(), s.BackendServers/cells)
	// After each message a process pauses for DefaultPacePerPeer per recipient. A message
	// holds the servers whose load has changed since the last one.
	messageRate := 1 / (peers * pwpeering.DefaultPacePerPeer.Seconds())
	changesPerRequest := loadChanges * ((1 - longPromptShare) + longPromptShare*longPromptEngines)
	changed := min(loads, requestRate*changesPerRequest/messageRate)
	add(figureMemory, classControl, "backend servers", "slope * servers", "memory.gateway_server", p.slope("memory.gateway_server")*s.BackendServers, fileGatewayFleet, "the servers that are listed")
	add(figureMemory, classControl, "loads of peers", "slope * processes of the cell * servers in use", "memory.gateway_load", p.slope("memory.gateway_load")*loads*peers, fileGatewayFleet, "pwcell.Count; the servers of a cell")
	add(figureMemory, classControl, "workspaces and keys", "slope * workspaces", "memory.gateway_workspace", p.slope("memory.gateway_workspace")*s.Workspaces, fileGatewayDocument, "the size of a row of the store")
	add(figureProcessor, classRequest, "plans of short prompts", "cost(engines of a service) * requests/nodes", "cpu.gateway_plan_short", cores(p.costAt("cpu.gateway_plan_short", engines)*requestRate*(1-longPromptShare)), fileGatewayPlan, "the engines of a service")
	add(figureProcessor, classRequest, "plans of long prompts", "cost(engines of a service) * requests/nodes", "cpu.gateway_plan_long", cores(p.costAt("cpu.gateway_plan_long", engines)*requestRate*longPromptShare), fileGatewayPlan, "the engines of a service; waiting prompts are planned again on each change")
	add(figureProcessor, classControl, "loads heard from peers", "cost(changed servers) * messages/s * processes of the cell", "cpu.gateway_message", cores(p.costAt("cpu.gateway_message", changed)*messageRate*peers), fileGatewayPeers, "pwcell.Count; pwpeering.DefaultPacePerPeer 0.6 ms")
	add(figureProcessor, classControl, "configurations", "cost(workspaces) * changes/s", "cpu.gateway_configuration", cores(p.costAt("cpu.gateway_configuration", s.Workspaces)*s.ChangeRate()), fileGatewayDocument, "a configuration is compared whole, and decoded where it changed")
	add(figureTraffic, classControl, "loads told and heard", "cost(changed servers) * 2 * messages/s * processes of the cell", "bytes.gateway_message", p.costAt("bytes.gateway_message", changed)*2*messageRate*peers, fileGatewayPeers, "pwcell.Count; pwpeering.DefaultPacePerPeer 0.6 ms")
	add(figureTraffic, classControl, "configurations read", "cost(workspaces) * changes/s", "bytes.gateway_configuration", p.costAt("bytes.gateway_configuration", s.Workspaces)*s.ChangeRate(), fileGatewayDocument, "a configuration is read whole")
	watch := pwcontrol.DefaultWait.Seconds()
	changes := (s.ChangesPerDay + s.RestartsPerDay) / daySeconds
	add(figureReads, classControl, "watches of all nodes, with their changes", "nodes * (2/wait + changes/s)", "bytes.gateway_configuration", s.Entries*(2/watch+changes), fileGatewayControl, "pwcontrol.DefaultWait 2.2 s; the stable window less 0.8 s")
	add(figureReads, classControl, "lists of processes of all nodes", "nodes * pages / 30 s", "bytes.gateway_message", s.Entries*2/processListInterval, fileGatewayList, "pwpeering.readInterval 30 s")
}

const (
	// processListInterval is pwpeering.readInterval in seconds.
	processListInterval = 30
	// maxPeerLoads is pwpeering.maxLoads, the largest number of loads in one message.
	maxPeerLoads = 54
	// loadChanges is the number of times that the load of one request changes: at its
	// start, at the end of its prefill and at its end.
	loadChanges = 3
	// longPromptEngines is the number of engines that share a long prompt.
	longPromptEngines = 13
)
