package pwentry

import (
	"slices"
	"testing"

	"github.com/pomeloweir/pomeloweir/internal/core/pwrequest"
	"github.com/pomeloweir/pomeloweir/internal/state/pwinstance"
)

// TestReplacedInstance checks that the order of the instance list doesn't decide which of
// two instances of a backend server an entry watches. Otherwise the entry could watch the
// leaving instance or alternate between the two.
func TestReplacedInstance(t *testing.T) {
	agent := func(id pwrequest.InstanceID, leaving bool) pwinstance.Instance {
		return pwinstance.Instance{
			ID:            id,
			Role:          pwinstance.RoleAgent,
			BackendServer: "bs-1",
			Leaving:       leaving,
		}
	}
	for _, c := range []struct {
		name string
		list []pwinstance.Instance
		want pwrequest.InstanceID
		// leaving is whether the chosen instance is leaving.
		leaving bool
	}{
		{name: "prefers the one that is not leaving", list: []pwinstance.Instance{agent("a", true), agent("b", false)}, want: "b"},
		{name: "smaller identifier if neither is leaving", list: []pwinstance.Instance{agent("a", false), agent("b", false)}, want: "a"},
		{name: "smaller identifier if both are leaving", list: []pwinstance.Instance{agent("a", true), agent("b", true)}, want: "a", leaving: true},
		{name: "leaving if one of its two lines is leaving", list: []pwinstance.Instance{agent("a", true), agent("a", false), agent("b", true)}, want: "a", leaving: true},
		{name: "ignores entries", list: []pwinstance.Instance{{ID: "0", Role: pwinstance.RoleEntry, BackendServer: "bs-1"}, agent("a", true)}, want: "a", leaving: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range 2 {
				got := agentByServer(c.list)["bs-1"]
				if got.ID != c.want || got.Leaving != c.leaving {
					t.Errorf("instance %q, leaving %v; want %q, leaving %v", got.ID, got.Leaving, c.want, c.leaving)
				}
				slices.Reverse(c.list)
			}
		})
	}
}
