// Package pwdaemon implements the commands that run a process of the system:
// "entry" and "agent".
//
// # Usage
//
//	opts := pwdaemon.EntryOptions{}
//	opts.File = "entry.json"
//	err := opts.Run(ctx, env)
//
// The commands return when the context has ended and the running requests have
// finished. SIGINT and SIGTERM end the context.
package pwdaemon

import (
	"context"
	"io"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwprocess"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsettings"
)

// processFlags holds the flags of both commands.
type processFlags struct {
	pwsettings.Flags
}

// runner runs a process until its context ends.
type runner func(ctx context.Context, s *pwsettings.Settings, p pwprocess.Platform, sockets pwprocess.Listeners, log io.Writer) error

// run loads the settings and runs the process. hasPart reports whether the
// settings have the part that the command needs. With --check, run only checks
// the settings and the TLS files.
func (o *processFlags) run(ctx context.Context, env *pwconsole.Env, part string, hasPart func(*pwsettings.Settings) bool, run runner) error {
	s, err := o.Load()
	if err != nil {
		return err
	}
	if !hasPart(s) {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "the settings have no part %q; add it, or run the other command", part)
	}
	if o.Check {
		if s.TLS.Enabled() {
			if err := pwsecurity.CheckFiles(s.TLS); err != nil {
				return err
			}
		}
		_, err := io.WriteString(env.Out, "The settings are valid.\n")
		return err
	}
	return run(ctx, s, pwprocess.NewPlatform(s), pwprocess.Listeners{}, env.Err)
}

// EntryOptions holds the flags of the "entry" command.
type EntryOptions struct {
	processFlags
}

// Help implements kong.HelpProvider.
func (EntryOptions) Help() string {
	return pwconsole.Examples(`entry --settings entry.json`, `entry --settings entry.json --check`)
}

// Run runs an entry until ctx ends.
func (o *EntryOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.run(ctx, env, "entry", func(s *pwsettings.Settings) bool { return s.Entry != nil }, pwprocess.RunEntry)
}

// AgentOptions holds the flags of the "agent" command.
type AgentOptions struct {
	processFlags
}

// Help implements kong.HelpProvider.
func (AgentOptions) Help() string {
	return pwconsole.Examples(`agent --settings agent.json`, `agent --settings agent.json --check`)
}

// Run runs an agent until ctx ends.
func (o *AgentOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.run(ctx, env, "agent", func(s *pwsettings.Settings) bool { return s.Agent != nil }, pwprocess.RunAgent)
}
