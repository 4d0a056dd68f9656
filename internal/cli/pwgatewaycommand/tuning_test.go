package pwgatewaycommand

import (
	"strings"
	"testing"
	"time"
)

func TestTuning(t *testing.T) {
	got, err := ParseTuning([]byte(`{"part_ms":120,"log_requests":false}`))
	if err != nil || got.PartPrefillMS != 120 || got.LogRequests {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := ParseTuning([]byte(`{}`)); err != nil || !got.LogRequests {
		t.Errorf("%+v, %v", got, err)
	}
	if got.fleet().UnevenDemand.Enabled {
		t.Error("the mix of prompts is watched without its settings")
	}
	got, err = ParseTuning([]byte(`{"uneven_demand":{"hold_s":5}}`))
	if u := got.fleet().UnevenDemand; err != nil || !u.Enabled || u.TurnHold != 5*time.Second {
		t.Errorf("%+v, %v", u, err)
	}
	for text, want := range map[string]string{
		`{"part_ms":-1}`:                      "part_ms is -1; it must be from 0 to 60000",
		`{"short_fill":2}`:                    "short_fill is 2; it must be from 0 to 1",
		`{"part":1}`:                          `unknown field "part"`,
		`{"part_ms":"much"}`:                  "part_ms",
		`{} {}`:                               "data after its JSON object",
		`{"max_waiting":2e7}`:                 "max_waiting",
		`{"uneven_demand":{"turn_ratio":1}}`:  "uneven_demand.turn_ratio is 1; it must be 0, which is the default, or from 1.5 to 100",
		`{"uneven_demand":{"hold_s":-1}}`:     "uneven_demand.hold_s is -1; it must be from 0 to 3600",
		strings.Repeat(" ", maxTuningBytes+1): "are allowed",
	} {
		if _, err := ParseTuning([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30s: %v, want %q", text, err, want)
		}
	}
}
