package pwgateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
)

// Guards against engine memory that is held longer than the bound of the newest settings (LEAK).
func TestReservationHoldFollowsReload(t *testing.T) {
	const free = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		backends := make(map[string]*backend)
		for i := range 20 {
			backends[fmt.Sprintf("model-%d", i)] = newBackend(streamEvents(1, 3, "end"))
		}
		f := newFixture(t, backends)
		f.gateway.SetBounds(pwdeployment.Bounds{
			RetryWindow:        10 * time.Second,
			MaxReservationTime: 20 * time.Second,
			ReleaseTimeout:     free,
		})
		w, _ := f.sendRequest(t.Context(), "/note/1", "X-Token-Counts", "400000,500")
		requireStatus(t, w, http.StatusOK)
		f.engines.mu.Lock()
		defer f.engines.mu.Unlock()
		for id, calls := range f.engines.reserveCalls {
			if hold := calls[0].hold; hold <= 0 || hold >= free {
				t.Errorf("%s: memory is held for %v, want more than 0 and less than %v", id, hold, free)
			}
		}
		if len(f.engines.reserveCalls) < 2 {
			t.Errorf("%d servers hold memory, want at least 2", len(f.engines.reserveCalls))
		}
	})
}
