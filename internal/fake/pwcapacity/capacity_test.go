package pwcapacity

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const root = "../../.."

// source returns the Go files of a package by its name.
func source(t *testing.T, pkg string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(root, "internal", "*", pkg, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("package %s: %v", pkg, err)
	}
	var out strings.Builder
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		out.Write(data)
	}
	return out.String()
}

var identifier = regexp.MustCompile(`\b(pw[a-z]+)\.([A-Za-z]\w*)`)

// checkBound fails when a bound names something that its package lacks.
func checkBound(t *testing.T, name, bound string) {
	t.Helper()
	if bound == "" {
		t.Errorf("%s: no bound", name)
	}
	for _, m := range identifier.FindAllStringSubmatch(bound, -1) {
		if !regexp.MustCompile(`\b` + m[2] + `\b`).MatchString(source(t, m[1])) {
			t.Errorf("%s: bound %s does not exist", name, m[0])
		}
	}
}

func finite(vs ...float64) bool {
	for _, v := range vs {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// TestReport guards against rows without a slope, a residual, a limit or a
// mechanism, against mechanisms and bounds that are not in the repository, and
// against a page that lacks a row. It judges no measured time.
func TestReport(t *testing.T) {
	r, err := Run(t.Context(), Options{
		Quick: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(root, "docs", "CAPACITY.md"))
	if err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if err := Print(&text, r); err != nil {
		t.Fatal(err)
	}
	if _, err := json.Marshal(r); err != nil {
		t.Errorf("JSON: %v", err)
	}
	roles := map[string]bool{}
	for _, x := range r.Rows {
		name := x.Role + ": " + x.Name
		roles[x.Role] = true
		if x.SlopeUnit == "" || x.Formula == "" || x.Residual < 0 || !finite(x.Slope, x.Residual, x.Value, x.Margin) {
			t.Errorf("%s: slope %v %s, residual %v, value %v", name, x.Slope, x.SlopeUnit, x.Residual, x.Value)
		}
		if x.LimitText == "" || x.Status == "" || x.Limit == 0 && x.Class != classData && x.Class != classDataPart && x.Figure != figureMessage {
			t.Errorf("%s: limit %v %q, status %q", name, x.Limit, x.LimitText, x.Status)
		}
		if _, err := os.Stat(filepath.Join(root, x.Mechanism)); x.Mechanism == "" || err != nil {
			t.Errorf("%s: mechanism: %v", name, err)
		}
		checkBound(t, name, x.Bound)
		for _, where := range []string{string(page), text.String()} {
			if !strings.Contains(where, "| "+x.Name+" |") || !strings.Contains(where, x.Mechanism) {
				t.Errorf("%s: not on the page or not printed", name)
			}
		}
	}
	for _, role := range []string{roleGateway, roleEntry, roleAgent, roleRelay, roleLease, roleTable, roleObjects} {
		if !roles[role] {
			t.Errorf("role %s has no row", role)
		}
	}
	for _, x := range r.Terms {
		if len(x.Points) < 3 || !finite(x.Slope, x.Intercept, x.Residual) {
			t.Errorf("term %s: %d points, slope %v", x.Name, len(x.Points), x.Slope)
		}
	}
	for _, d := range r.Days {
		if len(d.Peaks) == 0 || !strings.Contains(string(page), d.Name[1:]) {
			t.Errorf("day %s: %d peaks, or not on the page", d.Name, len(d.Peaks))
		}
		for _, x := range d.Peaks {
			checkBound(t, d.Name+": "+x.Figure, x.Bound)
			if !finite(x.Ordinary, x.Peak) || x.Peak < 0 {
				t.Errorf("%s: %s: peak %v", d.Name, x.Figure, x.Peak)
			}
		}
	}
}

// TestConstants guards against constants that differ from those of the parts
// that they stand for.
func TestConstants(t *testing.T) {
	for _, c := range []struct {
		pkg  string
		name string
		want string
	}{
		{"pwentry", "defaultSubset", fmt.Sprint(subset)},
		{"pwentry", "defaultFlightRetention", "time.Minute"},
		{"pwentry", "firstRedial", "100 * time.Millisecond"},
		{"pwentry", "maxRedial", fmt.Sprint(maxRedial, " * time.Second")},
		{"pwagent", "loadMinInterval", "time.Second"},
		{"pwagent", "loadMaxInterval", "2 * time.Second"},
		{"pwagent", "maintenanceInterval", "100 * time.Millisecond"},
		{"pwagent", "defaultRetention", "5 * time.Minute"},
		{"pwprocess", "listInterval", fmt.Sprint(listInterval, " * time.Second")},
		{"pwdirectory", "holders", fmt.Sprint(recordCopies)},
		{"pwpeering", "maxLoads", fmt.Sprint(peerLoads)},
		{"pwpeering", "readInterval", fmt.Sprint(listOfProcesses, " * time.Second")},
		{"pwgossip", "takeoverRanks", fmt.Sprint(takeoverRanks)},
		{"pwgossip", "maxTableBackoff", fmt.Sprint(maxTableBackoff, " * time.Second")},
		{"pwgossip", "hurryInterval", "100 * time.Millisecond"},
		{"pwgossip", "maxComparing", fmt.Sprint(maxComparing)},
		{"pwgossip", "exchangeTimeout", "700 * time.Millisecond"},
		{"pwgossip", "unlistedFactor", fmt.Sprint(unlistedFactor)},
	} {
		if !regexp.MustCompile(`\b`+c.name+`\s+= `+regexp.QuoteMeta(c.want)+`\n`).MatchString(source(t, c.pkg)) &&
			!strings.Contains(source(t, c.pkg), "const "+c.name+" = "+c.want+"\n") {
			t.Errorf("%s.%s is not %s", c.pkg, c.name, c.want)
		}
	}
}

// TestFit guards against a fit whose residual hides that a cost is not linear.
func TestFit(t *testing.T) {
	m := newMeter(true)
	for _, x := range []float64{1, 10, 100} {
		m.add("line", "x", "y", x, 3+2*x)
		m.add("square", "x", "y", x, x*x)
	}
	line, square := m.terms["line"], m.terms["square"]
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("line: slope %v, intercept %v, residual %v", line.Slope, line.Intercept, line.Residual)
	}
	if square.Residual < 0.05 {
		t.Errorf("square: residual %v", square.Residual)
	}
}
