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

// ExplainOptions holds the arguments and flags of "request explain".
type ExplainOptions struct {
	ID   string   `arg:"" help:"Request identifier, or a beginning of it that is unique."`
	Logs []string `arg:"" optional:"" help:"Log files of the processes; standard input by default." type:"path"`
	JSON bool     `name:"json" help:"Print JSON."`
}

// Help implements kong.HelpProvider.
func (ExplainOptions) Help() string {
	return "Reads the JSON lines of any number of processes and says why a request ended as it did.\n\n" +
		pwconsole.Examples(`request explain 9c41d07b front-1.log front-2.log`, `cat *.log | pomeloweir request explain 9c41d07b --json`)
}

// Run reads the logs and prints why the request ended as it did.
func (o *ExplainOptions) Run(env *pwconsole.Env) error {
	lines, unreadable, err := o.readLogs(env.In)
	if err != nil {
		return err
	}
	ex, ok := pwexplain.Explain(lines, o.ID)
	if !ok {
		return pwverdict.New(pwverdict.NotRun, pwverdict.CauseNotFound,
			"no line of %d names a request that begins with %q (%d lines could not be read); give the logs of all entries of that time",
			len(lines), o.ID, unreadable)
	}
	if o.JSON {
		return env.PrintJSON(ex)
	}
	return writeExplanation(env.Out, ex, unreadable)
}

// readLogs parses the log files, or in if no files are given. unreadable is the
// number of lines that could not be parsed.
func (o *ExplainOptions) readLogs(in io.Reader) (lines []pwexplain.Line, unreadable int, err error) {
	if len(o.Logs) == 0 {
		return pwexplain.Parse(in)
	}
	for _, path := range o.Logs {
		f, err := os.Open(path)
		if err != nil {
			return nil, 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "opening a log")
		}
		parsed, n, err := pwexplain.Parse(f)
		// The file was only read, so an error of Close loses no data.
		_ = f.Close()
		if err != nil {
			return nil, 0, pwverdict.Wrap(err, pwverdict.NotRun, pwverdict.CauseBadRequest, "reading %s", path)
		}
		lines, unreadable = append(lines, parsed...), unreadable+n
	}
	return lines, unreadable, nil
}

func writeExplanation(w io.Writer, ex pwexplain.Explanation, unreadable int) error {
	out := &printer{
		w: w,
	}
	out.printf("Request %s at %s: %s\n", ex.Request, ex.Instance, ex.Outcome)
	out.printf("%s\n", ex.Why)
	if ex.Error != "" {
		out.printf("Error: %s\n", ex.Error)
	}
	out.printf("\nDecisions:\n")
	out.printSteps(ex.Steps)
	if len(ex.Surrounding) > 0 {
		out.printf("\nMeanwhile, at this process and its backend servers:\n")
		out.printSteps(ex.Surrounding)
	}
	if ex.LinesLeftOut > 0 || unreadable > 0 {
		out.printf("\nLines left out by the process: %d; lines that could not be read: %d.\n", ex.LinesLeftOut, unreadable)
	}
	return out.err
}

// printer writes formatted text until the first error, which it keeps.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}

func (p *printer) printSteps(steps []pwexplain.Step) {
	for _, s := range steps {
		p.printf("  %s %-16s %s\n", s.Time.Format(time.TimeOnly+".000"), s.Event, s.Detail)
	}
}
