package pwcapacity

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/core/pwplacement"
	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
)

const modelVersion = "1"

// newSnapshot returns a service of n servers that needs no placement change: every
// server has loaded the only model.
func newSnapshot(n int) pwplacement.Snapshot {
	in := pwplacement.Snapshot{
		Models: []pwplacement.Model{{
			ID:          modelName,
			Version:     modelVersion,
			MinReplicas: n,
		}},
		Demand: map[pwrequest.ModelID]float64{
			modelName: float64(n) * 1_000,
		},
		ServerCapacity: 1_000,
		MaxLoads:       4,
	}
	for i := range n {
		in.Servers = append(in.Servers, pwplacement.Server{
			ID:         pwrequest.BackendServerID(serverName(i)),
			DataCentre: dataCentreName(i),
			InService:  true,
			Slots:      1,
			Models: map[pwrequest.ModelID]string{
				modelName: modelVersion,
			},
			Running: 100,
		})
	}
	return in
}

// measurePlacement measures the memory and the processor time of one placement plan of
// a service.
func measurePlacement(_ context.Context, m *meter) error {
	for _, n := range m.sizes([]int{500, 1_000, 2_000}, []int{500, 2_000, 8_000, 16_000}) {
		m.addPoint("memory.placement", "servers of a service", "B", float64(n), retainedBytes(func() any {
			in, p := newSnapshot(n), pwplacement.New(pwplacement.Config{})
			p.Plan(epoch, in)
			return []any{in, p}
		}))
	}
	for _, n := range []int{25, 536, 2_000} {
		in, p := newSnapshot(n), pwplacement.New(pwplacement.Config{})
		m.addPoint("cpu.placement", "servers of a service", "us a plan", float64(n), cpuPerOp(func(int) { p.Plan(epoch, in) }))
	}
	return nil
}
