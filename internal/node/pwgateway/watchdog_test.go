package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomeloweir/pomeloweir/internal/core/pwcatalog"
	"github.com/pomeloweir/pomeloweir/internal/node/pwcontrol"
	"github.com/pomeloweir/pomeloweir/internal/node/pwdeployment"
)

// pause returns a reply that sends begun events of a stream of 3, is silent for d, and sends
// the rest. Calls get their answer after d.
func pause(begun int, d time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		if r.Method == http.MethodGet {
			time.Sleep(d)
			respond(http.StatusOK, "", completeStream)(c, r)
			return
		}
		if begun > 0 {
			streamEvents(1, begun, "hang")(c, r)
		}
		time.Sleep(d)
		if begun == 0 {
			streamEvents(1, 3, "end")(c, r)
			return
		}
		for i := begun + 1; i <= 3; i++ {
			ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
				return
			}
		}
		// The gateway may have closed the connection.
		_, _ = fmt.Fprint(c, "0\r\n\r\n")
	}
}

// resume is a reply that sends the events of a stream of 3 that the request lacks.
func resume(c net.Conn, r *http.Request) {
	if r.Method == http.MethodGet {
		respond(http.StatusOK, "", completeStream)(c, r)
		return
	}
	from := 1
	// A request that is no resumption names no event.
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	if r.Header.Get("Last-Event-Id") != "" {
		from++
	}
	streamEvents(from, 3, "end")(c, r)
}

// otherServer is the entry of the second server of a service.
func otherServer(service string, draining bool) []pwcontrol.Item[pwcatalog.BackendServer] {
	return []pwcontrol.Item[pwcatalog.BackendServer]{{
		Key: service + "-2",
		Value: pwcatalog.BackendServer{
			ID:         service + "-2",
			Service:    service,
			Address:    service + "-2",
			DataCentre: "hakata",
			Draining:   draining,
		},
	}}
}

// Guards against answers that end because their server is silent although no other server may
// take the request (LOST), and against ones that wait longer than until another may.
func TestSilentServerIsLeftOnlyIfRetryIsAssured(t *testing.T) {
	const (
		quiet = 1900 * time.Millisecond
		ever  = time.Minute
	)
	noBudget := func(f *fixture) {
		f.gateway.SetBounds(pwdeployment.Bounds{
			RetryRatio:  1e-6,
			RetryWindow: 10 * time.Second,
			RetrySlack:  1e-6,
		})
	}
	drain := func(service string) func(*fixture) {
		return func(f *fixture) { f.gateway.ApplyServers(otherServer(service, true), time.Time{}) }
	}
	stop := func(f *fixture) { f.gateway.BeginShutdown(time.Now(), time.Now().Add(5*time.Second)) }
	for name, tc := range map[string]struct {
		path string
		// begun is how many events the silent server sends first.
		begun   int
		quiet   time.Duration
		prepare func(f *fixture)
		// listAt is when the other server is listed as ready.
		listAt time.Duration
		sends  int
		within time.Duration
	}{
		"stream that has begun, no budget":  {path: "/note/1", begun: 2, quiet: quiet, prepare: noBudget, sends: 1, within: 2 * time.Second},
		"stream that has begun, no server":  {path: "/note/1", begun: 2, quiet: quiet, prepare: drain("model"), sends: 1, within: 2 * time.Second},
		"stream without events, no budget":  {path: "/note/1", quiet: quiet, prepare: noBudget, sends: 1, within: 2 * time.Second},
		"stream without events, no server":  {path: "/note/1", quiet: quiet, prepare: drain("model"), sends: 1, within: 2 * time.Second},
		"call, no budget":                   {path: "/view/1", quiet: quiet, prepare: noBudget, sends: 1, within: 2 * time.Second},
		"call, no server":                   {path: "/view/1", quiet: quiet, prepare: drain("desk"), sends: 1, within: 2 * time.Second},
		"call that the stop would refuse":   {path: "/view/1", quiet: quiet, prepare: stop, sends: 1, within: 2 * time.Second},
		"stream that the stop would refuse": {path: "/note/1", quiet: quiet, prepare: stop, sends: 1, within: 2 * time.Second},
		"stream that has begun, in a stop":  {path: "/note/1", begun: 2, quiet: ever, prepare: stop, sends: 2, within: 1500 * time.Millisecond},
		"stream that has begun":             {path: "/note/1", begun: 2, quiet: ever, sends: 2, within: 1500 * time.Millisecond},
		"stream, server listed later":       {path: "/note/1", begun: 2, quiet: ever, prepare: drain("model"), listAt: 1700 * time.Millisecond, sends: 2, within: 1800 * time.Millisecond},
		"call":                              {path: "/view/1", quiet: ever, sends: 2, within: 500 * time.Millisecond},
		"call, server listed later":         {path: "/view/1", quiet: ever, prepare: drain("desk"), listAt: time.Second, sends: 2, within: 1100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				service := "model"
				if tc.path == "/view/1" {
					service = "desk"
				}
				f := newFixture(t, map[string]*backend{
					service + "-1": newBackend(pause(tc.begun, tc.quiet)),
				})
				f.settleTime = 2 * ever
				f.backends[service+"-2"] = newBackend(resume)
				startAt := time.Now()
				time.AfterFunc(10*time.Millisecond, func() {
					f.gateway.ApplyServers(otherServer(service, false), time.Time{})
					if tc.prepare != nil {
						tc.prepare(f)
					}
				})
				if tc.listAt > 0 {
					time.AfterFunc(tc.listAt, func() {
						other := otherServer(service, false)
						other[0].Value.StartUnixMS = 1
						f.gateway.ApplyServers(other, time.Time{})
					})
				}
				w, aborted := f.sendRequest(t.Context(), tc.path, "X-Token-Counts", "1000,100")
				if took := time.Since(startAt); aborted || w.Code != http.StatusOK || w.Body.String() != completeStream || took > tc.within {
					t.Errorf("aborted %t, status %d, body %q, after %s; want all within %s", aborted, w.Code, w.Body, took, tc.within)
				}
				if n := len(f.received()); n != tc.sends {
					t.Errorf("%d sends, want %d", n, tc.sends)
				}
			})
		})
	}
}

// Guards against streams of one silent server that all count on the last retries of the budget.
func TestSilentServerIsLeftByAsManyAsBudgetAllows(t *testing.T) {
	const streams, budget = 14, 5
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"model-1": newBackend(pause(2, 1900*time.Millisecond)),
		})
		f.gateway.SetBounds(pwdeployment.Bounds{
			RetryRatio:  1e-6,
			RetryWindow: 10 * time.Second,
			RetrySlack:  budget / 0.6,
		})
		f.backends["model-2"] = newBackend(resume)
		time.AfterFunc(time.Second, func() { f.gateway.ApplyServers(otherServer("model", false), time.Time{}) })
		var wg sync.WaitGroup
		for n := range streams {
			wg.Go(func() {
				w, aborted := f.sendRequest(t.Context(), "/note/1", "X-Attempt-Id", fmt.Sprint("a", n), "X-Token-Counts", "100,10")
				if aborted || w.Body.String() != completeStream {
					t.Errorf("stream %d: aborted %t, status %d, body %q", n, aborted, w.Code, w.Body)
				}
			})
		}
		wg.Wait()
		if n := len(f.backends["model-2"].received()); n > budget || n == 0 {
			t.Errorf("%d streams moved, want some and at most %d", n, budget)
		}
	})
}
