package pwentry_test

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakecaller"
)

// TestInterface runs the scripts under testdata/interface against the HTTP interface for
// callers. The first lines of each script state the guarantee that it checks.
func TestInterface(t *testing.T) {
	datadriven.Walk(t, "testdata/interface", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := pwfakecaller.New(t.Context())
			defer c.Close()
			datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string { return c.Run(d) })
		})
	})
}
