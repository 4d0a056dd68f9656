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

// paced streams events 1 to 30, or those after the last one that the caller
// has, with a pause before each.
func paced(pause time.Duration) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n",
			r.Header.Get("X-Attempt-Id"))
		last, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		if err != nil {
			last = 0
		}
		for i := last + 1; i <= 30; i++ {
			time.Sleep(pause)
			ev := fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i)
			if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(ev), ev); err != nil {
				return
			}
		}
		fmt.Fprint(c, "0\r\n\r\n")
	}
}

// firstThen answers the first request of all its servers in one way and the
// others in another.
func firstThen(first, others func(net.Conn, *http.Request)) func() *backend {
	var seen atomic.Int64
	return func() *backend {
		return replies(func(c net.Conn, r *http.Request) {
			if seen.Add(1) == 1 {
				first(c, r)
				return
			}
			others(c, r)
		})
	}
}

// The load of a server that turns slow under streams: it writes at a quarter of
// the pace, so that pauses come near to what the caller stands.
func TestStreamLeavesSlowServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := firstThen(paced(200*time.Millisecond), paced(45*time.Millisecond))
		s := newSite(t, map[string]*backend{
			"model-a": b(),
			"model-b": b(),
		})
		began := time.Now()
		w, cut := s.do(t.Context(), "/note/1")
		if cut || strings.Count(w.Body.String(), "id: ") != 30 {
			t.Fatalf("cut %v, body %q", cut, w.Body.String())
		}
		for i := 1; i <= 30; i++ {
			if n := strings.Count(w.Body.String(), fmt.Sprintf("id: %d\n", i)); n != 1 {
				t.Errorf("event %d came %d times", i, n)
			}
		}
		if n := len(s.arrivals()); n != 2 {
			t.Errorf("%d servers got the stream, want two", n)
		}
		if took := time.Since(began); took > 3*time.Second {
			t.Errorf("the stream took %v, want at most 3s", took)
		}
	})
}

// All servers are as slow as each other, as under a burst: nothing is moved.
func TestStreamStaysWhereAllAreSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := firstThen(paced(90*time.Millisecond), paced(90*time.Millisecond))
		s := newSite(t, map[string]*backend{
			"model-a": b(),
			"model-b": b(),
		})
		for range 5 {
			s.do(t.Context(), "/note/1")
		}
		if n := len(s.arrivals()); n != 5 {
			t.Errorf("%d sends for 5 streams", n)
		}
	})
}

// Without another server a stream ends where it is.
func TestStreamOfTheOnlyServerStays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, map[string]*backend{
			"model-a": replies(paced(200 * time.Millisecond)),
		})
		w, cut := s.do(t.Context(), "/note/1")
		if cut || strings.Count(w.Body.String(), "id: ") != 30 || len(s.arrivals()) != 1 {
			t.Errorf("cut %v, %d sends, body %q", cut, len(s.arrivals()), w.Body.String())
		}
	})
}
