package pwgateway_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
)

// Guards against a lookup that is refused for an hour, because two callers had sent it to a
// server that crashed once.
// Regression: soak, seed 7002.
func TestOneCrashUnderEqualRequestsCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var crashed atomic.Bool
		var arrived sync.WaitGroup
		arrived.Add(2)
		crashing := newBackend(func(c net.Conn, _ *http.Request) {
			arrived.Done()
			arrived.Wait()
			crashed.Store(true)
			closeConn(c)
		})
		sound := newBackend(respond(http.StatusOK, "", "ok"))
		f := newFixture(t, map[string]*backend{
			"desk-0": crashing,
		})
		f.lookUp = func(address string) *backend {
			switch {
			case address == "desk-1":
				return sound
			case crashed.Load():
				return nil
			}
			return crashing
		}
		var wg sync.WaitGroup
		for _, id := range []string{"r1", "r2"} {
			wg.Go(func() { f.sendRequest(context.Background(), "/view/x", "X-Attempt-Id", id) })
		}
		wg.Wait()
		time.Sleep(time.Second)
		f.gateway.ApplyServers([]pwcontrol.Item[pwcatalog.BackendServer]{{
			Key: "desk-1",
			Value: pwcatalog.BackendServer{
				ID:         "desk-1",
				Service:    "desk",
				Address:    "desk-1",
				DataCentre: "hakata",
			},
		}}, time.Time{})
		if w, _ := f.sendRequest(context.Background(), "/view/x", "X-Attempt-Id", "r3"); w.Code != http.StatusOK {
			t.Errorf("got %d, %s; want 200 after a single crash", w.Code, w.Body)
		}
	})
}
