// Package pwplatform is the "platform" command group: it shows what the users'
// platform holds, as the gateways see it. Operators write the platform's store
// themselves; nothing here changes it.
//
// # Usage
//
//	opts := pwplatform.StatusOptions{}
//	opts.Store = "10.200.1.7:8223"
//	err := opts.Run(ctx, env)
package pwplatform

import (
	"cmp"
	"context"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
	"github.com/pomeloweir/pomeloweir/platform"
)

// storeTimeout bounds one reading of the store.
const storeTimeout = 10 * time.Second

// Command is the group.
type Command struct {
	Status   StatusOptions   `cmd:"" help:"Show the configuration, the gateways and the backend servers in the platform's store."`
	Validate ValidateOptions `cmd:"" help:"Check a configuration file of operators as a gateway reads it."`
	Diff     DiffOptions     `cmd:"" help:"Compare two configuration files of operators."`
}

// StatusOptions are the inputs of "platform status".
type StatusOptions struct {
	pwconsole.Output
	Store string `required:"" help:"Address of the platform's store." placeholder:"IP:PORT"`
}

// Help returns examples.
func (StatusOptions) Help() string {
	return pwconsole.Examples(`platform status --store 10.200.1.7:8223`, `platform status --store 10.200.1.7:8223 --json`)
}

// Status is what the store holds.
type Status struct {
	Version    int64     `json:"version"`
	Routes     int       `json:"routes"`
	OutOfUse   []string  `json:"data_centres_out_of_service"`
	Gateways   []string  `json:"gateways"`
	Services   []Service `json:"services"`
	Unreadable []string  `json:"unreadable_rows"`
}

// Service counts the backend servers of one service.
type Service struct {
	Service  string `json:"service"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Cold     int    `json:"cold"`
}

// Run prints what the store holds.
func (o *StatusOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	client := platform.NewStoreClient(pwdeployment.Store{
		Address: o.Store,
	})
	operator, err := platform.NewOperatorTable(client).List(ctx)
	if err != nil {
		return unreachable(err)
	}
	servers, err := platform.NewServerTable(client).List(ctx)
	if err != nil {
		return unreachable(err)
	}
	peers, err := platform.NewInstanceTable(client).List(ctx)
	if err != nil {
		return unreachable(err)
	}
	st := status(operator.Items, servers.Items, peers.Items)
	table := pwconsole.Table{
		Header: []string{"service", "ready", "draining", "cold"},
	}
	for _, s := range st.Services {
		table.Rows = append(table.Rows, []string{s.Service, strconv.Itoa(s.Ready), strconv.Itoa(s.Draining), strconv.Itoa(s.Cold)})
	}
	if !o.JSON {
		if err := writeSummary(env, st); err != nil {
			return err
		}
	}
	return env.Print(o.Output, st, table)
}

func unreachable(err error) error {
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable,
		"reading the platform's store; check --store and whether this machine reaches it")
}

func status(operator []pwcontrol.Item[pwcontrol.OperatorRow], servers []pwcontrol.Item[pwcatalog.BackendServer], peers []pwcontrol.Item[pwinstance.Instance]) Status {
	st := Status{
		OutOfUse:   []string{},
		Gateways:   []string{},
		Services:   []Service{},
		Unreadable: []string{},
	}
	for _, it := range operator {
		switch {
		case it.Err != nil:
			st.Unreadable = append(st.Unreadable, "op/"+it.Key)
		case it.Value.Catalog != nil:
			st.Version, st.Routes = it.Value.Catalog.Version(), it.Value.Catalog.RouteCount()
		case it.Value.EvacuatedDataCentre != "":
			st.OutOfUse = append(st.OutOfUse, it.Value.EvacuatedDataCentre)
		}
	}
	counts := make(map[string]*Service)
	for _, it := range servers {
		if it.Err != nil {
			st.Unreadable = append(st.Unreadable, "servers/"+it.Key)
			continue
		}
		c := counts[it.Value.Service]
		if c == nil {
			c = &Service{
				Service: it.Value.Service,
			}
			counts[it.Value.Service] = c
		}
		switch {
		case it.Value.Draining:
			c.Draining++
		case it.Value.ColdRemaining > 0:
			c.Cold++
		default:
			c.Ready++
		}
	}
	for _, c := range counts {
		st.Services = append(st.Services, *c)
	}
	slices.SortFunc(st.Services, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	for _, it := range peers {
		if it.Err == nil && it.Value.Role == pwinstance.RoleGateway {
			st.Gateways = append(st.Gateways, string(it.Value.ID))
		}
	}
	return st
}

func writeSummary(env *pwconsole.Env, st Status) error {
	out := []string{
		"configuration version " + strconv.FormatInt(st.Version, 10) + " with " + strconv.Itoa(st.Routes) + " routes",
		"data centres out of service: " + orNone(st.OutOfUse),
		"gateways: " + orNone(st.Gateways),
	}
	if len(st.Unreadable) > 0 {
		out = append(out, "rows that name nothing: "+strings.Join(st.Unreadable, ", "))
	}
	_, err := env.Out.Write([]byte(strings.Join(out, "\n") + "\n"))
	return err
}

func orNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// ValidateOptions are the inputs of "platform validate".
type ValidateOptions struct {
	File string `arg:"" help:"The configuration as operators write it."`
}

// Help returns examples.
func (ValidateOptions) Help() string { return pwconsole.Examples(`platform validate config.json`) }

// Run checks a configuration.
func (o *ValidateOptions) Run(env *pwconsole.Env) error {
	c, err := load(o.File)
	if err != nil {
		return err
	}
	if problems := c.Problems(); len(problems) > 0 {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: %s", o.File, strings.Join(problems, "; "))
	}
	_, err = env.Out.Write([]byte("version " + strconv.FormatInt(c.Version(), 10) + " with " + strconv.Itoa(c.RouteCount()) + " routes is valid.\n"))
	return err
}

func load(path string) (*pwcatalog.Catalog, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "reading the configuration")
	}
	c, err := platform.ParseConfiguration(raw)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s", path)
	}
	return c, nil
}

// DiffOptions are the inputs of "platform diff".
type DiffOptions struct {
	pwconsole.Output
	Old string `arg:"" help:"The older configuration."`
	New string `arg:"" help:"The newer configuration."`
}

// Help returns examples.
func (DiffOptions) Help() string { return pwconsole.Examples(`platform diff old.json new.json`) }

// Run prints what changes.
func (o *DiffOptions) Run(env *pwconsole.Env) error {
	older, err := load(o.Old)
	if err != nil {
		return err
	}
	newer, err := load(o.New)
	if err != nil {
		return err
	}
	changes := older.Diff(newer)
	table := pwconsole.Table{
		Header: []string{"change"},
	}
	for _, c := range changes {
		table.Rows = append(table.Rows, []string{c})
	}
	return env.Print(o.Output, changes, table)
}
