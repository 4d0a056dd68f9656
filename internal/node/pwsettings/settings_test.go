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

const examplesDir = "../../../examples/settings"

// TestScenarios runs the scenarios under testdata. They guard against settings that
// are accepted although a process could not run with them, and against errors that
// do not name the field.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, runDirective)
	})
}

// runDirective parses the input as settings. With "base", the input is merged into
// the top level of that example. "flags" are command-line arguments, and "env" is
// one environment variable as NAME:VALUE.
func runDirective(t *testing.T, td *datadriven.TestData) string {
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
		file, err := os.ReadFile(filepath.Join(examplesDir, base+".json"))
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

// FuzzParse guards against a crash on any input, against accepted settings that do
// not pass Validate, and against messages that contain a credential.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"entry", "agent"} {
		data, err := os.ReadFile(filepath.Join(examplesDir, name+".json"))
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
			problems := pwsettings.ProblemsOf(err)
			if len(problems) == 0 {
				t.Fatalf("error without problems: %v", err)
			}
			for _, problem := range problems {
				if problem.Path == "" || problem.Found == "" || problem.Allowed == "" {
					t.Fatalf("incomplete problem: %+v", problem)
				}
				if strings.Contains(problem.Path, ".credentials[") && strings.Contains(problem.Found, secret) {
					t.Fatalf("message repeats a credential: %v", problem)
				}
			}
			return
		}
		if err := s.Validate(); err != nil {
			t.Fatalf("accepted settings fail their check: %v", err)
		}
		raw, _ := json.Marshal(s)
		reparsed, err := pwsettings.Parse(raw, pwsettings.Overrides{})
		if err != nil || !cmp.Equal(s, reparsed) {
			t.Fatalf("settings differ after a round trip: %v", cmp.Diff(s, reparsed))
		}
	})
}
