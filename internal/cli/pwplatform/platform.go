// Package pwplatform implements the "platform" commands, which show the contents
// of the store of the users' platform as the gateways read them, and check
// configuration files. The commands never write to the store: operators change it
// with the platform's own tools.
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

// storeTimeout bounds the time to read the tables of the store.
const storeTimeout = 10 * time.Second

// Command groups the "platform" commands.
type Command struct {
	Status   StatusOptions   `cmd:"" help:"Show the configuration, the gateways and the backend servers in the platform's store."`
	Validate ValidateOptions `cmd:"" help:"Check a configuration file of operators as a gateway reads it."`
	Diff     DiffOptions     `cmd:"" help:"Compare two configuration files of operators."`
}

// StatusOptions holds the flags of "platform status".
type StatusOptions struct {
	pwconsole.OutputFlags
	Store string `required:"" help:"Address of the platform's store." placeholder:"IP:PORT"`
}

// Help implements kong.HelpProvider.
func (StatusOptions) Help() string {
	return pwconsole.Examples(`platform status --store 10.200.1.7:8223`, `platform status --store 10.200.1.7:8223 --json`)
}

// Status summarises the contents of the store. UnreadableRows holds the keys of
// rows that could not be decoded, with the name of their table.
type Status struct {
	Version        int64     `json:"version"`
	Routes         int       `json:"routes"`
	OutOfService   []string  `json:"data_centres_out_of_service"`
	Gateways       []string  `json:"gateways"`
	Services       []Service `json:"services"`
	UnreadableRows []string  `json:"unreadable_rows"`
}

// Service counts the backend servers of one service by state.
type Service struct {
	Service  string `json:"service"`
	Ready    int    `json:"ready"`
	Draining int    `json:"draining"`
	Cold     int    `json:"cold"`
}

// Run reads the store and prints its status.
func (o *StatusOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	client := platform.NewStoreClient(pwdeployment.Store{
		Address: o.Store,
	})
	operatorRows, err := platform.NewOperatorTable(client).List(ctx)
	if err != nil {
		return wrapStoreError(err)
	}
	serverRows, err := platform.NewServerTable(client).List(ctx)
	if err != nil {
		return wrapStoreError(err)
	}
	instanceRows, err := platform.NewInstanceTable(client).List(ctx)
	if err != nil {
		return wrapStoreError(err)
	}
	status := newStatus(operatorRows.Items, serverRows.Items, instanceRows.Items)
	table := pwconsole.Table{
		Header: []string{"service", "ready", "draining", "cold"},
	}
	for _, s := range status.Services {
		table.Rows = append(table.Rows, []string{s.Service, strconv.Itoa(s.Ready), strconv.Itoa(s.Draining), strconv.Itoa(s.Cold)})
	}
	if !o.JSON {
		if err := writeSummary(env, status); err != nil {
			return err
		}
	}
	return env.Print(o.OutputFlags, status, table)
}

// wrapStoreError adds the flag to check to an error of the store client.
func wrapStoreError(err error) error {
	return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseUnavailable,
		"reading the platform's store; check --store and whether this machine reaches it")
}

// newStatus summarises the rows of the three tables of the store.
func newStatus(operatorRows []pwcontrol.Item[pwcontrol.OperatorRow], serverRows []pwcontrol.Item[pwcatalog.BackendServer], instanceRows []pwcontrol.Item[pwinstance.Instance]) Status {
	status := Status{
		OutOfService:   []string{},
		Gateways:       []string{},
		Services:       []Service{},
		UnreadableRows: []string{},
	}
	for _, item := range operatorRows {
		switch {
		case item.Err != nil:
			status.UnreadableRows = append(status.UnreadableRows, "op/"+item.Key)
		case item.Value.Catalog != nil:
			status.Version, status.Routes = item.Value.Catalog.Version(), item.Value.Catalog.RouteCount()
		case item.Value.EvacuatedDataCentre != "":
			status.OutOfService = append(status.OutOfService, item.Value.EvacuatedDataCentre)
		}
	}
	counts := make(map[string]*Service)
	for _, item := range serverRows {
		if item.Err != nil {
			status.UnreadableRows = append(status.UnreadableRows, "servers/"+item.Key)
			continue
		}
		c := counts[item.Value.Service]
		if c == nil {
			c = &Service{
				Service: item.Value.Service,
			}
			counts[item.Value.Service] = c
		}
		switch {
		case item.Value.Draining:
			c.Draining++
		case item.Value.ColdRemaining > 0:
			c.Cold++
		default:
			c.Ready++
		}
	}
	for _, c := range counts {
		status.Services = append(status.Services, *c)
	}
	slices.SortFunc(status.Services, func(a, b Service) int { return cmp.Compare(a.Service, b.Service) })
	for _, item := range instanceRows {
		if item.Err == nil && item.Value.Role == pwinstance.RoleGateway {
			status.Gateways = append(status.Gateways, string(item.Value.ID))
		}
	}
	return status
}

func writeSummary(env *pwconsole.Env, status Status) error {
	out := []string{
		"configuration version " + strconv.FormatInt(status.Version, 10) + " with " + strconv.Itoa(status.Routes) + " routes",
		"data centres out of service: " + joinOrNone(status.OutOfService),
		"gateways: " + joinOrNone(status.Gateways),
	}
	if len(status.UnreadableRows) > 0 {
		out = append(out, "unreadable rows: "+strings.Join(status.UnreadableRows, ", "))
	}
	_, err := env.Out.Write([]byte(strings.Join(out, "\n") + "\n"))
	return err
}

func joinOrNone(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, ", ")
}

// ValidateOptions holds the arguments of "platform validate".
type ValidateOptions struct {
	File string `arg:"" help:"The configuration as operators write it."`
}

// Help implements kong.HelpProvider.
func (ValidateOptions) Help() string { return pwconsole.Examples(`platform validate config.json`) }

// Run checks a configuration file. The error lists all problems.
func (o *ValidateOptions) Run(env *pwconsole.Env) error {
	c, err := loadConfiguration(o.File)
	if err != nil {
		return err
	}
	if problems := c.Problems(); len(problems) > 0 {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: %s", o.File, strings.Join(problems, "; "))
	}
	_, err = env.Out.Write([]byte("version " + strconv.FormatInt(c.Version(), 10) + " with " + strconv.Itoa(c.RouteCount()) + " routes is valid.\n"))
	return err
}

// loadConfiguration reads and parses a configuration file. It does not check the
// contents; see Catalog.Problems.
func loadConfiguration(path string) (*pwcatalog.Catalog, error) {
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

// DiffOptions holds the arguments and flags of "platform diff".
type DiffOptions struct {
	pwconsole.OutputFlags
	Old string `arg:"" help:"The older configuration."`
	New string `arg:"" help:"The newer configuration."`
}

// Help implements kong.HelpProvider.
func (DiffOptions) Help() string { return pwconsole.Examples(`platform diff old.json new.json`) }

// Run prints the changes from the older to the newer configuration.
func (o *DiffOptions) Run(env *pwconsole.Env) error {
	older, err := loadConfiguration(o.Old)
	if err != nil {
		return err
	}
	newer, err := loadConfiguration(o.New)
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
	return env.Print(o.OutputFlags, changes, table)
}
