package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
)

// misdirect returns a reply that a server with other weights, or another server at the
// address, gives. extra holds further header lines.
func misdirect(extra string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 421 X\r\nX-Attempt-Id: %s\r\n%sContent-Length: 0\r\n\r\n", r.Header.Get("X-Attempt-Id"), extra)
	}
}

// Guards against prompts for weights that no server has yet, which take all servers of the
// model out (review/2, Starved).
func TestOtherWeightsDoNotTakeServersOut(t *testing.T) {
	const servers = 4
	synctest.Test(t, func(t *testing.T) {
		reply := func(c net.Conn, r *http.Request) {
			if r.Header.Get("X-Expected-Version") == "2" {
				misdirect("X-Instance-Id: "+r.Header.Get("X-Expected-Instance")+"\r\n")(c, r)
				return
			}
			streamEvents(1, 3, "end")(c, r)
		}
		backends := make(map[string]*backend)
		for n := range servers {
			backends[fmt.Sprintf("model-%d", n)] = newBackend(reply)
		}
		f := newFixture(t, backends)
		const prompts = 20
		for n := range prompts {
			w, _ := f.sendRequest(t.Context(), "/note/1", "X-Attempt-Id", fmt.Sprintf("v%d", n), "X-Token-Counts", "1000,100", "X-Expected-Version", "2")
			requireStatus(t, w, http.StatusServiceUnavailable)
			if w.Header().Get("Retry-After") == "" {
				t.Error("the refusal has no Retry-After")
			}
		}
		if got, most := len(f.received()), 2*prompts; got > most {
			t.Errorf("%d prompts for other weights reached servers %d times, want at most %d", prompts, got, most)
		}
		for n := range prompts {
			w, _ := f.sendRequest(t.Context(), "/note/1", "X-Attempt-Id", fmt.Sprintf("o%d", n), "X-Token-Counts", "1000,100")
			requireStatus(t, w, http.StatusOK)
		}
		w, _ := f.sendRequest(t.Context(), "/note/1", "X-Attempt-Id", "last", "X-Token-Counts", "1000,100", "X-Expected-Version", "1")
		requireStatus(t, w, http.StatusOK)
	})
}

// Guards against a server at whose address another one answers, and that goes on getting
// requests because its 421 could speak of the weights.
func TestReplacedServerIsTakenOut(t *testing.T) {
	for name, tc := range map[string]struct {
		extra   string
		headers []string
		// replaced is set if the answer shows that another server has the address.
		replaced bool
	}{
		"no version asked for":         {replaced: true},
		"version asked for":            {headers: []string{"X-Expected-Version", "2"}},
		"version, same instance":       {headers: []string{"X-Expected-Version", "2"}, extra: "X-Instance-Id: model-1\r\n"},
		"version, other instance":      {headers: []string{"X-Expected-Version", "2"}, extra: "X-Instance-Id: other\r\n", replaced: true},
		"no version, other instance":   {extra: "X-Instance-Id: other\r\n", replaced: true},
		"no version, its own instance": {extra: "X-Instance-Id: model-1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, map[string]*backend{
					"model-1": newBackend(misdirect(tc.extra), streamEvents(1, 3, "end")),
				})
				headers := append([]string{"X-Token-Counts", "1000,100"}, tc.headers...)
				w, _ := f.sendRequest(t.Context(), "/note/1", headers...)
				requireStatus(t, w, http.StatusServiceUnavailable)
				w, _ = f.sendRequest(t.Context(), "/note/1", "X-Attempt-Id", "a2", "X-Token-Counts", "1000,100")
				want := http.StatusOK
				if tc.replaced {
					want = http.StatusServiceUnavailable
				}
				requireStatus(t, w, want)
			})
		})
	}
}
