package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/platform"
)

// setSafeRoute applies a configuration whose only route is safe and has no target unless
// fields, which is added to the route, states one.
func (f *fixture) setSafeRoute(t *testing.T, attempts int, fields string) {
	t.Helper()
	c, err := platform.ParseConfiguration(fmt.Appendf(nil, `{"version": 2, "services": [{"name": "desk"}], "routes": [
		{"name": "view", "host": "h.example", "prefix": "/view/", "kind": "safe", "service": "desk",
		"timeout-ms": 9000, "attempts": %d%s}]}`, attempts, fields))
	if err != nil {
		t.Fatal(err)
	}
	f.gateway.SetCatalog(c)
}

// Guards against 502 for requests of a safe route without a target: the watchdog ended each
// send at once. Each server must get time, and leave as much for the other attempts.
func TestSafeRouteWithoutTargetGivesEachServerTime(t *testing.T) {
	for name, fields := range map[string]string{
		"missing": "",
		"null":    `, "target-latency-ms": null`,
		"zero":    `, "target-latency-ms": 0`,
	} {
		for _, tc := range []struct{ attempts, servers, silent int }{{2, 1, 0}, {2, 2, 1}, {3, 3, 0}, {3, 3, 2}} {
			t.Run(fmt.Sprintf("%s, %d attempts, %d of %d servers silent", name, tc.attempts, tc.silent, tc.servers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var sends atomic.Int64
					backends := make(map[string]*backend)
					for i := range tc.servers {
						backends[fmt.Sprint("desk-", i)] = newBackend(func(c net.Conn, r *http.Request) {
							if sends.Add(1) > int64(tc.silent) {
								time.Sleep(2500 * time.Millisecond)
								respond(http.StatusOK, "", "view")(c, r)
							}
						})
					}
					f := newFixture(t, backends)
					f.setSafeRoute(t, tc.attempts, fields)
					w, _ := f.sendRequest(t.Context(), "/view/1")
					requireStatus(t, w, http.StatusOK)
					if n := int(sends.Load()); n != tc.silent+1 {
						t.Errorf("%d sends, want %d", n, tc.silent+1)
					}
				})
			})
		}
	}
}

// Guards against requests of a route without a target that are refused at once while the only
// server rests for a moment.
func TestRouteWithoutTargetWaitsForServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newRestingSite(t, "desk", 1)
		s.setSafeRoute(t, 2, "")
		s.setRest(200*time.Millisecond, "desk-0")
		time.AfterFunc(100*time.Millisecond, func() { s.setRest(0, "desk-0") })
		w, _ := s.sendRequest(t.Context(), "/view/1")
		requireStatus(t, w, http.StatusOK)
	})
}
