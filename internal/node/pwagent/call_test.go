package pwagent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeplatform"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeservice"
	"github.com/pomeloweir/pomeloweir/internal/node/pwagent"
	"github.com/pomeloweir/pomeloweir/internal/node/pwrpc"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
)

// delayedRetractStore waits before each Retract, so that it can run after an outage
// of the table.
type delayedRetractStore struct {
	*pwclaim.Store
	delay time.Duration
}

func (s delayedRetractStore) Retract(ctx context.Context, k pwclaim.Key, id pwrequest.AttemptID) (bool, error) {
	time.Sleep(s.delay)
	return s.Store.Retract(ctx, k, id)
}

// TestUnconfirmedDispatchIsRetracted guards against a claim row that stays dispatched
// permanently although the service was not called, and against a call that undoes
// the dispatch of another one.
func TestUnconfirmedDispatchIsRetracted(t *testing.T) {
	for _, c := range []struct {
		name              string
		outage            time.Duration
		retractDelay      time.Duration
		dispatchedEarlier bool
		verdict           pwrpc.Verdict
		state             pwclaim.State
	}{
		{"retracted_at_once", 5 * time.Second, 6 * time.Second, false, pwrpc.Verdict_VERDICT_NOT_RUN, pwclaim.StateAborted},
		{"retracted_later", 20 * time.Second, 0, false, pwrpc.Verdict_VERDICT_MAY_HAVE_RUN, pwclaim.StateAborted},
		{"dispatched_by_an_earlier_call", 0, 0, true, pwrpc.Verdict_VERDICT_MAY_HAVE_RUN, pwclaim.StateDispatched},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx := t.Context()
				table := pwfakeplatform.NewTable()
				store := pwclaim.New(table, pwclaim.Config{})
				key := pwclaim.Key{
					Workspace:      "w",
					IdempotencyKey: "k",
				}
				if _, err := store.Claim(ctx, key, [32]byte{}, "a1"); err != nil {
					t.Fatal(err)
				}
				if c.dispatchedEarlier {
					if err := store.Dispatch(ctx, key, "a1"); err != nil {
						t.Fatal(err)
					}
				}
				if !c.dispatchedEarlier {
					table.SetFault(pwfakeplatform.FaultLostResponseThenOutage, 1)
				}
				time.AfterFunc(c.outage, func() { table.SetFault(pwfakeplatform.FaultOutage, 0) })
				service := pwfakeservice.New()
				a := newAgent(pwagent.Deps{
					Service: service,
					Claims: delayedRetractStore{
						Store: store,
						delay: c.retractDelay,
					},
				})
				resp, err := a.Call(ctx, &pwrpc.CallRequest{
					Service:        "lantern",
					Workspace:      "w",
					AttemptId:      "a1",
					ClaimKey:       "k",
					Method:         pwfakeservice.MethodReserve,
					DeadlineUnixMs: time.Now().Add(time.Minute).UnixMilli(),
				})
				if err != nil {
					t.Fatal(err)
				}
				if got := resp.GetRefusal().GetVerdict(); got != c.verdict {
					t.Errorf("verdict of the call is %v, want %v", got, c.verdict)
				}
				if err := a.Shutdown(ctx); err != nil {
					t.Fatal(err)
				}
				time.Sleep(c.outage)
				record, err := store.Lookup(ctx, key)
				if err != nil || record.State() != c.state || service.Calls() != 0 {
					t.Errorf("claim row is %q (%v) after %d calls of the service, want %q and none", record.State(), err, service.Calls(), c.state)
				}
			})
		})
	}
}
