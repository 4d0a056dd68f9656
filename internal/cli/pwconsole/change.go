package pwconsole

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
)

// CauseNotInForce is the cause of the error when a wait ends before the change is in
// force or the work has ended. The change is accepted nevertheless.
const CauseNotInForce pwverdict.Cause = "not_in_force"

// pollInterval is the mean time between two polls of the progress of a change.
const pollInterval = 250 * time.Millisecond

// ChangeFlags holds the flags of all commands that propose a change.
type ChangeFlags struct {
	Wait        bool          `help:"Wait until the change is in force in all data centres."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"30s"`
	ProposalID  string        `name:"proposal-id" help:"Identifier of an earlier try whose outcome is unknown; it takes effect at most once." placeholder:"ID"`
}

// ChangeResult is the output of a command that proposed a change.
type ChangeResult struct {
	*pwoperator.Accepted
	InForce *pwoperator.InForce `json:"in_force,omitempty"`
	// Remaining is the work that still ran at the last poll of a drain.
	Remaining *RemainingWork `json:"left,omitempty"`
}

// RemainingWork counts the requests that still run in a data centre or on a backend
// server, as observed by one entry.
type RemainingWork struct {
	Running     int `json:"running"`
	RunningLong int `json:"running_long"`
	// Servers is the number of backend servers. Watched is the number of those whose
	// load reports the entry subscribes to, Reporting the number of watched servers
	// that have sent a report.
	Servers   int `json:"backend_servers"`
	Watched   int `json:"watched"`
	Reporting int `json:"reporting"`
}

// isIdle reports whether no request runs. It is false if a watched server has sent no
// report, or if there are servers but the entry watches none, because requests may run
// there.
func (w *RemainingWork) isIdle() bool {
	return w.Running == 0 && w.Reporting == w.Watched && (w.Watched > 0 || w.Servers == 0)
}

func (w *RemainingWork) summary() string {
	text := fmt.Sprintf("running requests: %d, long prompts among them: %d", w.Running, w.RunningLong)
	if w.isIdle() {
		text = "no request runs on the watched servers"
	}
	return fmt.Sprintf("%s (%d of %d servers are watched by this entry, %d report)", text, w.Watched, w.Servers, w.Reporting)
}

// DrainWait describes a wait until no request runs any more.
type DrainWait struct {
	Timeout       time.Duration
	ReadRemaining func(ctx context.Context, client *pwclient.Client) (*RemainingWork, error)
}

const (
	// drainPollInterval is the mean time between two polls of a drain.
	drainPollInterval = time.Second
	// requiredIdlePolls is the number of consecutive idle polls that end the wait. One
	// poll is not enough, because load reports are up to 2 s old.
	requiredIdlePolls = 4
)

// Propose sends a change, waits until it is in force if the flags ask for it, and prints
// the result. effect describes the change in the output, for example "hakata is out of
// service". If drain is not nil, Propose then waits for the drain.
func (e *Env) Propose(ctx context.Context, f EntryFlags, c ChangeFlags, p pwclient.Proposal, effect string, drain *DrainWait) error {
	client, err := e.Client(f)
	if err != nil {
		return err
	}
	p.ID, p.IsRetry = c.ProposalID, c.ProposalID != ""
	if p.ID == "" {
		p.ID = e.NewID()
	}
	sendCtx, cancel := context.WithTimeout(ctx, f.Timeout)
	defer cancel()
	accepted, err := client.Propose(sendCtx, p)
	if err != nil {
		if pwverdict.VerdictOf(err) == pwverdict.MayHaveRun {
			return pwverdict.Wrap(err, pwverdict.MayHaveRun, pwverdict.CauseUnavailable,
				"the change may have taken effect; run the same command with --proposal-id %s, and it takes effect at most once", p.ID)
		}
		return err
	}
	out := ChangeResult{
		Accepted: accepted,
	}
	var waitErr error
	if c.Wait || drain != nil {
		out.InForce, waitErr = e.waitInForce(ctx, client, accepted, c.WaitTimeout)
	}
	if drain != nil && waitErr == nil {
		out.Remaining, waitErr = e.waitDrained(ctx, client, drain)
	}
	if err := e.Print(f.OutputFlags, out, out.table(effect)); err != nil {
		return err
	}
	return waitErr
}

