package pwscenario_test

import (
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwscenario"
)

// TestScenarios runs every script under testdata. The first line of a script states
// the guarantee that it checks.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no scripts found: %v", err)
	}
	for _, path := range paths {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txt"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := pwscenario.NewRunner(t.Context())
				defer r.Close()
				datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
					return r.Run(d)
				})
			})
		})
	}
}
