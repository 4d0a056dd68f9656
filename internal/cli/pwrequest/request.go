// Package pwrequest implements the "request" commands, which view and cancel a
// request and explain from logs how it ended.
//
// # Usage
//
//	opts := pwrequest.ViewOptions{
//		ID: "req-1",
//	}
//	err := opts.Run(ctx, env)
package pwrequest

import (
	"context"
	"strconv"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// Command groups the "request" commands.
type Command struct {
	View    ViewOptions    `cmd:"" aliases:"show" help:"View the state of a request of any workspace."`
	Cancel  CancelOptions  `cmd:"" aliases:"stop" help:"Cancel a request of a service of your own team."`
	Explain ExplainOptions `cmd:"" aliases:"why" help:"Say from logs why a request ended as it did."`
}

// ViewOptions holds the arguments and flags of "request view".
type ViewOptions struct {
	pwconsole.EntryFlags
	ID string `arg:"" help:"Request identifier."`
}

// Help implements kong.HelpProvider.
func (ViewOptions) Help() string {
	return "The identifier is in the Pomeloweir-Request-Id header of the response and in the log lines.\n\n" +
		pwconsole.Examples(`request view req-EXAMPLE`)
}

// Run prints the state of a request.
func (o *ViewOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	r, err := pwconsole.Fetch[pwoperator.Request](ctx, env, o.EntryFlags, pwclient.RequestPath(o.ID), nil)
	if err != nil {
		return err
	}
	reason := r.Reason
	if r.Problem != nil {
		reason = r.Problem.Cause + " (" + r.Problem.Verdict + "): " + r.Problem.Detail
	}
	return env.Print(o.OutputFlags, r, pwconsole.Table{
		Header: []string{"request", "state", "service", "workspace", "backend server", "tokens", "admitted", "reason"},
		Rows:   [][]string{{r.ID, r.State, r.Service, r.Workspace, r.BackendServer, strconv.FormatInt(r.Tokens, 10), r.AdmittedAt, reason}},
	})
}

// CancelOptions holds the arguments and flags of "request cancel".
type CancelOptions struct {
	pwconsole.EntryFlags
	ID string `arg:"" help:"Request identifier."`
}

// Help implements kong.HelpProvider.
func (CancelOptions) Help() string {
	return pwconsole.Examples(`request cancel req-EXAMPLE`)
}

// Run cancels a request. Cancelling is idempotent.
func (o *CancelOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	client, err := env.Client(o.EntryFlags)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	out, err := pwclient.Delete[pwoperator.Cancelled](ctx, client, pwclient.RequestPath(o.ID))
	if err != nil && pwverdict.VerdictOf(err) == pwverdict.MayHaveRun {
		return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable, "request %s may be cancelled; run the command again, which does no harm", o.ID)
	}
	if err != nil {
		return err
	}
	state, note := "cancelled", "request "+o.ID+" is cancelled"
	if !out.Cancelled {
		state, note = "ended", "request "+o.ID+" had already ended"
	}
	return env.Print(o.OutputFlags, out, pwconsole.Table{
		Rows:  [][]string{{o.ID, state}},
		Notes: []string{note},
	})
}
