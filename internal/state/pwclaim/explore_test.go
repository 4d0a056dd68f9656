package pwclaim_test

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwexplore"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

// protocol contains the operations of the claim protocol, or of a variant with a
// deliberate fault.
type protocol struct {
	dispatch func(s *pwclaim.Store, ctx context.Context, k pwclaim.Key, a pwrequest.AttemptID) error
	abort    func(s *pwclaim.Store, ctx context.Context, k pwclaim.Key, a pwrequest.AttemptID) (bool, error)
	finish   func(s *pwclaim.Store, ctx context.Context, p *pwexplore.Participant, k pwclaim.Key, a pwrequest.AttemptID, result []byte) error
}

func correctProtocol() protocol {
	return protocol{
		dispatch: (*pwclaim.Store).Dispatch,
		abort:    (*pwclaim.Store).Abort,
		finish: func(s *pwclaim.Store, ctx context.Context, _ *pwexplore.Participant, k pwclaim.Key, a pwrequest.AttemptID, result []byte) error {
			return s.Finish(ctx, k, a, result, 200)
		},
	}
}

// claimScenario has two entries that receive a call with the same key, each with its
// own agent. An agent that crashes is restarted and receives its attempt again.
func claimScenario(variant protocol, failures, crashes int) func(w *pwexplore.World) {
	return func(w *pwexplore.World) {
		ctx := context.Background()
		k := pwclaim.Key{
			Workspace:      "lamps",
			IdempotencyKey: "k",
		}
		cfg := pwclaim.Config{
			Tries:      1,
			RetryDelay: time.Nanosecond,
		}
		w.FailureBudget, w.CrashBudget = failures, crashes
		w.Symmetry = strings.NewReplacer("<a>", "<b>", "<b>", "<a>")
		calls := map[pwrequest.AttemptID]int{}
		totalCalls := 0
		reportedNotRun := map[pwrequest.AttemptID]bool{}
		w.Invariant = func() error {
			if totalCalls > 1 {
				return fmt.Errorf("the service call ran %d times", totalCalls)
			}
			for a := range reportedNotRun {
				if calls[a] > 0 {
					return fmt.Errorf("not_run was reported for attempt %s, which ran", a)
				}
			}
			return nil
		}
		w.OnWrite = func(old, next pwtable.Row) error {
			var o, n struct{ State, Result string }
			_ = json.Unmarshal(old.Value, &o)
			_ = json.Unmarshal(next.Value, &n)
			if o.State == "done" && o != n {
				return fmt.Errorf("a done result was replaced by a row in %s", n.State)
			}
			return nil
		}
		for _, a := range []pwrequest.AttemptID{"<a>", "<b>"} {
			var reply *pwverdict.Verdict
			var agent func(restarted bool)
			agent = func(restarted bool) {
				onCrash := func() {
					reply = new(pwverdict.MayHaveRun)
					w.RecordFact("reply %s %s", a, *reply)
					agent(true)
				}
				if restarted {
					onCrash = nil
				}
				w.Spawn("agent "+string(a), onCrash, func(p *pwexplore.Participant) {
					answer := pwverdict.Ran
					s := pwclaim.New(p, cfg)
					if err := variant.dispatch(s, ctx, k, a); err != nil {
						answer = pwverdict.VerdictOf(err)
						if answer == pwverdict.MayHaveRun {
							if ok, _ := s.Retract(ctx, k, a); ok {
								answer = pwverdict.NotRun
							}
						}
					} else {
						p.SetPhase("dispatched")
						p.RunStep(func() {
							calls[a]++
							totalCalls++
							w.RecordFact("call %s", a)
						})
						p.SetPhase("called")
						_ = variant.finish(s, ctx, p, k, a, []byte(a))
					}
					if reply == nil {
						reply = &answer
						w.RecordFact("reply %s %s", a, answer)
					}
				})
			}
			w.Spawn("entry "+string(a), nil, func(p *pwexplore.Participant) {
				s := pwclaim.New(p, cfg)
				o, err := s.Claim(ctx, k, [32]byte{1}, a)
				if err != nil && pwverdict.VerdictOf(err) == pwverdict.NotRun {
					reportedNotRun[a] = true
					w.RecordFact("claim not_run %s", a)
				}
				if err != nil || o.Kind() != pwclaim.OutcomeGranted {
					return
				}
				p.SetPhase("sent")
				agent(false)
				if p.WaitWithTimeout(func() bool { return reply != nil }) {
					switch *reply {
					case pwverdict.NotRun:
						reportedNotRun[a] = true
						w.RecordFact("agent not_run %s", a)
						return
					case pwverdict.Ran:
						return
					}
				}
				p.SetPhase("aborting")
				if ok, _ := variant.abort(s, ctx, k, a); ok {
					reportedNotRun[a] = true
					w.RecordFact("abort not_run %s", a)
					if totalCalls > 0 {
						w.ReportViolation(fmt.Errorf("not_run was reported for a key whose call ran"))
					}
				}
			})
		}
	}
}

