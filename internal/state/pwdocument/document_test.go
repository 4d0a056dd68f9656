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

// TestExamples guards against example documents that no longer parse, differ
// from the planned sizes, or hold a credential that nobody can use.
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

// TestScenarios runs the scripts under testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, run)
	})
}

// run executes one directive. Its input is a JSON object that is merged into
// the example named by "base", or the whole document without one.
func run(t *testing.T, td *datadriven.TestData) string {
	input := td.Input
	var base string
	if td.MaybeScanArgs(t, "base", &base) {
		data, err := os.ReadFile(filepath.Join(examples, base+".json"))
		if err != nil {
			t.Fatal(err)
		}
		tree := map[string]any{}
		if err := json.Unmarshal(data, &tree); err != nil {
			t.Fatal(err)
		}
		before, _ := pwdocument.Parse(data)
		if err := json.Unmarshal([]byte(input), &tree); err != nil {
			t.Fatal(err)
		}
		merged, _ := json.Marshal(tree)
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

// TestSchemaDocumentsEveryField guards against a field without a description,
// or without a default where it may be left out.
func TestSchemaDocumentsEveryField(t *testing.T) {
	s := &jsonschema.Schema{}
	if err := json.Unmarshal(pwdocument.Schema(), s); err != nil {
		t.Fatal(err)
	}
	checkDocumented(t, "document", s)
}

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

// FuzzParse guards against input that crashes the parser, and against a
// parsed document that changes when it is written and read again.
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
