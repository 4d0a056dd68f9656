package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// After a stream has begun, only its events may reach the caller, whatever the server that it
// is resumed on sends. It must not look complete before its last event.
func TestErrorOfNextServerStaysOutOfStream(t *testing.T) {
	const head = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nContent-Length: 4\r\n\r\n"
	bodies := map[string]struct {
		status string
		body   string
	}{
		"error text":                  {"500 X", "the engine failed\n\n"},
		"rejection":                   {"503 X\r\nX-Not-Executed: 1", "full\n\n"},
		"empty error":                 {"500 X", ""},
		"success with an error text":  {"200 OK", "the engine failed\n\n"},
		"success with an error field": {"200 OK", "error: the engine failed\n\n"},
		"success with JSON":           {"200 OK", `{"error":"failed"}` + "\n\n"},
		"success with a head":         {"200 OK", head + "full"},
		"event and then a head":       {"200 OK", "id: 2\ndata: e2\n\n" + head + "full"},
		"event without an id":         {"200 OK", "data: the engine failed\n\n"},
		"event and then one without":  {"200 OK", "id: 2\ndata: e2\n\ndata: the engine failed\n\n"},
		"success of another type":     {"200 OK\r\nContent-Type: application/json", "data: {}\n\n"},
		"no content":                  {"204 X", ""},
	}
	for name, b := range bodies {
		for _, framed := range []bool{true, false} {
			for _, id := range []string{"a1", "", "a0"} {
				if b.status == "204 X" && !framed {
					continue // has no body in any framing
				}
				t.Run(fmt.Sprintf("%s, framed %t, id %q", name, framed, id), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fail := func(c net.Conn, _ *http.Request) {
							text := "HTTP/1.1 " + b.status + "\r\nX-Response-Seal: seal\r\n"
							if id != "" {
								text += "X-Attempt-Id: " + id + "\r\n"
							}
							if framed && b.status != "204 X" {
								text += fmt.Sprintf("Content-Length: %d\r\n", len(b.body))
							}
							fmt.Fprint(c, text+"\r\n"+b.body)
							if !framed {
								closeConn(c)
							}
						}
						f := newFixture(t, map[string]*backend{
							"model-1": newBackend(streamEvents(1, 1, "break"), fail, fail, fail),
							"model-2": newBackend(fail, fail, fail),
						})
						f.lookUp = breakFirst(f.backends)
						w, aborted := f.sendRequest(t.Context(), "/note/1", "X-Token-Counts", "1000,100")
						body := w.Body.String()
						if !strings.HasPrefix(completeStream, body) {
							t.Errorf("the caller got %q", body)
						}
						if !aborted && body != completeStream {
							t.Errorf("the stream looks complete after %q", body)
						}
					})
				})
			}
		}
	}
}

// An unframed answer without any event shows nothing about the end of the stream, also when an
// earlier server has sent events.
func TestUnframedEndWithoutEventsIsNotComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		empty := func(c net.Conn, r *http.Request) {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Response-Seal: seal\r\nX-Attempt-Id: %s\r\n\r\n", r.Header.Get("X-Attempt-Id"))
			closeConn(c)
		}
		f := newFixture(t, map[string]*backend{
			"model-1": newBackend(streamEvents(1, 2, "break"), empty),
			"model-2": newBackend(empty, empty),
		})
		f.lookUp = breakFirst(f.backends)
		w, aborted := f.sendRequest(t.Context(), "/note/1", "X-Token-Counts", "1000,100")
		if !aborted {
			t.Errorf("the stream looks complete after %q", w.Body)
		}
	})
}

// breakFirst returns a look-up that leads the first connection to model-1 and the others to
// the other server, whichever the gateway chose.
func breakFirst(backends map[string]*backend) func(string) *backend {
	var n atomic.Int64
	return func(string) *backend {
		if n.Add(1) == 1 {
			return backends["model-1"]
		}
		return backends["model-2"]
	}
}

// Guards against a stopping gateway that cuts a stream which waits for the server that resumes
// it, as if it were a request that can still be refused.
func TestStopLetsResumedStreamWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"model-1": newBackend(func(c net.Conn, r *http.Request) {
				streamEvents(1, 2, "hang")(c, r)
				time.Sleep(time.Second)
				closeConn(c)
			}),
		})
		f.backends["model-2"] = newBackend(respond(http.StatusServiceUnavailable, "", "", "X-Not-Executed: 1\r\n"), resume)
		time.AfterFunc(500*time.Millisecond, func() {
			f.gateway.ApplyServers(otherServer("model", false), time.Time{})
			f.gateway.BeginShutdown(time.Now().Add(time.Second), time.Now().Add(5*time.Second))
		})
		w, aborted := f.sendRequest(t.Context(), "/note/1", "X-Token-Counts", "1000,100")
		if aborted || w.Body.String() != completeStream {
			t.Errorf("aborted %t, status %d, body %q; want all", aborted, w.Code, w.Body)
		}
	})
}
