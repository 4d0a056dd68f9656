// Package pwsettings implements the "settings" commands, which check the
// settings of a process and print their JSON Schema.
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

// Command groups the "settings" commands.
type Command struct {
	Check  CheckOptions  `cmd:"" aliases:"validate" help:"Check the settings of a process and its TLS files without starting it."`
	Schema SchemaOptions `cmd:"" help:"Print the JSON Schema of the settings with defaults and units."`
}

// CheckOptions holds the arguments and flags of "settings check".
type CheckOptions struct {
	pwconsole.OutputFlags
	pwsettings.Overrides
	File      string `arg:"" optional:"" help:"Settings file; without it all fields come from flags and the environment."`
	SkipFiles bool   `help:"Leave out the check of the TLS files, which may be on another instance."`
}

// Help implements kong.HelpProvider.
func (CheckOptions) Help() string {
	return pwconsole.Examples(`settings check entry.json`, `settings check entry.json --listen-peers 10.1.0.12:8444`)
}

// Run checks the settings and prints a summary of them. The error lists all
// problems.
func (o *CheckOptions) Run(_ context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.OutputFlags)
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
	return env.Print(o.OutputFlags, redactCredentials(s), pwconsole.Table{
		Header: []string{"instance", "data centre", "parts", "callers", "peers"},
		Rows: [][]string{{string(s.Instance), string(s.DataCentre), strings.Join(parts, ","),
			lo.Ternary(s.Entry != nil, s.Listen.Callers, ""), s.AdvertisedAddress()}},
		Notes: []string{"The settings are valid."},
	})
}

// redactCredentials returns a copy of the settings without the hashes of the
// operators' credentials, which can be printed and logged.
func redactCredentials(s *pwsettings.Settings) *pwsettings.Settings {
	c := *s
	c.Operators = lo.Map(s.Operators, func(o pwsettings.Operator, _ int) pwsettings.Operator {
		o.Credentials = lo.Map(o.Credentials, func(string, int) string { return "(hidden)" })
		return o
	})
	return &c
}

// SchemaOptions is the "settings schema" command. It has no arguments or flags.
type SchemaOptions struct{}

// Run prints the JSON Schema of the settings.
func (o *SchemaOptions) Run(_ context.Context, env *pwconsole.Env) error {
	_, err := env.Out.Write(pwsettings.Schema())
	return err
}
