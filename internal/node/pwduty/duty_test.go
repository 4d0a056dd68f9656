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

// settle is longer than the term of a lease, the settling time of a new holder
// and the change of two servers one after the other.
const settle = 10 * time.Minute

// TestMatchingFleetIsLeftAlone guards against orders to a fleet that already
// matches its document.
func TestMatchingFleetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSite(t)
		s.Start()
		time.Sleep(settle)
		if n := s.Carried(); n != 0 {
			t.Errorf("engines got %d orders, want none", n)
		}
	})
}

// TestLostHolderIsReplaced guards against a placement that stops when its lease
// holder is lost, and against a paused holder's late order taking effect after
// the orders of the next one.
func TestLostHolderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, entries := newSite(t)
		s.Start()
		s.SetVersion("2")
		time.Sleep(settle)
		if got := s.Loaded(); got != "[2 2]" {
			t.Fatalf("engines have versions %s, want 2 on both", got)
		}
		holder, other := entries[0], entries[1]
		if holder.Given() == 0 {
			holder, other = other, holder
		}
		if other.Given() != 0 {
			t.Errorf("both entries gave orders although one of them held the lease all the time")
		}

		resume := holder.Pause()
		s.SetVersion("3")
		time.Sleep(settle / 20) // the holder has planned, and its order is held back
		holder.Cut(true)
		time.Sleep(settle)
		if got := s.Loaded(); got != "[3 3]" || other.Given() == 0 {
			t.Fatalf("engines have versions %s after the loss of the holder, want 3 on both", got)
		}
		before := s.Carried()
		resume()
		time.Sleep(settle)
		if holder.Refused() == 0 || s.Carried() != before {
			t.Errorf("%d late orders were refused and the engines carried out %d more, want at least 1 and none",
				holder.Refused(), s.Carried()-before)
		}
	})
}

// TestUpkeepDeletesExpiredRows guards against a table that grows for ever, and
// against the deletion of rows that callers may still ask for.
func TestUpkeepDeletesExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newSite(t)
		store := pwclaim.New(s.Table, pwclaim.Config{})
		old := pwclaim.Key{
			Workspace:      "w",
			IdempotencyKey: "old",
		}
		if _, err := store.Abort(t.Context(), old, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pwclaim.DefaultRetention / 2)
		young := old
		young.IdempotencyKey = "young"
		if _, err := store.Abort(t.Context(), young, "a"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(pwclaim.DefaultRetention / 2)
		s.Start()
		time.Sleep(settle)
		if _, err := store.Lookup(t.Context(), old); pwverdict.CauseOf(err) != pwverdict.CauseNotFound {
			t.Errorf("expired claim row is still there: %v", err)
		}
		if _, err := store.Lookup(t.Context(), young); err != nil {
			t.Errorf("young claim row is gone: %v", err)
		}
	})
}
