package pwrequest

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwconsole"
	"github.com/pomeloweir/pomeloweir/internal/core/pwexplain"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
)

// ExplainOptions are the inputs of "request explain".
type ExplainOptions struct {
	ID   string   `arg:"" help:"Request identifier, or a beginning of it that is unique."`
	Logs []string `arg:"" optional:"" help:"Log files of the processes; standard input by default." type:"path"`
	JSON bool     `name:"json" help:"Print JSON."`
}

// Help returns examples.
func (ExplainOptions) Help() string {
	return "Reads the JSON lines of any number of processes and says why a request ended as it did.\n\n" +
		pwconsole.Examples(`request explain 9c41d07b front-1.log front-2.log`, `cat *.log | pomeloweir request explain 9c41d07b --json`)
}

// Run prints the explanation.
func (o *ExplainOptions) Run(env *pwconsole.Env) error {
	lines, bad, err := o.read(env.In)
	if err != nil {
		return err
	}
	ex, ok := pwexplain.Explain(lines, o.ID)
	if !ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound,
			"no line of %d names a request that begins with %q (%d lines could not be read); give the logs of all entries of that time",
			len(lines), o.ID, bad)
	}
	if o.JSON {
		return env.PrintJSON(ex)
	}
	return writeExplanation(env.Out, ex, bad)
}

func (o *ExplainOptions) read(in io.Reader) (lines []pwexplain.Line, bad int, err error) {
	if len(o.Logs) == 0 {
		return pwexplain.Parse(in)
	}
	for _, path := range o.Logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "opening a log")
		}
		more, n, err := pwexplain.Parse(f)
		// The file was only read; closing it can lose nothing.
		_ = f.Close()
		if err != nil {
			return nil, 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "reading %s", path)
		}
		lines, bad = append(lines, more...), bad+n
	}
	return lines, bad, nil
}

func writeExplanation(w io.Writer, ex pwexplain.Explanation, bad int) error {
	out := &printer{
		w: w,
	}
	out.printf("Request %s at %s: %s\n", ex.Request, ex.Instance, ex.Outcome)
	out.printf("%s\n", ex.Why)
	if ex.Error != "" {
		out.printf("Error: %s\n", ex.Error)
	}
	out.printf("\nDecisions:\n")
	out.steps(ex.Steps)
	if len(ex.Surrounding) > 0 {
		out.printf("\nMeanwhile, at this process and its backend servers:\n")
		out.steps(ex.Surrounding)
	}
	if ex.LinesLeftOut > 0 || bad > 0 {
		out.printf("\nLines left out by the process: %d; lines that could not be read: %d.\n", ex.LinesLeftOut, bad)
	}
	return out.err
}

// printer keeps the first error.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) steps(steps []pwexplain.Step) {
	for _, s := range steps {
		p.printf("  %s %-16s %s\n", s.Time.Format(time.TimeOnly+".000"), s.Event, s.Detail)
	}
}
