// Package pwsettings is the "settings" command group.
//
// # Usage
//
//	opts := pwsettings.CheckOptions{
//		File: "entry.json",
//	}
//	err := opts.Run(ctx, env)
package pwsettings

import (
	"context"
	"strings"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

// Command is the group.
type Command struct {
	Check  CheckOptions  `cmd:"" aliases:"validate" help:"Check the settings of a process and its TLS files without starting it."`
	Schema SchemaOptions `cmd:"" help:"Print the JSON Schema of the settings with defaults and units."`
}

// CheckOptions are the inputs of "settings check".
type CheckOptions struct {
	pwconsole.Output
	pwsettings.Overrides
	File      string `arg:"" optional:"" help:"Settings file; without it all fields come from flags and the environment."`
	SkipFiles bool   `help:"Leave out the check of the TLS files, which may be on another instance."`
}

// Help returns examples.
func (CheckOptions) Help() string {
	return pwconsole.Examples(`settings check entry.json`, `settings check entry.json --listen-peers 10.1.0.12:8444`)
}

// Run checks settings. The error lists everything that is wrong.
func (o *CheckOptions) Run(_ context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.Output)
	s, err := pwsettings.Load(o.File, o.Overrides)
	if err != nil {
		return err
	}
	if s.TLS.Enabled() && !o.SkipFiles {
		if err := pwsecurity.CheckFiles(s.TLS); err != nil {
			return err
		}
	}
	var parts []string
	if s.Entry != nil {
		parts = append(parts, "entry")
	}
	if s.Agent != nil {
		parts = append(parts, "agent")
	}
	return env.Print(o.Output, withoutHashes(s), pwconsole.Table{
		Header: []string{"instance", "data centre", "parts", "callers", "peers"},
		Rows: [][]string{{string(s.Instance), string(s.DataCentre), strings.Join(parts, ","),
			lo.Ternary(s.Entry != nil, s.Listen.Callers, ""), s.AdvertisedAddress()}},
		Notes: []string{"The settings are valid."},
	})
}

// withoutHashes returns settings that may be shown and logged.
func withoutHashes(s *pwsettings.Settings) *pwsettings.Settings {
	c := *s
	c.Operators = lo.Map(s.Operators, func(o pwsettings.Operator, _ int) pwsettings.Operator {
		o.Credentials = lo.Map(o.Credentials, func(string, int) string { return "(hidden)" })
		return o
	})
	return &c
}

// SchemaOptions are the inputs of "settings schema".
type SchemaOptions struct{}

// Run prints the schema.
func (o *SchemaOptions) Run(_ context.Context, env *pwconsole.Env) error {
	_, err := env.Out.Write(pwsettings.Schema())
	return err
}
