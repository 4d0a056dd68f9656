package pwdocument_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/invopop/jsonschema"
	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

const examples = "../../../examples"

// TestExamples guards against example documents that no longer parse, that differ
// from the planned sizes, or whose credentials are not accepted.
func TestExamples(t *testing.T) {
	for path, servers := range map[string]int{
		"collective/lantern.json":   25,
		"collective/bookings.json":  3,
		"cooperativa/language.json": 20,
		"cooperativa/ledger.json":   3,
	} {
		data, err := os.ReadFile(filepath.Join(examples, path))
		if err != nil {
			t.Fatal(err)
		}
		doc, err := pwdocument.Parse(data)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		got := lo.SumBy(doc.DataCentres, func(c pwdocument.DataCentre) int { return c.BackendServers })
		if got != servers || len(doc.DataCentres) != 3 || len(doc.Workspaces) != 10 {
			t.Errorf("%s: %d servers, %d data centres, %d workspaces", path, got, len(doc.DataCentres), len(doc.Workspaces))
		}
		for _, w := range doc.Workspaces {
			if id, ok := doc.Authenticate("example-credential-" + string(w.ID)); !ok || id != w.ID {
				t.Errorf("%s: workspace %s is authenticated as %q, %v", path, w.ID, id, ok)
			}
		}
		if id, ok := doc.Authenticate("example-credential-of-nobody"); ok {
			t.Errorf("%s: unknown credential is authenticated as %q", path, id)
		}
		if d := pwdocument.Diff(doc, doc.WithDefaults()); len(d) > 0 {
			t.Errorf("%s: parsed document lacks defaults: %v", path, d)
		}
	}
}

// TestScenarios runs the scripts under testdata/scenarios.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, runDirective)
	})
}

// runDirective executes one directive. With the argument "base", the fields of the
// input replace those of the example document of that name; otherwise the input is
// the whole document.
func runDirective(t *testing.T, td *datadriven.TestData) string {
	input := td.Input
	var base string
	if td.MaybeScanArgs(t, "base", &base) {
		data, err := os.ReadFile(filepath.Join(examples, base+".json"))
		if err != nil {
			t.Fatal(err)
		}
		document := map[string]any{}
		if err := json.Unmarshal(data, &document); err != nil {
			t.Fatal(err)
		}
		before, _ := pwdocument.Parse(data)
		if err := json.Unmarshal([]byte(input), &document); err != nil {
			t.Fatal(err)
		}
		merged, _ := json.Marshal(document)
		if td.Cmd == "diff" {
			after, err := pwdocument.Parse(merged)
			if err != nil {
				return err.Error()
			}
			return strings.Join(pwdocument.Diff(before, after), "\n")
		}
		input = string(merged)
	}
	if _, err := pwdocument.Parse([]byte(input)); err != nil {
		return err.Error()
	}
	return "ok"
}

// TestSchemaDocumentsEveryField guards against a field without a description, an
// optional field without a default, and a number without a unit.
func TestSchemaDocumentsEveryField(t *testing.T) {
	s := &jsonschema.Schema{}
	if err := json.Unmarshal(pwdocument.Schema(), s); err != nil {
		t.Fatal(err)
	}
	checkDocumented(t, "document", s)
}

// checkDocumented reports the undocumented fields of a schema, recursively.
func checkDocumented(t *testing.T, path string, s *jsonschema.Schema) {
	if s.Type == "array" {
		s = s.Items
	}
	if s.Properties == nil {
		return
	}
	for name, sub := range s.Properties.FromOldest() {
		if sub.Description == "" {
			t.Errorf("%s.%s has no description", path, name)
		}
		scalar := sub.Type != "object" && sub.Type != "array"
		if scalar && sub.Default == nil && !lo.Contains(s.Required, name) {
			t.Errorf("%s.%s is optional and has no default", path, name)
		}
		if sub.Type == "integer" && name != "format_version" && !strings.Contains(sub.Description, "unit: ") {
			t.Errorf("%s.%s does not state its unit", path, name)
		}
		checkDocumented(t, path+"."+name, sub)
	}
}

// FuzzParse guards against input that makes the parser panic, and against a
// parsed document that changes when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	paths, _ := filepath.Glob(examples + "/*/*.json")
	for _, p := range paths {
		data, _ := os.ReadFile(p)
		f.Add(data)
	}
	f.Add([]byte(`{"name":{"name":[null,1e999]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := pwdocument.Parse(data)
		if err != nil {
			return
		}
		raw, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		again, err := pwdocument.Parse(raw)
		if err != nil {
			t.Fatal(err)
		}
		if d := pwdocument.Diff(doc, again); len(d) > 0 {
			t.Fatal(d)
		}
	})
}
