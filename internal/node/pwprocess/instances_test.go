package pwprocess

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// fakeInstanceSource is an instance source whose list tests can replace.
type fakeInstanceSource []pwinstance.Instance

func (l *fakeInstanceSource) Instances(context.Context) ([]pwinstance.Instance, error) {
	return *l, nil
}

// TestEmptyInstanceListIsRejected guards against a process that loses all other instances
// because the platform returned an empty list.
func TestEmptyInstanceListIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &fakeInstanceSource{{ID: "entry-1", Role: pwinstance.RoleEntry}, {ID: "agent-1", Role: pwinstance.RoleAgent}}
		c := &instanceCache{
			source: source,
		}
		if _, err := c.Instances(t.Context()); err != nil {
			t.Fatal(err)
		}
		*source = nil
		time.Sleep(minInstanceListTTL)
		if _, err := c.Instances(t.Context()); err == nil {
			t.Error("the empty list replaced the last one")
		}
		if got := len(c.Known()); got != 2 {
			t.Errorf("%d instances are cached, want the 2 of the last list", got)
		}
		if got := len(c.Entries()); got != 1 {
			t.Errorf("%d entries are cached, want the 1 of the last list", got)
		}
		*source = fakeInstanceSource{{ID: "entry-2", Role: pwinstance.RoleEntry}}
		if _, err := c.Instances(t.Context()); err != nil || len(c.Known()) != 1 {
			t.Errorf("the next list did not replace the last one: %v", err)
		}
	})
}

// TestInstanceListReadRateIsBounded guards against an overload of the store at a large
// site, where all processes read the instance list and each read takes several pages.
func TestInstanceListReadRateIsBounded(t *testing.T) {
	for _, n := range []int{1, 30, 300, 3_000, 8_140} {
		calls := float64(n) * float64((n+rowsPerPage-1)/rowsPerPage) / instanceListTTL(n).Seconds()
		if calls > maxListCallsPerSecond+1 {
			t.Errorf("%d processes make %.0f calls a second to the store, want at most %d", n, calls, maxListCallsPerSecond)
		}
	}
	if instanceListTTL(30) != minInstanceListTTL {
		t.Errorf("a list of 30 instances is cached for %v, want %v", instanceListTTL(30), minInstanceListTTL)
	}
}
