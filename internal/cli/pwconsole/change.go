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

// CauseNotInForce is the cause of the error after a wait that was too short.
// The change is accepted.
const CauseNotInForce pwverdict.Cause = "not_in_force"

// pollInterval is the mean time between two looks at how far a change is.
const pollInterval = 250 * time.Millisecond

// Change holds the flags of all commands that change something.
type Change struct {
	Wait        bool          `help:"Wait until the change is in force in all data centres."`
	WaitTimeout time.Duration `help:"Longest time to wait." default:"30s"`
	ProposalID  string        `name:"proposal-id" help:"Identifier of an earlier try whose outcome is unknown; it takes effect at most once." placeholder:"ID"`
}

// ChangeResult is the result of a change.
type ChangeResult struct {
	*pwoperator.Accepted
	InForce *pwoperator.InForce `json:"in_force,omitempty"`
	// Left is what still ran at the last look of a wait for a drain.
	Left *Left `json:"left,omitempty"`
}

// Left is the work that still runs somewhere, as far as one entry sees.
type Left struct {
	Running     int `json:"running"`
	RunningLong int `json:"running_long"`
	// Servers is the number of backend servers, Watched that of those whose
	// load reports the entry follows, Reporting that of those whose it has.
	Servers   int `json:"backend_servers"`
	Watched   int `json:"watched"`
	Reporting int `json:"reporting"`
}

// idle reports whether nothing runs. A watched server without reports may run
// something, and so may the servers of an entry that watches none.
func (l *Left) idle() bool {
	return l.Running == 0 && l.Reporting == l.Watched && (l.Watched > 0 || l.Servers == 0)
}

func (l *Left) text() string {
	what := fmt.Sprintf("running requests: %d, long prompts among them: %d", l.Running, l.RunningLong)
	if l.idle() {
		what = "no request runs on the watched servers"
	}
	return fmt.Sprintf("%s (%d of %d servers are watched by this entry, %d report)", what, l.Watched, l.Servers, l.Reporting)
}

// Drain is a wait until nothing runs any more.
type Drain struct {
	Timeout time.Duration
	Look    func(ctx context.Context, client *pwclient.Client) (*Left, error)
}

const (
	// drainInterval is the mean time between two looks at a drain.
	drainInterval = time.Second
	// drainLooks is the number of looks in a row without work that end the
	// wait; load reports are up to 2 s old.
	drainLooks = 4
)

// Propose sends a change, waits if asked to, and prints the result. what
// names the effect for people, for example "hakata is out of service". A
// drain, which may be nil, is waited for when the change is in force.
func (e *Env) Propose(ctx context.Context, f Flags, c Change, p pwclient.Proposal, what string, drain *Drain) error {
	client, err := e.Client(f)
	if err != nil {
		return err
	}
	p.ID, p.Repeat = c.ProposalID, c.ProposalID != ""
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
		out.InForce, waitErr = e.wait(ctx, client, accepted, c.WaitTimeout)
	}
	if drain != nil && waitErr == nil {
		out.Left, waitErr = e.waitDrain(ctx, client, drain)
	}
	if err := e.Print(f.Output, out, out.table(what)); err != nil {
		return err
	}
	return waitErr
}

func (c ChangeResult) table(what string) Table {
	row := []string{c.Key, strconv.FormatUint(c.Sequence, 10), "", ""}
	first := fmt.Sprintf("%s (version %d)", what, c.Sequence)
	switch {
	case c.Unchanged:
		first = fmt.Sprintf("%s already, since version %d by %s", what, c.Sequence, c.Operator)
	case c.SupersededBy > 0:
		first = fmt.Sprintf("%s was accepted as version %d and replaced by version %d since", c.Key, c.Sequence, c.SupersededBy)
	}
	t := Table{
		Notes: []string{first},
	}
	if c.InForce != nil {
		row[2], row[3] = strconv.Itoa(c.InForce.DataCentres), strconv.Itoa(c.InForce.OfDataCentres)
		t.Notes = append(t.Notes, progress(c.InForce))
	}
	if c.Left != nil {
		row = append(row, strconv.Itoa(c.Left.Running))
		t.Notes = append(t.Notes, c.Left.text())
	}
	t.Rows = [][]string{row}
	return t
}

func progress(f *pwoperator.InForce) string {
	s := fmt.Sprintf("in force on %d of %d data centres (%d of %d processes)", f.DataCentres, f.OfDataCentres, f.Processes, f.OfProcesses)
	if f.Silent > 0 {
		s += fmt.Sprintf(", %d not heard from", f.Silent)
	}
	return s
}

// wait asks in a jittered period until the change is in force everywhere. A
// failed question is asked again, because the entry may be busy or restarting.
func (e *Env) wait(ctx context.Context, client *pwclient.Client, c *pwoperator.Accepted, timeout time.Duration) (*pwoperator.InForce, error) {
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
			e.showProgress(progress(f))
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
			return last, notInForce(last, timeout, err)
		}
	}
}

func notInForce(last *pwoperator.InForce, timeout time.Duration, err error) error {
	detail := "the entry did not say how far it is"
	if last != nil {
		detail = fmt.Sprintf("%s; waiting for %v", progress(last), last.Waiting)
	} else if err != nil {
		detail += ": " + pwverdict.AsError(err).Detail()
	}
	return pwverdict.New(pwverdict.Ran, CauseNotInForce, "change is accepted but was not in force everywhere after %s: %s. Look at it with status", timeout, detail)
}

// waitDrain looks in a jittered period until nothing runs any more. A failed
// look is tried again.
func (e *Env) waitDrain(ctx context.Context, client *pwclient.Client, d *Drain) (*Left, error) {
	ctx, cancel := context.WithTimeout(ctx, d.Timeout)
	defer cancel()
	var last *Left
	idle := 0
	for {
		left, err := d.Look(ctx, client)
		if err == nil {
			last = left
			e.showProgress(left.text())
			idle = lo.Ternary(left.idle(), idle+1, 0)
		}
		if idle == drainLooks {
			e.showProgress("")
			return last, nil
		}
		timer := time.NewTimer(drainInterval/2 + rand.N(drainInterval))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			e.endProgress()
			return last, pwverdict.New(pwverdict.Ran, CauseNotInForce, "change is in force, but work may still run after %s. Look at it with backend-server list", d.Timeout)
		}
	}
}

// showProgress rewrites one line on a terminal.
func (e *Env) showProgress(text string) {
	if e.ErrTerminal {
		fmt.Fprintf(e.Err, "\r\x1b[K%s", text)
	}
}

func (e *Env) endProgress() {
	if e.ErrTerminal {
		fmt.Fprintln(e.Err)
	}
}
