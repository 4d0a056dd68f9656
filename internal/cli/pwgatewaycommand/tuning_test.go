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
	for text, want := range map[string]string{
		`{"part_ms":-1}`:                      "part_ms is -1; it must be from 0 to 60000",
		`{"short_fill":2}`:                    "short_fill is 2; it must be from 0 to 1",
		`{"part":1}`:                          `unknown field "part"`,
		`{"part_ms":"much"}`:                  "part_ms",
		`{} {}`:                               "data after its JSON object",
		`{"max_waiting":2e7}`:                 "max_waiting",
		`{"slow_readers":{"unread_ms":-1}}`:   "slow_readers.unread_ms is -1",
		`{"slow_readers":{"caller_share":2}}`: "slow_readers.caller_share is 2; it must be from 0 to 1",
		strings.Repeat(" ", maxTuningBytes+1): "are allowed",
	} {
		if _, err := ParseTuning([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.30s: %v, want %q", text, err, want)
		}
	}
}
