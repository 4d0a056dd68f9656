package pwclaim_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwexplore"
	"github.com/pomeloweir/pomeloweir/internal/state/pwlease"
	"github.com/pomeloweir/pomeloweir/internal/state/pwtable"
)

type heldLease interface {
	Token() uint64
	Held(now time.Time) bool
	Renew(ctx context.Context) error
}

// leaseProtocol is the lease with its guard, or a wrong variant of them.
type leaseProtocol struct {
	acquire func(p *pwexplore.Participant, holder string) (heldLease, error)
	// newest is what a restarted guard starts with.
	newest func(p *pwexplore.Participant) (uint64, error)
	// unguarded applies each order without looking at its token.
	unguarded bool
}

func leaseConfig() pwlease.Config {
	return pwlease.Config{
		Name:       "n",
		Tries:      1,
		RetryDelay: time.Nanosecond,
	}
}

func rightLease() leaseProtocol {
	return leaseProtocol{
		acquire: func(p *pwexplore.Participant, _ string) (heldLease, error) {
			return pwlease.New(p, leaseConfig()).Acquire(context.Background())
		},
		newest: func(p *pwexplore.Participant) (uint64, error) {
			return pwlease.New(p, leaseConfig()).NewestToken(context.Background())
		},
	}
}

// naiveLease takes a commit without a reply for a success.
type naiveLease struct{ token uint64 }

func (l naiveLease) Token() uint64               { return l.token }
func (l naiveLease) Held(time.Time) bool         { return false }
func (l naiveLease) Renew(context.Context) error { return nil }

func acquireNaively(p *pwexplore.Participant, _ string) (heldLease, error) {
	row, _ := p.Get(context.Background(), "")
	var v struct{ Token uint64 }
	_ = json.Unmarshal(row.Value, &v)
	_, err := p.Commit(context.Background(), pwtable.Write{
		Value:           fmt.Appendf(nil, `{"token":%d}`, v.Token+1),
		ExpectedVersion: row.Version,
	})
	if pwverdict.CauseOf(err) == pwverdict.CauseConflict {
		return nil, err
	}
	return naiveLease{
		token: v.Token + 1,
	}, nil
}

// leaseScenario has two holders that acquire, give an order after the check,
// and renew. Each order reaches the agent at any later time. The agent may be
// restarted, and the time may move past the lease's term.
func leaseScenario(v leaseProtocol, failures, restarts, ticks int) func(w *pwexplore.World) {
	return func(w *pwexplore.World) {
		ctx := context.Background()
		w.Failures = failures
		w.StepTime = time.Microsecond
		restartsLeft := restarts
		granted := map[uint64]int{}
		var leases []heldLease
		var newestApplied uint64
		var agentTable *pwexplore.Participant
		// The guard reads through the participant whose order it checks.
		newGuard := func() *pwlease.Guard {
			return pwlease.NewGuard(func(context.Context) (uint64, error) { return v.newest(agentTable) })
		}
		guard := newGuard()
		busy := 0
		w.Invariant = func() error {
			held := 0
			for _, l := range leases {
				if l.Held(time.Now()) {
					held++
				}
			}
			if held > 1 {
				return fmt.Errorf("%d holders hold the lease at once", held)
			}
			return nil
		}
		w.Extra = func() (list []pwexplore.Action) {
			if w.Ticks < ticks {
				list = append(list, pwexplore.Action{
					Name: "time passes",
					Run: func() {
						w.Ticks++
						time.Sleep(pwlease.DefaultTerm)
					},
				})
			}
			if restartsLeft > 0 && busy == 0 {
				list = append(list, pwexplore.Action{
					Name: "agent restarts",
					Run: func() {
						restartsLeft--
						w.Note("restart after %d", newestApplied)
						guard = newGuard()
					},
				})
			}
			return list
		}
		order := func(l heldLease) {
			w.Spawn(fmt.Sprint("order ", l.Token()), nil, func(p *pwexplore.Participant) {
				// The guard applies one order at a time.
				p.ActWhen(func() bool { return busy == 0 })
				busy++
				agentTable = p
				apply := func(context.Context) error {
					p.Act(func() {})
					if l.Token() < newestApplied {
						w.Violate(fmt.Errorf("order with token %d was applied after token %d", l.Token(), newestApplied))
					}
					newestApplied = l.Token()
					return nil
				}
				if v.unguarded {
					_ = apply(ctx)
				} else {
					_ = guard.ApplyOrder(ctx, l.Token(), apply)
				}
				busy--
				w.Note("newest %d %d", guard.NewestToken(), newestApplied)
			})
		}
		for _, holder := range []string{"x", "y"} {
			w.Spawn("holder "+holder, nil, func(p *pwexplore.Participant) {
				l, err := v.acquire(p, holder)
				if err != nil {
					return
				}
				granted[l.Token()]++
				w.Note("granted %d", l.Token())
				if granted[l.Token()] > 1 {
					w.Violate(fmt.Errorf("token %d was given twice", l.Token()))
				}
				leases = append(leases, l)
				order(l)
				if l.Renew(ctx) == nil {
					order(l)
				}
			})
		}
	}
}

// TestLeaseExplored guards against an order of steps, pauses and failures in
// which a token is given twice, two holders hold the lease, or an order with
// an old token is applied.
func TestLeaseExplored(t *testing.T) {
	for _, failures := range []int{0, 1} {
		t.Run(fmt.Sprintf("failures=%d", failures), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if err := pwexplore.Walk(t, leaseScenario(rightLease(), failures, 1-failures, 1)); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestLeaseExplorerFindsFaults guards against an explorer that finds nothing.
func TestLeaseExplorerFindsFaults(t *testing.T) {
	unconfirmed := rightLease()
	unconfirmed.acquire = acquireNaively
	forgetful := rightLease()
	forgetful.newest = func(*pwexplore.Participant) (uint64, error) { return 0, nil }
	unguarded := rightLease()
	unguarded.unguarded = true
	for name, v := range map[string]leaseProtocol{
		"acquisition without confirmation":       unconfirmed,
		"guard that forgets in a restart":        forgetful,
		"receiver that does not check the token": unguarded,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				err := pwexplore.Walk(t, leaseScenario(v, 1, 1, 1))
				if err == nil {
					t.Fatal("the explorer did not find the fault")
				}
				t.Log(err)
			})
		})
	}
}
