// Package pwcapacity implements the "capacity" command, which measures what the
// parts of the system cost on this machine and projects the costs to a large deployment.
//
// # Usage
//
//	opts := pwcapacity.Options{
//		Quick: true,
//	}
//	err := opts.Run(ctx, env)
package pwcapacity

import (
	"context"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwcapacity"
)

// Options holds the flags of the "capacity" command.
type Options struct {
	pwconsole.OutputFlags
	Quick bool `help:"Measure small sizes for a short time; the figures only show that every measurement works."`
}

// Help implements kong.HelpProvider.
func (Options) Help() string {
	return `The figures depend on the machine. docs/CAPACITY.md explains them and states the run that its tables come from.

` + pwconsole.Examples("capacity", "capacity --quick", "capacity --json")
}

// Run measures the costs and prints the report.
func (o *Options) Run(ctx context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.OutputFlags)
	report, err := pwcapacity.Run(ctx, pwcapacity.Options{
		Quick: o.Quick,
	})
	if err != nil {
		return err
	}
	if o.JSON {
		return env.PrintJSON(report)
	}
	return pwcapacity.Print(env.Out, report)
}
