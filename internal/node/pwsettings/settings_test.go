package pwsettings_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/datadriven"
	"github.com/google/go-cmp/cmp"

	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

const examples = "../../../examples/settings"

// TestScenarios runs the scripts under testdata. They guard against settings
// that are accepted although a process could not run with them, and against
// refusals that do not name the field.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, run)
	})
}

// run parses the example named by "base" with the JSON object of the input
// merged into its top level. "flags" are arguments and "env" is one variable.
func run(t *testing.T, td *datadriven.TestData) string {
	data := []byte(td.Input)
	var base, variable string
	var flags []string
	td.MaybeScanArgs(t, "env", &variable)
	if td.HasArg("flags") {
		for _, a := range td.CmdArgs {
			if a.Key == "flags" {
				flags = a.Vals
			}
		}
	}
	if td.MaybeScanArgs(t, "base", &base) {
		tree := map[string]json.RawMessage{}
		file, err := os.ReadFile(filepath.Join(examples, base+".json"))
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(file, &tree); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(data, &tree); err != nil {
			t.Fatal(err)
		}
		data, _ = json.Marshal(tree)
	}
	if td.Cmd == "huge" {
		data = []byte(strings.Repeat(" ", pwsettings.MaxFileBytes+1))
	}
	if name, value, ok := strings.Cut(variable, ":"); ok {
		t.Setenv(name, value)
		defer func() { _ = os.Unsetenv(name) }()
	}
	var o pwsettings.Overrides
	parser, err := kong.New(&o, kong.Exit(func(int) {}))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parser.Parse(flags); err != nil {
		t.Fatal(err)
	}
	s, err := pwsettings.Parse(data, o)
	if err != nil {
		if p := pwsettings.ProblemsOf(err); len(p) > 0 {
			return p.Error()
		}
		return err.Error()
	}
	if td.Cmd == "show" {
		out, _ := json.MarshalIndent(s, "", "  ")
		return string(out)
	}
	return "ok: " + s.Listen.Callers + " " + s.Listen.Peers + " " + s.AdvertisedAddress() + " " + s.Platform.StoreAddress + " " + strings.Join(s.Seeds, ",")
}

// FuzzParse guards against a crash on any input, accepted settings that do
// not pass their own check, and values of credentials in messages.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"entry", "agent"} {
		data, err := os.ReadFile(filepath.Join(examples, name+".json"))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	const secret = "secret-credential-in-clear"
	f.Add([]byte(`{"operators":[{"credentials":["` + secret + `"]}],"platform":{"store_address":"` + secret + `"}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := pwsettings.Parse(data, pwsettings.Overrides{})
		if err != nil {
			p := pwsettings.ProblemsOf(err)
			if len(p) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			for _, q := range p {
				if q.Path == "" || q.Found == "" || q.Allowed == "" {
					t.Fatalf("incomplete problem: %+v", q)
				}
				if strings.Contains(q.Path, ".credentials[") && strings.Contains(q.Found, secret) {
					t.Fatalf("message repeats a credential: %v", q)
				}
			}
			return
		}
		if err := s.Validate(); err != nil {
			t.Fatalf("accepted settings fail their check: %v", err)
		}
		raw, _ := json.Marshal(s)
		again, err := pwsettings.Parse(raw, pwsettings.Overrides{})
		if err != nil || !cmp.Equal(s, again) {
			t.Fatalf("settings differ after a round trip: %v", cmp.Diff(s, again))
		}
	})
}
