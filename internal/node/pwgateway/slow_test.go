package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// pacedStream streams events 1 to 30, or those after the Last-Event-Id of the request,
// and waits for gap before each.
func pacedStream(gap time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("X-Attempt-Id"))
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			last = 0
		}
		for i := last + 1; i <= 30; i++ {
			time.Sleep(gap)
			ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// firstRequestThen returns a constructor of backend servers. The first request that
// any of them receives is handled by first, all other requests by others.
func firstRequestThen(first, others func(net.Conn, *http.Request)) func() *backend {
	var requests atomic.Int64
	return func() *backend {
		return newBackend(func(c net.Conn, r *http.Request) {
			if requests.Add(1) == 1 {
				first(c, r)
				return
			}
			others(c, r)
		})
	}
}

// A server streams at about a quarter of the usual pace, so that the gaps between
// events come close to the longest that the caller accepts. The stream must be resumed
// on the other server, without lost or repeated events.
func TestStreamMovesAwayFromSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := firstRequestThen(pacedStream(200*time.Millisecond), pacedStream(45*time.Millisecond))
		f := newFixture(t, map[string]*backend{
			"model-a": b(),
			"model-b": b(),
		})
		began := time.Now()
		w, aborted := f.sendRequest(t.Context(), "/note/1")
		if aborted || strings.Count(w.Body.String(), "id: ") != 30 {
			t.Fatalf("aborted %v, body %q", aborted, w.Body.String())
		}
		for i := 1; i <= 30; i++ {
			if n := strings.Count(w.Body.String(), fmt.Sprintf("id: %d\n", i)); n != 1 {
				t.Errorf("event %d was delivered %d times, want once", i, n)
			}
		}
		if n := len(f.received()); n != 2 {
			t.Errorf("%d sends of the request, want 2", n)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("the stream took %v, want at most 3s", took)
		}
	})
}

// When all servers are equally slow, as under a burst, no stream is moved.
func TestStreamStaysWhenAllServersAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := firstRequestThen(pacedStream(90*time.Millisecond), pacedStream(90*time.Millisecond))
		f := newFixture(t, map[string]*backend{
			"model-a": b(),
			"model-b": b(),
		})
		for range 5 {
			f.sendRequest(t.Context(), "/note/1")
		}
		if n := len(f.received()); n != 5 {
			t.Errorf("%d sends for 5 streams, want 5", n)
		}
	})
}

// A slow stream stays where it is when there is no other server.
func TestStreamStaysOnOnlyServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"model-a": newBackend(pacedStream(200 * time.Millisecond)),
		})
		w, aborted := f.sendRequest(t.Context(), "/note/1")
		if aborted || strings.Count(w.Body.String(), "id: ") != 30 || len(f.received()) != 1 {
			t.Errorf("aborted %v, %d sends, want 1; body %q", aborted, len(f.received()), w.Body.String())
		}
	})
}
