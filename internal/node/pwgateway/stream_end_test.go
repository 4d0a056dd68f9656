package pwgateway_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
)

// sendUnframed returns a reply with neither a length nor chunks, which ends with its
// connection.
func sendUnframed(body string) func(net.Conn, *http.Request) {
	return func(c net.Conn, r *http.Request) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: seal\r\n\r\n%s", r.Header.Get("X-Attempt-Id"), body)
		closeConn(c)
	}
}

// Guards against streams without a length that are taken as complete although they ended
// inside an event or before the first one, and against complete ones that are sent again, also
// with long lines.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	const events = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"
	// after is the event after which the stream must be resumed, or "complete".
	for name, tc := range map[string]struct{ body, after string }{
		"complete": {
			body:  completeStream,
			after: "complete",
		},
		"complete, last a comment": {
			body:  completeStream + ": end\n\n",
			after: "complete",
		},
		"complete, with lines longer than the read buffer": {
			body:  events + ": " + strings.Repeat("c", 9<<10) + "\nid: 3\ndata: " + strings.Repeat("x", 9<<10) + "\n\n",
			after: "complete",
		},
		"inside a line": {
			body:  events + "id: 3\nda",
			after: "2",
		},
		"after a line": {
			body:  events + "id: 3\ndata: e3\n",
			after: "2",
		},
		"inside a comment": {
			body:  events + ": en",
			after: "2",
		},
		"before the first event": {},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				resumedAfter, sends := "complete", 0
				serveOrResume := func(c net.Conn, r *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					if sends++; sends == 1 {
						sendUnframed(tc.body)(c, r)
						return
					}
					resumedAfter = r.Header.Get("Last-Event-Id")
					from := 1
					if resumedAfter == "2" {
						from = 3
					}
					streamEvents(from, 3, "end")(c, r)
				}
				f := newFixture(t, map[string]*backend{
					"model-1": newBackend(serveOrResume),
					"model-2": newBackend(serveOrResume),
				})
				w, aborted := f.sendRequest(t.Context(), "/note/1", "X-Token-Counts", "5000,500")
				mu.Lock()
				defer mu.Unlock()
				if aborted || resumedAfter != tc.after {
					t.Errorf("aborted %t, resumed after %q, want %q", aborted, resumedAfter, tc.after)
				}
				want := completeStream
				if tc.after == "complete" {
					want = tc.body
				}
				if got := w.Body.String(); got != want {
					t.Errorf("body %q, want %q", got, want)
				}
			})
		})
	}
}

// Guards against answers without a length that are cut by a reset and passed on as
// complete, or that are not passed on at all.
func TestAnswerThatEndsWithItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, map[string]*backend{
			"desk-1": newBackend(sendUnframed("booked")),
		})
		w, _ := f.sendRequest(t.Context(), "/book/1")
		requireStatus(t, w, http.StatusOK)
		if w.Body.String() != "booked" {
			t.Errorf("body %q", w.Body)
		}
	})
}
