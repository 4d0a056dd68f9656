// Package pwconsole holds the common parts of the operators' commands: streams,
// connection flags, output as tables, tab-separated lines or JSON, exit codes, and
// waiting until a change is in force.
//
// # Usage
//
//	env := pwconsole.NewEnv(os.Stdin, os.Stdout, os.Stderr)
//	client, err := env.Client(flags)
//	err = env.Print(flags.OutputFlags, status, table)
//
// On a terminal, a table is aligned and has a header. In a pipe, it is one line of
// tab-separated fields for each row, without a header; new columns are only added at
// the end, so that scripts keep working.
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
	maxCredentialFileBytes = 4 << 10
	maxCAFileBytes         = 1 << 20

	credentialVariable = "POMELOWEIR_CREDENTIAL"
)

// Env holds the streams and other dependencies of a command, which tests replace.
type Env struct {
	In       io.Reader
	Out, Err io.Writer
	// OutTerminal and ErrTerminal state whether the stream is a terminal.
	OutTerminal, ErrTerminal bool
	// HTTP replaces the HTTP client that the flags describe, for tests.
	HTTP *http.Client
	// NewID returns a new proposal identifier.
	NewID func() string
	// Getenv reads the environment variable with the credential. The credential is not
	// a flag, because arguments are visible to other users of the computer.
	Getenv func(string) string

	jsonOutput bool
}

// NewEnv returns an environment with the given streams, random proposal identifiers
// and the environment variables of the process.
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

// OutputFlags holds the flags for the format of the output.
type OutputFlags struct {
	JSON bool `name:"json" help:"Print JSON."`
}

// EntryFlags holds the flags of all commands that send requests to an entry.
type EntryFlags struct {
	OutputFlags
	Entry          string        `help:"URL of an entry." env:"POMELOWEIR_ENTRY" placeholder:"URL"`
	CredentialFile string        `help:"File with the operator credential; default: the variable POMELOWEIR_CREDENTIAL." placeholder:"FILE"`
	CAFile         string        `name:"ca-file" help:"PEM file of the authorities that sign the entries' certificates; default: those of this computer." env:"POMELOWEIR_CA" placeholder:"FILE"`
	Timeout        time.Duration `help:"Longest time of the command, without waiting." default:"30s"`
}

// Client returns a client for the entry and with the credential that the flags or
// environment variables name.
func (e *Env) Client(f EntryFlags) (*pwclient.Client, error) {
	e.jsonOutput = f.JSON
	if f.Entry == "" {
		return nil, usageErrorf("--entry: found nothing; allowed: the URL of an entry, here or in the variable POMELOWEIR_ENTRY")
	}
	credential := e.Getenv(credentialVariable)
	if f.CredentialFile != "" {
		data, err := readFile("--credential-file", f.CredentialFile, maxCredentialFileBytes)
		if err != nil {
			return nil, err
		}
		credential = string(data)
	}
	if strings.TrimSpace(credential) == "" {
		return nil, usageErrorf("--credential-file: found nothing; allowed: a file with an operator credential, or the credential in the variable POMELOWEIR_CREDENTIAL")
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

// tlsConfig returns the TLS configuration for an https URL, else nil. With a CA file,
// the entry's certificate must have the name of the entry role instead of the host in
// the URL, because entries are reached by IP address.
func tlsConfig(f EntryFlags) (*tls.Config, error) {
	if !strings.HasPrefix(f.Entry, "https:") {
		return nil, nil
	}
	cfg := &tls.Config{
		MinVersion: tls.VersionTLS13,
	}
	if f.CAFile == "" {
		return cfg, nil
	}
	data, err := readFile("--ca-file", f.CAFile, maxCAFileBytes)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs = x509.NewCertPool()
	cfg.ServerName = pwsecurity.RoleEntry.DNSName()
	if !cfg.RootCAs.AppendCertsFromPEM(data) {
		return nil, usageErrorf("--ca-file: found no certificate in %s; allowed: PEM certificates", f.CAFile)
	}
	return cfg, nil
}

func usageErrorf(format string, args ...any) error {
	return pwverdict.New(pwverdict.NotRun, pwclient.CauseUsage, format, args...)
}

// readFile reads a file of at most limit bytes. argument is the flag or argument that
// names the file, for the error message.
func readFile(argument, name string, limit int) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s: allowed: a file that can be read", argument)
	}
	defer func() { _ = f.Close() }()
	return readLimited(f, name, limit)
}

func readLimited(r io.Reader, name string, limit int) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "%s cannot be read", name)
	}
	if len(data) > limit {
		return nil, usageErrorf("%s: found more than %d bytes; allowed: at most %d bytes", name, limit, limit)
	}
	return data, nil
}

// ReadInput reads a file of at most limit bytes, or standard input if the name is "-".
func (e *Env) ReadInput(name string, limit int) ([]byte, error) {
	if name == "-" {
		return readLimited(e.In, "standard input", limit)
	}
	return readFile("<file>", name, limit)
}

// Table is the output of a command without --json.
type Table struct {
	// Header names the columns. Without a header, a terminal shows only the notes.
	Header []string
	Rows   [][]string
	// Notes are lines below the table. They are printed only on a terminal.
	Notes []string
}

// Print writes v as JSON if the flags ask for it, else t as a table.
func (e *Env) Print(o OutputFlags, v any, t Table) error {
	e.jsonOutput = o.JSON
	if o.JSON {
		return e.PrintJSON(v)
	}
	if !e.OutTerminal {
		for _, row := range t.Rows {
			if _, err := fmt.Fprintln(e.Out, strings.Join(lo.Map(row, replaceControlChars), "\t")); err != nil {
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
		fmt.Fprintln(w, strings.Join(lo.Map(row, func(c string, i int) string { return lo.CoalesceOrEmpty(replaceControlChars(c, i), "-") }), "\t"))
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, n := range t.Notes {
		fmt.Fprintln(e.Out, replaceControlChars(n, 0))
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

// replaceControlChars replaces control and format characters by spaces. Texts such as reasons come
// from other operators, and such characters would break the columns or control the
// terminal. The index is unused; it makes the signature fit lo.Map.
func replaceControlChars(s string, _ int) string {
	return strings.Map(func(r rune) rune {
		if unicode.IsControl(r) || unicode.Is(unicode.Cf, r) {
			return ' '
		}
		return r
	}, s)
}

// SetOutput sets the format in which PrintError writes errors. Commands call it first, so
// that errors before the output have the same format.
func (e *Env) SetOutput(o OutputFlags) { e.jsonOutput = o.JSON }

// Fetch reads one resource of an entry within the timeout of the flags.
func Fetch[T any](ctx context.Context, e *Env, f EntryFlags, path string, query url.Values) (*T, error) {
	client, err := e.Client(f)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	return pwclient.Get[T](ctx, client, path, query)
}

// StaleNote returns a note for the table if the state that the entry returned is stale.
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
