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

// heldLease is the part of pwlease.Lease that the scenario uses.
type heldLease interface {
	Token() uint64
	Held(now time.Time) bool
	Renew(ctx context.Context) error
}

// leaseProtocol contains the lease and guard operations, or those of a variant with
// a deliberate fault.
type leaseProtocol struct {
	acquire func(p *pwexplore.Participant, holder string) (heldLease, error)
	// newestToken returns the token with which a restarted guard starts.
	newestToken func(p *pwexplore.Participant) (uint64, error)
	// unguarded makes the agent apply each order without checking its token.
	unguarded bool
}

func leaseConfig() pwlease.Config {
	return pwlease.Config{
		Name:       "n",
		Tries:      1,
		RetryDelay: time.Nanosecond,
	}
}

func correctLease() leaseProtocol {
	return leaseProtocol{
		acquire: func(p *pwexplore.Participant, _ string) (heldLease, error) {
			return pwlease.New(p, leaseConfig()).Acquire(context.Background())
		},
		newestToken: func(p *pwexplore.Participant) (uint64, error) {
			return pwlease.New(p, leaseConfig()).NewestToken(context.Background())
		},
	}
}

// unconfirmedLease is a lease whose acquisition treats a commit without a reply as a
// success.
type unconfirmedLease struct{ token uint64 }

func (l unconfirmedLease) Token() uint64               { return l.token }
func (l unconfirmedLease) Held(time.Time) bool         { return false }
func (l unconfirmedLease) Renew(context.Context) error { return nil }

func acquireWithoutConfirmation(p *pwexplore.Participant, _ string) (heldLease, error) {
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
	return unconfirmedLease{
		token: v.Token + 1,
	}, nil
}

// leaseScenario has two holders. Each acquires the lease, sends an order, renews the
// lease and sends another order. An order may reach the agent at any later time.
// The agent may be restarted, and the time may advance past the lease's term.
func leaseScenario(variant leaseProtocol, failures, restarts, ticks int) func(w *pwexplore.World) {
	return func(w *pwexplore.World) {
		ctx := context.Background()
		w.FailureBudget = failures
		w.StepDuration = time.Microsecond
		restartsLeft := restarts
		granted := map[uint64]int{}
		var leases []heldLease
		var newestApplied uint64
		var agentTable *pwexplore.Participant
		// The guard reads the table as the participant whose order it checks.
		newGuard := func() *pwlease.Guard {
			return pwlease.NewGuard(func(context.Context) (uint64, error) { return variant.newestToken(agentTable) })
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
		w.ExtraActions = func() (list []pwexplore.Action) {
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
						w.RecordFact("restart after %d", newestApplied)
						guard = newGuard()
					},
				})
			}
			return list
		}
		order := func(l heldLease) {
			w.Spawn(fmt.Sprint("order ", l.Token()), nil, func(p *pwexplore.Participant) {
				// The order waits, because the guard applies one order at a time.
				p.WaitUntil(func() bool { return busy == 0 })
				busy++
				agentTable = p
				apply := func(context.Context) error {
					p.RunStep(func() {})
					if l.Token() < newestApplied {
						w.ReportViolation(fmt.Errorf("order with token %d was applied after token %d", l.Token(), newestApplied))
					}
					newestApplied = l.Token()
					return nil
				}
				if variant.unguarded {
					_ = apply(ctx)
				} else {
					_ = guard.ApplyOrder(ctx, l.Token(), apply)
				}
				busy--
				w.RecordFact("newest %d %d", guard.NewestToken(), newestApplied)
			})
		}
		for _, holder := range []string{"x", "y"} {
			w.Spawn("holder "+holder, nil, func(p *pwexplore.Participant) {
				l, err := variant.acquire(p, holder)
				if err != nil {
					return
				}
				granted[l.Token()]++
				w.RecordFact("granted %d", l.Token())
				if granted[l.Token()] > 1 {
					w.ReportViolation(fmt.Errorf("token %d was issued twice", l.Token()))
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

// TestLeaseExplored guards against an order of steps, pauses and failures in which a
// token is issued twice, two holders hold the lease at once, or an order is applied
// after one with a newer token.
func TestLeaseExplored(t *testing.T) {
	for _, failures := range []int{0, 1} {
		t.Run(fmt.Sprintf("failures=%d", failures), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if err := pwexplore.Walk(t, leaseScenario(correctLease(), failures, 1-failures, 1)); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

// TestLeaseExplorerFindsFaults guards against an explorer that misses faults. The
// walk must report the fault of each variant.
func TestLeaseExplorerFindsFaults(t *testing.T) {
	unconfirmedAcquisition := correctLease()
	unconfirmedAcquisition.acquire = acquireWithoutConfirmation
	resetGuard := correctLease()
	resetGuard.newestToken = func(*pwexplore.Participant) (uint64, error) { return 0, nil }
	unguardedOrders := correctLease()
	unguardedOrders.unguarded = true
	for name, v := range map[string]leaseProtocol{
		"acquisition without confirmation":                    unconfirmedAcquisition,
		"restarted guard that does not read the newest token": resetGuard,
		"receiver that does not check the token":              unguardedOrders,
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
