// Package pwbackendserver implements the "backend-server" commands, which take
// backend servers out of service, bring them back and list them.
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
	// collection is the path segment of the backend servers in the operators'
	// interface.
	collection = "backend-servers"
	// maxPages bounds a listing: 16 pages of 1,000 servers are twice the largest fleet.
	maxPages = 16
)

// Command groups the "backend-server" commands.
type Command struct {
	TakeOut   TakeOutOptions   `cmd:"" aliases:"out" help:"Take a backend server out of service."`
	BringBack BringBackOptions `cmd:"" aliases:"back" help:"Bring a backend server back into service; it warms up."`
	List      ListOptions      `cmd:"" aliases:"ls" help:"List the backend servers with their state."`
}

// TakeOutOptions holds the arguments and flags of "backend-server take-out".
type TakeOutOptions struct {
	pwmark.TakeOutOptions
}

// Help implements kong.HelpProvider.
func (TakeOutOptions) Help() string {
	return pwconsole.Examples(`backend-server take-out lantern-hakata-07 --reason "slow disk" --wait`)
}

// Run takes a backend server out of service.
func (o *TakeOutOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.TakeOut(ctx, env, collection, readRemaining)
}

// readRemaining returns the work that still runs on a backend server.
func readRemaining(ctx context.Context, client *pwclient.Client, name string) (*pwconsole.RemainingWork, error) {
	list, err := pwclient.Get[pwoperator.BackendServerList](ctx, client, "/"+collection, url.Values{
		"id": {name},
	})
	if err != nil {
		return nil, err
	}
	out := &pwconsole.RemainingWork{
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

// BringBackOptions holds the arguments and flags of "backend-server bring-back".
type BringBackOptions struct {
	pwmark.Options
}

// Help implements kong.HelpProvider.
func (BringBackOptions) Help() string {
	return pwconsole.Examples(`backend-server bring-back lantern-hakata-07`)
}

// Run brings a backend server back into service.
func (o *BringBackOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.BringBack(ctx, env, collection)
}

// ListOptions holds the flags of "backend-server list".
type ListOptions struct {
	pwconsole.EntryFlags
	Service    string `help:"Only servers of this service." placeholder:"NAME"`
	DataCentre string `help:"Only servers of this data centre." placeholder:"NAME"`
}

// Help implements kong.HelpProvider.
func (ListOptions) Help() string {
	return pwconsole.Examples(`backend-server list --service lantern --data-centre hakata`)
}

// Run fetches the backend servers page by page and lists them.
func (o *ListOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	all := &pwoperator.BackendServerList{
		BackendServers: []pwoperator.BackendServer{},
	}
	query := url.Values{
		"service":     {o.Service},
		"data_centre": {o.DataCentre},
	}
	for range maxPages {
		page, err := pwconsole.Fetch[pwoperator.BackendServerList](ctx, env, o.EntryFlags, "/"+collection, query)
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
	return env.Print(o.OutputFlags, all, pwconsole.Table{
		Header: []string{"backend server", "service", "data centre", "state", "running", "bound", "long", "reason"},
		Rows: lo.Map(all.BackendServers, func(s pwoperator.BackendServer, _ int) []string {
			return []string{s.ID, s.Service, s.DataCentre, string(s.State), strconv.Itoa(s.Running),
				strconv.Itoa(s.RunningBound), strconv.Itoa(s.RunningLong), s.Reason}
		}),
		Notes: pwconsole.StaleNote(all.Freshness),
	})
}
