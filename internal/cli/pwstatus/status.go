// Package pwstatus implements the "status" command, which compares the specified
// with the observed state of the services.
//
// # Usage
//
//	opts := pwstatus.Options{
//		Service: "lantern",
//	}
//	err := opts.Run(ctx, env)
package pwstatus

import (
	"context"
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// Options holds the flags of the "status" command.
type Options struct {
	pwconsole.EntryFlags
	Service string `help:"Only this service." placeholder:"NAME"`
}

// Help implements kong.HelpProvider.
func (Options) Help() string {
	return `Each row is one service in one data centre: the backend servers in the document, those in the instance list, those whose
load reports this entry follows, and those that accept new work. An entry follows a bounded part of a large fleet.

` + pwconsole.Examples("status", "status --service lantern", "status --json")
}

// Run prints the specified and the observed state of each service in each data
// centre, and the conditions that explain the differences.
func (o *Options) Run(ctx context.Context, env *pwconsole.Env) error {
	query := url.Values{}
	if o.Service != "" {
		query.Set("service", o.Service)
	}
	s, err := pwconsole.Fetch[pwoperator.Status](ctx, env, o.EntryFlags, "/status", query)
	if err != nil {
		return err
	}
	table := pwconsole.Table{
		Header: []string{"service", "data centre", "state", "specified", "listed", "watched", "serving", "running", "long", "bound", "full", "conditions"},
	}
	table.Notes = append(table.Notes, lo.Map(s.Conditions, func(c pwoperator.Condition, _ int) string { return conditionNote("", c) })...)
	for _, service := range s.Services {
		for _, c := range service.Conditions {
			table.Notes = append(table.Notes, conditionNote(service.Name+": ", c))
		}
		for _, d := range service.DataCentres {
			table.Rows = append(table.Rows, statusRow(service, d))
			for _, c := range d.Conditions {
				table.Notes = append(table.Notes, conditionNote(service.Name+" in "+d.Name+": ", c))
			}
		}
	}
	return env.Print(o.OutputFlags, s, table)
}

func statusRow(s pwoperator.ServiceStatus, d pwoperator.CentreStatus) []string {
	numbers := lo.Map([]int{d.Specified, d.Listed, d.Watched, d.Serving, d.Running, d.RunningLong, d.Bound, d.FullBound},
		func(n, _ int) string { return strconv.Itoa(n) })
	codes := lo.Map(d.Conditions, func(c pwoperator.Condition, _ int) string { return string(c.Code) })
	out := []string{s.Name, d.Name, lo.Ternary(d.InService, "in_service", "out_of_service")}
	return append(append(out, numbers...), strings.Join(codes, ","))
}

func conditionNote(prefix string, c pwoperator.Condition) string {
	s := fmt.Sprintf("%s%s: %s", prefix, c.Code, c.Detail)
	if len(c.BackendServers) > 0 {
		s += " [" + strings.Join(c.BackendServers, " ") + "]"
	}
	return s
}
