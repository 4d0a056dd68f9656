// Package pwdatacentre implements the "data-centre" commands, which take data
// centres out of service, bring them back and list them.
//
// # Usage
//
//	opts := pwdatacentre.ListOptions{}
//	err := opts.Run(ctx, env)
package pwdatacentre

import (
	"context"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwmark"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// collection is the path segment of the data centres in the operators' interface.
const collection = "data-centres"

// Command groups the "data-centre" commands.
type Command struct {
	TakeOut   TakeOutOptions   `cmd:"" aliases:"out" help:"Take a data centre out of service: it gets no new work, and running requests finish or migrate."`
	BringBack BringBackOptions `cmd:"" aliases:"back" help:"Bring a data centre back into service; its backend servers warm up."`
	List      ListOptions      `cmd:"" aliases:"ls" help:"List the data centres with their state."`
}

// TakeOutOptions holds the arguments and flags of "data-centre take-out".
type TakeOutOptions struct {
	pwmark.TakeOutOptions
}

// Help implements kong.HelpProvider.
func (TakeOutOptions) Help() string {
	return pwconsole.Examples(`data-centre take-out hakata --reason "cooling" --wait`, `data-centre take-out hakata --reason "returned at night" --drain`)
}

// Run takes a data centre out of service.
func (o *TakeOutOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.TakeOut(ctx, env, collection, readRemaining)
}

// readRemaining returns the work that still runs in a data centre.
func readRemaining(ctx context.Context, client *pwclient.Client, name string) (*pwconsole.RemainingWork, error) {
	list, err := pwclient.Get[pwoperator.DataCentreList](ctx, client, "/"+collection, nil)
	if err != nil {
		return nil, err
	}
	d, _ := lo.Find(list.DataCentres, func(d pwoperator.DataCentre) bool { return d.Name == name })
	return &pwconsole.RemainingWork{
		Running:     d.Running,
		RunningLong: d.RunningLong,
		Servers:     d.Servers,
		Watched:     d.Watched,
		Reporting:   d.Reporting,
	}, nil
}

// BringBackOptions holds the arguments and flags of "data-centre bring-back".
type BringBackOptions struct {
	pwmark.Options
}

// Help implements kong.HelpProvider.
func (BringBackOptions) Help() string {
	return pwconsole.Examples(`data-centre bring-back hakata --wait`)
}

// Run brings a data centre back into service.
func (o *BringBackOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	return o.BringBack(ctx, env, collection)
}

// ListOptions holds the flags of "data-centre list".
type ListOptions struct {
	pwconsole.EntryFlags
}

// Help implements kong.HelpProvider.
func (ListOptions) Help() string {
	return pwconsole.Examples(`data-centre list`)
}

// Run lists the data centres.
func (o *ListOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	out, err := pwconsole.Fetch[pwoperator.DataCentreList](ctx, env, o.EntryFlags, "/"+collection, nil)
	if err != nil {
		return err
	}
	return env.Print(o.OutputFlags, out, pwconsole.Table{
		Header: []string{"data centre", "state", "servers", "running", "long", "services", "reason"},
		Rows: lo.Map(out.DataCentres, func(d pwoperator.DataCentre, _ int) []string {
			return []string{d.Name, lo.Ternary(d.InService, "in_service", "out_of_service"), strconv.Itoa(d.Servers),
				strconv.Itoa(d.Running), strconv.Itoa(d.RunningLong), strings.Join(d.Services, ","), d.Reason}
		}),
		Notes: pwconsole.StaleNote(out.Freshness),
	})
}
