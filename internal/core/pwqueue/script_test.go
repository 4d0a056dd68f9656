package pwqueue_test

import (
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservers"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

// TestScripts runs the scenarios in testdata/scripts. The first line of each states
// the guarantee that it checks.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		var f *pwfakeservers.SingleServer
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			ws := pwrequest.WorkspaceID(pwscript.String(t, d, "ws"))
			switch d.Cmd {
			case "queue":
				f = pwfakeservers.NewSingleServer(func(err error) {
					if pwverdict.VerdictOf(err) != pwverdict.NotRun || pwverdict.AsError(err).RetryAfter() <= 0 {
						t.Fatalf("refusal isn't not_run or has no retry delay: %v", err)
					}
				})
			case "source":
				f.AddSource(pwfakeservers.Source{
					Workspace:    ws,
					PromptTokens: pwscript.Int64(t, d, "prompt", 0),
					Interval:     pwscript.Millis(t, d, "every_ms"),
					Deadline:     pwscript.Millis(t, d, "wait_ms"),
				})
			case "stop":
				f.StopSource(ws)
			case "serve":
				f.Serve(pwscript.Millis(t, d, "for_ms"), pwscript.Int64(t, d, "rate", 0))
			case "expect":
				return pwscript.CheckBounds(t, d, f.Stats(ws))
			default:
				t.Fatalf("unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}
