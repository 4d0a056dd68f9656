package pwcost

import (
	"math"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecatalog"
)

var engine = pwfakecatalog.Engine()

// chunkedPrefillMS adds up the prefill time of a prompt chunk by chunk, as an engine
// processes it.
func chunkedPrefillMS(tokens int64) float64 {
	const chunk = 16
	ms := 0.0
	for done := int64(0); done < tokens; done += chunk {
		n := min(chunk, tokens-done)
		pairs := float64(n)*float64(done) + float64(n)*float64(n)/2
		ms += float64(n)/engine.PrefillTokensPerMS + pairs/1e6*engine.AttentionMSPerMPairs
	}
	return ms
}

func TestPrefillEqualsSumOfChunks(t *testing.T) {
	m := New(engine)
	for _, tokens := range []int64{0, 1, 40, 1_000, 5_000, 45_000, 133_000, 600_000, 1_000_000} {
		if got, want := m.PrefillMS(tokens), chunkedPrefillMS(tokens); math.Abs(got-want) > 1e-6*want+1e-9 {
			t.Errorf("prefill of %d tokens takes %g ms, by chunks %g ms", tokens, got, want)
		}
	}
}

func TestPartsAddUp(t *testing.T) {
	m := New(engine)
	for _, engines := range []int{1, 2, 17} {
		if got, want := m.PartPrefillMS(133_000, engines)*float64(engines), m.PrefillMS(133_000); math.Abs(got-want) > 1e-9 {
			t.Errorf("%d parts add up to %g ms, the whole takes %g ms", engines, got, want)
		}
	}
	if got, want := m.PartPrefillMS(5_000, 0), m.PrefillMS(5_000); got != want {
		t.Errorf("prefill on 0 engines takes %g ms, want %g as on one", got, want)
	}
}

func TestIterationGrowsWithLoad(t *testing.T) {
	m := New(engine)
	empty := m.IterationMS(0, 0, 0)
	if want := 43 * 1.02; math.Abs(empty-want) > 1e-9 {
		t.Errorf("an empty iteration takes %g ms, want %g", empty, want)
	}
	if m.IterationMS(1, 0, 0) <= empty || m.IterationMS(0, 5_000, 0) <= empty || m.IterationMS(0, 0, 100) != empty+100 {
		t.Error("an iteration must grow with the decoding requests, their context and the prefill")
	}
}
