// Package pwconsole is what the operators' commands have in common: streams,
// flags of the connection, output as tables, tab-separated lines or JSON, and
// waiting until a change is in force.
//
// # Usage
//
//	env := pwconsole.NewEnv(os.Stdin, os.Stdout, os.Stderr)
//	client, err := env.Client(flags)
//	err = env.Print(flags, status, table)
//
// A table is aligned and has a header on a terminal. In a pipe it is one line
// of tab-separated fields for each row, without a header; columns are only
// ever added at the end.
package pwconsole

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwsecurity"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

const (
	maxCredentialFile = 4 << 10
	maxCAFile         = 1 << 20

	credentialVariable = "POMELOWEIR_CREDENTIAL"
)

// Env carries the streams of a command and makes its client when needed.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// OutTerminal and ErrTerminal tell whether a person reads the stream.
	OutTerminal, ErrTerminal bool
	// HTTP replaces the client that the flags describe, for tests.
	HTTP *http.Client
	// NewID returns identifiers of proposals.
	NewID func() string
	// Getenv reads the environment. The credential is not a flag, because
	// arguments are visible to other users of the computer.
	Getenv func(string) string

	json bool
}

// NewEnv returns the environment of a process.
func NewEnv(in io.Reader, out, errOut io.Writer) *Env {
	return &Env{
		In:          in,
		Out:         out,
		Err:         errOut,
		OutTerminal: isTerminal(out),
		ErrTerminal: isTerminal(errOut),
		NewID:       func() string { return "prop-" + rand.Text() },
		Getenv:      os.Getenv,
	}
}

func isTerminal(w io.Writer) bool {
	f, ok := w.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// Output holds the flags of the form of the output.
type Output struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// Flags are the flags of all commands that talk to an entry.
type Flags struct {
	Output
	Entry          string        `help:"URL of an entry." env:"POMELOWEIR_ENTRY" placeholder:"URL"`
	CredentialFile string        `help:"File with the operator credential; default: the variable POMELOWEIR_CREDENTIAL." placeholder:"FILE"`
	CAFile         string        `name:"ca-file" help:"PEM file of the authorities that sign the entries' certificates; default: those of this computer." env:"POMELOWEIR_CA" placeholder:"FILE"`
	Timeout        time.Duration `help:"Longest time of the command, without waiting." default:"30s"`
}

// Client returns the client that the flags describe.
func (e *Env) Client(f Flags) (*pwclient.Client, error) {
	e.json = f.JSON
	if f.Entry == "" {
		return nil, usage("--entry: found nothing; allowed: the URL of an entry, here or in the variable POMELOWEIR_ENTRY")
	}
	credential := e.Getenv(credentialVariable)
	if f.CredentialFile != "" {
		data, err := readFile("--credential-file", f.CredentialFile, maxCredentialFile)
		if err != nil {
			return nil, err
		}
		credential = string(data)
	}
	if strings.TrimSpace(credential) == "" {
		return nil, usage("--credential-file: found nothing; allowed: a file with an operator credential, or the credential in the variable POMELOWEIR_CREDENTIAL")
	}
	client := e.HTTP
	if client == nil {
		cfg, err := tlsConfig(f)
		if err != nil {
			return nil, err
		}
		client = pwtransport.NewClient(cfg)
	}
	return pwclient.New(pwclient.Config{
		Entry:      f.Entry,
		Credential: credential,
		HTTP:       client,
	})
}

// tlsConfig checks an entry for the name of its role when its authorities are
// given, because entries are reached by IP address.
func tlsConfig(f Flags) (*tls.Config, error) {
	if !strings.HasPrefix(f.Entry, "https:") {
		return nil, nil
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
	}
	if f.CAFile == "" {
		return cfg, nil
	}
	data, err := readFile("--ca-file", f.CAFile, maxCAFile)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs = x509.NewCertPool()
	cfg.ServerName = pwsecurity.RoleEntry.DNSName()
	if !cfg.RootCAs.AppendCertsFromPEM(data) {
		return nil, usage("--ca-file: found no certificate in %s; allowed: PEM certificates", f.CAFile)
	}
	return cfg, nil
}

func usage(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, pwclient.CauseUsage, format, args...)
}

// readFile reads a file that an argument names.
func readFile(argument, name string, limit int) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: allowed: a file that can be read", argument)
	}
	defer func() { _ = f.Close() }()
	return readAll(f, name, limit)
}

func readAll(r io.Reader, name string, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s cannot be read", name)
	}
	if len(data) > limit {
		return nil, usage("%s: found more than %d bytes; allowed: at most %d bytes", name, limit, limit)
	}
	return data, nil
}

// ReadInput reads a file, or standard input when the name is "-".
func (e *Env) ReadInput(name string, limit int) ([]byte, error) {
	if name == "-" {
		return readAll(e.In, "standard input", limit)
	}
	return readFile("<file>", name, limit)
}

// Table is a result for people and for pipes.
type Table struct {
	// Header names the columns. Without it the rows are for pipes only.
	Header []string
	Rows   [][]string
	// Notes are lines below the table, printed on a terminal only.
	Notes []string
}

// Print writes v as JSON or t as a table.
func (e *Env) Print(o Output, v any, t Table) error {
	e.json = o.JSON
	if o.JSON {
		return e.PrintJSON(v)
	}
	if !e.OutTerminal {
		for _, row := range t.Rows {
			if _, err := fmt.Fprintln(e.Out, strings.Join(lo.Map(row, clean), "\t")); err != nil {
				return err
			}
		}
		return nil
	}
	const minWidth, tabWidth, padding = 0, 8, 2
	w := tabwriter.NewWriter(e.Out, minWidth, tabWidth, padding, ' ', 0)
	if len(t.Rows) > 0 && len(t.Header) > 0 {
		fmt.Fprintln(w, strings.ToUpper(strings.Join(t.Header, "\t")))
	}
	rows := t.Rows
	if len(t.Header) == 0 {
		rows = nil
	}
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(lo.Map(row, func(c string, i int) string { return lo.CoalesceOrEmpty(clean(c, i), "-") }), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range t.Notes {
		fmt.Fprintln(e.Out, clean(n, 0))
	}
	return nil
}

// PrintJSON writes v as indented JSON.
func (e *Env) PrintJSON(v any) error {
	enc := json.NewEncoder(e.Out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// clean replaces control characters, which would break the columns or act on
// the terminal; texts such as reasons come from other operators.
func clean(s string, _ int) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || unicode.Is(unicode.Cf, r) {
			return ' '
		}
		return r
	}, s)
}

// SetOutput makes errors follow the form of the output from the start of a
// command.
func (e *Env) SetOutput(o Output) { e.json = o.JSON }

// Fetch reads one resource within the command's timeout.
func Fetch[T any](ctx context.Context, e *Env, f Flags, path string, query url.Values) (*T, error) {
	client, err := e.Client(f)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	return pwclient.Get[T](ctx, client, path, query)
}

// StaleNote warns when what is shown may be old.
func StaleNote(f pwoperator.Freshness) []string {
	if !f.Stale {
		return nil
	}
	return []string{"This may be old: " + f.Detail + "."}
}

// Examples formats example command lines for the help of a command.
func Examples(lines ...string) string {
	return "Examples:\n" + strings.Join(lo.Map(lines, func(l string, _ int) string { return "  pomeloweir " + l }), "\n")
}
