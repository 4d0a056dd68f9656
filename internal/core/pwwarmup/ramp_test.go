package pwwarmup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwwarmup"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwscript"
)

// Guards against a cold server that gets a full load, and against a warm one
// that is held back; the scripts state the guarantees.
func TestScripts(t *testing.T) {
	pwscript.Walk(t, "testdata/scripts", func() pwscript.Handler {
		now := time.Unix(1000, 0)
		ramp := pwwarmup.New(pwwarmup.Config{}, now)
		return func(c *pwscript.Command) []string {
			ms := []int64{c.Int("ms", 0), c.Int("alternately", c.Int("ms", 0))}
			tokens, every := c.Int("tokens", 1000), c.Duration("every", 0)
			switch c.Verb() {
			case "restart":
				ramp.Restart(now)
			case "wait":
				now = now.Add(c.Duration("d", 0))
			case "step", "first":
				for i := range c.Int("n", 1) {
					took := time.Duration(ms[i%2]) * time.Millisecond
					now = now.Add(every)
					if c.Verb() == "step" {
						ramp.ObserveStep(now, took)
					} else {
						ramp.ObserveFirstToken(now, tokens, took)
					}
				}
			default:
				c.Fatalf("unknown command")
			}
			return []string{fmt.Sprintf("bound %d, found cold %d times", ramp.Bound(now), ramp.ColdDetections())}
		}
	})
}
