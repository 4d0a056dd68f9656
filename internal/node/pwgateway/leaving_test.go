package pwgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
)

// Guards against requests to a server whose answer has stated that it leaves (DRAIN), whatever
// the store says of it: entries of servers change later, lapse, and come back from a copy.
func TestServersThatSayTheyLeaveGetNoRequests(t *testing.T) {
	const started = 5
	type item = pwcontrol.Item[pwcatalog.BackendServer]
	entry := func(service string, startUnixMS int64) item {
		return item{
			Key: service + "-0",
			Value: pwcatalog.BackendServer{
				ID:          service + "-0",
				Service:     service,
				Address:     service + "-0",
				DataCentre:  "hakata",
				StartUnixMS: startUnixMS,
			},
		}
	}
	for service, path := range map[string]string{
		"model": "/note/",
		"desk":  "/view/",
	} {
		removed := item{
			Key:     service + "-0",
			Removed: true,
		}
		changed, again := entry(service, started), entry(service, started+1)
		changed.Value.ColdRemaining = time.Second
		restored, unstarted := entry(service, started), entry(service, 0)
		restored.Restored = true
		for name, c := range map[string]struct {
			first item
			items []item
			// grace is that of a lapsed entry.
			grace time.Duration
			works bool
		}{
			"no change":                      {first: entry(service, started)},
			"entry changes":                  {first: entry(service, started), items: []item{changed}},
			"entry lapses and returns":       {first: entry(service, started), items: []item{removed, changed}, grace: 2 * time.Second},
			"entry is removed and returns":   {first: entry(service, started), items: []item{removed, entry(service, started)}},
			"entry returns from a copy":      {first: entry(service, started), items: []item{removed, restored}},
			"entry without a start":          {first: unstarted, items: []item{unstarted}},
			"entry without a start is lost":  {first: unstarted, items: []item{removed, unstarted}, works: true},
			"server starts again":            {first: entry(service, started), items: []item{again}, works: true},
			"server leaves and starts again": {first: entry(service, started), items: []item{removed, again}, works: true},
		} {
			t.Run(service+"/"+name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					var leaving atomic.Bool
					server := newBackend(func(conn net.Conn, r *http.Request) {
						if leaving.Load() {
							respond(http.StatusOK, "", "id: 1\ndata: e1\n\n", "Server-Leaving: 1\r\n")(conn, r)
							return
						}
						respond(http.StatusOK, "", "id: 1\ndata: e1\n\n")(conn, r)
					})
					f := newFixture(t, map[string]*backend{
						service + "-0": server,
					})
					f.gateway.ApplyServers([]item{c.first}, time.Time{})
					send := func(id string) int {
						w, _ := f.sendRequest(context.Background(), path+id, "X-Attempt-Id", id, "X-Token-Counts", "3000,60")
						return w.Code
					}
					if status := send("before"); status != http.StatusOK {
						t.Fatalf("got %d before the server leaves, want 200", status)
					}
					leaving.Store(true)
					if status := send("last"); status != http.StatusOK {
						t.Fatalf("got %d with the statement, want 200", status)
					}
					leaving.Store(false)
					for _, it := range c.items {
						grace := time.Time{}
						if it.Removed && c.grace > 0 {
							grace = time.Now().Add(c.grace)
						}
						f.gateway.ApplyServers([]item{it}, grace)
						time.Sleep(100 * time.Millisecond)
					}
					before := len(server.received())
					statuses := make(map[int]int)
					for i := range 50 {
						statuses[send(fmt.Sprint("after", i))]++
						time.Sleep(200 * time.Millisecond)
					}
					reached := len(server.received()) - before
					if c.works && reached != 50 || !c.works && reached != 0 {
						t.Errorf("%d requests reach the server (%v), want them to: %t", reached, statuses, c.works)
					}
				})
			})
		}
	}
}
