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

const repoRoot = "../../.."

// packageSource returns the concatenated Go files of an internal package.
func packageSource(t *testing.T, pkg string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(repoRoot, "internal", "*", pkg, "*.go"))
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

var qualifiedName = regexp.MustCompile(`\b(pw[a-z]+)\.([A-Za-z]\w*)`)

// checkBound fails the test if a bound is empty or names an identifier that the named
// package does not contain.
func checkBound(t *testing.T, name, bound string) {
	t.Helper()
	if bound == "" {
		t.Errorf("%s: no bound", name)
	}
	for _, m := range qualifiedName.FindAllStringSubmatch(bound, -1) {
		if !regexp.MustCompile(`\b` + m[2] + `\b`).MatchString(packageSource(t, m[1])) {
			t.Errorf("%s: bound %s does not exist", name, m[0])
		}
	}
}

func allFinite(vs ...float64) bool {
	for _, v := range vs {
		if math.IsNaN(v) || math.IsInf(v, 0) {
			return false
		}
	}
	return true
}

// TestReportRowsAreComplete guards against rows without a slope, a residual, a limit
// or a mechanism, against mechanisms and bounds that the repository does not contain,
// and against rows that are missing on the capacity page. It checks no measured time.
func TestReportRowsAreComplete(t *testing.T) {
	r, err := Run(t.Context(), Options{
		Quick: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs", "CAPACITY.md"))
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
		if x.SlopeUnit == "" || x.Formula == "" || x.Residual < 0 || !allFinite(x.Slope, x.Residual, x.Value, x.Margin) {
			t.Errorf("%s: slope %v %s, residual %v, value %v", name, x.Slope, x.SlopeUnit, x.Residual, x.Value)
		}
		if x.LimitText == "" || x.Status == "" || x.Limit == 0 && x.Class != classData && x.Class != classDataPart && x.Figure != figureMessages {
			t.Errorf("%s: limit %v %q, status %q", name, x.Limit, x.LimitText, x.Status)
		}
		if _, err := os.Stat(filepath.Join(repoRoot, x.Mechanism)); x.Mechanism == "" || err != nil {
			t.Errorf("%s: mechanism: %v", name, err)
		}
		checkBound(t, name, x.Bound)
		for _, where := range []string{string(page), text.String()} {
			if !strings.Contains(where, "| "+x.Name+" |") || !strings.Contains(where, x.Mechanism) {
				t.Errorf("%s: not on the page or not printed", name)
			}
		}
	}
	for _, role := range []string{roleGateway, roleEntry, roleAgent, roleRelay, roleLeaseHolder, roleTableService, roleObjectStore} {
		if !roles[role] {
			t.Errorf("role %s has no row", role)
		}
	}
	for _, x := range r.Terms {
		if len(x.Points) < 3 || !allFinite(x.Slope, x.Intercept, x.Residual) {
			t.Errorf("term %s: %d points, slope %v", x.Name, len(x.Points), x.Slope)
		}
	}
	for _, scenario := range r.Scenarios {
		if len(scenario.Peaks) == 0 || !strings.Contains(string(page), scenario.Name[1:]) {
			t.Errorf("scenario %s: %d peaks, or not on the page", scenario.Name, len(scenario.Peaks))
		}
		for _, x := range scenario.Peaks {
			checkBound(t, scenario.Name+": "+x.Figure, x.Bound)
			if !allFinite(x.OrdinaryValue, x.PeakValue) || x.PeakValue < 0 {
				t.Errorf("%s: %s: peak %v", scenario.Name, x.Figure, x.PeakValue)
			}
		}
	}
}

// TestConstantsMatchSource guards against copies of constants of other packages that
// differ from the originals.
func TestConstantsMatchSource(t *testing.T) {
	for _, c := range []struct {
		pkg  string
		name string
		want string
	}{
		{"pwentry", "defaultSubset", fmt.Sprint(subsetSize)},
		{"pwentry", "defaultFlightRetention", "time.Minute"},
		{"pwentry", "minRedialDelay", "100 * time.Millisecond"},
		{"pwentry", "maxRedialDelay", fmt.Sprint(maxRedialDelay, " * time.Second")},
		{"pwagent", "loadMinInterval", "time.Second"},
		{"pwagent", "loadMaxInterval", "2 * time.Second"},
		{"pwagent", "maintenanceInterval", "100 * time.Millisecond"},
		{"pwagent", "defaultAnswerRetention", "5 * time.Minute"},
		{"pwprocess", "instanceRefreshInterval", fmt.Sprint(instanceRefreshInterval, " * time.Second")},
		{"pwdirectory", "holders", fmt.Sprint(recordCopies)},
		{"pwpeering", "maxLoads", fmt.Sprint(maxPeerLoads)},
		{"pwpeering", "readInterval", fmt.Sprint(processListInterval, " * time.Second")},
		{"pwgossip", "takeoverRanks", fmt.Sprint(takeoverRanks)},
		{"pwgossip", "maxTableBackoff", fmt.Sprint(maxTableBackoff, " * time.Second")},
		{"pwgossip", "fastCompareInterval", "100 * time.Millisecond"},
		{"pwgossip", "maxConcurrentCompares", fmt.Sprint(maxConcurrentCompares)},
		{"pwgossip", "exchangeTimeout", "700 * time.Millisecond"},
		{"pwgossip", "unlistedFactor", fmt.Sprint(unlistedFactor)},
	} {
		if !regexp.MustCompile(`\b`+c.name+`\s+= `+regexp.QuoteMeta(c.want)+`\n`).MatchString(packageSource(t, c.pkg)) &&
			!strings.Contains(packageSource(t, c.pkg), "const "+c.name+" = "+c.want+"\n") {
			t.Errorf("%s.%s is not %s", c.pkg, c.name, c.want)
		}
	}
}

// TestFitResidualShowsNonLinearCost guards against a fit whose residual does not show
// that a cost is not linear.
func TestFitResidualShowsNonLinearCost(t *testing.T) {
	m := newMeter(true)
	for _, x := range []float64{1, 10, 100} {
		m.addPoint("line", "x", "y", x, 3+2*x)
		m.addPoint("square", "x", "y", x, x*x)
	}
	line, square := m.terms["line"], m.terms["square"]
	if math.Abs(line.Slope-2) > 1e-9 || math.Abs(line.Intercept-3) > 1e-9 || line.Residual > 1e-9 {
		t.Errorf("line: slope %v, intercept %v, residual %v", line.Slope, line.Intercept, line.Residual)
	}
	if square.Residual < 0.05 {
		t.Errorf("square: residual %v", square.Residual)
	}
}
