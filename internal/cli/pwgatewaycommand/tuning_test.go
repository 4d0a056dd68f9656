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
	if got, err := ParseTuning([]byte(`{"slow_readers":{"unread_ms":1500}}`)); err != nil || got.policy().SlowReaders.UnreadTimeout != 1500*time.Millisecond {
		t.Errorf("%+v, %v", got, err)
	}
	if got, err := ParseTuning([]byte(`{}`)); err != nil || got.policy().Overload != nil {
		t.Errorf("admission under overload is on without its settings: %+v, %v", got, err)
	}
	if got, err := ParseTuning([]byte(`{"overload":{"fill_share":0.9}}`)); err != nil || got.policy().Overload.FillShare != 0.9 || got.policy().Overload.SlotShare <= 0 {
		t.Errorf("%+v, %v", got.Overload, err)
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
		`{"overload":{"enter_share":0.5}}`:    "exit_share is 0.8; it must be less than overload.enter_share",
		`{"overload":{"slot_share":2}}`:       "overload.slot_share is 2; it must be from 0 to 1",
		`{"overload":{"slots":1}}`:            `unknown field "slots"`,
		`{"max_waiting":2e7}`:                 "max_waiting",
		`{"slow_readers":{"unread_ms":-1}}`:   "slow_readers.unread_ms is -1",
		`{"slow_readers":{"caller_share":2}}`: "slow_readers.caller_share is 2; it must be from 0 to 1",
		`{"uneven_demand":{"turn_ratio":1}}`:  "uneven_demand.turn_ratio is 1; it must be 0, which is the default, or from 1.5 to 100",
		`{"uneven_demand":{"hold_s":-1}}`:     "uneven_demand.hold_s is -1; it must be from 0 to 3600",
		strings.Repeat(" ", maxTuningBytes+1): "are allowed",
	} {
		if _, err := ParseTuning([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30s: %v, want %q", text, err, want)
		}
	}
}
