package pwduty_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwverdict"
	"github.com/pomeloweir/pomeloweir/internal/fake/pwfakeduty"
	"github.com/pomeloweir/pomeloweir/internal/state/pwclaim"
)

func newSite(t *testing.T) (*pwfakeduty.Site, []*pwfakeduty.Entry) {
	s, entries, err := pwfakeduty.New("entry-1", "entry-2")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s, entries
}

// settleTime is longer than the term of a lease, the settle delay of a new holder and
// the sequential change of two servers together.
const settleTime = 10 * time.Minute

// TestMatchingFleetGetsNoOrders guards against orders to a fleet that already
// matches its document.
func TestMatchingFleetGetsNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSite(t)
		s.Start()
		time.Sleep(settleTime)
		if n := s.ExecutedOrders(); n != 0 {
			t.Errorf("engines executed %d orders, want none", n)
		}
	})
}

// TestLostHolderIsReplaced guards against a placement that stops when its lease holder is
// lost, and against a late order of a paused holder that takes effect after the orders
// of the next holder.
func TestLostHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, entries := newSite(t)
		s.Start()
		s.SetVersion("2")
		time.Sleep(settleTime)
		if got := s.LoadedVersions(); got != "[2 2]" {
			t.Fatalf("engines have versions %s, want 2 on both", got)
		}
		holder, other := entries[0], entries[1]
		if holder.AnsweredOrders() == 0 {
			holder, other = other, holder
		}
		if other.AnsweredOrders() != 0 {
			t.Errorf("both entries gave orders although one of them held the lease throughout")
		}

		resume := holder.PauseOrders()
		s.SetVersion("3")
		time.Sleep(settleTime / 20) // by now the holder has planned and its order is paused
		holder.SetTableDown(true)
		time.Sleep(settleTime)
		if got := s.LoadedVersions(); got != "[3 3]" || other.AnsweredOrders() == 0 {
			t.Fatalf("engines have versions %s after the loss of the holder, want 3 on both and orders of the other entry", got)
		}
		executedBefore := s.ExecutedOrders()
		resume()
		time.Sleep(settleTime)
		if holder.StaleRefusals() == 0 || s.ExecutedOrders() != executedBefore {
			t.Errorf("%d late orders were refused and the engines executed %d more, want at least 1 and none",
				holder.StaleRefusals(), s.ExecutedOrders()-executedBefore)
		}
	})
}

// TestUpkeepDeletesExpiredRows guards against a table that grows without bound, and
// against the deletion of rows that callers may still request.
func TestUpkeepDeletesExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSite(t)
		store := pwclaim.New(s.Table, pwclaim.Config{})
		expired := pwclaim.Key{
			Workspace:      "w",
			IdempotencyKey: "old",
		}
		if _, err := store.Abort(t.Context(), expired, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pwclaim.DefaultRetention / 2)
		unexpired := expired
		unexpired.IdempotencyKey = "young"
		if _, err := store.Abort(t.Context(), unexpired, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pwclaim.DefaultRetention / 2)
		s.Start()
		time.Sleep(settleTime)
		if _, err := store.Lookup(t.Context(), expired); pwverdict.CauseOf(err) != pwverdict.CauseNotFound {
			t.Errorf("expired claim row is still there: %v", err)
		}
		if _, err := store.Lookup(t.Context(), unexpired); err != nil {
			t.Errorf("unexpired claim row is missing: %v", err)
		}
	})
}