// budgets are the numbers of failures and crashes that one walk of the state space
// may use.
type budgets struct{ failures, crashes int }

var exploreDeep = flag.Bool("explore", false, "also walk the state spaces with several failures")

// walkBudgets returns the budgets of the walks to run: one with a failure and one
// with a crash. The flag -explore adds one with both and one with two failures.
func walkBudgets() []budgets {
	list := []budgets{{failures: 1}, {crashes: 1}}
	if *exploreDeep {
		list = append(list, budgets{failures: 1, crashes: 1}, budgets{failures: 2})
	}
	return list
}

// TestClaimExplored guards against an order of steps and failures in which a call
// runs twice, not_run is reported for a call that ran, or a result is replaced.
func TestClaimExplored(t *testing.T) {
	for _, b := range walkBudgets() {
		t.Run(fmt.Sprintf("failures=%d,crashes=%d", b.failures, b.crashes), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if err := pwexplore.Walk(t, claimScenario(correctProtocol(), b.failures, b.crashes)); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestClaimExplorerFindsFaults guards against an explorer that misses faults. Each
// variant breaks one rule of the protocol, and the walk must report it.
func TestClaimExplorerFindsFaults(t *testing.T) {
	unconfirmedDispatch := correctProtocol()
	unconfirmedDispatch.dispatch = func(s *pwclaim.Store, ctx context.Context, k pwclaim.Key, a pwrequest.AttemptID) error {
		err := s.Dispatch(ctx, k, a)
		if pwverdict.CauseOf(err) == pwverdict.CauseUnavailable {
			return nil
		}
		return err
	}
	anyDispatch := correctProtocol()
	anyDispatch.dispatch = func(s *pwclaim.Store, ctx context.Context, k pwclaim.Key, a pwrequest.AttemptID) error {
		err := s.Dispatch(ctx, k, a)
		if pwverdict.CauseOf(err) == pwverdict.CauseInProgress {
			return nil
		}
		return err
	}
	unconfirmedAbort := correctProtocol()
	unconfirmedAbort.abort = func(s *pwclaim.Store, ctx context.Context, k pwclaim.Key, a pwrequest.AttemptID) (bool, error) {
		ok, err := s.Abort(ctx, k, a)
		return ok || err != nil, nil
	}
	uncheckedFinish := correctProtocol()
	uncheckedFinish.finish = func(_ *pwclaim.Store, ctx context.Context, p *pwexplore.Participant, _ pwclaim.Key, a pwrequest.AttemptID, result []byte) error {
		for range 2 {
			row, _ := p.Get(ctx, "")
			value := fmt.Sprintf(`{"state":"done","attempt":%q,"result":%q}`, a, fmt.Sprintf("%s %d", result, row.Version))
			_, _ = p.Commit(ctx, pwtable.Write{
				Value:           []byte(value),
				ExpectedVersion: row.Version,
			})
		}
		return nil
	}
	for _, c := range []struct {
		name    string
		variant protocol
		budgets budgets
	}{
		{"dispatch after an unconfirmed write", unconfirmedDispatch, budgets{failures: 1}},
		{"dispatch confirmed by an earlier call", anyDispatch, budgets{crashes: 1}},
		{"abort without confirmation", unconfirmedAbort, budgets{failures: 1}},
		{"finish without a check of the row's state", uncheckedFinish, budgets{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				err := pwexplore.Walk(t, claimScenario(c.variant, c.budgets.failures, c.budgets.crashes))
				if err == nil {
					t.Fatal("the explorer did not find the fault")
				}
				t.Log(err)
			})
		})
	}
}