func (c ChangeResult) table(effect string) Table {
	row := []string{c.Key, strconv.FormatUint(c.Sequence, 10), "", ""}
	firstNote := fmt.Sprintf("%s (version %d)", effect, c.Sequence)
	switch {
	case c.Unchanged:
		firstNote = fmt.Sprintf("%s already, since version %d by %s", effect, c.Sequence, c.Operator)
	case c.SupersededBy > 0:
		firstNote = fmt.Sprintf("%s was accepted as version %d and replaced by version %d since", c.Key, c.Sequence, c.SupersededBy)
	}
	t := Table{
		Notes: []string{firstNote},
	}
	if c.InForce != nil {
		row[2], row[3] = strconv.Itoa(c.InForce.DataCentres), strconv.Itoa(c.InForce.OfDataCentres)
		t.Notes = append(t.Notes, progressText(c.InForce))
	}
	if c.Remaining != nil {
		row = append(row, strconv.Itoa(c.Remaining.Running))
		t.Notes = append(t.Notes, c.Remaining.summary())
	}
	t.Rows = [][]string{row}
	return t
}

func progressText(f *pwoperator.InForce) string {
	s := fmt.Sprintf("in force on %d of %d data centres (%d of %d processes)", f.DataCentres, f.OfDataCentres, f.Processes, f.OfProcesses)
	if f.Silent > 0 {
		s += fmt.Sprintf(", %d not heard from", f.Silent)
	}
	return s
}

// waitInForce polls at jittered intervals until the change is in force everywhere. A
// failed poll is repeated, because the entry may be busy or restarting.
func (e *Env) waitInForce(ctx context.Context, client *pwclient.Client, c *pwoperator.Accepted, timeout time.Duration) (*pwoperator.InForce, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var last *pwoperator.InForce
	for {
		f, err := pwclient.Get[pwoperator.InForce](ctx, client, "/in-force", url.Values{
			"key":      {c.Key},
			"sequence": {strconv.FormatUint(c.Sequence, 10)},
		})
		if err == nil {
			last = f
			e.showProgress(progressText(f))
			if f.Everywhere {
				e.showProgress("")
				return f, nil
			}
		}
		timer := time.NewTimer(pollInterval/2 + rand.N(pollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e.endProgress()
			return last, notInForceError(last, timeout, err)
		}
	}
}

func notInForceError(last *pwoperator.InForce, timeout time.Duration, err error) error {
	detail := "the entry did not say how far it is"
	if last != nil {
		detail = fmt.Sprintf("%s; waiting for %v", progressText(last), last.Waiting)
	} else if err != nil {
		detail += ": " + pwverdict.AsError(err).Detail()
	}
	return pwverdict.New(pwverdict.Ran, CauseNotInForce, "change is accepted but was not in force everywhere after %s: %s. Look at it with status", timeout, detail)
}

// waitDrained polls at jittered intervals until no request runs any more. A failed poll
// is repeated.
func (e *Env) waitDrained(ctx context.Context, client *pwclient.Client, d *DrainWait) (*RemainingWork, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	var last *RemainingWork
	idlePolls := 0
	for {
		remaining, err := d.ReadRemaining(ctx, client)
		if err == nil {
			last = remaining
			e.showProgress(remaining.summary())
			idlePolls = lo.Ternary(remaining.isIdle(), idlePolls+1, 0)
		}
		if idlePolls == requiredIdlePolls {
			e.showProgress("")
			return last, nil
		}
		timer := time.NewTimer(drainPollInterval/2 + rand.N(drainPollInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e.endProgress()
			return last, pwverdict.New(pwverdict.Ran, CauseNotInForce, "change is in force, but work may still run after %s. Look at it with backend-server list", d.Timeout)
		}
	}
}

// showProgress rewrites the progress line, if the error stream is a terminal.
func (e *Env) showProgress(text string) {
	if e.ErrTerminal {
		fmt.Fprintf(e.Err, "\r\x1b[K%s", text)
	}
}

// endProgress keeps the progress line and moves to the next line.
func (e *Env) endProgress() {
	if e.ErrTerminal {
		fmt.Fprintln(e.Err)
	}
}
