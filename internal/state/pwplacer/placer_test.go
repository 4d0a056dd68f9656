package pwplacer_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplacement"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
)

// TestScripts runs the scenarios in testdata. The first line of each scenario states
// the guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			s := pwfakeplacement.NewSite()
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				var name, wait, version, kind string
				var n int
				for arg, dest := range map[string]any{"process": &name, "time": &wait, "version": &version, "kind": &kind, "n": &n} {
					d.MaybeScanArgs(t, arg, dest)
				}
				switch d.Cmd {
				case "start":
					s.Start(name)
				case "stop":
					s.Processes[name].Stop()
				case "pause":
					s.Processes[name].Pause(d.HasArg("orders"))
				case "resume":
					s.Processes[name].Resume()
				case "version":
					s.SetVersion(version)
				case "fault":
					s.Table.SetFault(pwfakeplatform.Fault(kind), n)
				case "pass":
					pause, err := time.ParseDuration(wait)
					if err != nil {
						t.Fatal(err)
					}
					time.Sleep(pause)
				case "log":
					synctest.Wait()
					return s.TakeResults()
				default:
					t.Fatalf("%s: unknown command %q", d.Pos, d.Cmd)
				}
				return "ok"
			})
			for _, p := range s.Processes {
				p.Stop()
			}
		})
	})
}
