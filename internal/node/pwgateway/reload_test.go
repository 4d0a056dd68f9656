package pwgateway_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
)

// Guards against changes of the configuration, the servers or the settings that end answers
// which servers are still giving (LOST).
func TestChangesEndNoRunningAnswer(t *testing.T) {
	applyServer := func(change func(item *pwcontrol.Item[pwcatalog.BackendServer])) func(*fixture) {
		return func(f *fixture) {
			for _, service := range []string{"model", "desk"} {
				items := otherServer(service, false)
				items[0].Key, items[0].Value.ID, items[0].Value.Address = service+"-1", service+"-1", service+"-1"
				change(&items[0])
				f.gateway.ApplyServers(items, time.Time{})
			}
		}
	}
	configure := func(spec pwcatalog.Spec) func(*fixture) {
		return func(f *fixture) { f.gateway.SetCatalog(pwcatalog.New(spec)) }
	}
	moved := []pwcatalog.Route{
		newRoute("note", pwcatalog.Streaming, "elsewhere"),
		newRoute("book", pwcatalog.Unsafe, "elsewhere"),
		newRoute("view", pwcatalog.Safe, "elsewhere"),
	}
	for name, change := range map[string]func(f *fixture){
		"routes, keys and services removed": configure(pwcatalog.Spec{Version: 2}),
		"routes moved to another service": configure(pwcatalog.Spec{
			Version: 2,
			Routes:  moved,
			Services: []pwcatalog.Service{{
				Name: "elsewhere",
			}},
		}),
		"older version":   configure(pwcatalog.Spec{}),
		"server draining": applyServer(func(item *pwcontrol.Item[pwcatalog.BackendServer]) { item.Value.Draining = true }),
		"server removed":  applyServer(func(item *pwcontrol.Item[pwcatalog.BackendServer]) { item.Removed = true }),
		"entry unreadable": applyServer(func(item *pwcontrol.Item[pwcatalog.BackendServer]) {
			item.Err = errors.New("unreadable")
		}),
		"server started again": applyServer(func(item *pwcontrol.Item[pwcatalog.BackendServer]) { item.Value.StartUnixMS = 9 }),
		"address moved":        applyServer(func(item *pwcontrol.Item[pwcatalog.BackendServer]) { item.Value.Address = "other" }),
		"evacuated": func(f *fixture) {
			f.gateway.ApplyOperatorRows([]pwcontrol.Item[pwcontrol.OperatorRow]{{
				Key: "hakata",
			}}, func(key string) (string, bool) { return key, true })
		},
		"bounds": func(f *fixture) {
			f.gateway.SetBounds(pwdeployment.Bounds{
				RetryWindow: time.Second,
			})
		},
	} {
		for path, want := range map[string]string{
			"/note/1": "id: 30\n",
			"/book/1": completeStream,
			"/view/1": completeStream,
		} {
			t.Run(name+path, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					slow := func(c net.Conn, r *http.Request) {
						time.Sleep(3 * time.Second)
						respond(http.StatusOK, "", completeStream)(c, r)
					}
					f := newFixture(t, map[string]*backend{
						"model-1": newBackend(pacedStream(100 * time.Millisecond)),
						"desk-1":  newBackend(slow),
					})
					time.AfterFunc(time.Second, func() { change(f) })
					w, aborted := f.sendRequest(t.Context(), path, "X-Token-Counts", "1000,100")
					if aborted || w.Code != http.StatusOK || !strings.Contains(w.Body.String(), want) || len(f.received()) != 1 {
						t.Errorf("aborted %t, status %d, %d sends, body %q; want a whole answer", aborted, w.Code, len(f.received()), w.Body)
					}
				})
			})
		}
	}
}

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
