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

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
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

// Guards against long prompts of a route without a target that count as late when they come,
// and so are refused by engines that have room beside streams with short gaps.
func TestLongPromptWithoutTargetIsNotLate(t *testing.T) {
	for _, target := range []time.Duration{300 * time.Millisecond, 0} {
		t.Run(target.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"model-1": newBackend(func(c net.Conn, r *http.Request) {
						if r.Header.Get("X-Token-Counts") == "1000,100" {
							time.Sleep(time.Second)
						}
						streamEvents(1, 3, "end")(c, r)
					}),
				})
				route := newRoute("note", pwcatalog.Streaming, "model")
				route.Target = target
				f.gateway.SetCatalog(pwcatalog.New(pwcatalog.Spec{
					Version: 2,
					Routes:  []pwcatalog.Route{route},
					Services: []pwcatalog.Service{{
						Name:   "model",
						Engine: &engine,
					}},
				}))
				go f.sendRequest(t.Context(), "/note/short", "X-Attempt-Id", "short", "X-Token-Counts", "1000,100")
				synctest.Wait()
				startedAt := time.Now()
				w, _ := f.sendRequest(t.Context(), "/note/long", "X-Token-Counts", "24000,100")
				requireStatus(t, w, http.StatusOK)
				if took := time.Since(startedAt); took > 0 {
					t.Errorf("the prompt waited %s for an engine with room", took)
				}
			})
		})
	}
}
