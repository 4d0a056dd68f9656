// Package pwservice implements the "service" commands, which check, compare, apply and
// show service documents.
//
// # Usage
//
//	opts := pwservice.ApplyOptions{
//		File:   "lantern.json",
//		Expect: 12,
//	}
//	err := opts.Run(ctx, env)
package pwservice

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/state/pwdocument"
)

// Command groups the "service" commands.
type Command struct {
	Validate ValidateOptions `cmd:"" aliases:"check" help:"Check a document without an entry."`
	Diff     DiffOptions     `cmd:"" help:"Show what a document would change."`
	Apply    ApplyOptions    `cmd:"" help:"Apply a document if the version last read is still current."`
	List     ListOptions     `cmd:"" aliases:"ls" help:"List the documents."`
	View     ViewOptions     `cmd:"" aliases:"show" help:"Print a document, the current or an earlier version."`
	History  HistoryOptions  `cmd:"" aliases:"log" help:"List the changes of a document, newest first."`
}

// readDocument reads a document from a file, or from standard input if name is "-", and
// checks it.
func readDocument(env *pwconsole.Env, name string) ([]byte, *pwdocument.Document, error) {
	data, err := env.ReadInput(name, pwdocument.MaxDocumentBytes)
	if err != nil {
		return nil, nil, err
	}
	doc, err := pwdocument.Parse(data)
	return data, doc, err
}

// ValidateOptions holds the arguments and flags of "service validate".
type ValidateOptions struct {
	pwconsole.OutputFlags
	File string `arg:"" help:"Document; - reads standard input."`
}

// Help implements kong.HelpProvider.
func (ValidateOptions) Help() string {
	return pwconsole.Examples(`service validate lantern.json`, `service view lantern | pomeloweir service validate -`)
}

// validationResult summarises a valid document.
type validationResult struct {
	Name       string `json:"name"`
	Owner      string `json:"owner"`
	Kind       string `json:"kind"`
	Servers    int    `json:"backend_servers"`
	Workspaces int    `json:"workspaces"`
}

// Run checks a document. The error lists all problems.
func (o *ValidateOptions) Run(_ context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.OutputFlags)
	_, doc, err := readDocument(env, o.File)
	if err != nil {
		return err
	}
	v := validationResult{
		Name:       doc.Name,
		Owner:      doc.Owner,
		Kind:       string(doc.Kind),
		Servers:    lo.SumBy(doc.DataCentres, func(c pwdocument.DataCentre) int { return c.BackendServers }),
		Workspaces: len(doc.Workspaces),
	}
	return env.Print(o.OutputFlags, v, pwconsole.Table{
		Header: []string{"service", "owner", "kind", "servers", "workspaces"},
		Rows:   [][]string{{v.Name, v.Owner, v.Kind, strconv.Itoa(v.Servers), strconv.Itoa(v.Workspaces)}},
		Notes:  []string{"The document is valid."},
	})
}

// DiffOptions holds the arguments and flags of "service diff".
type DiffOptions struct {
	pwconsole.EntryFlags
	File string `arg:"" help:"Document; - reads standard input."`
}

// Help implements kong.HelpProvider.
func (DiffOptions) Help() string {
	return pwconsole.Examples(`service diff lantern.json`)
}

// diffResult lists the differences from the current version. Sequence is 0 if the
// service does not exist.
type diffResult struct {
	Service  string   `json:"service"`
	Sequence uint64   `json:"sequence"`
	Diff     []string `json:"diff"`
}

// Run compares a document with the current version of the service.
func (o *DiffOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.OutputFlags)
	_, doc, err := readDocument(env, o.File)
	if err != nil {
		return err
	}
	view, err := fetchDocument(ctx, env, o.EntryFlags, doc.Name, 0)
	if err != nil && pwverdict.CauseOf(err) != pwverdict.CauseNotFound {
		return err
	}
	out := diffResult{
		Service: doc.Name,
		Diff:    []string{},
	}
	var current *pwdocument.Document
	if err == nil {
		out.Sequence = view.Change.Sequence
		if current, err = pwdocument.Parse(view.Document); err != nil {
			return pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseInternal, "current version cannot be read by this program; use the program's version of the entries")
		}
	}
	out.Diff = append(out.Diff, pwdocument.Diff(current, doc)...)
	note := fmt.Sprintf("Fields that differ from version %d: %d. Apply with --expect %d.", out.Sequence, len(out.Diff), out.Sequence)
	switch {
	case out.Sequence == 0:
		note = fmt.Sprintf("Service %s does not exist yet. Apply without --expect.", doc.Name)
	case len(out.Diff) == 0:
		note = fmt.Sprintf("No differences from version %d.", out.Sequence)
	}
	return env.Print(o.OutputFlags, out, pwconsole.Table{
		Header: []string{"change"},
		Rows:   lo.Map(out.Diff, func(l string, _ int) []string { return []string{l} }),
		Notes:  []string{note},
	})
}

