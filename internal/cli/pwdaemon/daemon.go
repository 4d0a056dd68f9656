// Package pwdaemon holds the commands that run a process of the system:
// "entry" and "agent".
//
// # Usage
//
//	opts := pwdaemon.EntryOptions{}
//	opts.File = "entry.json"
//	err := opts.Run(ctx, env)
//
// The commands return when the context has ended and the running requests have
// finished. A signal to terminate ends the context.
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

// options are the flags of both commands.
type options struct {
	pwsettings.Flags
}

// runner runs a process until its context ends.
type runner func(ctx context.Context, s *pwsettings.Settings, p pwprocess.Platform, sockets pwprocess.Listeners, log io.Writer) error

// run loads the settings, checks that they have the part that the command
// needs, and runs the process.
func (o *options) run(ctx context.Context, env *pwconsole.Env, part string, has func(*pwsettings.Settings) bool, run runner) error {
	s, err := o.Load()
	if err != nil {
		return err
	}
	if !has(s) {
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

// EntryOptions are the inputs of "entry".
type EntryOptions struct {
	options
}

// Help returns examples.
func (EntryOptions) Help() string {
	return pwconsole.Examples(`entry --settings entry.json`, `entry --settings entry.json --check`)
}

// Run runs an entry.
func (o *EntryOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.run(ctx, env, "entry", func(s *pwsettings.Settings) bool { return s.Entry != nil }, pwprocess.RunEntry)
}

// AgentOptions are the inputs of "agent".
type AgentOptions struct {
	options
}

// Help returns examples.
func (AgentOptions) Help() string {
	return pwconsole.Examples(`agent --settings agent.json`, `agent --settings agent.json --check`)
}

// Run runs an agent.
func (o *AgentOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.run(ctx, env, "agent", func(s *pwsettings.Settings) bool { return s.Agent != nil }, pwprocess.RunAgent)
}
