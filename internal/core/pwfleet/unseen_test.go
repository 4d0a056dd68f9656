package pwfleet

import (
	"maps"
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against processes that don't hear each other and all pack the same engines, because
// they don't count their own requests if the route states no longest gap.
func TestUnheardProcessesSpreadPromptsWithoutGap(t *testing.T) {
	spread := func(gap time.Duration) map[string]int {
		r := short()
		r.MaxGap = gap
		requests := make(map[string]int)
		for _, f := range newLargeFleets(12, 40, rand.New(rand.NewPCG(1, 2))) {
			for range 10 {
				p := mustPlan(t, f, r)
				requests[p.Server.ID]++
				f.Start(start, p)
			}
		}
		return requests
	}
	if with, without := spread(250*time.Millisecond), spread(0); !maps.Equal(with, without) {
		t.Errorf("requests by engine: %v without a gap, %v with one", without, with)
	}
}