// fetchDocument reads one version of a document; version 0 is the current one.
func fetchDocument(ctx context.Context, env *pwconsole.Env, f pwconsole.EntryFlags, name string, version uint64) (*pwoperator.DocumentView, error) {
	query := url.Values{}
	if version > 0 {
		query.Set("sequence", strconv.FormatUint(version, 10))
	}
	return pwconsole.Fetch[pwoperator.DocumentView](ctx, env, f, pwclient.ServicePath(name), query)
}

// ApplyOptions holds the arguments and flags of "service apply".
type ApplyOptions struct {
	pwconsole.EntryFlags
	pwconsole.ChangeFlags
	File   string `arg:"" help:"Document; - reads standard input."`
	Expect uint64 `help:"Version last read, as printed by view, diff and history; left out for a new service." placeholder:"VERSION"`
}

// Help implements kong.HelpProvider.
func (ApplyOptions) Help() string {
	return pwconsole.Examples(`service apply lantern.json`, `service apply lantern.json --expect 12 --wait`)
}

// Run applies a document if the version in --expect is still current.
func (o *ApplyOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	env.SetOutput(o.OutputFlags)
	data, doc, err := readDocument(env, o.File)
	if err != nil {
		return err
	}
	return env.Propose(ctx, o.EntryFlags, o.ChangeFlags, pwclient.Proposal{
		Path: pwclient.ServicePath(doc.Name),
		Fields: map[string]any{
			"document": json.RawMessage(data),
			"expect":   o.Expect,
		},
	}, fmt.Sprintf("document of %s is applied", doc.Name), nil)
}

// ListOptions holds the flags of "service list".
type ListOptions struct {
	pwconsole.EntryFlags
}

// Help implements kong.HelpProvider.
func (ListOptions) Help() string {
	return pwconsole.Examples(`service list`, `service list --json`)
}

// Run lists the documents.
func (o *ListOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	out, err := pwconsole.Fetch[pwoperator.DocumentList](ctx, env, o.EntryFlags, "/services", nil)
	if err != nil {
		return err
	}
	return env.Print(o.OutputFlags, out, pwconsole.Table{
		Header: []string{"service", "owner", "kind", "version", "accepted"},
		Rows: lo.Map(out.Documents, func(d pwoperator.DocumentSummary, _ int) []string {
			return []string{d.Name, d.Owner, d.Kind, strconv.FormatUint(d.Sequence, 10), d.AcceptedAt}
		}),
		Notes: pwconsole.StaleNote(out.Freshness),
	})
}

// ViewOptions holds the arguments and flags of "service view".
type ViewOptions struct {
	pwconsole.EntryFlags
	Name    string `arg:"" help:"Name of the service."`
	Version uint64 `help:"Earlier version, from the history." placeholder:"VERSION"`
}

// Help implements kong.HelpProvider.
func (ViewOptions) Help() string {
	return pwconsole.Examples(`service view lantern > lantern.json`, `service view lantern --version 12`)
}

// Run prints a document to standard output and its version to standard error, so that
// the output can be edited and applied.
func (o *ViewOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	out, err := fetchDocument(ctx, env, o.EntryFlags, o.Name, o.Version)
	if err != nil {
		return err
	}
	if o.JSON {
		return env.PrintJSON(out)
	}
	var text bytes.Buffer
	if out.Change.Deleted {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound, "service %q was deleted in version %d; look at earlier ones with service history", o.Name, out.Change.Sequence)
	}
	if err := json.Indent(&text, out.Document, "", "  "); err != nil {
		return err
	}
	if _, err := fmt.Fprintln(env.Out, text.String()); err != nil {
		return err
	}
	note := fmt.Sprintf("version %d; apply a changed document with --expect %d", out.Change.Sequence, out.Change.Sequence)
	if o.Version > 0 {
		note = fmt.Sprintf("version %d", out.Change.Sequence)
	}
	if out.Detail != "" {
		note += "; " + out.Detail
	}
	fmt.Fprintln(env.Err, note)
	return nil
}

// HistoryOptions holds the arguments and flags of "service history".
type HistoryOptions struct {
	pwconsole.EntryFlags
	Name  string `arg:"" help:"Name of the service."`
	Limit int    `help:"Largest number of changes, up to 100." default:"20"`
}

// Help implements kong.HelpProvider.
func (HistoryOptions) Help() string {
	return pwconsole.Examples(`service history lantern --limit 5`)
}

// Run lists the changes of a document.
func (o *HistoryOptions) Run(ctx context.Context, env *pwconsole.Env) error {
	out, err := pwconsole.Fetch[pwoperator.History](ctx, env, o.EntryFlags, pwclient.ServicePath(o.Name)+"/history", url.Values{
		"limit": {strconv.Itoa(o.Limit)},
	})
	if err != nil {
		return err
	}
	return env.Print(o.OutputFlags, out, pwconsole.Table{
		Header: []string{"version", "accepted", "operator", "team", "proposal"},
		Rows: lo.Map(out.Changes, func(c pwoperator.Change, _ int) []string {
			return []string{strconv.FormatUint(c.Sequence, 10), c.AcceptedAt, c.Operator, c.Team, c.ProposalID}
		}),
		Notes: []string{fmt.Sprintf("Look at one with service view %s --version VERSION.", o.Name)},
	})
}
