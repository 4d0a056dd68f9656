// Package pwdemo implements the "demo" command, which runs a whole deployment in
// one process on loopback, sends a short scripted load through it and prints a
// table of the measured latencies.
//
// # Usage
//
//	opts := pwdemo.NewOptions(os.Stdout, os.Stderr)
//	err := pwdemo.Run(ctx, opts)
package pwdemo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeengine"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakesite"
	"github.com/pomeloweir/pomeloweir/internal/node/pwtransport"
)

// Options holds the flags and streams of the "demo" command.
type Options struct {
	Serve bool   `help:"Keep running after the load and print example requests."`
	Logs  bool   `help:"Print the decision logs of all processes to standard error."`
	Seed  uint64 `default:"1" help:"Seed of the scripted load."`

	out    io.Writer
	errOut io.Writer
	client *http.Client
}

// NewOptions returns options that write the results to out and logs to errOut.
func NewOptions(out, errOut io.Writer) *Options {
	return &Options{
		out:    out,
		errOut: errOut,
		client: pwtransport.NewClient(nil),
	}
}

// Sizes of the demo. The fake engines have a raised prefill rate, in tokens per
// second, so that the million-token prompt does not dominate the running time.
const (
	enginesPerCentre = 3
	plainPerCentre   = 1
	prefillRate      = 240_000
	shutdownTimeout  = 20 * time.Second
)

// DataCentres are the data centres of the demo.
var DataCentres = []pwrequest.DataCentre{"hakata", "dazaifu", "kurume"}

// Run starts the site, sends the load, takes a data centre out of service and
// brings it back, and prints the measurements. It returns an error if an answer was
// wrong or missing, or a reservation did not run exactly once.
func Run(ctx context.Context, opts *Options) error {
	log := io.Discard
	if opts.Logs {
		log = opts.errOut
	}
	site, err := pwfakesite.Start(ctx, pwfakesite.Options{
		DataCentres:           DataCentres,
		EnginesPerCentre:      enginesPerCentre,
		PlainServersPerCentre: plainPerCentre,
		Log:                   log,
		Engine: pwfakeengine.Options{
			StartWarm:   true,
			PrefillRate: prefillRate,
		},
	})
	if err != nil {
		return err
	}
	defer site.Close()
	fmt.Fprintf(opts.out, "%d entries, %d engines and %d plain service agents in %d data centres on loopback\n\n",
		site.Entries(), len(site.Engines()), plainPerCentre*len(DataCentres), len(DataCentres))
	l := newScriptedLoad(site, opts)
	if err := l.run(ctx); err != nil {
		return err
	}
	l.print(opts.out)
	if err := l.check(); err != nil {
		return err
	}
	if opts.Serve {
		printExamples(opts.out, site)
		<-ctx.Done()
	}
	shutdown, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return site.Shutdown(shutdown)
}

func printExamples(w io.Writer, site *pwfakesite.Site) {
	url := site.EntryURL(0)
	fmt.Fprintf(w, `
Entries:
`)
	for i := range site.Entries() {
		fmt.Fprintf(w, "  %s\n", site.EntryURL(i))
	}
	fmt.Fprintf(w, `
Stream an answer:
  curl -N -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -d '{"model":"%[3]s","stream":true,"max_tokens":16,"messages":[{"role":"user","content":"Repaint notes for one lantern"}]}' %[1]s/v1/chat/completions
Make a reservation that runs at most once:
  curl -H 'Authorization: Bearer %[2]s' -H 'Content-Type: application/json' -H 'Idempotency-Key: scaffold-7' -d '{"item":"scaffold"}' %[1]s/v1/services/%[4]s/methods/reserve
Look at the metrics:
  curl %[1]s/metrics

Press Ctrl-C to stop.
`, url, pwfakesite.Credential, pwfakesite.Model, pwfakesite.PlainService)
}
