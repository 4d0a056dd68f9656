package pwconsole

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"github.com/samber/lo"

	"github.com/pomeloweir/pomeloweir/internal/cli/pwclient"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/node/pwoperator"
	"github.com/pomeloweir/pomeloweir/internal/node/pwproblem"
	"github.com/pomeloweir/pomeloweir/internal/state/pwchange"
	"github.com/pomeloweir/pomeloweir/internal/state/pwschema"
)

// Exit codes.
const (
	ExitOK = 0
	// ExitFailed means that the command failed and took no effect.
	ExitFailed = 1
	// ExitUsage means that the arguments were wrong.
	ExitUsage = 2
	// ExitUnknown means that the command failed and may have taken effect.
	ExitUnknown = 3
	// ExitConflict means that somebody else made a change first; the command
	// took no effect.
	ExitConflict = 4
	// ExitNotInForce means that the change is accepted, but was not in force
	// everywhere, or work still ran, when the wait ended.
	ExitNotInForce = 5
)

// ExitHelp documents the exit codes in the help.
const ExitHelp = `Exit codes: 0 done; 1 failed without effect; 2 wrong arguments; 3 failed and may have taken effect; ` +
	`4 somebody else made a change first, no effect; 5 accepted, but not in force everywhere or not drained when the wait ended.`

// ExitCode returns the exit code of an error.
func ExitCode(err error) int {
	e := pwverdict.AsError(err)
	var answered *pwclient.RefusalError
	switch {
	case err == nil:
		return ExitOK
	case e.Verdict() == pwverdict.MayHaveRun && errors.As(err, &answered):
		return ExitUnknown
	case e.Cause() == pwclient.CauseUsage:
		return ExitUsage
	case e.Cause() == CauseNotInForce:
		return ExitNotInForce
	case e.Cause() == pwverdict.CauseConflict && e.Verdict() == pwverdict.NotRun:
		return ExitConflict
	case e.Verdict() == pwverdict.MayHaveRun && e.Cause() == pwverdict.CauseUnavailable:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// PrintError writes an error with its fields, the differences of a lost race
// and the next step; as JSON when the command prints JSON.
func (e *Env) PrintError(err error) {
	r := refusal(err)
	if e.json {
		enc := json.NewEncoder(e.Err)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		_ = enc.Encode(r)
		return
	}
	fmt.Fprintf(e.Err, "pomeloweir: %s\n", clean(r.Detail, 0))
	for _, f := range r.Fields {
		fmt.Fprintf(e.Err, "  %s\n", clean(fmt.Sprintf("%s: found %s; allowed: %s", f.Path, f.Found, f.Allowed), 0))
	}
	e.lines("Changed since the expected version:", r.ChangedSince)
	e.lines("Your document would change in the current version:", r.Diff)
	if next := nextStep(err); next != "" {
		fmt.Fprintln(e.Err, next)
	}
}

func (e *Env) lines(title string, list []string) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(e.Err, title)
	for _, l := range list {
		fmt.Fprintf(e.Err, "  %s\n", clean(l, 0))
	}
}

// refusal returns what an entry answered, or the same form of an error that
// arose here.
func refusal(err error) pwoperator.Refusal {
	var answered *pwclient.RefusalError
	if errors.As(err, &answered) {
		r := answered.Refusal
		r.Detail = detail(err)
		return r
	}
	r := pwoperator.Refusal{
		Problem: *pwproblem.FromError(err),
	}
	r.Detail = detail(err)
	var fields pwschema.Problems
	if errors.As(err, &fields) {
		r.Fields = lo.Map(fields, func(p pwschema.Problem, _ int) pwoperator.FieldProblem { return pwoperator.FieldProblem(p) })
	}
	return r
}

// detail joins the messages of the wrapped errors that say something new.
func detail(err error) string {
	var fields pwschema.Problems
	var e *pwverdict.Error
	if !errors.As(err, &e) {
		return err.Error()
	}
	parts := []string{e.Detail()}
	for err := e.Unwrap(); err != nil; err = errors.Unwrap(err) {
		var inner *pwverdict.Error
		if errors.As(err, &inner) {
			parts = append(parts, inner.Detail())
			err = inner
			continue
		}
		if !errors.As(err, &fields) {
			parts = append(parts, strings.ReplaceAll(err.Error(), "\n", ": "))
		}
		break
	}
	return strings.Join(lo.Uniq(parts), ": ")
}

// nextStep says what to do about a kind of error.
func nextStep(err error) string {
	e := pwverdict.AsError(err)
	switch e.Cause() {
	case pwverdict.CauseUnauthenticated:
		return "Give a valid operator credential with --credential-file or POMELOWEIR_CREDENTIAL."
	case pwchange.CauseNotOwner:
		return "Only the owning team may do this; ask it, or use a credential of that team."
	case pwchange.CauseLogFull:
		return "Delete documents or marks that are no longer needed first."
	case pwverdict.CauseUnavailable:
		if e.Verdict() == pwverdict.NotRun {
			return "Nothing was changed. Try again later, or with another --entry; see \"When the table service is down\" in docs/OPERATIONS.md."
		}
	}
	return ""
}
