// Package pwmark implements the "take-out" and "bring-back" commands that
// "data-centre" and "backend-server" share. They set or clear a mark that keeps
// new work away from a data centre or backend server.
//
// # Usage
//
//	opts := pwmark.TakeOutOptions{
//		Name:   "hakata",
//		Reason: "cooling",
//	}
//	err := opts.TakeOut(ctx, env, "data-centres", readRemaining)
package pwmark

import (
	"context"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
)

// Options holds the arguments and flags of both commands.
type Options struct {
	pwconsole.EntryFlags
	pwconsole.ChangeFlags
	Name  string `arg:"" help:"Name, as in the list."`
	Force bool   `help:"Accept a name that the entry does not know yet."`
}

// TakeOutOptions holds the arguments and flags of "take-out".
type TakeOutOptions struct {
	Options
	Reason       string        `help:"Why; the other operators see it." required:"" placeholder:"TEXT"`
	Drain        bool          `help:"Wait until the change is in force and no request runs there any more, as far as the entry sees."`
	DrainTimeout time.Duration `help:"Longest time to wait for the drain." default:"15m"`
}

// ReadRemainingFunc returns the work that still runs in the named data centre or on
// the named backend server.
type ReadRemainingFunc func(ctx context.Context, client *pwclient.Client, name string) (*pwconsole.RemainingWork, error)

// TakeOut takes the named data centre or backend server out of service. collection
// is the path segment, "data-centres" or "backend-servers".
func (o *TakeOutOptions) TakeOut(ctx context.Context, env *pwconsole.Env, collection string, readRemaining ReadRemainingFunc) error {
	var drain *pwconsole.DrainWait
	if o.Drain {
		drain = &pwconsole.DrainWait{
			Timeout: o.DrainTimeout,
			ReadRemaining: func(ctx context.Context, client *pwclient.Client) (*pwconsole.RemainingWork, error) {
				return readRemaining(ctx, client, o.Name)
			},
		}
	}
	return o.propose(ctx, env, collection, drain, map[string]any{
		"out":    true,
		"reason": o.Reason,
		"force":  o.Force,
	}, o.Name+" is out of service")
}

// BringBack brings the named data centre or backend server back into service.
func (o *Options) BringBack(ctx context.Context, env *pwconsole.Env, collection string) error {
	return o.propose(ctx, env, collection, nil, map[string]any{
		"out":   false,
		"force": o.Force,
	}, o.Name+" is in service")
}

// propose sends the new state of the mark. effect describes the change in the output.
func (o *Options) propose(ctx context.Context, env *pwconsole.Env, collection string, drain *pwconsole.DrainWait, fields map[string]any, effect string) error {
	env.SetOutput(o.OutputFlags)
	return env.Propose(ctx, o.EntryFlags, o.ChangeFlags, pwclient.Proposal{
		Path:   pwclient.MarkPath(collection, o.Name),
		Fields: fields,
	}, effect, drain)
}
