// Package pwbackendserver is the "backend-server" command group.
//
// # Usage
//
//	opts := pwbackendserver.ListOptions{
//		Service: "lantern",
//	}
//	err := opts.Run(ctx, env)
package pwbackendserver

import (
	"context"
	"net/url"
	"strconv"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwmark"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

const (
	kind = "backend-servers"
	// maxPages bounds a listing; 16 pages of 1,000 are twice the largest fleet.
	maxPages = 16
)

// Command is the group.
type Command struct {
	TakeOut   TakeOutOptions   `cmd:"" aliases:"out" help:"Take a backend server out of service."`
	BringBack BringBackOptions `cmd:"" aliases:"back" help:"Bring a backend server back into service; it warms up."`
	List      ListOptions      `cmd:"" aliases:"ls" help:"List the backend servers with their state."`
}

// TakeOutOptions are the inputs of "backend-server take-out".
type TakeOutOptions struct {
	pwmark.TakeOutOptions
}

// Help returns examples.
func (TakeOutOptions) Help() string {
	return pwconsole.Examples(`backend-server take-out lantern-hakata-07 --reason "slow disk" --wait`)
}

// Run takes a backend server out of service.
func (o *TakeOutOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.Take(ctx, env, kind, left)
}

// left returns what still runs on a backend server.
func left(ctx context.Context, client *pwclient.Client, name string) (*pwconsole.Left, error) {
	list, err := pwclient.Get[pwoperator.BackendServerList](ctx, client, "/"+kind, url.Values{
		"id": {name},
	})
	if err != nil {
		return nil, err
	}
	out := &pwconsole.Left{
		Servers: len(list.BackendServers),
	}
	for _, s := range list.BackendServers {
		out.Running += s.Running
		out.RunningLong += s.RunningLong
		out.Watched += lo.Ternary(s.Watched, 1, 0)
		out.Reporting += lo.Ternary(s.HasReport, 1, 0)
	}
	return out, nil
}

// BringBackOptions are the inputs of "backend-server bring-back".
type BringBackOptions struct {
	pwmark.Options
}

// Help returns examples.
func (BringBackOptions) Help() string {
	return pwconsole.Examples(`backend-server bring-back lantern-hakata-07`)
}

// Run brings a backend server back into service.
func (o *BringBackOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.Bring(ctx, env, kind)
}

// ListOptions are the inputs of "backend-server list".
type ListOptions struct {
	pwconsole.Flags
	Service    string `help:"Only servers of this service." placeholder:"NAME"`
	DataCentre string `help:"Only servers of this data centre." placeholder:"NAME"`
}

// Help returns examples.
func (ListOptions) Help() string {
	return pwconsole.Examples(`backend-server list --service lantern --data-centre hakata`)
}

// Run lists the backend servers, page by page.
func (o *ListOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	all := &pwoperator.BackendServerList{
		BackendServers: []pwoperator.BackendServer{},
	}
	query := url.Values{
		"service":     {o.Service},
		"data_centre": {o.DataCentre},
	}
	for range maxPages {
		page, err := pwconsole.Fetch[pwoperator.BackendServerList](ctx, env, o.Flags, "/"+kind, query)
		if err != nil {
			return err
		}
		all.BackendServers = append(all.BackendServers, page.BackendServers...)
		all.Freshness, all.Next = page.Freshness, page.Next
		if page.Next == "" {
			break
		}
		query.Set("after", page.Next)
	}
	return env.Print(o.Output, all, pwconsole.Table{
		Header: []string{"backend server", "service", "data centre", "state", "running", "bound", "long", "reason"},
		Rows: lo.Map(all.BackendServers, func(s pwoperator.BackendServer, _ int) []string {
			return []string{s.ID, s.Service, s.DataCentre, string(s.State), strconv.Itoa(s.Running),
				strconv.Itoa(s.RunningBound), strconv.Itoa(s.RunningLong), s.Reason}
		}),
		Notes: pwconsole.StaleNote(all.Freshness),
	})
}
