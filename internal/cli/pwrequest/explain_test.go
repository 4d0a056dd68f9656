package pwrequest

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwexplain"
)

// runExplain runs "request explain" and returns its output.
func runExplain(t *testing.T, o ExplainOptions, in string) string {
	t.Helper()
	var out bytes.Buffer
	if err := o.Run(pwconsole.NewEnv(strings.NewReader(in), &out, &out)); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// TestExplainRecordedLogs explains requests from the logs of recorded incidents,
// read from a file and from standard input.
func TestExplainRecordedLogs(t *testing.T) {
	for _, tc := range []struct {
		id    string
		log   string
		wants []string
	}{
		{
			id:  "311767cd",
			log: "refused.log",
			wants: []string{
				"Request 311767cd4ff6b172 at front-hakata-1: refused",
				"refused with 503 (not_run): no set of engines had room",
				"it waited 3502 ms for a place",
				"13601 ms of reading don't fit into the room of 23 engines",
			},
		},
		{
			id:  "1d64b36d",
			log: "late.log",
			wants: []string{
				"answered; it was sent again 1 times",
				"first event after 4452 ms",
				"i-54ae3aa949: the server is silent",
			},
		},
		{
			id:  "d77633df",
			log: "broken_off.log",
			wants: []string{
				"Its answer was cut off after it had begun",
				"the stream of i-f95ebb42da broke after 4 events",
				"i-b8463a8ed9 answered 421 to a reservation",
				"config_in_force  routes=",
			},
		},
	} {
		t.Run(tc.log, func(t *testing.T) {
			path := "../../../examples/logs/" + tc.log
			got := runExplain(t, ExplainOptions{
				ID:   tc.id,
				Logs: []string{path},
			}, "")
			for _, want := range tc.wants {
				if !strings.Contains(got, want) {
					t.Errorf("%q is missing in\n%s", want, got)
				}
			}
			raw, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			var ex pwexplain.Explanation
			text := runExplain(t, ExplainOptions{
				ID:   tc.id,
				JSON: true,
			}, "half a line {\"fields\":\n"+string(raw))
			if err := json.Unmarshal([]byte(text), &ex); err != nil || !strings.HasPrefix(ex.Request, tc.id) || ex.Why == "" {
				t.Errorf("%+v, %v", ex, err)
			}
		})
	}
}

func TestExplainUnknownRequest(t *testing.T) {
	var out bytes.Buffer
	o := ExplainOptions{
		ID: "nobody",
	}
	err := o.Run(pwconsole.NewEnv(strings.NewReader("{\"message\":\"sent\",\"fields\":{\"request\":\"a\"}}\n"), &out, &out))
	if err == nil || !strings.Contains(err.Error(), "give the logs of all entries") {
		t.Errorf("%v", err)
	}
}

func TestExplainRequestWithoutEnd(t *testing.T) {
	got := runExplain(t, ExplainOptions{
		ID: "a",
	}, `{"message":"sent","timestamp":"2026-12-04T07:00:00Z","fields":{"request":"a1","instance":"front-1","backend_server":"i-1"}}
{"message":"server_gone","timestamp":"2026-12-04T07:00:01Z","fields":{"instance":"front-1","backend_server":"i-1"}}
{"message":"lines_left_out","timestamp":"2026-12-04T07:00:02Z","fields":{"instance":"front-1","count":7}}
{"message":"server_gone","timestamp":"2026-12-04T07:00:01Z","fields":{"instance":"front-1","backend_server":"i-2"}}
`)
	for _, want := range []string{"unknown", "The logs hold no end", "server_gone", "Lines left out by the process: 7"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q is missing in\n%s", want, got)
		}
	}
	if strings.Contains(got, "i-2") {
		t.Errorf("an event of another server is shown:\n%s", got)
	}
}
